//! The Faktory frontend: clients push jobs and wait for their final answers, workers fetch jobs. To the dispatcher a
//! worker is an executor; a job that is assigned to a worker waits here for its next fetch.

use crate::coordinator::Coordinator;
use crate::interfaces::FaktoryFrontend;
use crate::state::clock::Clock;
use crate::state::connection::Connection;
use crate::state::counters::Counters;
use crate::state::requests::{FaktoryJob, RequestContent, RequestIds};
use grebeusher_dispatch::ids::{AttemptId, RequestId};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{Arrival, AttemptOutcome};
use grebeusher_faktory::command::{Command, Job, WorkerState, read};
use grebeusher_faktory::handshake::Greeting;
use grebeusher_faktory::reservations::{End, Handed, Reservations, Standing};
use grebeusher_faktory::words::{Answer, MAX_LINE, line};
use grebeusher_node_config::DeploymentSettings;
use grebeusher_node_config::frontends::FaktorySettings;
use grebeusher_transport::alarms::Alarms;
use grebeusher_transport::buffer::Reading;
use grebeusher_transport::listen;
use polling::{Event, Poller};
use serde_json::json;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// A fetch that finds no job is answered after this time, as the specification says.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2000);
/// The time in which a connection has to send HELLO, and the time in which a line that has begun has to be complete.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(3000);
const LINE_TIMEOUT: Duration = Duration::from_millis(5000);
/// The number of connections that are accepted before other events are handled.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// The iterations of the password hash, as many as the specification's job server uses.
const ITERATIONS: u32 = 1545;
/// The largest body in bytes that an executor accepts.
const MAX_BODY: usize = 64 * 1024;
/// The longest deadline that a client may set, in milliseconds from now: a day.
const MAX_PATIENCE_MS: u64 = 86_400_000;

/// What a connection waits for.
#[derive(Clone, Debug, PartialEq)]
enum Waiting {
    Nothing,
    /// The final answer to the job that it pushed.
    Push(RequestId),
    /// A job of one of these queues, until this time.
    Fetch(Vec<String>, Instant),
}

struct FaktoryClient {
    connection: Connection,
    serial: u64,
    greeting: Greeting,
    admitted: bool,
    worker: Option<usize>,
    waiting: Waiting,
    /// Since when a line has begun that is not complete, or HELLO is awaited.
    line_started: Option<Instant>,
    closes_after_write: bool,
}

/// An event that is reported to the coordinator once its current call has returned.
enum UnreportedEvent {
    Fetched(AttemptId),
    Ended(AttemptId, AttemptOutcome),
}

struct FrontendState {
    clients: Slab<FaktoryClient>,
    /// The index of the connection that waits for the answer to each request, and the class of the request.
    by_request: HashMap<RequestId, (usize, usize)>,
    reservations: Reservations<AttemptId>,
    unreported: Vec<UnreportedEvent>,
    timeouts: Alarms<(usize, u64)>,
    next_serial: u64,
}

pub struct Faktory {
    listener: TcpListener,
    poller: Rc<Poller>,
    clock: Clock,
    counters: Rc<Counters>,
    listener_key: usize,
    key: fn(usize) -> usize,
    max_connections: usize,
    password: Option<String>,
    reserve_for: Duration,
    settings: DeploymentSettings,
    request_ids: RequestIds,
    /// The node is draining: pushes are rejected and no job is handed to workers.
    is_draining: Cell<bool>,
    salt: Cell<u64>,
    state: RefCell<FrontendState>,
}

impl Faktory {
    pub fn listen(
        frontend: &FaktorySettings,
        settings: &DeploymentSettings,
        (seed, request_ids): (u64, &RequestIds),
        (listener_key, key): (usize, fn(usize) -> usize),
        (poller, clock, counters): (&Rc<Poller>, Clock, &Rc<Counters>),
    ) -> io::Result<Faktory> {
        let listener = listen::listen(frontend.listen)?;
        poller.add(&listener, Event::readable(listener_key))?;
        Ok(Faktory {
            listener,
            poller: poller.clone(),
            clock,
            counters: counters.clone(),
            listener_key,
            key,
            max_connections: frontend.max_connections(),
            password: frontend.password.clone(),
            reserve_for: frontend.reservation(),
            settings: settings.clone(),
            request_ids: request_ids.clone(),
            is_draining: Cell::new(false),
            salt: Cell::new(seed),
            state: RefCell::new(FrontendState {
                clients: Slab::new(),
                by_request: HashMap::new(),
                reservations: Reservations::new(frontend.fetch_timeout(), frontend.heartbeat_timeout()),
                unreported: Vec::new(),
                timeouts: Alarms::default(),
                next_serial: 0,
            }),
        })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Sets whether the node is draining: then pushes are rejected and no job is handed to workers.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.set(is_draining);
    }

