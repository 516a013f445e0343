//! One client request on its way: the attempts at executors, and the one answer that the client gets.

use crate::event_cutter::EventCutter;
use crate::header_names as names;
use crate::node::Node;
use crate::promises::is_promise;
use crate::routing::{Candidate, Hints, Question, RouteChoice};
use crate::timers::Timer;
use crate::upstream::{CallLeader, Failure, MAX_UNWRITTEN, Target, UpstreamEvent};
use grebeusher_configuration::configuration::{Route, RouteType};
use grebeusher_gateway::{AttemptToken, Attempts, ExecutorId, FinalAnswer, Kind, Next, Outcome, ServerLoad};
use grebeusher_time::{Duration, DurationExt, Instant};
use grebeusher_transport::headers::Headers;
use grebeusher_transport::http::{self, RequestHead};
use std::rc::Rc;

/// A deadline that the client doesn't name (milliseconds).
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// An attempt with less time than this has no sense.
const MIN_TIME: Duration = Duration::from_millis(3);
/// An idempotent request is sent to another executor after this many objectives without a byte.
const SILENT_OBJECTIVES: f64 = 4.0;
/// It is never accepted for silent sooner than this.
const MIN_SILENCE: Duration = Duration::from_millis(900);
/// A resumable stream that pauses for this many of its aims for pauses goes on at another executor: the client gives it
/// up after eight of them.
const SILENT_PAUSES: f64 = 3.0;
/// A pause is never accepted for silence sooner than this.
const MIN_PAUSE: Duration = Duration::from_millis(700);
/// What a client is told to wait where nothing better is known (seconds).
const RETRY_AFTER_S: &str = "0.2";

/// A request as the client sent it.
pub struct ClientRequest {
    /// Method, target and headers.
    pub head: RequestHead,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The attempt that is pending.
struct Attempt {
    connection: usize,
    flight: AttemptToken,
    status: u16,
    /// When anything last came of it.
    heard: Instant,
    head_seen: bool,
    /// An answer that is held until it is whole.
    held: Option<HeldAnswer>,
    /// The executor says that it did not run the request.
    error: Option<Outcome>,
}

struct HeldAnswer {
    status: u16,
    head: String,
    body: Vec<u8>,
}

/// One exchange of a life of the process: its place, and a serial that no other exchange has, as places are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeKey {
    node: usize,
    serial: u64,
}

/// One client request.
pub struct Exchange {
    serial: u64,
    client: usize,
    client_serial: u64,
    request: ClientRequest,
    hints: Hints,
    route: Rc<Route>,
    service: String,
    kind: Kind,
    accepted: Instant,
    deadline: Instant,
    tried: Vec<ExecutorId>,
    attempts: Attempts,
    attempt: Option<Attempt>,
    /// How many attempts were begun.
    begun: u32,
    /// Whether the head of a stream went to the client.
    streaming: bool,
    cutter: EventCutter,
    client_last_event: Option<u64>,
}

impl Exchange {
    /// What the gateway is asked.
    fn question(&self) -> Question<'_> {
        Question {
            route: &self.route,
            service: &self.service,
            kind: self.kind,
            hints: &self.hints,
            accepted: self.accepted,
            deadline: self.deadline,
            tried: &self.tried,
            committed: self.streaming || self.attempts.may_have_run(),
        }
    }

    /// How long an attempt may be silent before the request goes to another executor.
    fn silence_borne(&self) -> Duration {
        let begun = self.attempt.as_ref().is_some_and(|attempt| attempt.head_seen);
        match self.route.event_gap_target_ms {
            Some(gap_ms) if begun => MIN_PAUSE.max(Duration::from_millis(gap_ms).scaled(SILENT_PAUSES)),
            _ => {
                MIN_SILENCE.max(Duration::from_millis(self.route.target_latency_ms).scaled(SILENT_OBJECTIVES))
            }
        }
    }
}

