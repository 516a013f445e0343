//! The client side: connections to executors, on which allocations are sent and given up, and probes made.

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

/// Giving up and probing are answered beside the work, within round trips: a second is silence.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// A job is taken within round trips as well, long before it starts. An executor that stands still for a moment is
/// borne for half a second; for longer where the job can go to no other, as there is nothing to be won by it.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
const NON_IDEMPOTENT_ACCEPT_TIMEOUT: Duration = Duration::from_millis(2000);
/// A binding job goes only on a connection that was in use a moment ago: executors may close what stands idle long
/// before the settings' time, and a reset then says that it may have run.
const BINDING_IDLE: Duration = Duration::from_millis(50);

/// Asking a job back is answered within round trips by an executor that is there: its unit waits for no other.
const STATUS_QUERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Whether a job may never run twice.
type Binding = bool;

/// What a connection is used for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    Allocation(AttemptId, Binding),
    GivingUp(AttemptId),
    AskingBack(AttemptId, AttemptOutcome),
    Probe,
    Idle,
}

struct Line {
    connection: Connection,
    executor: ExecutorId,
    address: SocketAddr,
    serial: u64,
    dialling: bool,
    /// Not all of what it is used for has been written yet.
    unsent: bool,
    used: Use,
    /// When to stop waiting for what it is used for, or to retire it.
    due: Option<Alarm>,
    idle_since: Instant,
}

struct Lines {
    kept: Slab<Line>,
    dues: Alarms<(usize, u64)>,
    next_serial: u64,
    /// What ended while the decisions were speaking; told as soon as they listen again.
    untold: Vec<(ExecutorId, Use, AttemptOutcome)>,
}

pub struct Executors {
    poller: Rc<Poller>,
    clock: Clock,
    counters: Rc<Counters>,
    key: fn(usize) -> usize,
    most: Cell<usize>,
    dial_time_out: Duration,
    retire_after: Duration,
    lines: RefCell<Lines>,
    /// Whom a dial without a descriptor asks for one.
    others: Vec<Rc<dyn DescriptorHolder>>,
}

impl Executors {
    pub fn new(
        others: Vec<Rc<dyn DescriptorHolder>>,
        most: usize,
        (dial_time_out, retire_after): (Duration, Duration),
        key: fn(usize) -> usize,
        (poller, clock, counters): (&Rc<Poller>, Clock, &Rc<Counters>),
    ) -> Executors {
        Executors {
            poller: poller.clone(),
            clock,
            counters: counters.clone(),
            key,
            most: Cell::new(most),
            dial_time_out,
            retire_after,
            lines: RefCell::new(Lines {
                kept: Slab::new(),
                dues: Alarms::default(),
                next_serial: 0,
                untold: Vec::new(),
            }),
            others,
        }
    }

    /// How many connections may be held from now on.
    pub fn hold(&self, most: usize) {
        self.most.set(most);
    }

    /// Sends a message on a connection that stands idle, or on a new one.
    fn speak(&self, executor: ExecutorId, address: Option<SocketAddr>, used: Use, message: &[u8]) {
        let mut lines = self.lines.borrow_mut();
        let place = address.ok_or_else(|| io::Error::other("no address")).and_then(|address| {
            let good_for = if let Use::Allocation(_, true) = used { BINDING_IDLE } else { self.retire_after };
            match self.idle_line(&mut lines, executor, address) {
                Some(place) if self.clock.now().since(lines.kept[place].idle_since) < good_for => Ok(place),
                idle => {
                    // The new one takes its place, or they would pile up.
                    idle.inspect(|&place| drop(lines.kept.remove(place)));
                    self.dial(&mut lines, executor, address)
                }
            }
        });
        let place = match place {
            Ok(place) => place,
            Err(e) => {
                debug!("no connection to executor {}: {e}", executor.0);
                self.counters.dials_failed.increment();
                let ending = if none_left(&e) { AttemptOutcome::SendFailed } else { AttemptOutcome::Refused };
                return lines.untold.push((executor, used, ending));
            }
        };
        let Lines { kept, dues, .. } = &mut *lines;
        let line = &mut kept[place];
        (line.used, line.unsent) = (used, true);
        line.connection.buffer.put(message);
        if line.dialling {
            wait(place, line, dues, self.clock.now() + self.dial_time_out);
        } else {
            self.wait_for_answer(place, line, dues);
        }
        // A failure shows when the loop looks at the connection: it is watched for that.
        let written = if line.dialling { Ok(()) } else { self.write(line) };
        if written.and_then(|()| line.connection.watch(line.dialling)).is_err() {
            let ending = broken(&kept.remove(place));
            lines.untold.push((executor, used, ending));
        }
    }

