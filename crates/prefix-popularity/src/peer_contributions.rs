//! The newest contribution of each other node, and the sums of their rates.

use crate::contribution::Contribution;
use crate::key::PrefixKey;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;

/// The greatest number of origins whose contributions are stored, far more than the number of nodes of the largest
/// tier. A contribution takes some hundred bytes.
const MAX_ORIGINS: usize = 1_024;
/// The weight at or below which a contribution is dropped.
const MIN_WEIGHT: f64 = 0.02;

/// A contribution and the time at which it was received.
struct ReceivedContribution {
    contribution: Contribution,
    received_at: Instant,
}

/// The newest contributions of the other nodes.
#[derive(Default)]
pub(crate) struct PeerContributions {
    by_origin: FxHashMap<u64, ReceivedContribution>,
}

/// How a contribution that is not renewed loses weight.
#[derive(Clone, Copy)]
pub(crate) struct Decay {
    /// How long the contribution keeps its full weight after it was received.
    pub hold: Duration,
    /// The time constant of the exponential decay after `hold`, in seconds.
    pub time_constant_s: f64,
}

impl Decay {
    /// The remaining weight of a contribution of an age, from 1 to 0.
    pub fn weight(self, age: Duration) -> f64 {
        if age <= self.hold {
            return 1.0;
        }
        (-age.saturating_sub(self.hold).seconds() / self.time_constant_s).exp()
    }
}

impl PeerContributions {
    /// Stores a contribution, unless the stored one of its origin is as new, or there are too many origins. Returns
    /// whether it was stored.
    pub fn merge(&mut self, now: Instant, contribution: Contribution) -> bool {
        let known = self.by_origin.get(&contribution.origin);
        let is_stale = known.is_some_and(|known| known.contribution.version() >= contribution.version());
        let is_full = known.is_none() && self.by_origin.len() >= MAX_ORIGINS;
        if is_stale || is_full {
            return false;
        }
        self.by_origin.insert(contribution.origin, ReceivedContribution { contribution, received_at: now });
        true
    }

    /// Drops the contributions that have almost no weight left.
    pub fn remove_decayed(&mut self, now: Instant, decay: Decay) {
        self.by_origin.retain(|_, received| decay.weight(now.since(received.received_at)) > MIN_WEIGHT);
    }

    /// Adds the decayed rates of all origins to `sums`, in tokens per second.
    pub fn add_to(&self, now: Instant, decay: Decay, sums: &mut FxHashMap<PrefixKey, f64>) {
        for received in self.by_origin.values() {
            let weight = decay.weight(now.since(received.received_at));
            for rate in &received.contribution.rates {
                *sums.entry(rate.key).or_insert(0.0) += rate.tokens_per_s() * weight;
            }
        }
    }

    pub fn len(&self) -> usize {
        self.by_origin.len()
    }
}
