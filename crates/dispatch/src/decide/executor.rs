//! What is known of one executor, and what a node's own attempts show about its load, its wait and its room.

use super::RECEIPT_DELAY;
use crate::time::DurationExt;
use crate::{AttemptId, Duration, ExecutorStatus, Instant, SlowStart};

/// An attempt in flight at an executor.
pub(super) struct InFlight {
    pub(super) id: AttemptId,
    pub(super) size: f64, // in seconds of a standard core
    pub(super) slots: f64,
    pub(super) sent: Instant,
    /// When its start would have been reported if it had started at once.
    pub(super) start_due: Instant,
    pub(super) started: Option<Instant>,
    pub(super) last_report: Instant,
}

/// What is known of one executor. It is cold while it is in slow start.
#[derive(Default)]
pub(super) struct Executor {
    pub(super) hash: u64, // of its name
    pub(super) status: ExecutorStatus,
    pub(super) reports_own_status: bool,
    pub(super) started: Option<Instant>, // as listed
    /// The latest time at which its process can have started: the listed start plus its error, but not after it was listed.
    pub(super) cold_since: Option<Instant>,
    pub(super) kind: usize,
    pub(super) zone: usize,
    pub(super) cell: usize,
    pub(super) weight: f64,
    pub(super) lane: usize,
    pub(super) utilisation: f64,          // from the last report
    pub(super) reported: Option<Instant>, // when that report arrived
    /// Its rank in this node's order of preference; the lowest is preferred.
    pub(super) rank: u64,
    /// How many nodes, counted from its hash on, precede this one among those that may send to it while it is cold.
    pub(super) slow_start_rank: u64,
    pub(super) probed: Instant, // when this node last probed it
    /// The most slots that this node's attempts filled at once, and the most that were reported free. Reports are inexact and
    /// late, so whether it has room goes by the first alone; what all nodes may send goes by both.
    pub(super) used_slots: f64,
    pub(super) max_free: f64,
    pub(super) in_flight: Vec<InFlight>,
    /// The slots that other nodes fill here, with the time of that figure; and those that this node last reported to them.
    pub(super) other_slots: Option<(Instant, f64)>,
    pub(super) reported_slots: u8,
    pub(super) served: usize,            // attempts answered since it started
    pub(super) reset: Option<Instant>,   // when a connection to it was last reset
    pub(super) crashed: Option<Instant>, // when it was last found to have crashed
    /// Summed size of this node's answered requests, in seconds of a standard core, and the seconds that they held slots.
    pub(super) work_s: f64,
    pub(super) slot_s: f64,
    /// How many standard cores one slot, and all slots, of its kind are worth when warm; 1 until that is learned.
    pub(super) speed: f64,
    pub(super) capacity: f64,
    pub(super) ejected_until: Instant,
    pub(super) last_wait_s: f64,    // of the attempt that started last
    pub(super) last_start: Instant, // of that attempt
    /// When attempts were sent to it while it was cold, as far back as the slow-start window.
    pub(super) cold_sends: Vec<Instant>,
}

impl Executor {
    /// The slots that all nodes together fill or wait for here; `None` without recent shared load.
    pub(super) fn filled(&self, now: Instant) -> Option<f64> {
        const STALE: Duration = Duration::from_millis(1500); // a few messages may get lost
        // Before the first report its width is a guess, by which every executor would look full.
        let (_, others) = self.other_slots.filter(|(at, _)| self.max_free > 0.0 && now.since(*at) < STALE)?;
        Some(others + self.own_slots())
    }

    pub(super) fn own_slots(&self) -> f64 {
        self.in_flight.iter().map(|a| a.slots).sum()
    }

    /// The largest number of slots that it was seen to have.
    pub(super) fn width(&self) -> f64 {
        self.used_slots.max(self.max_free)
    }

