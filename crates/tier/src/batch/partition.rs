//! The state of one batch partition, on each of its replicas.
//!
//! A [`BatchPartition`] owns the jobs (changed by committed entries only), admission and runner (used by the leader only), and the
//! calls that wait for a result or a commit. What it decides it returns; [`leader`](crate::batch::leader) proposes and replies.

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

/// The tag of an entry of the jobs' state machine.
pub(crate) const JOBS_ENTRY: u8 = 1;
/// The tag of an entry that says that a node is to be emptied.
pub(crate) const RETIRE_ENTRY: u8 = 2;

/// How often the progress of items is logged.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// A read that waits for a result.
pub(crate) struct PendingRead {
    /// Its number.
    pub read: u64,
    /// Who reads.
    pub waiter: Waiter,
    /// The job.
    pub job: JobId,
    /// From which position on.
    pub resume_after: usize,
}

/// Calls that waited for a leadership which has ended or is new.
pub(crate) struct LeftBehind {
    /// Reads that wait for a result.
    pub reads: Vec<PendingRead>,
    /// Submissions whose proposals may still be committed.
    pub submissions: Vec<Waiter>,
}

/// What a replica of a batch partition keeps.
pub struct BatchPartition {
    jobs: Jobs,
    /// Nodes that are to be emptied, by name.
    pub(crate) retiring: BTreeSet<String>,
    admission: AdmissionControl,
    max_cost: usize,
    runner: Runner,
    pending_reads: Vec<PendingRead>,
    /// Submissions by the jobs whose proposals settle them.
    pending_submissions: Vec<(JobId, Waiter)>,
    /// Since when the log takes no results.
    pub(crate) refusals: RefusalPeriod,
    logged_at: Instant,
}

/// Why a partition's snapshot can't be taken over.
#[derive(Debug, Snafu)]
pub enum RestoreError {
    /// The frame is malformed.
    #[snafu(display("the snapshot's frame is malformed"))]
    Frame {
        /// Where.
        source: DeBinErr,
    },
    /// The frame says that there are more bytes than there are.
    #[snafu(display("the snapshot is cut off"))]
    CutOff,
    /// The jobs can't be read.
    #[snafu(display("the jobs: {source}"))]
    Jobs {
        /// Why.
        source: SnapshotError,
    },
}

