//! Clients: live requests with their retries, and batch jobs from submission to the last read.

use crate::call::{HttpCall, Progress, request};
use crate::content::{self, names};
use crate::hub::{End, Happening, Owner};
use crate::judge::{Judge, Kind, Listed, MadeItem, Rule};
use crate::stage::{Class, Stage};
use base64::Engine;
use grebeusher_time::{Moment, Span};
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use tinyjson::JsonValue;

/// A new connection gets this long to come up.
const CONNECT_WITHIN: Span = Span::millis(1000);
/// Tries of a live request.
const MOST_TRIES: u32 = 3;
/// How long a submission waits for its answer.
const SUBMIT_WITHIN: Span = Span::millis(4000);
/// How long submitting goes on.
const SUBMITS_FOR: Span = Span::millis(8000);
/// A read waits for this longer than it allows to be held.
const READ_MARGIN: Span = Span::millis(1500);
/// Between two reads of a job.
const READ_EVERY: Span = Span::millis(500);

const ARRIVAL: u64 = 0;
const NEW_JOB: u64 = 1;
const EXPIRES: u64 = 2;
const AGAIN: u64 = 3;

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

struct Live {
    zone: usize,
    kind: Kind,
    prefix: String,
    path: String,
    body: Vec<u8>,
    method: &'static str,
    until: Moment,
    tries: u32,
    last_event: u64,
    probe: bool,
    attempt: String,
    host: usize,
    address: SocketAddrV4,
    call: Option<HttpCall>,
    gives_up: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobState {
    Submitting,
    Reading,
    Ending,
    Resting,
    LastRead,
    LastBodies,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobCall {
    Submit,
    Read { from: usize },
    End,
    Body { item: usize },
}

struct Job {
    id: String,
    zone: usize,
    host_name: &'static str,
    prefix: &'static str,
    items: Vec<MadeItem>,
    state: JobState,
    made: Moment,
    accepted: bool,
    position: usize,
    ends_at: Option<Moment>,
    asked: JobCall,
    call: Option<HttpCall>,
    called: Moment,
    host: usize,
    gives_up: Moment,
    last_from: usize,
    bodies: usize,
}

enum Task {
    Live(Box<Live>),
    Job(Box<Job>),
}

/// How much the clients do.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Live requests a second.
    pub live_per_s: f64,
    /// Batch jobs a second.
    pub jobs_per_s: f64,
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
    until: Moment,
    tasks: BTreeMap<u64, Task>,
    ends: BTreeMap<End, u64>,
    idle: Vec<(usize, End, usize, SocketAddrV4)>,
    next: u64,
}

impl Clients {
    /// Clients at places, one for each zone.
    pub fn new(hosts: Vec<usize>, traffic: Traffic, until: Moment) -> Clients {
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
        }
    }

