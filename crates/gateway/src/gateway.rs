//! The table of executors and the evidence that the node's requests give.

use crate::attempts::Outcome;
use crate::choose::{Candidate, Request};
use crate::demand::Demand;
use crate::executor::{Descriptor, Executor, Standing};
use crate::headers::ServerLoad;
use crate::health::Failure;
use crate::ids::{AttemptToken, ExecutorId, ServiceId, ZoneKey};
use crate::policy::Policy;
use crate::popular::Labels;
use crate::prefix::READ_PER_S;
use crate::service::{Service, ServiceSettings};
use grebeusher_prefix_popularity::Popularity;
use grebeusher_sizing::{lanes_by_share, share_of_lanes};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Open attempts that are kept account of: more than any node has descriptors for.
const MAX_OPEN: usize = 16_384;

/// No executor is held for silent before this: several times the longest steps.
const SILENCE: Duration = Duration::from_millis(500);
/// Nor before so many times as long as its service's requests usually take to show something.
const SILENCE_TIMES: f64 = 6.0;

/// How requests were decided, counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// By the ordinary path: lane by size, weighted pick.
    pub by_pick: u64,
    /// To an executor that holds a prefix by this node's sends.
    pub by_kept: u64,
    /// To a home in the rendezvous order of the last shared part.
    pub by_home: u64,
    /// To the next of that order, as no home had room to spare.
    pub by_next_home: u64,
    /// By a weighted pick outside the lane, as none in the lane had room.
    pub out_of_lane: u64,
    /// Into an executor's queue, as none had room.
    pub queued: u64,
    /// To one that is in doubt, as there was no other.
    pub in_doubt: u64,
    /// Refused.
    pub refused: u64,
    /// No executor was there.
    pub nobody: u64,
}

/// An executor as the gateway sees it.
#[derive(Clone, Debug)]
pub struct ExecutorView {
    /// Its `instance_id`, for `X-Grebeusher-Target-Instance`.
    pub instance: Arc<str>,
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneKey,
    /// Whether it may get requests.
    pub standing: Standing,
    /// Its lane, from 0 for the smallest sizes.
    pub lane: usize,
    /// Own attempts that are open there.
    pub open: u32,
    /// Requests that all nodes are thought to have there.
    pub outstanding: f64,
    /// Whether own failures keep requests away from it now.
    pub ejected: bool,
}

/// A service as the gateway sees it.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Its name.
    pub name: Arc<str>,
    /// The bounds between its lanes.
    pub cut_offs: Vec<f64>,
    /// Sizes in the sample.
    pub sampled: usize,
    /// How long attempts last, in seconds.
    pub holds: f64,
    /// The part of its places that is thought taken.
    pub utilisation: f64,
}

pub(crate) struct Attempt {
    pub generation: u32,
    pub open: Option<OpenAttempt>,
}

pub(crate) struct OpenAttempt {
    pub executor: ExecutorId,
    pub sent: Instant,
    pub tokens: u64,
    pub unread: u64,
    pub batch: bool,
    /// When its last event came.
    pub event: Option<Instant>,
}

/// The decisions of one node. See the crate's page.
pub struct Gateway {
    pub(crate) policy: Policy,
    pub(crate) zone: ZoneKey,
    pub(crate) nodes: u32,
    pub(crate) chance: Pcg32,
    pub(crate) executors: Vec<(u32, Option<Executor>)>,
    vacant: Vec<u32>,
    by_instance: FxHashMap<Arc<str>, ExecutorId>,
    pub(crate) services: Vec<Service>,
    by_service: FxHashMap<Arc<str>, ServiceId>,
    attempts: Vec<Attempt>,
    vacant_attempts: Vec<u32>,
    reviewed: Instant,
    woke: Instant,
    pub(crate) decisions: Decisions,
    pub(crate) demand: Demand,
    pub(crate) popularity: Option<Popularity>,
    pub(crate) labels: Labels,
    pub(crate) scratch: Vec<Candidate>,
}

