//! The state of one exchange and its time limits.

use super::attempt::Attempt;
use crate::requests::event_buffer::EventBuffer;
use crate::requests::header_names as names;
use crate::requests::routing::{RoutingHints, RoutingQuery};
use grebeusher_configuration::configuration::{Route, RouteType};
use grebeusher_gateway::{Attempts, ExecutorId, RetryClass};
use grebeusher_time::{Duration, DurationExt, Instant};
use grebeusher_transport::headers::Headers;
use grebeusher_transport::http::RequestHead;
use std::rc::Rc;

/// The deadline of a request whose client sets none, in milliseconds after its receipt.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// An idempotent request is sent to another executor if nothing was received for this many times the route's target latency.
const RESPONSE_TIMEOUT_TARGETS: f64 = 4.0;
/// The shortest response timeout.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// A resumable stream that has begun is resumed at another executor if nothing was received for this many times the route's
/// target for the gap between events. The client gives the stream up after eight times that target.
const EVENT_TIMEOUT_GAPS: f64 = 3.0;
/// The shortest timeout between the events of a stream.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(700);

/// A request as the client sent it.
pub struct ClientRequest {
    /// The method, the target and the headers.
    pub head: RequestHead,
    /// The complete body, without its transfer encoding.
    pub body: Vec<u8>,
}

/// Identifies an exchange while the process runs: its index, and a serial number that is never used again, as indices are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeKey {
    pub(super) index: usize,
    pub(super) serial: u64,
}

/// A client request that is in flight.
pub struct Exchange {
    /// The serial number, which no other exchange of the process has.
    pub(super) serial: u64,
    /// The index of the client's connection.
    pub(super) client: usize,
    /// The serial number of the client's connection.
    pub(super) client_serial: u64,
    pub(super) request: ClientRequest,
    pub(super) hints: RoutingHints,
    pub(super) route: Rc<Route>,
    /// The service that was drawn by the weights of the route.
    pub(super) service: String,
    pub(super) retry_class: RetryClass,
    pub(super) accepted_at: Instant,
    /// When the time for the response is over.
    pub(super) deadline: Instant,
    /// The executors that already got an attempt.
    pub(super) tried_executors: Vec<ExecutorId>,
    /// The outcomes of the attempts so far, by which the gateway decides whether another attempt follows.
    pub(super) attempts: Attempts,
    /// The attempt in flight.
    pub(super) current_attempt: Option<Attempt>,
    /// The number of attempts that were started.
    pub(super) attempts_started: u32,
    /// Whether the head of a streamed response was written to the client.
    pub(super) streaming: bool,
    /// The part of a streamed response that is not yet a complete event.
    pub(super) event_buffer: EventBuffer,
    /// The id of the last event that the client had received before it sent the request.
    pub(super) client_last_event_id: Option<u64>,
}

impl Exchange {
    /// What routing needs to know to choose the next executor.
    pub(super) fn routing_query(&self) -> RoutingQuery<'_> {
        RoutingQuery {
            route: &self.route,
            service: &self.service,
            retry_class: self.retry_class,
            hints: &self.hints,
            accepted_at: self.accepted_at,
            deadline: self.deadline,
            tried_executors: &self.tried_executors,
            may_have_run: self.streaming || self.attempts.may_have_run(),
        }
    }

    /// How long nothing may be received from an attempt before the request is sent to another executor.
    pub(super) fn response_timeout(&self) -> Duration {
        let has_started = self.current_attempt.as_ref().is_some_and(|attempt| attempt.head_received);
        match self.route.event_gap_target_ms {
            Some(gap_ms) if has_started => {
                MIN_EVENT_TIMEOUT.max(Duration::from_millis(gap_ms).scaled(EVENT_TIMEOUT_GAPS))
            }
            _ => MIN_RESPONSE_TIMEOUT
                .max(Duration::from_millis(self.route.target_latency_ms).scaled(RESPONSE_TIMEOUT_TARGETS)),
        }
    }
}

/// How the requests of a route may be repeated.
pub(super) fn retry_class(route: &Route) -> RetryClass {
    match route.route_type {
        RouteType::Idempotent => RetryClass::Idempotent,
        RouteType::Streaming if route.resumable => RetryClass::ResumableStream,
        _ => RetryClass::NonIdempotent,
    }
}

/// How long the response may take: the client's deadline, limited by the route's timeout.
pub fn allowed_response_time(headers: &Headers, route: &Route) -> Duration {
    let client_ms = headers.get(names::DEADLINE_MS).and_then(|text| text.trim().parse().ok());
    Duration::from_millis(client_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms))
}
