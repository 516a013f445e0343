//! One voter: its incarnation, the group that it belongs to, and its peers.
//!
//! `lifecycle` starts incarnations and groups, `membership` replaces incarnations of other voters, `replication` proposes
//! batches and processes what `raft` wants done.

mod lifecycle;
mod membership;
mod replication;

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use protobuf::Message as _;
use raft::eraftpb::Message;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use snafu::{OptionExt, ResultExt, ensure};

use crate::datagram::Datagram;
use crate::error::{BusySnafu, DatagramSnafu, MessageSnafu, NotLeaderSnafu, UnknownSenderSnafu};
use crate::error::{ProposeError, ReceiveError};
use crate::fragments::Fragment;
use crate::group::{ELECTION_TICKS, Group, TICK_INTERVAL};
use crate::incarnation::Incarnation;
use crate::peers::{Peer, Peers};
use crate::storage::GroupStorage;
use crate::{GroupOrigin, Host, StateMachine};
use replication::GATHER_DURATION;

/// The largest number of voters. Each commit waits for a majority: seven already cost more than the loss of a third one
/// would.
pub const MAX_VOTERS: usize = 7;

/// A voter sends a hello at this interval.
const HELLO_INTERVAL: Duration = Duration::from_millis(300);

/// The commands that wait to be proposed, at most.
const MAX_PENDING_COMMANDS: usize = 4096;

/// One voter of a group without disks. See the [crate] for its invariants.
pub struct Voter<M: StateMachine, H> {
    host: H,
    voters: usize,
    index: usize,
    rng: Pcg32,
    /// What a group starts with.
    initial: M,
    incarnation: Incarnation,
    /// When the incarnation started.
    started_at: Instant,
    group: Option<Group<M>>,
    peers: Peers,
    next_hello: Instant,
    last_raft_tick: Instant,
    pending: Vec<M::Command>,
    last_message_id: u32,
}

impl<M: StateMachine, H: Host<M>> Voter<M, H> {
    /// Starts the voter with this index among so many, which should be an odd number. `seed` must not have been that of
    /// an earlier start. `initial` is the state that a group starts with.
    ///
    /// # Panics
    ///
    /// When there are more than [`MAX_VOTERS`] voters, or the index is not below their number.
    pub fn new(now: Instant, index: usize, voters: usize, seed: u64, initial: M, host: H) -> Self {
        assert!(index < voters && voters <= MAX_VOTERS, "voter {index} of {voters}");
        let mut voter = Voter {
            host,
            voters,
            index,
            rng: Pcg32::seed_from_u64(seed),
            initial,
            incarnation: Incarnation(0),
            started_at: now,
            group: None,
            peers: Peers::new(index, voters),
            next_hello: now,
            last_raft_tick: now,
            pending: Vec::new(),
            last_message_id: 0,
        };
        voter.start_incarnation(now);
        voter
    }

    /// The host that the voter was created with.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// The leader, by its index, as far as this voter knows.
    pub fn leader(&self) -> Option<usize> {
        let leader_id = self.group.as_ref()?.node.raft.leader_id;
        (leader_id != raft::INVALID_ID).then(|| Incarnation(leader_id).voter())
    }

    /// Whether this voter leads its group.
    pub fn is_leader(&self) -> bool {
        self.group.as_ref().is_some_and(Group::is_leader)
    }

    /// Reads the state as far as it is applied here; none if this voter belongs to no group.
    pub fn with_state<R>(&self, read: impl FnOnce(&M) -> R) -> Option<R> {
        self.group.as_ref().map(|group| read(&group.node.store().machine.borrow()))
    }

    /// The group's id, and the index up to which its log is applied here.
    pub fn applied(&self) -> Option<(u64, u64)> {
        self.group.as_ref().map(|group| (group.id, group.node.raft.raft_log.applied))
    }

