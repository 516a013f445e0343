//! The role of a replica, with the state that belongs to it alone and is dropped with it.

use std::collections::{BTreeMap, BTreeSet};

use grebeusher_time::Instant;

use crate::ids::{Index, ReplicaId};
use crate::progress::Progress;

/// The role of a replica.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// Takes entries of a leader, or waits for one.
    Follower { leader: Option<ReplicaId> },
    /// Asks whether it would win an election, before it starts a new term.
    PreCandidate { granted: BTreeSet<ReplicaId> },
    /// Asks for votes in its term.
    Candidate { granted: BTreeSet<ReplicaId> },
    /// Won the election of its term.
    Leader(Box<LeaderState>),
}

/// The volatile state of a leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// When it won the election.
    pub(crate) since: Instant,
    /// The index of the first entry of its own term.
    pub(crate) term_start: Index,
    pub(crate) followers: BTreeMap<ReplicaId, Progress>,
    pub(crate) next_heartbeat: Instant,
    /// The bytes of the entries that wait for a quorum.
    pub(crate) uncommitted: usize,
    pub(crate) change: Option<PendingChange>,
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
    /// Whether `TimeoutNow` was sent. From then on reads are over for the rest of the term: the election of the target
    /// does not wait for the lease.
    pub(crate) lease_revoked: bool,
}

/// A change of the group whose new voters are still learning.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingChange {
    pub(crate) voters: Vec<ReplicaId>,
    pub(crate) since: Instant,
}

/// A transfer of leadership in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeadershipTransfer {
    pub(crate) target: ReplicaId,
    pub(crate) deadline: Instant,
    /// Whether the target was asked to start its election.
    pub(crate) timeout_now_sent: bool,
}