    /// Whether all pushed jobs are answered and all answers are written.
    pub fn is_drained(&self) -> bool {
        let state = self.state.borrow();
        let has_unwritten = |client: &FaktoryClient| client.connection.buffer.waits_to_write();
        state.by_request.is_empty() && !state.clients.iter().any(|(_, client)| has_unwritten(client))
    }

    pub fn open_requests(&self) -> usize {
        self.state.borrow().by_request.len()
    }

    pub fn accept(&self) {
        listen::take_in(&self.listener, MAX_ACCEPTS_PER_TURN, "Faktory clients", |stream| {
            self.add_client(stream);
        });
        if let Err(e) = self.poller.modify(&self.listener, Event::readable(self.listener_key)) {
            warn!("cannot watch the Faktory listener: {e}");
        }
    }

    fn add_client(&self, stream: TcpStream) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let FrontendState { clients, timeouts, next_serial, .. } = &mut *state;
        if clients.len() >= self.max_connections {
            // Guards against thousands of idle fetching workers on descriptors that others need. The connection is
            // closed without reading: the client has sent nothing yet, and the error is one write that the system takes
            // at once.
            let rejection = Answer::Error("no connection is left, come again".to_owned());
            let _ = io::Write::write(&mut &stream, &rejection.bytes());
            return;
        }
        let entry = clients.vacant_entry();
        match Connection::from_stream(stream, &self.poller, (self.key)(entry.key())) {
            Ok(mut connection) => {
                connection.set_max_unread(MAX_LINE + 2);
                let greeting = self.greeting();
                connection.buffer.put(&greeting.says().bytes());
                let serial = *next_serial;
                *next_serial += 1;
                timeouts.set(now + HANDSHAKE_TIMEOUT, (entry.key(), serial));
                let (admitted, worker, closes_after_write) = (false, None, false);
                let line_started = Some(now);
                let client = entry.insert(FaktoryClient {
                    connection,
                    serial,
                    greeting,
                    admitted,
                    worker,
                    waiting: Waiting::Nothing,
                    line_started,
                    closes_after_write,
                });
                // A failure is noticed when the event loop handles the connection next.
                let _ = client.connection.write().and_then(|()| client.connection.watch(false));
            }
            Err(e) => warn!("cannot watch a Faktory connection: {e}"),
        }
    }

    /// The greeting of a new connection; each has a salt of its own.
    fn greeting(&self) -> Greeting {
        let Some(password) = &self.password else { return Greeting::open() };
        let salt = self.salt.get();
        self.salt.set(grebeusher_dispatch::ids::mix64(salt.wrapping_add(1)));
        Greeting::with(password, &format!("{salt:016x}"), ITERATIONS)
    }

    pub fn next_timeout(&self) -> Option<Instant> {
        let state = self.state.borrow();
        if !state.unreported.is_empty() {
            return Some(Instant(0));
        }
        state.timeouts.next_at().into_iter().chain(state.reservations.next_due()).min()
    }

    /// Handles fetches that found no job, silent connections, jobs that nobody fetched, reservations that have expired,
    /// and workers without a heartbeat.
    pub fn handle_timeouts(&self, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        while let Some((index, serial)) = { self.state.borrow_mut().timeouts.due(now) } {
            let mut state = self.state.borrow_mut();
            let Some(client) = state.clients.get_mut(index).filter(|client| client.serial == serial) else {
                continue;
            };
            if matches!(&client.waiting, Waiting::Fetch(_, until) if *until <= now) {
                client.waiting = Waiting::Nothing;
                state.send(index, &Answer::Nothing);
            } else if client.line_started.is_some_and(|line_started| {
                now.since(line_started) >= if client.admitted { LINE_TIMEOUT } else { HANDSHAKE_TIMEOUT }
            }) {
                drop(state);
                self.connection_lost(index, coordinator);
            }
        }
        let (ended, silent) = self.state.borrow_mut().reservations.due(now);
        self.state.borrow_mut().attempts_ended(ended);
        for worker in silent {
            info!(
                "Faktory worker {} sent no heartbeat in time",
                self.state.borrow().reservations.wid(worker)
            );
            self.report_worker_status(worker, coordinator);
        }
        self.report_events(coordinator);
    }

    fn report_events(&self, coordinator: &mut Coordinator) {
        let unreported = std::mem::take(&mut self.state.borrow_mut().unreported);
        for event in unreported {
            match event {
                UnreportedEvent::Fetched(id) => coordinator.attempt_fetched(id),
                UnreportedEvent::Ended(id, AttemptOutcome::Served) => coordinator.attempt_completed(id, b""),
                UnreportedEvent::Ended(id, outcome) => coordinator.attempt_ended(id, outcome, None),
            }
        }
    }

    /// Reports the status of a worker to the coordinator.
    fn report_worker_status(&self, worker: usize, coordinator: &mut Coordinator) {
        let (wid, worker_status) = {
            let state = self.state.borrow();
            (state.reservations.wid(worker).to_owned(), state.reservations.standing(worker))
        };
        coordinator.worker_status_changed(worker, &wid, worker_status);
    }

    /// Handles readiness of a connection for reading or writing.
    pub fn handle_event(&self, index: usize, coordinator: &mut Coordinator) {
        let reading = match self.state.borrow_mut().clients.get_mut(index) {
            Some(client) => client.connection.write().and_then(|()| client.connection.read()),
            None => return,
        };
        while let Some(command) = self.next_command(index) {
            self.serve(index, command, coordinator);
        }
        let is_finished = {
            let mut state = self.state.borrow_mut();
            match (reading, state.clients.get_mut(index)) {
                (_, None) => return self.report_events(coordinator),
                (Ok(Reading::Open), Some(client)) => {
                    let done = client.closes_after_write && !client.connection.buffer.waits_to_write();
                    done || client.connection.watch(false).is_err()
                }
                (Ok(Reading::Ended) | Err(_), Some(_)) => true,
            }
        };
        if is_finished {
            self.connection_lost(index, coordinator);
        }
        self.report_events(coordinator);
    }

    /// The next complete command; an error for an invalid one.
    fn next_command(&self, index: usize) -> Option<Result<Command, String>> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let FrontendState { clients, timeouts, .. } = &mut *state;
        let client = clients
            .get_mut(index)
            .filter(|client| !client.closes_after_write && client.waiting == Waiting::Nothing)?;
        // Guards against answers that pile up for a client that sends commands and does not read.
        if client.connection.buffer.waits_to_write() {
            return None;
        }
        match line(client.connection.buffer.unread()) {
            Ok(Some((text, length))) => {
                let command = read(text);
                client.connection.buffer.done_with(length);
                if client.admitted {
                    client.line_started = None;
                }
                Some(command)
            }
            Ok(None) => {
                if client.line_started.is_none() && !client.connection.buffer.unread().is_empty() {
                    client.line_started = Some(now);
                    timeouts.set(now + LINE_TIMEOUT, (index, client.serial));
                }
                None
            }
            Err(_) => {
                client.closes_after_write = true;
                state.send(index, &Answer::Error(format!("a command is a line of {MAX_LINE} bytes at most")));
                None
            }
        }
    }

    fn serve(&self, index: usize, command: Result<Command, String>, coordinator: &mut Coordinator) {
        debug!("Faktory connection {index}: {command:?}");
        let now = self.clock.now();
        let (admitted, worker) = match self.state.borrow().clients.get(index) {
            Some(client) => (client.admitted, client.worker),
            None => return,
        };
        let answer = match (command, worker) {
            (Err(message), _) => Err(message),
            (Ok(Command::End), _) => {
                if let Some(client) = self.state.borrow_mut().clients.get_mut(index) {
                    client.closes_after_write = true;
                }
                Ok(Some(Answer::Ok))
            }
            (Ok(Command::Hello(hello)), _) if !admitted => {
                let admission = self.state.borrow().clients[index].greeting.admits(&hello);
                if admission.is_ok() {
                    self.admitted(index, hello.wid.as_deref(), coordinator);
                } else {
                    self.state.borrow_mut().clients[index].closes_after_write = true;
                }
                admission.map(|()| Some(Answer::Ok))
            }
            (Ok(Command::Hello(_)), _) => Err("said hello before".to_owned()),
            _ if !admitted => Err("say HELLO first".to_owned()),
            (Ok(Command::Push(job)), _) => self.push(index, *job, coordinator),
            (Ok(Command::Info), _) => Ok(Some(Answer::Bulk(self.info()))),
            (Ok(Command::Fetch(queues)), Some(_)) => {
                let mut state = self.state.borrow_mut();
                let until = now + FETCH_TIMEOUT;
                state.clients[index].waiting = Waiting::Fetch(queues, until);
                if self.is_draining.get() || !state.fetch(index, now) {
                    let serial = state.clients[index].serial;
                    state.timeouts.set(until, (index, serial));
                }
                Ok(None)
            }
            (Ok(Command::Ack(jid)), Some(worker)) => self.settle(worker, &jid, End::Done),
            (Ok(Command::Fail(failure)), Some(worker)) => {
                debug!("{}: {}: {}", failure.jid, failure.errtype, failure.message);
                self.settle(worker, &failure.jid, End::Failed)
            }
            (Ok(Command::Beat(beat)), Some(worker)) => {
                self.beat(worker, &beat.wid, beat.current_state, coordinator)
            }
            (Ok(_), None) => Err("only workers do so: say HELLO with a wid".to_owned()),
        };
        match answer {
            Ok(Some(answer)) => self.state.borrow_mut().send(index, &answer),
            Ok(None) => {}
            Err(message) => {
                self.counters.faktory_errors.increment();
                self.state.borrow_mut().send(index, &Answer::Error(message));
            }
        }
    }

    fn admitted(&self, index: usize, wid: Option<&str>, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        let worker = {
            let mut state = self.state.borrow_mut();
            let worker = wid.map(|wid| {
                let known_worker = state.reservations.worker(wid);
                let earlier_status = known_worker.map(|worker| state.reservations.standing(worker));
                (state.reservations.hello(now, wid), earlier_status)
            });
            let client = &mut state.clients[index];
            (client.admitted, client.line_started, client.worker) =
                (true, None, worker.map(|(worker, _)| worker));
            worker.filter(|(_, earlier_status)| {
                earlier_status.is_none_or(|earlier_status| earlier_status == Standing::Gone)
            })
        };
        if let Some((worker, _)) = worker {
            info!("Faktory worker {} connected", wid.unwrap_or_default());
            self.report_worker_status(worker, coordinator);
        }
    }

    fn settle(&self, worker: usize, jid: &str, end: End) -> Result<Option<Answer>, String> {
        let mut state = self.state.borrow_mut();
        let ended = state.reservations.settle(worker, jid, end)?;
        state.attempts_ended([ended]);
        Ok(Some(Answer::Ok))
    }

    fn beat(
        &self,
        worker: usize,
        wid: &str,
        reported_state: Option<WorkerState>,
        coordinator: &mut Coordinator,
    ) -> Result<Option<Answer>, String> {
        if self.state.borrow().reservations.worker(wid) != Some(worker) {
            return Err("a heartbeat is of the worker that said HELLO here".to_owned());
        }
        let earlier_status = self.state.borrow().reservations.standing(worker);
        let ended = self.state.borrow_mut().reservations.beat(self.clock.now(), worker, reported_state);
        self.state.borrow_mut().attempts_ended(ended);
        if self.state.borrow().reservations.standing(worker) != earlier_status {
            self.report_worker_status(worker, coordinator);
        }
        let quiet_state = json!({"state": "quiet"}).to_string();
        Ok(Some(if self.is_draining.get() { Answer::Bulk(quiet_state) } else { Answer::Ok }))
    }

    fn info(&self) -> String {
        let state = self.state.borrow();
        let (waiting, fetched) = state.reservations.counts();
        let c = &self.counters;
        json!({"faktory": {"total_enqueued": waiting, "total_working": fetched,
            "total_processed": c.fulfilled.total(), "total_failures": c.forfeited.total(),
            "connections": state.clients.len(), "workers": state.reservations.present().count()}})
        .to_string()
    }

    /// Accepts a job that a client pushes; the client then waits for the final answer.
    fn push(&self, index: usize, job: Job, coordinator: &mut Coordinator) -> Result<Option<Answer>, String> {
        let class_names = &self.settings.tariff_names;
        let class = class_names.iter().position(|name| *name == job.queue);
        let class = class.ok_or_else(|| {
            format!("no tariff {:?}: a queue is one of {}", job.queue, class_names.join(", "))
        })?;
        let custom_number = |name: &str| job.custom[name].as_u64();
        if let Some(invalid_field) = ["patience_ms", "cost_us"]
            .into_iter()
            .find(|name| !job.custom[name].is_null() && custom_number(name).is_none_or(|n| n == 0))
        {
            return Err(format!("custom.{invalid_field}: expected a whole number above 0"));
        }
        if coordinator.has_open_request(&job.jid) {
            return Err(format!("job {} is in hand", job.jid));
        }
        let json = job.text;
        if json.len() > MAX_BODY {
            return Err(format!("a job has {MAX_BODY} bytes at most"));
        }
        self.counters.units.increment();
        if self.is_draining.get() {
            self.counters.turned_back.increment(class);
            return Err("turned back: this node is leaving, pushing it elsewhere is harmless".to_owned());
        }
        let now = self.clock.now();
        let patience = custom_number("patience_ms")
            .map_or(self.settings.deadline(class), |ms| Duration::from_millis(ms.min(MAX_PATIENCE_MS)));
        let arrival = Arrival {
            class,
            customer: self.settings.customer(None),
            deadline: now + patience,
            repeat: job.custom["again"].as_bool().unwrap_or(false),
            hint: custom_number("cost_us").map(|us| Duration::from_nanos(us.saturating_mul(1000))),
            slots: 1.0,
            over_budget: false,
        };
        let content = RequestContent {
            call_id: job.jid.as_str().into(),
            class: job.queue.clone(),
            target: format!("/{}", job.queue),
            headers: String::new(),
            body: json.clone().into_bytes(),
            non_idempotent: self.settings.is_non_idempotent(class),
            scope: (class, arrival.customer),
            durable: false,
            faktory_job: Some(FaktoryJob {
                json,
                priority: job.priority,
                reserve_for: job.reserve_for.map(|s| Duration::from_millis(s.saturating_mul(1000).max(1000))),
            }),
        };
        let request_id = self.request_ids.next_id();
        {
            let mut state = self.state.borrow_mut();
            state.by_request.insert(request_id, (index, class));
            state.clients[index].waiting = Waiting::Push(request_id);
        }
        coordinator.request_arrived(request_id, content, &arrival);
        Ok(None)
    }

    /// Handles the loss of a connection: the client that waited there is gone, and if it was the last connection of a
    /// worker, its attempts have ended.
    fn connection_lost(&self, index: usize, coordinator: &mut Coordinator) {
        let (request_id, worker) = {
            let mut state = self.state.borrow_mut();
            let Some(client) = state.clients.try_remove(index) else { return };
            let request_id =
                if let Waiting::Push(request_id) = client.waiting { Some(request_id) } else { None };
            if let Some(request_id) = &request_id {
                state.by_request.remove(request_id);
            }
            let worker = client.worker.inspect(|&worker| {
                let ended = state.reservations.broke(worker);
                state.attempts_ended(ended);
            });
            (request_id, worker)
        };
        if let Some(request_id) = request_id {
            self.counters.withdrawn.increment();
            coordinator.request_withdrawn(request_id);
        }
        if let Some(worker) = worker
            && self.state.borrow().reservations.standing(worker) == Standing::Gone
        {
            info!("Faktory worker {} disconnected", self.state.borrow().reservations.wid(worker));
            self.report_worker_status(worker, coordinator);
        }
    }
}

