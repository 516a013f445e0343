//! The durable jobs of this process: the log on disk, and the jobs of an earlier process that may still be running at
//! executors.

use crate::state::clock::Clock;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_job_log::book::{Answer, Due, Job, Record};
use grebeusher_job_log::log::Log;
use grebeusher_node_config::frontends::JobLogSettings;
use grebeusher_transport::alarms::Alarms;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use tracing::{error, info};

/// How often expired answers are removed and the log is compacted.
const COMPACTION_INTERVAL: Duration = Duration::from_millis(10_000);

/// A job of an earlier process that may still be running. Its executor reports the outcome by a callback; if it does
/// not, the job times out.
struct UnresolvedJob {
    job: Job,
    /// The number of the attempt that was open when the earlier process ended.
    attempt: u32,
    deadline: Instant,
}

struct JobLogState {
    log: Log,
    /// The unresolved jobs by their IDs.
    unresolved: HashMap<String, UnresolvedJob>,
    /// The IDs of unresolved jobs, at the times at which they may time out.
    timeouts: Alarms<String>,
    compact_at: Instant,
}

pub struct JobLog {
    clock: Clock,
    answer_ttl_ms: u64,
    max_jobs: usize,
    /// An executor that has not reported progress of an idempotent job for so long is taken to have lost it.
    progress_timeout: Duration,
    state: RefCell<JobLogState>,
}

/// What the log says about the job with some ID.
pub enum JobStatus {
    Unknown,
    /// The job was accepted and has no final answer yet.
    Open,
    /// The job has its final answer: an HTTP status and a result.
    Answered(Answer),
}

/// Converts a time of the node's clock to milliseconds since the Unix epoch.
pub fn unix_ms(at: Instant) -> u64 {
    at.0 / 1_000_000
}

/// Converts milliseconds since the Unix epoch to a time of the node's clock.
pub fn from_unix_ms(ms: u64) -> Instant {
    Instant(0) + Duration::from_millis(ms)
}

impl JobLog {
    /// `progress_interval` is how often executors report the progress of running jobs; `None` if they do not.
    pub fn open(
        settings: &JobLogSettings,
        progress_interval: Option<Duration>,
        clock: Clock,
    ) -> io::Result<JobLog> {
        // The progress timeout in progress intervals, the same as in the dispatcher: that many missing reports are not due to
        // chance.
        const MAX_SILENT_INTERVALS: f64 = 2.5;
        // The progress timeout where executors report no progress.
        const DEFAULT_PROGRESS_TIMEOUT: Duration = Duration::from_millis(2000);
        let log = Log::open(&settings.folder)?;
        if log.torn > 0 {
            info!("truncated the job log by {} bytes of an incomplete record after a crash", log.torn);
        }
        Ok(JobLog {
            clock,
            answer_ttl_ms: settings.answer_ttl().nanos() / 1_000_000,
            max_jobs: settings.max_jobs(),
            progress_timeout: progress_interval
                .map_or(DEFAULT_PROGRESS_TIMEOUT, |interval| interval.scaled(MAX_SILENT_INTERVALS)),
            state: RefCell::new(JobLogState {
                log,
                unresolved: HashMap::new(),
                timeouts: Alarms::default(),
                compact_at: clock.now() + COMPACTION_INTERVAL,
            }),
        })
    }

    /// With `sync` the record is on disk when this returns.
    fn append(&self, record: &Record, sync: bool) -> io::Result<()> {
        let appended = self.state.borrow_mut().log.add(record, sync);
        appended.inspect_err(|e| error!("cannot write to the job log: {e}"))
    }

    /// The number of jobs that have no final answer yet.
    pub fn open_jobs(&self) -> usize {
        self.state.borrow().log.book().open()
    }

    pub fn status(&self, id: &str) -> JobStatus {
        match self.state.borrow().log.book().page(id) {
            None => JobStatus::Unknown,
            Some(page) => page.answer.clone().map_or(JobStatus::Open, JobStatus::Answered),
        }
    }

    /// Records an accepted job; it is on disk when this returns.
    pub fn record_job(&self, job: Job) -> io::Result<()> {
        if self.state.borrow().log.book().len() >= self.max_jobs {
            return Err(io::Error::other("the job log holds its maximum number of jobs"));
        }
        self.append(&Record::taken(job), true)
    }

