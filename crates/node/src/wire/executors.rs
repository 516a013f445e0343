//! Connections to executors, on which attempts and cancellations are sent and probes are made.

use crate::coordinator::Coordinator;
use crate::interfaces::{DescriptorHolder, ExecutorTransport};
use crate::state::clock::Clock;
use crate::state::connection::{Connection, is_descriptor_exhaustion};
use crate::state::counters::Counters;
use crate::state::requests::RequestContent;
use crate::wire::LIMITS;
use crate::wire::load;
use grebeusher_dispatch::AttemptOutcome;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_transport::alarms::{Alarm, Alarms};
use grebeusher_transport::buffer::Reading;
use grebeusher_transport::http::{self, Response};
use polling::Poller;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, trace};

/// The response timeout of cancellations and probes. Executors answer them beside their work, within round trips: after
/// a second there is no answer to come.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The time in which an executor has to accept an attempt. It accepts within round trips as well, long before the
/// request starts to run. A brief stall of the executor is tolerated for half a second, and for longer where the
/// request may go to no other executor, as then nothing is gained by giving up.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
const NON_IDEMPOTENT_ACCEPT_TIMEOUT: Duration = Duration::from_millis(2000);
/// A non-idempotent request is sent only on a connection that was in use this recently. Executors may close idle
/// connections long before the configured time, and after a reset the request would count as one that may have run.
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(50);

/// The response timeout of the cancellation of an unacknowledged attempt. An executor that is up answers within round
/// trips; the request is sent to no other executor meanwhile.
const UNACKNOWLEDGED_CANCELLATION_TIMEOUT: Duration = Duration::from_millis(250);

/// Whether a request must never run twice.
type NonIdempotent = bool;

/// What a connection is in use for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Attempt(AttemptId, NonIdempotent),
    Cancellation(AttemptId),
    UnacknowledgedCancellation(AttemptId, AttemptOutcome),
    Probe,
    Idle,
}

struct PooledConnection {
    connection: Connection,
    executor: ExecutorId,
    address: SocketAddr,
    serial: u64,
    is_connecting: bool,
    /// The message has not been written completely yet.
    is_writing: bool,
    purpose: Purpose,
    /// The alarm at which the response times out, or at which the idle connection is closed.
    timeout: Option<Alarm>,
    idle_since: Instant,
}

struct ConnectionPool {
    connections: Slab<PooledConnection>,
    timeouts: Alarms<(usize, u64)>,
    next_serial: u64,
    /// Outcomes that arose during a call of the dispatcher; they are reported once that call has returned.
    unreported: Vec<(ExecutorId, Purpose, AttemptOutcome)>,
}

pub struct Executors {
    poller: Rc<Poller>,
    clock: Clock,
    counters: Rc<Counters>,
    key: fn(usize) -> usize,
    max_connections: Cell<usize>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    pool: RefCell<ConnectionPool>,
    /// Components that can release a descriptor for a new connection.
    descriptor_holders: Vec<Rc<dyn DescriptorHolder>>,
}

impl Executors {
    pub fn new(
        descriptor_holders: Vec<Rc<dyn DescriptorHolder>>,
        max_connections: usize,
        (connect_timeout, idle_timeout): (Duration, Duration),
        key: fn(usize) -> usize,
        (poller, clock, counters): (&Rc<Poller>, Clock, &Rc<Counters>),
    ) -> Executors {
        Executors {
            poller: poller.clone(),
            clock,
            counters: counters.clone(),
            key,
            max_connections: Cell::new(max_connections),
            connect_timeout,
            idle_timeout,
            pool: RefCell::new(ConnectionPool {
                connections: Slab::new(),
                timeouts: Alarms::default(),
                next_serial: 0,
                unreported: Vec::new(),
            }),
            descriptor_holders,
        }
    }