impl FrontendState {
    fn send(&mut self, index: usize, answer: &Answer) {
        let Some(client) = self.clients.get_mut(index) else { return };
        client.connection.buffer.put(&answer.bytes());
        // Watches also for input that was read meanwhile. A failure is noticed when the event loop handles the
        // connection next.
        let has_unread = !client.connection.buffer.unread().is_empty();
        let _ = client.connection.write().and_then(|()| client.connection.watch(has_unread));
    }

    /// Hands the waiting worker on this connection a job, if there is one for it.
    fn fetch(&mut self, index: usize, now: Instant) -> bool {
        let client = &self.clients[index];
        let (Waiting::Fetch(queues, _), Some(worker)) = (&client.waiting, client.worker) else {
            return false;
        };
        let Some((id, body)) = self.reservations.fetch(now, worker, queues) else { return false };
        self.clients[index].waiting = Waiting::Nothing;
        self.unreported.push(UnreportedEvent::Fetched(id));
        self.send(index, &Answer::Bulk(body));
        true
    }

    fn attempts_ended(&mut self, ended: impl IntoIterator<Item = (AttemptId, End)>) {
        self.unreported.extend(ended.into_iter().map(|(id, end)| {
            let outcome = match end {
                End::Done => AttemptOutcome::Served,
                End::Failed => AttemptOutcome::Error,
                End::Unfetched => AttemptOutcome::Full,
                End::Broken => AttemptOutcome::Reset,
                End::Expired => AttemptOutcome::TimedOut,
            };
            UnreportedEvent::Ended(id, outcome)
        }));
    }
}

