//! Read-only accessors, and the access of the other modules to the leader's state.

use super::Replica;
use super::role::{LeaderState, Role};
use crate::entry::Entry;
use crate::group::Group;
use crate::ids::{ClusterId, Index, Position, ReplicaId, Term};

impl Replica {
    /// This replica's identity.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// The newest term that it has seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether it won the election of its term. That does not mean that it still leads the partition: see [`Replica::lease_holds`].
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader of the partition, as far as it knows.
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

    /// The index of the entry that carries [`Replica::group`].
    pub fn group_index(&self) -> Index {
        self.log.group_index()
    }

    /// The cluster that it belongs to, if any yet.
    pub fn cluster_id(&self) -> Option<ClusterId> {
        self.hard_state.cluster_id
    }

    /// The highest index that it knows to be committed.
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
        self.log.uncompacted_bytes()
    }

    /// An entry of the log, committed or not, while it is in memory.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    pub(super) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            Role::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    pub(super) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }
}
