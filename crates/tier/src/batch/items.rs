//! Runs the items of the batch partitions that this node leads at executors, with the capacity that live
//! requests leave free.
//!
//! `ItemRuns` owns the active runs, by key. The `Runner` of the partition decides which item runs next and
//! what the outcome of a run means; this module only sends the requests and reads the responses.

use crate::batch::load_report::LoadReports;
use crate::links::messages::Channel;
use crate::node::Node;
use crate::requests::header_names as names;
use crate::requests::routing::RoutingHints;
use crate::requests::upstream::CallEvent;
use crate::requests::upstream_connection::{CallFailure, CallOwner};
use crate::runtime::timers::Timer;
use grebeusher_batch::{EventDisposition, EventReader, RouteIndex, RunId, RunOutcome, RunRequest};
use grebeusher_gateway::{AttemptOutcome, AttemptToken, ServerLoad};
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::headers::Headers;
use nanoserde::SerBin;
use rustc_hash::FxHashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// The interval at which the node checks whether an executor has capacity for a waiting item.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// A run whose executor has sent nothing for this long is aborted, and the item continues at another
/// executor.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The deadline that is sent to the executor with each item (milliseconds). It is the same for all items, as
/// items have no time-out of their own.
const ITEM_DEADLINE_MS: u64 = 30_000;
/// The most items of a partition that are started in one turn of the event loop, so that they don't delay
/// other work.
const MAX_STARTS_PER_TURN: usize = 16;

/// An item that is running at an executor.
pub(super) struct ActiveRun {
    /// The index of the item's partition among the node's partitions.
    pub(super) partition_index: usize,
    pub(super) run_id: RunId,
    /// The id of the item, for the log.
    pub(super) item_id: String,
    /// The instance id of the executor, for the log.
    pub(super) executor: Arc<str>,
    /// The serial number of the connection, for the log.
    pub(super) connection_serial: u64,
    pub(super) started_at: Instant,
    /// The gateway's token of the attempt at the executor.
    attempt: AttemptToken,
    /// The index of the connection to the executor.
    connection: usize,
    /// The decoder of the events in the response.
    reader: EventReader,
    /// The HTTP status of the response; 0 until its head has arrived.
    pub(super) status: u16,
    /// Whether the response says that the executor did not run the item.
    not_executed: bool,
    /// Whether the response has the header `X-Grebeusher-Server-Seal`, with which executors mark their answers.
    sealed: bool,
    /// When the executor last sent something.
    last_activity: Instant,
}

/// The items that this node is running at executors.
#[derive(Default)]
pub struct ItemRuns {
    /// The active runs by key: a serial number by which their connections and timers refer to them.
    active: FxHashMap<u64, ActiveRun>,
    /// Whether the timer that calls [`Node::run_items`] is set.
    wake_scheduled: bool,
    load_reports: LoadReports,
}

impl ItemRuns {
    /// The number of running items.
    pub fn count(&self) -> usize {
        self.active.len()
    }
}

impl Node {
    /// Schedules a call of [`Node::run_items`] at once, unless one is scheduled already.
    pub fn wake_items(&mut self) {
        if !self.items.wake_scheduled {
            self.items.wake_scheduled = true;
            self.alarms.set(self.now, Timer::RunItems);
        }
    }

    /// Starts items where executors have capacity, gives up items whose time is over, and aborts cancelled
    /// runs. Called by a timer.
    pub fn run_items(&mut self) {
        self.items.wake_scheduled = false;
        let now = self.now;
        let mut needs_wake = false;
        for index in 0..self.partitions.len() {
            if !self.partitions[index].leads() || self.stopping() {
                continue;
            }
            if let Some(partition) = self.batch_partition_mut(index) {
                partition.runner_mut().give_up_expired_items(now);
            }
            self.log_given_up(index);
            // A leader whose process was suspended may have been replaced without knowing it yet.
            if self.partitions[index].replica.lease_holds(self.clock()) {
                self.start_items(index);
            }
            self.report_load(index);
            self.abort_cancelled_runs(index);
            self.propose_results(index);
            needs_wake |= self.runner_needs_wake(index);
            needs_wake |= self.configuration.active().is_none() || self.unstarted_tokens(index) > 0;
        }
        if needs_wake && !self.items.wake_scheduled {
            self.items.wake_scheduled = true;
            self.alarms.set(now + POLL_INTERVAL, Timer::RunItems);
        }
    }

