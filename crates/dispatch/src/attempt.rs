//! Attempts: how one ends, and how often a request may be attempted.

use crate::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The executor answered.
    Served,
    /// The executor failed.
    Error,
    /// The executor rejected it, as its queue is full.
    Full,
    /// No answer came within the time-out.
    TimedOut,
    /// No connection to the executor was accepted.
    Refused,
    /// The connection broke after the request had been sent.
    Reset,
    /// It was cancelled from here.
    Cancelled,
    /// Nothing of it was sent.
    NeverSent,
    /// The connection broke before all was sent, or there was none to be had here: that says nothing of the
    /// executor either.
    CutOff,
    /// The executor could make nothing of the request: that says nothing of the executor.
    Unusable,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the executor did not run the request.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Full
                | AttemptOutcome::Refused
                | AttemptOutcome::NeverSent
                | AttemptOutcome::CutOff
        )
    }
}

/// How many retries and hedges a node may send: within any `span`, `free` of them and a `share` of the requests that
/// arrived in it.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The sliding window over which retries and arrivals are counted.
    pub span: Duration,
    /// Retries allowed in the window whatever arrives.
    pub free: f64,
    /// Further retries allowed for each request that arrived in the window.
    pub share: f64,
}

/// How often and in what way a request may be attempted.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptPolicy {
    /// The most attempts of one request, the first included.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether a cancelled attempt that still waits leaves its executor's queue. The operators promise it: nothing
    /// that a node receives tells.
    pub cancel_dequeues: bool,
    /// By how much the deadline that comes with a request may be off, either way.
    pub deadline_error: Duration,
    /// The limit on all retries and hedges of the node together, where there is one.
    pub retry_budget: Option<RetryBudget>,
    /// How long an executor may be sent to after it was announced as draining.
    pub grace: Duration,
    /// The longest wait that a rejected client keeps to, where one can be sent to it.
    pub max_retry_after: Option<Duration>,
}
