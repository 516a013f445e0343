//! Connects the dispatcher with the network components. The components report each event by one method of the
//! coordinator; the coordinator passes it to the dispatcher, whose decisions take effect at once through the
//! dispatcher's [`Host`]. The coordinator itself decides nothing.

use crate::interfaces::{
    CallerId, ClientResponder, ExecutorListSource, ExecutorTransport, FaktoryFrontend, PeerMessenger,
    SiblingProcesses,
};
use crate::state::budget_shares::BudgetUse;
use crate::state::clock::Clock;
use crate::state::counters::Counters;
use crate::state::executor_directory::ExecutorDirectory;
use crate::state::executor_list::ExecutorListUpdate;
use crate::state::job_log::{JobLog, JobStatus, from_unix_ms, unix_ms};
use crate::state::requests::{OpenRequests, RequestContent, RequestIds};
use crate::wire::call_backs::{Callback, State};
use crate::wire::load::Reports;
use grebeusher_dispatch::decide::Dispatcher;
use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId, fixed_hash};
use grebeusher_dispatch::learned::{LearnedKind, LearnedState};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{Arrival, AttemptOutcome, ExecutorStatus, ListUpdate, ListedExecutor, LoadReport};
use grebeusher_faktory::reservations;
use grebeusher_job_log::book::{Due, Job};
use grebeusher_maintenance::{ListView, MachineView, Plan, ZoneView};
use grebeusher_node_config::DeploymentSettings;
use grebeusher_transport::alarms::Alarms;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// The delay after which a failed cancellation is sent again, as long as its attempt is open: a little over the time in
/// which a connection is established, so that an executor that has restarted is reached soon.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The state that the coordinator shares with its dispatcher's host.
#[derive(Default)]
struct CoordinatorState {
    requests: OpenRequests,
    executors: ExecutorDirectory,
    /// The dispatcher's timers.
    timers: Alarms<u64>,
    /// When each attempt times out.
    attempt_timeouts: Alarms<AttemptId>,
    /// Attempts that were not sent, as they could not be recorded in the job log or their client had disconnected.
    unsent: Vec<AttemptId>,
    /// Requests whose clients were found to have disconnected.
    abandoned: Vec<RequestId>,
    /// Cancellations that failed and are to be sent again.
    cancel_retries: Alarms<AttemptId>,
    /// Requests that wait for a further attempt, as this node's share of the retry budget is used up.
    awaiting_retry_budget: BTreeSet<RequestId>,
}

/// Carries out the dispatcher's decisions.
#[derive(Clone)]
struct DispatchHost {
    clock: Clock,
    counters: Rc<Counters>,
    state: Rc<RefCell<CoordinatorState>>,
    clients: Rc<dyn ClientResponder>,
    executors: Rc<dyn ExecutorTransport>,
    discovery: Rc<dyn ExecutorListSource>,
    faktory: Option<Rc<dyn FaktoryFrontend>>,
    job_log: Option<Rc<JobLog>>,
    peers: Option<Rc<dyn PeerMessenger>>,
    class_names: Rc<[String]>,
    /// Executors support the cancellation of accepted attempts.
    can_cancel: bool,
    /// An attempt that may have been accepted has to be cancelled before another is sent, as a request may not have two
    /// attempts at once.
    cancels_before_retry: bool,
}

impl DispatchHost {
    /// Sends the final response to a request; does nothing if it already has one.
    fn respond(&self, request: RequestId, status: u16, retry_after: Option<Duration>, body: &[u8]) {
        let durable = self.durable(request);
        let is_first_response = {
            let mut state = self.state.borrow_mut();
            state.awaiting_retry_budget.remove(&request);
            let is_first_response = state.requests.mark_answered(request);
            // Guards against requests that are answered before any attempt and stay in memory forever.
            state.requests.remove_if_finished(request);
            is_first_response
        };
        if is_first_response {
            if let Some((job_log, content)) = durable {
                return self.record_answer(job_log, &content.call_id, &content.class, status, body);
            }
            let was_pushed = self.faktory.as_ref().is_some_and(|faktory| faktory.respond(request, status));
            if was_pushed {
                return;
            }
            self.clients.respond(request, status, retry_after, body);
        }
    }

    /// The job log and the content of the request, if the request is durable.
    fn durable(&self, request: RequestId) -> Option<(&JobLog, Rc<RequestContent>)> {
        let job_log = self.job_log.as_deref()?;
        let content = self.state.borrow().requests.content(request)?;
        content.durable.then_some((job_log, content))
    }

    /// Records the final answer to a durable job in the log, where its client asks for it.
    fn record_answer(&self, job_log: &JobLog, id: &str, class: &str, status: u16, result: &[u8]) {
        job_log.record_answer(id, status, result);
        if let Some(class) = self.class_names.iter().position(|name| name == class) {
            self.counters.responded(class, status);
        }
    }

    fn cancel_attempt(&self, id: AttemptId) {
        let state = self.state.borrow();
        let Some((executor, accepted, content)) = state.requests.open_attempt(id) else { return };
        if let Some(faktory) = self.faktory.as_ref().filter(|_| state.executors.worker(executor).is_some()) {
            return faktory.cancel_attempt(id);
        }
        // An attempt that is not accepted yet is cancelled by closing its connection, which every executor supports.
        if self.can_cancel || !accepted {
            self.executors.cancel_attempt(
                id,
                executor,
                state.executors.address(executor),
                &content,
                accepted,
            );
        }
    }
}

impl Host for DispatchHost {
    fn send_attempt(&mut self, request: RequestId, executor: ExecutorId, timeout: Duration) {
        let mut state = self.state.borrow_mut();
        let address = state.executors.address(executor);
        let Some((id, content)) = state.requests.add_attempt(request, executor) else { return };
        // The last check before the first byte is sent. Guards against work for a client that disconnected while the event
        // loop handled a timer, a response or the end of another connection.
        if !self.clients.is_waiting(request) {
            state.abandoned.push(request);
            return state.unsent.push(id);
        }
        let name = state.executors.name(executor);
        debug!(
            unit = request.0,
            call = &*content.call_id,
            number = id.number,
            executor = name,
            "sending request {} to {name}",
            request.0
        );
        let alarm = state.attempt_timeouts.set(self.clock.now() + timeout, id);
        state.requests.set_timeout(id, alarm);
        if let Some(job_log) = self.job_log.as_ref().filter(|_| content.durable) {
            let name = state.executors.name(executor);
            if job_log.record_attempt(&content.call_id, id.number, name, content.non_idempotent).is_err() {
                // An attempt that is not on disk must not be sent: after a crash it would be sent a second time.
                return state.unsent.push(id);
            }
        }
        match (&self.faktory, state.executors.worker(executor)) {
            (Some(faktory), Some(worker)) => {
                self.counters.allocations.increment();
                if !faktory.assign(worker, id, &content, timeout) {
                    faktory.assignment_failed(id);
                }
            }
            _ => self.executors.send_attempt(id, executor, address, &content, timeout),
        }
    }

