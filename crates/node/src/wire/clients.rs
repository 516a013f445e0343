//! Inbound connections. Clients send requests and wait for their responses; executors send callbacks to the same
//! address.

use crate::coordinator::Coordinator;
use crate::interfaces::{CallerId, ClientResponder, DescriptorHolder};
use crate::state::clock::Clock;
use crate::state::connection::{Connection, MAX_UNREAD};
use crate::state::counters::Counters;
use crate::state::requests::{RequestContent, RequestIds};
use crate::wire::LIMITS;
use crate::wire::call_backs::{self, Callback};
use grebeusher_dispatch::Arrival;
use grebeusher_dispatch::ids::RequestId;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_node_config::DeploymentSettings;
use grebeusher_transport::alarms::Alarms;
use grebeusher_transport::buffer::Reading;
use grebeusher_transport::http::{self, Malformed, Request};
use polling::{Event, Poller};
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use tracing::{debug, info, trace, warn};

/// The time limit for the first request of a connection from its establishment, for a later one from its first byte,
/// and for reading a response. Well-behaved clients need two seconds on the slowest lines, and the others have to get
/// an error or a close within 3 s; this leaves time for a busy moment to both. Guards against sockets held by clients
/// that send nothing or never finish.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long further input of a rejected client is read and discarded: 60 MB of a faulty client within 6 s of
/// connecting.
const LINGER: Duration = Duration::from_millis(4000);
/// How long input after the last response on a connection is read and discarded: some round trips, until the client has
/// seen the end of the connection.
const SHORT_LINGER: Duration = Duration::from_millis(500);
/// The number of connections that are accepted before other events are handled: further ones wait for microseconds
/// only.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// A usual request is far smaller than this number of bytes: available memory is checked for larger ones only.
const LARGE_REQUEST: usize = 16 * 1024;
/// The number of bytes that are read ahead of the next request while one is open: meanwhile only the end of the
/// connection matters.
const MAX_READ_AHEAD: usize = 4 * 1024;
/// The longest target of a request in bytes, by what common servers accept in the request line to an executor, and the
/// longest ID in it.
const MAX_TARGET: usize = 4096;
const MAX_ID: usize = 128;
/// The path prefix of durable requests, where there is a job log.
const DURABLE_PREFIX: &str = "/durable/";
/// The headers that the node writes itself at the head of each attempt.
const OWN_HEADERS: [&str; 4] = ["Host", "X-Call-Id", "X-Call-Class", "X-Budget-Ms"];
/// How long no connection is accepted after the system had no descriptor for one: some are closed meanwhile.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The longest deadline that a client may set, in milliseconds from now: a day, far beyond any request. It keeps sums
/// of times in range.
const MAX_PATIENCE_MS: u64 = 86_400_000;

/// An inbound connection of a client or an executor.
struct Caller {
    connection: Connection,
    serial: u64,
    /// The request whose response the client waits for.
    open_request: Option<RequestId>,
    /// Its callback was forwarded to another process of the node, and waits for the answer.
    is_forwarded: bool,
    /// The class of its open request, and the length of the body of that request in bytes.
    class: usize,
    body_bytes: usize,
    /// Since when a request is awaited that is not complete yet: the first one, or one that has begun.
    request_due_since: Option<Instant>,
    accepted_at: Instant,
    last_used: Instant,
    /// The number of bytes of an incomplete request that have arrived, and in how many reads.
    partial_request: (usize, u32),
    /// The connection has sent a request, unlike those that are silent or only check the state of the node.
    has_sent_request: bool,
    is_executor: bool,
    /// The connection is closed once all is written.
    closes_after_write: bool,
    /// The last response is written or being written: until then further input is discarded before the socket is
    /// closed. Guards against a reset, by which the client would lose the response.
    lingers_until: Option<Instant>,
    /// Input is read and discarded.
    discards_input: bool,
}

impl Caller {
    /// Whether the connection waits for a response that depends on others.
    fn is_busy(&self) -> bool {
        self.open_request.is_some() || self.is_forwarded
    }

    fn is_idle(&self) -> bool {
        let buffer = &self.connection.buffer;
        self.lingers_until.is_some()
            || (!self.is_busy() && buffer.unread().is_empty() && !buffer.waits_to_write())
    }

