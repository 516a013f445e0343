//! Executors: their entries in the executor list, their load reports, and how much load one that has just started can take.

use crate::ids::ExecutorId;
use crate::time::{Duration, DurationExt, Instant};

/// The status of an executor in the executor list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExecutorStatus {
    /// The executor takes requests.
    Ready,
    /// The executor finishes the requests that it has, and takes no new ones.
    Draining,
    /// The executor is not listed.
    #[default]
    Gone,
}

/// One entry of the executor list.
#[derive(Clone, Copy, Debug)]
pub struct ListedExecutor<'a> {
    /// The index of the executor, which stays the same when its process restarts.
    pub executor: ExecutorId,
    /// The name of the executor, from which all nodes derive the same hash.
    pub name: &'a str,
    /// The status of the executor.
    pub status: ExecutorStatus,
    /// When the executor's process started, if that is known.
    pub started: Option<Instant>,
    /// The index of the executor's kind; executors of one kind have the same hardware.
    pub kind: usize,
    /// The index of the executor's zone.
    pub zone: usize,
    /// The index of the executor's cell.
    pub cell: usize,
    /// The registered capacity of the executor relative to others.
    pub weight: f64,
    /// Whether the executor reports its status to this node directly, so that the age of the list does not matter.
    pub reports_own_status: bool,
}

/// Whether an update of the executor list replaces the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The update contains every executor: one that is absent is gone.
    Complete,
    /// The update contains only the executors that changed.
    Changes,
}

impl ListUpdate {
    /// [`ListUpdate::Complete`] if `complete`, else [`ListUpdate::Changes`].
    pub fn complete_if(complete: bool) -> ListUpdate {
        if complete { ListUpdate::Complete } else { ListUpdate::Changes }
    }
}

/// What a node may request from discovery and executors, and what executors report of running attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutorSignals {
    /// Whether the executor list is sent only to nodes that watch it.
    pub must_watch_executors: bool,
    /// Whether executors may be probed for load reports.
    pub may_probe: bool,
    /// Whether executors report the start of an attempt.
    pub reports_starts: bool,
    /// The interval at which executors report the progress of an attempt; `None` if they do not report it.
    pub progress_interval: Option<Duration>,
}

impl ExecutorSignals {
    /// How long after a start the first progress report proves it; `None` where starts themselves are reported.
    pub fn start_lag(&self) -> Option<Duration> {
        self.progress_interval.filter(|_| !self.reports_starts)
    }
}

/// The values of a load report that the decisions use. Each may be absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The share of the executor's capacity that is in use, from 0 to 1.
    pub utilisation: Option<f64>,
    /// The number of free slots.
    pub free_slots: Option<f64>,
}

/// Slow start: how much load an executor that has just started can take.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// The capacity of the executor at its start, as a share of a warm executor's.
    pub initial_share: f64,
    /// The age at which the executor is warm, with its full capacity.
    pub warm_up: Duration,
    /// The executor fails when it is sent more than this multiple of its capacity within the window.
    pub overload_factor: f64,
    /// The length of the window over which the work sent to the executor is summed up.
    pub window: Duration,
    /// How much earlier or later than listed the executor may have started.
    pub start_time_error: Duration,
    /// Executors in slow start are sent nothing before this time, a window after the node's own start: the node's
    /// previous process may just have used its part of the budget, of which the new one knows nothing.
    pub not_before: Instant,
}

impl SlowStart {
    /// How many seconds of a warm executor's work an executor of this age can at least do within a window: its share grows
    /// at least linearly.
    pub fn min_work_s(&self, age: Duration) -> f64 {
        let warmed_up = age.seconds() / self.warm_up.seconds().max(0.001);
        (self.initial_share + (1.0 - self.initial_share) * warmed_up) * self.window.seconds().max(0.001)
    }
}
