//! The list of executors: a watch at discovery that holds one JSON object a line.

use crate::coordinator::Coordinator;
use crate::interfaces::{DescriptorHolder, ExecutorListSource};
use crate::state::clock::Clock;
use crate::state::connection::Connection;
use crate::state::counters::Counters;
use crate::state::executor_list::ExecutorListUpdate;
use crate::wire::LIMITS;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_transport::buffer::Reading;
use grebeusher_transport::http;
use polling::Poller;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

/// A connection comes up within round trips, or the path is cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Calls are worked through in turn, so the first line may wait; discovery itself fails a call that waits for 3 s. What
/// says nothing for longer has fallen silent.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(3200);
/// One that has said nothing for so long is not waited for alone: another goes beside it, and the first line of either
/// counts. What is usual before it in turn is over by then, and there is time for another before the list is out of date.
/// Sooner they crowd a discovery that is slow, or has just come back. Guards against the whole of that time spent on a
/// call that nobody will answer.
const RETRY_DELAY: Duration = Duration::from_millis(2000);
/// An empty line comes every 2 s while nothing changes: a quarter more is a path that is cut off, and leaves time for a
/// call that waits as long as any may.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// After word to move, what has changed counts as told 2 s sooner than otherwise.
const MOVED: Duration = Duration::from_millis(2000);
/// So long without a word, over some ten calls: discovery is out of reach, and the last list is as good as any. Its users
/// are told of no change meanwhile. Guards against nodes that serve nobody for as long as discovery is being mended.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(30_000);
/// A line holds the whole list at most: thousands of executors. One that is longer never ends, and the watch
/// falls silent.
const MAX_LINE: usize = 1024 * 1024;

/// The calls that may be open at once; one of them is the watch as soon as a line has come on it.
pub const CALLS: usize = 2;

#[derive(Default)]
struct Watch {
    connection: Option<Connection>,
    dialling: bool,
    listening: bool,
    /// How much of what was read has been freed of its chunks: lines, and the beginning of one.
    plain: usize,
    /// When its silence counts as its end; also when it could not be opened at all.
    silent_at: Option<Instant>,
    /// When another goes beside it.
    ask_again_at: Option<Instant>,
    /// When it was called for.
    called: Instant,
    /// A line has come.
    lives: bool,
    turned_away: bool,
}

pub struct Discovery {
    address: Cell<SocketAddr>,
    poller: Rc<Poller>,
    clock: Clock,
    counters: Rc<Counters>,
    /// The loop knows each by one.
    keys: [usize; CALLS],
    calls: RefCell<[Watch; CALLS]>,
    /// What the next one goes on from.
    version: Cell<u64>,
    heard: Cell<bool>,
    /// As of when all that discovery had was known here: a line came, be it an empty one, or nobody was there to tell.
    proved: Cell<Instant>,
    /// It has said that it serves nobody now since its last line: it is there, and busy or down.
    turns_away: Cell<bool>,
    /// The first failure since the last line.
    failing_since: Cell<Option<Instant>>,
    /// Whom a watch without a descriptor asks for one.
    others: Vec<Rc<dyn DescriptorHolder>>,
}

impl Discovery {
    /// `version`: what is known of the list from before.
    pub fn new(
        others: Vec<Rc<dyn DescriptorHolder>>,
        address: SocketAddr,
        version: &ExecutorListUpdate,
        keys: [usize; CALLS],
        (poller, clock, counters): (&Rc<Poller>, Clock, &Rc<Counters>),
    ) -> Discovery {
        Discovery {
            address: Cell::new(address),
            poller: poller.clone(),
            clock,
            counters: counters.clone(),
            keys,
            calls: RefCell::default(),
            version: Cell::new(version.generation),
            heard: Cell::new(false),
            proved: Cell::new(clock.now()),
            turns_away: Cell::new(false),
            failing_since: Cell::new(None),
            others,
        }
    }

    /// Discovery is at this address from now on. What the watch at the old one has said is taken in first, and
    /// the new one goes on from there. Guards against losing word of a drain between the two.
    pub fn moved(&self, address: SocketAddr, coordinator: &mut Coordinator) {
        if self.address.replace(address) == address {
            return;
        }
        for place in 0..CALLS {
            self.stirred(place, self.proved.get(), coordinator);
        }
        *self.calls.borrow_mut() = Default::default();
        self.proves(self.proved.get().min(self.clock.now() - MOVED), false, coordinator);
        self.watch();
    }

