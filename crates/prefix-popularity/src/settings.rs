//! What may be tuned, with its checks.

use crate::contribution::MAX_SHARES;
use crate::error::SettingsError;
use grebeusher_time::{Duration, DurationExt};

/// Figures of the shared sense of popular prefixes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The time over which a rate is a mean. The memory of the tier: after a few times as long nothing is left.
    pub mean_over: Duration,
    /// Prefixes that one node counts at once.
    pub tracked: usize,
    /// Prefixes that one node tells of, the heaviest; [`MAX_SHARES`] at most.
    pub told: usize,
    /// The least pause between two registers of a node.
    pub least_period: Duration,
    /// Bytes a second that registers may take on a node's link, both ways together.
    pub bytes_per_s: f64,
    /// Tokens a second, beside the prefix itself, for which one home is enough.
    pub home_tokens_per_s: f64,
    /// A home is given up when the rate is below this part of what the others bear.
    pub shrink_below: f64,
    /// And only so long after the last change.
    pub shrink_after: Duration,
    /// The most homes of a prefix: none spreads over all executors.
    pub most_homes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            mean_over: Duration::from_millis(20_000),
            tracked: 256,
            told: 12,
            least_period: Duration::from_millis(2_000),
            bytes_per_s: 3_000.0,
            home_tokens_per_s: 20_000.0,
            shrink_below: 0.7,
            shrink_after: Duration::from_millis(10_000),
            most_homes: 16,
        }
    }
}

/// The most prefixes that a node may be set to count: some thirty kilobytes.
const MAX_TRACKED: usize = 1_024;

impl Settings {
    /// The settings, if each is in its range.
    ///
    /// # Errors
    /// Names the first that is not.
    pub fn checked(self) -> Result<Settings, SettingsError> {
        let span = 100.0..=3_600_000.0;
        let millis = |span: Duration| span.seconds() * 1000.0;
        let rules = [
            ("mean_over", millis(self.mean_over), span.clone(), "100 ms to an hour"),
            ("least_period", millis(self.least_period), span.clone(), "100 ms to an hour"),
            ("shrink_after", millis(self.shrink_after), 0.0..=3_600_000.0, "an hour at most"),
            ("tracked", self.tracked as f64, 1.0..=MAX_TRACKED as f64, "1 to 1024"),
            ("told", self.told as f64, 1.0..=MAX_SHARES as f64, "1 to 16"),
            ("bytes_per_s", self.bytes_per_s, 1.0..=1e9, "1 at least"),
            ("home_tokens_per_s", self.home_tokens_per_s, 1.0..=1e9, "1 at least"),
            ("shrink_below", self.shrink_below, 0.0..=1.0, "0 to 1"),
            ("most_homes", self.most_homes as f64, 1.0..=255.0, "1 to 255"),
        ];
        for (setting, value, range, expected) in rules {
            // Not a number is in no range.
            if !range.contains(&value) {
                return Err(SettingsError { setting, value, expected });
            }
        }
        Ok(self)
    }
}
