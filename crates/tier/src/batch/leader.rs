//! What the leader of a batch partition does for callers: it admits jobs, answers readers, and proposes what items come to.
//!
//! The state is the [`BatchPartition`]'s; this module applies committed entries to it, proposes, and replies.

use crate::batch::page_size::max_page_bytes;
use crate::batch::partition::{
    BatchPartition, JOBS_ENTRY, LeftBehind, PendingRead, RETIRE_ENTRY, jobs_entry, not_found, shared,
};
use crate::control::partition_host::{Application, Waiter};
use crate::links::messages::{OfferJob, Reply, SubmitJob};
use crate::node::{Node, RunError};
use crate::runtime::timers::Timer;
use grebeusher_batch::{
    Admission, Applied, EndOutcome, Entry, JobId, JobOrigin, JobRoute, JobSettings, Submission,
};
use grebeusher_quorum::{Blob, ProposeError};
use grebeusher_time::{Duration, DurationExt};
use nanoserde::DeBin;
use std::collections::BTreeSet;
use tracing::info;

/// A reply without content.
fn answer(status: u16) -> Reply {
    Reply::Answer { status, body: b"{}".to_vec() }
}

impl Node {
    /// The batch partition at an index.
    pub(crate) fn batch_mut(&mut self, index: usize) -> Option<&mut BatchPartition> {
        match &mut self.partitions.get_mut(index)?.application {
            Application::Batch(partition) => Some(partition),
            Application::Configuration(_) => None,
        }
    }

    pub(crate) fn restore_batch(&mut self, index: usize, bytes: Blob) -> Result<(), RunError> {
        let (now, number) = (self.now, self.partitions[index].partition);
        let unreadable = |reason: String| RunError::State { partition: number, reason };
        if let Some(partition) = self.batch_mut(index) {
            partition.restore(&shared(bytes)).map_err(|e| unreadable(e.to_string()))?;
            partition.track_restored_jobs(now);
        }
        Ok(())
    }

    pub(crate) fn apply_batch(
        &mut self,
        index: usize,
        payload: Blob,
        waiters: Vec<Waiter>,
    ) -> Result<(), RunError> {
        let (now, number) = (self.now, self.partitions[index].partition);
        let unreadable = |reason: String| RunError::State { partition: number, reason };
        let payload = shared(payload);
        let status = match payload.split_first() {
            Some((&JOBS_ENTRY, _)) => {
                let entry = Entry::from_shared(&payload.skip(1)).map_err(|e| unreadable(e.to_string()))?;
                let Some(partition) = self.batch_mut(index) else { return Ok(()) };
                let applied = partition.apply(entry, now);
                self.after_applied(index, &applied)
            }
            Some((&RETIRE_ENTRY, name)) => {
                let Some(partition) = self.batch_mut(index) else { return Ok(()) };
                partition.retiring.insert(String::from_utf8_lossy(name).into_owned());
                200
            }
            _ => return Err(unreadable("an entry of an unknown kind".to_owned())),
        };
        for waiter in waiters {
            self.reply(waiter.peer, waiter.number, answer(status));
        }
        Ok(())
    }

    /// What others learn from an applied entry; the status of the call that proposed it.
    fn after_applied(&mut self, index: usize, applied: &Applied) -> u16 {
        match applied {
            Applied::Submitted { job, .. } => {
                let Some(partition) = self.batch_mut(index) else { return 202 };
                for waiter in partition.take_pending_submissions(job) {
                    self.reply(waiter.peer, waiter.number, answer(202));
                }
                self.wake_items();
                202
            }
            Applied::Listed(items) => {
                let jobs: BTreeSet<JobId> = items.iter().map(|(job, _)| job.clone()).collect();
                self.answer_pending_reads(index, |job| jobs.contains(job));
                200
            }
            Applied::Ended { outcome, job } => {
                let ended = job.clone();
                self.answer_pending_reads(index, |job| *job == ended);
                self.cut_off_runs(index);
                if *outcome == EndOutcome::UnknownJob { 404 } else { 200 }
            }
            Applied::Progressed(_) | Applied::Removed(_) => 200,
        }
    }

