//! Running the items of a partition, which its leader does: which item runs next, what became of each run, what is to
//! be proposed to the log. No I/O and no clock. Which executor an item goes to is decided elsewhere.
//!
//! [`Runner`] owns the state. Each concern extends it in a module of its own: `leadership` begins and ends the runs of
//! a term, `dispatch` starts items, `run_reports` takes events and outcomes, `abandonment` gives items up, `proposals`
//! makes log entries, `unproposed_results` keeps the results until they are in one, `routes` tells which route a job
//! and an item belong to.

mod abandonment;
mod backoff;
mod dispatch;
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

pub use item_run::MAX_TEXT_BYTES;
pub use routes::{JobOrigin, JobRoute, RouteIndex, RouteLookup, RoutedJobs};
pub use run::{Capacity, EventDisposition, RunId, RunOrder, RunOutcome};

/// The item that a run belongs to.
#[derive(Clone, Debug)]
struct ItemKey {
    job: JobId,
    item: ItemIndex,
}

/// What the leader of a partition knows of its items. It exists on each replica, as each tracks the ages of jobs; it
/// runs items only between [`Runner::start_leading`] and [`Runner::stop_leading`].
#[derive(Debug)]
pub struct Runner {
    is_leader: bool,
    /// When each job was first seen here, on the monotonic clock: no earlier than its first send.
    first_seen: BTreeMap<JobId, Instant>,
    /// The jobs with items that are not listed; empty unless leading.
    jobs: BTreeMap<JobId, JobRun>,
    /// The routes of the configuration in force.
    routes: Rc<dyn RouteLookup>,
    /// The runs in progress. Each is of an item in `jobs` that is running.
    runs: HashMap<RunId, ItemKey>,
    last_run: u64,
    /// Counts the items started, for the fair turns.
    turns: u64,
    /// Results to be proposed.
    results: UnproposedResults,
    /// Items with a new count of failures to be proposed.
    failures: VecDeque<ItemKey>,
    /// Runs whose connections are to be closed.
    cancelled: Vec<RunId>,
    jitter: BackoffJitter,
    run_duration: RunDurationEstimate,
}

impl Runner {
    /// A runner that runs nothing yet and knows no routes. `seed` determines the jitter of backoffs.
    pub fn new(seed: u64) -> Runner {
        Runner {
            is_leader: false,
            first_seen: BTreeMap::new(),
            jobs: BTreeMap::new(),
            routes: Rc::new(NoRoutes),
            runs: HashMap::new(),
            last_run: 0,
            turns: 0,
            results: UnproposedResults::default(),
            failures: VecDeque::new(),
            cancelled: Vec::new(),
            jitter: BackoffJitter::new(seed),
            run_duration: RunDurationEstimate::default(),
        }
    }

    /// Whether this replica leads the partition.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// The runs whose connections are to be closed at once. No outcome of them need be reported.
    pub fn take_cancelled(&mut self) -> Vec<RunId> {
        std::mem::take(&mut self.cancelled)
    }

    /// When something changes by itself: a backoff ends or a job is given up.
    pub fn next_wake(&self) -> Option<Instant> {
        self.jobs.values().filter_map(JobRun::next_wake).min()
    }

    /// How many items run.
    pub fn running_count(&self) -> usize {
        self.runs.len()
    }

    /// Whether items are not listed; none unless leading.
    pub fn has_unlisted_items(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// How many items have a result that is not listed, proposed or not.
    pub fn finished_count(&self) -> usize {
        self.jobs.values().map(JobRun::finished_count).sum()
    }

    /// How many items run, and how many could if there were capacity.
    pub fn load(&self) -> PartitionLoad {
        let count = |items: usize| u32::try_from(items).unwrap_or(u32::MAX);
        let waiting = self.jobs.values().map(JobRun::ready_count).sum();
        PartitionLoad { running: count(self.runs.len()), waiting: count(waiting) }
    }

    /// The tokens of a route's items that are neither running nor finished.
    pub fn idle_tokens(&self, route: RouteIndex) -> u64 {
        self.jobs.values().fold(0, |sum, job| sum.saturating_add(job.idle_tokens(route)))
    }

    fn running(&mut self, run: RunId) -> Option<&mut ItemRun> {
        let key = self.runs.get(&run)?;
        self.jobs.get_mut(&key.job)?.item_mut(key.item)
    }

    fn cancel(&mut self, run: RunId) {
        self.runs.remove(&run);
        self.cancelled.push(run);
    }
}
