//! One client request on its way: the attempts at executors, and the one answer that the client gets.
//!
//! An `Exchange` owns what is known of one request: its body, its deadline, the attempt in flight and the answer so far. It asks
//! [`routing`](crate::requests::routing) for executors and [`upstream`](crate::requests::upstream) for connections; only
//! this module decides what the client gets.
//!
//! `state` is the exchange itself, `attempt` the one in flight, `messages` the bytes of both sides.

mod attempt;
mod messages;
mod state;

pub use state::{ClientRequest, Exchange, ExchangeKey, time_allowed};

use crate::requests::event_buffer::EventBuffer;
use crate::requests::header_names as names;
use crate::requests::not_executed::promises_not_executed;
use crate::requests::plane::{RequestContext, Requests};
use crate::requests::routing::{Candidate, Hints, RouteChoice};
use crate::requests::upstream::{MAX_UNWRITTEN, UpstreamEvent};
use crate::requests::upstream_connection::{Failure, UpstreamUser};
use crate::runtime::timers::Timer;
use attempt::{Attempt, BufferedAnswer, outcome_of};
use grebeusher_configuration::configuration::{Route, RouteType};
use grebeusher_gateway::{AttemptOutcome, Attempts, FinalResponse, RetryDecision, ServerLoad};
use grebeusher_time::{Duration, DurationExt};
use grebeusher_transport::headers::Headers;
use grebeusher_transport::http;
use messages::{answer_head, buffered_answer, executor_request};
use state::retry_class;
use std::rc::Rc;

/// An attempt with less time than this has no sense.
const MIN_TIME: Duration = Duration::from_millis(3);
/// What a client is told to wait where nothing better is known (seconds).
const RETRY_AFTER_S: &str = "0.2";

impl Requests {
    /// A complete request has come that its route passes to an executor. `service_point`, drawn evenly from 0 to below 1, picks
    /// the service by the route's weights.
    pub fn begin_exchange(
        &mut self,
        context: &mut RequestContext<'_>,
        client: usize,
        request: ClientRequest,
        route: Rc<Route>,
        service_point: f64,
    ) {
        let now = context.now;
        let headers = &request.head.headers;
        let client_last_event = headers.get(names::LAST_EVENT_ID).and_then(|text| text.trim().parse().ok());
        let retry_class = retry_class(&route);
        let service = route.pick_service(service_point).as_str().to_owned();
        let serial = context.connections.next_serial();
        let deadline = now + time_allowed(headers, &route);
        let exchange = Exchange {
            serial,
            client,
            client_serial: context.connections.serial(client),
            hints: Hints::of(headers),
            request,
            service,
            retry_class,
            accepted: now,
            deadline,
            tried: Vec::new(),
            attempts: Attempts::new(retry_class, route.max_attempts),
            attempt: None,
            begun: 0,
            streaming: false,
            events: EventBuffer::after(client_last_event),
            client_last_event,
            route,
        };
        let index = self.exchanges.insert(exchange);
        self.client_waits_for(context, client, index);
        context.alarms.set(deadline, Timer::ExchangeDeadline { exchange: index, serial });
        self.counters.requests += 1;
        self.next_attempt(context, index);
    }

    /// Sends the request to the next executor, or ends it if there is none.
    fn next_attempt(&mut self, context: &mut RequestContext<'_>, index: usize) {
        loop {
            let now = context.now;
            let Some(exchange) = self.exchanges.get(index) else { return };
            if now + MIN_TIME >= exchange.deadline {
                return self.give_up(context, index);
            }
            let candidate = match self.routing.choose(now, &exchange.question()) {
                RouteChoice::Send(candidate) => candidate,
                RouteChoice::Refuse { retry_after } => return self.refuse(context, index, retry_after),
            };
            match self.send_attempt(context, index, &candidate) {
                None => return,
                Some(RetryDecision::Finish(answer)) => return self.finish(context, index, answer, None),
                Some(_) => {}
            }
        }
    }

    /// Begins an attempt; what follows where it failed at once.
    fn send_attempt(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        candidate: &Candidate,
    ) -> Option<RetryDecision> {
        let now = context.now;
        let exchange = &mut self.exchanges[index];
        let question = exchange.question();
        let request = self.routing.request(now, &question);
        let Some(flight) = self.routing.gateway.attempt_started(now, candidate.executor, &request) else {
            return Some(exchange.attempts.ended(AttemptOutcome::NeverSent));
        };
        exchange.tried.push(candidate.executor);
        exchange.begun += 1;
        let bytes = executor_request(exchange, &candidate.target, now);
        let attempt_id = exchange.request.head.headers.get(names::ATTEMPT_ID).unwrap_or_default().to_owned();
        let user = UpstreamUser::Exchange(ExchangeKey { index, serial: exchange.serial });
        match self.start_call(context, user, &candidate.target, &attempt_id, &bytes) {
            Ok(connection) => {
                self.exchanges[index].attempt = Some(Attempt::sent(connection, flight, now));
                self.set_response_timeout(context, index);
                None
            }
            Err(failure) => {
                let outcome = outcome_of(failure, false, false);
                self.routing.gateway.attempt_finished(now, flight, outcome);
                Some(self.exchanges[index].attempts.ended(outcome))
            }
        }
    }

