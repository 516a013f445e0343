//! The duties of the leader of a batch partition: it admits jobs, answers reads, and proposes the results of
//! items.
//!
//! [`BatchPartition`] holds the state; this module applies committed entries to it, makes proposals, and
//! replies to calls.

use crate::batch::page_size::max_page_bytes;
use crate::batch::partition::{
    BatchPartition, InterruptedCalls, JOBS_ENTRY, PendingRead, RETIRE_ENTRY, encode_jobs_entry, not_found,
    shared_bytes,
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

/// A reply with a status and an empty JSON object.
fn answer(status: u16) -> Reply {
    Reply::Answer { status, body: b"{}".to_vec() }
}

impl Node {
    /// The batch partition at an index of the node's partitions; `None` for the partition of the
    /// configuration.
    pub(crate) fn batch_partition_mut(&mut self, index: usize) -> Option<&mut BatchPartition> {
        match &mut self.partitions.get_mut(index)?.application {
            Application::Batch(partition) => Some(partition),
            Application::Configuration(_) => None,
        }
    }

    /// Restores a batch partition from a snapshot.
    pub(crate) fn restore_batch(&mut self, index: usize, bytes: Blob) -> Result<(), RunError> {
        // Jobs must not count as older than they are, and the process may have been suspended since the turn began.
        let (now, partition_number) = (self.clock(), self.partitions[index].partition);
        let unreadable = |reason: String| RunError::State { partition: partition_number, reason };
        if let Some(partition) = self.batch_partition_mut(index) {
            partition.restore(&shared_bytes(bytes)).map_err(|e| unreadable(e.to_string()))?;
            partition.track_restored_jobs(now);
        }
        Ok(())
    }

    /// Applies a committed entry of a batch partition and replies to the calls that wait for it.
    pub(crate) fn apply_batch(
        &mut self,
        index: usize,
        payload: Blob,
        waiters: Vec<Waiter>,
    ) -> Result<(), RunError> {
        // As for a snapshot, the job of the entry must not count as older than it is.
        let (now, partition_number) = (self.clock(), self.partitions[index].partition);
        let unreadable = |reason: String| RunError::State { partition: partition_number, reason };
        let payload = shared_bytes(payload);
        let status = match payload.split_first() {
            Some((&JOBS_ENTRY, _)) => {
                let entry = Entry::from_shared(&payload.skip(1)).map_err(|e| unreadable(e.to_string()))?;
                let Some(partition) = self.batch_partition_mut(index) else { return Ok(()) };
                let applied = partition.apply(entry, now);
                self.after_applied(index, &applied)
            }
            Some((&RETIRE_ENTRY, name)) => {
                let Some(partition) = self.batch_partition_mut(index) else { return Ok(()) };
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

    /// Replies to the calls that waited for what an applied entry changed. Returns the status for the call
    /// that proposed it.
    fn after_applied(&mut self, index: usize, applied: &Applied) -> u16 {
        match applied {
            Applied::Submitted { job, .. } => {
                let Some(partition) = self.batch_partition_mut(index) else { return 202 };
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
                self.answer_pending_reads(index, |read_job| *read_job == ended);
                self.abort_cancelled_runs(index);
                if *outcome == EndOutcome::UnknownJob { 404 } else { 200 }
            }
            Applied::Progressed(_) | Applied::Removed(_) => 200,
        }
    }

    /// Handles that this replica of a batch partition has become its leader (`leads`) or has ceased to be.
    pub(crate) fn batch_leader_changed(&mut self, index: usize, leads: bool) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(partition) = self.batch_partition_mut(index) else { return };
        let InterruptedCalls { reads, submissions } = partition.leader_changed(leads, now, wall_ms);
        for read in reads {
            self.reply(read.waiter.peer, read.waiter.number, Reply::Unavailable);
        }
        for waiter in submissions {
            self.reply(waiter.peer, waiter.number, Reply::Unclear);
        }
        self.abort_cancelled_runs(index);
        if leads {
            self.set_routes_of_jobs();
            self.wake_items();
        }
    }

    /// Assigns the jobs of all batch partitions to the routes of the active configuration, after a change of
    /// the configuration or of a leader.
    pub(crate) fn set_routes_of_jobs(&mut self) {
        let Some(active) = self.configuration.active().cloned() else { return };
        for index in 0..self.partitions.len() {
            if let Some(partition) = self.batch_partition_mut(index) {
                partition.set_routes(active.routes.clone());
            }
        }
    }

    /// Proposes the incomplete texts of running items, so that the next leader can continue the items from
    /// there.
    pub(crate) fn checkpoint_batch(&mut self, index: usize) {
        while let Some(entry) =
            self.batch_partition_mut(index).and_then(|partition| partition.runner_mut().checkpoint())
        {
            if let Err(error) = self.propose_for_runner(index, entry) {
                info!(partition = self.partitions[index].partition, %error, "unfinished texts not proposed");
                return;
            }
        }
    }

    /// Proposes the results of items and their progress.
    pub(crate) fn propose_results(&mut self, index: usize) {
        while let Some(entry) =
            self.batch_partition_mut(index).and_then(|partition| partition.runner_mut().next_proposal())
        {
            let proposed = self.propose_for_runner(index, entry);
            self.log_refusals(index, proposed.as_ref().err());
            if proposed.is_err() {
                return;
            }
        }
    }

    /// Proposes an entry of the runner. A rejected entry is given back to the runner.
    fn propose_for_runner(&mut self, index: usize, entry: Entry) -> Result<(), ProposeError> {
        let proposed = self.partitions[index].propose(self.now, encode_jobs_entry(&entry), None);
        if proposed.is_err()
            && let Some(partition) = self.batch_partition_mut(index)
        {
            partition.runner_mut().not_proposed(entry);
        }
        proposed
    }

    /// Logs the first refused proposal of results, and the first one that is accepted after it. `refusal`
    /// is the error of the latest proposal, if it was refused.
    fn log_refusals(&mut self, index: usize, refusal: Option<&ProposeError>) {
        let now = self.now;
        let host = &mut self.partitions[index];
        let (partition_number, transferring) = (host.partition, host.replica.is_transferring_leadership());
        let Application::Batch(partition) = &mut host.application else { return };
        match refusal {
            Some(error) if partition.refusals.record_refused(now) => {
                info!(partition = partition_number, %error, transferring, "results not proposed");
            }
            Some(_) => {}
            None => {
                if let Some(duration) = partition.refusals.record_accepted(now) {
                    info!(
                        partition = partition_number,
                        seconds = duration.seconds(),
                        "results proposed again"
                    );
                }
            }
        }
    }

    /// Proposes to delete the jobs whose retention time is over.
    pub(crate) fn forget_old_jobs(&mut self, index: usize) {
        let now = self.now;
        // Readers may come somewhat later than the bound, and a client first sent the job before it was
        // accepted.
        let retention = Duration::from_seconds(self.settings.bounds.status_s + 10.0);
        let Some(partition) = self.batch_partition_mut(index) else { return };
        let jobs = partition.runner().expired_jobs(partition.jobs(), now, retention);
        if !jobs.is_empty() {
            // A rejected entry is proposed again at the next maintenance of the replica groups.
            let _ = self.partitions[index].propose(now, encode_jobs_entry(&Entry::Remove { jobs }), None);
        }
    }

    /// Handles the submission of a job to the partition's leader.
    pub(crate) fn submit_at_leader(&mut self, waiter: Waiter, call: SubmitJob) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(index) = self.led_index(call.partition, waiter) else { return };
        let Ok(mut submission) = <Submission as DeBin>::deserialize_bin(&call.submission) else {
            return self.reply(waiter.peer, waiter.number, answer(400));
        };
        if let Some(active) = self.configuration.active() {
            // The node that received the job may have an older configuration.
            let JobOrigin { host, path, .. } = JobOrigin::of(&submission);
            let current_route = active.routes.bulk(host, path).map(|route| route.name.as_str().to_owned());
            submission.route = current_route.unwrap_or(submission.route);
        }
        let job = submission.job.clone();
        let Some(partition) = self.batch_partition_mut(index) else { return };
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
                let entry = encode_jobs_entry(&Entry::Submit { submission, settings });
                if self.partitions[index].propose(now, entry, Some(waiter)).is_err() {
                    if let Some(partition) = self.batch_partition_mut(index) {
                        partition.release_admission(&job);
                    }
                    self.reply(waiter.peer, waiter.number, Reply::Unavailable);
                }
            }
        }
    }

    /// Handles the offer of a job by its name and size. A job that does not fit is rejected, and a known one
    /// is acknowledged, without its bodies being sent.
    pub(crate) fn offer_at_leader(&mut self, waiter: Waiter, offer: &OfferJob) {
        let Some(index) = self.led_index(offer.partition, waiter) else { return };
        let routes = self.offered_routes(&offer.route);
        let Some(partition) = self.batch_partition_mut(index) else { return };
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

    /// The routes whose limits may apply to a job that is offered with the name of its route alone.
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

    /// Handles a read of a job's results. If there is none yet, the read waits for up to `hold_ms`.
    pub(crate) fn read_at_leader(
        &mut self,
        waiter: Waiter,
        partition_number: u8,
        job: &str,
        resume_after: u64,
        hold_ms: u32,
    ) {
        let Some(index) = self.led_index(partition_number, waiter) else { return };
        let number = self.next_serial();
        let now = self.now;
        let Some(partition) = self.batch_partition_mut(index) else { return };
        let Some(job) = JobId::new(job).filter(|job| partition.jobs().contains(job)) else {
            return self.reply(waiter.peer, waiter.number, not_found());
        };
        let resume_after = usize::try_from(resume_after).unwrap_or(usize::MAX);
        if hold_ms > 0 && !partition.has_result_after(&job, resume_after) {
            partition.wait_for_result(PendingRead { number, waiter, job, resume_after });
            let until = now + Duration::from_millis(u64::from(hold_ms));
            self.alarms.set(until, Timer::PendingReadExpires { read: number });
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
        let Some(partition) = self.batch_partition_mut(index) else { return };
        let reply = partition.page_reply(job, resume_after, max_bytes);
        self.reply(waiter.peer, waiter.number, reply);
    }

    fn answer_pending_reads(&mut self, index: usize, is_affected: impl Fn(&JobId) -> bool) {
        let Some(partition) = self.batch_partition_mut(index) else { return };
        for read in partition.take_pending_reads(is_affected) {
            self.answer_read(index, read.waiter, &read.job, read.resume_after);
        }
    }

    /// Answers a read whose waiting time is over.
    pub fn pending_read_expired(&mut self, number: u64) {
        for index in 0..self.partitions.len() {
            let Some(read) =
                self.batch_partition_mut(index).and_then(|partition| partition.take_pending_read(number))
            else {
                continue;
            };
            return self.answer_read(index, read.waiter, &read.job, read.resume_after);
        }
    }

    /// Handles a read of the body of an item.
    pub(crate) fn read_item_at_leader(
        &mut self,
        waiter: Waiter,
        partition_number: u8,
        job: &str,
        item: &str,
    ) {
        let Some(index) = self.led_index(partition_number, waiter) else { return };
        let Some(partition) = self.batch_partition_mut(index) else { return };
        let reply = partition.item_body_reply(job, item);
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// Handles a client's request to end a job.
    pub(crate) fn end_at_leader(&mut self, waiter: Waiter, partition_number: u8, job: &str) {
        let now = self.now;
        let Some(index) = self.led_index(partition_number, waiter) else { return };
        let Some(partition) = self.batch_partition_mut(index) else { return };
        let Some(job) = JobId::new(job).filter(|job| partition.is_known(job)) else {
            return self.reply(waiter.peer, waiter.number, not_found());
        };
        if self.partitions[index]
            .propose(now, encode_jobs_entry(&Entry::Ended { job }), Some(waiter))
            .is_err()
        {
            self.reply(waiter.peer, waiter.number, Reply::Unavailable);
        }
    }

    /// Whether the runner of a led partition has to be called again without any event: because a backoff or
    /// the time of a job ends, or because the log has rejected its proposals.
    pub(crate) fn runner_needs_wake(&self, index: usize) -> bool {
        let host = &self.partitions[index];
        let Application::Batch(partition) = &host.application else { return false };
        let runner = partition.runner();
        host.leads() && (runner.next_wake().is_some() || runner.has_proposals())
    }
}
