//! The node's clock: monotonic, in nanoseconds since the Unix epoch. It takes the system time once, at the start of the
//! process, so that start times in the executor list can be compared with it directly.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use std::time::{SystemTime, UNIX_EPOCH};

/// The environment variable that makes the clock wrong, for tests: milliseconds by which it is ahead (behind if
/// negative) and the factor by which it runs faster than the system's clock, as in `5000 1.02`.
pub const OFFSET_VARIABLE: &str = "GREBEUSHER_CLOCK";

#[derive(Clone, Copy)]
pub struct Clock {
    started: std::time::Instant,
    at_start: Instant,
    /// Seconds of this clock per second of the system's monotonic clock.
    rate: f64,
}

impl Clock {
    /// `offset` is the value of [`OFFSET_VARIABLE`], if that is set; an error says what was expected.
    pub fn start(offset: Option<&str>) -> Result<Clock, String> {
        let (ahead_ms, rate) = offset.map_or(Ok((0, 1.0)), parse_offset)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shift = Duration::from_millis(ahead_ms.unsigned_abs());
        let unix = if ahead_ms < 0 { unix.saturating_sub(shift) } else { unix + shift };
        Ok(Clock { started: std::time::Instant::now(), at_start: Instant(nanos(unix)), rate })
    }

    pub fn now(&self) -> Instant {
        self.at_start + Duration::from_nanos(nanos(self.started.elapsed())).scaled(self.rate)
    }
}

/// Parses the value of [`OFFSET_VARIABLE`] into the milliseconds ahead and the rate.
fn parse_offset(offset: &str) -> Result<(i64, f64), String> {
    const DAY_MS: i64 = 86_400_000;
    let (ahead_ms, rate) = offset.split_once(' ').unwrap_or((offset, "1"));
    let ahead_ms = ahead_ms.parse().ok().filter(|ms| (-DAY_MS..=DAY_MS).contains(ms));
    let rate = rate.parse().ok().filter(|rate| (0.5..=2.0).contains(rate));
    let error = || {
        format!(
            "{OFFSET_VARIABLE}: expected milliseconds within a day and a pace of 0.5 to 2, found {offset:?}"
        )
    };
    ahead_ms.zip(rate).ok_or_else(error)
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
