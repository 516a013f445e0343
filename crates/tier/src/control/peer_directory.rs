//! The choice of the node to call, by the members of the registry and the leaders that they announce.

use crate::control::leader_index::LeaderIndex;
use crate::control::partition_host::class_of_partition;
use grebeusher_registry::{Class, Registry};
use grebeusher_time::Instant;
use std::net::SocketAddrV4;

/// A read-only view of the peers at one moment.
pub(crate) struct PeerDirectory<'a> {
    /// The time of this turn of the loop.
    pub now: Instant,
    /// The registry, for the members.
    pub registry: &'a Registry,
    /// The index of the leaders of partitions.
    pub leaders: &'a LeaderIndex,
    /// The internal address of this node.
    pub own_address: SocketAddrV4,
}

impl PeerDirectory<'_> {
    /// Returns the address of the node that leads a partition: the one with the highest announced term.
    pub fn leader(&self, partition: u8) -> Option<SocketAddrV4> {
        self.leaders.leader(self.registry, partition)
    }

    /// Returns the next node to try as the leader of a partition: the announced leader if it is not in `tried`, then any live
    /// node of the class that holds replicas of the partition.
    pub fn leader_candidate(&self, partition: u8, tried: &[SocketAddrV4]) -> Option<SocketAddrV4> {
        let untried = |address: &SocketAddrV4| !tried.contains(address);
        if let Some(leader) = self.leader(partition).filter(untried) {
            return Some(leader);
        }
        let class = class_of_partition(partition);
        let replicas = self.registry.live_members().filter(|member| member.class == class);
        let replicas = replicas.filter(|member| member.replica.is_some());
        let addresses: Vec<SocketAddrV4> = replicas.map(|member| member.address).filter(untried).collect();
        self.pick(&addresses)
    }

    /// Returns a node that may reach a leader that this node can't reach: any other live edge node that is `usable`.
    pub fn relay_candidate(&self, usable: impl Fn(&SocketAddrV4) -> bool) -> Option<SocketAddrV4> {
        let edges = self.registry.live_members().filter(|member| member.class == Class::Edge);
        let others = edges.map(|member| member.address).filter(|address| *address != self.own_address);
        let usable: Vec<SocketAddrV4> = others.filter(usable).collect();
        self.pick(&usable)
    }

    /// Whether there is another live node that is `usable`.
    pub fn any_other(&self, usable: impl Fn(&SocketAddrV4) -> bool) -> bool {
        let mut others = self.registry.live_members().map(|member| member.address);
        others.any(|address| address != self.own_address && usable(&address))
    }

    /// Returns the internal address of the node with a name.
    pub fn address_of(&self, name: &str) -> Option<SocketAddrV4> {
        self.registry.member(name).map(|member| member.address)
    }

    /// Returns one of the addresses. The choice varies with the time.
    fn pick(&self, addresses: &[SocketAddrV4]) -> Option<SocketAddrV4> {
        addresses.get(self.now.0 as usize % addresses.len().max(1)).copied()
    }
}