    /// The total tokens of a partition's items that have not started yet, on the routes of the current
    /// configuration.
    pub(super) fn unstarted_tokens(&mut self, index: usize) -> u64 {
        let Some(active) = self.configuration.active().cloned() else { return 0 };
        let Some(partition) = self.batch_partition_mut(index) else { return 0 };
        active.routes.bulk_routes().map(|(route, _)| partition.runner().queued_tokens(route)).sum()
    }

    /// Starts items of a led partition while its share and the executors' capacity allow it.
    fn start_items(&mut self, index: usize) {
        for _ in 0..MAX_STARTS_PER_TURN {
            if !self.may_start_item(index) {
                return;
            }
            let Some(order) = self.next_run_order(index) else { return };
            self.start_item(index, order);
        }
    }

    /// Receives the load that the leader of another partition reports.
    pub(crate) fn receive_batch_load(&mut self, payload: &[u8]) {
        self.items.load_reports.receive(self.now, payload);
    }

    /// Reports to the leaders of the other partitions how many items of a led partition are running and
    /// waiting, if the report is due.
    fn report_load(&mut self, index: usize) {
        let host = &self.partitions[index];
        let partition = host.partition;
        let Some(report) = self.items.load_reports.take_due(self.now, partition, host.load()) else { return };
        let others = self.batch_partitions().into_iter().filter(|other| *other != partition);
        let mut leaders: Vec<SocketAddrV4> = others.filter_map(|other| self.known_leader(other)).collect();
        leaders.sort_unstable();
        leaders.dedup();
        for leader in leaders {
            self.send_frame(leader, Channel::BatchLoad, &report.serialize_bin());
        }
    }

    /// Whether a led partition may start another item without exceeding its share of the executors' capacity.
    fn may_start_item(&mut self, index: usize) -> bool {
        let host = &self.partitions[index];
        self.items.load_reports.may_start(self.now, host.partition, host.load())
    }

    /// The next item of a partition to run, on a route with a service that has capacity for batch items.
    fn next_run_order(&mut self, index: usize) -> Option<RunRequest> {
        let now = self.now;
        let active = self.configuration.active().cloned()?;
        let mut routes_with_capacity: Vec<RouteIndex> = Vec::new();
        for (route_index, route) in active.routes.bulk_routes() {
            let mut services = route.traffic.services();
            if services.any(|service| self.requests.routing.has_batch_capacity(now, service.as_str())) {
                routes_with_capacity.push(route_index);
            }
        }
        let capacity = |route: RouteIndex| routes_with_capacity.contains(&route).then_some(u64::MAX);
        let (jobs, runner) = self.batch_partition_mut(index)?.jobs_and_runner();
        runner.next_item(jobs, now, &capacity)
    }

    /// Sends an item to an executor that the gateway chooses. If that fails, tells the runner that the item
    /// was not executed.
    fn start_item(&mut self, index: usize, order: RunRequest) {
        let now = self.now;
        let point = self.random_point();
        let Some(active) = self.configuration.active().cloned() else { return };
        let route = active.routes.bulk(&order.host, &order.path);
        let hints = RoutingHints::from_batch_item(&order);
        let chosen = route.and_then(|route| {
            self.requests.routing.choose_for_item(now, route.pick_service(point).as_str(), &hints)
        });
        let Some((candidate, request)) = chosen else {
            return self.end_run(index, order.run, RunOutcome::NotExecuted);
        };
        let Some(attempt) = self.requests.routing.gateway.attempt_started(now, candidate.executor, &request)
        else {
            return self.end_run(index, order.run, RunOutcome::NotExecuted);
        };
        let key = self.next_serial();
        let bytes = item_request(&order, &candidate.target.instance);
        let started = self.with_requests(|requests, context| {
            let user = CallOwner::Item(key);
            requests.start_call(context, user, &candidate.target, &order.attempt_id, &bytes)
        });
        match started {
            Ok(connection) => {
                let run = ActiveRun {
                    partition_index: index,
                    run_id: order.run,
                    item_id: order.attempt_id.clone(),
                    executor: candidate.target.instance.clone(),
                    connection_serial: self.connections.serial(connection),
                    started_at: now,
                    attempt,
                    connection,
                    reader: EventReader::new(),
                    status: 0,
                    not_executed: false,
                    sealed: false,
                    last_activity: now,
                };
                let route_name = route.map(|route| route.name.as_str());
                self.log_run_start(&run, &order, route_name, active.version);
                self.items.active.insert(key, run);
                self.alarms.set(now + SILENCE_TIMEOUT, Timer::ItemResponseTimeout { run: key });
            }
            Err(_) => {
                self.requests.routing.gateway.attempt_finished(now, attempt, AttemptOutcome::NeverSent);
                self.end_run(index, order.run, RunOutcome::NotExecuted);
            }
        }
    }

