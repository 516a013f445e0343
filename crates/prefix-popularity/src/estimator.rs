//! The estimate of one node: its own counts, the contributions of the others, and the homes that follow from both.

use crate::contribution::{Contribution, HEAD_BYTES, PrefixRate, RATE_BYTES};
use crate::error::DecodeError;
use crate::homes::HomeTable;
use crate::key::PrefixKey;
use crate::peer_contributions::{Decay, PeerContributions};
use crate::settings::Settings;
use crate::snapshot;
use crate::space_saving::SpaceSavingTable;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;

/// How often the sums and the homes are computed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(1000);
/// A contribution counts in full for so many report intervals: one report may be lost.
const HOLD_INTERVALS: f64 = 2.5;
/// The most bytes of a frame on a link around a contribution.
const FRAME_BYTES: usize = 16;
/// Each contribution comes in once and, on average over the relay trees, goes out once.
const TRANSFERS: f64 = 2.0;
/// Nodes send their first contribution in one of so many phases of the interval.
const REPORT_PHASES: u64 = 64;
/// A restored rate is dropped when less is left of it, in tokens a second.
const MIN_RESTORED_RATE: f64 = 1.0;

/// The writer of this node's contributions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contributor {
    /// The node.
    pub origin: u64,
    /// Its incarnation: a later one has a greater number.
    pub incarnation: u64,
}

/// What became of a contribution of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is new, and is to be relayed.
    Merged,
    /// It is known or older than what is known, or there are too many origins. It is not to be relayed.
    Ignored,
}

/// Events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Own contributions that were sent.
    pub sent: u64,
    /// Contributions of others that were merged.
    pub merged: u64,
    /// Contributions of others that were ignored.
    pub ignored: u64,
    /// Homes that prefixes got beside their first.
    pub homes_added: u64,
    /// Homes that prefixes lost.
    pub homes_removed: u64,
}

/// The sizes of the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Prefixes that this node counts.
    pub tracked_prefixes: usize,
    /// Nodes whose contributions it has.
    pub contributors: usize,
}

/// A prefix and its popularity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PopularPrefix {
    /// The prefix.
    pub key: PrefixKey,
    /// Tokens a second that requests bring beside it, over the whole tier.
    pub tokens_per_s: f64,
    /// At how many executors it has a home.
    pub homes: usize,
}

/// The estimate of prefix popularity at one node. See the crate's page.
pub struct PopularityEstimator {
    settings: Settings,
    own: Contributor,
    /// At least 1.
    nodes: usize,
    own_counts: SpaceSavingTable,
    peers: PeerContributions,
    /// What an earlier process of this node knew, as of `restored_at`.
    restored: FxHashMap<PrefixKey, f64>,
    restored_at: Instant,
    /// The rates over the whole tier, as of the last review.
    rates: FxHashMap<PrefixKey, f64>,
    homes: HomeTable,
    /// Of the last own contribution.
    sequence: u32,
    last_was_empty: bool,
    report_at: Instant,
    review_at: Instant,
    counters: Counters,
}

impl PopularityEstimator {
    /// A node that knows nothing yet. `settings` have to pass [`Settings::validate`].
    pub fn new(settings: Settings, own: Contributor, now: Instant) -> PopularityEstimator {
        // Nodes that start together report at different times.
        let phase = (own.origin % REPORT_PHASES) as f64 / REPORT_PHASES as f64;
        let first_delay = settings.min_report_interval + settings.min_report_interval.scaled(phase);
        PopularityEstimator {
            settings,
            own,
            nodes: 1,
            own_counts: SpaceSavingTable::new(settings.tracked_prefixes, settings.time_constant, now),
            peers: PeerContributions::default(),
            restored: FxHashMap::default(),
            restored_at: now,
            rates: FxHashMap::default(),
            homes: HomeTable::default(),
            sequence: 0,
            last_was_empty: true,
            report_at: now + first_delay,
            review_at: now,
            counters: Counters::default(),
        }
    }

    /// Sets how many nodes report to each other, this one included.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// A request of this node brought so many tokens beside the prefix.
    pub fn record(&mut self, now: Instant, key: PrefixKey, tokens: u32) {
        self.own_counts.record(now, key, f64::from(tokens));
    }

    /// A contribution of another node came.
    pub fn merge(&mut self, now: Instant, contribution: Contribution) -> MergeOutcome {
        let is_own = contribution.origin == self.own.origin;
        if is_own || !self.peers.merge(now, contribution) {
            self.counters.ignored += 1;
            return MergeOutcome::Ignored;
        }
        self.counters.merged += 1;
        MergeOutcome::Merged
    }

