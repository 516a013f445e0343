//! The rules by name, and what a broken one shows.

use grebeusher_time::Instant;
use std::fmt;

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// An answer that isn't the executor's.
    Mixed,
    /// A run that nobody asked for.
    Unasked,
    /// A run too many.
    Twice,
    /// A run despite a refusal.
    Refused,
    /// A run at the wrong service.
    Route,
    /// A request to an executor that has left.
    Drain,
    /// Something acknowledged is gone.
    Lost,
    /// A configuration that shouldn't be in force, or isn't.
    Config,
    /// A stream with a piece too many or too few.
    Order,
    /// No service after the final fault.
    Recover,
    /// More accepted than the limit allows.
    Quota,
    /// An order without an acknowledgement.
    Acks,
    /// A process ended by itself.
    Fault,
    /// A bad version gets more requests than the operators bear.
    Exposure,
    /// Stricter than the operators' rules, by the design note: reads come from a leader under its lease, so none shows less
    /// than an earlier one did.
    Stale,
    /// Stricter than the operators' rules, by the design note: in calm times an acknowledged drain is known to all nodes.
    Untold,
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&format!("{self:?}").to_uppercase())
    }
}

/// A breach, with what was seen.
#[derive(Clone, Debug)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When it showed.
    pub at: Instant,
    /// What was seen.
    pub what: String,
}
