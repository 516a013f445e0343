//! The discrete events of a simulation.

use super::deployment::{Deployment, Router};
use super::engine::{Engine, EngineRequest, StepOutput};
use super::report::{ClassReport, Report};
use super::workload::{Arrival, RequestClass, Workload};
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

/// An event. Requests, executors and nodes are given by their indices.
enum Event {
    /// A request of a client arrives at its node.
    Arrives(usize),
    /// An attempt arrives at its executor.
    ReachesExecutor { executor: usize, request: usize },
    /// An executor ends a step.
    StepEnds { executor: usize },
    /// A node receives an event of a response.
    ResponseReceived { request: usize, output: StepOutput, load: ServerLoad },
    /// A node receives the rejection of an attempt by an executor that is full.
    RejectedByExecutor { request: usize },
    /// A client retries a request that a node rejected.
    ClientRetries { request: usize },
    /// The connection of a node to an unavailable executor fails.
    ConnectFails { request: usize },
    /// A batch node sends the batch items for which there is capacity.
    BatchItemsAreSent { node: usize },
    /// All nodes report their numbers of requests at each executor to each other.
    PeersReport,
}

/// A request that has arrived at a node, live or of a batch job.
pub(super) struct SimulatedRequest {
    pub(super) arrival: Arrival,
    /// The index of the node that the request was sent to last.
    pub(super) node: usize,
    client_retries_left: u32,
    attempts: Attempts,
    pub(super) excluded: Vec<ExecutorId>,
    /// The index of the executor that the request was sent to last.
    executor: usize,
    /// The open attempt. `None` for the baseline routers.
    token: Option<AttemptToken>,
    first_event_ms: Option<f64>,
    last_event_ms: f64,
    /// Whether there was a gap of more than 250 ms between two events.
    stalled: bool,
    finished: bool,
    is_batch: bool,
}

/// The state of a simulation.
pub struct Simulation {
    now_ms: f64,
    deployment: Deployment,
    pub(super) router: Router,
    pub(super) rng: Pcg32,
    pub(super) engines: Vec<Engine>,
    /// Whether each executor is in a step.
    is_stepping: Vec<bool>,
    /// The gateways of the nodes for live requests, followed by those of the nodes for batch items.
    gateways: Vec<Gateway>,
    service: ServiceId,
    /// The keys of the executors, which are the same in all gateways.
    pub(super) executor_ids: Vec<ExecutorId>,
    executor_indices: BTreeMap<ExecutorId, usize>,
    /// The number of open attempts of each node at each executor.
    pub(super) own_outstanding: Vec<Vec<u32>>,
    /// The times of the pending events in nanoseconds, and the numbers of the events.
    event_times: BinaryHeap<Reverse<(u64, u64)>>,
    /// The pending events by their numbers.
    events: BTreeMap<u64, Event>,
    /// The number of events scheduled so far.
    event_count: u64,
    pub(super) requests: Vec<SimulatedRequest>,
    /// The batch items that have to be sent, in the order in which they become ready. Items that an executor rejected
    /// are first.
    waiting_items: VecDeque<Arrival>,
    report: Report,
    /// The numbers of requests and of served requests on each subject of the second class. The third number is not used.
    requests_by_subject: BTreeMap<u64, (u32, u32, u32)>,
    /// The number of attempts of the second class that were sent to each executor.
    second_class_attempts: BTreeMap<usize, u32>,
}

/// The network delay between a node and an executor in one direction, in ms.
const NETWORK_DELAY_MS: f64 = 0.5;

/// Simulates a deployment with a router.
pub fn run(deployment: &Deployment, router: Router, seed: u64) -> Report {
    Simulation::new(deployment, router, seed).run(seed)
}

