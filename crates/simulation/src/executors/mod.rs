//! Stand-in executors: batches of slots with a queue, prompts and tokens that take time, heartbeats, drains, and lies.

mod answers;
mod broken;
mod flaws;
mod grey;
mod heartbeats;
mod repeats;
mod runs;
mod serving;

pub use flaws::VersionFlaw;

use crate::call::HttpCall;
use crate::hub::{End, Owner};
use crate::scenario::{BrokenAnswer, Grey};
use crate::stage::Stage;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::body::BodyReader;
use grebeusher_transport::http::RequestHead;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// A heartbeat that is not acknowledged by then failed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);
/// One that leaves serves for this long beyond `drain_timeout_ms`.
const LINGERS: Duration = Duration::from_millis(600);
/// One that leaves without an acknowledgement ends after this.
const LEAVES_ANYWAY: Duration = Duration::from_millis(6500);
/// Connections from all callers.
const MAX_CONNECTIONS: usize = 220;
/// Kept part of prompts, in tokens.
const KEPT_TOKENS: u64 = 60_000;
/// Tokens of a prompt that are read in a millisecond.
const TOKENS_A_MS: f64 = 90.0;

const HEARTBEAT: u64 = 0;
const HEARTBEAT_LATE: u64 = 1;
const STEP: u64 = 2;
const LEAVE: u64 = 3;
const LEFT: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    Draining,
    Gone,
}

/// How an executor misbehaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lies {
    /// The share of runs whose answers are lost by a reset.
    pub lost: f64,
    /// The share of answers that break off in the middle.
    pub cut: f64,
    /// The share of answers that bytes of another answer follow.
    pub surplus: f64,
    /// The share of answers that are sent twice, the copy in the place of the next answer on the connection.
    pub repeated: f64,
    /// How answers are broken, and the share of those that are.
    pub broken: Option<(BrokenAnswer, f64)>,
    /// The share of requests that fail, and how.
    pub grey: Option<(Grey, f64)>,
    /// Whether it says that it is ill.
    pub says_ill: bool,
}

/// What an executor is made of.
#[derive(Clone, Debug)]
pub struct Executor {
    /// Its incarnation.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// The version of its software.
    pub version: String,
    /// Its host.
    pub host: usize,
    /// Its address.
    pub address: SocketAddrV4,
    /// Its zone's name.
    pub zone: String,
    /// Its zone's number.
    pub zone_number: usize,
    /// Requests at once.
    pub slots: usize,
    /// Requests that wait.
    pub queue: usize,
}

struct Live {
    made: Executor,
    state: State,
    lies: Lies,
    /// How its version is bad, and since when it runs.
    flaw: Option<(VersionFlaw, Instant)>,
    connections: BTreeMap<End, ServerConnection>,
    waiting: VecDeque<(End, Instant, Asked)>,
    runs: BTreeMap<u64, Run>,
    next_run: u64,
    kept: VecDeque<(String, u64)>,
    call: Option<(HttpCall, SocketAddrV4, bool)>,
    calls: u64,
    call_seq: u64,
    target: Option<SocketAddrV4>,
    leaving: Option<usize>,
    acknowledged: bool,
    deregistering: bool,
    /// Whether its next call goes to the lure, if there is one.
    lured: bool,
}

#[derive(Default)]
struct ServerConnection {
    input: Vec<u8>,
    head: Option<(RequestHead, BodyReader, Vec<u8>)>,
    out: Vec<u8>,
    run: Option<u64>,
    /// A surplus answer is still to come, in the place of the next one.
    owes_surplus: bool,
    /// What has been sent of the current answer, if it may be repeated.
    answer: Vec<u8>,
    /// Copies of earlier answers, which precede the next answer.
    late_copies: Vec<u8>,
    closes: bool,
}

struct Asked {
    head: RequestHead,
    body: Vec<u8>,
}

struct Run {
    end: End,
    attempt: String,
    path: String,
    stream: Option<(u64, u64)>,
    begun: bool,
    item: bool,
    /// How many times as long as usual it takes.
    slowed: f64,
}

/// All executors of a fleet.
#[derive(Default)]
pub struct Executors {
    all: Vec<Live>,
    /// The services of executors whose leave was acknowledged since this was last looked at.
    pub told: Vec<String>,
    /// The node that those which leave, and some of the others, call first.
    pub lure: Option<SocketAddrV4>,
}