    fn may_retry(&mut self, request: RequestId) -> bool {
        let Some(peers) = &self.peers else { return true };
        let mut state = self.state.borrow_mut();
        let Some(content) = state.requests.content(request) else { return true };
        // A request that was refused before and asks again must not count as another one.
        let allowed = match state.awaiting_retry_budget.contains(&request) {
            true => peers.try_spend_after_wait(BudgetUse::FurtherAttempt, content.scope),
            false => peers.try_spend(BudgetUse::FurtherAttempt, content.scope),
        };
        if allowed {
            state.awaiting_retry_budget.remove(&request)
        } else {
            state.awaiting_retry_budget.insert(request)
        };
        allowed
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.cancel_attempt(attempt);
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        self.respond(request, 503, retry_after, b"");
    }

    fn fail(&mut self, request: RequestId) {
        self.respond(request, 500, None, b"");
    }

    fn set_timer(&mut self, after: Duration, timer: u64) {
        self.state.borrow_mut().timers.set(self.clock.now() + after, timer);
    }

    fn probe(&mut self, executor: ExecutorId) {
        let address = self.state.borrow().executors.address(executor);
        self.executors.probe(executor, address);
    }

    /// Sends nothing where no peers are configured: the client protocol has no messages between nodes.
    fn send_load(&mut self, node: Option<u64>, message: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.send_load_message(node, message);
        }
    }

    fn watch_executors(&mut self) {
        self.discovery.watch();
    }
}

/// The components that a node has only if they are configured.
pub struct OptionalComponents {
    pub siblings: Option<Rc<dyn SiblingProcesses>>,
    pub faktory: Option<Rc<dyn FaktoryFrontend>>,
    pub job_log: Option<Rc<JobLog>>,
    pub peers: Option<Rc<dyn PeerMessenger>>,
}

/// The latest entry of an executor in the list, and what peers have observed of it since.
struct KnownExecutor {
    executor: ExecutorId,
    name: String,
    status: ExecutorStatus,
    /// The latest start of its process, from the list or observed by a peer.
    started: Option<Instant>,
    /// The start of its process by the list alone.
    listed_start: Option<Instant>,
    /// The indices of its kind and zone among the coordinator's names.
    kind: usize,
    zone: usize,
    cell: usize,
    weight: f64,
}

impl KnownExecutor {
    fn as_listed(&self) -> ListedExecutor<'_> {
        let &KnownExecutor { executor, ref name, status, started, kind, zone, cell, weight, .. } = self;
        ListedExecutor {
            executor,
            name,
            status,
            started,
            kind,
            zone,
            cell,
            weight,
            reports_own_status: false,
        }
    }
}

/// The executors that are closed for maintenance: nothing may be sent to them. The dispatcher is told that they are
/// draining, even if the list has them as ready.
#[derive(PartialEq)]
pub enum ClosedExecutors {
    /// This node does not know yet which executors are closed, so it sends to none.
    All,
    /// The hashes of the names of the closed executors.
    Only(BTreeSet<u64>),
}

impl ClosedExecutors {
    /// The status that the dispatcher is told of the executor with this hash of its name.
    fn effective_status(&self, name_hash: u64, listed: ExecutorStatus) -> ExecutorStatus {
        let is_closed = match self {
            ClosedExecutors::All => true,
            ClosedExecutors::Only(closed) => closed.contains(&name_hash),
        };
        if is_closed && listed == ExecutorStatus::Ready { ExecutorStatus::Draining } else { listed }
    }

    /// The entry of an executor with its effective status, for the dispatcher.
    fn as_listed<'a>(&self, name_hash: u64, known: &'a KnownExecutor) -> ListedExecutor<'a> {
        ListedExecutor { status: self.effective_status(name_hash, known.status), ..known.as_listed() }
    }
}

/// What this node has learned about requests and kinds of executors, as it is sent to another node. Kinds go by their
/// names, as each node numbers them on its own.
#[derive(Serialize, Deserialize)]
pub struct LearnedEstimates {
    /// The entries of [`LearnedState::sizes`], in seconds.
    sizes: Vec<(f32, f32)>,
    /// The name of each kind, and the fields of its [`LearnedKind`] in their order.
    kinds: Vec<(String, (f32, f32, f32))>,
}

pub struct Coordinator {
    host: DispatchHost,
    counters: Rc<Counters>,
    dispatcher: Dispatcher<DispatchHost>,
    reports: Reports,
    /// The names of zones and kinds, by their indices; names from the list are appended to those of the settings.
    zones: Vec<String>,
    kinds: Vec<String>,
    has_listed_executors: bool,
    /// The executors of the list, by the hash of their names; empty where no peers are configured.
    known: BTreeMap<u64, KnownExecutor>,
    /// Executors whose process is down, as observed by this node or a peer.
    down: BTreeSet<ExecutorId>,
    /// When the dispatcher was last told that executors which are down have not started yet.
    slow_start_held_at: Instant,
    /// Requests that wait for a share of a budget, each with the end of its wait, in the order of arrival.
    awaiting_budget: VecDeque<(Instant, RequestId, RequestContent, Arrival)>,
    closed: ClosedExecutors,
    /// Attempts that have ended for this node but may still be running, by executor and call ID, with the time of their
    /// end. `None` until maintenance first asks for them.
    possibly_running: Option<BTreeMap<(ExecutorId, Rc<str>), Instant>>,
    own_zone: usize,
    /// The customer index of requests that name no known customer.
    unlisted_customer: usize,
    request_ids: RequestIds,
    siblings: Option<Rc<dyn SiblingProcesses>>,
}

