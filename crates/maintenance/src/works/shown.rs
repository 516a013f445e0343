//! The status of the plan for operators.

use super::{Machine, Phase, Standing, Works};
use serde::{Deserialize, Serialize};

impl Works {
    /// Returns the status of the plan for operators.
    pub fn shown(&self) -> Shown {
        let Some(plans) = &self.plans else {
            let standing = "none".to_owned();
            return Shown {
                number: self.number,
                standing,
                answers: self.answers.clone(),
                ..Shown::default()
            };
        };
        let (standing, why) = match &plans.standing {
            Standing::Runs => ("runs", plans.waits_for.clone()),
            Standing::Paused => ("paused", String::new()),
            Standing::Stopped(why) => ("stopped", why.clone()),
            Standing::Withdrawn => ("withdrawn", String::new()),
            Standing::Over => ("over", String::new()),
        };
        let machine = |m: &Machine| ShownMachine {
            name: m.name.clone(),
            phase: m.phase,
            for_s: (self.clock_ms - m.since_ms) / 1000,
            number: m.number,
            why: match m.phase {
                Phase::Draining => self
                    .holds_up(&plans.plan, m)
                    .map_or_else(String::new, |node| format!("waits for node {node}")),
                _ => m.why.clone(),
            },
        };
        Shown {
            number: self.number,
            plan: plans.plan.name.clone(),
            standing: standing.to_owned(),
            why,
            for_s: (self.clock_ms - plans.began_ms) / 1000,
            machines: plans.machines.iter().map(machine).collect(),
            answers: self.answers.clone(),
        }
    }
}

/// The status of the plan as operators read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    /// The number of the last decision.
    pub number: u64,
    pub plan: String,
    pub standing: String,
    /// What the plan waits for, or why it stopped.
    pub why: String,
    pub for_s: u64,
    pub machines: Vec<ShownMachine>,
    pub answers: Vec<(u64, String)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShownMachine {
    pub name: String,
    pub phase: Phase,
    pub for_s: u64,
    pub number: u64,
    pub why: String,
}
