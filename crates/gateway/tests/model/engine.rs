//! The model of one executor. It runs a batch of at most `slots` requests in steps. In each step, every request whose
//! prefill has finished gets one output token, and a limited number of prompt tokens is prefilled. Further requests
//! wait in a queue. Prompt segments are cached in the KV memory that running requests leave.

use super::workload::Arrival;
use grebeusher_gateway::PromptSegments;
use std::collections::{BTreeMap, VecDeque};

/// The number of output tokens in one event of a response.
const TOKENS_PER_EVENT: u32 = 16;
/// The greatest number of prompt tokens that are prefilled in one step.
const MAX_PREFILL_TOKENS_PER_STEP: u32 = 1024;

/// What a request got from a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepOutput {
    /// An event of the response, which is not the last one.
    Event,
    /// The last event of the response.
    LastEvent,
}

/// A request at an executor.
pub struct EngineRequest {
    /// The number of the request in the simulation.
    number: usize,
    prompt_tokens: u32,
    /// The number of prompt tokens whose prefill has not finished.
    pending_prefill_tokens: u32,
    /// The number of output tokens that the request gets.
    output_tokens: u32,
    /// The number of output tokens that the request has got so far.
    generated_tokens: u32,
    prompt: PromptSegments,
    /// Whether the request has been in the batch, and its cached tokens have been counted.
    admitted: bool,
}

impl EngineRequest {
    pub fn new(number: usize, arrival: &Arrival) -> EngineRequest {
        let (prompt_tokens, output_tokens) = (arrival.tokens.prompt, arrival.output_tokens.max(1));
        EngineRequest {
            number,
            prompt_tokens,
            pending_prefill_tokens: prompt_tokens,
            output_tokens,
            generated_tokens: 0,
            prompt: arrival.prompt,
            admitted: false,
        }
    }

    /// The number of tokens that a decode step of the request has to attend to.
    fn context_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens - self.pending_prefill_tokens + self.generated_tokens)
    }

    /// The number of the request's tokens in KV memory that do not belong to a shared segment.
    fn unshared_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens.saturating_sub(self.prompt.shared_tokens()) + self.generated_tokens)
    }
}

/// An executor.
pub struct Engine {
    slots: usize,
    /// The greatest number of requests in the queue.
    max_queue_len: usize,
    kv_capacity_tokens: u64,
    /// The duration of a decode step without any request, in ms.
    decode_step_ms: f64,
    prefill_tokens_per_ms: f64,
    /// The running requests.
    batch: Vec<EngineRequest>,
    queue: VecDeque<EngineRequest>,
    /// The cached segments by their chain hashes: the number of tokens and the number of the latest use of each.
    cache: BTreeMap<u64, (u32, u64)>,
    /// The number of the latest use of any segment.
    use_count: u64,
    /// The work done so far: the number of prefilled tokens, plus ten times the number of generated tokens.
    pub work: f64,
    /// The chain hashes and numbers of tokens of the shared segments that were prefilled.
    pub shared_prefills: Vec<(u64, u64)>,
}

impl Engine {
    pub fn new(
        slots: usize,
        max_queue_len: usize,
        kv_capacity_tokens: u64,
        decode_step_ms: f64,
        prefill_tokens_per_ms: f64,
    ) -> Engine {
        Engine {
            slots,
            max_queue_len,
            kv_capacity_tokens,
            decode_step_ms,
            prefill_tokens_per_ms,
            batch: Vec::new(),
            queue: VecDeque::new(),
            cache: BTreeMap::new(),
            use_count: 0,
            work: 0.0,
            shared_prefills: Vec::new(),
        }
    }

    /// The number of running requests.
    pub fn running(&self) -> usize {
        self.batch.len()
    }

    /// The number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The number of tokens of the longest prefix of the prompt that is cached.
    pub fn cached_tokens(&self, prompt: &PromptSegments) -> u32 {
        let cached = prompt.all().iter().take_while(|segment| self.cache.contains_key(&segment.chain_hash));
        cached.map(|segment| segment.tokens).sum()
    }

    /// The approximate time until the prefill of a new request would start, in ms.
    pub fn backlog_ms(&self) -> f64 {
        let pending_tokens: u32 =
            self.batch.iter().chain(&self.queue).map(|request| request.pending_prefill_tokens).sum();
        let requests_to_finish = (self.batch.len() + self.queue.len() + 1).saturating_sub(self.slots);
        f64::from(pending_tokens) / self.prefill_tokens_per_ms
            + requests_to_finish as f64 * 30.0
            + 0.01 * (self.batch.len() + self.queue.len()) as f64
    }

    /// Adds a request to the queue. Returns whether it was accepted: the queue must not be full, and the request must
    /// fit into the KV memory.
    pub fn enqueue(&mut self, request: EngineRequest) -> bool {
        if self.queue.len() >= self.max_queue_len
            || u64::from(request.prompt_tokens + request.output_tokens) > self.kv_capacity_tokens
        {
            return false;
        }
        self.queue.push_back(request);
        true
    }

