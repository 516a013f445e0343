//! A stand-in executor: takes jobs over HTTP, runs so many at once by sleeping, and calls back.

use crate::floor::Floor;
use crate::talk::{Message, Talk};
use grebeusher_dispatch::time::{Moment, Span};
use grebeusher_emulator::scenario::Executors;
use serde_json::{Value, json};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// The protocol's: each call-back is tried so often.
const TRIES: u32 = 10;
const TRY_AGAIN: Duration = Duration::from_millis(100);
const ANSWERED_WITHIN: Duration = Duration::from_millis(2000);
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Connections that may wait to be taken in.
const QUEUE: i32 = 256;

#[derive(Clone)]
struct Job {
    unit: u64,
    call_id: String,
    size_s: f64,
    /// The node that sent it, as an index; call-backs go there.
    node: usize,
}

struct State {
    up: bool,
    life: u32,
    started: Option<Moment>,
    slower: f64,
    fails: u32,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    /// Open connections, to be broken when the process dies.
    connections: Vec<TcpStream>,
}

pub struct Executor {
    pub name: String,
    pub kind: String,
    pub zone: usize,
    pub place: usize,
    pub address: SocketAddr,
    listener: Socket,
    make: Executors,
    floor: Arc<Floor>,
    nodes: Vec<SocketAddr>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Executor {
    /// Listens on a port of its own, with a thread for each slot.
    pub fn start(
        floor: &Arc<Floor>,
        make: &Executors,
        (place, zone): (usize, usize),
        nodes: Vec<SocketAddr>,
    ) -> io::Result<Arc<Executor>> {
        let (listener, address) = bound()?;
        listener.listen(QUEUE)?;
        let started = (!make.warm_at_start).then(|| floor.now());
        let state = State {
            up: true,
            life: 0,
            started,
            slower: 1.0,
            fails: 0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            connections: Vec::new(),
        };
        let executor = Arc::new(Executor {
            name: format!("s-{place}"),
            kind: make.kind.clone(),
            zone,
            place,
            address,
            listener,
            make: make.clone(),
            floor: floor.clone(),
            nodes,
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        for _ in 0..make.slots {
            let slot = executor.clone();
            thread::spawn(move || slot.works());
        }
        let door = executor.clone();
        thread::spawn(move || door.listens());
        Ok(executor)
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its process dies with all that it has. The machine's agent sees that, and says what was lost.
    pub fn kill(self: &Arc<Self>) {
        let lost: Vec<Job> = {
            let mut state = self.state();
            (state.up, state.life) = (false, state.life + 1);
            // From here on the port refuses, and stays taken.
            let _ = self.listener.shutdown(Shutdown::Read);
            for connection in state.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
            let waited = std::mem::take(&mut state.waiting);
            std::mem::take(&mut state.running).into_iter().chain(waited).collect()
        };
        let agent = self.clone();
        thread::spawn(move || {
            let mut talks: Vec<Option<Talk>> = agent.nodes.iter().map(|_| None).collect();
            for job in lost {
                agent.calls(&mut talks, job.node, None, &agent.word(&job, "lost"));
            }
        });
    }

    fn word(&self, job: &Job, what: &str) -> Value {
        json!({"id": job.call_id, "from": self.name, "state": what})
    }

    /// Back under its old name and address, and cold.
    pub fn rise(&self) {
        let mut state = self.state();
        (state.up, state.started) = (true, Some(self.floor.now()));
        // It was bound all the while, so it listens again.
        let _ = self.listener.listen(QUEUE);
    }

    pub fn slow(&self, factor: f64) {
        self.state().slower *= factor;
    }

    /// From now on everything fails, or no more.
    pub fn fail(&self, fails: bool) {
        let mut state = self.state();
        state.fails = if fails { state.fails + 1 } else { state.fails.saturating_sub(1) };
    }

    /// When it started, for the list.
    pub fn started(&self) -> Option<Moment> {
        self.state().started
    }

    fn listens(self: Arc<Self>) {
        while !self.floor.stops() {
            let Ok((socket, _)) = self.listener.accept() else {
                // It does not listen while its process is gone.
                thread::sleep(LOOK_EVERY);
                continue;
            };
            let stream = TcpStream::from(socket);
            let mut state = self.state();
            if !state.up {
                continue;
            }
            if let Ok(own) = stream.try_clone() {
                state.connections.push(own);
            }
            drop(state);
            let executor = self.clone();
            thread::spawn(move || executor.serves(stream));
        }
    }

    fn serves(&self, stream: TcpStream) {
        let Ok(mut talk) = Talk::over(stream) else { return };
        while let Ok(Some(request)) = talk.request() {
            let head = self.takes(&request);
            if talk.say(&head, b"").is_err() {
                return;
            }
        }
    }

    /// Takes one request; the head of its answer.
    fn takes(&self, request: &Message) -> String {
        let head = |status: u16, further: &str| format!("HTTP/1.1 {status} x\r\n{further}");
        let now = self.floor.now();
        if request.method == "DELETE" {
            let id = request.target.rsplit('/').next().unwrap_or_default();
            self.state().waiting.retain(|job| job.call_id != id);
            return head(204, "");
        }
        let Some(job) = read(request) else { return head(404, "") };
        self.floor.book().sent(now, job.unit, job.node, self.place);
        let mut state = self.state();
        if state.fails > 0 {
            return head(500, &self.report(&state));
        }
        let room = state.running.len() < self.make.slots as usize || state.waiting.len() < self.make.queue;
        if !room {
            return head(503, &format!("X-Rejected: 1\r\n{}", self.report(&state)));
        }
        state.waiting.push_back(job);
        drop(state);
        self.changed.notify_one();
        head(202, "")
    }

    fn load(&self, state: &State) -> (f64, f64) {
        let slots = self.make.slots as f64;
        let running = state.running.len() as f64;
        (running / slots, (slots - running).max(0.0))
    }

    fn report(&self, state: &State) -> String {
        let (share, free) = self.load(state);
        format!("X-Load-Report: TEXT load_share={share:.3}, x0={free}\r\n")
    }

    /// One slot: takes the next job, runs it, says so.
    fn works(&self) {
        let mut talks: Vec<Option<Talk>> = self.nodes.iter().map(|_| None).collect();
        loop {
            let (job, life, slower, started) = {
                const LOOK_EVERY: Duration = Duration::from_millis(100);
                let mut state = self.state();
                loop {
                    if self.floor.stops() {
                        return;
                    }
                    if let Some(job) = state.waiting.pop_front() {
                        state.running.push(job.clone());
                        break (job, state.life, state.slower, state.started);
                    }
                    let waited = self.changed.wait_timeout(state, LOOK_EVERY);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            };
            self.floor.runs(job.unit);
            if self.floor.scenario.nodes.starts_told {
                self.calls(&mut talks, job.node, Some(life), &self.word(&job, "started"));
            }
            let speed = self.make.pace * self.make.share(started, self.floor.now());
            let ends = self.floor.now() + Span::secs(job.size_s / speed * slower);
            let pace = Span::secs(self.floor.scenario.nodes.progress_ms / 1e3);
            while pace.0 > 0 && self.floor.now() + pace < ends {
                if !self.floor.wait_until(self.floor.now() + pace) {
                    return;
                }
                self.calls(&mut talks, job.node, Some(life), &self.word(&job, "running"));
            }
            if !self.floor.wait_until(ends) {
                return;
            }
            let load = {
                let mut state = self.state();
                if state.life != life {
                    continue;
                }
                state.running.retain(|running| running.unit != job.unit);
                self.load(&state)
            };
            let mut done = self.word(&job, "done");
            done["result"] = json!(format!("done {}", job.unit));
            done["load"] = json!({"load_share": load.0, "x0": load.1});
            self.calls(&mut talks, job.node, Some(life), &done);
        }
    }

    /// Calls back until it is answered, ten times at most; of a `life` that is over nothing is said.
    fn calls(&self, talks: &mut [Option<Talk>], node: usize, life: Option<u32>, what: &Value) {
        let body = what.to_string();
        for _ in 0..TRIES {
            if self.floor.stops() || life.is_some_and(|life| self.state().life != life) {
                return;
            }
            let talk = &mut talks[node];
            let mut say = || -> io::Result<u16> {
                if talk.is_none() {
                    let fresh = Talk::to(self.nodes[node], ANSWERED_WITHIN)?;
                    fresh.bear(ANSWERED_WITHIN)?;
                    *talk = Some(fresh);
                }
                let Some(talk) = talk.as_mut() else { return Ok(0) };
                talk.say("POST /v1/job-events HTTP/1.1\r\n", body.as_bytes())?;
                Ok(talk.answer()?.status)
            };
            match say() {
                Ok(200 | 204) => return,
                Ok(_) => {}
                Err(_) => *talk = None,
            }
            thread::sleep(TRY_AGAIN);
        }
        self.floor.call_backs_lost.fetch_add(1, Ordering::Relaxed);
    }
}

/// A socket bound to a port of its own, by its number: only then does it keep it while it does not listen.
fn bound() -> io::Result<(Socket, SocketAddr)> {
    const TRIES_AT_PORTS: usize = 20;
    let mut last = io::Error::other("no port");
    for _ in 0..TRIES_AT_PORTS {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        match socket.bind(&address.into()) {
            Ok(()) => return Ok((socket, address)),
            // Somebody else was quicker.
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// What the clients of this tool put into a unit.
fn read(request: &Message) -> Option<Job> {
    let call_id = request.header("X-Call-Id")?.to_owned();
    let unit = call_id.strip_prefix("u-")?.parse().ok()?;
    let body: Value = serde_json::from_slice(&request.body).ok()?;
    Some(Job { unit, call_id, size_s: body["size_s"].as_f64()?, node: body["node"].as_u64()? as usize })
}
