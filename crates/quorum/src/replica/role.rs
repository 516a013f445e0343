//! What a replica is at a time, with what belongs to that only.

use std::collections::{BTreeMap, BTreeSet};

use grebeusher_time::Instant;

use crate::ids::{Index, ReplicaId};
use crate::progress::Progress;

/// What a replica is.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// It takes the entries of a leader, or waits for one.
    Follower { leader: Option<ReplicaId> },
    /// It asks whether an election has a chance.
    PreCandidate { granted: BTreeSet<ReplicaId> },
    /// It asks for votes in its term.
    Candidate { granted: BTreeSet<ReplicaId> },
    /// It won its term.
    Leader(Box<LeaderState>),
}

/// What a leader keeps.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    pub(crate) since: Instant,
    /// The first entry of its own term.
    pub(crate) term_start: Index,
    pub(crate) followers: BTreeMap<ReplicaId, Progress>,
    pub(crate) next_heartbeat: Instant,
    /// The bytes of the entries that wait for a quorum.
    pub(crate) uncommitted: usize,
    pub(crate) change: Option<PendingChange>,
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
    /// Once somebody was told to take over, reads are over for the rest of the term: the votes that it may win wait
    /// for no lease.
    pub(crate) lease_revoked: bool,
}

/// A change of the group whose new voters are still learning.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingChange {
    pub(crate) voters: Vec<ReplicaId>,
    pub(crate) since: Instant,
}

/// The leadership on its way to another voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeadershipTransfer {
    pub(crate) target: ReplicaId,
    pub(crate) deadline: Instant,
    /// Whether the target was told.
    pub(crate) timeout_now_sent: bool,
}
