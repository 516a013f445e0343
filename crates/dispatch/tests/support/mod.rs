//! A host that records the actions of a dispatcher, and scenarios that drive a dispatcher with it.

use grebeusher_dispatch::decide::Dispatcher;
use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_dispatch::{
    Arrival, AttemptOutcome, AttemptPolicy, DeduplicationScope, Effect, ExecutorSignals, ExecutorStatus,
    ListUpdate, ListedExecutor, LoadReport, RequestClass, SlowStart,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    Send(u64, usize, Duration),
    Cancel(u64, usize),
    Reject(u64),
    Fail(u64),
    SetTimer(Duration, u64),
    Probe(usize),
    WatchExecutors,
}

/// The recipient of a load message (`None` for all other nodes) and its bytes.
pub type SentMessage = (Option<u64>, Vec<u8>);

/// A host that records all actions; its clones share the records. The parts are the actions, the sent load messages,
/// and whether the fleet's retry budget is used up.
#[derive(Clone, Default)]
pub struct RecordingHost(pub Rc<RefCell<Vec<Action>>>, pub Rc<RefCell<Vec<SentMessage>>>, pub Rc<Cell<bool>>);

impl Host for RecordingHost {
    fn send_attempt(&mut self, request: RequestId, executor: ExecutorId, time_out: Duration) {
        self.0.borrow_mut().push(Action::Send(request.0, executor.0, time_out));
    }
    fn may_retry(&mut self, _: RequestId) -> bool {
        !self.2.get()
    }
    fn cancel(&mut self, attempt: AttemptId) {
        self.0.borrow_mut().push(Action::Cancel(attempt.request.0, attempt.number));
    }
    fn reject(&mut self, request: RequestId, _retry_after: Option<Duration>) {
        self.0.borrow_mut().push(Action::Reject(request.0));
    }
    fn fail(&mut self, request: RequestId) {
        self.0.borrow_mut().push(Action::Fail(request.0));
    }
    fn set_timer(&mut self, after: Duration, timer: u64) {
        self.0.borrow_mut().push(Action::SetTimer(after, timer));
    }
    fn probe(&mut self, executor: ExecutorId) {
        self.0.borrow_mut().push(Action::Probe(executor.0));
    }
    fn send_load(&mut self, node: Option<u64>, message: &[u8]) {
        self.1.borrow_mut().push((node, message.to_vec()));
    }
    fn watch_executors(&mut self) {
        self.0.borrow_mut().push(Action::WatchExecutors);
    }
}

pub const POLICY: AttemptPolicy = AttemptPolicy {
    max_attempts: 4,
    hedging: true,
    cancellation: true,
    cancel_dequeues: false,
    deadline_error: Duration::from_nanos(0),
    retry_budget: None,
    drain_grace: Duration::from_nanos(0),
    max_retry_after: None,
};
/// A size in milliseconds that means no hint: the request is not sampled, so that there is still one lane.
pub const UNHINTED: u64 = 0;
pub const IDEMPOTENT: usize = 0;
pub const NON_IDEMPOTENT: usize = 1;
pub const IN_ZONE: usize = 2;
pub const ANYWHERE: usize = 3;

pub fn classes() -> Vec<RequestClass> {
    let deduplication_window = Duration::from_millis(3000);
    let effects = [
        Effect::Idempotent,
        Effect::NonIdempotent,
        Effect::Keyed { scope: DeduplicationScope::Zone, deduplication_window },
        Effect::Keyed { scope: DeduplicationScope::All, deduplication_window },
    ];
    let class = |effect| RequestClass {
        effect,
        latency_objective: Duration::from_millis(500),
        stretch: 2.0,
        deadline: Duration::from_millis(10_000),
        value: 1.0,
        kind: None,
    };
    effects.into_iter().map(class).collect()
}

pub fn dispatcher(
    host: RecordingHost,
    (node, nodes): (u64, u64),
    policy: AttemptPolicy,
    probes: bool,
    starts: bool,
) -> Dispatcher<RecordingHost> {
    let slow_start = SlowStart {
        initial_share: 0.2,
        warm_up: Duration::from_millis(20_000),
        overload_factor: 4.0,
        window: Duration::from_millis(1000),
        start_time_error: Duration::from_nanos(0),
        not_before: Instant(0),
    };
    Dispatcher::new(host, 7, node, nodes, classes())
        .with_attempt_policy(policy)
        .with_slow_start(slow_start)
        .with_signals(ExecutorSignals {
            must_watch_executors: true,
            may_probe: probes,
            reports_starts: starts,
            progress_interval: Some(Duration::from_millis(1000)),
        })
}

/// A dispatcher with a recording host and a clock of its own.
pub struct Scenario {
    pub node: Dispatcher<RecordingHost>,
    pub host: RecordingHost,
    pub now: Instant,
}

impl Scenario {
    pub fn with(executors: usize, policy: AttemptPolicy) -> Scenario {
        Scenario::at(0, executors, policy, false)
    }

    /// One of two nodes, with or without probes.
    pub fn at(node: u64, executors: usize, policy: AttemptPolicy, probes: bool) -> Scenario {
        Scenario::new((node, 2), executors, policy, probes, true)
    }

