//! The course of a request: it arrives, is sent, queued or rejected, and has exactly one final answer.

use super::{ANSWER_MARGIN, Dispatcher, MAX_SILENCE, MIN_SAMPLES, RECEIPT_TIMEOUT, REQUEST_TIMERS};
use super::{executor::InFlight, pending::Attempt, pending::Pending, selection::Selection};
use crate::time::DurationExt;
use crate::{Arrival, AttemptId, Duration, Effect, ExecutorId, Host, Instant, RequestId};

impl<H: Host> Dispatcher<H> {
    /// A request came in; it owes exactly one final answer from here on.
    pub fn request_arrived(&mut self, now: Instant, request: RequestId, arrival: &Arrival) {
        // Sizes beyond any sense would own the cut-offs alone: a millisecond to a day is what work takes.
        const SENSIBLE: (f64, f64) = (0.001, 86_400.0);
        let slots = if arrival.slots > 0.0 && arrival.slots.is_finite() { arrival.slots } else { 1.0 };
        let hinted = arrival.hint.filter(|h| h.nanos() > 0);
        let size = hinted.map_or(self.known.median, |h| (h.seconds() * slots).clamp(SENSIBLE.0, SENSIBLE.1));
        if hinted.is_some() {
            self.known.record(size, size / slots);
            if self.known.count() == MIN_SAMPLES {
                self.recompute_cut_offs();
            }
        }
        if self.policy.retry_budget.is_some() {
            self.arrival_times.push_back(now);
        }
        let class = arrival.class.min(self.classes.len() - 1);
        let terms = &self.classes[class];
        // The one notion of time left. Clocks may differ by so much: a client that has just asked waits
        // as long as its request class says, within that.
        let (reported, error) = (arrival.deadline, self.policy.deadline_error);
        let waits = if arrival.repeat { reported } else { now + terms.deadline };
        let deadline = waits.clamp(reported - error, reported + error);
        // The latency objective runs from a client's first attempt. Guards against late repeats taking the place of
        // what can still be in time.
        let asked = if arrival.repeat { now.min(deadline - terms.deadline) } else { now };
        let objective = terms.latency_objective + Duration::from_seconds(terms.stretch * size / slots);
        let over_share = self.quota_shares.get_mut(arrival.customer).is_some_and(|a| a.exceeds_share(now));
        let new =
            Pending { class, asked, objective, deadline, size, slots, over_share, ..Default::default() };
        self.requests.insert(request, new);
        if arrival.over_budget { self.answer(request) } else { self.place(now, request) }
    }

    /// An answer began to stream: it belongs to the client now, and its deadline no longer counts.
    pub fn response_started(&mut self, request: RequestId) {
        self.requests.entry(request).and_modify(|work| work.response_started = true);
    }

    /// Sends the request where the design says, queues it while nothing can take it, or rejects it.
    pub(super) fn place(&mut self, now: Instant, request: RequestId) {
        const MAX_QUEUE_TIME: Duration = Duration::from_millis(1000); // a slot comes free in it; longer seldom helps
        const SHARE_TIMEOUT: Duration = Duration::from_millis(60); // a few round trips to whoever divides the fleet's budget
        let picked = self.pick(now, request);
        let Some(work) = self.requests.get_mut(&request) else { return };
        if work.deadline <= now + ANSWER_MARGIN {
            return self.answer(request);
        }
        match picked {
            Some(Selection { executor, wait, .. }) => {
                let first = work.attempts.is_empty();
                let fresh = work.attempts.iter().all(|a| !a.may_have_run);
                let spent = !first && !self.may_retry(now);
                let wait_too_long = fresh && self.wait_too_long(now, &self.requests[&request], wait);
                if spent || wait_too_long {
                    self.answer(request);
                } else if first || self.host.may_retry(request) {
                    self.send(now, request, executor);
                } else {
                    self.queue(now, request, now + SHARE_TIMEOUT);
                }
            }
            None => {
                let until = (now + MAX_QUEUE_TIME).min(work.asked + work.objective);
                self.queue(now, request, until);
            }
        }
    }

