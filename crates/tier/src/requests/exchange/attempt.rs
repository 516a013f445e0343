//! One attempt to have a request served by an executor, and its outcome.

use crate::requests::upstream_connection::CallFailure;
use grebeusher_gateway::{AttemptOutcome, AttemptToken};
use grebeusher_time::Instant;

/// An attempt in flight.
pub(super) struct Attempt {
    /// The index of the connection to the executor.
    pub(super) connection: usize,
    /// The gateway's token for the attempt.
    pub(super) token: AttemptToken,
    /// The HTTP status of the response; 0 before its head is received.
    pub(super) status: u16,
    /// When the request was sent or the last part of the response was received.
    pub(super) last_activity: Instant,
    pub(super) head_received: bool,
    /// The response, if it is relayed to the client only when it is complete.
    pub(super) buffered: Option<BufferedResponse>,
    /// The outcome, if the executor has stated that it did not run the request.
    pub(super) refusal: Option<AttemptOutcome>,
}

/// A response that is relayed to the client only when it is complete.
pub(super) struct BufferedResponse {
    pub(super) status: u16,
    /// The status line and the headers for the client, without `Content-Length` and the empty line.
    pub(super) head: String,
    pub(super) body: Vec<u8>,
}

impl Attempt {
    /// Creates an attempt whose request was just handed to `connection`.
    pub(super) fn new(connection: usize, token: AttemptToken, now: Instant) -> Attempt {
        Attempt {
            connection,
            token,
            status: 0,
            last_activity: now,
            head_received: false,
            buffered: None,
            refusal: None,
        }
    }

    /// The outcome of the attempt when its response is complete.
    pub(super) fn complete_outcome(&self) -> AttemptOutcome {
        match self.refusal {
            Some(refusal) => refusal,
            None if self.status >= 500 => AttemptOutcome::AnsweredFailure,
            None if (200..300).contains(&self.status) => AttemptOutcome::Served,
            None => AttemptOutcome::AnsweredOther,
        }
    }
}

/// The outcome of an attempt whose connection failed.
pub(super) fn failed_outcome(failure: CallFailure, streaming: bool, can_resume: bool) -> AttemptOutcome {
    match failure {
        CallFailure::NeverSent => AttemptOutcome::NeverSent,
        CallFailure::BeforeHead if streaming && can_resume => AttemptOutcome::BrokenMidStream,
        CallFailure::BeforeHead if streaming => AttemptOutcome::BrokenMidBody,
        CallFailure::BeforeHead => AttemptOutcome::BrokenBeforeHead,
        CallFailure::MidBody if streaming && can_resume => AttemptOutcome::BrokenMidStream,
        CallFailure::MidBody if streaming => AttemptOutcome::BrokenMidBody,
        CallFailure::MidBody => AttemptOutcome::BrokenBeforeRelay,
    }
}
