//! Admission control by the leader of a partition. It enforces the token quota of each route and the memory limit of
//! the partition. Jobs that are proposed but not applied yet count too.

use std::collections::BTreeMap;

use crate::jobs::{Applied, Jobs};
use crate::names::JobId;
use crate::runner::{JobOrigin, JobRoute};
use crate::submission::Submission;

/// The decision on a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The leader has to propose the job, which counts against the limits from now on. The client gets a 202 once the
    /// entry is applied. After the proposal no response may say that the job was rejected: its entry may be committed
    /// without the leader's knowledge.
    Propose,
    /// The job is committed already: the client gets a 202 at once.
    AlreadyAccepted,
    /// The same job is proposed and not applied yet: both submissions get their response when it is applied.
    Pending,
    /// The job would exceed the route's quota of waiting tokens: the client gets a 429.
    QueueFull {
        /// The number of tokens that wait on the route.
        waiting: u64,
        /// The maximum number of tokens that may wait on the route.
        limit: u64,
    },
    /// The job would exceed the partition's memory limit: the client gets a 503.
    OutOfMemory,
}

/// The properties of a job that its admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The id of the job.
    pub job: &'a JobId,
    /// The route whose quota the job counts against.
    pub route: JobRoute<'a>,
    /// The sum of the tokens of all items of the job.
    pub tokens: u64,
    /// The maximum number of tokens that may wait on the route; 0 means no limit.
    pub queue_token_limit: u64,
}

/// The committed jobs of a partition.
pub trait CommittedJobs {
    /// Whether the job is committed.
    fn contains(&self, job: &JobId) -> bool;

    /// The route whose quota a job counts against.
    fn route_of<'o>(&self, origin: JobOrigin<'o>) -> JobRoute<'o>;

    /// The sum of the tokens of all open items of the jobs that count against the quota of a route.
    fn waiting_tokens(&self, route: &JobRoute<'_>) -> u64;

    /// The approximate memory use of all jobs, in bytes.
    fn memory_bytes(&self) -> usize;
}

/// Without a configuration, jobs count against quotas by the name that their route had when they were submitted.
impl CommittedJobs for Jobs {
    fn contains(&self, job: &JobId) -> bool {
        self.contains(job)
    }

    fn route_of<'o>(&self, origin: JobOrigin<'o>) -> JobRoute<'o> {
        JobRoute { index: None, name: origin.route }
    }

    fn waiting_tokens(&self, route: &JobRoute<'_>) -> u64 {
        self.waiting_tokens(route.name)
    }

    fn memory_bytes(&self) -> usize {
        self.memory_bytes()
    }
}

/// Tracks the jobs that the leader of a partition has proposed and that are not applied yet. Each term of a leader
/// starts with a new one, after all entries of earlier terms are applied.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    max_memory_bytes: usize,
    pending: BTreeMap<JobId, PendingJob>,
    /// The approximate memory use of all pending jobs, in bytes.
    pending_memory_bytes: usize,
}

/// A job that is proposed and not applied yet. It keeps the properties that determine its route, because the
/// configuration may change in the meantime.
#[derive(Clone, Debug)]
struct PendingJob {
    route: String,
    host: String,
    path: String,
    tokens: u64,
    /// The approximate memory use of the job's items, in bytes.
    memory_bytes: usize,
}

impl PendingJob {
    fn origin(&self) -> JobOrigin<'_> {
        JobOrigin { route: &self.route, host: &self.host, path: &self.path }
    }
}

impl AdmissionControl {
    /// Creates the admission control of a partition whose jobs may use about `max_memory_bytes` bytes of memory.
    pub fn new(max_memory_bytes: usize) -> AdmissionControl {
        AdmissionControl { max_memory_bytes, pending: BTreeMap::new(), pending_memory_bytes: 0 }
    }

    /// Decides on a job without regard to memory. Reserves nothing.
    pub fn check(&self, jobs: &impl CommittedJobs, request: &AdmissionRequest<'_>) -> Admission {
        if jobs.contains(request.job) {
            return Admission::AlreadyAccepted;
        }
        if self.pending.contains_key(request.job) {
            return Admission::Pending;
        }
        let waiting = self.waiting_tokens(jobs, &request.route);
        let limit = request.queue_token_limit;
        if limit > 0 && waiting.saturating_add(request.tokens) > limit {
            return Admission::QueueFull { waiting, limit };
        }
        Admission::Propose
    }

    /// Decides on a submission, and reserves quota and memory if the result is [`Admission::Propose`].
    /// `queue_token_limit` is the maximum number of tokens that may wait on the route; 0 means no limit.
    pub fn admit(
        &mut self,
        jobs: &impl CommittedJobs,
        submission: &Submission,
        queue_token_limit: u64,
    ) -> Admission {
        let tokens = submission.tokens();
        let origin = JobOrigin::of(submission);
        let route = jobs.route_of(origin);
        let request = AdmissionRequest { job: &submission.job, route, tokens, queue_token_limit };
        let admission = self.check(jobs, &request);
        if admission != Admission::Propose {
            return admission;
        }
        let memory_bytes = submission.items.iter().map(super::submission::ItemSpec::memory_bytes).sum();
        let used = jobs.memory_bytes().saturating_add(self.pending_memory_bytes);
        if used.saturating_add(memory_bytes) > self.max_memory_bytes {
            return Admission::OutOfMemory;
        }
        let JobOrigin { route, host, path } = origin;
        let pending = PendingJob {
            route: route.to_owned(),
            host: host.to_owned(),
            path: path.to_owned(),
            tokens,
            memory_bytes,
        };
        self.pending.insert(submission.job.clone(), pending);
        self.pending_memory_bytes = self.pending_memory_bytes.saturating_add(memory_bytes);
        Admission::Propose
    }

    /// The sum of the tokens that wait on a route, including those of pending jobs.
    pub fn waiting_tokens(&self, jobs: &impl CommittedJobs, route: &JobRoute<'_>) -> u64 {
        let is_on_route = |job: &&PendingJob| jobs.route_of(job.origin()).shares_quota_with(route);
        let pending = self.pending.values().filter(is_on_route);
        pending.fold(jobs.waiting_tokens(route), |sum, job| sum.saturating_add(job.tokens))
    }

    /// Whether the job is proposed but not applied yet.
    pub fn is_pending(&self, job: &JobId) -> bool {
        self.pending.contains_key(job)
    }

    /// Ends the reservation of a job whose entry was applied.
    pub fn on_applied(&mut self, applied: &Applied) {
        if let Applied::Submitted { job, .. } = applied {
            self.release(job);
        }
    }

    /// Releases the reservation of a job whose entry can never be committed, because the proposal failed.
    pub fn release(&mut self, job: &JobId) {
        if let Some(pending) = self.pending.remove(job) {
            self.pending_memory_bytes = self.pending_memory_bytes.saturating_sub(pending.memory_bytes);
        }
    }
}
