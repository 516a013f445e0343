//! The decisions of grebeusher: which executor gets a work unit, and what becomes of it.
//!
//! A caller builds one [`Dispatcher`] a node, hands it a [`Host`] to act through, tells it what is promised
//! (`promised.rs`), calls `start`, and then one method for each thing that happens, with its time. Nothing
//! else drives it: no clock, no I/O. The interface is set down in `host.rs` (what it asks), `tariffs.rs`,
//! `word.rs`, `learnt.rs`, `ids.rs` and `time.rs`.
//!
//! The design (SITA-E, `docs/design.md`): the size of a work unit picks a lane by cut-offs that equalise the
//! summed size per worker; inside the lane a random pick is weighted by one minus the utilisation (`lanes`,
//! `choice`, and with the tier `grebeusher-sizing`). Beside it stand six mechanisms: following the list
//! (`list`), setting aside (`evidence`), cold budgets (`executor`), further allocations (`further`),
//! turn-backs with fairness (`choice`, `work`), and evidence beside reports, own (`executor`, `choice`) and
//! of all nodes (`talk`).

mod choice;
mod evidence;
mod executor;
mod further;
mod lanes;
mod list;
mod placing;
mod promised;
mod talk;
mod work;

use crate::learnt::Known;
use crate::time::DurationExt;
use crate::{Allowance, ColdStart, Duration, Host, Instant, Tariff, UnitId};
use executor::Executor;
use grebeusher_sizing::CutOffs;
use rand::Rng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use talk::Talk;
use work::{Allotment, Work};

const BEAT: u64 = 0;
const FOLLOW: u64 = 1;
const FIRST_UNIT: u64 = 2;
/// Housekeeping runs this often: well under the seconds after which reports and lists change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The final answer is due this long before patience ends: a few batches of any caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Progress is told at a steady pace: so many without a word are no chance.
const SILENT_PACES: f64 = 2.5;
/// Below this many sizes one lane holds every worker (design page).
const FEWEST: usize = 50;
/// What is sent is on its way to whoever counts it for so long at most, or they count it a little later than
/// this node: two that are a window apart here may come closer together there.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(50);

/// The decisions of one node, with all that it knows.
pub struct Dispatcher<H: Host> {
    host: H,
    chance: Pcg32,
    node: u64,
    nodes: u64,
    zone: usize,
    tariffs: Vec<Tariff>,
    allowance: Allowance,
    cold: ColdStart,
    asks_list: bool,
    may_probe: bool,
    tells_start: bool,
    progress: Option<Duration>,
    talk: Talk,
    allotments: Vec<Allotment>,
    executors: Vec<Executor>,
    /// The ready executors in the order in which this node uses them.
    roster: Vec<usize>,
    out: usize,
    work: BTreeMap<UnitId, Work>,
    /// When work units came and further allocations were sent, as far as their budget looks back.
    came: VecDeque<Instant>,
    further: VecDeque<Instant>,
    follow_tries: u32,
    list_until: Option<Instant>,
    known: Known,
    cut_offs: CutOffs,
    recut: Instant,
}

impl<H: Host> Dispatcher<H> {
    /// Begins: nothing may be told before.
    pub fn start(&mut self, now: Instant) {
        (self.recut, self.talk.heard, self.cold.from) = (now, now, now + self.cold.fall_window);
        // Nodes that start together must not beat together.
        self.host
            .wake(Duration::from_seconds(HEARTBEAT_INTERVAL.seconds() * self.chance.random::<f64>()), BEAT);
        if self.asks_list {
            self.host.follow_list();
        }
    }

    /// An alarm set earlier fell due.
    pub fn rang(&mut self, now: Instant, alarm: u64) {
        match alarm {
            BEAT => self.beat(now),
            FOLLOW => self.host.follow_list(),
            _ => self.review(now, UnitId(alarm - FIRST_UNIT)),
        }
    }

    /// Whether another process of this node has the cold executors: both together have one budget.
    pub fn cold_elsewhere(&mut self, now: Instant, elsewhere: bool) {
        self.cold.from = if elsewhere { Instant(u64::MAX) } else { now + self.cold.fall_window };
    }

    /// Housekeeping: cut-offs, held work units.
    fn beat(&mut self, now: Instant) {
        const CUT_OFF_INTERVAL: Duration = Duration::from_millis(5000); // design page
        self.host.wake(HEARTBEAT_INTERVAL, BEAT);
        // While one is cold a node that knows few sizes learns paces, slots and the mean at each beat. Guards
        // against nodes restarted together that leave cold executors idle, as they take a unit for too much.
        let learns = |e: &Executor| self.known.count() < FEWEST && e.cold_budget(&self.cold, now).is_some();
        if now.since(self.recut) >= CUT_OFF_INTERVAL || self.ready().any(learns) {
            self.recut = now;
            self.recompute_cut_offs();
            self.form_lanes(now);
        }
        if self.talk.allowed {
            self.tell(now);
        }
        self.serve_held(now);
    }
}
