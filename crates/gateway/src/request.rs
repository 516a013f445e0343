//! What the gateway is asked to route: live requests and items of batch jobs.

use crate::config::PROMPT_TOKENS_PER_OUTPUT_TOKEN;
use crate::headers::{PromptSegments, TokenCount};
use crate::ids::{ExecutorId, ModelKey, ServiceId};
use crate::retries::RetryClass;
use grebeusher_time::Duration;

/// A request that needs an executor.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service of its route.
    pub service: ServiceId,
    /// The route's `priority_level`: 0 is the most urgent.
    pub priority: u8,
    /// How it may be retried.
    pub retry_class: RetryClass,
    /// The model that it names.
    pub model: Option<ModelKey>,
    /// Its size, where the client states it.
    pub tokens: Option<TokenCount>,
    /// The segments of its prompt.
    pub prompt: PromptSegments,
    /// Executors that had it already.
    pub excluded: &'a [ExecutorId],
    /// The route's `target_latency_ms`.
    pub latency_objective: Duration,
    /// The time since the client's request arrived.
    pub elapsed: Duration,
    /// The time until its deadline.
    pub until_deadline: Duration,
    /// Whether an executor may have run it already. It then can't be rejected any more, and waits longer rather than
    /// fail.
    pub may_have_run: bool,
    /// Whether it is an item of a batch job.
    pub is_batch: bool,
}

impl Request<'_> {
    /// A plain request without hints.
    pub fn to(service: ServiceId) -> Request<'static> {
        Request {
            service,
            priority: 0,
            retry_class: RetryClass::NonIdempotent,
            model: None,
            tokens: None,
            prompt: PromptSegments::default(),
            excluded: &[],
            latency_objective: Duration::from_millis(300),
            elapsed: Duration::from_nanos(0),
            until_deadline: Duration::from_millis(3000),
            may_have_run: false,
            is_batch: false,
        }
    }

    /// Its size, which picks the lane; `median` without a hint.
    pub(crate) fn size(&self, median: f64) -> f64 {
        self.work(median, 0)
    }

    /// What it costs an executor that has `cached` tokens of its prompt.
    pub(crate) fn work(&self, median: f64, cached: u32) -> f64 {
        let Some(tokens) = self.tokens else { return median };
        let output = f64::from(tokens.output) * f64::from(PROMPT_TOKENS_PER_OUTPUT_TOKEN);
        (f64::from(tokens.prompt.saturating_sub(cached)) + output).max(1.0)
    }

    /// Prompt and output tokens together; 0 without a hint.
    pub(crate) fn total_tokens(&self) -> u64 {
        u64::from(self.tokens.map_or(0, |tokens| tokens.prompt.saturating_add(tokens.output)))
    }

    /// Prompt tokens that remain when `skipped` of them need no prefill; 0 without a hint.
    pub(crate) fn prompt_tokens_beyond(&self, skipped: u32) -> u32 {
        self.tokens.map_or(0, |tokens| tokens.prompt.saturating_sub(skipped))
    }

    /// Prompt tokens that other requests share.
    pub(crate) fn shared_tokens(&self) -> u32 {
        self.prompt.shared_tokens()
    }

    /// The hash of its longest shared prefix, for its model.
    pub(crate) fn prefix_hash(&self) -> Option<u64> {
        self.prompt.shared().last().map(|segment| segment.chain_hash ^ self.model_hash())
    }

    pub(crate) fn model_hash(&self) -> u64 {
        self.model.map_or(0, |model| model.0)
    }
}

/// An item of a batch job that needs an executor with spare capacity.
#[derive(Clone, Copy, Debug)]
pub struct BatchItem<'a> {
    /// The service of its route.
    pub service: ServiceId,
    /// The model that it names.
    pub model: Option<ModelKey>,
    /// Its size.
    pub tokens: Option<TokenCount>,
    /// The segments of its prompt.
    pub prompt: PromptSegments,
    /// Executors that had it and failed.
    pub excluded: &'a [ExecutorId],
    /// From 0, long before it is due, to 1, due now. At 1 the reserve for live requests is halved.
    pub urgency: f64,
}

impl BatchItem<'_> {
    /// The item as a request, for [`Gateway::attempt_started`](crate::Gateway::attempt_started).
    pub fn as_request(&self) -> Request<'_> {
        Request {
            retry_class: RetryClass::ResumableStream,
            model: self.model,
            tokens: self.tokens,
            prompt: self.prompt,
            excluded: self.excluded,
            priority: u8::MAX,
            is_batch: true,
            ..Request::to(self.service)
        }
    }
}