    /// How soon the connection may be closed to make room, if at all. The order is: rejected clients, connections that
    /// have sent nothing or only asked for the state of the node, those that began a request and stalled, idle clients,
    /// those that go on sending a request in pieces, and idle connections of executors, which repeat callbacks on
    /// another connection. Connections with an open request are never closed.
    fn eviction_order(&self, now: Instant) -> Option<(u8, Instant)> {
        // The minimum idle times. A request may be on its way on a new or idle connection, and would be lost: a round
        // trip and a busy moment for connections that have sent nothing yet, more for clients that exchange requests
        // and responses.
        const IDLE_GRACE: Duration = Duration::from_millis(50);
        const ACTIVE_GRACE: Duration = Duration::from_millis(250);
        let (rank, grace) = match self {
            Caller { lingers_until: Some(_), .. } => (0, Duration::from_millis(0)),
            _ if self.is_busy() => return None,
            // Guards against a node whose descriptors are all held by idle executors while its clients wait in the
            // listen backlog.
            Caller { is_executor: true, .. } if self.is_idle() => (5, ACTIVE_GRACE),
            Caller { is_executor: true, .. } => return None,
            Caller { has_sent_request: false, .. } if self.is_idle() => (1, IDLE_GRACE),
            // Guards against closing well-behaved clients on slow lines together with a crowd that stalls half way.
            Caller { has_sent_request: false, partial_request: (_, 2..), .. } => (4, ACTIVE_GRACE),
            Caller { has_sent_request: false, .. } => (2, IDLE_GRACE),
            _ if self.is_idle() => (3, ACTIVE_GRACE),
            _ => return None,
        };
        (now.since(self.last_used) >= grace).then_some((rank, self.last_used))
    }

    /// The memory that the connection takes, in bytes: unparsed input, and the body of the open request.
    fn held_bytes(&self) -> usize {
        self.connection.buffer.unread().len() + self.body_bytes
    }

    /// Reads available input.
    fn read(&mut self) -> io::Result<Reading> {
        let reading = if self.discards_input { Reading::Open } else { self.connection.read()? };
        self.discard_excess();
        if self.discards_input && reading == Reading::Open {
            self.connection.read_and_discard()
        } else {
            Ok(reading)
        }
    }

    /// Discards what a client sends beyond the beginning of the next request while one is open, and closes the
    /// connection after the response. Guards against an end of the connection that is not noticed behind unread input.
    fn discard_excess(&mut self) {
        if self.open_request.is_some() && self.connection.buffer.unread().len() >= MAX_READ_AHEAD {
            (self.closes_after_write, self.discards_input) = (true, true);
        }
        if self.discards_input {
            self.discard_unread();
        }
    }

    fn discard_unread(&mut self) {
        let unread = self.connection.buffer.unread().len();
        self.connection.buffer.done_with(unread);
    }

    /// Writes what can be written, and sets what the poller watches for; `false` when the connection is finished.
    fn flush(&mut self, now: Instant, timeouts: &mut Alarms<(usize, u64)>, index: usize) -> bool {
        self.discard_excess();
        let buffer = &self.connection.buffer;
        // Input that was read while a response was pending is parsed as soon as that is written.
        let has_unparsed = !self.is_busy() && self.request_due_since.is_none() && !buffer.unread().is_empty();
        let written = self.connection.write().and_then(|()| self.connection.watch(has_unparsed));
        if written.is_err()
            || !self.closes_after_write
            || self.is_busy()
            || self.connection.buffer.waits_to_write()
        {
            return written.is_ok();
        }
        // Further input is read and discarded. Guards against a next request at that moment, for which the end of the
        // connection would make the client lose the response.
        self.discards_input = true;
        if self.lingers_until.is_none() {
            self.lingers_until = Some(now + SHORT_LINGER);
            timeouts.set(now + SHORT_LINGER, (index, self.serial));
        }
        self.connection.shutdown_write().is_ok()
    }
}

struct Callers {
    connections: Slab<Caller>,
    by_request: HashMap<RequestId, usize>,
    /// The time limits for requests and for reading responses, by index and serial number of the connection.
    timeouts: Alarms<(usize, u64)>,
    next_serial: u64,
}

