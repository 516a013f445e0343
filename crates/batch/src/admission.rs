//! Admission by the leader of a partition: the token quota of each route and the memory of the partition, pending jobs
//! included.

use std::collections::BTreeMap;

use crate::jobs::{Applied, Jobs};
use crate::names::JobId;
use crate::runner::{JobOrigin, JobRoute};
use crate::submission::Submission;

/// What becomes of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is to be proposed, and counts from now on. The answer is 202 once its entry is applied. After the proposal
    /// no answer may promise that the job was rejected: its entry may be committed without the leader's knowledge.
    Propose,
    /// The job is committed already: 202 at once.
    AlreadyAccepted,
    /// The same job was proposed and is not applied yet: answered together with that one.
    Pending,
    /// The job exceeds the route's quota of waiting tokens: 429.
    QueueFull {
        /// The tokens that wait on the route.
        waiting: u64,
        /// The most tokens that may wait on it.
        limit: u64,
    },
    /// The partition has no memory for it: 503.
    OutOfMemory,
}

/// A job that asks for admission, by its name and size.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The job.
    pub job: &'a JobId,
    /// The route that it counts on.
    pub route: JobRoute<'a>,
    /// The tokens of all its items.
    pub tokens: u64,
    /// The most tokens that may wait on the route; 0: no limit.
    pub queue_token_limit: u64,
}

/// The jobs of a partition that are committed.
pub trait CommittedJobs {
    /// Whether the job is known.
    fn contains(&self, job: &JobId) -> bool;

    /// The route that a job counts on.
    fn route_of<'o>(&self, origin: JobOrigin<'o>) -> JobRoute<'o>;

    /// The tokens of the items that are neither listed nor of a job that has ended, of the jobs that count on a route.
    fn waiting_tokens(&self, route: &JobRoute<'_>) -> u64;

    /// About the bytes that all jobs take in memory.
    fn cost(&self) -> usize;
}

/// Jobs alone, without a configuration: they count by the names that their routes had when they were submitted.
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

    fn cost(&self) -> usize {
        self.cost()
    }
}

/// The jobs that the leader of a partition has proposed and that are not applied yet. Made anew for each term of the
/// leader, after all entries of earlier terms are applied.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    max_cost: usize,
    pending: BTreeMap<JobId, PendingJob>,
    /// The sum over the pending jobs.
    pending_cost: usize,
}

/// A job that is not applied yet, and what its route is found by: the configuration may change meanwhile.
#[derive(Clone, Debug)]
struct PendingJob {
    route: String,
    host: String,
    path: String,
    tokens: u64,
    cost: usize,
}

impl PendingJob {
    fn origin(&self) -> JobOrigin<'_> {
        JobOrigin { route: &self.route, host: &self.host, path: &self.path }
    }
}

impl AdmissionControl {
    /// Admission to a partition whose jobs may take about `max_cost` bytes of memory.
    pub fn new(max_cost: usize) -> AdmissionControl {
        AdmissionControl { max_cost, pending: BTreeMap::new(), pending_cost: 0 }
    }

    /// What would become of a job, regardless of memory. Reserves nothing.
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

    /// Decides on a submission, and reserves quota and memory for one that is to be proposed. `queue_token_limit` is
    /// the route's; 0: none.
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
        let cost = submission.items.iter().map(super::submission::ItemSpec::cost).sum();
        let used = jobs.cost().saturating_add(self.pending_cost);
        if used.saturating_add(cost) > self.max_cost {
            return Admission::OutOfMemory;
        }
        let JobOrigin { route, host, path } = origin;
        let pending = PendingJob {
            route: route.to_owned(),
            host: host.to_owned(),
            path: path.to_owned(),
            tokens,
            cost,
        };
        self.pending.insert(submission.job.clone(), pending);
        self.pending_cost = self.pending_cost.saturating_add(cost);
        Admission::Propose
    }

    /// The tokens that wait on a route, those of pending jobs included.
    pub fn waiting_tokens(&self, jobs: &impl CommittedJobs, route: &JobRoute<'_>) -> u64 {
        let counts = |job: &&PendingJob| jobs.route_of(job.origin()).shares_quota_with(route);
        let pending = self.pending.values().filter(counts);
        pending.fold(jobs.waiting_tokens(route), |sum, job| sum.saturating_add(job.tokens))
    }

    /// Whether the job is proposed and not applied yet.
    pub fn is_pending(&self, job: &JobId) -> bool {
        self.pending.contains_key(job)
    }

    /// Takes note of an applied entry.
    pub fn applied(&mut self, applied: &Applied) {
        if let Applied::Submitted { job, .. } = applied {
            self.release(job);
        }
    }

    /// Releases what is reserved for a job whose entry can never be committed, as it was not proposed after all.
    pub fn release(&mut self, job: &JobId) {
        if let Some(pending) = self.pending.remove(job) {
            self.pending_cost = self.pending_cost.saturating_sub(pending.cost);
        }
    }
}
