//! Gives up items past their retention and items without a route, and determines the jobs whose results are no longer
//! served.

use grebeusher_time::{Duration, DurationExt, Instant};

use super::Runner;
use super::given_up::{GiveUpCause, GivenUp};
use super::item_run::{ItemRun, Phase};
use super::run_reports::dead_letter;
use super::unproposed_results::PendingResult;
use crate::jobs::{Jobs, MAX_JOBS_IN_ENTRY};
use crate::names::JobId;

impl Runner {
    /// Gives up the items of all jobs that are past their retention. The caller has to call this regularly, see
    /// [`Runner::next_wake`].
    pub fn give_up_expired_items(&mut self, now: Instant) {
        let expired = self.jobs.iter().filter(|(_, job)| job.is_past_retention(now));
        let expired: Vec<JobId> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            let age = self.first_seen.get(&id).map_or(Duration::default(), |seen_at| now.since(*seen_at));
            let cause = GiveUpCause::RetentionOver { age_ms: age.nanos() / 1_000_000 };
            self.give_up_items(&id, cause, |_| true);
        }
    }

    /// Permanently gives up the items that match no route of the active configuration.
    pub fn give_up_unrouted(&mut self) {
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.give_up_items(&id, GiveUpCause::NoRoute, |item| item.route.is_none());
        }
    }

    /// Gives up the unfinished items of a job for which `selects` returns true.
    fn give_up_items(&mut self, id: &JobId, cause: GiveUpCause, selects: impl Fn(&ItemRun) -> bool) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let given_up = job.give_up(selects);
        if let Some((first_item, _)) = given_up.first() {
            let (job, first_item, item_count) = (id.clone(), *first_item, given_up.len());
            self.given_up.push(GivenUp { job, first_item, item_count, cause });
        }
        for (item, phase) in given_up {
            if let Phase::Running(run) = phase {
                self.cancel(run);
            }
            self.unproposed_results.push(PendingResult { job: id.clone(), result: dead_letter(item) });
        }
    }

    /// The jobs whose results are no longer served: those that are not open, and that this replica first saw at least
    /// `status_ttl` ago.
    pub fn expired_jobs(&self, jobs: &Jobs, now: Instant, status_ttl: Duration) -> Vec<JobId> {
        let past_ttl = self.first_seen.iter().filter(|(_, seen_at)| now.since(**seen_at) >= status_ttl);
        let closed = past_ttl.filter(|(job, _)| jobs.contains(job) && !jobs.is_open(job));
        closed.map(|(job, _)| job.clone()).take(MAX_JOBS_IN_ENTRY).collect()
    }
}
