//! Stand-in executors: small servers that speak the published protocol. They greet, and they say the words of a body as a
//! stream of events with rising ids, going on after `Last-Event-Id`.

use crate::answer_faults::{AnswerFaults, BrokenAnswer};
use crate::client::{Call, LIMITS, call};
use crate::error::{DemoError, ExecutorSnafu};
use crate::layout::{DRAIN_TIMEOUT_MS, HEARTBEAT_MS, Layout};
use crate::operator::{GREETING_PREFIX, SERVICE};
use grebeusher_transport::http::{self, Request, RequestHead, answer};
use snafu::ResultExt;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tinyjson::JsonValue;

/// Requests that an executor works on at once; it queues none.
pub const SLOTS: usize = 4;
/// Connections that an executor takes from all callers together.
pub const MAX_CONNECTIONS: usize = 64;
/// How long a greeting takes.
const GREETING_TAKES: Duration = Duration::from_millis(15);
/// The pause between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// How often threads look whether they are to end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Idle connections are closed after this; `Keep-Alive` tells so.
const IDLE_S: u64 = 10;
/// An upload with a longer body may be answered before its body is read, in bytes.
const MIN_UPLOAD: usize = 1024 * 1024;
/// A heartbeat is acknowledged within this, or the next node is called.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// What an executor has counted.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests that were run.
    pub run: AtomicU64,
    /// Of these, streams that went on after an earlier event.
    pub resumed: AtomicU64,
    /// Requests that were meant for another executor.
    pub misdirected: AtomicU64,
    /// Requests that were refused because all slots were taken.
    pub refused: AtomicU64,
    /// Requests that came later than a draining executor has to serve them.
    pub late: AtomicU64,
}

struct Shared {
    id: String,
    address: SocketAddrV4,
    zone: &'static str,
    controls: Vec<SocketAddrV4>,
    counts: Counts,
    running: AtomicUsize,
    connections: AtomicUsize,
    accepted: AtomicU64,
    call_seq: AtomicU64,
    draining: AtomicBool,
    drain_asked: Mutex<Option<Instant>>,
    drain_acknowledged: Mutex<Option<Instant>>,
    stop: AtomicBool,
    /// What it does wrong, if anything.
    answer_faults: Option<Arc<AnswerFaults>>,
}

/// A stand-in executor. It ends when it goes out of scope.
pub struct Executor {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Executor {
    /// Starts the executor of a place; it beats to the control addresses.
    ///
    /// # Errors
    /// Its address can't be listened at.
    pub fn start(
        index: usize,
        address: SocketAddrV4,
        controls: Vec<SocketAddrV4>,
    ) -> Result<Executor, DemoError> {
        Executor::with_faults(index, address, controls, None)
    }

    /// As [`Executor::start`]; a share of its answers is wrong.
    ///
    /// # Errors
    /// Its address can't be listened at.
    pub fn with_faults(
        index: usize,
        address: SocketAddrV4,
        controls: Vec<SocketAddrV4>,
        answer_faults: Option<Arc<AnswerFaults>>,
    ) -> Result<Executor, DemoError> {
        let listener = TcpListener::bind(address).context(ExecutorSnafu)?;
        listener.set_nonblocking(true).context(ExecutorSnafu)?;
        let shared = Arc::new(Shared {
            id: format!("executor-{index}"),
            address,
            zone: Layout::executor_zone(index),
            controls,
            counts: Counts::default(),
            running: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            accepted: AtomicU64::new(0),
            answer_faults,
            call_seq: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            drain_asked: Mutex::new(None),
            drain_acknowledged: Mutex::new(None),
            stop: AtomicBool::new(false),
        });
        let (serving, beating) = (shared.clone(), shared.clone());
        let threads = vec![
            std::thread::spawn(move || accept(&listener, &serving)),
            std::thread::spawn(move || beat(&beating, index)),
        ];
        Ok(Executor { shared, threads })
    }

    /// Its instance id.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Where it takes requests.
    pub fn address(&self) -> SocketAddrV4 {
        self.shared.address
    }