pub struct Clients {
    listener: TcpListener,
    poller: Rc<Poller>,
    clock: Clock,
    counters: Rc<Counters>,
    /// The poller keys of the listener, and of a connection by its index.
    listener_key: usize,
    key: fn(usize) -> usize,
    max_connections: Cell<usize>,
    /// The memory that all requests together may take, in bytes.
    max_request_bytes: Cell<usize>,
    /// Whether connections are accepted.
    accepts: Cell<bool>,
    settings: DeploymentSettings,
    callers: RefCell<Callers>,
    request_ids: RequestIds,
    ready: Cell<bool>,
    /// Responses ask clients to close their connections.
    closes_connections: Cell<bool>,
    /// Set when the node is told to stop: requests that arrive from the first time on have to be answered by the
    /// second.
    cutoff: Cell<Option<(Instant, Instant)>>,
    accept_paused_until: Cell<Option<Instant>>,
    needs_descriptor: Cell<bool>,
}

/// Whether a POST to this target is a request that is not durable, for which only its client waits.
fn is_work_request(target: &str) -> bool {
    let path = target.split('?').next().unwrap_or_default();
    path != call_backs::PATH && !path.starts_with(DURABLE_PREFIX)
}

impl Clients {
    pub fn listen(
        listener: TcpListener,
        settings: &DeploymentSettings,
        request_ids: &RequestIds,
        (max_connections, max_request_bytes): (usize, usize),
        (listener_key, key): (usize, fn(usize) -> usize),
        (poller, clock, counters): (&Rc<Poller>, Clock, &Rc<Counters>),
    ) -> io::Result<Clients> {
        poller.add(&listener, Event::readable(listener_key))?;
        Ok(Clients {
            listener,
            poller: poller.clone(),
            clock,
            counters: counters.clone(),
            listener_key,
            key,
            max_connections: Cell::new(max_connections),
            max_request_bytes: Cell::new(max_request_bytes),
            accepts: Cell::new(true),
            settings: settings.clone(),
            callers: RefCell::new(Callers {
                connections: Slab::new(),
                by_request: HashMap::new(),
                timeouts: Alarms::default(),
                next_serial: 0,
            }),
            request_ids: request_ids.clone(),
            ready: Cell::new(false),
            closes_connections: Cell::new(false),
            cutoff: Cell::new(None),
            accept_paused_until: Cell::new(None),
            needs_descriptor: Cell::new(false),
        })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Sets the maximum number of connections, and the memory that their requests may take, in bytes.
    pub fn set_limits(&self, (max_connections, max_request_bytes): (usize, usize)) {
        self.max_connections.set(max_connections);
        self.max_request_bytes.set(max_request_bytes);
    }

    /// Sets whether connections are accepted here, or left to another process.
    pub fn set_accepting(&self, accepts: bool) {
        if self.accepts.replace(accepts) != accepts {
            self.watch_listener();
        }
    }

    /// The number of requests that have no response yet.
    pub fn open_requests(&self) -> usize {
        self.callers.borrow().by_request.len()
    }

    /// The maximum number of open requests: a third of the connections is reserved for callbacks.
    pub fn max_open_requests(&self) -> usize {
        self.max_connections.get() * 2 / 3
    }

    /// The names of the request classes, by their indices.
    pub fn class_names(&self) -> &[String] {
        &self.settings.tariff_names
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Sets that requests that arrive at `from` or later are answered by `deadline`. Guards against requests that are
    /// still open when the process ends.
    pub fn set_cutoff(&self, from: Instant, deadline: Instant) {
        self.cutoff.set(Some((from, deadline)));
    }

    /// Sets whether each response to a client asks it to close the connection.
    pub fn set_closing_connections(&self, closes_connections: bool) {
        self.closes_connections.set(closes_connections);
    }

    /// Closes connections on which no request was open for a while, except those of executors; also those whose request
    /// has stalled. Guards against a node that waits before its end for a crowd of such connections.
    pub fn close_idle(&self, idle_for: Duration) {
        // The pieces of a request on a slow line are a few round trips apart.
        const STALL_TIMEOUT: Duration = Duration::from_millis(500);
        let now = self.clock.now();
        let is_active = |caller: &Caller| {
            !caller.is_idle()
                && (caller.partial_request.1 == 0 || now.since(caller.last_used) < STALL_TIMEOUT)
        };
        self.callers.borrow_mut().connections.retain(|_, caller| {
            // Input that has arrived but was not read is a request that closing the connection would lose.
            caller.is_executor
                || is_active(caller)
                || now.since(caller.last_used) < idle_for
                || (caller.lingers_until.is_none() && caller.connection.has_pending_input())
        });
    }

    /// Whether all requests are answered, and no client is left that may send another. Clients connected before
    /// `drain_noticed_at`. A connection that came later and has no open request is of an executor, which will repeat
    /// its callback, or of a client that reconnects for ever.
    pub fn is_drained(&self, drain_noticed_at: Instant) -> bool {
        let callers = self.callers.borrow();
        let awaits_response = |caller: &Caller| caller.is_busy() || caller.connection.buffer.waits_to_write();
        let is_finished = |caller: &Caller| {
            (caller.is_executor && caller.is_idle())
                || (caller.accepted_at > drain_noticed_at && !awaits_response(caller))
        };
        callers.by_request.is_empty() && callers.connections.iter().all(|(_, caller)| is_finished(caller))
    }

    /// Accepts waiting connections.
    pub fn accept(&self) {
        if self.accept_paused_until.get().is_some() || !self.accepts.get() {
            return;
        }
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let is_full = self.callers.borrow().connections.len() >= self.max_connections.get();
            let evicted = if is_full { self.next_to_evict() } else { None };
            if is_full && evicted.is_none() {
                // All connections have open requests. An accepted client must get a response, so new connections wait
                // in the listen backlog.
                self.accept_paused_until.set(Some(self.clock.now() + ACCEPT_PAUSE));
                return;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    evicted.inspect(|&index| self.evict(index));
                    self.add_connection(stream);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // The system has no descriptor for another connection. Guards against a busy loop on a listener
                    // that can't be served: closes a connection, and accepts again after a pause.
                    self.counters.accepts_failed.increment();
                    warn!("cannot accept connections: {e}");
                    if !self.release_descriptor() {
                        self.needs_descriptor.set(true);
                    }
                    self.accept_paused_until.set(Some(self.clock.now() + ACCEPT_PAUSE));
                    return;
                }
            }
        }
        self.watch_listener();
    }

