//! The stand-in staff: hands a plan to some node, looks how far it is, and works on machines that are out, as an agent on each
//! would. What is under way at a machine that is out is counted here, from the machine's side.

use crate::fleet::{Fleet, Owner, Task};
use crate::http::{answer, said};
use crate::wire::CLEAR;
use grebeusher_dispatch::ExecutorStatus;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_emulator::scenario::{Maintenance, Scenario};
use grebeusher_emulator::stage::{START, ms};
use rand::Rng;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// A node that shows nothing fresh for so many looks is not asked on.
const OLD_LOOKS: u32 = 10;
const OLD_MS: u64 = 1500;
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Between seeing that a machine is out and taking it down: what was still under way to it arrives meanwhile, and is counted.
const WATCHES: Duration = Duration::from_millis(500);

/// What the agent of a machine does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Agent {
    /// It has seen its machine out, and watches.
    Watches,
    /// The machine is down, and back after its work.
    Works,
}

/// How far a plan got, seen from outside.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PlanSeen {
    pub machines: usize,
    /// Machines by what became of them, as the nodes said last.
    pub phases: BTreeMap<String, usize>,
    /// The same whenever it was seen to be another, with the seconds since the run began.
    pub course: Vec<(f64, BTreeMap<String, usize>)>,
    /// From when it was handed in until it was over; none if it never was.
    pub took_s: Option<f64>,
    /// The least that its limits allow: machines over most at once, times draining, as it took in the mean, and work.
    pub least_s: f64,
    pub drained_mean_s: f64,
    /// The most that agents had in hand at once, of executors and of nodes.
    pub most_out: usize,
    pub nodes: usize,
    pub most_nodes_out: usize,
    /// What it waited for or was stopped by, and how often it was seen to.
    pub why: BTreeMap<String, u64>,
    pub said: Vec<String>,
}

#[derive(Default)]
pub struct Staff {
    agents: Vec<Option<Agent>>,
    /// The decision by which each machine was worked on last.
    by: Vec<u64>,
    /// The same at the nodes' own machines, with the life that was seen out: a fault may start another meanwhile, which is back.
    node_agents: Vec<Option<(Agent, u32)>>,
    node_by: Vec<u64>,
    draining: BTreeMap<usize, Instant>,
    drained_s: Vec<f64>,
    name: u64,
    began: Option<Instant>,
    asked: usize,
    taken: bool,
    /// How often in a row the node that is asked had no fresh word of the keepers.
    old: u32,
    seen: PlanSeen,
}

/// The file that the staff of a scenario hand in.
pub fn plan_file(scenario: &Scenario, plan: &Maintenance, names: &[String]) -> String {
    let count = names.len();
    let machines: Vec<&String> = names.iter().take((plan.part * count as f64).round() as usize).collect();
    let least_ready = (plan.least_ready * count as f64).ceil() as usize;
    let longest = scenario.tariffs.iter().map(|t| t.patience_ms).fold(0.0, f64::max);
    let mut text = format!(
        "name = {:?}\nmachines = {machines:?}\nmost_out = {}\nleast_ready = {least_ready}\ndrain_within_s = {}\n\
         work_within_s = {}\nwarm_s = {}\nlongest_unit_s = {}\nwhen_lost = \"go-on\"\ngoes_on = true\n\
         most_turned_back = {}\n",
        scenario.name,
        plan.most_out,
        plan.drain_within_s,
        plan.work_within_s,
        plan.warm_s,
        plan.longest_unit_s.unwrap_or((longest / 1e3).ceil() as u64),
        plan.most_turned_back,
    );
    if !plan.nodes.is_empty() {
        let Maintenance { nodes, most_nodes_out, least_nodes, .. } = plan;
        text +=
            &format!("nodes = {nodes:?}\nmost_nodes_out = {most_nodes_out}\nleast_nodes = {least_nodes}\n");
    }
    if let Some(most) = plan.most_nodes_out_a_zone {
        text += &format!("most_nodes_out_a_zone = {most}\n");
    }
    if let Some(most) = plan.most_out_a_zone {
        text += &format!("most_out_a_zone = {most}\n");
    }
    if let Some(most) = plan.most_cold {
        text += &format!("most_cold = {most}\n");
    }
    text
}