    /// The one used last: the others may then be retired. Guards against a request written to a connection
    /// that the executor has closed a moment ago: it would have to count as one that may have run.
    fn idle_line(&self, lines: &mut Lines, executor: ExecutorId, address: SocketAddr) -> Option<usize> {
        let now = self.clock.now();
        loop {
            let fit = lines.kept.iter().filter(|(_, line)| {
                line.used == Use::Idle
                    && line.executor == executor
                    && line.address == address
                    && now.since(line.idle_since) < self.retire_after
            });
            let (place, _) = fit.max_by_key(|(_, line)| line.idle_since)?;
            let connection = &mut lines.kept[place].connection;
            if matches!(connection.read(), Ok(Reading::Open)) && connection.buffer.unread().is_empty() {
                return Some(place);
            }
            lines.kept.remove(place);
        }
    }

    fn dial(&self, lines: &mut Lines, executor: ExecutorId, address: SocketAddr) -> io::Result<usize> {
        if lines.kept.len() >= self.most.get() {
            let in_use = || io::Error::new(ErrorKind::QuotaExceeded, "all connections are in use");
            drop_oldest_idle(lines).ok_or_else(in_use)?;
        }
        let serial = lines.next_serial;
        lines.next_serial += 1;
        let key = (self.key)(lines.kept.vacant_key());
        let dialled = match Connection::dial(address, &self.poller, key) {
            // No descriptor left: one idle connection makes room, or others who can spare one. Guards against units that
            // are turned back while those who call from outside hold all descriptors.
            Err(e) if none_left(&e) && drop_oldest_idle(lines).is_some() => {
                Connection::dial(address, &self.poller, (self.key)(lines.kept.vacant_key()))?
            }
            Err(e) if none_left(&e) => {
                Connection::dial_with_reclaim(&self.others, address, &self.poller, key)?
            }
            dialled => dialled?,
        };
        self.counters.dials.increment();
        Ok(lines.kept.insert(Line {
            connection: dialled,
            executor,
            address,
            serial,
            dialling: true,
            unsent: false,
            used: Use::Idle,
            due: None,
            idle_since: self.clock.now(),
        }))
    }

    pub fn next_due(&self) -> Option<Instant> {
        let lines = self.lines.borrow();
        if lines.untold.is_empty() { lines.dues.next_at() } else { Some(Instant(0)) }
    }

    /// What fell due: connections that never came up, silence, and idle connections to be retired.
    pub fn due(&self, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        loop {
            let Some((place, serial)) = ({ self.lines.borrow_mut().dues.due(now) }) else { break };
            let waits_for = || {
                let lines = self.lines.borrow();
                lines.kept.get(place).filter(|line| line.serial == serial).map(|line| (line.used, line.due))
            };
            let before = waits_for();
            if before.is_none() {
                continue;
            }
            // A last look. Guards against an answer that has come while others had their turn: an executor that has said
            // that it took a job is not told otherwise by the end of a connection, and another would be a second copy.
            self.stirred(place, coordinator);
            if waits_for() != before {
                continue;
            }
            let mut lines = self.lines.borrow_mut();
            let line = lines.kept.remove(place);
            match line.used {
                Use::Idle => self.counters.idle_retired.increment(),
                used => {
                    let ending = match broken(&line) {
                        _ if line.dialling => {
                            self.counters.dials_failed.increment();
                            AttemptOutcome::Refused
                        }
                        // Nothing came back, and nothing broke. Its sisters may be as silent: the next dial shows
                        // whether anybody is there.
                        AttemptOutcome::Reset => {
                            lines.kept.retain(|_, l| l.executor != line.executor || l.used != Use::Idle);
                            AttemptOutcome::TimedOut
                        }
                        other => other,
                    };
                    lines.untold.push((line.executor, used, ending));
                }
            }
        }
        self.tell(coordinator);
    }

