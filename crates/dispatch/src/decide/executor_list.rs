//! The executor list: its updates, and whether it is recent enough for a decision.

use super::{Dispatcher, RECEIPT_DELAY, WATCH_TIMER, executor::Executor};
use crate::ids::fixed_hash;
use crate::time::DurationExt;
use crate::{AttemptId, Duration, ExecutorId, ExecutorStatus, Host, Instant, ListUpdate, ListedExecutor};
use grebeusher_sizing::rendezvous;
use rand::Rng;

impl<H: Host> Dispatcher<H> {
    /// The executor list or changes of it arrived.
    pub fn update_executors(&mut self, now: Instant, update: ListUpdate, entries: &[ListedExecutor<'_>]) {
        self.watch_failures = 0;
        if update == ListUpdate::Complete {
            self.executors.iter_mut().for_each(|e| e.status = ExecutorStatus::Gone);
        }
        for entry in entries {
            let index = entry.executor.0;
            // A new executor starts with what is known of its kind, by which its budget goes while it is cold.
            let same_kind = self.executors.iter().find(|e| e.kind == entry.kind);
            let (capacity, speed, max_free) =
                same_kind.map_or((1., 1., 0.), |e| (e.capacity, e.speed, e.max_free));
            let new = || Executor { capacity, speed, max_free, used_slots: 1.0, ..Executor::default() };
            self.executors.resize_with(self.executors.len().max(index + 1), new);
            let e = &mut self.executors[index];
            e.hash = fixed_hash(entry.name);
            e.rank = rendezvous(self.node.wrapping_add(1), e.hash);
            e.slow_start_rank =
                (self.node % self.node_count + self.node_count - e.hash % self.node_count) % self.node_count;
            (e.status, e.reports_own_status) = (entry.status, entry.reports_own_status);
            (e.kind, e.zone, e.cell) = (entry.kind, entry.zone, entry.cell);
            e.weight = if entry.weight > 0.0 && entry.weight.is_finite() { entry.weight } else { 1.0 };
            if entry.started > e.started {
                // A restarted process is cold, and what was reported of the earlier one no longer holds.
                e.started = entry.started;
                let error = self.slow_start.start_time_error;
                e.cold_since = entry.started.map(|started| started.max(now.min(started + error)));
                (e.reported, e.utilisation, e.served) = (None, 0.0, 0);
                e.ejected_until = Instant(0);
                e.cold_sends.clear();
            }
        }
        self.form_lanes(now);
        self.serve_queued(now);
    }

    /// This node has the list as discovery had it at `as_of`; `answered` if discovery itself said so. The list is valid until a
    /// later change counts as announced, even if it did not arrive here, and the drain grace is over.
    pub fn executor_list_confirmed(&mut self, as_of: Instant, answered: bool) {
        self.watch_failures *= u32::from(!answered);
        const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(6000); // even if this node's calls fail
        self.list_valid_until = Some(as_of + ANNOUNCEMENT_TIMEOUT + self.policy.drain_grace - RECEIPT_DELAY);
    }

    /// A request for the list failed, or the stream of its changes broke.
    pub fn executor_list_lost(&mut self) {
        if !self.signals.must_watch_executors {
            return;
        }
        // Random, as all nodes lose it together: 0.1 to 0.6 s, so that a few calls fit into 6 s; doubled each time to 4.8 s.
        let delay_s = (0.1 + 0.5 * self.rng.random::<f64>()) * f64::from(1 << self.watch_failures.min(3));
        self.watch_failures += 1;
        self.host.set_timer(Duration::from_seconds(delay_s), WATCH_TIMER);
    }

    /// The number of listed executors, and the number of these to which nothing is sent, as they drain or are ejected.
    pub fn executor_counts(&self, now: Instant) -> (usize, usize) {
        let listed = self.executors.iter().filter(|e| e.status != ExecutorStatus::Gone);
        let is_out = |e: &&Executor| e.status == ExecutorStatus::Draining || now < e.ejected_until;
        (listed.clone().count(), listed.filter(is_out).count())
    }

    /// Whether an attempt that waited for a connection may still be sent. Guards against one that is sent after a drain was or
    /// may have been announced, or after its deduplication window.
    pub fn may_send_now(&self, now: Instant, id: AttemptId, executor: ExecutorId) -> bool {
        let (e, Some(pending)) = (&self.executors[executor.0], self.requests.get(&id.request)) else {
            return false;
        };
        let effect = self.classes[pending.class].effect;
        let earlier = &pending.attempts[..id.number];
        e.status == ExecutorStatus::Ready
            && self.status_is_current(now, e)
            && self.may_repeat(now, effect, earlier, e)
    }

    /// Whether the known status of an executor is recent enough for a decision.
    pub(super) fn status_is_current(&self, now: Instant, e: &Executor) -> bool {
        e.reports_own_status || self.list_valid_until.is_none_or(|until| now < until)
    }
}
