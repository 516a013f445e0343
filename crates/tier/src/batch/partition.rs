//! The state of one batch partition at one of its replicas.
//!
//! A [`BatchPartition`] owns the jobs (changed by committed entries only), the admission control and the
//! runner (used by the leader only), and the calls that wait for a result or a commit. It returns its
//! decisions; [`leader`](crate::batch::leader) makes the proposals and sends the replies.

use crate::batch::refusals::RefusalPeriod;
use crate::control::active_configuration::Routes;
use crate::control::partition_host::Waiter;
use crate::links::messages::{OfferJob, Reply};
use grebeusher_batch::{
    Admission, AdmissionControl, AdmissionRequest, Applied, Entry, JobId, JobRoute, Jobs, RoutedJobs, Runner,
    SharedBytes, SnapshotError, Submission,
};
use grebeusher_quorum::Blob;
use grebeusher_time::{Duration, Instant};
use nanoserde::{DeBin, DeBinErr, SerBin};
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// The first byte of a log entry that holds an entry of the jobs' state machine.
pub(crate) const JOBS_ENTRY: u8 = 1;
/// The first byte of a log entry that holds the name of a node whose data is to be moved off it.
pub(crate) const RETIRE_ENTRY: u8 = 2;

/// The minimum time between two log lines on the progress of items.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// A call that reads the results of a job and waits until there is one.
pub(crate) struct PendingRead {
    /// The number of the read, which the timer of its time limit refers to.
    pub number: u64,
    /// The call that the result is sent to.
    pub waiter: Waiter,
    /// The job whose results are read.
    pub job: JobId,
    /// The number of results that the caller already has; the reply lists those after them.
    pub resume_after: usize,
}

/// The calls that were waiting when this replica became the leader or ceased to be.
pub(crate) struct InterruptedCalls {
    /// Reads that waited for a result.
    pub reads: Vec<PendingRead>,
    /// Calls that waited for the commit of a submission, which may still be committed.
    pub submissions: Vec<Waiter>,
}

/// The state of a batch partition at one of its replicas.
pub struct BatchPartition {
    jobs: Jobs,
    /// The names of the nodes whose data is to be moved off them.
    pub(crate) retiring: BTreeSet<String>,
    admission: AdmissionControl,
    /// About how much memory the jobs may take (bytes).
    max_cost: usize,
    runner: Runner,
    pending_reads: Vec<PendingRead>,
    /// The calls that wait for the commit of a job which another call submitted, each with that job.
    pending_submissions: Vec<(JobId, Waiter)>,
    /// The period in which the log has rejected results, if it does now.
    pub(crate) refusals: RefusalPeriod,
    /// When the progress of items was last logged.
    progress_logged_at: Instant,
}

/// The reason why a partition's snapshot can't be restored.
#[derive(Debug, Snafu)]
pub enum RestoreError {
    /// The frame is malformed.
    #[snafu(display("the snapshot's frame is malformed"))]
    Frame {
        /// The error of the decoder.
        source: DeBinErr,
    },
    /// The frame's length field exceeds the number of bytes.
    #[snafu(display("the snapshot is cut off"))]
    Truncated,
    /// The snapshot of the jobs is malformed.
    #[snafu(display("the jobs: {source}"))]
    Jobs {
        /// The error of the jobs' decoder.
        source: SnapshotError,
    },
}

impl BatchPartition {
    /// Creates an empty partition whose jobs may take about `max_cost` bytes of memory. `seed` is the seed of
    /// the runner's random numbers.
    pub fn new(max_cost: usize, seed: u64) -> BatchPartition {
        BatchPartition {
            jobs: Jobs::new(),
            retiring: BTreeSet::new(),
            admission: AdmissionControl::new(max_cost),
            max_cost,
            runner: Runner::new(seed),
            pending_reads: Vec::new(),
            pending_submissions: Vec::new(),
            refusals: RefusalPeriod::default(),
            progress_logged_at: Instant::default(),
        }
    }