    /// What it has counted.
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    /// The connections that it has accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// From now on its heartbeats say `draining`.
    pub fn drain(&self) {
        at(&self.shared.drain_asked).get_or_insert_with(Instant::now);
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// How long ago the tier acknowledged that it drains.
    pub fn drained_for(&self) -> Option<Duration> {
        at(&self.shared.drain_acknowledged).map(|at| at.elapsed())
    }

    /// From the word that it drains to the tier's acknowledgement.
    pub fn acknowledged_after(&self) -> Option<Duration> {
        let (asked, acknowledged) = (*at(&self.shared.drain_asked), *at(&self.shared.drain_acknowledged));
        Some(acknowledged?.saturating_duration_since(asked?))
    }

    /// Says goodbye; whether the tier acknowledged it.
    pub fn deregister(&self) -> bool {
        let target = format!("/api/Instances.Deregister/{}", self.shared.id);
        self.shared.controls.iter().any(|control| tell(*control, &target, "{}").is_some())
    }
}

impl Drop for Executor {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // One that panicked has ended as well.
            let _ = thread.join();
        }
    }
}

/// A moment that threads share.
fn at(moment: &Mutex<Option<Instant>>) -> MutexGuard<'_, Option<Instant>> {
    moment.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Calls a control address; the body of a 2xx.
fn tell(control: SocketAddrV4, target: &str, body: &str) -> Option<Vec<u8>> {
    let headers = vec![("Content-Type", "application/json".to_owned())];
    let told = call(&Call {
        address: control,
        method: "POST",
        target,
        host: "tier",
        headers,
        body: body.as_bytes(),
        within: ACKNOWLEDGEMENT_TIMEOUT,
    });
    told.ok().filter(crate::client::Answer::is_success).map(|answer| answer.body)
}

