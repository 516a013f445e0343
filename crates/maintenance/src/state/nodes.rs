//! Maintenance of the nodes' own machines. A node that is to be drained sends its clients away, ends its work
//! in flight, returns its shares of budgets and reports that itself: no other node sends to it, so nothing
//! waits for other nodes. From then on it sends nothing, and nothing waits for it as a sender, until it
//! requests a permission again.

use super::{ActivePlan, Machine, MaintenanceState, Phase, is_closed};
use crate::plan::Plan;

/// The name of a node's machine in a plan.
pub fn node_name(number: u32) -> String {
    format!("node {number}")
}

/// Whether the plan has closed this node.
fn is_node_closed(active: &ActivePlan, node: u32) -> bool {
    active.machines.iter().any(|m| m.node == Some(node) && is_closed(m.phase))
}

impl MaintenanceState {
    /// Checks that the fleet has the nodes of a plan.
    pub(super) fn check_nodes(&self, plan: &Plan) -> Result<(), String> {
        match plan.nodes.iter().position(|node| *node >= self.nodes) {
            Some(at) => {
                let (count, found) = (self.nodes, plan.nodes[at]);
                Err(format!("nodes[{at}]: expected a number below {count}, found {found}"))
            }
            None => Ok(()),
        }
    }

    /// Whether any process of this node has a permission that has not expired.
    fn has_permission(&self, node: u32) -> bool {
        let own = self.senders.iter().filter(|(holder, _)| holder.number == node);
        own.into_iter().any(|(_, sender)| !sender.is_dead && sender.expires_ms > self.clock_ms)
    }

    /// The zone of a machine: for an executor by the executor list, for a node as it reports itself.
    pub(super) fn zone_of<'a>(&'a self, machine: &'a Machine) -> &'a str {
        let of_node = |node: u32| self.node_zones.get(&node).map_or("", String::as_str);
        machine.node.map_or(&machine.zone, of_node)
    }

    /// The number of nodes in a zone that are down outside the plan and that operators did not name as down.
    pub(super) fn nodes_down(&self, active: &ActivePlan, zone: &str) -> u32 {
        let own = self.node_zones.iter().filter(|(_, own)| *own == zone).map(|(node, _)| *node);
        let down = |node: &u32| {
            !self.has_permission(*node)
                && !active.plan.without.contains(node)
                && !is_node_closed(active, *node)
        };
        own.filter(down).count() as u32
    }

    /// The generation of the newest process of a node, or 0 before any was heard of.
    fn newest_generation(&self, node: u32) -> u64 {
        let own = self.senders.keys().filter(|holder| holder.number == node);
        own.map(|holder| holder.generation).max().unwrap_or(0)
    }

    /// Updates the plan's nodes from their requests, as the executor list does for executors.
    pub(super) fn update_nodes(&self, machines: &mut [Machine]) {
        for machine in machines {
            let Some(node) = machine.node else { continue };
            machine.ready = self.has_permission(node);
            machine.seen |= machine.ready;
            machine.started_ms = machine.started_ms.max(self.newest_generation(node));
        }
    }

    /// Whether the node has reported, after it learned that it is to be drained, that it has nothing left.
    pub(super) fn is_drained(&self, machine: &Machine) -> bool {
        let own = self.senders.iter().filter(|(holder, _)| Some(holder.number) == machine.node);
        // An earlier process has ended, and its work in flight with it.
        let newest = own.max_by_key(|(holder, _)| holder.generation);
        newest.is_some_and(|(_, sender)| sender.is_drained && sender.known_decision >= machine.closed_by)
    }

    /// Removes the processes of a node that is out: it sends nothing before its next permission, so nothing
    /// waits for it.
    pub(super) fn remove_processes(&mut self, node: u32) {
        self.senders.retain(|holder, _| holder.number != node);
    }

    /// Returns the reason why this node may not be drained now, if any.
    pub(super) fn node_blocking_reason(
        &self,
        active: &ActivePlan,
        machine: &Machine,
        node: u32,
    ) -> Option<String> {
        let Plan { most_nodes_out, most_nodes_out_a_zone, least_nodes, without, .. } = &active.plan;
        if !machine.ready {
            return Some(format!("{}, which is not there", machine.name));
        }
        // Nodes that operators named as down do not count as out: those that replace them carry their load.
        let (mut out, mut stay) = (0, 0);
        for other in 0..self.nodes {
            let serves = self.has_permission(other) && !is_node_closed(active, other);
            out += u32::from(!serves && !without.contains(&other));
            stay += u32::from(serves && other != node);
        }
        if out >= *most_nodes_out {
            return Some(format!("{out} nodes are out or down, {most_nodes_out} may be"));
        }
        // The frontends of a zone send to the nodes of their own zone first, so the remaining nodes of the
        // zone carry the load of the drained ones.
        let zone = self.zone_of(machine);
        let closed = active.machines.iter().filter(|m| m.node.is_some() && is_closed(m.phase));
        let in_zone =
            closed.filter(|m| self.zone_of(m) == zone).count() as u32 + self.nodes_down(active, zone);
        if in_zone >= *most_nodes_out_a_zone {
            let most = most_nodes_out_a_zone;
            return Some(format!("{in_zone} nodes of zone {zone} are out or down, {most} may be"));
        }
        if stay < *least_nodes {
            return Some(format!("{stay} nodes would stay, {least_nodes} must"));
        }
        if !self.voters.contains(&node) {
            return None;
        }
        // Voters are drained one at a time, and the next one only after the one before has been back for the
        // warm-up time.
        let is_back = |voter: u32| {
            let own = active.machines.iter().find(|m| m.node == Some(voter));
            self.has_permission(voter) && own.is_none_or(|m| !is_closed(m.phase) && m.phase != Phase::Back)
        };
        let other = self.voters.iter().find(|voter| **voter != node && !is_back(**voter));
        other.map(|voter| format!("node {voter}, a keeper that is not back"))
    }
}
