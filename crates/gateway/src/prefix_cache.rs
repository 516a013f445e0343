//! A model of the prefix cache of one executor: the prompt segments that it has cached, judged by the requests that
//! this node sent there.

use crate::headers::PromptSegment;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The greatest number of segments in the model of one executor, whatever their tokens. They take about ten kilobytes.
const MAX_ENTRIES: usize = 512;

/// The number of prompt tokens that an executor processes in a second of prefill, which is about a hundred in 1 ms.
pub(crate) const PREFILL_TOKENS_PER_S: f64 = 100_000.0;

/// A prompt segment in the cache.
struct CachedSegment {
    tokens: u32,
    /// The number of the latest use of the segment.
    last_use: u64,
    /// When the prefill of the segment has approximately finished.
    ready_at: Instant,
}

/// One use of a segment.
struct SegmentUse {
    /// The key of the segment.
    key: u64,
    /// The number of the use, which increases with each use of any segment.
    number: u64,
}

/// An LRU cache like that of the executor itself. It is limited by the number of tokens and by the number of segments.
#[derive(Default)]
pub(crate) struct PrefixCacheModel {
    /// The number of tokens for which the executor has memory.
    capacity_tokens: u64,
    /// The sum of the tokens of all cached segments.
    total_tokens: u64,
    /// The number of the latest use of any segment.
    use_count: u64,
    /// The cached segments. The key of a segment is its chain hash combined with the hash of the model.
    segments: FxHashMap<u64, CachedSegment>,
    /// Uses of segments, the oldest first. A use that is not the latest of its segment has no effect.
    uses: VecDeque<SegmentUse>,
}

impl PrefixCacheModel {
    /// Sets the number of tokens for which the executor has memory. With 0 it caches nothing.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity_tokens = tokens;
        self.evict();
    }

    /// The number of tokens of the longest prefix of the prompt that is cached or in prefill.
    pub fn cached_tokens(&self, model: u64, prompt: &[PromptSegment]) -> u32 {
        self.prefix_tokens(model, prompt, |_| true)
    }

    /// The number of tokens of the longest prefix of the prompt whose prefill has finished. A request that arrives
    /// during the prefill of a segment has to process the segment as well.
    pub fn ready_tokens(&self, now: Instant, model: u64, prompt: &[PromptSegment]) -> u32 {
        self.prefix_tokens(model, prompt, |segment| segment.ready_at <= now)
    }

    /// The number of tokens of the longest prefix of the prompt whose segments are all cached and satisfy `is_counted`.
    fn prefix_tokens(
        &self,
        model: u64,
        prompt: &[PromptSegment],
        is_counted: impl Fn(&CachedSegment) -> bool,
    ) -> u32 {
        let is_cached = |segment: &&PromptSegment| {
            self.segments.get(&(segment.chain_hash ^ model)).is_some_and(&is_counted)
        };
        let cached = prompt.iter().take_while(is_cached);
        cached.fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    /// Records that the segments were sent to the executor, which computes and caches them or uses them again.
    pub fn record_use(&mut self, now: Instant, model: u64, prompt: &[PromptSegment]) {
        if self.capacity_tokens == 0 {
            return;
        }
        let tokens = prompt.iter().fold(0.0, |sum, segment| sum + f64::from(segment.tokens));
        let ready_at = now + Duration::from_seconds(tokens / PREFILL_TOKENS_PER_S);
        // The first segment counts as used last, so that it is evicted after the segments behind it, which are of no
        // use without it.
        for segment in prompt.iter().rev() {
            self.use_segment(segment.chain_hash ^ model, segment.tokens, ready_at);
        }
        self.evict();
    }

    /// Records the use of one segment, which is added if it is not cached.
    fn use_segment(&mut self, key: u64, tokens: u32, ready_at: Instant) {
        self.use_count += 1;
        let new = CachedSegment { tokens: 0, last_use: 0, ready_at };
        let segment = self.segments.entry(key).or_insert(new);
        self.total_tokens = self.total_tokens + u64::from(tokens) - u64::from(segment.tokens);
        segment.tokens = tokens;
        segment.last_use = self.use_count;
        self.uses.push_back(SegmentUse { key, number: self.use_count });
    }

    /// Removes all segments, after the executor turned out to have lost its cache.
    pub fn clear(&mut self) {
        self.segments.clear();
        self.uses.clear();
        self.total_tokens = 0;
    }

    fn is_over_limit(&self) -> bool {
        self.total_tokens > self.capacity_tokens
            || self.segments.len() > MAX_ENTRIES
            || self.uses.len() > 2 * MAX_ENTRIES
    }

    /// Removes the least recently used segments until the cache is within its limits.
    fn evict(&mut self) {
        while self.is_over_limit() {
            let Some(oldest) = self.uses.pop_front() else { return };
            if self.segments.get(&oldest.key).is_some_and(|segment| segment.last_use == oldest.number) {
                let evicted_tokens = self.segments.remove(&oldest.key).map_or(0, |segment| segment.tokens);
                self.total_tokens -= u64::from(evicted_tokens);
            }
        }
    }
}
