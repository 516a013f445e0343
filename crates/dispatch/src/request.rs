//! Requests: their classes, what arrives with each, and how often its effect may happen.

use crate::time::{Duration, Instant};

/// Which executors drop repeats of a request that carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All executors of the fleet share what they remember.
    All,
    /// Only the executors of one zone share what they remember.
    Zone,
    /// Only the executors of one cell share what they remember.
    Cell,
}

/// How often the effect of a request may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// Executors drop repeats by the request's idempotency key.
    Keyed {
        /// The executors that share what they remember of a key.
        scope: DeduplicationScope,
        /// How long a key is remembered, counted from the first attempt.
        deduplication_window: Duration,
    },
    /// The request must not run twice.
    NonIdempotent,
}

impl Effect {
    /// Whether a request whose attempt of time `sent` may have run may be sent again now.
    ///
    /// `same_zone` and `same_cell` compare the next executor with the earlier one: a keyed request stays inside the
    /// scope that drops its repeats, and inside the window in which its key is remembered.
    pub fn may_repeat(self, now: Instant, sent: Instant, same_zone: bool, same_cell: bool) -> bool {
        match self {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Keyed { scope, deduplication_window } => {
                let inside = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => same_zone,
                    DeduplicationScope::Cell => same_cell,
                };
                inside && now < sent + deduplication_window
            }
        }
    }

    /// Whether a client may safely retry a request that may have run.
    pub fn client_may_retry(self) -> bool {
        matches!(self, Effect::Idempotent | Effect::Keyed { scope: DeduplicationScope::All, .. })
    }
}

/// What the operators promise for all requests of one class.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// How often the effect of such a request may happen.
    pub effect: Effect,
    /// The latency objective before the stretch.
    pub latency_objective: Duration,
    /// The latency objective grows by this multiple of the request's own size.
    pub stretch: f64,
    /// After which the client gives up, counted from its first attempt.
    pub deadline: Duration,
    /// What a request is worth that is answered within its objective; only ratios between classes count.
    pub value: f64,
    /// The one kind of executor that can run it, if only one can.
    pub kind: Option<usize>,
}

/// What arrives with a request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Index of its class.
    pub class: usize,
    /// Index of the customer that sends it.
    pub customer: usize,
    /// When the client gives up.
    pub deadline: Instant,
    /// The client marks it as one that it has sent before.
    pub repeat: bool,
    /// The client's estimate of how long it runs, if it gave one.
    pub hint: Option<Duration>,
    /// How many slots of an executor it fills.
    pub slots: f64,
    /// The fleet's budget has nothing left for it at this node: it is answered without any attempt.
    pub over_budget: bool,
}