    fn set_response_timeout(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let exchange = &self.exchanges[index];
        let Some(attempt) = exchange.attempt.as_ref().filter(|_| exchange.retry_class.may_run_again()) else {
            return;
        };
        let silent_at = attempt.last_activity + exchange.response_timeout();
        let timer = Timer::ExchangeResponseTimeout {
            exchange: index,
            serial: exchange.serial,
            attempt: exchange.begun,
        };
        context.alarms.set(silent_at, timer);
    }

    /// Something came back from the executor.
    pub fn exchange_event(
        &mut self,
        context: &mut RequestContext<'_>,
        key: ExchangeKey,
        event: UpstreamEvent<'_>,
    ) {
        let index = key.index;
        if self.exchanges.get(index).is_none_or(|exchange| exchange.serial != key.serial) {
            return;
        }
        match event {
            UpstreamEvent::Head { status, headers } => self.attempt_head(context, index, status, headers),
            UpstreamEvent::Data(bytes) => self.attempt_data(context, index, bytes),
            UpstreamEvent::End => self.attempt_end(context, index),
            UpstreamEvent::Failed(failure) => self.attempt_failed(context, index, failure),
        }
    }

    fn attempt_head(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        status: u16,
        headers: &Headers,
    ) {
        let now = context.now;
        let exchange = &mut self.exchanges[index];
        let Some(attempt) = &mut exchange.attempt else { return };
        attempt.status = status;
        attempt.head_seen = true;
        attempt.last_activity = now;
        let load = headers.get(names::SERVER_LOAD).and_then(|text| ServerLoad::parse(text).ok());
        self.routing.gateway.response_head(now, attempt.flight, load);
        if status == 421 {
            attempt.refusal = Some(AttemptOutcome::Misdirected);
            return;
        }
        if headers.get(names::NOT_EXECUTED).is_some() {
            attempt.refusal = Some(AttemptOutcome::NotExecuted);
            return;
        }
        let success = (200..300).contains(&status);
        if success && headers.get(names::SERVER_SEAL).is_none() {
            // No executor of ours has said this.
            let connection = attempt.connection;
            self.abort_call(context, connection);
            return self.attempt_failed(context, index, Failure::BeforeHead);
        }
        let mut head = answer_head(status, headers);
        if !success || exchange.route.route_type != RouteType::Streaming {
            attempt.buffered = Some(BufferedAnswer { status, head, body: Vec::new() });
            return;
        }
        if !exchange.streaming {
            exchange.streaming = true;
            let (client, serial) = (exchange.client, exchange.client_serial);
            head += "Transfer-Encoding: chunked\r\n";
            head += self.closing_line(context, client);
            head += "\r\n";
            self.write_client(context, client, serial, head.as_bytes());
        }
    }

    fn attempt_data(&mut self, context: &mut RequestContext<'_>, index: usize, bytes: &[u8]) {
        let now = context.now;
        let exchange = &mut self.exchanges[index];
        let Some(attempt) = &mut exchange.attempt else { return };
        if attempt.refusal.is_some() {
            return;
        }
        attempt.last_activity = now;
        self.routing.gateway.event_received(now, attempt.flight);
        if let Some(buffered) = &mut attempt.buffered {
            buffered.body.extend_from_slice(bytes);
            return;
        }
        let connection = attempt.connection;
        let mut complete = Vec::new();
        exchange.events.feed(bytes, &mut complete);
        let (client, serial) = (exchange.client, exchange.client_serial);
        self.write_client_chunk(context, client, serial, &complete);
        // Both ways hold back: what the client doesn't take isn't read from the executor.
        if self.unwritten(context, client) > MAX_UNWRITTEN {
            context.connections.set_paused(connection, true);
            self.paused_by_client(context, client, connection);
        }
    }

    fn attempt_end(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let now = context.now;
        let exchange = &mut self.exchanges[index];
        let Some(attempt) = exchange.attempt.take() else { return };
        let outcome = attempt.outcome();
        if outcome == AttemptOutcome::Served && attempt.buffered.is_none() {
            let mut rest = Vec::new();
            exchange.events.finish(&mut rest);
            let (client, serial) = (exchange.client, exchange.client_serial);
            self.write_client_chunk(context, client, serial, &rest);
        }
        self.routing.gateway.attempt_finished(now, attempt.flight, outcome);
        self.after_attempt(context, index, outcome, attempt.buffered);
    }

    fn attempt_failed(&mut self, context: &mut RequestContext<'_>, index: usize, failure: Failure) {
        let now = context.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        exchange.events.discard_partial();
        let Some(attempt) = exchange.attempt.take() else { return };
        let outcome = match attempt.refusal {
            Some(refusal) => refusal,
            None => outcome_of(failure, exchange.streaming, exchange.events.can_resume()),
        };
        self.routing.gateway.attempt_finished(now, attempt.flight, outcome);
        self.after_attempt(context, index, outcome, None);
    }

