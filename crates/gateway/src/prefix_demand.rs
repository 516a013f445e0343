//! The demand for each prompt prefix at this node, from its own requests.

use grebeusher_time::{DurationExt, Instant};
use rustc_hash::FxHashMap;

/// Prefixes that are counted at once. One in demand comes back soon after it was dropped.
const MAX_PREFIXES: usize = 256;
/// The time constant of the mean: a few requests of a prefix in demand, next to none of any other.
const TIME_CONSTANT_S: f64 = 4.0;
/// Counts below so many tokens are as good as none.
const MIN_TOKENS: f64 = 64.0;

/// An exponentially decaying sum of tokens.
struct DecayingSum {
    tokens: f64,
    as_of: Instant,
}

impl DecayingSum {
    fn at(&self, now: Instant) -> f64 {
        self.tokens * (-now.since(self.as_of).seconds() / TIME_CONSTANT_S).exp()
    }
}

/// Demand by prefix hash; at most [`MAX_PREFIXES`] of them.
#[derive(Default)]
pub(crate) struct PrefixDemand {
    prefixes: FxHashMap<u64, DecayingSum>,
}

impl PrefixDemand {
    /// Tokens a second that requests of the prefix bring beside the prefix itself.
    pub fn tokens_per_s(&self, now: Instant, prefix: u64) -> f64 {
        self.prefixes.get(&prefix).map_or(0.0, |sum| sum.at(now) / TIME_CONSTANT_S)
    }

    /// A request with the prefix was sent, with so many tokens beside it.
    pub fn record(&mut self, now: Instant, prefix: u64, tokens: u32) {
        if self.prefixes.len() >= MAX_PREFIXES && !self.prefixes.contains_key(&prefix) {
            self.make_space(now);
        }
        let sum = self.prefixes.entry(prefix).or_insert(DecayingSum { tokens: 0.0, as_of: now });
        sum.tokens = sum.at(now) + f64::from(tokens);
        sum.as_of = now;
    }

    fn make_space(&mut self, now: Instant) {
        self.prefixes.retain(|_, sum| sum.at(now) > MIN_TOKENS);
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.clear();
        }
    }
}
