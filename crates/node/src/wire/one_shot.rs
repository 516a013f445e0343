//! Short calls: one to a connection, answered in the turn of the loop in which it is whole, or on connecting where nothing
//! is asked. Descriptors of their own, so that a crowd of clients shuts no caller out.

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

/// Descriptors that are set aside for one such address: the listener, and the connections that it holds at once. A handful
/// of callers come; some connect and say nothing, and the oldest of these make room.
pub const DESCRIPTORS: usize = 1 + MOST;
const MOST: usize = 16;
/// A call is a line and a few headers; a plan of 500 machines with long names comes to half of this. What is longer is
/// answered 413 and not kept.
const MAX_CALL: usize = 64 * 1024;

/// Somebody who called, or may yet.
struct Visitor {
    connection: Connection,
    since: Instant,
    /// Has had the answer: the rest is read and dropped until it closes, or the answer would be lost with it.
    answered: bool,
}

pub struct Calls {
    listener: TcpListener,
    poller: Rc<Poller>,
    clock: Clock,
    /// Keys under which the loop knows the listener and the connections, from their places.
    listener_key: usize,
    key: fn(usize) -> usize,
    visitors: RefCell<Slab<Visitor>>,
    /// The least time between two callers that are taken in, and when the next one may be.
    apart: Duration,
    next_at: Cell<Instant>,
    /// Those who wait outside are left there until then.
    waits_until: Cell<Option<Instant>>,
}

impl Calls {
    /// `apart`: those who come sooner after each other wait outside; nothing where nobody floods.
    pub fn listen(
        at: SocketAddr,
        apart: Duration,
        (listener_key, key): (usize, fn(usize) -> usize),
        (poller, clock): (&Rc<Poller>, Clock),
    ) -> io::Result<Calls> {
        let listener = listen::listen(at)?;
        poller.add(&listener, Event::readable(listener_key))?;
        Ok(Calls {
            listener,
            poller: poller.clone(),
            clock,
            listener_key,
            key,
            visitors: RefCell::default(),
            apart,
            next_at: Cell::new(Instant(0)),
            waits_until: Cell::new(None),
        })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Takes in those who wait to call, and says to them at once what is to be said unasked.
    pub fn accept(&self, mut unasked: impl FnMut() -> Option<Vec<u8>>) {
        // Some that come in one moment are no flood.
        const TOGETHER: f64 = 16.0;
        for _ in 0..MOST {
            let now = self.clock.now();
            let next_at = self.next_at.get().max(now - self.apart.scaled(TOGETHER));
            if next_at > now {
                self.waits_until.set(Some(next_at));
                return;
            }
            let take = |stream| self.take_in(stream, unasked());
            if listen::take_in(&self.listener, 1, "callers", take) == 0 {
                break;
            }
            self.next_at.set(next_at + self.apart);
        }
        self.watch();
    }

    fn watch(&self) {
        if let Err(e) = self.poller.modify(&self.listener, Event::readable(self.listener_key)) {
            warn!("an address for calls can't be watched: {e}");
        }
    }

    pub fn next_due(&self) -> Option<Instant> {
        self.waits_until.get()
    }

    /// Those who wait outside may come in again.
    pub fn due(&self) {
        if self.waits_until.get().is_some_and(|until| until <= self.clock.now()) {
            self.waits_until.set(None);
            self.watch();
        }
    }

    /// Guards against callers that say nothing and hold all places: whoever came first of them makes room, those who have
    /// their answers before, and those who have not read it last.
    fn take_in(&self, stream: TcpStream, unasked: Option<Vec<u8>>) {
        let mut visitors = self.visitors.borrow_mut();
        if visitors.len() >= MOST {
            let order = |v: &Visitor| match v.connection.buffer.waits_to_write() {
                false => (u8::from(!v.answered), v.since),
                true => (2, v.since),
            };
            let first = visitors.iter().min_by_key(|(_, visitor)| order(visitor)).map(|(place, _)| place);
            first.inspect(|&place| drop(visitors.remove(place)));
        }
        let place = visitors.vacant_entry();
        match Connection::from_stream(stream, &self.poller, (self.key)(place.key())) {
            Ok(mut connection) => {
                connection.set_max_unread(MAX_CALL);
                let answered = unasked.is_some();
                if let Some(text) = unasked {
                    connection.buffer.put(&text);
                }
                let visitor = place.insert(Visitor { connection, since: self.clock.now(), answered });
                // What fails shows when the loop looks at the connection.
                let _ = if answered { visitor.written(Reading::Open) } else { Ok(()) };
            }
            Err(e) => warn!("a call can't be watched: {e}"),
        }
    }

    /// Something can be read from or written to a connection.
    pub fn stirred(&self, place: usize, answer: impl FnOnce(&Request) -> Vec<u8>) {
        let mut visitors = self.visitors.borrow_mut();
        let Some(visitor) = visitors.get_mut(place) else { return };
        if visitor.moved(answer).is_err() {
            visitors.remove(place);
        }
    }
}

impl Visitor {
    /// Reads what came, answers the call if it is whole, and writes; an error when the connection is over.
    fn moved(&mut self, answer: impl FnOnce(&Request) -> Vec<u8>) -> io::Result<()> {
        let reading =
            if self.answered { self.connection.read_and_discard()? } else { self.connection.read()? };
        if !self.answered {
            let unread = self.connection.buffer.unread();
            let whole = match http::request(unread, &LIMITS) {
                Ok(None) if unread.len() >= MAX_CALL => Err(Malformed(413)),
                whole => whole,
            };
            let answer = match whole {
                Ok(None) if reading == Reading::Ended => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(None) => None,
                Ok(Some((request, _))) => Some(answer(&request)),
                Err(Malformed(status)) => Some(http::answer(status, &[http::CLOSE], b"")),
            };
            if let Some(answer) = answer {
                let unread = self.connection.buffer.unread().len();
                self.connection.buffer.done_with(unread);
                self.connection.buffer.put(&answer);
                self.answered = true;
            }
        }
        self.written(reading)
    }

    /// Writes what can be written; once the answer is gone nothing more will come.
    fn written(&mut self, reading: Reading) -> io::Result<()> {
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
