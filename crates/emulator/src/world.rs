//! The run: takes one event after the other from the agenda and tells the decisions of it.

use crate::figures::Outcome;
use crate::laws::exponential;
use crate::machine::{Job, Machine, Make};
use crate::plain::{Choice, Plain};
use crate::rules::Answer;
use crate::scenario::{Effect, Scenario, What, Whom};
use crate::stage::{Event, Hands, NodeState, START, Stage, Unit, Word, ms};
use grebeusher_dispatch::decide::Dispatcher;
use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{
    Arrival, AttemptOutcome, AttemptPolicy, Effect as DispatchEffect, ExecutorSignals, ExecutorStatus,
    ListUpdate, ListedExecutor, LoadReport, RequestClass, SlowStart,
};
use rand::distr::{Distribution, weighted::WeightedIndex};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::RefCell;
use std::rc::Rc;

/// What a node's decisions are told; the real ones, and others to compare them with.
pub trait Decide {
    fn start(&mut self, now: Instant);
    fn listed(&mut self, now: Instant, whole: bool, entries: &[ListedExecutor<'_>]);
    fn list_broken(&mut self);
    fn arrived(&mut self, now: Instant, unit: RequestId, arrival: &Arrival);
    fn noticed(&mut self, now: Instant, id: AttemptId, executor: ExecutorId);
    fn ended(
        &mut self,
        now: Instant,
        id: AttemptId,
        executor: ExecutorId,
        ending: AttemptOutcome,
        finished: bool,
        report: Option<LoadReport>,
    );
    fn finish(&mut self, unit: RequestId);
    /// Another node sent a word.
    fn told(&mut self, _now: Instant, _node: u64, _word: &[u8]) {}
    fn rang(&mut self, now: Instant, alarm: u64);
}

impl<H: Host> Decide for Dispatcher<H> {
    fn start(&mut self, now: Instant) {
        Dispatcher::start(self, now);
    }
    fn listed(&mut self, now: Instant, whole: bool, entries: &[ListedExecutor<'_>]) {
        Dispatcher::update_executors(self, now, ListUpdate::complete_if(whole), entries);
    }
    fn list_broken(&mut self) {
        Dispatcher::executor_list_lost(self);
    }
    fn arrived(&mut self, now: Instant, unit: RequestId, arrival: &Arrival) {
        Dispatcher::request_arrived(self, now, unit, arrival);
    }
    fn noticed(&mut self, now: Instant, id: AttemptId, executor: ExecutorId) {
        Dispatcher::attempt_progressed(self, now, id, executor);
    }
    fn ended(
        &mut self,
        now: Instant,
        id: AttemptId,
        executor: ExecutorId,
        ending: AttemptOutcome,
        finished: bool,
        report: Option<LoadReport>,
    ) {
        Dispatcher::attempt_ended(self, now, id, executor, ending, finished, report);
    }
    fn finish(&mut self, unit: RequestId) {
        Dispatcher::finish(self, unit);
    }
    fn told(&mut self, now: Instant, node: u64, word: &[u8]) {
        Dispatcher::load_message_received(self, now, node, word);
    }
    fn rang(&mut self, now: Instant, alarm: u64) {
        Dispatcher::timer_fired(self, now, alarm);
    }
}

/// Whose decisions a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The project's own.
    Sita,
    Random,
    LeastOut,
    /// Of two drawn by chance the one that has less now: what asking both would tell.
    TwoChoices,
    /// One queue that knows every slot at once.
    AllSeeing,
}

/// Makes the decisions of a node, by its hands, its number and a seed of its own.
pub type Maker = Box<dyn Fn(Hands, usize, u64) -> Box<dyn Decide>>;

/// The decisions as the scenario allows them.
pub fn maker(scenario: &Scenario, policy: Policy) -> Maker {
    let (n, r) = (scenario.nodes.clone(), scenario.rules);
    let tariffs: Vec<RequestClass> = scenario.tariffs.iter().map(tariff).collect();
    let binding: Vec<bool> = scenario.tariffs.iter().map(crate::scenario::Tariff::is_binding).collect();
    let choice = match policy {
        Policy::Sita => {
            return Box::new(move |hands, node, seed| {
                let allowance = AttemptPolicy {
                    max_attempts: n.most_allocations,
                    hedging: n.second_copies,
                    cancellation: n.recalls,
                    cancel_dequeues: n.recalls_stop,
                    deadline_error: Duration::from_nanos(0),
                    retry_budget: None,
                    drain_grace: Duration::from_nanos(0),
                    max_retry_after: None,
                };
                let cold = SlowStart {
                    initial_share: r.cold_share,
                    warm_up: ms(r.warm_within_s * 1e3),
                    overload_factor: r.fall_factor,
                    window: ms(r.fall_window_ms),
                    start_time_error: Duration::from_nanos(0),
                    not_before: Instant(0),
                };
                let told_count = n.told_count.unwrap_or(n.count) as u64;
                let progress_interval = Some(ms(n.progress_ms)).filter(|interval| interval.nanos() > 0);
                let dispatcher = Dispatcher::new(hands, seed, node as u64, told_count, tariffs.clone())
                    .with_attempt_policy(allowance)
                    .with_slow_start(cold)
                    .with_signals(ExecutorSignals {
                        must_watch_executors: true,
                        may_probe: false,
                        reports_starts: n.starts_told,
                        progress_interval,
                    })
                    .with_load_sharing(n.words)
                    .with_zone(node % n.zones.len());
                Box::new(dispatcher)
            });
        }
        Policy::Random => Choice::Random,
        Policy::LeastOut => Choice::LeastOut,
        Policy::TwoChoices => Choice::TwoChoices,
        Policy::AllSeeing => Choice::AllSeeing,
    };
    Box::new(move |hands, _, seed| {
        Box::new(Plain::new(hands, choice, seed, binding.clone(), n.most_allocations))
    })
}

fn tariff(t: &crate::scenario::Tariff) -> RequestClass {
    RequestClass {
        effect: match t.effect {
            Effect::Retriable => DispatchEffect::Idempotent,
            Effect::Binding => DispatchEffect::NonIdempotent,
        },
        latency_objective: ms(t.quoted_ms),
        stretch: t.stretch,
        deadline: ms(t.patience_ms),
        value: t.earnings,
        kind: None,
    }
}

/// Runs a scenario to its end: until all that came has its answer, or nobody waits for one.
pub fn run(scenario: &Scenario, seed: u64, make: &Maker) -> Outcome {
    World::new(scenario, seed, make).run()
}

/// What a fault has struck.
enum Struck {
    Executors(Vec<usize>),
    Nodes(Vec<usize>),
    Other,
}

struct World<'a> {
    stage: Rc<RefCell<Stage>>,
    make: &'a Maker,
    minds: Vec<Box<dyn Decide>>,
    struck: Vec<Struck>,
    names: Vec<String>,
    seeds: Pcg32,
    /// Until when nobody comes.
    silent_until: Instant,
    ends: Instant,
}

impl<'a> World<'a> {
    fn new(scenario: &Scenario, seed: u64, make: &'a Maker) -> World<'a> {
        let mut seeds = Pcg32::seed_from_u64(seed);
        let chance = || Pcg32::seed_from_u64(seeds.random());
        let zones = scenario.nodes.zones.len();
        let node = |at: usize| NodeState { zone: at % zones, up: true, life: 0, died: None, watches: false };
        let nodes: Vec<NodeState> = (0..scenario.nodes.count).map(node).collect();
        let mut machines = Vec::new();
        let (mut names, mut kinds) = (Vec::new(), Vec::new());
        for (of, zone) in scenario.places() {
            let e = &scenario.executors[of];
            let kind = kinds.iter().position(|kind| *kind == e.kind).unwrap_or(kinds.len());
            if kind == kinds.len() {
                kinds.push(e.kind.clone());
            }
            let make = Make { kind, zone, slots: e.slots as usize, of: e.clone() };
            names.push(format!("{}-{}", e.kind, machines.len()));
            machines.push(Machine::new(make, (!e.warm_at_start).then_some(Instant(START))));
        }
        let stage = Rc::new(RefCell::new(Stage::new(scenario.clone(), chance, nodes, machines)));
        let ends = Instant(START) + ms(scenario.length_s * 1e3);
        let struck = scenario.faults.iter().map(|_| Struck::Other).collect();
        let minds = Vec::new();
        let mut world = World { stage, make, minds, struck, names, seeds, silent_until: Instant(0), ends };
        for node in 0..scenario.nodes.count {
            let mind = world.mind(node);
            world.minds.push(mind);
            world.wakes(node);
        }
        {
            let mut stage = world.stage.borrow_mut();
            for (at, fault) in scenario.faults.iter().enumerate() {
                stage.after(ms(fault.at_s * 1e3), Event::Strikes(at));
                stage.after(ms((fault.at_s + fault.for_s) * 1e3), Event::Mends(at));
            }
            for tariff in 0..scenario.tariffs.len() {
                next_comes(&mut stage, tariff);
            }
        }
        world
    }

    fn mind(&mut self, node: usize) -> Box<dyn Decide> {
        let life = self.stage.borrow().nodes[node].life;
        let hands = Hands { stage: self.stage.clone(), node, life };
        (self.make)(hands, node, self.seeds.random())
    }

    /// A node starts, with the list as it is.
    fn wakes(&mut self, node: usize) {
        let now = self.stage.borrow().now;
        self.minds[node].start(now);
        self.whole_list(node);
    }

    fn whole_list(&mut self, node: usize) {
        let entries: Vec<(usize, ExecutorStatus, Option<Instant>)> = {
            let stage = self.stage.borrow();
            let entry = |(at, m): (usize, &Machine)| (at, m.standing, m.started);
            stage.machines.iter().enumerate().map(entry).collect()
        };
        self.tells_list(node, true, &entries);
    }

    /// A node hears what the list says of some executors, or of all.
    fn tells_list(&mut self, node: usize, whole: bool, entries: &[(usize, ExecutorStatus, Option<Instant>)]) {
        let listings: Vec<ListedExecutor> = {
            let mut stage = self.stage.borrow_mut();
            let now = stage.now;
            for &(at, standing, started) in entries {
                stage.book.told(now, node, at, standing == ExecutorStatus::Ready, started);
            }
            let listing = |&(at, standing, started): &(usize, ExecutorStatus, Option<Instant>)| {
                let make = &stage.machines[at].make;
                let (executor, name, kind, zone) = (ExecutorId(at), &self.names[at], make.kind, make.zone);
                ListedExecutor {
                    executor,
                    name,
                    status: standing,
                    started,
                    kind,
                    zone,
                    cell: 0,
                    weight: 1.0,
                    reports_own_status: false,
                }
            };
            entries.iter().map(listing).collect()
        };
        // The stage is left before the decisions are spoken to, which act on it.
        let now = self.stage.borrow().now;
        self.minds[node].listed(now, whole, &listings);
    }

    fn run(mut self) -> Outcome {
        while let Some(event) = { self.stage.borrow_mut().next_event() } {
            // Housekeeping goes on for ever; when all is over nothing else is left.
            if self.stage.borrow().now > self.ends && self.is_over() {
                break;
            }
            self.happens(event);
        }
        Outcome::of(&mut self.stage.borrow_mut())
    }

    fn is_over(&self) -> bool {
        // Patience bounds all: the last that came has its answer, or a breach instead of one.
        let stage = self.stage.borrow();
        let longest = stage.scenario.tariffs.iter().map(|t| t.patience_ms).fold(0.0, f64::max);
        let open = stage.units.iter().rev().take_while(|unit| {
            stage.errands[unit.errand].deadline + ms(stage.scenario.rules.slack_ms + longest) > self.ends
        });
        let now = stage.now;
        let slack = ms(stage.scenario.rules.slack_ms + 1.0);
        open.into_iter()
            .all(|unit| unit.answered || unit.gone || now > stage.errands[unit.errand].deadline + slack)
    }

    fn happens(&mut self, event: Event) {
        let now = self.stage.borrow().now;
        match event {
            Event::Comes(tariff) => {
                if now >= self.ends {
                    return;
                }
                let errand = {
                    let mut stage = self.stage.borrow_mut();
                    next_comes(&mut stage, tariff);
                    (now >= self.silent_until).then(|| stage.draw(tariff))
                };
                if let Some(errand) = errand {
                    self.tries(errand);
                }
            }
            Event::Tries(errand) => self.tries(errand),
            Event::Leaves(unit) => self.leaves(unit),
            Event::PatienceEnds(unit) => self.stage.borrow_mut().book.due(now, unit),
            Event::Reaches(job, fresh) => self.stage.borrow_mut().reaches(job, fresh),
            Event::Progresses(at, life, job) => self.stage.borrow_mut().progresses(at, life, job),
            Event::RunEnds(at, life, job) => self.stage.borrow_mut().run_ends(at, life, job),
            Event::Cancels(job) => self.stage.borrow_mut().cancels(job),
            Event::Hears(job, word) => self.hears(job, word),
            Event::TimesOut(job) => self.times_out(job),
            Event::GivesUp(job) => self.stage.borrow_mut().gives_up(job),
            Event::Rings(node, life, alarm) => {
                if self.lives(node, life) {
                    self.minds[node].rang(now, alarm);
                }
            }
            Event::Lists(node, life, at, standing, started) => {
                if self.lives(node, life) {
                    self.tells_list(node, false, &[(at, standing, started)]);
                }
            }
            Event::ListCall(node, life, had) => {
                if self.lives(node, life) {
                    self.stage.borrow_mut().nodes[node].watches = had;
                    if had { self.whole_list(node) } else { self.minds[node].list_broken() }
                }
            }
            Event::Told(node, from, word) => {
                if self.stage.borrow().nodes[node].up {
                    self.minds[node].told(now, from, &word);
                }
            }
            Event::Strikes(fault) => self.strikes(fault),
            Event::Mends(fault) => self.mends(fault),
            Event::Rises(at, life) => {
                let mut stage = self.stage.borrow_mut();
                if stage.machines[at].life == life && !stage.machines[at].up {
                    stage.rises(at);
                    stage.list_changes(at, ExecutorStatus::Ready);
                }
            }
        }
    }

    fn lives(&self, node: usize, life: u32) -> bool {
        let stage = self.stage.borrow();
        stage.nodes[node].up && stage.nodes[node].life == life
    }

    /// A client brings its work to a node that the front deals it to.
    fn tries(&mut self, errand: usize) {
        const KNOCK_AGAIN: Duration = Duration::from_millis(50);
        let (unit, node, arrival) = {
            let mut stage = self.stage.borrow_mut();
            let stage = &mut *stage;
            let now = stage.now;
            let notice = ms(stage.scenario.clients.front_notice_ms);
            let dealt = |n: &NodeState| n.up || n.died.is_some_and(|at| now < at + notice);
            // The first that the front deals to: all of them alike, and next to never none in so many.
            const LOOKS: usize = 100;
            let count = stage.nodes.len();
            let (chance, shares) = (&mut stage.front_chance, &stage.shares);
            let mut looks = (0..LOOKS).map(|_| deals(chance, shares.as_ref(), count));
            let node = looks.find(|&at| dealt(&stage.nodes[at])).filter(|&at| stage.nodes[at].up);
            let e = &stage.errands[errand];
            let (deadline, leaves, tariff) = (e.deadline, e.leaves, e.tariff);
            let Some(node) = node else {
                if now + KNOCK_AGAIN >= deadline {
                    return stage.figures.lost(e);
                }
                return stage.after(KNOCK_AGAIN, Event::Tries(errand));
            };
            let arrival = Arrival {
                class: tariff,
                customer: 0,
                deadline,
                repeat: e.tries > 0,
                hint: e.hint_s.map(Duration::from_seconds),
                slots: 1.0,
                over_budget: false,
            };
            let unit = stage.units.len() as u64;
            let life = stage.nodes[node].life;
            let (answered, gone, started) = (false, false, false);
            stage.units.push(Unit { errand, node, life, answered, gone, started, sent: Vec::new() });
            stage.book.taken(unit, stage.binding(tariff), deadline);
            stage.at(
                deadline + ms(stage.scenario.rules.slack_ms) + Duration::from_nanos(1),
                Event::PatienceEnds(unit),
            );
            if let Some(leaves) = leaves {
                stage.at(leaves.max(now), Event::Leaves(unit));
            }
            (unit, node, arrival)
        };
        let now = self.stage.borrow().now;
        self.minds[node].arrived(now, RequestId(unit), &arrival);
    }

    fn leaves(&mut self, unit: u64) {
        let node = {
            let mut stage = self.stage.borrow_mut();
            let stage = &mut *stage;
            let taken = &mut stage.units[unit as usize];
            if taken.answered || taken.gone {
                return;
            }
            taken.gone = true;
            stage.book.gone(stage.now, unit);
            stage.figures.left(&stage.errands[taken.errand]);
            taken.node
        };
        self.minds[node].finish(RequestId(unit));
    }

    fn hears(&mut self, Job { unit, number }: Job, word: Word) {
        let now = self.stage.borrow().now;
        let id = AttemptId { request: RequestId(unit), number };
        let (node, life, executor, open, waits) = {
            let stage = self.stage.borrow();
            let taken = &stage.units[unit as usize];
            let sent = &taken.sent[number];
            (taken.node, taken.life, ExecutorId(sent.executor), sent.open, !taken.answered && !taken.gone)
        };
        if !self.lives(node, life) {
            return;
        }
        let (ending, report) = match word {
            Word::Runs if open => return self.minds[node].noticed(now, id, executor),
            Word::Runs => return,
            Word::Done(report) => (AttemptOutcome::Served, report),
            Word::Ended(ending, report) => (ending, report),
        };
        if ending == AttemptOutcome::Served && waits {
            self.stage.borrow_mut().answer(unit, Answer::Fulfilled);
        }
        if open {
            self.ended(node, id, executor, ending, report);
        } else if ending == AttemptOutcome::Served && waits {
            // Its allocation had ended, and yet it was done: the result is as good as any.
            self.minds[node].finish(id.request);
        }
    }

    fn ended(
        &mut self,
        node: usize,
        id: AttemptId,
        executor: ExecutorId,
        ending: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let (now, finished) = {
            let mut stage = self.stage.borrow_mut();
            let taken = &mut stage.units[id.request.0 as usize];
            taken.sent[id.number].open = false;
            let finished = taken.answered || taken.gone;
            (stage.now, finished)
        };
        self.minds[node].ended(now, id, executor, ending, finished, report);
    }

    fn times_out(&mut self, job: Job) {
        let (node, life, executor, open) = {
            let stage = self.stage.borrow();
            let taken = &stage.units[job.unit as usize];
            let sent = &taken.sent[job.number];
            (taken.node, taken.life, ExecutorId(sent.executor), sent.open)
        };
        if open && self.lives(node, life) {
            self.stage.borrow_mut().gives_up(job);
            let id = AttemptId { request: RequestId(job.unit), number: job.number };
            self.ended(node, id, executor, AttemptOutcome::TimedOut, None);
        }
    }

    /// Those that a fault strikes, out of all that stand in these zones.
    fn whom(&self, fault: usize, zones: &[usize]) -> Vec<usize> {
        let mut stage = self.stage.borrow_mut();
        let Stage { scenario, fault_chance, .. } = &mut *stage;
        scenario.whom(&scenario.faults[fault], zones, fault_chance)
    }

    fn strikes(&mut self, fault: usize) {
        let (what, factor, until, zone) = {
            let stage = self.stage.borrow();
            let f = &stage.scenario.faults[fault];
            let zone = f.zone.as_ref().and_then(|name| stage.scenario.zone(name));
            (f.what, f.slows_by(), stage.now + ms(f.for_s * 1e3), zone)
        };
        let (executors, nodes) = {
            let stage = self.stage.borrow();
            let machines: Vec<usize> = stage.machines.iter().map(|m| m.make.zone).collect();
            (machines, stage.nodes.iter().map(|n| n.zone).collect::<Vec<usize>>())
        };
        self.struck[fault] = match what {
            _ if what.whom() == Whom::Executors => {
                let whom = self.whom(fault, &executors);
                let mut stage = self.stage.borrow_mut();
                for &at in &whom {
                    match what {
                        What::KillExecutors if stage.machines[at].up => stage.kill(at),
                        What::DrainExecutors => stage.list_changes(at, ExecutorStatus::Draining),
                        What::SlowExecutors => stage.machines[at].slower *= factor,
                        What::FailExecutors => stage.machines[at].fails += 1,
                        What::FlatterExecutors => stage.machines[at].flatters += 1,
                        What::UnlistExecutors => stage.list_changes(at, ExecutorStatus::Gone),
                        _ => {}
                    }
                }
                Struck::Executors(whom)
            }
            What::RestartNodes => {
                let whom = self.whom(fault, &nodes);
                whom.iter().for_each(|&node| self.node_dies(node));
                Struck::Nodes(whom)
            }
            What::CutZone => {
                self.stage.borrow_mut().cuts.extend(zone.map(|zone| (zone, until)));
                Struck::Other
            }
            What::DiscoveryDown => {
                let mut stage = self.stage.borrow_mut();
                stage.discovery_down += 1;
                for node in 0..stage.nodes.len() {
                    if std::mem::replace(&mut stage.nodes[node].watches, false) {
                        let life = stage.nodes[node].life;
                        stage.after(Duration::from_millis(1), Event::ListCall(node, life, false));
                    }
                }
                Struck::Other
            }
            What::Silence => {
                self.silent_until = until;
                Struck::Other
            }
            // The model has no more: a scenario with others is refused before it is played.
            _ => Struck::Other,
        };
    }

    fn mends(&mut self, fault: usize) {
        let (what, factor, now) = {
            let stage = self.stage.borrow();
            let f = &stage.scenario.faults[fault];
            (f.what, f.slows_by(), stage.now)
        };
        match std::mem::replace(&mut self.struck[fault], Struck::Other) {
            Struck::Executors(whom) => {
                let mut stage = self.stage.borrow_mut();
                for at in whom {
                    match what {
                        What::KillExecutors => {
                            let life = stage.machines[at].life;
                            stage.at(now, Event::Rises(at, life));
                        }
                        What::DrainExecutors => {
                            if stage.machines[at].up {
                                stage.kill(at);
                            }
                            stage.list_changes(at, ExecutorStatus::Gone);
                            let life = stage.machines[at].life;
                            stage.after(Duration::from_millis(1000), Event::Rises(at, life));
                        }
                        What::SlowExecutors => stage.machines[at].slower /= factor,
                        What::FailExecutors => stage.machines[at].fails -= 1,
                        What::FlatterExecutors => stage.machines[at].flatters -= 1,
                        What::UnlistExecutors if stage.machines[at].up => {
                            stage.list_changes(at, ExecutorStatus::Ready);
                        }
                        _ => {}
                    }
                }
            }
            Struck::Nodes(whom) => {
                for node in whom {
                    if self.stage.borrow().nodes[node].up {
                        continue;
                    }
                    self.stage.borrow_mut().nodes[node].up = true;
                    let mind = self.mind(node);
                    self.minds[node] = mind;
                    self.wakes(node);
                }
            }
            Struck::Other => {
                if what == What::DiscoveryDown {
                    self.stage.borrow_mut().discovery_down -= 1;
                }
            }
        }
    }

    /// All that the node had in hand is lost with it; what is binding nobody may bring again.
    fn node_dies(&mut self, node: usize) {
        let mut stage = self.stage.borrow_mut();
        let stage = &mut *stage;
        if !stage.nodes[node].up {
            return;
        }
        let n = &mut stage.nodes[node];
        (n.up, n.watches, n.died, n.life) = (false, false, Some(stage.now), n.life + 1);
        for unit in 0..stage.units.len() {
            let taken = &mut stage.units[unit];
            if taken.node != node || taken.answered || taken.gone {
                continue;
            }
            taken.gone = true;
            let errand = taken.errand;
            stage.book.gone(stage.now, unit as u64);
            let binding = stage.binding(stage.errands[errand].tariff);
            if binding || !stage.tries_again(errand) {
                stage.figures.lost(&stage.errands[errand]);
            }
        }
    }
}

/// The node that the front deals to.
pub fn deals(chance: &mut impl Rng, shares: Option<&WeightedIndex<f64>>, count: usize) -> usize {
    match shares.map(|shares| shares.sample(chance)) {
        Some(at) => at,
        None => chance.random_range(0..count),
    }
}

/// The next work of a tariff comes after a gap that remembers nothing.
fn next_comes(stage: &mut Stage, tariff: usize) {
    let gap_s = exponential(&mut stage.work_chance) / stage.scenario.tariffs[tariff].per_s;
    stage.after(Duration::from_seconds(gap_s), Event::Comes(tariff));
}
