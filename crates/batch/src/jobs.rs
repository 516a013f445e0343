//! The batch jobs of one partition, as a replicated state machine. Every replica applies the same committed entries and
//! so reaches the same state. The state machine reads no clock.
//!
//! An item is open until its result is committed or its job has ended. A committed result has a position in the
//! `result_list` of its job, which never changes; its item is called listed.
//!
//! `entry` and `snapshot` define the stored bytes, which must not change. `result_page` defines the JSON that clients
//! read.

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
    /// The job is accepted. The client gets a 202, whether an earlier entry accepted the job or not.
    Submitted {
        /// The id of the job.
        job: JobId,
        /// Whether an earlier entry had accepted the job.
        already_accepted: bool,
    },
    /// The results of these items were added. Results of items that had one, and of jobs that have ended, were ignored
    /// and are not included.
    Listed(Vec<(JobId, ItemIndex)>),
    /// The client ended its job.
    Ended {
        /// The id of the job.
        job: JobId,
        /// The effect of the entry.
        outcome: EndOutcome,
    },
    /// The number of items whose progress advanced.
    Progressed(usize),
    /// These jobs were removed.
    Removed(Vec<JobId>),
}

/// The effect of an entry that ends a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// The job ended. The client gets a 200.
    Ended,
    /// The job had ended before. The client gets a 200.
    AlreadyEnded,
    /// There is no such job.
    UnknownJob,
}

/// The progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobStatus {
    /// The number of items of the job.
    pub total: usize,
    /// The number of items whose result is committed.
    pub listed: usize,
    /// Whether the client has ended the job.
    pub has_ended: bool,
}

/// The batch jobs of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    /// The approximate memory use of all jobs, in bytes.
    memory_bytes: usize,
}

impl Jobs {
    /// Creates a state without jobs.
    pub fn new() -> Jobs {
        Jobs::default()
    }

    /// Applies the next committed entry.
    pub fn apply(&mut self, entry: Entry) -> Applied {
        match entry {
            Entry::Submit { submission, settings } => self.submit(submission, settings),
            Entry::Results(results) => self.add_results(results),
            Entry::Progress(items) => Applied::Progressed(self.advance(items)),
            Entry::Ended { job } => self.end(job),
            Entry::Remove { jobs } => self.remove(jobs),
        }
    }

    fn submit(&mut self, submission: Submission, settings: JobSettings) -> Applied {
        let id = submission.job.clone();
        if self.jobs.contains_key(&id) {
            return Applied::Submitted { job: id, already_accepted: true };
        }
        let job = Job::new(submission, settings);
        self.memory_bytes = self.memory_bytes.saturating_add(job.memory_bytes());
        self.jobs.insert(id.clone(), job);
        Applied::Submitted { job: id, already_accepted: false }
    }

    fn add_results(&mut self, results_by_job: Vec<JobResults>) -> Applied {
        let mut listed = Vec::new();
        for JobResults { job: id, results } in results_by_job {
            self.change(&id, |job| {
                for result in results {
                    let item = result.item;
                    if job.add_result(result) {
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

    /// Removes jobs, except open ones, whose results a client may still request.
    fn remove(&mut self, ids: Vec<JobId>) -> Applied {
        let mut removed = Vec::new();
        for id in ids {
            if self.jobs.get(&id).is_none_or(Job::is_open) {
                continue;
            }
            if let Some(job) = self.jobs.remove(&id) {
                self.memory_bytes = self.memory_bytes.saturating_sub(job.memory_bytes());
                removed.push(id);
            }
        }
        Applied::Removed(removed)
    }

    /// Changes a job and updates the memory use of all jobs.
    fn change<T>(&mut self, id: &JobId, change: impl FnOnce(&mut Job) -> T) -> Option<T> {
        let job = self.jobs.get_mut(id)?;
        let bytes_before = job.memory_bytes();
        let result = change(job);
        self.memory_bytes = self.memory_bytes.saturating_sub(bytes_before).saturating_add(job.memory_bytes());
        Some(result)
    }

    /// The results of a job from position `resume_after` on, as many as fit a response of `max_bytes`, but at least one
    /// if there are any. `None` if there is no such job.
    pub fn read(&self, job: &JobId, resume_after: usize, max_bytes: usize) -> Option<Page<'_>> {
        self.jobs.get(job).map(|job| job.page(resume_after, max_bytes))
    }

    /// The decoded body of an open item. `None` if the job has no open item of this id.
    pub fn item_body(&self, job: &JobId, item_id: &str) -> Option<&[u8]> {
        self.jobs.get(job)?.item_body(item_id)
    }

    /// The progress of a job. `None` if there is no such job.
    pub fn status(&self, job: &JobId) -> Option<JobStatus> {
        self.jobs.get(job).map(Job::status)
    }

    /// Whether there is such a job.
    pub fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Whether the job is open: it has not ended and has open items, so that results may still be added.
    pub fn is_open(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(Job::is_open)
    }

    /// Whether the client has ended the job.
    pub fn has_ended(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(Job::has_ended)
    }

    /// The sum of the tokens of all open items of the jobs whose route had this name when they were submitted.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.route() == route);
        jobs.map(Job::waiting_tokens).fold(0, u64::saturating_add)
    }

    /// The approximate memory use of all jobs, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// The approximate memory use of a job, in bytes. `None` if there is no such job.
    pub fn job_memory_bytes(&self, job: &JobId) -> Option<usize> {
        self.jobs.get(job).map(Job::memory_bytes)
    }

    /// The number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The ids of all jobs in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// The id of an open item. `None` if the job is unknown, or the item has a result or never existed.
    pub fn open_item_id(&self, job: &JobId, item: ItemIndex) -> Option<&str> {
        Some(&self.job(job)?.open_item(item)?.spec.id)
    }

    pub(crate) fn job(&self, job: &JobId) -> Option<&Job> {
        self.jobs.get(job)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }
}