/// How long a request may take, by its client and its route.
pub fn time_allowed(headers: &Headers, route: &Route) -> Duration {
    let asked_ms = headers.get(names::DEADLINE_MS).and_then(|text| text.trim().parse().ok());
    Duration::from_millis(asked_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms))
}

impl Node {
    /// A whole request has come that its route passes to an executor.
    pub fn begin_exchange(&mut self, client: usize, request: ClientRequest, route: Rc<Route>) {
        let now = self.now;
        let headers = &request.head.headers;
        let client_last_event = headers.get(names::LAST_EVENT_ID).and_then(|text| text.trim().parse().ok());
        let kind = match route.route_type {
            RouteType::Idempotent => Kind::Idempotent,
            RouteType::Streaming if route.resumable => Kind::ResumableStream,
            _ => Kind::NonIdempotent,
        };
        let service = route.pick_service(self.random_point()).as_str().to_owned();
        let serial = self.next_serial();
        let deadline = now + time_allowed(headers, &route);
        let exchange = Exchange {
            serial,
            client,
            client_serial: self.serial(client),
            hints: Hints::of(headers),
            request,
            service,
            kind,
            accepted: now,
            deadline,
            tried: Vec::new(),
            attempts: Attempts::new(kind, route.max_attempts),
            attempt: None,
            begun: 0,
            streaming: false,
            cutter: EventCutter::after(client_last_event),
            client_last_event,
            route,
        };
        let index = self.exchanges.insert(exchange);
        self.client_waits_for(client, index);
        self.alarms.set(deadline, Timer::ExchangeDeadline { exchange: index, serial });
        self.counters.requests += 1;
        self.next_attempt(index);
    }

    /// Sends the request to the next executor, or ends it if there is none.
    fn next_attempt(&mut self, index: usize) {
        loop {
            let now = self.now;
            let Some(exchange) = self.exchanges.get(index) else { return };
            if now + MIN_TIME >= exchange.deadline {
                return self.give_up(index);
            }
            let candidate = match self.routing.choose(now, &exchange.question()) {
                RouteChoice::Send(candidate) => candidate,
                RouteChoice::Refuse { retry_after } => return self.refuse(index, retry_after),
            };
            match self.send_attempt(index, &candidate) {
                None => return,
                Some(Next::Finish(answer)) => return self.finish(index, answer, None),
                Some(_) => {}
            }
        }
    }

    /// Begins an attempt; what follows where it failed at once.
    fn send_attempt(&mut self, index: usize, candidate: &Candidate) -> Option<Next> {
        let now = self.now;
        let exchange = &mut self.exchanges[index];
        let question = exchange.question();
        let request = self.routing.request(now, &question);
        let Some(flight) = self.routing.gateway.started(now, candidate.executor, &request) else {
            return Some(exchange.attempts.ended(Outcome::NeverSent));
        };
        exchange.tried.push(candidate.executor);
        exchange.begun += 1;
        let bytes = executor_request(exchange, &candidate.target, now);
        let attempt_id = exchange.request.head.headers.get(names::ATTEMPT_ID).unwrap_or_default().to_owned();
        let leader = CallLeader::Exchange(ExchangeKey { node: index, serial: exchange.serial });
        match self.start_call(leader, &candidate.target, &attempt_id, &bytes) {
            Ok(connection) => {
                let attempt = Attempt {
                    connection,
                    flight,
                    status: 0,
                    heard: now,
                    head_seen: false,
                    held: None,
                    error: None,
                };
                self.exchanges[index].attempt = Some(attempt);
                self.watch_for_silence(index);
                None
            }
            Err(failure) => {
                let outcome = outcome_of(failure, false, false);
                self.routing.gateway.finished(now, flight, outcome);
                Some(self.exchanges[index].attempts.ended(outcome))
            }
        }
    }

