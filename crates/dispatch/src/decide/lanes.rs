//! Lanes of executors and the cut-offs of sizes between them, by what is learnt of work and of kinds.

use super::{Dispatcher, MIN_SAMPLES, executor::Executor};
use crate::ids::mixed;
use crate::learned::{LearnedKind, LearnedState};
use crate::load_message::short_hash;
use crate::{ExecutorStatus, Host, Instant};
use grebeusher_sizing::{BoundaryRule, CutOffs, Remainder, lanes_in_order};
use std::collections::BTreeMap;

/// The parts of the executors that are for short and for long work.
const LANE_SHARES: [f64; 2] = [3.0, 1.0];

impl<H: Host> Dispatcher<H> {
    /// Sorts the ready executors by the learnt pace of their kind, by registered weight, then by the fixed
    /// hash of their ids, into two lanes. Long work earns by its size and is late on a slow worker however
    /// idle: it gets the fastest quarter. Short work bears most hand-shakes, which no size shows.
    pub(super) fn form_lanes(&mut self, now: Instant) {
        let ready = |i: &usize| self.executors[*i].status == ExecutorStatus::Ready;
        self.ready_order = (0..self.executors.len()).filter(ready).collect();
        // Paces and weights are above nothing, where their bits are in the order of their values.
        let strength = |e: &Executor| (e.pace.to_bits(), e.weight.to_bits(), e.hash);
        self.ready_order.sort_by_cached_key(|&i| strength(&self.executors[i]));
        let lanes = lanes_in_order(self.ready_order.len(), &LANE_SHARES, Remainder::Earlier);
        for (&i, lane) in self.ready_order.iter().zip(lanes) {
            self.executors[i].lane = lane;
        }
        if self.sharing.allowed {
            self.sharing.order.clone_from(&self.ready_order);
            self.sharing.order.sort_by_key(|&i| short_hash(self.executors[i].hash));
            self.sharing.list = short_hash(self.ready().fold(0, |sum, e| sum ^ mixed(e.hash)));
        }
        // The own zone comes six times as far to the front: crossing costs, yet a zone must not be left to
        // itself, since neither workers nor clients are spread evenly. Before all come the cold ones that
        // this node may warm, or they would idle: a budget is seldom split among more nodes.
        const NEARER: u64 = 6;
        const WARMERS: u64 = 8;
        self.ready_order.sort_by_cached_key(|&i| {
            let e = &self.executors[i];
            match e.slow_start_budget(&self.slow_start, now) {
                Some(_) if e.distance < WARMERS => 0,
                _ if e.zone == self.zone => e.rank / NEARER,
                _ => e.rank,
            }
        });
    }

    pub(super) fn ready(&self) -> impl Iterator<Item = &Executor> {
        self.ready_order.iter().map(|&i| &self.executors[i])
    }

    /// Cut-offs such that each lane's part of the summed size matches its part of the workers' paces.
    pub(super) fn recompute_cut_offs(&mut self) {
        let sizes = self.known.recompute();
        self.cut_offs = CutOffs::one_lane();
        if sizes.len() >= MIN_SAMPLES && self.ready().any(|e| e.lane == 1) {
            // By the learnt paces, all one until known: by number alone a slow lane gets more than it can do.
            let pace = |lane: usize| self.ready().filter(|e| e.lane <= lane).map(|e| e.pace).sum::<f64>();
            let due = sizes.iter().map(|entry| entry.size).sum::<f64>() * pace(0) / pace(1);
            self.cut_offs = CutOffs::at_sums(&sizes, &[due], BoundaryRule::LowerLane);
        }
        // What an executor can do when warm: the pace of its kind over all that ran, and the most slots seen.
        let kinds = self.kinds();
        for e in &mut self.executors {
            let own = kinds.get(&e.kind).copied().unwrap_or_default();
            let known = own.and(self.known.received_of(e.kind));
            if known.ran > 0.0 {
                e.pace = known.done / known.ran;
                e.capacity = e.pace * known.slots;
            }
        }
    }

    /// What was seen of each kind here.
    fn kinds(&self) -> BTreeMap<usize, LearnedKind> {
        let mut kinds: BTreeMap<usize, LearnedKind> = BTreeMap::new();
        for e in self.ready().filter(|e| e.ran > 0.0) {
            let known = kinds.entry(e.kind).or_default();
            *known = known.and(LearnedKind { done: e.done, ran: e.ran, slots: e.width() });
        }
        kinds
    }

    /// What this node has seen of work and of executors' kinds, for one that knows less.
    pub fn learned(&self) -> LearnedState {
        LearnedState { sizes: self.known.own(), kinds: self.kinds() }
    }

    /// Adds what another node has seen; returns how many sizes are known now. Guards against nodes that have just
    /// started: by a few short sizes each takes a cold executor for one that bears many; all push it over.
    pub fn merge_learned(&mut self, now: Instant, learned: &LearnedState) -> usize {
        self.known.merge(learned);
        self.recompute_cut_offs();
        self.form_lanes(now);
        self.known.count()
    }
}
