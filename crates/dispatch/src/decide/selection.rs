//! Selection of an executor: the candidates, the weighted pick in a lane, and the longest wait allowed.

use super::{Dispatcher, executor::Executor, pending::Pending};
use crate::{Duration, ExecutorId, Host, Instant, RequestClass, RequestId};
use grebeusher_sizing::{MIN_WEIGHT, WeightedCandidate, weights};
use rand::{Rng, distr::weighted::WeightedIndex};

/// An executor that may take a request.
struct Candidate {
    index: usize,
    in_lane: bool,
    has_room: bool,
    load: Option<f64>, // the utilisation, above 1 with a queue
    wait_s: Option<f64>,
    /// Whether the values above include the slots that other nodes fill, known from load sharing.
    is_shared: bool,
    is_cold: bool,
}

/// The executor picked for a request, and the seconds that the request is expected to wait there.
pub(super) struct Selection {
    pub(super) executor: ExecutorId,
    /// Whether any candidate had room.
    pub(super) has_room: bool,
    pub(super) wait_s: f64,
}

/// Assumes for each candidate to which nothing was sent lately the mean wait of the others of its lane; if that exceeds
/// `max_wait_s` the candidate counts as full. Guards against a node with little traffic that takes every executor for idle.
/// The mean leaves out long waits, whose executor may be lost, and a wait without a second one, whose executor may just be
/// slow. A cold candidate counts as idle: few nodes may use it, and its budget keeps it from being full.
fn assume_waits(candidates: &mut [Candidate], max_wait_s: f64) {
    const LONG_WAIT_S: f64 = 6.0;
    for in_lane in [true, false] {
        let known = candidates.iter().filter(|c| c.in_lane == in_lane).filter_map(|c| c.wait_s);
        let waits: Vec<f64> = known.filter(|&wait_s| wait_s < LONG_WAIT_S).collect();
        let mean = if waits.len() > 1 { waits.iter().sum::<f64>() / waits.len() as f64 } else { 0.0 };
        for c in candidates.iter_mut().filter(|c| c.in_lane == in_lane && c.wait_s.is_none()) {
            let mean = if c.is_cold { 0.0 } else { mean };
            (c.wait_s, c.has_room) = (Some(mean), c.has_room && mean <= max_wait_s);
        }
    }
}

impl<H: Host> Dispatcher<H> {
    /// The executors that may take a request, in the order in which this node prefers them. With `few` they are a few of the
    /// request's lane and one more for every two attempts in flight; otherwise, or if there are none, four times as many of
    /// both lanes. Guards against picks across a whole large fleet, each of an executor of which this node knows nothing.
    fn candidates(&self, now: Instant, pending: &Pending, few: bool) -> Vec<Candidate> {
        const FEW: usize = 3; // leaves the weighted pick a choice
        const BOTH_LANES_FACTOR: usize = 4; // one of so many has room unless nearly all executors are full
        let lane = self.cut_offs.lane_of(pending.size);
        let RequestClass { kind, effect, .. } = self.classes[pending.class];
        let in_lane = |index: usize| self.cut_offs.lane_count() == 1 || self.executors[index].lane == lane;
        let candidate = |&index: &usize| {
            let e = &self.executors[index];
            let is_eligible = now >= e.ejected_until
                && self.status_is_current(now, e)
                && kind.is_none_or(|kind| kind == e.kind)
                && self.may_repeat(now, effect, &pending.attempts, e)
                && !pending.attempts.iter().any(|a| a.open && a.executor.0 == index)
                && e.slow_start_admits(&self.slow_start, self.node_count, now, self.stats.mean_size);
            is_eligible.then(|| {
                let excess = e.filled(now).map(|filled| filled + pending.slots - e.width());
                let queue = excess.map(|over| over.max(0.0) / e.width() * self.stats.mean_run_s / e.speed);
                Candidate {
                    index,
                    in_lane: in_lane(index),
                    has_room: excess.map_or_else(|| e.has_room(now), |over| over <= 0.0),
                    load: e.load(now),
                    wait_s: queue.or_else(|| e.wait_s(now)),
                    is_shared: excess.is_some(),
                    is_cold: e.slow_start_budget(&self.slow_start, now).is_some(),
                }
            })
        };
        let is_shared = self.ready().any(|e| e.filled(now).is_some()); // the load of all executors is known then
        let limit = if is_shared { self.ready_order.len() } else { FEW + self.attempts_in_flight / 2 };
        let lane = self.ready_order.iter().filter(|&&index| few && in_lane(index));
        let mut found: Vec<Candidate> = lane.filter_map(candidate).take(limit).collect();
        if found.is_empty() {
            // Either no executor of the lane can take it, or the caller found too few with room: both lanes are used.
            found.extend(self.ready_order.iter().filter_map(candidate).take(limit * BOTH_LANES_FACTOR));
        }
        const SLACK_SHARE: f64 = 0.25; // less than all: the estimated wait is of the past, and the queue may grow
        assume_waits(&mut found, (pending.slack_s(now) * SLACK_SHARE).max(0.1));
        // An executor that failed this request is not tried again while there is another: a crashed one soon looks idle.
        let was_tried = |c: &Candidate| pending.attempts.iter().any(|a| a.executor.0 == c.index);
        if !found.iter().all(was_tried) {
            found.retain(|c| !was_tried(c));
        }
        found
    }