    /// Traffic begins at a moment.
    pub fn begin(&mut self, at: Moment, stage: &mut Stage<'_>) {
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
            _ => {}
        }
    }

    /// The last reads begin: all that was accepted is read from the start, and bodies are asked for.
    pub fn read_all(&mut self, stage: &mut Stage<'_>) {
        let jobs: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| matches!(task, Task::Job(job) if job.accepted))
            .map(|(number, _)| *number)
            .collect();
        for number in jobs {
            let now = stage.now();
            self.drop_call(number, stage);
            if let Some(Task::Job(job)) = self.tasks.get_mut(&number) {
                job.state = JobState::LastRead;
                job.last_from = 0;
                job.made = now;
                wake(stage, now, AGAIN, number);
            }
        }
    }

    /// What could not be read in all the time given.
    pub fn close(&mut self, stage: &mut Stage<'_>) {
        let now = stage.now();
        for task in self.tasks.values() {
            let Task::Job(job) = task else { continue };
            match job.state {
                JobState::LastRead => {
                    stage.judge.job_lost(&job.id, "its results can't be read at the end", now)
                }
                JobState::LastBodies => {
                    stage.judge.job_lost(&job.id, "an item gives no body at the end", now)
                }
                _ => {}
            }
        }
    }

    // --- live requests ---

    fn arrival(&mut self, stage: &mut Stage<'_>) {
        if stage.now() >= self.until {
            return;
        }
        let all = self.traffic.live_per_s * self.times + self.traffic.probes_per_s;
        let probe = stage.hub.random.random_bool(self.traffic.probes_per_s / all);
        let drawn: f64 = stage.hub.random.random_range(1e-9..1.0);
        wake(stage, stage.now() + Span::secs(-drawn.ln() / all), ARRIVAL, 0);
        let number = self.new_number();
        let route = stage.hub.random.random_range(0..LIVE_ROUTES.len());
        let (prefix, kind) = LIVE_ROUTES[route];
        let newest = stage.judge.newest_acknowledged();
        let (prefix, kind) =
            if probe { (format!("/v{newest}/"), Kind::Idempotent) } else { (prefix.to_owned(), kind) };
        let length = stage.hub.random.random_range(0..3000);
        let method = if kind == Kind::Idempotent { "GET" } else { "POST" };
        let body = if method == "GET" { Vec::new() } else { vec![b'a' + (number % 26) as u8; length] };
        let wait = if matches!(kind, Kind::Stream | Kind::Resumable) { 6000 } else { 4000 };
        let live = Live {
            zone: stage.hub.random.random_range(0..self.hosts.len()),
            kind,
            path: format!("{prefix}r{number:x}"),
            prefix,
            body,
            method,
            until: stage.now() + Span::millis(wait),
            tries: 0,
            last_event: 0,
            probe,
            attempt: String::new(),
            host: 0,
            address: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
            call: None,
            gives_up: Moment(0),
        };
        self.tasks.insert(number, Task::Live(Box::new(live)));
        self.send_live(number, stage);
    }

    fn send_live(&mut self, number: u64, stage: &mut Stage<'_>) {
        let Some(Task::Live(live)) = self.tasks.get_mut(&number) else { return };
        let (zone, probe, first) = (live.zone, live.probe, live.tries == 0);
        let Some((host, address)) = pick_node(zone, probe, stage) else {
            return self.try_failed(number, stage);
        };
        let kept = self.idle.iter().position(|(other, _, _, to)| *other == zone && *to == address);
        let kept = kept.filter(|_| first && stage.hub.random.random_bool(0.6));
        let end = match kept.map(|at| self.idle.swap_remove(at)) {
            Some((_, end, ..)) => end,
            None => stage.hub.dial(Owner::Clients, self.hosts[zone], address, 0),
        };
        let now = stage.now();
        let Some(Task::Live(live)) = self.tasks.get_mut(&number) else { return };
        live.tries += 1;
        live.attempt = format!("{:016x}", content::hash(&[&number.to_le_bytes(), &live.tries.to_le_bytes()]));
        (live.host, live.address) = (host, address);
        let left = live.until.since(now).0 / 1_000_000;
        let left_text = left.to_string();
        let tokens = format!("{},80", 100 + number % 900);
        let prefix_parts = format!("{:x}:60,{:x}:30,{number:x}:10", number % 4, 100 + number % 20);
        let event = live.last_event.to_string();
        let mut headers = vec![
            ("Host", LIVE_HOST),
            (names::ATTEMPT_ID, live.attempt.as_str()),
            (names::DEADLINE_MS, left_text.as_str()),
        ];
        if matches!(live.kind, Kind::Stream | Kind::Resumable) {
            headers.push(("X-Grebeusher-Model-Name", "m"));
            headers.push((names::TOKEN_COUNT, tokens.as_str()));
            headers.push((names::PROMPT_PREFIX, prefix_parts.as_str()));
        }
        if live.last_event > 0 {
            headers.push((names::LAST_EVENT_ID, event.as_str()));
        }
        let bytes = request(live.method, &live.path, &headers, &live.body);
        let line = format!("{} {}", live.method, live.path);
        let mut sent = Judge::new_try(live.kind, &line, &live.prefix, &live.body, now, host);
        sent.life = stage.life_of(host);
        stage.judge.try_sent(&live.attempt, sent);
        live.call = Some(HttpCall::new(end, live.method, bytes));
        live.gives_up = live.until.min(now + CONNECT_WITHIN);
        wake(stage, live.gives_up, EXPIRES, number);
        self.ends.insert(end, number);
        self.advance(number, stage);
    }

    fn advance(&mut self, number: u64, stage: &mut Stage<'_>) {
        let call = match self.tasks.get_mut(&number) {
            Some(Task::Live(live)) => live.call.as_mut(),
            Some(Task::Job(job)) => job.call.as_mut(),
            None => None,
        };
        let Some(call) = call else { return };
        let progress = call.advance(stage.hub);
        match (progress, self.tasks.get(&number)) {
            (Progress::Pending, _) => {}
            (_, Some(Task::Live(_))) => self.live_answered(number, progress, stage),
            (_, Some(Task::Job(_))) => self.job_answered(number, progress, stage),
            _ => {}
        }
    }

    fn live_answered(&mut self, number: u64, progress: Progress, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(Task::Live(live)) = self.tasks.get_mut(&number) else { return };
        let Some(call) = live.call.take() else { return };
        self.ends.remove(&call.end);
        if progress == Progress::Done && call.may_stay() && stage.hub.random.random_bool(0.7) {
            self.idle.push((live.zone, call.end, live.host, live.address));
        } else {
            stage.hub.close(call.end);
        }
        if progress == Progress::Garbage {
            stage.judge.breach(Rule::Mixed, now, format!("{} got bytes that are no answer", live.attempt));
        }
        let streamed = matches!(live.kind, Kind::Stream | Kind::Resumable);
        match (call.status, progress) {
            (Some(status), Progress::Done | Progress::Failed) if (200..300).contains(&status) => {
                let whole = progress == Progress::Done;
                let ok = if streamed {
                    check_stream(live, &call, whole, stage)
                } else {
                    whole && check_plain(live, &call, stage)
                };
                if ok {
                    return self.live_over(number, true, stage);
                }
                if !whole && let Some(sent) = call.sent {
                    stage.judge.try_cut(&live.attempt, sent, now, streamed);
                }
            }
            (Some(404), Progress::Done) => {
                stage.judge.unrouted(&live.attempt, now);
                return self.live_over(number, false, stage);
            }
            (Some(status @ (429 | 503 | 408 | 421)), Progress::Done) => {
                stage.judge.try_refused(&live.attempt, status, now);
                let again = stage.hub.random.random_range(50..300);
                return self.retry(number, Span::millis(again), stage);
            }
            (Some(400 | 401 | 413 | 431), Progress::Done) => return self.live_over(number, false, stage),
            (Some(_), Progress::Done) => {}
            _ => {
                if let Some(sent) = call.sent {
                    stage.judge.try_cut(&live.attempt, sent, now, false);
                }
            }
        }
        self.try_failed(number, stage);
    }

    fn try_failed(&mut self, number: u64, stage: &mut Stage<'_>) {
        let Some(Task::Live(live)) = self.tasks.get(&number) else { return };
        match live.kind {
            Kind::Idempotent | Kind::Resumable => self.retry(number, Span::millis(20), stage),
            Kind::Once | Kind::Stream => self.live_over(number, false, stage),
        }
    }

    fn retry(&mut self, number: u64, after: Span, stage: &mut Stage<'_>) {
        let Some(Task::Live(live)) = self.tasks.get(&number) else { return };
        if live.tries >= MOST_TRIES || stage.now() + after + Span::millis(50) >= live.until {
            return self.live_over(number, false, stage);
        }
        wake(stage, stage.now() + after, AGAIN, number);
    }

    fn live_over(&mut self, number: u64, served: bool, stage: &mut Stage<'_>) {
        let now = stage.now();
        if let Some(Task::Live(live)) = self.tasks.remove(&number)
            && !live.probe
        {
            stage.judge.request_over(now, served);
        }
    }

    fn expires(&mut self, number: u64, stage: &mut Stage<'_>) {
        let now = stage.now();
        let (gives_up, end) = match self.tasks.get(&number) {
            Some(Task::Live(live)) => (live.gives_up, live.call.as_ref().map(|call| call.end)),
            Some(Task::Job(job)) => (job.gives_up, job.call.as_ref().map(|call| call.end)),
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
            None => {}
        }
    }

    fn drop_call(&mut self, number: u64, stage: &mut Stage<'_>) {
        let call = match self.tasks.get_mut(&number) {
            Some(Task::Live(live)) => live.call.take(),
            Some(Task::Job(job)) => job.call.take(),
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

    // --- batch jobs ---

    fn new_job(&mut self, stage: &mut Stage<'_>) {
        if stage.now() >= self.until {
            return;
        }
        let drawn: f64 = stage.hub.random.random_range(1e-9..1.0);
        wake(stage, stage.now() + Span::secs(-drawn.ln() / self.traffic.jobs_per_s), NEW_JOB, 0);
        let number = self.new_number();
        let (host_name, prefix) = BULK_ROUTES[stage.hub.random.random_range(0..BULK_ROUTES.len())];
        let count = stage.hub.random.random_range(1..16);
        let id = format!("{:016x}", content::hash(&[b"job", &number.to_le_bytes()]));
        let items: Vec<MadeItem> = (0..count)
            .map(|item: u64| {
                let name =
                    format!("{:016x}", content::hash(&[b"item", &number.to_le_bytes(), &item.to_le_bytes()]));
                let tokens = 100 + stage.hub.random.random_range(0..400);
                MadeItem {
                    id: name,
                    path: format!("{prefix}item-{number:x}-{item}"),
                    body: vec![b'p'; 30 + item as usize],
                    tokens,
                }
            })
            .collect();
        stage.judge.job_made(&id, prefix, &items);
        let now = stage.now();
        let ends = stage.hub.random.random_bool(0.15);
        let ends_after = Span::millis(stage.hub.random.random_range(100..3000));
        let job = Job {
            id,
            zone: stage.hub.random.random_range(0..self.hosts.len()),
            host_name,
            prefix,
            items,
            state: JobState::Submitting,
            made: now,
            accepted: false,
            position: 0,
            ends_at: ends.then(|| now + ends_after),
            asked: JobCall::Submit,
            call: None,
            called: now,
            host: 0,
            gives_up: now,
            last_from: 0,
            bodies: 0,
        };
        self.tasks.insert(number, Task::Job(Box::new(job)));
        self.call_job(number, stage);
    }

    fn call_job(&mut self, number: u64, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(Task::Job(job)) = self.tasks.get_mut(&number) else { return };
        if job.state == JobState::Reading && job.ends_at.is_some_and(|at| now >= at) {
            job.state = JobState::Ending;
            stage.judge.job_end_sent(&job.id, now);
        }
        let picked = pick_node(job.zone, false, stage);
        let asked = match job.state {
            JobState::Submitting => JobCall::Submit,
            JobState::Reading => {
                let earlier = job.position > 0 && stage.hub.random.random_bool(0.2);
                let from =
                    if earlier { stage.hub.random.random_range(0..job.position) } else { job.position };
                JobCall::Read { from }
            }
            JobState::Ending => JobCall::End,
            JobState::LastRead => JobCall::Read { from: job.last_from },
            JobState::LastBodies => JobCall::Body { item: job.bodies },
            JobState::Resting => return,
        };
        let Some((host, address)) = picked else {
            return wake(stage, now + Span::millis(300), AGAIN, number);
        };
        let end = stage.hub.dial(Owner::Clients, self.hosts[job.zone], address, 0);
        let (method, bytes, within) = job_request(job, asked);
        if asked == JobCall::Submit {
            stage.judge.job_tried(&job.id);
        }
        job.asked = asked;
        job.host = host;
        job.called = now;
        job.gives_up = now + within;
        job.call = Some(HttpCall::new(end, method, bytes));
        self.ends.insert(end, number);
        wake(stage, now + within, EXPIRES, number);
        self.advance(number, stage);
    }

    fn job_answered(&mut self, number: u64, progress: Progress, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(Task::Job(job)) = self.tasks.get_mut(&number) else { return };
        let Some(call) = job.call.take() else { return };
        self.ends.remove(&call.end);
        stage.hub.close(call.end);
        let status = call.status.filter(|_| progress == Progress::Done).unwrap_or(0);
        match (job.asked, status) {
            (JobCall::Submit, 202) => {
                job.accepted = true;
                job.state = JobState::Reading;
                stage.judge.job_accepted(&job.id, now);
                self.taken.push(job.host);
                wake(stage, now + READ_EVERY, AGAIN, number);
            }
            (JobCall::Submit, 429 | 503) => {
                stage.judge.job_refused(&job.id);
                self.job_failed(number, stage);
            }
            (JobCall::Read { from }, 200) => {
                if self.page(number, from, &call.body, stage).is_none() {
                    self.job_failed(number, stage);
                }
            }
            (JobCall::Read { .. } | JobCall::Body { .. }, 404 | 410) => {
                let last = matches!(job.state, JobState::LastRead | JobState::LastBodies);
                stage.judge.job_missing(&job.id, job.host, job.called, now, last);
                self.job_failed(number, stage);
            }
            (JobCall::Body { item }, 200) => {
                if call.body != job.items[item].body {
                    let what = format!("the body of item {} is another one", job.items[item].id);
                    stage.judge.breach(Rule::Mixed, now, what);
                }
                job.bodies = item + 1;
                self.next_body(number, stage);
            }
            (JobCall::End, 200) => {
                stage.judge.job_ended(&job.id, job.host, now);
                job.state = JobState::Resting;
            }
            _ => self.job_failed(number, stage),
        }
    }

    fn job_failed(&mut self, number: u64, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(Task::Job(job)) = self.tasks.get_mut(&number) else { return };
        if job.state == JobState::Submitting && now.since(job.made) > SUBMITS_FOR {
            job.state = JobState::Resting;
            return;
        }
        let pause = Span::millis(stage.hub.random.random_range(100..500));
        wake(stage, now + pause, AGAIN, number);
    }

    /// A page of results; `None` if it can't be read.
    fn page(&mut self, number: u64, from: usize, body: &[u8], stage: &mut Stage<'_>) -> Option<()> {
        let now = stage.now();
        let Some(Task::Job(job)) = self.tasks.get_mut(&number) else { return None };
        let Page { total, results } = read_page(body)?;
        stage.judge.page_read(&job.id, from, &results, total, now);
        let reached = from + results.len();
        if job.state == JobState::LastRead {
            job.last_from = reached;
            if results.is_empty() && reached < stage.judge.positions(&job.id) {
                stage.judge.job_lost(&job.id, "a result that had been read is not there", now);
            }
            if results.is_empty() || reached >= total {
                job.state = JobState::LastBodies;
                self.next_body(number, stage);
            } else {
                wake(stage, now, AGAIN, number);
            }
            return Some(());
        }
        job.position = job.position.max(reached);
        if job.position >= total {
            job.state = JobState::Resting;
        } else {
            wake(stage, now + READ_EVERY, AGAIN, number);
        }
        Some(())
    }

    /// Goes on to the next item that is not listed.
    fn next_body(&mut self, number: u64, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(Task::Job(job)) = self.tasks.get_mut(&number) else { return };
        // Items of ended jobs need no body any more.
        while job.bodies < job.items.len() && stage.judge.is_listed(&job.id, &job.items[job.bodies].id) {
            job.bodies += 1;
        }
        if job.bodies >= job.items.len() || job.ends_at.is_some_and(|at| now >= at) || job.bodies > 3 {
            job.state = JobState::Resting;
            return;
        }
        wake(stage, now, AGAIN, number);
    }
}

fn job_request(job: &Job, asked: JobCall) -> (&'static str, Vec<u8>, Span) {
    let host = ("Host", job.host_name);
    match asked {
        JobCall::Submit => {
            let items: Vec<String> = job
                .items
                .iter()
                .map(|MadeItem { id, path, body, tokens }| {
                    let payload = base64::engine::general_purpose::STANDARD.encode(body);
                    format!(
                        "{{\"instance_id\":\"{id}\",\"path\":\"{path}\",\"header_map\":{{\"X-Grebeusher-Model-Name\":\"m\",\"X-Grebeusher-Token-Count\":\"{tokens},40\"}},\"payload\":\"{payload}\",\"token_count\":{tokens}}}"
                    )
                })
                .collect();
            let body = format!("{{\"batch_items\":[{}]}}", items.join(","));
            let headers = [host, (names::ATTEMPT_ID, job.id.as_str()), ("Content-Type", "application/json")];
            let target = format!("{}{}", job.prefix, job.id);
            ("POST", request("POST", &target, &headers, body.as_bytes()), SUBMIT_WITHIN)
        }
        JobCall::Read { from } => {
            let target = format!("/api/lots/{}?resume_after={from}", job.id);
            let holds = job.state == JobState::Reading && from == job.position;
            let hold = if holds { "1000" } else { "0" };
            let within = READ_MARGIN + Span::millis(if holds { 1000 } else { 0 });
            ("GET", request("GET", &target, &[host, (names::HOLD_MS, hold)], b""), within)
        }
        JobCall::End => {
            let target = format!("/api/lots/{}", job.id);
            ("DELETE", request("DELETE", &target, &[host], b""), READ_MARGIN)
        }
        JobCall::Body { item } => {
            let target = format!("/api/items/{}?instance_id={}", job.id, job.items[item].id);
            ("GET", request("GET", &target, &[host], b""), READ_MARGIN)
        }
    }
}

struct Page {
    total: usize,
    results: Vec<Listed>,
}

type Fields = HashMap<String, JsonValue>;

fn read_page(body: &[u8]) -> Option<Page> {
    let value: JsonValue = std::str::from_utf8(body).ok()?.parse().ok()?;
    let fields: &Fields = value.get()?;
    let total: &f64 = fields.get("total")?.get()?;
    let list: &Vec<JsonValue> = fields.get("result_list")?.get()?;
    let mut results = Vec::new();
    for entry in list {
        let entry: &Fields = entry.get()?;
        let text = |name: &str| entry.get(name).and_then(|value| value.get::<String>()).cloned();
        let text_of = text("text").unwrap_or_default();
        results.push(Listed { item: text("instance_id")?, state: text("state")?, text: text_of });
    }
    Some(Page { total: *total as usize, results })
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

fn check_head(live: &Live, call: &HttpCall, stage: &mut Stage<'_>) -> bool {
    let now = stage.now();
    let headers = call.headers.as_ref();
    let seal = headers.and_then(|headers| headers.get(names::SERVER_SEAL));
    let id = headers.and_then(|headers| headers.get(names::ATTEMPT_ID));
    if seal.is_none() {
        stage.judge.breach(Rule::Mixed, now, format!("{} got a success without a seal", live.attempt));
        return false;
    }
    if id != Some(live.attempt.as_str()) {
        stage.judge.breach(Rule::Mixed, now, format!("{} got an answer to {id:?}", live.attempt));
        return false;
    }
    true
}

fn check_plain(live: &Live, call: &HttpCall, stage: &mut Stage<'_>) -> bool {
    if !check_head(live, call, stage) {
        return false;
    }
    let seal = call.headers.as_ref().and_then(|headers| headers.get(names::SERVER_SEAL)).unwrap_or_default();
    let instance = seal.split('.').next().unwrap_or_default();
    if call.body != content::plain_body(&live.attempt, &live.path, instance) {
        let now = stage.now();
        stage.judge.breach(Rule::Mixed, now, format!("{} got another body", live.attempt));
        return false;
    }
    true
}

/// Whether a stream came to its end. What came of it must be right in any case.
fn check_stream(live: &mut Live, call: &HttpCall, whole: bool, stage: &mut Stage<'_>) -> bool {
    if !check_head(live, call, stage) {
        return false;
    }
    let now = stage.now();
    let mut text = String::from_utf8_lossy(&call.body).into_owned();
    if !whole {
        // The last event may have been cut.
        let end = text.rfind("\n\n").map_or(0, |at| at + 2);
        text.truncate(end);
    }
    let mut next = live.last_event + 1;
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let right = format!("id: {next}\ndata: {}", content::event_data(&live.path, next));
        if event != right {
            let what = format!("{}: event {next} was due, {event:?} came", live.attempt);
            stage.judge.breach(Rule::Order, now, what);
            return false;
        }
        next += 1;
    }
    let last = next - 1;
    let count = content::event_count(&live.path);
    if whole && last != count {
        let what = format!("{}: complete after event {last} of {count}", live.attempt);
        stage.judge.breach(Rule::Order, now, what);
    }
    if live.kind == Kind::Resumable {
        live.last_event = last;
    }
    whole || last == count
}

fn wake(stage: &mut Stage<'_>, at: Moment, kind: u64, value: u64) {
    stage.hub.schedule(at, Happening::Wake { owner: Owner::Clients, token: kind | (value << 3) });
}