impl Simulation {
    fn new(deployment: &Deployment, router: Router, seed: u64) -> Simulation {
        let config = if let Router::Gateway(config) = router { config } else { GatewayConfig::default() };
        let nodes = deployment.nodes + deployment.batch_nodes;
        let mut executor_ids = Vec::new();
        let mut service = None;
        let gateways = (0..nodes)
            .map(|node| {
                let zone = ZoneKey(node as u64 % 4);
                let mut gateway = Gateway::new(config, zone, seed ^ (node as u64) << 20);
                let settings = ServiceSettings {
                    max_connections: 220,
                    kv_capacity_tokens: deployment.kv_capacity_tokens,
                };
                service = Some(gateway.set_service_settings("katalogizator", settings));
                gateway.set_node_count(nodes as u32);
                executor_ids = (0..deployment.executors)
                    .map(|n| {
                        gateway.upsert_executor(&descriptor(seed, n, deployment.slots, ExecutorState::Ready))
                    })
                    .collect();
                gateway
            })
            .collect();
        let engine = |_| {
            Engine::new(
                deployment.slots,
                72,
                deployment.kv_capacity_tokens,
                deployment.decode_step_ms,
                deployment.prefill_tokens_per_ms,
            )
        };
        Simulation {
            now_ms: 0.0,
            router,
            rng: Pcg32::seed_from_u64(seed),
            engines: (0..deployment.executors).map(engine).collect(),
            is_stepping: vec![false; deployment.executors],
            gateways,
            service: service.unwrap(),
            executor_indices: executor_ids.iter().copied().zip(0..).collect(),
            executor_ids,
            own_outstanding: vec![vec![0; deployment.executors]; nodes],
            event_times: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            requests: Vec::new(),
            waiting_items: VecDeque::new(),
            report: Report {
                classes: vec![ClassReport::default(); deployment.classes.len()],
                attempts_sent: vec![0; deployment.executors],
                ..Report::default()
            },
            requests_by_subject: BTreeMap::new(),
            second_class_attempts: BTreeMap::new(),
            deployment: deployment.clone(),
        }
    }

