//! A request that owes its answer, its attempts, and the shares of customers.

use crate::time::DurationExt;
use crate::{Duration, ExecutorId, Instant};

/// One attempt of a request.
pub(super) struct Attempt {
    pub(super) executor: ExecutorId,
    pub(super) sent: Instant,
    pub(super) open: bool,
    pub(super) may_have_run: bool,
    pub(super) cancelled: bool,
}

impl Attempt {
    pub(super) fn is_out(&self) -> bool {
        self.open && !self.cancelled
    }
}

/// A request that still owes its final answer.
#[derive(Default)]
pub(super) struct Pending {
    pub(super) class: usize,
    pub(super) asked: Instant,
    pub(super) objective: Duration,
    pub(super) deadline: Instant,
    pub(super) size: f64,
    pub(super) slots: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) response_started: bool,
    pub(super) pending: bool,
    pub(super) pending_until: Instant,
    pub(super) over_share: bool,
}

impl Pending {
    /// Seconds left for waiting if the latency objective is to be kept.
    pub(super) fn slack(&self, now: Instant) -> f64 {
        (self.asked + self.objective).since(now).seconds() - self.size / self.slots
    }
}

/// What a customer may send within its share, as this node's part of it.
pub(super) struct QuotaShare {
    pub(super) per_s: f64,
    pub(super) level: f64,
    pub(super) at: Instant,
}

impl QuotaShare {
    /// This node's part of what a customer may send a second.
    pub(super) fn of(quota: f64, nodes: u64) -> QuotaShare {
        // Traffic is uneven: twice the even part, or much that lies within the share is rejected.
        QuotaShare { per_s: quota / nodes as f64 * 2.0, level: 0.0, at: Instant(0) }
    }

    /// Counts one request and tells whether it is beyond the share.
    pub(super) fn exceeds_share(&mut self, now: Instant) -> bool {
        // Two seconds' worth may come at once: bursts shorter than that are no overuse. Where that is next to
        // nothing a node sees too little to tell: fewer than these are no overuse either.
        const BURST_S: f64 = 2.0;
        const TOO_FEW: f64 = 4.0;
        let leaked = now.since(self.at).seconds() * self.per_s;
        (self.level, self.at) = ((self.level - leaked).max(0.0), now);
        let over_share = self.level + 1.0 > (self.per_s * BURST_S).max(TOO_FEW);
        self.level += f64::from(u8::from(!over_share));
        over_share
    }
}
