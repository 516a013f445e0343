//! How much each subject (the last shared part of a prompt) is asked for at this node.

use grebeusher_time::{DurationExt, Instant};
use rustc_hash::FxHashMap;

/// Subjects that are counted at once; one in demand comes back at once when it was dropped.
const MAX_SUBJECTS: usize = 256;
/// The time over which demand is a mean: a few requests of one in demand, next to none of any other.
const MEAN_OVER_S: f64 = 4.0;
/// What is left of a count that is as good as none, in tokens.
const FADED: f64 = 64.0;

#[derive(Default)]
pub(crate) struct Demand {
    subjects: FxHashMap<u64, (f64, Instant)>,
}

fn left(tokens: f64, since: Instant, now: Instant) -> f64 {
    tokens * (-now.since(since).seconds() / MEAN_OVER_S).exp()
}

impl Demand {
    /// Tokens a second that requests of the subject bring beside its shared parts.
    pub fn tokens_per_s(&self, now: Instant, subject: u64) -> f64 {
        self.subjects.get(&subject).map_or(0.0, |(tokens, at)| left(*tokens, *at, now) / MEAN_OVER_S)
    }

    /// A request of the subject was sent, with so many tokens of its own.
    pub fn sent(&mut self, now: Instant, subject: u64, tokens: u32) {
        if self.subjects.len() >= MAX_SUBJECTS && !self.subjects.contains_key(&subject) {
            self.subjects.retain(|_, (tokens, at)| left(*tokens, *at, now) > FADED);
            if self.subjects.len() >= MAX_SUBJECTS {
                self.subjects.clear();
            }
        }
        let (sum, at) = self.subjects.entry(subject).or_insert((0.0, now));
        (*sum, *at) = (left(*sum, *at, now) + f64::from(tokens), now);
    }
}
