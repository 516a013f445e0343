//! The replica: its state, its calls, and the batch of work that it hands out.

mod change;
mod digest;
mod election;
mod following;
mod leadership;
mod sending;

use grebeusher_time::{Duration, DurationExt, Instant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::blob::Blob;
use crate::entry::{Entry, HardState, Payload, Restored, Snapshot, Write};
use crate::error::{CompactError, FoundError, ProposeError};
use crate::group::Group;
use crate::ids::{Founding, Index, Position, ReplicaId, Term};
use crate::log::Log;
use crate::message::{Body, Message};
use crate::ready::{Committed, Ready, Restore};
use crate::role::{Leadership, Role};
use crate::timing::Timing;

use following::Assembly;

/// The bytes of entries that may wait for a quorum.
const MAX_UNCOMMITTED: usize = 6 * 1024 * 1024;

/// "Never", for a replica that waits for nothing but messages.
const NEVER: Instant = Instant(u64::MAX);

/// A replica of one partition.
#[derive(Clone, Debug)]
pub struct Replica {
    identity: ReplicaId,
    timing: Timing,
    rng: Pcg64Mcg,
    now: Instant,
    hard: HardState,
    log: Log,
    commit: Index,
    /// Handed to the application up to here.
    applied: Index,
    role: Role,
    /// The last sign of a leader that lives; the start counts as one, because a lease may rest on an answer that was
    /// given before it.
    heard: Instant,
    /// When the next election starts, for all but leaders.
    election_at: Instant,
    assembly: Option<Assembly>,
    output: Output,
}

/// What waits to be handed out, and how far that got.
#[derive(Clone, Debug, Default)]
struct Output {
    hard: bool,
    /// Everything is to be written anew.
    rewrite: bool,
    /// The log changed from here on.
    entries_from: Option<Index>,
    messages: Vec<(ReplicaId, Message)>,
    restore: Option<Restore>,
    /// Handed out to be written up to here.
    handed: Index,
    /// On disk up to here.
    synced: Index,
}

impl Output {
    /// The log changes from an index on.
    fn note_change(&mut self, from: Index) {
        self.entries_from = Some(self.entries_from.map_or(from, |earlier| earlier.min(from)));
        self.handed = self.handed.min(from.previous());
        self.synced = self.synced.min(from.previous());
    }
}

impl Replica {
    /// A replica with what its disk holds. It votes for nobody for `timing.election_min`, because it may have answered
    /// a leader just before it ended.
    pub fn new(identity: ReplicaId, restored: Restored, timing: Timing, seed: u64, now: Instant) -> Replica {
        let hard = restored.hard;
        let log = Log::restored(restored);
        let snapshot = log.snapshot_last().index;
        let last = log.last().index;
        let restore = log
            .snapshot()
            .map(|snapshot| Restore { index: snapshot.last.index, bytes: snapshot.bytes.clone() });
        let mut replica = Replica {
            identity,
            timing: timing.bounded(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            hard,
            commit: hard.commit.min(last).max(snapshot),
            applied: snapshot,
            log,
            role: Role::Follower { leader: None },
            heard: now,
            election_at: now,
            assembly: None,
            output: Output { restore, handed: last, synced: last, ..Output::default() },
        };
        replica.put_off_election();
        replica
    }

    /// Founds the partition with this group, which names this replica: the first entry of the log, the same on each of its
    /// replicas. A replica takes one founding in its life; the same again is fine.
    ///
    /// # Errors
    ///
    /// When the replica was founded otherwise, or has learned from another founding's leader.
    pub fn found(&mut self, group: Group) -> Result<(), FoundError> {
        if group.is_joint() || !group.is_well_formed() || !group.names(self.identity) {
            return Err(FoundError::Invalid);
        }
        let founding = group.founding();
        match self.hard.founding {
            Some(known) if known != founding => return Err(FoundError::Founded),
            // The entry may be missing where power was lost between the two.
            Some(_) if self.log.last().index > Index(0) => return Ok(()),
            _ => {}
        }
        self.adopt(Term(1));
        self.hard.founding = Some(founding);
        self.output.hard = true;
        self.append(Term(1), Payload::Group(group));
        self.put_off_election();
        Ok(())
    }

    /// Proposes a command. It is decided when it comes out of [`Ready::committed`] under the same index and term;
    /// another term there, or a later index first, means that it was lost.
    ///
    /// # Errors
    ///
    /// When this replica is not the leader, or can't take more at the moment.
    pub fn propose(&mut self, now: Instant, command: Vec<u8>) -> Result<Index, ProposeError> {
        self.advance(now);
        if command.len() > crate::MAX_COMMAND {
            return Err(ProposeError::TooLarge { size: command.len() });
        }
        let hint = self.leader_hint();
        let Role::Leader(leadership) = &self.role else { return Err(ProposeError::NotLeader { hint }) };
        if let Some(hand_over) = leadership.hand_over {
            return Err(ProposeError::NotLeader { hint: Some(hand_over.target) });
        }
        if leadership.uncommitted + command.len() > MAX_UNCOMMITTED {
            return Err(ProposeError::Busy);
        }
        Ok(self.append(self.hard.term, Payload::Command(Blob::from(command))))
    }

    /// Takes a message in. One that is not for this replica, of another founding or out of bounds is dropped.
    pub fn receive(&mut self, now: Instant, from: ReplicaId, message: Message) {
        self.advance(now);
        let addressed = message.to == self.identity && message.from == from && from != self.identity;
        if !addressed || !message.is_plausible() || !self.shares_founding(&message) {
            return;
        }
        let Message { term, body, founding, .. } = message;
        self.join(founding);
        match body {
            Body::PreVote(candidacy) => self.receive_pre_vote(from, term, candidacy),
            Body::PreVoteReply(reply) => self.receive_pre_vote_reply(from, term, reply),
            Body::Vote(candidacy) => self.receive_vote(from, term, candidacy),
            Body::VoteReply(reply) => self.receive_vote_reply(from, term, reply),
            Body::Append(append) => self.receive_append(from, term, append),
            Body::AppendReply(reply) => self.receive_append_reply(from, term, reply),
            Body::Chunk(chunk) => self.receive_chunk(from, term, chunk),
            Body::ChunkReply(reply) => self.receive_chunk_reply(from, term, reply),
            Body::TakeOver => self.receive_take_over(from, term),
        }
    }

    /// Does what is due: heartbeats, elections, the end of a leadership without a quorum.
    pub fn tick(&mut self, now: Instant) {
        self.advance(now);
        match &self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if self.may_stand() && self.now >= self.election_at => self.start_pre_vote(),
            _ => {}
        }
    }

    /// When [`Replica::tick`] is due next.
    pub fn next_wake(&self) -> Instant {
        match &self.role {
            Role::Leader(leadership) => leadership.next_beat,
            _ if self.may_stand() => self.election_at,
            _ => NEVER,
        }
    }

    /// Whether there is something to write, send or apply.
    pub fn has_ready(&self) -> bool {
        let output = &self.output;
        output.hard
            || output.rewrite
            || output.entries_from.is_some()
            || output.restore.is_some()
            || !output.messages.is_empty()
            || self.commit > self.applied
            || self.has_entries_to_send()
    }

    /// The work since the last call, as one batch; see [`Ready`] for the order in which it is to be done.
    pub fn take_ready(&mut self) -> Ready {
        let ahead = self.entries_to_send();
        let restore = self.output.restore.take();
        let committed = self.committed();
        let writes = self.writes();
        Ready {
            ahead,
            must_sync: !writes.is_empty(),
            writes,
            messages: std::mem::take(&mut self.output.messages),
            restore,
            committed,
            applied: self.applied,
        }
    }

    /// The writes of the batch that was taken last are on disk.
    pub fn synced(&mut self) {
        self.output.synced = self.output.handed;
        self.advance_commit();
    }

    /// Takes a snapshot of the application with everything up to `index` in it, in the stead of the log up to there.
    ///
    /// # Errors
    ///
    /// When the application has not been handed everything up to there, or a snapshot of as much exists.
    pub fn compact(&mut self, index: Index, bytes: Vec<u8>) -> Result<(), CompactError> {
        let snapshot = self.log.snapshot_last().index;
        if bytes.len() > crate::MAX_SNAPSHOT {
            return Err(CompactError::TooLarge { size: bytes.len() });
        }
        if index > self.applied {
            return Err(CompactError::NotApplied { applied: self.applied });
        }
        let term = match self.log.term_at(index) {
            Some(term) if index > snapshot => term,
            _ => return Err(CompactError::Outdated { snapshot }),
        };
        let snapshot = Snapshot {
            last: Position { term, index },
            group: self.log.group_at(index).clone(),
            bytes: Blob::from(bytes),
        };
        let floor = self.oldest_transfer().unwrap_or(index);
        self.log.compact(snapshot, floor);
        self.output.rewrite = true;
        Ok(())
    }

    /// This replica's identity.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// The newest term that it has seen.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Whether it won its term. That does not mean that it still leads the partition: see [`Replica::lease_holds`].
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Who leads the partition, as far as it knows.
    pub fn leader_hint(&self) -> Option<ReplicaId> {
        match &self.role {
            Role::Leader(_) => Some(self.identity),
            Role::Follower { leader } => *leader,
            _ => None,
        }
    }

    /// The newest group in its log; empty as long as it knows none.
    pub fn group(&self) -> &Group {
        self.log.group()
    }

    /// The entry that brought [`Replica::group`]; the group is decided once this is committed.
    pub fn group_index(&self) -> Index {
        self.log.group_index()
    }

    /// The founding that it belongs to.
    pub fn founding(&self) -> Option<Founding> {
        self.hard.founding
    }

    /// What it knows to be decided.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// The end of its log.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// The last entry that its snapshot contains.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot_last().index
    }

    /// The bytes of the entries that no snapshot contains.
    pub fn log_bytes(&self) -> usize {
        self.log.fresh_bytes()
    }

    /// An entry of the log, decided or not, while it is in memory.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Time only goes forward, also if the caller's does not.
    fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
    }

    /// A replica that knows no founding learns only, so it listens to leaders only.
    fn shares_founding(&self, message: &Message) -> bool {
        match self.hard.founding {
            Some(founding) => message.founding == founding,
            None => matches!(message.body, Body::Append(_) | Body::Chunk(_)),
        }
    }

    /// Whether it may become leader: when the newest group names it, or when it only may have been removed. In the latter
    /// case it may be the only one left with the entry that says so, and has to get that decided before it goes.
    fn may_stand(&self) -> bool {
        let is_undecided = self.log.group_index() > self.commit;
        self.group().names(self.identity) || (is_undecided && self.log.previous_group_names(self.identity))
    }

    fn put_off_election(&mut self) {
        let Timing { election_min, election_max, .. } = self.timing;
        let extra = self.rng.random_range(0..=election_max.saturating_sub(election_min).nanos());
        self.election_at = self.now + election_min + Duration::from_nanos(extra);
    }

    /// Adds an entry to the own log.
    fn append(&mut self, term: Term, payload: Payload) -> Index {
        let index = self.log.last().index.next();
        self.output.note_change(index);
        if let Some(leadership) = self.leadership_mut() {
            leadership.uncommitted += payload.size();
        }
        self.log.push(Entry { index, term, payload });
        index
    }

    /// Queues a message that leaves after the sync.
    fn send(&mut self, to: ReplicaId, term: Term, body: Body) {
        let message = self.message(to, term, body);
        self.output.messages.push((to, message));
    }

    fn message(&self, to: ReplicaId, term: Term, body: Body) -> Message {
        let founding = self.hard.founding.unwrap_or_default();
        Message { from: self.identity, to, founding, term, body }
    }

    /// Takes over a newer term.
    fn adopt(&mut self, term: Term) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted = None;
            self.output.hard = true;
            self.assembly = None;
        }
    }

    /// Follows somebody, or nobody yet.
    fn follow(&mut self, term: Term, leader: Option<ReplicaId>) {
        self.adopt(term);
        self.role = Role::Follower { leader };
        self.put_off_election();
    }

    fn committed(&mut self) -> Vec<Committed> {
        let committed =
            self.log.range(self.applied.next(), self.commit).filter_map(|entry| match &entry.payload {
                Payload::Command(payload) => {
                    Some(Committed { index: entry.index, term: entry.term, payload: payload.clone() })
                }
                _ => None,
            });
        let committed = committed.collect();
        self.applied = self.applied.max(self.commit);
        committed
    }

    fn writes(&mut self) -> Vec<Write> {
        let last = self.log.last().index;
        let output = &mut self.output;
        let from = output.entries_from.take();
        let rewrite = std::mem::take(&mut output.rewrite);
        let hard = std::mem::take(&mut output.hard);
        output.handed = last;
        if from.is_none() && !rewrite && !hard {
            return Vec::new();
        }
        // The promises come first and may be all of the batch that a loss of power leaves, so they count on nothing that
        // follows them.
        self.hard.commit = self.commit.min(output.synced);
        let mut writes = Vec::new();
        match self.log.snapshot() {
            Some(snapshot) if rewrite => {
                let entries = self.log.range(snapshot.last.index.next(), last).cloned().collect();
                writes.push(Write::Snapshot { snapshot: snapshot.clone(), hard: self.hard, entries });
            }
            _ => {
                writes.push(Write::Hard(self.hard));
                if let Some(from) = from {
                    writes.push(Write::Entries(self.log.range(from, last).cloned().collect()));
                }
            }
        }
        writes
    }

    fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }
}
