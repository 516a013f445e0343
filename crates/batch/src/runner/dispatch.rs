//! Chooses the item that runs next: the largest item that fits the capacity, of the job with the highest priority that
//! has such an item.

use grebeusher_time::Instant;

use super::priority::Turn;
use super::routes::RouteIndex;
use super::run::{Capacity, RunId, RunRequest};
use super::{ItemKey, Runner};
use crate::jobs::{Job, Jobs, OpenItem};
use crate::names::{ItemIndex, JobId};

/// The total text size of unproposed results, in bytes, from which no item starts, because its result would only add to
/// them. Results of the same size may wait for a quorum in addition.
const MAX_UNPROPOSED_TEXT_BYTES: usize = 6 << 20;

impl Runner {
    /// Starts the item that has to run next within this capacity. Returns `None` if there is none, or while too many
    /// results wait to be proposed.
    pub fn next_item(&mut self, jobs: &Jobs, now: Instant, capacity: &impl Capacity) -> Option<RunRequest> {
        if self.unproposed_results.text_bytes() >= MAX_UNPROPOSED_TEXT_BYTES {
            return None;
        }
        for job in self.jobs.values_mut() {
            job.end_backoffs(now);
        }
        let turn = Turn::nth(self.turn_count);
        let expected = self.run_duration.expected();
        let eligible = self.jobs.iter().filter(|(_, job)| !job.is_past_retention(now) && job.fits(capacity));
        let first = eligible.min_by_key(|(_, job)| job.priority(now, expected, turn));
        let id = first.map(|(id, _)| id.clone())?;
        self.start_item(jobs, &id, now, capacity)
    }

    fn start_item(
        &mut self,
        jobs: &Jobs,
        id: &JobId,
        now: Instant,
        capacity: &impl Capacity,
    ) -> Option<RunRequest> {
        let job = jobs.job(id)?;
        let run = RunId(self.last_run_number + 1);
        let job_run = self.jobs.get_mut(id)?;
        let item = job_run.start(capacity, run, now, self.turn_count)?;
        let Some(open) = job.open_item(item) else {
            job_run.remove(item);
            return None;
        };
        let last_event_id = job_run.item(item).and_then(super::item_run::ItemRun::last_event);
        self.last_run_number += 1;
        self.turn_count += 1;
        self.runs.insert(run, ItemKey { job: id.clone(), item });
        Some(RunRequest { last_event_id, ..run_request(run, id, item, job, open) })
    }

    /// The tokens of the item of a route that would run next if there were capacity for every item. Callers reserve
    /// capacity for it, because otherwise small items could delay large ones indefinitely.
    pub fn next_item_tokens(&self, route: RouteIndex, now: Instant) -> Option<u64> {
        let expected = self.run_duration.expected();
        let jobs = self.jobs.values().filter(|job| !job.is_past_retention(now));
        let ready = jobs.filter_map(|job| {
            let tokens = job.largest_ready_tokens(route)?;
            Some((job.priority(now, expected, Turn::Urgency), tokens))
        });
        ready.min_by_key(|(priority, _)| *priority).map(|(_, tokens)| tokens)
    }
}

/// The request to run an item from its first event.
fn run_request(run: RunId, id: &JobId, item: ItemIndex, job: &Job, open: &OpenItem) -> RunRequest {
    let spec = &open.spec;
    RunRequest {
        run,
        job: id.clone(),
        item,
        attempt_id: spec.id.clone(),
        service: job.service().to_owned(),
        host: job.host().to_owned(),
        path: spec.path.clone(),
        headers: spec.headers.clone(),
        body: spec.body.clone(),
        last_event_id: None,
        token_count: spec.token_count,
        tokens: spec.tokens(),
    }
}
