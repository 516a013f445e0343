//! A server for connections with one request each, as for health checks and the console. A request is answered in the
//! turn of the event loop in which it is complete; where no request is expected, the response is sent on connecting.
//! Its descriptors are reserved, so that a crowd of clients can't shut these callers out.

use crate::state::clock::Clock;
use crate::state::connection::Connection;
use crate::wire::LIMITS;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_transport::buffer::Reading;
use grebeusher_transport::http::{self, Malformed, Request};
use grebeusher_transport::listen;
use polling::{Event, Poller};
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use tracing::warn;

/// The descriptors that are reserved for one such address: the listener, and the connections that it holds at once.
/// There are only a few callers; some connect and send nothing, and the oldest of these are closed first for new ones.
pub const DESCRIPTORS: usize = 1 + MAX_CONNECTIONS;
const MAX_CONNECTIONS: usize = 16;
/// The longest request in bytes. A request is a line and a few headers; a plan of 500 machines with long names takes
/// half of this. A longer request is answered 413 and not kept in memory.
const MAX_REQUEST: usize = 64 * 1024;

/// A connection whose request is awaited or has been answered.
struct OneShotConnection {
    connection: Connection,
    accepted_at: Instant,
    /// The response has been sent: further input is read and discarded until the client closes. Guards against a reset
    /// of the connection, by which the client would lose the response.
    answered: bool,
}

pub struct OneShotServer {
    listener: TcpListener,
    poller: Rc<Poller>,
    clock: Clock,
    /// The poller keys of the listener, and of a connection by its index.
    listener_key: usize,
    key: fn(usize) -> usize,
    connections: RefCell<Slab<OneShotConnection>>,
    /// The minimum interval between two accepted connections, and the time from which the next one may be accepted.
    min_interval: Duration,
    next_accept_at: Cell<Instant>,
    /// Until this time new connections wait in the listen backlog.
    accepts_again_at: Cell<Option<Instant>>,
}

impl OneShotServer {
    /// `min_interval` is the minimum interval between two accepted connections; 0 sets no limit.
    pub fn listen(
        at: SocketAddr,
        min_interval: Duration,
        (listener_key, key): (usize, fn(usize) -> usize),
        (poller, clock): (&Rc<Poller>, Clock),
    ) -> io::Result<OneShotServer> {
        let listener = listen::listen(at)?;
        poller.add(&listener, Event::readable(listener_key))?;
        Ok(OneShotServer {
            listener,
            poller: poller.clone(),
            clock,
            listener_key,
            key,
            connections: RefCell::default(),
            min_interval,
            next_accept_at: Cell::new(Instant(0)),
            accepts_again_at: Cell::new(None),
        })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts waiting connections, and sends each the greeting, where there is one, as its response.
    pub fn accept(&self, mut greeting: impl FnMut() -> Option<Vec<u8>>) {
        // The number of connections that may arrive at once without being delayed.
        const BURST: f64 = 16.0;
        for _ in 0..MAX_CONNECTIONS {
            let now = self.clock.now();
            let next_accept_at = self.next_accept_at.get().max(now - self.min_interval.scaled(BURST));
            if next_accept_at > now {
                self.accepts_again_at.set(Some(next_accept_at));
                return;
            }
            let add = |stream| self.add_connection(stream, greeting());
            if listen::take_in(&self.listener, 1, "callers", add) == 0 {
                break;
            }
            self.next_accept_at.set(next_accept_at + self.min_interval);
        }
        self.watch_listener();
    }

    /// Makes the poller report the next waiting connection.
    fn watch_listener(&self) {
        if let Err(e) = self.poller.modify(&self.listener, Event::readable(self.listener_key)) {
            warn!("cannot watch the listener of single requests: {e}");
        }
    }

    pub fn next_timeout(&self) -> Option<Instant> {
        self.accepts_again_at.get()
    }

    /// Resumes accepting after the pause.
    pub fn handle_timeouts(&self) {
        if self.accepts_again_at.get().is_some_and(|until| until <= self.clock.now()) {
            self.accepts_again_at.set(None);
            self.watch_listener();
        }
    }

    /// Guards against callers that send nothing and hold all connections: at the limit one is closed for the new one.
    /// Answered connections go first, then unanswered ones, then those whose client has not read the response; of each
    /// group the oldest.
    fn add_connection(&self, stream: TcpStream, greeting: Option<Vec<u8>>) {
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= MAX_CONNECTIONS {
            let eviction_order =
                |candidate: &OneShotConnection| match candidate.connection.buffer.waits_to_write() {
                    false => (u8::from(!candidate.answered), candidate.accepted_at),
                    true => (2, candidate.accepted_at),
                };
            let evicted = connections
                .iter()
                .min_by_key(|(_, candidate)| eviction_order(candidate))
                .map(|(index, _)| index);
            evicted.inspect(|&index| drop(connections.remove(index)));
        }
        let entry = connections.vacant_entry();
        match Connection::from_stream(stream, &self.poller, (self.key)(entry.key())) {
            Ok(mut connection) => {
                connection.set_max_unread(MAX_REQUEST);
                let answered = greeting.is_some();
                if let Some(text) = greeting {
                    connection.buffer.put(&text);
                }
                let pending =
                    entry.insert(OneShotConnection { connection, accepted_at: self.clock.now(), answered });
                // A failure is noticed when the event loop handles the connection next.
                let _ = if answered { pending.flush(Reading::Open) } else { Ok(()) };
            }
            Err(e) => warn!("cannot watch a connection of a single request: {e}"),
        }
    }

    /// Handles readiness of a connection for reading or writing.
    pub fn handle_event(&self, index: usize, respond: impl FnOnce(&Request) -> Vec<u8>) {
        let mut connections = self.connections.borrow_mut();
        let Some(pending) = connections.get_mut(index) else { return };
        if pending.advance(respond).is_err() {
            connections.remove(index);
        }
    }
}

impl OneShotConnection {
    /// Reads input, answers the request once it is complete, and writes; returns an error when the connection is
    /// finished.
    fn advance(&mut self, respond: impl FnOnce(&Request) -> Vec<u8>) -> io::Result<()> {
        let reading =
            if self.answered { self.connection.read_and_discard()? } else { self.connection.read()? };
        if !self.answered {
            let unread = self.connection.buffer.unread();
            let parsed = match http::request(unread, &LIMITS) {
                Ok(None) if unread.len() >= MAX_REQUEST => Err(Malformed(413)),
                parsed => parsed,
            };
            let answer = match parsed {
                Ok(None) if reading == Reading::Ended => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(None) => None,
                Ok(Some((request, _))) => Some(respond(&request)),
                Err(Malformed(status)) => Some(http::answer(status, &[http::CLOSE], b"")),
            };
            if let Some(answer) = answer {
                let unread = self.connection.buffer.unread().len();
                self.connection.buffer.done_with(unread);
                self.connection.buffer.put(&answer);
                self.answered = true;
            }
        }
        self.flush(reading)
    }

    /// Writes what can be written, and shuts the sending side down after the response.
    fn flush(&mut self, reading: Reading) -> io::Result<()> {
        self.connection.write()?;
        if self.answered && !self.connection.buffer.waits_to_write() {
            if reading == Reading::Ended {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            self.connection.shutdown_write()?;
        }
        self.connection.watch(false)
    }
}