    fn watch_for_silence(&mut self, index: usize) {
        let exchange = &self.exchanges[index];
        let Some(attempt) = exchange.attempt.as_ref().filter(|_| exchange.kind.may_run_again()) else {
            return;
        };
        let silent_at = attempt.heard + exchange.silence_borne();
        let timer =
            Timer::ExchangeSilence { exchange: index, serial: exchange.serial, attempt: exchange.begun };
        self.alarms.set(silent_at, timer);
    }

    /// Something came back from the executor.
    pub fn exchange_event(&mut self, key: ExchangeKey, event: UpstreamEvent<'_>) {
        let index = key.node;
        if self.exchanges.get(index).is_none_or(|exchange| exchange.serial != key.serial) {
            return;
        }
        match event {
            UpstreamEvent::Head { status, headers } => self.attempt_head(index, status, headers),
            UpstreamEvent::Data(bytes) => self.attempt_data(index, bytes),
            UpstreamEvent::End => self.attempt_end(index),
            UpstreamEvent::Failed(failure) => self.attempt_failed(index, failure),
        }
    }

    fn attempt_head(&mut self, index: usize, status: u16, headers: &Headers) {
        let now = self.now;
        let exchange = &mut self.exchanges[index];
        let Some(attempt) = &mut exchange.attempt else { return };
        attempt.status = status;
        attempt.head_seen = true;
        attempt.heard = now;
        let load = headers.get(names::SERVER_LOAD).and_then(|text| ServerLoad::parse(text).ok());
        self.routing.gateway.head(now, attempt.flight, load);
        if status == 421 {
            attempt.error = Some(Outcome::Misdirected);
            return;
        }
        if headers.get(names::NOT_EXECUTED).is_some() {
            attempt.error = Some(Outcome::NotExecuted);
            return;
        }
        let success = (200..300).contains(&status);
        if success && headers.get(names::SERVER_SEAL).is_none() {
            // No executor of ours has said this.
            let connection = attempt.connection;
            self.abort_call(connection);
            return self.attempt_failed(index, Failure::BeforeHead);
        }
        let mut head = answer_head(status, headers);
        if !success || exchange.route.route_type != RouteType::Streaming {
            attempt.held = Some(HeldAnswer { status, head, body: Vec::new() });
            return;
        }
        if !exchange.streaming {
            exchange.streaming = true;
            let (client, serial) = (exchange.client, exchange.client_serial);
            head += "Transfer-Encoding: chunked\r\n";
            head += self.closing_line(client);
            head += "\r\n";
            self.write_client(client, serial, head.as_bytes());
        }
    }

    fn attempt_data(&mut self, index: usize, bytes: &[u8]) {
        let now = self.now;
        let exchange = &mut self.exchanges[index];
        let Some(attempt) = &mut exchange.attempt else { return };
        if attempt.error.is_some() {
            return;
        }
        attempt.heard = now;
        self.routing.gateway.progress(now, attempt.flight);
        if let Some(held) = &mut attempt.held {
            held.body.extend_from_slice(bytes);
            return;
        }
        let connection = attempt.connection;
        let mut whole = Vec::new();
        exchange.cutter.feed(bytes, &mut whole);
        let (client, serial) = (exchange.client, exchange.client_serial);
        self.write_client_chunk(client, serial, &whole);
        // Both ways hold back: what the client doesn't take isn't read from the executor.
        if self.unwritten(client) > MAX_UNWRITTEN {
            self.pause_connection(connection, true);
            self.paused_by_client(client, connection);
        }
    }