    /// Sets the maximum number of connections.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Sends a message on an idle connection, or on a new one.
    fn send(&self, executor: ExecutorId, address: Option<SocketAddr>, purpose: Purpose, message: &[u8]) {
        let mut pool = self.pool.borrow_mut();
        let index =
            address.ok_or_else(|| io::Error::other("the executor has no address")).and_then(|address| {
                let max_idle = if let Purpose::Attempt(_, true) = purpose {
                    NON_IDEMPOTENT_MAX_IDLE
                } else {
                    self.idle_timeout
                };
                match self.find_idle(&mut pool, executor, address) {
                    Some(index) if self.clock.now().since(pool.connections[index].idle_since) < max_idle => {
                        Ok(index)
                    }
                    found => {
                        // The new connection replaces the idle one. Guards against idle connections that pile up.
                        found.inspect(|&index| drop(pool.connections.remove(index)));
                        self.dial(&mut pool, executor, address)
                    }
                }
            });
        let index = match index {
            Ok(index) => index,
            Err(e) => {
                debug!("no connection to executor {}: {e}", executor.0);
                self.counters.dials_failed.increment();
                let outcome = if is_connection_shortage(&e) {
                    AttemptOutcome::SendFailed
                } else {
                    AttemptOutcome::Refused
                };
                return pool.unreported.push((executor, purpose, outcome));
            }
        };
        let ConnectionPool { connections, timeouts, .. } = &mut *pool;
        let pooled = &mut connections[index];
        (pooled.purpose, pooled.is_writing) = (purpose, true);
        pooled.connection.buffer.put(message);
        if pooled.is_connecting {
            set_timeout(index, pooled, timeouts, self.clock.now() + self.connect_timeout);
        } else {
            self.wait_for_answer(index, pooled, timeouts);
        }
        // A failure is noticed when the event loop handles the connection, which is watched for that.
        let written = if pooled.is_connecting { Ok(()) } else { self.write(pooled) };
        if written.and_then(|()| pooled.connection.watch(pooled.is_connecting)).is_err() {
            let outcome = outcome_when_broken(&connections.remove(index));
            pool.unreported.push((executor, purpose, outcome));
        }
    }

    /// The idle connection that was used last, so that the others can expire. Guards against a request on a connection
    /// that the executor has just closed: it would have to count as one that may have run.
    fn find_idle(
        &self,
        pool: &mut ConnectionPool,
        executor: ExecutorId,
        address: SocketAddr,
    ) -> Option<usize> {
        let now = self.clock.now();
        loop {
            let candidates = pool.connections.iter().filter(|(_, pooled)| {
                pooled.purpose == Purpose::Idle
                    && pooled.executor == executor
                    && pooled.address == address
                    && now.since(pooled.idle_since) < self.idle_timeout
            });
            let (index, _) = candidates.max_by_key(|(_, pooled)| pooled.idle_since)?;
            let connection = &mut pool.connections[index].connection;
            if matches!(connection.read(), Ok(Reading::Open)) && connection.buffer.unread().is_empty() {
                return Some(index);
            }
            pool.connections.remove(index);
        }
    }

    fn dial(
        &self,
        pool: &mut ConnectionPool,
        executor: ExecutorId,
        address: SocketAddr,
    ) -> io::Result<usize> {
        if pool.connections.len() >= self.max_connections.get() {
            let all_in_use =
                || io::Error::new(ErrorKind::QuotaExceeded, "the maximum number of connections is in use");
            drop_oldest_idle(pool).ok_or_else(all_in_use)?;
        }
        let serial = pool.next_serial;
        pool.next_serial += 1;
        let key = (self.key)(pool.connections.vacant_key());
        let connected = match Connection::dial(address, &self.poller, key) {
            // The process has no descriptor left: closes an idle connection, or asks other components to release a
            // descriptor. Guards against requests that are rejected while inbound connections hold all descriptors.
            Err(e) if is_connection_shortage(&e) && drop_oldest_idle(pool).is_some() => {
                Connection::dial(address, &self.poller, (self.key)(pool.connections.vacant_key()))?
            }
            Err(e) if is_connection_shortage(&e) => {
                Connection::dial_with_reclaim(&self.descriptor_holders, address, &self.poller, key)?
            }
            connected => connected?,
        };
        self.counters.dials.increment();
        Ok(pool.connections.insert(PooledConnection {
            connection: connected,
            executor,
            address,
            serial,
            is_connecting: true,
            is_writing: false,
            purpose: Purpose::Idle,
            timeout: None,
            idle_since: self.clock.now(),
        }))
    }

    pub fn next_timeout(&self) -> Option<Instant> {
        let pool = self.pool.borrow();
        if pool.unreported.is_empty() { pool.timeouts.next_at() } else { Some(Instant(0)) }
    }

