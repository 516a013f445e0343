//! The estimate of prefix popularity at one node: the counts of its own requests, the contributions of the other nodes,
//! and the numbers of homes that follow from both.

use crate::contribution::{Contribution, HEADER_BYTES, PrefixRate, RATE_BYTES};
use crate::error::DecodeError;
use crate::homes::HomeTable;
use crate::key::PrefixKey;
use crate::peer_contributions::{Decay, PeerContributions};
use crate::settings::EstimatorSettings;
use crate::snapshot;
use crate::space_saving::SpaceSavingTable;
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;

/// The interval at which the rates over all nodes and the numbers of homes are computed.
const UPDATE_INTERVAL: Duration = Duration::from_millis(1000);
/// For how many report intervals a contribution keeps its full weight. One report may be lost meanwhile.
const HOLD_INTERVALS: f64 = 2.5;
/// The greatest number of bytes that the transport adds to a contribution.
const FRAME_BYTES: usize = 16;
/// How many times a node transfers each contribution: it receives it once, and sends it once on average over the relay
/// trees.
const TRANSFERS: f64 = 2.0;
/// The number of different times within the report interval at which nodes send their first contribution.
const REPORT_PHASES: u64 = 64;
/// The least rate in tokens per second that is kept of a restored snapshot while it decays.
const MIN_RESTORED_RATE: f64 = 1.0;

/// The identity under which a node writes its contributions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contributor {
    /// The id of the node.
    pub origin: u64,
    /// The incarnation of the node's process. A later process has a greater number.
    pub incarnation: u64,
}

/// The result of merging a contribution of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The contribution is new and should be relayed to other nodes.
    Merged,
    /// The contribution should not be relayed. It is not newer than the stored one of its origin, it is the node's own,
    /// or there are too many origins.
    Ignored,
}

/// The numbers of events since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EstimatorCounters {
    /// Contributions of this node that were sent.
    pub sent: u64,
    /// Contributions of other nodes that were merged.
    pub merged: u64,
    /// Contributions that were ignored.
    pub ignored: u64,
    /// Homes that were added to prefixes in addition to the first home of each.
    pub homes_added: u64,
    /// Homes that were removed from prefixes.
    pub homes_removed: u64,
}

/// The numbers of entries in the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// The number of prefixes for which this node counts its own requests.
    pub tracked_prefixes: usize,
    /// The number of other nodes whose contributions are stored.
    pub contributors: usize,
}

/// A prefix and the demand for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PopularPrefix {
    /// The key of the prefix.
    pub key: PrefixKey,
    /// The number of tokens per second that requests with the prefix have after it, over all nodes.
    pub tokens_per_s: f64,
    /// The number of executors that are homes of the prefix.
    pub home_count: usize,
}

/// The estimate of prefix popularity at one node. The documentation of the crate describes it.
pub struct PopularityEstimator {
    settings: EstimatorSettings,
    own: Contributor,
    /// The number of nodes that report to each other, at least 1.
    node_count: usize,
    own_counts: SpaceSavingTable,
    peers: PeerContributions,
    /// The rates in tokens per second from the snapshot of an earlier process, at `restored_at`.
    restored: FxHashMap<PrefixKey, f64>,
    restored_at: Instant,
    /// The rates in tokens per second over all nodes, at the latest update.
    rates: FxHashMap<PrefixKey, f64>,
    homes: HomeTable,
    /// The sequence number of the latest contribution of this node.
    sequence: u32,
    /// Whether the latest contribution of this node was empty.
    last_was_empty: bool,
    /// When the next contribution of this node is due.
    report_at: Instant,
    /// When the rates and the numbers of homes are due to be computed.
    update_at: Instant,
    counters: EstimatorCounters,
}

impl PopularityEstimator {
    /// Creates the estimate of a node without any counts. `settings` have to be valid by
    /// [`EstimatorSettings::validate`].
    pub fn new(settings: EstimatorSettings, own: Contributor, now: Instant) -> PopularityEstimator {
        // The phase differs between nodes, so that nodes that start together report at different times.
        let phase = (own.origin % REPORT_PHASES) as f64 / REPORT_PHASES as f64;
        let first_delay = settings.min_report_interval + settings.min_report_interval.scaled(phase);
        PopularityEstimator {
            settings,
            own,
            node_count: 1,
            own_counts: SpaceSavingTable::new(settings.tracked_prefixes, settings.time_constant, now),
            peers: PeerContributions::default(),
            restored: FxHashMap::default(),
            restored_at: now,
            rates: FxHashMap::default(),
            homes: HomeTable::default(),
            sequence: 0,
            last_was_empty: true,
            report_at: now + first_delay,
            update_at: now,
            counters: EstimatorCounters::default(),
        }
    }

    /// Sets the number of nodes that report to each other, including this one.
    pub fn set_node_count(&mut self, node_count: usize) {
        self.node_count = node_count.max(1);
    }

    /// Records a request of this node with `tokens` prompt tokens after the prefix.
    pub fn record(&mut self, now: Instant, key: PrefixKey, tokens: u32) {
        self.own_counts.record(now, key, f64::from(tokens));
    }

    /// Stores a contribution that was received from another node, if it is newer than the stored one.
    pub fn merge(&mut self, now: Instant, contribution: Contribution) -> MergeOutcome {
        let is_own = contribution.origin == self.own.origin;
        if is_own || !self.peers.merge(now, contribution) {
            self.counters.ignored += 1;
            return MergeOutcome::Ignored;
        }
        self.counters.merged += 1;
        MergeOutcome::Merged
    }

