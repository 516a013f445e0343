//! The Faktory front: clients push jobs and wait for the final answer, workers fetch them. A worker is an executor to the
//! decisions; a job that they send to it waits here for its next fetch.

use crate::coordinator::Coordinator;
use crate::interfaces::FaktoryFrontend;
use crate::state::clock::Clock;
use crate::state::connection::Connection;
use crate::state::counters::Counters;
use crate::state::requests::{FaktoryJob, RequestContent, RequestIds};
use grebeusher_dispatch::ids::{AttemptId, RequestId};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{Arrival, AttemptOutcome};
use grebeusher_faktory::command::{Command, Job, WorkerState, read};
use grebeusher_faktory::handshake::Greeting;
use grebeusher_faktory::reservations::{End, Handed, Reservations, Standing};
use grebeusher_faktory::words::{Answer, MAX_LINE, line};
use grebeusher_node_config::DeploymentSettings;
use grebeusher_node_config::frontends::FaktorySettings;
use grebeusher_transport::alarms::Alarms;
use grebeusher_transport::buffer::Reading;
use grebeusher_transport::listen;
use polling::{Event, Poller};
use serde_json::json;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// A fetch that finds nothing is answered so after this, as the specification has it.
const FETCH_WAITS: Duration = Duration::from_millis(2000);
/// Who connects says who it is within this, and goes on with a line that it has begun.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(3000);
const LINE_TIMEOUT: Duration = Duration::from_millis(5000);
/// So many are taken in before others have their turn.
const AT_ONCE: usize = 32;
/// How often a password is hashed: as often as the job server of the specification asks for.
const ITERATIONS: u32 = 1545;
/// The largest body that an executor takes.
const MAX_BODY: usize = 64 * 1024;
/// The longest patience that a client may name: a day.
const MAX_PATIENCE_MS: u64 = 86_400_000;

/// What a connection waits for.
#[derive(Clone, Debug, PartialEq)]
enum Waits {
    Nothing,
    /// For the final answer to the job that it pushed.
    Push(RequestId),
    /// For a job of one of these queues, until then.
    Fetch(Vec<String>, Instant),
}

struct Peer {
    connection: Connection,
    serial: u64,
    greeting: Greeting,
    admitted: bool,
    worker: Option<usize>,
    waits: Waits,
    /// Since when a line has begun that is not whole, or nothing was said at all.
    begun: Option<Instant>,
    closes: bool,
}

/// What the decisions are told as soon as they listen again.
enum Untold {
    Fetched(AttemptId),
    Ended(AttemptId, AttemptOutcome),
}

struct Inside {
    peers: Slab<Peer>,
    /// Who waits for the answer to a unit, and its tariff.
    by_unit: HashMap<RequestId, (usize, usize)>,
    table: Reservations<AttemptId>,
    untold: Vec<Untold>,
    dues: Alarms<(usize, u64)>,
    next_serial: u64,
}

pub struct Faktory {
    listener: TcpListener,
    poller: Rc<Poller>,
    clock: Clock,
    counters: Rc<Counters>,
    listener_key: usize,
    key: fn(usize) -> usize,
    most: usize,
    password: Option<String>,
    reserve_for: Duration,
    settings: DeploymentSettings,
    request_ids: RequestIds,
    /// The node sends its clients away: nothing new is taken or handed out.
    leaves: Cell<bool>,
    salt: Cell<u64>,
    inside: RefCell<Inside>,
}