    /// Does what is due. Returns this node's contribution when it is to be sent to all.
    pub fn tick(&mut self, now: Instant) -> Option<Contribution> {
        if now >= self.review_at {
            self.review_at = now + REVIEW_INTERVAL;
            self.review(now);
        }
        if now < self.report_at {
            return None;
        }
        self.report_at = now + self.report_interval();
        let rates = self.own_rates(now);
        // One empty contribution replaces the last. After that, no contribution means the same.
        if rates.is_empty() && self.last_was_empty {
            return None;
        }
        self.last_was_empty = rates.is_empty();
        self.sequence = self.sequence.saturating_add(1);
        self.counters.sent += 1;
        let Contributor { origin, incarnation } = self.own;
        Some(Contribution { origin, incarnation, sequence: self.sequence, rates })
    }

    /// When something is due next.
    pub fn next_wake(&self) -> Instant {
        self.report_at.min(self.review_at)
    }

    /// The interval between two own contributions, in which as many bytes come and go as all nodes together send in it.
    pub fn report_interval(&self) -> Duration {
        let contribution = FRAME_BYTES + HEAD_BYTES + self.settings.reported_prefixes * RATE_BYTES;
        let bytes = contribution as f64 * self.nodes as f64 * TRANSFERS;
        let needed = Duration::from_seconds(bytes / self.settings.max_bytes_per_s);
        self.settings.min_report_interval.max(needed)
    }

    fn own_rates(&self, now: Instant) -> Vec<PrefixRate> {
        let heaviest = self.own_counts.heaviest(now, self.settings.reported_prefixes);
        let rates = heaviest.into_iter().map(|tracked| PrefixRate::of(tracked.key, tracked.tokens_per_s));
        let mut rates: Vec<PrefixRate> = rates.filter(|rate| rate.tokens_per_s() > 0.0).collect();
        rates.sort_unstable_by_key(|rate| rate.key);
        rates
    }

    fn peer_decay(&self) -> Decay {
        let hold = self.report_interval().scaled(HOLD_INTERVALS);
        Decay { hold, time_constant_s: self.settings.time_constant.seconds() }
    }

    /// Computes the rates over the whole tier, and the homes.
    fn review(&mut self, now: Instant) {
        let decay = self.peer_decay();
        self.peers.remove_decayed(now, decay);
        self.rates.clear();
        let own = self.own_counts.heaviest(now, self.settings.reported_prefixes);
        self.rates.extend(own.into_iter().map(|tracked| (tracked.key, tracked.tokens_per_s)));
        self.peers.add_to(now, decay, &mut self.rates);
        self.include_restored(now);
        let changes = self.homes.update(now, &self.rates, &self.settings);
        self.counters.homes_added += changes.added;
        self.counters.homes_removed += changes.removed;
    }

    /// What an earlier process knew is the same traffic: the greater rate counts, never both.
    fn include_restored(&mut self, now: Instant) {
        let time_constant_s = self.settings.time_constant.seconds();
        let decay = Decay { hold: Duration::from_nanos(0), time_constant_s };
        let weight = decay.weight(now.since(self.restored_at));
        self.restored.retain(|_, rate| *rate * weight >= MIN_RESTORED_RATE);
        for (key, rate) in &self.restored {
            let sum = self.rates.entry(*key).or_insert(0.0);
            *sum = sum.max(rate * weight);
        }
    }

    /// At how many executors a prefix has a home: one at least.
    pub fn homes(&self, key: PrefixKey) -> usize {
        self.homes.count(key)
    }

    /// Tokens a second that requests bring beside a prefix, over the whole tier.
    pub fn tokens_per_s(&self, key: PrefixKey) -> f64 {
        self.rates.get(&key).copied().unwrap_or(0.0)
    }

    /// The most popular prefixes, those in most demand first.
    pub fn popular(&self, limit: usize) -> Vec<PopularPrefix> {
        let view = |(key, rate): (&PrefixKey, &f64)| PopularPrefix {
            key: *key,
            tokens_per_s: *rate,
            homes: self.homes(*key),
        };
        let mut popular: Vec<PopularPrefix> = self.rates.iter().map(view).collect();
        popular.sort_unstable_by(|a, b| b.tokens_per_s.total_cmp(&a.tokens_per_s).then(a.key.cmp(&b.key)));
        popular.truncate(limit);
        popular
    }

    /// A snapshot for a later process of this node, at most [`crate::MAX_SNAPSHOT_BYTES`].
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(&self.rates)
    }

    /// Takes over the snapshot of an earlier process of this node, which decays from now on. Returns the number of its
    /// prefixes that still count.
    ///
    /// # Errors
    /// When the bytes are not a snapshot.
    pub fn restore(&mut self, now: Instant, bytes: &[u8]) -> Result<usize, DecodeError> {
        self.restored = snapshot::decode(bytes)?;
        self.restored_at = now;
        self.review(now);
        Ok(self.restored.len())
    }

    /// Events since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The sizes of the tables.
    pub fn sizes(&self) -> TableSizes {
        TableSizes { tracked_prefixes: self.own_counts.len(), contributors: self.peers.len() }
    }
}
