//! Which parts of prompts an executor is believed to hold, by what this node sent there.

use crate::headers::PromptPart;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Entries of one executor at most, whatever their tokens: some ten kilobytes.
const MAX_ENTRIES: usize = 512;

struct Kept {
    tokens: u32,
    used: u64,
    /// When the executor has read it, about.
    read_at: Instant,
}

/// Tokens of a prompt that an executor reads in a second, about: a hundred a millisecond.
pub(crate) const READ_PER_S: f64 = 100_000.0;

/// The least recently used give way, as in the executor itself; bounded by tokens and by number.
#[derive(Default)]
pub(crate) struct PrefixMemory {
    capacity: u64,
    tokens: u64,
    clock: u64,
    kept: FxHashMap<u64, Kept>,
    /// Uses in order; one that is not a part's latest counts for nothing.
    uses: VecDeque<(u64, u64)>,
}

impl PrefixMemory {
    /// Sets for how many tokens the executor has memory. 0: nothing is believed to be kept.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
        self.shrink();
    }

    /// Tokens of the longest run of parts, from the first on, that is believed to be kept, or being read.
    pub fn kept(&self, model: u64, parts: &[PromptPart]) -> u32 {
        self.run(model, parts, |_| true)
    }

    /// As `kept`, without what is still being read: who comes meanwhile reads it as well.
    pub fn read(&self, now: Instant, model: u64, parts: &[PromptPart]) -> u32 {
        self.run(model, parts, |kept| kept.read_at <= now)
    }

    fn run(&self, model: u64, parts: &[PromptPart], counts: impl Fn(&Kept) -> bool) -> u32 {
        let kept = parts.iter().take_while(|part| self.kept.get(&(part.chain ^ model)).is_some_and(&counts));
        kept.fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// The parts were sent there: they are read and kept, or kept on.
    pub fn sent(&mut self, now: Instant, model: u64, parts: &[PromptPart]) {
        if self.capacity == 0 {
            return;
        }
        let all = parts.iter().fold(0.0, |sum, part| sum + f64::from(part.tokens));
        let read_at = now + Duration::from_seconds(all / READ_PER_S);
        // The first part last: the later ones are of no use without it, so they give way before it.
        for part in parts.iter().rev() {
            let key = part.chain ^ model;
            self.clock += 1;
            let kept = self.kept.entry(key).or_insert(Kept { tokens: 0, used: 0, read_at });
            self.tokens = self.tokens + u64::from(part.tokens) - u64::from(kept.tokens);
            (kept.tokens, kept.used) = (part.tokens, self.clock);
            self.uses.push_back((key, self.clock));
        }
        self.shrink();
    }

    /// The executor turned out not to hold anything any more.
    pub fn clear(&mut self) {
        self.kept.clear();
        self.uses.clear();
        self.tokens = 0;
    }

    fn shrink(&mut self) {
        while self.tokens > self.capacity
            || self.kept.len() > MAX_ENTRIES
            || self.uses.len() > 2 * MAX_ENTRIES
        {
            let Some((key, used)) = self.uses.pop_front() else { return };
            if self.kept.get(&key).is_some_and(|kept| kept.used == used) {
                let gone = self.kept.remove(&key).map_or(0, |kept| kept.tokens);
                self.tokens -= u64::from(gone);
            }
        }
    }
}
