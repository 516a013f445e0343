//! The names of nodes by their disk identities, also former ones.

use grebeusher_quorum::ReplicaId;
use grebeusher_registry::Registry;
use rustc_hash::FxHashMap;

/// Which node each disk identity belongs to, as far as this process has seen.
#[derive(Default)]
pub(crate) struct ReplicaNames {
    names: FxHashMap<u64, String>,
}

impl ReplicaNames {
    /// Notes that a node runs with a disk identity.
    pub fn record(&mut self, replica: u64, name: String) {
        self.names.insert(replica, name);
    }

    /// Whether the node of a disk identity runs under another one now: the disk was lost.
    pub fn is_superseded(&self, voter: ReplicaId, registry: &Registry) -> bool {
        let Some(member) = self.names.get(&voter.0).and_then(|name| registry.member(name)) else {
            return false;
        };
        member.serves() && member.replica.is_some_and(|replica| replica != voter.0)
    }
}
