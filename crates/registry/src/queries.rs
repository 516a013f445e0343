//! Read-only queries of the registry for its callers.

use crate::event::Generation;
use crate::member::{Member, NodeId};
use crate::registry::Registry;
use crate::{Executor, NodeMetadata};
use grebeusher_time::Instant;
use std::net::SocketAddrV4;

impl Registry {
    /// Returns all nodes in the order of their names, including this node and dead nodes that are still remembered.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// Returns the nodes that run as far as is known, including this node.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.serves())
    }

    /// Returns the node with this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        Some(&self.members.get(name)?.member)
    }

    /// Returns when the register of the node with this name last changed on this node.
    pub fn state_since(&self, name: &str) -> Option<Instant> {
        Some(self.members.get(name)?.changed)
    }

    /// Returns the node with this disk identity. Of several such nodes, a running one comes first, then the one with
    /// the highest incarnation.
    pub fn member_by_replica(&self, replica: u64) -> Option<&Member> {
        self.members()
            .filter(|member| member.replica == Some(replica))
            .max_by_key(|member| (member.serves(), member.incarnation))
    }

    /// Returns the register of this node.
    pub fn own_member(&self) -> &Member {
        // The own register is inserted at the start and never removed.
        &self.members[&self.own_name].member
    }

    /// Returns all executors in the order of their ids, including those that are unresponsive or gone and not yet
    /// expired.
    pub fn executors(&self) -> impl Iterator<Item = &Executor> {
        self.executors.iter()
    }

    /// Returns the executors of one service.
    pub fn executors_of(&self, service: &str) -> impl Iterator<Item = &Executor> {
        self.executors().filter(move |executor| executor.report.service == service)
    }

    /// Returns the executor with this id.
    pub fn executor(&self, id: &str) -> Option<&Executor> {
        self.executors.get(id)
    }

    /// Returns the metadata of all nodes, including dead nodes that are still remembered.
    pub fn node_metadata(&self) -> impl Iterator<Item = &NodeMetadata> {
        self.node_metadata.values()
    }

    /// Returns the metadata of the node with this name.
    pub fn metadata_of(&self, name: &str) -> Option<&NodeMetadata> {
        self.node_metadata.get(name)
    }

    /// Returns the counters that increase whenever a set of registers changes.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the version of the configuration that this node has, or 0 if it has none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// Returns the internal addresses to which this node forwards the relays of the node with the name `origin`: its
    /// children in the relay tree that is rooted at that node.
    pub fn relay_children(&self, origin: &str) -> Vec<SocketAddrV4> {
        self.children(NodeId::of(origin))
    }

    /// Returns the same as [`Registry::relay_children`] for the node with the id `origin`, or `None` if no live node
    /// has this id.
    pub fn relay_children_of(&self, origin: NodeId) -> Option<Vec<SocketAddrV4>> {
        self.member_by_id(origin).filter(|entry| entry.member.serves()).map(|_| self.children(origin))
    }
}
