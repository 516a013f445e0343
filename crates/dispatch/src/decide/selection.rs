//! Which executor: the weighted pick in the lane, whom it is among, and when a wait is too long.

use super::{Dispatcher, executor::Executor, pending::Pending};
use crate::{Duration, ExecutorId, Host, Instant, RequestClass, RequestId};
use grebeusher_sizing::{MIN_WEIGHT, WeightedCandidate, weights};
use rand::{Rng, distr::weighted::WeightedIndex};

/// An executor that could take a request.
struct Candidate {
    at: usize,
    in_lane: bool,
    room: bool,
    load: Option<f64>,
    wait: Option<f64>,
    /// Whether that is by what all nodes have out.
    known: bool,
    warming: bool,
}

/// The executor picked for a request, and the seconds that it is expected to wait there.
pub(super) struct Selection {
    pub(super) executor: ExecutorId,
    /// Whether any candidate had room.
    pub(super) has_room: bool,
    pub(super) wait: f64,
}

/// Gives each candidate that nothing was sent to lately the mean wait of the others of its lane; beyond `max_wait`
/// seconds it counts as full. Guards against a node that sees little taking every executor for free. A longer wait may be that of an executor
/// lost, and one alone may be slow: they tell nothing of others. Nor do the warm tell of a cold one, which few may
/// use: its budget keeps it from being full.
fn assume_waits(candidates: &mut [Candidate], max_wait: f64) {
    const SILENT_S: f64 = 6.0;
    for in_lane in [true, false] {
        let known = candidates.iter().filter(|c| c.in_lane == in_lane).filter_map(|c| c.wait);
        let waits: Vec<f64> = known.filter(|&wait| wait < SILENT_S).collect();
        let mean = if waits.len() > 1 { waits.iter().sum::<f64>() / waits.len() as f64 } else { 0.0 };
        for c in candidates.iter_mut().filter(|c| c.in_lane == in_lane && c.wait.is_none()) {
            let mean = if c.warming { 0.0 } else { mean };
            (c.wait, c.room) = (Some(mean), c.room && mean <= max_wait);
        }
    }
}

impl<H: Host> Dispatcher<H> {
    /// The executors that a request may go to, in the order in which this node uses them: of its lane a few and one more
    /// for every two attempts in flight, or many of both. Guards against picks all through a large fleet, each unknown.
    fn candidates(&self, now: Instant, work: &Pending, few: bool) -> Vec<Candidate> {
        const FEW: usize = 3; // leaves the weighted pick its choice
        const MORE: usize = 4; // times as many: one of them has room unless nearly all are full
        let lane = self.cut_offs.lane_of(work.size);
        let RequestClass { kind, effect, .. } = self.classes[work.class];
        let in_lane = |at: usize| self.cut_offs.lanes() == 1 || self.executors[at].lane == lane;
        let candidate = |&at: &usize| {
            let e = &self.executors[at];
            let able = now >= e.ejected_until
                && self.status_is_current(now, e)
                && kind.is_none_or(|kind| kind == e.kind)
                && self.may_repeat(now, effect, &work.attempts, e)
                && !work.attempts.iter().any(|a| a.open && a.executor.0 == at)
                && e.slow_start_admits(&self.slow_start, self.nodes, now, self.known.mean);
            able.then(|| {
                let over = e.filled(now).map(|filled| filled + work.slots - e.width());
                let queue = over.map(|over| over.max(0.0) / e.width() * self.known.mean_run / e.pace);
                Candidate {
                    at,
                    in_lane: in_lane(at),
                    room: over.map_or_else(|| e.has_room(now), |over| over <= 0.0),
                    load: e.load(now),
                    wait: queue.or_else(|| e.wait(now)),
                    known: over.is_some(),
                    warming: e.slow_start_budget(&self.slow_start, now).is_some(),
                }
            })
        };
        let known = self.ready().any(|e| e.filled(now).is_some()); // with load sharing that of all is
        let most = if known { self.ready_order.len() } else { FEW + self.out / 2 };
        let lane = self.ready_order.iter().filter(|&&at| few && in_lane(at));
        let mut found: Vec<Candidate> = lane.filter_map(candidate).take(most).collect();
        if found.is_empty() {
            // No worker of the lane can take it, or none of the few has room: those of both that can.
            found.extend(self.ready_order.iter().filter_map(candidate).take(most * MORE));
        }
        const SLACK_SHARE: f64 = 0.25; // may be waited: the estimate is of the past, the queue may grow
        assume_waits(&mut found, (work.slack(now) * SLACK_SHARE).max(0.1));
        // One that failed this request is not tried again while another is there: a crash looks idle at once.
        let tried = |c: &Candidate| work.attempts.iter().any(|a| a.executor.0 == c.at);
        if !found.iter().all(tried) {
            found.retain(|c| !tried(c));
        }
        found
    }

