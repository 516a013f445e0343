//! The progress of the machines of a plan: what delays each, which one is next, and when the plan stops
//! itself.

use super::{
    ActivePlan, Machine, MaintenanceState, Outcome, Phase, PlanChange, PlanState, REJECTION_WINDOW_MS,
    Sender, ZoneView, is_closed,
};
use crate::LONG_ABSENCE_LEASES;
use crate::plan::{Plan, WhenLost};
use grebeusher_budgets::Holder;
use std::collections::BTreeMap;

/// The least number of units in the window from which the share of rejected units is judged.
const MIN_SAMPLE_UNITS: u64 = 50;
/// The time without a reason to stop after which a stopped plan resumes by itself.
const RESUME_AFTER_MS: u64 = 5000;

impl MaintenanceState {
    /// Returns a node that may not know of a decision and may act as if it had not been made. A node whose
    /// permission has expired counts too, until it has been without one for so long ([`LONG_ABSENCE_LEASES`]) that it avoids
    /// all machines of the plan.
    fn unaware_node(&self, plan: &Plan, number: u64) -> Option<u32> {
        let without = |node: &u32| plan.without.contains(node);
        let silent_node = (0..self.nodes).find(|node| !self.heard_nodes.contains(node) && !without(node));
        let long_ms = LONG_ABSENCE_LEASES * self.permission_ms;
        let late = |(_, sender): &(&Holder, &Sender)| {
            !sender.is_dead && sender.known_decision < number && sender.expires_ms + long_ms > self.clock_ms
        };
        silent_node.or_else(|| Some(self.senders.iter().find(late)?.0.number))
    }

    /// Returns a node that may still send to a closed machine, or may have work in flight there.
    pub(super) fn delaying_node(&self, plan: &Plan, machine: &Machine) -> Option<u32> {
        let longest_ms = plan.longest_unit_s * 1000;
        let delays = |(_, sender): &(&Holder, &Sender)| {
            !sender.is_drained(machine) && sender.expires_ms + longest_ms > self.clock_ms
        };
        Some(self.senders.iter().find(delays)?.0.number)
    }

    /// Returns a node that may still send to a closed machine, or reports work in flight there.
    fn possible_sender(&self, machine: &Machine) -> Option<u32> {
        let may = |(_, sender): &(&Holder, &Sender)| {
            !sender.is_drained(machine) && !sender.is_dead && sender.expires_ms > self.clock_ms
        };
        Some(self.senders.iter().find(may)?.0.number)
    }

    /// The number of executors in each zone that went down since the plan began, outside the plan.
    fn executors_down(&self, active: &ActivePlan) -> BTreeMap<String, u32> {
        let by_plan = |zone: &str| {
            let own = active
                .machines
                .iter()
                .filter(|m| m.node.is_none() && m.zone == zone && !m.ready && is_closed(m.phase));
            own.count() as u32
        };
        let down = |zone: &ZoneView| {
            let before = active.down_before.get(&zone.zone).copied().unwrap_or(0);
            let down = zone.listed.saturating_sub(zone.ready).saturating_sub(by_plan(&zone.zone));
            (zone.zone.clone(), down.saturating_sub(before))
        };
        self.view.zones.iter().map(down).collect()
    }

    /// Returns a reason to stop the plan, if there is one.
    fn stop_reason(&self, active: &ActivePlan) -> Option<String> {
        if let Some((_, units, back)) = self.load_samples.first() {
            let (units, back) = (self.total_counts.0 - units, self.total_counts.1 - back);
            let most = active.plan.most_turned_back;
            if units >= MIN_SAMPLE_UNITS && back as f64 > most * units as f64 {
                let part = 100.0 * back as f64 / units as f64;
                return Some(format!(
                    "{part:.1}% of the work was turned back within {} s",
                    REJECTION_WINDOW_MS / 1000
                ));
            }
        }
        let lost = |zone: &&ZoneView| {
            let executors = active.machines.iter().filter(|m| m.node.is_none() && is_closed(m.phase));
            let planned = executors.filter(|m| m.zone == zone.zone).count();
            zone.listed > 1 && zone.ready == 0 && zone.listed > planned as u32
        };
        let zone = self.view.zones.iter().find(lost);
        zone.map(|zone| format!("no executor is ready in zone {}", zone.zone))
    }