    /// Picks an executor for a request at random by weight, if possible in the lane of the request's size.
    pub(super) fn pick(&mut self, now: Instant, request: RequestId) -> Option<Selection> {
        let pending = self.requests.get(&request)?;
        let mut candidates = self.candidates(now, pending, true);
        // Shared load is some time old, and all nodes know the same: the pick is among a quarter of the candidates at
        // least, those with the shortest queues. Guards against all nodes sending to the few that had room then.
        const SHORTEST_QUEUES_DIVISOR: usize = 4;
        let is_shared = candidates.iter().any(|c| c.is_shared);
        // A node's own attempts do not show what other nodes fill: without shared load an executor whose report gives it the
        // minimum weight counts as full, in the other lane already at half. Guards against queues in one lane while the other
        // is idle. It holds only while most executors have just reported: late reports must not draw a crowd.
        const FRESH: Duration = Duration::from_millis(1000); // a report is an average over this time
        let is_fresh = |e: &&Executor| e.reported.is_some_and(|time| now.since(time) < FRESH);
        let by_reports = !is_shared && self.ready().filter(is_fresh).count() * 2 > self.ready_order.len();
        let max_load = |c: &Candidate| if c.in_lane { 1.0 - MIN_WEIGHT } else { 0.5 };
        // An executor where the node's own requests waited long is passed over too, unless hedging is allowed. Guards
        // against queues at the few executors that a node uses while others are idle.
        const SHARE: f64 = 0.1; // of the slack: while a queue builds up, the next request waits longer
        let max_wait_s = if self.policy.hedging { f64::MAX } else { (pending.slack_s(now) * SHARE).max(0.1) };
        let is_brief = |c: &Candidate| is_shared || c.wait_s.is_none_or(|wait_s| wait_s <= max_wait_s);
        let is_free = |c: &Candidate| !by_reports || c.load.is_none_or(|load| load < max_load(c));
        let is_suitable = |c: &Candidate| c.has_room && is_brief(c) && is_free(c);
        let enough = if is_shared { candidates.len().div_ceil(SHORTEST_QUEUES_DIVISOR) } else { 1 };
        if candidates.iter().filter(|c| is_suitable(c)).count() < enough {
            candidates = self.candidates(now, pending, false);
        }
        let has_room = candidates.iter().any(|c| c.has_room);
        let min_wait_s = candidates.iter().filter_map(|c| c.wait_s).fold(f64::INFINITY, f64::min);
        if is_shared {
            candidates.sort_by(|a, b| a.wait_s.unwrap_or(0.0).total_cmp(&b.wait_s.unwrap_or(0.0)));
            let suitable = candidates.iter().filter(|c| is_suitable(c)).count();
            candidates.truncate(suitable.max(candidates.len().div_ceil(SHORTEST_QUEUES_DIVISOR)));
        } else {
            // Room counts first, then suitability, then the lane, then whether it is cold: only a few nodes may send to a
            // cold executor, each has little traffic, and without preference it would stay idle.
            let rank = |c: &Candidate| (c.has_room, is_suitable(c), c.in_lane, c.has_room && c.is_cold);
            let best = candidates.iter().map(rank).max();
            candidates.retain(|c| Some(rank(c)) == best);
        }
        let chosen = self.draw(&candidates, is_shared)?;
        // Without room anywhere the wait is that of the chosen executor: the shortest of all would promise too much.
        let wait_s = if has_room && !is_shared { min_wait_s } else { chosen.wait_s.unwrap_or(0.0) };
        Some(Selection { executor: ExecutorId(chosen.index), has_room, wait_s })
    }

    /// Draws one of the candidates at random by weight.
    fn draw<'a>(&mut self, candidates: &'a [Candidate], is_shared: bool) -> Option<&'a Candidate> {
        // Utilisation is a share, so the idle part counts by listed weight and learned speed. With shared load all executors
        // are candidates, and only this factor prefers the own zone: crossing costs, but zones have to balance each other.
        const OWN_ZONE_FACTOR: f64 = 3.0;
        let zone_factor = |e: &Executor| if is_shared && e.zone == self.zone { OWN_ZONE_FACTOR } else { 1.0 };
        let weighted = |c: &Candidate| {
            let e = &self.executors[c.index];
            WeightedCandidate { utilisation: c.load, weight_factor: e.speed * e.weight * zone_factor(e) }
        };
        let weights = weights(&candidates.iter().map(weighted).collect::<Vec<_>>());
        Some(&candidates[self.rng.sample(WeightedIndex::new(weights).ok()?)])
    }

    /// Whether an expected wait is too long: the request would be late and delay others. Waits grow while a queue builds up,
    /// so only a part of the slack is allowed: the class's value relative to the most valuable class, or almost nothing for
    /// a customer beyond its share. Guards against queues in which every request is late.
    pub(super) fn wait_too_long(&self, now: Instant, pending: &Pending, wait_s: f64) -> bool {
        let max_value = self.classes.iter().map(|class| class.value).fold(0.0, f64::max);
        let part = match self.classes[pending.class].value / max_value {
            _ if pending.over_share => 0.0,
            part if part.is_finite() => part,
            _ => 1.0,
        };
        wait_s > (pending.slack_s(now) * part).max(0.1)
    }
}