    fn tell(&self, coordinator: &mut Coordinator) {
        loop {
            let Some((executor, used, ending)) = ({
                let mut lines = self.lines.borrow_mut();
                if lines.untold.is_empty() { None } else { Some(lines.untold.remove(0)) }
            }) else {
                return;
            };
            match used {
                Use::Allocation(id, _)
                    if matches!(ending, AttemptOutcome::TimedOut | AttemptOutcome::Reset) =>
                {
                    coordinator.attempt_unacknowledged(id, ending);
                }
                Use::Allocation(id, _) => coordinator.attempt_ended(id, ending, None),
                Use::GivingUp(id) => coordinator.cancellation_failed(id),
                // Nobody is there, or stands still.
                Use::AskingBack(id, before) => coordinator.attempt_ended(id, before, None),
                Use::Probe => coordinator.probe_completed(executor, None),
                Use::Idle => {}
            }
        }
    }

    /// Something can be read from or written to a connection, or it has come up.
    pub fn stirred(&self, place: usize, coordinator: &mut Coordinator) {
        let answer = {
            let mut lines = self.lines.borrow_mut();
            let Lines { kept, dues, .. } = &mut *lines;
            let Some(line) = kept.get_mut(place) else { return };
            match self.advance(place, line, dues, coordinator) {
                Ok(None) => return,
                Ok(Some(response)) => {
                    let (executor, used) = (line.executor, line.used);
                    if response.headers.closes {
                        lines.kept.remove(place);
                    } else {
                        self.stand_idle(&mut lines, place);
                    }
                    Ok((executor, used, response))
                }
                Err(e) => {
                    let line = lines.kept.remove(place);
                    if line.used != Use::Idle {
                        debug!("connection to executor {} broke: {e}", line.executor.0);
                    }
                    if line.dialling {
                        self.counters.dials_failed.increment();
                    }
                    let refused = line.dialling && e.kind() == ErrorKind::ConnectionRefused;
                    let ending = if refused { AttemptOutcome::Refused } else { broken(&line) };
                    Err((line.executor, line.used, ending))
                }
            }
        };
        if let Err((executor, _, AttemptOutcome::Refused)) = &answer {
            coordinator.executor_down(*executor);
        }
        match answer {
            Ok((executor, used, response)) => self.answered(executor, used, &response, coordinator),
            Err(ended) => {
                self.lines.borrow_mut().untold.push(ended);
                self.tell(coordinator);
            }
        }
    }

    /// Moves one connection on: the answer if it is whole, an error if the connection is of no more use.
    fn advance(
        &self,
        place: usize,
        line: &mut Line,
        dues: &mut Alarms<(usize, u64)>,
        coordinator: &mut Coordinator,
    ) -> io::Result<Option<Response>> {
        if line.dialling {
            if !line.connection.is_connected()? {
                line.connection.watch(true)?;
                return Ok(None);
            }
            if let Use::Allocation(id, _) = line.used
                && !coordinator.may_send(id, line.executor)
            {
                return Err(io::Error::other("it came up too late"));
            }
            line.dialling = false;
            self.wait_for_answer(place, line, dues);
        }
        self.write(line)?;
        let reading = line.connection.read()?;
        let read = http::response(line.connection.buffer.unread(), &LIMITS);
        let read = read.map_err(|m| io::Error::other(format!("malformed answer ({})", m.0)))?;
        if let Some((mut response, length)) = read
            && line.used != Use::Idle
            && !line.connection.buffer.waits_to_write()
        {
            line.connection.buffer.done_with(length);
            if reading == Reading::Open {
                line.connection.watch(false)?;
            }
            response.headers.closes |= reading == Reading::Ended;
            return Ok(Some(response));
        }
        // Nothing is to be said on a connection that stands idle.
        if reading == Reading::Ended
            || (line.used == Use::Idle && !line.connection.buffer.unread().is_empty())
        {
            return Err(ErrorKind::ConnectionReset.into());
        }
        line.connection.watch(false)?;
        Ok(None)
    }

