//! Accounting of this node's attempts. An attempt is one request as sent to one executor. From its start to its end it
//! is counted in the load of its executor, and its timing and outcome update what the gateway knows of the executor and
//! of the service.

use crate::failure_accrual::ExecutorFault;
use crate::gateway::Gateway;
use crate::headers::ServerLoad;
use crate::ids::{AttemptToken, ExecutorId, ServiceId};
use crate::own_load::{AttemptLoad, Workload};
use crate::prefix_cache::PREFILL_TOKENS_PER_S;
use crate::request::Request;
use crate::retries::AttemptOutcome;
use grebeusher_time::{DurationExt, Instant};

/// An attempt that has not ended.
pub(crate) struct OpenAttempt {
    pub executor: ExecutorId,
    pub sent_at: Instant,
    /// What the attempt occupies at its executor now.
    load: AttemptLoad,
    /// When the latest event of the response was received.
    last_event_at: Option<Instant>,
}

impl Gateway {
    /// Records that an attempt is sent to an executor. Returns `None` when the executor is not in the table, or when
    /// more attempts are open than any node can have. The attempt is then not counted.
    pub fn attempt_started(
        &mut self,
        now: Instant,
        id: ExecutorId,
        request: &Request<'_>,
    ) -> Option<AttemptToken> {
        let executor = self.executors.get(id)?;
        let (model, prompt) = (request.model_hash(), request.prompt.all());
        let cached_tokens = executor.prefix_cache.cached_tokens(model, prompt);
        let ready_tokens = executor.prefix_cache.ready_tokens(now, model, prompt);
        let service = executor.service;
        self.observe_request(now, service, request, cached_tokens);
        let load = AttemptLoad {
            workload: if request.is_batch { Workload::Batch } else { Workload::Live },
            reserved_tokens: request.total_tokens(),
            pending_prefill_tokens: u64::from(request.prompt_tokens_beyond(ready_tokens)),
        };
        self.executors.get_mut(id)?.own_load.add(&load);
        self.record_prefix_use(now, id, service, request);
        let attempt = OpenAttempt { executor: id, sent_at: now, load, last_event_at: None };
        let key = self.attempts.insert_with(|_| attempt);
        if key.is_none() {
            self.remove_load(id, &load);
        }
        key.map(AttemptToken)
    }

    /// Adds the request to the sample of its service, unless it is a retry.
    fn observe_request(&mut self, now: Instant, id: ServiceId, request: &Request<'_>, cached_tokens: u32) {
        let Some(service) = self.services.get_mut(id) else { return };
        let is_first_attempt = request.excluded_executors.is_empty();
        if request.token_count.is_some() && is_first_attempt {
            let shared_tokens = request.shared_tokens();
            let has_affinity = shared_tokens >= self.config.min_prefix_tokens;
            // A request with affinity usually goes to an executor that has its shared prefix cached.
            let tokens_cached_at_home = if has_affinity { shared_tokens } else { 0 };
            let size = request.size(service.median_size);
            let work = request.work(service.median_size, cached_tokens.max(tokens_cached_at_home));
            service.observe_request(now, size, work, request.total_tokens() as f64, &self.config);
        }
        service.top_priority = service.top_priority.min(request.priority);
    }

    /// Records that the executor is caching the request's shared prefix, and counts the request as demand for the
    /// prefix.
    fn record_prefix_use(&mut self, now: Instant, id: ExecutorId, service: ServiceId, request: &Request<'_>) {
        if request.shared_tokens() < self.config.min_prefix_tokens {
            return;
        }
        if let Some(executor) = self.executors.get_mut(id) {
            executor.prefix_cache.record_use(now, request.model_hash(), request.prompt.shared());
        }
        let Some(prefix_hash) = request.prefix_hash() else { return };
        let unshared_tokens = request.prompt_tokens_beyond(request.shared_tokens());
        self.prefix_demand.record(now, prefix_hash, unshared_tokens);
        let median_size = self.services.get(service).map_or(0.0, |service| service.median_size);
        self.record_popularity(now, request, request.size(median_size), unshared_tokens);
    }

