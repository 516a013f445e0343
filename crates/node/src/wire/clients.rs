//! The server side: those who connect to this node. Clients bring work units and wait for their answers;
//! executors call back on the same address.

use crate::coordinator::Coordinator;
use crate::interfaces::{CallerId, ClientResponder, DescriptorHolder};
use crate::state::clock::Clock;
use crate::state::connection::{Connection, MAX_UNREAD};
use crate::state::counters::Counters;
use crate::state::requests::{RequestContent, RequestIds};
use crate::wire::LIMITS;
use crate::wire::call_backs::{self, CallBack};
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

/// A connection's first request must be whole this long after it was taken in, a later one after its first byte,
/// and an answer taken within as long: honest clients need two seconds on the slowest of lines, and the others are owed
/// an error or a close within 3 s; this leaves a busy moment to either side. Guards against sockets held by those who
/// say nothing or never end.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long the rest of what was refused is read and dropped: the 60 MB of a bad client within 6 s of connecting.
const LINGER: Duration = Duration::from_millis(4000);
/// And of what comes behind the last answer on a connection: some round trips, until the client has seen its end.
const LINGER_BRIEFLY: Duration = Duration::from_millis(500);
/// So many are taken in before others have their turn: more wait outside for microseconds only.
const AT_ONCE: usize = 64;
/// A usual request is far smaller than this: only larger ones are asked whether there is memory for them.
const LARGE: usize = 16 * 1024;
/// Beside a request in hand only the end of the connection is of interest.
const BESIDE: usize = 4 * 1024;
/// What an executor's request line holds at most, by what common servers bear, and an id in it.
const MAX_TARGET: usize = 4096;
const MAX_ID: usize = 128;
/// Before the path of work that outlives the process, where there is a ledger.
const LASTING: &str = "/durable/";
/// What the node writes itself at the head of each attempt.
const OWN_HEADERS: [&str; 4] = ["Host", "X-Call-Id", "X-Call-Class", "X-Budget-Ms"];
/// How long no connection is taken in after the system had no room for one: some are closed meanwhile.
const BREATHER: Duration = Duration::from_millis(50);
/// The longest patience that a client may name: a day, far beyond any work; it keeps sums of times in range.
const MAX_PATIENCE_MS: u64 = 86_400_000;

/// One connection that was taken in.
struct Caller {
    connection: Connection,
    serial: u64,
    /// The work unit whose answer it waits for.
    in_hand: Option<RequestId>,
    /// Its call-back was passed to another process of the node, and waits for the answer.
    passed_on: bool,
    /// Its tariff, and the length of the body that it brought.
    tariff: usize,
    body: usize,
    /// Since when a request is waited for that is not whole yet: the first one, or one that has begun.
    waited_since: Option<Instant>,
    came: Instant,
    last_used: Instant,
    /// How much of a request that is not whole yet has come, and in how many pieces.
    begun: (usize, u32),
    /// Has brought work, as those do whom the node is for.
    is_usual: bool,
    calls_back: bool,
    /// To be closed once all is written.
    closes: bool,
    /// Has had its last answer: until then the rest of what it sends is read and dropped before the socket is closed, or
    /// the answer would be lost with it.
    lingers_until: Option<Instant>,
    /// What comes is read and dropped.
    drops: bool,
}

impl Caller {
    /// Whether it waits for an answer that others have to give.
    fn is_busy(&self) -> bool {
        self.in_hand.is_some() || self.passed_on
    }

    fn is_idle(&self) -> bool {
        let buffer = &self.connection.buffer;
        self.lingers_until.is_some()
            || (!self.is_busy() && buffer.unread().is_empty() && !buffer.waits_to_write())
    }

