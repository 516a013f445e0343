//! Admission by the leader of a partition: the quota of each route, what is under way counted in.

use std::collections::BTreeMap;

use crate::jobs::{Applied, Jobs};
use crate::names::JobId;
use crate::submission::Submission;

/// What becomes of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is to be proposed, and counts from now on. 202 once its entry is applied; no refusal that promises
    /// anything once it was proposed, as the entry may come to be committed without the leader's knowing.
    Propose,
    /// The job is kept: 202 at once.
    Kept,
    /// The same job was proposed and is not applied yet: answered as that one, when it is.
    UnderWay,
    /// The job doesn't fit what may wait on the route: 429.
    QueueFull { waiting: u64, limit: u64 },
    /// The partition has no memory for it: 503.
    NoMemory,
}

/// A job that is to be taken, by its name and size.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    pub job: &'a JobId,
    pub route: &'a str,
    /// Of all of its items.
    pub tokens: u64,
    /// The most tokens that may wait on the route (0: no limit).
    pub queue_token_limit: u64,
}

/// The jobs that the leader of a partition has proposed. Made anew with each term of the leader, after all that
/// earlier terms committed is applied.
#[derive(Clone, Debug)]
pub struct Leader {
    max_cost: usize,
    under_way: BTreeMap<JobId, UnderWay>,
    cost_under_way: usize,
}

#[derive(Clone, Debug)]
struct UnderWay {
    route: String,
    tokens: u64,
    cost: usize,
}

impl Leader {
    /// A leader that lets its jobs take about `max_cost` bytes of memory.
    pub fn new(max_cost: usize) -> Leader {
        Leader { max_cost, under_way: BTreeMap::new(), cost_under_way: 0 }
    }

    /// What would become of a job, by all but its memory.
    pub fn judge(&self, jobs: &Jobs, wanted: &Wanted<'_>) -> Admission {
        if jobs.contains(wanted.job) {
            return Admission::Kept;
        }
        if self.under_way.contains_key(wanted.job) {
            return Admission::UnderWay;
        }
        let waiting = self.waiting_tokens(jobs, wanted.route);
        let limit = wanted.queue_token_limit;
        if limit > 0 && waiting.saturating_add(wanted.tokens) > limit {
            return Admission::QueueFull { waiting, limit };
        }
        Admission::Propose
    }

    /// Decides on a submission. `queue_token_limit` is the route's (0: none).
    pub fn admit(&mut self, jobs: &Jobs, submission: &Submission, queue_token_limit: u64) -> Admission {
        let tokens = submission.tokens();
        let wanted = Wanted { job: &submission.job, route: &submission.route, tokens, queue_token_limit };
        let admission = self.judge(jobs, &wanted);
        if admission != Admission::Propose {
            return admission;
        }
        let cost = submission.items.iter().map(|item| item.cost()).sum();
        let taken = jobs.cost().saturating_add(self.cost_under_way);
        if taken.saturating_add(cost) > self.max_cost {
            return Admission::NoMemory;
        }
        let entry = UnderWay { route: submission.route.clone(), tokens, cost };
        self.under_way.insert(submission.job.clone(), entry);
        self.cost_under_way = self.cost_under_way.saturating_add(cost);
        Admission::Propose
    }

    /// The tokens that wait on a route, those under way counted in.
    pub fn waiting_tokens(&self, jobs: &Jobs, route: &str) -> u64 {
        let under_way = self.under_way.values().filter(|job| job.route == route);
        under_way.fold(jobs.waiting_tokens(route), |sum, job| sum.saturating_add(job.tokens))
    }

    /// Whether the job is proposed and not applied yet.
    pub fn is_under_way(&self, job: &JobId) -> bool {
        self.under_way.contains_key(job)
    }

    /// Takes note of an applied entry.
    pub fn applied(&mut self, applied: &Applied) {
        if let Applied::Submitted { job, .. } = applied {
            self.dropped(job);
        }
    }

    /// The job was not proposed after all, so that its entry can never be committed.
    pub fn dropped(&mut self, job: &JobId) {
        if let Some(entry) = self.under_way.remove(job) {
            self.cost_under_way = self.cost_under_way.saturating_sub(entry.cost);
        }
    }
}
