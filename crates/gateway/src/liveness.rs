//! Passive health checks. An executor is unresponsive when nothing is received from it for too long although attempts
//! of this node are open there.

use crate::failure_accrual::ExecutorFault;
use crate::gateway::Gateway;
use crate::ids::ExecutorId;
use grebeusher_time::{Duration, DurationExt, Instant};

/// The shortest time without received data after which an executor is unresponsive. The longest decode steps take only
/// a fraction of it.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time without received data after which an executor is unresponsive, as a multiple of the time in which requests
/// of its service usually show progress.
const SILENCE_TIMEOUT_RATIO: f64 = 6.0;

/// The times of the node's own health checks.
pub(crate) struct LivenessCheck {
    /// When the latest check was made.
    checked_at: Instant,
    /// When the node's process continued after it had been suspended.
    resumed_at: Instant,
}

impl Default for LivenessCheck {
    fn default() -> LivenessCheck {
        LivenessCheck { checked_at: Instant(0), resumed_at: Instant(0) }
    }
}

impl LivenessCheck {
    /// Records the time of a check. A long gap since the previous check means that the node's own process was
    /// suspended, and that it has not yet read what was received meanwhile.
    fn begin(&mut self, now: Instant) {
        let since_last_check = now.since(std::mem::replace(&mut self.checked_at, now));
        if since_last_check > MIN_SILENCE_TIMEOUT {
            self.resumed_at = now;
        }
    }
}

impl Gateway {
    /// Records a fault of each unresponsive executor. The node calls this about every 100 ms. An executor is
    /// unresponsive when nothing was received from it for far longer than requests of its service take to show
    /// progress, while attempts of this node are open there. The fault keeps new requests away from the executor, and
    /// does not end the open ones.
    pub fn detect_unresponsive(&mut self, now: Instant) {
        self.liveness.begin(now);
        let mut unresponsive: Vec<ExecutorId> = Vec::new();
        for attempt in self.attempts.iter() {
            let id = attempt.executor;
            if self.is_silence_timed_out(now, id, attempt.sent_at) && !unresponsive.contains(&id) {
                unresponsive.push(id);
            }
        }
        for id in unresponsive {
            self.record_fault(now, id, ExecutorFault::Unresponsive);
        }
    }

    /// Whether nothing was received from the executor for too long since an attempt was sent to it at `sent_at`.
    fn is_silence_timed_out(&self, now: Instant, id: ExecutorId, sent_at: Instant) -> bool {
        let Some(executor) = self.executors.get(id) else { return false };
        let Some(service) = self.services.get(executor.service) else { return false };
        let usual_silence = service.timing.usual_silence();
        let timeout = MIN_SILENCE_TIMEOUT.max(usual_silence.scaled(SILENCE_TIMEOUT_RATIO));
        let silent_since = executor.last_received_at.max(sent_at).max(self.liveness.resumed_at);
        now.since(silent_since) > timeout
    }
}
