//! The names of nodes by their present and former disk identities.

use grebeusher_quorum::ReplicaId;
use grebeusher_registry::Registry;
use rustc_hash::FxHashMap;

/// The node name of each disk identity that this process has seen.
#[derive(Default)]
pub(crate) struct ReplicaNames {
    names: FxHashMap<u64, String>,
}

impl ReplicaNames {
    /// Records that a node runs with a disk identity.
    pub fn record(&mut self, replica: u64, name: String) {
        self.names.insert(replica, name);
    }

    /// Whether the node with this disk identity now runs with another one, as it has lost its disk.
    pub fn is_superseded(&self, voter: ReplicaId, registry: &Registry) -> bool {
        let Some(member) = self.names.get(&voter.0).and_then(|name| registry.member(name)) else {
            return false;
        };
        member.serves() && member.replica.is_some_and(|replica| replica != voter.0)
    }
}
