//! The leader of a partition runs its items at executors, in the room that live requests leave.
//!
//! `ItemRuns` owns the runs in flight, by number. What is to run, and what becomes of a run, is up to the `Runner` of the
//! partition; this module only sends and reads.

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
use tracing::debug;

/// How often items that wait look for room.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// A run without a byte for this long is taken up elsewhere.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3000);
/// What an executor is told of the time that an item has (milliseconds): items stand outside of time-outs.
const ITEM_DEADLINE_MS: u64 = 30_000;
/// Items that are begun in one turn of the loop, so that others have theirs.
const BEGUN_AT_ONCE: usize = 16;

/// A run of an item at an executor.
struct ActiveRun {
    index: usize,
    run: RunId,
    flight: AttemptToken,
    connection: usize,
    reader: EventReader,
    status: u16,
    not_executed: bool,
    stamped: bool,
    last_activity: Instant,
}

/// The runs of items on this node.
#[derive(Default)]
pub struct ItemRuns {
    active: FxHashMap<u64, ActiveRun>,
    waking: bool,
    load_reports: LoadReports,
}

impl ItemRuns {
    /// How many items run.
    pub fn count(&self) -> usize {
        self.active.len()
    }
}

impl Node {
    /// Has items looked at soon.
    pub fn wake_items(&mut self) {
        if !self.items.waking {
            self.items.waking = true;
            self.alarms.set(self.now, Timer::RunItems);
        }
    }

    /// Begins items where there is room, and gives up those whose time is over.
    pub fn run_items(&mut self) {
        self.items.waking = false;
        let now = self.now;
        let mut waits = false;
        for index in 0..self.partitions.len() {
            if !self.partitions[index].leads() || self.stopping() {
                continue;
            }
            if let Some(partition) = self.batch_mut(index) {
                partition.runner_mut().give_up_expired_items(now);
            }
            // A leader that wakes from a freeze still believes that it is one.
            if self.partitions[index].replica.lease_holds(self.clock()) {
                self.begin_items(index);
            }
            self.report_load(index);
            self.cut_off_runs(index);
            self.propose_results(index);
            waits |= self.runner_waits(index);
            waits |= self.configuration.active().is_none() || self.idle_tokens(index) > 0;
        }
        if waits && !self.items.waking {
            self.items.waking = true;
            self.alarms.set(now + POLL_INTERVAL, Timer::RunItems);
        }
    }

    /// The tokens of a partition's items that have still to be begun, on the routes that there are.
    fn idle_tokens(&mut self, index: usize) -> u64 {
        let Some(active) = self.configuration.active().cloned() else { return 0 };
        let Some(partition) = self.batch_mut(index) else { return 0 };
        active.routes.bulk_routes().map(|(route, _)| partition.runner().queued_tokens(route)).sum()
    }

    /// Logs now and then how the items of a led partition progress, as long as some are not listed.
    pub(crate) fn log_items(&mut self, index: usize) {
        let (now, number) = (self.now, self.partitions[index].partition);
        let Some(partition) = self.batch_mut(index) else { return };
        if !partition.runner().has_open_items() || !partition.take_log_due(now) {
            return;
        }
        let waiting_tokens = self.idle_tokens(index);
        let Some(partition) = self.batch_mut(index) else { return };
        let runner = partition.runner();
        debug!(
            partition = number,
            running = runner.running_count(),
            waiting_tokens,
            unrouted = runner.unrouted_count(),
            finished = runner.finished_count(),
            unproposed = runner.unproposed_count(),
            jobs = partition.jobs().len(),
            "items running"
        );
    }

    fn begin_items(&mut self, index: usize) {
        for _ in 0..BEGUN_AT_ONCE {
            if !self.may_start_item(index) {
                return;
            }
            let Some(order) = self.next_order(index) else { return };
            self.begin_item(index, order);
        }
    }

    /// The leader of another partition reports its load.
    pub(crate) fn receive_batch_load(&mut self, payload: &[u8]) {
        self.items.load_reports.receive(self.now, payload);
    }

    /// Reports to the leaders of the other partitions how many items of a led one run and wait.
    fn report_load(&mut self, index: usize) {
        let host = &self.partitions[index];
        let partition = host.partition;
        let Some(report) = self.items.load_reports.due(self.now, partition, host.load()) else { return };
        let others = self.batch_partitions().into_iter().filter(|other| *other != partition);
        let mut leaders: Vec<SocketAddrV4> = others.filter_map(|other| self.known_leader(other)).collect();
        leaders.sort_unstable();
        leaders.dedup();
        for leader in leaders {
            self.send_frame(leader, Channel::BatchLoad, &report.serialize_bin());
        }
    }

