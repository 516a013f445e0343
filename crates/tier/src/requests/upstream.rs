//! Connections to executors: a pool of idle ones, and what comes back on the busy ones.

use crate::links::socket::{Reading, Socket};
use crate::node::Node;
use crate::requests::exchange::ExchangeKey;
use crate::requests::header_names as names;
use crate::runtime::timers::Timer;
use grebeusher_time::{Duration, DurationExt, Instant};
use grebeusher_transport::body::{self, BodyReader};
use grebeusher_transport::headers::Headers;
use grebeusher_transport::http;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A connection that has not come up by then is given up: nothing was sent on it. Links have a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// An idle connection is not used this close to the end of the time that `Keep-Alive` promised.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1000);
/// How long an idle connection is kept where the executor says nothing.
const KEEP_IDLE: Duration = Duration::from_millis(8000);
/// Reads of an answer are held back while its client has this much unwritten (bytes).
pub const MAX_UNWRITTEN: usize = 256 * 1024;

/// Whose call a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamUser {
    /// A client's request.
    Exchange(ExchangeKey),
    /// An item of a batch job, by the number of its run.
    Item(u64),
}

/// Which executor a call is for.
#[derive(Clone, Debug)]
pub struct Target {
    /// The executor's incarnation.
    pub instance: Arc<str>,
    /// Where it listens.
    pub address: SocketAddrV4,
}

/// Where a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Provably not a byte of it was sent.
    NeverSent,
    /// It was sent and nothing came back.
    BeforeHead,
    /// The answer ended early.
    MidBody,
}

/// What the user of a connection is told.
pub enum UpstreamEvent<'a> {
    /// The answer's head.
    Head {
        /// Its status.
        status: u16,
        /// Its headers.
        headers: &'a Headers,
    },
    /// Bytes of the answer's body.
    Data(&'a [u8]),
    /// The answer is complete.
    End,
    /// There will be no (further) answer.
    Failed(Failure),
}

enum State {
    Idle,
    Connecting,
    AwaitingHead,
    Body { reader: BodyReader, surplus: bool },
}

/// The part of a connection to an executor that is about the calls on it.
pub struct Upstream {
    target: Target,
    state: State,
    user: Option<UpstreamUser>,
    attempt_id: String,
    usable_until: Instant,
    closes: bool,
}

impl Upstream {
    /// The instance id of the executor.
    pub(crate) fn instance(&self) -> &Arc<str> {
        &self.target.instance
    }

    /// Whether the executor keeps the idle connection open, as far as it has said.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        now < self.usable_until
    }

    /// Whether it carries a call.
    pub fn is_busy(&self) -> bool {
        self.user.is_some()
    }
}

impl Node {
    /// Sends a request to an executor, by an idle connection if there is one. The connection's place.
    ///
    /// # Errors
    /// `Failure::NeverSent` where no connection could even be begun.
    pub fn start_call(
        &mut self,
        user: UpstreamUser,
        target: &Target,
        attempt_id: &str,
        request: &[u8],
    ) -> Result<usize, Failure> {
        while let Some(index) = self.connections.take_idle(&target.instance, self.now) {
            let Some((socket, upstream)) = self.upstream_mut(index) else { continue };
            upstream.user = Some(user);
            attempt_id.clone_into(&mut upstream.attempt_id);
            upstream.state = State::AwaitingHead;
            socket.put(request);
            if socket.flush().is_ok() {
                return Ok(index);
            }
            // The write failed at once, before a byte went out: the executor had closed the connection.
            let nothing_sent = socket.waiting() == request.len();
            if let Some((_, upstream)) = self.upstream_mut(index) {
                upstream.user = None;
            }
            self.close(index);
            if !nothing_sent {
                return Err(Failure::BeforeHead);
            }
        }
        self.dial_call(user, target, attempt_id, request)
    }

    fn dial_call(
        &mut self,
        user: UpstreamUser,
        target: &Target,
        attempt_id: &str,
        request: &[u8],
    ) -> Result<usize, Failure> {
        let upstream = Upstream {
            target: target.clone(),
            state: State::Connecting,
            user: Some(user),
            attempt_id: attempt_id.to_owned(),
            usable_until: self.now + KEEP_IDLE,
            closes: false,
        };
        let index = self.dial_upstream(target.address, upstream).map_err(|_| Failure::NeverSent)?;
        if let Some((socket, _)) = self.upstream_mut(index) {
            socket.put(request);
        }
        let serial = self.serial(index);
        self.alarms.set(self.now + CONNECT_TIMEOUT, Timer::ConnectExpires { connection: index, serial });
        Ok(index)
    }