    /// Writes what can be written. An attempt counts once its last byte is gone.
    fn write(&self, line: &mut Line) -> io::Result<()> {
        line.connection.write()?;
        if line.unsent && !line.connection.buffer.waits_to_write() {
            line.unsent = false;
            if let Use::Allocation(..) = line.used {
                self.counters.relayed.increment();
            }
        }
        Ok(())
    }

    fn stand_idle(&self, lines: &mut Lines, place: usize) {
        let Lines { kept, dues, .. } = lines;
        let line = &mut kept[place];
        (line.used, line.idle_since) = (Use::Idle, self.clock.now());
        wait(place, line, dues, line.idle_since + self.retire_after);
    }

    /// Guards against a unit that waits for the whole of its patience on a connection that fell silent, and against
    /// taking its executor for full meanwhile.
    fn wait_for_answer(&self, place: usize, line: &mut Line, dues: &mut Alarms<(usize, u64)>) {
        let within = match line.used {
            Use::Allocation(_, true) => NON_IDEMPOTENT_ACCEPT_TIMEOUT,
            Use::Allocation(_, false) => ACCEPT_TIMEOUT,
            Use::AskingBack(..) => STATUS_QUERY_TIMEOUT,
            _ => ANSWER_TIMEOUT,
        };
        wait(place, line, dues, self.clock.now() + within);
    }

    /// Closes what is used for this; whether some answer had come on it, after which its end tells the executor nothing.
    fn closes(&self, used: Use) -> bool {
        let mut lines = self.lines.borrow_mut();
        let Some(place) = lines.kept.iter().find(|(_, line)| line.used == used).map(|(place, _)| place)
        else {
            return false;
        };
        let mut line = lines.kept.remove(place);
        // One that is broken has no more to say.
        let _ = line.connection.read();
        !line.connection.buffer.unread().is_empty()
    }

    /// What the answer to a request means, by the protocol's table.
    fn answered(&self, executor: ExecutorId, used: Use, response: &Response, coordinator: &mut Coordinator) {
        trace!("{used:?} at executor {}: {response:?}", executor.0);
        let report = response.headers.get(load::HEADER).and_then(|text| coordinator.reports().text(text));
        let unstarted = response.headers.get("X-Rejected") == Some("1");
        match (used, response.status) {
            (Use::Allocation(id, _), 202) => coordinator.attempt_accepted(id),
            (Use::Allocation(id, _), 503 | 504) if unstarted => {
                coordinator.attempt_ended(id, AttemptOutcome::Full, report);
            }
            // The client's fault, not the executor's: an id that is another's, say.
            (Use::Allocation(id, _), 400..500) => {
                coordinator.attempt_ended(id, AttemptOutcome::InvalidRequest, report);
            }
            (Use::Allocation(id, _), _) => coordinator.attempt_ended(id, AttemptOutcome::Error, report),
            (Use::GivingUp(id), ..500) => coordinator.attempt_ended(id, AttemptOutcome::Cancelled, None),
            (Use::GivingUp(id), _) => coordinator.cancellation_failed(id),
            (Use::AskingBack(id, before), _) => coordinator.attempt_ended(id, before, None),
            (Use::Probe, _) => {
                let report = report.or_else(|| coordinator.reports().body(&response.body));
                coordinator.probe_completed(executor, report);
            }
            (Use::Idle, _) => {}
        }
    }
}

