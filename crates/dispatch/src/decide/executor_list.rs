//! The executor list: it is followed, and no decision goes by an outdated one.

use super::{Dispatcher, RECEIPT_TIMEOUT, WATCH_TIMER, executor::Executor};
use crate::ids::fixed_hash;
use crate::time::DurationExt;
use crate::{AttemptId, Duration, ExecutorId, ExecutorStatus, Host, Instant, ListUpdate, ListedExecutor};
use grebeusher_sizing::rendezvous;
use rand::Rng;

impl<H: Host> Dispatcher<H> {
    /// The executor list came, or changes of it.
    pub fn update_executors(&mut self, now: Instant, update: ListUpdate, entries: &[ListedExecutor<'_>]) {
        self.watch_attempts = 0;
        if update == ListUpdate::Complete {
            self.executors.iter_mut().for_each(|e| e.status = ExecutorStatus::Gone);
        }
        for entry in entries {
            let index = entry.executor.0;
            // What is known of its kind holds for a new one: while it is cold its budget goes by that.
            let peer = self.executors.iter().find(|e| e.kind == entry.kind);
            let (capacity, pace, most_free) =
                peer.map_or((1., 1., 0.), |e| (e.capacity, e.pace, e.most_free));
            let new = || Executor { capacity, pace, most_free, slots: 1.0, ..Executor::default() };
            self.executors.resize_with(self.executors.len().max(index + 1), new);
            let e = &mut self.executors[index];
            e.hash = fixed_hash(entry.name);
            e.rank = rendezvous(self.node.wrapping_add(1), e.hash);
            e.distance = (self.node % self.nodes + self.nodes - e.hash % self.nodes) % self.nodes;
            (e.status, e.reports_own_status) = (entry.status, entry.reports_own_status);
            (e.kind, e.zone, e.cell) = (entry.kind, entry.zone, entry.cell);
            e.weight = if entry.weight > 0.0 && entry.weight.is_finite() { entry.weight } else { 1.0 };
            if entry.started > e.started {
                // A restarted process is cold and owes nothing to its past.
                e.started = entry.started;
                let error = self.slow_start.start_time_error;
                e.warming_since = entry.started.map(|at| at.max(now.min(at + error)));
                (e.reported, e.utilisation, e.answers) = (None, 0.0, 0);
                e.ejected_until = Instant(0);
                e.warming_sends.clear();
            }
        }
        self.form_lanes(now);
        self.serve_pending(now);
    }

    /// All that discovery had at `as_of` is known here; `answered`: discovery said so itself. Once what it had
    /// later counts as announced, and the grace is over, nothing goes by the list alone.
    pub fn executor_list_confirmed(&mut self, as_of: Instant, answered: bool) {
        self.watch_attempts *= u32::from(!answered);
        const NOTIFICATION_TIMEOUT: Duration = Duration::from_millis(6000); // whatever became of the node's calls
        self.list_until = Some(as_of + NOTIFICATION_TIMEOUT + self.policy.grace - RECEIPT_TIMEOUT);
    }

    /// The list could not be had, or its changes stopped coming.
    pub fn executor_list_lost(&mut self) {
        if !self.signals.must_watch_executors {
            return;
        }
        // All nodes lose it together: 0.1 to 0.6 s, so that a few calls fit into 6 s; doubled up to 4.8 s.
        let wait = (0.1 + 0.5 * self.rng.random::<f64>()) * f64::from(1 << self.watch_attempts.min(3));
        self.watch_attempts += 1;
        self.host.set_timer(Duration::from_seconds(wait), WATCH_TIMER);
    }

    /// How many executors are listed, and how many of these get nothing now: they drain or are ejected.
    pub fn executor_counts(&self, now: Instant) -> (usize, usize) {
        let listed = self.executors.iter().filter(|e| e.status != ExecutorStatus::Gone);
        let out = |e: &&Executor| e.status == ExecutorStatus::Draining || now < e.ejected_until;
        (listed.clone().count(), listed.filter(out).count())
    }

    /// Whether an attempt that waited for a connection may still go to its executor. Guards against one that begins
    /// after a drain was announced or may have been, or after its deduplication window.
    pub fn may_send_now(&self, now: Instant, id: AttemptId, executor: ExecutorId) -> bool {
        let (e, Some(work)) = (&self.executors[executor.0], self.requests.get(&id.request)) else {
            return false;
        };
        let effect = self.classes[work.class].effect;
        let earlier = &work.attempts[..id.number];
        e.status == ExecutorStatus::Ready
            && self.status_is_current(now, e)
            && self.may_repeat(now, effect, earlier, e)
    }

    /// Whether its known status is recent enough to act on.
    pub(super) fn status_is_current(&self, now: Instant, e: &Executor) -> bool {
        e.reports_own_status || self.list_until.is_none_or(|until| now < until)
    }
}
