//! Notes since when a leader's proposals have been rejected, so that this is logged once and not at each
//! retry.

use grebeusher_time::{Duration, Instant};

/// The period in which proposals of one partition are rejected: from the first rejection to the next accepted
/// proposal.
#[derive(Debug, Default)]
pub(crate) struct RefusalPeriod {
    /// The time of the first rejection; `None` if the last proposal was accepted.
    since: Option<Instant>,
}

impl RefusalPeriod {
    /// Records that a proposal was rejected. Returns whether it is the first one of the period.
    pub fn record_rejected(&mut self, now: Instant) -> bool {
        let is_first = self.since.is_none();
        self.since.get_or_insert(now);
        is_first
    }

    /// Records that a proposal was accepted. Returns how long proposals were rejected before, if they were.
    pub fn record_accepted(&mut self, now: Instant) -> Option<Duration> {
        self.since.take().map(|since| now.since(since))
    }
}
