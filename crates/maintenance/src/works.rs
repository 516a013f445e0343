//! The plan and how far each machine is, as the keepers agree on it.

mod nodes;

pub use nodes::node_name;

use crate::LONG;
use crate::plan::{Plan, WhenLost};
use grebeusher_budgets::Holder;
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A node asks to send on, and says what it has done.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ask {
    pub holder: Holder,
    /// The zone in which it stands.
    pub zone: String,
    pub ask: u32,
    /// Where it listens for the others, as a hash: a socket that no other process has while this one lives.
    pub socket: u64,
    /// The number of the decision that it goes by: it sends nothing to what that closed.
    pub knows: u64,
    /// Work that it has out at machines of the plan that are not done, by the hashes of their names. Not by their places in what
    /// it was told: those are of its decision, and what it says must be understood whatever was decided since.
    pub in_hand: Vec<(u64, u16)>,
    /// What it keeps closed, by the hashes of names: known here too, unless the state was lost.
    pub closed: Vec<u64>,
    /// It is itself to go, and is through: its clients are sent away, it has nothing in hand and no part of a budget, and sends nothing
    /// before it hears that it may stay.
    pub through: bool,
    /// Since its start: units taken in, and those that were turned back.
    pub units: u64,
    pub turned_back: u64,
    /// Staff look at this node.
    pub shows: bool,
}

/// How close a machine of the plan is to being taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    Waiting,
    /// It may be closed from now on.
    Next,
    /// Nothing may be sent there.
    Closed,
}

/// What an ask was answered with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permit {
    pub holder: Holder,
    pub ask: u32,
    pub number: u64,
    /// The machines that are not done, by the hashes of their names; none where the asker knows of the same decision.
    pub machines: Option<Vec<(u64, Stage)>>,
    /// The longest that a unit may run of which no node tells any more: as long it counts as in hand.
    pub longest_unit_s: u64,
    pub shown: Option<Shown>,
}