impl Faktory {
    pub fn listen(
        posted: &FaktorySettings,
        settings: &DeploymentSettings,
        (seed, request_ids): (u64, &RequestIds),
        (listener_key, key): (usize, fn(usize) -> usize),
        (poller, clock, counters): (&Rc<Poller>, Clock, &Rc<Counters>),
    ) -> io::Result<Faktory> {
        let listener = listen::listen(posted.listen)?;
        poller.add(&listener, Event::readable(listener_key))?;
        Ok(Faktory {
            listener,
            poller: poller.clone(),
            clock,
            counters: counters.clone(),
            listener_key,
            key,
            most: posted.max_connections(),
            password: posted.password.clone(),
            reserve_for: posted.reservation(),
            settings: settings.clone(),
            request_ids: request_ids.clone(),
            leaves: Cell::new(false),
            salt: Cell::new(seed),
            inside: RefCell::new(Inside {
                peers: Slab::new(),
                by_unit: HashMap::new(),
                table: Reservations::new(posted.fetch_timeout(), posted.heartbeat_timeout()),
                untold: Vec::new(),
                dues: Alarms::default(),
                next_serial: 0,
            }),
        })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Whether the node sends its clients away: pushes are turned back, and nothing more is handed out.
    pub fn leave(&self, leaves: bool) {
        self.leaves.set(leaves);
    }

    /// Whether all who pushed have their answers.
    pub fn owes_nothing(&self) -> bool {
        let inside = self.inside.borrow();
        let unwritten = |peer: &Peer| peer.connection.buffer.waits_to_write();
        inside.by_unit.is_empty() && !inside.peers.iter().any(|(_, peer)| unwritten(peer))
    }

    pub fn open_units(&self) -> usize {
        self.inside.borrow().by_unit.len()
    }

    pub fn accept(&self) {
        listen::take_in(&self.listener, AT_ONCE, "Faktory clients", |stream| self.take_in(stream));
        if let Err(e) = self.poller.modify(&self.listener, Event::readable(self.listener_key)) {
            warn!("the front can't be watched: {e}");
        }
    }

    fn take_in(&self, stream: TcpStream) {
        let now = self.clock.now();
        let mut inside = self.inside.borrow_mut();
        let Inside { peers, dues, next_serial, .. } = &mut *inside;
        if peers.len() >= self.most {
            // Guards against thousands of idle fetching workers on descriptors that others need. Dropped unread: it
            // has said nothing yet, and is told in one write that the system takes at once.
            let full = Answer::Error("no connection is left, come again".to_owned());
            let _ = io::Write::write(&mut &stream, &full.bytes());
            return;
        }
        let place = peers.vacant_entry();
        match Connection::from_stream(stream, &self.poller, (self.key)(place.key())) {
            Ok(mut connection) => {
                connection.set_max_unread(MAX_LINE + 2);
                let greeting = self.greeting();
                connection.buffer.put(&greeting.says().bytes());
                let serial = *next_serial;
                *next_serial += 1;
                dues.set(now + HANDSHAKE_TIMEOUT, (place.key(), serial));
                let (admitted, worker, closes) = (false, None, false);
                let begun = Some(now);
                let peer = place.insert(Peer {
                    connection,
                    serial,
                    greeting,
                    admitted,
                    worker,
                    waits: Waits::Nothing,
                    begun,
                    closes,
                });
                // What fails shows when the loop looks at the connection.
                let _ = peer.connection.write().and_then(|()| peer.connection.watch(false));
            }
            Err(e) => warn!("a connection can't be watched: {e}"),
        }
    }

    /// Each connection has a salt of its own.
    fn greeting(&self) -> Greeting {
        let Some(password) = &self.password else { return Greeting::open() };
        let salt = self.salt.get();
        self.salt.set(grebeusher_dispatch::ids::mix64(salt.wrapping_add(1)));
        Greeting::with(password, &format!("{salt:016x}"), ITERATIONS)
    }

    pub fn next_due(&self) -> Option<Instant> {
        let inside = self.inside.borrow();
        if !inside.untold.is_empty() {
            return Some(Instant(0));
        }
        inside.dues.next_at().into_iter().chain(inside.table.next_due()).min()
    }

    /// What fell due: fetches that found nothing, silent peers, jobs that nobody fetched, reservations that are over,
    /// workers without a heartbeat.
    pub fn due(&self, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        while let Some((place, serial)) = { self.inside.borrow_mut().dues.due(now) } {
            let mut inside = self.inside.borrow_mut();
            let Some(peer) = inside.peers.get_mut(place).filter(|peer| peer.serial == serial) else {
                continue;
            };
            if matches!(&peer.waits, Waits::Fetch(_, until) if *until <= now) {
                peer.waits = Waits::Nothing;
                inside.say(place, &Answer::Nothing);
            } else if peer.begun.is_some_and(|begun| {
                now.since(begun) >= if peer.admitted { LINE_TIMEOUT } else { HANDSHAKE_TIMEOUT }
            }) {
                drop(inside);
                self.lost(place, coordinator);
            }
        }
        let (ended, silent) = self.inside.borrow_mut().table.due(now);
        self.inside.borrow_mut().ended(ended);
        for worker in silent {
            info!("worker {} fell silent", self.inside.borrow().table.wid(worker));
            self.stands(worker, coordinator);
        }
        self.tell(coordinator);
    }

    fn tell(&self, coordinator: &mut Coordinator) {
        let untold = std::mem::take(&mut self.inside.borrow_mut().untold);
        for told in untold {
            match told {
                Untold::Fetched(id) => coordinator.attempt_fetched(id),
                Untold::Ended(id, AttemptOutcome::Served) => coordinator.attempt_completed(id, b""),
                Untold::Ended(id, ending) => coordinator.attempt_ended(id, ending, None),
            }
        }
    }

    /// Tells the decisions how a worker stands.
    fn stands(&self, worker: usize, coordinator: &mut Coordinator) {
        let (wid, standing) = {
            let inside = self.inside.borrow();
            (inside.table.wid(worker).to_owned(), inside.table.standing(worker))
        };
        coordinator.worker_status_changed(worker, &wid, standing);
    }

    /// Something can be read from or written to a connection.
    pub fn stirred(&self, place: usize, coordinator: &mut Coordinator) {
        let reading = match self.inside.borrow_mut().peers.get_mut(place) {
            Some(peer) => peer.connection.write().and_then(|()| peer.connection.read()),
            None => return,
        };
        while let Some(command) = self.next_command(place) {
            self.serve(place, command, coordinator);
        }
        let over = {
            let mut inside = self.inside.borrow_mut();
            match (reading, inside.peers.get_mut(place)) {
                (_, None) => return self.tell(coordinator),
                (Ok(Reading::Open), Some(peer)) => {
                    let done = peer.closes && !peer.connection.buffer.waits_to_write();
                    done || peer.connection.watch(false).is_err()
                }
                (Ok(Reading::Ended) | Err(_), Some(_)) => true,
            }
        };
        if over {
            self.lost(place, coordinator);
        }
        self.tell(coordinator);
    }

    /// The next whole command; an error for what is none.
    fn next_command(&self, place: usize) -> Option<Result<Command, String>> {
        let now = self.clock.now();
        let mut inside = self.inside.borrow_mut();
        let Inside { peers, dues, .. } = &mut *inside;
        let peer = peers.get_mut(place).filter(|peer| !peer.closes && peer.waits == Waits::Nothing)?;
        // Guards against answers piling up for somebody who asks and does not read.
        if peer.connection.buffer.waits_to_write() {
            return None;
        }
        match line(peer.connection.buffer.unread()) {
            Ok(Some((text, length))) => {
                let command = read(text);
                peer.connection.buffer.done_with(length);
                if peer.admitted {
                    peer.begun = None;
                }
                Some(command)
            }
            Ok(None) => {
                if peer.begun.is_none() && !peer.connection.buffer.unread().is_empty() {
                    peer.begun = Some(now);
                    dues.set(now + LINE_TIMEOUT, (place, peer.serial));
                }
                None
            }
            Err(_) => {
                peer.closes = true;
                inside.say(place, &Answer::Error(format!("a command is a line of {MAX_LINE} bytes at most")));
                None
            }
        }
    }

    fn serve(&self, place: usize, command: Result<Command, String>, coordinator: &mut Coordinator) {
        debug!("peer {place}: {command:?}");
        let now = self.clock.now();
        let (admitted, worker) = match self.inside.borrow().peers.get(place) {
            Some(peer) => (peer.admitted, peer.worker),
            None => return,
        };
        let answer = match (command, worker) {
            (Err(what), _) => Err(what),
            (Ok(Command::End), _) => {
                if let Some(peer) = self.inside.borrow_mut().peers.get_mut(place) {
                    peer.closes = true;
                }
                Ok(Some(Answer::Ok))
            }
            (Ok(Command::Hello(hello)), _) if !admitted => {
                let admits = self.inside.borrow().peers[place].greeting.admits(&hello);
                if admits.is_ok() {
                    self.admitted(place, hello.wid.as_deref(), coordinator);
                } else {
                    self.inside.borrow_mut().peers[place].closes = true;
                }
                admits.map(|()| Some(Answer::Ok))
            }
            (Ok(Command::Hello(_)), _) => Err("said hello before".to_owned()),
            _ if !admitted => Err("say HELLO first".to_owned()),
            (Ok(Command::Push(job)), _) => self.push(place, *job, coordinator),
            (Ok(Command::Info), _) => Ok(Some(Answer::Bulk(self.info()))),
            (Ok(Command::Fetch(queues)), Some(_)) => {
                let mut inside = self.inside.borrow_mut();
                let until = now + FETCH_WAITS;
                inside.peers[place].waits = Waits::Fetch(queues, until);
                if self.leaves.get() || !inside.fetch(place, now) {
                    let serial = inside.peers[place].serial;
                    inside.dues.set(until, (place, serial));
                }
                Ok(None)
            }
            (Ok(Command::Ack(jid)), Some(worker)) => self.settle(worker, &jid, End::Done),
            (Ok(Command::Fail(failure)), Some(worker)) => {
                debug!("{}: {}: {}", failure.jid, failure.errtype, failure.message);
                self.settle(worker, &failure.jid, End::Failed)
            }
            (Ok(Command::Beat(beat)), Some(worker)) => {
                self.beat(worker, &beat.wid, beat.current_state, coordinator)
            }
            (Ok(_), None) => Err("only workers do so: say HELLO with a wid".to_owned()),
        };
        match answer {
            Ok(Some(answer)) => self.inside.borrow_mut().say(place, &answer),
            Ok(None) => {}
            Err(what) => {
                self.counters.faktory_errors.increment();
                self.inside.borrow_mut().say(place, &Answer::Error(what));
            }
        }
    }

    fn admitted(&self, place: usize, wid: Option<&str>, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        let worker = {
            let mut inside = self.inside.borrow_mut();
            let worker = wid.map(|wid| {
                let known = inside.table.worker(wid);
                let stood = known.map(|worker| inside.table.standing(worker));
                (inside.table.hello(now, wid), stood)
            });
            let peer = &mut inside.peers[place];
            (peer.admitted, peer.begun, peer.worker) = (true, None, worker.map(|(worker, _)| worker));
            worker.filter(|(_, stood)| stood.is_none_or(|stood| stood == Standing::Gone))
        };
        if let Some((worker, _)) = worker {
            info!("worker {} is there", wid.unwrap_or_default());
            self.stands(worker, coordinator);
        }
    }

    fn settle(&self, worker: usize, jid: &str, end: End) -> Result<Option<Answer>, String> {
        let mut inside = self.inside.borrow_mut();
        let ended = inside.table.settle(worker, jid, end)?;
        inside.ended([ended]);
        Ok(Some(Answer::Ok))
    }

    fn beat(
        &self,
        worker: usize,
        wid: &str,
        says: Option<WorkerState>,
        coordinator: &mut Coordinator,
    ) -> Result<Option<Answer>, String> {
        if self.inside.borrow().table.worker(wid) != Some(worker) {
            return Err("a heartbeat is of the worker that said HELLO here".to_owned());
        }
        let stood = self.inside.borrow().table.standing(worker);
        let ended = self.inside.borrow_mut().table.beat(self.clock.now(), worker, says);
        self.inside.borrow_mut().ended(ended);
        if self.inside.borrow().table.standing(worker) != stood {
            self.stands(worker, coordinator);
        }
        let quiet = json!({"state": "quiet"}).to_string();
        Ok(Some(if self.leaves.get() { Answer::Bulk(quiet) } else { Answer::Ok }))
    }

    fn info(&self) -> String {
        let inside = self.inside.borrow();
        let (waiting, fetched) = inside.table.counts();
        let c = &self.counters;
        json!({"faktory": {"total_enqueued": waiting, "total_working": fetched,
            "total_processed": c.fulfilled.total(), "total_failures": c.forfeited.total(),
            "connections": inside.peers.len(), "workers": inside.table.present().count()}})
        .to_string()
    }

    /// A client pushes a job, and waits for its final answer.
    fn push(&self, place: usize, job: Job, coordinator: &mut Coordinator) -> Result<Option<Answer>, String> {
        let names = &self.settings.tariff_names;
        let tariff = names.iter().position(|name| *name == job.queue);
        let tariff = tariff
            .ok_or_else(|| format!("no tariff {:?}: a queue is one of {}", job.queue, names.join(", ")))?;
        let figure = |name: &str| job.custom[name].as_u64();
        if let Some(wrong) = ["patience_ms", "cost_us"]
            .into_iter()
            .find(|name| !job.custom[name].is_null() && figure(name).is_none_or(|n| n == 0))
        {
            return Err(format!("custom.{wrong}: expected a whole number above 0"));
        }
        if coordinator.has_open_request(&job.jid) {
            return Err(format!("job {} is in hand", job.jid));
        }
        let line = job.text;
        if line.len() > MAX_BODY {
            return Err(format!("a job has {MAX_BODY} bytes at most"));
        }
        self.counters.units.increment();
        if self.leaves.get() {
            self.counters.turned_back.increment(tariff);
            return Err("turned back: this node is leaving, pushing it elsewhere is harmless".to_owned());
        }
        let now = self.clock.now();
        let patience = figure("patience_ms")
            .map_or(self.settings.deadline(tariff), |ms| Duration::from_millis(ms.min(MAX_PATIENCE_MS)));
        let arrival = Arrival {
            class: tariff,
            customer: self.settings.customer(None),
            deadline: now + patience,
            repeat: job.custom["again"].as_bool().unwrap_or(false),
            hint: figure("cost_us").map(|us| Duration::from_nanos(us.saturating_mul(1000))),
            slots: 1.0,
            over_budget: false,
        };
        let content = RequestContent {
            call_id: job.jid.as_str().into(),
            class: job.queue.clone(),
            target: format!("/{}", job.queue),
            headers: String::new(),
            body: line.clone().into_bytes(),
            non_idempotent: self.settings.is_binding(tariff),
            scope: (tariff, arrival.customer),
            durable: false,
            faktory_job: Some(FaktoryJob {
                json: line,
                priority: job.priority,
                reserve_for: job.reserve_for.map(|s| Duration::from_millis(s.saturating_mul(1000).max(1000))),
            }),
        };
        let unit = self.request_ids.next_id();
        {
            let mut inside = self.inside.borrow_mut();
            inside.by_unit.insert(unit, (place, tariff));
            inside.peers[place].waits = Waits::Push(unit);
        }
        coordinator.request_arrived(unit, content, &arrival);
        Ok(None)
    }

    /// A connection is gone, and with it whoever waited there, and what its worker had if it was the last one.
    fn lost(&self, place: usize, coordinator: &mut Coordinator) {
        let (unit, worker) = {
            let mut inside = self.inside.borrow_mut();
            let Some(peer) = inside.peers.try_remove(place) else { return };
            let unit = if let Waits::Push(unit) = peer.waits { Some(unit) } else { None };
            if let Some(unit) = &unit {
                inside.by_unit.remove(unit);
            }
            let worker = peer.worker.inspect(|&worker| {
                let ended = inside.table.broke(worker);
                inside.ended(ended);
            });
            (unit, worker)
        };
        if let Some(unit) = unit {
            self.counters.withdrawn.increment();
            coordinator.request_withdrawn(unit);
        }
        if let Some(worker) = worker
            && self.inside.borrow().table.standing(worker) == Standing::Gone
        {
            info!("worker {} is gone", self.inside.borrow().table.wid(worker));
            self.stands(worker, coordinator);
        }
    }
}

impl Inside {
    fn say(&mut self, place: usize, answer: &Answer) {
        let Some(peer) = self.peers.get_mut(place) else { return };
        peer.connection.buffer.put(&answer.bytes());
        // Watched also for what was read meanwhile. What fails shows when the loop looks at the connection.
        let more = !peer.connection.buffer.unread().is_empty();
        let _ = peer.connection.write().and_then(|()| peer.connection.watch(more));
    }

