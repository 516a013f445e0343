//! The interfaces through which the coordinator acts on the components around it. Those components call the
//! coordinator directly; the coordinator knows them by these traits alone.

use crate::state::budget_shares::{BudgetScope, BudgetUse};
use crate::state::requests::RequestContent;
use grebeusher_dispatch::AttemptOutcome;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_faktory::reservations::Standing;
use std::net::SocketAddr;

/// Identifies an inbound connection: its index in the connection table, and its serial number, which tells it from
/// earlier connections at the same index.
pub type CallerId = (usize, u64);

/// Answers inbound HTTP requests: those of clients, and callbacks of executors.
pub trait ClientResponder {
    /// Sends the final response to the client that waits for this request.
    fn respond(&self, request: RequestId, status: u16, retry_after: Option<Duration>, body: &[u8]);
    /// Whether the client is still connected, checked on its socket at the time of the call.
    fn is_waiting(&self, request: RequestId) -> bool;
    /// Answers a callback that was forwarded to the other processes of this node.
    fn callback_forwarded(&self, caller: CallerId, status: u16);
}

/// Holds file descriptors of which some can be released for a more urgent use.
pub trait DescriptorHolder {
    /// Releases one descriptor; `false` if none can be released.
    fn release_descriptor(&self) -> bool;
}

/// Sends attempts, cancellations and probes to executors over HTTP.
pub trait ExecutorTransport {
    fn send_attempt(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        content: &RequestContent,
        timeout: Duration,
    );
    /// Cancels an attempt: closes its connection if the executor has not accepted it yet, and otherwise sends a
    /// cancellation.
    fn cancel_attempt(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        content: &RequestContent,
        accepted: bool,
    );
    /// Cancels an attempt that the executor has not acknowledged but may have accepted. The attempt ends with this
    /// outcome once the cancellation is answered or has timed out.
    fn cancel_unacknowledged(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        content: &RequestContent,
        outcome: AttemptOutcome,
    );
    fn probe(&self, executor: ExecutorId, address: Option<SocketAddr>);
    /// Closes the idle connections to an executor, except those to the address `keep`.
    fn close_idle_connections(&self, executor: ExecutorId, keep: Option<SocketAddr>);
}

/// Provides the executor list; discovery implements it.
pub trait ExecutorListSource {
    /// Starts to watch the list for changes.
    fn watch(&self);
}

/// Assigns requests to Faktory workers, and answers the clients that pushed jobs.
pub trait FaktoryFrontend {
    /// Answers the client that pushed the request as a job; `false` if the request did not come by a push.
    fn respond(&self, request: RequestId, status: u16) -> bool;
    /// Queues a request for a worker; `false` if the worker can't take it.
    fn assign(&self, worker: usize, id: AttemptId, content: &RequestContent, timeout: Duration) -> bool;
    /// Ends an attempt that could not be assigned, as one that was not executed.
    fn assignment_failed(&self, id: AttemptId);
    /// Withdraws an attempt from its worker, if the worker has not fetched it yet.
    fn cancel_attempt(&self, id: AttemptId);
    /// The connected workers: worker ID and state of each.
    fn workers(&self) -> Vec<(String, Standing)>;
}

/// Talks to the other nodes of the fleet, where peers are configured.
pub trait PeerMessenger {
    /// Sends a load message of the dispatcher to one node, by its number, or to all. It may get lost.
    fn send_load_message(&self, node: Option<u64>, message: &[u8]);
    /// Tells all peers that the executor with this hash of its name was down at that time, or else that its process
    /// had started by then.
    fn broadcast_observation(&self, executor: u64, at: Instant, is_down: bool);
    /// Spends from each fleet budget that counts this; `false` if this node's share of one of them is used up.
    fn try_spend(&self, budget_use: BudgetUse, scope: BudgetScope) -> bool;
    /// Spends for a request that was refused before and has waited for a grant.
    fn try_spend_after_wait(&self, budget_use: BudgetUse, scope: BudgetScope) -> bool;
}

/// The other processes of this node, of which there are some during an upgrade.
pub trait SiblingProcesses {
    /// Forwards a callback to them; `false` if there are none.
    fn forward_callback(&self, caller: CallerId, body: &[u8]) -> bool;
}
