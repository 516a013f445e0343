//! The rates of this node's own requests, in a Space-Saving table with exponentially decaying counts.

use crate::key::PrefixKey;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;

/// The greatest age of the landmark as a multiple of the time constant. Counts are stored as if all their tokens had
/// been counted at the landmark, which is a point in time, so that the order of the counts does not change while they
/// decay. The landmark is moved long before a count becomes too large for its precision.
const LANDMARK_MAX_AGE: f64 = 30.0;
/// The least observed time that is assumed for the computation of a rate, as a fraction of the time constant, however
/// recently the table was created.
const MIN_OBSERVED: f64 = 0.1;
/// The number of tokens up to which a count is dropped when the landmark is moved.
const MIN_COUNT: f64 = 1e-3;

/// The decaying count of one prefix.
#[derive(Clone, Copy, Debug)]
struct Count {
    /// The number of tokens, scaled to the landmark.
    scaled_tokens: f64,
    /// The part of `scaled_tokens` that was inherited from the prefix whose entry was evicted. The count exceeds the true one
    /// by at most this part.
    inherited_tokens: f64,
}

/// The rate of one prefix by this node's own requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TrackedRate {
    pub key: PrefixKey,
    pub tokens_per_s: f64,
}

/// The decaying token counts of a limited number of prefixes.
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

    /// Records a request with `tokens` tokens after the prefix. If the prefix is new and the table is full, the prefix
    /// with the smallest count is evicted.
    pub fn record(&mut self, now: Instant, key: PrefixKey, tokens: f64) {
        self.move_landmark(now);
        let scaled_tokens = tokens * self.growth(now);
        if let Some(count) = self.counts.get_mut(&key) {
            count.scaled_tokens += scaled_tokens;
            return;
        }
        let inherited_tokens = self.evict_if_full();
        self.counts.insert(key, Count { scaled_tokens: scaled_tokens + inherited_tokens, inherited_tokens });
    }

    /// Makes space for one more prefix. Returns the count that the new prefix inherits, scaled to the landmark.
    fn evict_if_full(&mut self) -> f64 {
        if self.counts.len() < self.max_prefixes {
            return 0.0;
        }
        let Some((smallest, count)) = self.smallest() else { return 0.0 };
        self.counts.remove(&smallest);
        count.scaled_tokens
    }

    /// The prefix with the smallest count.
    fn smallest(&self) -> Option<(PrefixKey, Count)> {
        let counts = self.counts.iter().map(|(key, count)| (*key, *count));
        // Equal counts are ordered by key, so that the result does not depend on the order of the map.
        counts.min_by(|(a, x), (b, y)| x.scaled_tokens.total_cmp(&y.scaled_tokens).then(a.cmp(b)))
    }

    /// The factor by which a token counted now is scaled.
    fn growth(&self, now: Instant) -> f64 {
        (now.since(self.landmark).seconds() / self.time_constant_s).exp()
    }

    /// Moves the landmark to `now` if it is too old.
    fn move_landmark(&mut self, now: Instant) {
        if now.since(self.landmark).seconds() < LANDMARK_MAX_AGE * self.time_constant_s {
            return;
        }
        let growth = self.growth(now);
        self.landmark = now;
        self.counts.retain(|_, count| {
            count.scaled_tokens /= growth;
            count.inherited_tokens /= growth;
            count.scaled_tokens > MIN_COUNT
        });
    }

    /// The `limit` prefixes with the highest rates, beginning with the highest. Inherited counts are left out, so that
    /// no rate is above the true one.
    pub fn highest_rates(&self, now: Instant, limit: usize) -> Vec<TrackedRate> {
        let observed_time_constants =
            (now.since(self.started_at).seconds() / self.time_constant_s).max(MIN_OBSERVED);
        // The fraction of the weight of an exponentially weighted mean that falls into the observed time.
        let observed_weight = 1.0 - (-observed_time_constants).exp();
        let scale = 1.0 / (self.growth(now) * self.time_constant_s * observed_weight);
        let rate = |count: &Count| (count.scaled_tokens - count.inherited_tokens).max(0.0) * scale;
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
