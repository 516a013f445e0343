//! The tunable parameters of the estimate and their valid ranges.

use crate::contribution::MAX_REPORTED_PREFIXES;
use crate::error::SettingsError;
use grebeusher_time::{Duration, DurationExt};
use std::ops::RangeInclusive;

/// Parameters of the shared estimate of prefix popularity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EstimatorSettings {
    /// The time constant with which rates decay. After a few times this duration, earlier requests no longer count.
    pub time_constant: Duration,
    /// The greatest number of prefixes that one node counts.
    pub tracked_prefixes: usize,
    /// The number of prefixes in one contribution, at most [`MAX_REPORTED_PREFIXES`]. They are those with the highest
    /// demand.
    pub reported_prefixes: usize,
    /// The least interval between two contributions of a node.
    pub min_report_interval: Duration,
    /// The greatest number of bytes per second that contributions may take on the link of a node, in both directions
    /// together.
    pub max_bytes_per_s: f64,
    /// The number of tokens per second after the prefix for which one home is enough.
    pub home_tokens_per_s: f64,
    /// The fraction of the capacity of a prefix's other homes below which its rate has to be before a home is removed.
    pub shrink_ratio: f64,
    /// The least time between a change of the number of homes and the removal of one.
    pub shrink_delay: Duration,
    /// The greatest number of homes of a prefix, so that none spreads over all executors.
    pub max_homes: usize,
}

impl Default for EstimatorSettings {
    fn default() -> EstimatorSettings {
        EstimatorSettings {
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

/// The greatest valid value of [`EstimatorSettings::tracked_prefixes`]. As many prefixes take about thirty kilobytes.
const MAX_TRACKED_PREFIXES: usize = 1_024;
const HOUR_MS: f64 = 3_600_000.0;

/// The valid range of one setting. Durations are in ms.
struct SettingRange {
    setting: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
    expected: &'static str,
}

impl EstimatorSettings {
    /// Returns the settings if each is in its valid range.
    ///
    /// # Errors
    /// Returns an error with the name of the first setting that is out of its range.
    pub fn validate(self) -> Result<EstimatorSettings, SettingsError> {
        for SettingRange { setting, value, range, expected } in self.setting_ranges() {
            // No range contains NaN.
            if !range.contains(&value) {
                return Err(SettingsError { setting, value, expected });
            }
        }
        Ok(self)
    }

    /// The valid ranges of all settings.
    fn setting_ranges(&self) -> [SettingRange; 9] {
        let millis = |duration: Duration| duration.seconds() * 1000.0;
        let setting_range =
            |setting, value, range, expected| SettingRange { setting, value, range, expected };
        let (tracked, reported) = (self.tracked_prefixes as f64, self.reported_prefixes as f64);
        let report_interval_ms = millis(self.min_report_interval);
        [
            setting_range("time_constant", millis(self.time_constant), 100.0..=HOUR_MS, "100 ms to an hour"),
            setting_range("min_report_interval", report_interval_ms, 100.0..=HOUR_MS, "100 ms to an hour"),
            setting_range("shrink_delay", millis(self.shrink_delay), 0.0..=HOUR_MS, "an hour at most"),
            setting_range("tracked_prefixes", tracked, 1.0..=MAX_TRACKED_PREFIXES as f64, "1 to 1024"),
            setting_range("reported_prefixes", reported, 1.0..=MAX_REPORTED_PREFIXES as f64, "1 to 16"),
            setting_range("max_bytes_per_s", self.max_bytes_per_s, 1.0..=1e9, "1 at least"),
            setting_range("home_tokens_per_s", self.home_tokens_per_s, 1.0..=1e9, "1 at least"),
            setting_range("shrink_ratio", self.shrink_ratio, 0.0..=1.0, "0 to 1"),
            setting_range("max_homes", self.max_homes as f64, 1.0..=255.0, "1 to 255"),
        ]
    }
}
