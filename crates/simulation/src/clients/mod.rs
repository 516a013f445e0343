//! Clients: live requests with their retries, and batch jobs from submission to the last read.

mod answers;
mod job_messages;
mod jobs;
mod live;
mod pressed;
mod witness;

use crate::call::Progress;
use crate::hub::{End, Happening, Owner};
use crate::judge::{Kind, Rule};
use crate::stage::{Class, Stage};
use grebeusher_time::{Duration, DurationExt, Instant};
use jobs::{Job, JobState};
use live::Live;
use pressed::Pressed;
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use witness::Witness;

const ARRIVAL: u64 = 0;
const NEW_JOB: u64 = 1;
const EXPIRES: u64 = 2;
const AGAIN: u64 = 3;
const PRESSED: u64 = 4;

/// The live routes: prefix and kind.
pub const LIVE_ROUTES: [(&str, Kind); 5] = [
    ("/draft/", Kind::Stream),
    ("/suggest/", Kind::Resumable),
    ("/look/", Kind::Idempotent),
    ("/post/", Kind::Once),
    ("/moving/", Kind::Idempotent),
];

/// The host of live routes.
pub const LIVE_HOST: &str = "live.example";

/// The bulk routes: host and prefix.
pub const BULK_ROUTES: [(&str, &str); 3] =
    [("bulk-one.example", "/bulk1/"), ("bulk-two.example", "/bulk2/"), ("bulk-three.example", "/bulk3/")];

/// The bulk route that the operators put in the place of the first one: host and prefix. Clients don't ask for it.
pub const OTHER_BULK_ROUTE: (&str, &str) = ("bulk-other.example", "/bulk-other/");

enum Task {
    Live(Box<Live>),
    Job(Box<Job>),
    Witness(Box<Witness>),
}

/// How much the clients do.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Live requests a second.
    pub live_per_s: f64,
    /// Batch jobs a second.
    pub jobs_per_s: f64,
    /// When no further batch jobs come.
    pub jobs_until: Instant,
    /// Bytes of the body of each live request with a body, beside up to 3,000.
    pub upload_bytes: usize,
    /// Bytes of each item's body, beside a few.
    pub item_bytes: usize,
    /// Bytes of each event of an item, beside a few.
    pub event_bytes: usize,
    /// Probes a second of which configuration is in force.
    pub probes_per_s: f64,
}

/// All clients.
pub struct Clients {
    /// A place of clients in each zone.
    hosts: Vec<usize>,
    traffic: Traffic,
    times: f64,
    /// Batch jobs that were accepted: the hosts of the nodes that said so.
    pub taken: Vec<usize>,
    /// When new requests end.
    until: Instant,
    tasks: BTreeMap<u64, Task>,
    ends: BTreeMap<End, u64>,
    idle: Vec<(usize, End, usize, SocketAddrV4)>,
    next: u64,
    begun: bool,
    pressed: Vec<Option<Pressed>>,
}

impl Clients {
    /// Clients at places, one for each zone.
    pub fn new(hosts: Vec<usize>, traffic: Traffic, until: Instant) -> Clients {
        Clients {
            hosts,
            traffic,
            times: 1.0,
            taken: Vec::new(),
            until,
            tasks: BTreeMap::new(),
            ends: BTreeMap::new(),
            idle: Vec::new(),
            next: 8,
            begun: false,
            pressed: Vec::new(),
        }
    }

    /// Traffic begins at a moment.
    pub fn begin(&mut self, at: Instant, stage: &mut Stage<'_>) {
        self.begun = true;
        wake(stage, at, ARRIVAL, 0);
        wake(stage, at, NEW_JOB, 0);
    }

    /// So many times as many live requests as usual come from now on.
    pub fn burst(&mut self, times: f64) {
        self.times = times;
    }

    /// Something can be done at an end.
    pub fn socket(&mut self, end: End, stage: &mut Stage<'_>) {
        if let Some(at) = self.idle.iter().position(|(_, other, ..)| *other == end) {
            let received = stage.hub.receive(end);
            if !received.bytes.is_empty() {
                let text = String::from_utf8_lossy(&received.bytes).chars().take(80).collect::<String>();
                let now = stage.now();
                stage.judge.breach(Rule::Mixed, now, format!("bytes where no request waits: {text:?}"));
            }
            if received.ended || received.broken || !received.bytes.is_empty() {
                self.idle.remove(at);
                stage.hub.close(end);
            }
            return;
        }
        if let Some(task) = self.ends.get(&end).copied() {
            self.advance(task, stage);
        }
    }

    /// A timer.
    pub fn wake(&mut self, token: u64, stage: &mut Stage<'_>) {
        let task = token >> 3;
        match token & 7 {
            ARRIVAL => self.arrival(stage),
            NEW_JOB => self.new_job(stage),
            EXPIRES => self.expires(task, stage),
            AGAIN => self.again(task, stage),
            PRESSED => self.pressed_due(task, stage),
            _ => {}
        }
    }

