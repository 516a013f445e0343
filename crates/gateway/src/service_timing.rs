//! How long the requests of one service take: running means over its attempts.

use grebeusher_time::{Duration, DurationExt};

/// The weight of the newest value in the means: some twenty values count.
const NEWEST_WEIGHT: f64 = 0.05;
/// The duration of an attempt until any has ended. Short, so that nothing is rejected on a guess.
const INITIAL_DURATION_S: f64 = 0.1;
/// One long stall must not set the scale of the event gaps.
const MAX_GAP_RATIO: f64 = 10.0;
/// The least gap that a ratio is taken of.
const MIN_GAP_S: f64 = 1e-6;

/// Running means of one service, in seconds.
pub(crate) struct ServiceTiming {
    /// How long an attempt lasts.
    attempt_duration_s: f64,
    /// From the send to the first event, apart from prefill; 0 while none was seen.
    first_event_s: f64,
    /// Between two events of a stream; 0 while none was seen.
    event_gap_s: f64,
}

impl Default for ServiceTiming {
    fn default() -> ServiceTiming {
        ServiceTiming { attempt_duration_s: INITIAL_DURATION_S, first_event_s: 0.0, event_gap_s: 0.0 }
    }
}

impl ServiceTiming {
    /// How long an attempt lasts.
    pub fn attempt_duration_s(&self) -> f64 {
        self.attempt_duration_s
    }

    /// An attempt was served within `duration`.
    pub fn observe_attempt(&mut self, duration: Duration) {
        self.attempt_duration_s += (duration.seconds() - self.attempt_duration_s) * NEWEST_WEIGHT;
    }

    /// A first event came `seconds` after the send, apart from prefill. Returns by how much that exceeds the mean.
    pub fn observe_first_event(&mut self, seconds: f64) -> f64 {
        let excess = seconds - self.first_event_s;
        self.first_event_s += excess * if self.first_event_s == 0.0 { 1.0 } else { NEWEST_WEIGHT };
        excess
    }

    /// A gap between two events of a stream. Returns it as a multiple of the mean.
    pub fn observe_event_gap(&mut self, gap: Duration) -> f64 {
        if self.event_gap_s == 0.0 {
            self.event_gap_s = gap.seconds();
        }
        let ratio = (gap.seconds() / self.event_gap_s.max(MIN_GAP_S)).min(MAX_GAP_RATIO);
        self.event_gap_s *= 1.0 + (ratio - 1.0) * NEWEST_WEIGHT;
        ratio
    }

    /// How long an attempt usually shows no progress: until its first event, or to its end where it has none.
    pub fn usual_quiet_duration(&self) -> Duration {
        let streams = self.first_event_s > 0.0;
        let seconds =
            if streams { self.first_event_s.max(self.event_gap_s) } else { self.attempt_duration_s };
        Duration::from_seconds(seconds)
    }
}
