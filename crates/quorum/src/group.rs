//! The voters of a partition, and what counts as their quorum.

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::blob::{read_list, write_list};
use crate::ids::{ClusterId, ReplicaId};

/// The most voters of one group.
pub const MAX_VOTERS: usize = 31;

/// The voters of a partition. While `outgoing` is not empty the group is joint, and a quorum is a majority of each list.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group {
    /// The voters, in ascending order.
    pub voters: Vec<ReplicaId>,
    /// The voters of the group before, in ascending order, during a change; otherwise empty.
    pub outgoing: Vec<ReplicaId>,
}

impl Group {
    /// A group of these voters that is not joint. They are sorted, and duplicates removed.
    pub fn of(voters: impl IntoIterator<Item = ReplicaId>) -> Group {
        let mut voters: Vec<ReplicaId> = voters.into_iter().collect();
        voters.sort_unstable();
        voters.dedup();
        Group { voters, outgoing: Vec::new() }
    }

    /// The joint group of this one and `voters`: the first step of a change.
    pub(crate) fn enter_joint(&self, voters: Vec<ReplicaId>) -> Group {
        Group { voters, outgoing: self.voters.clone() }
    }

    /// The group without the outgoing voters: the last step of a change.
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
        let others = self.outgoing.iter().filter(|replica| !self.voters.contains(replica));
        self.voters.iter().chain(others).copied()
    }

    /// Whether the voters for which `says_yes` holds are a quorum.
    pub fn has_quorum(&self, says_yes: impl Fn(ReplicaId) -> bool) -> bool {
        self.reached_by_quorum(says_yes)
    }

    /// The largest value that a quorum has reached, as for the commit index.
    pub fn reached_by_quorum<T: Ord + Default>(&self, value: impl Fn(ReplicaId) -> T) -> T {
        let incoming = reached_by_majority(&self.voters, &value);
        if !self.is_joint() {
            return incoming;
        }
        incoming.min(reached_by_majority(&self.outgoing, &value))
    }

    /// The id of a cluster that is bootstrapped with this group.
    pub fn cluster_id(&self) -> ClusterId {
        // The ids are random, so that a hash without a key is enough.
        let bytes: Vec<u8> = self.voters.iter().flat_map(|voter| voter.0.to_le_bytes()).collect();
        ClusterId(grebeusher_hash::fixed_hash_bytes(&bytes))
    }

    /// Whether the lists are ordered, without repeats and of a size that is allowed.
    pub(crate) fn is_well_formed(&self) -> bool {
        let ascending = |list: &[ReplicaId]| list.is_sorted_by(|a, b| a < b) && list.len() <= MAX_VOTERS;
        !self.voters.is_empty() && ascending(&self.voters) && ascending(&self.outgoing)
    }
}

/// The largest value that more than half of the voters have reached; the least one if there are no voters.
fn reached_by_majority<T: Ord + Default>(voters: &[ReplicaId], value: impl Fn(ReplicaId) -> T) -> T {
    let mut values: Vec<T> = voters.iter().map(|voter| value(*voter)).collect();
    values.sort_unstable();
    let minority = values.len().saturating_sub(1) / 2;
    values.into_iter().nth(minority).unwrap_or_default()
}

impl SerBin for Group {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        write_list(&self.voters, output);
        write_list(&self.outgoing, output);
    }
}

impl DeBin for Group {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Group, DeBinErr> {
        const IDENTITY_BYTES: usize = 8;
        let voters = read_list(IDENTITY_BYTES, offset, bytes)?;
        let outgoing = read_list(IDENTITY_BYTES, offset, bytes)?;
        Ok(Group { voters, outgoing })
    }
}
