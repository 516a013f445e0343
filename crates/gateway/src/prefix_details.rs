//! Details of the prefixes of recent requests. With them, operators are shown more of a popular prefix than its key.

use crate::ids::ServiceId;
use grebeusher_prefix_popularity::{PopularityEstimator, PrefixKey};
use rustc_hash::FxHashMap;

/// The greatest number of prefixes for which details are kept.
const MAX_PREFIXES: usize = 512;

/// What this node knows of a prefix by its own requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefixDetails {
    pub service: ServiceId,
    /// The hash of the prefix, which determines its rendezvous order of executors.
    pub prefix_hash: u64,
    /// The number of tokens of the prefix.
    pub tokens: u32,
    /// The size of the latest request with the prefix, in prompt tokens. It determines the lane of the prefix.
    pub request_size: f64,
}

/// The details of at most [`MAX_PREFIXES`] prefixes.
#[derive(Debug, Default)]
pub(crate) struct PrefixDetailsTable(FxHashMap<PrefixKey, PrefixDetails>);

impl PrefixDetailsTable {
    pub fn get(&self, key: PrefixKey) -> Option<&PrefixDetails> {
        self.0.get(&key)
    }

    /// Sets the details of a prefix. When the table is full, it drops prefixes without demand, or all if there are
    /// none.
    pub fn insert(&mut self, key: PrefixKey, details: PrefixDetails, popularity: &PopularityEstimator) {
        if self.0.len() >= MAX_PREFIXES && !self.0.contains_key(&key) {
            self.0.retain(|key, _| popularity.tokens_per_s(*key) > 0.0);
            if self.0.len() >= MAX_PREFIXES {
                self.0.clear();
            }
        }
        self.0.insert(key, details);
    }
}