impl Fleet {
    /// The staff begin their day: nothing if the scenario has no plan.
    pub fn staff_begin(&mut self) {
        if let Some(plan) = &self.scenario.maintenance {
            let (at_s, count) = (plan.at_s, self.executors.len());
            self.staff.agents = vec![None; count];
            self.staff.by = vec![0; count];
            self.staff.node_agents = vec![None; self.nodes.len()];
            self.staff.node_by = vec![0; self.nodes.len()];
            plan.nodes.clone().into_iter().for_each(|node| self.after(POLL_INTERVAL, Task::FrontAsks(node)));
            self.staff.name = self.chance.random::<u32>().into();
            self.at(Instant(START) + ms(at_s * 1e3), Task::StaffLook);
        }
    }

    /// Asks some node that is there how far the plan is; hands it in first.
    pub fn staff_look(&mut self) {
        let now = self.now();
        self.after(POLL_INTERVAL, Task::StaffLook);
        let count = self.nodes.len();
        // One that was asked and has not answered by now does not, nor does one whose own word is old: another is asked.
        let open = self.wire.find(|owner| matches!(owner, Owner::Console(_)));
        let first = self.staff.asked + usize::from(!open.is_empty() || self.staff.old > OLD_LOOKS);
        self.staff.old = if first > self.staff.asked { 0 } else { self.staff.old };
        open.into_iter().for_each(|key| self.wire.closes(key));
        let mut nodes = (0..count).map(|step| (first + step) % count);
        let Some(node) = nodes.find(|&at| self.ready[at] && !self.nodes[at].frozen) else { return };
        self.staff.asked = node;
        let Ok(key) = self.wire.dials(self.nodes[node].console(), Owner::Console(node), CLEAR, now) else {
            return;
        };
        let call = match self.scenario.maintenance.as_ref().filter(|_| !self.staff.taken) {
            Some(plan) => {
                let names: Vec<String> = self.executors.iter().map(|e| e.name.clone()).collect();
                let file = plan_file(&self.scenario, plan, &names);
                self.staff.began.get_or_insert(now);
                let name = self.staff.name;
                said(&format!("POST /fleet/submit?name={name} HTTP/1.1\r\nHost: x\r\n"), file.as_bytes())
            }
            None => said("GET /fleet HTTP/1.1\r\nHost: x\r\n", b""),
        };
        self.wire.says(key, call, now);
    }

    pub fn console_hears(&mut self, key: usize) {
        let Some((bytes, _)) = self.wire.came(key) else { return };
        let Ok(Some(message)) = answer(bytes) else { return };
        self.wire.closes(key);
        if message.status == 202 {
            self.staff.taken = true;
            return;
        }
        if message.status != 200 {
            let said = String::from_utf8_lossy(&message.body).trim().to_owned();
            if !self.staff.seen.said.contains(&said) {
                self.staff.seen.said.push(said);
            }
            return;
        }
        let Ok(seen) = serde_json::from_slice::<Value>(&message.body) else { return };
        let fresh = seen["age_ms"].as_u64().is_some_and(|age| age < OLD_MS);
        self.staff.old = if fresh { 0 } else { self.staff.old + 1 };
        let shown = &seen["shown"];
        let Some(machines) = shown["machines"].as_array().filter(|machines| !machines.is_empty()) else {
            // Handed in, and not yet there: the datagram may have got lost.
            let known =
                shown["answers"].as_array().is_some_and(|all| all.iter().any(|a| a[0] == self.staff.name));
            self.staff.taken &= known || shown.is_null();
            return;
        };
        self.sees_plan(shown, machines);
    }

