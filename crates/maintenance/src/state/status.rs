//! The status of the plan for operators.

use super::{Machine, MaintenanceState, Phase, PlanState};
use serde::{Deserialize, Serialize};

impl MaintenanceState {
    /// Returns the status of the plan for operators.
    pub fn status(&self) -> PlanStatus {
        let Some(active) = &self.active else {
            let standing = "none".to_owned();
            return PlanStatus {
                number: self.number,
                standing,
                answers: self.answers.clone(),
                ..PlanStatus::default()
            };
        };
        let (standing, why) = match &active.state {
            PlanState::Running => ("runs", active.waiting_for.clone()),
            PlanState::Paused => ("paused", String::new()),
            PlanState::Stopped(why) => ("stopped", why.clone()),
            PlanState::Withdrawn => ("withdrawn", String::new()),
            PlanState::Finished => ("over", String::new()),
        };
        let machine = |m: &Machine| MachineStatus {
            name: m.name.clone(),
            phase: m.phase,
            for_s: (self.clock_ms - m.since_ms) / 1000,
            number: m.number,
            why: match m.phase {
                Phase::Draining => self
                    .delaying_node(&active.plan, m)
                    .map_or_else(String::new, |node| format!("waits for node {node}")),
                _ => m.why.clone(),
            },
        };
        PlanStatus {
            number: self.number,
            plan: active.plan.name.clone(),
            standing: standing.to_owned(),
            why,
            for_s: (self.clock_ms - active.started_at_ms) / 1000,
            machines: active.machines.iter().map(machine).collect(),
            answers: self.answers.clone(),
        }
    }
}

/// The status of the plan as operators read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStatus {
    /// The number of the last decision.
    pub number: u64,
    pub plan: String,
    pub standing: String,
    /// What the plan waits for, or why it stopped.
    pub why: String,
    pub for_s: u64,
    pub machines: Vec<MachineStatus>,
    pub answers: Vec<(u64, String)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStatus {
    pub name: String,
    pub phase: Phase,
    pub for_s: u64,
    pub number: u64,
    pub why: String,
}
