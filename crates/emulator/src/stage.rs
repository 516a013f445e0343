//! What all share in a run: the agenda, the machines, the network, discovery, the book of rules and the figures. The
//! hands of the decisions act on it at once.

use crate::figures::Figures;
use crate::laws::{exponential, noise};
use crate::machine::{Job, Machine, Taken};
use crate::rules::{Answer, Book};
use crate::scenario::Scenario;
use crate::spread::{Spread, Width};
use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{AttemptOutcome, ExecutorStatus, LoadReport};
use rand::Rng;
use rand::distr::weighted::WeightedIndex;
use rand_pcg::Pcg32;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// A repeat of a message that got lost comes this much later.
const ONCE_MORE: Duration = Duration::from_millis(200);
/// A job to be given up that could not be reached is tried again after this.
const GIVE_UP_AGAIN: Duration = Duration::from_millis(300);

/// What a node hears of an allocation.
#[derive(Clone, Copy, Debug)]
pub enum Word {
    Runs,
    Done(Option<LoadReport>),
    Ended(AttemptOutcome, Option<LoadReport>),
}

/// What happens, in the order of its time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client brings new work of a tariff.
    Comes(usize),
    /// One tries again, or for the first time with a node that answers.
    Tries(usize),
    Leaves(u64),
    PatienceEnds(u64),
    Reaches(Job, bool),
    Progresses(usize, u32, Job),
    RunEnds(usize, u32, Job),
    Cancels(Job),
    Hears(Job, Word),
    TimesOut(Job),
    GivesUp(Job),
    Rings(usize, u32, u64),
    Lists(usize, u32, usize, ExecutorStatus, Option<Instant>),
    ListCall(usize, u32, bool),
    /// A node hears another's word.
    Told(usize, u64, Rc<[u8]>),
    Strikes(usize),
    Mends(usize),
    Rises(usize, u32),
}

/// One piece of work, over all its tries.
#[derive(Clone, Debug)]
pub struct Errand {
    pub tariff: usize,
    pub size_s: f64,
    pub hint_s: Option<f64>,
    pub came: Instant,
    pub deadline: Instant,
    /// When the client leaves, if it does not wait to the end.
    pub leaves: Option<Instant>,
    pub tries: u32,
    pub counted: bool,
}

pub struct Sent {
    pub executor: usize,
    pub open: bool,
}

pub struct Unit {
    pub errand: usize,
    pub node: usize,
    /// Which life of the node took it.
    pub life: u32,
    pub answered: bool,
    /// Nobody waits for it: the client left, or the node died.
    pub gone: bool,
    pub started: bool,
    pub sent: Vec<Sent>,
}

pub struct NodeState {
    pub zone: usize,
    pub up: bool,
    pub life: u32,
    pub died: Option<Instant>,
    /// Whether changes of the list are told to it.
    pub watches: bool,
}

pub struct Stage {
    pub scenario: Scenario,
    pub now: Instant,
    agenda: BTreeMap<(Instant, u64), Event>,
    next_number: u64,
    pub events: u64,
    /// One for each purpose: whoever decides meets the same work and the same faults.
    pub work_chance: Pcg32,
    pub front_chance: Pcg32,
    pub net_chance: Pcg32,
    pub fault_chance: Pcg32,
    pub errands: Vec<Errand>,
    pub units: Vec<Unit>,
    pub nodes: Vec<NodeState>,
    pub machines: Vec<Machine>,
    mean_size_s: f64,
    /// When idle connections were used last, by node and executor, with the life of the executor.
    idle: HashMap<(usize, usize), Vec<(u32, Instant)>>,
    /// Zones that are cut off, each until then.
    pub cuts: Vec<(usize, Instant)>,
    pub discovery_down: u32,
    discovery_free: Instant,
    pub book: Book,
    pub figures: Figures,
    pub spread: Spread,
    /// When each slot comes free, for decisions that see all.
    pub sight: Vec<Vec<Instant>>,
    /// What comes at each node against the others, if not alike.
    pub shares: Option<WeightedIndex<f64>>,
}

