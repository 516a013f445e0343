//! The maintenance state that the voters replicate: the plan and the phase of each machine.

mod messages;
mod nodes;
mod progress;
mod status;

pub use messages::{
    Command, ListView, MachineView, Outcome, Permit, PermitRequest, Phase, PlanChange, Stage, Step, ZoneView,
};
pub use nodes::node_name;
pub use status::{MachineStatus, PlanStatus};

use crate::LONG_ABSENCE_LEASES;
use crate::plan::Plan;
use grebeusher_budgets::Holder;
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Machine {
    name: String,
    /// The number of the node whose machine this is; `None` for executors.
    node: Option<u32>,
    hash: u64,
    zone: String,
    phase: Phase,
    since_ms: u64,
    /// The number of the decision that brought the machine into this phase.
    number: u64,
    /// Whether the executor list has been seen with this machine since the plan began. Guards against an old
    /// start being taken for a new one.
    seen: bool,
    ready: bool,
    started_ms: u64,
    /// The number of the decision that closed the machine; `closed_start_ms` is the start of the machine at
    /// that time.
    closed_by: u64,
    closed_start_ms: u64,
    why: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Sender {
    /// The sequence number of the newest request of this process.
    sequence: u32,
    expires_ms: u64,
    socket_hash: u64,
    /// Whether another process of the node uses the same socket, so this one is dead.
    is_dead: bool,
    known_decision: u64,
    /// The units in flight at each machine, by the hash of its name.
    in_flight: BTreeMap<u64, u16>,
    is_drained: bool,
    units: u64,
    rejected: u64,
}

impl Sender {
    /// Whether this process no longer sends to the machine and has nothing in flight there.
    fn is_drained(&self, machine: &Machine) -> bool {
        self.known_decision >= machine.closed_by && !self.in_flight.contains_key(&machine.hash)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum PlanState {
    Running,
    /// Paused by operators.
    Paused,
    /// The plan stopped itself, for this reason.
    Stopped(String),
    Withdrawn,
    Finished,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ActivePlan {
    plan: Plan,
    state: PlanState,
    started_at_ms: u64,
    /// The number of executors in each zone that were already down when the plan began; they don't count
    /// against the plan.
    down_before: BTreeMap<String, u32>,
    machines: Vec<Machine>,
    /// What the next machine waits for, or empty.
    waiting_for: String,
    /// The time at which a reason to stop was last seen.
    stop_reason_seen_ms: Option<u64>,
}

/// The replicated maintenance state. Its clock is the sum of the times passed with the steps, and runs no
/// faster than the clock of any voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceState {
    clock_ms: u64,
    permission_ms: u64,
    /// The number of nodes of the fleet; each may send until it has reported otherwise.
    nodes: u32,
    /// The numbers of the nodes that are voters.
    voters: Vec<u32>,
    number: u64,
    /// Until this time no permits are granted unless all nodes have reported what they keep closed: an
    /// earlier state may have been lost.
    no_permits_until_ms: u64,
    heard_nodes: BTreeSet<u32>,
    senders: BTreeMap<Holder, Sender>,
    /// The zone of each node, also while the node is down.
    node_zones: BTreeMap<u32, String>,
    /// The machines that an earlier plan left closed, by the hashes of their names, and their start at that
    /// time.
    left_closed: BTreeMap<u64, Option<u64>>,
    view: ListView,
    /// Samples of the time in milliseconds, and of the units accepted and rejected at all nodes until then.
    load_samples: Vec<(u64, u64, u64)>,
    total_counts: (u64, u64),
    active: Option<ActivePlan>,
    /// The answers to commands by the ID of the command, the newest last.
    answers: Vec<(u64, String)>,
}

/// The time window over which the share of rejected units is measured.
const REJECTION_WINDOW_MS: u64 = 5000;
/// The number of answers kept for commands that are sent again.
const MAX_KEPT_ANSWERS: usize = 16;

impl MaintenanceState {
    /// Creates a state without a plan, for permissions of this lease time and this number of nodes.
    pub fn new(permission: Duration, nodes: u32, voters: &[u32]) -> MaintenanceState {
        let permission_ms = permission.nanos() / 1_000_000;
        MaintenanceState {
            clock_ms: 0,
            permission_ms,
            nodes,
            voters: voters.to_vec(),
            number: 0,
            no_permits_until_ms: permission_ms / 2,
            heard_nodes: BTreeSet::new(),
            senders: BTreeMap::new(),
            node_zones: BTreeMap::new(),
            left_closed: BTreeMap::new(),
            view: ListView::default(),
            load_samples: Vec::new(),
            total_counts: (0, 0),
            active: None,
            answers: Vec::new(),
        }
    }

    /// Whether the passing of time alone can change the state.
    pub fn changes_with_time(&self) -> bool {
        self.active.as_ref().is_some_and(|active| active.state != PlanState::Finished)
    }

    /// The hashes of the names of the machines whose list entries the leader has to report.
    pub fn watched_machines(&self) -> impl Iterator<Item = u64> {
        let machines = self.active.iter().flat_map(|active| &active.machines);
        let planned = machines.filter(|machine| machine.node.is_none()).map(|machine| machine.hash);
        planned.chain(self.left_closed.keys().copied())
    }

    /// The last report of the executor list.
    pub fn view(&self) -> &ListView {
        &self.view
    }

    /// The phase of each machine of the plan, with the name of the machine.
    pub fn phases(&self) -> impl Iterator<Item = (&str, Phase)> {
        self.active.iter().flat_map(|active| &active.machines).map(|m| (m.name.as_str(), m.phase))
    }

    /// Returns the number of the decision by which this machine is out, if it is: no node may send there and
    /// none has anything in flight there. An agent works on the machine once for each such number.
    pub fn out_decision(&self, name: &str) -> Option<u64> {
        let mut machines = self.active.iter().flat_map(|active| &active.machines);
        machines.find(|m| m.name == name && m.phase == Phase::Out).map(|m| m.number)
    }

    /// Applies committed steps, `passed_ms` after the ones before, and returns the outcomes.
    pub fn apply(&mut self, passed_ms: u64, steps: Vec<Step>, hash: fn(&str) -> u64) -> Vec<Outcome> {
        self.clock_ms += passed_ms;
        let mut outcomes = Vec::new();
        let mut asks = Vec::new();
        for step in steps {
            match step {
                Step::PermitRequest(ask) => {
                    self.receive_request(&ask);
                    asks.push(ask);
                }
                Step::View(view) => self.update_view(view),
                Step::Command(name, command) => self.apply_command(name, command, hash, &mut outcomes),
            }
        }
        self.remove_expired();
        if let Some(mut active) = self.active.take() {
            self.update_nodes(&mut active.machines);
            self.active = Some(active);
        }
        self.advance(&mut outcomes);
        let withholds_permits =
            self.clock_ms < self.no_permits_until_ms && (self.heard_nodes.len() as u32) < self.nodes;
        if !withholds_permits {
            let permits = asks.into_iter().map(|ask| Outcome::Permit(self.permit_for(ask)));
            outcomes.extend(permits.collect::<Vec<_>>());
        }
        outcomes
    }

    fn receive_request(&mut self, ask: &PermitRequest) {
        // A node that is out sends nothing before it learns that it may, so nothing waits for it as a sender.
        let is_out = |machine: &Machine| {
            machine.node == Some(ask.holder.number) && matches!(machine.phase, Phase::Out | Phase::Lost)
        };
        let out = self.active.iter().flat_map(|active| &active.machines).any(is_out);
        // Requests may be reordered; an older one is outdated. Guards against missing work that was sent
        // since, and against counting a node as drained that has been taken back.
        let is_outdated = |sender: &Sender| sender.sequence.wrapping_sub(ask.sequence) < u32::MAX / 2;
        if (out && ask.is_drained) || self.senders.get(&ask.holder).is_some_and(is_outdated) {
            return;
        }
        let expires_ms = self.clock_ms + self.permission_ms;
        self.heard_nodes.insert(ask.holder.number);
        if self.node_zones.get(&ask.holder.number) != Some(&ask.zone) {
            self.node_zones.insert(ask.holder.number, ask.zone.clone());
        }
        // If a node keeps a machine closed that is not known as closed here, it was closed by a state that is
        // lost.
        if ask.known_decision > self.number {
            let stages = self.stages(None);
            let lost = ask.closed.iter().filter(|machine| !stages.iter().any(|(own, _)| own == *machine));
            let lost: Vec<u64> = lost.copied().collect();
            if !lost.is_empty() {
                self.number = self.number.max(ask.known_decision) + 1;
                self.left_closed.extend(lost.into_iter().map(|machine| (machine, None)));
            }
        }
        let PermitRequest { known_decision, units, rejected, .. } = *ask;
        let before = self.senders.get(&ask.holder).map(|sender| (sender.units, sender.rejected));
        let (units_before, back_before) = before.unwrap_or_default();
        let in_flight = ask.in_flight.iter().copied().collect();
        self.total_counts.0 += units.saturating_sub(units_before);
        self.total_counts.1 += rejected.saturating_sub(back_before);
        // Two live processes never have the same socket. The process that replaces a dead one must not wait
        // for the permission of the dead one to expire.
        let Holder { number, generation } = ask.holder;
        let earlier = Holder { number, generation: 0 }..Holder { number, generation };
        let dead_processes = self
            .senders
            .range_mut(earlier)
            .filter(|(_, sender)| sender.socket_hash == ask.socket_hash && !sender.is_dead);
        dead_processes.for_each(|(_, sender)| {
            (sender.is_dead, sender.expires_ms) = (true, sender.expires_ms.min(self.clock_ms));
        });
        self.senders.insert(
            ask.holder,
            Sender {
                sequence: ask.sequence,
                expires_ms,
                socket_hash: ask.socket_hash,
                is_dead: false,
                known_decision,
                in_flight,
                is_drained: ask.is_drained,
                units,
                rejected,
            },
        );
    }

    fn update_view(&mut self, view: ListView) {
        let machines = self.active.iter_mut().flat_map(|active| &mut active.machines);
        for machine in machines {
            if let Some(seen) = view.machines.iter().find(|seen| seen.machine == machine.hash) {
                (machine.seen, machine.ready, machine.started_ms) = (true, seen.ready, seen.started_ms);
            }
        }
        let mut back = Vec::new();
        for (machine, start) in &mut self.left_closed {
            match view.machines.iter().find(|seen| seen.machine == *machine) {
                Some(seen) if start.is_some_and(|start| seen.ready && seen.started_ms > start) => {
                    back.push(*machine);
                }
                Some(seen) if start.is_none() => *start = Some(seen.started_ms),
                _ => {}
            }
        }
        for machine in &back {
            self.left_closed.remove(machine);
        }
        self.number += u64::from(!back.is_empty());
        self.view = view;
    }

    fn apply_command(
        &mut self,
        name: u64,
        command: Command,
        hash: fn(&str) -> u64,
        outcomes: &mut Vec<Outcome>,
    ) {
        if self.answers.iter().any(|(known, _)| *known == name) {
            return;
        }
        let unfinished = self.active.as_ref().filter(|active| active.state != PlanState::Finished);
        let answer = match (command, unfinished.is_some()) {
            (Command::Submit(plan), false) => match plan.check().and_then(|()| self.check_nodes(&plan)) {
                Err(wrong) => format!("refused: {wrong}"),
                Ok(()) => {
                    let count = plan.machines.len() + plan.nodes.len();
                    let answer = format!("taken: {}, {count} machines", plan.name);
                    self.start_plan(*plan, hash);
                    answer
                }
            },
            (Command::Submit(_), true) => {
                let name = unfinished.map_or("", |active| active.plan.name.as_str());
                format!("refused: the plan {name:?} is under way")
            }
            (_, false) => "refused: no plan is under way".to_owned(),
            (Command::Idle(machine, number), true) => match self.set_idle(&machine, number, outcomes) {
                true => format!("{machine} is out"),
                false => format!("refused: {machine} was not made quiet by decision {number}"),
            },
            (command, true) => {
                let (state, said) = match command {
                    Command::Pause => (PlanState::Paused, "paused"),
                    Command::Withdraw => (PlanState::Withdrawn, "withdrawn"),
                    _ => (PlanState::Running, "goes on"),
                };
                let is_withdrawal = state == PlanState::Withdrawn;
                let was_withdrawn =
                    self.active.as_ref().is_some_and(|active| active.state == PlanState::Withdrawn);
                if let Some(active) = self.active.as_mut().filter(|_| !was_withdrawn) {
                    (active.state, active.stop_reason_seen_ms) = (state, None);
                }
                if is_withdrawal {
                    self.open_unfinished();
                }
                if was_withdrawn { "refused: it was withdrawn".to_owned() } else { said.to_owned() }
            }
        };
        outcomes.push(Outcome::PlanChange(PlanChange { number: self.number, what: answer.clone() }));
        self.answers.push((name, answer));
        if self.answers.len() > MAX_KEPT_ANSWERS {
            self.answers.remove(0);
        }
    }

    fn start_plan(&mut self, plan: Plan, hash: fn(&str) -> u64) {
        // Machines that an earlier plan left closed stay closed until they are back.
        let left = self.active.iter().flat_map(|active| &active.machines);
        let left = left.filter(|machine| machine.phase == Phase::Lost && machine.node.is_none());
        let left: Vec<_> = left.map(|machine| (machine.hash, Some(machine.closed_start_ms))).collect();
        self.left_closed.extend(left);
        let down = |zone: &ZoneView| (zone.zone.clone(), zone.listed.saturating_sub(zone.ready));
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
            self.left_closed.remove(&machine.hash);
        }
        self.number += 1;
        self.active = Some(ActivePlan {
            state: PlanState::Running,
            started_at_ms: self.clock_ms,
            down_before: self.view.zones.iter().map(down).collect(),
            machines,
            waiting_for: "a word of the list".to_owned(),
            stop_reason_seen_ms: None,
            plan,
        });
    }

    fn set_idle(&mut self, name: &str, number: u64, outcomes: &mut Vec<Outcome>) -> bool {
        let Some(mut active) = self.active.take() else { return false };
        let machine = active.machines.iter_mut().find(|m| m.name == name);
        let machine = machine.filter(|m| m.phase == Phase::Quiet && m.number == number);
        let is_accepted = machine.is_some();
        if let Some(machine) = machine {
            self.set_phase(machine, Phase::Out, "seen idle".to_owned(), outcomes);
        }
        self.active = Some(active);
        is_accepted
    }

    /// Withdraws the plan from machines that wait, and opens those that drain.
    fn open_unfinished(&mut self) {
        let clock_ms = self.clock_ms;
        self.number += 1;
        let number = self.number;
        for machine in self.active.iter_mut().flat_map(|active| &mut active.machines) {
            if matches!(machine.phase, Phase::Waiting | Phase::Next | Phase::Draining | Phase::Quiet) {
                (machine.phase, machine.since_ms, machine.number) = (Phase::Left, clock_ms, number);
                machine.why = "the plan was withdrawn".to_owned();
            }
        }
    }

    /// Removes processes that may neither send nor have anything in flight; the numbers of their nodes stay
    /// in `heard_nodes`.
    fn remove_expired(&mut self) {
        let longest_ms = self.active.as_ref().map_or(0, |active| active.plan.longest_unit_s * 1000);
        let clock_ms = self.clock_ms;
        let over_ms = (LONG_ABSENCE_LEASES + 1) * self.permission_ms + longest_ms;
        self.senders.retain(|_, sender| sender.expires_ms + over_ms > clock_ms);
        self.load_samples.push((clock_ms, self.total_counts.0, self.total_counts.1));
        while self.load_samples.get(1).is_some_and(|(at, ..)| clock_ms - at >= REJECTION_WINDOW_MS) {
            self.load_samples.remove(0);
        }
        // Samples less than this time apart are merged into one.
        const MIN_SAMPLE_INTERVAL_MS: u64 = 250;
        let last = self.load_samples.len() - 1;
        if last >= 2 && clock_ms - self.load_samples[last - 2].0 < MIN_SAMPLE_INTERVAL_MS {
            self.load_samples.remove(last - 1);
        }
    }

    /// The stages that a permit carries: all machines that are not done, in the order of the plan, and those
    /// that earlier plans left closed. Of the nodes' own machines, each node receives only its own.
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
        let machines = self.active.iter().flat_map(|active| &active.machines);
        let planned = machines.filter(|m| m.node.is_none() || m.node == node).filter_map(stage);
        planned.chain(self.left_closed.keys().map(|machine| (*machine, Stage::Closed))).collect()
    }

    fn permit_for(&self, ask: PermitRequest) -> Permit {
        let PermitRequest { holder, sequence, known_decision, wants_status, .. } = ask;
        let machines = (known_decision != self.number).then(|| self.stages(Some(holder.number)));
        let longest_unit_s = self.active.as_ref().map_or(0, |active| active.plan.longest_unit_s);
        Permit {
            holder,
            sequence,
            number: self.number,
            machines,
            longest_unit_s,
            plan_status: wants_status.then(|| self.status()),
        }
    }
}

fn is_closed(phase: Phase) -> bool {
    matches!(phase, Phase::Draining | Phase::Quiet | Phase::Out | Phase::Lost)
}
