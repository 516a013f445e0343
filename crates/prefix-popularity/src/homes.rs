//! How many homes each prefix has: more at once, fewer slowly.

use crate::key::PrefixKey;
use crate::settings::Settings;
use grebeusher_time::Instant;
use rustc_hash::FxHashMap;

#[derive(Clone, Copy)]
struct Homes {
    count: usize,
    changed: Instant,
}

/// The prefixes that have more than one home.
#[derive(Default)]
pub(crate) struct HomeTable {
    homes: FxHashMap<PrefixKey, Homes>,
}

/// How many homes a rate needs.
fn needed(tokens_per_s: f64, settings: &Settings) -> usize {
    let beyond_first = tokens_per_s / settings.home_tokens_per_s;
    // From a float it saturates.
    (beyond_first as usize).saturating_add(1).min(settings.most_homes)
}

impl HomeTable {
    pub fn count(&self, key: PrefixKey) -> usize {
        self.homes.get(&key).map_or(1, |homes| homes.count)
    }

    /// Follows the rates. Returns how many homes came and went.
    pub fn follow(
        &mut self,
        now: Instant,
        rates: &FxHashMap<PrefixKey, f64>,
        settings: &Settings,
    ) -> (u64, u64) {
        let (mut more, mut fewer) = (0, 0);
        for (key, rate) in rates {
            let wanted = needed(*rate, settings);
            let count = self.count(*key);
            if wanted > count {
                more += (wanted - count) as u64;
                self.homes.insert(*key, Homes { count: wanted, changed: now });
            }
        }
        self.homes.retain(|key, homes| {
            let rate = rates.get(key).copied().unwrap_or(0.0);
            let others_bear = (homes.count - 1) as f64 * settings.home_tokens_per_s;
            let due = now.since(homes.changed) >= settings.shrink_after;
            if due && rate < others_bear * settings.shrink_below {
                *homes = Homes { count: homes.count - 1, changed: now };
                fewer += 1;
            }
            homes.count > 1
        });
        (more, fewer)
    }
}
