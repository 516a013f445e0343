//! The plan and how far each machine is, as the keepers agree on it.

mod messages;
mod nodes;
mod progress;
mod shown;

pub use messages::{Ask, Command, Moved, Outcome, Permit, Phase, Seen, Stage, Step, View, ZoneSeen};
pub use nodes::node_name;
pub use shown::{Shown, ShownMachine};

use crate::LONG;
use crate::plan::Plan;
use grebeusher_budgets::Holder;
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Machine {
    name: String,
    /// The number of the node that it is; none for executors.
    node: Option<u32>,
    hash: u64,
    zone: String,
    phase: Phase,
    since_ms: u64,
    /// Of the decision that brought it there.
    number: u64,
    /// Whether the list has been heard of it since the plan began. Guards against a start that was always there being taken
    /// for a new one.
    seen: bool,
    ready: bool,
    started_ms: u64,
    /// The decision that closed it, and the start that it had then.
    closed_by: u64,
    closed_start_ms: u64,
    why: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Sender {
    /// The newest that was heard of it.
    ask: u32,
    until_ms: u64,
    socket: u64,
    /// Another life has its socket, so it is dead.
    dead: bool,
    knows: u64,
    /// By the hash of the machine.
    in_hand: BTreeMap<u64, u16>,
    through: bool,
    units: u64,
    turned_back: u64,
}

impl Sender {
    /// It sends nothing there any more, and has nothing there.
    fn is_through(&self, machine: &Machine) -> bool {
        self.knows >= machine.closed_by && !self.in_hand.contains_key(&machine.hash)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum Standing {
    Runs,
    /// By staff.
    Paused,
    /// By itself, and why.
    Stopped(String),
    Withdrawn,
    Over,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Plans {
    plan: Plan,
    standing: Standing,
    began_ms: u64,
    /// Executors that were away as it began, by zone: not this plan's.
    away_before: BTreeMap<String, u32>,
    machines: Vec<Machine>,
    /// What holds the next machine up, if anything.
    waits_for: String,
    /// When a reason to stop was last seen.
    hurt_ms: Option<u64>,
}

/// What the keepers agree on. The clock is that of the steps, and runs no faster than any keeper's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Works {
    clock_ms: u64,
    permission_ms: u64,
    /// How many nodes there are: each may send until it has said otherwise.
    nodes: u32,
    /// The numbers of those nodes that agree on this.
    keepers: Vec<u32>,
    number: u64,
    /// As it begins nobody gets a permission before all nodes have said what they keep closed, or this is over: an earlier
    /// state may have been lost.
    quiet_until_ms: u64,
    heard: BTreeSet<u32>,
    senders: BTreeMap<Holder, Sender>,
    /// Where each node stands, also while it is away.
    node_zones: BTreeMap<u32, String>,
    /// Machines that an earlier plan has left closed, and the start that they had.
    orphans: BTreeMap<u64, Option<u64>>,
    view: View,
    /// Units and those turned back at all nodes, as time goes on: what was there by then.
    tides: Vec<(u64, u64, u64)>,
    told: (u64, u64),
    plans: Option<Plans>,
    /// Answers to commands, the newest last.
    answers: Vec<(u64, String)>,
}

/// What turned back and taken in says over.
const TIDE_MS: u64 = 5000;
/// Answers that are kept for those who ask again.
const ANSWERS: usize = 16;

impl Works {
    /// Nothing is planned. Permissions last so long; so many nodes may send.
    pub fn empty(permission: Duration, nodes: u32, keepers: &[u32]) -> Works {
        let permission_ms = permission.nanos() / 1_000_000;
        Works {
            clock_ms: 0,
            permission_ms,
            nodes,
            keepers: keepers.to_vec(),
            number: 0,
            quiet_until_ms: permission_ms / 2,
            heard: BTreeSet::new(),
            senders: BTreeMap::new(),
            node_zones: BTreeMap::new(),
            orphans: BTreeMap::new(),
            view: View::default(),
            tides: Vec::new(),
            told: (0, 0),
            plans: None,
            answers: Vec::new(),
        }
    }

    /// Whether time alone moves it on.
    pub fn waits(&self) -> bool {
        self.plans.as_ref().is_some_and(|plans| plans.standing != Standing::Over)
    }

    /// The machines of which whoever leads should say how they are listed, by the hashes of their names.
    pub fn watched(&self) -> impl Iterator<Item = u64> {
        let machines = self.plans.iter().flat_map(|plans| &plans.machines);
        let planned = machines.filter(|machine| machine.node.is_none()).map(|machine| machine.hash);
        planned.chain(self.orphans.keys().copied())
    }

    /// What the list said last.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// How far each machine of the plan is, by its name.
    pub fn phases(&self) -> impl Iterator<Item = (&str, Phase)> {
        self.plans.iter().flat_map(|plans| &plans.machines).map(|m| (m.name.as_str(), m.phase))
    }

    /// Nobody may send to this machine and nobody has anything there: the number of the decision by which it is out. Whoever
    /// works on it does so once for each.
    pub fn out(&self, name: &str) -> Option<u64> {
        let mut machines = self.plans.iter().flat_map(|plans| &plans.machines);
        machines.find(|m| m.name == name && m.phase == Phase::Out).map(|m| m.number)
    }

    /// These steps were settled, so many milliseconds after the ones before; what comes of them.
    pub fn apply(&mut self, passed_ms: u64, steps: Vec<Step>, hash: fn(&str) -> u64) -> Vec<Outcome> {
        self.clock_ms += passed_ms;
        let mut outcomes = Vec::new();
        let mut asks = Vec::new();
        for step in steps {
            match step {
                Step::Asks(ask) => {
                    self.hears(&ask);
                    asks.push(ask);
                }
                Step::Sees(view) => self.sees(view),
                Step::Says(name, command) => self.told_to(name, command, hash, &mut outcomes),
            }
        }
        self.tidies();
        if let Some(mut plans) = self.plans.take() {
            self.sees_nodes(&mut plans.machines);
            self.plans = Some(plans);
        }
        self.moves_on(&mut outcomes);
        let quiet = self.clock_ms < self.quiet_until_ms && (self.heard.len() as u32) < self.nodes;
        if !quiet {
            let permits = asks.into_iter().map(|ask| Outcome::Permit(self.permits(ask)));
            outcomes.extend(permits.collect::<Vec<_>>());
        }
        outcomes
    }

    fn hears(&mut self, ask: &Ask) {
        // One that is out sends nothing before it hears that it may: it is no sender that anything waits for.
        let is_out = |machine: &Machine| {
            machine.node == Some(ask.holder.number) && matches!(machine.phase, Phase::Out | Phase::Lost)
        };
        let out = self.plans.iter().flat_map(|plans| &plans.machines).any(is_out);
        // One ask may overtake another: what the older one says is not true any more. Guards against work that was sent since, and
        // against a node that was through and has been taken back.
        let overtaken = |sender: &Sender| sender.ask.wrapping_sub(ask.ask) < u32::MAX / 2;
        if (out && ask.through) || self.senders.get(&ask.holder).is_some_and(overtaken) {
            return;
        }
        let until_ms = self.clock_ms + self.permission_ms;
        self.heard.insert(ask.holder.number);
        if self.node_zones.get(&ask.holder.number) != Some(&ask.zone) {
            self.node_zones.insert(ask.holder.number, ask.zone.clone());
        }
        // What an asker keeps closed and nobody here knows of was closed by a state that is lost.
        if ask.knows > self.number {
            let stages = self.stages(None);
            let lost = ask.closed.iter().filter(|machine| !stages.iter().any(|(own, _)| own == *machine));
            let lost: Vec<u64> = lost.copied().collect();
            if !lost.is_empty() {
                self.number = self.number.max(ask.knows) + 1;
                self.orphans.extend(lost.into_iter().map(|machine| (machine, None)));
            }
        }
        let Ask { knows, units, turned_back, .. } = *ask;
        let before = self.senders.get(&ask.holder).map(|sender| (sender.units, sender.turned_back));
        let (units_before, back_before) = before.unwrap_or_default();
        let in_hand = ask.in_hand.iter().copied().collect();
        self.told.0 += units.saturating_sub(units_before);
        self.told.1 += turned_back.saturating_sub(back_before);
        // Two lives never have one socket: who comes back in the stead of one that died must not wait for the dead one's time.
        let Holder { number, generation } = ask.holder;
        let earlier = Holder { number, generation: 0 }..Holder { number, generation };
        let died =
            self.senders.range_mut(earlier).filter(|(_, sender)| sender.socket == ask.socket && !sender.dead);
        died.for_each(|(_, sender)| {
            (sender.dead, sender.until_ms) = (true, sender.until_ms.min(self.clock_ms));
        });
        self.senders.insert(
            ask.holder,
            Sender {
                ask: ask.ask,
                until_ms,
                socket: ask.socket,
                dead: false,
                knows,
                in_hand,
                through: ask.through,
                units,
                turned_back,
            },
        );
    }

    fn sees(&mut self, view: View) {
        let machines = self.plans.iter_mut().flat_map(|plans| &mut plans.machines);
        for machine in machines {
            if let Some(seen) = view.machines.iter().find(|seen| seen.machine == machine.hash) {
                (machine.seen, machine.ready, machine.started_ms) = (true, seen.ready, seen.started_ms);
            }
        }
        let mut back = Vec::new();
        for (machine, start) in &mut self.orphans {
            match view.machines.iter().find(|seen| seen.machine == *machine) {
                Some(seen) if start.is_some_and(|start| seen.ready && seen.started_ms > start) => {
                    back.push(*machine);
                }
                Some(seen) if start.is_none() => *start = Some(seen.started_ms),
                _ => {}
            }
        }
        for machine in &back {
            self.orphans.remove(machine);
        }
        self.number += u64::from(!back.is_empty());
        self.view = view;
    }

    fn told_to(&mut self, name: u64, command: Command, hash: fn(&str) -> u64, outcomes: &mut Vec<Outcome>) {
        if self.answers.iter().any(|(known, _)| *known == name) {
            return;
        }
        let under_way = self.plans.as_ref().filter(|plans| plans.standing != Standing::Over);
        let answer = match (command, under_way.is_some()) {
            (Command::Submit(plan), false) => match plan.check().and_then(|()| self.has_nodes(&plan)) {
                Err(wrong) => format!("refused: {wrong}"),
                Ok(()) => {
                    let count = plan.machines.len() + plan.nodes.len();
                    let answer = format!("taken: {}, {count} machines", plan.name);
                    self.begins(*plan, hash);
                    answer
                }
            },
            (Command::Submit(_), true) => {
                let name = under_way.map_or("", |plans| plans.plan.name.as_str());
                format!("refused: the plan {name:?} is under way")
            }
            (_, false) => "refused: no plan is under way".to_owned(),
            (Command::Idle(machine, number), true) => match self.is_idle(&machine, number, outcomes) {
                true => format!("{machine} is out"),
                false => format!("refused: {machine} was not made quiet by decision {number}"),
            },
            (command, true) => {
                let (standing, said) = match command {
                    Command::Pause => (Standing::Paused, "paused"),
                    Command::Withdraw => (Standing::Withdrawn, "withdrawn"),
                    _ => (Standing::Runs, "goes on"),
                };
                let withdraws = standing == Standing::Withdrawn;
                let was_withdrawn =
                    self.plans.as_ref().is_some_and(|plans| plans.standing == Standing::Withdrawn);
                if let Some(plans) = self.plans.as_mut().filter(|_| !was_withdrawn) {
                    (plans.standing, plans.hurt_ms) = (standing, None);
                }
                if withdraws {
                    self.gives_back();
                }
                if was_withdrawn { "refused: it was withdrawn".to_owned() } else { said.to_owned() }
            }
        };
        outcomes.push(Outcome::Moved(Moved { number: self.number, what: answer.clone() }));
        self.answers.push((name, answer));
        if self.answers.len() > ANSWERS {
            self.answers.remove(0);
        }
    }

    fn begins(&mut self, plan: Plan, hash: fn(&str) -> u64) {
        // What an earlier plan has left closed stays closed until it is back.
        let left = self.plans.iter().flat_map(|plans| &plans.machines);
        let left = left.filter(|machine| machine.phase == Phase::Lost && machine.node.is_none());
        let left: Vec<_> = left.map(|machine| (machine.hash, Some(machine.closed_start_ms))).collect();
        self.orphans.extend(left);
        let away = |zone: &ZoneSeen| (zone.zone.clone(), zone.listed.saturating_sub(zone.ready));
        let machine = |name: String, zone: String, node: Option<u32>| Machine {
            hash: hash(&name),
            name,
            node,
            zone,
            phase: Phase::Waiting,
            since_ms: self.clock_ms,
            number: self.number + 1,
            seen: false,
            ready: true,
            started_ms: 0,
            closed_by: 0,
            closed_start_ms: 0,
            why: String::new(),
        };
        let zone = |at: usize| plan.zones.get(at).cloned().unwrap_or_default();
        let executors =
            plan.machines.iter().enumerate().map(|(at, name)| machine(name.clone(), zone(at), None));
        let nodes =
            plan.nodes.iter().map(|node| machine(nodes::node_name(*node), String::new(), Some(*node)));
        let machines: Vec<Machine> = executors.chain(nodes).collect();
        for machine in &machines {
            self.orphans.remove(&machine.hash);
        }
        self.number += 1;
        self.plans = Some(Plans {
            standing: Standing::Runs,
            began_ms: self.clock_ms,
            away_before: self.view.zones.iter().map(away).collect(),
            machines,
            waits_for: "a word of the list".to_owned(),
            hurt_ms: None,
            plan,
        });
    }

    fn is_idle(&mut self, name: &str, number: u64, outcomes: &mut Vec<Outcome>) -> bool {
        let Some(mut plans) = self.plans.take() else { return false };
        let machine = plans.machines.iter_mut().find(|m| m.name == name);
        let machine = machine.filter(|m| m.phase == Phase::Quiet && m.number == number);
        let well = machine.is_some();
        if let Some(machine) = machine {
            self.goes(machine, Phase::Out, "seen idle".to_owned(), outcomes);
        }
        self.plans = Some(plans);
        well
    }

    /// A withdrawn plan lets be what waits and gives back what drains.
    fn gives_back(&mut self) {
        let clock_ms = self.clock_ms;
        self.number += 1;
        let number = self.number;
        for machine in self.plans.iter_mut().flat_map(|plans| &mut plans.machines) {
            if matches!(machine.phase, Phase::Waiting | Phase::Next | Phase::Draining | Phase::Quiet) {
                (machine.phase, machine.since_ms, machine.number) = (Phase::Left, clock_ms, number);
                machine.why = "the plan was withdrawn".to_owned();
            }
        }
    }

    /// Lives that may neither send nor have anything out are forgotten; the number stays known.
    fn tidies(&mut self) {
        let longest_ms = self.plans.as_ref().map_or(0, |plans| plans.plan.longest_unit_s * 1000);
        let clock_ms = self.clock_ms;
        let over_ms = (LONG + 1) * self.permission_ms + longest_ms;
        self.senders.retain(|_, sender| sender.until_ms + over_ms > clock_ms);
        self.tides.push((clock_ms, self.told.0, self.told.1));
        while self.tides.get(1).is_some_and(|(at, ..)| clock_ms - at >= TIDE_MS) {
            self.tides.remove(0);
        }
        // Many steps in a moment are one.
        const FINE_MS: u64 = 250;
        let last = self.tides.len() - 1;
        if last >= 2 && clock_ms - self.tides[last - 2].0 < FINE_MS {
            self.tides.remove(last - 1);
        }
    }

    /// What nodes are told: all that is not done, in the plan's order, and what earlier plans have left.
    /// Of nodes' own machines each is told of its own.
    fn stages(&self, node: Option<u32>) -> Vec<(u64, Stage)> {
        let stage = |machine: &Machine| {
            let stage = match machine.phase {
                Phase::Waiting => Stage::Waiting,
                Phase::Next => Stage::Next,
                Phase::Draining | Phase::Quiet | Phase::Out | Phase::Lost => Stage::Closed,
                Phase::Back | Phase::Done | Phase::Left => return None,
            };
            Some((machine.hash, stage))
        };
        let machines = self.plans.iter().flat_map(|plans| &plans.machines);
        let planned = machines.filter(|m| m.node.is_none() || m.node == node).filter_map(stage);
        planned.chain(self.orphans.keys().map(|machine| (*machine, Stage::Closed))).collect()
    }

    fn permits(&self, ask: Ask) -> Permit {
        let Ask { holder, ask, knows, shows, .. } = ask;
        let machines = (knows != self.number).then(|| self.stages(Some(holder.number)));
        let longest_unit_s = self.plans.as_ref().map_or(0, |plans| plans.plan.longest_unit_s);
        Permit {
            holder,
            ask,
            number: self.number,
            machines,
            longest_unit_s,
            shown: shows.then(|| self.shown()),
        }
    }
}

fn is_closed(phase: Phase) -> bool {
    matches!(phase, Phase::Draining | Phase::Quiet | Phase::Out | Phase::Lost)
}
