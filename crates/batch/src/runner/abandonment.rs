//! What is given up: items past their retention, items without a route, and jobs that nobody may ask for any longer.

use grebeusher_time::{Duration, Instant};

use super::Runner;
use super::item_run::{ItemRun, Phase};
use super::run_reports::dead_letter;
use super::unproposed_results::PendingResult;
use crate::jobs::{Jobs, MAX_JOBS_IN_ENTRY};
use crate::names::JobId;

impl Runner {
    /// Gives up what is past its retention. To be called now and then, see [`Runner::next_wake`].
    pub fn tick(&mut self, now: Instant) {
        let late = self.jobs.iter().filter(|(_, job)| job.is_given_up(now));
        let late: Vec<JobId> = late.map(|(id, _)| id.clone()).collect();
        for id in late {
            self.give_up_items(&id, |_| true);
        }
    }

    /// Gives up the items that match no route of the configuration in force, for good.
    pub fn give_up_unrouted(&mut self) {
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.give_up_items(&id, |item| item.route.is_none());
        }
    }

    fn give_up_items(&mut self, id: &JobId, is_given_up: impl Fn(&ItemRun) -> bool) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for (item, phase) in job.give_up(is_given_up) {
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
