//! The decisions of a node: which executor gets a request, and what becomes of it.
//!
//! A [`Dispatcher`] (constructed in `builder`) acts through its [`Host`], one method for each event, with its time.
//! Nothing else drives it. The design is SITA-E (`docs/design.md`): the size of a request picks a lane by cut-offs
//! (`lanes`), and in it a random pick is weighted by one minus the utilisation (`selection`). Beside it stand the
//! executor list, outlier ejection (`health`), slow start (`executor`), retries and hedges (`retry`), rejection with
//! fair shares (`selection`, `pending`), and load sharing. `placement` follows a request to its final answer.

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

use crate::learned::Knowledge;
use crate::time::DurationExt;
use crate::{AttemptPolicy, Duration, ExecutorSignals, Host, Instant, RequestClass, RequestId, SlowStart};
use executor::Executor;
use grebeusher_sizing::CutOffs;
use load_sharing::LoadSharing;
use pending::{Pending, QuotaShare};
use rand::Rng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

const HEARTBEAT_TIMER: u64 = 0;
const WATCH_TIMER: u64 = 1;
const REQUEST_TIMERS: u64 = 2;
/// Housekeeping runs this often: well under the seconds after which reports and lists change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The final answer is due this long before the deadline ends: a few batches of any caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Progress is reported at a steady interval: so many without a report are no chance.
const MAX_SILENCE: f64 = 2.5;
/// Below this many sizes one lane holds every worker (design page).
const MIN_SAMPLES: usize = 50;
/// By how much others may count later what this node sends: two that are a window apart here may be closer there.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(50);

/// The decisions of one node, with all that it knows.
pub struct Dispatcher<H: Host> {
    host: H,
    rng: Pcg32,
    node: u64,
    nodes: u64,
    zone: usize,
    classes: Vec<RequestClass>,
    policy: AttemptPolicy,
    slow_start: SlowStart,
    signals: ExecutorSignals,
    sharing: LoadSharing,
    quota_shares: Vec<QuotaShare>,
    executors: Vec<Executor>,
    /// The ready executors in the order in which this node uses them.
    ready_order: Vec<usize>,
    out: usize,
    requests: BTreeMap<RequestId, Pending>,
    /// When requests came and retries were sent, as far as their budget looks back.
    arrival_times: VecDeque<Instant>,
    retry_times: VecDeque<Instant>,
    watch_attempts: u32,
    list_until: Option<Instant>,
    known: Knowledge,
    cut_offs: CutOffs,
    recut: Instant,
}

impl<H: Host> Dispatcher<H> {
    /// Begins; no other event may come before.
    pub fn start(&mut self, now: Instant) {
        (self.recut, self.sharing.last_received, self.slow_start.from) =
            (now, now, now + self.slow_start.fall_window);
        // Nodes that start together must not do their housekeeping together.
        let first = Duration::from_seconds(HEARTBEAT_INTERVAL.seconds() * self.rng.random::<f64>());
        self.host.set_timer(first, HEARTBEAT_TIMER);
        if self.signals.must_watch_executors {
            self.host.watch_executors();
        }
    }

    /// A timer set through the host fired.
    pub fn timer_fired(&mut self, now: Instant, timer: u64) {
        match timer {
            HEARTBEAT_TIMER => self.housekeep(now),
            WATCH_TIMER => self.host.watch_executors(),
            _ => self.review(now, RequestId(timer - REQUEST_TIMERS)),
        }
    }

    /// Whether another process of this node has the cold executors: both together have one budget.
    pub fn set_slow_start_elsewhere(&mut self, now: Instant, elsewhere: bool) {
        self.slow_start.from = if elsewhere { Instant(u64::MAX) } else { now + self.slow_start.fall_window };
    }

    /// Housekeeping: cut-offs, queued requests.
    fn housekeep(&mut self, now: Instant) {
        const CUT_OFF_INTERVAL: Duration = Duration::from_millis(5000); // design page
        self.host.set_timer(HEARTBEAT_INTERVAL, HEARTBEAT_TIMER);
        // While one is cold a node that knows few sizes learns paces, slots and the mean at each round of housekeeping. Guards
        // against nodes restarted together that leave cold executors idle, as they take a request for too much.
        let warming = |e: &Executor| e.slow_start_budget(&self.slow_start, now).is_some();
        let learns = self.known.count() < MIN_SAMPLES && self.ready().any(warming);
        if now.since(self.recut) >= CUT_OFF_INTERVAL || learns {
            self.recut = now;
            self.recompute_cut_offs();
            self.form_lanes(now);
        }
        if self.sharing.allowed {
            self.exchange_load(now);
        }
        self.serve_pending(now);
    }
}
