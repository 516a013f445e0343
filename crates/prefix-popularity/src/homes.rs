//! How many homes each prefix has. The number grows at once and shrinks slowly.

use crate::key::PrefixKey;
use crate::settings::Settings;
use grebeusher_time::Instant;
use rustc_hash::FxHashMap;

#[derive(Clone, Copy)]
struct Homes {
    /// At least 2.
    count: usize,
    changed_at: Instant,
}

/// The prefixes that have more than one home.
#[derive(Default)]
pub(crate) struct HomeTable {
    homes: FxHashMap<PrefixKey, Homes>,
}

/// How many homes changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HomeChanges {
    pub added: u64,
    pub removed: u64,
}

/// How many homes a rate needs.
fn needed_homes(tokens_per_s: f64, settings: &Settings) -> usize {
    let beyond_first = tokens_per_s / settings.home_tokens_per_s;
    // The cast saturates.
    (beyond_first as usize).saturating_add(1).min(settings.max_homes)
}

impl HomeTable {
    pub fn count(&self, key: PrefixKey) -> usize {
        self.homes.get(&key).map_or(1, |homes| homes.count)
    }

    /// Adapts the homes to the rates.
    pub fn update(
        &mut self,
        now: Instant,
        rates: &FxHashMap<PrefixKey, f64>,
        settings: &Settings,
    ) -> HomeChanges {
        HomeChanges { added: self.grow(now, rates, settings), removed: self.shrink(now, rates, settings) }
    }

    fn grow(&mut self, now: Instant, rates: &FxHashMap<PrefixKey, f64>, settings: &Settings) -> u64 {
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

    fn shrink(&mut self, now: Instant, rates: &FxHashMap<PrefixKey, f64>, settings: &Settings) -> u64 {
        let mut removed = 0;
        self.homes.retain(|key, homes| {
            let rate = rates.get(key).copied().unwrap_or(0.0);
            let capacity_of_others = (homes.count - 1) as f64 * settings.home_tokens_per_s;
            let is_due = now.since(homes.changed_at) >= settings.shrink_delay;
            if is_due && rate < capacity_of_others * settings.shrink_ratio {
                *homes = Homes { count: homes.count - 1, changed_at: now };
                removed += 1;
            }
            homes.count > 1
        });
        removed
    }
}
