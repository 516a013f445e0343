//! The figures that the staff ask for, as statsd lines.

use crate::memory::counters::{Counters, Tally};
use std::fmt::{self, Display, Formatter};

/// What the state itself says at this moment.
pub struct Gauges {
    /// Work units taken in that have no answer yet.
    pub open: usize,
    /// Executors in the list, and how many of them the decisions pass over now.
    pub listed: usize,
    pub passed_over: usize,
    /// Other nodes that are there, where they talk.
    pub fellows: Option<usize>,
    /// The node that leads the keepers, and how many entries are settled at this one.
    pub settled: (Option<u32>, Option<u64>),
    /// Of each budget: what this node may spend now in a window, and what it has spent in the last.
    pub parts: Vec<(String, u32, usize)>,
    /// The edition of the budgets in this node's file, and of those that the keepers go by.
    pub editions: Option<(u64, u64)>,
}

pub struct Figures<'a> {
    pub counters: &'a Counters,
    pub tariffs: &'a [String],
    pub gauges: Gauges,
}

impl Display for Figures<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Figures { counters, tariffs, gauges } = self;
        let tallies: [(&str, &Tally); 3] = [
            ("fulfilled", &counters.fulfilled),
            ("throttled", &counters.turned_back),
            ("faulted", &counters.forfeited),
        ];
        for (name, tally) in tallies {
            for (place, tariff) in tariffs.iter().enumerate() {
                writeln!(f, "node.{name}.{tariff}:{}|c", tally.of(place))?;
            }
        }
        writeln!(f, "node.relayed:{}|c", counters.relayed.all())?;
        writeln!(f, "node.open_requests:{}|g", gauges.open)?;
        writeln!(f, "node.registry_entries:{}|g", gauges.listed)?;
        writeln!(f, "node.out_of_rotation:{}|g", gauges.passed_over)?;
        for (name, part, spent) in &gauges.parts {
            let name = name.replace([' ', '.', ':', '|'], "_");
            writeln!(f, "node.budget.{name}.part:{part}|g\nnode.budget.{name}.spent:{spent}|g")?;
        }
        if let Some((read, settled)) = gauges.editions {
            writeln!(f, "node.budgets.read:{read}|g\nnode.budgets.settled:{settled}|g")?;
        }
        if let Some(leader) = gauges.settled.0 {
            writeln!(f, "node.keepers.leader:{leader}|g")?;
        }
        if let Some(entries) = gauges.settled.1 {
            writeln!(f, "node.keepers.settled:{entries}|g")?;
        }
        gauges.fellows.map_or(Ok(()), |count| writeln!(f, "node.fellows:{count}|g"))
    }
}