    /// Does the periodic work that is due. Returns a contribution of this node when it is due to be sent to all nodes.
    pub fn tick(&mut self, now: Instant) -> Option<Contribution> {
        if now >= self.update_at {
            self.update_at = now + UPDATE_INTERVAL;
            self.update(now);
        }
        if now < self.report_at {
            return None;
        }
        self.report_at = now + self.report_interval();
        let rates = self.own_rates(now);
        // One empty contribution replaces the previous one. Further empty ones would not change anything.
        if rates.is_empty() && self.last_was_empty {
            return None;
        }
        self.last_was_empty = rates.is_empty();
        self.sequence = self.sequence.saturating_add(1);
        self.counters.sent += 1;
        let Contributor { origin, incarnation } = self.own;
        Some(Contribution { origin, incarnation, sequence: self.sequence, rates })
    }

    /// When [`PopularityEstimator::tick`] next has work to do.
    pub fn next_wake(&self) -> Instant {
        self.report_at.min(self.update_at)
    }

    /// The interval between two contributions of this node. It is long enough that the contributions of all nodes stay
    /// within [`EstimatorSettings::max_bytes_per_s`] on this node's link.
    pub fn report_interval(&self) -> Duration {
        let contribution_bytes = FRAME_BYTES + HEADER_BYTES + self.settings.reported_prefixes * RATE_BYTES;
        let bytes_per_interval = contribution_bytes as f64 * self.node_count as f64 * TRANSFERS;
        let needed = Duration::from_seconds(bytes_per_interval / self.settings.max_bytes_per_s);
        self.settings.min_report_interval.max(needed)
    }

    /// The rates of this node's contribution, in ascending order of their keys.
    fn own_rates(&self, now: Instant) -> Vec<PrefixRate> {
        let highest_rates = self.own_counts.highest_rates(now, self.settings.reported_prefixes);
        let rates =
            highest_rates.into_iter().map(|tracked| PrefixRate::new(tracked.key, tracked.tokens_per_s));
        let mut rates: Vec<PrefixRate> = rates.filter(|rate| rate.tokens_per_s() > 0.0).collect();
        rates.sort_unstable_by_key(|rate| rate.key);
        rates
    }

    /// How the contributions of other nodes lose weight.
    fn peer_decay(&self) -> Decay {
        let hold = self.report_interval().scaled(HOLD_INTERVALS);
        Decay { hold, time_constant_s: self.settings.time_constant.seconds() }
    }

    /// Computes the rates over all nodes and the numbers of homes.
    fn update(&mut self, now: Instant) {
        let decay = self.peer_decay();
        self.peers.remove_decayed(now, decay);
        self.rates.clear();
        let own = self.own_counts.highest_rates(now, self.settings.reported_prefixes);
        self.rates.extend(own.into_iter().map(|tracked| (tracked.key, tracked.tokens_per_s)));
        self.peers.add_to(now, decay, &mut self.rates);
        self.include_restored(now);
        let changes = self.homes.update(now, &self.rates, &self.settings);
        self.counters.homes_added += changes.added;
        self.counters.homes_removed += changes.removed;
    }

    /// Includes the rates of the restored snapshot. They describe the same requests as the reports of the nodes, so the
    /// greater rate of the two is used and not their sum.
    fn include_restored(&mut self, now: Instant) {
        let time_constant_s = self.settings.time_constant.seconds();
        let decay = Decay { hold: Duration::from_nanos(0), time_constant_s };
        let weight = decay.weight(now.since(self.restored_at));
        self.restored.retain(|_, rate| *rate * weight >= MIN_RESTORED_RATE);
        for (key, rate) in &self.restored {
            let reported_rate = self.rates.entry(*key).or_insert(0.0);
            *reported_rate = reported_rate.max(rate * weight);
        }
    }

    /// The number of executors that are homes of a prefix, at least 1.
    pub fn home_count(&self, key: PrefixKey) -> usize {
        self.homes.count(key)
    }

    /// The number of tokens per second that requests with a prefix have after it, over all nodes.
    pub fn tokens_per_s(&self, key: PrefixKey) -> f64 {
        self.rates.get(&key).copied().unwrap_or(0.0)
    }

    /// The `limit` prefixes with the highest demand, beginning with the highest.
    pub fn most_popular(&self, limit: usize) -> Vec<PopularPrefix> {
        let view = |(key, rate): (&PrefixKey, &f64)| PopularPrefix {
            key: *key,
            tokens_per_s: *rate,
            home_count: self.home_count(*key),
        };
        let mut popular: Vec<PopularPrefix> = self.rates.iter().map(view).collect();
        popular.sort_unstable_by(|a, b| b.tokens_per_s.total_cmp(&a.tokens_per_s).then(a.key.cmp(&b.key)));
        popular.truncate(limit);
        popular
    }

    /// A snapshot of the rates for a later process of this node. It has at most [`crate::MAX_SNAPSHOT_BYTES`] bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(&self.rates)
    }

    /// Restores the snapshot of an earlier process of this node, whose rates decay from now on. Returns the number of
    /// restored prefixes.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a snapshot.
    pub fn restore(&mut self, now: Instant, bytes: &[u8]) -> Result<usize, DecodeError> {
        self.restored = snapshot::decode(bytes)?;
        self.restored_at = now;
        self.update(now);
        Ok(self.restored.len())
    }

    /// The numbers of events since the start of the process.
    pub fn counters(&self) -> EstimatorCounters {
        self.counters
    }

    /// The numbers of entries in the tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes { tracked_prefixes: self.own_counts.len(), contributors: self.peers.len() }
    }
}
