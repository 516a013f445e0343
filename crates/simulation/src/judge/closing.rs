//! What only the whole shows.

use super::batch::{Item, Job};
use super::{Judge, Rule};
use grebeusher_time::{Duration, Instant};

/// A fleet is in service when this share of the requests is served.
const IN_SERVICE: f64 = 0.25;
/// An item of a job that was accepted so long before the end of a storm has run by then.
const ITEMS_TIMEOUT: Duration = Duration::from_millis(12_000);
/// An item that an executor has finished is listed within this, in calm times.
const LISTING_TIMEOUT: Duration = Duration::from_millis(5000);
/// So few requests after a final fault tell nothing.
const TOO_FEW: usize = 20;

impl Judge {
    /// Judges what only the whole shows. `fault` is when a final fault struck and when the machines were back.
    pub fn close(&mut self, fault: Option<(Instant, Instant)>, at: Instant) {
        if let Some((struck, back)) = fault {
            self.check_recovery(struck, back, at);
        }
        self.check_leaves(at);
        self.check_exposure(at);
        self.check_items_have_run(at);
    }

    /// Each item of an accepted job that its client did not end was finished by an executor or is listed, as all of them were
    /// read a while after the traffic ended.
    fn check_items_have_run(&mut self, at: Instant) {
        let is_owed = |id: &String| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| {
                job.is_open() && job.accepted.is_some_and(|accepted| at.since(accepted) > ITEMS_TIMEOUT)
            })
        };
        let unfinished = self.items.iter().filter(|(_, item)| !item.finished && is_owed(&item.job));
        let left: Vec<String> =
            unfinished.map(|(id, item)| format!("item {id} of job {} never ran", item.job)).collect();
        for what in left {
            self.breach(Rule::Lost, at, what);
        }
    }

    /// All that is listed of a job was read. Each of its items that an executor finished a while ago is listed, unless there was
    /// trouble since, or the client ended the job.
    pub fn job_read_to_its_end(&mut self, job: &str, at: Instant) {
        let is_open = self.jobs.get(job).is_some_and(Job::is_open);
        if !is_open || !self.all_calm(at - LISTING_TIMEOUT, at) {
            return;
        }
        let listed = |id: &str| self.is_listed(job, id);
        let has_ended = |item: &Item| {
            let finished = item.finished_at.filter(|finished| Some(*finished) >= item.came_at);
            finished.is_some_and(|finished| at.since(finished) > LISTING_TIMEOUT)
        };
        let unlisted =
            self.items.iter().filter(|(id, item)| item.job == job && has_ended(item) && !listed(id));
        let mut left: Vec<String> =
            unlisted.map(|(id, _)| format!("item {id} of job {job} has run and is not listed")).collect();
        left.sort_unstable();
        for what in left {
            self.breach(Rule::Lost, at, what);
        }
    }

    fn check_recovery(&mut self, struck: Instant, back: Instant, at: Instant) {
        let recovered = back + self.bounds.recovery;
        let (before, _) = self.share_served(|ended| ended < struck);
        let (after, count) = self.share_served(|ended| ended > recovered);
        if before >= IN_SERVICE && count >= TOO_FEW && after < IN_SERVICE {
            let what = format!("{before:.2} were served before the final fault, {after:.2} of {count} after");
            self.breach(Rule::Recover, at, what);
        }
    }

    /// The share that was served of the requests that ended within a time, and how many those were.
    fn share_served(&self, within: impl Fn(Instant) -> bool) -> (f64, usize) {
        let count = self.served.iter().filter(|(ended, _)| within(*ended)).count();
        let served = self.served.iter().filter(|(ended, served)| *served && within(*ended)).count();
        (served as f64 / count.max(1) as f64, count)
    }
}
