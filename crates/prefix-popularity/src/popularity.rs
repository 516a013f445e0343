//! The sense of one node: its own counts, what the others told, and the homes that follow.

use crate::contribution::{Contribution, HEAD_BYTES, SHARE_BYTES, Share};
use crate::error::DecodeError;
use crate::homes::HomeTable;
use crate::key::PrefixKey;
use crate::ledger::{Fading, Ledger};
use crate::memory;
use crate::settings::Settings;
use crate::tracker::Tracker;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;

/// How often the sums and the homes are worked out anew.
const REVIEW_INTERVAL: Duration = Duration::from_millis(1000);
/// A register counts in full for so many pauses: one may be lost.
const FRESH_PERIODS: f64 = 2.5;
/// Bytes of a frame on a link around a register, at most.
const FRAME_BYTES: usize = 16;
/// Each register comes in once and, on average over the trees of relays, goes out once.
const BOTH_WAYS: f64 = 2.0;

/// The writer of this node's registers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The node.
    pub origin: u64,
    /// Its life: a later one has a greater number.
    pub incarnation: u64,
}

/// What became of a register of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// It is news, to be passed on.
    News,
    /// It is known, older than what is known, or there is no room for its origin: not to be passed on.
    Known,
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Own registers that were told.
    pub told: u64,
    /// Registers of others that were news.
    pub merged: u64,
    /// Registers of others that were not.
    pub known: u64,
    /// Homes that prefixes got beside their first.
    pub homes_added: u64,
    /// Homes that prefixes lost.
    pub homes_removed: u64,
}

/// A prefix and how popular it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Popular {
    /// The prefix.
    pub key: PrefixKey,
    /// Tokens a second that requests bring beside it, over the whole tier.
    pub tokens_per_s: f64,
    /// At how many executors it has a home.
    pub homes: usize,
}

/// See the crate's page.
pub struct Popularity {
    settings: Settings,
    own: Identity,
    nodes: usize,
    tracker: Tracker,
    ledger: Ledger,
    former: FxHashMap<PrefixKey, f64>,
    recalled: Instant,
    rates: FxHashMap<PrefixKey, f64>,
    homes: HomeTable,
    sequence: u32,
    told_some: bool,
    tell_at: Instant,
    review_at: Instant,
    counters: Counters,
}

impl Popularity {
    /// A node that knows of nothing yet. `settings` should be [`Settings::checked`].
    pub fn new(settings: Settings, own: Identity, now: Instant) -> Popularity {
        // Nodes that start together tell at different times.
        let phase = settings.least_period.scaled((own.origin % 64) as f64 / 64.0);
        Popularity {
            settings,
            own,
            nodes: 1,
            tracker: Tracker::new(settings.tracked, settings.mean_over, now),
            ledger: Ledger::default(),
            former: FxHashMap::default(),
            recalled: now,
            rates: FxHashMap::default(),
            homes: HomeTable::default(),
            sequence: 0,
            told_some: false,
            tell_at: now + settings.least_period + phase,
            review_at: now,
            counters: Counters::default(),
        }
    }

    /// How many nodes tell each other, this one included.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// A request of this node brought so many tokens beside the prefix.
    pub fn saw(&mut self, now: Instant, key: PrefixKey, tokens: u32) {
        self.tracker.saw(now, key, f64::from(tokens));
    }

    /// A register of another node came.
    pub fn merge(&mut self, now: Instant, contribution: Contribution) -> Merge {
        let own = contribution.origin == self.own.origin;
        if own || !self.ledger.merge(now, contribution) {
            self.counters.known += 1;
            return Merge::Known;
        }
        self.counters.merged += 1;
        Merge::News
    }

    /// Does what is due; returns this node's register when it is to be told to all.
    pub fn tick(&mut self, now: Instant) -> Option<Contribution> {
        if now >= self.review_at {
            self.review_at = now + REVIEW_INTERVAL;
            self.review(now);
        }
        if now < self.tell_at {
            return None;
        }
        self.tell_at = now + self.period();
        let shares = self.own_shares(now);
        // Nothing is told once; after that silence says the same.
        if shares.is_empty() && !self.told_some {
            return None;
        }
        self.told_some = !shares.is_empty();
        self.sequence = self.sequence.saturating_add(1);
        self.counters.told += 1;
        let Identity { origin, incarnation } = self.own;
        Some(Contribution { origin, incarnation, sequence: self.sequence, shares })
    }

