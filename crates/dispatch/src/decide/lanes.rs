//! Lanes of executors, the cut-offs between their sizes, and what is learned of executors' kinds.

use super::{Dispatcher, MIN_SAMPLES, executor::Executor};
use crate::ids::mix64;
use crate::learned::{LearnedKind, LearnedState};
use crate::load_message::short_hash;
use crate::{ExecutorStatus, Host, Instant};
use grebeusher_sizing::{BoundaryRule, CutOffs, Remainder, lanes_in_order};
use std::collections::BTreeMap;

/// How the executors are divided between the lane of short requests and that of long ones.
const LANE_SHARES: [f64; 2] = [3.0, 1.0];

impl<H: Host> Dispatcher<H> {
    /// Sorts the ready executors by learned speed of their kind, then registered weight, then hash, and forms two lanes. Long
    /// requests earn by their size and are late on a slow executor even if it is idle, so they get the fastest quarter. Short
    /// ones cause most of the handshakes, which sizes do not include.
    pub(super) fn form_lanes(&mut self, now: Instant) {
        let is_ready = |i: &usize| self.executors[*i].status == ExecutorStatus::Ready;
        self.ready_order = (0..self.executors.len()).filter(is_ready).collect();
        let strength = |e: &Executor| (e.speed.to_bits(), e.weight.to_bits(), e.hash); // positive values sort by their bits
        self.ready_order.sort_by_cached_key(|&i| strength(&self.executors[i]));
        let lanes = lanes_in_order(self.ready_order.len(), &LANE_SHARES, Remainder::Earlier);
        for (&i, lane) in self.ready_order.iter().zip(lanes) {
            self.executors[i].lane = lane;
        }
        if self.sharing.allowed {
            self.sharing.order.clone_from(&self.ready_order);
            self.sharing.order.sort_by_key(|&i| short_hash(self.executors[i].hash));
            self.sharing.list_hash = short_hash(self.ready().fold(0, |sum, e| sum ^ mix64(e.hash)));
        }
        // Executors of the own zone move forward, to a sixth of their rank: crossing zones costs, but executors and clients are
        // spread unevenly, so that zones have to balance each other. Before all come the cold executors to which this node may
        // send, which would be idle otherwise: a budget is seldom split among more than `MAX_SENDERS` nodes.
        const OWN_ZONE_DIVISOR: u64 = 6;
        const MAX_SENDERS: u64 = 8;
        self.ready_order.sort_by_cached_key(|&i| {
            let e = &self.executors[i];
            match e.slow_start_budget(&self.slow_start, now) {
                Some(_) if e.slow_start_rank < MAX_SENDERS => 0,
                _ if e.zone == self.zone => e.rank / OWN_ZONE_DIVISOR,
                _ => e.rank,
            }
        });
    }

    pub(super) fn ready(&self) -> impl Iterator<Item = &Executor> {
        self.ready_order.iter().map(|&i| &self.executors[i])
    }

    /// Recomputes speeds and capacities, and cut-offs by which each lane's part of the summed sizes matches that of its speeds.
    pub(super) fn recompute_cut_offs(&mut self) {
        let sizes = self.stats.recompute();
        self.cut_offs = CutOffs::one_lane();
        if sizes.len() >= MIN_SAMPLES && self.ready().any(|e| e.lane == 1) {
            // The sums of learned speeds count (each 1 until known): by the number of executors a slow lane would get too much.
            let speed = |lane: usize| self.ready().filter(|e| e.lane <= lane).map(|e| e.speed).sum::<f64>();
            let short_work = sizes.iter().map(|entry| entry.size).sum::<f64>() * speed(0) / speed(1);
            self.cut_offs = CutOffs::at_sums(&sizes, &[short_work], BoundaryRule::LowerLane);
        }
        // A warm executor's capacity is the speed of its kind, over all that ran there, times the most slots seen.
        let kinds = self.kinds();
        for e in &mut self.executors {
            let own = kinds.get(&e.kind).copied().unwrap_or_default();
            let known = own.and(self.stats.received_kind(e.kind));
            if known.slot_s > 0.0 {
                e.speed = known.work_s / known.slot_s;
                e.capacity = e.speed * known.slots;
            }
        }
    }

    /// What this node itself has observed of each kind.
    fn kinds(&self) -> BTreeMap<usize, LearnedKind> {
        let mut kinds: BTreeMap<usize, LearnedKind> = BTreeMap::new();
        for e in self.ready().filter(|e| e.slot_s > 0.0) {
            let known = kinds.entry(e.kind).or_default();
            *known = known.and(LearnedKind { work_s: e.work_s, slot_s: e.slot_s, slots: e.width() });
        }
        kinds
    }

    /// What this node itself has observed of sizes and kinds, for another node that has observed less.
    pub fn learned(&self) -> LearnedState {
        LearnedState { sizes: self.stats.own_sizes(), kinds: self.kinds() }
    }

    /// Adds the observations of another node; returns how many sizes are known now. Guards against nodes that have just
    /// started, overestimate a cold executor because they have seen a few short requests, and together overload it.
    pub fn merge_learned(&mut self, now: Instant, learned: &LearnedState) -> usize {
        self.stats.merge(learned);
        self.recompute_cut_offs();
        self.form_lanes(now);
        self.stats.count()
    }
}