    /// The weighted random pick in the lane of the request's size.
    pub(super) fn pick(&mut self, now: Instant, request: RequestId) -> Option<Selection> {
        let work = self.requests.get(&request)?;
        let mut able = self.candidates(now, work, true);
        // What all have in flight is known as of a while ago, and all nodes know the same: the pick is among a
        // quarter at least, the shortest queues. Guards against a crowd at the few that had room then.
        const SHORTEST_QUEUES: usize = 4;
        let known = able.iter().any(|c| c.known);
        // Own evidence does not show what others fill: at the floor of the weights it passes for full. Guards
        // against queues in one lane while the other idles. Only where most have just reported, and out of
        // the lane only to one less than half used: late reports must not draw a crowd.
        const FRESH: Duration = Duration::from_millis(1000); // what a report is an average over
        let fresh = |e: &&Executor| e.reported.is_some_and(|at| now.since(at) < FRESH);
        let by_reports = !known && self.ready().filter(fresh).count() * 2 > self.ready_order.len();
        let max_load = |c: &Candidate| if c.in_lane { 1.0 - MIN_WEIGHT } else { 0.5 };
        // Nor does it show that own requests waited long there: then others are looked at, unless hedging is
        // allowed. Guards against queues before the few that a node uses while their neighbours idle.
        const WAIT_SHARE: f64 = 0.1; // of the slack: the next one waits longer where a queue builds
        let max_wait = if self.policy.hedging { f64::MAX } else { (work.slack(now) * WAIT_SHARE).max(0.1) };
        let brief = |c: &Candidate| known || c.wait.is_none_or(|wait| wait <= max_wait);
        let free = |c: &Candidate| !by_reports || c.load.is_none_or(|load| load < max_load(c));
        let open = |c: &Candidate| c.room && brief(c) && free(c);
        let enough = if known { able.len().div_ceil(SHORTEST_QUEUES) } else { 1 };
        if able.iter().filter(|c| open(c)).count() < enough {
            able = self.candidates(now, work, false);
        }
        let has_room = able.iter().any(|c| c.room);
        let least_wait = able.iter().filter_map(|c| c.wait).fold(f64::INFINITY, f64::min);
        if known {
            able.sort_by(|a, b| a.wait.unwrap_or(0.0).total_cmp(&b.wait.unwrap_or(0.0)));
            let open = able.iter().filter(|c| open(c)).count();
            able.truncate(open.max(able.len().div_ceil(SHORTEST_QUEUES)));
        } else {
            // First those with room, of these the not full, then those of the lane, then cold ones that may
            // take some: the few nodes that warm one see little, and left to chance it would idle.
            let rank = |c: &Candidate| (c.room, open(c), c.in_lane, c.room && c.warming);
            let best = able.iter().map(rank).max();
            able.retain(|c| Some(rank(c)) == best);
        }
        let chosen = self.draw(&able, known)?;
        // With no room anywhere it waits where it goes: the least wait of all would promise too much.
        let wait = if has_room && !known { least_wait } else { chosen.wait.unwrap_or(0.0) };
        Some(Selection { executor: ExecutorId(chosen.at), has_room, wait })
    }

    /// Draws one of the candidates by its weight.
    fn draw<'a>(&mut self, able: &'a [Candidate], known: bool) -> Option<&'a Candidate> {
        // Utilisation is a share: what is idle counts by listed size and learned pace. Where the load of all is
        // known the own zone has no other preference: crossing costs, and a zone must not be left to itself.
        const NEARER: f64 = 3.0;
        let near = |e: &Executor| if known && e.zone == self.zone { NEARER } else { 1.0 };
        let weigh = |c: &Candidate| {
            let e = &self.executors[c.at];
            WeightedCandidate { utilisation: c.load, weight_factor: e.pace * e.weight * near(e) }
        };
        let weights = weights(&able.iter().map(weigh).collect::<Vec<_>>());
        Some(&able[self.rng.sample(WeightedIndex::new(weights).ok()?)])
    }

    /// Whether a wait is too long to start with: the request would be late, and make others late. Waits
    /// grow while a queue builds, so less than the slack is allowed: the less a request class earns, the less;
    /// and next to none beyond a customer's share. Guards against queues in which all is late.
    pub(super) fn wait_too_long(&self, now: Instant, work: &Pending, wait: f64) -> bool {
        let best = self.classes.iter().map(|t| t.value).fold(0.0, f64::max);
        let part = match self.classes[work.class].value / best {
            _ if work.over_share => 0.0,
            part if part.is_finite() => part,
            _ => 1.0,
        };
        wait > (work.slack(now) * part).max(0.1)
    }
}
