//! The list of executors: a watch at discovery that holds one JSON object a line.

use crate::exchange::Exchange;
use crate::memory::buffer::Reading;
use crate::memory::clock::Clock;
use crate::memory::connection::Connection;
use crate::memory::counters::Counters;
use crate::memory::list::Version;
use crate::sides::{List, Room};
use crate::wire::http;
use grebeusher_dispatch::time::{Moment, Span};
use polling::Poller;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

/// A connection comes up within round trips, or the path is cut off.
const UP_WITHIN: Span = Span::millis(1000);
/// Calls are worked through in turn, so the first line may wait; discovery itself fails a call that waits
/// longer than a few seconds.
const FIRST_LINE_WITHIN: Span = Span::millis(5000);
/// An empty line comes every 2 s while nothing changes: a second more is a path that is cut off.
const SILENT_AFTER: Span = Span::millis(3000);
/// A line holds the whole list at most: thousands of executors. One that is longer never ends, and the watch
/// falls silent.
const MOST_LINE: usize = 1024 * 1024;

#[derive(Default)]
struct Watch {
    connection: Option<Connection>,
    dialling: bool,
    listening: bool,
    /// How much of what was read has been freed of its chunks: lines, and the beginning of one.
    plain: usize,
    /// When its silence counts as its end; also when it could not be opened at all.
    silent_at: Option<Moment>,
    version: u64,
}

pub struct Discovery {
    address: Cell<SocketAddr>,
    poller: Rc<Poller>,
    clock: Clock,
    counters: Rc<Counters>,
    key: usize,
    watch: RefCell<Watch>,
    heard: Cell<bool>,
    /// Whom a watch without a descriptor asks for one.
    others: Vec<Rc<dyn Room>>,
}

impl Discovery {
    /// `version`: what is known of the list from before.
    pub fn new(
        others: Vec<Rc<dyn Room>>,
        address: SocketAddr,
        version: &Version,
        key: usize,
        (poller, clock, counters): (&Rc<Poller>, Clock, &Rc<Counters>),
    ) -> Discovery {
        let watch = Watch::closed(version.generation);
        Discovery {
            address: Cell::new(address),
            poller: poller.clone(),
            clock,
            counters: counters.clone(),
            key,
            watch: RefCell::new(watch),
            heard: Cell::new(false),
            others,
        }
    }

    /// Discovery is at this address from now on. What the watch at the old one has said is taken in first, and
    /// the new one goes on from there. Guards against losing word of a drain between the two.
    pub fn moved(&self, address: SocketAddr, exchange: &mut Exchange) {
        if self.address.replace(address) == address {
            return;
        }
        self.stirred(exchange);
        self.watch.borrow_mut().close();
        self.follow();
    }

    /// Whether it has said anything since the start of this process, be it that nothing has changed.
    pub fn was_heard(&self) -> bool {
        self.heard.get()
    }

    pub fn next_due(&self) -> Option<Moment> {
        self.watch.borrow().silent_at
    }

    pub fn due(&self, exchange: &mut Exchange) {
        if self.next_due().is_some_and(|at| at <= self.clock.now()) {
            self.broken("it is silent", exchange);
        }
    }

    fn broken(&self, what: &str, exchange: &mut Exchange) {
        self.counters.watches_broken.up();
        info!("watch of the executor list ended: {what}");
        self.watch.borrow_mut().close();
        exchange.list_broken();
    }