    /// Handles connections that were not established in time, responses that did not come in time, and idle connections
    /// that have expired.
    pub fn handle_timeouts(&self, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        loop {
            let Some((index, serial)) = ({ self.pool.borrow_mut().timeouts.due(now) }) else { break };
            let current_purpose = || {
                let pool = self.pool.borrow();
                pool.connections
                    .get(index)
                    .filter(|pooled| pooled.serial == serial)
                    .map(|pooled| (pooled.purpose, pooled.timeout))
            };
            let before = current_purpose();
            if before.is_none() {
                continue;
            }
            // Checks the connection once more. Guards against a response that came while other events were handled: an
            // executor that has accepted a request must not see its connection closed, and another attempt would be a
            // second copy.
            self.handle_event(index, coordinator);
            if current_purpose() != before {
                continue;
            }
            let mut pool = self.pool.borrow_mut();
            let pooled = pool.connections.remove(index);
            match pooled.purpose {
                Purpose::Idle => self.counters.idle_retired.increment(),
                purpose => {
                    let outcome = match outcome_when_broken(&pooled) {
                        _ if pooled.is_connecting => {
                            self.counters.dials_failed.increment();
                            AttemptOutcome::Refused
                        }
                        // There was no response, but the connection did not break. The executor's idle connections may
                        // be as unresponsive: they are closed, so that the next attempt connects anew and shows whether
                        // the executor is up.
                        AttemptOutcome::Reset => {
                            pool.connections.retain(|_, other| {
                                other.executor != pooled.executor || other.purpose != Purpose::Idle
                            });
                            AttemptOutcome::TimedOut
                        }
                        other => other,
                    };
                    pool.unreported.push((pooled.executor, purpose, outcome));
                }
            }
        }
        self.report(coordinator);
    }