    /// The utilisation now: the last report plus this node's attempts since it was taken, as reports are late. Guards against
    /// a burst of attempts to an executor that looks idle. `None` where nothing is known.
    pub(super) fn load(&self, now: Instant) -> Option<f64> {
        const REPORT_LAG: Duration = Duration::from_millis(1000); // a report averages over this and misses the newest attempts
        const STALE: Duration = Duration::from_millis(6000); // several usual report intervals, after which it is worthless
        if let Some(filled) = self.filled(now) {
            return Some(filled / self.width());
        }
        let own = self.in_flight.len() as f64 / self.used_slots;
        match self.reported {
            Some(reported) if now.since(reported) < STALE => {
                let recent = self.in_flight.iter().filter(|a| a.sent > reported - REPORT_LAG).count();
                Some((self.utilisation + recent as f64 / self.used_slots).max(own))
            }
            _ if own > 0.0 => Some(own),
            _ => None,
        }
    }

    /// How many seconds this node's attempts wait here for a slot: the longest wait of one in flight, or the wait of the last
    /// one that started, which halves every `HALF_LIFE_S`. `None` where nothing was sent lately.
    pub(super) fn wait_s(&self, now: Instant) -> Option<f64> {
        const HALF_LIFE_S: f64 = 2.0; // about the run time of a few requests, in which a queue changes
        const STALE_S: f64 = 6.0; // as for a load report
        let age_s = now.since(self.last_start).seconds();
        let past = (age_s < STALE_S).then(|| self.last_wait_s * 0.5_f64.powf(age_s / HALF_LIFE_S));
        past.into_iter().chain(self.longest_wait_s(now)).reduce(f64::max)
    }

    fn longest_wait_s(&self, now: Instant) -> Option<f64> {
        let waiting = self.in_flight.iter().filter(|a| a.started.is_none() && a.start_due <= now);
        waiting.map(|a| now.since(a.start_due).seconds()).reduce(f64::max)
    }

    /// Whether this node's own attempts leave room for one more. Late reports would draw all nodes to the few that look free.
    pub(super) fn has_room(&self, now: Instant) -> bool {
        const START_REPORT_S: f64 = 0.06; // a start is reported within a round trip and a handshake
        (self.in_flight.len() as f64) < self.used_slots
            && self.longest_wait_s(now).is_none_or(|wait_s| wait_s <= START_REPORT_S)
    }

    /// How many seconds of a standard core's work all nodes together may send within a window; `None` unless it is cold.
    pub(super) fn slow_start_budget(&self, limits: &SlowStart, now: Instant) -> Option<f64> {
        let started = self.cold_since.max(self.crashed).filter(|&started| now < started + limits.warm_up)?;
        Some(limits.min_work_s(now.since(started)) * self.capacity * limits.overload_factor)
    }

    /// Whether it may be sent one more request. Each counts as one of mean `size`: a cold executor is overloaded by the number
    /// of requests more than by their sizes. The budget is split among as many nodes as get a request each of it (at least
    /// one), by rank; the others send nothing until it is warm. Guards against all nodes together overloading it, and against
    /// an executor that stays idle because the few nodes that may use it see little traffic.
    pub(super) fn slow_start_admits(&self, limits: &SlowStart, nodes: u64, now: Instant, size: f64) -> bool {
        const USED_SHARE: f64 = 0.8; // of the budget; the rest covers an executor that is slower than its kind
        const MIN_LIMIT: usize = 3; // attempts in flight before any answer: one long request must not keep others out
        let Some(budget) = self.slow_start_budget(limits, now) else { return true };
        let max_requests = budget * USED_SHARE / size;
        let sender_count = (max_requests as u64).clamp(1, nodes);
        let window = limits.window + RECEIPT_DELAY;
        let sent = self.cold_sends.iter().filter(|&&sent| now.since(sent) <= window).count();
        now >= limits.not_before
            && self.slow_start_rank < sender_count
            && self.in_flight.len() < MIN_LIMIT + self.served
            && (sent + 1) as f64 <= max_requests / sender_count as f64
    }
}