    /// Tells the partition's runner the outcome of a run.
    fn end_run(&mut self, index: usize, run: RunId, outcome: RunOutcome) {
        let now = self.now;
        if let Some(partition) = self.batch_partition_mut(index) {
            partition.runner_mut().run_ended(run, outcome, now);
        }
        self.log_given_up(index);
        self.wake_items();
    }

    /// Handles an event of the response of an item's executor.
    pub fn item_event(&mut self, key: u64, event: CallEvent<'_>) {
        let now = self.now;
        let Some(active) = self.items.active.get_mut(&key) else { return };
        active.last_activity = now;
        match event {
            CallEvent::Head { status, headers } => self.handle_response_head(key, status, headers),
            CallEvent::Data(bytes) => self.handle_response_data(key, bytes),
            CallEvent::End => self.handle_response_end(key),
            CallEvent::Failed(failure) => {
                // The outcome of the attempt, for the gateway, and that of the run, for the runner.
                let outcomes = match failure {
                    CallFailure::NeverSent => (AttemptOutcome::NeverSent, RunOutcome::NotExecuted),
                    CallFailure::BeforeHead => (AttemptOutcome::BrokenBeforeHead, RunOutcome::Broken),
                    CallFailure::MidBody => (AttemptOutcome::BrokenMidStream, RunOutcome::Broken),
                };
                self.finish_run(key, outcomes.0, outcomes.1);
            }
        }
    }

    fn handle_response_head(&mut self, key: u64, status: u16, headers: &Headers) {
        let now = self.now;
        let Some(active) = self.items.active.get_mut(&key) else { return };
        active.status = status;
        active.not_executed = headers.get(names::NOT_EXECUTED).is_some();
        active.sealed = headers.get(names::SERVER_SEAL).is_some();
        let load = headers.get(names::SERVER_LOAD).and_then(|text| ServerLoad::parse(text).ok());
        self.requests.routing.gateway.response_head_received(now, active.attempt, load);
    }

    fn handle_response_data(&mut self, key: u64, bytes: &[u8]) {
        let now = self.now;
        let Some(active) = self.items.active.get_mut(&key) else { return };
        if !(200..300).contains(&active.status) || !active.sealed {
            return;
        }
        self.requests.routing.gateway.event_received(now, active.attempt);
        let (index, run_id) = (active.partition_index, active.run_id);
        let mut events = Vec::new();
        let is_valid = active.reader.push(bytes, |event| events.push(event)).is_ok();
        let Some(partition) = self.batch_partition_mut(index) else { return };
        let all_accepted = events.iter().all(|event| {
            partition.runner_mut().run_event(run_id, event.id, &event.data, now) == EventDisposition::Accepted
        });
        if !is_valid || !all_accepted {
            self.abort_run(key);
        }
    }

    /// Aborts a run whose response is invalid, does not continue the item's earlier events or has stalled.
    /// The item goes on from its last accepted event.
    fn abort_run(&mut self, key: u64) {
        let Some(active) = self.items.active.get(&key) else { return };
        let connection = active.connection;
        self.with_requests(|requests, context| requests.abort_call(context, connection));
        self.finish_run(key, AttemptOutcome::BrokenMidStream, RunOutcome::Broken);
    }

