//! The progress of the machines of a plan: what delays each, which one is next, and when the plan stops
//! itself.

use super::{Machine, Moved, Outcome, Phase, Plans, Sender, Standing, TIDE_MS, Works, ZoneSeen, is_closed};
use crate::LONG;
use crate::plan::{Plan, WhenLost};
use grebeusher_budgets::Holder;
use std::collections::BTreeMap;

/// The least number of units in the window from which the share of rejected units is judged.
const FEW: u64 = 50;
/// The time without a reason to stop after which a stopped plan resumes by itself.
const CALM_MS: u64 = 5000;

impl Works {
    /// Returns a node that may not know of a decision and may act as if it had not been made. A node whose
    /// permission has expired counts too, until it has been without one for so long ([`LONG`]) that it avoids
    /// all machines of the plan.
    fn unaware(&self, plan: &Plan, number: u64) -> Option<u32> {
        let without = |node: &u32| plan.without.contains(node);
        let unheard = (0..self.nodes).find(|node| !self.heard.contains(node) && !without(node));
        let long_ms = LONG * self.permission_ms;
        let late = |(_, sender): &(&Holder, &Sender)| {
            !sender.dead && sender.knows < number && sender.until_ms + long_ms > self.clock_ms
        };
        unheard.or_else(|| Some(self.senders.iter().find(late)?.0.number))
    }

    /// Returns a node that may still send to a closed machine, or may have work in flight there.
    pub(super) fn holds_up(&self, plan: &Plan, machine: &Machine) -> Option<u32> {
        let longest_ms = plan.longest_unit_s * 1000;
        let holds = |(_, sender): &(&Holder, &Sender)| {
            !sender.is_through(machine) && sender.until_ms + longest_ms > self.clock_ms
        };
        Some(self.senders.iter().find(holds)?.0.number)
    }

    /// Returns a node that may still send to a closed machine, or reports work in flight there.
    fn may_send(&self, machine: &Machine) -> Option<u32> {
        let may = |(_, sender): &(&Holder, &Sender)| {
            !sender.is_through(machine) && !sender.dead && sender.until_ms > self.clock_ms
        };
        Some(self.senders.iter().find(may)?.0.number)
    }

    /// The number of executors in each zone that went down since the plan began, outside the plan.
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

    /// Returns a reason to stop the plan, if there is one.
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

    pub(super) fn moves_on(&mut self, outcomes: &mut Vec<Outcome>) {
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

    /// Moves a machine to its next phase if what is known of it allows that.
    fn moves(&mut self, plans: &mut Plans, at: usize, outcomes: &mut Vec<Outcome>) {
        let Plans { plan, standing, machines, .. } = plans;
        let machine = &machines[at];
        let for_ms = self.clock_ms - machine.since_ms;
        let back = machine.ready && machine.started_ms > machine.closed_start_ms;
        let (phase, why) = match machine.phase {
            // The machine died or was removed and came back by itself: nothing that was sent to it is there
            // any more.
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
            // Only operators resume the plan: a lost machine does not come back by waiting.
            *standing = Standing::Paused;
        }
        self.goes(&mut machines[at], phase, why, outcomes);
        if let Some(node) = machines[at].node.filter(|_| phase == Phase::Out) {
            self.forgets(node);
        }
    }

    pub(super) fn goes(
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
        outcomes.push(Outcome::Moved(Moved { number: self.number, what }));
        (machine.phase, machine.since_ms, machine.number, machine.why) =
            (phase, self.clock_ms, self.number, why);
    }

    /// Announces the next machines, and closes those that all nodes know of, as far as the limits allow.
    fn takes(&mut self, plans: &mut Plans, outcomes: &mut Vec<Outcome>) {
        // A limit that delays executors does not delay nodes, and the reverse.
        for of_nodes in [false, true] {
            let waits_for = self.takes_of(plans, of_nodes, outcomes);
            if !waits_for.is_empty() && !plans.waits_for.is_empty() {
                plans.waits_for.push_str("; ");
            }
            plans.waits_for.push_str(&waits_for);
        }
    }

    /// Announces and closes either executors or nodes; returns what the next machine waits for.
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

    /// Returns the index of the machine of this phase that is next: first by the operators' order, then
    /// machines of zones with room, then voters last, then by the fewest machines taken from the zone so far,
    /// then by the least work in flight.
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
            // Voters are drained last among the nodes: while a voter is down, losing another one costs more
            // than losing any other node.
            let keeps = machine.node.is_some_and(|node| self.keepers.contains(&node));
            (insisted, full, keeps, taken, held, *at)
        };
        all.min_by_key(rank).map(|(at, _)| at)
    }

    /// Returns the reason why this executor may not be closed now, if any.
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
        // Closed executors that the list still reports as ready serve nothing.
        let ready: u32 = self.view.zones.iter().map(|zone| zone.ready).sum();
        let closed = executors().filter(|m| m.ready && is_closed(m.phase)).count() as u32;
        let stay = ready.saturating_sub(closed + u32::from(machine.ready));
        if stay < plan.least_ready {
            return Some(format!("{stay} would stay ready, {} must", plan.least_ready));
        }
        self.unaware(plan, machine.number)
            .map(|node| format!("node {node}, which may not have heard of the plan"))
    }
}
