//! How fast an executor makes progress, compared with the other executors of its service: by the gaps between stream
//! events, and by the delay of first events. Without new observations both estimates return linearly to the values of
//! an executor that is as fast as usual.

use grebeusher_time::{Duration, DurationExt, Instant};

/// The age at which an estimate of event gaps has no more weight: about the duration of the prefill of a long prompt,
/// which is what lengthens the gaps.
const GAP_RATIO_MAX_AGE: Duration = Duration::from_millis(400);
/// The age at which an estimate of the first event's delay has no more weight. The prompts that waited for prefill at
/// the observation have been processed within about this time.
const FIRST_EVENT_DELAY_MAX_AGE: Duration = Duration::from_millis(1000);
/// The weight of the newest observation in an estimate.
const NEWEST_WEIGHT: f64 = 0.5;

/// The remaining weight of an estimate, which falls linearly from 1 to 0 within `max_age`.
fn remaining_weight(observed_at: Instant, now: Instant, max_age: Duration) -> f64 {
    (1.0 - now.since(observed_at).seconds() / max_age.seconds()).max(0.0)
}

/// The gaps between an executor's stream events, as a multiple of the mean gap of its service.
pub(crate) struct EventGapRatio {
    ratio: f64,
    observed_at: Instant,
}

impl Default for EventGapRatio {
    fn default() -> EventGapRatio {
        EventGapRatio { ratio: 1.0, observed_at: Instant(0) }
    }
}

impl EventGapRatio {
    /// Records a gap between two events that was `ratio` times the mean gap of the service.
    pub fn observe(&mut self, now: Instant, ratio: f64) {
        let previous = 1.0 + self.excess(now);
        self.ratio = previous + (ratio - previous) * NEWEST_WEIGHT;
        self.observed_at = now;
    }

    /// By which multiple of the service's mean gap the executor's gaps exceed it. It is 0 when the gaps are not longer
    /// than the mean, or when none was observed recently.
    pub fn excess(&self, now: Instant) -> f64 {
        ((self.ratio - 1.0) * remaining_weight(self.observed_at, now, GAP_RATIO_MAX_AGE)).max(0.0)
    }
}

/// By how much an executor's first events come later than the mean of its service. The time for the prefill of the
/// requests' own prompts is left out.
pub(crate) struct FirstEventDelay {
    delay_s: f64,
    observed_at: Instant,
}

impl Default for FirstEventDelay {
    fn default() -> FirstEventDelay {
        FirstEventDelay { delay_s: 0.0, observed_at: Instant(0) }
    }
}

impl FirstEventDelay {
    /// Records a first event that came `delay_s` seconds later than the mean of the service, or earlier if negative.
    pub fn observe(&mut self, now: Instant, delay_s: f64) {
        let previous_s = self.seconds(now);
        self.delay_s = previous_s + (delay_s - previous_s) * NEWEST_WEIGHT;
        self.observed_at = now;
    }

    /// The recent delay in seconds. It is never negative: an early event long ago must not count as a delay.
    pub fn seconds(&self, now: Instant) -> f64 {
        (self.delay_s * remaining_weight(self.observed_at, now, FIRST_EVENT_DELAY_MAX_AGE)).max(0.0)
    }
}