    /// A dialled connection did not come up in time.
    pub fn connect_expired(&mut self, index: usize) {
        let connecting = self.upstream_mut(index).is_some_and(|(socket, _)| socket.is_connecting());
        if connecting {
            self.fail_upstream(index);
        }
    }

    /// Gives up a call: its connection is closed, and the user hears no more of it.
    pub fn abort_call(&mut self, index: usize) {
        if let Some((_, upstream)) = self.upstream_mut(index) {
            upstream.user = None;
            self.close(index);
        }
    }

    /// Something can be done on a connection to an executor.
    pub fn upstream_ready(&mut self, index: usize, readable: bool, writable: bool) {
        let Some((socket, upstream)) = self.upstream_mut(index) else { return };
        if matches!(upstream.state, State::Connecting) {
            match socket.connected() {
                Ok(true) => upstream.state = State::AwaitingHead,
                Ok(false) => return,
                Err(_) => return self.fail_upstream(index),
            }
        }
        let Some((socket, _)) = self.upstream_mut(index) else { return };
        if (writable || socket.waiting() > 0) && socket.flush().is_err() {
            // What the executor answered before it closed may still be read.
            return self.read_upstream(index);
        }
        if readable {
            self.read_upstream(index);
        }
    }

    fn read_upstream(&mut self, index: usize) {
        let serial = self.serial(index);
        let Some((socket, _)) = self.upstream_mut(index) else { return };
        let reading = socket.read();
        let bytes = socket.take_input();
        let consumed = self.upstream_bytes(index, serial, &bytes);
        if self.serial(index) != serial {
            return;
        }
        let Some((socket, _)) = self.upstream_mut(index) else { return };
        socket.restore_input(bytes, consumed);
        match reading {
            Ok(Reading::Open { .. }) => {}
            Ok(Reading::Ended { .. }) => self.upstream_ended(index),
            Err(_) => self.fail_upstream(index),
        }
    }

    /// Understands what came; how many bytes are done with. The connection may be closed on the way.
    fn upstream_bytes(&mut self, index: usize, serial: u64, bytes: &[u8]) -> usize {
        let mut at = 0;
        while at < bytes.len() && self.serial(index) == serial {
            let Some((_, upstream)) = self.upstream_mut(index) else { break };
            let step = match &mut upstream.state {
                State::Idle | State::Connecting => {
                    // Bytes that belong to no request.
                    self.close(index);
                    break;
                }
                State::AwaitingHead => self.upstream_head(index, &bytes[at..]),
                State::Body { .. } => self.upstream_body(index, serial, &bytes[at..]),
            };
            match step {
                Some(0) => break,
                Some(consumed) => at += consumed,
                None => {
                    if self.serial(index) == serial {
                        self.fail_upstream(index);
                    }
                    break;
                }
            }
        }
        at
    }

    /// Reads a head; 0 while it is not complete, `None` if it is no head.
    fn upstream_head(&mut self, index: usize, bytes: &[u8]) -> Option<usize> {
        let (head, length) = match http::response_head(bytes, self.configuration.http_limits()) {
            Ok(Some(read)) => read,
            Ok(None) => return Some(0),
            Err(_) => return None,
        };
        if (100..200).contains(&head.status) {
            return Some(length);
        }
        let framing = body::response_framing(head.status, &head.headers, "POST").ok()?;
        let now = self.now;
        let (_, upstream) = self.upstream_mut(index)?;
        upstream.closes = head.headers.closes;
        if let Some(seconds) = keep_alive_seconds(&head.headers) {
            let until = now + Duration::from_millis(seconds * 1000);
            upstream.usable_until = if seconds * 1000 > KEEP_ALIVE_MARGIN.nanos() / 1_000_000 {
                until - KEEP_ALIVE_MARGIN
            } else {
                now
            };
        } else {
            upstream.usable_until = now + KEEP_IDLE;
        }
        // An answer with another id belongs to an earlier request: it is read and dropped.
        let surplus = head.headers.get(names::ATTEMPT_ID).is_some_and(|id| id != upstream.attempt_id);
        upstream.state = State::Body { reader: BodyReader::new(framing), surplus };
        let user = upstream.user;
        if !surplus && let Some(user) = user {
            self.deliver(user, UpstreamEvent::Head { status: head.status, headers: &head.headers });
        }
        self.upstream_if_bodiless(index);
        Some(length)
    }

