//! The registers of all nodes, each the newest of its origin, and their sums.

use crate::contribution::Contribution;
use crate::key::PrefixKey;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;

/// Origins that are kept at once, well beyond the largest tier; some hundred bytes each.
const MAX_ORIGINS: usize = 1_024;
/// What is left of a register when it is dropped.
const FADED: f64 = 0.02;

struct Held {
    contribution: Contribution,
    heard: Instant,
}

/// What other nodes told.
#[derive(Default)]
pub(crate) struct Ledger {
    held: FxHashMap<u64, Held>,
}

/// How a register fades that is not renewed.
#[derive(Clone, Copy)]
pub(crate) struct Fading {
    /// So long it counts in full.
    pub fresh_for: Duration,
    /// Then it falls to a third in so many seconds.
    pub mean_over_s: f64,
}

impl Fading {
    pub fn left(self, age: Duration) -> f64 {
        if age <= self.fresh_for {
            1.0
        } else {
            (-age.saturating_sub(self.fresh_for).seconds() / self.mean_over_s).exp()
        }
    }
}

impl Ledger {
    /// Takes a register in unless it holds one as new; whether it did.
    pub fn merge(&mut self, now: Instant, contribution: Contribution) -> bool {
        let held = self.held.get(&contribution.origin);
        if held.is_some_and(|held| held.contribution.order() >= contribution.order())
            || (held.is_none() && self.held.len() >= MAX_ORIGINS)
        {
            return false;
        }
        self.held.insert(contribution.origin, Held { contribution, heard: now });
        true
    }

    /// Drops what has faded.
    pub fn sweep(&mut self, now: Instant, fading: Fading) {
        self.held.retain(|_, held| fading.left(now.since(held.heard)) > FADED);
    }

    /// Adds what all origins tell to the sums.
    pub fn add_to(&self, now: Instant, fading: Fading, sums: &mut FxHashMap<PrefixKey, f64>) {
        for held in self.held.values() {
            let left = fading.left(now.since(held.heard));
            for share in &held.contribution.shares {
                *sums.entry(share.key).or_insert(0.0) += share.tokens_per_s() * left;
            }
        }
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }
}
