//! The tunable parameters, with their ranges.

use crate::contribution::MAX_REPORTED_PREFIXES;
use crate::error::SettingsError;
use grebeusher_time::{Duration, DurationExt};
use std::ops::RangeInclusive;

/// Parameters of the shared estimate of prefix popularity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The time constant of rates. After a few times as long nothing is left of earlier requests.
    pub time_constant: Duration,
    /// Prefixes that one node counts at once.
    pub tracked_prefixes: usize,
    /// Prefixes in one contribution, the heaviest; at most [`MAX_REPORTED_PREFIXES`].
    pub reported_prefixes: usize,
    /// The least interval between two contributions of a node.
    pub min_report_interval: Duration,
    /// Bytes a second that contributions may take on a node's link, both directions together.
    pub max_bytes_per_s: f64,
    /// Tokens a second, beside the prefix itself, for which one home is enough.
    pub home_tokens_per_s: f64,
    /// A home is removed when the rate is below this fraction of what the other homes can take.
    pub shrink_ratio: f64,
    /// And only so long after the last change.
    pub shrink_delay: Duration,
    /// The most homes of a prefix: none spreads over all executors.
    pub max_homes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            time_constant: Duration::from_millis(20_000),
            tracked_prefixes: 256,
            reported_prefixes: 12,
            min_report_interval: Duration::from_millis(2_000),
            max_bytes_per_s: 3_000.0,
            home_tokens_per_s: 20_000.0,
            shrink_ratio: 0.7,
            shrink_delay: Duration::from_millis(10_000),
            max_homes: 16,
        }
    }
}

/// The most prefixes that a node may be set to count: some thirty kilobytes.
const MAX_TRACKED_PREFIXES: usize = 1_024;
/// An hour, in milliseconds.
const HOUR_MS: f64 = 3_600_000.0;

/// The range of one setting.
struct Rule {
    setting: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
    expected: &'static str,
}

impl Settings {
    /// Returns the settings if each is in its range.
    ///
    /// # Errors
    /// Names the first that is not.
    pub fn validate(self) -> Result<Settings, SettingsError> {
        for Rule { setting, value, range, expected } in self.rules() {
            // A NaN is in no range.
            if !range.contains(&value) {
                return Err(SettingsError { setting, value, expected });
            }
        }
        Ok(self)
    }

    fn rules(&self) -> [Rule; 9] {
        let millis = |duration: Duration| duration.seconds() * 1000.0;
        let rule = |setting, value, range, expected| Rule { setting, value, range, expected };
        let (tracked, reported) = (self.tracked_prefixes as f64, self.reported_prefixes as f64);
        let interval = millis(self.min_report_interval);
        [
            rule("time_constant", millis(self.time_constant), 100.0..=HOUR_MS, "100 ms to an hour"),
            rule("min_report_interval", interval, 100.0..=HOUR_MS, "100 ms to an hour"),
            rule("shrink_delay", millis(self.shrink_delay), 0.0..=HOUR_MS, "an hour at most"),
            rule("tracked_prefixes", tracked, 1.0..=MAX_TRACKED_PREFIXES as f64, "1 to 1024"),
            rule("reported_prefixes", reported, 1.0..=MAX_REPORTED_PREFIXES as f64, "1 to 16"),
            rule("max_bytes_per_s", self.max_bytes_per_s, 1.0..=1e9, "1 at least"),
            rule("home_tokens_per_s", self.home_tokens_per_s, 1.0..=1e9, "1 at least"),
            rule("shrink_ratio", self.shrink_ratio, 0.0..=1.0, "0 to 1"),
            rule("max_homes", self.max_homes as f64, 1.0..=255.0, "1 to 255"),
        ]
    }
}
