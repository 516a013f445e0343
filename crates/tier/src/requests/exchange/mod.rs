//! One client request: its attempts at executors, and the one response that the client gets.
//!
//! An `Exchange` owns the state of one request: its body, its deadline, the attempt in flight and the response so far. Executors
//! are chosen by [`routing`](crate::requests::routing) and called through [`upstream`](crate::requests::upstream); only this
//! module decides what the client gets.
//!
//! `state` defines the exchange, `attempt` the attempt in flight; `messages` builds the bytes of requests and responses.

mod attempt;
mod messages;
mod state;

pub use state::{ClientRequest, Exchange, ExchangeKey, allowed_response_time};

use crate::requests::event_buffer::EventBuffer;
use crate::requests::header_names as names;
use crate::requests::not_executed::promises_not_executed;
use crate::requests::plane::{RequestContext, Requests};
use crate::requests::routing::{Candidate, RouteChoice, RoutingHints};
use crate::requests::upstream::{CallEvent, MAX_UNWRITTEN_BYTES};
use crate::requests::upstream_connection::{CallFailure, CallOwner};
use crate::runtime::timers::Timer;
use attempt::{Attempt, BufferedResponse, failed_outcome};
use grebeusher_configuration::configuration::{Route, RouteType};
use grebeusher_gateway::{AttemptOutcome, Attempts, FinalResponse, RetryDecision, ServerLoad};
use grebeusher_time::{Duration, DurationExt};
use grebeusher_transport::headers::Headers;
use grebeusher_transport::http;
use messages::{buffered_response, executor_request, response_head};
use state::retry_class;
use std::rc::Rc;

/// No attempt is started when no more than this time is left, as it could not finish.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(3);
/// The `Retry-After` of a refusal when routing gives no time, in seconds.
const DEFAULT_RETRY_AFTER_S: &str = "0.2";

impl Requests {
    /// Starts an exchange for a complete request from the connection `client`. `service_point`, a uniform random number from 0 to
    /// below 1, selects the service by the weights of the route.
    pub fn start_exchange(
        &mut self,
        context: &mut RequestContext<'_>,
        client: usize,
        request: ClientRequest,
        route: Rc<Route>,
        service_point: f64,
    ) {
        let now = context.now;
        let headers = &request.head.headers;
        let client_last_event_id =
            headers.get(names::LAST_EVENT_ID).and_then(|text| text.trim().parse().ok());
        let retry_class = retry_class(&route);
        let service = route.pick_service(service_point).as_str().to_owned();
        let serial = context.connections.next_serial();
        let deadline = now + allowed_response_time(headers, &route);
        let exchange = Exchange {
            serial,
            client,
            client_serial: context.connections.serial(client),
            hints: RoutingHints::from_headers(headers),
            request,
            service,
            retry_class,
            accepted_at: now,
            deadline,
            tried_executors: Vec::new(),
            attempts: Attempts::new(retry_class, route.max_attempts),
            current_attempt: None,
            attempts_started: 0,
            streaming: false,
            event_buffer: EventBuffer::after(client_last_event_id),
            client_last_event_id,
            route,
        };
        let index = self.exchanges.insert(exchange);
        self.wait_for_exchange(context, client, index);
        context.alarms.set(deadline, Timer::ExchangeDeadline { exchange: index, serial });
        self.counters.requests += 1;
        self.start_next_attempt(context, index);
    }

    /// Sends the request to the next executor, or ends the exchange if there is none.
    fn start_next_attempt(&mut self, context: &mut RequestContext<'_>, index: usize) {
        loop {
            let now = context.now;
            let Some(exchange) = self.exchanges.get(index) else { return };
            if now + MIN_ATTEMPT_TIME >= exchange.deadline {
                return self.stop_exchange(context, index);
            }
            let candidate = match self.routing.choose(now, &exchange.routing_query()) {
                RouteChoice::Send(candidate) => candidate,
                RouteChoice::Refuse { retry_after } => {
                    return self.refuse_with_retry_after(context, index, retry_after);
                }
            };
            match self.send_attempt(context, index, &candidate) {
                None => return,
                Some(RetryDecision::Finish(response)) => return self.finish(context, index, response, None),
                Some(_) => {}
            }
        }
    }

