//! Points in time of a clock that the caller reads, and the arithmetic on durations that goes with them.
//!
//! State machines of this workspace read no clock: an [`Instant`] is handed in. It counts nanoseconds from a start that
//! the caller chooses, so that the same code runs on the system's clock and in virtual time. A duration is the standard
//! library's [`Duration`]; [`DurationExt`] adds what the state machines need so that they compute the same on every
//! machine.
//!
//! ```
//! use grebeusher_time::{Duration, DurationExt, Instant};
//!
//! let start = Instant(0);
//! let deadline = start + Duration::from_millis(250);
//! assert_eq!(deadline.since(start).scaled(0.5), Duration::from_millis(125));
//! ```

#![warn(missing_docs)]

use std::ops::{Add, Sub};

pub use std::time::Duration;

/// Nanoseconds in a second.
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// A point in time, in nanoseconds of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub u64);

impl Instant {
    /// The time that has passed since `earlier`; zero if that lies ahead.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    /// The instant that much later; the last one there is if that is out of range.
    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(duration.nanos()))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    /// The instant that much earlier; the first one there is if that is out of range.
    fn sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(duration.nanos()))
    }
}

/// Arithmetic on [`Duration`] in whole nanoseconds and in seconds.
pub trait DurationExt {
    /// The duration of so many seconds, rounded down to a nanosecond; zero for what is negative or not a number.
    fn from_seconds(seconds: f64) -> Self;

    /// The duration in nanoseconds, at most [`u64::MAX`].
    fn nanos(self) -> u64;

    /// The duration in seconds: its nanoseconds, divided once.
    fn seconds(self) -> f64;

    /// The duration multiplied by a factor, rounded down to a nanosecond.
    fn scaled(self, factor: f64) -> Self;
}

impl DurationExt for Duration {
    fn from_seconds(seconds: f64) -> Duration {
        Duration::from_nanos((seconds * NANOS_PER_SECOND as f64) as u64)
    }

    fn nanos(self) -> u64 {
        self.as_secs().saturating_mul(NANOS_PER_SECOND).saturating_add(u64::from(self.subsec_nanos()))
    }

    fn seconds(self) -> f64 {
        self.nanos() as f64 / NANOS_PER_SECOND as f64
    }

    fn scaled(self, factor: f64) -> Duration {
        Duration::from_nanos((self.nanos() as f64 * factor) as u64)
    }
}