    /// The number of tokens that the running requests have in KV memory. Shared segments count once.
    fn running_tokens(&self) -> u64 {
        let shared_segments: BTreeMap<u64, u32> = self
            .batch
            .iter()
            .flat_map(|request| request.prompt.shared())
            .map(|segment| (segment.chain_hash, segment.tokens))
            .collect();
        let shared_tokens: u64 = shared_segments.values().map(|tokens| u64::from(*tokens)).sum();
        shared_tokens + self.batch.iter().map(EngineRequest::unshared_tokens).sum::<u64>()
    }

    /// Moves requests from the queue to the batch while there are free slots and free KV memory.
    fn admit(&mut self) {
        while self.batch.len() < self.slots {
            let Some(next) = self.queue.front() else { return };
            if self.running_tokens() + u64::from(next.prompt_tokens) > self.kv_capacity_tokens {
                return;
            }
            let mut request = self.queue.pop_front().unwrap();
            if !request.admitted {
                let cached_tokens = self.cached_tokens(&request.prompt);
                request.pending_prefill_tokens = request.prompt_tokens.saturating_sub(cached_tokens);
                request.admitted = true;
            }
            self.batch.push(request);
        }
    }

    /// Admits requests and begins a step. Returns the duration of the step in ms, or `None` when the executor is idle.
    pub fn begin_step(&mut self) -> Option<f64> {
        self.admit();
        if self.batch.is_empty() {
            return None;
        }
        // `attention_pairs` is the number of pairs of a prefilled token and a token before it, which determines the cost of
        // attention.
        let (mut prefill_budget, mut prefill_tokens, mut attention_pairs, mut context_tokens) =
            (MAX_PREFILL_TOKENS_PER_STEP, 0, 0.0, 0);
        for request in &self.batch {
            let tokens = request.pending_prefill_tokens.min(prefill_budget);
            attention_pairs += f64::from(tokens)
                * f64::from(request.prompt_tokens - request.pending_prefill_tokens + tokens / 2);
            (prefill_budget, prefill_tokens) = (prefill_budget - tokens, prefill_tokens + tokens);
            context_tokens += request.context_tokens();
        }
        let step_ms = self.decode_step_ms
            + 0.00967 * self.batch.len() as f64
            + 0.005_08 * context_tokens as f64 / 1000.0
            + f64::from(prefill_tokens) / self.prefill_tokens_per_ms
            + 0.183 * attention_pairs / 1e6;
        self.work += f64::from(prefill_tokens);
        Some(step_ms)
    }

    /// Ends the step: a token for each request whose prefill has finished, and prefilled tokens for the others.
    /// Returns the events of the step with the numbers of their requests.
    pub fn end_step(&mut self) -> Vec<(usize, StepOutput)> {
        let (mut prefill_budget, mut outputs, mut prefilled_prompts) =
            (MAX_PREFILL_TOKENS_PER_STEP, Vec::new(), Vec::new());
        for request in &mut self.batch {
            if request.pending_prefill_tokens > 0 {
                let tokens = request.pending_prefill_tokens.min(prefill_budget);
                (prefill_budget, request.pending_prefill_tokens) =
                    (prefill_budget - tokens, request.pending_prefill_tokens - tokens);
                if request.pending_prefill_tokens > 0 {
                    continue;
                }
                prefilled_prompts.push(request.prompt);
            }
            if request.generated_tokens == 0 {
                prefilled_prompts.push(request.prompt);
            }
            request.generated_tokens += 1;
            self.work += 10.0;
            if request.generated_tokens >= request.output_tokens {
                outputs.push((request.number, StepOutput::LastEvent));
            } else if request.generated_tokens % TOKENS_PER_EVENT == 0 {
                outputs.push((request.number, StepOutput::Event));
            }
        }
        self.batch.retain(|request| request.generated_tokens < request.output_tokens);
        prefilled_prompts.iter().for_each(|prompt| self.cache_prompt(prompt));
        outputs
    }

    /// Caches the segments of a prompt, and evicts the least recently used ones when the KV memory is full.
    fn cache_prompt(&mut self, prompt: &PromptSegments) {
        let mut is_prefix_cached = true;
        for segment in prompt.all() {
            self.use_count += 1;
            is_prefix_cached &= self.cache.contains_key(&segment.chain_hash);
            if !is_prefix_cached && prompt.shared().contains(segment) {
                self.shared_prefills.push((segment.chain_hash, u64::from(segment.tokens)));
            }
            self.cache.insert(segment.chain_hash, (segment.tokens, self.use_count));
        }
        // The prompts of running requests are in the cache too, but not their generated tokens.
        let generated_tokens: u64 =
            self.batch.iter().map(|request| u64::from(request.generated_tokens)).sum();
        let cache_capacity_tokens = self.kv_capacity_tokens.saturating_sub(generated_tokens);
        let mut cached_tokens: u64 = self.cache.values().map(|(tokens, _)| u64::from(*tokens)).sum();
        while cached_tokens > cache_capacity_tokens {
            let least_recent = self
                .cache
                .iter()
                .min_by_key(|(_, (_, last_use))| *last_use)
                .map(|(chain_hash, _)| *chain_hash);
            let Some(evicted) = least_recent.and_then(|chain_hash| self.cache.remove(&chain_hash)) else {
                return;
            };
            cached_tokens -= u64::from(evicted.0);
        }
    }
}