    fn watch_listener(&self) {
        let event = Event { readable: self.accepts.get(), ..Event::none(self.listener_key) };
        if let Err(e) = self.poller.modify(&self.listener, event) {
            warn!("cannot watch the listener: {e}");
        }
    }

    fn add_connection(&self, stream: TcpStream) {
        let now = self.clock.now();
        let mut callers = self.callers.borrow_mut();
        let Callers { connections, timeouts, next_serial, .. } = &mut *callers;
        let serial = *next_serial;
        *next_serial += 1;
        let entry = connections.vacant_entry();
        match Connection::from_stream(stream, &self.poller, (self.key)(entry.key())) {
            Ok(connection) => {
                self.counters.callers_accepted.increment();
                timeouts.set(now + REQUEST_TIMEOUT, (entry.key(), serial));
                entry.insert(Caller {
                    connection,
                    serial,
                    open_request: None,
                    is_forwarded: false,
                    class: 0,
                    body_bytes: 0,
                    request_due_since: Some(now),
                    accepted_at: now,
                    last_used: now,
                    partial_request: (0, 0),
                    has_sent_request: false,
                    is_executor: false,
                    closes_after_write: false,
                    lingers_until: None,
                    discards_input: false,
                });
            }
            Err(e) => {
                self.counters.accepts_failed.increment();
                warn!("cannot watch an accepted connection: {e}");
            }
        }
    }

    /// The index of the connection that is to be closed first to make room.
    fn next_to_evict(&self) -> Option<usize> {
        let (now, callers) = (self.clock.now(), self.callers.borrow());
        let candidates = callers
            .connections
            .iter()
            .filter_map(|(index, caller)| Some((caller.eviction_order(now)?, index)));
        candidates.min().map(|(_, index)| index)
    }