/// The job for a worker of a request that came by HTTP.
fn job_json(content: &RequestContent, reserve_for: Duration) -> String {
    let body = String::from_utf8_lossy(&content.body);
    json!({"jid": &*content.call_id, "jobtype": content.class, "queue": content.class, "args": [body],
        "reserve_for": reserve_for.nanos() / 1_000_000_000, "custom": {"target": content.target}})
    .to_string()
}

impl FaktoryFrontend for Faktory {
    /// Sends the final answer, if the request was pushed here.
    fn respond(&self, request_id: RequestId, status: u16) -> bool {
        let mut state = self.state.borrow_mut();
        let Some((index, class)) = state.by_request.remove(&request_id) else { return false };
        self.counters.responded(class, status);
        if state.clients.contains(index) {
            let answer = match status {
                200 => Answer::Ok,
                503 => Answer::Error("turned back: pushing it again is harmless".to_owned()),
                _ => Answer::Error("forfeited: it may have run".to_owned()),
            };
            state.clients[index].waiting = Waiting::Nothing;
            state.send(index, &answer);
        }
        true
    }

    /// Assigns a request to a worker; `false` if the worker can't take it or the node is draining.
    fn assign(&self, worker: usize, id: AttemptId, content: &RequestContent, timeout: Duration) -> bool {
        if self.is_draining.get() {
            return false;
        }
        let now = self.clock.now();
        let faktory_job = content.faktory_job.as_ref();
        let reserve_for =
            faktory_job.and_then(|job| job.reserve_for).unwrap_or(self.reserve_for).min(timeout);
        let body = faktory_job.map_or_else(|| job_json(content, reserve_for), |job| job.json.clone());
        let job = Handed {
            token: id,
            jid: content.call_id.to_string(),
            queue: content.class.clone(),
            priority: faktory_job.map_or(5, |job| job.priority),
            body,
            reserve_for,
        };
        let mut state = self.state.borrow_mut();
        if !state.reservations.hand(now, worker, job) {
            return false;
        }
        // A connection of this worker that waits for such a job gets it at once.
        let awaits_class = |client: &FaktoryClient| {
            let includes_class = |queues: &[String]| queues.contains(&content.class);
            client.worker == Some(worker)
                && matches!(&client.waiting, Waiting::Fetch(queues, _) if includes_class(queues))
        };
        let index = state.clients.iter().find(|(_, client)| awaits_class(client)).map(|(index, _)| index);
        if let Some(index) = index {
            state.fetch(index, now);
        }
        true
    }

    /// The worker could not take the attempt, so nothing of it has run.
    fn assignment_failed(&self, id: AttemptId) {
        self.state.borrow_mut().unreported.push(UnreportedEvent::Ended(id, AttemptOutcome::Full));
    }

    /// The result of an assigned attempt is no longer wanted. A worker that has fetched it can't be told, and its later
    /// report is answered with an error.
    fn cancel_attempt(&self, id: AttemptId) {
        let mut state = self.state.borrow_mut();
        if state.reservations.withdraw(id).is_some() {
            state.unreported.push(UnreportedEvent::Ended(id, AttemptOutcome::Cancelled));
        }
    }

    /// The IDs and the status of the connected workers.
    fn workers(&self) -> Vec<(String, Standing)> {
        let state = self.state.borrow();
        let reservations = &state.reservations;
        let with_status =
            |worker: usize| (reservations.wid(worker).to_owned(), reservations.standing(worker));
        reservations.present().map(with_status).collect()
    }
}
