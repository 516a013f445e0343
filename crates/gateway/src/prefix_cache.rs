//! A model of one executor's prefix cache: which prompt segments it has, judged by what this node sent there.

use crate::headers::PromptSegment;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Entries of one executor at most, whatever their tokens: some ten kilobytes.
const MAX_ENTRIES: usize = 512;

/// Prompt tokens that an executor reads in a second of prefill: about a hundred in a millisecond.
pub(crate) const PREFILL_TOKENS_PER_S: f64 = 100_000.0;

struct CachedSegment {
    tokens: u32,
    /// The clock of its latest use.
    last_use: u64,
    /// When its prefill has finished, about.
    ready_at: Instant,
}

/// One use in order of time.
struct Use {
    key: u64,
    clock: u64,
}

/// An LRU cache, as in the executor itself; bounded by tokens and by number of entries.
#[derive(Default)]
pub(crate) struct PrefixCacheModel {
    capacity: u64,
    /// The sum of the cached segments' tokens.
    tokens: u64,
    clock: u64,
    segments: FxHashMap<u64, CachedSegment>,
    /// Uses in order. One that is not its segment's latest has no effect.
    uses: VecDeque<Use>,
}

impl PrefixCacheModel {
    /// Sets for how many tokens the executor has memory; 0: it caches nothing.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
        self.evict();
    }

    /// Tokens of the longest prefix that is cached or in prefill.
    pub fn cached_tokens(&self, model: u64, prompt: &[PromptSegment]) -> u32 {
        self.prefix_tokens(model, prompt, |_| true)
    }

    /// As [`PrefixCacheModel::cached_tokens`], without what is still in prefill: a request that comes meanwhile has
    /// to read it as well.
    pub fn ready_tokens(&self, now: Instant, model: u64, prompt: &[PromptSegment]) -> u32 {
        self.prefix_tokens(model, prompt, |segment| segment.ready_at <= now)
    }

    fn prefix_tokens(
        &self,
        model: u64,
        prompt: &[PromptSegment],
        counts: impl Fn(&CachedSegment) -> bool,
    ) -> u32 {
        let is_cached =
            |segment: &&PromptSegment| self.segments.get(&(segment.chain_hash ^ model)).is_some_and(&counts);
        let cached = prompt.iter().take_while(is_cached);
        cached.fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    /// The segments were sent there: they are read and cached, or used again.
    pub fn record_use(&mut self, now: Instant, model: u64, prompt: &[PromptSegment]) {
        if self.capacity == 0 {
            return;
        }
        let tokens = prompt.iter().fold(0.0, |sum, segment| sum + f64::from(segment.tokens));
        let ready_at = now + Duration::from_seconds(tokens / PREFILL_TOKENS_PER_S);
        // The first segment last: the later ones are of no use without it, so they are evicted before it.
        for segment in prompt.iter().rev() {
            self.use_segment(segment.chain_hash ^ model, segment.tokens, ready_at);
        }
        self.evict();
    }

    fn use_segment(&mut self, key: u64, tokens: u32, ready_at: Instant) {
        self.clock += 1;
        let new = CachedSegment { tokens: 0, last_use: 0, ready_at };
        let segment = self.segments.entry(key).or_insert(new);
        self.tokens = self.tokens + u64::from(tokens) - u64::from(segment.tokens);
        segment.tokens = tokens;
        segment.last_use = self.clock;
        self.uses.push_back(Use { key, clock: self.clock });
    }

    /// The executor turned out to have lost its cache.
    pub fn clear(&mut self) {
        self.segments.clear();
        self.uses.clear();
        self.tokens = 0;
    }

    fn is_over_limit(&self) -> bool {
        self.tokens > self.capacity || self.segments.len() > MAX_ENTRIES || self.uses.len() > 2 * MAX_ENTRIES
    }

    fn evict(&mut self) {
        while self.is_over_limit() {
            let Some(oldest) = self.uses.pop_front() else { return };
            if self.segments.get(&oldest.key).is_some_and(|segment| segment.last_use == oldest.clock) {
                let evicted = self.segments.remove(&oldest.key).map_or(0, |segment| segment.tokens);
                self.tokens -= u64::from(evicted);
            }
        }
    }
}