impl Stage {
    pub fn new(
        scenario: Scenario,
        mut chance: impl FnMut() -> Pcg32,
        nodes: Vec<NodeState>,
        machines: Vec<Machine>,
    ) -> Stage {
        let rules = scenario.rules;
        let widths: Vec<Width> =
            machines.iter().map(|m| Width { slots: m.make.slots, pace: m.make.of.pace }).collect();
        let settles = ms(scenario.settles_s * 1e3);
        let ends = Instant(START) + ms(scenario.length_s * 1e3);
        let book = Book::new(Instant(START), ms(rules.slack_ms), ms(rules.drain_grace_ms));
        Stage {
            now: Instant(START),
            agenda: BTreeMap::new(),
            next_number: 0,
            events: 0,
            work_chance: chance(),
            front_chance: chance(),
            net_chance: chance(),
            fault_chance: chance(),
            errands: Vec::new(),
            units: Vec::new(),
            nodes,
            machines,
            mean_size_s: scenario.mean_size_s(),
            idle: HashMap::new(),
            cuts: Vec::new(),
            discovery_down: 0,
            discovery_free: Instant(0),
            book,
            figures: Figures::new(&scenario),
            spread: Spread::new(&widths, scenario.mean_size_s(), (Instant(START), settles, ends)),
            sight: widths.iter().map(|w| vec![Instant(START); w.slots]).collect(),
            shares: scenario.shares(),
            scenario,
        }
    }

    pub fn at(&mut self, when: Instant, event: Event) {
        self.agenda.insert((when, self.next_number), event);
        self.next_number += 1;
    }

    pub fn after(&mut self, span: Duration, event: Event) {
        self.at(self.now + span, event);
    }

    /// The next event, and the clock is at its time.
    pub fn next_event(&mut self) -> Option<Event> {
        let ((when, _), event) = self.agenda.pop_first()?;
        (self.now, self.events) = (when, self.events + 1);
        Some(event)
    }

    /// Seconds since the start of the run.
    pub fn clock_s(&self) -> f64 {
        self.now.since(Instant(START)).seconds()
    }

    fn delay(&mut self, one: usize, other: usize) -> Duration {
        let n = self.scenario.network;
        let least = if one == other { n.delay_ms } else { n.cross_delay_ms };
        ms(least * (1.0 + n.spread * exponential(&mut self.net_chance)))
    }

    /// Until when nothing passes between two zones.
    fn cut(&self, one: usize, other: usize) -> Option<Instant> {
        let parts = |zone: usize| (zone == one) != (zone == other);
        let cuts = self.cuts.iter().filter(|(zone, until)| parts(*zone) && *until > self.now);
        cuts.map(|(_, until)| *until).max()
    }

    /// Whether a connection to the executor stands idle; it is in use from now on.
    fn takes_idle(&mut self, node: usize, executor: usize) -> bool {
        let (now, life) = (self.now, self.machines[executor].life);
        let idle_s = self.scenario.network.idle_s;
        let Some(kept) = self.idle.get_mut(&(node, executor)) else { return false };
        kept.retain(|(of, at)| *of == life && (*at > now || now.since(*at).seconds() < idle_s));
        let found = kept.iter().position(|(_, at)| *at <= now);
        found.map(|at| kept.swap_remove(at)).is_some()
    }

    fn job(&self, job: Job) -> (usize, usize) {
        let unit = &self.units[job.unit as usize];
        (unit.node, unit.sent[job.number].executor)
    }

    fn allocate(&mut self, unit: u64, executor: usize, time_out: Duration) {
        let node = self.units[unit as usize].node;
        let job = Job { unit, number: self.units[unit as usize].sent.len() };
        self.units[unit as usize].sent.push(Sent { executor, open: true });
        self.book.sent(self.now, unit, node, executor);
        self.figures.sends += 1;
        self.after(time_out, Event::TimesOut(job));
        let (here, there) = (self.nodes[node].zone, self.machines[executor].make.zone);
        let n = self.scenario.network;
        let fresh = !self.takes_idle(node, executor);
        if self.cut(here, there).is_some() {
            // A new connection does not come up; one that stands says nothing.
            let (within, ending) = match fresh {
                true => (n.dial_within_ms, AttemptOutcome::Refused),
                false => (n.taken_within_ms, AttemptOutcome::TimedOut),
            };
            return self.after(ms(within), Event::Hears(job, Word::Ended(ending, None)));
        }
        let way = self.delay(here, there);
        if fresh {
            self.figures.dials += 1;
        }
        if !self.machines[executor].up {
            return self
                .after(way.scaled(2.0), Event::Hears(job, Word::Ended(AttemptOutcome::Refused, None)));
        }
        let shake = if fresh { way.scaled(2.0 * n.handshake_trips) } else { Duration::from_nanos(0) };
        let arrives = self.now + shake + way;
        if n.resets > 0.0 && self.net_chance.random::<f64>() < n.resets {
            let whole = self.net_chance.random::<bool>();
            let ending = if whole { AttemptOutcome::Reset } else { AttemptOutcome::SendFailed };
            self.at(arrives + way, Event::Hears(job, Word::Ended(ending, None)));
            if !whole {
                return;
            }
        } else {
            let life = self.machines[executor].life;
            self.idle.entry((node, executor)).or_default().push((life, arrives + way));
        }
        self.at(arrives, Event::Reaches(job, fresh));
    }