impl Coordinator {
    pub fn new(
        seed: u64,
        settings: &DeploymentSettings,
        request_ids: &RequestIds,
        (clients, executors, discovery): (
            Rc<dyn ClientResponder>,
            Rc<dyn ExecutorTransport>,
            Rc<dyn ExecutorListSource>,
        ),
        OptionalComponents { siblings, faktory, job_log, peers }: OptionalComponents,
        (clock, counters): (Clock, &Rc<Counters>),
    ) -> Coordinator {
        let host = DispatchHost {
            clock,
            counters: counters.clone(),
            state: Rc::default(),
            clients,
            executors,
            discovery,
            faktory,
            job_log,
            peers: peers.clone(),
            class_names: settings.tariff_names.clone().into(),
            can_cancel: settings.allows_cancellation(),
            cancels_before_retry: settings.allows_cancellation() && !settings.allows_hedging(),
        };
        Coordinator {
            counters: counters.clone(),
            // Regardless of the settings: over the network the list has to be watched, and load messages need peers.
            dispatcher: settings.dispatcher(host.clone(), seed, true, peers.is_some()),
            known: BTreeMap::new(),
            down: BTreeSet::new(),
            slow_start_held_at: Instant(0),
            awaiting_budget: VecDeque::new(),
            closed: ClosedExecutors::Only(BTreeSet::new()),
            possibly_running: None,
            host,
            reports: Reports::of(settings),
            zones: settings.zones.clone(),
            kinds: settings.kinds.clone(),
            has_listed_executors: false,
            own_zone: settings.zone(),
            unlisted_customer: settings.customer(None),
            request_ids: request_ids.clone(),
            siblings,
        }
    }

    pub fn start(&mut self) {
        self.dispatcher.start(self.host.clock.now());
    }

    /// The parser of load reports.
    pub fn reports(&self) -> &Reports {
        &self.reports
    }

    /// Whether the list has ever named an executor.
    pub fn has_listed_executors(&self) -> bool {
        self.has_listed_executors
    }

    /// How many executors are listed, and how many of these are currently out of rotation.
    pub fn executor_counts(&self) -> (usize, usize) {
        self.dispatcher.executor_counts(self.host.clock.now())
    }

    /// Sets which executors are closed for maintenance, and tells the dispatcher of each whose status changes by it.
    pub fn set_closed_executors(&mut self, closed: ClosedExecutors) {
        if closed == self.closed {
            return;
        }
        let previous = std::mem::replace(&mut self.closed, closed);
        let changed = self.known.iter().filter(|(hash, known)| {
            previous.effective_status(**hash, known.status)
                != self.closed.effective_status(**hash, known.status)
        });
        let updates: Vec<ListedExecutor> =
            changed.map(|(hash, known)| self.closed.as_listed(*hash, known)).collect();
        if !updates.is_empty() {
            self.dispatcher.update_executors(self.host.clock.now(), ListUpdate::Changes, &updates);
        }
    }

    /// How many attempts are open or may still be running at each executor, by the hash of its name. An attempt
    /// that may still be running counts until `longest`, the longest time that a request may run, has passed since it
    /// ended here.
    pub fn outstanding_by_executor(&mut self, longest: Duration) -> BTreeMap<u64, u16> {
        // 10 minutes: few requests run longer than that after their attempt has ended here.
        const MIN_RETENTION: Duration = Duration::from_millis(600_000);
        let now = self.host.clock.now();
        // The attempts are recorded from the first call on. Guards against a map that grows where no maintenance ever asks
        // for it.
        let possibly_running = self.possibly_running.get_or_insert_default();
        // The next plan may allow longer requests than all plans before it. Guards against losing attempts that ended just
        // before it began.
        possibly_running.retain(|_, ended| now.since(*ended) < longest.max(MIN_RETENTION));
        let mut counts = self.host.state.borrow().requests.open_attempts_by_executor();
        let counted = possibly_running.iter().filter(|(_, ended)| now.since(**ended) < longest);
        counted.for_each(|((executor, _), _)| *counts.entry(*executor).or_default() += 1);
        let known = self.known.iter();
        known.filter_map(|(hash, known)| Some((*hash, *counts.get(&known.executor)?))).collect()
    }

    /// Whether a request waits for a share of a budget.
    pub fn has_requests_awaiting_budget(&self) -> bool {
        !self.awaiting_budget.is_empty()
    }

    /// What maintenance needs to know of the list: the executors of each zone, and the state of the `watched` ones, which
    /// are given by the hashes of their names.
    pub fn maintenance_view(&self, watched: impl Iterator<Item = u64>) -> ListView {
        let mut zones: BTreeMap<usize, ZoneView> = BTreeMap::new();
        for known in self.known.values() {
            let zone = zones.entry(known.zone).or_insert_with(|| ZoneView {
                zone: self.zones.get(known.zone).cloned().unwrap_or_default(),
                ..ZoneView::default()
            });
            zone.listed += 1;
            zone.ready += u32::from(known.status == ExecutorStatus::Ready);
        }
        let seen = |machine: u64| {
            let known = self.known.get(&machine)?;
            let started_ms = known.listed_start.map_or(0, |at| at.0 / 1_000_000);
            Some(MachineView { machine, ready: known.status == ExecutorStatus::Ready, started_ms })
        };
        ListView { zones: zones.into_values().collect(), machines: watched.filter_map(seen).collect() }
    }

    /// Replaces the zones and kinds that a plan names by the names of their executors, and fills in the zone of each
    /// executor. The error names the entry of the plan that is not listed.
    pub fn resolve_plan(&self, plan: &mut Plan) -> Result<(), String> {
        let name_at = |names: &[String], index: usize| names.get(index).cloned().unwrap_or_default();
        for (key, names, known_names) in
            [("of_zones", &plan.of_zones, &self.zones), ("of_kinds", &plan.of_kinds, &self.kinds)]
        {
            if let Some(at) = names.iter().position(|name| !known_names.contains(name)) {
                let (found, expected) = (&names[at], known_names.join(", "));
                return Err(format!("{key}[{at}]: expected one of {expected}, found {found:?}"));
            }
        }
        let mut selected: Vec<&KnownExecutor> = self
            .known
            .values()
            .filter(|known| {
                known.status != ExecutorStatus::Gone
                    && (plan.of_zones.contains(&name_at(&self.zones, known.zone))
                        || plan.of_kinds.contains(&name_at(&self.kinds, known.kind)))
            })
            .collect();
        selected.sort_by_key(|known| known.executor);
        for known in selected {
            if !plan.machines.contains(&known.name) {
                plan.machines.push(known.name.clone());
            }
        }
        (plan.of_zones, plan.of_kinds) = (Vec::new(), Vec::new());
        plan.zones.clear();
        for (at, name) in plan.machines.iter().enumerate() {
            let known = self.known.get(&fixed_hash(name));
            let known =
                known.ok_or_else(|| format!("machines[{at}]: expected a listed executor, found {name:?}"))?;
            plan.zones.push(name_at(&self.zones, known.zone));
        }
        plan.check()
    }

