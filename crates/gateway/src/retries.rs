//! Retries: whether a request is tried again after the outcome of an attempt, and which response the client gets when
//! it is not.

/// How requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryClass {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once. The class includes streams that cannot be resumed.
    NonIdempotent,
    /// The response is a stream that another executor can resume after the last complete event.
    ResumableStream,
}

impl RetryClass {
    /// Whether the request may run again after an executor may have run it.
    pub fn may_run_again(self) -> bool {
        self != RetryClass::NonIdempotent
    }
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The complete response of the executor was relayed to the client.
    Served,
    /// No connection was established, because it was refused or not accepted in time. No part of the request was
    /// written.
    NeverSent,
    /// An idle connection turned out to be closed before any part of the request was written. This does not count as a
    /// fault of the executor, which may be chosen again over a new connection.
    IdleClosed,
    /// The executor rejected the request with 503, 429 or 400 and the header `X-Grebeusher-Not-Executed`.
    NotExecuted,
    /// The request was rejected with 421 and did not run, because another instance has the address of the executor, or
    /// because the executor has model weights of another version.
    Misdirected,
    /// The connection broke, timed out or carried an invalid response before the head of a response.
    BrokenBeforeHead,
    /// The connection broke within the body of a response of which no part was sent to the client.
    BrokenBeforeRelay,
    /// The connection broke within the body of a response whose head was already sent to the client.
    BrokenMidBody,
    /// The connection broke within a stream whose head was already sent to the client, with or without complete events.
    BrokenMidStream,
    /// The executor sent a complete response with a failure of its own (500 or 504). The request counts as run.
    AnsweredFailure,
    /// The executor sent any other complete response that is not a success. It is relayed to the client.
    AnsweredOther,
    /// The client's deadline or the route's timeout passed.
    TimedOut,
    /// The client disconnected.
    ClientGone,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the executor has not run the request and never will.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::NeverSent
                | AttemptOutcome::IdleClosed
                | AttemptOutcome::NotExecuted
                | AttemptOutcome::Misdirected
        )
    }
}

/// The response that the client gets when no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalResponse {
    /// The client gets 503 with `Retry-After`: no executor has run the request, and none will.
    ServiceUnavailable,
    /// The client gets 502: an executor may have run the request.
    BadGateway,
    /// The client gets 504: the deadline has passed, and an executor may have run the request.
    GatewayTimeout,
    /// The head of a response was already sent. The client's connection is closed before the end of the body, so that
    /// the response cannot appear complete.
    Abort,
    /// The client gets the executor's own response unchanged.
    Relay,
    /// The client gets nothing more, because the complete response was sent or the client disconnected.
    Nothing,
}

/// The decision after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// The unchanged request is sent to another executor at once, without backoff. Executors that had it before are
    /// excluded.
    Retry,
    /// The request is sent to another executor with `Last-Event-Id`, so that it continues the same response after the
    /// last complete event.
    Resume,
    /// No further attempt is made.
    Finish(FinalResponse),
}

/// The greatest number of attempts for a request that provably did not run it. More of them mean that the service is
/// overloaded, and it is better to tell the client so.
const MAX_NOT_RUN: u32 = 4;

/// Counts the attempts for one request of a client, and decides on the next one.
///
/// ```
/// use grebeusher_gateway::{AttemptOutcome, Attempts, FinalResponse, RetryClass, RetryDecision};
///
/// let mut attempts = Attempts::new(RetryClass::NonIdempotent, 2);
/// assert_eq!(attempts.record_outcome(AttemptOutcome::NotExecuted), RetryDecision::Retry);
/// let decision = attempts.record_outcome(AttemptOutcome::BrokenBeforeHead);
/// assert_eq!(decision, RetryDecision::Finish(FinalResponse::BadGateway));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    retry_class: RetryClass,
    /// The limit of `possibly_run`, at least 1.
    max_attempts: u32,
    /// The number of attempts that may have run the request.
    possibly_run: u32,
    /// The number of attempts that provably did not run the request.
    not_run: u32,
    /// Whether the head of a response was sent to the client.
    head_sent: bool,
}

impl Attempts {
    /// Creates the state of a request without attempts. `max_attempts` of the route limits the attempts that may have
    /// run the request; 0 counts as 1. Attempts that provably did not run the request are not counted there.
    pub fn new(retry_class: RetryClass, max_attempts: u32) -> Attempts {
        Attempts {
            retry_class,
            max_attempts: max_attempts.max(1),
            possibly_run: 0,
            not_run: 0,
            head_sent: false,
        }
    }

    /// Whether any executor may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.possibly_run > 0
    }

    /// Records the outcome of an attempt, and decides on the next one.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome) -> RetryDecision {
        if outcome.proves_not_run() {
            self.not_run += 1;
        } else {
            self.possibly_run += 1;
        }
        match outcome {
            AttemptOutcome::Served | AttemptOutcome::ClientGone => {
                RetryDecision::Finish(FinalResponse::Nothing)
            }
            AttemptOutcome::AnsweredOther if !self.head_sent => RetryDecision::Finish(FinalResponse::Relay),
            AttemptOutcome::AnsweredFailure if !self.head_sent => match self.retry_or_finish() {
                RetryDecision::Finish(_) => RetryDecision::Finish(FinalResponse::Relay),
                retry => retry,
            },
            AttemptOutcome::TimedOut => RetryDecision::Finish(self.timeout_response()),
            AttemptOutcome::BrokenMidBody => {
                self.head_sent = true;
                RetryDecision::Finish(FinalResponse::Abort)
            }
            AttemptOutcome::BrokenMidStream => {
                self.head_sent = true;
                self.retry_or_finish()
            }
            _ => self.retry_or_finish(),
        }
    }

    /// The response that the client gets when no executor can be chosen, or the deadline passes before one is chosen.
    pub fn response_without_executor(&self) -> FinalResponse {
        match self {
            _ if self.head_sent => FinalResponse::Abort,
            _ if self.may_have_run() => FinalResponse::BadGateway,
            _ => FinalResponse::ServiceUnavailable,
        }
    }

    /// The response that the client gets when the deadline passes during an attempt.
    fn timeout_response(&self) -> FinalResponse {
        match self.response_without_executor() {
            FinalResponse::BadGateway => FinalResponse::GatewayTimeout,
            response => response,
        }
    }

    /// The decision after an attempt that failed: another attempt if the request may have one.
    fn retry_or_finish(&self) -> RetryDecision {
        let may_run_again = !self.may_have_run() || self.retry_class.may_run_again();
        let is_exhausted = self.possibly_run >= self.max_attempts || self.not_run >= MAX_NOT_RUN;
        if is_exhausted || !may_run_again {
            return RetryDecision::Finish(self.response_without_executor());
        }
        match self.retry_class {
            RetryClass::ResumableStream if self.head_sent => RetryDecision::Resume,
            _ if self.head_sent => RetryDecision::Finish(FinalResponse::Abort),
            _ => RetryDecision::Retry,
        }
    }
}