    pub(super) fn advance(&mut self, outcomes: &mut Vec<Outcome>) {
        let Some(mut active) = self.active.take() else { return };
        self.stop_or_resume(&mut active, outcomes);
        for at in 0..active.machines.len() {
            self.advance_machine(&mut active, at, outcomes);
        }
        let is_finished =
            |machine: &Machine| matches!(machine.phase, Phase::Done | Phase::Left | Phase::Lost);
        if active.state != PlanState::Finished && active.machines.iter().all(is_finished) {
            active.state = PlanState::Finished;
            let what = format!("the plan {:?} is over", active.plan.name);
            outcomes.push(Outcome::PlanChange(PlanChange { number: self.number, what }));
        }
        active.waiting_for.clear();
        if active.state == PlanState::Running {
            self.close_machines(&mut active, outcomes);
        }
        self.active = Some(active);
    }

    fn stop_or_resume(&mut self, active: &mut ActivePlan, outcomes: &mut Vec<Outcome>) {
        let stop_reason = self.stop_reason(active);
        if stop_reason.is_some() {
            active.stop_reason_seen_ms = Some(self.clock_ms);
        }
        let is_calm = active.stop_reason_seen_ms.is_none_or(|at| self.clock_ms >= at + RESUME_AFTER_MS);
        let what = match (&active.state, stop_reason) {
            (PlanState::Running, Some(why)) => {
                active.state = PlanState::Stopped(why.clone());
                format!("stopped: {why}")
            }
            (PlanState::Stopped(_), None) if is_calm && active.plan.goes_on => {
                active.state = PlanState::Running;
                "goes on by itself".to_owned()
            }
            _ => return,
        };
        outcomes.push(Outcome::PlanChange(PlanChange { number: self.number, what }));
    }