    /// Whether a led partition may begin a further item beside those of the other partitions.
    fn may_start_item(&mut self, index: usize) -> bool {
        let host = &self.partitions[index];
        self.items.load_reports.may_start(self.now, host.partition, host.load())
    }

    fn next_order(&mut self, index: usize) -> Option<RunRequest> {
        let now = self.now;
        let active = self.configuration.active().cloned()?;
        let mut with_room: Vec<RouteIndex> = Vec::new();
        for (index, route) in active.routes.bulk_routes() {
            let mut services = route.traffic.services();
            if services.any(|service| self.requests.routing.has_batch_capacity(now, service.as_str())) {
                with_room.push(index);
            }
        }
        let room = |route: RouteIndex| with_room.contains(&route).then_some(u64::MAX);
        let (jobs, runner) = self.batch_mut(index)?.jobs_and_runner();
        runner.next_item(jobs, now, &room)
    }

    fn begin_item(&mut self, index: usize, order: RunRequest) {
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
        let Some(flight) = self.requests.routing.gateway.attempt_started(now, candidate.executor, &request)
        else {
            return self.end_run(index, order.run, RunOutcome::NotExecuted);
        };
        let key = self.next_serial();
        let bytes = item_request(&order, &candidate.target.instance);
        let begun = self.with_requests(|requests, context| {
            let owner = CallOwner::Item(key);
            requests.start_call(context, owner, &candidate.target, &order.attempt_id, &bytes)
        });
        match begun {
            Ok(connection) => {
                debug!(
                    partition = self.partitions[index].partition,
                    job = order.job.as_str(),
                    item = order.attempt_id,
                    host = order.host,
                    path = order.path.as_str(),
                    route = route.map(|route| route.name.as_str()),
                    executor = %candidate.target.instance,
                    version = active.version,
                    "item starts"
                );
                let run = ActiveRun {
                    index,
                    run: order.run,
                    flight,
                    connection,
                    reader: EventReader::new(),
                    status: 0,
                    not_executed: false,
                    stamped: false,
                    last_activity: now,
                };
                self.items.active.insert(key, run);
                self.alarms.set(now + SILENCE_TIMEOUT, Timer::ItemResponseTimeout { run: key });
            }
            Err(_) => {
                self.requests.routing.gateway.attempt_finished(now, flight, AttemptOutcome::NeverSent);
                self.end_run(index, order.run, RunOutcome::NotExecuted);
            }
        }
    }

    fn end_run(&mut self, index: usize, run: RunId, outcome: RunOutcome) {
        let now = self.now;
        if let Some(partition) = self.batch_mut(index) {
            partition.runner_mut().run_ended(run, outcome, now);
        }
        self.wake_items();
    }

    /// Something came back from the executor of an item.
    pub fn item_event(&mut self, key: u64, event: CallEvent<'_>) {
        let now = self.now;
        let Some(active) = self.items.active.get_mut(&key) else { return };
        active.last_activity = now;
        match event {
            CallEvent::Head { status, headers } => self.item_head(key, status, headers),
            CallEvent::Data(bytes) => self.item_data(key, bytes),
            CallEvent::End => self.item_end(key),
            CallEvent::Failed(failure) => {
                let outcome = match failure {
                    CallFailure::NeverSent => (AttemptOutcome::NeverSent, RunOutcome::NotExecuted),
                    CallFailure::BeforeHead => (AttemptOutcome::BrokenBeforeHead, RunOutcome::Broken),
                    CallFailure::MidBody => (AttemptOutcome::BrokenMidStream, RunOutcome::Broken),
                };
                self.item_over(key, outcome.0, outcome.1);
            }
        }
    }

    fn item_head(&mut self, key: u64, status: u16, headers: &Headers) {
        let now = self.now;
        let Some(active) = self.items.active.get_mut(&key) else { return };
        active.status = status;
        active.not_executed = headers.get(names::NOT_EXECUTED).is_some();
        active.stamped = headers.get(names::SERVER_SEAL).is_some();
        let load = headers.get(names::SERVER_LOAD).and_then(|text| ServerLoad::parse(text).ok());
        self.requests.routing.gateway.response_head_received(now, active.flight, load);
    }