    fn evict(&self, index: usize) {
        self.counters.callers_shed.increment();
        self.callers.borrow_mut().connections.remove(index);
    }

    /// Whether new connections wait for a descriptor that no connection here can release. Resets the flag.
    pub fn needs_descriptor(&self) -> bool {
        self.needs_descriptor.take()
    }

    pub fn next_timeout(&self) -> Option<Instant> {
        self.callers.borrow().timeouts.next_at().into_iter().chain(self.accept_paused_until.get()).min()
    }

    /// Handles requests that came too slowly, and the end of a pause in accepting.
    pub fn handle_timeouts(&self) {
        let now = self.clock.now();
        while let Some((index, serial)) = { self.callers.borrow_mut().timeouts.due(now) } {
            let mut callers = self.callers.borrow_mut();
            let Some(caller) = callers.connections.get(index).filter(|caller| caller.serial == serial) else {
                continue;
            };
            let has_unwritten = caller.connection.buffer.waits_to_write();
            let is_silent = caller.connection.buffer.unread().is_empty();
            let is_overdue = caller.request_due_since.is_some_and(|at| now.since(at) >= REQUEST_TIMEOUT);
            if caller.lingers_until.is_some_and(|until| until <= now)
                || (has_unwritten && now.since(caller.last_used) >= REQUEST_TIMEOUT)
                || (is_overdue && is_silent)
            {
                callers.connections.remove(index);
            } else if is_overdue {
                drop(callers);
                self.reject(index, Malformed(408));
            }
        }
        if self.accept_paused_until.get().is_some_and(|until| until <= now) {
            self.accept_paused_until.set(None);
            self.watch_listener();
        }
    }

    /// Handles readiness of a connection for reading or writing.
    pub fn handle_event(&self, index: usize, coordinator: &mut Coordinator) {
        let reading = {
            let mut callers = self.callers.borrow_mut();
            let Some(caller) = callers.connections.get_mut(index) else { return };
            caller.read()
        };
        while let Some(request) = self.next_request(index) {
            // A client that has closed its connection is gone. Guards against a node that was stopped for a while and
            // then sends the requests of clients that have left meanwhile: the requests and the ends of their
            // connections are read together.
            let has_left = !matches!(reading, Ok(Reading::Open));
            if has_left && request.method == "POST" && is_work_request(&request.target) {
                self.counters.withdrawn_unread.increment();
                continue;
            }
            self.serve(index, request, coordinator);
        }
        match reading {
            Ok(Reading::Open) => self.flush_caller(index, coordinator),
            // A client that has closed its connection waits for nothing any more.
            Ok(Reading::Ended) | Err(_) => self.connection_lost(index, coordinator),
        }
    }

    fn flush_caller(&self, index: usize, coordinator: &mut Coordinator) {
        let is_open = {
            let Callers { connections, timeouts, .. } = &mut *self.callers.borrow_mut();
            connections.get_mut(index).is_none_or(|caller| caller.flush(self.clock.now(), timeouts, index))
        };
        if !is_open {
            self.connection_lost(index, coordinator);
        }
    }

    /// Handles the loss of a connection, and with it of the client that waited there.
    fn connection_lost(&self, index: usize, coordinator: &mut Coordinator) {
        let withdrawn = {
            let mut callers = self.callers.borrow_mut();
            let Some(caller) = callers.connections.try_remove(index) else { return };
            caller.open_request.inspect(|request_id| {
                callers.by_request.remove(request_id);
            })
        };
        if let Some(request_id) = withdrawn {
            self.counters.withdrawn.increment();
            coordinator.request_withdrawn(request_id);
        }
    }

