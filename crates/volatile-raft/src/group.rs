//! The group that a voter belongs to: the raft-rs node, and the state that the voter keeps alongside it.

use std::collections::BTreeMap;

use grebeusher_dispatch::time::{Duration, Instant};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};

use crate::StateMachine;
use crate::incarnation::Incarnation;
use crate::storage::GroupStorage;

/// The duration of one tick of raft-rs, in which its timeouts are counted.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The leader sends heartbeats at an interval of this many ticks.
const HEARTBEAT_TICKS: usize = 2;
/// The shortest election timeout in ticks; raft-rs draws each timeout at random between this and twice this. The
/// resulting half second is many round trips within one site, and longer than a loaded machine delays a process.
pub(crate) const ELECTION_TICKS: usize = 10;
/// The leader sends a snapshot again if the member has not acknowledged it after this time.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(500);
/// The total size of the entries in one append message, in bytes, at most; a single larger entry is sent alone.
const MAX_APPEND_BYTES: u64 = 16 * 1024;
/// The number of append messages that a leader sends to a member without an acknowledgement, at most.
const MAX_INFLIGHT_MESSAGES: usize = 64;

/// A leader of the group, and the term in which it leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KnownLeader {
    /// The index of the voter that leads.
    pub(crate) voter: usize,
    pub(crate) term: u64,
}

/// A batch that this voter has proposed as leader and not yet applied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingBatch {
    pub(crate) term: u64,
    pub(crate) proposed_at: Instant,
}

/// This voter's membership in a group.
pub(crate) struct Group<M: StateMachine> {
    pub(crate) id: u64,
    pub(crate) node: RawNode<GroupStorage<M>>,
    /// When this voter last applied a batch or installed a snapshot; for a batch that this incarnation proposed, the
    /// time of its proposal.
    pub(crate) last_applied_at: Instant,
    pub(crate) pending_batch: Option<PendingBatch>,
    /// When a snapshot was last sent to each member, by member id. An entry is dropped after [`SNAPSHOT_TIMEOUT`].
    pub(crate) snapshots_sent: BTreeMap<u64, Instant>,
    /// When this voter last proposed a membership change, or entered the group.
    pub(crate) last_membership_change_at: Instant,
    /// The leader that the host was last notified of.
    pub(crate) known_leader: Option<KnownLeader>,
    /// When this voter last knew a leader, or entered the group.
    pub(crate) last_leader_known_at: Instant,
}

impl<M: StateMachine> Group<M> {
    /// Creates the raft-rs node of a member; `applied` is the index of the snapshot that its storage starts with, or
    /// zero.
    pub(crate) fn new(
        now: Instant,
        id: u64,
        incarnation: Incarnation,
        storage: GroupStorage<M>,
        applied: u64,
    ) -> raft::Result<Group<M>> {
        let config = Config {
            id: incarnation.0,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MAX_APPEND_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        Ok(Group {
            id,
            node: RawNode::new(&config, storage, &logger)?,
            last_applied_at: now,
            pending_batch: None,
            snapshots_sent: BTreeMap::new(),
            last_membership_change_at: now,
            known_leader: None,
            last_leader_known_at: now,
        })
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Whether this voter has applied all entries of its log.
    pub(crate) fn has_applied_log(&self) -> bool {
        let log = &self.node.raft.raft_log;
        log.applied == log.last_index()
    }

    /// Reports snapshots that were not acknowledged in time as lost, so that they are sent again.
    ///
    /// The state of the member's progress shows whether a snapshot arrived, not the member's responses: a duplicate
    /// response to an earlier message, mistaken for an acknowledgement, would leave the member waiting for its snapshot
    /// forever.
    pub(crate) fn report_lost_snapshots(&mut self, now: Instant) {
        let timed_out =
            self.snapshots_sent.iter().filter(|(_, sent_at)| now.since(**sent_at) > SNAPSHOT_TIMEOUT);
        let timed_out: Vec<u64> = timed_out.map(|(member, _)| *member).collect();
        for member in timed_out {
            self.snapshots_sent.remove(&member);
            let progress = self.node.raft.prs().get(member);
            if progress.is_some_and(|progress| progress.state == ProgressState::Snapshot) {
                self.node.report_snapshot(member, SnapshotStatus::Failure);
            }
        }
    }

    /// Returns the current leader and its term if they differ from `known_leader`. Updates `known_leader` and
    /// `last_leader_known_at`.
    pub(crate) fn update_leader(&mut self, now: Instant) -> Option<KnownLeader> {
        let leader_id = self.node.raft.leader_id;
        if leader_id == raft::INVALID_ID {
            return None;
        }
        self.last_leader_known_at = now;
        let leader = KnownLeader { voter: Incarnation(leader_id).voter(), term: self.node.raft.term };
        if self.known_leader == Some(leader) {
            return None;
        }
        self.known_leader = Some(leader);
        Some(leader)
    }
}
