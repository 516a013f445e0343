//! Retries: when a request may be sent again, and how many may be.

use super::{ANSWER_MARGIN, Dispatcher, FIRST_REQUEST_TIMER, MAX_SILENT_INTERVALS, RECEIPT_TIMEOUT};
use super::{executor::Executor, pending::Attempt};
use crate::time::DurationExt;
use crate::{AttemptId, AttemptOutcome, Duration, Effect, Host, Instant, RequestId};

impl<H: Host> Dispatcher<H> {
    /// Whether what may have run of a request leaves it this executor.
    pub(super) fn may_repeat(&self, now: Instant, effect: Effect, earlier: &[Attempt], e: &Executor) -> bool {
        let ran = earlier.iter().find(|a| a.may_have_run).map(|a| (a.sent, &self.executors[a.executor.0]));
        ran.is_none_or(|(sent, at)| effect.may_repeat(now, sent, at.zone == e.zone, at.cell == e.cell))
    }

    /// Looks at a request that is out and may be sent again: one that waits gets a further place where
    /// there is room, or leaves its own where a recall stops it; one whose executor fell silent goes to one
    /// with room.
    pub(super) fn review(&mut self, now: Instant, request: RequestId) {
        const AGAIN: Duration = Duration::from_millis(250); // a few looks within the shortest latency objectives
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
        let told = in_flight.max_by_key(|(_, f)| (f.started.is_some(), f.sent));
        let Some((executor, attempt)) = told else { return };
        let id = attempt.id;
        let silent_at = self.progress.map(|pace| attempt.heard + pace.scaled(MAX_SILENT_INTERVALS));
        let silent = attempt.started.is_some() && silent_at.is_some_and(|at| at < now);
        // Where no second copy is allowed a recalled one may run on, and where starts are not told any may
        // have started long before.
        let unstarted = self.reports_starts && attempt.started.is_none();
        let twice = self.policy.hedging;
        let waits = unstarted && now > attempt.sent && (twice || self.policy.cancel_dequeues);
        let lost =
            waits && twice && work.slack(now) < 0.0 && self.classes[work.class].effect.client_may_retry();
        if silent {
            self.eject(now, executor);
        }
        if (waits || silent)
            && self.may_allocate(request, self.policy.cancellation)
            && self.may_retry(now)
            && let Some((better, true, _)) = self.pick(now, request)
            && self.host.may_retry(request)
        {
            // One that waits keeps its place there, where two may be out: whichever starts first has it.
            if !(waits && twice) {
                self.cancel_attempt(id);
            }
            if twice {
                self.send(now, request, better);
            }
            return;
        }
        // No room anywhere and too late already: waiting on, it only makes the next one late as well.
        if lost {
            return self.answer(request);
        }
        // What runs, or may, is looked at when it would be silent. Guards against a second of looks at each.
        let next = match silent_at {
            _ if unstarted => AGAIN,
            Some(at) => at.since(now).max(AGAIN),
            None => return,
        };
        self.host.set_timer(next, FIRST_REQUEST_TIMER + request.0);
    }

    /// Recalls an attempt: where no second copy is allowed its unit goes elsewhere when that has ended.
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

    /// Whether one more attempt is allowed; `recalling`: the open ones are about to be recalled.
    fn may_allocate(&self, request: RequestId, recalling: bool) -> bool {
        let work = &self.requests[&request];
        let open = work.attempts.iter().any(|a| a.open);
        let ran = work.attempts.iter().any(|a| a.may_have_run);
        let binding = self.classes[work.class].effect == Effect::NonIdempotent;
        work.attempts.len() < self.policy.max_attempts
            && !(binding && ran)
            && (!open || recalling || self.policy.hedging)
    }

    /// An attempt ended without an answer: another one, or the final answer.
    pub(super) fn retry_or_answer(&mut self, now: Instant, request: RequestId, ending: AttemptOutcome) {
        // A stream that has started is the answer, whatever became of another copy and of the deadline.
        let Some(work) = self.requests.get(&request).filter(|w| !w.response_started) else { return };
        // No other will make anything of it. Guards against one bad client having all executors ejected.
        if ending == AttemptOutcome::Unusable {
            self.finish(request);
            return self.host.fail(request);
        }
        let out_of_time = work.deadline <= now + ANSWER_MARGIN;
        if !out_of_time && work.attempts.iter().any(|a| a.open) {
            return; // another copy is still out
        }
        if out_of_time || ending == AttemptOutcome::NeverSent || !self.may_allocate(request, false) {
            return self.answer(request);
        }
        self.place(now, request);
    }
}
