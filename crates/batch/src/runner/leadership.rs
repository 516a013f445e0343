//! Terms of the leader, and what each replica does with applied entries.

use grebeusher_time::{Duration, Instant};

use super::Runner;
use super::item_run::Phase;
use super::job_run::{JobRun, millis};
use crate::jobs::{Applied, EndOutcome, Jobs};
use crate::names::{ItemIndex, JobId};

impl Runner {
    /// Tracks the jobs that came by a snapshot or from the disk: their ages begin now.
    pub fn track_jobs(&mut self, jobs: &Jobs, now: Instant) {
        self.first_seen.retain(|job, _| jobs.contains(job));
        for job in jobs.names() {
            self.first_seen.entry(job.clone()).or_insert(now);
        }
    }

    /// This replica leads the partition from now on, and all entries of earlier terms are applied. Items that are not
    /// listed start again, from what is committed of them. `wall_ms`, the wall clock in ms since 1970, is only a hint
    /// to which of the jobs are urgent.
    pub fn start_leading(&mut self, jobs: &Jobs, now: Instant, wall_ms: u64) {
        self.cancel_all();
        self.track_jobs(jobs, now);
        self.is_leader = true;
        for (id, job) in jobs.all().filter(|(_, job)| job.is_open()) {
            let age_ms = wall_ms.saturating_sub(job.settings().accepted_at_wall_ms);
            self.add_job(jobs, id, now, millis(age_ms));
        }
    }

    /// This replica no longer leads: all runs are cancelled, see [`Runner::take_cancelled`]. Results that are not
    /// committed are left to the next leader.
    pub fn stop_leading(&mut self) {
        self.cancel_all();
        self.is_leader = false;
    }

    fn cancel_all(&mut self) {
        self.cancelled.extend(self.runs.drain().map(|(run, _)| run));
        self.jobs.clear();
        self.results.clear();
        self.failures.clear();
    }

    fn add_job(&mut self, jobs: &Jobs, id: &JobId, now: Instant, age_by_wall_clock: Duration) {
        let Some(job) = jobs.job(id) else { return };
        let first_seen = self.first_seen.get(id).copied().unwrap_or(now);
        let run = JobRun::new(job, &*self.routes, first_seen, age_by_wall_clock, now, self.turns);
        self.jobs.insert(id.clone(), run);
    }

    /// Takes note of an applied entry, on every replica.
    pub fn applied(&mut self, jobs: &Jobs, applied: &Applied, now: Instant) {
        match applied {
            Applied::Submitted { job, already: false } => {
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
            Applied::Forgotten(forgotten) => {
                for job in forgotten {
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
        self.results.remove_job(id);
    }
}