    /// The next complete request, unless one is open.
    fn next_request(&self, index: usize) -> Option<Request> {
        let now = self.clock.now();
        let mut callers = self.callers.borrow_mut();
        let Callers { connections, timeouts, .. } = &mut *callers;
        let caller =
            connections.get_mut(index).filter(|caller| !caller.is_busy() && !caller.closes_after_write)?;
        // Guards against responses that pile up for a client that sends requests and does not read.
        if caller.connection.buffer.waits_to_write() || caller.connection.buffer.unread().is_empty() {
            return None;
        }
        match http::request(caller.connection.buffer.unread(), &LIMITS) {
            Ok(Some((request, length))) => {
                caller.connection.buffer.done_with(length);
                (caller.request_due_since, caller.last_used, caller.partial_request) = (None, now, (0, 0));
                caller.closes_after_write = request.headers.closes;
                Some(request)
            }
            Ok(None) => {
                if caller.request_due_since.is_none() {
                    caller.request_due_since = Some(now);
                    timeouts.set(now + REQUEST_TIMEOUT, (index, caller.serial));
                }
                let (length, reads) = caller.partial_request;
                if caller.connection.buffer.unread().len() > length {
                    caller.partial_request = (caller.connection.buffer.unread().len(), reads + 1);
                    caller.last_used = now;
                }
                if caller.held_bytes() > LARGE_REQUEST && !self.has_memory(connections) {
                    drop(callers);
                    self.reject(index, Malformed(413));
                }
                None
            }
            Err(malformed) => {
                drop(callers);
                self.reject(index, malformed);
                None
            }
        }
    }

    /// Answers an invalid request, and closes the connection.
    fn reject(&self, index: usize, Malformed(status): Malformed) {
        self.counters.bad_requests.increment();
        debug!("invalid request on connection {index}: answered {status} and closed");
        {
            let mut callers = self.callers.borrow_mut();
            let Callers { connections, timeouts, .. } = &mut *callers;
            if let Some(caller) = connections.get_mut(index) {
                caller.discard_unread();
                (caller.request_due_since, caller.closes_after_write) = (None, true);
                let until = self.clock.now() + LINGER;
                (caller.lingers_until, caller.discards_input) = (Some(until), true);
                timeouts.set(until, (index, caller.serial));
            }
        }
        self.write_response(index, status, None, b"");
    }

