//! The requests for which the gateway chooses executors: live requests of clients, and items of batch jobs.

use crate::config::PROMPT_TOKENS_PER_OUTPUT_TOKEN;
use crate::headers::{PromptSegments, TokenCount};
use crate::ids::{ExecutorId, ModelKey, ServiceId};
use crate::retries::RetryClass;
use grebeusher_time::Duration;

/// A request that needs an executor, for its first attempt or a retry.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service of the request's route.
    pub service: ServiceId,
    /// The `priority_level` of the request's route. 0 is the most urgent.
    pub priority: u8,
    /// How the request may be retried.
    pub retry_class: RetryClass,
    /// The model that the request names.
    pub model: Option<ModelKey>,
    /// The size of the request, if the client states it.
    pub token_count: Option<TokenCount>,
    /// The segments of the request's prompt. There are none if the client does not state them.
    pub prompt: PromptSegments,
    /// The executors that must not be chosen, because the request was sent to them before.
    pub excluded_executors: &'a [ExecutorId],
    /// The `target_latency_ms` of the request's route.
    pub latency_objective: Duration,
    /// The time since the client's request arrived.
    pub elapsed: Duration,
    /// The time until the request's deadline.
    pub until_deadline: Duration,
    /// Whether an executor may have run the request already. The request can then no longer be rejected, and it may
    /// queue for longer instead.
    pub may_have_run: bool,
    /// Whether the request is an item of a batch job.
    pub is_batch: bool,
}

impl Request<'_> {
    /// A non-idempotent request of the highest priority without a stated size, prompt or model, with an objective of
    /// 300 ms and a deadline in 3 s.
    pub fn for_service(service: ServiceId) -> Request<'static> {
        Request {
            service,
            priority: 0,
            retry_class: RetryClass::NonIdempotent,
            model: None,
            token_count: None,
            prompt: PromptSegments::default(),
            excluded_executors: &[],
            latency_objective: Duration::from_millis(300),
            elapsed: Duration::from_nanos(0),
            until_deadline: Duration::from_millis(3000),
            may_have_run: false,
            is_batch: false,
        }
    }

    /// The size of the request in prompt tokens, which determines its lane. A request that does not state its size has
    /// the size `median_size`.
    pub(crate) fn size(&self, median_size: f64) -> f64 {
        self.work(median_size, 0)
    }

    /// The work of the request, in prompt tokens, for an executor that has cached `cached_tokens` tokens of its prompt.
    /// For a request that does not state its size, it is `median_size`.
    pub(crate) fn work(&self, median_size: f64, cached_tokens: u32) -> f64 {
        let Some(tokens) = self.token_count else { return median_size };
        let output_work = f64::from(tokens.output) * f64::from(PROMPT_TOKENS_PER_OUTPUT_TOKEN);
        (f64::from(tokens.prompt.saturating_sub(cached_tokens)) + output_work).max(1.0)
    }

    /// The number of prompt and output tokens together. It is 0 for a request that does not state its size.
    pub(crate) fn total_tokens(&self) -> u64 {
        u64::from(self.token_count.map_or(0, |tokens| tokens.prompt.saturating_add(tokens.output)))
    }

    /// The number of prompt tokens after the first `first_tokens` ones. It is 0 for a request that does not state its
    /// size.
    pub(crate) fn prompt_tokens_beyond(&self, first_tokens: u32) -> u32 {
        self.token_count.map_or(0, |tokens| tokens.prompt.saturating_sub(first_tokens))
    }

    /// The number of prompt tokens that other requests share.
    pub(crate) fn shared_tokens(&self) -> u32 {
        self.prompt.shared_tokens()
    }

    /// The hash of the request's longest shared prefix and its model. `None` if no segment is shared.
    pub(crate) fn prefix_hash(&self) -> Option<u64> {
        self.prompt.shared().last().map(|segment| segment.chain_hash ^ self.model_hash())
    }

    /// The hash of the model's name, or 0 if the request names no model.
    pub(crate) fn model_hash(&self) -> u64 {
        self.model.map_or(0, |model| model.0)
    }
}

/// An item of a batch job that needs an executor with spare capacity.
#[derive(Clone, Copy, Debug)]
pub struct BatchItem<'a> {
    /// The service of the item's route.
    pub service: ServiceId,
    /// The model that the item names.
    pub model: Option<ModelKey>,
    /// The size of the item, if it is known.
    pub token_count: Option<TokenCount>,
    /// The segments of the item's prompt.
    pub prompt: PromptSegments,
    /// The executors that must not be chosen, because the item failed there before.
    pub excluded_executors: &'a [ExecutorId],
    /// The urgency of the item, from 0 when it is due much later to 1 when it is due now. At 1 the reserve of slots for
    /// live requests is halved.
    pub urgency: f64,
}

impl BatchItem<'_> {
    /// The item as a request, for [`Gateway::attempt_started`](crate::Gateway::attempt_started).
    pub fn as_request(&self) -> Request<'_> {
        Request {
            retry_class: RetryClass::ResumableStream,
            model: self.model,
            token_count: self.token_count,
            prompt: self.prompt,
            excluded_executors: self.excluded_executors,
            priority: u8::MAX,
            is_batch: true,
            ..Request::for_service(self.service)
        }
    }
}