    fn handle_response_end(&mut self, key: u64) {
        let Some(active) = self.items.active.get(&key) else { return };
        let complete = active.sealed && active.reader.finish().is_ok();
        let (attempt_outcome, run_outcome) = match active.status {
            421 => (AttemptOutcome::Misdirected, RunOutcome::Misdirected),
            _ if active.not_executed => (AttemptOutcome::NotExecuted, RunOutcome::NotExecuted),
            200..300 if complete => (AttemptOutcome::Served, RunOutcome::Complete),
            200..300 => (AttemptOutcome::BrokenMidStream, RunOutcome::Broken),
            422 => (AttemptOutcome::AnsweredOther, RunOutcome::Rejected422),
            500 => (AttemptOutcome::AnsweredFailure, RunOutcome::Failed500),
            _ => (AttemptOutcome::AnsweredFailure, RunOutcome::Broken),
        };
        self.finish_run(key, attempt_outcome, run_outcome);
    }

    /// Removes an active run, and tells the gateway and the runner its outcome.
    fn finish_run(&mut self, key: u64, attempt_outcome: AttemptOutcome, run_outcome: RunOutcome) {
        let now = self.now;
        let Some(active) = self.items.active.remove(&key) else { return };
        self.log_run_end(&active, run_outcome);
        self.requests.routing.gateway.attempt_finished(now, active.attempt, attempt_outcome);
        self.end_run(active.partition_index, active.run_id, run_outcome);
    }

    /// Aborts a run if its executor has sent nothing for `SILENCE_TIMEOUT`; otherwise sets the timer anew.
    pub fn item_response_timeout(&mut self, key: u64) {
        let now = self.now;
        let Some(active) = self.items.active.get(&key) else { return };
        let timeout_at = active.last_activity + SILENCE_TIMEOUT;
        if now < timeout_at {
            self.alarms.set(timeout_at, Timer::ItemResponseTimeout { run: key });
            return;
        }
        self.abort_run(key);
    }

    /// Closes the connections of the runs that the partition's runner has cancelled.
    pub fn abort_cancelled_runs(&mut self, index: usize) {
        let now = self.now;
        let Some(partition) = self.batch_partition_mut(index) else { return };
        let cancelled: Vec<RunId> = partition.runner_mut().take_cancelled();
        if cancelled.is_empty() {
            return;
        }
        let is_cancelled = |run: &ActiveRun| run.partition_index == index && cancelled.contains(&run.run_id);
        let keys: Vec<u64> =
            self.items.active.iter().filter(|(_, run)| is_cancelled(run)).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(active) = self.items.active.remove(&key) {
                self.requests.routing.gateway.attempt_finished(
                    now,
                    active.attempt,
                    AttemptOutcome::ClientGone,
                );
                self.with_requests(|requests, context| requests.abort_call(context, active.connection));
            }
        }
    }
}

/// Encodes the HTTP request that runs an item at an executor.
fn item_request(order: &RunRequest, instance: &str) -> Vec<u8> {
    let mut text = format!("POST {} HTTP/1.1\r\nHost: {}\r\n", order.path, order.host);
    let tier_headers = [names::ATTEMPT_ID, names::DEADLINE_MS, names::TARGET_INSTANCE, names::LAST_EVENT_ID];
    let framing_headers = ["host", "content-length", "transfer-encoding", "connection"];
    for header in &order.headers {
        let name = header.name.as_str();
        let is_replaced =
            tier_headers.iter().chain(&framing_headers).any(|other| other.eq_ignore_ascii_case(name));
        if !is_replaced {
            text += &format!("{name}: {}\r\n", header.value);
        }
    }
    text += &format!("{}: {}\r\n", names::ATTEMPT_ID, order.attempt_id);
    text += &format!("{}: {ITEM_DEADLINE_MS}\r\n", names::DEADLINE_MS);
    text += &format!("{}: {instance}\r\n", names::TARGET_INSTANCE);
    if let Some(id) = order.last_event_id {
        text += &format!("{}: {id}\r\n", names::LAST_EVENT_ID);
    }
    text += &format!("Content-Length: {}\r\n\r\n", order.body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&order.body);
    bytes
}
