//! The stand-in executors: each takes jobs over HTTP, runs so many at once as the emulator's machine does, and calls back.

use crate::fleet::{Fleet, Owner, Task};
use crate::http::{Message, answer, request, said};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{ExecutorStatus, LoadReport};
use grebeusher_emulator::machine::{Job, Machine, Taken};
use grebeusher_emulator::stage::ms;
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// The protocol's: each call-back is tried so often.
const TRIES: u32 = 10;
const RETRY_DELAY: Duration = Duration::from_millis(100);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2000);
/// A connection for call-backs that nobody needs is closed after this.
const IDLE: Duration = Duration::from_millis(5000);
/// One that was pushed over is back after this.
const OUTAGE_DURATION: Duration = Duration::from_millis(3000);

pub struct Executor {
    pub name: String,
    pub machine: Machine,
    /// Where nodes of each zone find it: a door, its address and its link.
    pub doors: Vec<(usize, SocketAddr, usize)>,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub started_unix_ms: u64,
    /// What runs and waits: its size and the node that sent it.
    jobs: HashMap<u64, (f64, usize)>,
}

impl Executor {
    pub fn new(name: String, machine: Machine, doors: Vec<(usize, SocketAddr, usize)>) -> Executor {
        Executor { name, machine, doors, started_unix_ms: 0, jobs: HashMap::new() }
    }

    /// The units that run and wait here, and their nodes.
    pub fn whose(&self) -> Vec<(u64, usize)> {
        self.jobs.iter().map(|(unit, (_, node))| (*unit, *node)).collect()
    }
}

struct Call {
    body: Vec<u8>,
    /// Of a life that is over nothing is said.
    life: Option<u32>,
    tries: u32,
}

/// What one executor has to say to one node, in its order.
#[derive(Default)]
pub struct Calls {
    waiting: VecDeque<Call>,
    conn: Option<usize>,
    /// Counts tries; a time-out of an earlier one says nothing.
    try_number: u64,
    busy: bool,
    used: Instant,
}

fn job(unit: u64) -> Job {
    // An executor has one allocation of a unit at a time.
    Job { unit, number: 0 }
}

impl Fleet {
    pub fn executor_hears(&mut self, executor: usize, key: usize) {
        loop {
            let Some((bytes, stamp)) = self.wire.came(key) else { return };
            match request(bytes) {
                Ok(Some(message)) => {
                    let (head, dies) = self.takes(executor, &message, stamp);
                    if dies {
                        return;
                    }
                    let now = self.now();
                    self.wire.says(key, said(&head, b""), now);
                }
                Ok(None) => return,
                Err(_) => return self.wire.closes(key),
            }
        }
    }

    /// Takes one request; the head of its answer, and whether the executor fell over it.
    fn takes(&mut self, executor: usize, request: &Message, stamp: Instant) -> (String, bool) {
        let head = |status: u16, further: &str| (format!("HTTP/1.1 {status} x\r\n{further}"), false);
        let now = self.now();
        if request.method == "DELETE" {
            let id = request.target.rsplit("/u-").next().and_then(|id| id.parse().ok());
            if let Some(unit) = id.filter(|&unit| self.executors[executor].machine.cancel(job(unit))) {
                self.executors[executor].jobs.remove(&unit);
                self.stands(executor);
            }
            return head(204, "");
        }
        let Some((unit, size_s, node)) = read(request) else { return head(404, "") };
        self.book.sent(stamp, unit, node, executor);
        self.unit_sent(unit, stamp);
        self.reaches_out(executor, unit, node);
        self.figures.sends += 1;
        self.spread.reached(now, executor);
        let rules = self.scenario.rules;
        let mean_size_s = self.mean_size_s;
        let known = self.book.knows(node, executor, self.executors[executor].machine.started);
        let e = &mut self.executors[executor];
        if e.machine.fails > 0 {
            self.errors += 1;
            return head(500, &report_line(e.machine.report(now)));
        }
        if e.machine.is_cold(now) {
            let (units, untold) = e.machine.count(now, ms(rules.fall_window_ms), known);
            let borne = e.machine.bears(now, &rules, mean_size_s);
            if units as f64 > borne {
                self.book.fell(now, executor, units, untold, borne);
                self.executor_dies(executor);
                let life = self.executors[executor].machine.life;
                self.after(OUTAGE_DURATION, Task::Rises(executor, life));
                return (String::new(), true);
            }
        }
        let taken = e.machine.take(now, job(unit));
        match taken {
            Taken::Full => {
                let line = report_line(e.machine.report(now));
                return head(503, &format!("X-Rejected: 1\r\n{line}"));
            }
            Taken::Runs | Taken::Waits => drop(e.jobs.insert(unit, (size_s, node))),
        }
        if taken == Taken::Runs {
            self.runs(executor, unit);
        }
        self.stands(executor);
        head(202, "")
    }