    /// When something is due next.
    pub fn next_wake(&self) -> Instant {
        self.tell_at.min(self.review_at)
    }

    /// The pause between two own registers: as many bytes come and go as all nodes together tell in it.
    pub fn period(&self) -> Duration {
        let register = FRAME_BYTES + HEAD_BYTES + self.settings.told * SHARE_BYTES;
        let bytes = register as f64 * self.nodes as f64 * BOTH_WAYS;
        self.settings.least_period.max(Duration::from_seconds(bytes / self.settings.bytes_per_s))
    }

    fn own_shares(&self, now: Instant) -> Vec<Share> {
        let heaviest = self.tracker.heaviest(now, self.settings.told);
        let mut shares: Vec<Share> = heaviest.into_iter().map(|(key, rate)| Share::of(key, rate)).collect();
        shares.retain(|share| share.tokens_per_s() > 0.0);
        shares.sort_unstable_by_key(|share| share.key);
        shares
    }

    fn fading(&self) -> Fading {
        let fresh_for = self.period().scaled(FRESH_PERIODS);
        Fading { fresh_for, mean_over_s: self.settings.mean_over.seconds() }
    }

    fn review(&mut self, now: Instant) {
        let fading = self.fading();
        self.ledger.sweep(now, fading);
        self.rates.clear();
        self.rates.extend(self.tracker.heaviest(now, self.settings.told));
        self.ledger.add_to(now, fading, &mut self.rates);
        // What an earlier process knew is the same traffic: the greater counts, never both.
        let left = Fading { fresh_for: Duration::from_nanos(0), ..fading }.left(now.since(self.recalled));
        self.former.retain(|_, rate| *rate * left >= 1.0);
        for (key, rate) in &self.former {
            let sum = self.rates.entry(*key).or_insert(0.0);
            *sum = sum.max(rate * left);
        }
        let (more, fewer) = self.homes.follow(now, &self.rates, &self.settings);
        self.counters.homes_added += more;
        self.counters.homes_removed += fewer;
    }

    /// At how many executors a prefix has a home: one at least.
    pub fn homes(&self, key: PrefixKey) -> usize {
        self.homes.count(key)
    }

    /// Tokens a second that requests bring beside a prefix, over the whole tier.
    pub fn tokens_per_s(&self, key: PrefixKey) -> f64 {
        self.rates.get(&key).copied().unwrap_or(0.0)
    }

    /// The most popular, first those in most demand.
    pub fn popular(&self, most: usize) -> Vec<Popular> {
        let view = |(key, rate): (&PrefixKey, &f64)| Popular {
            key: *key,
            tokens_per_s: *rate,
            homes: self.homes(*key),
        };
        let mut popular: Vec<Popular> = self.rates.iter().map(view).collect();
        popular.sort_unstable_by(|a, b| b.tokens_per_s.total_cmp(&a.tokens_per_s).then(a.key.cmp(&b.key)));
        popular.truncate(most);
        popular
    }

    /// A snapshot for a later process of this node, at most [`crate::MAX_MEMORY`] bytes.
    pub fn remember(&self) -> Vec<u8> {
        memory::encode(&self.rates)
    }

    /// Takes over what an earlier process of this node knew; it fades from now on.
    ///
    /// # Errors
    /// Says what is wrong with bytes that are no snapshot.
    pub fn recall(&mut self, now: Instant, bytes: &[u8]) -> Result<usize, DecodeError> {
        self.former = memory::decode(bytes)?;
        self.recalled = now;
        self.review(now);
        Ok(self.former.len())
    }

    /// Counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Prefixes that this node counts, and nodes whose registers it holds.
    pub fn sizes(&self) -> (usize, usize) {
        (self.tracker.len(), self.ledger.len())
    }
}
