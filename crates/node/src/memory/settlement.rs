//! What the keepers of the fleet agree on.

use grebeusher_budgets::{Ask, Division, Entry, Grant, Wholes};
use grebeusher_dispatch::ids::fixed_hash;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_maintenance::{self as maintenance, Moved, Permit, Works};
use grebeusher_volatile_raft::StateMachine;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Settlement {
    division: Division,
    pub works: Works,
    /// Microseconds that have passed beyond whole milliseconds.
    rest_us: u64,
}

/// What is to be settled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Step {
    Part(Ask),
    /// The budgets by a newer file.
    Budgets(Wholes),
    Works(maintenance::Step),
}

/// What came of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Outcome {
    Part(Grant),
    Permit(Permit),
    Moved(Moved),
}

impl Outcome {
    /// The number of the node that it is for; `None` for whoever leads.
    pub fn node(&self) -> Option<u32> {
        match self {
            Outcome::Part(grant) => Some(grant.holder.number),
            Outcome::Permit(permit) => Some(permit.holder.number),
            Outcome::Moved(_) => None,
        }
    }
}

impl Settlement {
    /// As it begins: what one that was lost has let others do may still go on.
    pub fn empty(wholes: Wholes, lease: Duration, works: Works) -> Settlement {
        let mut division = Division::new(lease, true);
        division.apply(&Entry { wholes: Some(wholes), ..Entry::default() });
        Settlement { division, works, rest_us: 0 }
    }
}

impl StateMachine for Settlement {
    type Command = Step;
    type Outcome = Outcome;

    fn apply(&mut self, elapsed: Duration, steps: Vec<Step>) -> Vec<Outcome> {
        let us = self.rest_us + elapsed.nanos() / 1000;
        self.rest_us = us % 1000;
        let passed_ms = us / 1000;
        let (mut asks, mut works, mut wholes) = (Vec::new(), Vec::new(), None);
        for step in steps {
            match step {
                Step::Part(ask) => asks.push(ask),
                Step::Budgets(newer) => {
                    wholes = wholes.into_iter().chain([newer]).max_by_key(|wholes: &Wholes| wholes.edition);
                }
                Step::Works(step) => works.push(step),
            }
        }
        let grants = self.division.apply(&Entry { passed_ms, wholes, asks });
        let moves = self.works.apply(passed_ms, works, fixed_hash).into_iter().map(|outcome| match outcome {
            maintenance::Outcome::Permit(permit) => Outcome::Permit(permit),
            maintenance::Outcome::Moved(moved) => Outcome::Moved(moved),
        });
        grants.into_iter().map(Outcome::Part).chain(moves).collect()
    }

    fn depends_on_time(&self) -> bool {
        self.works.waits() || self.division.waits()
    }

    fn bootstrapped(&mut self, at: Instant) {
        self.division.numbers_beyond(at.0 / 1000);
    }
}