    /// An answer without a body is complete with its head.
    fn upstream_if_bodiless(&mut self, index: usize) {
        let done = match self.upstream_mut(index) {
            Some((_, Upstream { state: State::Body { reader, .. }, .. })) => reader.is_done(),
            _ => false,
        };
        if done {
            self.upstream_answer_done(index);
        }
    }

    fn upstream_body(&mut self, index: usize, serial: u64, bytes: &[u8]) -> Option<usize> {
        let (_, upstream) = self.upstream_mut(index)?;
        let user = upstream.user;
        let State::Body { reader, surplus } = &mut upstream.state else { return None };
        let surplus = *surplus;
        let progress = reader.read(bytes).ok()?;
        if let Some(user) = user.filter(|_| !surplus) {
            for range in &progress.data {
                self.deliver(user, UpstreamEvent::Data(&bytes[range.clone()]));
                if self.serial(index) != serial {
                    return Some(progress.consumed);
                }
            }
        }
        if progress.done {
            self.upstream_answer_done(index);
        }
        Some(progress.consumed)
    }

    fn upstream_answer_done(&mut self, index: usize) {
        let Some((socket, upstream)) = self.upstream_mut(index) else { return };
        if let State::Body { surplus: true, .. } = upstream.state {
            upstream.state = State::AwaitingHead;
            if upstream.closes {
                self.fail_upstream(index);
            }
            return;
        }
        upstream.state = State::Idle;
        let user = upstream.user.take();
        let instance = upstream.target.instance.clone();
        // An executor may answer before it has read the complete request, and then wait for the rest of it.
        if upstream.closes || socket.waiting() > 0 {
            self.close(index);
        } else {
            self.connections.put_idle(instance, index);
        }
        if let Some(user) = user {
            self.deliver(user, UpstreamEvent::End);
        }
    }

    fn upstream_ended(&mut self, index: usize) {
        let Some((_, upstream)) = self.upstream_mut(index) else { return };
        let complete = match &mut upstream.state {
            State::Body { reader, surplus: false } => reader.is_complete_at_close(),
            _ => false,
        };
        if complete {
            upstream.closes = true;
            self.upstream_answer_done(index);
        } else {
            self.fail_upstream(index);
        }
    }

    /// The connection is of no more use; its user, if it has one, is told.
    fn fail_upstream(&mut self, index: usize) {
        let Some((socket, upstream)) = self.upstream_mut(index) else { return };
        let failure = match upstream.state {
            State::Connecting => Failure::NeverSent,
            State::Body { surplus: false, .. } => Failure::MidBody,
            _ => Failure::BeforeHead,
        };
        debug_assert!(failure != Failure::NeverSent || socket.is_connecting());
        let user = upstream.user.take();
        self.close(index);
        if let Some(user) = user {
            self.deliver(user, UpstreamEvent::Failed(failure));
        }
    }

    fn deliver(&mut self, user: UpstreamUser, event: UpstreamEvent<'_>) {
        match user {
            UpstreamUser::Exchange(key) => self.exchange_event(key, event),
            UpstreamUser::Item(run) => self.item_event(run, event),
        }
    }

    fn dial_upstream(&mut self, address: SocketAddrV4, upstream: Upstream) -> std::io::Result<usize> {
        self.add_connection(
            |world, key| Socket::dial(world, address, key),
            crate::links::connections::Role::Upstream(upstream),
        )
    }
}

/// The `timeout` that an answer's `Keep-Alive` tells, in seconds.
fn keep_alive_seconds(headers: &Headers) -> Option<u64> {
    let value = headers.get("Keep-Alive")?;
    value.split(',').find_map(|partition| partition.trim().strip_prefix("timeout=")?.trim().parse().ok())
}
