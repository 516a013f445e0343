//! How long items pause between tries, and how long a run takes.

use grebeusher_time::{Duration, DurationExt};

/// Pauses that double from `first` up to `longest`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    first: Duration,
    longest: Duration,
}

/// After an answer of 500: what makes it may pass.
pub(super) const FAILED: Backoff =
    Backoff { first: Duration::from_millis(100), longest: Duration::from_millis(2_000) };
/// After a break: another executor may go on soon.
pub(super) const BROKEN: Backoff =
    Backoff { first: Duration::from_millis(25), longest: Duration::from_millis(1_000) };
/// After an executor was full or gone: nothing was lost but a try.
pub(super) const NOT_EXECUTED: Backoff =
    Backoff { first: Duration::from_millis(20), longest: Duration::from_millis(500) };

/// What a run is taken to last before any has been seen.
const FIRST_EXPECTED_RUN: Duration = Duration::from_millis(1_000);
/// The weight of the newest run in the mean.
const NEWEST_WEIGHT: f64 = 0.1;

#[derive(Debug)]
pub(super) struct Pace {
    random: u64,
    expected_run: Duration,
}

impl Pace {
    pub fn new(seed: u64) -> Pace {
        Pace { random: seed, expected_run: FIRST_EXPECTED_RUN }
    }

    /// The pause after a try that had `tries` before it: half of it fixed, half by chance.
    pub fn pause(&mut self, backoff: Backoff, tries: u32) -> Duration {
        let doubled = backoff.first.nanos().saturating_mul(1 << tries.min(16));
        let whole = doubled.min(backoff.longest.nanos());
        Duration::from_nanos(whole / 2 + self.next_random() % (whole / 2 + 1))
    }

    /// A whole run took so long.
    pub fn ran(&mut self, span: Duration) {
        self.expected_run = self.expected_run.scaled(1.0 - NEWEST_WEIGHT) + span.scaled(NEWEST_WEIGHT);
    }

    pub fn expected_run(&self) -> Duration {
        self.expected_run
    }

    /// SplitMix64.
    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.random;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }
}
