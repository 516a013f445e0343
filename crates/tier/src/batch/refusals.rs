//! Notes since when a leader's proposals have been refused, so that this is logged once and not at each
//! retry.

use grebeusher_time::{Duration, Instant};

/// The period in which proposals of one partition are refused: from the first refusal to the next accepted
/// proposal.
#[derive(Debug, Default)]
pub(crate) struct RefusalPeriod {
    /// The time of the first refusal; `None` if the last proposal was accepted.
    since: Option<Instant>,
}

impl RefusalPeriod {
    /// Records that a proposal was refused. Returns whether it is the first one of the period.
    pub fn record_refused(&mut self, now: Instant) -> bool {
        let is_first = self.since.is_none();
        self.since.get_or_insert(now);
        is_first
    }

    /// Records that a proposal was accepted. Returns how long proposals were refused before, if they were.
    pub fn record_accepted(&mut self, now: Instant) -> Option<Duration> {
        self.since.take().map(|since| now.since(since))
    }
}