    /// How soon it may be closed to make room, if at all: first who was refused, then who says nothing or only asks
    /// how the node is, then who began a request and stopped, then idle clients, then who goes on with one piece
    /// after the other, then idle call-backs, which executors say again elsewhere; those whose answer is due never.
    fn sheds(&self, now: Instant) -> Option<(u8, Instant)> {
        // A request may be under way to a fresh or idle connection, and would be lost: a round trip and a busy
        // moment for those who have yet to say a word, more for a client that answers go back and forth with.
        const FRESH: Duration = Duration::from_millis(50);
        const USUAL: Duration = Duration::from_millis(250);
        let (order, after) = match self {
            Caller { lingers_until: Some(_), .. } => (0, Duration::from_millis(0)),
            _ if self.is_busy() => return None,
            // Guards against a node whose descriptors are all held by executors that have nothing to say, while its
            // clients wait outside.
            Caller { calls_back: true, .. } if self.is_idle() => (5, USUAL),
            Caller { calls_back: true, .. } => return None,
            Caller { is_usual: false, .. } if self.is_idle() => (1, FRESH),
            // Guards against honest clients on slow lines that go with a crowd which stops half way.
            Caller { is_usual: false, begun: (_, 2..), .. } => (4, USUAL),
            Caller { is_usual: false, .. } => (2, FRESH),
            _ if self.is_idle() => (3, USUAL),
            _ => return None,
        };
        (now.since(self.last_used) >= after).then_some((order, self.last_used))
    }

    /// What it takes of the memory: bytes not understood yet, and the body in hand.
    fn holds(&self) -> usize {
        self.connection.buffer.unread().len() + self.body
    }

    /// Reads what has come.
    fn take_in(&mut self) -> io::Result<Reading> {
        let reading = if self.drops { Reading::Open } else { self.connection.read()? };
        self.bear_no_flood();
        if self.drops && reading == Reading::Open { self.connection.read_and_discard() } else { Ok(reading) }
    }

    /// What somebody sends beyond the beginning of a next request, while one is in hand, is dropped, and the connection
    /// closed behind the answer. Guards against an end that nobody hears of behind what is not read.
    fn bear_no_flood(&mut self) {
        if self.in_hand.is_some() && self.connection.buffer.unread().len() >= BESIDE {
            (self.closes, self.drops) = (true, true);
        }
        if self.drops {
            self.drop_unread();
        }
    }

    fn drop_unread(&mut self) {
        let unread = self.connection.buffer.unread().len();
        self.connection.buffer.done_with(unread);
    }

    /// Writes what can be written, and watches for what comes next; `false` when the connection is over.
    fn carry_on(&mut self, now: Instant, slow: &mut Alarms<(usize, u64)>, place: usize) -> bool {
        self.bear_no_flood();
        let buffer = &self.connection.buffer;
        // What was read while an answer was due is looked at as soon as that is written.
        let more = !self.is_busy() && self.waited_since.is_none() && !buffer.unread().is_empty();
        let written = self.connection.write().and_then(|()| self.connection.watch(more));
        if written.is_err() || !self.closes || self.is_busy() || self.connection.buffer.waits_to_write() {
            return written.is_ok();
        }
        // The rest is read and dropped. Guards against a next request in that moment, over which the end of the connection
        // would take the answer with it.
        self.drops = true;
        if self.lingers_until.is_none() {
            self.lingers_until = Some(now + LINGER_BRIEFLY);
            slow.set(now + LINGER_BRIEFLY, (place, self.serial));
        }
        self.connection.shutdown_write().is_ok()
    }
}

struct Callers {
    kept: Slab<Caller>,
    by_unit: HashMap<RequestId, usize>,
    /// Until when a request must be whole, or an answer taken, by place and serial.
    slow: Alarms<(usize, u64)>,
    next_serial: u64,
}

pub struct Clients {
    listener: TcpListener,
    poller: Rc<Poller>,
    clock: Clock,
    counters: Rc<Counters>,
    /// Keys under which the loop knows the listener and the connections, from their places.
    listener_key: usize,
    key: fn(usize) -> usize,
    most: Cell<usize>,
    /// Bytes that requests may take together.
    room: Cell<usize>,
    /// Whether those who wait to connect are taken in.
    takes_in: Cell<bool>,
    settings: DeploymentSettings,
    callers: RefCell<Callers>,
    request_ids: RequestIds,
    ready: Cell<bool>,
    /// Answers ask for the end of their connections.
    winding_down: Cell<bool>,
    /// After word to stop: what comes from the first on must be answered by the second.
    ends: Cell<Option<(Instant, Instant)>>,
    paused_until: Cell<Option<Instant>>,
    wants_room: Cell<bool>,
}

/// Whether work is posted there that only its client waits for.
fn is_work(target: &str) -> bool {
    let path = target.split('?').next().unwrap_or_default();
    path != call_backs::PATH && !path.starts_with(LASTING)
}