impl Gateway {
    /// A gateway without executors, for a node in `zone`. `seed` draws its random picks.
    pub fn new(policy: Policy, zone: ZoneKey, seed: u64) -> Gateway {
        Gateway {
            policy,
            zone,
            nodes: 1,
            chance: Pcg32::seed_from_u64(seed),
            executors: Vec::new(),
            vacant: Vec::new(),
            by_instance: FxHashMap::default(),
            services: Vec::new(),
            by_service: FxHashMap::default(),
            attempts: Vec::new(),
            vacant_attempts: Vec::new(),
            reviewed: Instant(0),
            woke: Instant(0),
            decisions: Decisions::default(),
            demand: Demand::default(),
            popularity: None,
            labels: Labels::default(),
            scratch: Vec::new(),
        }
    }

    /// How many nodes share the executors' connections, this one included.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Takes over what the configuration says of a service; the key stays the same for a name.
    pub fn set_service(&mut self, name: &str, settings: ServiceSettings) -> ServiceId {
        let id = self.service(name);
        if let Some(service) = self.services.get_mut(id.0 as usize).filter(|s| s.settings != settings) {
            service.settings = settings;
            for place in &service.members {
                if let Some((_, Some(executor))) = self.executors.get_mut(*place as usize) {
                    executor.memory.set_capacity(settings.kv_capacity_tokens);
                }
            }
        }
        id
    }

    /// The key of a service's name, made at first use. Names come from the configuration and from executors that
    /// the registry has taken, both bounded there.
    pub fn service(&mut self, name: &str) -> ServiceId {
        if let Some(id) = self.by_service.get(name) {
            return *id;
        }
        let service = Service::new(name, &self.policy);
        let id = ServiceId(self.services.len() as u32);
        self.by_service.insert(service.name.clone(), id);
        self.services.push(service);
        id
    }

    /// An executor is there, or something about it changed. Its key stays the same until it is removed.
    pub fn upsert(&mut self, descriptor: &Descriptor<'_>) -> ExecutorId {
        let service = self.service(descriptor.service);
        if let Some(id) = self.by_instance.get(descriptor.instance).copied() {
            let known = self.executor_mut(id).filter(|executor| executor.service == service);
            if let Some(executor) = known {
                let lanes_changed = executor.update(descriptor);
                self.services[service.0 as usize].lanes_stale |= lanes_changed;
                return id;
            }
            self.remove(id); // it went to another service
        }
        let place = self.vacant.pop().unwrap_or_else(|| {
            self.executors.push((0, None));
            (self.executors.len() - 1) as u32
        });
        let (generation, entry) = &mut self.executors[place as usize];
        let id = ExecutorId { place, generation: *generation };
        let mut executor = Executor::new(id, service, descriptor);
        let service = &mut self.services[service.0 as usize];
        executor.memory.set_capacity(service.settings.kv_capacity_tokens);
        self.by_instance.insert(executor.instance.clone(), id);
        *entry = Some(executor);
        service.members.push(place);
        service.lanes_stale = true;
        id
    }

    /// An executor is gone. Attempts that are open there may still end as they like.
    pub fn remove(&mut self, id: ExecutorId) {
        if self.executor(id).is_none() {
            return;
        }
        let (generation, entry) = &mut self.executors[id.place as usize];
        *generation = generation.wrapping_add(1);
        if let Some(executor) = entry.take() {
            self.by_instance.remove(&executor.instance);
            self.vacant.push(id.place);
            let service = &mut self.services[executor.service.0 as usize];
            service.members.retain(|place| *place != id.place);
            service.lanes_stale = true;
        }
    }

    /// The executor with an `instance_id`.
    pub fn find(&self, instance: &str) -> Option<ExecutorId> {
        self.by_instance.get(instance).copied()
    }

    /// Whether a request that was chosen for an executor a moment ago may still begin there: to be asked once more
    /// right before its first byte is written, as it may have waited for a connection while word of a drain came.
    pub fn may_begin(&self, id: ExecutorId) -> bool {
        self.executor(id).is_some_and(|executor| executor.standing != Standing::Draining)
    }

