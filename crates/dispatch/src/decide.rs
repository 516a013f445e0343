//! The decisions of grebeusher: which executor gets a work unit, and what becomes of it.
//!
//! A caller builds one [`Dispatcher`] a node, hands it a [`Host`] to act through, tells it what is promised
//! (`allowing`, `cold_starts`, `noticing`, `customers`, `talking`, `standing_in`), calls `start`, and then
//! one method for each thing that happens, with its time. Nothing else drives it: no clock, no I/O. The
//! interface is set down in `host.rs` (what it asks), `tariffs.rs`, `word.rs`, `learnt.rs`, `ids.rs` and
//! `time.rs`.
//!
//! The design (SITA-E, `docs/design.md`): the size of a work unit picks a lane by cut-offs that equalise the
//! summed size per worker; inside the lane a random pick is weighted by one minus the utilisation.
//! Beside it stand six mechanisms:
//!   1. following the list           `listed`, `list_proved`, `list_broken`, `may_begin`
//!   2. setting aside                `set_aside`
//!   3. cold budgets                 `Executor::cold_admits`
//!   4. further allocations          `review`, `renew`
//!   5. turn-backs with fairness     `hopeless`, `Allotment`
//!   6. evidence beside reports: own (corrected utilisation, room, overflow: `Executor::load`, `has_room`,
//!      `candidates`) and, where nodes may talk, what all have out (`tell`, `told`, `Executor::filled`)

use crate::host::Host;
use crate::ids::{AllocationId, ExecutorId, UnitId, fixed_hash, mixed};
use crate::learnt::{KindLearnt, Known, Learnt};
use crate::tariffs::{Allowance, Arrival, ColdStart, Effect, Ending, Listing, Report, Standing, Tariff};
use crate::time::{Moment, Span};
use crate::word::{MOST, Word, mark};
use grebeusher_sizing::{
    Candidate as Weighed, CutOffs, FLOOR, Remainder, Straddler, lanes_in_order, rendezvous, weights,
};
use rand::{Rng, distr::weighted::WeightedIndex};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

mod promised;

const BEAT: u64 = 0;
const FOLLOW: u64 = 1;
const FIRST_UNIT: u64 = 2;
/// Housekeeping runs this often: well under the seconds after which reports and lists change.
const BEAT_EVERY: Span = Span::millis(250);
/// The final answer is due this long before patience ends: a few batches of any caller.
const ANSWER_MARGIN: Span = Span::millis(20);

/// Progress is told at a steady pace: so many without a word are no chance.
const SILENT_PACES: f64 = 2.5;
/// The parts of the executors that are for short and for long work.
const LANE_SHARES: [f64; 2] = [3.0, 1.0];
/// Below this many sizes one lane holds every worker (design page).
const FEWEST: usize = 50;
/// What is sent is on its way to whoever counts it for so long at most, or they count it a little later than
/// this node: two that are a window apart here may come closer together there.
const HEARD_WITHIN: Span = Span::millis(50);

/// An allocation that is still out, as its executor's record keeps it.
struct Flight {
    id: AllocationId,
    size: f64,
    slots: f64,
    sent: Moment,
    /// By when word of its start should have come.
    word_due: Moment,
    started: Option<Moment>,
    heard: Moment,
}

/// All that is known of one executor.
#[derive(Default)]
struct Executor {
    hash: u64,
    standing: Standing,
    speaks: bool,
    started: Option<Moment>,
    /// The latest that this start can have been, as listed ones may be off: when it was heard of, at most.
    cold_from: Option<Moment>,
    kind: usize,
    zone: usize,
    cell: usize,
    weight: f64,
    lane: usize,
    utilisation: f64,
    reported: Option<Moment>,
    /// Place in the order in which this node uses executors.
    rank: u64,
    /// How many nodes come before this one among those that may warm it.
    distance: u64,
    asked: Moment,
    /// Slots that own work has filled at once, and the most that were reported free: a report is noisy and
    /// of a while ago, so room goes by the first, and what all nodes together may send by both.
    slots: f64,
    most_free: f64,
    flights: Vec<Flight>,
    /// Slots that other nodes fill here, by their word, and when it came; and what this one told them last.
    others: Option<(Moment, f64)>,
    told: u8,
    answers: usize,
    reset: Option<Moment>,
    died: Option<Moment>,
    /// Size of the own work that was answered, and the seconds that it held slots.
    done: f64,
    ran: f64,
    /// Work a second of its kind when warm, on one slot and on all: a standard core until it has been seen.
    pace: f64,
    capacity: f64,
    aside_until: Moment,
    last_wait: f64,
    last_start: Moment,
    /// When something was sent here while it was cold.
    cold_sent: Vec<Moment>,
}

impl Executor {
    /// Slots that all nodes together have filled here or wait for, where they tell each other.
    fn filled(&self, now: Moment) -> Option<f64> {
        const STALE: Span = Span::millis(1500); // a few words may get lost
        // Before any report its width is a guess, by which all would look full.
        let (_, others) = self.others.filter(|(at, _)| self.most_free > 0.0 && now.since(*at) < STALE)?;
        Some(others + self.own_slots())
    }

    fn own_slots(&self) -> f64 {
        self.flights.iter().map(|f| f.slots).sum()
    }

    /// The most slots that it was seen to have.
    fn width(&self) -> f64 {
        self.slots.max(self.most_free)
    }

    /// Utilisation as of now: the report is late, so own allocations sent since it was taken are added.
    /// Guards against piling work on one idle-looking executor. `None` where nothing is known.
    fn load(&self, now: Moment) -> Option<f64> {
        const LAG: Span = Span::millis(1000); // reports are averages over it: the newest sends are missing
        const STALE: Span = Span::millis(6000); // after several usual report spans the figure says nothing
        if let Some(filled) = self.filled(now) {
            return Some(filled / self.width());
        }
        let own = self.flights.len() as f64 / self.slots;
        match self.reported {
            Some(at) if now.since(at) < STALE => {
                let recent = self.flights.iter().filter(|f| f.sent > at - LAG).count();
                Some((self.utilisation + recent as f64 / self.slots).max(own))
            }
            _ if own > 0.0 => Some(own),
            _ => None,
        }
    }