impl Clients {
    pub fn listen(
        listener: TcpListener,
        settings: &DeploymentSettings,
        request_ids: &RequestIds,
        (most, room): (usize, usize),
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
            most: Cell::new(most),
            room: Cell::new(room),
            takes_in: Cell::new(true),
            settings: settings.clone(),
            callers: RefCell::new(Callers {
                kept: Slab::new(),
                by_unit: HashMap::new(),
                slow: Alarms::default(),
                next_serial: 0,
            }),
            request_ids: request_ids.clone(),
            ready: Cell::new(false),
            winding_down: Cell::new(false),
            ends: Cell::new(None),
            paused_until: Cell::new(None),
            wants_room: Cell::new(false),
        })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// How many connections may be held from now on, and how many bytes their requests may take.
    pub fn hold(&self, (most, room): (usize, usize)) {
        self.most.set(most);
        self.room.set(room);
    }

    /// Whether those who wait to connect are taken in from now on, or left to another process.
    pub fn take_in_new(&self, takes_in: bool) {
        if self.takes_in.replace(takes_in) != takes_in {
            self.listen_on();
        }
    }

    /// Work units taken in that have no answer yet.
    pub fn open_units(&self) -> usize {
        self.callers.borrow().by_unit.len()
    }

    /// How many work units may be in hand: a third of the connections is kept for call-backs.
    pub fn most_units(&self) -> usize {
        self.most.get() * 2 / 3
    }

    /// The names of the tariffs, by their places.
    pub fn tariffs(&self) -> &[String] {
        &self.settings.tariff_names
    }

    pub fn say_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// What comes from then on has its answer by the other time. Guards against units that the end of the process
    /// would find without one.
    pub fn end_by(&self, from: Instant, last: Instant) {
        self.ends.set(Some((from, last)));
    }

    /// Whether from now on each answer to a client asks for the end of its connection.
    pub fn wind_down(&self, winding_down: bool) {
        self.winding_down.set(winding_down);
    }

    /// Closes connections on which nothing was in hand for a while, but for those that call-backs come on, and those
    /// whose request has stopped half way. Guards against a crowd of these that a node waits for before its end.
    pub fn close_idle(&self, idle_for: Duration) {
        // Pieces of a request on a slow line are a few round trips apart.
        const STOPPED: Duration = Duration::from_millis(500);
        let now = self.clock.now();
        let goes_on = |caller: &Caller| {
            !caller.is_idle() && (caller.begun.1 == 0 || now.since(caller.last_used) < STOPPED)
        };
        self.callers.borrow_mut().kept.retain(|_, caller| {
            // What has come and was not read is a request that the end of the connection would lose.
            caller.calls_back
                || goes_on(caller)
                || now.since(caller.last_used) < idle_for
                || (caller.lingers_until.is_none() && caller.connection.has_pending_input())
        });
    }

    /// Whether all who asked have their answers, and nobody is there who might yet ask. Clients came before `noticed`;
    /// who came later and has nothing in hand calls back, and will again, or is of a crowd that never ends.
    pub fn owes_nothing(&self, noticed: Instant) -> bool {
        let callers = self.callers.borrow();
        let waits = |caller: &Caller| caller.is_busy() || caller.connection.buffer.waits_to_write();
        let is_over = |caller: &Caller| {
            (caller.calls_back && caller.is_idle()) || (caller.came > noticed && !waits(caller))
        };
        callers.by_unit.is_empty() && callers.kept.iter().all(|(_, caller)| is_over(caller))
    }

    /// Takes in those who wait to connect.
    pub fn accept(&self) {
        if self.paused_until.get().is_some() || !self.takes_in.get() {
            return;
        }
        for _ in 0..AT_ONCE {
            let full = self.callers.borrow().kept.len() >= self.most.get();
            let sheds = if full { self.first_to_shed() } else { None };
            if full && sheds.is_none() {
                // All are at work. Whoever is taken in is owed an answer, so newcomers wait outside.
                self.paused_until.set(Some(self.clock.now() + BREATHER));
                return;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    sheds.inspect(|&place| self.shed(place));
                    self.take_in(stream);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // No room for another descriptor. Guards against a loop that turns on a listener it
                    // can't serve: make room, and look again after a breather.
                    self.counters.accepts_failed.increment();
                    warn!("connections can't be taken in: {e}");
                    if !self.release_descriptor() {
                        self.wants_room.set(true);
                    }
                    self.paused_until.set(Some(self.clock.now() + BREATHER));
                    return;
                }
            }
        }
        self.listen_on();
    }

    fn listen_on(&self) {
        let event = Event { readable: self.takes_in.get(), ..Event::none(self.listener_key) };
        if let Err(e) = self.poller.modify(&self.listener, event) {
            warn!("the listener can't be watched: {e}");
        }
    }

    fn take_in(&self, stream: TcpStream) {
        let now = self.clock.now();
        let mut callers = self.callers.borrow_mut();
        let Callers { kept, slow, next_serial, .. } = &mut *callers;
        let serial = *next_serial;
        *next_serial += 1;
        let place = kept.vacant_entry();
        match Connection::from_stream(stream, &self.poller, (self.key)(place.key())) {
            Ok(connection) => {
                self.counters.callers_accepted.increment();
                slow.set(now + REQUEST_TIMEOUT, (place.key(), serial));
                place.insert(Caller {
                    connection,
                    serial,
                    in_hand: None,
                    passed_on: false,
                    tariff: 0,
                    body: 0,
                    waited_since: Some(now),
                    came: now,
                    last_used: now,
                    begun: (0, 0),
                    is_usual: false,
                    calls_back: false,
                    closes: false,
                    lingers_until: None,
                    drops: false,
                });
            }
            Err(e) => {
                self.counters.accepts_failed.increment();
                warn!("a connection can't be watched: {e}");
            }
        }
    }

    /// The connection that is closed first for want of room.
    fn first_to_shed(&self) -> Option<usize> {
        let (now, callers) = (self.clock.now(), self.callers.borrow());
        let sheds = callers.kept.iter().filter_map(|(place, caller)| Some((caller.sheds(now)?, place)));
        sheds.min().map(|(_, place)| place)
    }

    fn shed(&self, place: usize) {
        self.counters.callers_shed.increment();
        self.callers.borrow_mut().kept.remove(place);
    }

    /// Whether newcomers wait for a descriptor, and no caller's can be had.
    pub fn wants_room(&self) -> bool {
        self.wants_room.take()
    }

    pub fn next_due(&self) -> Option<Instant> {
        self.callers.borrow().slow.next_at().into_iter().chain(self.paused_until.get()).min()
    }

    /// What falls due: requests that came too slowly, and the end of a breather.
    pub fn due(&self) {
        let now = self.clock.now();
        while let Some((place, serial)) = { self.callers.borrow_mut().slow.due(now) } {
            let mut callers = self.callers.borrow_mut();
            let Some(caller) = callers.kept.get(place).filter(|caller| caller.serial == serial) else {
                continue;
            };
            let unwritten = caller.connection.buffer.waits_to_write();
            let silent = caller.connection.buffer.unread().is_empty();
            let waited = caller.waited_since.is_some_and(|at| now.since(at) >= REQUEST_TIMEOUT);
            if caller.lingers_until.is_some_and(|until| until <= now)
                || (unwritten && now.since(caller.last_used) >= REQUEST_TIMEOUT)
                || (waited && silent)
            {
                callers.kept.remove(place);
            } else if waited {
                drop(callers);
                self.reject(place, Malformed(408));
            }
        }
        if self.paused_until.get().is_some_and(|until| until <= now) {
            self.paused_until.set(None);
            self.listen_on();
        }
    }

    /// Something can be read from or written to a connection.
    pub fn stirred(&self, place: usize, coordinator: &mut Coordinator) {
        let reading = {
            let mut callers = self.callers.borrow_mut();
            let Some(caller) = callers.kept.get_mut(place) else { return };
            caller.take_in()
        };
        while let Some(request) = self.next_request(place) {
            // Whoever has closed is gone. Guards against a node that stood still and sends, as it wakes, the work of
            // clients that have left meanwhile: their requests and their ends are read together.
            let left = !matches!(reading, Ok(Reading::Open));
            if left && request.method == "POST" && is_work(&request.target) {
                self.counters.withdrawn_unread.increment();
                continue;
            }
            self.serve(place, request, coordinator);
        }
        match reading {
            Ok(Reading::Open) => self.carry_on(place, coordinator),
            // Whoever has closed waits for nothing any more.
            Ok(Reading::Ended) | Err(_) => self.lost(place, coordinator),
        }
    }

    fn carry_on(&self, place: usize, coordinator: &mut Coordinator) {
        let goes_on = {
            let Callers { kept, slow, .. } = &mut *self.callers.borrow_mut();
            kept.get_mut(place).is_none_or(|caller| caller.carry_on(self.clock.now(), slow, place))
        };
        if !goes_on {
            self.lost(place, coordinator);
        }
    }

    /// A connection is gone, and with it whoever waited there.
    fn lost(&self, place: usize, coordinator: &mut Coordinator) {
        let left = {
            let mut callers = self.callers.borrow_mut();
            let Some(caller) = callers.kept.try_remove(place) else { return };
            caller.in_hand.inspect(|unit| {
                callers.by_unit.remove(unit);
            })
        };
        if let Some(unit) = left {
            self.counters.withdrawn.increment();
            coordinator.request_withdrawn(unit);
        }
    }

    /// The next whole request, unless one is in hand.
    fn next_request(&self, place: usize) -> Option<Request> {
        let now = self.clock.now();
        let mut callers = self.callers.borrow_mut();
        let Callers { kept, slow, .. } = &mut *callers;
        let caller = kept.get_mut(place).filter(|caller| !caller.is_busy() && !caller.closes)?;
        // Guards against answers piling up for somebody who asks and does not read.
        if caller.connection.buffer.waits_to_write() || caller.connection.buffer.unread().is_empty() {
            return None;
        }
        match http::request(caller.connection.buffer.unread(), &LIMITS) {
            Ok(Some((request, length))) => {
                caller.connection.buffer.done_with(length);
                (caller.waited_since, caller.last_used, caller.begun) = (None, now, (0, 0));
                caller.closes = request.headers.closes;
                Some(request)
            }
            Ok(None) => {
                if caller.waited_since.is_none() {
                    caller.waited_since = Some(now);
                    slow.set(now + REQUEST_TIMEOUT, (place, caller.serial));
                }
                let (length, pieces) = caller.begun;
                if caller.connection.buffer.unread().len() > length {
                    caller.begun = (caller.connection.buffer.unread().len(), pieces + 1);
                    caller.last_used = now;
                }
                if caller.holds() > LARGE && !self.has_room(kept) {
                    drop(callers);
                    self.reject(place, Malformed(413));
                }
                None
            }
            Err(malformed) => {
                drop(callers);
                self.reject(place, malformed);
                None
            }
        }
    }

    /// Answers what is no request, and closes.
    fn reject(&self, place: usize, Malformed(status): Malformed) {
        self.counters.bad_requests.increment();
        debug!("caller {place} is answered {status} and closed");
        {
            let mut callers = self.callers.borrow_mut();
            let Callers { kept, slow, .. } = &mut *callers;
            if let Some(caller) = kept.get_mut(place) {
                caller.drop_unread();
                (caller.waited_since, caller.closes) = (None, true);
                let until = self.clock.now() + LINGER;
                (caller.lingers_until, caller.drops) = (Some(until), true);
                slow.set(until, (place, caller.serial));
            }
        }
        self.write(place, status, None, b"");
    }

    fn serve(&self, place: usize, request: Request, coordinator: &mut Coordinator) {
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/ready") if self.ready.get() => self.write(place, 200, None, b"ready\n"),
            ("GET", "/ready") => self.write(place, 503, None, b"not ready\n"),
            ("GET", "/counters") => {
                let text = self.counters.to_string();
                self.write(place, 200, None, text.as_bytes());
            }
            ("GET", path) if path.starts_with(LASTING) && coordinator.has_job_log() => {
                let (status, result) = coordinator.durable_job_result(&path[LASTING.len()..]);
                self.write(place, status, None, &result);
            }
            ("POST", path) if path.starts_with(LASTING) && coordinator.has_job_log() => {
                match self.brought(request, true) {
                    Ok((content, arrival)) => self.arrived_to_last(place, content, &arrival, coordinator),
                    Err(malformed) => self.reject(place, malformed),
                }
            }
            ("POST", call_backs::PATH) => self.call_back(place, &request, coordinator),
            ("POST", _) => match self.brought(request, false) {
                Ok((content, arrival)) => self.arrived(place, content, &arrival, coordinator),
                Err(malformed) => self.reject(place, malformed),
            },
            _ => self.reject(place, Malformed(404)),
        }
    }

    fn call_back(&self, place: usize, request: &Request, coordinator: &mut Coordinator) {
        self.counters.call_backs.increment();
        trace!("call-back {}", String::from_utf8_lossy(&request.body));
        match serde_json::from_slice::<CallBack>(&request.body) {
            Ok(call) => {
                {
                    let mut callers = self.callers.borrow_mut();
                    let Some(caller) = callers.kept.get_mut(place) else { return };
                    caller.calls_back |= coordinator.knows_executor(&call.from);
                    let id = (place, caller.serial);
                    if !coordinator.has_open_request(&call.id)
                        && coordinator.forward_callback(id, &request.body)
                    {
                        caller.passed_on = true;
                        return;
                    }
                }
                // Answered whatever it names: an executor asks again until it is.
                self.write(place, 204, None, b"");
                coordinator.callback_received(call);
            }
            Err(e) => {
                self.counters.call_backs_bad.increment();
                debug!("a call-back can't be read: {e}");
                self.reject(place, Malformed(400));
            }
        }
    }

    /// What a request for work says, in the words of the decisions; the units of the wire end here.
    /// One that is `durable` outlives the process, and so does the patience for it.
    fn brought(&self, request: Request, durable: bool) -> Result<(RequestContent, Arrival), Malformed> {
        let Request { mut target, headers, body, .. } = request;
        if durable {
            // What is left is what executors get.
            target.drain(..LASTING.len() - 1);
        }
        let header = |name| headers.get(name);
        let bad = Malformed(400);
        trace!("{target} {headers:?}");
        // Both become part of a request line, the id when the job is given up.
        let speakable = |text: &str, longest| {
            (1..=longest).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
        };
        if !target.starts_with('/') || !speakable(&target, MAX_TARGET) {
            return Err(bad);
        }
        let call_id = headers.once("X-Call-Id")?.filter(|id| speakable(id, MAX_ID)).ok_or(bad)?;
        let first = target.split(['/', '?']).nth(1).unwrap_or_default();
        let named = headers.once("X-Call-Class")?.unwrap_or(first);
        let tariff =
            self.settings.tariff_names.iter().position(|name| name == named).ok_or(Malformed(404))?;
        if named != first {
            return Err(bad);
        }
        let digits = |ms: &&str| ms.bytes().all(|b| b.is_ascii_digit());
        let patience_ms = headers.once("X-Budget-Ms")?.filter(digits).and_then(|ms| ms.parse::<u64>().ok());
        let patience = Duration::from_millis(patience_ms.ok_or(bad)?.min(MAX_PATIENCE_MS));
        let now = self.clock.now();
        let asks_until = now + patience;
        let cut =
            self.ends.get().filter(|(from, _)| now >= *from && !durable).map_or(asks_until, |(_, last)| last);
        let patience_ends = asks_until.min(cut);
        let customer = self.settings.customer(header("X-Caller"));
        let hint_us = header("X-Call-Cost").and_then(|us| us.parse::<f64>().ok());
        let hint = hint_us
            .filter(|us| us.is_finite() && *us > 0.0)
            .map(|us| Duration::from_nanos((us * 1000.0) as u64));
        let info = header("X-Call-Info").unwrap_or_default();
        let figures = info.split(',').filter_map(|pair| pair.split_once('='));
        let slots =
            figures.filter(|(name, _)| name.trim() == "slots").find_map(|(_, n)| n.trim().parse().ok());
        let arrival = Arrival {
            class: tariff,
            customer,
            deadline: patience_ends,
            // Where the patience is cut the first try can't be told from it.
            repeat: header("X-Again") == Some("1") && patience_ends == asks_until,
            hint,
            slots: slots.unwrap_or(1.0),
            over_budget: false,
        };
        let content = RequestContent {
            call_id: call_id.into(),
            class: named.to_owned(),
            target,
            headers: headers.passed_on(&OWN_HEADERS),
            body,
            non_idempotent: self.settings.is_binding(tariff),
            scope: (tariff, arrival.customer),
            durable,
            faktory_job: None,
        };
        Ok((content, arrival))
    }

    /// Takes work that outlives the process: the client hears that it is taken, and asks for its end later.
    fn arrived_to_last(
        &self,
        place: usize,
        content: RequestContent,
        arrival: &Arrival,
        coordinator: &mut Coordinator,
    ) {
        let status = coordinator.accept_durable(content, arrival);
        self.write(place, status, None, b"");
    }

    fn arrived(
        &self,
        place: usize,
        content: RequestContent,
        arrival: &Arrival,
        coordinator: &mut Coordinator,
    ) {
        if coordinator.has_open_request(&content.call_id) {
            // An id is new with every request: one that is still in hand would be told from the other by
            // nothing, here and at the executors.
            return self.reject(place, Malformed(409));
        }
        // A third of the connections is kept for call-backs: each executor holds some, and without them no unit in
        // hand would ever be answered.
        let crowded = {
            let callers = self.callers.borrow();
            callers.by_unit.len() * 3 >= self.most.get() * 2
                || (content.body.len() > LARGE && !self.has_room(&callers.kept))
        };
        if crowded {
            // Nothing has run of this one.
            self.counters.units.increment();
            self.counters.turned_back.increment(arrival.class);
            if let Some(caller) = self.callers.borrow_mut().kept.get_mut(place) {
                caller.closes |= self.winding_down.get();
            }
            return self.write(place, 503, None, b"");
        }
        let unit = self.request_ids.next_id();
        {
            let mut callers = self.callers.borrow_mut();
            callers.by_unit.insert(unit, place);
            if let Some(caller) = callers.kept.get_mut(place) {
                (caller.in_hand, caller.tariff) = (Some(unit), arrival.class);
                (caller.body, caller.is_usual) = (content.body.len(), true);
                caller.connection.set_max_unread(BESIDE);
            }
        }
        self.counters.units.increment();
        coordinator.request_arrived(unit, content, arrival);
    }

    /// Whether requests leave memory for more. Guards against large or endless ones, hundreds at once, that end the
    /// node for want of it.
    fn has_room(&self, kept: &Slab<Caller>) -> bool {
        kept.iter().map(|(_, caller)| caller.holds()).sum::<usize>() < self.room.get()
    }

    fn write(&self, place: usize, status: u16, come_back: Option<f64>, body: &[u8]) {
        let mut callers = self.callers.borrow_mut();
        let Callers { kept, slow, .. } = &mut *callers;
        let Some(caller) = kept.get_mut(place) else { return };
        let come_back = come_back.map(|wait| format!("{wait:.3}"));
        let come_back = come_back.as_deref().map(|wait| ("Retry-After", wait));
        let further: Vec<_> = come_back.into_iter().chain(caller.closes.then_some(http::CLOSE)).collect();
        caller.connection.buffer.put(&http::answer(status, &further, body));
        if !caller.carry_on(self.clock.now(), slow, place) {
            kept.remove(place);
        } else if caller.connection.buffer.waits_to_write() {
            slow.set(self.clock.now() + REQUEST_TIMEOUT, (place, caller.serial));
        }
    }

    pub fn log_standing(&self) {
        let callers = self.callers.borrow();
        info!(
            "connections from outside: {}, waiting for answers: {}",
            callers.kept.len(),
            callers.by_unit.len()
        );
    }
}

