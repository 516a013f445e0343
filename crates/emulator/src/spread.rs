//! How evenly work lies on the executors, seen from their side: slots in use, slots that idle while work waits elsewhere,
//! crowds, executors that nobody comes to. Model and rig count by this one code, and so do two fleets that the same work
//! is dealt to once more: one by chance, one by a single queue that knows every slot.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::{self, Display, Formatter};

/// Use is told by such windows: several runs of ordinary work, and short against a fault.
const WINDOW: Duration = Duration::from_millis(5000);
/// Who comes together within this comes as a crowd: about as long as a report is on its way.
const TOGETHER: Duration = Duration::from_millis(250);
/// To whom nobody came for so many seconds of others' queues is forgotten.
const FORGOTTEN_S: f64 = 5.0;

/// What an executor is when warm.
#[derive(Clone, Copy, Debug)]
pub struct Width {
    pub slots: usize,
    /// Work a second on each slot, against a standard core.
    pub pace: f64,
}

impl Width {
    fn weight(self) -> f64 {
        self.slots as f64 * self.pace
    }
}

struct Place {
    width: Width,
    up: bool,
    running: usize,
    waiting: usize,
    since: Instant,
    /// Slot seconds in use, in this window and before.
    busy_s: f64,
    busy_before_s: f64,
    /// Who came lately, and how many slots were free then.
    came: VecDeque<(Instant, usize)>,
    /// How long others had queued altogether when somebody came last.
    came_at_s: f64,
}

/// One piece of work or one change, to be dealt once more.
#[derive(Clone, Copy)]
enum Step {
    Came(f64),
    Up(usize, bool),
}

/// The book of one run.
pub struct Spread {
    places: Vec<Place>,
    mean_size_s: f64,
    began: Instant,
    /// Nothing before and after these counts.
    counts_from: Instant,
    ends: Instant,
    now: Instant,
    window_ends: Instant,
    windows: Vec<Window>,
    /// Over all executors that are up; `held` is work that has no place yet.
    slots: usize,
    running: usize,
    waiting: usize,
    held: usize,
    slot_s: f64,
    wasted_s: f64,
    /// Seconds in which work waited somewhere.
    queued_s: f64,
    herd_most: f64,
    herds: u64,
    forgotten: u64,
    steps: Vec<(Instant, Step)>,
}

/// The part of slots in use over all executors in one window.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Window {
    pub least: f64,
    pub mean: f64,
    pub most: f64,
    /// Jain's index of fairness, weighted by pace and slots: 1 where all are used alike, 1/n where one has all.
    pub jain: f64,
}

