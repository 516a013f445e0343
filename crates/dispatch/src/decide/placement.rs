//! The life cycle of a request: it arrives, is sent, queued or rejected, and gets exactly one final answer.

use super::{ANSWER_MARGIN, Dispatcher, FIRST_REQUEST_TIMER, MIN_SAMPLES, RECEIPT_DELAY, SILENT_INTERVALS};
use super::{executor::InFlight, pending::Attempt, pending::Pending, selection::Selection};
use crate::time::DurationExt;
use crate::{Arrival, AttemptId, Duration, Effect, ExecutorId, Host, Instant, RequestId};

impl<H: Host> Dispatcher<H> {
    /// A request arrived; from here on it awaits exactly one final answer.
    pub fn request_arrived(&mut self, now: Instant, request: RequestId, arrival: &Arrival) {
        // Requests take a millisecond to a day; a size far beyond that would by itself determine the cut-offs.
        const RANGE_S: (f64, f64) = (0.001, 86_400.0);
        let slots = if arrival.slots > 0.0 && arrival.slots.is_finite() { arrival.slots } else { 1.0 };
        let hint = arrival.hint.filter(|hint| hint.nanos() > 0);
        let size = hint.map_or(self.stats.median_size, |h| (h.seconds() * slots).clamp(RANGE_S.0, RANGE_S.1));
        if hint.is_some() {
            self.stats.record(size, size / slots);
            if self.stats.count() == MIN_SAMPLES {
                self.recompute_cut_offs();
            }
        }
        if self.policy.retry_budget.is_some() {
            self.arrival_times.push_back(now);
        }
        let class = arrival.class.min(self.classes.len() - 1);
        let terms = &self.classes[class];
        // Decisions use this deadline. Clocks may differ by `error`; within it, a first attempt has its class's time.
        let (reported, error) = (arrival.deadline, self.policy.deadline_error);
        let estimated = if arrival.repeat { reported } else { now + terms.deadline };
        let deadline = estimated.clamp(reported - error, reported + error);
        // The objective counts from the client's first attempt. Guards against late repeats displacing timely ones.
        let first_sent = if arrival.repeat { now.min(deadline - terms.deadline) } else { now };
        let objective = terms.latency_objective + Duration::from_seconds(terms.stretch * size / slots);
        let over_share = self.quota_shares.get_mut(arrival.customer).is_some_and(|q| q.exceeds_share(now));
        let new =
            Pending { class, first_sent, objective, deadline, size, slots, over_share, ..Default::default() };
        self.requests.insert(request, new);
        if arrival.over_budget { self.answer(request) } else { self.place(now, request) }
    }

    /// The response began to stream to the client: the deadline no longer applies.
    pub fn response_started(&mut self, request: RequestId) {
        self.requests.entry(request).and_modify(|pending| pending.response_started = true);
    }

    /// Sends a request to the executor picked for it, queues it while no executor can take it, or rejects it.
    pub(super) fn place(&mut self, now: Instant, request: RequestId) {
        const MAX_QUEUE_TIME: Duration = Duration::from_millis(1000); // a slot frees up within it; a longer wait seldom helps
        const BUDGET_TIMEOUT: Duration = Duration::from_millis(60); // a few round trips to the divider of the fleet's budget
        let selection = self.pick(now, request);
        let Some(pending) = self.requests.get_mut(&request) else { return };
        if pending.deadline <= now + ANSWER_MARGIN {
            return self.answer(request);
        }
        match selection {
            Some(Selection { executor, wait_s, .. }) => {
                let is_first = pending.attempts.is_empty();
                let cannot_have_run = pending.attempts.iter().all(|a| !a.may_have_run);
                let budget_spent = !is_first && !self.may_retry(now);
                let too_long = cannot_have_run && self.wait_too_long(now, &self.requests[&request], wait_s);
                if budget_spent || too_long {
                    self.answer(request);
                } else if is_first || self.host.may_retry(request) {
                    self.send(now, request, executor);
                } else {
                    self.queue(now, request, now + BUDGET_TIMEOUT);
                }
            }
            None => {
                let until = (now + MAX_QUEUE_TIME).min(pending.first_sent + pending.objective);
                self.queue(now, request, until);
            }
        }
    }