/// What the list says, at the node that leads.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    pub zones: Vec<ZoneSeen>,
    /// Machines of the plan and such that an earlier plan has left closed.
    pub machines: Vec<Seen>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneSeen {
    pub zone: String,
    pub listed: u32,
    pub ready: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seen {
    pub machine: u64,
    pub ready: bool,
    /// Which start, as its machine counts: only compared with itself.
    pub started_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Submit(Box<Plan>),
    Pause,
    Resume,
    /// Whoever looks at the machine has seen nothing run or wait there since the decision of this number, which made it quiet.
    Idle(String, u64),
    /// What waits is let be, what drains is given back; what is out is waited for.
    Withdraw,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Step {
    Asks(Ask),
    Sees(View),
    /// A command of the staff with a name of its own, under which it is answered, and done once however often it comes.
    Says(u64, Command),
}

/// Something moved on; for the log of whoever leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moved {
    pub number: u64,
    pub what: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    Permit(Permit),
    Moved(Moved),
}

/// How far a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    Waiting,
    /// All nodes are told that it may be closed.
    Next,
    /// Nothing new is sent there.
    Draining,
    /// Nobody may send there any more, but a life that ended may have left something that runs: until as long has passed as a
    /// unit may run, or whoever looks at the machine has seen since that nothing does.
    Quiet,
    /// Nobody sends there or has anything there: it may be worked on.
    Out,
    /// Back by a new start, and cold.
    Back,
    Done,
    /// It keeps its work and is open again: left for staff.
    Left,
    /// It did not come back in time: left for staff, and closed until it does.
    Lost,
}

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
/// Fewer units than this in a tide say nothing.
const FEW: u64 = 50;
/// What stopped it has been over for so long before it goes on by itself.
const CALM_MS: u64 = 5000;
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

    /// Nodes that have not heard of a decision and may still act as if it were not there. `long`: even one whose permission
    /// is over may, as long as it does not keep away from all machines.
    fn unaware(&self, plan: &Plan, number: u64) -> Option<u32> {
        let without = |node: &u32| plan.without.contains(node);
        let unheard = (0..self.nodes).find(|node| !self.heard.contains(node) && !without(node));
        let long_ms = LONG * self.permission_ms;
        let late = |(_, sender): &(&Holder, &Sender)| {
            !sender.dead && sender.knows < number && sender.until_ms + long_ms > self.clock_ms
        };
        unheard.or_else(|| Some(self.senders.iter().find(late)?.0.number))
    }

    /// A node that may still send to a closed machine, or may have work there.
    fn holds_up(&self, plan: &Plan, machine: &Machine) -> Option<u32> {
        let longest_ms = plan.longest_unit_s * 1000;
        let holds = |(_, sender): &(&Holder, &Sender)| {
            !sender.is_through(machine) && sender.until_ms + longest_ms > self.clock_ms
        };
        Some(self.senders.iter().find(holds)?.0.number)
    }

    /// A node that may still send to a closed machine, or knows of something there.
    fn may_send(&self, machine: &Machine) -> Option<u32> {
        let may = |(_, sender): &(&Holder, &Sender)| {
            !sender.is_through(machine) && !sender.dead && sender.until_ms > self.clock_ms
        };
        Some(self.senders.iter().find(may)?.0.number)
    }

    /// Executors that are away beside the plan and what was away before it, in each zone.
    fn away(&self, plans: &Plans) -> BTreeMap<String, u32> {
        let by_plan = |zone: &str| {
            let own = plans
                .machines
                .iter()
                .filter(|m| m.node.is_none() && m.zone == zone && !m.ready && is_closed(m.phase));
            own.count() as u32
        };
        let away = |zone: &ZoneSeen| {
            let before = plans.away_before.get(&zone.zone).copied().unwrap_or(0);
            let away = zone.listed.saturating_sub(zone.ready).saturating_sub(by_plan(&zone.zone));
            (zone.zone.clone(), away.saturating_sub(before))
        };
        self.view.zones.iter().map(away).collect()
    }

    /// A reason to take nothing further out.
    fn hurts(&self, plans: &Plans) -> Option<String> {
        if let Some((_, units, back)) = self.tides.first() {
            let (units, back) = (self.told.0 - units, self.told.1 - back);
            let most = plans.plan.most_turned_back;
            if units >= FEW && back as f64 > most * units as f64 {
                let part = 100.0 * back as f64 / units as f64;
                return Some(format!("{part:.1}% of the work was turned back within {} s", TIDE_MS / 1000));
            }
        }
        let lost = |zone: &&ZoneSeen| {
            let executors = plans.machines.iter().filter(|m| m.node.is_none() && is_closed(m.phase));
            let planned = executors.filter(|m| m.zone == zone.zone).count();
            zone.listed > 1 && zone.ready == 0 && zone.listed > planned as u32
        };
        let zone = self.view.zones.iter().find(lost);
        zone.map(|zone| format!("no executor is ready in zone {}", zone.zone))
    }

    fn moves_on(&mut self, outcomes: &mut Vec<Outcome>) {
        let Some(mut plans) = self.plans.take() else { return };
        self.stops_or_goes_on(&mut plans, outcomes);
        for at in 0..plans.machines.len() {
            self.moves(&mut plans, at, outcomes);
        }
        let over = |machine: &Machine| matches!(machine.phase, Phase::Done | Phase::Left | Phase::Lost);
        if plans.standing != Standing::Over && plans.machines.iter().all(over) {
            plans.standing = Standing::Over;
            let what = format!("the plan {:?} is over", plans.plan.name);
            outcomes.push(Outcome::Moved(Moved { number: self.number, what }));
        }
        plans.waits_for.clear();
        if plans.standing == Standing::Runs {
            self.takes(&mut plans, outcomes);
        }
        self.plans = Some(plans);
    }

    fn stops_or_goes_on(&mut self, plans: &mut Plans, outcomes: &mut Vec<Outcome>) {
        let hurts = self.hurts(plans);
        if hurts.is_some() {
            plans.hurt_ms = Some(self.clock_ms);
        }
        let calm = plans.hurt_ms.is_none_or(|at| self.clock_ms >= at + CALM_MS);
        let what = match (&plans.standing, hurts) {
            (Standing::Runs, Some(why)) => {
                plans.standing = Standing::Stopped(why.clone());
                format!("stopped: {why}")
            }
            (Standing::Stopped(_), None) if calm && plans.plan.goes_on => {
                plans.standing = Standing::Runs;
                "goes on by itself".to_owned()
            }
            _ => return,
        };
        outcomes.push(Outcome::Moved(Moved { number: self.number, what }));
    }

    /// A machine moves on by what is known of it.
    fn moves(&mut self, plans: &mut Plans, at: usize, outcomes: &mut Vec<Outcome>) {
        let Plans { plan, standing, machines, .. } = plans;
        let machine = &machines[at];
        let for_ms = self.clock_ms - machine.since_ms;
        let back = machine.ready && machine.started_ms > machine.closed_start_ms;
        let (phase, why) = match machine.phase {
            // It died or was taken away, and is back by itself: nothing that was sent is there any more.
            Phase::Draining | Phase::Quiet if back => {
                (Phase::Back, "back by a new start while it drained".to_owned())
            }
            Phase::Draining if machine.node.is_some() => match self.is_through(machine) {
                true => (Phase::Out, String::new()),
                false if for_ms >= plan.drain_within_s * 1000 => {
                    (Phase::Left, format!("it was not through after {} s", for_ms / 1000))
                }
                false => return,
            },
            Phase::Draining if self.may_send(machine).is_none() && self.holds_up(plan, machine).is_some() => {
                (Phase::Quiet, "something may still run there".to_owned())
            }
            Phase::Draining | Phase::Quiet => match self.holds_up(plan, machine) {
                None => (Phase::Out, String::new()),
                Some(node) if for_ms >= plan.drain_within_s * 1000 => (
                    Phase::Left,
                    format!("node {node} still had work there or may send after {} s", for_ms / 1000),
                ),
                Some(_) => return,
            },
            Phase::Out | Phase::Lost if back => (Phase::Back, String::new()),
            Phase::Out if for_ms >= plan.work_within_s * 1000 => {
                (Phase::Lost, format!("not back after {} s", for_ms / 1000))
            }
            Phase::Back if for_ms >= plan.warm_s * 1000 => (Phase::Done, String::new()),
            _ => return,
        };
        if phase == Phase::Lost && plan.when_lost == WhenLost::Stop && *standing == Standing::Runs {
            // By staff only: what is lost does not come back by waiting.
            *standing = Standing::Paused;
        }
        self.goes(&mut machines[at], phase, why, outcomes);
        if let Some(node) = machines[at].node.filter(|_| phase == Phase::Out) {
            self.forgets(node);
        }
    }

    fn goes(&mut self, machine: &mut Machine, phase: Phase, why: String, outcomes: &mut Vec<Outcome>) {
        self.number += 1;
        let what = format!(
            "{}: {:?} to {phase:?}{}{why}",
            machine.name,
            machine.phase,
            if why.is_empty() { "" } else { ", " }
        );
        outcomes.push(Outcome::Moved(Moved { number: self.number, what }));
        (machine.phase, machine.since_ms, machine.number, machine.why) =
            (phase, self.clock_ms, self.number, why);
    }

    /// Announces the next machines, and closes such as all have heard of, as far as the limits allow.
    fn takes(&mut self, plans: &mut Plans, outcomes: &mut Vec<Outcome>) {
        // What bars one kind does not hold up the other.
        for of_nodes in [false, true] {
            let waits_for = self.takes_of(plans, of_nodes, outcomes);
            if !waits_for.is_empty() && !plans.waits_for.is_empty() {
                plans.waits_for.push_str("; ");
            }
            plans.waits_for.push_str(&waits_for);
        }
    }

    /// The same for executors or for nodes; what it waits for.
    fn takes_of(&mut self, plans: &mut Plans, of_nodes: bool, outcomes: &mut Vec<Outcome>) -> String {
        let most = if of_nodes { plans.plan.most_nodes_out } else { plans.plan.most_out };
        loop {
            let next =
                |machine: &&Machine| machine.phase == Phase::Next && machine.node.is_some() == of_nodes;
            if plans.machines.iter().filter(next).count() < most as usize
                && let Some(at) = self.first_of(plans, Phase::Waiting, of_nodes)
            {
                self.goes(&mut plans.machines[at], Phase::Next, String::new(), outcomes);
                continue;
            }
            let Some(at) = self.first_of(plans, Phase::Next, of_nodes) else { return String::new() };
            let barred = match plans.machines[at].node {
                Some(node) => self.bars_node(plans, &plans.machines[at], node),
                None => self.bars(plans, at),
            };
            if let Some(waits_for) = barred {
                return waits_for;
            }
            let machine = &mut plans.machines[at];
            machine.closed_start_ms = machine.started_ms;
            self.goes(machine, Phase::Draining, String::new(), outcomes);
            machine.closed_by = machine.number;
        }
    }

    /// Which of those in a phase goes first: as staff insist, then where the zone has gone longest without, then by least work
    /// in hand. Of announced ones only such whose zone has room, if any has.
    fn first_of(&self, plans: &Plans, phase: Phase, of_nodes: bool) -> Option<usize> {
        let own = |machine: &Machine| machine.phase == phase && machine.node.is_some() == of_nodes;
        let all = plans.machines.iter().enumerate().filter(|(_, machine)| own(machine));
        let away = self.away(plans);
        let rank = |(at, machine): &(usize, &Machine)| {
            let insisted =
                plans.plan.first.iter().position(|name| *name == machine.name).unwrap_or(usize::MAX);
            let zone = self.zone_of(machine);
            let in_zone = |phases: &[Phase]| {
                let own =
                    plans.machines.iter().filter(|m| m.node.is_some() == of_nodes && self.zone_of(m) == zone);
                own.filter(|m| phases.contains(&m.phase)).count()
            };
            let (most, away) = match machine.node {
                Some(_) => (plans.plan.most_nodes_out_a_zone, self.nodes_away(plans, zone)),
                None => (plans.plan.most_out_a_zone, away.get(zone).copied().unwrap_or(0)),
            };
            let out = in_zone(&[Phase::Draining, Phase::Quiet, Phase::Out]) as u32 + away;
            let full = out >= most;
            let taken =
                in_zone(&[Phase::Next, Phase::Draining, Phase::Quiet, Phase::Out, Phase::Back, Phase::Lost]);
            let held: u32 = self
                .senders
                .values()
                .filter_map(|s| s.in_hand.get(&machine.hash))
                .map(|n| u32::from(*n))
                .sum();
            // Of nodes keepers go last: while one is away the loss of another costs more than that of any other node.
            let keeps = machine.node.is_some_and(|node| self.keepers.contains(&node));
            (insisted, full, keeps, taken, held, *at)
        };
        all.min_by_key(rank).map(|(at, _)| at)
    }

    /// What stands against closing a machine now.
    fn bars(&self, plans: &Plans, at: usize) -> Option<String> {
        let (plan, machine) = (&plans.plan, &plans.machines[at]);
        let executors = || plans.machines.iter().filter(|m| m.node.is_none());
        let count = |phases: &[Phase]| executors().filter(|m| phases.contains(&m.phase)).count();
        if self.view.zones.is_empty() || !machine.seen {
            return Some("a word of the list".to_owned());
        }
        let away = self.away(plans);
        let away_all: u32 = away.values().sum();
        let out = count(&[Phase::Draining, Phase::Quiet, Phase::Out, Phase::Lost]) as u32 + away_all;
        if out >= plan.most_out {
            return Some(format!("{out} are out or down, {} may be", plan.most_out));
        }
        let in_zone = executors().filter(|m| m.zone == machine.zone && is_closed(m.phase));
        let zone_out = in_zone.count() as u32 + away.get(&machine.zone).copied().unwrap_or(0);
        if zone_out >= plan.most_out_a_zone {
            return Some(format!(
                "{zone_out} are out or down in zone {}, {} may be",
                machine.zone, plan.most_out_a_zone
            ));
        }
        let cold = count(&[Phase::Back]);
        if cold >= plan.most_cold() {
            return Some(format!("{cold} are back and cold, {} may be", plan.most_cold()));
        }
        // Closed ones that the list still calls ready do nothing.
        let ready: u32 = self.view.zones.iter().map(|zone| zone.ready).sum();
        let closed = executors().filter(|m| m.ready && is_closed(m.phase)).count() as u32;
        let stay = ready.saturating_sub(closed + u32::from(machine.ready));
        if stay < plan.least_ready {
            return Some(format!("{stay} would stay ready, {} must", plan.least_ready));
        }
        self.unaware(plan, machine.number)
            .map(|node| format!("node {node}, which may not have heard of the plan"))
    }

    /// The state in words and figures.
    pub fn shown(&self) -> Shown {
        let Some(plans) = &self.plans else {
            let standing = "none".to_owned();
            return Shown {
                number: self.number,
                standing,
                answers: self.answers.clone(),
                ..Shown::default()
            };
        };
        let (standing, why) = match &plans.standing {
            Standing::Runs => ("runs", plans.waits_for.clone()),
            Standing::Paused => ("paused", String::new()),
            Standing::Stopped(why) => ("stopped", why.clone()),
            Standing::Withdrawn => ("withdrawn", String::new()),
            Standing::Over => ("over", String::new()),
        };
        let machine = |m: &Machine| ShownMachine {
            name: m.name.clone(),
            phase: m.phase,
            for_s: (self.clock_ms - m.since_ms) / 1000,
            number: m.number,
            why: match m.phase {
                Phase::Draining => self
                    .holds_up(&plans.plan, m)
                    .map_or_else(String::new, |node| format!("waits for node {node}")),
                _ => m.why.clone(),
            },
        };
        Shown {
            number: self.number,
            plan: plans.plan.name.clone(),
            standing: standing.to_owned(),
            why,
            for_s: (self.clock_ms - plans.began_ms) / 1000,
            machines: plans.machines.iter().map(machine).collect(),
            answers: self.answers.clone(),
        }
    }
}

fn is_closed(phase: Phase) -> bool {
    matches!(phase, Phase::Draining | Phase::Quiet | Phase::Out | Phase::Lost)
}

/// What staff see.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    /// Of the last decision.
    pub number: u64,
    pub plan: String,
    pub standing: String,
    /// What it waits for or was stopped by.
    pub why: String,
    pub for_s: u64,
    pub machines: Vec<ShownMachine>,
    pub answers: Vec<(u64, String)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShownMachine {
    pub name: String,
    pub phase: Phase,
    pub for_s: u64,
    pub number: u64,
    pub why: String,
}