    /// Something can be read, or the connection has come up.
    pub fn stirred(&self, exchange: &mut Exchange) {
        let mut ended = {
            let mut watch = self.watch.borrow_mut();
            match watch.advance(self.clock.now()) {
                Ok(ended) => ended.then(|| "discovery closed it".to_owned()),
                Err(e) => Some(e.to_string()),
            }
        };
        // What came before the end still counts.
        // The borrow must end before the exchange is told, which may open the watch anew.
        while let Some(line) = { self.watch.borrow_mut().next_line() } {
            self.heard.set(true);
            let Some(version) = line else { continue };
            self.counters.list_lines.up();
            match version {
                Ok(version) => {
                    self.watch.borrow_mut().version = version.generation;
                    exchange.listed(&version);
                }
                Err(e) => {
                    // What it said is missing from now on: the whole list is asked for.
                    self.counters.list_bad.up();
                    warn!("a line of the list can't be read: {e}");
                    self.watch.borrow_mut().version = 0;
                    ended = Some("a line could not be read".to_owned());
                    break;
                }
            }
        }
        if let Some(what) = ended {
            self.broken(&what, exchange);
        }
    }
}

impl Watch {
    /// None is open; the next one goes on from `version`.
    fn closed(version: u64) -> Watch {
        Watch { version, ..Watch::default() }
    }

    fn close(&mut self) {
        *self = Watch::closed(self.version);
    }

    /// The next line that has come; nothing stands in it if it only says that all is well.
    fn next_line(&mut self) -> Option<Option<serde_json::Result<Version>>> {
        let buffer = &mut self.connection.as_mut()?.buffer;
        let line = buffer.unread()[..self.plain].split_inclusive(|&byte| byte == b'\n').next()?;
        let (length, text) = (line.len(), line.strip_suffix(b"\n")?.trim_ascii());
        let version = (!text.is_empty()).then(|| serde_json::from_slice(text));
        buffer.done_with(length);
        self.plain -= length;
        Some(version)
    }

    /// Reads what has come; whether the watch has ended.
    fn advance(&mut self, now: Moment) -> io::Result<bool> {
        let Some(connection) = &mut self.connection else { return Ok(false) };
        if self.dialling {
            if !connection.is_up()? {
                connection.watch(true)?;
                return Ok(false);
            }
            self.dialling = false;
            self.silent_at = Some(now + FIRST_LINE_WITHIN);
        }
        connection.write()?;
        let ended = connection.read()? == Reading::Ended;
        let malformed = |m: http::Malformed| io::Error::other(format!("malformed answer ({})", m.0));
        if !self.listening {
            let head = http::response_head(connection.buffer.unread()).map_err(malformed)?;
            let Some((status, _, length)) = head else {
                connection.watch(false)?;
                return Ok(ended);
            };
            if status != 200 {
                return Err(io::Error::other(format!("discovery answered {status}")));
            }
            connection.buffer.done_with(length);
            self.listening = true;
        }
        while let Some((data, length)) =
            http::chunk(&connection.buffer.unread()[self.plain..]).map_err(malformed)?
        {
            if data.is_empty() {
                return Ok(true);
            }
            connection.buffer.cut(self.plain + data.end..self.plain + length);
            connection.buffer.cut(self.plain..self.plain + data.start);
            self.plain += data.len();
            self.silent_at = Some(now + SILENT_AFTER);
        }
        connection.watch(false)?;
        Ok(ended)
    }
}

impl List for Discovery {
    /// Opens the watch, unless it is open: a move may have opened it before it was due to be tried again.
    fn follow(&self) {
        let mut watch = self.watch.borrow_mut();
        if watch.connection.is_some() {
            return;
        }
        let address = self.address.get();
        self.counters.watches.up();
        let text = format!(
            "GET /v1/endpoints?stream=1&index={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            watch.version, address
        );
        // Guards against a node that hears of no drain since its table is full.
        let opened =
            Connection::dial_among(&self.others, address, &self.poller, self.key).map(|mut connection| {
                connection.buffer.put(text.as_bytes());
                connection.bear(MOST_LINE);
                connection
            });
        let now = self.clock.now();
        match opened {
            Ok(connection) => {
                (watch.connection, watch.dialling) = (Some(connection), true);
                watch.silent_at = Some(now + UP_WITHIN);
            }
            Err(e) => {
                warn!("discovery can't be reached: {e}");
                watch.silent_at = Some(now);
            }
        }
    }
}
