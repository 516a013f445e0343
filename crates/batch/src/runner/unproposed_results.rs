//! Results that are not in the partition's log yet, in the order in which their items finished.

use std::collections::VecDeque;

use crate::jobs::{ItemResult, JobResults, MAX_JOBS_IN_ENTRY};
use crate::names::JobId;

/// The bytes of text after which results go into a further entry.
pub(super) const MAX_ENTRY_TEXT_BYTES: usize = 512 << 10;

/// A result that is to be proposed.
#[derive(Clone, Debug)]
pub(super) struct PendingResult {
    pub job: JobId,
    pub result: ItemResult,
}

/// All of them. A result leaves only with the entry that takes it.
#[derive(Debug, Default)]
pub(super) struct UnproposedResults {
    results: VecDeque<PendingResult>,
    /// Of all their texts.
    text_bytes: usize,
}

impl UnproposedResults {
    pub fn push(&mut self, pending: PendingResult) {
        self.text_bytes += pending.result.text.len();
        self.results.push_back(pending);
    }

    /// Puts results back that were taken last, before all others.
    pub fn put_back(&mut self, batch: impl DoubleEndedIterator<Item = PendingResult>) {
        for pending in batch.rev() {
            self.text_bytes += pending.result.text.len();
            self.results.push_front(pending);
        }
    }

    /// Takes as many results as fit one entry; none if there are none.
    pub fn take_entry(&mut self) -> Vec<JobResults> {
        let mut batch = ResultBatch::default();
        while let Some(pending) = self.results.pop_front() {
            let text_bytes = pending.result.text.len();
            if batch.is_full(text_bytes) {
                self.results.push_front(pending);
                break;
            }
            self.text_bytes -= text_bytes;
            batch.add(pending);
        }
        batch.jobs
    }

    /// Drops the results of a job.
    pub fn remove_job(&mut self, job: &JobId) {
        self.results.retain(|pending| pending.job != *job);
        self.text_bytes = self.results.iter().map(|pending| pending.result.text.len()).sum();
    }

    pub fn clear(&mut self) {
        self.results.clear();
        self.text_bytes = 0;
    }

    pub fn len(&self) -> usize {
        self.results.len()
    }

    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    pub fn text_bytes(&self) -> usize {
        self.text_bytes
    }
}

/// The results of one entry as they are collected.
#[derive(Default)]
struct ResultBatch {
    jobs: Vec<JobResults>,
    text_bytes: usize,
}

impl ResultBatch {
    fn is_full(&self, more_text_bytes: usize) -> bool {
        let is_long = self.text_bytes > 0 && self.text_bytes + more_text_bytes > MAX_ENTRY_TEXT_BYTES;
        is_long || self.jobs.len() >= MAX_JOBS_IN_ENTRY
    }

    /// Results of one job share its name.
    fn add(&mut self, pending: PendingResult) {
        let PendingResult { job, result } = pending;
        self.text_bytes += result.text.len();
        match self.jobs.iter_mut().find(|batch| batch.job == job) {
            Some(batch) => batch.results.push(result),
            None => self.jobs.push(JobResults { job, results: vec![result] }),
        }
    }
}
