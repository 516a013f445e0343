//! How fast an executor shows progress, compared with its service: the pace of stream events, and how late first
//! events come. Both estimates fade linearly to "as usual".

use grebeusher_time::{Duration, DurationExt, Instant};

/// The pace of events is informative for about as long as the prefill of a long prompt.
const PACE_FADE_DURATION: Duration = Duration::from_millis(400);
/// Prompts that wait for prefill are through within about this time.
const DELAY_FADE_DURATION: Duration = Duration::from_millis(1000);
/// The weight of the newest observation.
const NEWEST_WEIGHT: f64 = 0.5;

/// The remaining weight of an observation, from 1 to 0.
fn freshness(at: Instant, now: Instant, fade: Duration) -> f64 {
    (1.0 - now.since(at).seconds() / fade.seconds()).max(0.0)
}

/// The gaps between stream events, as a multiple of the service's usual gap.
pub(crate) struct EventPace {
    ratio: f64,
    at: Instant,
}

impl Default for EventPace {
    fn default() -> EventPace {
        EventPace { ratio: 1.0, at: Instant(0) }
    }
}

impl EventPace {
    /// The gap between two events was `ratio` times the usual one.
    pub fn observe(&mut self, now: Instant, ratio: f64) {
        let before = 1.0 + self.slowness(now);
        self.ratio = before + (ratio - before) * NEWEST_WEIGHT;
        self.at = now;
    }

    /// By how many times the usual gap its events come later; 0 where they do not, or nothing is known.
    pub fn slowness(&self, now: Instant) -> f64 {
        ((self.ratio - 1.0) * freshness(self.at, now, PACE_FADE_DURATION)).max(0.0)
    }
}

/// By how much first events come later than usual, apart from the prefill of their own prompts.
pub(crate) struct FirstEventDelay {
    seconds: f64,
    at: Instant,
}

impl Default for FirstEventDelay {
    fn default() -> FirstEventDelay {
        FirstEventDelay { seconds: 0.0, at: Instant(0) }
    }
}

impl FirstEventDelay {
    /// A first event came so many seconds later than usual; earlier where negative.
    pub fn observe(&mut self, now: Instant, seconds: f64) {
        let before = self.seconds(now);
        self.seconds = before + (seconds - before) * NEWEST_WEIGHT;
        self.at = now;
    }

    /// The recent delay in seconds, never below 0: an early event long ago must not count as a delay.
    pub fn seconds(&self, now: Instant) -> f64 {
        (self.seconds * freshness(self.at, now, DELAY_FADE_DURATION)).max(0.0)
    }
}