    /// Encodes the complete state: the length of the jobs' snapshot, that snapshot, and the names of the
    /// retiring nodes. The jobs are written straight into the result, as a second copy of them would raise
    /// the peak of memory use.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.jobs.memory_bytes());
        0usize.ser_bin(&mut bytes);
        let jobs_start = bytes.len();
        self.jobs.write_snapshot(&mut bytes);
        let length = (bytes.len() - jobs_start).serialize_bin();
        bytes[..jobs_start].copy_from_slice(&length);
        let retiring: Vec<String> = self.retiring.iter().cloned().collect();
        retiring.ser_bin(&mut bytes);
        bytes
    }

    /// Replaces the state by one that [`BatchPartition::snapshot`] encoded. Bodies and texts are not copied:
    /// the jobs refer to `bytes`, and no longer to the bytes of the state before it.
    ///
    /// # Errors
    /// The bytes are not a complete encoded state. The partition is unchanged.
    pub fn restore(&mut self, bytes: &SharedBytes) -> Result<(), RestoreError> {
        let mut offset = 0;
        let length = usize::de_bin(&mut offset, bytes).context(FrameSnafu)?;
        let mut jobs_end = offset.checked_add(length).context(TruncatedSnafu)?;
        let jobs = bytes.slice(offset..jobs_end).context(TruncatedSnafu)?;
        let retiring: Vec<String> = DeBin::de_bin(&mut jobs_end, bytes).context(FrameSnafu)?;
        self.jobs = Jobs::from_shared_snapshot(&jobs).context(JobsSnafu)?;
        self.retiring = retiring.into_iter().collect();
        Ok(())
    }

    /// The jobs of the partition.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// The runner, which decides which items run.
    pub fn runner(&self) -> &Runner {
        &self.runner
    }

    /// The runner, for changes of its state.
    pub fn runner_mut(&mut self) -> &mut Runner {
        &mut self.runner
    }

    /// The jobs and the runner that runs their items.
    pub fn jobs_and_runner(&mut self) -> (&Jobs, &mut Runner) {
        (&self.jobs, &mut self.runner)
    }

    /// Notes the jobs of a snapshot that was restored from the leader or from the disk. Their ages are
    /// counted from now.
    pub(crate) fn track_restored_jobs(&mut self, now: Instant) {
        self.runner.track_jobs(&self.jobs, now);
    }

    /// Applies a committed entry to the jobs, and tells admission control and the runner about it.
    pub(crate) fn apply(&mut self, entry: Entry, now: Instant) -> Applied {
        let applied = self.jobs.apply(entry);
        self.admission.on_applied(&applied);
        self.runner.on_applied(&self.jobs, &applied, now);
        applied
    }

    /// Assigns the jobs to the routes of a new configuration.
    pub(crate) fn set_routes(&mut self, routes: Rc<Routes>) {
        self.runner.set_routes(&self.jobs, routes);
    }

    /// Resets what only a leader keeps, when this replica becomes the partition's leader (`leads`) or ceases
    /// to be. Returns the calls that were waiting; the caller answers them.
    pub(crate) fn leader_changed(&mut self, leads: bool, now: Instant, wall_ms: u64) -> InterruptedCalls {
        self.admission = AdmissionControl::new(self.max_cost);
        self.refusals = RefusalPeriod::default();
        if leads {
            self.runner.start_leading(&self.jobs, now, wall_ms);
        } else {
            self.runner.stop_leading();
        }
        let submissions = std::mem::take(&mut self.pending_submissions);
        InterruptedCalls {
            reads: std::mem::take(&mut self.pending_reads),
            submissions: submissions.into_iter().map(|(_, waiter)| waiter).collect(),
        }
    }

    /// Whether the progress of the items is to be logged now. If it is, notes the time.
    pub(crate) fn take_progress_log_due(&mut self, now: Instant) -> bool {
        let is_due = now >= self.progress_logged_at + LOG_INTERVAL;
        if is_due {
            self.progress_logged_at = now;
        }
        is_due
    }

    /// Checks whether a job that is offered by its name and size would be admitted. Its tokens may count
    /// towards any of `routes`, so it would be admitted if it fits within the limit of one of them.
    pub(crate) fn check_offer(&self, job: &JobId, offer: &OfferJob, routes: &[JobRoute<'_>]) -> Admission {
        let OfferJob { tokens, queue_token_limit, .. } = *offer;
        let committed = RoutedJobs { jobs: &self.jobs, runner: &self.runner };
        let decisions = routes.iter().map(|&route| {
            let request = AdmissionRequest { job, route, tokens, queue_token_limit };
            self.admission.check(&committed, &request)
        });
        let best = decisions.reduce(|best, next| if best == Admission::Propose { best } else { next });
        best.unwrap_or(Admission::Propose)
    }

    /// Decides whether a job is admitted, and if it is to be proposed reserves quota and memory for it.
    pub(crate) fn admit(&mut self, submission: &Submission, queue_token_limit: u64) -> Admission {
        let committed = RoutedJobs { jobs: &self.jobs, runner: &self.runner };
        self.admission.admit(&committed, submission, queue_token_limit)
    }

    /// Releases the quota and memory of an admitted job that could not be proposed.
    pub(crate) fn release_admission(&mut self, job: &JobId) {
        self.admission.release(job);
    }

    /// Makes a call wait for the commit of a job that another call submitted.
    pub(crate) fn wait_for_submission(&mut self, job: JobId, waiter: Waiter) {
        self.pending_submissions.push((job, waiter));
    }

    /// Removes and returns the calls that wait for the commit of a job.
    pub(crate) fn take_pending_submissions(&mut self, job: &JobId) -> Vec<Waiter> {
        let pending = std::mem::take(&mut self.pending_submissions);
        let (matching, others): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(other, _)| other == job);
        self.pending_submissions = others;
        matching.into_iter().map(|(_, waiter)| waiter).collect()
    }

    /// Whether a job is committed or proposed.
    pub(crate) fn is_known(&self, job: &JobId) -> bool {
        self.jobs.contains(job) || self.admission.is_pending(job)
    }

    /// Whether a read needs no waiting: the job has more than `resume_after` results, or no further result
    /// can come.
    pub(crate) fn has_result_after(&self, job: &JobId, resume_after: usize) -> bool {
        let listed = self.jobs.status(job).map_or(0, |status| status.listed);
        listed > resume_after || !self.jobs.is_open(job)
    }

    /// Makes a read wait for a result.
    pub(crate) fn wait_for_result(&mut self, read: PendingRead) {
        self.pending_reads.push(read);
    }

    /// Removes and returns the waiting reads of the jobs that `is_affected` selects.
    pub(crate) fn take_pending_reads(&mut self, is_affected: impl Fn(&JobId) -> bool) -> Vec<PendingRead> {
        let reads = std::mem::take(&mut self.pending_reads);
        let (taken, others) = reads.into_iter().partition(|read| is_affected(&read.job));
        self.pending_reads = others;
        taken
    }

    /// Removes and returns the read with a number, if it still waits.
    pub(crate) fn take_pending_read(&mut self, number: u64) -> Option<PendingRead> {
        let index = self.pending_reads.iter().position(|pending| pending.number == number)?;
        Some(self.pending_reads.swap_remove(index))
    }

    /// The reply to a read: a page of results of at most `max_bytes`.
    pub(crate) fn page_reply(&self, job: &JobId, resume_after: usize, max_bytes: usize) -> Reply {
        match self.jobs.read(job, resume_after, max_bytes) {
            Some(page) => Reply::Answer { status: 200, body: page.to_json().into_bytes() },
            None => not_found(),
        }
    }

    /// The reply to a request for the body of an item.
    pub(crate) fn item_body_reply(&self, job: &str, item: &str) -> Reply {
        let body = JobId::new(job).and_then(|job| self.jobs.item_body(&job, item).map(<[u8]>::to_vec));
        body.map_or_else(not_found, |body| Reply::Answer { status: 200, body })
    }
}

/// The reply to a call about an unknown job or item.
pub(crate) fn not_found() -> Reply {
    Reply::Answer { status: 404, body: Vec::new() }
}

/// Converts the bytes of a log entry or snapshot to the type that jobs refer to without a copy.
pub(crate) fn shared_bytes(blob: Blob) -> SharedBytes {
    SharedBytes::from(Arc::from(blob))
}

/// Encodes an entry of the jobs for the partition's log.
pub(crate) fn encode_jobs_entry(entry: &Entry) -> Vec<u8> {
    let mut bytes = vec![JOBS_ENTRY];
    entry.ser_bin(&mut bytes);
    bytes
}