    /// A request is whole at its executor.
    pub fn reaches(&mut self, job: Job, fresh: bool) {
        let (node, executor) = self.job(job);
        let knew = self.book.knows(node, executor, self.machines[executor].started);
        let now = self.now;
        let rules = self.scenario.rules;
        self.spread.reached(now, executor);
        let machine = &mut self.machines[executor];
        if !machine.up {
            return self.tell(job, Word::Ended(AttemptOutcome::Reset, None));
        }
        if machine.fails > 0 {
            let report = Some(machine.report(now));
            return self.tell(job, Word::Ended(AttemptOutcome::Error, report));
        }
        if machine.is_cold(now) {
            let (units, untold) = machine.count(now, ms(rules.fall_window_ms), knew);
            let borne = machine.bears(now, &rules, self.mean_size_s);
            if units as f64 > borne {
                self.book.fell(now, executor, units, untold, borne);
                self.kill(executor);
                return self.after(
                    Duration::from_millis(3000),
                    Event::Rises(executor, self.machines[executor].life),
                );
            }
        }
        match self.machines[executor].take(now, job) {
            Taken::Runs => self.begin(executor, job, fresh),
            Taken::Waits => self.stands(executor),
            Taken::Full => {
                let report = Some(self.machines[executor].report(now));
                self.tell(job, Word::Ended(AttemptOutcome::Full, report));
            }
        }
    }

    /// A job has a slot.
    fn begin(&mut self, executor: usize, job: Job, fresh: bool) {
        let unit = &mut self.units[job.unit as usize];
        let errand = &self.errands[unit.errand];
        if !std::mem::replace(&mut unit.started, true) && errand.counted {
            self.figures.waited(self.now.since(errand.came));
        }
        let shake_s = if fresh { self.scenario.network.handshake_work_ms / 1e3 } else { 0.0 };
        let size_s = errand.size_s + shake_s;
        self.book.ran(self.now, job.unit);
        self.stands(executor);
        let machine = &self.machines[executor];
        let (life, runs_for) = (machine.life, machine.runs_for(self.now, size_s));
        self.after(runs_for, Event::RunEnds(executor, life, job));
        if self.scenario.nodes.starts_told {
            self.tell(job, Word::Runs);
        }
        self.progress_later(executor, life, job);
    }

    fn progress_later(&mut self, executor: usize, life: u32, job: Job) {
        let pace = self.scenario.nodes.progress_ms;
        if pace > 0.0 {
            self.after(ms(pace), Event::Progresses(executor, life, job));
        }
    }

    pub fn progresses(&mut self, executor: usize, life: u32, job: Job) {
        if self.machines[executor].life == life && self.machines[executor].runs(job) {
            self.tell(job, Word::Runs);
            self.progress_later(executor, life, job);
        }
    }

    pub fn run_ends(&mut self, executor: usize, life: u32, job: Job) {
        let now = self.now;
        let machine = &mut self.machines[executor];
        if machine.life != life || !machine.done(now, job) {
            return;
        }
        let fails = machine.make.of.error_share > 0.0
            && self.net_chance.random::<f64>() < self.machines[executor].make.of.error_share;
        self.serve_queue(executor);
        self.stands(executor);
        let report = Some(self.machines[executor].report(now));
        let word = if fails { Word::Ended(AttemptOutcome::Error, report) } else { Word::Done(report) };
        self.tell(job, word);
    }

    fn serve_queue(&mut self, executor: usize) {
        while let Some(next) = self.machines[executor].start_next(self.now) {
            self.begin(executor, next, false);
        }
    }

    pub fn cancels(&mut self, job: Job) {
        let (_, executor) = self.job(job);
        self.machines[executor].cancel(job);
        self.stands(executor);
    }

    /// The book of spread hears of a change at an executor.
    fn stands(&mut self, executor: usize) {
        let machine = &self.machines[executor];
        let (running, waiting) = machine.filled();
        self.spread.stands(self.now, executor, machine.up, running, waiting);
    }

    /// Back under its old id, and cold.
    pub fn rises(&mut self, executor: usize) {
        self.machines[executor].rise(self.now);
        self.stands(executor);
    }