    /// Starts an attempt at an executor. If it fails at once, returns the decision on what follows.
    fn send_attempt(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        candidate: &Candidate,
    ) -> Option<RetryDecision> {
        let now = context.now;
        let exchange = &mut self.exchanges[index];
        let query = exchange.routing_query();
        let request = self.routing.gateway_request(now, &query);
        let Some(token) = self.routing.gateway.attempt_started(now, candidate.executor, &request) else {
            return Some(exchange.attempts.record_outcome(AttemptOutcome::NeverSent));
        };
        exchange.tried_executors.push(candidate.executor);
        exchange.attempts_started += 1;
        let bytes = executor_request(exchange, &candidate.target, now);
        let attempt_id = exchange.request.head.headers.get(names::ATTEMPT_ID).unwrap_or_default().to_owned();
        let owner = CallOwner::Exchange(ExchangeKey { index, serial: exchange.serial });
        match self.start_call(context, owner, &candidate.target, &attempt_id, &bytes) {
            Ok(connection) => {
                self.exchanges[index].current_attempt = Some(Attempt::new(connection, token, now));
                self.set_response_timeout(context, index);
                None
            }
            Err(failure) => {
                let outcome = failed_outcome(failure, false, false);
                self.routing.gateway.attempt_finished(now, token, outcome);
                Some(self.exchanges[index].attempts.record_outcome(outcome))
            }
        }
    }

    /// Sets the timer of the response timeout, if the request may run more than once.
    fn set_response_timeout(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let exchange = &self.exchanges[index];
        let Some(attempt) =
            exchange.current_attempt.as_ref().filter(|_| exchange.retry_class.may_run_again())
        else {
            return;
        };
        let expires_at = attempt.last_activity + exchange.response_timeout();
        let timer = Timer::ExchangeResponseTimeout {
            exchange: index,
            serial: exchange.serial,
            attempt: exchange.attempts_started,
        };
        context.alarms.set(expires_at, timer);
    }

    /// Handles an event of the call that an exchange has started.
    pub fn handle_call_event(
        &mut self,
        context: &mut RequestContext<'_>,
        key: ExchangeKey,
        event: CallEvent<'_>,
    ) {
        let index = key.index;
        if self.exchanges.get(index).is_none_or(|exchange| exchange.serial != key.serial) {
            return;
        }
        match event {
            CallEvent::Head { status, headers } => {
                self.handle_response_head(context, index, status, headers);
            }
            CallEvent::Data(bytes) => self.handle_response_data(context, index, bytes),
            CallEvent::End => self.handle_response_end(context, index),
            CallEvent::Failed(failure) => self.handle_call_failure(context, index, failure),
        }
    }

    fn handle_response_head(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        status: u16,
        headers: &Headers,
    ) {
        let now = context.now;
        let exchange = &mut self.exchanges[index];
        let Some(attempt) = &mut exchange.current_attempt else { return };
        attempt.status = status;
        attempt.head_received = true;
        attempt.last_activity = now;
        let load = headers.get(names::SERVER_LOAD).and_then(|text| ServerLoad::parse(text).ok());
        self.routing.gateway.response_head_received(now, attempt.token, load);
        if status == 421 {
            attempt.refusal = Some(AttemptOutcome::Misdirected);
            return;
        }
        if headers.get(names::NOT_EXECUTED).is_some() {
            attempt.refusal = Some(AttemptOutcome::NotExecuted);
            return;
        }
        let is_success = (200..300).contains(&status);
        if is_success && headers.get(names::SERVER_SEAL).is_none() {
            // Executors set this header, so some other server has sent the response.
            let connection = attempt.connection;
            self.abort_call(context, connection);
            return self.handle_call_failure(context, index, CallFailure::BeforeHead);
        }
        let mut head = response_head(status, headers);
        if !is_success || exchange.route.route_type != RouteType::Streaming {
            attempt.buffered = Some(BufferedResponse { status, head, body: Vec::new() });
            return;
        }
        if !exchange.streaming {
            exchange.streaming = true;
            let (client, serial) = (exchange.client, exchange.client_serial);
            head += "Transfer-Encoding: chunked\r\n";
            head += self.connection_close_line(context, client);
            head += "\r\n";
            self.write_client(context, client, serial, head.as_bytes());
        }
    }