    /// Whether this process has an open request with this ID, or an unresolved job of an earlier process.
    pub fn has_open_request(&self, call_id: &str) -> bool {
        let is_unresolved = |job_log: &Rc<JobLog>| job_log.is_unresolved(call_id);
        self.host.state.borrow().requests.find(call_id).is_some()
            || self.host.job_log.as_ref().is_some_and(is_unresolved)
    }

    /// Whether an executor of this name was ever listed.
    pub fn knows_executor(&self, name: &str) -> bool {
        self.host.state.borrow().executors.find(name).is_some()
    }

    /// When to call [`Self::handle_timeouts`] next.
    pub fn next_timeout(&self) -> Option<Instant> {
        let state = self.host.state.borrow();
        if !state.unsent.is_empty() || !state.abandoned.is_empty() {
            return Some(Instant(0));
        }
        let job_timeout = self.host.job_log.as_ref().and_then(|job_log| job_log.next_timeout());
        let budget_wait_end = self.awaiting_budget.front().map(|(until, ..)| *until);
        let timeouts = [
            budget_wait_end,
            state.timers.next_at(),
            state.attempt_timeouts.next_at(),
            state.cancel_retries.next_at(),
            job_timeout,
        ];
        timeouts.into_iter().flatten().min()
    }

    pub fn handle_timeouts(&mut self) {
        let now = self.host.clock.now();
        self.hold_slow_start();
        while self.awaiting_budget.front().is_some_and(|(until, ..)| *until <= now) {
            let Some((_, request, content, arrival)) = self.awaiting_budget.pop_front() else { break };
            self.submit(request, content, &Arrival { over_budget: true, ..arrival });
        }
        let abandoned = std::mem::take(&mut self.host.state.borrow_mut().abandoned);
        abandoned.into_iter().for_each(|request| self.request_withdrawn(request));
        let unsent = std::mem::take(&mut self.host.state.borrow_mut().unsent);
        unsent.into_iter().for_each(|id| self.attempt_ended(id, AttemptOutcome::SendFailed, None));
        while let Some(job) = self.host.job_log.as_ref().and_then(|job_log| job_log.next_timed_out()) {
            self.resolve_without_result(&job.id, false);
        }
        // In these loops the borrow has to end before the dispatcher is called, which sets timers itself.
        while let Some(id) = { self.host.state.borrow_mut().attempt_timeouts.due(now) } {
            self.attempt_timed_out(id);
        }
        while let Some(timer) = { self.host.state.borrow_mut().timers.due(now) } {
            self.dispatcher.timer_fired(self.host.clock.now(), timer);
        }
        while let Some(id) = { self.host.state.borrow_mut().cancel_retries.due(now) } {
            self.host.cancel_attempt(id);
        }
    }

    /// A request has come from a client. It is dispatched once this node's shares of the budgets allow it, or rejected as
    /// over budget if they do not in time.
    pub fn request_arrived(&mut self, request: RequestId, content: RequestContent, arrival: &Arrival) {
        let spends = |peers: &Rc<dyn PeerMessenger>| peers.try_spend(BudgetUse::Request, content.scope);
        if self.host.peers.as_ref().is_some_and(|peers| !spends(peers)) {
            // The leader of the voters may still grant a share.
            let until = self.host.clock.now() + grebeusher_budgets::GRANT_WAIT;
            return self.awaiting_budget.push_back((until, request, content, *arrival));
        }
        self.submit(request, content, arrival);
    }

    /// Shares of budgets may have been granted: tries the requests that wait for one, in the order of arrival.
    pub fn budget_granted(&mut self) {
        let Some(peers) = self.host.peers.clone() else { return };
        for _ in 0..self.awaiting_budget.len() {
            let Some((until, request, content, arrival)) = self.awaiting_budget.pop_front() else { return };
            if peers.try_spend_after_wait(BudgetUse::Request, content.scope) {
                self.submit(request, content, &arrival);
            } else {
                self.awaiting_budget.push_back((until, request, content, arrival));
            }
        }
        if !self.host.state.borrow().awaiting_retry_budget.is_empty() {
            self.dispatcher.serve_queued(self.host.clock.now());
        }
    }

    /// Hands a request to the dispatcher.
    fn submit(&mut self, request: RequestId, content: RequestContent, arrival: &Arrival) {
        self.host.state.borrow_mut().requests.insert(request, content);
        self.dispatcher.request_arrived(self.host.clock.now(), request, arrival);
    }

    pub fn has_job_log(&self) -> bool {
        self.host.job_log.is_some()
    }

    /// Accepts a durable job and returns the HTTP status for its client. A job that a client submits again because it did
    /// not get the response is accepted once.
    pub fn accept_durable(&mut self, content: RequestContent, arrival: &Arrival) -> u16 {
        let Some(job_log) = self.host.job_log.clone() else { return 404 };
        match job_log.status(&content.call_id) {
            JobStatus::Open | JobStatus::Answered(_) => return 202,
            JobStatus::Unknown if self.has_open_request(&content.call_id) => return 409,
            JobStatus::Unknown => {}
        }
        let job = Job {
            id: content.call_id.to_string(),
            tariff: content.class.clone(),
            binding: content.non_idempotent,
            target: content.target.clone(),
            headers: content.headers.clone(),
            body: content.body.clone(),
            hint_us: arrival.hint.map(|hint| hint.nanos() / 1000),
            taken_ms: unix_ms(self.host.clock.now()),
            ends_ms: unix_ms(arrival.deadline),
        };
        self.counters.units.increment();
        if job_log.record_job(job).is_err() {
            self.counters.turned_back.increment(arrival.class);
            return 503;
        }
        self.request_arrived(self.request_ids.next_id(), content, arrival);
        202
    }