    fn sees_plan(&mut self, shown: &Value, machines: &[Value]) {
        let now = self.now();
        self.staff.seen.machines = machines.len();
        self.staff.seen.phases.clear();
        if let Some(why) = shown["why"].as_str().filter(|why| !why.is_empty()) {
            *self
                .staff
                .seen
                .why
                .entry(format!("{}: {why}", shown["standing"].as_str().unwrap_or_default()))
                .or_default() += 1;
        }
        let places: BTreeMap<String, usize> =
            self.executors.iter().enumerate().map(|(at, e)| (e.name.clone(), at)).collect();
        for machine in machines {
            let phase = machine["phase"].as_str().unwrap_or_default();
            *self.staff.seen.phases.entry(phase.to_owned()).or_default() += 1;
        }
        let PlanSeen { phases, course, .. } = &mut self.staff.seen;
        if course.last().is_none_or(|(_, last)| last != phases) {
            course.push((now.since(Instant(START)).seconds(), phases.clone()));
        }
        for machine in machines {
            let phase = machine["phase"].as_str().unwrap_or_default();
            let name = machine["name"].as_str().unwrap_or_default();
            if let Some(node) = name.strip_prefix("node ").and_then(|number| number.parse().ok()) {
                let number = machine["number"].as_u64().unwrap_or(0);
                if phase == "out" {
                    self.agent_sees_node_out(node, number);
                }
                continue;
            }
            let Some(&at) = places.get(name) else { continue };
            match phase {
                "draining" => drop(self.staff.draining.entry(at).or_insert(now)),
                "quiet" => {
                    self.staff.draining.entry(at).or_insert(now);
                    self.agent_looks(at, machine["number"].as_u64().unwrap_or(0));
                }
                "out" => {
                    let number = machine["number"].as_u64().unwrap_or(0);
                    if let Some(since) = self.staff.draining.remove(&at) {
                        self.staff.drained_s.push(now.since(since).seconds());
                    }
                    if self.staff.agents[at].is_none() && number > self.staff.by[at] {
                        self.staff.by[at] = number;
                        self.agent_sees_out(at);
                    }
                }
                _ => drop(self.staff.draining.remove(&at)),
            }
        }
        let over = shown["standing"] == "over";
        if let Some(began) = self.staff.began.filter(|_| over && self.staff.seen.took_s.is_none()) {
            self.staff.seen.took_s = Some(now.since(began).seconds());
        }
    }

    /// The agent of a machine to which nobody may send any more says so when nothing runs or waits there.
    fn agent_looks(&mut self, at: usize, number: u64) {
        if self.executors[at].machine.filled() != (0, 0) {
            return;
        }
        let (now, node) = (self.now(), self.staff.asked);
        let body = format!("{} {number}", self.executors[at].name);
        let name: u32 = self.chance.random();
        let call = said(&format!("POST /fleet/idle?name={name} HTTP/1.1\r\nHost: x\r\n"), body.as_bytes());
        if let Ok(key) = self.wire.dials(self.nodes[node].console(), Owner::Agent(at), CLEAR, now) {
            self.wire.says(key, call, now);
        }
    }

    fn agent_sees_out(&mut self, at: usize) {
        let now = self.now();
        self.staff.agents[at] = Some(Agent::Watches);
        let (running, waiting) = self.executors[at].machine.filled();
        if running + waiting > 0 {
            let whose = self.executors[at].whose();
            let what = format!(
                "is out with {running} units that run and {waiting} that wait: (unit, node) {whose:?}"
            );
            self.book.at_out(now, at, what);
        }
        let out = self.staff.agents.iter().flatten().count();
        self.staff.seen.most_out = self.staff.seen.most_out.max(out);
        let most = self.scenario.maintenance.as_ref().map_or(0, |plan| plan.most_out as usize);
        if out > most {
            self.book.at_out(now, at, format!("is one of {out} that are out, {most} may be"));
        }
        self.after(WATCHES, Task::AgentActs(at));
    }

    /// The agent at a node's own machine: what the node has in hand is counted from outside.
    fn agent_sees_node_out(&mut self, node: usize, number: u64) {
        let known = self.staff.node_by.get(node).copied();
        let is_new = known.is_some_and(|by| number > by) && self.staff.node_agents[node].is_none();
        if !is_new {
            return;
        }
        let now = self.now();
        let life = self.nodes[node].life;
        (self.staff.node_agents[node], self.staff.node_by[node]) = (Some((Agent::Watches, life)), number);
        let waits = self.units.values().filter(|open| open.node == node && open.was_sent()).count();
        let runs = self
            .executors
            .iter()
            .flat_map(super::executors::Executor::whose)
            .filter(|(_, of)| *of == node)
            .count();
        if waits + runs > 0 {
            let what =
                format!("is out, and {waits} units wait for it and {runs} of its run or wait at executors");
            self.book.node_at_out(now, node, what);
        }
        let out = self.staff.node_agents.iter().flatten().count();
        self.staff.seen.most_nodes_out = self.staff.seen.most_nodes_out.max(out);
        let most = self.scenario.maintenance.as_ref().map_or(0, |plan| plan.most_nodes_out as usize);
        if out > most {
            self.book.node_at_out(now, node, format!("is one of {out} that are out, {most} may be"));
        }
        let zones = self.scenario.nodes.zones.len();
        let agents = self.staff.node_agents.iter().enumerate();
        let in_zone = agents.filter(|(at, agent)| agent.is_some() && at % zones == node % zones).count();
        let most = self.scenario.maintenance.as_ref().and_then(|plan| plan.most_nodes_out_a_zone);
        if let Some(most) = most.filter(|most| in_zone > *most as usize) {
            let what = format!("is one of {in_zone} of its zone that are out, {most} may be");
            self.book.node_at_out(now, node, what);
        }
        self.after(WATCHES, Task::NodeAgentActs(node));
    }