    /// An executor tells the node of a job; through a cut it tries until it is answered.
    fn tell(&mut self, job: Job, word: Word) {
        let (node, executor) = self.job(job);
        let (here, there) = (self.nodes[node].zone, self.machines[executor].make.zone);
        let way = self.delay(here, there);
        let when = match self.cut(here, there) {
            Some(until) => until + ONCE_MORE.scaled(self.net_chance.random::<f64>()) + way,
            None => self.now + way,
        };
        self.at(when, Event::Hears(job, word));
    }

    pub fn gives_up(&mut self, job: Job) {
        if !self.units[job.unit as usize].sent[job.number].open {
            return;
        }
        let (node, executor) = self.job(job);
        let (here, there) = (self.nodes[node].zone, self.machines[executor].make.zone);
        if self.cut(here, there).is_some() || !self.machines[executor].up {
            return self.after(GIVE_UP_AGAIN, Event::GivesUp(job));
        }
        let way = self.delay(here, there);
        self.after(way, Event::Cancels(job));
        self.after(way.scaled(2.0), Event::Hears(job, Word::Ended(AttemptOutcome::Cancelled, None)));
    }

    /// An executor's process dies. Its jobs are lost, or, where it was told to leave, those that wait are handed back.
    pub fn kill(&mut self, executor: usize) {
        let leaving = self.machines[executor].standing != ExecutorStatus::Ready;
        let (ran, waited) = self.machines[executor].die(self.now);
        self.sight[executor].fill(self.now);
        self.stands(executor);
        for job in ran {
            self.tell(job, Word::Ended(AttemptOutcome::Reset, None));
        }
        for job in waited {
            let ending = if leaving { AttemptOutcome::Full } else { AttemptOutcome::Reset };
            self.tell(job, Word::Ended(ending, None));
        }
    }

    /// Discovery has something to say of an executor, to all who watch.
    pub fn list_changes(&mut self, executor: usize, standing: ExecutorStatus) {
        let machine = &mut self.machines[executor];
        machine.standing = standing;
        let started = machine.started;
        if self.discovery_down > 0 {
            return;
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].up && self.nodes[node].watches {
                let notice =
                    ms(self.scenario.discovery.notice_ms).scaled(0.5 + self.net_chance.random::<f64>());
                let life = self.nodes[node].life;
                self.after(notice, Event::Lists(node, life, executor, standing, started));
            }
        }
    }

    fn call_discovery(&mut self, node: usize) {
        let life = self.nodes[node].life;
        let d = self.scenario.discovery;
        self.figures.list_calls += 1;
        let begins = self.discovery_free.max(self.now);
        let ends = begins + Duration::from_seconds(1.0 / d.calls_per_s);
        let within = ms(d.call_within_ms);
        if self.discovery_down > 0 {
            self.figures.list_calls_failed += 1;
            return self.after(Duration::from_millis(1), Event::ListCall(node, life, false));
        }
        if ends.since(self.now) > within {
            self.figures.list_calls_failed += 1;
            return self.after(within, Event::ListCall(node, life, false));
        }
        self.discovery_free = ends;
        self.at(ends, Event::ListCall(node, life, true));
    }

    /// The final answer of a node.
    pub fn answer(&mut self, unit: u64, answer: Answer) {
        self.book.answered(self.now, unit, answer);
        let taken = &mut self.units[unit as usize];
        if std::mem::replace(&mut taken.answered, true) || taken.gone {
            return;
        }
        let at = taken.errand;
        if answer == Answer::TurnedBack && self.tries_again(at) {
            return;
        }
        let (now, errand) = (self.now, &self.errands[at]);
        let tariff = &self.scenario.tariffs[errand.tariff];
        let quoted = tariff.quoted(errand.size_s);
        if errand.counted {
            self.figures.ended(errand.tariff, answer, errand.came, now, quoted);
        }
    }

    /// A client whose work was turned back comes again, if it does so and there is time.
    pub fn tries_again(&mut self, errand: usize) -> bool {
        let clients = self.scenario.clients;
        let e = &mut self.errands[errand];
        let backoff = clients.backoff(e.tries);
        if e.tries >= clients.repeats || self.now + backoff >= e.deadline {
            return false;
        }
        e.tries += 1;
        self.after(backoff, Event::Tries(errand));
        true
    }

    /// Whether a tariff is binding.
    pub fn binding(&self, tariff: usize) -> bool {
        self.scenario.tariffs[tariff].is_binding()
    }

    /// New work of a tariff, as its law draws it.
    pub fn draw(&mut self, tariff: usize) -> usize {
        let t = &self.scenario.tariffs[tariff];
        let size_s = t.size.draw(&mut self.work_chance);
        let hint_s = t.hint_cv.map(|cv| size_s * noise(&mut self.work_chance, cv));
        let counted = self.clock_s() >= self.scenario.settles_s;
        let patience = ms(t.patience_ms);
        let deadline = self.now + patience;
        let leave_share = self.scenario.clients.leave_share;
        let leaves = (leave_share > 0.0 && self.work_chance.random::<f64>() < leave_share)
            .then(|| self.now + patience.scaled(self.work_chance.random::<f64>()));
        if counted {
            self.figures.came(tariff, self.now);
        }
        self.spread.offered(self.now, size_s);
        self.errands.push(Errand {
            tariff,
            size_s,
            hint_s,
            came: self.now,
            deadline,
            leaves,
            tries: 0,
            counted,
        });
        self.errands.len() - 1
    }
}

