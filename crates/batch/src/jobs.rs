//! The batch jobs of one partition: a state machine to which every replica applies the same committed entries, and so
//! comes to the same state. It reads no clock.
//!
//! `entry` and `snapshot` have the stored bytes, which must not change; `result_page` has the bytes that readers see.

mod entry;
mod job;
mod result_page;
mod snapshot;

use std::collections::BTreeMap;

pub(crate) use entry::MAX_JOBS_IN_ENTRY;
pub use entry::{Entry, EventChunk, ItemProgress, ItemResult, JobResults, JobSettings, ResultState};
pub(crate) use job::Job;
pub use job::{OpenItem, Progress};
pub use result_page::{ListedResult, MAX_PAGE_BYTES, Page};
pub use snapshot::SnapshotError;

use crate::names::{ItemIndex, JobId};
use crate::submission::Submission;

/// What an applied entry changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The job is accepted. Answered 202 either way.
    Submitted {
        /// The job.
        job: JobId,
        /// Whether it was accepted by an earlier entry.
        already: bool,
    },
    /// These items got positions in the results. Results of items that had one, or of jobs that have ended, are not
    /// among them.
    Listed(Vec<(JobId, ItemIndex)>),
    /// The client ended its job.
    Ended {
        /// The job.
        job: JobId,
        /// What the entry met.
        outcome: EndOutcome,
    },
    /// So many items progressed.
    Progressed(usize),
    /// These jobs are no longer known.
    Forgotten(Vec<JobId>),
}

/// What the end of a job met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// The job had not ended before; answered 200.
    Ended,
    /// The job had ended before; answered 200.
    AlreadyEnded,
    /// There is no such job.
    UnknownJob,
}

/// The progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobStatus {
    /// Its items.
    pub total: usize,
    /// Those that have positions in the results.
    pub listed: usize,
    /// Whether its client ended it.
    pub has_ended: bool,
}

/// The batch jobs of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    /// About the bytes that all jobs take in memory.
    cost: usize,
}

impl Jobs {
    /// No jobs yet.
    pub fn new() -> Jobs {
        Jobs::default()
    }

    /// Applies the next committed entry.
    pub fn apply(&mut self, entry: Entry) -> Applied {
        match entry {
            Entry::Submit { submission, settings } => self.submit(submission, settings),
            Entry::Results(batches) => self.list(batches),
            Entry::Progress(items) => Applied::Progressed(self.advance(items)),
            Entry::Ended { job } => self.end(job),
            Entry::Forget { jobs } => self.forget(jobs),
        }
    }

    fn submit(&mut self, submission: Submission, settings: JobSettings) -> Applied {
        let id = submission.job.clone();
        if self.jobs.contains_key(&id) {
            return Applied::Submitted { job: id, already: true };
        }
        let job = Job::new(submission, settings);
        self.cost = self.cost.saturating_add(job.cost());
        self.jobs.insert(id.clone(), job);
        Applied::Submitted { job: id, already: false }
    }

    fn list(&mut self, batches: Vec<JobResults>) -> Applied {
        let mut listed = Vec::new();
        for JobResults { job: id, results } in batches {
            self.change(&id, |job| {
                for result in results {
                    let item = result.item;
                    if job.list(result) {
                        listed.push((id.clone(), item));
                    }
                }
            });
        }
        Applied::Listed(listed)
    }

    fn advance(&mut self, items: Vec<ItemProgress>) -> usize {
        let mut advanced = 0;
        for progress in items {
            let id = progress.job.clone();
            advanced += usize::from(self.change(&id, |job| job.advance(progress)).unwrap_or(false));
        }
        advanced
    }

    fn end(&mut self, id: JobId) -> Applied {
        let outcome = match self.change(&id, Job::end) {
            Some(true) => EndOutcome::Ended,
            Some(false) => EndOutcome::AlreadyEnded,
            None => EndOutcome::UnknownJob,
        };
        Applied::Ended { job: id, outcome }
    }

    /// Open jobs stay, whatever the entry says: their results may still be asked for.
    fn forget(&mut self, ids: Vec<JobId>) -> Applied {
        let mut forgotten = Vec::new();
        for id in ids {
            if self.jobs.get(&id).is_none_or(Job::is_open) {
                continue;
            }
            if let Some(job) = self.jobs.remove(&id) {
                self.cost = self.cost.saturating_sub(job.cost());
                forgotten.push(id);
            }
        }
        Applied::Forgotten(forgotten)
    }

    /// Changes a job and keeps the sum of costs right.
    fn change<T>(&mut self, id: &JobId, change: impl FnOnce(&mut Job) -> T) -> Option<T> {
        let job = self.jobs.get_mut(id)?;
        let cost = job.cost();
        let result = change(job);
        self.cost = self.cost.saturating_sub(cost).saturating_add(job.cost());
        Some(result)
    }

    /// The results of a job from position `resume_after` on, as many as fit a response of `max_bytes`, and at least one
    /// if there is one. `None` if there is no such job.
    pub fn read(&self, job: &JobId, resume_after: usize, max_bytes: usize) -> Option<Page<'_>> {
        self.jobs.get(job).map(|job| job.page(resume_after, max_bytes))
    }

    /// The decoded body of an item that is not listed, of a job that has not ended.
    pub fn item_body(&self, job: &JobId, item_id: &str) -> Option<&[u8]> {
        self.jobs.get(job)?.item_body(item_id)
    }

    /// The progress of a job. `None` if there is no such job.
    pub fn status(&self, job: &JobId) -> Option<JobStatus> {
        self.jobs.get(job).map(Job::status)
    }

    /// Whether the job is known.
    pub fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Whether results may still be listed: the job has not ended and items are not listed.
    pub fn is_open(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(Job::is_open)
    }

    /// Whether the job was ended by its client.
    pub fn has_ended(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(Job::has_ended)
    }

    /// The tokens of the items that are neither listed nor of a job that has ended, of the jobs whose route had this
    /// name when they were submitted.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.route() == route);
        jobs.map(Job::waiting_tokens).fold(0, u64::saturating_add)
    }

    /// About the bytes that all jobs take in memory.
    pub fn cost(&self) -> usize {
        self.cost
    }

    /// About the bytes that a job takes in memory.
    pub fn job_cost(&self, job: &JobId) -> Option<usize> {
        self.jobs.get(job).map(Job::cost)
    }

    /// The number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The names of all jobs, in their order.
    pub fn names(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    pub(crate) fn job(&self, job: &JobId) -> Option<&Job> {
        self.jobs.get(job)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }
}
