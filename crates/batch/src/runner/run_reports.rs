//! Processes the events and outcomes of runs: it creates results, schedules retries after a backoff, and gives up items
//! that can't succeed.

use grebeusher_time::Instant;

use super::Runner;
use super::backoff::{self, Backoff};
use super::given_up::{GiveUpCause, GivenUp};
use super::item_run::ItemRun;
use super::run::{EventDisposition, RunId, RunOutcome};
use super::unproposed_results::PendingResult;
use crate::jobs::{ItemResult, ResultState};
use crate::names::ItemIndex;
use crate::shared_bytes::SharedText;

impl Runner {
    /// Processes a complete event of a run.
    pub fn run_event(&mut self, run: RunId, id: u64, data: &str, now: Instant) -> EventDisposition {
        let Some(item) = self.running_item_mut(run) else { return EventDisposition::UnknownRun };
        if item.append_event(id, data) {
            return EventDisposition::Accepted;
        }
        item.count_out_of_order();
        self.back_off(run, backoff::BROKEN, now);
        EventDisposition::OutOfOrder
    }

    /// Processes the end of a run. Cancelled and unknown runs are ignored.
    pub fn run_ended(&mut self, run: RunId, outcome: RunOutcome, now: Instant) {
        let Some(item) = self.running_item_mut(run) else { return };
        match outcome {
            RunOutcome::Complete if item.last_event().is_some() => self.complete(run, now),
            RunOutcome::Complete | RunOutcome::Broken => self.back_off(run, backoff::BROKEN, now),
            RunOutcome::NotExecuted | RunOutcome::Misdirected => {
                self.back_off(run, backoff::NOT_EXECUTED, now);
            }
            RunOutcome::Rejected422 => self.give_up_item(run, GiveUpCause::Rejected),
            RunOutcome::Failed500 => self.count_failure(run, now),
        }
    }

    fn complete(&mut self, run: RunId, now: Instant) {
        let Some(key) = self.runs.remove(&run) else { return };
        let Some(item) = self.jobs.get_mut(&key.job).and_then(|job| job.finish(key.item)) else { return };
        self.run_duration.observe(now.since(item.started_at));
        let result = ItemResult { item: key.item, state: ResultState::Complete, text: item.text.into() };
        self.unproposed_results.push(PendingResult { job: key.job, result });
    }

    fn give_up_item(&mut self, run: RunId, cause: GiveUpCause) {
        let Some(key) = self.runs.remove(&run) else { return };
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        job.finish(key.item);
        let (id, first_item) = (key.job.clone(), key.item);
        self.given_up.push(GivenUp { job: id, first_item, item_count: 1, cause });
        self.unproposed_results.push(PendingResult { result: dead_letter(key.item), job: key.job });
    }

    fn count_failure(&mut self, run: RunId, now: Instant) {
        let Some(key) = self.runs.get(&run).cloned() else { return };
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if let Some(cause) = job.count_failure(key.item) {
            return self.give_up_item(run, cause);
        }
        self.changed_failure_counts.push_back(key);
        self.back_off(run, backoff::FAILED, now);
    }

    fn back_off(&mut self, run: RunId, backoff: Backoff, now: Instant) {
        let Some(key) = self.runs.remove(&run) else { return };
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let attempts = job.item_mut(key.item).map_or(0, ItemRun::count_attempt);
        job.back_off(key.item, now + self.jitter.delay(backoff, attempts));
    }
}

/// The result of an item that is given up.
pub(super) fn dead_letter(item: ItemIndex) -> ItemResult {
    ItemResult { item, state: ResultState::DeadLetter, text: SharedText::default() }
}
