//! The group that a voter belongs to: its node in `raft`, and what the voter has to remember about it.

use std::collections::BTreeMap;

use grebeusher_dispatch::time::{Duration, Instant};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};

use crate::StateMachine;
use crate::incarnation::Incarnation;
use crate::storage::GroupStorage;

/// Raft's unit of time.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);
const HEARTBEAT_TICKS: usize = 2;
/// The election timeout is this long, up to twice: half a second is many round trips of any one site, and longer than a
/// loaded machine delays a process.
pub(crate) const ELECTION_TICKS: usize = 10;
/// A snapshot that is not acknowledged by then is sent again.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(500);
/// The entries of one message, in bytes, unless a single one is larger.
const MAX_APPEND_BYTES: u64 = 16 * 1024;
const MAX_INFLIGHT_MESSAGES: usize = 64;

/// A leader and its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KnownLeader {
    pub(crate) voter: usize,
    pub(crate) term: u64,
}

/// A batch that was proposed here and is not applied yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingBatch {
    pub(crate) term: u64,
    pub(crate) proposed_at: Instant,
}

pub(crate) struct Group<M: StateMachine> {
    pub(crate) id: u64,
    pub(crate) node: RawNode<GroupStorage<M>>,
    /// When the last batch was applied, or a snapshot installed; for a batch of this incarnation, when it was proposed.
    pub(crate) last_applied_at: Instant,
    pub(crate) pending_batch: Option<PendingBatch>,
    /// When each member was sent a snapshot that it has not acknowledged.
    pub(crate) snapshots_sent: BTreeMap<u64, Instant>,
    pub(crate) last_membership_change: Instant,
    pub(crate) known_leader: Option<KnownLeader>,
    /// When a leader was last known.
    pub(crate) last_led: Instant,
}

impl<M: StateMachine> Group<M> {
    /// `applied` is the index of the snapshot that the storage starts with.
    pub(crate) fn new(
        now: Instant,
        id: u64,
        own: Incarnation,
        storage: GroupStorage<M>,
        applied: u64,
    ) -> raft::Result<Group<M>> {
        let config = Config {
            id: own.0,
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
            last_membership_change: now,
            known_leader: None,
            last_led: now,
        })
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Whether everything that was proposed is applied here.
    pub(crate) fn is_idle(&self) -> bool {
        let log = &self.node.raft.raft_log;
        log.applied == log.last_index()
    }

    /// Reports snapshots that were not acknowledged in time as lost, so that they are sent again.
    ///
    /// Whether one arrived is known by the state of the member's progress, not by its responses: a duplicate response to
    /// an earlier message, taken for an acknowledgement, would leave the member waiting for its snapshot for ever.
    pub(crate) fn report_lost_snapshots(&mut self, now: Instant) {
        let late = self.snapshots_sent.iter().filter(|(_, sent_at)| now.since(**sent_at) > SNAPSHOT_TIMEOUT);
        let late: Vec<u64> = late.map(|(member, _)| *member).collect();
        for member in late {
            self.snapshots_sent.remove(&member);
            let progress = self.node.raft.prs().get(member);
            if progress.is_some_and(|progress| progress.state == ProgressState::Snapshot) {
                self.node.report_snapshot(member, SnapshotStatus::Failure);
            }
        }
    }

    /// The leader of now and its term, if it is another one than was known; `last_led` is updated.
    pub(crate) fn update_leader(&mut self, now: Instant) -> Option<KnownLeader> {
        let leader_id = self.node.raft.leader_id;
        if leader_id == raft::INVALID_ID {
            return None;
        }
        self.last_led = now;
        let leader = KnownLeader { voter: Incarnation(leader_id).voter(), term: self.node.raft.term };
        if self.known_leader == Some(leader) {
            return None;
        }
        self.known_leader = Some(leader);
        Some(leader)
    }
}
