//! The delays between the runs of an item.

use grebeusher_time::{Duration, DurationExt};

/// An exponential backoff from `initial` to `max`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    initial: Duration,
    max: Duration,
}

/// The backoff after a 500 response, whose cause may be temporary.
pub(super) const FAILED: Backoff =
    Backoff { initial: Duration::from_millis(100), max: Duration::from_millis(2_000) };
/// The backoff after a broken stream. It is short, because another executor may resume the item soon.
pub(super) const BROKEN: Backoff =
    Backoff { initial: Duration::from_millis(25), max: Duration::from_millis(1_000) };
/// The backoff after an executor rejected the item for lack of capacity or could not be reached. It is short, because no
/// work was lost.
pub(super) const NOT_EXECUTED: Backoff =
    Backoff { initial: Duration::from_millis(20), max: Duration::from_millis(500) };

/// The maximum number of doublings of a delay. Each backoff reaches its maximum delay with fewer.
const MAX_DOUBLINGS: u32 = 16;

/// The source of the random part of delays, a `SplitMix64` generator.
#[derive(Debug)]
pub(super) struct BackoffJitter {
    state: u64,
}

impl BackoffJitter {
    pub fn new(seed: u64) -> BackoffJitter {
        BackoffJitter { state: seed }
    }

    /// The delay after an attempt that `earlier_attempts` attempts preceded. Half of the delay is fixed, and up to the
    /// same time is added at random.
    pub fn delay(&mut self, backoff: Backoff, earlier_attempts: u32) -> Duration {
        let doubled_ns = backoff.initial.nanos().saturating_mul(1 << earlier_attempts.min(MAX_DOUBLINGS));
        let half_ns = doubled_ns.min(backoff.max.nanos()) / 2;
        Duration::from_nanos(half_ns + self.next() % (half_ns + 1))
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }
}
