//! The routes that jobs and items belong to: those of the configuration in force that their requests match.
//!
//! The name of a route is no identity. The operator may rename a route, give its name to another one, or use one name
//! for two routes. Where a request may go is decided by its host and path alone.

use std::fmt;
use std::rc::Rc;

use super::Runner;
use super::job_run::JobRun;
use crate::admission::CommittedJobs;
use crate::jobs::Jobs;
use crate::names::JobId;
use crate::submission::Submission;

/// A route of the configuration in force, by its index there. Another configuration has other indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(pub usize);

/// The routes of a configuration.
pub trait RouteLookup: fmt::Debug {
    /// The bulk route that a request to this host and path matches; `None` if it matches none, or one of another type.
    fn bulk_route(&self, host: &str, path: &str) -> Option<RouteIndex>;
}

/// What is known before the first configuration.
#[derive(Debug)]
pub(super) struct NoRoutes;

impl RouteLookup for NoRoutes {
    fn bulk_route(&self, _host: &str, _path: &str) -> Option<RouteIndex> {
        None
    }
}

/// What the route of a job is found by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobOrigin<'a> {
    /// The name of the route when the job was submitted.
    pub route: &'a str,
    /// The host of its requests.
    pub host: &'a str,
    /// The path of its first item.
    pub path: &'a str,
}

impl<'a> JobOrigin<'a> {
    /// The origin of a job that is submitted.
    pub fn of(submission: &'a Submission) -> JobOrigin<'a> {
        let Submission { route, host, items, .. } = submission;
        let path: &str = items.first().map_or("", |item| &item.path);
        JobOrigin { route, host, path }
    }

    /// The route that the job counts on.
    pub fn route_in(self, routes: &dyn RouteLookup) -> JobRoute<'a> {
        JobRoute { index: routes.bulk_route(self.host, self.path), name: self.route }
    }
}

/// The route whose quota a job counts on.
#[derive(Clone, Copy, Debug)]
pub struct JobRoute<'a> {
    /// The route that its requests match now.
    pub index: Option<RouteIndex>,
    /// The name of its route when it was submitted. Jobs without a route count by it: another node may serve by a
    /// configuration that has their route, and admits further jobs on it.
    pub name: &'a str,
}

impl JobRoute<'_> {
    /// Whether jobs of both count on one quota.
    pub fn shares_quota_with(&self, other: &JobRoute<'_>) -> bool {
        match (self.index, other.index) {
            (Some(one), Some(other)) => one == other,
            (None, None) => self.name == other.name,
            (Some(_), None) | (None, Some(_)) => false,
        }
    }
}

impl Runner {
    /// Another configuration is in force: each job and item that is run here belongs to the route that it has there.
    pub fn set_routes(&mut self, jobs: &Jobs, routes: Rc<dyn RouteLookup>) {
        self.routes = routes;
        for (id, run) in &mut self.jobs {
            if let Some(job) = jobs.job(id) {
                run.assign_routes(job, &*self.routes);
            }
        }
    }

    /// The tokens of the items that are neither listed nor of a job that has ended, of the jobs that count on a route.
    pub fn waiting_tokens(&self, jobs: &Jobs, route: &JobRoute<'_>) -> u64 {
        let counted = self.jobs.iter().filter_map(|(id, run)| {
            let job = jobs.job(id)?;
            let job_route = JobRoute { index: run.route(), name: job.route() };
            job_route.shares_quota_with(route).then(|| job.waiting_tokens())
        });
        counted.fold(0, u64::saturating_add)
    }

    /// How many items match no route and wait for one.
    pub fn unrouted_count(&self) -> usize {
        self.jobs.values().map(JobRun::unrouted_count).sum()
    }
}

/// The jobs of a partition as their leader admits further ones: by the routes that they belong to now.
#[derive(Clone, Copy, Debug)]
pub struct RoutedJobs<'a> {
    /// What is committed.
    pub jobs: &'a Jobs,
    /// Who runs it.
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

    fn cost(&self) -> usize {
        self.jobs.cost()
    }
}
