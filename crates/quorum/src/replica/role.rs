//! The role of a replica and the state that is dropped when the role ends.

use std::collections::{BTreeMap, BTreeSet};

use grebeusher_time::Instant;

use crate::ids::{Index, ReplicaId};
use crate::progress::Progress;

/// The role of a replica.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// Receives entries from a leader, or waits for one.
    Follower { leader: Option<ReplicaId> },
    /// Asks for pre-votes, to learn whether it could win an election before it starts a new term.
    PreCandidate { granted: BTreeSet<ReplicaId> },
    /// Asks for votes in the current term.
    Candidate { granted: BTreeSet<ReplicaId> },
    /// Won the election of the current term.
    Leader(Box<LeaderState>),
}

/// The volatile state of a leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// When the leader won the election.
    pub(crate) since: Instant,
    /// The index of the first entry of the leader's own term.
    pub(crate) term_start: Index,
    pub(crate) followers: BTreeMap<ReplicaId, Progress>,
    pub(crate) next_heartbeat: Instant,
    /// The size of the uncommitted entries, in bytes.
    pub(crate) uncommitted: usize,
    pub(crate) change: Option<PendingChange>,
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
    /// Whether `TimeoutNow` was sent. From then on the leader serves no reads for the rest of its term, because the
    /// election that the target starts does not wait for the lease.
    pub(crate) lease_revoked: bool,
}

/// A change of the group whose new voters are still catching up as learners.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingChange {
    /// The voters of the new group.
    pub(crate) voters: Vec<ReplicaId>,
    /// When the change was requested.
    pub(crate) since: Instant,
}

/// A transfer of leadership in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeadershipTransfer {
    pub(crate) target: ReplicaId,
    /// When the transfer is given up.
    pub(crate) deadline: Instant,
    /// Whether the target was asked to start its election.
    pub(crate) timeout_now_sent: bool,
}
