//! Passive health checks: executors from which nothing comes although own requests are open there.

use crate::failure_accrual::ExecutorFault;
use crate::gateway::Gateway;
use crate::ids::ExecutorId;
use grebeusher_time::{Duration, DurationExt, Instant};

/// No executor counts as unresponsive before this: several times the longest decode steps.
const MIN_QUIET_TIMEOUT: Duration = Duration::from_millis(500);
/// Nor before so many times the duration in which its service's requests usually show progress.
const QUIET_TIMEOUT_RATIO: f64 = 6.0;

/// When the node itself looked at its connections.
pub(crate) struct LivenessCheck {
    checked_at: Instant,
    /// When the node went on after it had stood still.
    resumed_at: Instant,
}

impl Default for LivenessCheck {
    fn default() -> LivenessCheck {
        LivenessCheck { checked_at: Instant(0), resumed_at: Instant(0) }
    }
}

impl LivenessCheck {
    /// Notes a check. After a long gap between two the node itself stood still, and what came meanwhile is not read
    /// yet.
    fn begin(&mut self, now: Instant) {
        let since_last = now.since(std::mem::replace(&mut self.checked_at, now));
        if since_last > MIN_QUIET_TIMEOUT {
            self.resumed_at = now;
        }
    }
}

impl Gateway {
    /// Looks for unresponsive executors; to be called every 100 ms or so. An executor has failed when nothing at all
    /// came for far longer than its service's requests take to show progress, while own requests are open there. That
    /// keeps new requests away; it ends none.
    pub fn detect_unresponsive(&mut self, now: Instant) {
        self.liveness.begin(now);
        let mut unresponsive: Vec<ExecutorId> = Vec::new();
        for attempt in self.attempts.iter() {
            let id = attempt.executor;
            if self.is_quiet_too_long(now, id, attempt.sent_at) && !unresponsive.contains(&id) {
                unresponsive.push(id);
            }
        }
        for id in unresponsive {
            self.record_fault(now, id, ExecutorFault::Unresponsive);
        }
    }

    fn is_quiet_too_long(&self, now: Instant, id: ExecutorId, sent_at: Instant) -> bool {
        let Some(executor) = self.executors.get(id) else { return false };
        let Some(service) = self.services.get(executor.service) else { return false };
        let usual = service.timing.usual_quiet_duration();
        let timeout = MIN_QUIET_TIMEOUT.max(usual.scaled(QUIET_TIMEOUT_RATIO));
        let quiet_since = executor.last_received.max(sent_at).max(self.liveness.resumed_at);
        now.since(quiet_since) > timeout
    }
}
