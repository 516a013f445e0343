//! Retries and hedges: when a request may be sent again, and how many may be.

use super::{ANSWER_MARGIN, Dispatcher, MAX_SILENCE, RECEIPT_TIMEOUT, REQUEST_TIMERS};
use super::{executor::Executor, pending::Attempt};
use crate::time::DurationExt;
use crate::{AttemptId, AttemptOutcome, Duration, Effect, Host, Instant, RequestId};

impl<H: Host> Dispatcher<H> {
    /// Whether what may have run of a request leaves it this executor.
    pub(super) fn may_repeat(&self, now: Instant, effect: Effect, earlier: &[Attempt], e: &Executor) -> bool {
        let ran = earlier.iter().find(|a| a.may_have_run).map(|a| (a.sent, &self.executors[a.executor.0]));
        ran.is_none_or(|(sent, at)| effect.may_repeat(now, sent, at.zone == e.zone, at.cell == e.cell))
    }

    /// Looks at a request that is out and may be sent again: one that waits is hedged where there is room,
    /// or moved where cancelling takes it out of its queue; one whose executor fell silent goes to one with room.
    pub(super) fn review(&mut self, now: Instant, request: RequestId) {
        const REVIEW_INTERVAL: Duration = Duration::from_millis(250); // a few looks within the shortest latency objectives
        let Some(work) = self.requests.get(&request) else { return };
        if work.pending && work.pending_until <= now {
            return self.answer(request);
        }
        if work.response_started || work.pending || self.classes[work.class].effect == Effect::NonIdempotent {
            return;
        }
        let out = work.attempts.iter().enumerate().filter(|(_, a)| a.is_out());
        let in_flight = out.filter_map(|(number, a)| {
            let id = AttemptId { request, number };
            self.executors[a.executor.0].in_flight.iter().find(|f| f.id == id).map(|f| (a.executor, f))
        });
        // What has started counts, else what was sent last.
        let latest = in_flight.max_by_key(|(_, f)| (f.started.is_some(), f.sent));
        let Some((executor, attempt)) = latest else { return };
        let id = attempt.id;
        let silent_at = self.signals.progress.map(|pace| attempt.last_report + pace.scaled(MAX_SILENCE));
        let silent = attempt.started.is_some() && silent_at.is_some_and(|at| at < now);
        // Without hedging a cancelled one may run on, and where starts are not reported any may have started
        // long before.
        let unstarted = self.signals.reports_starts && attempt.started.is_none();
        let hedging = self.policy.hedging;
        let waits = unstarted && now > attempt.sent && (hedging || self.policy.cancel_dequeues);
        let late = work.slack(now) < 0.0;
        let lost = waits && hedging && late && self.classes[work.class].effect.client_may_retry();
        if silent {
            self.eject(now, executor);
        }
        if (waits || silent)
            && self.may_attempt(request, self.policy.cancellation)
            && self.may_retry(now)
            && let Some(better) = self.pick(now, request).filter(|picked| picked.has_room)
            && self.host.may_retry(request)
        {
            // One that waits keeps its place there, where two may be out: whichever starts first has it.
            if !(waits && hedging) {
                self.cancel_attempt(id);
            }
            if hedging {
                self.send(now, request, better.executor);
            }
            return;
        }
        // No room anywhere and too late already: waiting on, it only makes the next one late as well.
        if lost {
            return self.answer(request);
        }
        // What runs, or may, is looked at when it would be silent. Guards against a second of looks at each.
        let next = match silent_at {
            _ if unstarted => REVIEW_INTERVAL,
            Some(at) => at.since(now).max(REVIEW_INTERVAL),
            None => return,
        };
        self.host.set_timer(next, REQUEST_TIMERS + request.0);
    }

    /// Cancels an attempt: without hedging its request goes elsewhere when that has ended.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId) {
        if let Some(work) = self.requests.get_mut(&id.request) {
            work.attempts[id.number].cancelled = true;
        }
        if self.policy.cancellation {
            self.host.cancel(id);
        }
    }

    /// Whether the budget of retries, where there is one, has one more now. What came is counted
    /// a little shorter and what was sent a little longer than the span: whoever checks may hear later.
    pub(super) fn may_retry(&mut self, now: Instant) -> bool {
        let Some(budget) = self.policy.retry_budget else { return true };
        while self.arrival_times.front().is_some_and(|&at| now.since(at) + RECEIPT_TIMEOUT >= budget.span) {
            self.arrival_times.pop_front();
        }
        while self.retry_times.front().is_some_and(|&at| now.since(at) > budget.span + RECEIPT_TIMEOUT) {
            self.retry_times.pop_front();
        }
        (self.retry_times.len() + 1) as f64 <= budget.free + budget.share * self.arrival_times.len() as f64
    }

    /// Whether one more attempt is allowed; `cancelling`: the open ones are about to be cancelled.
    fn may_attempt(&self, request: RequestId, cancelling: bool) -> bool {
        let work = &self.requests[&request];
        let open = work.attempts.iter().any(|a| a.open);
        let ran = work.attempts.iter().any(|a| a.may_have_run);
        let non_idempotent = self.classes[work.class].effect == Effect::NonIdempotent;
        work.attempts.len() < self.policy.max_attempts
            && !(non_idempotent && ran)
            && (!open || cancelling || self.policy.hedging)
    }

    /// An attempt ended without an answer: another one, or the final answer.
    pub(super) fn retry_or_answer(&mut self, now: Instant, request: RequestId, outcome: AttemptOutcome) {
        // A stream that has started is the answer, whatever became of a hedge and of the deadline.
        let Some(work) = self.requests.get(&request).filter(|w| !w.response_started) else { return };
        // No other will make anything of it. Guards against one bad client having all executors ejected.
        if outcome == AttemptOutcome::Unusable {
            self.finish(request);
            return self.host.fail(request);
        }
        let out_of_time = work.deadline <= now + ANSWER_MARGIN;
        if !out_of_time && work.attempts.iter().any(|a| a.open) {
            return; // a hedge is still in flight
        }
        if out_of_time || outcome == AttemptOutcome::NeverSent || !self.may_attempt(request, false) {
            return self.answer(request);
        }
        self.place(now, request);
    }
}