    /// One of two nodes with load sharing.
    pub fn with_load_sharing(node: u64, executors: usize) -> Scenario {
        let mut scenario = Scenario::at(node, executors, POLICY, false);
        scenario.node =
            dispatcher(scenario.host.clone(), (node, 2), POLICY, false, true).with_load_sharing(true);
        scenario.node.start(scenario.now);
        scenario.list(executors);
        scenario
    }

    /// Returns the load messages that were sent since the last call.
    pub fn sent_messages(&self) -> Vec<SentMessage> {
        self.host.1.take()
    }

    /// A node whose executors report starts or not.
    pub fn with_starts(executors: usize, policy: AttemptPolicy, starts: bool) -> Scenario {
        Scenario::new((0, 2), executors, policy, false, starts)
    }

    /// All nodes of a fleet, each with its own host; they exchange no messages.
    pub fn fleet(nodes: u64, executors: usize) -> Vec<Scenario> {
        (0..nodes).map(|node| Scenario::new((node, nodes), executors, POLICY, false, true)).collect()
    }

    fn new(
        node: (u64, u64),
        executors: usize,
        policy: AttemptPolicy,
        probes: bool,
        starts: bool,
    ) -> Scenario {
        let host = RecordingHost::default();
        let now = Instant(1_000_000_000_000);
        let mut scenario =
            Scenario { node: dispatcher(host.clone(), node, policy, probes, starts), host, now };
        scenario.node.start(now);
        scenario.list(executors);
        scenario
    }

    /// Delivers a complete list of so many executors, and drops the recorded actions.
    pub fn list(&mut self, executors: usize) {
        let names: Vec<String> = (0..executors).map(|i| format!("executor-{i}")).collect();
        let entries: Vec<ListedExecutor> =
            names.iter().enumerate().map(|(i, name)| listing(i, name)).collect();
        self.node.update_executors(self.now, ListUpdate::Complete, &entries);
        self.host.0.borrow_mut().clear();
    }

    /// Adds an executor to the list that has just started.
    pub fn list_cold(&mut self, index: usize) {
        let cold = ListedExecutor { started: Some(self.now), ..listing(index, "cold") };
        self.node.update_executors(self.now, ListUpdate::Changes, &[cold]);
    }

    /// Runs so many requests of one size one after the other, each for `run_ms` milliseconds.
    pub fn run_requests(&mut self, requests: u64, size_ms: u64, run_ms: u64) {
        for request in 0..requests {
            self.arrive(request, NON_IDEMPOTENT, size_ms);
            let executor = self.sent_to();
            self.report_start(request, 0, executor);
            self.pass(run_ms);
            self.end(request, 0, executor, AttemptOutcome::Served);
        }
    }

    pub fn of(executors: usize) -> Scenario {
        Scenario::with(executors, POLICY)
    }

    pub fn pass(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
    }

    pub fn arrive(&mut self, request: u64, class: usize, size_ms: u64) {
        self.arrive_with(request, class, size_ms, 10_000);
    }

    pub fn arrive_with(&mut self, request: u64, class: usize, size_ms: u64, deadline_ms: u64) {
        let hint = Some(Duration::from_millis(size_ms));
        self.arrive_as(request, Arrival { class, hint, ..self.arrival(deadline_ms) });
    }

    /// An arrival with usual values and a deadline in so many milliseconds.
    pub fn arrival(&self, deadline_ms: u64) -> Arrival {
        let (deadline, hint) =
            (self.now + Duration::from_millis(deadline_ms), Some(Duration::from_millis(100)));
        Arrival {
            class: NON_IDEMPOTENT,
            customer: 0,
            deadline,
            repeat: false,
            hint,
            slots: 1.0,
            over_budget: false,
        }
    }

    pub fn arrive_as(&mut self, request: u64, arrival: Arrival) {
        self.node.request_arrived(self.now, RequestId(request), &arrival);
    }

    pub fn end(&mut self, request: u64, number: usize, executor: usize, outcome: AttemptOutcome) {
        self.end_with(request, number, executor, outcome, None);
    }

    pub fn end_with(
        &mut self,
        request: u64,
        number: usize,
        executor: usize,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let id = AttemptId { request: RequestId(request), number };
        let finished = outcome == AttemptOutcome::Served;
        self.node.attempt_ended(self.now, id, ExecutorId(executor), outcome, finished, report);
    }

    pub fn report_start(&mut self, request: u64, number: usize, executor: usize) {
        self.node.attempt_progressed(
            self.now,
            AttemptId { request: RequestId(request), number },
            ExecutorId(executor),
        );
    }

    /// Returns the actions since the last call, except timers.
    pub fn actions(&mut self) -> Vec<Action> {
        let mut actions = self.host.0.take();
        actions.retain(|action| !matches!(action, Action::SetTimer(..)));
        actions
    }

    /// The executor of the attempt that was the only action since the last call.
    pub fn sent_to(&mut self) -> usize {
        match self.actions()[..] {
            [Action::Send(_, executor, _)] => executor,
            ref other => panic!("expected one attempt, found {other:?}"),
        }
    }
}

pub fn listing(index: usize, name: &str) -> ListedExecutor<'_> {
    ListedExecutor {
        executor: ExecutorId(index),
        name,
        status: ExecutorStatus::Ready,
        started: None,
        kind: 0,
        zone: index % 2,
        cell: 0,
        weight: 1.0,
        reports_own_status: false,
    }
}