    /// What could not be read in all the time given.
    pub fn close(&mut self, stage: &mut Stage<'_>) {
        let now = stage.now();
        for task in self.tasks.values() {
            let Task::Job(job) = task else { continue };
            match job.state {
                JobState::LastRead => {
                    stage.judge.job_lost(&job.id, "its results can't be read at the end", now);
                }
                JobState::LastBodies => {
                    stage.judge.job_lost(&job.id, "an item gives no body at the end", now);
                }
                _ => {}
            }
        }
    }

    fn advance(&mut self, number: u64, stage: &mut Stage<'_>) {
        let call = match self.tasks.get_mut(&number) {
            Some(Task::Live(live)) => live.call.as_mut(),
            Some(Task::Job(job)) => job.call.as_mut(),
            Some(Task::Witness(witness)) => witness.call.as_mut(),
            None => None,
        };
        let Some(call) = call else { return };
        let progress = call.advance(stage.hub);
        match (progress, self.tasks.get(&number)) {
            (Progress::Pending, _) => {}
            (_, Some(Task::Live(_))) => self.live_answered(number, progress, stage),
            (_, Some(Task::Job(_))) => self.job_answered(number, progress, stage),
            (_, Some(Task::Witness(_))) => self.witness_answered(number, progress, stage),
            _ => {}
        }
    }

    fn expires(&mut self, number: u64, stage: &mut Stage<'_>) {
        let now = stage.now();
        let (gives_up, end) = match self.tasks.get(&number) {
            Some(Task::Live(live)) => (live.gives_up, live.call.as_ref().map(|call| call.end)),
            Some(Task::Job(job)) => (job.gives_up, job.call.as_ref().map(|call| call.end)),
            Some(Task::Witness(witness)) => (witness.gives_up, witness.call.as_ref().map(|call| call.end)),
            None => return,
        };
        let Some(end) = end.filter(|_| now >= gives_up) else { return };
        if let Some(Task::Live(live)) = self.tasks.get_mut(&number)
            && stage.hub.connected(end).unwrap_or(false)
            && now < live.until
        {
            live.gives_up = live.until;
            return wake(stage, live.until, EXPIRES, number);
        }
        self.drop_call(number, stage);
        match self.tasks.get(&number) {
            Some(Task::Live(live)) if now < live.until => self.try_failed(number, stage),
            Some(Task::Live(_)) => self.live_over(number, false, stage),
            Some(Task::Job(_)) => self.job_failed(number, stage),
            Some(Task::Witness(_)) => drop(self.tasks.remove(&number)),
            None => {}
        }
    }

    fn drop_call(&mut self, number: u64, stage: &mut Stage<'_>) {
        let call = match self.tasks.get_mut(&number) {
            Some(Task::Live(live)) => live.call.take(),
            Some(Task::Job(job)) => job.call.take(),
            Some(Task::Witness(witness)) => witness.call.take(),
            None => None,
        };
        if let Some(call) = call {
            self.ends.remove(&call.end);
            stage.hub.close(call.end);
        }
    }

    fn again(&mut self, number: u64, stage: &mut Stage<'_>) {
        match self.tasks.get(&number) {
            Some(Task::Live(live)) if live.call.is_none() => self.send_live(number, stage),
            Some(Task::Job(job)) if job.call.is_none() => self.call_job(number, stage),
            _ => {}
        }
    }

    fn new_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

/// The platform's choice of a node for a new connection; probes go to any node that gets clients.
fn pick_node(zone: usize, any: bool, stage: &mut Stage<'_>) -> Option<(usize, SocketAddrV4)> {
    let edges = |test: &dyn Fn(&crate::stage::Machine) -> bool| -> Vec<(usize, SocketAddrV4)> {
        let machines = stage.machines.iter().filter(|m| m.class == Class::Edge && m.listed);
        machines.filter(|m| test(m)).map(|m| (m.host, m.frontend())).collect()
    };
    let all = edges(&|m| m.zone == zone);
    let ready = edges(&|m| m.zone == zone && m.ready);
    let mut choice = if ready.len() * 2 >= all.len() { ready } else { all };
    if any || choice.is_empty() || edges(&|m| m.zone == zone && m.ready).is_empty() {
        let elsewhere = edges(&|m| m.ready);
        if !elsewhere.is_empty() {
            choice = elsewhere;
        }
    }
    let pick = stage.hub.random.random_range(0..choice.len().max(1));
    choice.get(pick).copied()
}

fn wake(stage: &mut Stage<'_>, at: Instant, kind: u64, value: u64) {
    stage.hub.schedule(at, Happening::Wake { owner: Owner::Clients, token: kind | (value << 3) });
}

/// Wakes the clients for the next of what comes at random, so many a second.
fn wake_for_next(stage: &mut Stage<'_>, per_s: f64, kind: u64) {
    let drawn: f64 = stage.hub.random.random_range(1e-9..1.0);
    wake(stage, stage.now() + Duration::from_seconds(-drawn.ln() / per_s), kind, 0);
}
