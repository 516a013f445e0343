//! A request that awaits its final answer, its attempts, and customers' shares of a quota.

use crate::time::DurationExt;
use crate::{Duration, ExecutorId, Instant};

pub(super) struct Attempt {
    pub(super) executor: ExecutorId,
    pub(super) sent: Instant,
    pub(super) open: bool, // until it has ended
    pub(super) may_have_run: bool,
    pub(super) cancelled: bool,
}

impl Attempt {
    pub(super) fn is_active(&self) -> bool {
        self.open && !self.cancelled
    }
}

#[derive(Default)]
pub(super) struct Pending {
    pub(super) class: usize,
    pub(super) first_sent: Instant, // by the client
    pub(super) objective: Duration, // counted from `first_sent`
    pub(super) deadline: Instant,
    /// In seconds of a standard core, summed over its slots.
    pub(super) size: f64,
    pub(super) slots: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) response_started: bool,
    pub(super) queued: bool, // at this node, for an executor or a retry budget
    pub(super) queued_until: Instant,
    pub(super) over_share: bool, // whether it exceeds the customer's share
}

impl Pending {
    /// How many seconds it may wait and still be answered within its latency objective.
    pub(super) fn slack_s(&self, now: Instant) -> f64 {
        (self.first_sent + self.objective).since(now).seconds() - self.size / self.slots
    }
}

/// This node's part of a customer's quota, counted by a leaky bucket of requests.
pub(super) struct QuotaShare {
    pub(super) rate_per_s: f64,
    pub(super) level: f64, // counted requests less those leaked
    pub(super) updated: Instant,
}

impl QuotaShare {
    /// This node's part of `quota`, the requests per second that a customer may send to all nodes.
    pub(super) fn of(quota: f64, nodes: u64) -> QuotaShare {
        // Twice the even part: traffic is spread unevenly, and requests within the quota would be rejected.
        QuotaShare { rate_per_s: quota / nodes as f64 * 2.0, level: 0.0, updated: Instant(0) }
    }

    /// Counts one request; returns whether it exceeds the share.
    pub(super) fn exceeds_share(&mut self, now: Instant) -> bool {
        // A burst of two seconds' worth is allowed, or of `MIN_BURST`: with a tiny share, a node sees too few to judge.
        const BURST_S: f64 = 2.0;
        const MIN_BURST: f64 = 4.0;
        let leaked = now.since(self.updated).seconds() * self.rate_per_s;
        (self.level, self.updated) = ((self.level - leaked).max(0.0), now);
        let over_share = self.level + 1.0 > (self.rate_per_s * BURST_S).max(MIN_BURST);
        self.level += f64::from(u8::from(!over_share));
        over_share
    }
}