    /// Queues a request, with a timer of its own since its time may be over between two rounds of housekeeping.
    fn queue(&mut self, now: Instant, request: RequestId, until: Instant) {
        let Some(pending) = self.requests.get_mut(&request).filter(|p| !p.queued) else { return };
        pending.queued = true;
        pending.queued_until = until.min(pending.deadline - ANSWER_MARGIN);
        self.host.set_timer(pending.queued_until.since(now), FIRST_REQUEST_TIMER + request.0);
    }

    /// Sends one attempt of a request, and sets a timer for its review if it may be retried.
    pub(super) fn send(&mut self, now: Instant, request: RequestId, executor: ExecutorId) {
        const REVIEW_DELAY: Duration = Duration::from_millis(150); // an attempt not started by then is reviewed
        const PROBE_INTERVAL: Duration = Duration::from_millis(3000); // only of used executors, as probes cost (docs/design.md)
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let e = &mut self.executors[executor.0];
        (pending.queued, self.attempts_in_flight) = (false, self.attempts_in_flight + 1);
        pending.attempts.push(Attempt {
            executor,
            sent: now,
            open: true,
            may_have_run: true,
            cancelled: false,
        });
        if pending.attempts.len() > 1 && self.policy.retry_budget.is_some() {
            self.retry_times.push_back(now);
        }
        let (size, slots) = (pending.size, pending.slots);
        let time_out = (pending.deadline - ANSWER_MARGIN).since(now);
        // Where starts are not reported, a start shows in a progress report an interval later, without progress never. Guards
        // against counting all attempts as running, and the executor of a waiting attempt as silent.
        let start_due = match self.signals.progress_interval {
            _ if self.signals.reports_starts => now,
            Some(interval) => now + interval,
            None => Instant(u64::MAX),
        };
        let id = AttemptId { request, number: pending.attempts.len() - 1 };
        e.in_flight.push(InFlight { id, size, slots, sent: now, start_due, started: None, last_report: now });
        if e.slow_start_budget(&self.slow_start, now).is_some() {
            e.cold_sends.retain(|&sent| now.since(sent) <= self.slow_start.window + RECEIPT_DELAY);
            e.cold_sends.push(now);
        }
        let last_report = e.reported.unwrap_or_default().max(e.probed);
        if self.signals.may_probe && now.since(last_report) >= PROBE_INTERVAL {
            e.probed = now;
            self.host.probe(executor);
        }
        self.host.send_attempt(request, executor, time_out);
        if self.classes[pending.class].effect != Effect::NonIdempotent {
            let lag = self.signals.start_lag();
            let delay = lag.map_or(REVIEW_DELAY, |interval| interval.scaled(SILENT_INTERVALS));
            self.host.set_timer(delay, FIRST_REQUEST_TIMER + request.0);
        }
    }

    /// Gives the final answer to a request that is given up: a rejection if the client may retry it, else a failure.
    pub(super) fn answer(&mut self, request: RequestId) {
        const RETRY_AFTER: Duration = Duration::from_millis(500); // a slot frees up within it; short against any deadline
        let Some(pending) = self.requests.get(&request) else { return };
        let may_have_run = pending.attempts.iter().any(|a| a.may_have_run);
        let client_may_retry = !may_have_run || self.classes[pending.class].effect.client_may_retry();
        let retry_after = self.policy.max_retry_after.map(|longest| longest.min(RETRY_AFTER));
        self.finish(request);
        if client_may_retry { self.host.reject(request, retry_after) } else { self.host.fail(request) }
    }

    /// Forgets a request that was answered or whose client left, and cancels its attempts in flight: their work would be lost.
    pub fn finish(&mut self, request: RequestId) {
        let Some(pending) = self.requests.remove(&request) else { return };
        for (number, attempt) in pending.attempts.iter().enumerate() {
            if attempt.is_active() && self.policy.cancellation {
                self.host.cancel(AttemptId { request, number });
            }
        }
    }

    /// Tries to send the queued requests, oldest first, and answers those whose time in the queue is over.
    pub fn serve_queued(&mut self, now: Instant) {
        let queued = self.requests.iter().filter(|(_, p)| p.queued).map(|(&id, p)| (id, p.queued_until));
        for (request, until) in queued.collect::<Vec<_>>() {
            if until <= now { self.answer(request) } else { self.place(now, request) }
        }
    }
}
