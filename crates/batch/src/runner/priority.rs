//! The order in which jobs run items. Jobs that can still complete in time come first, ordered by their due time, then
//! jobs that are late. Every few turns the job whose last turn is the longest ago comes first instead, so that no job
//! starves behind more urgent ones. A turn is the start of one item.

use grebeusher_time::Instant;

/// One turn out of this many is a [`Turn::Fair`] one.
const FAIR_TURN_INTERVAL: u64 = 8;

/// The rule by which a turn orders jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// Jobs are ordered by their due time, with late jobs last.
    Urgency,
    /// The job whose last turn is the longest ago comes first.
    Fair,
}

impl Turn {
    /// The rule of the turn that follows `turn_count` earlier ones.
    pub fn nth(turn_count: u64) -> Turn {
        if turn_count % FAIR_TURN_INTERVAL == FAIR_TURN_INTERVAL - 1 { Turn::Fair } else { Turn::Urgency }
    }
}

/// The priority of a job. The job with the lowest value comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Priority {
    /// Whether the job can no longer complete in time.
    pub is_late: bool,
    /// The time at which all results of the job are due.
    pub due_at: Instant,
    /// The latest turn in which an item of the job started.
    pub last_turn: u64,
}