    /// Seconds that own allocations wait here for a slot: the age of the oldest that waits now, or what the
    /// last one to start waited, which counts for less as it ages. `None` where nothing was sent lately.
    fn wait(&self, now: Moment) -> Option<f64> {
        const HALVES_EVERY_S: f64 = 2.0; // about the run of a few work units, after which a queue is another
        const STALE_S: f64 = 6.0; // as a report
        let age = now.since(self.last_start).as_secs();
        let past = (age < STALE_S).then(|| self.last_wait * 0.5_f64.powf(age / HALVES_EVERY_S));
        past.into_iter().chain(self.oldest_wait(now)).reduce(f64::max)
    }

    fn oldest_wait(&self, now: Moment) -> Option<f64> {
        let waiting = self.flights.iter().filter(|f| f.started.is_none() && f.word_due <= now);
        waiting.map(|f| now.since(f.word_due).as_secs()).reduce(f64::max)
    }

    /// Whether own evidence leaves room here for one more. Late reports do not count: they would send all
    /// nodes onto the few that look free.
    fn has_room(&self, now: Moment) -> bool {
        const TOLD_WITHIN: f64 = 0.06; // seconds: a start is told within a round trip and a hand-shake
        (self.flights.len() as f64) < self.slots
            && self.oldest_wait(now).is_none_or(|wait| wait <= TOLD_WITHIN)
    }

    /// The work that all nodes together may send here within a window, while it is cold.
    fn cold_budget(&self, cold: &ColdStart, now: Moment) -> Option<f64> {
        let started = self.cold_from.max(self.died).filter(|&at| now < at + cold.warm_within)?;
        Some(cold.least(now.since(started)) * self.capacity * cold.fall_factor)
    }

    /// Whether a cold executor can take one more work unit, of `mean` size: it falls by their number more
    /// than by their size. Its budget is split among as many nodes as get a unit each of it, one at least:
    /// those nearest after its fixed hash; the others leave it alone until it is warm. Guards against all
    /// nodes together pushing it over, and against one that idles since the few that may use it see little.
    fn cold_admits(&self, cold: &ColdStart, nodes: u64, now: Moment, mean: f64) -> bool {
        const USED: f64 = 0.8; // of the budget: the rest covers one slower than its kind
        const FIRST: usize = 3; // in flight before any answer: a long one must not keep all others out
        let Some(units) = self.cold_budget(cold, now).map(|budget| budget * USED / mean) else { return true };
        let owners = (units as u64).clamp(1, nodes);
        let window = cold.fall_window + HEARD_WITHIN;
        let sent = self.cold_sent.iter().filter(|&&at| now.since(at) <= window).count();
        now >= cold.from
            && self.distance < owners
            && self.flights.len() < FIRST + self.answers
            && (sent + 1) as f64 <= units / owners as f64
    }
}

/// One allocation of a work unit.
struct Allocation {
    executor: ExecutorId,
    sent: Moment,
    open: bool,
    may_have_run: bool,
    recalled: bool,
}

impl Allocation {
    fn is_out(&self) -> bool {
        self.open && !self.recalled
    }
}

/// A work unit that still owes its final answer.
#[derive(Default)]
struct Work {
    tariff: usize,
    asked: Moment,
    quoted: Span,
    patience_ends: Moment,
    size: f64,
    slots: f64,
    allocations: Vec<Allocation>,
    streaming: bool,
    held: bool,
    hold_ends: Moment,
    over_share: bool,
}

/// An executor that could take a work unit.
struct Candidate {
    at: usize,
    in_lane: bool,
    room: bool,
    load: Option<f64>,
    wait: Option<f64>,
    /// Whether that is by what all nodes have out.
    known: bool,
    cold: bool,
}

impl Work {
    /// Seconds left for waiting if the quoted time is to be kept.
    fn slack(&self, now: Moment) -> f64 {
        (self.asked + self.quoted).since(now).as_secs() - self.size / self.slots
    }
}

/// What a customer may send within its share, as this node's part of it.
struct Allotment {
    per_s: f64,
    level: f64,
    at: Moment,
}

impl Allotment {
    /// This node's part of what a customer may send a second.
    fn of(quota: f64, nodes: u64) -> Allotment {
        // Traffic is uneven: twice the even part, or much that lies within the share is turned back.
        Allotment { per_s: quota / nodes as f64 * 2.0, level: 0.0, at: Moment(0) }
    }

    /// Counts one work unit and tells whether it is beyond the share.
    fn beyond(&mut self, now: Moment) -> bool {
        // Two seconds' worth may come at once: bursts shorter than that are no overuse. Where that is next to
        // nothing a node sees too little to tell: fewer than these are no overuse either.
        const BURST_S: f64 = 2.0;
        const TOO_FEW: f64 = 4.0;
        let leaked = now.since(self.at).as_secs() * self.per_s;
        (self.level, self.at) = ((self.level - leaked).max(0.0), now);
        let beyond = self.level + 1.0 > (self.per_s * BURST_S).max(TOO_FEW);
        self.level += f64::from(u8::from(!beyond));
        beyond
    }
}

/// What nodes that may talk tell each other.
#[derive(Default)]
struct Talk {
    allowed: bool,
    /// The node that adds up, and when it was last heard.
    teller: u64,
    heard: Moment,
    /// What this one was told by others, and the ready executors in the order in which all are told of them.
    told: BTreeMap<u64, (Moment, Vec<(u16, u8)>)>,
    order: Vec<usize>,
    list: u16,
}

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
    progress: Option<Span>,
    talk: Talk,
    allotments: Vec<Allotment>,
    executors: Vec<Executor>,
    /// The ready executors in the order in which this node uses them.
    roster: Vec<usize>,
    out: usize,
    work: BTreeMap<UnitId, Work>,
    /// When work units came and further allocations were sent, as far as their budget looks back.
    came: VecDeque<Moment>,
    further: VecDeque<Moment>,
    follow_tries: u32,
    list_until: Option<Moment>,
    known: Known,
    cut_offs: CutOffs,
    recut: Moment,
}

impl<H: Host> Dispatcher<H> {
    /// Begins: nothing may be told before.
    pub fn start(&mut self, now: Moment) {
        (self.recut, self.talk.heard, self.cold.from) = (now, now, now + self.cold.fall_window);
        // Nodes that start together must not beat together.
        self.host.wake(Span::secs(BEAT_EVERY.as_secs() * self.chance.random::<f64>()), BEAT);
        if self.asks_list {
            self.host.follow_list();
        }
    }

