//! Retries and hedges: when a request may be sent again, and how often.

use super::{ANSWER_MARGIN, Dispatcher, FIRST_REQUEST_TIMER, RECEIPT_DELAY, SILENT_INTERVALS};
use super::{executor::Executor, pending::Attempt};
use crate::time::DurationExt;
use crate::{AttemptId, AttemptOutcome, Duration, Effect, Host, Instant, RequestId};

impl<H: Host> Dispatcher<H> {
    /// Whether a request may go to this executor in view of the earlier attempts that may have run.
    pub(super) fn may_repeat(&self, now: Instant, effect: Effect, earlier: &[Attempt], e: &Executor) -> bool {
        let ran = earlier.iter().find(|a| a.may_have_run).map(|a| (a.sent, &self.executors[a.executor.0]));
        ran.is_none_or(|(sent, old)| effect.may_repeat(now, sent, old.zone == e.zone, old.cell == e.cell))
    }

    /// Reviews a request in flight that may be sent again. One that waits is hedged where there is room, or moved if a
    /// cancelled attempt leaves its queue; one whose executor has fallen silent goes to an executor with room.
    pub(super) fn review(&mut self, now: Instant, request: RequestId) {
        const REVIEW_INTERVAL: Duration = Duration::from_millis(250); // a few times within the shortest latency objective
        let Some(pending) = self.requests.get(&request) else { return };
        if pending.queued && pending.queued_until <= now {
            return self.answer(request);
        }
        if pending.response_started
            || pending.queued
            || self.classes[pending.class].effect == Effect::NonIdempotent
        {
            return;
        }
        let active = pending.attempts.iter().enumerate().filter(|(_, a)| a.is_active());
        let in_flight = active.filter_map(|(number, a)| {
            let id = AttemptId { request, number };
            self.executors[a.executor.0].in_flight.iter().find(|f| f.id == id).map(|f| (a.executor, f))
        });
        // The attempt that counts is the one that has started, else the last one sent.
        let latest = in_flight.max_by_key(|(_, attempt)| (attempt.started.is_some(), attempt.sent));
        let Some((executor, attempt)) = latest else { return };
        let id = attempt.id;
        let silent_at =
            self.signals.progress_interval.map(|span| attempt.last_report + span.scaled(SILENT_INTERVALS));
        let silent = attempt.started.is_some() && silent_at.is_some_and(|time| time < now);
        // Without hedging, only a request that is known not to run may move: a cancelled attempt may run on, and where
        // starts are not reported any attempt may have started long ago.
        let unstarted = self.signals.reports_starts && attempt.started.is_none();
        let hedging = self.policy.hedging;
        let waits = unstarted && now > attempt.sent && (hedging || self.policy.cancel_dequeues);
        let is_late = pending.slack_s(now) < 0.0;
        let give_up = waits && hedging && is_late && self.classes[pending.class].effect.client_may_retry();
        if silent {
            self.eject(now, executor);
        }
        if (waits || silent)
            && self.may_attempt(request, self.policy.cancellation)
            && self.may_retry(now)
            && let Some(selection) = self.pick(now, request).filter(|selection| selection.has_room)
            && self.host.may_retry(request)
        {
            // With hedging, a waiting attempt keeps its place in the queue: the first of the two to start is kept.
            if !(waits && hedging) {
                self.cancel_attempt(id);
            }
            if hedging {
                self.send(now, request, selection.executor);
            }
            return;
        }
        // It is late and no executor has room: if it waited on, the next requests would be late as well.
        if give_up {
            return self.answer(request);
        }
        // A request that may run is reviewed when it would count as silent. Guards against four reviews of each a second.
        let next = match silent_at {
            _ if unstarted => REVIEW_INTERVAL,
            Some(time) => time.since(now).max(REVIEW_INTERVAL),
            None => return,
        };
        self.host.set_timer(next, FIRST_REQUEST_TIMER + request.0);
    }

    /// Cancels an attempt. Without hedging, its request is sent elsewhere once the attempt has ended.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId) {
        if let Some(pending) = self.requests.get_mut(&id.request) {
            pending.attempts[id.number].cancelled = true;
        }
        if self.policy.cancellation {
            self.host.cancel(id);
        }
    }

    /// Whether the retry budget, if there is one, allows one more retry now. Arrivals are counted over a little less than the
    /// window and retries over a little more: whoever checks the budget may receive them later.
    pub(super) fn may_retry(&mut self, now: Instant) -> bool {
        let Some(budget) = self.policy.retry_budget else { return true };
        while self.arrival_times.front().is_some_and(|&at| now.since(at) + RECEIPT_DELAY >= budget.window) {
            self.arrival_times.pop_front();
        }
        while self.retry_times.front().is_some_and(|&at| now.since(at) > budget.window + RECEIPT_DELAY) {
            self.retry_times.pop_front();
        }
        (self.retry_times.len() + 1) as f64 <= budget.base + budget.ratio * self.arrival_times.len() as f64
    }

    /// Whether one more attempt is allowed; with `cancelling`, the open attempts are about to be cancelled.
    fn may_attempt(&self, request: RequestId, cancelling: bool) -> bool {
        let pending = &self.requests[&request];
        let is_open = pending.attempts.iter().any(|a| a.open);
        let may_have_run = pending.attempts.iter().any(|a| a.may_have_run);
        let non_idempotent = self.classes[pending.class].effect == Effect::NonIdempotent;
        pending.attempts.len() < self.policy.max_attempts
            && !(non_idempotent && may_have_run)
            && (!is_open || cancelling || self.policy.hedging)
    }

    /// Sends a request again or gives its final answer, after one of its attempts ended without an answer.
    pub(super) fn retry_or_answer(&mut self, now: Instant, request: RequestId, outcome: AttemptOutcome) {
        // A response that has started is the answer, whatever happens to a hedge or to the deadline.
        let Some(pending) = self.requests.get(&request).filter(|p| !p.response_started) else { return };
        // No other executor could run it either. Guards against one faulty client that has all executors ejected.
        if outcome == AttemptOutcome::InvalidRequest {
            self.finish(request);
            return self.host.fail(request);
        }
        let out_of_time = pending.deadline <= now + ANSWER_MARGIN;
        if !out_of_time && pending.attempts.iter().any(|a| a.open) {
            return; // a hedge is still in flight
        }
        if out_of_time || outcome == AttemptOutcome::NeverSent || !self.may_attempt(request, false) {
            return self.answer(request);
        }
        self.place(now, request);
    }
}
