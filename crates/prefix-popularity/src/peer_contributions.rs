//! The contributions of the other nodes, the newest of each, and their sums.

use crate::contribution::Contribution;
use crate::key::PrefixKey;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;

/// Origins that are stored at once, well beyond the largest tier; some hundred bytes each.
const MAX_ORIGINS: usize = 1_024;
/// A contribution is dropped when no more than this weight is left of it.
const MIN_WEIGHT: f64 = 0.02;

struct Received {
    contribution: Contribution,
    at: Instant,
}

/// What the other nodes reported.
#[derive(Default)]
pub(crate) struct PeerContributions {
    by_origin: FxHashMap<u64, Received>,
}

/// How a contribution that is not renewed loses weight.
#[derive(Clone, Copy)]
pub(crate) struct Decay {
    /// For this long it counts in full.
    pub hold: Duration,
    /// Then it decays exponentially with this time constant.
    pub time_constant_s: f64,
}

impl Decay {
    /// The remaining weight at an age, from 1 to 0.
    pub fn weight(self, age: Duration) -> f64 {
        if age <= self.hold {
            return 1.0;
        }
        (-age.saturating_sub(self.hold).seconds() / self.time_constant_s).exp()
    }
}

impl PeerContributions {
    /// Stores a contribution unless one as new is stored, or there are too many origins. Whether it was stored.
    pub fn merge(&mut self, now: Instant, contribution: Contribution) -> bool {
        let known = self.by_origin.get(&contribution.origin);
        let is_stale = known.is_some_and(|known| known.contribution.version() >= contribution.version());
        let is_full = known.is_none() && self.by_origin.len() >= MAX_ORIGINS;
        if is_stale || is_full {
            return false;
        }
        self.by_origin.insert(contribution.origin, Received { contribution, at: now });
        true
    }

    /// Drops what has decayed.
    pub fn remove_decayed(&mut self, now: Instant, decay: Decay) {
        self.by_origin.retain(|_, received| decay.weight(now.since(received.at)) > MIN_WEIGHT);
    }

    /// Adds the decayed rates of all origins to the sums.
    pub fn add_to(&self, now: Instant, decay: Decay, sums: &mut FxHashMap<PrefixKey, f64>) {
        for received in self.by_origin.values() {
            let weight = decay.weight(now.since(received.at));
            for rate in &received.contribution.rates {
                *sums.entry(rate.key).or_insert(0.0) += rate.tokens_per_s() * weight;
            }
        }
    }

    pub fn len(&self) -> usize {
        self.by_origin.len()
    }
}
