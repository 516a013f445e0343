//! One clock for the node: monotonic, counted from the Unix time at which the process started, so that the
//! times the list tells are on it as they are.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use std::time::{SystemTime, UNIX_EPOCH};

/// A clock that is off, for trials: by so many milliseconds ahead (behind where negative) and running at so many times the
/// machine's pace, as in `5000 1.02`.
pub const OFF: &str = "GREBEUSHER_CLOCK";

#[derive(Clone, Copy)]
pub struct Clock {
    started: std::time::Instant,
    at_start: Instant,
    pace: f64,
}

impl Clock {
    /// The machine's, or one that is `off` as [`OFF`] says; an error names what was expected.
    pub fn start(off: Option<&str>) -> Result<Clock, String> {
        let (ahead_ms, pace) = off.map_or(Ok((0, 1.0)), read)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let by = Duration::from_millis(ahead_ms.unsigned_abs());
        let unix = if ahead_ms < 0 { unix.saturating_sub(by) } else { unix + by };
        Ok(Clock { started: std::time::Instant::now(), at_start: Instant(nanos(unix)), pace })
    }

    pub fn now(&self) -> Instant {
        self.at_start + Duration::from_nanos(nanos(self.started.elapsed())).scaled(self.pace)
    }
}

fn read(off: &str) -> Result<(i64, f64), String> {
    const DAY_MS: i64 = 86_400_000;
    let (ahead_ms, pace) = off.split_once(' ').unwrap_or((off, "1"));
    let ahead_ms = ahead_ms.parse().ok().filter(|ms| (-DAY_MS..=DAY_MS).contains(ms));
    let pace = pace.parse().ok().filter(|pace| (0.5..=2.0).contains(pace));
    let wrong = || format!("{OFF}: expected milliseconds within a day and a pace of 0.5 to 2, found {off:?}");
    ahead_ms.zip(pace).ok_or_else(wrong)
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