/// Some time after the clock's zero, so that spans before the start are in range.
pub const START: u64 = 1_000_000_000_000;

pub fn ms(ms: f64) -> Duration {
    Duration::from_seconds(ms / 1e3)
}

/// Hands of decisions that see more than a node can: for bounds to compare with.
pub trait Sees: Host {
    /// The executor, of these, where work of this unit's size starts first if all that was sent is known; of several the
    /// one with the largest part of its slots free, then the fastest. It counts as sent there.
    fn first_free(&mut self, unit: RequestId, among: &[usize]) -> Option<usize>;
    /// What runs and waits at an executor now, by slot.
    fn filled(&self, executor: usize) -> f64;
}

impl Sees for Hands {
    fn first_free(&mut self, unit: RequestId, among: &[usize]) -> Option<usize> {
        let mut stage = self.stage.borrow_mut();
        let stage = &mut *stage;
        let size_s = stage.errands[stage.units[unit.0 as usize].errand].size_s;
        let now = stage.now;
        // Its start, the permille of slots in use, the time that it runs; all are least where it goes.
        let mut best: Option<((Instant, usize, Duration), usize, usize)> = None;
        for &at in among {
            let slots = &stage.sight[at];
            let Some((slot, &free)) = slots.iter().enumerate().min_by_key(|(_, free)| **free) else {
                continue;
            };
            let used = slots.iter().filter(|free| **free > now).count() * 1000 / slots.len();
            let rank = (free.max(now), used, stage.machines[at].runs_for(now, size_s));
            if best.is_none_or(|(least, ..)| rank < least) {
                best = Some((rank, at, slot));
            }
        }
        let ((starts, _, runs), at, slot) = best?;
        stage.sight[at][slot] = starts + runs;
        Some(at)
    }

    fn filled(&self, executor: usize) -> f64 {
        let machine = &self.stage.borrow().machines[executor];
        let (running, waiting) = machine.filled();
        (running + waiting) as f64 / machine.make.slots as f64
    }
}

/// The hands of one node's decisions.
#[derive(Clone)]
pub struct Hands {
    pub stage: Rc<RefCell<Stage>>,
    pub node: usize,
    pub life: u32,
}

impl Host for Hands {
    fn send_attempt(&mut self, unit: RequestId, executor: ExecutorId, time_out: Duration) {
        self.stage.borrow_mut().allocate(unit.0, executor.0, time_out);
    }

    fn cancel(&mut self, allocation: AttemptId) {
        let job = Job { unit: allocation.request.0, number: allocation.number };
        self.stage.borrow_mut().gives_up(job);
    }

    fn reject(&mut self, unit: RequestId, _come_back: Option<Duration>) {
        self.stage.borrow_mut().answer(unit.0, Answer::TurnedBack);
    }

    fn fail(&mut self, unit: RequestId) {
        self.stage.borrow_mut().answer(unit.0, Answer::Forfeited);
    }

    fn set_timer(&mut self, after: Duration, alarm: u64) {
        self.stage.borrow_mut().after(after, Event::Rings(self.node, self.life, alarm));
    }

    /// Reports come with answers here, so nothing is asked for.
    fn probe(&mut self, _executor: ExecutorId) {}

    fn send_load(&mut self, node: Option<u64>, word: &[u8]) {
        let mut stage = self.stage.borrow_mut();
        let word: Rc<[u8]> = word.into();
        let (count, here) = (stage.nodes.len(), stage.nodes[self.node].zone);
        let whom = node.map_or(0..count, |node| node as usize..node as usize + 1);
        for other in whom.filter(|other| *other != self.node && *other < count) {
            let there = stage.nodes[other].zone;
            let way = stage.delay(here, there);
            stage.after(way, Event::Told(other, self.node as u64, word.clone()));
        }
    }

    fn watch_executors(&mut self) {
        self.stage.borrow_mut().call_discovery(self.node);
    }
}
