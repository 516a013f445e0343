//! How long a run is expected to take.

use grebeusher_time::{Duration, DurationExt};

/// The expected duration before any run has been seen.
const INITIAL_DURATION: Duration = Duration::from_millis(1_000);
/// The weight of the newest run in the mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// The running mean of complete runs.
#[derive(Debug)]
pub(super) struct RunDurationEstimate {
    mean: Duration,
}

impl Default for RunDurationEstimate {
    fn default() -> RunDurationEstimate {
        RunDurationEstimate { mean: INITIAL_DURATION }
    }
}

impl RunDurationEstimate {
    /// A complete run took so long.
    pub fn observe(&mut self, duration: Duration) {
        self.mean = self.mean.scaled(1.0 - NEWEST_WEIGHT) + duration.scaled(NEWEST_WEIGHT);
    }

    pub fn expected(&self) -> Duration {
        self.mean
    }
}