    fn handle_response_data(&mut self, context: &mut RequestContext<'_>, index: usize, bytes: &[u8]) {
        let now = context.now;
        let exchange = &mut self.exchanges[index];
        let Some(attempt) = &mut exchange.current_attempt else { return };
        if attempt.refusal.is_some() {
            return;
        }
        attempt.last_activity = now;
        self.routing.gateway.event_received(now, attempt.token);
        if let Some(buffered) = &mut attempt.buffered {
            buffered.body.extend_from_slice(bytes);
            return;
        }
        let connection = attempt.connection;
        let mut complete_events = Vec::new();
        exchange.event_buffer.feed(bytes, &mut complete_events);
        let (client, serial) = (exchange.client, exchange.client_serial);
        self.write_client_chunk(context, client, serial, &complete_events);
        // Backpressure: while the client is slow to read, the executor's connection is not read.
        if self.unwritten_bytes(context, client) > MAX_UNWRITTEN_BYTES {
            context.connections.set_paused(connection, true);
            self.note_paused_upstream(context, client, connection);
        }
    }

    fn handle_response_end(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let now = context.now;
        let exchange = &mut self.exchanges[index];
        let Some(attempt) = exchange.current_attempt.take() else { return };
        let outcome = attempt.complete_outcome();
        if outcome == AttemptOutcome::Served && attempt.buffered.is_none() {
            let mut remaining = Vec::new();
            exchange.event_buffer.finish(&mut remaining);
            let (client, serial) = (exchange.client, exchange.client_serial);
            self.write_client_chunk(context, client, serial, &remaining);
        }
        self.routing.gateway.attempt_finished(now, attempt.token, outcome);
        self.retry_or_finish(context, index, outcome, attempt.buffered);
    }

    fn handle_call_failure(&mut self, context: &mut RequestContext<'_>, index: usize, failure: CallFailure) {
        let now = context.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        exchange.event_buffer.discard_partial();
        let Some(attempt) = exchange.current_attempt.take() else { return };
        let outcome = match attempt.refusal {
            Some(refusal) => refusal,
            None => failed_outcome(failure, exchange.streaming, exchange.event_buffer.can_resume()),
        };
        self.routing.gateway.attempt_finished(now, attempt.token, outcome);
        self.retry_or_finish(context, index, outcome, None);
    }

    /// Starts another attempt after one has ended, or sends the client its response.
    fn retry_or_finish(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        outcome: AttemptOutcome,
        buffered: Option<BufferedResponse>,
    ) {
        let exchange = &mut self.exchanges[index];
        match exchange.attempts.record_outcome(outcome) {
            RetryDecision::Finish(response) => self.finish(context, index, response, buffered),
            RetryDecision::Retry | RetryDecision::Resume => self.start_next_attempt(context, index),
        }
    }

    /// Aborts the attempt `attempt_number` if nothing was received from it for the response timeout, so that the request is sent
    /// to another executor. Otherwise sets the timer again.
    pub fn handle_response_timeout(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        serial: u64,
        attempt_number: u32,
    ) {
        let now = context.now;
        let Some(exchange) = self.exchanges.get_mut(index).filter(|exchange| exchange.serial == serial)
        else {
            return;
        };
        if exchange.attempts_started != attempt_number
            || exchange.attempts_started >= exchange.route.max_attempts
        {
            return;
        }
        let Some(attempt) = &exchange.current_attempt else { return };
        if now < attempt.last_activity + exchange.response_timeout() {
            return self.set_response_timeout(context, index);
        }
        let connection = attempt.connection;
        let failure = if attempt.head_received { CallFailure::MidBody } else { CallFailure::BeforeHead };
        self.abort_call(context, connection);
        self.handle_call_failure(context, index, failure);
    }