    /// What is known of an executor now.
    pub fn view(&self, now: Instant, id: ExecutorId) -> Option<ExecutorView> {
        let executor = self.executor(id)?;
        let (usual, _) = self.services[executor.service.0 as usize].others(now);
        Some(ExecutorView {
            instance: executor.instance.clone(),
            service: executor.service,
            address: executor.address,
            zone: executor.zone,
            standing: executor.standing,
            lane: executor.lane,
            open: executor.open,
            outstanding: f64::from(executor.open) + executor.others(now, usual),
            ejected: executor.health.is_out(now),
        })
    }

    /// What is known of a service now.
    pub fn view_service(&self, now: Instant, id: ServiceId) -> Option<ServiceView> {
        let service = self.services.get(id.0 as usize)?;
        let members = service.members.iter().filter_map(|place| self.executors[*place as usize].1.as_ref());
        let (usual, _) = service.others(now);
        let (mut taken, mut slots) = (0.0, 0.0);
        for executor in members.filter(|executor| executor.standing != Standing::Draining) {
            taken += f64::from(executor.open) + executor.others(now, usual);
            slots += f64::from(executor.slots);
        }
        Some(ServiceView {
            name: service.name.clone(),
            cut_offs: service.cut_offs.bounds().to_vec(),
            sampled: service.sample.len(),
            holds: service.holds,
            utilisation: if slots > 0.0 { taken / slots } else { 0.0 },
        })
    }

    /// How requests were decided so far.
    pub fn decisions(&self) -> Decisions {
        self.decisions
    }

    /// Own attempts that are open at each executor that has any: what neighbours are told.
    pub fn outstanding(&self) -> impl Iterator<Item = (ExecutorId, u32)> {
        let executors = self.executors.iter().filter_map(|(_, executor)| executor.as_ref());
        executors.filter(|executor| executor.open > 0).map(|executor| (executor.id, executor.open))
    }

    /// Neighbours told how many requests they have out at an executor, all other nodes together. Counts as a report
    /// does: the newest holds, and fades.
    pub fn told(&mut self, now: Instant, id: ExecutorId, requests: f64) {
        if let Some(executor) = self.executor_mut(id) {
            executor.told(now, requests);
        }
    }

    /// An attempt goes out. `None` when more are open than any node can have; it then goes unaccounted.
    pub fn started(&mut self, now: Instant, id: ExecutorId, request: &Request<'_>) -> Option<AttemptToken> {
        let policy = self.policy;
        let (kept, read) = self.kept(now, id, request);
        let (_, executor) = self.executors.get_mut(id.place as usize)?;
        let executor = executor.as_mut().filter(|executor| executor.id == id)?;
        let service = &mut self.services[executor.service.0 as usize];
        let tokens = u64::from(request.tokens.map_or(0, |t| t.prompt.saturating_add(t.out)));
        let unread = u64::from(request.tokens.map_or(0, |t| t.prompt.saturating_sub(read)));
        if request.tokens.is_some() && request.excluded.is_empty() {
            let home = if request.stake() >= policy.least_stake { request.parts.shared_tokens() } else { 0 };
            let (size, work) = (request.size(service.median), request.work(service.median, kept.max(home)));
            service.saw(now, size, work, tokens as f64, &policy);
        }
        service.best_priority = service.best_priority.min(request.priority);
        let size = request.size(service.median);
        executor.open += 1;
        executor.open_batch += u32::from(request.batch);
        executor.open_tokens += tokens;
        executor.unread += unread;
        executor.unread_batch += if request.batch { unread } else { 0 };
        if request.stake() >= policy.least_stake {
            executor.memory.sent(now, request.model_bits(), request.parts.shared());
            if let Some(subject) = request.subject() {
                let own = request.tokens.map_or(0, |t| t.prompt.saturating_sub(request.stake()));
                self.demand.sent(now, subject, own);
                self.count_prefix(now, request, size, own);
            }
        }
        let place = match self.vacant_attempts.pop() {
            Some(place) => place,
            None if self.attempts.len() < MAX_OPEN => {
                self.attempts.push(Attempt { generation: 0, open: None });
                (self.attempts.len() - 1) as u32
            }
            None => {
                self.release(id, tokens, unread, request.batch);
                return None;
            }
        };
        let attempt = &mut self.attempts[place as usize];
        let batch = request.batch;
        attempt.open = Some(OpenAttempt { executor: id, sent: now, tokens, unread, batch, event: None });
        Some(AttemptToken { place, generation: attempt.generation })
    }