/// How what a connection was used for ended when it broke: nothing has run of a request whose last byte was
/// not written. Guards against taking an executor for restarted, and so for cold, that reset a connection: only
/// one that refuses is gone.
fn broken(line: &Line) -> AttemptOutcome {
    let unsent = line.dialling || line.connection.buffer.waits_to_write();
    if unsent { AttemptOutcome::SendFailed } else { AttemptOutcome::Reset }
}

/// Whether a connection is lacking on this side: the node's own number is used up, or the system's descriptors.
fn none_left(e: &io::Error) -> bool {
    e.kind() == ErrorKind::QuotaExceeded || is_descriptor_exhaustion(e)
}

fn wait(place: usize, line: &mut Line, dues: &mut Alarms<(usize, u64)>, until: Instant) {
    let due = dues.set(until, (place, line.serial));
    line.due.replace(due).inspect(|&before| dues.unset(before));
}

fn drop_oldest_idle(lines: &mut Lines) -> Option<()> {
    let idle = lines.kept.iter().filter(|(_, line)| line.used == Use::Idle);
    let (place, _) = idle.min_by_key(|(_, line)| line.idle_since)?;
    lines.kept.remove(place);
    Some(())
}

fn deletion(content: &RequestContent, address: Option<SocketAddr>) -> Vec<u8> {
    let (id, host) = (&content.call_id, host(address));
    format!("DELETE /jobs/{id} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

fn host(address: Option<SocketAddr>) -> String {
    address.map(|address| address.to_string()).unwrap_or_default()
}

/// An idle connection gives up its descriptor to a client. Guards against work that waits outside until its patience is
/// over while connections to executors stand idle.
impl DescriptorHolder for Executors {
    fn release_descriptor(&self) -> bool {
        drop_oldest_idle(&mut self.lines.borrow_mut()).is_some()
    }
}

impl ExecutorTransport for Executors {
    fn send_attempt(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        content: &RequestContent,
        time_out: Duration,
    ) {
        let RequestContent { call_id, class, target, headers, body, non_idempotent, .. } = content;
        let (budget, length) = (time_out.nanos() / 1_000_000, body.len());
        let head = format!(
            "POST {target} HTTP/1.1\r\nHost: {}\r\nX-Call-Id: {call_id}\r\nX-Call-Class: {class}\r\n\
             X-Budget-Ms: {budget}\r\n{headers}Content-Length: {length}\r\n\r\n",
            host(address)
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        self.counters.allocations.increment();
        self.speak(executor, address, Use::Allocation(id, *non_idempotent), &message);
    }

    /// Gives up an allocation: before it was taken by closing its connection, later by asking for it.
    fn cancel_attempt(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        content: &RequestContent,
        accepted: bool,
    ) {
        let used = Use::Allocation(id, content.non_idempotent);
        if !accepted && !self.closes(used) {
            return self.lines.borrow_mut().untold.push((executor, used, AttemptOutcome::Cancelled));
        }
        self.speak(executor, address, Use::GivingUp(id), &deletion(content, address));
    }

    fn cancel_unacknowledged(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        content: &RequestContent,
        ending: AttemptOutcome,
    ) {
        self.speak(executor, address, Use::AskingBack(id, ending), &deletion(content, address));
    }

    fn probe(&self, executor: ExecutorId, address: Option<SocketAddr>) {
        self.counters.probes.increment();
        let message = format!("GET /status/load HTTP/1.1\r\nHost: {}\r\n\r\n", host(address));
        self.speak(executor, address, Use::Probe, message.as_bytes());
    }

    /// Connections to an executor that has left, or has moved, are of no more use.
    fn close_idle_connections(&self, executor: ExecutorId, but: Option<SocketAddr>) {
        let mut lines = self.lines.borrow_mut();
        lines.kept.retain(|_, line| {
            line.executor != executor || line.used != Use::Idle || Some(line.address) == but
        });
    }
}