    /// The HTTP status of a durable job, and its result if it has one.
    pub fn durable_job_result(&self, id: &str) -> (u16, Vec<u8>) {
        match self.host.job_log.as_ref().map(|job_log| job_log.status(id)) {
            None | Some(JobStatus::Unknown) => (404, Vec::new()),
            Some(JobStatus::Open) => (202, Vec::new()),
            Some(JobStatus::Answered(answer)) => (answer.status, answer.result),
        }
    }

    pub fn open_durable_jobs(&self) -> usize {
        self.host.job_log.as_ref().map_or(0, |job_log| job_log.open_jobs())
    }

    /// Dispatches or answers the jobs that an earlier process left open.
    pub fn recover(&mut self) {
        let Some(job_log) = self.host.job_log.clone() else { return };
        for (job, action) in job_log.recover() {
            match action {
                Due::Anew => self.dispatch_again(job),
                Due::Forfeit => self.host.record_answer(&job_log, &job.id, &job.tariff, 500, b""),
                Due::TurnBack => self.host.record_answer(&job_log, &job.id, &job.tariff, 503, b""),
                Due::Settle => {}
            }
        }
    }

    /// Dispatches a job of an earlier process like a new request. The job has not run, or may run again.
    fn dispatch_again(&mut self, job: Job) {
        let Some(class) = self.host.class_names.iter().position(|name| *name == job.tariff) else {
            // The class is no longer configured, so no executor can run the job.
            let Some(job_log) = self.host.job_log.clone() else { return };
            return self.host.record_answer(&job_log, &job.id, &job.tariff, 503, b"");
        };
        let arrival = Arrival {
            class,
            customer: self.unlisted_customer,
            deadline: from_unix_ms(job.ends_ms),
            repeat: false,
            hint: job.hint_us.map(|us| Duration::from_nanos(us.saturating_mul(1000))),
            slots: 1.0,
            over_budget: false,
        };
        let Job { id, tariff: class, target, headers, body, binding: non_idempotent, .. } = job;
        let (call_id, scope) = (id.into(), (arrival.class, arrival.customer));
        let content = RequestContent {
            call_id,
            class,
            target,
            headers,
            body,
            non_idempotent,
            scope,
            durable: true,
            faktory_job: None,
        };
        self.request_arrived(self.request_ids.next_id(), content, &arrival);
    }

    /// Resolves a job of an earlier process that has timed out, failed, or was returned by its executor without being
    /// started (`never_ran`): dispatches it again if it may run again and its deadline has not passed.
    fn resolve_without_result(&mut self, id: &str, never_ran: bool) {
        let Some(job_log) = self.host.job_log.clone() else { return };
        let Some(job) = job_log.resolve(id, never_ran) else { return };
        let deadline_passed = from_unix_ms(job.ends_ms) <= self.host.clock.now();
        if job.binding && !never_ran {
            self.host.record_answer(&job_log, &job.id, &job.tariff, 500, b"");
        } else if deadline_passed {
            self.host.record_answer(&job_log, &job.id, &job.tariff, 503, b"");
        } else {
            self.dispatch_again(job);
        }
    }

    /// Handles a callback for an unresolved job of an earlier process.
    fn callback_of_unresolved_job(&mut self, job_log: &JobLog, callback: Callback) {
        match callback.state {
            State::Started | State::Running => job_log.progress_reported(&callback.id),
            State::Done { result } => {
                if let Some(job) = job_log.resolve(&callback.id, false) {
                    self.host.record_answer(job_log, &job.id, &job.tariff, 200, result.as_bytes());
                }
            }
            State::Failed | State::Lost => self.resolve_without_result(&callback.id, false),
            State::Returned => self.resolve_without_result(&callback.id, true),
            State::Other => {}
        }
    }

    /// The client has disconnected: nobody waits for a response to this request.
    pub fn request_withdrawn(&mut self, request: RequestId) {
        self.awaiting_budget.retain(|(_, waiting, ..)| *waiting != request);
        self.host.state.borrow_mut().awaiting_retry_budget.remove(&request);
        self.host.state.borrow_mut().requests.mark_answered(request);
        self.dispatcher.finish(request);
        self.host.state.borrow_mut().requests.remove_if_finished(request);
    }

    /// The executor has accepted the attempt.
    pub fn attempt_accepted(&mut self, id: AttemptId) {
        self.counters.accepted.increment();
        let executor = {
            let mut state = self.host.state.borrow_mut();
            state.requests.mark_accepted(id);
            // The executor matters only if it may be one of those taken to be down.
            let attempt = if self.down.is_empty() { None } else { state.requests.open_attempt(id) };
            attempt.map(|(executor, ..)| executor)
        };
        executor.into_iter().for_each(|executor| self.executor_responded(executor));
    }

    /// Handles a callback. It may come before the 202 of its attempt, more than once, or for a request that has ended or
    /// belonged to an earlier process, so it takes effect once or not at all.
    pub fn callback_received(&mut self, callback: Callback) {
        if let Some(job_log) = self.host.job_log.clone().filter(|job_log| job_log.is_unresolved(&callback.id))
        {
            return self.callback_of_unresolved_job(&job_log, callback);
        }
        let (request, executor) = {
            let state = self.host.state.borrow();
            (state.requests.find(&callback.id), state.executors.find(&callback.from))
        };
        // An executor that reports the end of an attempt no longer runs it, whether or not anybody waits for it.
        let has_ended =
            matches!(callback.state, State::Done { .. } | State::Failed | State::Returned | State::Lost);
        if let (Some(executor), Some(running)) = (executor.filter(|_| has_ended), &mut self.possibly_running)
        {
            running.remove(&(executor, callback.id.as_str().into()));
        }
        let found = request.zip(executor);
        let Some((request, executor)) = found else { return self.counters.call_backs_unknown.increment() };
        let attempt = self.host.state.borrow().requests.open_attempt_at(request, executor);
        let report = self.reports.object(&callback.load);
        match (attempt, callback.state) {
            (Some(id), State::Started | State::Running) => {
                // The executor has accepted the attempt, though its 202 may still be on the way: closing the connection
                // would no longer cancel it.
                self.host.state.borrow_mut().requests.mark_accepted(id);
                self.dispatcher.attempt_progressed(self.host.clock.now(), id, executor);
            }
            (Some(id), State::Done { result }) => {
                self.host.respond(request, 200, None, result.as_bytes());
                self.attempt_ended(id, AttemptOutcome::Served, report);
            }
            (Some(id), State::Failed) => self.attempt_ended(id, AttemptOutcome::Error, report),
            (Some(id), State::Returned) => self.attempt_ended(id, AttemptOutcome::Full, report),
            (Some(id), State::Lost) => self.attempt_ended(id, AttemptOutcome::Reset, report),
            // The attempt has ended here, by a broken connection for example, but the executor completed it: its result is
            // used as long as the request has no response.
            (None, State::Done { result }) if !self.host.state.borrow().requests.is_answered(request) => {
                self.counters.late_results.increment();
                self.host.respond(request, 200, None, result.as_bytes());
                self.request_withdrawn(request);
            }
            _ => self.counters.call_backs_unknown.increment(),
        }
    }

