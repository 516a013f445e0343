//! Links that lose, double, delay and reorder.

use std::collections::{BTreeMap, BTreeSet};

use grebeusher_time::{Duration, DurationExt};
use rand::Rng;
use rand::rngs::SmallRng;

use super::Site;

/// What was sent to a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    pub messages: u64,
    pub bytes: u64,
    pub largest: usize,
}

#[derive(Clone, Debug)]
pub struct Network {
    pub loss: f64,
    pub doubling: f64,
    /// The delay of a message lies between nothing and this, so messages overtake each other.
    pub delay: Duration,
    /// With this chance a message takes very long.
    pub straggling: f64,
    /// What a direction of a link takes longer than others.
    pub slow: BTreeMap<(Site, Site), Duration>,
    cuts: BTreeSet<(Site, Site)>,
    /// The messages and bytes sent to each machine, also those that got lost.
    pub sent_to: BTreeMap<Site, Sent>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            loss: 0.0,
            doubling: 0.0,
            delay: Duration::from_millis(2),
            straggling: 0.0,
            slow: BTreeMap::new(),
            cuts: BTreeSet::new(),
            sent_to: BTreeMap::new(),
        }
    }
}

impl Network {
    /// Cuts one direction of a link.
    pub fn cut(&mut self, from: Site, to: Site) {
        self.cuts.insert((from, to));
    }

    /// Mends one direction of a link.
    pub fn reconnect(&mut self, from: Site, to: Site) {
        self.cuts.remove(&(from, to));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn is_cut(&self, from: Site, to: Site) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// The delays of the copies of a message that arrive.
    pub fn fates(&mut self, from: Site, to: Site, bytes: usize, rng: &mut SmallRng) -> Vec<Duration> {
        let sent = self.sent_to.entry(to).or_default();
        sent.messages += 1;
        sent.bytes += bytes as u64;
        sent.largest = sent.largest.max(bytes);
        if self.is_cut(from, to) || rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if rng.random_bool(self.doubling) { 2 } else { 1 };
        let straggling = self.straggling;
        let most = self.delay.nanos();
        let slow = self.slow.get(&(from, to)).copied().unwrap_or_default();
        (0..copies)
            .map(|_| {
                let long = rng.random_bool(straggling);
                slow + Duration::from_nanos(
                    rng.random_range(0..=if long { Duration::from_millis(700).nanos() } else { most }),
                )
            })
            .collect()
    }
}
