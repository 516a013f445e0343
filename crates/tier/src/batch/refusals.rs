//! Since when a leader's proposals are refused, so that the log says it once and not at each retry.

use grebeusher_time::{Duration, Instant};

/// The refusals of one partition's proposals, from the first to the next proposal that is taken.
#[derive(Debug, Default)]
pub(crate) struct RefusalPeriod {
    since: Option<Instant>,
}

impl RefusalPeriod {
    /// A proposal was refused. Whether it is the first one.
    pub fn refused(&mut self, now: Instant) -> bool {
        let is_first = self.since.is_none();
        self.since.get_or_insert(now);
        is_first
    }

    /// A proposal was taken. How long they were refused before, if they were.
    pub fn taken(&mut self, now: Instant) -> Option<Duration> {
        self.since.take().map(|since| now.since(since))
    }
}