    /// Queues a request, with its own timer: it may expire between two rounds of housekeeping.
    fn queue(&mut self, now: Instant, request: RequestId, until: Instant) {
        let Some(work) = self.requests.get_mut(&request).filter(|work| !work.pending) else { return };
        work.pending = true;
        work.pending_until = until.min(work.deadline - ANSWER_MARGIN);
        self.host.set_timer(work.pending_until.since(now), REQUEST_TIMERS + request.0);
    }

    /// Sends one attempt of the request, and sees to it that it is reviewed where it may be retried.
    pub(super) fn send(&mut self, now: Instant, request: RequestId, executor: ExecutorId) {
        const REVIEW_DELAY: Duration = Duration::from_millis(150); // who waits to start this long is looked at again
        // Every few seconds each executor that is used (design page), and no other: probes cost.
        const PROBE_INTERVAL: Duration = Duration::from_millis(3000);
        let Some(work) = self.requests.get_mut(&request) else { return };
        let e = &mut self.executors[executor.0];
        (work.pending, self.out) = (false, self.out + 1);
        work.attempts.push(Attempt { executor, sent: now, open: true, may_have_run: true, cancelled: false });
        if work.attempts.len() > 1 && self.policy.retry_budget.is_some() {
            self.retry_times.push_back(now);
        }
        let (size, slots) = (work.size, work.slots);
        let time_out = (work.deadline - ANSWER_MARGIN).since(now);
        // Where starts are not reported, what runs is reported an interval later; without progress it never is. Guards
        // against taking all that is out for running, and what waits for an executor fallen silent.
        let start_due = match self.signals.progress {
            _ if self.signals.reports_starts => now,
            Some(pace) => now + pace,
            None => Instant(u64::MAX),
        };
        let id = AttemptId { request, number: work.attempts.len() - 1 };
        e.in_flight.push(InFlight { id, size, slots, sent: now, start_due, started: None, last_report: now });
        if e.slow_start_budget(&self.slow_start, now).is_some() {
            e.warming_sends.retain(|&at| now.since(at) <= self.slow_start.fall_window + RECEIPT_TIMEOUT);
            e.warming_sends.push(now);
        }
        let last_report = e.reported.unwrap_or_default().max(e.asked);
        if self.signals.may_probe && now.since(last_report) >= PROBE_INTERVAL {
            e.asked = now;
            self.host.probe(executor);
        }
        self.host.allocate(request, executor, time_out);
        if self.classes[work.class].effect != Effect::NonIdempotent {
            let lag = self.signals.start_lag();
            let delay = lag.map_or(REVIEW_DELAY, |interval| interval.scaled(MAX_SILENCE));
            self.host.set_timer(delay, REQUEST_TIMERS + request.0);
        }
    }

    /// The final answer to a request that is given up: a rejection where trying again is harmless.
    pub(super) fn answer(&mut self, request: RequestId) {
        const RETRY_AFTER: Duration = Duration::from_millis(500); // a slot comes free in it; short against any deadline
        let Some(work) = self.requests.get(&request) else { return };
        let ran = work.attempts.iter().any(|a| a.may_have_run);
        let client_may_retry = !ran || self.classes[work.class].effect.client_may_retry();
        let retry_after = self.policy.max_retry_after.map(|longest| longest.min(RETRY_AFTER));
        self.finish(request);
        if client_may_retry { self.host.reject(request, retry_after) } else { self.host.fail(request) }
    }

    /// No answer is owed any more, as one was given, or the client left: what is still out for the request
    /// is cancelled, so that nobody works for nothing.
    pub fn finish(&mut self, request: RequestId) {
        let Some(work) = self.requests.remove(&request) else { return };
        for (number, attempt) in work.attempts.iter().enumerate() {
            if attempt.is_out() && self.policy.cancellation {
                self.host.cancel(AttemptId { request, number });
            }
        }
    }

    /// Tries the queued requests again, oldest first, and answers those whose time in the queue is over.
    pub fn serve_pending(&mut self, now: Instant) {
        let pending = self.requests.iter().filter(|(_, w)| w.pending).map(|(&id, w)| (id, w.pending_until));
        for (request, until) in pending.collect::<Vec<_>>() {
            if until <= now { self.answer(request) } else { self.place(now, request) }
        }
    }
}