    /// The head of an answer came, with the load that it tells.
    pub fn head(&mut self, now: Instant, token: AttemptToken, load: Option<ServerLoad>) {
        let Some((id, load)) = self.open(token).map(|attempt| attempt.executor).zip(load) else { return };
        self.load(now, id, load);
    }

    /// An executor told its load, in an answer or in a report that was asked for.
    pub fn load(&mut self, now: Instant, id: ExecutorId, load: ServerLoad) {
        let Some(executor) = self.executor_mut(id) else { return };
        let (others, service) = (executor.reported(now, load), executor.service);
        self.services[service.0 as usize].reported(now, others);
    }

    /// An event, or the first byte of a body, came: the prompt is read, and the pause since the event before it tells
    /// the executor's pace.
    pub fn progress(&mut self, now: Instant, token: AttemptToken) {
        let Some(attempt) = self.open_mut(token) else { return };
        let (id, unread, batch) = (attempt.executor, std::mem::take(&mut attempt.unread), attempt.batch);
        let (sent, before) = (attempt.sent, attempt.event.replace(now));
        let known = self.executors.get_mut(id.place as usize).and_then(|(_, executor)| executor.as_mut());
        let Some(executor) = known.filter(|executor| executor.id == id) else { return };
        executor.heard_at = now;
        executor.unread = executor.unread.saturating_sub(unread);
        executor.unread_batch = executor.unread_batch.saturating_sub(if batch { unread } else { 0 });
        let service = executor.service;
        let service = &mut self.services[service.0 as usize];
        let Some(before) = before else {
            let late = service.began(now.since(sent).seconds() - unread as f64 / READ_PER_S);
            return executor.was_behind(now, late);
        };
        let times = service.paused(now.since(before));
        executor.paced(now, times);
    }

    /// An attempt ended. A second call with the same token does nothing.
    pub fn finished(&mut self, now: Instant, token: AttemptToken, outcome: Outcome) {
        if self.open(token).is_none() {
            return;
        }
        let attempt = &mut self.attempts[token.place as usize];
        attempt.generation = attempt.generation.wrapping_add(1);
        let Some(open) = attempt.open.take() else { return };
        self.vacant_attempts.push(token.place);
        self.release(open.executor, open.tokens, open.unread, open.batch);
        let Some(executor) = self.executor(open.executor) else { return };
        let service = executor.service.0 as usize;
        match outcome {
            Outcome::Served | Outcome::AnsweredOther => {
                self.services[service].served(now.since(open.sent));
                if let Some(executor) = self.executor_mut(open.executor) {
                    executor.heard_at = now;
                    executor.health.succeeded();
                }
            }
            Outcome::NeverSent => self.failed(now, open.executor, Failure::NotConnected),
            Outcome::NotExecuted => self.failed(now, open.executor, Failure::Refused),
            Outcome::Misdirected => self.failed(now, open.executor, Failure::Misdirected),
            Outcome::BrokenBeforeHead
            | Outcome::BrokenBeforeRelay
            | Outcome::BrokenMidBody
            | Outcome::BrokenMidStream => self.failed(now, open.executor, Failure::Broken),
            Outcome::IdleClosed | Outcome::AnsweredFailure | Outcome::TimedOut | Outcome::ClientGone => {}
        }
    }

    /// Something went wrong with an executor that is no end of an attempt: silence, or a connection that did not
    /// come up before anything was to be sent.
    pub fn failed(&mut self, now: Instant, id: ExecutorId, failure: Failure) {
        let spread = self.chance.random::<f64>();
        if let Some(executor) = self.executor_mut(id) {
            executor.health.failed(now, failure, spread);
            if failure == Failure::Misdirected {
                executor.memory.clear();
            }
        }
    }