    /// Forwards a callback for a request that this process does not have to the other processes of this node; `false` if
    /// there are none.
    pub fn forward_callback(&self, caller: CallerId, body: &[u8]) -> bool {
        self.siblings.as_ref().is_some_and(|siblings| siblings.forward_callback(caller, body))
    }

    /// Answers a forwarded callback. `accepted` says whether another process has the request; `None` if no process
    /// answered: then the executor has to send the callback again, as one of them may still have it.
    pub fn callback_forwarded(&mut self, caller: CallerId, accepted: Option<bool>) {
        match accepted {
            Some(true) => self.counters.call_backs_passed_on.increment(),
            Some(false) => self.counters.call_backs_unknown.increment(),
            None => self.counters.call_backs_put_off.increment(),
        }
        self.host.clients.callback_forwarded(caller, if accepted.is_some() { 204 } else { 503 });
    }

    /// Handles a callback that another process of this node received; `false` if this process does not have its request.
    pub fn take_forwarded_callback(&mut self, body: &[u8]) -> bool {
        let callback = serde_json::from_slice::<Callback>(body)
            .ok()
            .filter(|callback| self.has_open_request(&callback.id));
        callback.map(|callback| self.callback_received(callback)).is_some()
    }

    /// Sets whether another process of this node sends to the executors in slow start.
    pub fn set_slow_start_elsewhere(&mut self, elsewhere: bool) {
        self.dispatcher.set_slow_start_elsewhere(self.host.clock.now(), elsewhere);
    }

    /// Whether an attempt that waited for its connection may still be sent.
    pub fn may_send(&mut self, id: AttemptId, executor: ExecutorId) -> bool {
        let is_waiting = self.host.clients.is_waiting(id.request);
        if !is_waiting {
            self.host.state.borrow_mut().abandoned.push(id.request);
        }
        is_waiting && self.dispatcher.may_send_now(self.host.clock.now(), id, executor)
    }

