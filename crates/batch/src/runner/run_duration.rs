//! Estimates the duration of a run.

use grebeusher_time::{Duration, DurationExt};

/// The expected duration before any run has completed.
const INITIAL_DURATION: Duration = Duration::from_millis(1_000);
/// The weight of the newest run in the mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// The exponentially weighted mean duration of completed runs.
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
    /// Records the duration of a completed run.
    pub fn observe(&mut self, duration: Duration) {
        self.mean = self.mean.scaled(1.0 - NEWEST_WEIGHT) + duration.scaled(NEWEST_WEIGHT);
    }

    /// The expected duration of a run.
    pub fn expected(&self) -> Duration {
        self.mean
    }
}
