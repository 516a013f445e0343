//! Starting items: the job with the highest priority that fits the capacity, and its largest item that fits.

use grebeusher_time::Instant;

use super::priority::Turn;
use super::routes::RouteIndex;
use super::run::{Capacity, RunId, RunOrder};
use super::{ItemKey, Runner};
use crate::jobs::{Job, Jobs, OpenItem};
use crate::names::{ItemIndex, JobId};

/// With so many bytes of results that the log does not take, no item starts: its result would only add to them. As much
/// again may wait for a quorum.
const MAX_UNPROPOSED_TEXT_BYTES: usize = 6 << 20;

impl Runner {
    /// The item that is to run now within this capacity, if any. None starts while many results wait to be proposed.
    pub fn next_item(&mut self, jobs: &Jobs, now: Instant, capacity: &impl Capacity) -> Option<RunOrder> {
        if self.results.text_bytes() >= MAX_UNPROPOSED_TEXT_BYTES {
            return None;
        }
        for job in self.jobs.values_mut() {
            job.end_backoffs(now);
        }
        let turn = Turn::of(self.turns);
        let expected = self.run_duration.expected();
        let eligible = self.jobs.iter().filter(|(_, job)| !job.is_given_up(now) && job.fits(capacity));
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
    ) -> Option<RunOrder> {
        let job = jobs.job(id)?;
        let run = RunId(self.last_run + 1);
        let job_run = self.jobs.get_mut(id)?;
        let item = job_run.start(capacity, run, now, self.turns)?;
        let Some(open) = job.open_item(item) else {
            job_run.remove(item);
            return None;
        };
        let last_event_id = job_run.item(item).and_then(super::item_run::ItemRun::last_event);
        self.last_run += 1;
        self.turns += 1;
        self.runs.insert(run, ItemKey { job: id.clone(), item });
        Some(RunOrder { last_event_id, ..run_order(run, id, item, job, open) })
    }

    /// The tokens of the item of a route that would run next if there were capacity for any. Without capacity reserved
    /// for it, large items would wait behind small ones for ever.
    pub fn next_item_tokens(&self, route: RouteIndex, now: Instant) -> Option<u64> {
        let expected = self.run_duration.expected();
        let jobs = self.jobs.values().filter(|job| !job.is_given_up(now));
        let ready = jobs.filter_map(|job| {
            let tokens = job.largest_ready(route)?;
            Some((job.priority(now, expected, Turn::Urgency), tokens))
        });
        ready.min_by_key(|(priority, _)| *priority).map(|(_, tokens)| tokens)
    }
}

/// An order that runs the item from its first event.
fn run_order(run: RunId, id: &JobId, item: ItemIndex, job: &Job, open: &OpenItem) -> RunOrder {
    let spec = &open.spec;
    RunOrder {
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
