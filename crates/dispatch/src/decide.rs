//! The decisions of a node: which executor gets a request, and how the request is answered.
//!
//! A [`Dispatcher`] (constructed in `builder`) has a method for each kind of event, which takes its time, and acts through
//! its [`Host`]; nothing else changes its state. The design is SITA-E (`docs/design.md`): cut-offs assign a request to a lane
//! of executors by its size (`lanes`), in which a random pick is weighted by one minus the utilisation (`selection`). Other
//! modules are the executor list, outlier ejection (`health`), slow start (`executor`), retries and hedges (`retry`),
//! rejection and customers' shares (`selection`, `pending`), and load sharing. `placement` follows a request to its answer.

mod builder;
mod executor;
mod executor_list;
mod health;
mod lanes;
mod load_sharing;
mod pending;
mod placement;
mod retry;
mod selection;

use crate::learned::WorkloadStats;
use crate::time::DurationExt;
use crate::{AttemptPolicy, Duration, ExecutorSignals, Host, Instant, RequestClass, RequestId, SlowStart};
use executor::Executor;
use grebeusher_sizing::CutOffs;
use load_sharing::LoadSharing;
use pending::{Pending, QuotaShare};
use rand::Rng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

const HOUSEKEEPING_TIMER: u64 = 0;
const WATCH_TIMER: u64 = 1;
const FIRST_REQUEST_TIMER: u64 = 2; // the timer of a request is this plus its index
/// Well under the seconds in which load reports and the executor list change.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// How long before the deadline the final answer is due: long enough for a few batches of events of any caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Executors report progress at a fixed interval; this many intervals without a report are no coincidence.
const SILENT_INTERVALS: f64 = 2.5;
/// With fewer known sizes than this, one lane holds all executors (see docs/design.md).
const MIN_SAMPLES: usize = 50;
/// How much later than this node others may count what it sends: two attempts sent a window apart may arrive closer together.
const RECEIPT_DELAY: Duration = Duration::from_millis(50);

/// The decisions of one node, and the state on which they depend.
pub struct Dispatcher<H: Host> {
    host: H,
    rng: Pcg32,
    node: u64, // the number of this node
    node_count: u64,
    zone: usize, // the zone of this node
    classes: Vec<RequestClass>,
    policy: AttemptPolicy,
    slow_start: SlowStart,
    signals: ExecutorSignals,
    sharing: LoadSharing,
    quota_shares: Vec<QuotaShare>,
    executors: Vec<Executor>,
    /// Indices of the ready executors, in the order in which this node prefers them.
    ready_order: Vec<usize>,
    attempts_in_flight: usize,
    requests: BTreeMap<RequestId, Pending>,
    /// When requests arrived and retries were sent, as far back as the window of the retry budget.
    arrival_times: VecDeque<Instant>,
    retry_times: VecDeque<Instant>,
    watch_failures: u32, // in a row
    list_valid_until: Option<Instant>,
    stats: WorkloadStats,
    cut_offs: CutOffs,
    cut_offs_computed: Instant, // the time of the last computation
}

impl<H: Host> Dispatcher<H> {
    /// Starts the node; this has to be the first event.
    pub fn start(&mut self, now: Instant) {
        (self.cut_offs_computed, self.sharing.last_received, self.slow_start.not_before) =
            (now, now, now + self.slow_start.window);
        // The random first delay keeps nodes that start together from doing their housekeeping at the same time.
        let first = Duration::from_seconds(HOUSEKEEPING_INTERVAL.seconds() * self.rng.random::<f64>());
        self.host.set_timer(first, HOUSEKEEPING_TIMER);
        if self.signals.must_watch_executors {
            self.host.watch_executors();
        }
    }

    /// A timer set through the host fired.
    pub fn timer_fired(&mut self, now: Instant, timer: u64) {
        match timer {
            HOUSEKEEPING_TIMER => self.housekeep(now),
            WATCH_TIMER => self.host.watch_executors(),
            _ => self.review(now, RequestId(timer - FIRST_REQUEST_TIMER)),
        }
    }

    /// Sets whether another process of this node sends to cold executors: the two processes share one budget.
    pub fn set_slow_start_elsewhere(&mut self, now: Instant, elsewhere: bool) {
        self.slow_start.not_before = if elsewhere { Instant(u64::MAX) } else { now + self.slow_start.window };
    }

    /// Recomputes cut-offs and lanes, exchanges load messages, and retries queued requests.
    fn housekeep(&mut self, now: Instant) {
        const CUT_OFF_INTERVAL: Duration = Duration::from_millis(5000); // see docs/design.md
        self.host.set_timer(HOUSEKEEPING_INTERVAL, HOUSEKEEPING_TIMER);
        // While an executor is cold, a node that knows few sizes recomputes speeds, slots and the mean size every time. Guards
        // against nodes restarted together that leave cold executors idle, as they overestimate the size of a request.
        let is_cold = |e: &Executor| e.slow_start_budget(&self.slow_start, now).is_some();
        let learns = self.stats.count() < MIN_SAMPLES && self.ready().any(is_cold);
        if now.since(self.cut_offs_computed) >= CUT_OFF_INTERVAL || learns {
            self.cut_offs_computed = now;
            self.recompute_cut_offs();
            self.form_lanes(now);
        }
        if self.sharing.allowed {
            self.exchange_load(now);
        }
        self.serve_queued(now);
    }
}