    /// Schedules an event.
    fn schedule(&mut self, at_ms: f64, event: Event) {
        self.event_count += 1;
        self.event_times.push(Reverse(((at_ms * 1e6) as u64, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    /// The current time as passed to the gateways. The simulation begins at 1 s.
    fn instant(&self) -> Instant {
        Instant(1_000_000_000 + (self.now_ms * 1e6) as u64)
    }

    fn run(mut self, seed: u64) -> Report {
        let end_ms = self.deployment.duration_s * 1000.0;
        let mut workload = Workload::new(&self.deployment.classes, seed);
        for arrival in workload.live_arrivals(end_ms) {
            let at_ms = arrival.at_ms;
            let node = self.rng.random_range(0..self.deployment.nodes);
            let class = &self.deployment.classes[arrival.class];
            let client_retries_left = class.client_retries;
            let attempts = Attempts::new(class.retry_class, class.max_attempts);
            self.requests.push(SimulatedRequest::new(arrival, node, client_retries_left, attempts, false));
            self.schedule(at_ms, Event::Arrives(self.requests.len() - 1));
        }
        if self.deployment.batch_nodes > 0 {
            self.waiting_items = workload.batch_arrivals(self.deployment.batch_items_per_s, end_ms).into();
            for node in self.deployment.nodes..self.deployment.nodes + self.deployment.batch_nodes {
                self.schedule(node as f64 * 0.7, Event::BatchItemsAreSent { node });
            }
        }
        if self.deployment.peers_report_load {
            self.schedule(100.0, Event::PeersReport);
        }
        while let Some(Reverse((at_ns, number))) = self.event_times.pop() {
            self.now_ms = at_ns as f64 / 1e6;
            if self.now_ms > end_ms + 10_000.0 {
                break;
            }
            let event = self.events.remove(&number).unwrap();
            self.handle(event, end_ms);
        }
        self.finish()
    }

    /// Handles an event. Requests arrive, batch items are sent and peers report until `end_ms`.
    fn handle(&mut self, event: Event, end_ms: f64) {
        match event {
            Event::Arrives(request) => self.choose(request),
            Event::ReachesExecutor { executor, request } => self.reach_executor(executor, request),
            Event::StepEnds { executor } => self.end_step(executor),
            Event::ResponseReceived { request, output, load } => self.receive_output(request, output, load),
            Event::RejectedByExecutor { request } => self.end_attempt(request, AttemptOutcome::NotExecuted),
            Event::ConnectFails { request } => self.end_attempt(request, AttemptOutcome::NeverSent),
            Event::ClientRetries { request } => {
                self.requests[request].node = self.rng.random_range(0..self.deployment.nodes);
                self.choose(request);
            }
            Event::BatchItemsAreSent { node } => {
                self.send_batch_items(node);
                if self.now_ms < end_ms {
                    self.schedule(self.now_ms + 5.0, Event::BatchItemsAreSent { node });
                }
            }
            Event::PeersReport => self.report_peer_load(end_ms),
        }
    }

    fn report_peer_load(&mut self, end_ms: f64) {
        let now = self.instant();
        for executor in 0..self.engines.len() {
            let of_all_nodes: u32 =
                self.own_outstanding.iter().map(|by_executor| by_executor[executor]).sum();
            for node in 0..self.gateways.len() {
                let of_other_nodes = f64::from(of_all_nodes - self.own_outstanding[node][executor]);
                self.gateways[node].observe_peer_load(now, self.executor_ids[executor], of_other_nodes);
            }
        }
        if self.now_ms < end_ms {
            self.schedule(self.now_ms + 250.0, Event::PeersReport);
        }
    }

    /// Whether an executor has an outage now.
    pub(super) fn is_unavailable(&self, executor: usize) -> bool {
        let now_s = self.now_ms / 1000.0;
        self.deployment
            .outages
            .iter()
            .any(|(index, from_s, to_s)| *index == executor && now_s >= *from_s && now_s < *to_s)
    }

    /// The request in the form that the gateway takes.
    fn gateway_request<'a>(&self, request: &'a SimulatedRequest) -> Request<'a> {
        let class = request.arrival.class;
        let class = if request.is_batch { &RequestClass::batch() } else { &self.deployment.classes[class] };
        let elapsed_ms = self.now_ms - request.arrival.at_ms;
        Request {
            retry_class: class.retry_class,
            model: Some(ModelKey(1)),
            token_count: Some(request.arrival.tokens),
            prompt: request.arrival.prompt,
            excluded_executors: &request.excluded,
            latency_objective: Duration::from_millis(class.latency_objective_ms as u64),
            elapsed: Duration::from_nanos((elapsed_ms * 1e6) as u64),
            until_deadline: Duration::from_nanos(((class.deadline_ms - elapsed_ms).max(0.0) * 1e6) as u64),
            may_have_run: request.attempts.may_have_run(),
            is_batch: request.is_batch,
            ..Request::for_service(self.service)
        }
    }

    /// Chooses an executor for a request by the simulated router, and sends the request or rejects it.
    fn choose(&mut self, number: usize) {
        let (now, node) = (self.instant(), self.requests[number].node);
        let chosen = match self.router {
            Router::Gateway(_) => {
                let simulated = &self.requests[number];
                let request = self.gateway_request(simulated);
                let decision = self.gateways[node].route(now, &request);
                match decision {
                    RoutingDecision::Forward { executor, .. } => {
                        let token = self.gateways[node].attempt_started(now, executor, &request);
                        self.requests[number].token = token;
                        self.executor_indices[&executor]
                    }
                    RoutingDecision::Reject { retry_after } | RoutingDecision::NoExecutor { retry_after } => {
                        return self.reject(number, retry_after.seconds() * 1000.0);
                    }
                }
            }
            _ => self.choose_by_baseline(number),
        };
        self.send(number, chosen);
    }

    /// Sends a request to an executor.
    fn send(&mut self, number: usize, executor: usize) {
        self.report.attempts_sent[executor] += 1;
        let node = self.requests[number].node;
        self.own_outstanding[node][executor] += 1;
        let request = &mut self.requests[number];
        request.executor = executor;
        request.excluded.push(self.executor_ids[executor]);
        if request.arrival.class == 1 && !request.is_batch {
            *self.second_class_attempts.entry(executor).or_insert(0) += 1;
        }
        self.schedule(self.now_ms + NETWORK_DELAY_MS, Event::ReachesExecutor { executor, request: number });
    }

    /// Rejects a request. Its client retries after `retry_after_ms`, or gives up.
    fn reject(&mut self, number: usize, retry_after_ms: f64) {
        let slots = self.engines.len() * self.deployment.slots;
        let occupied: usize = self.engines.iter().map(super::engine::Engine::running).sum();
        if occupied * 2 < slots && self.engines.iter().all(|e| e.waiting() == 0) {
            self.report.false_rejections += 1;
        }
        let class = self.deployment.classes[self.requests[number].arrival.class].clone();
        let request = &mut self.requests[number];
        let remaining_ms = class.deadline_ms - (self.now_ms - request.arrival.at_ms);
        if request.client_retries_left == 0 || remaining_ms < 10.0 {
            request.finished = true;
            self.report.classes[request.arrival.class].rejected += 1;
            return;
        }
        request.client_retries_left -= 1;
        request.excluded.clear();
        request.attempts = Attempts::new(class.retry_class, class.max_attempts);
        self.schedule(
            self.now_ms + retry_after_ms.min(remaining_ms / 3.0) + 2.0,
            Event::ClientRetries { request: number },
        );
    }

    /// Lets an executor accept or reject an attempt that arrives there.
    fn reach_executor(&mut self, executor: usize, number: usize) {
        let (now_ms, request) = (self.now_ms, &self.requests[number]);
        if self.is_unavailable(executor) {
            self.report.sent_to_unavailable += 1;
            return self.schedule(now_ms + NETWORK_DELAY_MS, Event::ConnectFails { request: number });
        }
        let engine_request = EngineRequest::new(number, &request.arrival);
        if !self.engines[executor].enqueue(engine_request) {
            return self.schedule(now_ms + NETWORK_DELAY_MS, Event::RejectedByExecutor { request: number });
        }
        if !self.is_stepping[executor] {
            self.begin_step(executor);
        }
    }

    fn begin_step(&mut self, executor: usize) {
        let step_ms = self.engines[executor].begin_step();
        self.is_stepping[executor] = step_ms.is_some();
        if let Some(step_ms) = step_ms {
            self.schedule(self.now_ms + step_ms, Event::StepEnds { executor });
        }
    }

    fn end_step(&mut self, executor: usize) {
        let outputs = self.engines[executor].end_step();
        let engine = &self.engines[executor];
        let (running, waiting) = (engine.running() as u32, engine.waiting() as u32);
        let load = ServerLoad { running, waiting, slots: self.deployment.slots as u32 };
        for (request, output) in outputs {
            self.schedule(self.now_ms + NETWORK_DELAY_MS, Event::ResponseReceived { request, output, load });
        }
        self.begin_step(executor);
    }

    /// Records an event of a response at the node of the request.
    fn receive_output(&mut self, number: usize, output: StepOutput, load: ServerLoad) {
        let (now_ms, instant) = (self.now_ms, self.instant());
        let request = &mut self.requests[number];
        let gateway = &mut self.gateways[request.node];
        if request.first_event_ms.is_none() {
            request.first_event_ms = Some(now_ms);
            if let Some(token) = request.token {
                gateway.response_head_received(instant, token, Some(load));
            }
        } else if now_ms - request.last_event_ms > 250.0 {
            request.stalled = true;
        }
        request.last_event_ms = now_ms;
        if let Some(token) = request.token {
            gateway.event_received(instant, token);
        }
        if output == StepOutput::LastEvent {
            self.own_outstanding[request.node][request.executor] -= 1;
            if let Some(token) = request.token.take() {
                gateway.attempt_finished(instant, token, AttemptOutcome::Served);
            }
            self.record_served(number);
        }
    }

    /// Records that a request was served completely.
    fn record_served(&mut self, number: usize) {
        let request = &mut self.requests[number];
        request.finished = true;
        if request.is_batch {
            self.report.batch_items_done += 1;
            return;
        }
        let class = &self.deployment.classes[request.arrival.class];
        let first_event_ms = request.first_event_ms.unwrap_or(request.last_event_ms) - request.arrival.at_ms;
        let class_report = &mut self.report.classes[request.arrival.class];
        class_report.first_event_ms.push(first_event_ms);
        class_report.stalled += u32::from(request.stalled);
        let in_time = first_event_ms <= class.latency_objective_ms && !request.stalled;
        if in_time { class_report.in_time += 1 } else { class_report.late += 1 }
    }

    /// Records that an attempt ended without a complete response, and decides on the next one.
    fn end_attempt(&mut self, number: usize, outcome: AttemptOutcome) {
        let instant = self.instant();
        let request = &mut self.requests[number];
        self.own_outstanding[request.node][request.executor] -= 1;
        if let Some(token) = request.token.take() {
            self.gateways[request.node].attempt_finished(instant, token, outcome);
        }
        if request.is_batch {
            let arrival = request.arrival.clone();
            self.waiting_items.push_front(arrival);
            return;
        }
        match request.attempts.record_outcome(outcome) {
            RetryDecision::Retry | RetryDecision::Resume => self.choose(number),
            RetryDecision::Finish(FinalResponse::ServiceUnavailable) => self.reject(number, 100.0),
            RetryDecision::Finish(_) => {
                request.finished = true;
                self.report.classes[request.arrival.class].failed += 1;
            }
        }
    }

    /// Sends up to 16 batch items that are ready, while there is capacity for them.
    fn send_batch_items(&mut self, node: usize) {
        let now = self.instant();
        for _ in 0..16 {
            if self.waiting_items.front().is_none_or(|item| item.at_ms > self.now_ms) {
                return;
            }
            let arrival = self.waiting_items.front().unwrap().clone();
            let item = BatchItem {
                service: self.service,
                model: Some(ModelKey(1)),
                token_count: Some(arrival.tokens),
                prompt: arrival.prompt,
                excluded_executors: &[],
                urgency: 0.0,
            };
            let Some(id) = self.gateways[node].choose_executor_for_batch_item(now, &item) else { return };
            self.waiting_items.pop_front();
            let token = self.gateways[node].attempt_started(now, id, &item.as_request());
            let attempts = Attempts::new(RetryClass::ResumableStream, 3);
            let mut request = SimulatedRequest::new(arrival, node, 0, attempts, true);
            request.token = token;
            self.requests.push(request);
            self.send(self.requests.len() - 1, self.executor_indices[&id]);
        }
    }

    /// Computes the report at the end of the simulation.
    fn finish(mut self) -> Report {
        for request in self.requests.iter().filter(|request| !request.is_batch) {
            let class = &self.deployment.classes[request.arrival.class];
            let class_report = &mut self.report.classes[request.arrival.class];
            class_report.requests += 1;
            let first_event_ms = request
                .first_event_ms
                .filter(|_| request.finished)
                .map(|first_event_ms| first_event_ms - request.arrival.at_ms);
            let in_time = first_event_ms.is_some_and(|first_event_ms| {
                first_event_ms <= class.latency_objective_ms && !request.stalled
            });
            let value = if in_time { 1.0 } else { first_event_ms.map_or(0.0, |_| 0.3) };
            class_report
                .sizes_and_values
                .push((request.arrival.tokens.prompt + 10 * request.arrival.tokens.output, value));
            if !request.finished {
                class_report.failed += 1;
            }
            if request.arrival.class == 1 {
                let served = request.first_event_ms.is_some() && request.finished;
                let subject = self.requests_by_subject.entry(request.arrival.subject).or_default();
                (subject.0, subject.1) = (subject.0 + 1, subject.1 + u32::from(served));
            }
        }
        let frequent: Vec<_> =
            self.requests_by_subject.values().filter(|(requests, _, _)| *requests >= 4).collect();
        self.report.frequent_subjects =
            (frequent.len(), frequent.iter().filter(|(_, served, _)| *served == 0).count());
        let mut prefilled_before = std::collections::BTreeSet::new();
        let mut prefills: Vec<(u64, u64)> =
            self.engines.iter().flat_map(|engine| engine.shared_prefills.iter().copied()).collect();
        prefills.sort_unstable();
        for (chain_hash, tokens) in prefills {
            self.report.shared_prefill_tokens += tokens;
            if !prefilled_before.insert(chain_hash) {
                self.report.repeated_prefill_tokens += tokens;
            }
        }
        self.report.executor_work = self.engines.iter().map(|engine| engine.work).collect();
        let instant = self.instant();
        let lane_of = |id: &ExecutorId| self.gateways[0].executor_view(instant, *id).unwrap().lane;
        self.report.executor_lanes = self.executor_ids.iter().map(lane_of).collect();
        let most = self.second_class_attempts.values().max().copied().unwrap_or(0);
        let all: u32 = self.second_class_attempts.values().sum();
        self.report.max_executor_share = f64::from(most) / f64::from(all.max(1));
        for gateway in &self.gateways[..self.deployment.nodes] {
            let decisions = gateway.decision_counters();
            let sum = &mut self.report.decisions;
            sum.weighted_pick += decisions.weighted_pick;
            sum.cached_prefix += decisions.cached_prefix;
            sum.prefix_home += decisions.prefix_home;
            sum.out_of_lane += decisions.out_of_lane;
            sum.queued += decisions.queued;
            sum.unhealthy += decisions.unhealthy;
            sum.rejected += decisions.rejected;
            sum.no_executor += decisions.no_executor;
        }
        self.report
    }
}

impl SimulatedRequest {
    fn new(
        arrival: Arrival,
        node: usize,
        client_retries_left: u32,
        attempts: Attempts,
        is_batch: bool,
    ) -> SimulatedRequest {
        SimulatedRequest {
            arrival,
            node,
            client_retries_left,
            attempts,
            excluded: Vec::new(),
            executor: 0,
            token: None,
            first_event_ms: None,
            last_event_ms: 0.0,
            stalled: false,
            finished: false,
            is_batch,
        }
    }
}

/// The description of an executor, whose `instance_id` depends on the seed.
fn descriptor(seed: u64, number: usize, slots: usize, state: ExecutorState) -> ExecutorDescriptor<'static> {
    let instance_id: &'static str = Box::leak(format!("i-{seed:x}-{number}").into_boxed_str());
    ExecutorDescriptor {
        instance_id,
        service: "katalogizator",
        address: ([10, 0, 0, number as u8], 8080).into(),
        zone: ZoneKey(number as u64 % 4),
        slots: slots as u32,
        state,
        models: &[ModelKey(1)],
    }
}