    /// Records an attempt that is about to be sent. For a non-idempotent job the record is on disk when this returns: if
    /// the process crashes right after sending, the next one must find it.
    pub fn record_attempt(
        &self,
        id: &str,
        attempt: usize,
        executor: &str,
        non_idempotent: bool,
    ) -> io::Result<()> {
        let (id, executor) = (id.to_owned(), executor.to_owned());
        self.append(&Record::Sent { id, number: attempt as u32, executor }, non_idempotent)
    }

    pub fn record_attempt_end(&self, id: &str, attempt: usize, never_ran: bool) {
        // If this is not written, the next process takes the attempt for open and resolves it.
        let _ = self.append(&Record::Ended { id: id.to_owned(), number: attempt as u32, never_ran }, false);
    }

    /// Records the final answer; it is on disk before clients can ask for it.
    pub fn record_answer(&self, id: &str, status: u16, result: &[u8]) {
        let answer = Answer { status, result: result.to_vec(), at_ms: unix_ms(self.clock.now()) };
        // If this is not written, the job is not answered, and the next process resolves it.
        let _ = self.append(&Record::Answered { id: id.to_owned(), answer }, true);
    }

    /// The unanswered jobs of an earlier process and what is to be done with each. Jobs that may still be running are
    /// kept as unresolved instead.
    pub fn recover(&self) -> Vec<(Job, Due)> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let JobLogState { log, unresolved, timeouts, .. } = &mut *state;
        let mut recovered = Vec::new();
        for (page, action) in log.book().due(unix_ms(now)) {
            let job = page.job.clone();
            if action != Due::Settle {
                recovered.push((job, action));
                continue;
            }
            let attempt = page.sendings.iter().find(|sent| sent.open).map_or(0, |sent| sent.number);
            let deadline = from_unix_ms(job.ends_ms);
            timeouts.set(
                if job.binding { deadline } else { deadline.min(now + self.progress_timeout) },
                job.id.clone(),
            );
            unresolved.insert(job.id.clone(), UnresolvedJob { job, attempt, deadline });
        }
        info!(
            "jobs of an earlier process: {} dispatched again or answered, {} may still be running",
            recovered.len(),
            unresolved.len()
        );
        recovered
    }

    pub fn is_unresolved(&self, id: &str) -> bool {
        self.state.borrow().unresolved.contains_key(id)
    }

    /// An executor reports that a job of an earlier process is running.
    pub fn progress_reported(&self, id: &str) {
        let mut state = self.state.borrow_mut();
        let JobLogState { unresolved, timeouts, .. } = &mut *state;
        if let Some(unresolved) = unresolved.get(id).filter(|unresolved| !unresolved.job.binding) {
            // The earlier timeout is ignored when it fires, as there is a later one.
            timeouts.set(unresolved.deadline.min(self.clock.now() + self.progress_timeout), id.to_owned());
        }
    }

    /// Ends the attempt of an unresolved job and returns the job; `never_ran` says that its executor returned it without
    /// starting it.
    pub fn resolve(&self, id: &str, never_ran: bool) -> Option<Job> {
        let unresolved = self.state.borrow_mut().unresolved.remove(id)?;
        self.record_attempt_end(id, unresolved.attempt as usize, never_ran);
        Some(unresolved.job)
    }

    pub fn next_timeout(&self) -> Option<Instant> {
        let state = self.state.borrow();
        state.timeouts.next_at().into_iter().chain([state.compact_at]).min()
    }

    /// The next unresolved job that has timed out: its executor has not reported progress for too long, or its deadline
    /// has passed. Also compacts the log when that is due.
    pub fn next_timed_out(&self) -> Option<Job> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.compact_at <= now {
            state.compact_at = now + COMPACTION_INTERVAL;
            if let Err(e) = state.log.tidy(unix_ms(now), self.answer_ttl_ms) {
                error!("cannot compact the job log: {e}");
            }
        }
        while let Some(id) = state.timeouts.due(now) {
            let JobLogState { unresolved, timeouts, .. } = &mut *state;
            // A job whose executor reported progress has several timeouts; only the last one counts.
            let has_later_timeout = timeouts.any(|other| *other == id);
            if let Some(unresolved) = unresolved.get(&id).filter(|_| !has_later_timeout) {
                return Some(unresolved.job.clone());
            }
        }
        None
    }
}