    /// An attempt is over: another one follows, or the answer.
    fn after_attempt(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        outcome: AttemptOutcome,
        buffered: Option<BufferedAnswer>,
    ) {
        let exchange = &mut self.exchanges[index];
        match exchange.attempts.ended(outcome) {
            RetryDecision::Finish(answer) => self.finish(context, index, answer, buffered),
            RetryDecision::Retry | RetryDecision::Resume => self.next_attempt(context, index),
        }
    }

    /// Looks whether an attempt has been silent for too long: an idempotent request then goes to another executor.
    pub fn exchange_response_timeout(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        serial: u64,
        attempt_number: u32,
    ) {
        let now = context.now;
        let Some(exchange) = self.exchanges.get_mut(index).filter(|e| e.serial == serial) else { return };
        if exchange.begun != attempt_number || exchange.begun >= exchange.route.max_attempts {
            return;
        }
        let Some(attempt) = &exchange.attempt else { return };
        if now < attempt.last_activity + exchange.response_timeout() {
            return self.set_response_timeout(context, index);
        }
        let connection = attempt.connection;
        let failure = if attempt.head_seen { Failure::MidBody } else { Failure::BeforeHead };
        self.abort_call(context, connection);
        self.attempt_failed(context, index, failure);
    }

    /// The time of the client or of the route is over.
    pub fn exchange_expired(&mut self, context: &mut RequestContext<'_>, index: usize, serial: u64) {
        if self.exchanges.get(index).is_some_and(|exchange| exchange.serial == serial) {
            self.give_up(context, index);
        }
    }

    /// The last answer to a request whose time is over.
    pub(crate) fn give_up(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let now = context.now;
        let exchange = &mut self.exchanges[index];
        let answer = match exchange.attempt.take() {
            Some(attempt) => {
                let next = exchange.attempts.ended(AttemptOutcome::TimedOut);
                self.routing.gateway.attempt_finished(now, attempt.flight, AttemptOutcome::TimedOut);
                self.abort_call(context, attempt.connection);
                if let RetryDecision::Finish(answer) = next { answer } else { FinalResponse::GatewayTimeout }
            }
            None => exchange.attempts.without_executor(),
        };
        self.finish(context, index, answer, None);
    }

    fn refuse(&mut self, context: &mut RequestContext<'_>, index: usize, retry_after: Duration) {
        let exchange = &self.exchanges[index];
        if exchange.streaming || exchange.attempts.may_have_run() {
            return self.give_up(context, index);
        }
        let (client, serial) = (exchange.client, exchange.client_serial);
        let seconds = format!("{:.3}", retry_after.seconds());
        self.counters.refused += 1;
        self.write_own_answer(context, client, serial, http::answer(503, &[("Retry-After", &seconds)], b""));
        self.end_exchange(context, index, true);
    }

    /// Gives the client its answer, and ends the exchange.
    fn finish(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        answer: FinalResponse,
        buffered: Option<BufferedAnswer>,
    ) {
        let exchange = &self.exchanges[index];
        let (client, serial) = (exchange.client, exchange.client_serial);
        if exchange.streaming {
            let served = answer == FinalResponse::Nothing && buffered.is_none();
            if served {
                self.write_client(context, client, serial, b"0\r\n\r\n");
            } else {
                self.counters.failed += 1;
            }
            return self.end_exchange(context, index, served);
        }
        let may_run_again = exchange.retry_class.may_run_again();
        let bytes = match (answer, buffered) {
            // The executor did not say that it has not run the request, and the client would take the status for that.
            (FinalResponse::Relay, Some(buffered))
                if promises_not_executed(buffered.status) && !may_run_again =>
            {
                http::answer(502, &[], b"")
            }
            (FinalResponse::Nothing | FinalResponse::Relay, Some(buffered)) => buffered_answer(buffered),
            (FinalResponse::ServiceUnavailable, _) => {
                http::answer(503, &[("Retry-After", RETRY_AFTER_S)], b"")
            }
            (FinalResponse::GatewayTimeout, _) => http::answer(504, &[], b""),
            (FinalResponse::Abort, _) => return self.end_exchange(context, index, false),
            _ => http::answer(502, &[], b""),
        };
        self.counters.failed += u64::from(!matches!(answer, FinalResponse::Nothing | FinalResponse::Relay));
        self.write_own_answer(context, client, serial, bytes);
        self.end_exchange(context, index, true);
    }

    /// The exchange is over; `complete`: the client has a complete answer, else its connection is cut.
    fn end_exchange(&mut self, context: &mut RequestContext<'_>, index: usize, complete: bool) {
        let exchange = self.exchanges.remove(index);
        self.client_answered(context, exchange.client, exchange.client_serial, complete);
    }

    /// The client is gone: nothing more is done for it.
    pub fn abandon_exchange(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let now = context.now;
        let Some(exchange) = self.exchanges.try_remove(index) else { return };
        if let Some(attempt) = exchange.attempt {
            self.routing.gateway.attempt_finished(now, attempt.flight, AttemptOutcome::ClientGone);
            self.abort_call(context, attempt.connection);
        }
    }
}