impl Window {
    fn of(uses: impl Iterator<Item = (f64, f64)>) -> Window {
        let uses: Vec<(f64, f64)> = uses.collect();
        let weight: f64 = uses.iter().map(|(w, _)| w).sum();
        let sum: f64 = uses.iter().map(|(w, u)| w * u).sum();
        let squares: f64 = uses.iter().map(|(w, u)| w * u * u).sum();
        Window {
            least: uses.iter().map(|(_, u)| *u).fold(f64::INFINITY, f64::min),
            mean: sum / weight,
            most: uses.iter().map(|(_, u)| *u).fold(0.0, f64::max),
            jain: if squares > 0.0 { sum * sum / (weight * squares) } else { 1.0 },
        }
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Evenness {
    /// Over the whole run.
    pub used: Window,
    /// Jain's index, mean over the windows.
    pub jain: f64,
    /// The part of slot time that stood idle while as many work units waited elsewhere.
    pub idle_while_waiting: f64,
    /// The most that came to one executor within 250 ms, over what it can start in that time; and how often that was more
    /// than it can.
    pub herd_most: f64,
    pub herds: u64,
    /// How often nobody came to an executor for 5 s in which others had a queue.
    pub forgotten: u64,
    /// From coming to the start; of work that was dealt once more.
    pub mean_wait_ms: Option<f64>,
    pub windows: Vec<Window>,
}

/// What was seen, and what the same work would have met.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    pub seen: Evenness,
    pub by_chance: Evenness,
    pub all_seeing: Evenness,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Deal {
    ByChance,
    AllSeeing,
}

impl Spread {
    /// From `began` to `ends`, counted after `settles`; `mean_size_s` is that of what comes, in seconds of a standard core.
    pub fn new(
        widths: &[Width],
        mean_size_s: f64,
        (began, settles, ends): (Instant, Duration, Instant),
    ) -> Spread {
        let place = |&width: &Width| Place {
            width,
            up: true,
            running: 0,
            waiting: 0,
            since: began,
            busy_s: 0.0,
            busy_before_s: 0.0,
            came: VecDeque::new(),
            came_at_s: 0.0,
        };
        Spread {
            places: widths.iter().map(place).collect(),
            mean_size_s,
            began,
            counts_from: began + settles,
            ends,
            now: began,
            window_ends: began + settles + WINDOW,
            windows: Vec::new(),
            slots: widths.iter().map(|w| w.slots).sum(),
            running: 0,
            waiting: 0,
            held: 0,
            slot_s: 0.0,
            wasted_s: 0.0,
            queued_s: 0.0,
            herd_most: 0.0,
            herds: 0,
            forgotten: 0,
            steps: Vec::new(),
        }
    }

    fn widths(&self) -> Vec<Width> {
        self.places.iter().map(|p| p.width).collect()
    }

    /// New work came to the fleet, of so many seconds on a standard core; not again with its repeats.
    pub fn offered(&mut self, now: Instant, size_s: f64) {
        self.steps.push((now, Step::Came(size_s)));
    }

    fn advance(&mut self, now: Instant) {
        let now = now.min(self.ends);
        while now >= self.window_ends {
            self.passes(self.window_ends);
            self.closes_window();
            self.window_ends = self.window_ends + WINDOW;
        }
        self.passes(now);
    }

    fn passes(&mut self, now: Instant) {
        let passed = now.since(self.now.max(self.counts_from)).seconds();
        self.now = self.now.max(now);
        let waiting = self.waiting + self.held;
        let idle = self.slots.saturating_sub(self.running);
        self.slot_s += passed * self.slots as f64;
        self.wasted_s += passed * idle.min(waiting) as f64;
        if waiting > 0 {
            self.queued_s += passed;
        }
    }

    fn closes_window(&mut self) {
        let ends = self.window_ends;
        for at in 0..self.places.len() {
            self.accounts(at, ends);
        }
        let span_s = WINDOW.seconds();
        let used = |p: &Place| (p.width.weight(), p.busy_s / span_s / p.width.slots as f64);
        self.windows.push(Window::of(self.places.iter().map(used)));
        for p in &mut self.places {
            p.busy_before_s += std::mem::take(&mut p.busy_s);
        }
    }

    fn accounts(&mut self, at: usize, now: Instant) {
        let now = now.min(self.ends);
        let p = &mut self.places[at];
        p.busy_s += now.since(p.since.max(self.counts_from)).seconds() * p.running as f64;
        p.since = p.since.max(now);
    }

    /// A work unit has reached an executor, which has not looked at it yet.
    pub fn reached(&mut self, now: Instant, executor: usize) {
        self.advance(now);
        self.meets(executor);
        let p = &mut self.places[executor];
        let free = p.width.slots.saturating_sub(p.running + p.waiting);
        p.came.push_back((now, free));
        while p.came.front().is_some_and(|&(at, _)| now.since(at) >= TOGETHER) {
            p.came.pop_front();
        }
        // What was free as the first of them came, and what comes free in that time where all run.
        let free = p.came.front().map_or(0, |&(_, free)| free) as f64;
        let starts = free + p.width.weight() * TOGETHER.seconds() / self.mean_size_s;
        let herd = p.came.len() as f64 / starts.max(1.0);
        if now >= self.counts_from && now <= self.ends {
            self.herd_most = self.herd_most.max(herd);
            self.herds += u64::from(herd > 1.0);
        }
    }

    /// Somebody comes to an executor, or it does not wait for anybody: its spell of being passed over ends.
    fn meets(&mut self, executor: usize) {
        let p = &mut self.places[executor];
        // One that runs something is not idle, whoever sent it.
        let passed_over = p.up && p.running == 0 && self.queued_s - p.came_at_s >= FORGOTTEN_S;
        self.forgotten += u64::from(passed_over);
        p.came_at_s = self.queued_s;
    }

    /// How an executor stands after a change.
    pub fn stands(&mut self, now: Instant, executor: usize, up: bool, running: usize, waiting: usize) {
        self.advance(now);
        self.accounts(executor, now);
        let p = &self.places[executor];
        let (was_up, was_running) = (p.up, p.running);
        if was_up {
            self.slots -= p.width.slots;
            self.running -= p.running;
            self.waiting -= p.waiting;
        }
        if was_up != up {
            self.steps.push((now, Step::Up(executor, up)));
        }
        if was_up != up || (running == 0) != (was_running == 0) {
            self.meets(executor);
        }
        let p = &mut self.places[executor];
        (p.up, p.running, p.waiting) = (up, running, waiting);
        if up {
            self.slots += p.width.slots;
            self.running += running;
            self.waiting += waiting;
        }
    }

    /// So much work has no place yet.
    pub fn holds(&mut self, now: Instant, held: usize) {
        self.advance(now);
        self.held = held;
    }

    fn evenness(&mut self, mean_wait_ms: Option<f64>) -> Evenness {
        let ends = self.ends;
        self.advance(ends);
        for at in 0..self.places.len() {
            self.accounts(at, ends);
            self.meets(at);
        }
        let length_s = ends.since(self.counts_from).seconds().max(f64::MIN_POSITIVE);
        let used =
            |p: &Place| (p.width.weight(), (p.busy_before_s + p.busy_s) / length_s / p.width.slots as f64);
        let used = Window::of(self.places.iter().map(used));
        let jain = if self.windows.is_empty() {
            used.jain
        } else {
            self.windows.iter().map(|w| w.jain).sum::<f64>() / self.windows.len() as f64
        };
        Evenness {
            used,
            jain,
            idle_while_waiting: if self.slot_s > 0.0 { self.wasted_s / self.slot_s } else { 0.0 },
            herd_most: self.herd_most,
            herds: self.herds,
            forgotten: self.forgotten,
            mean_wait_ms,
            windows: self.windows.clone(),
        }
    }

    /// What the run showed, and the same work dealt once more.
    pub fn figures(&mut self, seed: u64) -> Figures {
        let seen = self.evenness(None);
        let dealt = |deal| Dealer::new(self, deal, seed).deal(&self.steps, self.ends);
        let (by_chance, all_seeing) = (dealt(Deal::ByChance), dealt(Deal::AllSeeing));
        Figures { seen, by_chance, all_seeing }
    }
}

/// Deals the work of a run once more, to executors that are warm, fail at nothing and lose what they have when they go.
struct Dealer {
    spread: Spread,
    deal: Deal,
    chance: Pcg32,
    widths: Vec<Width>,
    up: Vec<bool>,
    running: Vec<usize>,
    /// When it came and its size.
    waiting: Vec<VecDeque<(Instant, f64)>>,
    held: VecDeque<(Instant, f64)>,
    /// How often each went: what ends afterwards ends nothing.
    lives: Vec<u32>,
    ends: BinaryHeap<Reverse<(Instant, usize, u32)>>,
    waits: (f64, u64),
}

impl Dealer {
    fn new(of: &Spread, deal: Deal, seed: u64) -> Dealer {
        let widths = of.widths();
        let count = widths.len();
        let spans = (of.began, of.counts_from.since(of.began), of.ends);
        Dealer {
            spread: Spread::new(&widths, of.mean_size_s, spans),
            deal,
            chance: Pcg32::seed_from_u64(seed),
            up: vec![true; count],
            running: vec![0; count],
            waiting: vec![VecDeque::new(); count],
            held: VecDeque::new(),
            lives: vec![0; count],
            ends: BinaryHeap::new(),
            waits: (0.0, 0),
            widths,
        }
    }

    fn deal(mut self, steps: &[(Instant, Step)], ends: Instant) -> Evenness {
        for &(now, step) in steps.iter().filter(|(at, _)| *at <= ends) {
            self.runs_on(now);
            match step {
                Step::Came(size_s) => self.comes(now, size_s),
                Step::Up(at, up) => {
                    self.lives[at] += 1;
                    (self.up[at], self.running[at]) = (up, 0);
                    self.waiting[at].clear();
                    self.says(now, at);
                    self.serves_held(now);
                }
            }
        }
        self.runs_on(ends);
        let (sum, count) = self.waits;
        let mean_wait_ms = (count > 0).then(|| sum / count as f64 * 1e3);
        self.spread.evenness(mean_wait_ms)
    }

    fn runs_on(&mut self, until: Instant) {
        while self.ends.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((now, at, life))) = self.ends.pop() else { return };
            if self.lives[at] != life {
                continue;
            }
            self.running[at] -= 1;
            if let Some((came, size_s)) = self.waiting[at].pop_front() {
                self.starts(now, at, came, size_s);
            }
            self.says(now, at);
            self.serves_held(now);
        }
    }