    fn runs(&mut self, executor: usize, unit: u64) {
        let now = self.now();
        self.unit_runs(unit);
        let e = &self.executors[executor];
        let Some(&(size_s, node)) = e.jobs.get(&unit) else { return };
        let (life, runs_for) = (e.machine.life, e.machine.runs_for(now, size_s));
        if self.scenario.nodes.starts_told {
            self.tells(executor, node, Some(life), self.word(executor, unit, "started"));
        }
        self.after(runs_for, Task::RunEnds(executor, life, unit));
        self.progress_later(executor, life, unit);
    }

    fn progress_later(&mut self, executor: usize, life: u32, unit: u64) {
        let pace = ms(self.scenario.nodes.progress_ms);
        if pace.nanos() > 0 {
            self.after(pace, Task::Progresses(executor, life, unit));
        }
    }

    pub fn progresses(&mut self, executor: usize, life: u32, unit: u64) {
        let e = &self.executors[executor];
        if e.machine.life != life || !e.machine.runs(job(unit)) {
            return;
        }
        let Some(&(_, node)) = e.jobs.get(&unit) else { return };
        self.tells(executor, node, Some(life), self.word(executor, unit, "running"));
        self.progress_later(executor, life, unit);
    }

    pub fn run_ends(&mut self, executor: usize, life: u32, unit: u64) {
        let now = self.now();
        let e = &mut self.executors[executor];
        if e.machine.life != life || !e.machine.done(now, job(unit)) {
            return;
        }
        let Some((_, node)) = e.jobs.remove(&unit) else { return };
        let mut next = Vec::new();
        while let Some(started) = e.machine.start_next(now) {
            next.push(started.unit);
        }
        let report = e.machine.report(now);
        next.into_iter().for_each(|unit| self.runs(executor, unit));
        let mut done = self.word(executor, unit, "done");
        done["result"] = json!(format!("done {unit}"));
        done["load"] = json!({"load_share": report.utilisation, "x0": report.free_slots});
        self.tells(executor, node, Some(life), done);
        self.stands(executor);
    }

    fn word(&self, executor: usize, unit: u64, what: &str) -> Value {
        json!({"id": format!("u-{unit}"), "from": self.executors[executor].name, "state": what})
    }

    fn stands(&mut self, executor: usize) {
        let now = self.now();
        let machine = &self.executors[executor].machine;
        let (running, waiting) = machine.filled();
        self.spread.stands(now, executor, machine.up, running, waiting);
    }

    /// Its process dies with all that it has. The machine's agent sees that, and says what was lost; what waited at one
    /// that was told to leave is handed back.
    pub fn executor_dies(&mut self, executor: usize) {
        let now = self.now();
        let e = &mut self.executors[executor];
        if !e.machine.up {
            return;
        }
        let leaving = e.machine.standing != ExecutorStatus::Ready;
        let (ran, waited) = e.machine.die(now);
        let jobs = std::mem::take(&mut e.jobs);
        for &(door, _, _) in &e.doors {
            self.wire.refuses(door);
        }
        let owned = |owner| matches!(owner, Owner::Executor(of) | Owner::CallBack(of, _) if of == executor);
        self.wire.find(owned).into_iter().for_each(|key| self.wire.breaks(key));
        for node in 0..self.nodes.len() {
            if let Some(calls) = self.calls.get_mut(&(executor, node)) {
                (calls.conn, calls.busy) = (None, false);
            }
        }
        let returned = if leaving { "returned" } else { "lost" };
        let words = ran.into_iter().map(|job| (job, "lost")).chain(waited.into_iter().map(|j| (j, returned)));
        for (job, what) in words {
            if let Some((_, node)) = jobs.get(&job.unit) {
                self.tells(executor, *node, None, self.word(executor, job.unit, what));
            }
        }
        self.stands(executor);
    }

    /// Back under its old name and addresses, and cold.
    pub fn executor_rises(&mut self, executor: usize) -> io::Result<()> {
        let (now, unix_ms) = (self.now(), self.unix_ms());
        let e = &mut self.executors[executor];
        if e.machine.up {
            return Ok(());
        }
        e.machine.rise(now);
        e.started_unix_ms = unix_ms;
        let doors = e.doors.clone();
        self.stands(executor);
        doors.into_iter().try_for_each(|(door, _, _)| self.wire.listens(door))
    }

