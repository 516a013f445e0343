//! The order of jobs: those that can still be in time by their due time, then the late ones. Every few turns the job
//! that has waited longest for a turn goes first, so that none starves behind those that are more urgent.

use grebeusher_time::Instant;

/// One turn in so many is a fair one.
const FAIR_TURN_INTERVAL: u64 = 8;

/// What a turn orders jobs by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// By due time, late ones last.
    Urgency,
    /// By the time since a job's last turn.
    Fair,
}

impl Turn {
    /// The kind of the turn after so many.
    pub fn of(turns: u64) -> Turn {
        if turns % FAIR_TURN_INTERVAL == FAIR_TURN_INTERVAL - 1 { Turn::Fair } else { Turn::Urgency }
    }
}

/// The position of a job in the order: the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Priority {
    pub is_late: bool,
    pub due: Instant,
    pub last_turn: u64,
}
