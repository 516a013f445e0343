//! Stand-in executors: batches of slots with a queue, prompts and tokens that take time, heartbeats, drains, and lies.

use crate::call::{HttpCall, LIMITS, Progress, request};
use crate::content::{self, names};
use crate::hub::{End, Owner};
use crate::judge::Arrival;
use crate::stage::{Class, Stage};
use grebeusher_time::{Moment, Span};
use grebeusher_transport::body::{self, BodyReader};
use grebeusher_transport::http::{self, RequestHead};
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// A heartbeat that is not acknowledged by then failed.
const HEARTBEAT_WITHIN: Span = Span::millis(1000);
/// One that leaves serves for this long beyond `drain_timeout_ms`.
const LINGERS: Span = Span::millis(600);
/// One that leaves without an acknowledgement ends after this.
const LEAVES_ANYWAY: Span = Span::millis(6500);
/// Connections from all callers.
const MOST_CONNECTIONS: usize = 220;
/// Kept parts of prompts, in tokens.
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
}

/// What an executor is made of.
#[derive(Clone, Debug)]
pub struct Executor {
    /// Its incarnation.
    pub instance: String,
    /// Its service.
    pub service: String,
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
    connections: BTreeMap<End, ServerConnection>,
    waiting: VecDeque<(End, Moment, Asked)>,
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
}

#[derive(Default)]
struct ServerConnection {
    input: Vec<u8>,
    head: Option<(RequestHead, BodyReader, Vec<u8>)>,
    out: Vec<u8>,
    run: Option<u64>,
    /// A surplus answer is still to come, in the place of the next one.
    owes_surplus: bool,
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
}