    /// Proposes a command. It may still get lost: the outcome is the only acknowledgement.
    ///
    /// # Errors
    ///
    /// When this voter is not the leader, or too many commands are pending.
    pub fn propose(&mut self, now: Instant, command: M::Command) -> Result<(), ProposeError> {
        ensure!(self.is_leader(), NotLeaderSnafu);
        ensure!(self.pending.len() < MAX_PENDING_COMMANDS, BusySnafu);
        self.pending.push(command);
        self.propose_batches(now);
        Ok(())
    }

    /// Processes a datagram of another voter.
    ///
    /// # Errors
    ///
    /// When nothing can be made of it; it is dropped then.
    pub fn receive(&mut self, now: Instant, datagram: &[u8]) -> Result<(), ReceiveError> {
        match postcard::from_bytes(datagram).context(DatagramSnafu)? {
            Datagram::Hello { incarnation, group } => {
                self.record_peer(now, incarnation)?.group = group;
                if group.is_none() {
                    self.replace_incarnation(now, incarnation);
                }
                Ok(())
            }
            Datagram::Fragment { incarnation, group, message_id, index, count, bytes } => {
                let peer = self.record_peer(now, incarnation)?;
                let fragment = Fragment { index, count, bytes: &bytes };
                let Some(message) = peer.reassembler.add(message_id, fragment) else { return Ok(()) };
                peer.group = Some(group);
                let message = Message::parse_from_bytes(&message).context(MessageSnafu)?;
                self.step(now, group, message);
                Ok(())
            }
        }
    }

    fn record_peer(&mut self, now: Instant, incarnation: Incarnation) -> Result<&mut Peer, ReceiveError> {
        self.peers.record(now, incarnation).context(UnknownSenderSnafu { incarnation: incarnation.0 })
    }

    /// Processes a message of `raft`. The first one makes an incarnation without a group join the sender's group.
    fn step(&mut self, now: Instant, group: u64, message: Message) {
        // Others are for an earlier incarnation of this voter.
        if message.to != self.incarnation.0 {
            return;
        }
        if self.group.is_none() {
            let storage = GroupStorage::empty(self.initial.clone());
            self.enter_group(now, group, storage, GroupOrigin::Joined);
        }
        let Some(own) = self.group.as_mut().filter(|own| own.id == group) else { return };
        // `raft` rejects messages that don't fit its state, such as responses of members that were removed.
        let _ = own.node.step(message);
        self.process_ready(now);
    }

    /// When [`Voter::tick`] is due next.
    pub fn next_wake(&self) -> Instant {
        let Some(group) = &self.group else { return self.next_hello };
        let due = self.next_hello.min(self.last_raft_tick + TICK_INTERVAL);
        let gathers = group.is_leader() && !self.pending.is_empty() && group.is_idle();
        if gathers { due.min(group.last_applied_at + GATHER_DURATION) } else { due }
    }

    /// Does what is due: hellos, the timers of `raft`, lost snapshots, and batches.
    pub fn tick(&mut self, now: Instant) {
        if now >= self.next_hello {
            self.next_hello = now + HELLO_INTERVAL;
            self.send_hello();
            self.bootstrap_if_state_is_lost(now);
            self.restart_if_group_is_lost(now);
        }
        let Some(group) = &mut self.group else { return };
        // A voter that was suspended does not make up for it: it would take all others for unresponsive at once.
        if now.since(self.last_raft_tick) > TICK_INTERVAL.scaled(ELECTION_TICKS as f64) {
            self.last_raft_tick = now - TICK_INTERVAL;
        }
        while self.last_raft_tick + TICK_INTERVAL <= now {
            self.last_raft_tick = self.last_raft_tick + TICK_INTERVAL;
            group.node.tick();
        }
        group.report_lost_snapshots(now);
        self.process_ready(now);
        self.propose_batches(now);
    }

    fn send_hello(&mut self) {
        let group = self.group.as_ref().map(|group| group.id);
        let hello = Datagram::Hello { incarnation: self.incarnation, group };
        let Ok(datagram) = postcard::to_allocvec(&hello) else { return };
        for voter in (0..self.voters).filter(|voter| *voter != self.index) {
            self.host.send(voter, &datagram);
        }
    }

    fn is_majority(&self, count: usize) -> bool {
        2 * count > self.voters
    }
}
