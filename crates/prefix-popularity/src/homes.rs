//! The number of homes of each prefix, which are the executors that requests with the prefix go to. When the demand
//! rises, homes are added at once. When it falls, they are removed slowly.

use crate::key::PrefixKey;
use crate::settings::EstimatorSettings;
use grebeusher_time::Instant;
use rustc_hash::FxHashMap;

/// The homes of one prefix.
#[derive(Clone, Copy)]
struct Homes {
    /// The number of homes, at least 2.
    count: usize,
    changed_at: Instant,
}

/// The numbers of homes of the prefixes that have more than one.
#[derive(Default)]
pub(crate) struct HomeTable {
    homes: FxHashMap<PrefixKey, Homes>,
}

/// The numbers of homes that were added and removed in one update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HomeChanges {
    pub added: u64,
    pub removed: u64,
}

/// The number of homes that a prefix with a rate needs.
fn needed_homes(tokens_per_s: f64, settings: &EstimatorSettings) -> usize {
    let additional_homes = tokens_per_s / settings.home_tokens_per_s;
    // The cast to an integer saturates.
    (additional_homes as usize).saturating_add(1).min(settings.max_homes)
}

impl HomeTable {
    /// The number of homes of a prefix, at least 1.
    pub fn count(&self, key: PrefixKey) -> usize {
        self.homes.get(&key).map_or(1, |homes| homes.count)
    }

    /// Adapts the numbers of homes to the rates, which are in tokens per second.
    pub fn update(
        &mut self,
        now: Instant,
        rates: &FxHashMap<PrefixKey, f64>,
        settings: &EstimatorSettings,
    ) -> HomeChanges {
        HomeChanges { added: self.grow(now, rates, settings), removed: self.shrink(now, rates, settings) }
    }

    /// Adds homes to the prefixes that need more. Returns the number of added homes.
    fn grow(&mut self, now: Instant, rates: &FxHashMap<PrefixKey, f64>, settings: &EstimatorSettings) -> u64 {
        let mut added = 0;
        for (key, rate) in rates {
            let needed = needed_homes(*rate, settings);
            let count = self.count(*key);
            if needed > count {
                added += (needed - count) as u64;
                self.homes.insert(*key, Homes { count: needed, changed_at: now });
            }
        }
        added
    }

    /// Removes one home from each prefix whose rate is well below the capacity of its other homes, if its number of
    /// homes has not changed for [`EstimatorSettings::shrink_delay`]. Returns the number of removed homes.
    fn shrink(
        &mut self,
        now: Instant,
        rates: &FxHashMap<PrefixKey, f64>,
        settings: &EstimatorSettings,
    ) -> u64 {
        let mut removed = 0;
        self.homes.retain(|key, homes| {
            let rate = rates.get(key).copied().unwrap_or(0.0);
            let other_homes_tokens_per_s = (homes.count - 1) as f64 * settings.home_tokens_per_s;
            let is_due = now.since(homes.changed_at) >= settings.shrink_delay;
            if is_due && rate < other_homes_tokens_per_s * settings.shrink_ratio {
                *homes = Homes { count: homes.count - 1, changed_at: now };
                removed += 1;
            }
            homes.count > 1
        });
        removed
    }
}
