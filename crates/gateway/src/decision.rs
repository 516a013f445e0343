//! Routing decisions, and counters of how often each was made.

use crate::ids::ExecutorId;
use grebeusher_time::Duration;
use std::net::SocketAddr;

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoutingDecision {
    /// The request goes to this executor, addressed to its `instance_id`.
    Forward {
        /// The executor's key, for [`Gateway::attempt_started`](crate::Gateway::attempt_started) and
        /// [`Gateway::executor_view`](crate::Gateway::executor_view).
        executor: ExecutorId,
        /// The address at which the executor accepts requests.
        address: SocketAddr,
    },
    /// No executor has capacity. The client gets 503 with `Retry-After`.
    Reject {
        /// The time until capacity is expected.
        retry_after: Duration,
    },
    /// The node knows no executor of the service that could run the request. The client gets 503 with `Retry-After`.
    NoExecutor {
        /// The time after which the client may retry.
        retry_after: Duration,
    },
}

/// The numbers of routing decisions since the start of the process, by the rule that made them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounters {
    /// Requests that went to a weighted pick inside the lane of their size, which is the ordinary path.
    pub weighted_pick: u64,
    /// Requests that went to an executor with their prefix cached by this node's own requests.
    pub cached_prefix: u64,
    /// Requests that went to a home of their prefix.
    pub prefix_home: u64,
    /// Requests that went to an executor after the homes in rendezvous order, because no home was usable.
    pub next_prefix_home: u64,
    /// Requests that went to a weighted pick over all lanes, because no executor of their lane had capacity.
    pub out_of_lane: u64,
    /// Requests that went to the queue of an executor, because no executor had capacity.
    pub queued: u64,
    /// Requests that went to an unhealthy executor, because no healthy one could take them.
    pub unhealthy: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests for which no executor was known.
    pub no_executor: u64,
}