    /// Looks for executors that fell silent; to be called every 100 ms or so. One from which nothing at all came for
    /// far longer than its service's requests take to show something, while own requests are out there, is held to
    /// have failed. That keeps new requests away; it ends none.
    pub fn review(&mut self, now: Instant) {
        let unseen = now.since(std::mem::replace(&mut self.reviewed, now));
        if unseen > SILENCE {
            // This node itself stood still: what came meanwhile is not read yet.
            self.woke = now;
        }
        let mut silent: Vec<ExecutorId> = Vec::new();
        for attempt in self.attempts.iter().filter_map(|attempt| attempt.open.as_ref()) {
            let Some(executor) = self.executor(attempt.executor) else { continue };
            let usual = self.services[executor.service.0 as usize].usual_silence();
            let limit = SILENCE.max(usual.scaled(SILENCE_TIMES));
            if now.since(executor.heard_at.max(attempt.sent).max(self.woke)) > limit
                && !silent.contains(&attempt.executor)
            {
                silent.push(attempt.executor);
            }
        }
        silent.into_iter().for_each(|id| self.failed(now, id, Failure::Silence));
    }

    pub(crate) fn executor(&self, id: ExecutorId) -> Option<&Executor> {
        let (_, executor) = self.executors.get(id.place as usize)?;
        executor.as_ref().filter(|executor| executor.id == id)
    }

    fn executor_mut(&mut self, id: ExecutorId) -> Option<&mut Executor> {
        let (_, executor) = self.executors.get_mut(id.place as usize)?;
        executor.as_mut().filter(|executor| executor.id == id)
    }

    fn open(&self, token: AttemptToken) -> Option<&OpenAttempt> {
        let attempt = self.attempts.get(token.place as usize)?;
        attempt.open.as_ref().filter(|_| attempt.generation == token.generation)
    }

    fn open_mut(&mut self, token: AttemptToken) -> Option<&mut OpenAttempt> {
        let attempt = self.attempts.get_mut(token.place as usize)?;
        attempt.open.as_mut().filter(|_| attempt.generation == token.generation)
    }

    fn release(&mut self, id: ExecutorId, tokens: u64, unread: u64, batch: bool) {
        if let Some(executor) = self.executor_mut(id) {
            executor.open = executor.open.saturating_sub(1);
            executor.open_tokens = executor.open_tokens.saturating_sub(tokens);
            executor.unread = executor.unread.saturating_sub(unread);
            if batch {
                executor.open_batch = executor.open_batch.saturating_sub(1);
                executor.unread_batch = executor.unread_batch.saturating_sub(unread);
            }
        }
    }

    /// Forms the lanes anew where executors came, went or changed, and computes the cut-offs when due.
    pub(crate) fn refresh(&mut self, now: Instant, id: ServiceId) {
        let Some(service) = self.services.get_mut(id.0 as usize) else { return };
        if !service.lanes_stale {
            return service.refresh(now, &self.policy);
        }
        service.lanes_stale = false;
        let executors = &mut self.executors;
        let ready = |place: &u32| {
            let executor = executors[*place as usize].1.as_ref();
            executor
                .filter(|executor| executor.standing != Standing::Draining)
                .map(|e| (*place, e.hash, e.slots))
        };
        let ready: Vec<(u32, u64, u32)> = service.members.iter().filter_map(ready).collect();
        let hashes: Vec<u64> = ready.iter().map(|(_, hash, _)| *hash).collect();
        let parts = self.policy.lane_parts();
        let lanes = lanes_by_share(&hashes, &parts);
        let slots = ready.iter().map(|(_, _, slots)| f64::from(*slots));
        service.shares = share_of_lanes(parts.len(), lanes.iter().copied().zip(slots));
        for ((place, _, _), lane) in ready.iter().zip(lanes) {
            if let Some(executor) = &mut executors[*place as usize].1 {
                executor.lane = lane;
            }
        }
        service.recompute(now, &self.policy);
    }
}
