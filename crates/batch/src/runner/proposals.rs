//! Creates the log entries that the leader proposes: results, counts of failed attempts, and checkpoints of unfinished
//! texts.

use super::unproposed_results::{MAX_ENTRY_TEXT_BYTES, PendingResult};
use super::{ItemKey, Runner};
use crate::jobs::{Entry, ItemProgress, JobResults, MAX_JOBS_IN_ENTRY};

impl Runner {
    /// Returns the next entry to propose. Results of finished items come first, as many as fit an entry, then changed
    /// counts of failed attempts. `None` if there is nothing to propose.
    ///
    /// The content of the entry is removed from the runner. If the log does not accept the entry, the caller has to
    /// return it with [`Runner::not_proposed`].
    pub fn next_proposal(&mut self) -> Option<Entry> {
        let results = self.unproposed_results.take_entry();
        if !results.is_empty() {
            return Some(Entry::Results(results));
        }
        self.next_failure_counts()
    }

    fn next_failure_counts(&mut self) -> Option<Entry> {
        let mut progress = Vec::new();
        while progress.len() < MAX_JOBS_IN_ENTRY {
            let Some(key) = self.changed_failure_counts.pop_front() else { break };
            progress.extend(self.failure_count(key));
        }
        (!progress.is_empty()).then_some(Entry::Progress(progress))
    }

    fn failure_count(&self, key: ItemKey) -> Option<ItemProgress> {
        let failed_attempts = self.jobs.get(&key.job)?.item(key.item)?.unfinished_failures()?;
        Some(ItemProgress { job: key.job, item: key.item, failed_attempts, events: None })
    }

    /// Whether there is something to propose. If the log refuses an entry, the caller has to call
    /// [`Runner::next_proposal`] again after a delay, even if nothing else happens.
    pub fn has_proposals(&self) -> bool {
        !self.unproposed_results.is_empty() || !self.changed_failure_counts.is_empty()
    }

    /// The number of results that wait to be proposed.
    pub fn unproposed_count(&self) -> usize {
        self.unproposed_results.len()
    }

    /// Takes back the entry that [`Runner::next_proposal`] or [`Runner::checkpoint`] returned last, if it can never be
    /// committed although this replica is still the leader. Its results and counts are proposed again before all others;
    /// its texts are included in the next checkpoint.
    pub fn not_proposed(&mut self, entry: Entry) {
        if !self.is_leader {
            return;
        }
        match entry {
            Entry::Results(results) => {
                results.into_iter().rev().for_each(|batch| self.requeue_results(batch));
            }
            Entry::Progress(items) => items.into_iter().rev().for_each(|item| self.requeue_progress(item)),
            Entry::Submit { .. } | Entry::Ended { .. } | Entry::Remove { .. } => {}
        }
    }

    fn requeue_results(&mut self, batch: JobResults) {
        let JobResults { job, results } = batch;
        let Some(run) = self.jobs.get(&job) else { return };
        let uncommitted = results.into_iter().filter(|result| run.is_finished(result.item));
        self.unproposed_results
            .put_back(uncommitted.map(|result| PendingResult { job: job.clone(), result }));
    }

    fn requeue_progress(&mut self, progress: ItemProgress) {
        let ItemProgress { job, item, events, .. } = progress;
        let Some(events) = events else {
            return self.changed_failure_counts.push_front(ItemKey { job, item });
        };
        if let Some(run) = self.jobs.get_mut(&job).and_then(|run| run.item_mut(item)) {
            run.checkpoint_refused(&events);
        }
    }

    /// Returns an entry with the uncommitted parts of unfinished texts, from which the next leader resumes after a
    /// planned change of leader. The caller has to call this until it returns `None`. Texts that were returned count as
    /// committed; if the log does not accept the entry, the caller has to return it with [`Runner::not_proposed`].
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
