//! What callers may ask the registry. Nothing here changes it.

use crate::event::Generation;
use crate::member::{Member, NodeId};
use crate::registry::Registry;
use crate::{Executor, NodeMetadata};
use grebeusher_time::Instant;
use std::net::SocketAddrV4;

impl Registry {
    /// All nodes in the order of their names, this one and those that are dead for a while too.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// The nodes that run as far as is known, this one among them.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.serves())
    }

    /// The node of this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        Some(&self.members.get(name)?.member)
    }

    /// Since when this node holds the node of this name for what it is now.
    pub fn state_since(&self, name: &str) -> Option<Instant> {
        Some(self.members.get(name)?.changed)
    }

    /// The node with this disk; of two the one that runs, then the later one.
    pub fn member_by_replica(&self, replica: u64) -> Option<&Member> {
        self.members()
            .filter(|member| member.replica == Some(replica))
            .max_by_key(|member| (member.serves(), member.incarnation))
    }

    /// This node.
    pub fn own_member(&self) -> &Member {
        // The own register is put in at the start and never taken out.
        &self.members[&self.own_name].member
    }

    /// All executors in the order of their ids, also those that are unresponsive or gone for a while.
    pub fn executors(&self) -> impl Iterator<Item = &Executor> {
        self.executors.iter()
    }

    /// The executors of one service.
    pub fn executors_of(&self, service: &str) -> impl Iterator<Item = &Executor> {
        self.executors().filter(move |executor| executor.report.service == service)
    }

    /// The executor with this id.
    pub fn executor(&self, id: &str) -> Option<&Executor> {
        self.executors.get(id)
    }

    /// What the nodes say of themselves, also those that are dead for a while.
    pub fn node_metadata(&self) -> impl Iterator<Item = &NodeMetadata> {
        self.node_metadata.values()
    }

    /// What the node of this name says of itself.
    pub fn metadata_of(&self, name: &str) -> Option<&NodeMetadata> {
        self.node_metadata.get(name)
    }

    /// Counters that rise whenever something changes.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The version of the configuration that this node has; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// The internal addresses to which this node forwards the relays of the node `origin`: its children in the tree
    /// of relays that is rooted there.
    pub fn relay_children(&self, origin: &str) -> Vec<SocketAddrV4> {
        self.children(NodeId::of(origin))
    }

    /// As [`Registry::relay_children`], by the id of the node; nothing where no live node has it.
    pub fn relay_children_of(&self, origin: NodeId) -> Option<Vec<SocketAddrV4>> {
        self.member_of(origin).filter(|entry| entry.member.serves()).map(|_| self.children(origin))
    }
}
