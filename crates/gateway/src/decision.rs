//! Routing decisions and how often each was made.

use crate::ids::ExecutorId;
use grebeusher_time::Duration;
use std::net::SocketAddr;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoutingDecision {
    /// It goes to this executor, under its `instance_id`.
    Forward {
        /// Its key, for [`Gateway::attempt_started`](crate::Gateway::attempt_started) and
        /// [`Gateway::executor_view`](crate::Gateway::executor_view).
        executor: ExecutorId,
        /// Where it takes requests.
        address: SocketAddr,
    },
    /// No executor has capacity: 503 with `Retry-After`.
    Reject {
        /// When capacity is expected.
        retry_after: Duration,
    },
    /// No executor of the service is known that could run it: 503 with `Retry-After`.
    NoExecutor {
        /// When to look again.
        retry_after: Duration,
    },
}

/// Routing decisions since the start, by the rule that made them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounters {
    /// Weighted pick inside the lane of the size: the ordinary path.
    pub weighted_pick: u64,
    /// An executor that has the prefix cached by this node's own requests.
    pub cached_prefix: u64,
    /// A home in the rendezvous order of the prefix.
    pub prefix_home: u64,
    /// The next executor of that order, as no home had spare capacity.
    pub next_prefix_home: u64,
    /// Weighted pick outside the lane, as no executor of the lane had capacity.
    pub out_of_lane: u64,
    /// The queue of an executor, as none had capacity.
    pub queued: u64,
    /// An unhealthy executor, as there was no other.
    pub unhealthy: u64,
    /// Rejected.
    pub rejected: u64,
    /// No executor was known.
    pub no_executor: u64,
}