    /// Gives a peer that waits the job that it gets, if there is one.
    fn fetch(&mut self, place: usize, now: Instant) -> bool {
        let peer = &self.peers[place];
        let (Waits::Fetch(queues, _), Some(worker)) = (&peer.waits, peer.worker) else { return false };
        let Some((id, body)) = self.table.fetch(now, worker, queues) else { return false };
        self.peers[place].waits = Waits::Nothing;
        self.untold.push(Untold::Fetched(id));
        self.say(place, &Answer::Bulk(body));
        true
    }

    fn ended(&mut self, ended: impl IntoIterator<Item = (AttemptId, End)>) {
        self.untold.extend(ended.into_iter().map(|(id, end)| {
            let ending = match end {
                End::Done => AttemptOutcome::Served,
                End::Failed => AttemptOutcome::Error,
                End::Unfetched => AttemptOutcome::Full,
                End::Broken => AttemptOutcome::Reset,
                End::Expired => AttemptOutcome::TimedOut,
            };
            Untold::Ended(id, ending)
        }));
    }
}

/// What came by HTTP, as a job for a worker.
fn brought(content: &RequestContent, reserve_for: Duration) -> String {
    let body = String::from_utf8_lossy(&content.body);
    json!({"jid": &*content.call_id, "jobtype": content.class, "queue": content.class, "args": [body],
        "reserve_for": reserve_for.nanos() / 1_000_000_000, "custom": {"target": content.target}})
    .to_string()
}

impl FaktoryFrontend for Faktory {
    /// The final answer, if the unit was pushed here.
    fn respond(&self, unit: RequestId, status: u16) -> bool {
        let mut inside = self.inside.borrow_mut();
        let Some((place, tariff)) = inside.by_unit.remove(&unit) else { return false };
        self.counters.responded(tariff, status);
        if inside.peers.contains(place) {
            let answer = match status {
                200 => Answer::Ok,
                503 => Answer::Error("turned back: pushing it again is harmless".to_owned()),
                _ => Answer::Error("forfeited: it may have run".to_owned()),
            };
            inside.peers[place].waits = Waits::Nothing;
            inside.say(place, &answer);
        }
        true
    }