    fn attempt_end(&mut self, index: usize) {
        let now = self.now;
        let exchange = &mut self.exchanges[index];
        let Some(attempt) = exchange.attempt.take() else { return };
        let outcome = match attempt.error {
            Some(error) => error,
            None if attempt.status >= 500 => Outcome::AnsweredFailure,
            None if (200..300).contains(&attempt.status) => Outcome::Served,
            None => Outcome::AnsweredOther,
        };
        if outcome == Outcome::Served && attempt.held.is_none() {
            let mut rest = Vec::new();
            exchange.cutter.finish(&mut rest);
            let (client, serial) = (exchange.client, exchange.client_serial);
            self.write_client_chunk(client, serial, &rest);
        }
        self.routing.gateway.finished(now, attempt.flight, outcome);
        self.after_attempt(index, outcome, attempt.held);
    }

    fn attempt_failed(&mut self, index: usize, failure: Failure) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        exchange.cutter.discard_partial();
        let Some(attempt) = exchange.attempt.take() else { return };
        let outcome = match attempt.error {
            Some(error) => error,
            None => outcome_of(failure, exchange.streaming, exchange.cutter.can_resume()),
        };
        self.routing.gateway.finished(now, attempt.flight, outcome);
        self.after_attempt(index, outcome, None);
    }

    /// An attempt is over: another one follows, or the answer.
    fn after_attempt(&mut self, index: usize, outcome: Outcome, held: Option<HeldAnswer>) {
        let exchange = &mut self.exchanges[index];
        match exchange.attempts.ended(outcome) {
            Next::Finish(answer) => self.finish(index, answer, held),
            Next::Retry | Next::Resume => self.next_attempt(index),
        }
    }

    /// Looks whether an attempt has been silent for too long: an idempotent request then goes to another executor.
    pub fn exchange_silent(&mut self, index: usize, serial: u64, attempt_number: u32) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index).filter(|e| e.serial == serial) else { return };
        if exchange.begun != attempt_number || exchange.begun >= exchange.route.max_attempts {
            return;
        }
        let Some(attempt) = &exchange.attempt else { return };
        if now < attempt.heard + exchange.silence_borne() {
            return self.watch_for_silence(index);
        }
        let connection = attempt.connection;
        let failure = if attempt.head_seen { Failure::MidBody } else { Failure::BeforeHead };
        self.abort_call(connection);
        self.attempt_failed(index, failure);
    }

    /// The time of the client or of the route is over.
    pub fn exchange_expired(&mut self, index: usize, serial: u64) {
        if self.exchanges.get(index).is_some_and(|exchange| exchange.serial == serial) {
            self.give_up(index);
        }
    }

    /// The last answer to a request whose time is over.
    pub(crate) fn give_up(&mut self, index: usize) {
        let now = self.now;
        let exchange = &mut self.exchanges[index];
        let answer = match exchange.attempt.take() {
            Some(attempt) => {
                let next = exchange.attempts.ended(Outcome::TimedOut);
                self.routing.gateway.finished(now, attempt.flight, Outcome::TimedOut);
                self.abort_call(attempt.connection);
                if let Next::Finish(answer) = next { answer } else { FinalAnswer::GatewayTimeout }
            }
            None => exchange.attempts.nobody(),
        };
        self.finish(index, answer, None);
    }

    fn refuse(&mut self, index: usize, retry_after: Duration) {
        let exchange = &self.exchanges[index];
        if exchange.streaming || exchange.attempts.may_have_run() {
            return self.give_up(index);
        }
        let (client, serial) = (exchange.client, exchange.client_serial);
        let seconds = format!("{:.3}", retry_after.seconds());
        self.counters.refused += 1;
        self.write_own_answer(client, serial, http::answer(503, &[("Retry-After", &seconds)], b""));
        self.end_exchange(index, true);
    }

    /// Gives the client its answer, and ends the exchange.
    fn finish(&mut self, index: usize, answer: FinalAnswer, held: Option<HeldAnswer>) {
        let exchange = &self.exchanges[index];
        let (client, serial) = (exchange.client, exchange.client_serial);
        if exchange.streaming {
            let served = answer == FinalAnswer::Nothing && held.is_none();
            if served {
                self.write_client(client, serial, b"0\r\n\r\n");
            } else {
                self.counters.failed += 1;
            }
            return self.end_exchange(index, served);
        }
        let may_run_again = exchange.kind.may_run_again();
        let bytes = match (answer, held) {
            // The executor did not say that it has not run the request, and the client would take the status for that.
            (FinalAnswer::Relay, Some(held)) if is_promise(held.status) && !may_run_again => {
                http::answer(502, &[], b"")
            }
            (FinalAnswer::Nothing | FinalAnswer::Relay, Some(held)) => held_answer(held),
            (FinalAnswer::Refused, _) => http::answer(503, &[("Retry-After", RETRY_AFTER_S)], b""),
            (FinalAnswer::GatewayTimeout, _) => http::answer(504, &[], b""),
            (FinalAnswer::Cut, _) => return self.end_exchange(index, false),
            _ => http::answer(502, &[], b""),
        };
        self.counters.failed += u64::from(!matches!(answer, FinalAnswer::Nothing | FinalAnswer::Relay));
        self.write_own_answer(client, serial, bytes);
        self.end_exchange(index, true);
    }

    /// The exchange is over; `whole`: the client has a complete answer, else its connection is cut.
    fn end_exchange(&mut self, index: usize, whole: bool) {
        let exchange = self.exchanges.remove(index);
        self.client_answered(exchange.client, exchange.client_serial, whole);
    }

    /// The client is gone: nothing more is done for it.
    pub fn abandon_exchange(&mut self, index: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.try_remove(index) else { return };
        if let Some(attempt) = exchange.attempt {
            self.routing.gateway.finished(now, attempt.flight, Outcome::ClientGone);
            self.abort_call(attempt.connection);
        }
    }

    /// How many requests are pending.
    pub fn exchange_count(&self) -> usize {
        self.exchanges.len()
    }
}

