//! The queue of results that are not proposed to the partition's log yet, in the order in which their items finished.

use std::collections::VecDeque;

use crate::jobs::{ItemResult, JobResults, MAX_JOBS_IN_ENTRY};
use crate::names::JobId;

/// The maximum total text size of an entry with several results, in bytes. Further results go into another entry.
pub(super) const MAX_ENTRY_TEXT_BYTES: usize = 512 << 10;

/// A result that has to be proposed.
#[derive(Clone, Debug)]
pub(super) struct PendingResult {
    pub job: JobId,
    pub result: ItemResult,
}

/// The queue of unproposed results. A result is removed only when it is put into an entry.
#[derive(Debug, Default)]
pub(super) struct UnproposedResults {
    results: VecDeque<PendingResult>,
    /// The total size of the texts of `results`, in bytes.
    text_bytes: usize,
}

impl UnproposedResults {
    pub fn push(&mut self, pending: PendingResult) {
        self.text_bytes += pending.result.text.len();
        self.results.push_back(pending);
    }

    /// Puts the results that were removed last back to the front of the queue.
    pub fn put_back(&mut self, batch: impl DoubleEndedIterator<Item = PendingResult>) {
        for pending in batch.rev() {
            self.text_bytes += pending.result.text.len();
            self.results.push_front(pending);
        }
    }

    /// Removes as many results as fit one entry and returns them. The list is empty if there are none.
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

    /// Removes the results of a job.
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

/// Collects the results of one entry.
#[derive(Default)]
struct ResultBatch {
    jobs: Vec<JobResults>,
    /// The total size of the texts of the results, in bytes.
    text_bytes: usize,
}

impl ResultBatch {
    /// Whether the entry has no space for a result with a text of this size.
    fn is_full(&self, added_text_bytes: usize) -> bool {
        let exceeds_bytes = self.text_bytes > 0 && self.text_bytes + added_text_bytes > MAX_ENTRY_TEXT_BYTES;
        exceeds_bytes || self.jobs.len() >= MAX_JOBS_IN_ENTRY
    }

    /// Adds a result to those of its job, so that the entry contains the id of each job once.
    fn add(&mut self, pending: PendingResult) {
        let PendingResult { job, result } = pending;
        self.text_bytes += result.text.len();
        match self.jobs.iter_mut().find(|batch| batch.job == job) {
            Some(batch) => batch.results.push(result),
            None => self.jobs.push(JobResults { job, results: vec![result] }),
        }
    }
}
