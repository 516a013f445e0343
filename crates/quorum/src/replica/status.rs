//! Read-only accessors of a replica's state, and the access of the other modules to the leader's state.

use super::Replica;
use super::role::{LeaderState, Role};
use crate::entry::Entry;
use crate::group::Group;
use crate::ids::{ClusterId, Index, Position, ReplicaId, Term};

impl Replica {
    /// The id of this replica.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// The newest term that this replica has seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether this replica won the election of its term. It may not lead the partition any more all the same: see
    /// [`Replica::lease_holds`].
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader of the partition, as far as this replica knows.
    pub fn leader_hint(&self) -> Option<ReplicaId> {
        match &self.role {
            Role::Leader(_) => Some(self.identity),
            Role::Follower { leader } => *leader,
            _ => None,
        }
    }

    /// The newest group in the log; empty while the log and the snapshot have none.
    pub fn group(&self) -> &Group {
        self.log.group()
    }

    /// The index of the entry that carries [`Replica::group`].
    pub fn group_index(&self) -> Index {
        self.log.group_index()
    }

    /// The cluster that this replica belongs to; none until it was bootstrapped or has heard from a leader.
    pub fn cluster_id(&self) -> Option<ClusterId> {
        self.hard_state.cluster_id
    }

    /// The highest index that this replica knows to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// The position of the last entry in the log.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// The index of the last entry that the snapshot contains.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot_last().index
    }

    /// The size of the entries after the snapshot, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.uncompacted_bytes()
    }

    /// An entry of the log, committed or not, if it is in memory.
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