/// How an attempt ended whose connection failed.
fn outcome_of(failure: Failure, streaming: bool, can_resume: bool) -> Outcome {
    match failure {
        Failure::NeverSent => Outcome::NeverSent,
        Failure::BeforeHead if streaming && can_resume => Outcome::BrokenMidStream,
        Failure::BeforeHead if streaming => Outcome::BrokenMidBody,
        Failure::BeforeHead => Outcome::BrokenBeforeHead,
        Failure::MidBody if streaming && can_resume => Outcome::BrokenMidStream,
        Failure::MidBody if streaming => Outcome::BrokenMidBody,
        Failure::MidBody => Outcome::BrokenBeforeRelay,
    }
}

/// The request as an executor gets it.
fn executor_request(exchange: &Exchange, target: &Target, now: Instant) -> Vec<u8> {
    const OWN: [&str; 3] = [names::DEADLINE_MS, names::TARGET_INSTANCE, names::LAST_EVENT_ID];
    let head = &exchange.request.head;
    let left_ms = (exchange.deadline.since(now).nanos() / 1_000_000).max(1);
    let mut text = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
    text += &head.headers.passed_on(&OWN);
    text += &format!("{}: {left_ms}\r\n", names::DEADLINE_MS);
    text += &format!("{}: {}\r\n", names::TARGET_INSTANCE, target.instance);
    let last_event = if exchange.streaming { exchange.cutter.last_id() } else { exchange.client_last_event };
    if let Some(id) = last_event {
        text += &format!("{}: {id}\r\n", names::LAST_EVENT_ID);
    }
    text += &format!("Content-Length: {}\r\n\r\n", exchange.request.body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&exchange.request.body);
    bytes
}

/// The head of an answer as the client gets it, without its framing and the empty line.
fn answer_head(status: u16, headers: &Headers) -> String {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", http::reason(status));
    text += &headers.passed_on(&[]);
    text
}

fn held_answer(held: HeldAnswer) -> Vec<u8> {
    let mut head = held.head;
    head += &format!("Content-Length: {}\r\n\r\n", held.body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&held.body);
    bytes
}