    /// Whether it has said anything since the start of this process, be it that nothing has changed.
    pub fn was_heard(&self) -> bool {
        self.heard.get()
    }

    pub fn next_due(&self) -> Option<Instant> {
        let calls = self.calls.borrow();
        calls.iter().flat_map(|call| [call.silent_at, call.ask_again_at]).flatten().min()
    }

    pub fn due(&self, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        for place in 0..CALLS {
            let (silent, slow) = {
                let call = &mut self.calls.borrow_mut()[place];
                let slow = call.ask_again_at.take_if(|at| *at <= now).is_some();
                (call.silent_at.is_some_and(|at| at <= now), slow)
            };
            if silent {
                self.broken(place, "it is silent", coordinator);
            } else if slow {
                coordinator.executor_list_lost();
            }
        }
    }

    fn broken(&self, place: usize, what: &str, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        let call = std::mem::take(&mut self.calls.borrow_mut()[place]);
        self.counters.watches_broken.increment();
        info!("watch of the executor list ended after {:.1} s: {what}", now.since(call.called).seconds());
        let since = self.failing_since.get().unwrap_or(now);
        self.failing_since.set(Some(since));
        if now.since(since) >= UNREACHABLE_TIMEOUT && call.called > self.proved.get() {
            self.proves(call.called, false, coordinator);
        }
        coordinator.executor_list_lost();
    }

    /// All that discovery had then is known here, as it said or as nobody could have been told more.
    fn proves(&self, as_of: Instant, heard: bool, coordinator: &mut Coordinator) {
        self.proved.set(as_of);
        coordinator.executor_list_confirmed(as_of, heard);
    }

    /// Something can be read, or the connection has come up; what can be read now came after `as_of`.
    pub fn stirred(&self, place: usize, as_of: Instant, coordinator: &mut Coordinator) {
        let (mut ended, refused) = {
            let watch = &mut self.calls.borrow_mut()[place];
            match watch.advance(self.clock.now()) {
                Ok(ended) => (ended.then(|| "discovery closed it".to_owned()), None),
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                    (Some(e.to_string()), Some(watch.called))
                }
                Err(e) => (Some(e.to_string()), None),
            }
        };
        self.turns_away.set(self.turns_away.get() | self.calls.borrow()[place].turned_away);
        // Where nobody listens nobody has been told of anything.
        if let Some(called) = refused.filter(|called| *called > self.proved.get()) {
            self.proves(called, false, coordinator);
        }
        let mut missed_some = false;
        // What came before the end still counts.
        // The borrow must end before the coordinator is told, which may open the watch anew.
        while let Some(line) = { self.calls.borrow_mut()[place].next_line() } {
            let known = self.version.get();
            if line.is_some() {
                self.counters.list_lines.increment();
            }
            let missed = match line {
                None => None,
                // Changes to an older list than this one: what lies between is not known.
                Some(Ok(version)) if !version.reset && version.generation < known => {
                    Some(format!("changes of version {} came after {known}", version.generation))
                }
                Some(Ok(version)) => {
                    self.version.set(version.generation);
                    coordinator.executor_list_received(&version);
                    None
                }
                Some(Err(e)) => Some(format!("a line can't be read: {e}")),
            };
            if let Some(what) = missed {
                // What it said is missing from now on: the whole list is asked for.
                self.counters.list_bad.increment();
                warn!("the list: {what}");
                self.version.set(0);
                (ended, missed_some) = (Some("a line could not be used".to_owned()), true);
                break;
            }
            // Lines alone prove that it is alive. Guards against chunks that never make one.
            self.lives(place);
            self.heard.set(true);
            self.failing_since.set(None);
            self.turns_away.set(false);
            self.proves(as_of.max(self.proved.get()), true, coordinator);
        }
        if let Some(what) = ended {
            // Up to the end of a watch that was not silent all was told.
            if self.calls.borrow()[place].lives && as_of > self.proved.get() && !missed_some {
                self.proves(as_of, false, coordinator);
            }
            self.broken(place, &what, coordinator);
        }
    }

    /// A line has come on it: it is the watch, and no other is needed.
    fn lives(&self, place: usize) {
        let mut calls = self.calls.borrow_mut();
        let watch = &mut calls[place];
        watch.silent_at = Some(self.clock.now() + SILENCE_TIMEOUT);
        watch.ask_again_at = None;
        if !std::mem::replace(&mut watch.lives, true) {
            let others = calls.iter_mut().enumerate().filter(|(other, _)| *other != place);
            others.for_each(|(_, call)| *call = Watch::default());
        }
    }
}

