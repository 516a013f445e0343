//! Construction of a dispatcher.

use super::{Dispatcher, load_sharing::LoadSharing, pending::QuotaShare};
use crate::learned::WorkloadStats;
use crate::time::DurationExt;
use crate::{AttemptPolicy, ExecutorSignals, Host, Instant, RequestClass, SlowStart};
use grebeusher_sizing::CutOffs;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

impl<H: Host> Dispatcher<H> {
    /// The dispatcher of the node with number `node` among `node_count` nodes. It knows no executors and no sizes yet.
    pub fn new(host: H, seed: u64, node: u64, node_count: u64, classes: Vec<RequestClass>) -> Self {
        Dispatcher {
            host,
            rng: Pcg32::seed_from_u64(seed),
            node,
            node_count: node_count.max(1),
            zone: 0,
            classes,
            policy: AttemptPolicy::default(),
            slow_start: SlowStart::default(),
            signals: ExecutorSignals::default(),
            sharing: LoadSharing::default(),
            quota_shares: Vec::new(),
            executors: Vec::new(),
            ready_order: Vec::new(),
            attempts_in_flight: 0,
            requests: BTreeMap::new(),
            arrival_times: VecDeque::new(),
            retry_times: VecDeque::new(),
            watch_failures: 0,
            list_valid_until: None,
            stats: WorkloadStats::default(),
            cut_offs: CutOffs::one_lane(),
            cut_offs_computed: Instant(0),
        }
    }

    /// Sets how often and in what way requests may be attempted.
    pub fn with_attempt_policy(mut self, policy: AttemptPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets how much load an executor that has just started can take.
    pub fn with_slow_start(mut self, slow_start: SlowStart) -> Self {
        self.slow_start = slow_start;
        self
    }

    /// Sets what the node may ask of executors and what they report. A progress interval of zero counts as none.
    pub fn with_signals(mut self, signals: ExecutorSignals) -> Self {
        let progress_interval = signals.progress_interval.filter(|interval| interval.nanos() > 0);
        self.signals = ExecutorSignals { progress_interval, ..signals };
        self
    }

    /// Sets each customer's quota at all nodes together, in requests per second, by the index of the customer.
    pub fn with_customer_quotas(mut self, quotas: &[f64]) -> Self {
        self.quota_shares = quotas.iter().map(|quota| QuotaShare::of(*quota, self.node_count)).collect();
        self
    }

    /// Sets whether nodes may send each other load messages.
    pub fn with_load_sharing(mut self, peers: bool) -> Self {
        self.sharing.allowed = peers && self.node_count > 1;
        self
    }

    /// Sets the index of this node's zone.
    pub fn with_zone(mut self, zone: usize) -> Self {
        self.zone = zone;
        self
    }
}
