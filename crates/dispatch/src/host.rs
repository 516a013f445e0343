//! The interface through which a dispatcher acts; its owner implements it.

use crate::ids::{AttemptId, ExecutorId, RequestId};
use crate::time::Duration;

/// What a dispatcher asks of its owner. No method calls back into the dispatcher.
pub trait Host {
    /// Sends the request to the executor. The attempts of a request are numbered from 0 in this order.
    fn allocate(&mut self, request: RequestId, executor: ExecutorId, time_out: Duration);
    /// Whether the whole fleet's retry budget, where there is one, has one more attempt for a request that has had
    /// its first. It is asked only when one would be sent, and again while none is granted.
    fn may_retry(&mut self, _request: RequestId) -> bool {
        true
    }
    /// Stops waiting for one attempt.
    fn cancel(&mut self, attempt: AttemptId);
    /// Final answer: the client may retry safely, after this wait if one is given.
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>);
    /// Final answer: the request may have run, or no executor can run it.
    fn fail(&mut self, request: RequestId);
    /// Asks for a call of `timer_fired` with this timer.
    fn set_timer(&mut self, after: Duration, timer: u64);
    /// Asks the executor for a load report.
    fn probe(&mut self, executor: ExecutorId);
    /// Sends a load message to one other node, by its number, or to all; it may get lost. Asked only where nodes may
    /// share load.
    fn send_load(&mut self, node: Option<u64>, message: &[u8]);
    /// Asks for the executor list and its changes.
    fn watch_executors(&mut self);
}