    /// The agent ends the node's process, or starts it anew.
    pub fn node_agent_acts(&mut self, node: usize) -> std::io::Result<()> {
        let Some(plan) = self.scenario.maintenance.clone() else { return Ok(()) };
        match self.staff.node_agents[node] {
            Some((_, life)) if self.nodes[node].life != life => self.staff.node_agents[node] = None,
            Some((Agent::Watches, life)) => {
                self.staff.node_agents[node] = Some((Agent::Works, life));
                if self.nodes[node].is_up() {
                    self.nodes[node].kill();
                    self.node_is_gone(node);
                }
                self.after(ms(plan.work_s * 1e3), Task::NodeAgentActs(node));
            }
            Some((Agent::Works, _)) => {
                self.staff.node_agents[node] = None;
                if !self.nodes[node].is_up() {
                    self.start_node(node, false)?;
                }
            }
            None => {}
        }
        Ok(())
    }

    /// The agent takes its machine down, or brings it back.
    pub fn agent_acts(&mut self, at: usize) -> std::io::Result<()> {
        let Some(plan) = self.scenario.maintenance.clone() else { return Ok(()) };
        match self.staff.agents[at] {
            Some(Agent::Watches) => {
                self.staff.agents[at] = Some(Agent::Works);
                self.executor_dies(at);
                self.list_changes(at, ExecutorStatus::Gone);
                if !plan.never_back.contains(&at) {
                    self.after(ms(plan.work_s * 1e3), Task::AgentActs(at));
                }
            }
            Some(Agent::Works) => {
                self.staff.agents[at] = None;
                self.executor_rises(at)?;
                self.list_changes(at, ExecutorStatus::Ready);
            }
            _ => {}
        }
        Ok(())
    }

    /// Something was sent to a machine while its agent watches it, out as it is.
    pub fn reaches_out(&mut self, at: usize, unit: u64, node: usize) {
        let seen = (Agent::Watches, self.nodes[node].life);
        if self.staff.node_agents.get(node) == Some(&Some(seen)) {
            let now = self.now();
            self.book.node_at_out(now, node, format!("is out, and sent unit {unit} to executor {at}"));
        }
        if self.staff.agents.get(at) == Some(&Some(Agent::Watches)) {
            let now = self.now();
            self.book.at_out(now, at, format!("is out, and unit {unit} came from node {node}"));
        }
    }

    pub fn plan_seen(&self) -> Option<PlanSeen> {
        let plan = self.scenario.maintenance.as_ref()?;
        let drained = &self.staff.drained_s;
        let drained_mean_s = drained.iter().sum::<f64>() / drained.len().max(1) as f64;
        let rounds =
            self.staff.seen.machines.saturating_sub(plan.nodes.len()) as f64 / f64::from(plan.most_out);
        let least_s = rounds * (drained_mean_s + WATCHES.seconds() + plan.work_s);
        Some(PlanSeen { drained_mean_s, least_s, nodes: plan.nodes.len(), ..self.staff.seen.clone() })
    }
}

impl Display for PlanSeen {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let phases: Vec<String> =
            self.phases.iter().map(|(phase, count)| format!("{count} {phase}")).collect();
        let took = self.took_s.map_or("not over".to_owned(), |s| format!("over after {s:.1} s"));
        writeln!(
            f,
            "plan of {} machines: {}, {took}, least by its limits {:.1} s; drained {:.2} s in the mean; most out {}",
            self.machines,
            phases.join(", "),
            self.least_s,
            self.drained_mean_s,
            self.most_out
        )?;
        if self.nodes > 0 {
            writeln!(f, "  {} of them nodes, most out {}", self.nodes, self.most_nodes_out)?;
        }
        let mut why: Vec<(&String, &u64)> = self.why.iter().collect();
        why.sort_by_key(|(_, times)| std::cmp::Reverse(**times));
        why.iter().take(6).try_for_each(|(why, times)| writeln!(f, "  seen {times} times: {why}"))?;
        self.said.iter().try_for_each(|said| writeln!(f, "  a node said: {said}"))
    }
}