/// All executors of a fleet.
#[derive(Default)]
pub struct Executors {
    all: Vec<Live>,
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
        });
        let first = stage.now() + Span::millis(stage.hub.random.random_range(0..1200));
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
        wake(stage, number, stage.now(), HEARTBEAT, 0);
        wake(stage, number, stage.now() + LEAVES_ANYWAY, LEFT, 0);
    }

    /// One crashes: its connections are reset, or it falls silent.
    pub fn crash(&mut self, number: usize, silent: bool, stage: &mut Stage<'_>) {
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
            if live.connections.len() >= MOST_CONNECTIONS {
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

    // --- heartbeats ---

    fn heartbeat(&mut self, number: usize, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        if live.call.is_some() || live.deregistering {
            return;
        }
        live.call_seq += 1;
        let state = if live.state == State::Up { "up" } else { "draining" };
        let made = &live.made;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"config_version\":\"v1\",\"slot_count\":{},\"state\":\"{state}\",\"cold_left_ms\":0,\"call_seq\":{}}}",
            made.service, made.address, made.zone, made.slots, live.call_seq
        );
        let path = format!("/api/Instances.Heartbeat/{}", made.instance);
        self.call(number, &path, &body, false, stage);
    }

    fn deregister(&mut self, number: usize, stage: &mut Stage<'_>) {
        self.all[number].deregistering = true;
        drop_call(&mut self.all[number], stage);
        let path = format!("/api/Instances.Deregister/{}", self.all[number].made.instance);
        self.call(number, &path, "{}", true, stage);
        wake(stage, number, stage.now() + Span::millis(2500), LEFT, 0);
    }

    fn call(&mut self, number: usize, path: &str, body: &str, last: bool, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let to = match live.target {
            Some(target) => target,
            None => {
                let near = stage.hub.random.random_bool(0.7);
                let edges = stage.machines.iter().filter(|m| m.class == Class::Edge && m.listed);
                let edges: Vec<SocketAddrV4> = edges
                    .filter(|m| !near || m.zone == live.made.zone_number)
                    .map(|machine| machine.control())
                    .collect();
                let Some(pick) = edges.get(stage.hub.random.random_range(0..edges.len().max(1))) else {
                    return wake(stage, number, stage.now() + Span::millis(300), HEARTBEAT, 0);
                };
                *pick
            }
        };
        let end = stage.hub.dial(Owner::Executor(number), live.made.host, to, 0);
        let host = to.to_string();
        let headers =
            [("Host", host.as_str()), ("Content-Type", "application/json"), ("Connection", "close")];
        let bytes = request("POST", path, &headers, body.as_bytes());
        live.calls += 1;
        live.call = Some((HttpCall::new(end, "POST", bytes), to, last));
        let calls = live.calls;
        wake(stage, number, stage.now() + HEARTBEAT_WITHIN, HEARTBEAT_LATE, calls);
    }

    fn call_advances(&mut self, number: usize, stage: &mut Stage<'_>) {
        let Some((call, to, last)) = &mut self.all[number].call else { return };
        let (to, last) = (*to, *last);
        match call.advance(stage.hub) {
            Progress::Pending => {}
            Progress::Done if call.status.is_some_and(|status| (200..300).contains(&status)) => {
                let target = heartbeat_target(&call.body);
                let live = &mut self.all[number];
                drop_call(live, stage);
                live.target = target.or(Some(to));
                self.acknowledged(number, to, last, stage);
            }
            _ => self.call_failed(number, stage),
        }
    }

    fn acknowledged(&mut self, number: usize, by: SocketAddrV4, last: bool, stage: &mut Stage<'_>) {
        if last {
            return self.leave(number, stage);
        }
        let live = &mut self.all[number];
        if live.state == State::Draining && !live.acknowledged {
            live.acknowledged = true;
            if let (Some(leaving), Some(host)) = (live.leaving, stage.hub.host_of(*by.ip())) {
                let now = stage.now();
                stage.judge.drain_acknowledged(&live.made.instance, leaving, host, now);
            }
            let serves = stage.judge.bounds.drain + LINGERS;
            return wake(stage, number, stage.now() + serves, LEAVE, 0);
        }
        if live.state == State::Up {
            let jitter = stage.hub.random.random_range(0.9..1.1);
            wake(stage, number, stage.now() + Span::millis(1200) * jitter, HEARTBEAT, 0);
        }
    }

    fn call_failed(&mut self, number: usize, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        drop_call(live, stage);
        live.target = None;
        let pause = Span::millis(stage.hub.random.random_range(20..200));
        let kind = if live.deregistering { LEAVE } else { HEARTBEAT };
        wake(stage, number, stage.now() + pause, kind, 0);
    }

    fn leave(&mut self, number: usize, stage: &mut Stage<'_>) {
        let live = &self.all[number];
        // Without an acknowledgement it ends all the same; with one, only after it has said that it is gone.
        if live.acknowledged && !live.deregistering {
            return;
        }
        self.crash(number, false, stage);
    }

    // --- requests ---

    fn serve(&mut self, number: usize, end: End, stage: &mut Stage<'_>) {
        let Some(connection) = self.all[number].connections.get_mut(&end) else { return };
        flush(connection, end, stage);
        let received = stage.hub.receive(end);
        connection.input.extend_from_slice(&received.bytes);
        while self.next_request(number, end, stage) {}
        if received.ended || received.broken {
            self.connection_over(number, end, stage);
        }
    }

    fn next_request(&mut self, number: usize, end: End, stage: &mut Stage<'_>) -> bool {
        let Some(connection) = self.all[number].connections.get_mut(&end) else { return false };
        if connection.run.is_some() || connection.closes {
            return false;
        }
        if connection.head.is_none() {
            let Ok(Some((head, length))) = http::request_head(&connection.input, &LIMITS) else {
                return false;
            };
            connection.input.drain(..length);
            let Ok(framing) = body::request_framing(&head.headers) else { return false };
            connection.head = Some((head, BodyReader::new(framing), Vec::new()));
        }
        let Some((_, reader, content)) = &mut connection.head else { return false };
        if !reader.is_done() {
            let Ok(consumed) = reader.read_with(&connection.input, |bytes| content.extend_from_slice(bytes))
            else {
                return false;
            };
            connection.input.drain(..consumed);
        }
        if !reader.is_done() {
            return false;
        }
        if let Some((head, _, body)) = connection.head.take() {
            self.asked(number, end, Asked { head, body }, stage);
        }
        true
    }

    fn asked(&mut self, number: usize, end: End, asked: Asked, stage: &mut Stage<'_>) {
        let connection = self.all[number].connections.get_mut(&end);
        if connection.is_some_and(|connection| std::mem::take(&mut connection.owes_surplus)) {
            self.write_surplus(number, end, stage);
        }
        let live = &mut self.all[number];
        let headers = &asked.head.headers;
        let attempt = headers.get(names::ATTEMPT_ID).unwrap_or_default().to_owned();
        let target = headers.get(names::TARGET_INSTANCE);
        let refused = if asked.head.method == "GET" && asked.head.target == "/health" {
            let status = if live.state == State::Up { 200 } else { 503 };
            let bytes =
                http::answer(status, &[("X-Grebeusher-Instance-Id", &live.made.instance.clone())], b"");
            return self.write(number, end, &bytes, stage);
        } else if attempt.is_empty() {
            Some(400)
        } else if target.is_some_and(|target| target != live.made.instance) {
            Some(421)
        } else if live.runs.len() >= live.made.slots && live.waiting.len() >= live.made.queue {
            Some(503)
        } else {
            None
        };
        if let Some(status) = refused {
            let further = [(names::NOT_EXECUTED, "1"), (names::ATTEMPT_ID, attempt.as_str())];
            let bytes = http::answer(status, &further, b"");
            return self.write(number, end, &bytes, stage);
        }
        let now = stage.now();
        if live.runs.len() < live.made.slots {
            self.begin(number, end, now, asked, stage);
        } else {
            live.waiting.push_back((end, now, asked));
        }
    }

    fn begin(&mut self, number: usize, end: End, came: Moment, asked: Asked, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let headers = &asked.head.headers;
        let attempt = headers.get(names::ATTEMPT_ID).unwrap_or_default().to_owned();
        let path = asked.head.target.clone();
        let from = stage.hub.peer_host(end).unwrap_or(usize::MAX);
        let arrival = Arrival {
            at: stage.hub.now,
            came,
            instance: &live.made.instance,
            service: &live.made.service,
            from,
            life: stage.machines.iter().find(|machine| machine.host == from).and_then(|m| m.life),
            line: &format!("{} {path}", asked.head.method),
            attempt: &attempt,
            body: &asked.body,
        };
        stage.judge.runs(&arrival);
        let model = live.made.service.starts_with("model");
        let last_event = headers.get(names::LAST_EVENT_ID).and_then(|text| text.trim().parse().ok());
        let item = path.contains("/item-");
        let takes = if model {
            let prompt = self.prompt_tokens(
                number,
                headers.get(names::TOKEN_COUNT),
                headers.get(names::PROMPT_PREFIX),
            );
            Span::secs(prompt as f64 / TOKENS_A_MS / 1000.0) + Span::millis(2)
        } else {
            let drawn: f64 = stage.hub.random.random_range(0.0..1.0);
            Span::secs(0.003 - 0.02 * (1.0 - drawn).max(1e-6).ln())
        };
        let live = &mut self.all[number];
        let run = live.next_run;
        live.next_run += 1;
        let stream = model.then(|| (last_event.unwrap_or(0) + 1, content::event_count(&path)));
        live.runs.insert(run, Run { end, attempt, path, stream, begun: false, item });
        if let Some(connection) = live.connections.get_mut(&end) {
            connection.run = Some(run);
        }
        wake(stage, number, stage.now() + takes, STEP, run);
    }

    /// Tokens of a prompt that have to be read; its parts are kept afterwards.
    fn prompt_tokens(&mut self, number: usize, count: Option<&str>, prefix: Option<&str>) -> u64 {
        let live = &mut self.all[number];
        let all = count.and_then(|text| text.split(',').next()?.trim().parse().ok()).unwrap_or(200);
        let mut kept = 0;
        let mut whole = true;
        for part in prefix.into_iter().flat_map(|text| text.split(',')) {
            let Some((id, tokens)) = part.split_once(':') else { break };
            let tokens: u64 = tokens.trim().parse().unwrap_or(0);
            let known = live.kept.iter().position(|(other, _)| other == id);
            whole &= known.is_some();
            if whole {
                kept += tokens;
            }
            if let Some(at) = known {
                live.kept.remove(at);
            }
            live.kept.push_back((id.to_owned(), tokens));
        }
        while live.kept.iter().map(|(_, tokens)| tokens).sum::<u64>() > KEPT_TOKENS {
            live.kept.pop_front();
        }
        u64::saturating_sub(all, kept)
    }

    fn step(&mut self, number: usize, run_number: u64, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let active = live.runs.len();
        let lies = live.lies;
        let Some(run) = live.runs.get_mut(&run_number) else { return };
        let (end, path, attempt) = (run.end, run.path.clone(), run.attempt.clone());
        let seal = format!("{}.{run_number}", live.made.instance);
        if run.item && content::is_poisoned(&path) {
            let further = [(names::SERVER_SEAL, seal.as_str()), (names::ATTEMPT_ID, attempt.as_str())];
            let bytes = http::answer(422, &further, b"");
            self.write(number, end, &bytes, stage);
            stage.judge.item_finished(&attempt);
            return self.run_over(number, run_number, stage);
        }
        if stage.hub.random.random_bool(lies.lost) {
            return self.break_off(number, run_number, stage);
        }
        let Some((next, last)) = run.stream else {
            let body = content::plain_body(&attempt, &path, &live.made.instance);
            let load = format!("{active},{},{}", live.waiting.len(), live.made.slots);
            let further = [
                (names::SERVER_SEAL, seal.as_str()),
                (names::ATTEMPT_ID, attempt.as_str()),
                (names::SERVER_LOAD, load.as_str()),
            ];
            let mut bytes = http::answer(200, &further, &body);
            let cut = stage.hub.random.random_bool(lies.cut);
            if cut {
                bytes.truncate(bytes.len() - body.len() / 2);
            }
            self.write(number, end, &bytes, stage);
            if cut {
                return self.break_off(number, run_number, stage);
            }
            return self.plain_done(number, run_number, stage);
        };
        let mut bytes = Vec::new();
        if !run.begun {
            run.begun = true;
            bytes.extend_from_slice(
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}: {attempt}\r\n{}: {seal}\r\nTransfer-Encoding: chunked\r\n\r\n",
                    names::ATTEMPT_ID,
                    names::SERVER_SEAL
                )
                .as_bytes(),
            );
        }
        if next <= last {
            put_chunk(&mut bytes, &content::event_bytes(&path, next));
        }
        run.stream = Some((next + 1, last));
        let done = next >= last;
        let item = run.item;
        if done {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        let cut = stage.hub.random.random_bool(lies.cut / 4.0);
        if cut {
            bytes.truncate(bytes.len() - bytes.len() / 3);
        }
        self.write(number, end, &bytes, stage);
        if cut {
            return self.break_off(number, run_number, stage);
        }
        if done {
            if item {
                stage.judge.item_finished(&attempt);
            }
            return self.run_over(number, run_number, stage);
        }
        let takes = Span::millis(6) * (1.0 + active as f64 * 0.15);
        wake(stage, number, stage.now() + takes, STEP, run_number);
    }

    fn plain_done(&mut self, number: usize, run: u64, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let end = live.runs.get(&run).map(|run| run.end);
        let surplus = stage.hub.random.random_bool(live.lies.surplus);
        if let (true, Some(end)) = (surplus, end) {
            let late = stage.hub.random.random_bool(0.5);
            match live.connections.get_mut(&end) {
                Some(connection) if late => connection.owes_surplus = true,
                _ => self.write_surplus(number, end, stage),
            }
        }
        self.run_over(number, run, stage);
    }

    fn write_surplus(&mut self, number: usize, end: End, stage: &mut Stage<'_>) {
        let seal = format!("{}.surplus", self.all[number].made.instance);
        let further = [(names::SERVER_SEAL, seal.as_str()), (names::ATTEMPT_ID, "nobody")];
        let bytes = http::answer(200, &further, b"bytes of no request");
        self.write(number, end, &bytes, stage);
    }

    fn break_off(&mut self, number: usize, run: u64, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let Some(found) = live.runs.remove(&run) else { return };
        stage.judge.executor_broke(&found.attempt);
        live.connections.remove(&found.end);
        stage.hub.close(found.end);
        self.next_waiting(number, stage);
    }

    fn run_over(&mut self, number: usize, run: u64, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let Some(found) = live.runs.remove(&run) else { return };
        if let Some(connection) = live.connections.get_mut(&found.end) {
            connection.run = None;
        }
        self.next_waiting(number, stage);
        while self.next_request(number, found.end, stage) {}
    }

    fn next_waiting(&mut self, number: usize, stage: &mut Stage<'_>) {
        loop {
            let live = &mut self.all[number];
            if live.runs.len() >= live.made.slots {
                return;
            }
            let Some((end, came, asked)) = live.waiting.pop_front() else { return };
            if live.connections.contains_key(&end) {
                self.begin(number, end, came, asked, stage);
            }
        }
    }

    /// A connection ended: what ran on it is dropped.
    fn connection_over(&mut self, number: usize, end: End, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let Some(connection) = live.connections.remove(&end) else { return };
        stage.hub.close(end);
        live.waiting.retain(|(other, ..)| *other != end);
        if let Some(run) = connection.run {
            live.runs.remove(&run);
            self.next_waiting(number, stage);
        }
    }

    fn write(&mut self, number: usize, end: End, bytes: &[u8], stage: &mut Stage<'_>) {
        if let Some(connection) = self.all[number].connections.get_mut(&end) {
            connection.out.extend_from_slice(bytes);
            flush(connection, end, stage);
        }
    }
}

