//! The choice: lane by size, weighted pick inside it, and its few exceptions.

use crate::attempts::Kind;
use crate::executor::Standing;
use crate::gateway::Gateway;
use crate::headers::{PromptParts, TokenCount};
use crate::ids::{ExecutorId, ModelKey, ServiceId};
use crate::policy::TOKENS_PER_TOKEN_OUT;
use grebeusher_sizing::{Candidate as Weighed, pick};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use std::net::SocketAddr;

/// A request that looks for an executor.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service of its route.
    pub service: ServiceId,
    /// The route's `priority_level`: 0 is the most urgent.
    pub priority: u8,
    /// How it may be repeated.
    pub kind: Kind,
    /// The model that it names.
    pub model: Option<ModelKey>,
    /// Its size, where the client tells it.
    pub tokens: Option<TokenCount>,
    /// The parts of its prompt.
    pub parts: PromptParts,
    /// Executors that had it already.
    pub excluded: &'a [ExecutorId],
    /// The route's `target_latency_ms`.
    pub objective: Duration,
    /// How long ago the client's try came.
    pub waited: Duration,
    /// Until its deadline.
    pub deadline_left: Duration,
    /// Whether it may have run already, so that it can't be refused any more: rather than fail it waits longer.
    pub committed: bool,
    /// Whether it is an item of a batch job.
    pub batch: bool,
}

impl Request<'_> {
    /// A plain request without hints.
    pub fn to(service: ServiceId) -> Request<'static> {
        Request {
            service,
            priority: 0,
            kind: Kind::NonIdempotent,
            model: None,
            tokens: None,
            parts: PromptParts::default(),
            excluded: &[],
            objective: Duration::from_millis(300),
            waited: Duration::from_nanos(0),
            deadline_left: Duration::from_millis(3000),
            committed: false,
            batch: false,
        }
    }

    /// Size in tokens of a prompt, which picks the lane; `median` without a hint.
    pub(crate) fn size(&self, median: f64) -> f64 {
        self.work(median, 0)
    }

    /// What it costs an executor that holds `kept` tokens of its prompt.
    pub(crate) fn work(&self, median: f64, kept: u32) -> f64 {
        let Some(tokens) = self.tokens else { return median };
        let out = f64::from(tokens.out) * f64::from(TOKENS_PER_TOKEN_OUT);
        (f64::from(tokens.prompt.saturating_sub(kept)) + out).max(1.0)
    }

    /// Tokens of its prompt that it would save where they are kept.
    pub(crate) fn stake(&self) -> u32 {
        self.parts.shared_tokens()
    }

    /// The last shared part of its prompt, for its model.
    pub(crate) fn subject(&self) -> Option<u64> {
        self.parts.shared().last().map(|part| part.chain ^ self.model_bits())
    }

    pub(crate) fn model_bits(&self) -> u64 {
        self.model.map_or(0, |model| model.0)
    }
}

/// An item of a batch job that looks for room.
#[derive(Clone, Copy, Debug)]
pub struct BatchItem<'a> {
    /// The service of its route.
    pub service: ServiceId,
    /// The model that it names.
    pub model: Option<ModelKey>,
    /// Its size.
    pub tokens: Option<TokenCount>,
    /// The parts of its prompt.
    pub parts: PromptParts,
    /// Executors that had it and failed.
    pub excluded: &'a [ExecutorId],
    /// From 0, long until it is due, to 1, due: the reserve for live requests shrinks to half.
    pub urgency: f64,
}

impl BatchItem<'_> {
    /// The item as a request, for [`Gateway::started`].
    pub fn as_request(&self) -> Request<'_> {
        Request {
            kind: Kind::ResumableStream,
            model: self.model,
            tokens: self.tokens,
            parts: self.parts,
            excluded: self.excluded,
            priority: u8::MAX,
            batch: true,
            ..Request::to(self.service)
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// It goes to this executor, under its `instance_id`.
    Send {
        /// Its key, for [`Gateway::started`] and [`Gateway::view`].
        executor: ExecutorId,
        /// Where it is.
        address: SocketAddr,
    },
    /// No executor has room: 503 with `Retry-After`.
    Refuse {
        /// When room is expected.
        retry_after: Duration,
    },
    /// No executor of the service is known that could run it: 503 with `Retry-After`.
    Nobody {
        /// When to look again.
        retry_after: Duration,
    },
}