    /// Moves a machine to its next phase if what is known of it allows that.
    fn advance_machine(&mut self, active: &mut ActivePlan, at: usize, outcomes: &mut Vec<Outcome>) {
        let ActivePlan { plan, state, machines, .. } = active;
        let machine = &machines[at];
        let for_ms = self.clock_ms - machine.since_ms;
        let back = machine.ready && machine.started_ms > machine.closed_start_ms;
        let (phase, why) = match machine.phase {
            // The machine died or was removed and came back by itself: nothing that was sent to it is there
            // any more.
            Phase::Draining | Phase::Quiet if back => {
                (Phase::Back, "back by a new start while it drained".to_owned())
            }
            Phase::Draining if machine.node.is_some() => match self.is_drained(machine) {
                true => (Phase::Out, String::new()),
                false if for_ms >= plan.drain_within_s * 1000 => {
                    (Phase::Left, format!("it was not through after {} s", for_ms / 1000))
                }
                false => return,
            },
            Phase::Draining
                if self.possible_sender(machine).is_none() && self.delaying_node(plan, machine).is_some() =>
            {
                (Phase::Quiet, "something may still run there".to_owned())
            }
            Phase::Draining | Phase::Quiet => match self.delaying_node(plan, machine) {
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
        if phase == Phase::Lost && plan.when_lost == WhenLost::Stop && *state == PlanState::Running {
            // Only operators resume the plan: a lost machine does not come back by waiting.
            *state = PlanState::Paused;
        }
        self.set_phase(&mut machines[at], phase, why, outcomes);
        if let Some(node) = machines[at].node.filter(|_| phase == Phase::Out) {
            self.remove_processes(node);
        }
    }

    pub(super) fn set_phase(
        &mut self,
        machine: &mut Machine,
        phase: Phase,
        why: String,
        outcomes: &mut Vec<Outcome>,
    ) {
        self.number += 1;
        let what = format!(
            "{}: {:?} to {phase:?}{}{why}",
            machine.name,
            machine.phase,
            if why.is_empty() { "" } else { ", " }
        );
        outcomes.push(Outcome::PlanChange(PlanChange { number: self.number, what }));
        (machine.phase, machine.since_ms, machine.number, machine.why) =
            (phase, self.clock_ms, self.number, why);
    }

    /// Announces the next machines, and closes those that all nodes know of, as far as the limits allow.
    fn close_machines(&mut self, active: &mut ActivePlan, outcomes: &mut Vec<Outcome>) {
        // A limit that delays executors does not delay nodes, and the reverse.
        for of_nodes in [false, true] {
            let waiting_for = self.close_machines_of_kind(active, of_nodes, outcomes);
            if !waiting_for.is_empty() && !active.waiting_for.is_empty() {
                active.waiting_for.push_str("; ");
            }
            active.waiting_for.push_str(&waiting_for);
        }
    }

    /// Announces and closes either executors or nodes; returns what the next machine waits for.
    fn close_machines_of_kind(
        &mut self,
        active: &mut ActivePlan,
        of_nodes: bool,
        outcomes: &mut Vec<Outcome>,
    ) -> String {
        let most = if of_nodes { active.plan.most_nodes_out } else { active.plan.most_out };
        loop {
            let next =
                |machine: &&Machine| machine.phase == Phase::Next && machine.node.is_some() == of_nodes;
            if active.machines.iter().filter(next).count() < most as usize
                && let Some(at) = self.next_machine(active, Phase::Waiting, of_nodes)
            {
                self.set_phase(&mut active.machines[at], Phase::Next, String::new(), outcomes);
                continue;
            }
            let Some(at) = self.next_machine(active, Phase::Next, of_nodes) else { return String::new() };
            let blocked = match active.machines[at].node {
                Some(node) => self.node_blocking_reason(active, &active.machines[at], node),
                None => self.blocking_reason(active, at),
            };
            if let Some(waiting_for) = blocked {
                return waiting_for;
            }
            let machine = &mut active.machines[at];
            machine.closed_start_ms = machine.started_ms;
            self.set_phase(machine, Phase::Draining, String::new(), outcomes);
            machine.closed_by = machine.number;
        }
    }

    /// Returns the index of the machine of this phase that is next: first by the operators' order, then
    /// machines of zones with room, then voters last, then by the fewest machines taken from the zone so far,
    /// then by the least work in flight.
    fn next_machine(&self, active: &ActivePlan, phase: Phase, of_nodes: bool) -> Option<usize> {
        let own = |machine: &Machine| machine.phase == phase && machine.node.is_some() == of_nodes;
        let all = active.machines.iter().enumerate().filter(|(_, machine)| own(machine));
        let down = self.executors_down(active);
        let rank = |(at, machine): &(usize, &Machine)| {
            let priority =
                active.plan.first.iter().position(|name| *name == machine.name).unwrap_or(usize::MAX);
            let zone = self.zone_of(machine);
            let in_zone = |phases: &[Phase]| {
                let own = active
                    .machines
                    .iter()
                    .filter(|m| m.node.is_some() == of_nodes && self.zone_of(m) == zone);
                own.filter(|m| phases.contains(&m.phase)).count()
            };
            let (most, down) = match machine.node {
                Some(_) => (active.plan.most_nodes_out_a_zone, self.nodes_down(active, zone)),
                None => (active.plan.most_out_a_zone, down.get(zone).copied().unwrap_or(0)),
            };
            let out = in_zone(&[Phase::Draining, Phase::Quiet, Phase::Out]) as u32 + down;
            let full = out >= most;
            let taken =
                in_zone(&[Phase::Next, Phase::Draining, Phase::Quiet, Phase::Out, Phase::Back, Phase::Lost]);
            let units_in_flight: u32 = self
                .senders
                .values()
                .filter_map(|s| s.in_flight.get(&machine.hash))
                .map(|n| u32::from(*n))
                .sum();
            // Voters are drained last among the nodes: while a voter is down, losing another one costs more
            // than losing any other node.
            let is_voter = machine.node.is_some_and(|node| self.voters.contains(&node));
            (priority, full, is_voter, taken, units_in_flight, *at)
        };
        all.min_by_key(rank).map(|(at, _)| at)
    }

    /// Returns the reason why this executor may not be closed now, if any.
    fn blocking_reason(&self, active: &ActivePlan, at: usize) -> Option<String> {
        let (plan, machine) = (&active.plan, &active.machines[at]);
        let executors = || active.machines.iter().filter(|m| m.node.is_none());
        let count = |phases: &[Phase]| executors().filter(|m| phases.contains(&m.phase)).count();
        if self.view.zones.is_empty() || !machine.seen {
            return Some("a word of the list".to_owned());
        }
        let down = self.executors_down(active);
        let down_total: u32 = down.values().sum();
        let out = count(&[Phase::Draining, Phase::Quiet, Phase::Out, Phase::Lost]) as u32 + down_total;
        if out >= plan.most_out {
            return Some(format!("{out} are out or down, {} may be", plan.most_out));
        }
        let in_zone = executors().filter(|m| m.zone == machine.zone && is_closed(m.phase));
        let zone_out = in_zone.count() as u32 + down.get(&machine.zone).copied().unwrap_or(0);
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
        // Closed executors that the list still reports as ready serve nothing.
        let ready: u32 = self.view.zones.iter().map(|zone| zone.ready).sum();
        let closed = executors().filter(|m| m.ready && is_closed(m.phase)).count() as u32;
        let stay = ready.saturating_sub(closed + u32::from(machine.ready));
        if stay < plan.least_ready {
            return Some(format!("{stay} would stay ready, {} must", plan.least_ready));
        }
        self.unaware_node(plan, machine.number)
            .map(|node| format!("node {node}, which may not have heard of the plan"))
    }
}