impl Watch {
    /// The next line that has come; nothing stands in it if it only says that all is well.
    fn next_line(&mut self) -> Option<Option<serde_json::Result<ExecutorListUpdate>>> {
        let buffer = &mut self.connection.as_mut()?.buffer;
        let line = buffer.unread()[..self.plain].split_inclusive(|&byte| byte == b'\n').next()?;
        let (length, text) = (line.len(), line.strip_suffix(b"\n")?.trim_ascii());
        let version = (!text.is_empty()).then(|| serde_json::from_slice(text));
        buffer.done_with(length);
        self.plain -= length;
        Some(version)
    }

    /// Reads what has come; whether the watch has ended.
    fn advance(&mut self, now: Instant) -> io::Result<bool> {
        let Some(connection) = &mut self.connection else { return Ok(false) };
        if self.dialling {
            if !connection.is_connected()? {
                connection.watch(true)?;
                return Ok(false);
            }
            self.dialling = false;
            self.silent_at = Some(now + FIRST_LINE_TIMEOUT);
        }
        connection.write()?;
        let ended = connection.read()? == Reading::Ended;
        let malformed = |m: http::Malformed| io::Error::other(format!("malformed answer ({})", m.0));
        if !self.listening {
            let head = http::response_head(connection.buffer.unread(), &LIMITS).map_err(malformed)?;
            let Some((head, length)) = head else {
                connection.watch(false)?;
                return Ok(ended);
            };
            if head.status != 200 {
                self.turned_away = true;
                return Err(io::Error::other(format!("discovery answered {}", head.status)));
            }
            connection.buffer.done_with(length);
            self.listening = true;
        }
        while let Some((data, length)) =
            http::chunk(&connection.buffer.unread()[self.plain..], &LIMITS).map_err(malformed)?
        {
            if data.is_empty() {
                return Ok(true);
            }
            connection.buffer.cut(self.plain + data.end..self.plain + length);
            connection.buffer.cut(self.plain..self.plain + data.start);
            self.plain += data.len();
        }
        connection.watch(false)?;
        Ok(ended)
    }
}

impl ExecutorListSource for Discovery {
    /// Calls for the watch, unless it lives or as many calls wait for it as may.
    fn watch(&self) {
        let mut calls = self.calls.borrow_mut();
        if calls.iter().any(|call| call.lives) {
            return;
        }
        let vacant = calls.iter().position(|call| call.connection.is_none() && call.silent_at.is_none());
        let Some(place) = vacant else { return };
        let watch = &mut calls[place];
        let address = self.address.get();
        self.counters.watches.increment();
        let text = format!(
            "GET /v1/endpoints?stream=1&index={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.version.get(),
            address
        );
        // Guards against a node that hears of no drain since its table is full.
        let opened = Connection::dial_with_reclaim(&self.others, address, &self.poller, self.keys[place])
            .map(|mut connection| {
                connection.buffer.put(text.as_bytes());
                connection.set_max_unread(MAX_LINE);
                connection
            });
        let now = self.clock.now();
        watch.called = now;
        match opened {
            Ok(connection) => {
                (watch.connection, watch.dialling) = (Some(connection), true);
                watch.silent_at = Some(now + CONNECT_TIMEOUT);
                // Guards against twice the calls at one that has too many.
                watch.ask_again_at = Some(now + RETRY_DELAY).filter(|_| !self.turns_away.get());
            }
            Err(e) => {
                warn!("discovery can't be reached: {e}");
                watch.silent_at = Some(now);
            }
        }
    }
}