    fn serve(&self, index: usize, request: Request, coordinator: &mut Coordinator) {
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/ready") if self.ready.get() => self.write_response(index, 200, None, b"ready\n"),
            ("GET", "/ready") => self.write_response(index, 503, None, b"not ready\n"),
            ("GET", "/counters") => {
                let text = self.counters.to_string();
                self.write_response(index, 200, None, text.as_bytes());
            }
            ("GET", path) if path.starts_with(DURABLE_PREFIX) && coordinator.has_job_log() => {
                let (status, result) = coordinator.durable_job_result(&path[DURABLE_PREFIX.len()..]);
                self.write_response(index, status, None, &result);
            }
            ("POST", path) if path.starts_with(DURABLE_PREFIX) && coordinator.has_job_log() => {
                match self.parse_request(request, true) {
                    Ok((content, arrival)) => self.accept_durable(index, content, &arrival, coordinator),
                    Err(malformed) => self.reject(index, malformed),
                }
            }
            ("POST", call_backs::PATH) => self.receive_callback(index, &request, coordinator),
            ("POST", _) => match self.parse_request(request, false) {
                Ok((content, arrival)) => self.accept_request(index, content, &arrival, coordinator),
                Err(malformed) => self.reject(index, malformed),
            },
            _ => self.reject(index, Malformed(404)),
        }
    }

    fn receive_callback(&self, index: usize, request: &Request, coordinator: &mut Coordinator) {
        self.counters.call_backs.increment();
        trace!("callback {}", String::from_utf8_lossy(&request.body));
        match serde_json::from_slice::<Callback>(&request.body) {
            Ok(callback) => {
                {
                    let mut callers = self.callers.borrow_mut();
                    let Some(caller) = callers.connections.get_mut(index) else { return };
                    caller.is_executor |= coordinator.knows_executor(&callback.from);
                    let id = (index, caller.serial);
                    if !coordinator.has_open_request(&callback.id)
                        && coordinator.forward_callback(id, &request.body)
                    {
                        caller.is_forwarded = true;
                        return;
                    }
                }
                // The callback is answered whatever it names: the executor repeats it until it is.
                self.write_response(index, 204, None, b"");
                coordinator.callback_received(callback);
            }
            Err(e) => {
                self.counters.call_backs_bad.increment();
                debug!("invalid callback: {e}");
                self.reject(index, Malformed(400));
            }
        }
    }

    /// Parses a request, and converts its units to those of the dispatcher. A `durable` request outlives the process,
    /// so the end of the process does not limit its deadline.
    fn parse_request(&self, request: Request, durable: bool) -> Result<(RequestContent, Arrival), Malformed> {
        let Request { mut target, headers, body, .. } = request;
        if durable {
            // Executors get the path without the prefix.
            target.drain(..DURABLE_PREFIX.len() - 1);
        }
        let header = |name| headers.get(name);
        let invalid = Malformed(400);
        trace!("{target} {headers:?}");
        // Target and ID become part of a request line, the ID in a cancellation.
        let is_token = |text: &str, max_length| {
            (1..=max_length).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
        };
        if !target.starts_with('/') || !is_token(&target, MAX_TARGET) {
            return Err(invalid);
        }
        let call_id = headers.once("X-Call-Id")?.filter(|id| is_token(id, MAX_ID)).ok_or(invalid)?;
        let first_segment = target.split(['/', '?']).nth(1).unwrap_or_default();
        let class_name = headers.once("X-Call-Class")?.unwrap_or(first_segment);
        let class =
            self.settings.tariff_names.iter().position(|name| name == class_name).ok_or(Malformed(404))?;
        if class_name != first_segment {
            return Err(invalid);
        }
        let numeric = |ms: &&str| ms.bytes().all(|b| b.is_ascii_digit());
        let patience_ms = headers.once("X-Budget-Ms")?.filter(numeric).and_then(|ms| ms.parse::<u64>().ok());
        let patience = Duration::from_millis(patience_ms.ok_or(invalid)?.min(MAX_PATIENCE_MS));
        let now = self.clock.now();
        let deadline = now + patience;
        let limit =
            self.cutoff.get().filter(|(from, _)| now >= *from && !durable).map_or(deadline, |(_, last)| last);
        let usable_deadline = deadline.min(limit);
        let customer = self.settings.customer(header("X-Caller"));
        let hint_us = header("X-Call-Cost").and_then(|us| us.parse::<f64>().ok());
        let hint = hint_us
            .filter(|us| us.is_finite() && *us > 0.0)
            .map(|us| Duration::from_nanos((us * 1000.0) as u64));
        let info = header("X-Call-Info").unwrap_or_default();
        let info_pairs = info.split(',').filter_map(|pair| pair.split_once('='));
        let slots =
            info_pairs.filter(|(name, _)| name.trim() == "slots").find_map(|(_, n)| n.trim().parse().ok());
        let arrival = Arrival {
            class,
            customer,
            deadline: usable_deadline,
            // If the deadline is cut, the first attempt of the client can't be told from a repeated one by it.
            repeat: header("X-Again") == Some("1") && usable_deadline == deadline,
            hint,
            slots: slots.unwrap_or(1.0),
            over_budget: false,
        };
        let content = RequestContent {
            call_id: call_id.into(),
            class: class_name.to_owned(),
            target,
            headers: headers.passed_on(&OWN_HEADERS),
            body,
            non_idempotent: self.settings.is_non_idempotent(class),
            scope: (class, arrival.customer),
            durable,
            faktory_job: None,
        };
        Ok((content, arrival))
    }

    /// Accepts a durable request: the client gets the status, and asks for the result later.
    fn accept_durable(
        &self,
        index: usize,
        content: RequestContent,
        arrival: &Arrival,
        coordinator: &mut Coordinator,
    ) {
        let status = coordinator.accept_durable(content, arrival);
        self.write_response(index, status, None, b"");
    }

    fn accept_request(
        &self,
        index: usize,
        content: RequestContent,
        arrival: &Arrival,
        coordinator: &mut Coordinator,
    ) {
        if coordinator.has_open_request(&content.call_id) {
            // Each request has a new ID: nothing would tell this request from the open one with the same ID, here or at
            // the executors.
            return self.reject(index, Malformed(409));
        }
        // A third of the connections is reserved for callbacks: each executor holds some, and without them no open
        // request would ever be answered.
        let is_overloaded = {
            let callers = self.callers.borrow();
            callers.by_request.len() * 3 >= self.max_connections.get() * 2
                || (content.body.len() > LARGE_REQUEST && !self.has_memory(&callers.connections))
        };
        if is_overloaded {
            // Nothing of this request has run.
            self.counters.units.increment();
            self.counters.turned_back.increment(arrival.class);
            if let Some(caller) = self.callers.borrow_mut().connections.get_mut(index) {
                caller.closes_after_write |= self.closes_connections.get();
            }
            return self.write_response(index, 503, None, b"");
        }
        let request_id = self.request_ids.next_id();
        {
            let mut callers = self.callers.borrow_mut();
            callers.by_request.insert(request_id, index);
            if let Some(caller) = callers.connections.get_mut(index) {
                (caller.open_request, caller.class) = (Some(request_id), arrival.class);
                (caller.body_bytes, caller.has_sent_request) = (content.body.len(), true);
                caller.connection.set_max_unread(MAX_READ_AHEAD);
            }
        }
        self.counters.units.increment();
        coordinator.request_arrived(request_id, content, arrival);
    }

    /// Whether the memory for requests is not used up. Guards against large or endless requests, hundreds at once, that
    /// exhaust the memory of the node.
    fn has_memory(&self, connections: &Slab<Caller>) -> bool {
        connections.iter().map(|(_, caller)| caller.held_bytes()).sum::<usize>()
            < self.max_request_bytes.get()
    }

    fn write_response(&self, index: usize, status: u16, retry_after: Option<f64>, body: &[u8]) {
        let mut callers = self.callers.borrow_mut();
        let Callers { connections, timeouts, .. } = &mut *callers;
        let Some(caller) = connections.get_mut(index) else { return };
        let retry_after = retry_after.map(|wait| format!("{wait:.3}"));
        let retry_after = retry_after.as_deref().map(|wait| ("Retry-After", wait));
        let extra_headers: Vec<_> =
            retry_after.into_iter().chain(caller.closes_after_write.then_some(http::CLOSE)).collect();
        caller.connection.buffer.put(&http::answer(status, &extra_headers, body));
        if !caller.flush(self.clock.now(), timeouts, index) {
            connections.remove(index);
        } else if caller.connection.buffer.waits_to_write() {
            timeouts.set(self.clock.now() + REQUEST_TIMEOUT, (index, caller.serial));
        }
    }

    pub fn log_connection_counts(&self) {
        let callers = self.callers.borrow();
        info!(
            "inbound connections: {}, open requests: {}",
            callers.connections.len(),
            callers.by_request.len()
        );
    }
}

