//! The discrete events of a simulated day.

use super::deployment::{Deployment, Router};
use super::engine::{Engine, Job, Made};
use super::report::{Report, Tally};
use super::workload::{Arrival, Class, Workload};
use grebeusher_gateway::{
    AttemptOutcome, AttemptToken, Attempts, BatchItem, ExecutorDescriptor, ExecutorId, ExecutorState,
    FinalResponse, Gateway, GatewayConfig, ModelKey, Request, RetryClass, RetryDecision, RoutingDecision,
    ServerLoad, ServiceId, ServiceSettings, ZoneKey,
};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

enum Event {
    Arrive(usize),
    AtExecutor { executor: usize, request: usize },
    StepEnds { executor: usize },
    Back { request: usize, made: Made, load: ServerLoad },
    Full { request: usize },
    Refused { request: usize },
    Dead { request: usize },
    BatchTurn { node: usize },
    PeerReport,
}

pub(super) struct LiveRequest {
    pub(super) arrival: Arrival,
    pub(super) node: usize,
    retries_left: u32,
    attempts: Attempts,
    pub(super) excluded: Vec<ExecutorId>,
    executor: usize,
    token: Option<AttemptToken>,
    first: Option<f64>,
    last: f64,
    paused: bool,
    finished: bool,
    batch: bool,
}

pub struct Simulation {
    now: f64,
    deployment: Deployment,
    pub(super) router: Router,
    pub(super) rng: Pcg32,
    pub(super) engines: Vec<Engine>,
    stepping: Vec<bool>,
    gateways: Vec<Gateway>,
    service: ServiceId,
    pub(super) ids: Vec<ExecutorId>,
    by_id: BTreeMap<ExecutorId, usize>,
    pub(super) own_outstanding: Vec<Vec<u32>>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payload: BTreeMap<u64, Event>,
    number: u64,
    pub(super) live: Vec<LiveRequest>,
    batch_waiting: VecDeque<Arrival>,
    report: Report,
    subject_asked: BTreeMap<u64, (u32, u32, u32)>,
    home_sent: BTreeMap<usize, u32>,
}

const NET_MS: f64 = 0.5;

pub fn run(deployment: &Deployment, router: Router, seed: u64) -> Report {
    Simulation::new(deployment, router, seed).run(seed)
}

impl Simulation {
    fn new(deployment: &Deployment, router: Router, seed: u64) -> Simulation {
        let config = if let Router::Gateway(config) = router { config } else { GatewayConfig::default() };
        let nodes = deployment.nodes + deployment.batch_nodes;
        let mut ids = Vec::new();
        let mut service = None;
        let gateways = (0..nodes)
            .map(|node| {
                let zone = ZoneKey(node as u64 % 4);
                let mut gateway = Gateway::new(config, zone, seed ^ (node as u64) << 20);
                let settings =
                    ServiceSettings { max_connections: 220, kv_capacity_tokens: deployment.kv_tokens };
                service = Some(gateway.set_service("katalogizator", settings));
                gateway.set_nodes(nodes as u32);
                ids = (0..deployment.executors)
                    .map(|n| gateway.upsert(&descriptor(seed, n, deployment.slots, ExecutorState::Ready)))
                    .collect();
                gateway
            })
            .collect();
        let engine = |_| {
            Engine::new(
                deployment.slots,
                72,
                deployment.kv_tokens,
                deployment.step_ms,
                deployment.read_per_ms,
            )
        };
        Simulation {
            now: 0.0,
            router,
            rng: Pcg32::seed_from_u64(seed),
            engines: (0..deployment.executors).map(engine).collect(),
            stepping: vec![false; deployment.executors],
            gateways,
            service: service.unwrap(),
            by_id: ids.iter().copied().zip(0..).collect(),
            ids,
            own_outstanding: vec![vec![0; deployment.executors]; nodes],
            events: BinaryHeap::new(),
            payload: BTreeMap::new(),
            number: 0,
            live: Vec::new(),
            batch_waiting: VecDeque::new(),
            report: Report {
                classes: vec![Tally::default(); deployment.classes.len()],
                sent: vec![0; deployment.executors],
                ..Report::default()
            },
            subject_asked: BTreeMap::new(),
            home_sent: BTreeMap::new(),
            deployment: deployment.clone(),
        }
    }

    fn at(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.events.push(Reverse(((at * 1e6) as u64, self.number)));
        self.payload.insert(self.number, event);
    }

    fn moment(&self) -> Instant {
        Instant(1_000_000_000 + (self.now * 1e6) as u64)
    }

