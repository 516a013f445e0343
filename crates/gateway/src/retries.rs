//! Retries: what follows an attempt by its outcome, and what the client gets when nothing may follow.

/// How a request may be retried, by its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryClass {
    /// May run more than once.
    Idempotent,
    /// May run once at most. Also a stream that can't be resumed.
    NonIdempotent,
    /// A stream that another executor can resume after the last complete event.
    ResumableStream,
}

impl RetryClass {
    /// Whether a second run does no harm.
    pub fn may_run_again(self) -> bool {
        self != RetryClass::NonIdempotent
    }
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The executor's complete response was relayed.
    Served,
    /// No connection came up: it was refused, or not in time. Nothing of the request was written.
    NeverSent,
    /// An idle connection turned out to be closed before anything of the request was written. It is no evidence
    /// against the executor, which may be chosen again, over a new connection.
    IdleClosed,
    /// Rejected with `X-Grebeusher-Not-Executed`: 503, 429 or 400.
    NotExecuted,
    /// 421: another instance has the address, or its weights are of another version. It did not run.
    Misdirected,
    /// The connection broke, timed out or carried no valid response, before the head of a response.
    BrokenBeforeHead,
    /// It broke within the body of a response of which the client has seen nothing.
    BrokenBeforeRelay,
    /// It broke within a body whose head the client already has.
    BrokenMidBody,
    /// A stream broke after its head went to the client, with or without complete events behind it.
    BrokenMidStream,
    /// A complete response with a failure of the executor that counts as run (500, 504).
    AnsweredFailure,
    /// Any other complete response that is no success: it belongs to the client.
    AnsweredOther,
    /// The client's deadline or the route's timeout passed.
    TimedOut,
    /// The client disconnected.
    ClientGone,
}

impl AttemptOutcome {
    /// Whether the attempt proves that its executor has not run the request and never will.
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

/// What the client gets when no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalResponse {
    /// 503 with `Retry-After`: no executor has run it, and none will.
    ServiceUnavailable,
    /// 502: an executor may have run it.
    BadGateway,
    /// 504: its time is over, and an executor may have run it.
    GatewayTimeout,
    /// The head is sent: the connection is closed early so that the response can't look complete.
    Abort,
    /// The executor's own response is relayed unchanged.
    Relay,
    /// Nothing: the complete response is sent, or the client is gone.
    Nothing,
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// Another executor gets the unchanged request at once, without backoff. Those tried are excluded.
    Retry,
    /// Another executor continues the same response, with `Last-Event-Id` of the last complete event.
    Resume,
    /// No further attempt.
    Finish(FinalResponse),
}

/// A bound on attempts that provably did not run. More of them are an overload of the service, of which the client is
/// better informed.
const MAX_NOT_RUN: u32 = 4;

/// The attempts for one request of a client.
///
/// ```
/// use grebeusher_gateway::{AttemptOutcome, Attempts, FinalResponse, RetryClass, RetryDecision};
///
/// let mut attempts = Attempts::new(RetryClass::NonIdempotent, 2);
/// assert_eq!(attempts.ended(AttemptOutcome::NotExecuted), RetryDecision::Retry);
/// let decision = attempts.ended(AttemptOutcome::BrokenBeforeHead);
/// assert_eq!(decision, RetryDecision::Finish(FinalResponse::BadGateway));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    retry_class: RetryClass,
    /// Bounds `may_have_run`.
    max_attempts: u32,
    may_have_run: u32,
    not_run: u32,
    /// Whether the client has the head of a response.
    head_sent: bool,
}

impl Attempts {
    /// `max_attempts` of the route, at least 1, bounds the attempts that may have run the request. An attempt that
    /// proves not to have run it does not count.
    pub fn new(retry_class: RetryClass, max_attempts: u32) -> Attempts {
        Attempts {
            retry_class,
            max_attempts: max_attempts.max(1),
            may_have_run: 0,
            not_run: 0,
            head_sent: false,
        }
    }

    /// Whether any executor may have run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// An attempt ended: what follows.
    pub fn ended(&mut self, outcome: AttemptOutcome) -> RetryDecision {
        if outcome.proves_not_run() {
            self.not_run += 1;
        } else {
            self.may_have_run += 1;
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

    /// What the client gets when no executor could be chosen, or the time is over before one was.
    pub fn without_executor(&self) -> FinalResponse {
        match self {
            _ if self.head_sent => FinalResponse::Abort,
            _ if self.may_have_run() => FinalResponse::BadGateway,
            _ => FinalResponse::ServiceUnavailable,
        }
    }

    fn timeout_response(&self) -> FinalResponse {
        match self.without_executor() {
            FinalResponse::BadGateway => FinalResponse::GatewayTimeout,
            response => response,
        }
    }

    fn retry_or_finish(&self) -> RetryDecision {
        let may_run_again = !self.may_have_run() || self.retry_class.may_run_again();
        let is_exhausted = self.may_have_run >= self.max_attempts || self.not_run >= MAX_NOT_RUN;
        if is_exhausted || !may_run_again {
            return RetryDecision::Finish(self.without_executor());
        }
        match self.retry_class {
            RetryClass::ResumableStream if self.head_sent => RetryDecision::Resume,
            _ if self.head_sent => RetryDecision::Finish(FinalResponse::Abort),
            _ => RetryDecision::Retry,
        }
    }
}
