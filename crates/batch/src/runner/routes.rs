//! Determines the routes of jobs and items, which are the routes of the active configuration that their requests match.
//!
//! The name of a route does not identify it. The operator may rename a route, give its name to another one, or use one
//! name for two routes. Only the host and path of a request decide where it may be sent.

use std::fmt;
use std::rc::Rc;

use super::Runner;
use super::job_run::JobRun;
use crate::admission::CommittedJobs;
use crate::jobs::Jobs;
use crate::names::JobId;
use crate::submission::Submission;

/// The index of a route in the active configuration. Another configuration may have other indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(pub usize);

/// The routes of a configuration.
pub trait RouteLookup: fmt::Debug {
    /// The bulk route that a request to this host and path matches. `None` if it matches no route, or one of another
    /// type.
    fn bulk_route(&self, host: &str, path: &str) -> Option<RouteIndex>;
}

/// The routes before the first configuration is set: there are none.
#[derive(Debug)]
pub(super) struct NoRoutes;

impl RouteLookup for NoRoutes {
    fn bulk_route(&self, _host: &str, _path: &str) -> Option<RouteIndex> {
        None
    }
}

/// The properties of a job that determine its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobOrigin<'a> {
    /// The name of the route when the job was submitted.
    pub route: &'a str,
    /// The host of the requests of the job.
    pub host: &'a str,
    /// The path of the first item of the job.
    pub path: &'a str,
}

impl<'a> JobOrigin<'a> {
    /// The origin of a submitted job.
    pub fn of(submission: &'a Submission) -> JobOrigin<'a> {
        let Submission { route, host, items, .. } = submission;
        let path: &str = items.first().map_or("", |item| &item.path);
        JobOrigin { route, host, path }
    }

    /// The route whose quota the job counts against.
    pub fn route_in(self, routes: &dyn RouteLookup) -> JobRoute<'a> {
        JobRoute { index: routes.bulk_route(self.host, self.path), name: self.route }
    }
}

/// The route whose quota a job counts against.
#[derive(Clone, Copy, Debug)]
pub struct JobRoute<'a> {
    /// The route that the requests of the job match in the active configuration.
    pub index: Option<RouteIndex>,
    /// The name of the route when the job was submitted. Jobs that match no route share a quota by this name, because
    /// another node may have a configuration that contains their route, and may admit further jobs on it.
    pub name: &'a str,
}

impl JobRoute<'_> {
    /// Whether the jobs of both routes count against the same quota.
    pub fn shares_quota_with(&self, other: &JobRoute<'_>) -> bool {
        match (self.index, other.index) {
            (Some(index), Some(other_index)) => index == other_index,
            (None, None) => self.name == other.name,
            (Some(_), None) | (None, Some(_)) => false,
        }
    }
}

impl Runner {
    /// Sets the routes of a new active configuration, and assigns each job and open item to the route that it matches.
    pub fn set_routes(&mut self, jobs: &Jobs, routes: Rc<dyn RouteLookup>) {
        self.routes = routes;
        for (id, run) in &mut self.jobs {
            if let Some(job) = jobs.job(id) {
                run.assign_routes(job, &*self.routes);
            }
        }
    }

    /// The sum of the tokens of all open items of the jobs that count against the quota of a route.
    pub fn waiting_tokens(&self, jobs: &Jobs, route: &JobRoute<'_>) -> u64 {
        let job_tokens = self.jobs.iter().filter_map(|(id, run)| {
            let job = jobs.job(id)?;
            let job_route = JobRoute { index: run.route(), name: job.route() };
            job_route.shares_quota_with(route).then(|| job.waiting_tokens())
        });
        job_tokens.fold(0, u64::saturating_add)
    }

    /// The number of waiting items that match no route.
    pub fn unrouted_count(&self) -> usize {
        self.jobs.values().map(JobRun::unrouted_count).sum()
    }
}

/// The committed jobs of a partition, with the routes that they match in the active configuration. Used by the leader to
/// admit further jobs.
#[derive(Clone, Copy, Debug)]
pub struct RoutedJobs<'a> {
    /// The committed jobs.
    pub jobs: &'a Jobs,
    /// The runner, which has the routes.
    pub runner: &'a Runner,
}

impl CommittedJobs for RoutedJobs<'_> {
    fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains(job)
    }

    fn route_of<'o>(&self, origin: JobOrigin<'o>) -> JobRoute<'o> {
        origin.route_in(&*self.runner.routes)
    }

    fn waiting_tokens(&self, route: &JobRoute<'_>) -> u64 {
        self.runner.waiting_tokens(self.jobs, route)
    }

    fn memory_bytes(&self) -> usize {
        self.jobs.memory_bytes()
    }
}
