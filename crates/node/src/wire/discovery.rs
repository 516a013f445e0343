//! The executor list: a watch at discovery, whose response is a stream of JSON objects, one to a line.

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

/// A connection is established within a few round trips, or the network path is cut.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Discovery works through watch requests in turn, so the first line may be delayed; discovery itself fails a request
/// that waits for 3 s. A longer silence means that it does not answer.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(3200);
/// After this long without a line a second watch is opened beside the first, and the first line of either counts. The
/// usual delay is over by then, and time is left for another watch before the list is out of date. Earlier second
/// watches would crowd a discovery that is slow or has just come back. Guards against the whole of that time spent on a
/// request that is never answered.
const RETRY_DELAY: Duration = Duration::from_millis(2000);
/// While nothing changes discovery sends an empty line every 2 s. A quarter more means that the network path is cut,
/// and leaves time for a request that waits as long as any may.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// After a change of the address, the list counts as confirmed 2 s earlier than it was.
const MOVE_MARGIN: Duration = Duration::from_millis(2000);
/// After this long without a line, over some ten watches, discovery is treated as unreachable, and the last list as
/// current: its other users are told of no change either. Guards against nodes that serve nobody as long as discovery
/// is being repaired.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(30_000);
/// The longest line in bytes: it holds the whole list of thousands of executors. A longer line is not read to its end,
/// and the watch times out.
const MAX_LINE: usize = 1024 * 1024;

/// The number of watches that may be open at once; the first to receive a line replaces the other.
pub const MAX_WATCHES: usize = 2;

#[derive(Default)]
struct Watch {
    connection: Option<Connection>,
    is_connecting: bool,
    head_received: bool,
    /// The number of unread bytes that are already free of chunk framing: complete lines, and the beginning of one.
    decoded_bytes: usize,
    /// When the watch is treated as ended if no line comes; also set if it could not be opened at all.
    times_out_at: Option<Instant>,
    /// When a second watch is opened beside this one.
    retry_at: Option<Instant>,
    /// When the watch was opened.
    opened_at: Instant,
    /// A line has been received.
    is_live: bool,
    was_rejected: bool,
}

pub struct Discovery {
    address: Cell<SocketAddr>,
    poller: Rc<Poller>,
    clock: Clock,
    counters: Rc<Counters>,
    /// The poller key of each watch.
    keys: [usize; MAX_WATCHES],
    watches: RefCell<[Watch; MAX_WATCHES]>,
    /// The generation of the list from which the next watch continues.
    known_generation: Cell<u64>,
    /// A line was received since the start of this process.
    line_received: Cell<bool>,
    /// The time as of which the list was confirmed: a line came, even an empty one, or discovery was down and could
    /// inform nobody.
    confirmed_at: Cell<Instant>,
    /// Since the last line discovery has answered a watch with an error: it is up, but busy or not serving.
    rejects_watches: Cell<bool>,
    /// The time of the first failure since the last line.
    failing_since: Cell<Option<Instant>>,
    /// Components that can release a descriptor for a watch.
    descriptor_holders: Vec<Rc<dyn DescriptorHolder>>,
}

impl Discovery {
    /// `update` is the list that is known at the start.
    pub fn new(
        descriptor_holders: Vec<Rc<dyn DescriptorHolder>>,
        address: SocketAddr,
        update: &ExecutorListUpdate,
        keys: [usize; MAX_WATCHES],
        (poller, clock, counters): (&Rc<Poller>, Clock, &Rc<Counters>),
    ) -> Discovery {
        Discovery {
            address: Cell::new(address),
            poller: poller.clone(),
            clock,
            counters: counters.clone(),
            keys,
            watches: RefCell::default(),
            known_generation: Cell::new(update.generation),
            line_received: Cell::new(false),
            confirmed_at: Cell::new(clock.now()),
            rejects_watches: Cell::new(false),
            failing_since: Cell::new(None),
            descriptor_holders,
        }
    }

    /// Changes the address of discovery. Lines that the watch at the old address has received are applied first, and
    /// the new watch continues from there. Guards against losing the drain of an executor between the two.
    pub fn set_address(&self, address: SocketAddr, coordinator: &mut Coordinator) {
        if self.address.replace(address) == address {
            return;
        }
        for index in 0..MAX_WATCHES {
            self.handle_event(index, self.confirmed_at.get(), coordinator);
        }
        *self.watches.borrow_mut() = Default::default();
        self.confirm(self.confirmed_at.get().min(self.clock.now() - MOVE_MARGIN), false, coordinator);
        self.watch();
    }

