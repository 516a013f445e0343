//! The maintenance plan that operators submit.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt::Display;

/// What happens to the other machines of the plan if one does not come back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenLost {
    /// No further machine is taken out until operators resume the plan.
    #[default]
    Stop,
    /// The plan continues, and the lost machine counts as out.
    GoOn,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// The names of the executors to take out, as in the executor list.
    #[serde(default)]
    pub machines: Vec<String>,
    /// Adds all listed executors of these zones or of the kinds in `of_kinds`; the node that accepts the plan
    /// replaces both by names.
    #[serde(default)]
    pub of_zones: Vec<String>,
    #[serde(default)]
    pub of_kinds: Vec<String>,
    /// The zone of each of `machines`, as in the executor list; filled in by the node that accepts the plan.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The numbers of the nodes whose own machines are taken out as well.
    #[serde(default)]
    pub nodes: Vec<u32>,
    /// The most nodes that may be out at once, counting those that are down outside the plan; `least_nodes`
    /// is the number of nodes that must stay in service.
    #[serde(default = "one")]
    pub most_nodes_out: u32,
    #[serde(default)]
    pub least_nodes: u32,
    /// The most nodes that may be out at once in each zone, by the zones that the nodes report. The default
    /// is no limit by zone.
    #[serde(default = "unlimited")]
    pub most_nodes_out_a_zone: u32,
    /// The most executors that may be out at once, counting those that are down outside the plan.
    pub most_out: u32,
    /// The most executors that may be out at once in each zone. The default is no limit by zone.
    #[serde(default = "unlimited")]
    pub most_out_a_zone: u32,
    /// The most executors that may be back and not yet warm at once. The default is twice `most_out`.
    #[serde(default)]
    pub most_cold: Option<u32>,
    /// The number of executors that must stay ready.
    pub least_ready: u32,
    /// The longest time in seconds for work in flight to end. A machine whose work takes longer is opened
    /// again and left to the operators.
    pub drain_within_s: u64,
    /// The longest time in seconds that the maintenance of one machine may take.
    pub work_within_s: u64,
    /// The time in seconds for which a machine that is back counts as cold.
    #[serde(default)]
    pub warm_s: u64,
    /// The longest time in seconds that a work unit may run once no node reports it any more.
    pub longest_unit_s: u64,
    #[serde(default)]
    pub when_lost: WhenLost,
    /// Whether a plan that stopped itself resumes by itself once the reason is gone.
    #[serde(default)]
    pub goes_on: bool,
    /// The share of the work rejected within five seconds above which the plan stops itself.
    #[serde(default = "tenth")]
    pub most_turned_back: f64,
    /// The machines to take out first, in this order.
    #[serde(default)]
    pub first: Vec<String>,
    /// The numbers of the nodes that operators know to be down.
    #[serde(default)]
    pub without: Vec<u32>,
}

fn unlimited() -> u32 {
    u32::MAX
}

fn one() -> u32 {
    1
}

fn tenth() -> f64 {
    0.1
}

/// The most machines and nodes in a plan. No fleet has as many; a longer plan has to be split, because its
/// messages would be too large to send.
const MAX_MACHINES: usize = 500;

fn invalid(key: &str, expected: &str, found: &dyn Display) -> Result<(), String> {
    Err(format!("{key}: expected {expected}, found {found}"))
}

impl Plan {
    /// Checks the plan. An error names the key, what was expected and what was found.
    pub fn check(&self) -> Result<(), String> {
        let count = self.machines.len() + self.nodes.len();
        if count == 0 || count > MAX_MACHINES {
            return invalid("machines and nodes, how many", &format!("1 to {MAX_MACHINES}"), &count);
        }
        self.check_terms()
    }

    /// Checks all but the number of machines, for a plan whose zones and kinds are not yet replaced by names.
    pub fn check_terms(&self) -> Result<(), String> {
        let count = self.machines.len();
        if self.name.is_empty() || self.name.len() > 100 {
            return invalid("name", "1 to 100 bytes", &self.name.len());
        }
        let mut distinct = BTreeSet::new();
        if let Some(at) = self.machines.iter().position(|name| !distinct.insert(name)) {
            return invalid(&format!("machines[{at}]"), "each machine once", &self.machines[at]);
        }
        let named = self.of_zones.is_empty() && self.of_kinds.is_empty();
        if let Some(at) = self.first.iter().position(|name| named && !distinct.contains(name)) {
            return invalid(&format!("first[{at}]"), "one of machines", &self.first[at]);
        }
        if self.zones.len() > count || (!self.zones.is_empty() && self.zones.len() < count) {
            return invalid("zones, how many", &format!("none or {count}"), &self.zones.len());
        }
        let mut nodes = BTreeSet::new();
        if let Some(at) = self.nodes.iter().position(|node| !nodes.insert(node)) {
            return invalid(&format!("nodes[{at}]"), "each node once", &self.nodes[at]);
        }
        // No other node serves the clients of a node that is drained.
        if !self.nodes.is_empty() && (self.least_nodes == 0 || self.most_nodes_out == 0) {
            return invalid("least_nodes, most_nodes_out", "1 at least where there are nodes", &0);
        }
        if self.most_nodes_out_a_zone == 0 {
            return invalid("most_nodes_out_a_zone", "1 at least", &0);
        }
        if let Some(at) = self.nodes.iter().position(|node| self.without.contains(node)) {
            return invalid(&format!("nodes[{at}]"), "one that is not down", &self.nodes[at]);
        }
        if self.most_out == 0 || self.most_out_a_zone == 0 || self.most_cold == Some(0) {
            return invalid("most_out, most_out_a_zone, most_cold", "1 at least", &0);
        }
        if !(0.0..=1.0).contains(&self.most_turned_back) {
            return invalid("most_turned_back", "0 to 1", &self.most_turned_back);
        }
        const DAY_S: u64 = 86_400;
        let spans = [
            ("drain_within_s", self.drain_within_s, 1),
            ("work_within_s", self.work_within_s, 1),
            ("warm_s", self.warm_s, 0),
            ("longest_unit_s", self.longest_unit_s, 1),
        ];
        for (key, found, least) in spans {
            if !(least..=DAY_S).contains(&found) {
                return invalid(key, &format!("{least} to {DAY_S}"), &found);
            }
        }
        Ok(())
    }

    pub(crate) fn most_cold(&self) -> usize {
        self.most_cold.unwrap_or(self.most_out.saturating_mul(2)) as usize
    }
}