    /// Records that the head of a response was received, with the load that it reports.
    pub fn response_head_received(&mut self, now: Instant, token: AttemptToken, load: Option<ServerLoad>) {
        let executor = self.attempts.get(token.0).map(|attempt| attempt.executor);
        if let Some((id, load)) = executor.zip(load) {
            self.observe_load(now, id, load);
        }
    }

    /// Records a load report of an executor, which came in a response or was requested.
    pub fn observe_load(&mut self, now: Instant, id: ExecutorId, load: ServerLoad) {
        let Some(executor) = self.executors.get_mut(id) else { return };
        let peer_requests_per_slot = executor.observe_load(now, load);
        if let Some(service) = self.services.get_mut(executor.service) {
            service.peer_load.observe(now, peer_requests_per_slot);
        }
    }

    /// Records how many requests the other nodes together have at an executor, by their own reports. Such a report is
    /// treated like one of the executor itself: the newest report replaces the others and loses weight as it ages.
    pub fn observe_peer_load(&mut self, now: Instant, id: ExecutorId, requests: f64) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.observe_peer_load(now, requests);
        }
    }

    /// Records that an event of a stream, or the first byte of another body, was received. The prefill of the attempt
    /// has therefore finished. The gap since the previous event is an observation of the executor's speed.
    pub fn event_received(&mut self, now: Instant, token: AttemptToken) {
        let Some(attempt) = self.attempts.get_mut(token.0) else { return };
        let pending_prefill_tokens = std::mem::take(&mut attempt.load.pending_prefill_tokens);
        let previous_event_at = attempt.last_event_at.replace(now);
        let Some(executor) = self.executors.get_mut(attempt.executor) else { return };
        executor.last_received_at = now;
        executor.own_load.finish_prefill(attempt.load.workload, pending_prefill_tokens);
        let Some(service) = self.services.get_mut(executor.service) else { return };
        match previous_event_at {
            None => {
                let prefill_s = pending_prefill_tokens as f64 / PREFILL_TOKENS_PER_S;
                let wait_s = now.since(attempt.sent_at).seconds() - prefill_s;
                executor.first_event_delay.observe(now, service.timing.observe_first_event(wait_s));
            }
            Some(previous_at) => {
                executor
                    .event_gap_ratio
                    .observe(now, service.timing.observe_event_gap(now.since(previous_at)));
            }
        }
    }

    /// Records how an attempt ended. A second call with the same token does nothing.
    pub fn attempt_finished(&mut self, now: Instant, token: AttemptToken, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.remove(token.0) else { return };
        let id = attempt.executor;
        self.remove_load(id, &attempt.load);
        if self.executors.get(id).is_none() {
            return;
        }
        match outcome {
            AttemptOutcome::Served | AttemptOutcome::AnsweredOther => self.record_success(now, &attempt),
            AttemptOutcome::NeverSent => self.record_fault(now, id, ExecutorFault::ConnectFailed),
            AttemptOutcome::NotExecuted => self.record_fault(now, id, ExecutorFault::Overloaded),
            AttemptOutcome::Misdirected => self.record_fault(now, id, ExecutorFault::Misdirected),
            AttemptOutcome::BrokenBeforeHead
            | AttemptOutcome::BrokenBeforeRelay
            | AttemptOutcome::BrokenMidBody
            | AttemptOutcome::BrokenMidStream => self.record_fault(now, id, ExecutorFault::ConnectionBroken),
            AttemptOutcome::IdleClosed
            | AttemptOutcome::AnsweredFailure
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ClientGone => {}
        }
    }

    /// Records that the executor sent a complete response without a failure of its own.
    fn record_success(&mut self, now: Instant, attempt: &OpenAttempt) {
        let Some(executor) = self.executors.get_mut(attempt.executor) else { return };
        executor.last_received_at = now;
        executor.failures.record_success();
        if let Some(service) = self.services.get_mut(executor.service) {
            service.timing.observe_attempt(now.since(attempt.sent_at));
        }
    }

    /// Removes the load of an attempt from its executor, if the executor still exists.
    fn remove_load(&mut self, id: ExecutorId, load: &AttemptLoad) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.own_load.remove(load);
        }
    }
}
