//! The state machine that the voters of the fleet replicate with Raft: the shares of budgets and the maintenance plan.

use grebeusher_budgets::{Division, Entry, FleetBudgets, Grant, GrantRequest};
use grebeusher_dispatch::ids::fixed_hash;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_maintenance::{self as maintenance, MaintenanceState, Permit, PlanChange};
use grebeusher_volatile_raft::StateMachine;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicatedState {
    budgets: Division,
    pub maintenance: MaintenanceState,
    /// Microseconds of elapsed time that are not yet applied, as the parts count whole milliseconds.
    remainder_us: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StateCommand {
    /// A node requests a share of a budget.
    BudgetRequest(GrantRequest),
    /// The budgets of a node's file, which replace those of an older edition.
    Budgets(FleetBudgets),
    Maintenance(maintenance::Step),
}

/// A result of applied commands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Outcome {
    BudgetGrant(Grant),
    Permit(Permit),
    /// The maintenance plan has made progress.
    PlanChange(PlanChange),
}

impl Outcome {
    /// The number of the node that gets this outcome; `None` if it is meant for the leader.
    pub fn node(&self) -> Option<u32> {
        match self {
            Outcome::BudgetGrant(grant) => Some(grant.holder.number),
            Outcome::Permit(permit) => Some(permit.holder.number),
            Outcome::PlanChange(_) => None,
        }
    }
}

impl ReplicatedState {
    /// The initial state of a new Raft group. Grants of an earlier group that was lost may still be in use, so no
    /// share is granted before their leases have expired.
    pub fn empty(
        fleet_budgets: FleetBudgets,
        lease: Duration,
        maintenance: MaintenanceState,
    ) -> ReplicatedState {
        let mut budgets = Division::new(lease, true);
        budgets.apply(&Entry { budgets: Some(fleet_budgets), ..Entry::default() });
        ReplicatedState { budgets, maintenance, remainder_us: 0 }
    }
}

impl StateMachine for ReplicatedState {
    type Command = StateCommand;
    type Outcome = Outcome;

    fn apply(&mut self, elapsed: Duration, commands: Vec<StateCommand>) -> Vec<Outcome> {
        let elapsed_us = self.remainder_us + elapsed.nanos() / 1000;
        self.remainder_us = elapsed_us % 1000;
        let elapsed_ms = elapsed_us / 1000;
        let (mut requests, mut steps, mut budgets) = (Vec::new(), Vec::new(), None);
        for command in commands {
            match command {
                StateCommand::BudgetRequest(request) => requests.push(request),
                StateCommand::Budgets(newer) => {
                    budgets = budgets
                        .into_iter()
                        .chain([newer])
                        .max_by_key(|budgets: &FleetBudgets| budgets.edition);
                }
                StateCommand::Maintenance(step) => steps.push(step),
            }
        }
        let grants = self.budgets.apply(&Entry { elapsed_ms, budgets, requests });
        let maintenance_outcomes =
            self.maintenance.apply(elapsed_ms, steps, fixed_hash).into_iter().map(|outcome| match outcome {
                maintenance::Outcome::Permit(permit) => Outcome::Permit(permit),
                maintenance::Outcome::PlanChange(change) => Outcome::PlanChange(change),
            });
        grants.into_iter().map(Outcome::BudgetGrant).chain(maintenance_outcomes).collect()
    }

    fn depends_on_time(&self) -> bool {
        self.maintenance.changes_with_time() || self.budgets.depends_on_time()
    }

    fn bootstrapped(&mut self, at: Instant) {
        self.budgets.raise_grant_number(at.0 / 1000);
    }
}
