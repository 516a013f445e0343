//! The scheduler by which the leader of a partition runs its items. It chooses the item that runs next, processes the
//! events and the outcome of each run, and creates the log entries that the leader proposes. It does no I/O and reads
//! no clock. The choice of the executor is made elsewhere.
//!
//! [`Runner`] owns the state. Each concern extends it in a module of its own: `leadership` starts and ends the terms of
//! a leader, `dispatch` starts items, `run_reports` processes events and outcomes, `abandonment` gives up items,
//! `given_up` records which and why, `proposals` creates log entries, `unproposed_results` holds results until they are
//! proposed, and `routes` determines the routes of jobs and items.
//!
//! A run is one attempt to execute an item. An item is open until its result is committed or its job has ended.

mod abandonment;
mod backoff;
mod dispatch;
mod given_up;
mod item_run;
mod job_run;
mod leadership;
mod priority;
mod proposals;
mod routes;
mod run;
mod run_duration;
mod run_reports;
mod unproposed_results;
mod waiting_items;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

use grebeusher_time::Instant;

use crate::fair_share::PartitionLoad;
use crate::names::{ItemIndex, JobId};
use backoff::BackoffJitter;
use item_run::ItemRun;
use job_run::JobRun;
use routes::NoRoutes;
use run_duration::RunDurationEstimate;
use unproposed_results::UnproposedResults;

pub use given_up::{GiveUpCause, GivenUp};
pub use item_run::MAX_TEXT_BYTES;
pub use routes::{JobOrigin, JobRoute, RouteIndex, RouteLookup, RoutedJobs};
pub use run::{Capacity, EventDisposition, RunId, RunOutcome, RunRequest};

/// The job and the index of an item.
#[derive(Clone, Debug)]
struct ItemKey {
    job: JobId,
    item: ItemIndex,
}

/// The scheduling state of a partition's items. Each replica has one, because each replica tracks the ages of jobs. It
/// runs items only between [`Runner::start_leading`] and [`Runner::stop_leading`].
#[derive(Debug)]
pub struct Runner {
    is_leader: bool,
    /// The time at which this replica first saw each job, on the monotonic clock. It is never before the first
    /// submission of the job.
    first_seen: BTreeMap<JobId, Instant>,
    /// The jobs that have open items. Empty unless this replica is the leader.
    jobs: BTreeMap<JobId, JobRun>,
    /// The routes of the configuration in force.
    routes: Rc<dyn RouteLookup>,
    /// The runs in progress, each with its item in `jobs`.
    runs: HashMap<RunId, ItemKey>,
    /// The number in the id of the latest run.
    last_run_number: u64,
    /// The number of items that were started. Every few turns, [`Turn::Fair`](priority::Turn::Fair) applies.
    turn_count: u64,
    /// Results that are not proposed yet.
    unproposed_results: UnproposedResults,
    /// Items whose count of failed attempts has changed since it was last proposed.
    changed_failure_counts: VecDeque<ItemKey>,
    /// Runs whose connections have to be closed.
    cancelled: Vec<RunId>,
    /// What was given up since the caller last took the list.
    given_up: Vec<GivenUp>,
    jitter: BackoffJitter,
    run_duration: RunDurationEstimate,
}

impl Runner {
    /// Creates a runner that has no routes and is not the leader. `seed` determines the jitter of backoffs.
    pub fn new(seed: u64) -> Runner {
        Runner {
            is_leader: false,
            first_seen: BTreeMap::new(),
            jobs: BTreeMap::new(),
            routes: Rc::new(NoRoutes),
            runs: HashMap::new(),
            last_run_number: 0,
            turn_count: 0,
            unproposed_results: UnproposedResults::default(),
            changed_failure_counts: VecDeque::new(),
            cancelled: Vec::new(),
            given_up: Vec::new(),
            jitter: BackoffJitter::new(seed),
            run_duration: RunDurationEstimate::default(),
        }
    }

    /// Whether this replica is the leader of the partition.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Returns the runs that were cancelled since the last call. Their connections have to be closed at once, and their
    /// outcomes need not be reported.
    pub fn take_cancelled(&mut self) -> Vec<RunId> {
        std::mem::take(&mut self.cancelled)
    }

    /// The time of the next scheduled change: a backoff ends, or a job reaches the end of its retention.
    pub fn next_wake(&self) -> Option<Instant> {
        self.jobs.values().filter_map(JobRun::next_wake).min()
    }

    /// The number of running items.
    pub fn running_count(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are open items. Always false unless this replica is the leader.
    pub fn has_open_items(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// The number of items that have a result which is not committed yet, whether it is proposed or not.
    pub fn finished_count(&self) -> usize {
        self.jobs.values().map(JobRun::finished_count).sum()
    }

    /// The number of items that run, and of those that could run now if there were capacity.
    pub fn load(&self) -> PartitionLoad {
        let saturate = |items: usize| u32::try_from(items).unwrap_or(u32::MAX);
        let waiting = self.jobs.values().map(JobRun::ready_count).sum();
        PartitionLoad { running: saturate(self.runs.len()), waiting: saturate(waiting) }
    }

    /// The sum of the tokens of a route's items that are ready to run or in a backoff.
    pub fn queued_tokens(&self, route: RouteIndex) -> u64 {
        self.jobs.values().fold(0, |sum, job| sum.saturating_add(job.queued_tokens(route)))
    }

    fn running_item_mut(&mut self, run: RunId) -> Option<&mut ItemRun> {
        let key = self.runs.get(&run)?;
        self.jobs.get_mut(&key.job)?.item_mut(key.item)
    }

    fn cancel(&mut self, run: RunId) {
        self.runs.remove(&run);
        self.cancelled.push(run);
    }
}
