//! Construction of a dispatcher. Nothing is decided here.

use super::{Dispatcher, load_sharing::LoadSharing, pending::QuotaShare};
use crate::learned::Knowledge;
use crate::time::DurationExt;
use crate::{AttemptPolicy, ExecutorSignals, Host, Instant, RequestClass, SlowStart};
use grebeusher_sizing::CutOffs;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

impl<H: Host> Dispatcher<H> {
    /// A node, by its number among `nodes`, that knows nothing yet.
    pub fn new(host: H, seed: u64, node: u64, nodes: u64, classes: Vec<RequestClass>) -> Self {
        Dispatcher {
            host,
            rng: Pcg32::seed_from_u64(seed),
            node,
            nodes: nodes.max(1),
            zone: 0,
            classes,
            policy: AttemptPolicy::default(),
            slow_start: SlowStart::default(),
            signals: ExecutorSignals::default(),
            sharing: LoadSharing::default(),
            quota_shares: Vec::new(),
            executors: Vec::new(),
            ready_order: Vec::new(),
            out: 0,
            requests: BTreeMap::new(),
            arrival_times: VecDeque::new(),
            retry_times: VecDeque::new(),
            watch_attempts: 0,
            list_until: None,
            known: Knowledge::default(),
            cut_offs: CutOffs::one_lane(),
            recut: Instant(0),
        }
    }

    /// What its attempts may do.
    pub fn with_attempt_policy(mut self, policy: AttemptPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// What executors that start can do.
    pub fn with_slow_start(mut self, slow_start: SlowStart) -> Self {
        self.slow_start = slow_start;
        self
    }

    /// What may be asked of executors, and what they report.
    pub fn with_signals(mut self, signals: ExecutorSignals) -> Self {
        let progress = signals.progress.filter(|interval| interval.nanos() > 0);
        self.signals = ExecutorSignals { progress, ..signals };
        self
    }

    /// Each customer's requests a second within its share, at all nodes together.
    pub fn with_customer_quotas(mut self, quotas: &[f64]) -> Self {
        self.quota_shares = quotas.iter().map(|quota| QuotaShare::of(*quota, self.nodes)).collect();
        self
    }

    /// Whether nodes may send each other load messages.
    pub fn with_load_sharing(mut self, peers: bool) -> Self {
        self.sharing.allowed = peers && self.nodes > 1;
        self
    }

    /// The zone in which this node stands.
    pub fn with_zone(mut self, zone: usize) -> Self {
        self.zone = zone;
        self
    }
}
