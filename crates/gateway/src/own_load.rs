//! What this node's own open attempts occupy at one executor.

/// Whether a request belongs to a client or to a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Workload {
    Live,
    Batch,
}

/// What one attempt occupies from its start to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLoad {
    pub workload: Workload,
    /// Prompt and output tokens, which take KV memory.
    pub reserved_tokens: u64,
    /// Prompt tokens that wait for prefill.
    pub pending_prefill: u64,
}

/// The sum over the open attempts at one executor.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnLoad {
    /// Open attempts, live and batch.
    pub attempts: u32,
    /// Tokens that the open attempts take in KV memory when they are complete.
    pub reserved_tokens: u64,
    /// Prompt tokens that were sent and whose prefill has not finished, as nothing of the response came.
    pub pending_prefill: u64,
    /// The same of batch items alone.
    pub pending_batch_prefill: u64,
}

impl OwnLoad {
    /// An attempt starts.
    pub fn add(&mut self, load: &AttemptLoad) {
        self.attempts += 1;
        self.reserved_tokens += load.reserved_tokens;
        self.pending_prefill += load.pending_prefill;
        if load.workload == Workload::Batch {
            self.pending_batch_prefill += load.pending_prefill;
        }
    }

    /// The prefill of `tokens` has finished.
    pub fn finish_prefill(&mut self, workload: Workload, tokens: u64) {
        self.pending_prefill = self.pending_prefill.saturating_sub(tokens);
        if workload == Workload::Batch {
            self.pending_batch_prefill = self.pending_batch_prefill.saturating_sub(tokens);
        }
    }

    /// An attempt ended.
    pub fn remove(&mut self, load: &AttemptLoad) {
        self.attempts = self.attempts.saturating_sub(1);
        self.reserved_tokens = self.reserved_tokens.saturating_sub(load.reserved_tokens);
        self.finish_prefill(load.workload, load.pending_prefill);
    }
}
