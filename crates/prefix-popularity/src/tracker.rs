//! What this node's own requests ask for: a Space-Saving table whose counts fade with time.

use crate::key::PrefixKey;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;

/// Counts are kept as if all had come at the landmark, so that their order stays while they fade; it moves on after so many
/// times the mean's span, long before a count is too large to be told from its neighbour.
const LANDMARK_MAX_AGE: f64 = 30.0;
/// A node younger than this part of the mean's span does not multiply the little that it saw any further.
const YOUNGEST: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Count {
    /// As of the landmark.
    scaled: f64,
    /// What was taken over from the prefix that gave way to it: the most by which it may be too high.
    inherited: f64,
}

/// Tokens by prefix, fading, for a fixed number of prefixes.
#[derive(Debug)]
pub(crate) struct Tracker {
    most: usize,
    mean_over_s: f64,
    since: Instant,
    landmark: Instant,
    counts: FxHashMap<PrefixKey, Count>,
}

impl Tracker {
    pub fn new(most: usize, mean_over: Duration, now: Instant) -> Tracker {
        let counts = FxHashMap::default();
        Tracker { most, mean_over_s: mean_over.seconds(), since: now, landmark: now, counts }
    }

    /// A request brought so many tokens beside the prefix. Where the table is full, the smallest gives way.
    pub fn saw(&mut self, now: Instant, key: PrefixKey, tokens: f64) {
        self.move_landmark(now);
        let scaled = tokens * self.growth(now);
        if let Some(count) = self.counts.get_mut(&key) {
            count.scaled += scaled;
            return;
        }
        let mut inherited = 0.0;
        if self.counts.len() >= self.most
            && let Some((smallest, count)) = self.smallest()
        {
            self.counts.remove(&smallest);
            inherited = count.scaled;
        }
        self.counts.insert(key, Count { scaled: scaled + inherited, inherited });
    }

    fn smallest(&self) -> Option<(PrefixKey, Count)> {
        let counts = self.counts.iter().map(|(key, count)| (*key, *count));
        // By key where two are even, so that equal runs go alike.
        counts.min_by(|(a, x), (b, y)| x.scaled.total_cmp(&y.scaled).then(a.cmp(b)))
    }

    fn growth(&self, now: Instant) -> f64 {
        (now.since(self.landmark).seconds() / self.mean_over_s).exp()
    }

    /// What is as good as gone is dropped on the way.
    fn move_landmark(&mut self, now: Instant) {
        const GONE: f64 = 1e-3;
        if now.since(self.landmark).seconds() < LANDMARK_MAX_AGE * self.mean_over_s {
            return;
        }
        let growth = self.growth(now);
        self.landmark = now;
        self.counts.retain(|_, count| {
            count.scaled /= growth;
            count.inherited /= growth;
            count.scaled > GONE
        });
    }

    /// Tokens a second of the heaviest, by what is certain of each; heaviest first.
    pub fn heaviest(&self, now: Instant, most: usize) -> Vec<(PrefixKey, f64)> {
        let seen_for = (now.since(self.since).seconds() / self.mean_over_s).max(YOUNGEST);
        // A mean over a span that is not over yet.
        let whole = 1.0 - (-seen_for).exp();
        let scale = 1.0 / (self.growth(now) * self.mean_over_s * whole);
        let rate = |count: &Count| (count.scaled - count.inherited).max(0.0) * scale;
        let mut rates: Vec<(PrefixKey, f64)> =
            self.counts.iter().map(|(key, count)| (*key, rate(count))).collect();
        rates.sort_unstable_by(|(a, x), (b, y)| y.total_cmp(x).then(a.cmp(b)));
        rates.truncate(most);
        rates
    }

    pub fn len(&self) -> usize {
        self.counts.len()
    }
}
