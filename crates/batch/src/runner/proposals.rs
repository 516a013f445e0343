//! Log entries that the leader proposes: results, counts of failures, and checkpoints of unfinished texts.

use super::unproposed_results::{MAX_ENTRY_TEXT_BYTES, PendingResult};
use super::{ItemKey, Runner};
use crate::jobs::{Entry, ItemProgress, JobResults, MAX_JOBS_IN_ENTRY};

impl Runner {
    /// The next entry to be proposed: results of items that have finished, as many as fit one, and after all results
    /// the counts of failures. `None` if nothing is to be proposed.
    ///
    /// Only what is in the entry leaves the runner. If the log does not take it, see [`Runner::not_proposed`].
    pub fn next_proposal(&mut self) -> Option<Entry> {
        let results = self.results.take_entry();
        if !results.is_empty() {
            return Some(Entry::Results(results));
        }
        self.next_failures()
    }

    fn next_failures(&mut self) -> Option<Entry> {
        let mut progress = Vec::new();
        while progress.len() < MAX_JOBS_IN_ENTRY {
            let Some(key) = self.failures.pop_front() else { break };
            progress.extend(self.failure_progress(key));
        }
        (!progress.is_empty()).then_some(Entry::Progress(progress))
    }

    fn failure_progress(&self, key: ItemKey) -> Option<ItemProgress> {
        let failed_attempts = self.jobs.get(&key.job)?.item(key.item)?.unfinished_failures()?;
        Some(ItemProgress { job: key.job, item: key.item, failed_attempts, events: None })
    }

    /// Whether something is to be proposed. If the log refuses it, [`Runner::next_proposal`] is to be called again after
    /// a while, even when nothing else happens.
    pub fn has_proposals(&self) -> bool {
        !self.results.is_empty() || !self.failures.is_empty()
    }

    /// How many results wait to be proposed.
    pub fn unproposed_count(&self) -> usize {
        self.results.len()
    }

    /// The entry that [`Runner::next_proposal`] or [`Runner::checkpoint`] returned last can never be committed, although
    /// this replica still leads. Results and counts are proposed again, before all others; texts are in the next
    /// checkpoint.
    pub fn not_proposed(&mut self, entry: Entry) {
        if !self.is_leader {
            return;
        }
        match entry {
            Entry::Results(batches) => batches.into_iter().rev().for_each(|batch| self.propose_again(batch)),
            Entry::Progress(items) => items.into_iter().rev().for_each(|item| self.progress_again(item)),
            Entry::Submit { .. } | Entry::Ended { .. } | Entry::Forget { .. } => {}
        }
    }

    fn propose_again(&mut self, batch: JobResults) {
        let JobResults { job, results } = batch;
        let Some(run) = self.jobs.get(&job) else { return };
        let unlisted = results.into_iter().filter(|result| run.is_finished(result.item));
        self.results.put_back(unlisted.map(|result| PendingResult { job: job.clone(), result }));
    }

    fn progress_again(&mut self, progress: ItemProgress) {
        let ItemProgress { job, item, events, .. } = progress;
        let Some(events) = events else { return self.failures.push_front(ItemKey { job, item }) };
        if let Some(run) = self.jobs.get_mut(&job).and_then(|run| run.item_mut(item)) {
            run.checkpoint_refused(&events);
        }
    }

    /// Unfinished texts as far as they are not committed, for a planned change of the leader: the next one resumes from
    /// there. To be called until it returns `None`; what was returned counts as committed. If the log does not take it,
    /// see [`Runner::not_proposed`].
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
