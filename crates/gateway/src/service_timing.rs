//! Moving means of the durations of one service's attempts, and of the gaps in their responses.

use grebeusher_time::{Duration, DurationExt};

/// The weight of the newest value in the exponentially weighted means, which span about twenty values.
const NEWEST_WEIGHT: f64 = 0.05;
/// The assumed duration of an attempt, in seconds, until an attempt has ended. It is short so that no request is
/// rejected because of an assumption.
const INITIAL_DURATION_S: f64 = 0.1;
/// The greatest ratio of an event gap to the mean that is used. One long stall must not determine the mean.
const MAX_GAP_RATIO: f64 = 10.0;
/// The least mean gap, in seconds, by which a gap is divided.
const MIN_GAP_S: f64 = 1e-6;

/// The moving means of one service, in seconds.
pub(crate) struct ServiceTiming {
    /// The mean duration of an attempt that was served.
    attempt_duration_s: f64,
    /// The mean time from the start of an attempt to its first event, without the time for prefill. It is 0 until an
    /// event has been received.
    first_event_s: f64,
    /// The mean gap between two events of a stream. It is 0 until a gap has been observed.
    event_gap_s: f64,
}

impl Default for ServiceTiming {
    fn default() -> ServiceTiming {
        ServiceTiming { attempt_duration_s: INITIAL_DURATION_S, first_event_s: 0.0, event_gap_s: 0.0 }
    }
}

impl ServiceTiming {
    /// The mean duration of an attempt that was served, in seconds.
    pub fn attempt_duration_s(&self) -> f64 {
        self.attempt_duration_s
    }

    /// Records an attempt that was served within `duration`.
    pub fn observe_attempt(&mut self, duration: Duration) {
        self.attempt_duration_s += (duration.seconds() - self.attempt_duration_s) * NEWEST_WEIGHT;
    }

    /// Records the time from the start of an attempt to its first event, without the time for prefill, in seconds.
    /// Returns by how many seconds it exceeds the mean.
    pub fn observe_first_event(&mut self, wait_s: f64) -> f64 {
        let excess_s = wait_s - self.first_event_s;
        self.first_event_s += excess_s * if self.first_event_s == 0.0 { 1.0 } else { NEWEST_WEIGHT };
        excess_s
    }

    /// Records a gap between two events of a stream. Returns it as a multiple of the mean gap.
    pub fn observe_event_gap(&mut self, gap: Duration) -> f64 {
        if self.event_gap_s == 0.0 {
            self.event_gap_s = gap.seconds();
        }
        let ratio = (gap.seconds() / self.event_gap_s.max(MIN_GAP_S)).min(MAX_GAP_RATIO);
        self.event_gap_s *= 1.0 + (ratio - 1.0) * NEWEST_WEIGHT;
        ratio
    }

    /// How long nothing is usually received from an attempt: until its first event, between two events, or until its
    /// end if no event of the service has been received yet.
    pub fn usual_silence(&self) -> Duration {
        let has_events = self.first_event_s > 0.0;
        let seconds =
            if has_events { self.first_event_s.max(self.event_gap_s) } else { self.attempt_duration_s };
        Duration::from_seconds(seconds)
    }
}
