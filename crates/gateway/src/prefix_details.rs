//! What this node saw of prefixes lately, so that operators see more of one than its key.

use crate::ids::ServiceId;
use grebeusher_prefix_popularity::{PopularityEstimator, PrefixKey};
use rustc_hash::FxHashMap;

/// Labels at once.
const MAX_LABELS: usize = 512;

/// What this node saw of a prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefixLabel {
    pub service: ServiceId,
    /// The hash of the prefix, which gives its rendezvous order.
    pub prefix: u64,
    /// Tokens of the prefix.
    pub tokens: u32,
    /// The size of the latest request with it, which gives its lane.
    pub size: f64,
}

/// Labels by key; at most [`MAX_LABELS`] of them.
#[derive(Debug, Default)]
pub(crate) struct PrefixLabels(FxHashMap<PrefixKey, PrefixLabel>);

impl PrefixLabels {
    pub fn get(&self, key: PrefixKey) -> Option<&PrefixLabel> {
        self.0.get(&key)
    }

    /// Sets a label. Those of prefixes without demand make space for it.
    pub fn insert(&mut self, key: PrefixKey, label: PrefixLabel, popularity: &PopularityEstimator) {
        if self.0.len() >= MAX_LABELS && !self.0.contains_key(&key) {
            self.0.retain(|key, _| popularity.tokens_per_s(*key) > 0.0);
            if self.0.len() >= MAX_LABELS {
                self.0.clear();
            }
        }
        self.0.insert(key, label);
    }
}
