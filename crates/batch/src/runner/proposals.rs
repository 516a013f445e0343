//! Log entries that the leader proposes: results, counts of failures, and checkpoints of unfinished texts.

use super::{ItemKey, MAX_ENTRY_TEXT_BYTES, PendingResult, Runner};
use crate::jobs::{Entry, ItemProgress, JobResults, MAX_JOBS_IN_ENTRY};

impl Runner {
    /// What is to be proposed: the results of all items that finished since the last call, in few entries, and counts
    /// of failures. If an entry can't be committed, see [`Runner::not_proposed`].
    pub fn take_proposals(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut batch = ResultBatch::default();
        for pending in std::mem::take(&mut self.results) {
            if batch.is_full(pending.result.text.len()) {
                entries.push(Entry::Results(std::mem::take(&mut batch).jobs));
            }
            batch.add(pending);
        }
        if !batch.jobs.is_empty() {
            entries.push(Entry::Results(batch.jobs));
        }
        let failures = std::mem::take(&mut self.failures);
        let progress: Vec<ItemProgress> =
            failures.into_iter().filter_map(|key| self.failure_progress(key)).collect();
        entries.extend(progress.chunks(MAX_JOBS_IN_ENTRY).map(|chunk| Entry::Progress(chunk.to_vec())));
        entries
    }

    fn failure_progress(&self, key: ItemKey) -> Option<ItemProgress> {
        let failed_attempts = self.jobs.get(&key.job)?.item(key.item)?.unfinished_failures()?;
        Some(ItemProgress { job: key.job, item: key.item, failed_attempts, events: None })
    }

    /// An entry of [`Runner::take_proposals`] can never be committed, although this replica still leads: its results
    /// are proposed again.
    pub fn not_proposed(&mut self, entry: Entry) {
        if !self.is_leader {
            return;
        }
        match entry {
            Entry::Results(batches) => batches.into_iter().for_each(|batch| self.propose_again(batch)),
            Entry::Progress(items) => {
                let keys =
                    items.into_iter().map(|progress| ItemKey { job: progress.job, item: progress.item });
                self.failures.extend(keys);
            }
            Entry::Submit { .. } | Entry::Ended { .. } | Entry::Forget { .. } => {}
        }
    }

    fn propose_again(&mut self, batch: JobResults) {
        let JobResults { job, results } = batch;
        let Some(run) = self.jobs.get(&job) else { return };
        let unlisted = results.into_iter().filter(|result| run.is_finished(result.item));
        self.results.extend(unlisted.map(|result| PendingResult { job: job.clone(), result }));
    }

    /// Unfinished texts as far as they are not committed, for a planned change of the leader: the next one resumes from
    /// there. To be called until it returns `None`; what was returned counts as committed.
    pub fn checkpoint(&mut self) -> Option<Entry> {
        let mut progress = Vec::new();
        let mut text_bytes = 0;
        for (id, job) in &mut self.jobs {
            for checkpoint in job.checkpoints(id) {
                text_bytes += checkpoint.events.as_ref().map_or(0, |events| events.text.len());
                progress.push(checkpoint);
                if text_bytes >= MAX_ENTRY_TEXT_BYTES || progress.len() >= MAX_JOBS_IN_ENTRY {
                    return Some(Entry::Progress(progress));
                }
            }
        }
        (!progress.is_empty()).then_some(Entry::Progress(progress))
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