    fn report(&self, coordinator: &mut Coordinator) {
        loop {
            let Some((executor, purpose, outcome)) = ({
                let mut pool = self.pool.borrow_mut();
                if pool.unreported.is_empty() { None } else { Some(pool.unreported.remove(0)) }
            }) else {
                return;
            };
            match purpose {
                Purpose::Attempt(id, _)
                    if matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset) =>
                {
                    coordinator.attempt_unacknowledged(id, outcome);
                }
                Purpose::Attempt(id, _) => coordinator.attempt_ended(id, outcome, None),
                Purpose::Cancellation(id) => coordinator.cancellation_failed(id),
                // The executor is down or does not respond.
                Purpose::UnacknowledgedCancellation(id, final_outcome) => {
                    coordinator.attempt_ended(id, final_outcome, None);
                }
                Purpose::Probe => coordinator.probe_completed(executor, None),
                Purpose::Idle => {}
            }
        }
    }

    /// Handles readiness of a connection for reading or writing, or its establishment.
    pub fn handle_event(&self, index: usize, coordinator: &mut Coordinator) {
        let result = {
            let mut pool = self.pool.borrow_mut();
            let ConnectionPool { connections, timeouts, .. } = &mut *pool;
            let Some(pooled) = connections.get_mut(index) else { return };
            match self.advance(index, pooled, timeouts, coordinator) {
                Ok(None) => return,
                Ok(Some(response)) => {
                    let (executor, purpose) = (pooled.executor, pooled.purpose);
                    if response.headers.closes {
                        pool.connections.remove(index);
                    } else {
                        self.make_idle(&mut pool, index);
                    }
                    Ok((executor, purpose, response))
                }
                Err(e) => {
                    let pooled = pool.connections.remove(index);
                    if pooled.purpose != Purpose::Idle {
                        debug!("connection to executor {} failed: {e}", pooled.executor.0);
                    }
                    if pooled.is_connecting {
                        self.counters.dials_failed.increment();
                    }
                    let refused = pooled.is_connecting && e.kind() == ErrorKind::ConnectionRefused;
                    let outcome =
                        if refused { AttemptOutcome::Refused } else { outcome_when_broken(&pooled) };
                    Err((pooled.executor, pooled.purpose, outcome))
                }
            }
        };
        if let Err((executor, _, AttemptOutcome::Refused)) = &result {
            coordinator.executor_down(*executor);
        }
        match result {
            Ok((executor, purpose, response)) => {
                self.response_received(executor, purpose, &response, coordinator);
            }
            Err(ended_attempt) => {
                self.pool.borrow_mut().unreported.push(ended_attempt);
                self.report(coordinator);
            }
        }
    }

    /// Advances one connection: returns the response once it is complete, and an error if the connection is no longer
    /// usable.
    fn advance(
        &self,
        index: usize,
        pooled: &mut PooledConnection,
        timeouts: &mut Alarms<(usize, u64)>,
        coordinator: &mut Coordinator,
    ) -> io::Result<Option<Response>> {
        if pooled.is_connecting {
            if !pooled.connection.is_connected()? {
                pooled.connection.watch(true)?;
                return Ok(None);
            }
            if let Purpose::Attempt(id, _) = pooled.purpose
                && !coordinator.may_send(id, pooled.executor)
            {
                return Err(io::Error::other("the connection was established too late"));
            }
            pooled.is_connecting = false;
            self.wait_for_answer(index, pooled, timeouts);
        }
        self.write(pooled)?;
        let reading = pooled.connection.read()?;
        let read = http::response(pooled.connection.buffer.unread(), &LIMITS);
        let read = read.map_err(|m| io::Error::other(format!("malformed response ({})", m.0)))?;
        if let Some((mut response, length)) = read
            && pooled.purpose != Purpose::Idle
            && !pooled.connection.buffer.waits_to_write()
        {
            pooled.connection.buffer.done_with(length);
            if reading == Reading::Open {
                pooled.connection.watch(false)?;
            }
            response.headers.closes |= reading == Reading::Ended;
            return Ok(Some(response));
        }
        // An idle connection expects no input.
        if reading == Reading::Ended
            || (pooled.purpose == Purpose::Idle && !pooled.connection.buffer.unread().is_empty())
        {
            return Err(ErrorKind::ConnectionReset.into());
        }
        pooled.connection.watch(false)?;
        Ok(None)
    }

    /// Writes what can be written. An attempt is counted as sent once its last byte is written.
    fn write(&self, pooled: &mut PooledConnection) -> io::Result<()> {
        pooled.connection.write()?;
        if pooled.is_writing && !pooled.connection.buffer.waits_to_write() {
            pooled.is_writing = false;
            if let Purpose::Attempt(..) = pooled.purpose {
                self.counters.relayed.increment();
            }
        }
        Ok(())
    }

    fn make_idle(&self, pool: &mut ConnectionPool, index: usize) {
        let ConnectionPool { connections, timeouts, .. } = pool;
        let pooled = &mut connections[index];
        (pooled.purpose, pooled.idle_since) = (Purpose::Idle, self.clock.now());
        set_timeout(index, pooled, timeouts, pooled.idle_since + self.idle_timeout);
    }

    /// Guards against a request that waits until its deadline on a connection that no longer responds, while its
    /// executor is taken to be busy.
    fn wait_for_answer(
        &self,
        index: usize,
        pooled: &mut PooledConnection,
        timeouts: &mut Alarms<(usize, u64)>,
    ) {
        let timeout = match pooled.purpose {
            Purpose::Attempt(_, true) => NON_IDEMPOTENT_ACCEPT_TIMEOUT,
            Purpose::Attempt(_, false) => ACCEPT_TIMEOUT,
            Purpose::UnacknowledgedCancellation(..) => UNACKNOWLEDGED_CANCELLATION_TIMEOUT,
            _ => ANSWER_TIMEOUT,
        };
        set_timeout(index, pooled, timeouts, self.clock.now() + timeout);
    }

    /// Closes the connection that is in use for this purpose. Returns whether part of a response had come on it, as
    /// then its end no longer tells the executor anything.
    fn close_used_for(&self, purpose: Purpose) -> bool {
        let mut pool = self.pool.borrow_mut();
        let Some(index) =
            pool.connections.iter().find(|(_, pooled)| pooled.purpose == purpose).map(|(index, _)| index)
        else {
            return false;
        };
        let mut pooled = pool.connections.remove(index);
        // A read error means only that nothing more can be read.
        let _ = pooled.connection.read();
        !pooled.connection.buffer.unread().is_empty()
    }

    /// Interprets a response by the protocol's table.
    fn response_received(
        &self,
        executor: ExecutorId,
        purpose: Purpose,
        response: &Response,
        coordinator: &mut Coordinator,
    ) {
        trace!("{purpose:?} at executor {}: {response:?}", executor.0);
        let report = response.headers.get(load::HEADER).and_then(|text| coordinator.reports().text(text));
        let not_started = response.headers.get("X-Rejected") == Some("1");
        match (purpose, response.status) {
            (Purpose::Attempt(id, _), 202) => coordinator.attempt_accepted(id),
            (Purpose::Attempt(id, _), 503 | 504) if not_started => {
                coordinator.attempt_ended(id, AttemptOutcome::Full, report);
            }
            // The client's mistake and not the executor's, for example an ID that another request has.
            (Purpose::Attempt(id, _), 400..500) => {
                coordinator.attempt_ended(id, AttemptOutcome::InvalidRequest, report);
            }
            (Purpose::Attempt(id, _), _) => coordinator.attempt_ended(id, AttemptOutcome::Error, report),
            (Purpose::Cancellation(id), ..500) => {
                coordinator.attempt_ended(id, AttemptOutcome::Cancelled, None);
            }
            (Purpose::Cancellation(id), _) => coordinator.cancellation_failed(id),
            (Purpose::UnacknowledgedCancellation(id, final_outcome), _) => {
                coordinator.attempt_ended(id, final_outcome, None);
            }
            (Purpose::Probe, _) => {
                let report = report.or_else(|| coordinator.reports().body(&response.body));
                coordinator.probe_completed(executor, report);
            }
            (Purpose::Idle, _) => {}
        }
    }
}

