//! What starts, outcomes and load reports show about executors, and outlier ejection.

use super::{Dispatcher, executor::InFlight, pending::Attempt};
use crate::time::DurationExt;
use crate::{AttemptId, AttemptOutcome, Duration, ExecutorId, Host, Instant, LoadReport};
use rand::Rng;

impl<H: Host> Dispatcher<H> {
    /// An executor reported the start or the progress of an attempt.
    pub fn attempt_progressed(&mut self, now: Instant, id: AttemptId, executor: ExecutorId) {
        let Some(e) = self.executors.get_mut(executor.0) else { return };
        if let Some(attempt) = e.in_flight.iter_mut().find(|attempt| attempt.id == id) {
            if attempt.started.is_none() {
                // Where starts are not reported, the first progress report proves a start at most one interval ago.
                let started = attempt.sent.max(now - self.signals.start_lag().unwrap_or_default());
                attempt.started = Some(started);
                (e.last_wait_s, e.last_start) = (started.since(attempt.sent).seconds(), started);
            }
            attempt.last_report = now;
        }
        e.used_slots = e.used_slots.max(e.in_flight.iter().filter(|a| a.started.is_some()).count() as f64);
        // Once one attempt of a request has started, the others are cancelled.
        let Some(pending) = self.requests.get(&id.request) else { return };
        let others = pending.attempts.iter().enumerate().filter(|(n, a)| *n != id.number && a.is_active());
        let others: Vec<usize> = others.map(|(number, _)| number).collect();
        if pending.attempts.get(id.number).is_some_and(Attempt::is_active) {
            others.into_iter().for_each(|number| self.cancel_attempt(AttemptId { number, ..id }));
        }
    }

    /// An attempt ended; `finished` if its request has had its final answer.
    pub fn attempt_ended(
        &mut self,
        now: Instant,
        id: AttemptId,
        executor: ExecutorId,
        outcome: AttemptOutcome,
        finished: bool,
        report: Option<LoadReport>,
    ) {
        self.load_reported(now, executor, report);
        self.record_outcome(now, id, executor, outcome);
        if let Some(pending) = self.requests.get_mut(&id.request) {
            if let Some(attempt) = pending.attempts.get_mut(id.number) {
                attempt.open = false;
                attempt.may_have_run = !outcome.proves_not_executed();
            }
            if finished { self.finish(id.request) } else { self.retry_or_answer(now, id.request, outcome) }
        }
        self.serve_queued(now);
    }

    /// A probe ended or a load report arrived. A missing report changes nothing: the queue may be full, or a message lost.
    pub fn load_reported(&mut self, now: Instant, executor: ExecutorId, report: Option<LoadReport>) {
        let Some((e, report)) = self.executors.get_mut(executor.0).zip(report) else { return };
        if let Some(utilisation) = report.utilisation.filter(|value| value.is_finite()) {
            e.utilisation = utilisation.clamp(0.0, 1.0);
            e.reported = Some(now);
        }
        if let Some(free) = report.free_slots.filter(|value| value.is_finite()) {
            e.max_free = e.max_free.max(free.round());
            // Cores may be idle while requests that wait for something hold all slots: without a free slot there is no room.
            e.utilisation = e.utilisation.max(1.0 - free / e.width()).clamp(0.0, 1.0);
            let (kind, max_free) = (e.kind, e.max_free);
            let same_kind = self.executors.iter_mut().filter(|e| e.kind == kind); // these have as many slots
            same_kind.for_each(|e| e.max_free = e.max_free.max(max_free));
        }
    }

    fn record_outcome(&mut self, now: Instant, id: AttemptId, executor: ExecutorId, outcome: AttemptOutcome) {
        let Some(e) = self.executors.get_mut(executor.0) else { return };
        let attempt = e.in_flight.iter().position(|a| a.id == id).map(|index| e.in_flight.swap_remove(index));
        self.attempts_in_flight -= usize::from(attempt.is_some());
        match outcome {
            AttemptOutcome::Served => {
                e.served += 1;
                match attempt {
                    Some(InFlight { started: Some(started), size, slots, .. }) => {
                        (e.work_s, e.slot_s) =
                            (e.work_s + size, e.slot_s + now.since(started).seconds() * slots);
                    }
                    // Without reported starts and load sharing, the answer shows the wait: the elapsed time less the run time.
                    // Guards against unseen queues of requests that run for less than a progress interval.
                    Some(a) if !self.signals.reports_starts && !self.sharing.allowed => {
                        let run_s = a.size / a.slots / e.speed.max(1.0);
                        let elapsed_s = now.since(a.sent).seconds();
                        // The speed is learned only from an executor less than half used, where almost nothing waits; and
                        // `run_s` is at most that of a standard core, lest a speed that includes a wait hide the next wait.
                        if e.in_flight.is_empty() && e.utilisation < 0.5 {
                            (e.work_s, e.slot_s) = (e.work_s + a.size, e.slot_s + elapsed_s * a.slots);
                        }
                        e.last_wait_s = (elapsed_s - run_s).max(0.0);
                        e.last_start = now;
                    }
                    _ => {}
                }
            }
            // A full queue drains in about the run time of a request. Until then nothing is sent: a full executor rejects at
            // once, and would draw the more requests the fuller it is.
            AttemptOutcome::Full => {
                e.ejected_until = now + Duration::from_seconds(0.5 + 0.5 * self.rng.random::<f64>());
            }
            AttemptOutcome::Reset => e.reset = Some(now),
            AttemptOutcome::Error => self.eject(now, executor),
            AttemptOutcome::Refused => {
                // A broken connection followed by a refused one: the process has crashed, and its successor is cold long
                // before the executor list says so. Guards against overloading the successor.
                const CRASH_WINDOW: Duration = Duration::from_millis(5000);
                if e.reset.is_some_and(|reset| now.since(reset) < CRASH_WINDOW) {
                    (e.crashed, e.served) = (Some(now), 0);
                }
                self.eject(now, executor);
            }
            _ => {}
        }
    }

    /// Leaves an executor out for a fixed time plus a random one, so that the nodes do not all return to it at once. At most
    /// half of the ready executors are ejected: a fault common to all is not that of a single one.
    pub(super) fn eject(&mut self, now: Instant, executor: ExecutorId) {
        const FIXED_S: f64 = 3.0; // outlasts most short faults, and is short enough to notice the end of a long one
        const MAX_RANDOM_S: f64 = 2.0;
        let ejected = self.ready().filter(|e| e.ejected_until > now).count();
        if (ejected + 1) * 2 <= self.ready_order.len() {
            let span = Duration::from_seconds(FIXED_S + MAX_RANDOM_S * self.rng.random::<f64>());
            self.executors[executor.0].ejected_until = now + span;
        }
    }
}