/// An executor that is looked at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) place: u32,
    pub(crate) hash: u64,
    pub(crate) in_lane: bool,
    /// Neither silent nor ejected.
    pub(crate) sound: bool,
    pub(crate) room: bool,
    /// Connections are left, and it did not say that it is full.
    pub(crate) reachable: bool,
    /// Its memory has room for the request's tokens.
    pub(crate) fits: bool,
    pub(crate) utilisation: f64,
    /// The part of its places that is taken, 1 at most.
    pub(crate) taken: f64,
    pub(crate) known: bool,
    /// Seconds in the queue.
    pub(crate) wait: f64,
    pub(crate) unread: u64,
    /// By how many seconds its first events come later than usual.
    pub(crate) behind: f64,
    pub(crate) strength: f64,
}

/// Which candidates are looked at, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tier {
    /// Those of the lane that have room.
    Lane,
    /// Any that has room.
    OutOfLane,
    /// Those of the lane that have a short queue.
    LaneQueue,
    /// Any that has a short queue.
    Queue,
    /// Those that something speaks against.
    InDoubt,
}

impl Tier {
    const ALL: [Tier; 5] = [Tier::Lane, Tier::OutOfLane, Tier::LaneQueue, Tier::Queue, Tier::InDoubt];

    fn holds(self, candidate: &Candidate, allowance: f64) -> bool {
        let short = candidate.reachable && candidate.wait <= allowance;
        match self {
            Tier::Lane => candidate.sound && candidate.room && candidate.in_lane,
            Tier::OutOfLane => candidate.sound && candidate.room,
            Tier::LaneQueue => candidate.sound && short && candidate.in_lane,
            Tier::Queue => candidate.sound && short,
            Tier::InDoubt => !candidate.sound && candidate.room,
        }
    }
}

/// While no executor is known: about the time until one has told its state.
const NOBODY_RETRY: Duration = Duration::from_millis(300);
/// The least and the most that a client is told to wait.
const RETRY_BOUNDS_S: (f64, f64) = (0.05, 2.0);
/// A slow executor is never taken for more than full by that alone.
const MAX_SLOWNESS: f64 = 0.9;
/// Below this part of all places a refusal would be a mistake whatever single estimates say.
const HALF: f64 = 0.5;

/// Whether fewer than half of the places are taken.
fn is_idle(candidates: &[Candidate]) -> bool {
    candidates.iter().map(|c| c.taken).sum::<f64>() < HALF * candidates.len() as f64
}

impl Gateway {
    /// Decides on a request, or on its next attempt.
    pub fn choose(&mut self, now: Instant, request: &Request<'_>) -> Choice {
        self.refresh(now, request.service);
        let mut candidates = std::mem::take(&mut self.scratch);
        self.candidates(now, request, &mut candidates);
        let choice = self.decide(now, request, &candidates);
        self.scratch = candidates;
        choice
    }