/// The outcome of what a connection was in use for when the connection broke. Nothing has run of a request whose last
/// byte was not written. Guards against taking an executor that reset a connection to be restarted, and so in slow
/// start: only one that refuses connections is down.
fn outcome_when_broken(pooled: &PooledConnection) -> AttemptOutcome {
    let is_writing = pooled.is_connecting || pooled.connection.buffer.waits_to_write();
    if is_writing { AttemptOutcome::SendFailed } else { AttemptOutcome::Reset }
}

/// Whether this side lacks a connection: the node's own limit is reached, or the system has no descriptor left.
fn is_connection_shortage(e: &io::Error) -> bool {
    e.kind() == ErrorKind::QuotaExceeded || is_descriptor_exhaustion(e)
}

fn set_timeout(
    index: usize,
    pooled: &mut PooledConnection,
    timeouts: &mut Alarms<(usize, u64)>,
    until: Instant,
) {
    let alarm = timeouts.set(until, (index, pooled.serial));
    pooled.timeout.replace(alarm).inspect(|&previous| timeouts.unset(previous));
}

fn drop_oldest_idle(pool: &mut ConnectionPool) -> Option<()> {
    let found = pool.connections.iter().filter(|(_, pooled)| pooled.purpose == Purpose::Idle);
    let (index, _) = found.min_by_key(|(_, pooled)| pooled.idle_since)?;
    pool.connections.remove(index);
    Some(())
}

fn cancellation_request(content: &RequestContent, address: Option<SocketAddr>) -> Vec<u8> {
    let (id, host) = (&content.call_id, host(address));
    format!("DELETE /jobs/{id} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

fn host(address: Option<SocketAddr>) -> String {
    address.map(|address| address.to_string()).unwrap_or_default()
}

/// Closes an idle connection to give its descriptor to a client. Guards against requests that wait in the listen
/// backlog until their deadlines while connections to executors are idle.
impl DescriptorHolder for Executors {
    fn release_descriptor(&self) -> bool {
        drop_oldest_idle(&mut self.pool.borrow_mut()).is_some()
    }
}

impl ExecutorTransport for Executors {
    fn send_attempt(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        content: &RequestContent,
        timeout: Duration,
    ) {
        let RequestContent { call_id, class, target, headers, body, non_idempotent, .. } = content;
        let (budget, length) = (timeout.nanos() / 1_000_000, body.len());
        let head = format!(
            "POST {target} HTTP/1.1\r\nHost: {}\r\nX-Call-Id: {call_id}\r\nX-Call-Class: {class}\r\n\
             X-Budget-Ms: {budget}\r\n{headers}Content-Length: {length}\r\n\r\n",
            host(address)
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        self.counters.allocations.increment();
        self.send(executor, address, Purpose::Attempt(id, *non_idempotent), &message);
    }

    /// Cancels an attempt: closes its connection if it is not accepted yet, and otherwise sends a cancellation.
    fn cancel_attempt(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        content: &RequestContent,
        accepted: bool,
    ) {
        let purpose = Purpose::Attempt(id, content.non_idempotent);
        if !accepted && !self.close_used_for(purpose) {
            return self.pool.borrow_mut().unreported.push((executor, purpose, AttemptOutcome::Cancelled));
        }
        self.send(executor, address, Purpose::Cancellation(id), &cancellation_request(content, address));
    }

    fn cancel_unacknowledged(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        content: &RequestContent,
        outcome: AttemptOutcome,
    ) {
        self.send(
            executor,
            address,
            Purpose::UnacknowledgedCancellation(id, outcome),
            &cancellation_request(content, address),
        );
    }

    fn probe(&self, executor: ExecutorId, address: Option<SocketAddr>) {
        self.counters.probes.increment();
        let message = format!("GET /status/load HTTP/1.1\r\nHost: {}\r\n\r\n", host(address));
        self.send(executor, address, Purpose::Probe, message.as_bytes());
    }

    /// Closes the idle connections to an executor that is gone or has moved, as they are no longer usable.
    fn close_idle_connections(&self, executor: ExecutorId, keep: Option<SocketAddr>) {
        let mut pool = self.pool.borrow_mut();
        pool.connections.retain(|_, pooled| {
            pooled.executor != executor || pooled.purpose != Purpose::Idle || Some(pooled.address) == keep
        });
    }
}
