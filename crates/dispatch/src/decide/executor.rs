//! What is known of one executor, and what own evidence says of its load, its wait and its room.

use super::RECEIPT_TIMEOUT;
use crate::time::DurationExt;
use crate::{AttemptId, Duration, ExecutorStatus, Instant, SlowStart};

/// An attempt that is still out, as its executor's record keeps it.
pub(super) struct InFlight {
    pub(super) id: AttemptId,
    pub(super) size: f64,
    pub(super) slots: f64,
    pub(super) sent: Instant,
    /// When its start should have been reported.
    pub(super) start_due: Instant,
    pub(super) started: Option<Instant>,
    pub(super) last_report: Instant,
}

/// All that is known of one executor.
#[derive(Default)]
pub(super) struct Executor {
    pub(super) hash: u64,
    pub(super) status: ExecutorStatus,
    pub(super) reports_own_status: bool,
    pub(super) started: Option<Instant>,
    /// The latest that this start can have been, as listed ones may be off: when it was first listed, at most.
    pub(super) warming_since: Option<Instant>,
    pub(super) kind: usize,
    pub(super) zone: usize,
    pub(super) cell: usize,
    pub(super) weight: f64,
    pub(super) lane: usize,
    pub(super) utilisation: f64,
    pub(super) reported: Option<Instant>,
    /// Place in the order in which this node uses executors.
    pub(super) rank: u64,
    /// How many nodes come before this one among those that may warm it.
    pub(super) distance: u64,
    pub(super) asked: Instant,
    /// Slots that own work has filled at once, and the most that were reported free: a report is noisy and
    /// of a while ago, so room goes by the first, and what all nodes together may send by both.
    pub(super) slots: f64,
    pub(super) most_free: f64,
    pub(super) in_flight: Vec<InFlight>,
    /// Slots that other nodes fill here by load sharing, and as of when; and what this one sent them last.
    pub(super) others: Option<(Instant, f64)>,
    pub(super) reported_slots: u8,
    pub(super) answers: usize,
    pub(super) reset: Option<Instant>,
    pub(super) died: Option<Instant>,
    /// Size of the own work that was answered, and the seconds that it held slots.
    pub(super) done: f64,
    pub(super) ran: f64,
    /// Work a second of its kind when warm, on one slot and on all: a standard core until it has been seen.
    pub(super) pace: f64,
    pub(super) capacity: f64,
    pub(super) ejected_until: Instant,
    pub(super) last_wait: f64,
    pub(super) last_start: Instant,
    /// When something was sent here while it was cold.
    pub(super) warming_sends: Vec<Instant>,
}

impl Executor {
    /// Slots that all nodes together have filled here or wait for, where they share load.
    pub(super) fn filled(&self, now: Instant) -> Option<f64> {
        const STALE: Duration = Duration::from_millis(1500); // a few messages may get lost
        // Before any report its width is a guess, by which all would look full.
        let (_, others) = self.others.filter(|(at, _)| self.most_free > 0.0 && now.since(*at) < STALE)?;
        Some(others + self.own_slots())
    }

    pub(super) fn own_slots(&self) -> f64 {
        self.in_flight.iter().map(|f| f.slots).sum()
    }

    /// The most slots that it was seen to have.
    pub(super) fn width(&self) -> f64 {
        self.slots.max(self.most_free)
    }

    /// Utilisation as of now: the report is late, so own attempts sent since it was taken are added.
    /// Guards against piling work on one idle-looking executor. `None` where nothing is known.
    pub(super) fn load(&self, now: Instant) -> Option<f64> {
        const LAG: Duration = Duration::from_millis(1000); // reports are averages over it: the newest sends are missing
        const STALE: Duration = Duration::from_millis(6000); // after several usual report spans the figure says nothing
        if let Some(filled) = self.filled(now) {
            return Some(filled / self.width());
        }
        let own = self.in_flight.len() as f64 / self.slots;
        match self.reported {
            Some(at) if now.since(at) < STALE => {
                let recent = self.in_flight.iter().filter(|f| f.sent > at - LAG).count();
                Some((self.utilisation + recent as f64 / self.slots).max(own))
            }
            _ if own > 0.0 => Some(own),
            _ => None,
        }
    }

    /// Seconds that own attempts wait here for a slot: the age of the oldest that waits now, or what the
    /// last one to start waited, which counts for less as it ages. `None` where nothing was sent lately.
    pub(super) fn wait(&self, now: Instant) -> Option<f64> {
        const HALF_LIFE_S: f64 = 2.0; // about the run of a few requests, after which a queue is another
        const STALE_S: f64 = 6.0; // as a report
        let age = now.since(self.last_start).seconds();
        let past = (age < STALE_S).then(|| self.last_wait * 0.5_f64.powf(age / HALF_LIFE_S));
        past.into_iter().chain(self.oldest_wait(now)).reduce(f64::max)
    }

    fn oldest_wait(&self, now: Instant) -> Option<f64> {
        let waiting = self.in_flight.iter().filter(|f| f.started.is_none() && f.start_due <= now);
        waiting.map(|f| now.since(f.start_due).seconds()).reduce(f64::max)
    }

    /// Whether own evidence leaves room here for one more. Late reports do not count: they would send all
    /// nodes onto the few that look free.
    pub(super) fn has_room(&self, now: Instant) -> bool {
        const NOTIFICATION_TIMEOUT: f64 = 0.06; // seconds: a start is reported within a round trip and a hand-shake
        (self.in_flight.len() as f64) < self.slots
            && self.oldest_wait(now).is_none_or(|wait| wait <= NOTIFICATION_TIMEOUT)
    }

    /// The work that all nodes together may send here within a window, while it is cold.
    pub(super) fn slow_start_budget(&self, limits: &SlowStart, now: Instant) -> Option<f64> {
        let started = self.warming_since.max(self.died).filter(|&at| now < at + limits.warm_up)?;
        Some(limits.least(now.since(started)) * self.capacity * limits.fall_factor)
    }

    /// Whether a cold executor can take one more request, of `mean` size: it falls by their number more
    /// than by their size. Its budget is split among as many nodes as get a request each of it, one at least:
    /// those nearest after its fixed hash; the others leave it alone until it is warm. Guards against all
    /// nodes together pushing it over, and against one that idles since the few that may use it see little.
    pub(super) fn slow_start_admits(&self, limits: &SlowStart, nodes: u64, now: Instant, mean: f64) -> bool {
        const USED: f64 = 0.8; // of the budget: the rest covers one slower than its kind
        const FIRST: usize = 3; // in flight before any answer: a long one must not keep all others out
        let Some(budget) = self.slow_start_budget(limits, now) else { return true };
        let most = budget * USED / mean;
        let owners = (most as u64).clamp(1, nodes);
        let window = limits.fall_window + RECEIPT_TIMEOUT;
        let sent = self.warming_sends.iter().filter(|&&at| now.since(at) <= window).count();
        now >= limits.from
            && self.distance < owners
            && self.in_flight.len() < FIRST + self.answers
            && (sent + 1) as f64 <= most / owners as f64
    }
}