    fn comes(&mut self, now: Instant, size_s: f64) {
        let weights: Vec<f64> = (0..self.widths.len())
            .map(|at| if self.up[at] { self.widths[at].weight() } else { 0.0 })
            .collect();
        let chosen = match self.deal {
            Deal::AllSeeing => self.emptiest(),
            Deal::ByChance => {
                let mut at_weight = self.chance.random::<f64>() * weights.iter().sum::<f64>();
                weights.iter().position(|weight| {
                    at_weight -= weight;
                    *weight > 0.0 && at_weight < 0.0
                })
            }
        };
        match chosen {
            Some(at) => {
                self.spread.reached(now, at);
                if self.running[at] < self.widths[at].slots {
                    self.starts(now, at, now, size_s);
                } else {
                    self.waiting[at].push_back((now, size_s));
                }
                self.says(now, at);
            }
            None => self.held.push_back((now, size_s)),
        }
        self.spread.holds(now, self.held.len());
    }

    /// Where a slot is free: the largest part of them, then the fastest.
    fn emptiest(&self) -> Option<usize> {
        let free = |at: &usize| self.up[*at] && self.running[*at] < self.widths[*at].slots;
        let rank =
            |at: usize| (self.running[at] as f64 / self.widths[at].slots as f64, -self.widths[at].pace);
        let open = (0..self.widths.len()).filter(free);
        open.map(|at| (rank(at), at))
            .min_by(|(a, _), (b, _)| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, at)| at)
    }

    fn starts(&mut self, now: Instant, at: usize, came: Instant, size_s: f64) {
        self.running[at] += 1;
        let runs = Duration::from_seconds(size_s / self.widths[at].pace);
        self.ends.push(Reverse((now + runs, at, self.lives[at])));
        if came >= self.spread.counts_from {
            self.waits = (self.waits.0 + now.since(came).seconds(), self.waits.1 + 1);
        }
    }

    fn serves_held(&mut self, now: Instant) {
        while let Some(&(came, size_s)) = self.held.front() {
            let Some(at) = self.emptiest() else { break };
            self.held.pop_front();
            self.spread.reached(now, at);
            self.starts(now, at, came, size_s);
            self.says(now, at);
        }
        self.spread.holds(now, self.held.len());
    }

    fn says(&mut self, now: Instant, at: usize) {
        self.spread.stands(now, at, self.up[at], self.running[at], self.waiting[at].len());
    }
}

impl Display for Figures {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<11} {:>6} {:>6} {:>6} {:>6} {:>13} {:>9} {:>7} {:>9} {:>8}",
            "slots used",
            "least",
            "mean",
            "most",
            "Jain",
            "idle, others",
            "herd most",
            "herds",
            "forgotten",
            "wait"
        )?;
        for (name, e) in
            [("seen", &self.seen), ("by chance", &self.by_chance), ("all-seeing", &self.all_seeing)]
        {
            let wait = e.mean_wait_ms.map_or_else(|| "above".to_owned(), |ms| format!("{ms:.1}"));
            writeln!(
                f,
                "{name:<11} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>13.4} {:>9.2} {:>7} {:>9} {wait:>8}",
                e.used.least,
                e.used.mean,
                e.used.most,
                e.jain,
                e.idle_while_waiting,
                e.herd_most,
                e.herds,
                e.forgotten
            )?;
        }
        Ok(())
    }
}
