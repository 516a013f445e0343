//! One voter: its incarnation, the group that it belongs to, and its peers.
//!
//! `lifecycle` starts incarnations and groups, `membership` replaces incarnations of other voters, and `replication`
//! proposes batches and processes each `Ready` of raft-rs.

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
use replication::BATCHING_DELAY;

/// The largest number of voters. Each commit waits for a majority: seven voters tolerate the loss of a third one,
/// but the longer wait already costs more than that loss would.
pub const MAX_VOTERS: usize = 7;

/// A voter sends a hello at this interval.
const HELLO_INTERVAL: Duration = Duration::from_millis(300);

/// The number of commands that wait to be proposed, at most.
const MAX_PENDING_COMMANDS: usize = 4096;

/// One voter of a group without disks. See the [crate] for its invariants.
pub struct Voter<M: StateMachine, H> {
    host: H,
    /// The number of voters, this one included.
    voter_count: usize,
    index: usize,
    rng: Pcg32,
    /// The state that a group starts with.
    initial_state: M,
    incarnation: Incarnation,
    /// When the incarnation started.
    started_at: Instant,
    group: Option<Group<M>>,
    peers: Peers,
    next_hello_at: Instant,
    last_raft_tick_at: Instant,
    /// The commands that wait to be proposed.
    pending_commands: Vec<M::Command>,
    last_message_id: u32,
}

impl<M: StateMachine, H: Host<M>> Voter<M, H> {
    /// Starts the voter with this index among `voter_count` voters, which should be an odd number. `seed` must differ
    /// from that of any earlier start. `initial_state` is the state that a group starts with.
    ///
    /// # Panics
    ///
    /// Panics when there are more than [`MAX_VOTERS`] voters, or when the index is not below their number.
    pub fn new(now: Instant, index: usize, voter_count: usize, seed: u64, initial_state: M, host: H) -> Self {
        assert!(
            index < voter_count && voter_count <= MAX_VOTERS,
            "voter index {index} is not valid for {voter_count} voters"
        );
        let mut voter = Voter {
            host,
            voter_count,
            index,
            rng: Pcg32::seed_from_u64(seed),
            initial_state,
            incarnation: Incarnation(0),
            started_at: now,
            group: None,
            peers: Peers::new(index, voter_count),
            next_hello_at: now,
            last_raft_tick_at: now,
            pending_commands: Vec::new(),
            last_message_id: 0,
        };
        voter.start_incarnation(now);
        voter
    }

    /// Returns the host that the voter was created with.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// Returns the index of the leader, if this voter knows one.
    pub fn leader(&self) -> Option<usize> {
        let leader_id = self.group.as_ref()?.node.raft.leader_id;
        (leader_id != raft::INVALID_ID).then(|| Incarnation(leader_id).voter())
    }

    /// Whether this voter leads its group.
    pub fn is_leader(&self) -> bool {
        self.group.as_ref().is_some_and(Group::is_leader)
    }

    /// Reads this voter's copy of the state, which may lag behind the committed one; returns none if this voter belongs
    /// to no group.
    pub fn with_state<R>(&self, read: impl FnOnce(&M) -> R) -> Option<R> {
        self.group.as_ref().map(|group| read(&group.node.store().machine.borrow()))
    }

    /// Returns the group's id and this voter's applied index.
    pub fn applied(&self) -> Option<(u64, u64)> {
        self.group.as_ref().map(|group| (group.id, group.node.raft.raft_log.applied))
    }

    /// Proposes a command. It may still get lost: the outcome is the only acknowledgement.
    ///
    /// # Errors
    ///
    /// Returns an error when this voter is not the leader, or when too many commands are waiting to be proposed.
    pub fn propose(&mut self, now: Instant, command: M::Command) -> Result<(), ProposeError> {
        ensure!(self.is_leader(), NotLeaderSnafu);
        ensure!(self.pending_commands.len() < MAX_PENDING_COMMANDS, BusySnafu);
        self.pending_commands.push(command);
        self.propose_batches(now);
        Ok(())
    }

    /// Processes a datagram from another voter.
    ///
    /// # Errors
    ///
    /// Returns an error when the datagram, its sender or the reassembled message is not valid; the datagram is dropped.
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

    /// Processes a Raft message. An incarnation without a group joins the sender's group on the first message.
    fn step(&mut self, now: Instant, group: u64, message: Message) {
        // A message with another receiver id is for an earlier incarnation of this voter.
        if message.to != self.incarnation.0 {
            return;
        }
        if self.group.is_none() {
            let storage = GroupStorage::empty(self.initial_state.clone());
            self.enter_group(now, group, storage, GroupOrigin::Joined);
        }
        let Some(current) = self.group.as_mut().filter(|current| current.id == group) else { return };
        // raft-rs rejects messages that don't fit its state, such as responses of removed members.
        let _ = current.node.step(message);
        self.process_ready(now);
    }

    /// Returns the time at which [`Voter::tick`] is due next.
    pub fn next_wake(&self) -> Instant {
        let Some(group) = &self.group else { return self.next_hello_at };
        let due = self.next_hello_at.min(self.last_raft_tick_at + TICK_INTERVAL);
        let awaits_batch = group.is_leader() && !self.pending_commands.is_empty() && group.has_applied_log();
        if awaits_batch { due.min(group.last_applied_at + BATCHING_DELAY) } else { due }
    }

    /// Sends hellos, advances the timers of raft-rs, reports lost snapshots, and proposes batches, each when it is due.
    pub fn tick(&mut self, now: Instant) {
        if now >= self.next_hello_at {
            self.next_hello_at = now + HELLO_INTERVAL;
            self.send_hello();
            self.bootstrap_if_state_is_lost(now);
            self.restart_if_group_is_lost(now);
        }
        let Some(group) = &mut self.group else { return };
        // After a suspension the missed ticks are skipped: otherwise the voter would take all others for unresponsive
        // at once.
        if now.since(self.last_raft_tick_at) > TICK_INTERVAL.scaled(ELECTION_TICKS as f64) {
            self.last_raft_tick_at = now - TICK_INTERVAL;
        }
        while self.last_raft_tick_at + TICK_INTERVAL <= now {
            self.last_raft_tick_at = self.last_raft_tick_at + TICK_INTERVAL;
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
        for voter in (0..self.voter_count).filter(|voter| *voter != self.index) {
            self.host.send(voter, &datagram);
        }
    }

    fn is_majority(&self, count: usize) -> bool {
        2 * count > self.voter_count
    }
}
