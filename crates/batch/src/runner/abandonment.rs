//! What is given up: items past their retention, items of removed routes, and jobs that nobody may ask for any longer.

use grebeusher_time::{Duration, Instant};

use super::item_run::Phase;
use super::run_reports::dead_letter;
use super::{PendingResult, Runner};
use crate::jobs::{Jobs, MAX_JOBS_IN_ENTRY};
use crate::names::JobId;

impl Runner {
    /// Gives up what is past its retention. To be called now and then, see [`Runner::next_wake`].
    pub fn tick(&mut self, now: Instant) {
        let late = self.jobs.iter().filter(|(_, job)| job.is_given_up(now));
        let late: Vec<JobId> = late.map(|(id, _)| id.clone()).collect();
        for id in late {
            self.give_up_job(&id);
        }
    }

    /// The route is no longer in the committed configuration: its items are given up for good.
    pub fn route_removed(&mut self, route: &str) {
        self.retain_routes(|other| other != route);
    }

    /// Gives up the items of all routes that are no longer in the committed configuration, for good. To be called when
    /// it changes and after [`Runner::start_leading`].
    pub fn retain_routes(&mut self, is_configured: impl Fn(&str) -> bool) {
        let removed = self.jobs.iter().filter(|(_, job)| !is_configured(job.route()));
        let removed: Vec<JobId> = removed.map(|(id, _)| id.clone()).collect();
        for id in removed {
            self.give_up_job(&id);
        }
    }

    fn give_up_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for (item, phase) in job.finish_all() {
            if let Phase::Running(run) = phase {
                self.cancel(run);
            }
            self.results.push(PendingResult { job: id.clone(), result: dead_letter(item) });
        }
    }

    /// The jobs that nobody may ask for any longer: not open, and first seen here `status_ttl` ago or more.
    pub fn expired_jobs(&self, jobs: &Jobs, now: Instant, status_ttl: Duration) -> Vec<JobId> {
        let old = self.first_seen.iter().filter(|(_, seen)| now.since(**seen) >= status_ttl);
        let closed = old.filter(|(job, _)| jobs.contains(job) && !jobs.is_open(job));
        closed.map(|(job, _)| job.clone()).take(MAX_JOBS_IN_ENTRY).collect()
    }
}