    /// The decisions send a unit to a worker; `false` if it can't have it, or nothing is handed out any more.
    fn assign(&self, worker: usize, id: AttemptId, content: &RequestContent, time_out: Duration) -> bool {
        if self.leaves.get() {
            return false;
        }
        let now = self.clock.now();
        let pushed = content.faktory_job.as_ref();
        let reserve_for = pushed.and_then(|p| p.reserve_for).unwrap_or(self.reserve_for).min(time_out);
        let body = pushed.map_or_else(|| brought(content, reserve_for), |p| p.json.clone());
        let job = Handed {
            token: id,
            jid: content.call_id.to_string(),
            queue: content.class.clone(),
            priority: pushed.map_or(5, |p| p.priority),
            body,
            reserve_for,
        };
        let mut inside = self.inside.borrow_mut();
        if !inside.table.hand(now, worker, job) {
            return false;
        }
        // Whoever of this worker waits for such a job has it at once.
        let waits = |peer: &Peer| {
            let fits = |queues: &[String]| queues.contains(&content.class);
            peer.worker == Some(worker) && matches!(&peer.waits, Waits::Fetch(queues, _) if fits(queues))
        };
        let place = inside.peers.iter().find(|(_, peer)| waits(peer)).map(|(place, _)| place);
        if let Some(place) = place {
            inside.fetch(place, now);
        }
        true
    }

    /// A worker could not have what the decisions sent to it: nothing of it has run.
    fn assignment_failed(&self, id: AttemptId) {
        self.inside.borrow_mut().untold.push(Untold::Ended(id, AttemptOutcome::Full));
    }

    /// Nobody waits any more for what was handed to a worker. One that has fetched it can't be told, and what it says
    /// of it later is answered with an error.
    fn cancel_attempt(&self, id: AttemptId) {
        let mut inside = self.inside.borrow_mut();
        if inside.table.withdraw(id).is_some() {
            inside.untold.push(Untold::Ended(id, AttemptOutcome::Cancelled));
        }
    }

    /// The names of the workers that are there, and how they stand.
    fn workers(&self) -> Vec<(String, Standing)> {
        let inside = self.inside.borrow();
        let table = &inside.table;
        let shown = |at: usize| (table.wid(at).to_owned(), table.standing(at));
        table.present().map(shown).collect()
    }
}
