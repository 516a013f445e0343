//! Attempts: their outcomes, and how often a request may be attempted.

use crate::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The executor answered.
    Served,
    /// The executor answered with an error.
    Error,
    /// The executor rejected the request because its queue was full.
    Full,
    /// No answer arrived within the time-out.
    TimedOut,
    /// The executor did not accept a connection.
    Refused,
    /// The connection broke after the whole request had been sent.
    Reset,
    /// The dispatcher cancelled the attempt.
    Cancelled,
    /// Nothing of the request was sent.
    NeverSent,
    /// The connection broke before the whole request was sent, or this node could not open one. The executor is not at
    /// fault.
    SendFailed,
    /// The executor could not interpret the request. The executor is not at fault.
    InvalidRequest,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the executor did not run the request.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Full
                | AttemptOutcome::Refused
                | AttemptOutcome::NeverSent
                | AttemptOutcome::SendFailed
        )
    }
}

/// How many retries and hedges a node may send within any period of `window`: `base`, and `ratio` for each request
/// that arrived in the period.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The length of the sliding window over which retries and arrivals are counted.
    pub window: Duration,
    /// The number of retries allowed in the window regardless of arrivals.
    pub base: f64,
    /// The number of further retries allowed for each request that arrived in the window.
    pub ratio: f64,
}

/// How often and in what way a request may be attempted.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptPolicy {
    /// The largest number of attempts of one request, including the first.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether a cancelled attempt that still waits leaves its executor's queue. The operators guarantee it: no message
    /// to a node shows it.
    pub cancel_dequeues: bool,
    /// How much earlier or later than stated the deadline of a request may be, since clocks differ.
    pub deadline_error: Duration,
    /// The limit on the node's retries and hedges, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// How long requests may still be sent to an executor after it was announced as draining.
    pub drain_grace: Duration,
    /// The longest retry-after time that clients observe; `None` if it cannot be sent to them.
    pub max_retry_after: Option<Duration>,
}
