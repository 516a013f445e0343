//! Starts and ends the terms of the leader, and updates the state of each replica after applied entries.

use grebeusher_time::{Duration, Instant};

use super::Runner;
use super::item_run::Phase;
use super::job_run::{JobRun, millis};
use crate::jobs::{Applied, EndOutcome, Jobs};
use crate::names::{ItemIndex, JobId};

impl Runner {
    /// Starts tracking the jobs that were loaded from a snapshot or from disk. The ages of new ones count from `now`.
    pub fn track_jobs(&mut self, jobs: &Jobs, now: Instant) {
        self.first_seen.retain(|job, _| jobs.contains(job));
        for job in jobs.ids() {
            self.first_seen.entry(job.clone()).or_insert(now);
        }
    }

    /// Starts a term as the leader. All entries of earlier terms must be applied. Open items run again, from their
    /// committed progress. `wall_ms`, the wall clock in milliseconds since 1970, only affects the order of jobs.
    pub fn start_leading(&mut self, jobs: &Jobs, now: Instant, wall_ms: u64) {
        self.cancel_all();
        self.track_jobs(jobs, now);
        self.is_leader = true;
        for (id, job) in jobs.all().filter(|(_, job)| job.is_open()) {
            let age_ms = wall_ms.saturating_sub(job.settings().accepted_at_wall_ms);
            self.add_job(jobs, id, now, millis(age_ms));
        }
    }

    /// Ends the term as the leader and cancels all runs, see [`Runner::take_cancelled`]. Results that are not committed
    /// are dropped; the next leader runs their items again.
    pub fn stop_leading(&mut self) {
        self.cancel_all();
        self.is_leader = false;
    }

    fn cancel_all(&mut self) {
        self.cancelled.extend(self.runs.drain().map(|(run, _)| run));
        self.jobs.clear();
        self.unproposed_results.clear();
        self.changed_failure_counts.clear();
    }

    fn add_job(&mut self, jobs: &Jobs, id: &JobId, now: Instant, age_by_wall_clock: Duration) {
        let Some(job) = jobs.job(id) else { return };
        let first_seen = self.first_seen.get(id).copied().unwrap_or(now);
        let run = JobRun::new(job, &*self.routes, first_seen, age_by_wall_clock, now, self.turn_count);
        self.jobs.insert(id.clone(), run);
    }

    /// Updates the state after an applied entry. To be called on every replica.
    pub fn on_applied(&mut self, jobs: &Jobs, applied: &Applied, now: Instant) {
        match applied {
            Applied::Submitted { job, already_accepted: false } => {
                self.first_seen.insert(job.clone(), now);
                if self.is_leader && jobs.is_open(job) {
                    self.add_job(jobs, job, now, Duration::default());
                }
            }
            Applied::Listed(items) => {
                for (job, item) in items {
                    self.remove_item(job, *item);
                }
            }
            Applied::Ended { job, outcome: EndOutcome::Ended } => self.remove_job(job),
            Applied::Removed(removed) => {
                for job in removed {
                    self.first_seen.remove(job);
                    self.remove_job(job);
                }
            }
            Applied::Submitted { .. } | Applied::Ended { .. } | Applied::Progressed(_) => {}
        }
    }

    fn remove_item(&mut self, id: &JobId, item: ItemIndex) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let phase = job.remove(item);
        if job.is_empty() {
            self.jobs.remove(id);
        }
        if let Some(Phase::Running(run)) = phase {
            self.cancel(run);
        }
    }

    fn remove_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.remove(id) else { return };
        for run in job.runs() {
            self.cancel(run);
        }
        self.unproposed_results.remove_job(id);
    }
}