/// Sends heartbeats until the executor ends: to the node that was named last, or else to the next one.
fn beat(shared: &Shared, index: usize) {
    let mut next = index;
    let mut named = None;
    let mut told_draining = false;
    while !shared.stop.load(Ordering::Relaxed) {
        let began = Instant::now();
        let draining = shared.draining.load(Ordering::Relaxed);
        let control = named.unwrap_or(shared.controls[next % shared.controls.len()]);
        let target = format!("/api/Instances.Heartbeat/{}", shared.id);
        match tell(control, &target, &heartbeat(shared, draining)) {
            Some(body) => {
                named = heartbeat_target(&body);
                if draining {
                    told_draining = true;
                    at(&shared.drain_acknowledged).get_or_insert_with(Instant::now);
                }
            }
            None => {
                named = None;
                next += 1;
            }
        }
        let wake = |shared: &Shared| {
            shared.stop.load(Ordering::Relaxed) || (shared.draining.load(Ordering::Relaxed) && !told_draining)
        };
        while began.elapsed() < Duration::from_millis(HEARTBEAT_MS) && !wake(shared) {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

fn heartbeat(shared: &Shared, draining: bool) -> String {
    let state = if draining { "draining" } else { "up" };
    let call_seq = shared.call_seq.fetch_add(1, Ordering::Relaxed) + 1;
    format!(
        r#"{{"service":"{SERVICE}","address":"{}","zone":"{}","config_version":"demo","slot_count":{SLOTS},"state":"{state}","cold_left_ms":0,"call_seq":{call_seq}}}"#,
        shared.address, shared.zone
    )
}

fn heartbeat_target(body: &[u8]) -> Option<SocketAddrV4> {
    let value: JsonValue = std::str::from_utf8(body).ok()?.parse().ok()?;
    let JsonValue::Object(fields) = value else { return None };
    match fields.get("heartbeat_target")? {
        JsonValue::String(address) => address.parse().ok(),
        _ => None,
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    while !shared.stop.load(Ordering::Relaxed) {
        match listener.accept() {
            // Beyond the bound a connection is closed at once.
            Ok(_) if shared.connections.load(Ordering::Relaxed) >= MAX_CONNECTIONS => {}
            Ok((stream, _)) => {
                shared.connections.fetch_add(1, Ordering::Relaxed);
                shared.accepted.fetch_add(1, Ordering::Relaxed);
                let shared = shared.clone();
                threads.push(std::thread::spawn(move || {
                    // A connection that fails is over; so is its request.
                    let _ = Connection::new(&shared, stream).serve();
                    shared.connections.fetch_sub(1, Ordering::Relaxed);
                }));
            }
            Err(_) => std::thread::sleep(POLL_INTERVAL),
        }
        threads.retain(|thread| !thread.is_finished());
    }
    for thread in threads {
        let _ = thread.join();
    }
}

/// One connection of a caller; it carries one request at a time.
struct Connection<'a> {
    shared: &'a Shared,
    stream: TcpStream,
    bytes: Vec<u8>,
    /// What was sent of the current answer, if answers may be repeated.
    answer: Vec<u8>,
    /// Copies of earlier answers, which precede the next one.
    late_copies: Vec<u8>,
}

impl Connection<'_> {
    fn new(shared: &Shared, stream: TcpStream) -> Connection<'_> {
        Connection { shared, stream, bytes: Vec::new(), answer: Vec::new(), late_copies: Vec::new() }
    }

    fn serve(&mut self) -> io::Result<()> {
        self.stream.set_nonblocking(false)?;
        self.stream.set_nodelay(true)?;
        self.stream.set_read_timeout(Some(Duration::from_millis(50)))?;
        self.stream.set_write_timeout(Some(Duration::from_secs(2)))?;
        while let Some(request) = self.next_request()? {
            self.answer(&request)?;
            self.keep_copy();
            if request.headers.closes || self.shared.draining.load(Ordering::Relaxed) {
                break;
            }
        }
        Ok(())
    }

    /// The next whole request; `None` when the connection is to end.
    fn next_request(&mut self) -> io::Result<Option<Request>> {
        let began = Instant::now();
        let mut has_begun = false;
        loop {
            if !has_begun && let Ok(Some((head, _))) = http::request_head(&self.bytes, &LIMITS) {
                has_begun = true;
                if self.breaks_upload(&head)? {
                    return Ok(None);
                }
            }
            match http::request(&self.bytes, &LIMITS) {
                Ok(Some((request, length))) => {
                    self.bytes.drain(..length);
                    return Ok(Some(request));
                }
                Ok(None) => {}
                Err(http::Malformed(status)) => {
                    self.stream.write_all(&answer(status, &[http::CLOSE], b""))?;
                    return Ok(None);
                }
            }
            let over = began.elapsed() > Duration::from_secs(IDLE_S);
            if over || self.shared.stop.load(Ordering::Relaxed) {
                return Ok(None);
            }
            let mut piece = [0; 16 * 1024];
            match self.stream.read(&mut piece) {
                Ok(0) => return Ok(None),
                Ok(count) => self.bytes.extend_from_slice(&piece[..count]),
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Sends a part of the current answer, after the copies of earlier ones.
    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        let copies = std::mem::take(&mut self.late_copies);
        self.stream.write_all(&copies)?;
        if self.shared.answer_faults.is_some() {
            self.answer.extend_from_slice(bytes);
        }
        self.stream.write_all(bytes)
    }

    /// Keeps a copy of the answer that was just sent, if it is to be sent again.
    fn keep_copy(&mut self) {
        let answer = std::mem::take(&mut self.answer);
        if self.shared.answer_faults.as_ref().is_some_and(|faults| faults.repeats_next()) {
            self.late_copies = answer;
        }
    }

    fn answer(&mut self, request: &Request) -> io::Result<()> {
        let shared = self.shared;
        if request.method == "GET" && request.target == "/health" {
            let status = if shared.draining.load(Ordering::Relaxed) { 503 } else { 200 };
            let headers = [
                ("X-Grebeusher-Instance-Id", shared.id.as_str()),
                ("X-Grebeusher-Server-Load", &load(shared)),
            ];
            return self.send(&answer(status, &headers, b""));
        }
        if request.method == "GET" && request.target == "/api/report" {
            let headers = [("Content-Type", "application/json")];
            return self.send(&answer(200, &headers, report(shared).as_bytes()));
        }
        let Some(attempt) = request.headers.get("X-Grebeusher-Attempt-Id") else {
            return self.refuse(400, "");
        };
        let meant_for = request.headers.get("X-Grebeusher-Target-Instance");
        if meant_for.is_some_and(|id| id != shared.id) {
            shared.counts.misdirected.fetch_add(1, Ordering::Relaxed);
            return self.refuse(421, attempt);
        }
        if shared.running.fetch_add(1, Ordering::Relaxed) >= SLOTS {
            shared.running.fetch_sub(1, Ordering::Relaxed);
            shared.counts.refused.fetch_add(1, Ordering::Relaxed);
            return self.refuse(503, attempt);
        }
        let result = self.run(request, attempt);
        shared.running.fetch_sub(1, Ordering::Relaxed);
        result
    }

    /// Says that the request has not run.
    fn refuse(&mut self, status: u16, attempt: &str) -> io::Result<()> {
        let load = load(self.shared);
        let headers = [
            ("X-Grebeusher-Not-Executed", "1"),
            ("X-Grebeusher-Attempt-Id", attempt),
            ("X-Grebeusher-Server-Load", &load),
        ];
        self.send(&answer(status, &headers, b""))
    }

    fn run(&mut self, request: &Request, attempt: &str) -> io::Result<()> {
        let shared = self.shared;
        let number = shared.counts.run.fetch_add(1, Ordering::Relaxed) + 1;
        if shared.draining.load(Ordering::Relaxed) {
            self.count_late();
        }
        let seal = format!("{}.{number}", shared.id);
        let load = load(shared);
        let keeps = format!("timeout={IDLE_S}");
        let mut headers = vec![
            ("X-Grebeusher-Attempt-Id", attempt),
            ("X-Grebeusher-Server-Seal", &seal),
            ("X-Grebeusher-Server-Load", &load),
            ("Keep-Alive", &keeps),
        ];
        if shared.draining.load(Ordering::Relaxed) {
            headers.push(http::CLOSE);
        }
        if let Some(broken) = shared.answer_faults.as_ref().and_then(|faults| faults.breaks_next()) {
            return self.send_broken(broken, attempt, &seal);
        }
        if shared.answer_faults.as_ref().is_some_and(|faults| faults.fails_next(attempt)) {
            std::thread::sleep(GREETING_TAKES);
            return self.send(&answer(500, &headers, b""));
        }
        let body = String::from_utf8_lossy(&request.body);
        if request.target.starts_with(GREETING_PREFIX) {
            std::thread::sleep(GREETING_TAKES);
            headers.push(("Content-Type", "text/plain"));
            return self.send(&answer(200, &headers, format!("hello, {body}").as_bytes()));
        }
        let last_event = request.headers.get("Last-Event-Id").and_then(|id| id.trim().parse::<usize>().ok());
        if last_event.is_some() {
            shared.counts.resumed.fetch_add(1, Ordering::Relaxed);
        }
        self.stream_words(&headers, &body, last_event.unwrap_or(0))
    }

    /// Whether an upload is answered before it is read, with a part of an answer and a reset.
    fn breaks_upload(&mut self, head: &RequestHead) -> io::Result<bool> {
        let Some(faults) = &self.shared.answer_faults else { return Ok(false) };
        let length = head.headers.get("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
        if length < MIN_UPLOAD || !faults.breaks_upload() {
            return Ok(false);
        }
        let attempt = head.headers.get("X-Grebeusher-Attempt-Id").unwrap_or_default();
        self.send_part_and_reset(attempt, "early")?;
        Ok(true)
    }

    /// Sends a broken answer. The error ends the connection.
    fn send_broken(&mut self, broken: BrokenAnswer, attempt: &str, seal: &str) -> io::Result<()> {
        const REST: &str = "Content-Length: 8\r\n\r\nnot this";
        let own = format!("X-Grebeusher-Attempt-Id: {attempt}\r\nX-Grebeusher-Server-Seal: {seal}\r\n");
        match broken {
            BrokenAnswer::Status(status) => {
                self.stream.write_all(format!("HTTP/1.1 {status} Some\r\n{own}{REST}").as_bytes())?;
            }
            BrokenAnswer::FieldName(byte) => {
                let head = format!("HTTP/1.1 200 OK\r\n{own}{byte}X-Name: value\r\n{REST}");
                self.stream.write_all(head.as_bytes())?;
            }
            BrokenAnswer::Reset => self.send_part_and_reset(attempt, seal)?,
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Sends a part of an answer without a length. The connection is reset when it is closed.
    fn send_part_and_reset(&mut self, attempt: &str, seal: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Grebeusher-Attempt-Id: {attempt}\r\nX-Grebeusher-Server-Seal: {seal}\r\n\r\nhello, "
        );
        self.stream.write_all(head.as_bytes())?;
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// One event for each word of the body, without the first `skipped`.
    fn stream_words(&mut self, headers: &[(&str, &str)], body: &str, skipped: usize) -> io::Result<()> {
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        self.send(head.as_bytes())?;
        for (index, word) in body.split_whitespace().enumerate().skip(skipped) {
            std::thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {}\ndata: {word}\n\n", index + 1);
            self.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        self.send(b"0\r\n\r\n")
    }

    fn count_late(&self) {
        let limit = Duration::from_millis(DRAIN_TIMEOUT_MS);
        if at(&self.shared.drain_acknowledged).is_some_and(|at| at.elapsed() > limit) {
            self.shared.counts.late.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Requests running, requests waiting and slots.
fn load(shared: &Shared) -> String {
    format!("{},0,{SLOTS}", shared.running.load(Ordering::Relaxed).min(SLOTS))
}

fn report(shared: &Shared) -> String {
    format!(
        r#"{{"pipeline_stage":"both","models":[],"utilization":false,"call_seq":{},"queued_count":0,"active_count":{},"kv_used":0,"kv_total":0,"open_handles":{}}}"#,
        shared.call_seq.load(Ordering::Relaxed),
        shared.running.load(Ordering::Relaxed),
        shared.connections.load(Ordering::Relaxed)
    )
}