    /// An attempt has ended; ignored if it had already ended.
    pub fn attempt_ended(&mut self, id: AttemptId, outcome: AttemptOutcome, report: Option<LoadReport>) {
        let executor = {
            let mut state = self.host.state.borrow_mut();
            let Some((executor, alarm)) = state.requests.end_attempt(id) else { return };
            alarm.inspect(|&alarm| state.attempt_timeouts.unset(alarm));
            executor
        };
        match outcome {
            AttemptOutcome::Served | AttemptOutcome::NeverSent => {}
            AttemptOutcome::Error => self.counters.ended_error.increment(),
            AttemptOutcome::Full => self.counters.ended_full.increment(),
            AttemptOutcome::TimedOut => self.counters.ended_timed_out.increment(),
            AttemptOutcome::Refused => self.counters.ended_refused.increment(),
            AttemptOutcome::Reset => self.counters.ended_reset.increment(),
            AttemptOutcome::Cancelled => self.counters.ended_recalled.increment(),
            AttemptOutcome::SendFailed => self.counters.ended_cut_off.increment(),
            AttemptOutcome::InvalidRequest => self.counters.ended_unusable.increment(),
        }
        let has_run = matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Error);
        if let Some(running) =
            self.possibly_running.as_mut().filter(|_| !has_run && !outcome.proves_not_executed())
        {
            let content = self.host.state.borrow().requests.content(id.request);
            if let Some(content) = content {
                running.insert((executor, content.call_id.clone()), self.host.clock.now());
            }
        }
        if outcome != AttemptOutcome::Served {
            let state = self.host.state.borrow();
            let (request, executor) = (id.request.0, state.executors.name(executor));
            debug!(
                unit = request,
                executor,
                ending = ?outcome,
                "attempt of request {request} at {executor} ended: {outcome:?}"
            );
        }
        if outcome == AttemptOutcome::Served {
            self.executor_responded(executor);
        }
        let is_answered = self.host.state.borrow().requests.is_answered(id.request);
        if let Some((job_log, content)) = self.host.durable(id.request).filter(|_| !is_answered) {
            job_log.record_attempt_end(&content.call_id, id.number, outcome.proves_not_executed());
        }
        self.dispatcher.attempt_ended(self.host.clock.now(), id, executor, outcome, is_answered, report);
        self.host.state.borrow_mut().requests.remove_if_finished(id.request);
    }

    /// A Faktory worker has fetched the job that was assigned to it, and runs it.
    pub fn attempt_fetched(&mut self, id: AttemptId) {
        self.counters.relayed.increment();
        let executor = {
            let mut state = self.host.state.borrow_mut();
            state.requests.mark_accepted(id);
            state.requests.open_attempt(id).map(|(executor, ..)| executor)
        };
        if let Some(executor) = executor {
            self.counters.accepted.increment();
            self.dispatcher.attempt_progressed(self.host.clock.now(), id, executor);
        }
    }

    /// A Faktory worker has completed an attempt with this result.
    pub fn attempt_completed(&mut self, id: AttemptId, result: &[u8]) {
        self.host.respond(id.request, 200, None, result);
        self.attempt_ended(id, AttemptOutcome::Served, None);
    }

    /// The state of a Faktory worker has changed. To the dispatcher a worker is an executor in this node's own zone.
    pub fn worker_status_changed(&mut self, worker: usize, wid: &str, state: reservations::Standing) {
        let name = format!("{WORKER}{wid}");
        let executor = {
            let mut state = self.host.state.borrow_mut();
            let executor = state.executors.find_or_insert(&name);
            state.executors.set_worker(executor, worker);
            executor
        };
        let kind = find_or_append(&mut self.kinds, WORKER);
        let listed = listed_worker(executor, &name, state, kind, self.own_zone);
        self.has_listed_executors = true;
        self.dispatcher.update_executors(self.host.clock.now(), ListUpdate::Changes, &[listed]);
    }

    /// The executor has not acknowledged an attempt in time, and its connection was closed, or the connection broke.
    pub fn attempt_unacknowledged(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        let Some((executor, accepted, content)) = self.host.state.borrow().requests.open_attempt(id) else {
            return;
        };
        // A callback has reported the start of the attempt, so only its acknowledgement got lost.
        if accepted && outcome == AttemptOutcome::TimedOut {
            return;
        }
        // The executor may have accepted the attempt: its acknowledgement got lost or is on the way, or it has yet to read
        // the request. Guards against a second copy of a request that may have one attempt at a time: this one is
        // cancelled first.
        if self.host.cancels_before_retry && !content.non_idempotent {
            let address = self.host.state.borrow().executors.address(executor);
            return self.host.executors.cancel_unacknowledged(id, executor, address, &content, outcome);
        }
        self.attempt_ended(id, outcome, None);
    }

    /// Stops waiting for an attempt, and cancels it where executors support that.
    fn attempt_timed_out(&mut self, id: AttemptId) {
        self.host.cancel_attempt(id);
        self.attempt_ended(id, AttemptOutcome::TimedOut, None);
    }

    /// A cancellation did not reach the executor, where the attempt may still be running: sends it again after a delay, as
    /// long as the attempt is open.
    pub fn cancellation_failed(&mut self, id: AttemptId) {
        self.counters.give_ups_failed.increment();
        let mut state = self.host.state.borrow_mut();
        if state.requests.open_attempt(id).is_some() {
            state.cancel_retries.set(self.host.clock.now() + CANCEL_RETRY_DELAY, id);
        }
    }

    /// A probe has ended, without a report if it failed.
    pub fn probe_completed(&mut self, executor: ExecutorId, report: Option<LoadReport>) {
        if report.is_none() {
            self.counters.probes_failed.increment();
        }
        self.dispatcher.load_reported(self.host.clock.now(), executor, report);
    }

    /// Applies an update of the executor list.
    pub fn executor_list_received(&mut self, update: &ExecutorListUpdate) {
        let now = self.host.clock.now();
        let entries = update.entries(&self.counters);
        let mut listed = Vec::with_capacity(entries.len());
        for entry in &entries {
            let mut state = self.host.state.borrow_mut();
            let executor = state.executors.find_or_insert(&entry.instance_id);
            let status: ExecutorStatus = entry.lifecycle.into();
            match entry.host_port.parse() {
                Ok(address) => state.executors.set_address(executor, address),
                Err(e) => {
                    self.counters.list_bad.increment();
                    warn!(
                        "executor list: {} has an invalid address {:?}: {e}",
                        entry.instance_id, entry.host_port
                    );
                }
            }
            let address = state.executors.address(executor);
            self.host
                .executors
                .close_idle_connections(executor, address.filter(|_| status != ExecutorStatus::Gone));
            // A start in the future would keep the executor in slow start until then.
            let started = Instant((entry.started_at_ms.unwrap_or(0.0) * 1e6) as u64).min(now);
            let age_s = now.since(started).seconds();
            let (name, address) = (entry.instance_id.as_str(), entry.host_port.as_str());
            info!(
                executor = name,
                standing = ?status,
                age_s,
                "executor list: {name} at {address} is {status:?}, started {age_s:.1} s ago"
            );
            listed.push(ListedExecutor {
                executor,
                name: &entry.instance_id,
                status,
                started: Some(started).filter(|at| at.0 > 0),
                kind: find_or_append(&mut self.kinds, &entry.machine_type),
                zone: find_or_append(&mut self.zones, &entry.zone),
                cell: entry.cell.unwrap_or(0.0) as usize,
                weight: entry.weight.unwrap_or(1.0),
                reports_own_status: false,
            });
        }
        self.has_listed_executors |= !listed.is_empty();
        // Discovery does not know the Faktory workers, so a complete list without them does not mean that they are gone.
        let workers = if update.reset { self.workers() } else { Vec::new() };
        let kind = if workers.is_empty() { 0 } else { find_or_append(&mut self.kinds, WORKER) };
        for (executor, name, state) in &workers {
            listed.push(listed_worker(*executor, name, *state, kind, self.own_zone));
        }
        self.record_listed(update.reset, &listed);
        for listed in &mut listed {
            listed.status = self.closed.effective_status(fixed_hash(listed.name), listed.status);
        }
        self.dispatcher.update_executors(now, ListUpdate::complete_if(update.reset), &listed);
    }

    /// Records the entries of a list update, and tells the peers of process starts that are new.
    fn record_listed(&mut self, is_complete: bool, listed: &[ListedExecutor<'_>]) {
        let Some(peers) = self.host.peers.clone() else { return };
        let previous = if is_complete { std::mem::take(&mut self.known) } else { BTreeMap::new() };
        for &ListedExecutor { executor, name, status, started, kind, zone, cell, weight, .. } in listed {
            let hash = fixed_hash(name);
            let known_start =
                self.known.get(&hash).or_else(|| previous.get(&hash)).and_then(|known| known.started);
            if let Some(at) = started.filter(|at| known_start.is_none_or(|known_start| known_start < *at)) {
                peers.broadcast_observation(hash, at, false);
                self.down.remove(&executor);
            }
            if status == ExecutorStatus::Gone {
                self.down.remove(&executor);
            }
            let (name, listed_start) = (name.to_owned(), started);
            // A start observed by a peer may be newer than the list.
            let started = started.max(known_start);
            let known =
                KnownExecutor { executor, name, status, started, listed_start, kind, zone, cell, weight };
            self.known.insert(hash, known);
        }
    }

    /// An executor refused a connection: its process is down, and will be in slow start when it is back. Tells the
    /// peers, long before the list says so. Guards against overload of the executor by all nodes that do not know yet.
    pub fn executor_down(&mut self, executor: ExecutorId) {
        let now = self.host.clock.now();
        self.observe_executor(now, executor, true);
    }

    /// An executor has responded: if it was down, its slow start begins now.
    fn executor_responded(&mut self, executor: ExecutorId) {
        if self.down.contains(&executor) {
            let now = self.host.clock.now();
            self.observe_executor(now, executor, false);
        }
    }

    /// Tells the peers that an executor is down or was restarted, and applies that here.
    fn observe_executor(&mut self, now: Instant, executor: ExecutorId, is_down: bool) {
        let Some(peers) = self.host.peers.clone() else { return };
        let hash = fixed_hash(self.host.state.borrow().executors.name(executor));
        peers.broadcast_observation(hash, now, is_down);
        self.executor_observed(hash, now, is_down);
    }

    /// This node or a peer has observed that the executor with this hash of its name was down at that time, or else that
    /// its process had started by then. If the list does not say so yet, the executor is in slow start from now on; an
    /// outdated observation makes the dispatcher too careful at worst.
    pub fn executor_observed(&mut self, name_hash: u64, at: Instant, is_down: bool) {
        let now = self.host.clock.now();
        let at = at.min(now);
        let Some(known) = self.known.get_mut(&name_hash) else { return };
        if known.status == ExecutorStatus::Gone || known.started.is_some_and(|started| started >= at) {
            return;
        }
        known.started = Some(at);
        if is_down {
            self.down.insert(known.executor)
        } else {
            self.down.remove(&known.executor)
        };
        self.counters.words_heard.increment();
        let (name, state) = (known.name.as_str(), if is_down { "down" } else { "up again" });
        let age_s = now.since(at).seconds();
        debug!(executor = name, gone = is_down, age_s, "executor {name} was {state} {age_s:.1} s ago");
        let listed = self.closed.as_listed(name_hash, known);
        self.dispatcher.update_executors(now, ListUpdate::Changes, &[listed]);
    }

    /// The observations of at most this age that are newer than the list: the hash of the executor's name, the time, and
    /// whether the executor is down.
    pub fn recent_observations(&self, max_age: Duration) -> impl Iterator<Item = (u64, Instant, bool)> {
        let now = self.host.clock.now();
        let listed = self.known.iter().filter(|(_, known)| known.status != ExecutorStatus::Gone);
        listed.filter_map(move |(hash, known)| {
            let is_down = self.down.contains(&known.executor);
            let at = known.started.filter(|at| Some(*at) > known.listed_start && now.since(*at) < max_age)?;
            Some((*hash, at, is_down))
        })
    }

    /// What this node has learned itself, for a node that knows less.
    pub fn learned_estimates(&self) -> LearnedEstimates {
        let learned = self.dispatcher.learned();
        let by_name = |(kind, learned): (&usize, &LearnedKind)| {
            let LearnedKind { work_s, slot_s, slots } = *learned;
            Some((self.kinds.get(*kind)?.clone(), (work_s as f32, slot_s as f32, slots as f32)))
        };
        LearnedEstimates {
            sizes: learned.sizes.iter().map(|(size, run)| (*size as f32, *run as f32)).collect(),
            kinds: learned.kinds.iter().filter_map(by_name).collect(),
        }
    }

    /// Adds what another node has learned; returns how many request sizes are known now.
    pub fn merge_learned(&mut self, estimates: &LearnedEstimates) -> usize {
        let by_index = |(name, fields): &(String, (f32, f32, f32))| {
            let (work_s, slot_s, slots) = (fields.0.into(), fields.1.into(), fields.2.into());
            let kind = self.kinds.iter().position(|known| known == name)?;
            Some((kind, LearnedKind { work_s, slot_s, slots }))
        };
        let learned = LearnedState {
            sizes: estimates.sizes.iter().map(|(size, run)| ((*size).into(), (*run).into())).collect(),
            kinds: estimates.kinds.iter().filter_map(by_index).collect(),
        };
        self.counters.lessons.increment();
        self.dispatcher.merge_learned(self.host.clock.now(), &learned)
    }

    /// Keeps executors that are down from leaving slow start: as long as a process is down, its warm-up has not begun.
    fn hold_slow_start(&mut self) {
        // The interval at which the dispatcher checks its executors.
        const INTERVAL: Duration = Duration::from_millis(250);
        let now = self.host.clock.now();
        if self.down.is_empty() || now < self.slow_start_held_at + INTERVAL {
            return;
        }
        self.slow_start_held_at = now;
        let down = &self.down;
        let still_down = self.known.iter().filter(|(_, known)| down.contains(&known.executor));
        // Only the dispatcher is told that they start now; the known start stays as it is. Guards against ignoring an
        // observation or a list entry with the actual start, which is a little earlier than this.
        let updates: Vec<ListedExecutor> = still_down
            .map(|(hash, known)| ListedExecutor { started: Some(now), ..self.closed.as_listed(*hash, known) })
            .collect();
        self.dispatcher.update_executors(now, ListUpdate::Changes, &updates);
    }

    /// Another node has sent a load message.
    pub fn load_message_received(&mut self, node: u64, message: &[u8]) {
        self.dispatcher.load_message_received(self.host.clock.now(), node, message);
    }

    /// The connected Faktory workers, as executors.
    fn workers(&self) -> Vec<(ExecutorId, String, reservations::Standing)> {
        let workers = self.host.faktory.iter().flat_map(|faktory| faktory.workers());
        let mut state = self.host.state.borrow_mut();
        let as_executor = |(wid, worker_state)| {
            let name = format!("{WORKER}{wid}");
            (state.executors.find_or_insert(&name), name, worker_state)
        };
        workers.map(as_executor).collect()
    }

    /// The list is known here as discovery had it at `as_of`; `answered` says whether discovery itself confirmed it.
    pub fn executor_list_confirmed(&mut self, as_of: Instant, answered: bool) {
        self.dispatcher.executor_list_confirmed(as_of, answered);
    }

    /// The list could not be obtained, or its watch ended.
    pub fn executor_list_lost(&mut self) {
        self.dispatcher.executor_list_lost();
    }
}

/// The kind of Faktory workers, and the prefix of their names as executors. No listed executor has such a name.
const WORKER: &str = "faktory worker ";

/// A Faktory worker as an entry for the dispatcher.
fn listed_worker(
    executor: ExecutorId,
    name: &str,
    state: reservations::Standing,
    kind: usize,
    zone: usize,
) -> ListedExecutor<'_> {
    let status = match state {
        reservations::Standing::Works => ExecutorStatus::Ready,
        reservations::Standing::Quiet => ExecutorStatus::Draining,
        reservations::Standing::Gone => ExecutorStatus::Gone,
    };
    ListedExecutor {
        executor,
        name,
        status,
        started: None,
        kind,
        zone,
        cell: 0,
        weight: 1.0,
        reports_own_status: true,
    }
}

/// The index of a name; appends a new name.
fn find_or_append(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
