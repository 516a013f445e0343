//! The load that this node's own open attempts cause at one executor.

/// The kind of load that a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Workload {
    /// The request comes from a client that waits for the response.
    Live,
    /// The request is an item of a batch job.
    Batch,
}

/// What one attempt occupies at its executor.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLoad {
    pub workload: Workload,
    /// The number of prompt and output tokens, for which the attempt needs KV memory until its end.
    pub reserved_tokens: u64,
    /// The number of prompt tokens that wait for prefill. It is 0 once the first event has been received.
    pub pending_prefill_tokens: u64,
}

/// The sums over this node's open attempts at one executor.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnLoad {
    /// The number of open attempts, of live requests and of batch items.
    pub attempts: u32,
    /// The number of tokens that the open attempts have in KV memory when they are complete.
    pub reserved_tokens: u64,
    /// The number of prompt tokens whose prefill has not finished, because no part of the response body has been
    /// received.
    pub pending_prefill_tokens: u64,
    /// The part of `pending_prefill_tokens` that belongs to batch items.
    pub pending_batch_prefill_tokens: u64,
}

impl OwnLoad {
    /// Adds the load of an attempt that starts.
    pub fn add(&mut self, load: &AttemptLoad) {
        self.attempts += 1;
        self.reserved_tokens += load.reserved_tokens;
        self.pending_prefill_tokens += load.pending_prefill_tokens;
        if load.workload == Workload::Batch {
            self.pending_batch_prefill_tokens += load.pending_prefill_tokens;
        }
    }

    /// Removes `tokens` prompt tokens whose prefill has finished.
    pub fn finish_prefill(&mut self, workload: Workload, tokens: u64) {
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(tokens);
        if workload == Workload::Batch {
            self.pending_batch_prefill_tokens = self.pending_batch_prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Removes the load of an attempt that ended.
    pub fn remove(&mut self, load: &AttemptLoad) {
        self.attempts = self.attempts.saturating_sub(1);
        self.reserved_tokens = self.reserved_tokens.saturating_sub(load.reserved_tokens);
        self.finish_prefill(load.workload, load.pending_prefill_tokens);
    }
}