    /// Whether a line, even an empty one, was received since the start of this process.
    pub fn has_received_line(&self) -> bool {
        self.line_received.get()
    }

    pub fn next_timeout(&self) -> Option<Instant> {
        let watches = self.watches.borrow();
        watches.iter().flat_map(|watch| [watch.times_out_at, watch.retry_at]).flatten().min()
    }

    pub fn handle_timeouts(&self, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        for index in 0..MAX_WATCHES {
            let (is_silent, is_slow) = {
                let watch = &mut self.watches.borrow_mut()[index];
                let is_slow = watch.retry_at.take_if(|at| *at <= now).is_some();
                (watch.times_out_at.is_some_and(|at| at <= now), is_slow)
            };
            if is_silent {
                self.watch_ended(index, "no line within the timeout", coordinator);
            } else if is_slow {
                coordinator.executor_list_lost();
            }
        }
    }

    fn watch_ended(&self, index: usize, reason: &str, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        let watch = std::mem::take(&mut self.watches.borrow_mut()[index]);
        self.counters.watches_broken.increment();
        info!(
            "watch of the executor list ended after {:.1} s: {reason}",
            now.since(watch.opened_at).seconds()
        );
        let since = self.failing_since.get().unwrap_or(now);
        self.failing_since.set(Some(since));
        if now.since(since) >= UNREACHABLE_TIMEOUT && watch.opened_at > self.confirmed_at.get() {
            self.confirm(watch.opened_at, false, coordinator);
        }
        coordinator.executor_list_lost();
    }

    /// The list here is what discovery had at `as_of`. `answered` says that discovery itself sent a line; otherwise
    /// nobody could have been told of a later change.
    fn confirm(&self, as_of: Instant, answered: bool, coordinator: &mut Coordinator) {
        self.confirmed_at.set(as_of);
        coordinator.executor_list_confirmed(as_of, answered);
    }

    /// Handles readiness of a watch for reading, or the establishment of its connection. Input that is read now arrived
    /// after `as_of`.
    pub fn handle_event(&self, index: usize, as_of: Instant, coordinator: &mut Coordinator) {
        let (mut end_reason, refused_at) = {
            let watch = &mut self.watches.borrow_mut()[index];
            match watch.advance(self.clock.now()) {
                Ok(has_ended) => (has_ended.then(|| "closed by discovery".to_owned()), None),
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                    (Some(e.to_string()), Some(watch.opened_at))
                }
                Err(e) => (Some(e.to_string()), None),
            }
        };
        self.rejects_watches.set(self.rejects_watches.get() | self.watches.borrow()[index].was_rejected);
        // Discovery is down if it refuses a connection, so it has told nobody of a change.
        if let Some(opened_at) = refused_at.filter(|opened_at| *opened_at > self.confirmed_at.get()) {
            self.confirm(opened_at, false, coordinator);
        }
        let mut has_gap = false;
        // Lines that came before the end of the watch still count. The borrow has to end before the coordinator is
        // called, which may open a new watch.
        while let Some(line) = { self.watches.borrow_mut()[index].next_line() } {
            let known_generation = self.known_generation.get();
            if line.is_some() {
                self.counters.list_lines.increment();
            }
            let gap = match line {
                None => None,
                // The changes are relative to an older list than the known one; the changes between the two are
                // unknown.
                Some(Ok(update)) if !update.reset && update.generation < known_generation => {
                    Some(format!("changes of version {} came after {known_generation}", update.generation))
                }
                Some(Ok(update)) => {
                    self.known_generation.set(update.generation);
                    coordinator.executor_list_received(&update);
                    None
                }
                Some(Err(e)) => Some(format!("invalid line: {e}")),
            };
            if let Some(reason) = gap {
                // The content of this line is missing from now on, so the next watch asks for the whole list.
                self.counters.list_bad.increment();
                warn!("executor list: {reason}");
                self.known_generation.set(0);
                (end_reason, has_gap) = (Some("a line could not be used".to_owned()), true);
                break;
            }
            // Only complete lines prove that the watch is alive. Guards against chunks that never complete a line.
            self.mark_live(index);
            self.line_received.set(true);
            self.failing_since.set(None);
            self.rejects_watches.set(false);
            self.confirm(as_of.max(self.confirmed_at.get()), true, coordinator);
        }
        if let Some(reason) = end_reason {
            // Everything up to the end of a watch that was not silent has been received.
            if self.watches.borrow()[index].is_live && as_of > self.confirmed_at.get() && !has_gap {
                self.confirm(as_of, false, coordinator);
            }
            self.watch_ended(index, &reason, coordinator);
        }
    }

    /// The watch has received a line: it is the one to keep, and any other is closed.
    fn mark_live(&self, index: usize) {
        let mut watches = self.watches.borrow_mut();
        let watch = &mut watches[index];
        watch.times_out_at = Some(self.clock.now() + SILENCE_TIMEOUT);
        watch.retry_at = None;
        if !std::mem::replace(&mut watch.is_live, true) {
            let others = watches.iter_mut().enumerate().filter(|(other, _)| *other != index);
            others.for_each(|(_, watch)| *watch = Watch::default());
        }
    }
}

