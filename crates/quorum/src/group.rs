//! The voters of a partition and their quorums.

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::blob::{read_list, write_list};
use crate::ids::{ClusterId, ReplicaId};

/// The largest number of voters in one group.
pub const MAX_VOTERS: usize = 31;

/// The voters of a partition. While `outgoing` is not empty the group is joint, and a quorum is a majority of each
/// list.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group {
    /// The voters, in ascending order.
    pub voters: Vec<ReplicaId>,
    /// The voters of the previous group during a change, in ascending order; otherwise empty.
    pub outgoing: Vec<ReplicaId>,
}

impl Group {
    /// Creates a group that is not joint. The voters are sorted, and duplicates removed.
    pub fn of(voters: impl IntoIterator<Item = ReplicaId>) -> Group {
        let mut voters: Vec<ReplicaId> = voters.into_iter().collect();
        voters.sort_unstable();
        voters.dedup();
        Group { voters, outgoing: Vec::new() }
    }

    /// Returns the joint group of this one and `voters`, which a change commits first.
    pub(crate) fn enter_joint(&self, voters: Vec<ReplicaId>) -> Group {
        Group { voters, outgoing: self.voters.clone() }
    }

    /// Returns the group without the outgoing voters, which a change commits last.
    pub(crate) fn leave_joint(&self) -> Group {
        Group { voters: self.voters.clone(), outgoing: Vec::new() }
    }

    /// Whether quorums need a majority of both lists.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether the replica is in either list.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica) || self.outgoing.contains(&replica)
    }

    /// The voters of both lists, each once.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        let only_outgoing = self.outgoing.iter().filter(|replica| !self.voters.contains(replica));
        self.voters.iter().chain(only_outgoing).copied()
    }

    /// Whether the voters for which `is_counted` returns true are a quorum.
    pub fn has_quorum(&self, is_counted: impl Fn(ReplicaId) -> bool) -> bool {
        self.reached_by_quorum(is_counted)
    }

    /// Returns the largest value that a quorum has reached, for example the commit index from the index that each voter
    /// has synced.
    pub fn reached_by_quorum<T: Ord + Default>(&self, value: impl Fn(ReplicaId) -> T) -> T {
        let incoming = reached_by_majority(&self.voters, &value);
        if !self.is_joint() {
            return incoming;
        }
        incoming.min(reached_by_majority(&self.outgoing, &value))
    }

    /// Returns the id of a cluster that is bootstrapped with this group.
    pub fn cluster_id(&self) -> ClusterId {
        // The ids of the voters are random, so a hash without a key is enough.
        let bytes: Vec<u8> = self.voters.iter().flat_map(|voter| voter.0.to_le_bytes()).collect();
        ClusterId(grebeusher_hash::fixed_hash_bytes(&bytes))
    }

    /// Whether both lists are in ascending order, without duplicates and not too long, and there are voters.
    pub(crate) fn is_well_formed(&self) -> bool {
        let is_valid_list = |list: &[ReplicaId]| list.is_sorted_by(|a, b| a < b) && list.len() <= MAX_VOTERS;
        !self.voters.is_empty() && is_valid_list(&self.voters) && is_valid_list(&self.outgoing)
    }
}

/// Returns the largest value that more than half of the voters have reached, or the default without voters.
fn reached_by_majority<T: Ord + Default>(voters: &[ReplicaId], value: impl Fn(ReplicaId) -> T) -> T {
    let mut values: Vec<T> = voters.iter().map(|voter| value(*voter)).collect();
    values.sort_unstable();
    let minority_size = values.len().saturating_sub(1) / 2;
    values.into_iter().nth(minority_size).unwrap_or_default()
}

impl SerBin for Group {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        write_list(&self.voters, output);
        write_list(&self.outgoing, output);
    }
}

impl DeBin for Group {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Group, DeBinErr> {
        const REPLICA_ID_BYTES: usize = 8;
        let voters = read_list(REPLICA_ID_BYTES, offset, bytes)?;
        let outgoing = read_list(REPLICA_ID_BYTES, offset, bytes)?;
        Ok(Group { voters, outgoing })
    }
}