    fn item_data(&mut self, key: u64, bytes: &[u8]) {
        let now = self.now;
        let Some(active) = self.items.active.get_mut(&key) else { return };
        if !(200..300).contains(&active.status) || !active.stamped {
            return;
        }
        self.requests.routing.gateway.event_received(now, active.flight);
        let (index, run) = (active.index, active.run);
        let mut events = Vec::new();
        let understood = active.reader.push(bytes, |event| events.push(event)).is_ok();
        let Some(partition) = self.batch_mut(index) else { return };
        let taken = events.iter().all(|event| {
            partition.runner_mut().run_event(run, event.id, &event.data, now) == EventDisposition::Accepted
        });
        if !understood || !taken {
            self.item_cut(key);
        }
    }

    /// A stream that is no continuation: the run ends, and the item goes on from its last good event.
    fn item_cut(&mut self, key: u64) {
        let Some(active) = self.items.active.get(&key) else { return };
        let connection = active.connection;
        self.with_requests(|requests, context| requests.abort_call(context, connection));
        self.item_over(key, AttemptOutcome::BrokenMidStream, RunOutcome::Broken);
    }

    fn item_end(&mut self, key: u64) {
        let Some(active) = self.items.active.get(&key) else { return };
        let complete = active.stamped && active.reader.finish().is_ok();
        let (outcome, run) = match active.status {
            421 => (AttemptOutcome::Misdirected, RunOutcome::Misdirected),
            _ if active.not_executed => (AttemptOutcome::NotExecuted, RunOutcome::NotExecuted),
            200..300 if complete => (AttemptOutcome::Served, RunOutcome::Complete),
            200..300 => (AttemptOutcome::BrokenMidStream, RunOutcome::Broken),
            422 => (AttemptOutcome::AnsweredOther, RunOutcome::Rejected422),
            500 => (AttemptOutcome::AnsweredFailure, RunOutcome::Failed500),
            _ => (AttemptOutcome::AnsweredFailure, RunOutcome::Broken),
        };
        self.item_over(key, outcome, run);
    }

    fn item_over(&mut self, key: u64, outcome: AttemptOutcome, run: RunOutcome) {
        let now = self.now;
        let Some(active) = self.items.active.remove(&key) else { return };
        self.requests.routing.gateway.attempt_finished(now, active.flight, outcome);
        self.end_run(active.index, active.run, run);
    }

    /// A run may have been silent for too long.
    pub fn item_response_timeout(&mut self, key: u64) {
        let now = self.now;
        let Some(active) = self.items.active.get(&key) else { return };
        let silent_at = active.last_activity + SILENCE_TIMEOUT;
        if now < silent_at {
            self.alarms.set(silent_at, Timer::ItemResponseTimeout { run: key });
            return;
        }
        self.item_cut(key);
    }

    /// Closes the connections of runs that nobody wants any more.
    pub fn cut_off_runs(&mut self, index: usize) {
        let now = self.now;
        let Some(partition) = self.batch_mut(index) else { return };
        let cut: Vec<RunId> = partition.runner_mut().take_cancelled();
        if cut.is_empty() {
            return;
        }
        let wanted = |run: &ActiveRun| run.index == index && cut.contains(&run.run);
        let keys: Vec<u64> =
            self.items.active.iter().filter(|(_, run)| wanted(run)).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(active) = self.items.active.remove(&key) {
                self.requests.routing.gateway.attempt_finished(
                    now,
                    active.flight,
                    AttemptOutcome::ClientGone,
                );
                self.with_requests(|requests, context| requests.abort_call(context, active.connection));
            }
        }
    }
}

/// An item as an executor gets it.
fn item_request(order: &RunRequest, instance: &str) -> Vec<u8> {
    let mut text = format!("POST {} HTTP/1.1\r\nHost: {}\r\n", order.path, order.host);
    let own = [names::ATTEMPT_ID, names::DEADLINE_MS, names::TARGET_INSTANCE, names::LAST_EVENT_ID];
    let of_the_message = ["host", "content-length", "transfer-encoding", "connection"];
    for header in &order.headers {
        let name = header.name.as_str();
        let written_here = own.iter().chain(&of_the_message).any(|other| other.eq_ignore_ascii_case(name));
        if !written_here {
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