fn flush(connection: &mut ServerConnection, end: End, stage: &mut Stage<'_>) {
    while !connection.out.is_empty() {
        match stage.hub.write(end, &connection.out) {
            Ok(count) => drop(connection.out.drain(..count)),
            Err(_) => return,
        }
    }
}

fn put_chunk(bytes: &mut Vec<u8>, content: &[u8]) {
    bytes.extend_from_slice(format!("{:x}\r\n", content.len()).as_bytes());
    bytes.extend_from_slice(content);
    bytes.extend_from_slice(b"\r\n");
}

fn drop_call(live: &mut Live, stage: &mut Stage<'_>) {
    if let Some((call, ..)) = live.call.take() {
        stage.hub.close(call.end);
    }
}

fn wake(stage: &mut Stage<'_>, number: usize, at: Moment, kind: u64, value: u64) {
    let happening =
        crate::hub::Happening::Wake { owner: Owner::Executor(number), token: kind | (value << 3) };
    stage.hub.schedule(at, happening);
}

fn heartbeat_target(body: &[u8]) -> Option<SocketAddrV4> {
    let text = std::str::from_utf8(body).ok()?;
    let value: tinyjson::JsonValue = text.parse().ok()?;
    let fields: &std::collections::HashMap<String, tinyjson::JsonValue> = value.get()?;
    let target: &String = fields.get("heartbeat_target")?.get()?;
    target.parse().ok()
}
