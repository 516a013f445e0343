//! Requests: their classes, what arrives with each request, and how often its effect may happen.

use crate::time::{Duration, Instant};

/// The executors that share the idempotency keys that they have seen, and so drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All executors of the fleet share their keys.
    All,
    /// The executors of one zone share their keys.
    Zone,
    /// The executors of one cell share their keys.
    Cell,
}

/// How often the effect of a request may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of executions has the effect of a single one.
    Idempotent,
    /// Executors drop repeats of the request by its idempotency key.
    Keyed {
        /// The executors that share the key.
        scope: DeduplicationScope,
        /// How long executors remember the key, counted from the first attempt.
        deduplication_window: Duration,
    },
    /// The request must not run twice.
    NonIdempotent,
}

impl Effect {
    /// Whether a request may be sent again now although its attempt sent at `sent` may have run.
    ///
    /// `same_zone` and `same_cell` compare the next executor with that of the earlier attempt. A keyed request may be
    /// repeated only within the scope that shares its key, and within its deduplication window.
    pub fn may_repeat(self, now: Instant, sent: Instant, same_zone: bool, same_cell: bool) -> bool {
        match self {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Keyed { scope, deduplication_window } => {
                let in_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => same_zone,
                    DeduplicationScope::Cell => same_cell,
                };
                in_scope && now < sent + deduplication_window
            }
        }
    }

    /// Whether a client may safely retry a request that may have run.
    pub fn client_may_retry(self) -> bool {
        matches!(self, Effect::Idempotent | Effect::Keyed { scope: DeduplicationScope::All, .. })
    }
}

/// What the operators guarantee for all requests of one class.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// How often the effect of a request of this class may happen.
    pub effect: Effect,
    /// The latency objective of a request of size 0, counted from the client's first attempt.
    pub latency_objective: Duration,
    /// The latency objective grows by this multiple of the request's run time on a standard core.
    pub stretch: f64,
    /// The time after which the client gives up, counted from its first attempt.
    pub deadline: Duration,
    /// The value of a request that is answered within its objective. Only ratios between classes matter.
    pub value: f64,
    /// The index of the one kind of executor that can run the class; `None` if every kind can.
    pub kind: Option<usize>,
}

/// What arrives with a request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The index of the request's class.
    pub class: usize,
    /// The index of the customer that sends the request.
    pub customer: usize,
    /// When the client gives up, by the client's clock.
    pub deadline: Instant,
    /// Whether the client says that it has sent the request before.
    pub repeat: bool,
    /// The client's estimate of the run time, on a standard core, if it gave one.
    pub hint: Option<Duration>,
    /// How many slots of an executor the request fills.
    pub slots: f64,
    /// Whether this node's part of the fleet's budget is used up: the request is then rejected without an attempt.
    pub over_budget: bool,
}
