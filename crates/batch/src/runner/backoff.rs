//! How long items wait between attempts.

use grebeusher_time::{Duration, DurationExt};

/// An exponential backoff from `initial` up to `max`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    initial: Duration,
    max: Duration,
}

/// After a response of 500: its cause may pass.
pub(super) const FAILED: Backoff =
    Backoff { initial: Duration::from_millis(100), max: Duration::from_millis(2_000) };
/// After a broken stream: another executor may resume soon.
pub(super) const BROKEN: Backoff =
    Backoff { initial: Duration::from_millis(25), max: Duration::from_millis(1_000) };
/// After an executor was full or gone: nothing was lost but an attempt.
pub(super) const NOT_EXECUTED: Backoff =
    Backoff { initial: Duration::from_millis(20), max: Duration::from_millis(500) };

/// More doublings than any backoff needs to reach its maximum.
const MAX_DOUBLINGS: u32 = 16;

/// The random part of backoffs, by `SplitMix64`.
#[derive(Debug)]
pub(super) struct BackoffJitter {
    state: u64,
}

impl BackoffJitter {
    pub fn new(seed: u64) -> BackoffJitter {
        BackoffJitter { state: seed }
    }

    /// The delay after an attempt that had `attempts` before it: half of it fixed, half random.
    pub fn delay(&mut self, backoff: Backoff, attempts: u32) -> Duration {
        let doubled = backoff.initial.nanos().saturating_mul(1 << attempts.min(MAX_DOUBLINGS));
        let half = doubled.min(backoff.max.nanos()) / 2;
        Duration::from_nanos(half + self.next() % (half + 1))
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }
}
