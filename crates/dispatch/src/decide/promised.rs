//! A new node, and what it is told at its start of what is promised. Nothing is decided here.

use super::{Dispatcher, talk::Talk, work::Allotment};
use crate::learnt::Known;
use crate::time::DurationExt;
use crate::{Allowance, ColdStart, Duration, Host, Instant, Tariff};
use grebeusher_sizing::CutOffs;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

impl<H: Host> Dispatcher<H> {
    /// A node, by its number among `nodes`, that knows nothing yet.
    pub fn new(host: H, seed: u64, node: u64, nodes: u64, tariffs: Vec<Tariff>) -> Self {
        Dispatcher {
            host,
            chance: Pcg32::seed_from_u64(seed),
            node,
            nodes: nodes.max(1),
            zone: 0,
            tariffs,
            allowance: Allowance::default(),
            cold: ColdStart::default(),
            asks_list: false,
            may_probe: false,
            tells_start: false,
            progress: None,
            talk: Talk::default(),
            allotments: Vec::new(),
            executors: Vec::new(),
            roster: Vec::new(),
            out: 0,
            work: BTreeMap::new(),
            came: VecDeque::new(),
            further: VecDeque::new(),
            follow_tries: 0,
            list_until: None,
            known: Known::default(),
            cut_offs: CutOffs::one_lane(),
            recut: Instant(0),
        }
    }

    /// What its allocations may do.
    pub fn allowing(mut self, allowance: Allowance) -> Self {
        self.allowance = allowance;
        self
    }

    /// What executors that start can do.
    pub fn cold_starts(mut self, cold: ColdStart) -> Self {
        self.cold = cold;
        self
    }

    /// Whether the list must be asked for, executors may be probed, and what is told of running work.
    pub fn noticing(
        mut self,
        asks_list: bool,
        probes: bool,
        starts: bool,
        progress: Option<Duration>,
    ) -> Self {
        (self.asks_list, self.may_probe) = (asks_list, probes);
        (self.tells_start, self.progress) = (starts, progress.filter(|p| p.nanos() > 0));
        self
    }

    /// Each customer's work units a second within its share, at all nodes together.
    pub fn customers(mut self, quotas: &[f64]) -> Self {
        self.allotments = quotas.iter().map(|quota| Allotment::of(*quota, self.nodes)).collect();
        self
    }

    /// Whether nodes may send each other words.
    pub fn talking(mut self, peers: bool) -> Self {
        self.talk.allowed = peers && self.nodes > 1;
        self
    }

    /// The zone in which this node stands.
    pub fn standing_in(mut self, zone: usize) -> Self {
        self.zone = zone;
        self
    }
}
