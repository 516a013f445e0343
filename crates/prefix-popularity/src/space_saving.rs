//! The rates of this node's own requests: a Space-Saving table with exponentially decaying counts.

use crate::key::PrefixKey;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;

/// Counts are stored as of a landmark, so that their order stays while they decay. The landmark moves on after so many time
/// constants, long before a count becomes too large for its precision.
const LANDMARK_MAX_AGE: f64 = 30.0;
/// A rate is extrapolated from this fraction of the time constant at least, however young the node is.
const MIN_OBSERVED: f64 = 0.1;
/// Counts of no more tokens are dropped when the landmark moves.
const MIN_COUNT: f64 = 1e-3;

#[derive(Clone, Copy, Debug)]
struct Count {
    /// Tokens as of the landmark.
    scaled: f64,
    /// The part of it that was inherited from the evicted prefix: the most by which it may be too high.
    inherited: f64,
}

/// The rate of one prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TrackedRate {
    pub key: PrefixKey,
    pub tokens_per_s: f64,
}

/// Decaying token counts of a fixed number of prefixes.
#[derive(Debug)]
pub(crate) struct SpaceSavingTable {
    max_prefixes: usize,
    time_constant_s: f64,
    started_at: Instant,
    landmark: Instant,
    counts: FxHashMap<PrefixKey, Count>,
}

impl SpaceSavingTable {
    pub fn new(max_prefixes: usize, time_constant: Duration, now: Instant) -> SpaceSavingTable {
        SpaceSavingTable {
            max_prefixes,
            time_constant_s: time_constant.seconds(),
            started_at: now,
            landmark: now,
            counts: FxHashMap::default(),
        }
    }

    /// A request brought so many tokens beside the prefix. Where the table is full, the smallest count is evicted.
    pub fn record(&mut self, now: Instant, key: PrefixKey, tokens: f64) {
        self.move_landmark(now);
        let scaled = tokens * self.growth(now);
        if let Some(count) = self.counts.get_mut(&key) {
            count.scaled += scaled;
            return;
        }
        let inherited = self.evict_if_full();
        self.counts.insert(key, Count { scaled: scaled + inherited, inherited });
    }

    /// Makes space for one more prefix. Returns the count that it inherits.
    fn evict_if_full(&mut self) -> f64 {
        if self.counts.len() < self.max_prefixes {
            return 0.0;
        }
        let Some((smallest, count)) = self.smallest() else { return 0.0 };
        self.counts.remove(&smallest);
        count.scaled
    }

    fn smallest(&self) -> Option<(PrefixKey, Count)> {
        let counts = self.counts.iter().map(|(key, count)| (*key, *count));
        // Ties by key, so that equal runs are alike.
        counts.min_by(|(a, x), (b, y)| x.scaled.total_cmp(&y.scaled).then(a.cmp(b)))
    }

    /// The factor between a count of now and one as of the landmark.
    fn growth(&self, now: Instant) -> f64 {
        (now.since(self.landmark).seconds() / self.time_constant_s).exp()
    }

    fn move_landmark(&mut self, now: Instant) {
        if now.since(self.landmark).seconds() < LANDMARK_MAX_AGE * self.time_constant_s {
            return;
        }
        let growth = self.growth(now);
        self.landmark = now;
        self.counts.retain(|_, count| {
            count.scaled /= growth;
            count.inherited /= growth;
            count.scaled > MIN_COUNT
        });
    }

    /// The heaviest prefixes by what is certain of their rates, the heaviest first.
    pub fn heaviest(&self, now: Instant, limit: usize) -> Vec<TrackedRate> {
        let observed = (now.since(self.started_at).seconds() / self.time_constant_s).max(MIN_OBSERVED);
        // The fraction of the mean's weight that lies in the observed time.
        let observed_weight = 1.0 - (-observed).exp();
        let scale = 1.0 / (self.growth(now) * self.time_constant_s * observed_weight);
        let rate = |count: &Count| (count.scaled - count.inherited).max(0.0) * scale;
        let rates =
            self.counts.iter().map(|(key, count)| TrackedRate { key: *key, tokens_per_s: rate(count) });
        let mut rates: Vec<TrackedRate> = rates.collect();
        rates.sort_unstable_by(|a, b| b.tokens_per_s.total_cmp(&a.tokens_per_s).then(a.key.cmp(&b.key)));
        rates.truncate(limit);
        rates
    }

    pub fn len(&self) -> usize {
        self.counts.len()
    }
}