    fn decide(&mut self, now: Instant, request: &Request<'_>, candidates: &[Candidate]) -> Choice {
        if candidates.is_empty() {
            self.decisions.nobody += 1;
            return Choice::Nobody { retry_after: NOBODY_RETRY };
        }
        let allowance = self.allowance(request);
        if let Some(home) = self.by_parts(now, request, allowance, candidates) {
            return self.send(home);
        }
        let home_only = self.policy.queue_at_home && request.stake() >= self.policy.least_stake;
        for tier in Tier::ALL {
            if home_only && matches!(tier, Tier::LaneQueue | Tier::Queue) {
                continue;
            }
            let holds = |c: &Candidate| tier.holds(c, allowance);
            let fitting: Vec<Candidate> = candidates.iter().copied().filter(holds).collect();
            if let Some(chosen) = self.by_weight(tier, &fitting) {
                return self.send(chosen);
            }
        }
        // Estimates may be off; a refusal while half of all is idle must not happen.
        let idle = is_idle(candidates);
        let reachable: Vec<Candidate> = candidates.iter().copied().filter(|c| c.reachable).collect();
        if (idle || request.committed)
            && let Some(chosen) = self.by_weight(Tier::Queue, &reachable)
        {
            return self.send(chosen);
        }
        self.decisions.refused += 1;
        let least = candidates.iter().map(|c| c.wait).fold(f64::INFINITY, f64::min);
        let expected = (least - allowance).clamp(RETRY_BOUNDS_S.0, RETRY_BOUNDS_S.1);
        // Spread, so that those refused together do not come back together.
        Choice::Refuse { retry_after: Duration::from_seconds(expected * (1.0 + self.chance.random::<f64>())) }
    }

    fn send(&self, place: u32) -> Choice {
        match &self.executors[place as usize].1 {
            Some(executor) => Choice::Send { executor: executor.id, address: executor.address },
            None => Choice::Nobody { retry_after: NOBODY_RETRY },
        }
    }

    /// Seconds that a request may wait in an executor's queue.
    fn allowance(&self, request: &Request<'_>) -> f64 {
        if request.committed {
            return request.deadline_left.seconds() / 2.0;
        }
        let best = self.services.get(request.service.0 as usize).map_or(0, |service| service.best_priority);
        let less_urgent = f64::from(request.priority.saturating_sub(best));
        let left =
            request.objective.saturating_sub(request.waited).seconds().min(request.deadline_left.seconds());
        left * self.policy.queue_part / (1.0 + less_urgent)
    }

    /// The ordinary path, and its fall-backs in the order of the tiers.
    fn by_weight(&mut self, tier: Tier, fitting: &[Candidate]) -> Option<u32> {
        let chosen = self.weighted(fitting)?;
        let count = match tier {
            Tier::Lane => &mut self.decisions.by_pick,
            Tier::OutOfLane => &mut self.decisions.out_of_lane,
            Tier::LaneQueue | Tier::Queue => &mut self.decisions.queued,
            Tier::InDoubt => &mut self.decisions.in_doubt,
        };
        *count += 1;
        Some(chosen)
    }

    /// The design's pick: at random by one minus the utilisation, floored.
    pub(crate) fn weighted(&mut self, fitting: &[Candidate]) -> Option<u32> {
        let weigh =
            |c: &Candidate| Weighed { utilisation: c.known.then_some(c.utilisation), strength: c.strength };
        let weighed: Vec<Weighed> = fitting.iter().map(weigh).collect();
        fitting.get(pick(&mut self.chance, &weighed)?).map(|c| c.place)
    }

    /// Tokens of a request's prompt that an executor is believed to hold, and of these the ones that it has read.
    pub(crate) fn kept(&self, now: Instant, id: ExecutorId, request: &Request<'_>) -> (u32, u32) {
        let Some(executor) = self.executor(id) else { return (0, 0) };
        let (model, parts) = (request.model_bits(), request.parts.all());
        (executor.memory.kept(model, parts), executor.memory.read(now, model, parts))
    }

