//! The demand for each prompt prefix by this node's own requests.

use grebeusher_time::{DurationExt, Instant};
use rustc_hash::FxHashMap;

/// The greatest number of prefixes that are counted at the same time. A prefix in demand is counted again soon after it
/// was dropped.
const MAX_PREFIXES: usize = 256;
/// The time constant with which the counts decay, in seconds. In this time there are a few requests with a prefix that
/// is in demand, and hardly one with any other.
const TIME_CONSTANT_S: f64 = 4.0;
/// The number of tokens up to which a count is dropped when the table is full.
const MIN_TOKENS: f64 = 64.0;

/// An exponentially decaying sum of tokens.
struct DecayingSum {
    /// The sum at `updated_at`.
    tokens: f64,
    updated_at: Instant,
}

impl DecayingSum {
    /// The sum after its decay until `now`.
    fn tokens_at(&self, now: Instant) -> f64 {
        self.tokens * (-now.since(self.updated_at).seconds() / TIME_CONSTANT_S).exp()
    }
}

/// The demand for at most [`MAX_PREFIXES`] prefixes.
#[derive(Default)]
pub(crate) struct PrefixDemand {
    by_prefix_hash: FxHashMap<u64, DecayingSum>,
}

impl PrefixDemand {
    /// The demand for a prefix: the number of tokens per second that requests with the prefix have after it.
    pub fn tokens_per_s(&self, now: Instant, prefix_hash: u64) -> f64 {
        self.by_prefix_hash.get(&prefix_hash).map_or(0.0, |sum| sum.tokens_at(now) / TIME_CONSTANT_S)
    }

    /// Records that a request with the prefix was sent, which has `tokens` prompt tokens after the prefix.
    pub fn record(&mut self, now: Instant, prefix_hash: u64, tokens: u32) {
        if self.by_prefix_hash.len() >= MAX_PREFIXES && !self.by_prefix_hash.contains_key(&prefix_hash) {
            self.make_space(now);
        }
        let sum =
            self.by_prefix_hash.entry(prefix_hash).or_insert(DecayingSum { tokens: 0.0, updated_at: now });
        sum.tokens = sum.tokens_at(now) + f64::from(tokens);
        sum.updated_at = now;
    }

    /// Drops prefixes with little demand, or all if every prefix is in demand.
    fn make_space(&mut self, now: Instant) {
        self.by_prefix_hash.retain(|_, sum| sum.tokens_at(now) > MIN_TOKENS);
        if self.by_prefix_hash.len() >= MAX_PREFIXES {
            self.by_prefix_hash.clear();
        }
    }
}
