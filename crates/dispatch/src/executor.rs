//! Executors: what the executor list and load reports say of them, and how much one that has just started bears.

use crate::ids::ExecutorId;
use crate::time::{Duration, DurationExt, Instant};

/// The status of an executor by the executor list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExecutorStatus {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is not listed.
    #[default]
    Gone,
}

/// One entry of the executor list.
#[derive(Clone, Copy, Debug)]
pub struct ListedExecutor<'a> {
    /// Its index, which is kept over restarts of its process.
    pub executor: ExecutorId,
    /// Its name, from which all nodes derive the same hash.
    pub name: &'a str,
    /// Its status.
    pub status: ExecutorStatus,
    /// When its process started, where that is known.
    pub started: Option<Instant>,
    /// Index of its kind; executors of one kind have the same hardware.
    pub kind: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its cell.
    pub cell: usize,
    /// Its registered size relative to others.
    pub weight: f64,
    /// It reports its status to this node directly: the age of the list does not matter for it.
    pub reports_own_status: bool,
}

/// Whether an update of the executor list replaces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// It holds every executor: absent means gone.
    Complete,
    /// It holds only what changed.
    Changes,
}

impl ListUpdate {
    /// `Complete` if the update is one, else `Changes`.
    pub fn complete_if(complete: bool) -> ListUpdate {
        if complete { ListUpdate::Complete } else { ListUpdate::Changes }
    }
}

/// What a node may ask for on its wire, and what executors report of running attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutorSignals {
    /// The executor list comes only to those who ask for it.
    pub must_watch_executors: bool,
    /// Executors may be probed for load reports.
    pub may_probe: bool,
    /// Executors report when an attempt starts.
    pub reports_starts: bool,
    /// The interval at which executors report the progress of an attempt, if they do.
    pub progress: Option<Duration>,
}

impl ExecutorSignals {
    /// Where starts are not reported: how long after a start the first report of progress proves it.
    pub fn start_lag(&self) -> Option<Duration> {
        self.progress.filter(|_| !self.reports_starts)
    }
}

/// The values of a load report that the decisions use; any may be absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The share of the executor that is in use, from 0 to 1.
    pub utilisation: Option<f64>,
    /// How many slots are free.
    pub free_slots: Option<f64>,
}

/// How much an executor that has just started bears (slow start).
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Its share of a warm executor's work at its start.
    pub share: f64,
    /// The age at which it is warm.
    pub warm_up: Duration,
    /// It fails when more than this multiple of its capacity comes within the window.
    pub fall_factor: f64,
    /// The window over which the work sent to it is summed.
    pub fall_window: Duration,
    /// By how much a listed start may be off, either way.
    pub start_time_error: Duration,
    /// Executors in slow start get nothing before this: a window after the node's own start, as the process before
    /// may just have spent its part of the budget, which nobody tells the new one.
    pub from: Instant,
}

impl SlowStart {
    /// The seconds of a warm one's work that it can do at least within a window at this age: the share grows
    /// evenly at least.
    pub fn least(&self, age: Duration) -> f64 {
        let grown = age.seconds() / self.warm_up.seconds().max(0.001);
        (self.share + (1.0 - self.share) * grown) * self.fall_window.seconds().max(0.001)
    }
}
