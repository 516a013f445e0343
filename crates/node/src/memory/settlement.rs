//! What the keepers of the fleet agree on.

use grebeusher_budgets::{Ask, Division, Entry, Grant, Whole};
use grebeusher_dispatch::time::Span;
use grebeusher_settled::Machine;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Settlement {
    division: Division,
    /// Microseconds that have passed beyond whole milliseconds.
    rest_us: u64,
}

/// What is to be settled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Step {
    Part(Ask),
}

/// What came of it, for one node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Outcome {
    Part(Grant),
}

impl Outcome {
    /// The number of the node that it is for.
    pub fn node(&self) -> u32 {
        match self {
            Outcome::Part(grant) => grant.holder.number,
        }
    }
}

impl Settlement {
    /// As it begins: what one that was lost has let others do may still go on.
    pub fn empty(wholes: Vec<Whole>, lease: Span) -> Settlement {
        let mut division = Division::new(lease, true);
        division.apply(&Entry { wholes: Some(wholes), ..Entry::default() });
        Settlement { division, rest_us: 0 }
    }
}

impl Machine for Settlement {
    type Step = Step;
    type Outcome = Outcome;

    fn settles(&mut self, passed: Span, steps: Vec<Step>) -> Vec<Outcome> {
        let us = self.rest_us + passed.0 / 1000;
        self.rest_us = us % 1000;
        let asks = steps.into_iter().map(|Step::Part(ask)| ask).collect();
        let grants = self.division.apply(&Entry { passed_ms: us / 1000, wholes: None, asks });
        grants.into_iter().map(Outcome::Part).collect()
    }

    fn waits(&self) -> bool {
        false
    }
}
