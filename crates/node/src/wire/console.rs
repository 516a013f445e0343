//! The console: a second address at which the staff ask how the node is and send its clients away. One call to a
//! connection, answered in the turn of the loop in which it is whole.

use crate::memory::buffer::Reading;
use crate::memory::clock::Clock;
use crate::memory::connection::Connection;
use crate::wire::http::{self, Malformed};
use grebeusher_dispatch::time::Moment;
use log::{info, warn};
use polling::{Event, Poller};
use slab::Slab;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Descriptors that are set aside for it: the listener, and the connections that it holds at once. A handful of
/// staff and their programs call; some connect and say nothing, and the oldest of these make room.
pub const DESCRIPTORS: usize = 1 + MOST;
const MOST: usize = 16;
/// A call is a line and a few headers. What is longer is answered 413 and not kept.
const MOST_CALL: usize = 8 * 1024;

/// What the console asks of the node.
pub trait Office {
    fn is_ready(&self) -> bool;
    /// What `/stats` shows.
    fn figures(&self) -> String;
    /// Clients go elsewhere until further word.
    fn send_away(&mut self);
    /// Back to work; `false` once the node has been told to stop.
    fn take_back(&mut self) -> bool;
}

/// Somebody who called, or may yet.
struct Visitor {
    connection: Connection,
    since: Moment,
    /// Has had the answer: the rest is read and dropped until it closes, or the answer would be lost with it.
    answered: bool,
}

pub struct Console {
    listener: TcpListener,
    poller: Rc<Poller>,
    clock: Clock,
    /// Keys under which the loop knows the listener and the connections, from their places.
    listener_key: usize,
    key: fn(usize) -> usize,
    visitors: RefCell<Slab<Visitor>>,
}

impl Console {
    pub fn listen(
        at: SocketAddr,
        (listener_key, key): (usize, fn(usize) -> usize),
        (poller, clock): (&Rc<Poller>, Clock),
    ) -> io::Result<Console> {
        let listener = super::listen(at)?;
        poller.add(&listener, Event::readable(listener_key))?;
        let visitors = RefCell::default();
        Ok(Console { listener, poller: poller.clone(), clock, listener_key, key, visitors })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Takes in those who wait to call. Guards against callers that say nothing and hold all places: whoever came
    /// first of them makes room, those who have their answers before, and those who have not read it last.
    pub fn accept(&self) {
        super::take_in(&self.listener, MOST, "calls to the console", |stream| self.take_in(stream));
        if let Err(e) = self.poller.modify(&self.listener, Event::readable(self.listener_key)) {
            warn!("the console can't be watched: {e}");
        }
    }

    fn take_in(&self, stream: TcpStream) {
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
        match Connection::watched(stream, &self.poller, (self.key)(place.key())) {
            Ok(mut connection) => {
                connection.bear(MOST_CALL);
                place.insert(Visitor { connection, since: self.clock.now(), answered: false });
            }
            Err(e) => warn!("a call to the console can't be watched: {e}"),
        }
    }

    /// Something can be read from or written to a connection.
    pub fn stirred(&self, place: usize, office: &mut impl Office) {
        let mut visitors = self.visitors.borrow_mut();
        let Some(visitor) = visitors.get_mut(place) else { return };
        if visitor.moved(office).is_err() {
            visitors.remove(place);
        }
    }
}

impl Visitor {
    /// Reads what came, answers the call if it is whole, and writes; an error when the connection is over.
    fn moved(&mut self, office: &mut impl Office) -> io::Result<()> {
        let reading =
            if self.answered { self.connection.read_and_drop()? } else { self.connection.read()? };
        if !self.answered {
            let unread = self.connection.buffer.unread();
            let whole = match http::request(unread) {
                Ok(None) if unread.len() >= MOST_CALL => Err(Malformed(413)),
                whole => whole,
            };
            let answer = match whole {
                Ok(None) if reading == Reading::Ended => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(None) => None,
                Ok(Some((request, _))) => Some(answer(&request.method, &request.target, office)),
                Err(Malformed(status)) => Some(http::answer(status, true, None, b"")),
            };
            if let Some(answer) = answer {
                let unread = self.connection.buffer.unread().len();
                self.connection.buffer.done_with(unread);
                self.connection.buffer.put(&answer);
                self.answered = true;
            }
        }
        self.connection.write()?;
        if self.answered && !self.connection.buffer.waits_to_write() {
            if reading == Reading::Ended {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            self.connection.end_writing()?;
        }
        self.connection.watch(false)
    }
}

/// What a call is answered.
fn answer(method: &str, target: &str, office: &mut impl Office) -> Vec<u8> {
    let path = target.split('?').next().unwrap_or_default();
    let say = |yes: bool, no: u16, what: &str| {
        http::answer(if yes { 200 } else { no }, true, None, what.as_bytes())
    };
    match (path, method) {
        ("/healthcheck", "GET") if office.is_ready() => say(true, 503, "ready\n"),
        ("/healthcheck", "GET") => say(false, 503, "not ready\n"),
        ("/healthcheck/fail", "POST") => {
            info!("console: clients are sent away");
            office.send_away();
            say(true, 409, "clients are sent away\n")
        }
        ("/healthcheck/ok", "POST") => {
            let back = office.take_back();
            info!("console: back to work: {back}");
            say(back, 409, if back { "back to work\n" } else { "the node was told to stop\n" })
        }
        ("/stats", "GET") => say(true, 503, &office.figures()),
        ("/healthcheck" | "/stats", _) => http::answer(405, true, Some(("Allow", "GET")), b""),
        ("/healthcheck/fail" | "/healthcheck/ok", _) => http::answer(405, true, Some(("Allow", "POST")), b""),
        _ => http::answer(404, true, None, b""),
    }
}
