//! What staff hand in.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt::Display;

/// What becomes of the rest when a machine does not come back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenLost {
    /// Nothing further is taken out before staff say so.
    #[default]
    Stop,
    /// It counts as out from then on.
    GoOn,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Names of executors, each as the list has it.
    #[serde(default)]
    pub machines: Vec<String>,
    /// All that are listed in these zones or of these kinds as well; made names by the node that takes the plan in.
    #[serde(default)]
    pub of_zones: Vec<String>,
    #[serde(default)]
    pub of_kinds: Vec<String>,
    /// The zone of each, as the list has it; filled in by the node that takes the plan in.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Numbers of nodes whose own machines are to go out as well.
    #[serde(default)]
    pub nodes: Vec<u32>,
    /// Of these at once, counting those that are down beside the plan; and how many must stay.
    #[serde(default = "one")]
    pub most_nodes_out: u32,
    #[serde(default)]
    pub least_nodes: u32,
    /// Of nodes in each zone, by the zones in which they say that they stand; as many as in all without it.
    #[serde(default = "any")]
    pub most_nodes_out_a_zone: u32,
    /// At once, counting those that are down beside the plan.
    pub most_out: u32,
    /// In each zone; as many as in all without it.
    #[serde(default = "any")]
    pub most_out_a_zone: u32,
    /// Back and not yet warm, at once; twice as many as may be out without it.
    #[serde(default)]
    pub most_cold: Option<u32>,
    /// Executors that must stay ready.
    pub least_ready: u32,
    /// How long work in hand may take to end. What takes longer keeps its machine, which is left for staff.
    pub drain_within_s: u64,
    /// How long the work on a machine may take.
    pub work_within_s: u64,
    /// How long one that is back is cold.
    #[serde(default)]
    pub warm_s: u64,
    /// The longest that a work unit may run of which no node tells any more.
    pub longest_unit_s: u64,
    #[serde(default)]
    pub when_lost: WhenLost,
    /// Whether it goes on by itself when what stopped it is over.
    #[serde(default)]
    pub goes_on: bool,
    /// The part of the work turned back over five seconds at which it stops.
    #[serde(default = "tenth")]
    pub most_turned_back: f64,
    /// Machines that go first, in this order.
    #[serde(default)]
    pub first: Vec<String>,
    /// Numbers of nodes that staff know to be down.
    #[serde(default)]
    pub without: Vec<u32>,
}

fn any() -> u32 {
    u32::MAX
}

fn one() -> u32 {
    1
}

fn tenth() -> f64 {
    0.1
}

/// More than any fleet has: a longer one is for several plans, and does not fit what is sent of it.
const MAX_MACHINES: usize = 500;

fn wrong(key: &str, expected: &str, found: &dyn Display) -> Result<(), String> {
    Err(format!("{key}: expected {expected}, found {found}"))
}

impl Plan {
    /// Whether it can be gone by; the error names the key, what was expected and what was found.
    pub fn check(&self) -> Result<(), String> {
        let count = self.machines.len() + self.nodes.len();
        if count == 0 || count > MAX_MACHINES {
            return wrong("machines and nodes, how many", &format!("1 to {MAX_MACHINES}"), &count);
        }
        self.check_terms()
    }

    /// The same as long as it is not known which machines it means.
    pub fn check_terms(&self) -> Result<(), String> {
        let count = self.machines.len();
        if self.name.is_empty() || self.name.len() > 100 {
            return wrong("name", "1 to 100 bytes", &self.name.len());
        }
        let mut different = BTreeSet::new();
        if let Some(at) = self.machines.iter().position(|name| !different.insert(name)) {
            return wrong(&format!("machines[{at}]"), "each machine once", &self.machines[at]);
        }
        let named = self.of_zones.is_empty() && self.of_kinds.is_empty();
        if let Some(at) = self.first.iter().position(|name| named && !different.contains(name)) {
            return wrong(&format!("first[{at}]"), "one of machines", &self.first[at]);
        }
        if self.zones.len() > count || (!self.zones.is_empty() && self.zones.len() < count) {
            return wrong("zones, how many", &format!("none or {count}"), &self.zones.len());
        }
        let mut nodes = BTreeSet::new();
        if let Some(at) = self.nodes.iter().position(|node| !nodes.insert(node)) {
            return wrong(&format!("nodes[{at}]"), "each node once", &self.nodes[at]);
        }
        // Nobody else serves the clients of a node that is sent away.
        if !self.nodes.is_empty() && (self.least_nodes == 0 || self.most_nodes_out == 0) {
            return wrong("least_nodes, most_nodes_out", "1 at least where there are nodes", &0);
        }
        if self.most_nodes_out_a_zone == 0 {
            return wrong("most_nodes_out_a_zone", "1 at least", &0);
        }
        if let Some(at) = self.nodes.iter().position(|node| self.without.contains(node)) {
            return wrong(&format!("nodes[{at}]"), "one that is not down", &self.nodes[at]);
        }
        if self.most_out == 0 || self.most_out_a_zone == 0 || self.most_cold == Some(0) {
            return wrong("most_out, most_out_a_zone, most_cold", "1 at least", &0);
        }
        if !(0.0..=1.0).contains(&self.most_turned_back) {
            return wrong("most_turned_back", "0 to 1", &self.most_turned_back);
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
                return wrong(key, &format!("{least} to {DAY_S}"), &found);
            }
        }
        Ok(())
    }

    pub(crate) fn most_cold(&self) -> usize {
        self.most_cold.unwrap_or(self.most_out.saturating_mul(2)) as usize
    }
}