    /// Ends an exchange whose deadline has passed.
    pub fn handle_exchange_deadline(&mut self, context: &mut RequestContext<'_>, index: usize, serial: u64) {
        if self.exchanges.get(index).is_some_and(|exchange| exchange.serial == serial) {
            self.stop_exchange(context, index);
        }
    }

    /// Makes no further attempts: aborts the attempt in flight, if there is one, as timed out, and sends the client its response.
    pub(crate) fn stop_exchange(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let now = context.now;
        let exchange = &mut self.exchanges[index];
        let response = match exchange.current_attempt.take() {
            Some(attempt) => {
                let decision = exchange.attempts.record_outcome(AttemptOutcome::TimedOut);
                self.routing.gateway.attempt_finished(now, attempt.token, AttemptOutcome::TimedOut);
                self.abort_call(context, attempt.connection);
                if let RetryDecision::Finish(response) = decision {
                    response
                } else {
                    FinalResponse::GatewayTimeout
                }
            }
            None => exchange.attempts.response_without_executor(),
        };
        self.finish(context, index, response, None);
    }

    /// Refuses the request with the time after which the client may retry. If an executor may already have run the request, the
    /// exchange ends with a response that does not promise otherwise.
    fn refuse_with_retry_after(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        retry_after: Duration,
    ) {
        let exchange = &self.exchanges[index];
        if exchange.streaming || exchange.attempts.may_have_run() {
            return self.stop_exchange(context, index);
        }
        let (client, serial) = (exchange.client, exchange.client_serial);
        let seconds = format!("{:.3}", retry_after.seconds());
        self.counters.refused += 1;
        self.write_local_response(
            context,
            client,
            serial,
            http::answer(503, &[("Retry-After", &seconds)], b""),
        );
        self.end_exchange(context, index, true);
    }

    /// Sends the client its response and ends the exchange.
    fn finish(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        response: FinalResponse,
        buffered: Option<BufferedResponse>,
    ) {
        let exchange = &self.exchanges[index];
        let (client, serial) = (exchange.client, exchange.client_serial);
        if exchange.streaming {
            let served = response == FinalResponse::Nothing && buffered.is_none();
            if served {
                self.write_client(context, client, serial, b"0\r\n\r\n");
            } else {
                self.counters.failed += 1;
            }
            return self.end_exchange(context, index, served);
        }
        let may_run_again = exchange.retry_class.may_run_again();
        let bytes = match (response, buffered) {
            // The executor did not state that it has not run the request, but to the client this status would say so.
            (FinalResponse::Relay, Some(buffered))
                if promises_not_executed(buffered.status) && !may_run_again =>
            {
                http::answer(502, &[], b"")
            }
            (FinalResponse::Nothing | FinalResponse::Relay, Some(buffered)) => buffered_response(buffered),
            (FinalResponse::ServiceUnavailable, _) => {
                http::answer(503, &[("Retry-After", DEFAULT_RETRY_AFTER_S)], b"")
            }
            (FinalResponse::GatewayTimeout, _) => http::answer(504, &[], b""),
            (FinalResponse::Abort, _) => return self.end_exchange(context, index, false),
            _ => http::answer(502, &[], b""),
        };
        self.counters.failed += u64::from(!matches!(response, FinalResponse::Nothing | FinalResponse::Relay));
        self.write_local_response(context, client, serial, bytes);
        self.end_exchange(context, index, true);
    }

    /// Removes an exchange. If the client did not get a complete response, its connection is closed.
    fn end_exchange(&mut self, context: &mut RequestContext<'_>, index: usize, response_complete: bool) {
        let exchange = self.exchanges.remove(index);
        self.finish_client_request(context, exchange.client, exchange.client_serial, response_complete);
    }

    /// Drops an exchange whose client has disconnected, and aborts its attempt.
    pub fn abandon_exchange(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let now = context.now;
        let Some(exchange) = self.exchanges.try_remove(index) else { return };
        if let Some(attempt) = exchange.current_attempt {
            self.routing.gateway.attempt_finished(now, attempt.token, AttemptOutcome::ClientGone);
            self.abort_call(context, attempt.connection);
        }
    }
}
