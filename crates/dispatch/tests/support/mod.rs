//! One tiny fake host that writes down what it is asked, and a scenario that plays against it.

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
    Allocate(u64, usize, Duration),
    Cancel(u64, usize),
    Reject(u64),
    Fail(u64),
    SetTimer(Duration, u64),
    Probe(usize),
    WatchExecutors,
}

/// A word, and the one node that it goes to or all.
pub type SentMessage = (Option<u64>, Vec<u8>);

/// What was said and told, and whether there is no part of a budget for retries.
#[derive(Clone, Default)]
pub struct RecordingHost(pub Rc<RefCell<Vec<Action>>>, pub Rc<RefCell<Vec<SentMessage>>>, pub Rc<Cell<bool>>);

impl Host for RecordingHost {
    fn allocate(&mut self, request: RequestId, executor: ExecutorId, time_out: Duration) {
        self.0.borrow_mut().push(Action::Allocate(request.0, executor.0, time_out));
    }
    fn may_retry(&mut self, _: RequestId) -> bool {
        !self.2.get()
    }
    fn cancel(&mut self, attempt: AttemptId) {
        self.0.borrow_mut().push(Action::Cancel(attempt.request.0, attempt.number));
    }
    fn reject(&mut self, request: RequestId, _come_back: Option<Duration>) {
        self.0.borrow_mut().push(Action::Reject(request.0));
    }
    fn fail(&mut self, request: RequestId) {
        self.0.borrow_mut().push(Action::Fail(request.0));
    }
    fn set_timer(&mut self, after: Duration, alarm: u64) {
        self.0.borrow_mut().push(Action::SetTimer(after, alarm));
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
    grace: Duration::from_nanos(0),
    max_retry_after: None,
};
/// A size that stands for no hint at all: the unit joins no sample, and one lane stays.
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
        share: 0.2,
        warm_up: Duration::from_millis(20_000),
        fall_factor: 4.0,
        fall_window: Duration::from_millis(1000),
        start_time_error: Duration::from_nanos(0),
        from: Instant(0),
    };
    Dispatcher::new(host, 7, node, nodes, classes())
        .with_attempt_policy(policy)
        .with_slow_start(slow_start)
        .with_signals(ExecutorSignals {
            must_watch_executors: true,
            may_probe: probes,
            reports_starts: starts,
            progress: Some(Duration::from_millis(1000)),
        })
}

/// A node some way into its life, with a clock of its own.
pub struct Scenario {
    pub node: Dispatcher<RecordingHost>,
    pub host: RecordingHost,
    pub now: Instant,
}

impl Scenario {
    pub fn with(executors: usize, policy: AttemptPolicy) -> Scenario {
        Scenario::at(0, executors, policy, false)
    }

    /// At one of the two nodes, with probes or without: with them it asks before it sends.
    pub fn at(node: u64, executors: usize, policy: AttemptPolicy, probes: bool) -> Scenario {
        Scenario::new((node, 2), executors, policy, probes, true)
    }

    /// One of two nodes that may send each other words.
    pub fn with_load_sharing(node: u64, executors: usize) -> Scenario {
        let mut scenario = Scenario::at(node, executors, POLICY, false);
        scenario.node =
            dispatcher(scenario.host.clone(), (node, 2), POLICY, false, true).with_load_sharing(true);
        scenario.node.start(scenario.now);
        scenario.list(executors);
        scenario
    }

    /// What was said to other nodes since the last look.
    pub fn sent_messages(&self) -> Vec<SentMessage> {
        self.host.1.take()
    }

    /// Where starts are told, or not.
    pub fn told(executors: usize, policy: AttemptPolicy, starts: bool) -> Scenario {
        Scenario::new((0, 2), executors, policy, false, starts)
    }

    /// All nodes of a fleet, each with what it says; none hears of the others.
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

    /// A whole list of so many.
    pub fn list(&mut self, executors: usize) {
        let names: Vec<String> = (0..executors).map(|i| format!("executor-{i}")).collect();
        let entries: Vec<ListedExecutor> =
            names.iter().enumerate().map(|(i, name)| listing(i, name)).collect();
        self.node.update_executors(self.now, ListUpdate::Complete, &entries);
        self.host.0.borrow_mut().clear();
    }

    /// One that has just started joins the list.
    pub fn list_warming(&mut self, index: usize) {
        let slow_start = ListedExecutor { started: Some(self.now), ..listing(index, "cold") };
        self.node.update_executors(self.now, ListUpdate::Changes, &[slow_start]);
    }

    /// So many units of one size run one after the other, for so many milliseconds each.
    pub fn run_requests(&mut self, requests: u64, size_ms: u64, run_ms: u64) {
        for request in 0..requests {
            self.arrive(request, NON_IDEMPOTENT, size_ms);
            let executor = self.sent_to();
            self.start_of(request, 0, executor);
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

    pub fn arrive_with(&mut self, request: u64, class: usize, size_ms: u64, ms: u64) {
        let hint = Some(Duration::from_millis(size_ms));
        self.arrive_as(request, Arrival { class, hint, ..self.arrival(ms) });
    }

    /// A plain arrival whose the deadline ends in so many milliseconds, to be changed where a scenario needs it.
    pub fn arrival(&self, ms: u64) -> Arrival {
        let (deadline, hint) = (self.now + Duration::from_millis(ms), Some(Duration::from_millis(100)));
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

    pub fn end(&mut self, request: u64, number: usize, executor: usize, ending: AttemptOutcome) {
        self.end_with(request, number, executor, ending, None);
    }

    pub fn end_with(
        &mut self,
        request: u64,
        number: usize,
        executor: usize,
        ending: AttemptOutcome,
        message: Option<LoadReport>,
    ) {
        let id = AttemptId { request: RequestId(request), number };
        let finished = ending == AttemptOutcome::Served;
        self.node.attempt_ended(self.now, id, ExecutorId(executor), ending, finished, message);
    }

    pub fn start_of(&mut self, request: u64, number: usize, executor: usize) {
        self.node.attempt_progressed(
            self.now,
            AttemptId { request: RequestId(request), number },
            ExecutorId(executor),
        );
    }

    /// What was said since the last look, without the alarms.
    pub fn actions(&mut self) -> Vec<Action> {
        let mut host = self.host.0.take();
        host.retain(|s| !matches!(s, Action::SetTimer(..)));
        host
    }

    /// The executor that the one thing said was an attempt to.
    pub fn sent_to(&mut self) -> usize {
        match self.actions()[..] {
            [Action::Allocate(_, executor, _)] => executor,
            ref other => panic!("expected one allocation, heard {other:?}"),
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