impl DescriptorHolder for Clients {
    fn release_descriptor(&self) -> bool {
        let spared = self.first_to_shed();
        spared.inspect(|&place| self.shed(place)).is_some()
    }
}

impl ClientResponder for Clients {
    /// The final answer to a work unit; the one place where one is given.
    fn respond(&self, unit: RequestId, status: u16, come_back: Option<Duration>, body: &[u8]) {
        let (place, tariff) = {
            let mut callers = self.callers.borrow_mut();
            let Some(place) = callers.by_unit.remove(&unit) else { return };
            let Some(caller) = callers.kept.get_mut(place) else { return };
            (caller.in_hand, caller.body, caller.last_used) = (None, 0, self.clock.now());
            caller.connection.set_max_unread(MAX_UNREAD);
            caller.closes |= self.winding_down.get();
            (place, caller.tariff)
        };
        self.counters.responded(tariff, status);
        self.write(place, status, come_back.map(Duration::seconds), body);
    }

    /// Looks at the connection itself, whose end the loop may not have come to. What did not come by a client's connection
    /// is waited for.
    fn is_waiting(&self, unit: RequestId) -> bool {
        let callers = &mut *self.callers.borrow_mut();
        let caller = callers.by_unit.get(&unit).and_then(|&place| callers.kept.get_mut(place));
        caller.is_none_or(|caller| matches!(caller.take_in(), Ok(Reading::Open)))
    }

    /// A call-back that was passed on has its answer.
    fn callback_forwarded(&self, (place, serial): CallerId, status: u16) {
        match self.callers.borrow_mut().kept.get_mut(place) {
            Some(caller) if caller.serial == serial => caller.passed_on = false,
            _ => return,
        }
        self.write(place, status, None, b"");
    }
}
