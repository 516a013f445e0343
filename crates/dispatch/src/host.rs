//! The interface through which a dispatcher acts. The owner of the dispatcher implements it.

use crate::ids::{AttemptId, ExecutorId, RequestId};
use crate::time::Duration;

/// The actions that a dispatcher asks its owner for. An implementation must not call back into the dispatcher.
pub trait Host {
    /// Sends an attempt of the request to the executor. The n-th call for a request is its attempt number n, from 0.
    fn send_attempt(&mut self, request: RequestId, executor: ExecutorId, time_out: Duration);
    /// Whether the retry budget of the whole fleet, if there is one, allows one more attempt after a request's first.
    /// The dispatcher asks when it would send the attempt, and asks again while the answer is no.
    fn may_retry(&mut self, _request: RequestId) -> bool {
        true
    }
    /// Cancels one attempt.
    fn cancel(&mut self, attempt: AttemptId);
    /// Gives the final answer that the client may safely retry, after the given time if there is one.
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>);
    /// Gives the final answer that the request may have run, or that no executor can run it.
    fn fail(&mut self, request: RequestId);
    /// Requests a call of `timer_fired` with this timer number after the given time.
    fn set_timer(&mut self, after: Duration, timer: u64);
    /// Requests a load report from the executor.
    fn probe(&mut self, executor: ExecutorId);
    /// Sends a load message to the node with this number, or to all other nodes; the message may get lost. Called only
    /// with load sharing.
    fn send_load(&mut self, node: Option<u64>, message: &[u8]);
    /// Requests the executor list and its changes.
    fn watch_executors(&mut self);
}