impl DescriptorHolder for Clients {
    fn release_descriptor(&self) -> bool {
        let evicted = self.next_to_evict();
        evicted.inspect(|&index| self.evict(index)).is_some()
    }
}

impl ClientResponder for Clients {
    /// Sends the final response to a request, as the only method that does.
    fn respond(&self, request_id: RequestId, status: u16, retry_after: Option<Duration>, body: &[u8]) {
        let (index, class) = {
            let mut callers = self.callers.borrow_mut();
            let Some(index) = callers.by_request.remove(&request_id) else { return };
            let Some(caller) = callers.connections.get_mut(index) else { return };
            (caller.open_request, caller.body_bytes, caller.last_used) = (None, 0, self.clock.now());
            caller.connection.set_max_unread(MAX_UNREAD);
            caller.closes_after_write |= self.closes_connections.get();
            (index, caller.class)
        };
        self.counters.responded(class, status);
        self.write_response(index, status, retry_after.map(Duration::seconds), body);
    }

    /// Checks the socket itself, as its end may not have reached the event loop yet. A request that did not come on a
    /// client connection is always waited for.
    fn is_waiting(&self, request_id: RequestId) -> bool {
        let callers = &mut *self.callers.borrow_mut();
        let caller =
            callers.by_request.get(&request_id).and_then(|&index| callers.connections.get_mut(index));
        caller.is_none_or(|caller| matches!(caller.read(), Ok(Reading::Open)))
    }

    /// Answers a callback that was forwarded.
    fn callback_forwarded(&self, (index, serial): CallerId, status: u16) {
        match self.callers.borrow_mut().connections.get_mut(index) {
            Some(caller) if caller.serial == serial => caller.is_forwarded = false,
            _ => return,
        }
        self.write_response(index, status, None, b"");
    }
}
