//! The fleet: machines with real nodes, stand-ins around them, faults, and the clock that drives them all.

mod build;
mod closing;
mod cuts;
mod departures;
mod executor_faults;
mod faults;
pub mod hollow;
mod lives;
mod losses;
mod orders;
mod rollouts;
mod settings;
mod step;
mod strikes;
mod watch;
pub mod wave;

use crate::clients::Clients;
use crate::executors::Executors;
use crate::hub::{Happening, Owner, SharedHub};
use crate::judge::{Breach, Counts, Judge};
use crate::operators::Operators;
use crate::scenario::Scenario;
use crate::stage::{Machine, Stage};
use crate::times::Times;
use crate::world::SharedDisk;
use grebeusher_tier::node::Node;
use grebeusher_time::{Duration, Instant};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use step::Step;
use watch::Watch;

/// Lines of a trace.
const MAX_LINES: usize = 400;
/// A storm ends here at the latest.
const LONGEST: Duration = Duration::from_millis(600_000);

/// What a storm came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// Broken rules.
    pub breaches: Vec<Breach>,
    /// What happened, in numbers.
    pub counts: Counts,
    /// What happened, in lines.
    pub trace: Vec<String>,
    /// How long things took.
    pub times: Times,
    /// Turns of loops.
    pub turns: u64,
    /// A hash over all that happened, the same whenever the same storm is run.
    pub digest: u64,
}

struct Hardware {
    disk: SharedDisk,
    has_disk: bool,
    settings: Rc<RefCell<String>>,
    wall_offset_ms: i64,
    /// Whether it is to start again when its process ends.
    stays: bool,
    lost_until: Option<Instant>,
    started_before: bool,
    /// Whether its disk was lost since it ran last.
    wiped: bool,
    /// Whether it starts next with an empty disk in a tier that is there.
    empty: bool,
    /// Whether a successor is there and it is about to be removed.
    replaced: bool,
}

struct Armed {
    after: Duration,
    wipe: bool,
    for_s: f64,
}

/// One storm under way.
pub struct Fleet {
    scenario: Scenario,
    hub: SharedHub,
    judge: Judge,
    machines: Vec<Machine>,
    hardware: Vec<Hardware>,
    nodes: BTreeMap<usize, Node>,
    executors: Executors,
    clients: Clients,
    operators: Operators,
    steps: Vec<Step>,
    seeds: Vec<SocketAddrV4>,
    armed: Vec<Armed>,
    armed_for_jobs: Vec<Armed>,
    armed_for_rollouts: Vec<Armed>,
    taken: usize,
    acknowledged: usize,
    emptied: usize,
    /// When a machine was emptied and removed, another one loses its disk for so long.
    wipe_after_retire: Option<f64>,
    next_executor: usize,
    rollouts: rollouts::Rollouts,
    cuts: usize,
    closing: Option<(Instant, Instant)>,
    closing_after: Duration,
    over: bool,
    trace: Vec<String>,
    turns: u64,
    digest: u64,
    meter: Option<hollow::Meter>,
    watch: Watch,
}

/// Runs a scenario's storm of a seed.
pub fn run(scenario: &Scenario, seed: u64) -> Report {
    let mut fleet = Fleet::new(scenario.clone(), seed);
    fleet.run()
}

impl Fleet {
    /// Has the stand-ins do something on the stage.
    fn stage<T>(&mut self, act: impl FnOnce(&mut Actors<'_>, &mut Stage<'_>) -> T) -> T {
        let mut hub = self.hub.borrow_mut();
        let mut stage = Stage { hub: &mut hub, judge: &mut self.judge, machines: &mut self.machines };
        let mut actors = Actors {
            executors: &mut self.executors,
            clients: &mut self.clients,
            operators: &mut self.operators,
        };
        act(&mut actors, &mut stage)
    }

    fn now(&self) -> Instant {
        self.hub.borrow().now
    }

    fn later(&mut self, after: Duration, step: Step) {
        self.steps.push(step);
        let mut hub = self.hub.borrow_mut();
        let at = hub.now + after;
        hub.schedule(at, Happening::Step(self.steps.len() - 1));
    }

    fn note(&mut self, line: &str) {
        if self.trace.len() < MAX_LINES {
            let seconds = self.now().0 as f64 / 1e9;
            self.trace.push(format!("{seconds:7.3} {line}"));
        }
    }

    fn run(&mut self) -> Report {
        let end = Instant(0) + LONGEST;
        while !self.over {
            let Some(happening) = self.next(end) else { break };
            self.happens(happening);
        }
        let now = self.now();
        let closing = self.closing;
        self.stage(|actors, stage| {
            actors.clients.close(stage);
            actors.operators.close(stage);
        });
        self.judge.close(closing, now);
        for life in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.hub.borrow_mut().end_process(life, true);
        }
        self.nodes.clear();
        let mut times = std::mem::take(&mut self.watch.times);
        times.taken.extend(self.judge.times());
        Report {
            times,
            breaches: std::mem::take(&mut self.judge.breaches),
            counts: self.judge.counts,
            trace: std::mem::take(&mut self.trace),
            turns: self.turns,
            digest: self.digest,
        }
    }

    fn next(&mut self, until: Instant) -> Option<Happening> {
        self.hub.borrow_mut().next(until)
    }

    fn happens(&mut self, happening: Happening) {
        match happening {
            Happening::Opening { connection, attempt } => self.hub.borrow_mut().opening(connection, attempt),
            Happening::Opened { connection, accepted } => self.hub.borrow_mut().opened(connection, accepted),
            Happening::Arrival { connection, side } => self.hub.borrow_mut().arrival(connection, side),
            Happening::Turn { process, stamp } => self.turn(process, stamp),
            Happening::Socket { end } => {
                let Some(owner) = self.hub.borrow_mut().told(end) else { return };
                self.stage(|actors, stage| match owner {
                    Owner::Executor(number) => actors.executors.socket(number, end, stage),
                    Owner::Clients => actors.clients.socket(end, stage),
                    Owner::Operators => actors.operators.socket(end, stage),
                    Owner::Process(_) => {}
                });
                self.look_at_orders();
            }
            Happening::Wake { owner, token } => {
                self.stage(|actors, stage| match owner {
                    Owner::Executor(number) => actors.executors.wake(number, token, stage),
                    Owner::Clients => actors.clients.wake(token, stage),
                    Owner::Operators => actors.operators.wake(token, stage),
                    Owner::Process(_) => {}
                });
            }
            Happening::Step(step) => {
                let step = self.steps[step].clone();
                self.step(step);
            }
        }
    }
}

/// The stand-ins.
struct Actors<'a> {
    executors: &'a mut Executors,
    clients: &'a mut Clients,
    operators: &'a mut Operators,
}