    /// Calls a node back until that is answered, ten times at most.
    fn tells(&mut self, executor: usize, node: usize, life: Option<u32>, what: Value) {
        let call = Call { body: what.to_string().into_bytes(), life, tries: 0 };
        self.calls.entry((executor, node)).or_default().waiting.push_back(call);
        self.next_call(executor, node);
    }

    pub fn next_call(&mut self, executor: usize, node: usize) {
        let now = self.now();
        let life_now = self.executors[executor].machine.life;
        let link = self.executors[executor].doors[self.zone_of(node)].2;
        let address = self.nodes[node].address;
        let Some(calls) = self.calls.get_mut(&(executor, node)).filter(|calls| !calls.busy) else { return };
        calls.waiting.retain(|call| call.life.is_none_or(|life| life == life_now));
        let Some(call) = calls.waiting.front_mut() else { return };
        call.tries += 1;
        calls.busy = true;
        calls.used = now;
        calls.try_number += 1;
        let said = said("POST /v1/job-events HTTP/1.1\r\n", &call.body);
        let number = calls.try_number;
        // Through a cut none comes up.
        if calls.conn.is_none() && !self.wire.links[link].is_cut() {
            calls.conn = self.wire.dials(address, Owner::CallBack(executor, node), link, now).ok();
        }
        if let Some(conn) = calls.conn {
            self.wire.says(conn, said, now);
        }
        self.after(ANSWER_TIMEOUT, Task::CallTimesOut(executor, node, number));
    }

    pub fn call_times_out(&mut self, executor: usize, node: usize, number: u64) {
        if self.calls.get(&(executor, node)).is_some_and(|c| c.busy && c.try_number == number) {
            self.call_fails(executor, node);
        }
    }

    /// A try got no answer that counts.
    fn call_fails(&mut self, executor: usize, node: usize) {
        let Some(calls) = self.calls.get_mut(&(executor, node)) else { return };
        calls.busy = false;
        let conn = calls.conn.take();
        if calls.waiting.front().is_some_and(|call| call.tries >= TRIES) {
            calls.waiting.pop_front();
            self.call_backs_lost += 1;
        }
        conn.into_iter().for_each(|conn| self.wire.closes(conn));
        self.after(RETRY_DELAY, Task::CallsAgain(executor, node));
    }

    pub fn call_back_hears(&mut self, executor: usize, node: usize, key: usize, ended: bool) {
        let now = self.now();
        loop {
            let Some((bytes, _)) = self.wire.came(key) else { return };
            let Ok(Some(message)) = answer(bytes) else { break };
            let Some(calls) = self.calls.get_mut(&(executor, node)).filter(|c| c.conn == Some(key)) else {
                return self.wire.closes(key);
            };
            if !matches!(message.status, 200 | 204) {
                return self.call_fails(executor, node);
            }
            calls.waiting.pop_front();
            (calls.busy, calls.used) = (false, now);
            if message.closes() {
                calls.conn = None;
                self.wire.closes(key);
                return self.next_call(executor, node);
            }
            self.next_call(executor, node);
        }
        if !ended {
            return;
        }
        match self.calls.get_mut(&(executor, node)).filter(|c| c.conn == Some(key)) {
            Some(calls) if calls.busy => self.call_fails(executor, node),
            Some(calls) => {
                calls.conn = None;
                self.wire.closes(key);
            }
            None => self.wire.closes(key),
        }
    }

    /// Closes connections for call-backs that nobody has needed lately.
    pub fn sweeps(&mut self) {
        let now = self.now();
        let idle = |c: &Calls| !c.busy && c.waiting.is_empty() && now.since(c.used) > IDLE;
        let conns: Vec<usize> =
            self.calls.values_mut().filter(|c| idle(c)).filter_map(|c| c.conn.take()).collect();
        conns.into_iter().for_each(|conn| self.wire.closes(conn));
    }
}

fn report_line(report: LoadReport) -> String {
    let (share, free) = (report.utilisation.unwrap_or(0.0), report.free_slots.unwrap_or(0.0));
    format!("X-Load-Report: TEXT load_share={share:.3}, x0={free}\r\n")
}

/// What the clients of this tool put into a unit: its number, size and node.
fn read(request: &Message) -> Option<(u64, f64, usize)> {
    let unit = request.header("X-Call-Id")?.strip_prefix("u-")?.parse().ok()?;
    let body: Value = serde_json::from_slice(&request.body).ok()?;
    Some((unit, body["size_s"].as_f64()?, body["node"].as_u64()? as usize))
}