impl Executors {
    /// Starts one. Its number.
    pub fn start(&mut self, made: Executor, stage: &mut Stage<'_>) -> usize {
        let number = self.all.len();
        // An address that is still taken can't be listened at; such an executor is simply never reached.
        let _ = stage.hub.listen(Owner::Executor(number), made.address, 0);
        self.all.push(Live {
            made,
            state: State::Up,
            lies: Lies::default(),
            flaw: None,
            connections: BTreeMap::new(),
            waiting: VecDeque::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            kept: VecDeque::new(),
            call: None,
            calls: 0,
            call_seq: 0,
            target: None,
            leaving: None,
            acknowledged: false,
            deregistering: false,
            lured: true,
        });
        let first = stage.now() + Duration::from_millis(stage.hub.random.random_range(0..1200));
        wake(stage, number, first, HEARTBEAT, 0);
        number
    }

    /// Those that are up, by number and what they are made of.
    pub fn up(&self) -> Vec<(usize, Executor)> {
        let up = self.all.iter().enumerate().filter(|(_, live)| live.state == State::Up);
        up.map(|(number, live)| (number, live.made.clone())).collect()
    }

    /// Executors that have ended, whose addresses may be used again.
    pub fn gone(&self) -> Vec<Executor> {
        self.all.iter().filter(|live| live.state == State::Gone).map(|live| live.made.clone()).collect()
    }

    /// What one is made of.
    pub fn made(&self, number: usize) -> &Executor {
        &self.all[number].made
    }

    /// How one misbehaves from now on.
    pub fn lie(&mut self, number: usize, lies: Lies) {
        self.all[number].lies = lies;
    }

    /// One is to leave.
    pub fn drain(&mut self, number: usize, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        if live.state != State::Up {
            return;
        }
        live.state = State::Draining;
        live.leaving = Some(stage.judge.leaves(stage.hub.now));
        drop_call(live, stage);
        let first = if ends_without_draining(number) { LEAVE } else { HEARTBEAT };
        wake(stage, number, stage.now(), first, 0);
        wake(stage, number, stage.now() + LEAVES_ANYWAY, LEFT, 0);
    }

    /// One is made to fail: of one that was leaving no acknowledgement is due any more.
    pub fn fail(&mut self, number: usize, silent: bool, stage: &mut Stage<'_>) {
        if let Some(leaving) = self.all[number].leaving.take() {
            stage.judge.leaves_no_more(leaving);
        }
        self.crash(number, silent, stage);
    }

    /// One is gone: its connections are reset, or it falls silent.
    fn crash(&mut self, number: usize, silent: bool, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        if live.state == State::Gone {
            return;
        }
        live.state = State::Gone;
        stage.hub.unlisten(live.made.address);
        drop_call(live, stage);
        for run in std::mem::take(&mut live.runs).into_values() {
            stage.judge.executor_broke(&run.attempt);
        }
        live.waiting.clear();
        if silent {
            stage.hub.hosts[live.made.host].powered = false;
        }
        for end in std::mem::take(&mut live.connections).into_keys() {
            if !silent {
                stage.hub.reset(end);
            }
            stage.hub.close(end);
        }
    }

    /// Something can be done at an end.
    pub fn socket(&mut self, number: usize, end: End, stage: &mut Stage<'_>) {
        if self.all[number].call.as_ref().is_some_and(|(call, ..)| call.end == end) {
            return self.call_advances(number, stage);
        }
        let live = &mut self.all[number];
        while let Some(arrived) = stage.hub.accept(live.made.address) {
            if live.connections.len() >= MAX_CONNECTIONS {
                stage.hub.reset(arrived);
                stage.hub.close(arrived);
            } else {
                live.connections.insert(arrived, ServerConnection::default());
            }
        }
        if live.state != State::Gone {
            self.serve(number, end, stage);
        }
    }

    /// A timer.
    pub fn wake(&mut self, number: usize, token: u64, stage: &mut Stage<'_>) {
        let value = token >> 3;
        if self.all[number].state == State::Gone {
            return;
        }
        match token & 7 {
            HEARTBEAT => self.heartbeat(number, stage),
            HEARTBEAT_LATE if self.all[number].calls == value && self.all[number].call.is_some() => {
                self.call_failed(number, stage);
            }
            STEP => self.step(number, value, stage),
            LEAVE => self.deregister(number, stage),
            LEFT => self.leave(number, stage),
            _ => {}
        }
    }
}

/// Some never say that they drain: they send their last call first, and serve on behind it.
fn ends_without_draining(number: usize) -> bool {
    number % 3 == 2
}

fn drop_call(live: &mut Live, stage: &mut Stage<'_>) {
    if let Some((call, ..)) = live.call.take() {
        stage.hub.close(call.end);
    }
}

fn wake(stage: &mut Stage<'_>, number: usize, at: Instant, kind: u64, value: u64) {
    let happening =
        crate::hub::Happening::Wake { owner: Owner::Executor(number), token: kind | (value << 3) };
    stage.hub.schedule(at, happening);
}
