//! The metrics that the console shows, as statsd lines.

use crate::state::counters::{ClassCounter, Counters};
use std::fmt::{self, Display, Formatter};

/// Values read from the node's current state.
pub struct Gauges {
    /// Accepted requests that have no final response yet.
    pub open_requests: usize,
    /// Executors in the list, and how many of them are currently out of rotation.
    pub listed_executors: usize,
    pub out_of_rotation: usize,
    /// Live peers; `None` if no peers are configured.
    pub peers: Option<usize>,
    /// The number of the node that leads the voters, and how many log entries this node has applied if it is a voter.
    pub voters: (Option<u32>, Option<u64>),
    /// For each budget: its name, the units that this node may spend in a window now, and the units that it spent in
    /// the latest window.
    pub budgets: Vec<(String, u32, usize)>,
    /// The edition of the budgets in this node's file, and the edition that the voters apply.
    pub budget_editions: Option<(u64, u64)>,
}

pub struct MetricsText<'a> {
    pub counters: &'a Counters,
    /// The names of the request classes, by their indices.
    pub classes: &'a [String],
    pub gauges: Gauges,
}

impl Display for MetricsText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let MetricsText { counters, classes, gauges } = self;
        let class_counters: [(&str, &ClassCounter); 3] = [
            ("fulfilled", &counters.fulfilled),
            ("throttled", &counters.turned_back),
            ("faulted", &counters.forfeited),
        ];
        for (name, counter) in class_counters {
            for (index, class) in classes.iter().enumerate() {
                writeln!(f, "node.{name}.{class}:{}|c", counter.of_class(index))?;
            }
        }
        writeln!(f, "node.relayed:{}|c", counters.relayed.total())?;
        writeln!(f, "node.open_requests:{}|g", gauges.open_requests)?;
        writeln!(f, "node.registry_entries:{}|g", gauges.listed_executors)?;
        writeln!(f, "node.out_of_rotation:{}|g", gauges.out_of_rotation)?;
        for (name, share, spent) in &gauges.budgets {
            let name = name.replace([' ', '.', ':', '|'], "_");
            writeln!(f, "node.budget.{name}.part:{share}|g\nnode.budget.{name}.spent:{spent}|g")?;
        }
        if let Some((own, applied)) = gauges.budget_editions {
            writeln!(f, "node.budgets.read:{own}|g\nnode.budgets.settled:{applied}|g")?;
        }
        if let Some(leader) = gauges.voters.0 {
            writeln!(f, "node.keepers.leader:{leader}|g")?;
        }
        if let Some(applied_entries) = gauges.voters.1 {
            writeln!(f, "node.keepers.settled:{applied_entries}|g")?;
        }
        gauges.peers.map_or(Ok(()), |count| writeln!(f, "node.fellows:{count}|g"))
    }
}