impl BatchPartition {
    /// An empty partition whose jobs may take about `max_cost` bytes of memory.
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
            logged_at: Instant::default(),
        }
    }

    /// The complete state: the length of the jobs' snapshot, that snapshot, the names of nodes that are to be emptied. It is
    /// written in one piece, as a second copy of all jobs would count at the peak of memory.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.jobs.memory_bytes());
        0usize.ser_bin(&mut bytes);
        let start = bytes.len();
        self.jobs.write_snapshot(&mut bytes);
        let length = (bytes.len() - start).serialize_bin();
        bytes[..start].copy_from_slice(&length);
        let retiring: Vec<String> = self.retiring.iter().cloned().collect();
        retiring.ser_bin(&mut bytes);
        bytes
    }

    /// Takes over a state that [`BatchPartition::snapshot`] wrote. Bodies and texts are not copied: the jobs go on referring
    /// to the bytes, and to nothing that they referred to before.
    ///
    /// # Errors
    /// The bytes are no complete state; the partition is as it was.
    pub fn restore(&mut self, bytes: &SharedBytes) -> Result<(), RestoreError> {
        let mut offset = 0;
        let length = usize::de_bin(&mut offset, bytes).context(FrameSnafu)?;
        let mut end = offset.checked_add(length).context(CutOffSnafu)?;
        let jobs = bytes.slice(offset..end).context(CutOffSnafu)?;
        let retiring: Vec<String> = DeBin::de_bin(&mut end, bytes).context(FrameSnafu)?;
        self.jobs = Jobs::from_shared_snapshot(&jobs).context(JobsSnafu)?;
        self.retiring = retiring.into_iter().collect();
        Ok(())
    }

    /// The jobs.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// What runs the items.
    pub fn runner(&self) -> &Runner {
        &self.runner
    }

    /// The same, to be notified of runs.
    pub fn runner_mut(&mut self) -> &mut Runner {
        &mut self.runner
    }

    /// The jobs and what runs them.
    pub fn jobs_and_runner(&mut self) -> (&Jobs, &mut Runner) {
        (&self.jobs, &mut self.runner)
    }

    /// A snapshot was taken over from the leader or from the disk: the ages of its jobs begin now.
    pub(crate) fn track_restored_jobs(&mut self, now: Instant) {
        self.runner.track_jobs(&self.jobs, now);
    }

    /// Applies a committed entry of the jobs.
    pub(crate) fn apply(&mut self, entry: Entry, now: Instant) -> Applied {
        let applied = self.jobs.apply(entry);
        self.admission.on_applied(&applied);
        self.runner.on_applied(&self.jobs, &applied, now);
        applied
    }

    /// Another configuration is in force.
    pub(crate) fn set_routes(&mut self, routes: Rc<Routes>) {
        self.runner.set_routes(&self.jobs, routes);
    }

    /// This replica becomes the partition's leader, or is it no longer.
    pub(crate) fn leader_changed(&mut self, leads: bool, now: Instant, wall_ms: u64) -> LeftBehind {
        self.admission = AdmissionControl::new(self.max_cost);
        self.refusals = RefusalPeriod::default();
        if leads {
            self.runner.start_leading(&self.jobs, now, wall_ms);
        } else {
            self.runner.stop_leading();
        }
        let submissions = std::mem::take(&mut self.pending_submissions);
        LeftBehind {
            reads: std::mem::take(&mut self.pending_reads),
            submissions: submissions.into_iter().map(|(_, waiter)| waiter).collect(),
        }
    }

    /// Whether the progress of the items is to be logged. Notes that it is.
    pub(crate) fn take_log_due(&mut self, now: Instant) -> bool {
        let is_due = now >= self.logged_at + LOG_INTERVAL;
        if is_due {
            self.logged_at = now;
        }
        is_due
    }

    /// What would become of a job that is offered by its name and size, if it counts on one of these routes: it is wanted
    /// if it fits any.
    pub(crate) fn check_offer(&self, job: &JobId, offer: &OfferJob, routes: &[JobRoute<'_>]) -> Admission {
        let OfferJob { tokens, queue_token_limit, .. } = *offer;
        let committed = RoutedJobs { jobs: &self.jobs, runner: &self.runner };
        let checked = routes.iter().map(|&route| {
            let request = AdmissionRequest { job, route, tokens, queue_token_limit };
            self.admission.check(&committed, &request)
        });
        let best = checked.reduce(|one, other| if one == Admission::Propose { one } else { other });
        best.unwrap_or(Admission::Propose)
    }

    /// Decides on a job, and reserves quota and memory for one that is to be proposed.
    pub(crate) fn admit(&mut self, submission: &Submission, queue_token_limit: u64) -> Admission {
        let committed = RoutedJobs { jobs: &self.jobs, runner: &self.runner };
        self.admission.admit(&committed, submission, queue_token_limit)
    }

    /// A job that was to be proposed was not.
    pub(crate) fn not_proposed(&mut self, job: &JobId) {
        self.admission.release(job);
    }

    /// A call waits for the commit of a job that another call has brought.
    pub(crate) fn wait_for_submission(&mut self, job: JobId, waiter: Waiter) {
        self.pending_submissions.push((job, waiter));
    }

    /// The calls that wait for the commit of a job.
    pub(crate) fn take_pending_submissions(&mut self, job: &JobId) -> Vec<Waiter> {
        let pending = std::mem::take(&mut self.pending_submissions);
        let (same, others): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(other, _)| other == job);
        self.pending_submissions = others;
        same.into_iter().map(|(_, waiter)| waiter).collect()
    }

    /// Whether a job is committed or proposed.
    pub(crate) fn knows(&self, job: &JobId) -> bool {
        self.jobs.contains(job) || self.admission.is_pending(job)
    }

    /// Whether a read from a position on would show a result, or no further one can come.
    pub(crate) fn has_result_after(&self, job: &JobId, resume_after: usize) -> bool {
        let listed = self.jobs.status(job).map_or(0, |status| status.listed);
        listed > resume_after || !self.jobs.is_open(job)
    }

    /// A read waits for a result.
    pub(crate) fn wait_for_result(&mut self, read: PendingRead) {
        self.pending_reads.push(read);
    }

    /// The reads that wait for a result of the jobs that are concerned.
    pub(crate) fn take_pending_reads(&mut self, concerned: impl Fn(&JobId) -> bool) -> Vec<PendingRead> {
        let reads = std::mem::take(&mut self.pending_reads);
        let (taken, others) = reads.into_iter().partition(|read| concerned(&read.job));
        self.pending_reads = others;
        taken
    }

    /// The read of a number, if it still waits.
    pub(crate) fn take_pending_read(&mut self, number: u64) -> Option<PendingRead> {
        let index = self.pending_reads.iter().position(|pending| pending.read == number)?;
        Some(self.pending_reads.swap_remove(index))
    }

    /// The reply to a read.
    pub(crate) fn page(&self, job: &JobId, resume_after: usize, max_bytes: usize) -> Reply {
        match self.jobs.read(job, resume_after, max_bytes) {
            Some(page) => Reply::Answer { status: 200, body: page.to_json().into_bytes() },
            None => not_found(),
        }
    }

    /// The reply to a question for the body of an item.
    pub(crate) fn item_body(&self, job: &str, item: &str) -> Reply {
        let body = JobId::new(job).and_then(|job| self.jobs.item_body(&job, item).map(<[u8]>::to_vec));
        body.map_or_else(not_found, |body| Reply::Answer { status: 200, body })
    }
}

/// The reply about a job or an item that nobody knows.
pub(crate) fn not_found() -> Reply {
    Reply::Answer { status: 404, body: Vec::new() }
}

/// Bytes of the log, as the jobs may go on referring to them.
pub(crate) fn shared(blob: Blob) -> SharedBytes {
    SharedBytes::from(Arc::from(blob))
}

/// An entry of the jobs as it stands in the partition's log.
pub(crate) fn jobs_entry(entry: &Entry) -> Vec<u8> {
    let mut bytes = vec![JOBS_ENTRY];
    entry.ser_bin(&mut bytes);
    bytes
}