    /// The executor list, whole or only what changed in it.
    pub fn listed(&mut self, now: Moment, whole: bool, entries: &[Listing<'_>]) {
        self.follow_tries = 0;
        if whole {
            // Absent from a whole list means gone.
            self.executors.iter_mut().for_each(|e| e.standing = Standing::Gone);
        }
        for entry in entries {
            let index = entry.executor.0;
            // What is known of its kind holds for a new one: while it is cold its budget goes by that.
            let kin = self.executors.iter().find(|e| e.kind == entry.kind);
            let (capacity, pace, most_free) = kin.map_or((1., 1., 0.), |e| (e.capacity, e.pace, e.most_free));
            let new = || Executor { capacity, pace, most_free, slots: 1.0, ..Executor::default() };
            self.executors.resize_with(self.executors.len().max(index + 1), new);
            let e = &mut self.executors[index];
            e.hash = fixed_hash(entry.name);
            e.rank = rendezvous(self.node.wrapping_add(1), e.hash);
            e.distance = (self.node % self.nodes + self.nodes - e.hash % self.nodes) % self.nodes;
            (e.standing, e.speaks) = (entry.standing, entry.speaks);
            (e.kind, e.zone, e.cell) = (entry.kind, entry.zone, entry.cell);
            e.weight = if entry.weight > 0.0 && entry.weight.is_finite() { entry.weight } else { 1.0 };
            if entry.started > e.started {
                // A restarted process is cold and owes nothing to its past.
                e.started = entry.started;
                e.cold_from = entry.started.map(|at| at.max(now.min(at + self.cold.starts_off)));
                (e.reported, e.utilisation, e.answers) = (None, 0.0, 0);
                e.aside_until = Moment(0);
                e.cold_sent.clear();
            }
        }
        self.form_lanes(now);
        self.serve_held(now);
    }

    /// All that the list's keeper had then is known, as it says itself if it was `heard`. Once what it had later
    /// counts as told, and the grace is over, nothing goes to those for whom the list alone speaks.
    pub fn list_proved(&mut self, as_of: Moment, heard: bool) {
        self.follow_tries *= u32::from(!heard);
        const TOLD_WITHIN: Span = Span::millis(6000); // whatever became of the node's calls
        self.list_until = Some(as_of + TOLD_WITHIN + self.allowance.grace - HEARD_WITHIN);
    }

    /// The list could not be had, or its changes stopped coming.
    pub fn list_broken(&mut self) {
        if !self.asks_list {
            return;
        }
        // All nodes lose it together: 0.1 to 0.6 s, so that a few calls fit into 6 s; doubled up to 4.8 s.
        let wait = (0.1 + 0.5 * self.chance.random::<f64>()) * f64::from(1 << self.follow_tries.min(3));
        self.follow_tries += 1;
        self.host.wake(Span::secs(wait), FOLLOW);
    }

    /// A work unit came in; it owes exactly one final answer from here on.
    pub fn arrived(&mut self, now: Moment, unit: UnitId, arrival: &Arrival) {
        // Sizes beyond any sense would own the cut-offs alone: a millisecond to a day is what work takes.
        const SENSIBLE: (f64, f64) = (0.001, 86_400.0);
        let slots = if arrival.slots > 0.0 && arrival.slots.is_finite() { arrival.slots } else { 1.0 };
        let hinted = arrival.hint.filter(|h| h.0 > 0);
        let size = hinted.map_or(self.known.median, |h| (h.as_secs() * slots).clamp(SENSIBLE.0, SENSIBLE.1));
        if hinted.is_some() {
            self.known.saw(size, size / slots);
            if self.known.count() == FEWEST {
                self.recompute_cut_offs();
            }
        }
        if self.allowance.further.is_some() {
            self.came.push_back(now);
        }
        let tariff = arrival.tariff.min(self.tariffs.len() - 1);
        let terms = &self.tariffs[tariff];
        // The one notion of time left. Clocks may differ by so much: a client that has just asked waits
        // as long as its tariff says, within that.
        let (told, off) = (arrival.patience_ends, self.allowance.patience_off);
        let waits = if arrival.repeat { told } else { now + terms.patience };
        let patience_ends = waits.clamp(told - off, told + off);
        // The quoted time runs from a client's first try. Guards against late repeats taking the place of
        // what can still be in time.
        let asked = if arrival.repeat { now.min(patience_ends - terms.patience) } else { now };
        let quoted = terms.quoted_time + Span::secs(terms.stretch * size / slots);
        let over_share = self.allotments.get_mut(arrival.customer).is_some_and(|a| a.beyond(now));
        let work = Work { tariff, asked, quoted, patience_ends, size, slots, over_share, ..Work::default() };
        self.work.insert(unit, work);
        if arrival.beyond { self.answer(unit) } else { self.place(now, unit) }
    }

    /// An answer began to stream: it belongs to the client now, and patience no longer ends.
    pub fn streaming(&mut self, unit: UnitId) {
        self.work.entry(unit).and_modify(|work| work.streaming = true);
    }

    /// An executor told that an allocation started, or how far it is.
    pub fn noticed(&mut self, now: Moment, id: AllocationId, executor: ExecutorId) {
        let Some(e) = self.executors.get_mut(executor.0) else { return };
        if let Some(flight) = e.flights.iter_mut().find(|f| f.id == id) {
            if flight.started.is_none() {
                // Where starts are not told the first word of progress proves one, a pace ago at most.
                let untold = self.progress.filter(|_| !self.tells_start).unwrap_or_default();
                let started = flight.sent.max(now - untold);
                flight.started = Some(started);
                (e.last_wait, e.last_start) = (started.since(flight.sent).as_secs(), started);
            }
            flight.heard = now;
        }
        e.slots = e.slots.max(e.flights.iter().filter(|f| f.started.is_some()).count() as f64);
        // The others of a unit that has started wait for nothing.
        let Some(work) = self.work.get(&id.unit) else { return };
        let others = work.allocations.iter().enumerate().filter(|(n, a)| *n != id.number && a.is_out());
        let others: Vec<usize> = others.map(|(number, _)| number).collect();
        if work.allocations.get(id.number).is_some_and(Allocation::is_out) {
            others.into_iter().for_each(|number| self.give_up(AllocationId { unit: id.unit, number }));
        }
    }

    /// Whether another process of this node has the cold executors: both together have one budget.
    pub fn cold_elsewhere(&mut self, now: Moment, elsewhere: bool) {
        self.cold.from = if elsewhere { Moment(u64::MAX) } else { now + self.cold.fall_window };
    }

    /// An allocation ended. `finished`: its work unit has had its final answer.
    pub fn ended(
        &mut self,
        now: Moment,
        id: AllocationId,
        executor: ExecutorId,
        ending: Ending,
        finished: bool,
        report: Option<Report>,
    ) {
        self.probed(now, executor, report);
        self.health(now, id, executor, ending);
        let unit = id.unit;
        if let Some(work) = self.work.get_mut(&unit) {
            if let Some(allocation) = work.allocations.get_mut(id.number) {
                allocation.open = false;
                allocation.may_have_run = !ending.proves_not_run();
            }
            if finished { self.finish(unit) } else { self.renew(now, unit, ending) }
        }
        self.serve_held(now);
    }

    /// A probe ended, or something else that may bring a report. A probe without an answer may mean a full
    /// waiting room or a loss on the way: that says too little to act on.
    pub fn probed(&mut self, now: Moment, executor: ExecutorId, report: Option<Report>) {
        let Some((e, report)) = self.executors.get_mut(executor.0).zip(report) else { return };
        if let Some(utilisation) = report.utilisation.filter(|u| u.is_finite()) {
            e.utilisation = utilisation.clamp(0.0, 1.0);
            e.reported = Some(now);
        }
        if let Some(free) = report.free_slots.filter(|f| f.is_finite()) {
            e.most_free = e.most_free.max(free.round());
            // Cores may idle while every slot is held by work that waits for something: no slot, no room.
            e.utilisation = e.utilisation.max(1.0 - free / e.width()).clamp(0.0, 1.0);
            let (kind, most_free) = (e.kind, e.most_free);
            // What one of a kind has all have.
            let kin = self.executors.iter_mut().filter(|e| e.kind == kind);
            kin.for_each(|e| e.most_free = e.most_free.max(most_free));
        }
    }

    /// Another node sent a word.
    pub fn told(&mut self, now: Moment, node: u64, word: &[u8]) {
        let talk = &mut self.talk;
        match Word::read(word).filter(|_| talk.allowed) {
            Some(Word::Own { filled }) => drop(talk.told.insert(node, (now, filled))),
            // One that comes back later than the others found another is told by nobody: it joins them.
            Some(Word::All { list, first, filled })
                if node <= talk.teller || talk.teller == self.node && talk.told.is_empty() =>
            {
                (talk.teller, talk.heard) = (node, now);
                if list == talk.list {
                    self.learn(now, first, &filled);
                }
            }
            _ => {}
        }
    }

    /// How many executors are listed, and how many of these get nothing now: they drain or are set aside.
    pub fn listing(&self, now: Moment) -> (usize, usize) {
        let listed = self.executors.iter().filter(|e| e.standing != Standing::Gone);
        let out = |e: &&Executor| e.standing == Standing::Draining || now < e.aside_until;
        (listed.clone().count(), listed.filter(out).count())
    }

    /// An alarm set earlier fell due.
    pub fn rang(&mut self, now: Moment, alarm: u64) {
        match alarm {
            BEAT => self.beat(now),
            FOLLOW => self.host.follow_list(),
            _ => self.review(now, UnitId(alarm - FIRST_UNIT)),
        }
    }

    /// Sorts the ready executors by the learnt pace of their kind, by registered weight, then by the fixed
    /// hash of their ids, into two lanes. Long work earns by its size and is late on a slow worker however
    /// idle: it gets the fastest quarter. Short work bears most hand-shakes, which no size shows.
    fn form_lanes(&mut self, now: Moment) {
        let ready = |i: &usize| self.executors[*i].standing == Standing::Ready;
        self.roster = (0..self.executors.len()).filter(ready).collect();
        // Paces and weights are above nothing, where their bits are in the order of their values.
        let strength = |e: &Executor| (e.pace.to_bits(), e.weight.to_bits(), e.hash);
        self.roster.sort_by_cached_key(|&i| strength(&self.executors[i]));
        let lanes = lanes_in_order(self.roster.len(), &LANE_SHARES, Remainder::Earlier);
        for (&i, lane) in self.roster.iter().zip(lanes) {
            self.executors[i].lane = lane;
        }
        if self.talk.allowed {
            self.talk.order.clone_from(&self.roster);
            self.talk.order.sort_by_key(|&i| mark(self.executors[i].hash));
            self.talk.list = mark(self.ready().fold(0, |sum, e| sum ^ mixed(e.hash)));
        }
        // The own zone comes six times as far to the front: crossing costs, yet a zone must not be left to
        // itself, since neither workers nor clients are spread evenly. Before all come the cold ones that
        // this node may warm, or they would idle: a budget is seldom split among more nodes.
        const NEARER: u64 = 6;
        const WARMERS: u64 = 8;
        self.roster.sort_by_cached_key(|&i| {
            let e = &self.executors[i];
            match e.cold_budget(&self.cold, now) {
                Some(_) if e.distance < WARMERS => 0,
                _ if e.zone == self.zone => e.rank / NEARER,
                _ => e.rank,
            }
        });
    }

    fn ready(&self) -> impl Iterator<Item = &Executor> {
        self.roster.iter().map(|&i| &self.executors[i])
    }

    /// Cut-offs such that each lane's part of the summed size matches its part of the workers' paces.
    fn recompute_cut_offs(&mut self) {
        let sizes = self.known.weighs();
        self.cut_offs = CutOffs::one_lane();
        if sizes.len() >= FEWEST && self.ready().any(|e| e.lane == 1) {
            // By the learnt paces, all one until known: by number alone a slow lane gets more than it can do.
            let pace = |lane: usize| self.ready().filter(|e| e.lane <= lane).map(|e| e.pace).sum::<f64>();
            let due = sizes.iter().map(|entry| entry.size).sum::<f64>() * pace(0) / pace(1);
            self.cut_offs = CutOffs::at_sums(&sizes, &[due], Straddler::Below);
        }
        // What an executor can do when warm: the pace of its kind over all that ran, and the most slots seen.
        let kinds = self.kinds();
        for e in &mut self.executors {
            let own = kinds.get(&e.kind).copied().unwrap_or_default();
            let known = own.and(self.known.told_of(e.kind));
            if known.ran > 0.0 {
                e.pace = known.done / known.ran;
                e.capacity = e.pace * known.slots;
            }
        }
    }

    /// What was seen of each kind here.
    fn kinds(&self) -> BTreeMap<usize, KindLearnt> {
        let mut kinds: BTreeMap<usize, KindLearnt> = BTreeMap::new();
        for e in self.ready().filter(|e| e.ran > 0.0) {
            let known = kinds.entry(e.kind).or_default();
            *known = known.and(KindLearnt { done: e.done, ran: e.ran, slots: e.width() });
        }
        kinds
    }

    /// What this node has seen of work and of executors' kinds, for one that knows less.
    pub fn learnt(&self) -> Learnt {
        Learnt { sizes: self.known.own(), kinds: self.kinds() }
    }

    /// Another node told what it has seen; how many sizes are known now. Guards against nodes that have just
    /// started: by a few short sizes each takes a cold executor for one that bears many; all push it over.
    pub fn taught(&mut self, now: Moment, learnt: &Learnt) -> usize {
        self.known.joins(learnt);
        self.recompute_cut_offs();
        self.form_lanes(now);
        self.known.count()
    }

    /// Those that a work unit may go to: of its lane, in the order in which this node uses them, a few and
    /// one more for every two allocations out; or many of both lanes. A node that sends little uses few
    /// and so hears of them. Guards against picks all through a large fleet, one unheard of after the other.
    fn candidates(&self, now: Moment, work: &Work, few: bool) -> Vec<Candidate> {
        const FEW: usize = 3; // leaves the weighted pick its choice
        const MORE: usize = 4; // times as many: one of them has room unless nearly all are full
        let lane = self.cut_offs.lane_of(work.size);
        let Tariff { kind, effect, .. } = self.tariffs[work.tariff];
        let in_lane = |at: usize| self.cut_offs.lanes() == 1 || self.executors[at].lane == lane;
        let candidate = |&at: &usize| {
            let e = &self.executors[at];
            let able = now >= e.aside_until
                && self.is_told(now, e)
                && kind.is_none_or(|kind| kind == e.kind)
                && self.repeats(now, effect, &work.allocations, e)
                && !work.allocations.iter().any(|a| a.open && a.executor.0 == at)
                && e.cold_admits(&self.cold, self.nodes, now, self.known.mean);
            able.then(|| {
                let over = e.filled(now).map(|filled| filled + work.slots - e.width());
                let queue = over.map(|over| over.max(0.0) / e.width() * self.known.mean_run / e.pace);
                Candidate {
                    at,
                    in_lane: in_lane(at),
                    room: over.map_or_else(|| e.has_room(now), |over| over <= 0.0),
                    load: e.load(now),
                    wait: queue.or_else(|| e.wait(now)),
                    known: over.is_some(),
                    cold: e.cold_budget(&self.cold, now).is_some(),
                }
            })
        };
        let known = self.ready().any(|e| e.filled(now).is_some()); // where nodes talk all are heard of
        let most = if known { self.roster.len() } else { FEW + self.out / 2 };
        let lane = self.roster.iter().filter(|&&at| few && in_lane(at));
        let mut found: Vec<Candidate> = lane.filter_map(candidate).take(most).collect();
        if found.is_empty() {
            // No worker of the lane can take it, or none of the few has room: those of both that can.
            found.extend(self.roster.iter().filter_map(candidate).take(most * MORE));
        }
        // One that nothing was sent to lately is taken for as full as those of its lane that something was
        // sent to. Guards against a node that sees little taking every executor for free. A longer wait may
        // be that of an executor lost, and one alone may be slow: they tell nothing of others. Nor do
        // the warm tell of a cold one, which few may use: its budget keeps it from being full.
        const SILENT_S: f64 = 6.0;
        const PART: f64 = 0.25; // of the slack may be waited: the estimate is of the past, the queue may grow
        let spare = (work.slack(now) * PART).max(0.1);
        for in_lane in [true, false] {
            let known = found.iter().filter(|c| c.in_lane == in_lane).filter_map(|c| c.wait);
            let waits: Vec<f64> = known.filter(|&wait| wait < SILENT_S).collect();
            let mean = if waits.len() > 1 { waits.iter().sum::<f64>() / waits.len() as f64 } else { 0.0 };
            for c in found.iter_mut().filter(|c| c.in_lane == in_lane && c.wait.is_none()) {
                let mean = if c.cold { 0.0 } else { mean };
                (c.wait, c.room) = (Some(mean), c.room && mean <= spare);
            }
        }
        // One that failed this unit is not asked again while another is there: a crash looks idle at once.
        let tried = |c: &Candidate| work.allocations.iter().any(|a| a.executor.0 == c.at);
        if !found.iter().all(tried) {
            found.retain(|c| !tried(c));
        }
        found
    }

    /// The design's choice, a weighted random pick in the lane of its size; whether any had room; the wait.
    fn pick(&mut self, now: Moment, unit: UnitId) -> Option<(ExecutorId, bool, f64)> {
        let work = self.work.get(&unit)?;
        let mut able = self.candidates(now, work, true);
        // What all have out is known as of a while ago, and all nodes know the same: the pick is among a
        // quarter at least, the shortest queues. Guards against a crowd at the few that had room then.
        const PART: usize = 4;
        let known = able.iter().any(|c| c.known);
        // Own evidence does not show what others fill: at the floor of the weights it passes for full. Guards
        // against queues in one lane while the other idles. Only where most were just heard of, and out of
        // the lane only to one less than half used: late reports must not draw a crowd.
        const FRESH: Span = Span::millis(1000); // what a report is an average over
        let fresh = |e: &&Executor| e.reported.is_some_and(|at| now.since(at) < FRESH);
        let hears = !known && self.ready().filter(fresh).count() * 2 > self.roster.len();
        let below = |c: &Candidate| if c.in_lane { 1.0 - FLOOR } else { 0.5 };
        // Nor does it show that own work waited long there: then others are looked at, unless a further place
        // may be had. Guards against queues before the few that a node uses while their neighbours idle.
        const BORNE: f64 = 0.1; // of the slack: the next one waits longer where a queue builds
        let borne = if self.allowance.second_copies { f64::MAX } else { (work.slack(now) * BORNE).max(0.1) };
        let brief = |c: &Candidate| known || c.wait.is_none_or(|wait| wait <= borne);
        let free = |c: &Candidate| !hears || c.load.is_none_or(|load| load < below(c));
        let open = |c: &Candidate| c.room && brief(c) && free(c);
        let enough = if known { able.len().div_ceil(PART) } else { 1 };
        if able.iter().filter(|c| open(c)).count() < enough {
            able = self.candidates(now, work, false);
        }
        let any_room = able.iter().any(|c| c.room);
        let least_wait = able.iter().filter_map(|c| c.wait).fold(f64::INFINITY, f64::min);
        if known {
            able.sort_by(|a, b| a.wait.unwrap_or(0.0).total_cmp(&b.wait.unwrap_or(0.0)));
            able.truncate(able.iter().filter(|c| open(c)).count().max(able.len().div_ceil(PART)));
        } else {
            // First those with room, of these the not full, then those of the lane, then cold ones that may
            // take some: the few nodes that warm one see little, and left to chance it would idle.
            let rank = |c: &Candidate| (c.room, open(c), c.in_lane, c.room && c.cold);
            let best = able.iter().map(rank).max();
            able.retain(|c| Some(rank(c)) == best);
        }
        // Utilisation is a share: what is idle counts by listed size and learnt pace. Where all are heard of
        // the own zone has no other preference: crossing costs, and a zone must not be left to itself.
        const NEARER: f64 = 3.0;
        let near = |e: &Executor| if known && e.zone == self.zone { NEARER } else { 1.0 };
        let strength = |e: &Executor| e.pace * e.weight * near(e);
        let weigh =
            |c: &Candidate| Weighed { utilisation: c.load, strength: strength(&self.executors[c.at]) };
        let weighs = weights(&able.iter().map(weigh).collect::<Vec<_>>());
        let chosen = &able[self.chance.sample(WeightedIndex::new(weighs).ok()?)];
        // With no room anywhere it waits where it goes: the least wait of all would promise too much.
        let wait = if any_room && !known { least_wait } else { chosen.wait.unwrap_or(0.0) };
        Some((ExecutorId(chosen.at), any_room, wait))
    }

    /// Whether a wait is too long to start with: the work unit would be late, and make others late. Waits
    /// grow while a queue builds, so less than the slack is allowed: the less a tariff earns, the less;
    /// and next to none beyond a customer's share. Guards against queues in which all is late.
    fn hopeless(&self, now: Moment, work: &Work, wait: f64) -> bool {
        let best = self.tariffs.iter().map(|t| t.earnings).fold(0.0, f64::max);
        let part = match self.tariffs[work.tariff].earnings / best {
            _ if work.over_share => 0.0,
            part if part.is_finite() => part,
            _ => 1.0,
        };
        wait > (work.slack(now) * part).max(0.1)
    }

    /// Sends the work unit where the design says, holds it while nothing can take it, or turns it back.
    fn place(&mut self, now: Moment, unit: UnitId) {
        const HOLD_MOST: Span = Span::millis(1000); // a slot comes free in it; longer seldom helps
        const PART_WITHIN: Span = Span::millis(60); // a few round trips to whoever divides the fleet's budget
        let picked = self.pick(now, unit);
        let Some(work) = self.work.get_mut(&unit) else { return };
        if work.patience_ends <= now + ANSWER_MARGIN {
            return self.answer(unit);
        }
        match picked {
            Some((executor, _, wait)) => {
                let (first, fresh) =
                    (work.allocations.is_empty(), work.allocations.iter().all(|a| !a.may_have_run));
                let spent = !first && !self.may_go_further(now);
                let hopeless = fresh && self.hopeless(now, &self.work[&unit], wait);
                if spent || hopeless {
                    self.answer(unit)
                } else if first || self.host.may_go_further(unit) {
                    self.send(now, unit, executor)
                } else {
                    self.hold(now, unit, now + PART_WITHIN)
                }
            }
            None => {
                let until = (now + HOLD_MOST).min(work.asked + work.quoted);
                self.hold(now, unit, until)
            }
        }
    }

    /// Holds a work unit, with its own alarm: patience may end between two beats.
    fn hold(&mut self, now: Moment, unit: UnitId, until: Moment) {
        let Some(work) = self.work.get_mut(&unit).filter(|work| !work.held) else { return };
        work.held = true;
        work.hold_ends = until.min(work.patience_ends - ANSWER_MARGIN);
        self.host.wake(work.hold_ends.since(now), FIRST_UNIT + unit.0);
    }

    fn send(&mut self, now: Moment, unit: UnitId, executor: ExecutorId) {
        const REVIEW_AFTER: Span = Span::millis(150); // who waits to start this long is looked at again
        // Every few seconds each executor that is used (design page), and no other: probes cost.
        const PROBE_EVERY: Span = Span::millis(3000);
        let Some(work) = self.work.get_mut(&unit) else { return };
        let e = &mut self.executors[executor.0];
        (work.held, self.out) = (false, self.out + 1);
        let sent = Allocation { executor, sent: now, open: true, may_have_run: true, recalled: false };
        work.allocations.push(sent);
        if work.allocations.len() > 1 && self.allowance.further.is_some() {
            self.further.push_back(now);
        }
        let (size, slots) = (work.size, work.slots);
        let time_out = (work.patience_ends - ANSWER_MARGIN).since(now);
        // Where starts are not told, what runs is heard of a pace later; without progress it never is. Guards
        // against taking all that is out for running, and what waits for an executor fallen silent.
        let word_due = match self.progress {
            _ if self.tells_start => now,
            Some(pace) => now + pace,
            None => Moment(u64::MAX),
        };
        let id = AllocationId { unit, number: work.allocations.len() - 1 };
        e.flights.push(Flight { id, size, slots, sent: now, word_due, started: None, heard: now });
        if e.cold_budget(&self.cold, now).is_some() {
            e.cold_sent.retain(|&at| now.since(at) <= self.cold.fall_window + HEARD_WITHIN);
            e.cold_sent.push(now);
        }
        let heard = e.reported.unwrap_or_default().max(e.asked);
        if self.may_probe && now.since(heard) >= PROBE_EVERY {
            e.asked = now;
            self.host.probe(executor);
        }
        self.host.allocate(unit, executor, time_out);
        if self.tariffs[work.tariff].effect != Effect::Binding {
            let untold = self.progress.filter(|_| !self.tells_start);
            self.host.wake(untold.map_or(REVIEW_AFTER, |pace| pace * SILENT_PACES), FIRST_UNIT + unit.0);
        }
    }

    /// Whether an allocation that waited for a connection may still go to its executor. Guards against one that begins
    /// after word of a drain, or of an age of the list that may hide one, or after the memory span of its group.
    pub fn may_begin(&self, now: Moment, id: AllocationId, executor: ExecutorId) -> bool {
        let (e, Some(work)) = (&self.executors[executor.0], self.work.get(&id.unit)) else { return false };
        let effect = self.tariffs[work.tariff].effect;
        let earlier = &work.allocations[..id.number];
        e.standing == Standing::Ready && self.is_told(now, e) && self.repeats(now, effect, earlier, e)
    }

    /// Whether what is known of its standing may be gone by.
    fn is_told(&self, now: Moment, e: &Executor) -> bool {
        e.speaks || self.list_until.is_none_or(|until| now < until)
    }

    /// Whether what may have run of a work unit leaves it this executor.
    fn repeats(&self, now: Moment, effect: Effect, earlier: &[Allocation], e: &Executor) -> bool {
        let ran = earlier.iter().find(|a| a.may_have_run).map(|a| (a.sent, &self.executors[a.executor.0]));
        ran.is_none_or(|(sent, at)| effect.repeats(now, sent, at.zone == e.zone, at.cell == e.cell))
    }

    /// Looks at a work unit that is out and may be sent again: one that waits gets a further place where there
    /// is room, or leaves its own where a recall stops it; one whose executor fell silent goes to one with room.
    fn review(&mut self, now: Moment, unit: UnitId) {
        const AGAIN: Span = Span::millis(250); // a few looks within the shortest quoted times
        let Some(work) = self.work.get(&unit) else { return };
        if work.held && work.hold_ends <= now {
            return self.answer(unit);
        }
        if work.streaming || work.held || self.tariffs[work.tariff].effect == Effect::Binding {
            return;
        }
        let out = work.allocations.iter().enumerate().filter(|(_, a)| a.is_out());
        let flights = out.filter_map(|(number, a)| {
            let id = AllocationId { unit, number };
            self.executors[a.executor.0].flights.iter().find(|f| f.id == id).map(|f| (a.executor, f))
        });
        // What has started counts, else what was sent last.
        let told = flights.max_by_key(|(_, f)| (f.started.is_some(), f.sent));
        let Some((executor, flight)) = told else { return };
        let id = flight.id;
        let silent_at = self.progress.map(|pace| flight.heard + pace * SILENT_PACES);
        let silent = flight.started.is_some() && silent_at.is_some_and(|at| at < now);
        // Where no second copy is allowed a recalled one may run on, and where starts are not told any may
        // have started long before.
        let unstarted = self.tells_start && flight.started.is_none();
        let twice = self.allowance.second_copies;
        let waits = unstarted && now > flight.sent && (twice || self.allowance.recalls_stop);
        let lost = waits && twice && work.slack(now) < 0.0 && self.tariffs[work.tariff].effect.harmless();
        if silent {
            self.set_aside(now, executor);
        }
        if (waits || silent)
            && self.may_allocate(unit, self.allowance.recalls)
            && self.may_go_further(now)
            && let Some((better, true, _)) = self.pick(now, unit)
            && self.host.may_go_further(unit)
        {
            // One that waits keeps its place there, where two may be out: whichever starts first has it.
            if !(waits && twice) {
                self.give_up(id);
            }
            if twice {
                self.send(now, unit, better);
            }
            return;
        }
        // No room anywhere and too late already: waiting on, it only makes the next one late as well.
        if lost {
            return self.answer(unit);
        }
        // What runs, or may, is looked at when it would be silent. Guards against a second of looks at each.
        let next = match silent_at {
            _ if unstarted => AGAIN,
            Some(at) => at.since(now).max(AGAIN),
            None => return,
        };
        self.host.wake(next, FIRST_UNIT + unit.0);
    }

    /// Recalls an allocation: where no second copy is allowed its unit goes elsewhere when that has ended.
    fn give_up(&mut self, id: AllocationId) {
        if let Some(work) = self.work.get_mut(&id.unit) {
            work.allocations[id.number].recalled = true;
        }
        if self.allowance.recalls {
            self.host.recall(id);
        }
    }

    /// Whether the budget of further allocations, where there is one, has one more now. What came is counted
    /// a little shorter and what was sent a little longer than the span: whoever checks may hear later.
    fn may_go_further(&mut self, now: Moment) -> bool {
        let Some(budget) = self.allowance.further else { return true };
        while self.came.front().is_some_and(|&at| now.since(at) + HEARD_WITHIN >= budget.span) {
            self.came.pop_front();
        }
        while self.further.front().is_some_and(|&at| now.since(at) > budget.span + HEARD_WITHIN) {
            self.further.pop_front();
        }
        (self.further.len() + 1) as f64 <= budget.free + budget.share * self.came.len() as f64
    }

    /// Whether one more allocation is allowed; `recalling`: the open ones are about to be recalled.
    fn may_allocate(&self, unit: UnitId, recalling: bool) -> bool {
        let work = &self.work[&unit];
        let open = work.allocations.iter().any(|a| a.open);
        let ran = work.allocations.iter().any(|a| a.may_have_run);
        let binding = self.tariffs[work.tariff].effect == Effect::Binding;
        work.allocations.len() < self.allowance.most_allocations
            && !(binding && ran)
            && (!open || recalling || self.allowance.second_copies)
    }

    /// An allocation ended without an answer: another one, or the final answer.
    fn renew(&mut self, now: Moment, unit: UnitId, ending: Ending) {
        // A stream that has started is the answer, whatever became of another copy and of patience.
        let Some(work) = self.work.get(&unit).filter(|w| !w.streaming) else { return };
        // No other will make anything of it. Guards against one bad client having all executors set aside.
        if ending == Ending::Unusable {
            self.finish(unit);
            return self.host.forfeit(unit);
        }
        let out_of_time = work.patience_ends <= now + ANSWER_MARGIN;
        if !out_of_time && work.allocations.iter().any(|a| a.open) {
            return; // another copy is still out
        }
        if out_of_time || ending == Ending::NeverSent || !self.may_allocate(unit, false) {
            return self.answer(unit);
        }
        self.place(now, unit);
    }

    /// The final answer to a work unit that is given up: a turn-back where trying again is harmless.
    fn answer(&mut self, unit: UnitId) {
        const COME_BACK: Span = Span::millis(500); // a slot comes free in it; short against any patience
        let Some(work) = self.work.get(&unit) else { return };
        let ran = work.allocations.iter().any(|a| a.may_have_run);
        let harmless = !ran || self.tariffs[work.tariff].effect.harmless();
        let come_back = self.allowance.longest_come_back.map(|longest| longest.min(COME_BACK));
        self.finish(unit);
        if harmless { self.host.turn_back(unit, come_back) } else { self.host.forfeit(unit) }
    }

    /// No answer is owed any more, as one was given, or the client left: what is still out for the work unit
    /// is recalled, so that nobody works for nothing.
    pub fn finish(&mut self, unit: UnitId) {
        let Some(work) = self.work.remove(&unit) else { return };
        for (number, allocation) in work.allocations.iter().enumerate() {
            if allocation.is_out() && self.allowance.recalls {
                self.host.recall(AllocationId { unit, number });
            }
        }
    }

    /// Tries the held work units again, oldest first, and gives up those whose quoted time is past.
    pub fn serve_held(&mut self, now: Moment) {
        let held = self.work.iter().filter(|(_, work)| work.held).map(|(&unit, work)| (unit, work.hold_ends));
        for (unit, hold_ends) in held.collect::<Vec<_>>() {
            if hold_ends <= now { self.answer(unit) } else { self.place(now, unit) }
        }
    }

    /// What an ending says of the executor.
    fn health(&mut self, now: Moment, id: AllocationId, executor: ExecutorId, ending: Ending) {
        let Some(e) = self.executors.get_mut(executor.0) else { return };
        let flight = e.flights.iter().position(|f| f.id == id).map(|at| e.flights.swap_remove(at));
        self.out -= usize::from(flight.is_some());
        match ending {
            Ending::Fulfilled => {
                e.answers += 1;
                match flight {
                    Some(Flight { started: Some(at), size, slots, .. }) => {
                        (e.done, e.ran) = (e.done + size, e.ran + now.since(at).as_secs() * slots);
                    }
                    // Where neither starts nor other nodes tell, the answer tells the wait: all that it took
                    // beyond its own run. Guards against queues unseen as work runs for less than a pace.
                    Some(f) if !self.tells_start && !self.talk.allowed => {
                        let run = f.size / f.slots / e.pace.max(1.0);
                        let took = now.since(f.sent).as_secs();
                        // Paces only from one that is half idle, where next to nothing waits; and a run of a
                        // standard core's at most: a pace that held some waiting must not hide the next.
                        if e.flights.is_empty() && e.utilisation < 0.5 {
                            (e.done, e.ran) = (e.done + f.size, e.ran + took * f.slots);
                        }
                        e.last_wait = (took - run).max(0.0);
                        e.last_start = now;
                    }
                    _ => {}
                }
            }
            // A full waiting room empties in about a run: nothing until then, or it would answer fastest
            // of all and draw the more work the fuller it is.
            Ending::Full => e.aside_until = now + Span::secs(0.5 + 0.5 * self.chance.random::<f64>()),
            Ending::Reset => e.reset = Some(now),
            Ending::Error => self.set_aside(now, executor),
            Ending::Refused => {
                // Connections broke and now none is made: the process is gone, and what comes back under
                // this id is cold long before the list says so. Guards against pushing it over untold.
                const TOGETHER: Span = Span::millis(5000);
                if e.reset.is_some_and(|at| now.since(at) < TOGETHER) {
                    (e.died, e.answers) = (Some(now), 0);
                }
                self.set_aside(now, executor);
            }
            _ => {}
        }
    }

    /// Leaves an executor out for a fixed time plus a random part, so that the nodes do not come back
    /// together. Never more than half of the ready ones: trouble of all is not the fault of each.
    fn set_aside(&mut self, now: Moment, executor: ExecutorId) {
        // Long enough to pass over most of a short trouble, short enough to find the end of a long one.
        const FIXED_S: f64 = 3.0;
        const RANDOM_S: f64 = 2.0;
        let out = self.ready().filter(|e| e.aside_until > now).count();
        if (out + 1) * 2 <= self.roster.len() {
            let span = Span::secs(FIXED_S + RANDOM_S * self.chance.random::<f64>());
            self.executors[executor.0].aside_until = now + span;
        }
    }

    /// Housekeeping: cut-offs, held work units.
    fn beat(&mut self, now: Moment) {
        const RECUT_EVERY: Span = Span::millis(5000); // design page
        self.host.wake(BEAT_EVERY, BEAT);
        // While one is cold a node that knows few sizes learns paces, slots and the mean at each beat. Guards
        // against nodes restarted together that leave cold executors idle, as they take a unit for too much.
        let learns = |e: &Executor| self.known.count() < FEWEST && e.cold_budget(&self.cold, now).is_some();
        if now.since(self.recut) >= RECUT_EVERY || self.ready().any(learns) {
            self.recut = now;
            self.recompute_cut_offs();
            self.form_lanes(now);
        }
        if self.talk.allowed {
            self.tell(now);
        }
        self.serve_held(now);
    }

    /// Tells the node that adds up what is out here; who is told by others adds up and tells all. The first
    /// node does so while it is heard, else the next: without any the own evidence is left.
    fn tell(&mut self, now: Moment) {
        const LOST: Span = Span::millis(2000); // several words in a row
        let talk = &mut self.talk;
        if talk.teller != self.node && now.since(talk.heard) > LOST {
            (talk.teller, talk.heard) = ((talk.teller + 1) % self.nodes, now);
        }
        let mut filled = Vec::new();
        for e in &mut self.executors {
            e.told = e.own_slots() as u8;
            if e.told > 0 {
                filled.push((mark(e.hash), e.told));
            }
        }
        talk.told.retain(|_, (at, _)| now.since(*at) <= LOST);
        if talk.teller != self.node {
            self.host.tell(Some(talk.teller), &Word::Own { filled: filled.clone() }.bytes());
        }
        if talk.told.is_empty() {
            return;
        }
        let mut sums = vec![0_u8; talk.order.len()];
        for &(named, count) in talk.told.values().flat_map(|(_, filled)| filled).chain(&filled) {
            if let Ok(at) = talk.order.binary_search_by_key(&named, |&at| mark(self.executors[at].hash)) {
                sums[at] = sums[at].saturating_add(count);
            }
        }
        for (number, part) in sums.chunks(MOST).enumerate() {
            let (list, first) = (self.talk.list, number * MOST);
            self.host.tell(None, &Word::All { list, first, filled: part.to_vec() }.bytes());
            if self.talk.teller == self.node {
                self.learn(now, first, part);
            }
        }
    }

    fn learn(&mut self, now: Moment, first: usize, filled: &[u8]) {
        for (&at, count) in self.talk.order.iter().skip(first).zip(filled) {
            let e = &mut self.executors[at];
            e.others = Some((now, f64::from(count.saturating_sub(e.told))));
        }
    }
}