    fn run(mut self, seed: u64) -> Report {
        let end = self.deployment.seconds * 1000.0;
        let mut workload = Workload::new(&self.deployment.classes, seed);
        for arrival in workload.draw(end) {
            let at = arrival.at;
            let node = self.rng.random_range(0..self.deployment.nodes);
            let class = &self.deployment.classes[arrival.class];
            let retries_left = class.retries;
            let attempts = Attempts::new(class.retry_class, class.max_attempts);
            self.live.push(LiveRequest::new(arrival, node, retries_left, attempts, false));
            self.at(at, Event::Arrive(self.live.len() - 1));
        }
        if self.deployment.batch_nodes > 0 {
            self.batch_waiting = workload.batch(self.deployment.batch_items_per_s, end).into();
            for node in self.deployment.nodes..self.deployment.nodes + self.deployment.batch_nodes {
                self.at(node as f64 * 0.7, Event::BatchTurn { node });
            }
        }
        if self.deployment.peers_report {
            self.at(100.0, Event::PeerReport);
        }
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at as f64 / 1e6;
            if self.now > end + 10_000.0 {
                break;
            }
            let event = self.payload.remove(&number).unwrap();
            self.handle(event, end);
        }
        self.finish()
    }

    fn handle(&mut self, event: Event, end: f64) {
        match event {
            Event::Arrive(request) => self.choose(request),
            Event::AtExecutor { executor, request } => self.at_executor(executor, request),
            Event::StepEnds { executor } => self.step_ends(executor),
            Event::Back { request, made, load } => self.back(request, made, load),
            Event::Full { request } => self.ended(request, AttemptOutcome::NotExecuted),
            Event::Dead { request } => self.ended(request, AttemptOutcome::NeverSent),
            Event::Refused { request } => {
                self.live[request].node = self.rng.random_range(0..self.deployment.nodes);
                self.choose(request);
            }
            Event::BatchTurn { node } => {
                self.batch_turn(node);
                if self.now < end {
                    self.at(self.now + 5.0, Event::BatchTurn { node });
                }
            }
            Event::PeerReport => self.report_peer_load(end),
        }
    }

    fn report_peer_load(&mut self, end: f64) {
        let now = self.moment();
        for executor in 0..self.engines.len() {
            let all: u32 = self.own_outstanding.iter().map(|out| out[executor]).sum();
            for node in 0..self.gateways.len() {
                let others = f64::from(all - self.own_outstanding[node][executor]);
                self.gateways[node].observe_peer_load(now, self.ids[executor], others);
            }
        }
        if self.now < end {
            self.at(self.now + 250.0, Event::PeerReport);
        }
    }

    pub(super) fn is_dark(&self, executor: usize) -> bool {
        let at = self.now / 1000.0;
        self.deployment.dark.iter().any(|(dark, from, to)| *dark == executor && at >= *from && at < *to)
    }

    fn request<'a>(&self, live: &'a LiveRequest) -> Request<'a> {
        let class = live.arrival.class;
        let class = if live.batch { &Class::batch() } else { &self.deployment.classes[class] };
        let waited = self.now - live.arrival.at;
        Request {
            retry_class: class.retry_class,
            model: Some(ModelKey(1)),
            tokens: Some(live.arrival.tokens),
            prompt: live.arrival.prompt,
            excluded: &live.excluded,
            latency_objective: Duration::from_millis(class.aim_ms as u64),
            elapsed: Duration::from_nanos((waited * 1e6) as u64),
            until_deadline: Duration::from_nanos(((class.deadline_ms - waited).max(0.0) * 1e6) as u64),
            may_have_run: live.attempts.may_have_run(),
            is_batch: live.batch,
            ..Request::to(self.service)
        }
    }

    fn choose(&mut self, number: usize) {
        let (now, node) = (self.moment(), self.live[number].node);
        let chosen = match self.router {
            Router::Gateway(_) => {
                let live = &self.live[number];
                let request = self.request(live);
                let choice = self.gateways[node].choose(now, &request);
                match choice {
                    RoutingDecision::Forward { executor, .. } => {
                        let token = self.gateways[node].attempt_started(now, executor, &request);
                        self.live[number].token = token;
                        self.by_id[&executor]
                    }
                    RoutingDecision::Reject { retry_after } | RoutingDecision::NoExecutor { retry_after } => {
                        return self.refused(number, retry_after.seconds() * 1000.0);
                    }
                }
            }
            _ => self.baseline(number),
        };
        self.send(number, chosen);
    }

    fn send(&mut self, number: usize, executor: usize) {
        self.report.sent[executor] += 1;
        let node = self.live[number].node;
        self.own_outstanding[node][executor] += 1;
        let live = &mut self.live[number];
        live.executor = executor;
        live.excluded.push(self.ids[executor]);
        if live.arrival.class == 1 && !live.batch {
            *self.home_sent.entry(executor).or_insert(0) += 1;
        }
        self.at(self.now + NET_MS, Event::AtExecutor { executor, request: number });
    }

    fn refused(&mut self, number: usize, after_ms: f64) {
        let places = self.engines.len() * self.deployment.slots;
        let taken: usize = self.engines.iter().map(super::engine::Engine::running).sum();
        if taken * 2 < places && self.engines.iter().all(|e| e.waiting() == 0) {
            self.report.false_rejections += 1;
        }
        let class = self.deployment.classes[self.live[number].arrival.class].clone();
        let live = &mut self.live[number];
        let left = class.deadline_ms - (self.now - live.arrival.at);
        if live.retries_left == 0 || left < 10.0 {
            live.finished = true;
            self.report.classes[live.arrival.class].refused += 1;
            return;
        }
        live.retries_left -= 1;
        live.excluded.clear();
        live.attempts = Attempts::new(class.retry_class, class.max_attempts);
        self.at(self.now + after_ms.min(left / 3.0) + 2.0, Event::Refused { request: number });
    }

    fn at_executor(&mut self, executor: usize, number: usize) {
        let (now, live) = (self.now, &self.live[number]);
        if self.is_dark(executor) {
            self.report.sent_to_dark += 1;
            return self.at(now + NET_MS, Event::Dead { request: number });
        }
        let job = Job::new(number, &live.arrival);
        if !self.engines[executor].take(job) {
            return self.at(now + NET_MS, Event::Full { request: number });
        }
        if !self.stepping[executor] {
            self.begin_step(executor);
        }
    }

    fn begin_step(&mut self, executor: usize) {
        let step = self.engines[executor].begin_step();
        self.stepping[executor] = step.is_some();
        if let Some(ms) = step {
            self.at(self.now + ms, Event::StepEnds { executor });
        }
    }

    fn step_ends(&mut self, executor: usize) {
        let made = self.engines[executor].end_step();
        let engine = &self.engines[executor];
        let (running, waiting) = (engine.running() as u32, engine.waiting() as u32);
        let load = ServerLoad { running, waiting, slots: self.deployment.slots as u32 };
        for (request, made) in made {
            self.at(self.now + NET_MS, Event::Back { request, made, load });
        }
        self.begin_step(executor);
    }

    fn back(&mut self, number: usize, made: Made, load: ServerLoad) {
        let (now, moment) = (self.now, self.moment());
        let live = &mut self.live[number];
        let gateway = &mut self.gateways[live.node];
        if live.first.is_none() {
            live.first = Some(now);
            if let Some(token) = live.token {
                gateway.response_head(moment, token, Some(load));
            }
        } else if now - live.last > 250.0 {
            live.paused = true;
        }
        live.last = now;
        if let Some(token) = live.token {
            gateway.event_received(moment, token);
        }
        if made == Made::Last {
            self.own_outstanding[live.node][live.executor] -= 1;
            if let Some(token) = live.token.take() {
                gateway.attempt_finished(moment, token, AttemptOutcome::Served);
            }
            self.served(number);
        }
    }

    fn served(&mut self, number: usize) {
        let live = &mut self.live[number];
        live.finished = true;
        if live.batch {
            self.report.batch_done += 1;
            return;
        }
        let class = &self.deployment.classes[live.arrival.class];
        let first = live.first.unwrap_or(live.last) - live.arrival.at;
        let tally = &mut self.report.classes[live.arrival.class];
        tally.first_ms.push(first);
        tally.paused += u32::from(live.paused);
        let in_time = first <= class.aim_ms && !live.paused;
        if in_time { tally.in_time += 1 } else { tally.late += 1 }
    }

    fn ended(&mut self, number: usize, outcome: AttemptOutcome) {
        let moment = self.moment();
        let live = &mut self.live[number];
        self.own_outstanding[live.node][live.executor] -= 1;
        if let Some(token) = live.token.take() {
            self.gateways[live.node].attempt_finished(moment, token, outcome);
        }
        if live.batch {
            let arrival = live.arrival.clone();
            self.batch_waiting.push_front(arrival);
            return;
        }
        match live.attempts.ended(outcome) {
            RetryDecision::Retry | RetryDecision::Resume => self.choose(number),
            RetryDecision::Finish(FinalResponse::ServiceUnavailable) => self.refused(number, 100.0),
            RetryDecision::Finish(_) => {
                live.finished = true;
                self.report.classes[live.arrival.class].failed += 1;
            }
        }
    }

    fn batch_turn(&mut self, node: usize) {
        let now = self.moment();
        for _ in 0..16 {
            if self.batch_waiting.front().is_none_or(|item| item.at > self.now) {
                return;
            }
            let arrival = self.batch_waiting.front().unwrap().clone();
            let item = BatchItem {
                service: self.service,
                model: Some(ModelKey(1)),
                tokens: Some(arrival.tokens),
                prompt: arrival.prompt,
                excluded: &[],
                urgency: 0.0,
            };
            let Some(id) = self.gateways[node].choose_for_batch(now, &item) else { return };
            self.batch_waiting.pop_front();
            let token = self.gateways[node].attempt_started(now, id, &item.as_request());
            let attempts = Attempts::new(RetryClass::ResumableStream, 3);
            let mut live = LiveRequest::new(arrival, node, 0, attempts, true);
            live.token = token;
            self.live.push(live);
            self.send(self.live.len() - 1, self.by_id[&id]);
        }
    }

    fn finish(mut self) -> Report {
        for live in self.live.iter().filter(|live| !live.batch) {
            let class = &self.deployment.classes[live.arrival.class];
            let tally = &mut self.report.classes[live.arrival.class];
            tally.asked += 1;
            let first = live.first.filter(|_| live.finished).map(|first| first - live.arrival.at);
            let in_time = first.is_some_and(|first| first <= class.aim_ms && !live.paused);
            let value = if in_time { 1.0 } else { first.map_or(0.0, |_| 0.3) };
            tally.earned.push((live.arrival.tokens.prompt + 10 * live.arrival.tokens.output, value));
            if !live.finished {
                tally.failed += 1;
            }
            if live.arrival.class == 1 {
                let served = live.first.is_some() && live.finished;
                let subject = self.subject_asked.entry(live.arrival.subject).or_default();
                (subject.0, subject.1) = (subject.0 + 1, subject.1 + u32::from(served));
            }
        }
        let often: Vec<_> = self.subject_asked.values().filter(|(asked, _, _)| *asked >= 4).collect();
        self.report.subjects = (often.len(), often.iter().filter(|(_, served, _)| *served == 0).count());
        let mut seen = std::collections::BTreeSet::new();
        let mut reads: Vec<(u64, u64)> = self.engines.iter().flat_map(|e| e.reads.iter().copied()).collect();
        reads.sort_unstable();
        for (chain, tokens) in reads {
            self.report.shared_read += tokens;
            if !seen.insert(chain) {
                self.report.shared_repeated_prefill += tokens;
            }
        }
        self.report.work = self.engines.iter().map(|engine| engine.work).collect();
        let moment = self.moment();
        let view = |id: &ExecutorId| self.gateways[0].executor_view(moment, *id).unwrap().lane;
        self.report.lanes = self.ids.iter().map(view).collect();
        let most = self.home_sent.values().max().copied().unwrap_or(0);
        let all: u32 = self.home_sent.values().sum();
        self.report.most_of_one_home = f64::from(most) / f64::from(all.max(1));
        for gateway in &self.gateways[..self.deployment.nodes] {
            let one = gateway.decisions();
            let sum = &mut self.report.decisions;
            sum.weighted_pick += one.weighted_pick;
            sum.cached_prefix += one.cached_prefix;
            sum.prefix_home += one.prefix_home;
            sum.out_of_lane += one.out_of_lane;
            sum.queued += one.queued;
            sum.unhealthy += one.unhealthy;
            sum.rejected += one.rejected;
            sum.no_executor += one.no_executor;
        }
        self.report
    }
}

impl LiveRequest {
    fn new(arrival: Arrival, node: usize, retries_left: u32, attempts: Attempts, batch: bool) -> LiveRequest {
        LiveRequest {
            arrival,
            node,
            retries_left,
            attempts,
            excluded: Vec::new(),
            executor: 0,
            token: None,
            first: None,
            last: 0.0,
            paused: false,
            finished: false,
            batch,
        }
    }
}

fn descriptor(seed: u64, number: usize, slots: usize, state: ExecutorState) -> ExecutorDescriptor<'static> {
    let instance: &'static str = Box::leak(format!("i-{seed:x}-{number}").into_boxed_str());
    ExecutorDescriptor {
        instance,
        service: "katalogizator",
        address: ([10, 0, 0, number as u8], 8080).into(),
        zone: ZoneKey(number as u64 % 4),
        slots: slots as u32,
        state,
        models: &[ModelKey(1)],
    }
}