impl Watch {
    /// The next complete line; the inner `None` stands for an empty line, by which discovery says that nothing has
    /// changed.
    fn next_line(&mut self) -> Option<Option<serde_json::Result<ExecutorListUpdate>>> {
        let buffer = &mut self.connection.as_mut()?.buffer;
        let line = buffer.unread()[..self.decoded_bytes].split_inclusive(|&byte| byte == b'\n').next()?;
        let (length, text) = (line.len(), line.strip_suffix(b"\n")?.trim_ascii());
        let update = (!text.is_empty()).then(|| serde_json::from_slice(text));
        buffer.done_with(length);
        self.decoded_bytes -= length;
        Some(update)
    }

    /// Reads input; returns whether the watch has ended.
    fn advance(&mut self, now: Instant) -> io::Result<bool> {
        let Some(connection) = &mut self.connection else { return Ok(false) };
        if self.is_connecting {
            if !connection.is_connected()? {
                connection.watch(true)?;
                return Ok(false);
            }
            self.is_connecting = false;
            self.times_out_at = Some(now + FIRST_LINE_TIMEOUT);
        }
        connection.write()?;
        let has_ended = connection.read()? == Reading::Ended;
        let malformed = |m: http::Malformed| io::Error::other(format!("malformed response ({})", m.0));
        if !self.head_received {
            let head = http::response_head(connection.buffer.unread(), &LIMITS).map_err(malformed)?;
            let Some((head, length)) = head else {
                connection.watch(false)?;
                return Ok(has_ended);
            };
            if head.status != 200 {
                self.was_rejected = true;
                return Err(io::Error::other(format!("discovery answered {}", head.status)));
            }
            connection.buffer.done_with(length);
            self.head_received = true;
        }
        while let Some((data, length)) =
            http::chunk(&connection.buffer.unread()[self.decoded_bytes..], &LIMITS).map_err(malformed)?
        {
            if data.is_empty() {
                return Ok(true);
            }
            connection.buffer.cut(self.decoded_bytes + data.end..self.decoded_bytes + length);
            connection.buffer.cut(self.decoded_bytes..self.decoded_bytes + data.start);
            self.decoded_bytes += data.len();
        }
        connection.watch(false)?;
        Ok(has_ended)
    }
}

impl ExecutorListSource for Discovery {
    /// Opens a watch, unless one is live or the maximum number of watches is open.
    fn watch(&self) {
        let mut watches = self.watches.borrow_mut();
        if watches.iter().any(|watch| watch.is_live) {
            return;
        }
        let free =
            watches.iter().position(|watch| watch.connection.is_none() && watch.times_out_at.is_none());
        let Some(index) = free else { return };
        let watch = &mut watches[index];
        let address = self.address.get();
        self.counters.watches.increment();
        let request = format!(
            "GET /v1/endpoints?stream=1&index={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.known_generation.get(),
            address
        );
        // Guards against a node that learns of no drain because its descriptor table is full.
        let connection =
            Connection::dial_with_reclaim(&self.descriptor_holders, address, &self.poller, self.keys[index])
                .map(|mut connection| {
                    connection.buffer.put(request.as_bytes());
                    connection.set_max_unread(MAX_LINE);
                    connection
                });
        let now = self.clock.now();
        watch.opened_at = now;
        match connection {
            Ok(connection) => {
                (watch.connection, watch.is_connecting) = (Some(connection), true);
                watch.times_out_at = Some(now + CONNECT_TIMEOUT);
                // Guards against twice the number of watches at a discovery that is overloaded.
                watch.retry_at = Some(now + RETRY_DELAY).filter(|_| !self.rejects_watches.get());
            }
            Err(e) => {
                warn!("cannot connect to discovery: {e}");
                watch.times_out_at = Some(now);
            }
        }
    }
}