    pub(crate) fn batch_leader_changed(&mut self, index: usize, leads: bool) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(partition) = self.batch_mut(index) else { return };
        let LeftBehind { reads, submissions } = partition.leader_changed(leads, now, wall_ms);
        for read in reads {
            self.reply(read.waiter.peer, read.waiter.number, Reply::Unavailable);
        }
        for waiter in submissions {
            self.reply(waiter.peer, waiter.number, Reply::Unclear);
        }
        self.cut_off_runs(index);
        if leads {
            self.set_routes_of_jobs();
            self.wake_items();
        }
    }

    /// The configuration or a leadership has changed: the jobs that this node runs belong to the routes that there are now.
    pub(crate) fn set_routes_of_jobs(&mut self) {
        let Some(active) = self.configuration.active().cloned() else { return };
        for index in 0..self.partitions.len() {
            if let Some(partition) = self.batch_mut(index) {
                partition.set_routes(active.routes.clone());
            }
        }
    }

    /// Proposes unfinished texts, so that the next leader goes on from there.
    pub(crate) fn checkpoint_batch(&mut self, index: usize) {
        while let Some(entry) =
            self.batch_mut(index).and_then(|partition| partition.runner_mut().checkpoint())
        {
            if let Err(error) = self.propose_for_runner(index, entry) {
                info!(partition = self.partitions[index].partition, %error, "unfinished texts not proposed");
                return;
            }
        }
    }

    /// Proposes what the items have come to.
    pub(crate) fn propose_results(&mut self, index: usize) {
        while let Some(entry) =
            self.batch_mut(index).and_then(|partition| partition.runner_mut().next_proposal())
        {
            let proposed = self.propose_for_runner(index, entry);
            self.log_refusals(index, proposed.as_ref().err());
            if proposed.is_err() {
                return;
            }
        }
    }

    /// Proposes an entry of the runner, which gets it back if it is refused.
    fn propose_for_runner(&mut self, index: usize, entry: Entry) -> Result<(), ProposeError> {
        let proposed = self.partitions[index].propose(self.now, jobs_entry(&entry), None);
        if proposed.is_err()
            && let Some(partition) = self.batch_mut(index)
        {
            partition.runner_mut().not_proposed(entry);
        }
        proposed
    }

    /// Logs the first proposal of results that is refused, and the first one that is taken after it.
    fn log_refusals(&mut self, index: usize, refused: Option<&ProposeError>) {
        let now = self.now;
        let host = &mut self.partitions[index];
        let (number, transferring) = (host.partition, host.replica.is_transferring_leadership());
        let Application::Batch(partition) = &mut host.application else { return };
        match refused {
            Some(error) if partition.refusals.refused(now) => {
                info!(partition = number, %error, transferring, "results not proposed");
            }
            Some(_) => {}
            None => {
                if let Some(duration) = partition.refusals.taken(now) {
                    info!(partition = number, seconds = duration.seconds(), "results proposed again");
                }
            }
        }
    }

    /// Forgets jobs that nobody may ask for any longer.
    pub(crate) fn forget_old_jobs(&mut self, index: usize) {
        let now = self.now;
        // Readers come for a while longer than the bound, and a client's first send was before the job was taken.
        let status = Duration::from_seconds(self.settings.bounds.status_s + 10.0);
        let Some(partition) = self.batch_mut(index) else { return };
        let jobs = partition.runner().expired_jobs(partition.jobs(), now, status);
        if !jobs.is_empty() {
            // Refused, it is proposed again when the groups are next maintained.
            let _ = self.partitions[index].propose(now, jobs_entry(&Entry::Remove { jobs }), None);
        }
    }

    pub(crate) fn submit_at_leader(&mut self, waiter: Waiter, call: SubmitJob) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(index) = self.led_index(call.partition, waiter) else { return };
        let Ok(mut submission) = <Submission as DeBin>::deserialize_bin(&call.submission) else {
            return self.reply(waiter.peer, waiter.number, answer(400));
        };
        if let Some(active) = self.configuration.active() {
            // The node that took the job may serve by an older configuration.
            let JobOrigin { host, path, .. } = JobOrigin::of(&submission);
            let current = active.routes.bulk(host, path).map(|route| route.name.as_str().to_owned());
            submission.route = current.unwrap_or(submission.route);
        }
        let job = submission.job.clone();
        let Some(partition) = self.batch_mut(index) else { return };
        match partition.admit(&submission, call.queue_token_limit) {
            Admission::AlreadyAccepted => self.reply(waiter.peer, waiter.number, answer(202)),
            Admission::Pending => partition.wait_for_submission(job, waiter),
            Admission::QueueFull { .. } => self.reply(waiter.peer, waiter.number, answer(429)),
            Admission::OutOfMemory => self.reply(waiter.peer, waiter.number, answer(503)),
            Admission::Propose => {
                let settings = JobSettings {
                    accepted_at_wall_ms: wall_ms,
                    completion_target_ms: call.completion_target_ms,
                    retention_ms: call.retention_ms,
                    max_attempts: call.max_attempts,
                    queue_token_limit: call.queue_token_limit,
                    ..JobSettings::default()
                };
                let entry = jobs_entry(&Entry::Submit { submission, settings });
                if self.partitions[index].propose(now, entry, Some(waiter)).is_err() {
                    if let Some(partition) = self.batch_mut(index) {
                        partition.not_proposed(&job);
                    }
                    self.reply(waiter.peer, waiter.number, Reply::Unavailable);
                }
            }
        }
    }

    /// A node has a job for this partition. What would be refused is refused without its bodies, and what is known is not wanted
    /// again.
    pub(crate) fn offered_to_leader(&mut self, waiter: Waiter, offer: &OfferJob) {
        let Some(index) = self.led_index(offer.partition, waiter) else { return };
        let routes = self.offered_routes(&offer.route);
        let Some(partition) = self.batch_mut(index) else { return };
        let Some(job) = JobId::new(&offer.job) else {
            return self.reply(waiter.peer, waiter.number, answer(400));
        };
        let reply = match partition.check_offer(&job, offer, &routes) {
            Admission::AlreadyAccepted => answer(202),
            Admission::Pending => return partition.wait_for_submission(job, waiter),
            Admission::QueueFull { .. } => answer(429),
            Admission::OutOfMemory => answer(503),
            Admission::Propose => Reply::Wanted,
        };
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// The routes that a job may count on which is offered with the name of its route alone.
    fn offered_routes<'a>(&self, name: &'a str) -> Vec<JobRoute<'a>> {
        let active = self.configuration.active();
        let named = active.into_iter().flat_map(|active| active.routes.bulk_named(name));
        let mut routes: Vec<JobRoute<'a>> =
            named.map(|index| JobRoute { index: Some(index), name }).collect();
        if routes.is_empty() {
            routes.push(JobRoute { index: None, name });
        }
        routes
    }

    pub(crate) fn read_at_leader(
        &mut self,
        waiter: Waiter,
        number: u8,
        job: &str,
        resume_after: u64,
        hold_ms: u32,
    ) {
        let Some(index) = self.led_index(number, waiter) else { return };
        let read = self.next_serial();
        let now = self.now;
        let Some(partition) = self.batch_mut(index) else { return };
        let Some(job) = JobId::new(job).filter(|job| partition.jobs().contains(job)) else {
            return self.reply(waiter.peer, waiter.number, not_found());
        };
        let resume_after = usize::try_from(resume_after).unwrap_or(usize::MAX);
        if hold_ms > 0 && !partition.has_result_after(&job, resume_after) {
            partition.wait_for_result(PendingRead { read, waiter, job, resume_after });
            let until = now + Duration::from_millis(u64::from(hold_ms));
            self.alarms.set(until, Timer::PendingReadExpires { read });
            return;
        }
        self.answer_read(index, waiter, &job, resume_after);
    }

    fn answer_read(&mut self, index: usize, waiter: Waiter, job: &JobId, resume_after: usize) {
        // The lease may have ended while the read was pending.
        if !self.partitions[index].replica.lease_holds(self.clock()) {
            return self.reply(waiter.peer, waiter.number, Reply::Unavailable);
        }
        let max_bytes = max_page_bytes(self.settings.limits.link_mbps);
        let Some(partition) = self.batch_mut(index) else { return };
        let reply = partition.page(job, resume_after, max_bytes);
        self.reply(waiter.peer, waiter.number, reply);
    }

    fn answer_pending_reads(&mut self, index: usize, concerned: impl Fn(&JobId) -> bool) {
        let Some(partition) = self.batch_mut(index) else { return };
        for read in partition.take_pending_reads(concerned) {
            self.answer_read(index, read.waiter, &read.job, read.resume_after);
        }
    }

    /// A read was pending for as long as it asked.
    pub fn pending_read_expired(&mut self, number: u64) {
        for index in 0..self.partitions.len() {
            let Some(read) = self.batch_mut(index).and_then(|partition| partition.take_pending_read(number))
            else {
                continue;
            };
            return self.answer_read(index, read.waiter, &read.job, read.resume_after);
        }
    }

    pub(crate) fn read_item_at_leader(&mut self, waiter: Waiter, number: u8, job: &str, item: &str) {
        let Some(index) = self.led_index(number, waiter) else { return };
        let Some(partition) = self.batch_mut(index) else { return };
        let reply = partition.item_body(job, item);
        self.reply(waiter.peer, waiter.number, reply);
    }

    pub(crate) fn end_at_leader(&mut self, waiter: Waiter, number: u8, job: &str) {
        let now = self.now;
        let Some(index) = self.led_index(number, waiter) else { return };
        let Some(partition) = self.batch_mut(index) else { return };
        let Some(job) = JobId::new(job).filter(|job| partition.knows(job)) else {
            return self.reply(waiter.peer, waiter.number, not_found());
        };
        if self.partitions[index].propose(now, jobs_entry(&Entry::Ended { job }), Some(waiter)).is_err() {
            self.reply(waiter.peer, waiter.number, Reply::Unavailable);
        }
    }

    /// Whether the runner of a led partition has something to do later by itself: a backoff ends, a job is given up, or the
    /// log has refused what it proposed.
    pub(crate) fn runner_waits(&self, index: usize) -> bool {
        let host = &self.partitions[index];
        let Application::Batch(partition) = &host.application else { return false };
        let runner = partition.runner();
        host.leads() && (runner.next_wake().is_some() || runner.has_proposals())
    }
}
