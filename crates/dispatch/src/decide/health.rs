//! What starts, outcomes and reports say of executors, and outlier ejection.

use super::{Dispatcher, executor::InFlight, pending::Attempt};
use crate::time::DurationExt;
use crate::{AttemptId, AttemptOutcome, Duration, ExecutorId, Host, Instant, LoadReport};
use rand::Rng;

impl<H: Host> Dispatcher<H> {
    /// An executor reported that an attempt started, or how far it is.
    pub fn attempt_progressed(&mut self, now: Instant, id: AttemptId, executor: ExecutorId) {
        let Some(e) = self.executors.get_mut(executor.0) else { return };
        if let Some(attempt) = e.in_flight.iter_mut().find(|f| f.id == id) {
            if attempt.started.is_none() {
                // Where starts are not reported the first report of progress proves one, a pace ago at most.
                let started = attempt.sent.max(now - self.signals.start_lag().unwrap_or_default());
                attempt.started = Some(started);
                (e.last_wait, e.last_start) = (started.since(attempt.sent).seconds(), started);
            }
            attempt.last_report = now;
        }
        e.slots = e.slots.max(e.in_flight.iter().filter(|f| f.started.is_some()).count() as f64);
        // The other attempts of a request that has started wait for nothing.
        let Some(work) = self.requests.get(&id.request) else { return };
        let others = work.attempts.iter().enumerate().filter(|(n, a)| *n != id.number && a.is_out());
        let others: Vec<usize> = others.map(|(number, _)| number).collect();
        if work.attempts.get(id.number).is_some_and(Attempt::is_out) {
            others.into_iter().for_each(|number| self.cancel_attempt(AttemptId { number, ..id }));
        }
    }

    /// An attempt ended. `finished`: its request has had its final answer.
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
        if let Some(work) = self.requests.get_mut(&id.request) {
            if let Some(attempt) = work.attempts.get_mut(id.number) {
                attempt.open = false;
                attempt.may_have_run = !outcome.proves_not_executed();
            }
            if finished { self.finish(id.request) } else { self.retry_or_answer(now, id.request, outcome) }
        }
        self.serve_pending(now);
    }

    /// A probe ended, or something else that may bring a report. A probe without an answer may mean a full
    /// waiting room or a loss on the way: that says too little to act on.
    pub fn load_reported(&mut self, now: Instant, executor: ExecutorId, report: Option<LoadReport>) {
        let Some((e, report)) = self.executors.get_mut(executor.0).zip(report) else { return };
        if let Some(utilisation) = report.utilisation.filter(|u| u.is_finite()) {
            e.utilisation = utilisation.clamp(0.0, 1.0);
            e.reported = Some(now);
        }
        if let Some(free) = report.free_slots.filter(|f| f.is_finite()) {
            e.most_free = e.most_free.max(free.round());
            // Cores may idle while every slot is held by work that waits for something: no slot, no room.
            e.utilisation = e.utilisation.max(1.0 - free / e.width()).clamp(0.0, 1.0);
            let (kind, most_free) = (e.kind, e.most_free);
            // What one of a kind has all have.
            let same_kind = self.executors.iter_mut().filter(|e| e.kind == kind);
            same_kind.for_each(|e| e.most_free = e.most_free.max(most_free));
        }
    }

    /// What an outcome says of the executor.
    fn record_outcome(&mut self, now: Instant, id: AttemptId, executor: ExecutorId, outcome: AttemptOutcome) {
        let Some(e) = self.executors.get_mut(executor.0) else { return };
        let attempt = e.in_flight.iter().position(|f| f.id == id).map(|at| e.in_flight.swap_remove(at));
        self.out -= usize::from(attempt.is_some());
        match outcome {
            AttemptOutcome::Served => {
                e.answers += 1;
                match attempt {
                    Some(InFlight { started: Some(at), size, slots, .. }) => {
                        (e.done, e.ran) = (e.done + size, e.ran + now.since(at).seconds() * slots);
                    }
                    // Where neither starts nor other nodes tell, the answer tells the wait: all that it took
                    // beyond its own run. Guards against queues unseen as work runs for less than a pace.
                    Some(f) if !self.signals.reports_starts && !self.sharing.allowed => {
                        let run = f.size / f.slots / e.pace.max(1.0);
                        let took = now.since(f.sent).seconds();
                        // Paces only from one that is half idle, where next to nothing waits; and a run of a
                        // standard core's at most: a pace that held some waiting must not hide the next.
                        if e.in_flight.is_empty() && e.utilisation < 0.5 {
                            (e.done, e.ran) = (e.done + f.size, e.ran + took * f.slots);
                        }
                        e.last_wait = (took - run).max(0.0);
                        e.last_start = now;
                    }
                    _ => {}
                }
            }
            // A full waiting room empties in about a run: nothing until then, or it would answer fastest
            // of all and draw the more work the fuller it is.
            AttemptOutcome::Full => {
                e.ejected_until = now + Duration::from_seconds(0.5 + 0.5 * self.rng.random::<f64>());
            }
            AttemptOutcome::Reset => e.reset = Some(now),
            AttemptOutcome::Error => self.eject(now, executor),
            AttemptOutcome::Refused => {
                // Connections broke and now none is made: the process is gone, and what comes back under
                // this id is cold long before the list says so. Guards against overloading it unknowingly.
                const TOGETHER: Duration = Duration::from_millis(5000);
                if e.reset.is_some_and(|at| now.since(at) < TOGETHER) {
                    (e.died, e.answers) = (Some(now), 0);
                }
                self.eject(now, executor);
            }
            _ => {}
        }
    }

    /// Leaves an executor out for a fixed time plus a random part, so that the nodes do not come back
    /// together. Never more than half of the ready ones: a fault of all is not the fault of each.
    pub(super) fn eject(&mut self, now: Instant, executor: ExecutorId) {
        // Long enough to pass over most of a short fault, short enough to find the end of a long one.
        const FIXED_S: f64 = 3.0;
        const RANDOM_S: f64 = 2.0;
        let out = self.ready().filter(|e| e.ejected_until > now).count();
        if (out + 1) * 2 <= self.ready_order.len() {
            let span = Duration::from_seconds(FIXED_S + RANDOM_S * self.rng.random::<f64>());
            self.executors[executor.0].ejected_until = now + span;
        }
    }
}