    fn candidates(&self, now: Instant, request: &Request<'_>, found: &mut Vec<Candidate>) {
        found.clear();
        let Some(service) = self.services.get(request.service.0 as usize) else { return };
        let (usual, _) = service.others(now);
        let lane = service.cut_offs.lane_of(request.size(service.median));
        let one_lane = service.cut_offs.lanes() == 1;
        let budget = match service.settings.max_connections {
            0 => u32::MAX,
            most => (most / self.nodes).max(1),
        };
        let capacity = service.settings.kv_capacity_tokens as f64;
        let tokens = request.tokens.map_or(0.0, |t| f64::from(t.prompt) + f64::from(t.out));
        for place in &service.members {
            let Some(executor) = &self.executors[*place as usize].1 else { continue };
            if executor.standing == Standing::Draining
                || !executor.has_model(request.model)
                || request.excluded.contains(&executor.id)
            {
                continue;
            }
            let slots = f64::from(executor.slots);
            let others = executor.others(now, usual);
            let out = f64::from(executor.open) + others;
            let memory = executor.open_tokens as f64 + others * service.request_tokens;
            // One larger than all memory is for the executor to reject.
            let fits = capacity == 0.0 || tokens > capacity || memory + tokens <= capacity;
            let full = executor.health.is_full(now);
            let reachable = executor.open < budget && !full;
            let filled = if capacity > 0.0 { memory / capacity } else { 0.0 };
            let unread = executor.unread as f64 / self.policy.unread_full as f64;
            let slow = (executor.slowness(now) * self.policy.slow_weight).min(MAX_SLOWNESS);
            found.push(Candidate {
                place: *place,
                hash: executor.hash,
                in_lane: one_lane || executor.lane == lane,
                sound: executor.standing == Standing::Up && !executor.health.is_out(now),
                room: reachable && fits && out + 1.0 <= slots,
                reachable,
                fits,
                utilisation: (out / slots).max(filled) + unread + slow,
                taken: (out / slots).min(1.0),
                known: executor.has_figure(now),
                wait: (out + 1.0 - slots).max(0.0) * service.holds / slots,
                unread: executor.unread,
                behind: executor.behind(now),
                strength: if executor.zone == self.zone { self.policy.near } else { 1.0 },
            });
        }
    }

    /// An executor that has room for an item of a batch job beside the live requests that may come within a step:
    /// a reserve of slots stays free that grows with how unevenly others' load was reported lately.
    pub fn batch_room(&mut self, now: Instant, item: &BatchItem<'_>) -> Option<ExecutorId> {
        self.refresh(now, item.service);
        let request = item.as_request();
        let mut candidates = std::mem::take(&mut self.scratch);
        self.candidates(now, &request, &mut candidates);
        let reserve = self.reserve(now, item);
        let free = |c: &&Candidate| {
            let executor = self.executors[c.place as usize].1.as_ref();
            let unread = executor.map_or(0, |executor| executor.unread_batch);
            let slots = executor.map_or(1.0, |executor| f64::from(executor.slots));
            c.sound
                && c.room
                && c.utilisation + 1.0 / slots <= 1.0 - reserve
                && unread < self.policy.batch_unread
        };
        let fitting: Vec<Candidate> = candidates.iter().filter(free).copied().collect();
        self.scratch = candidates;
        let in_lane: Vec<Candidate> = fitting.iter().copied().filter(|c| c.in_lane).collect();
        let tier = if in_lane.is_empty() { Tier::OutOfLane } else { Tier::Lane };
        // Long shared parts have their homes here too, as far as these have room.
        let place = match self.by_parts(now, &request, 0.0, &in_lane) {
            Some(home) => home,
            None => self.by_weight(tier, if in_lane.is_empty() { &fitting } else { &in_lane })?,
        };
        self.executors[place as usize].1.as_ref().map(|executor| executor.id)
    }

    /// The part of an executor's slots that a batch item leaves free.
    fn reserve(&self, now: Instant, item: &BatchItem<'_>) -> f64 {
        const DEVIATIONS: f64 = 2.0; // of others' load from the mean: few bursts are beyond
        let (least, most) = self.policy.batch_reserve;
        let off = self.services.get(item.service.0 as usize).map_or(0.0, |service| service.others(now).1);
        let urgency = if item.urgency.is_finite() { item.urgency.clamp(0.0, 1.0) } else { 0.0 };
        (off * DEVIATIONS).clamp(least, most) * (1.0 - urgency / 2.0)
    }
}
