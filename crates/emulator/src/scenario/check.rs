//! What a scenario must keep: each value within its range, each name that of something there. The first fault is named by its
//! place, in the order of the sections.

use super::{Budget, Executors, Fault, Maintenance, Nodes, Scenario, Storm, Tariff, What};
use crate::laws::Sizes;
use std::fmt::Display;
use std::ops::RangeInclusive;

/// The longest span of a scenario, in seconds and in milliseconds.
const MAX_SPAN_S: f64 = 1e6;
const MAX_SPAN_MS: f64 = 1e9;
const SHARE: RangeInclusive<f64> = 0.0..=1.0;

impl Scenario {
    pub(super) fn check(&self) -> Result<(), String> {
        within("length_s", self.length_s, 0.001..=MAX_SPAN_S)?;
        within("settles_s", self.settles_s, 0.0..=self.length_s)?;
        check_nodes(&self.nodes)?;
        filled("executors", &self.executors)?;
        self.executors
            .iter()
            .enumerate()
            .try_for_each(|(at, executors)| self.check_executors(at, executors))?;
        filled("tariffs", &self.tariffs)?;
        self.tariffs.iter().enumerate().try_for_each(|(at, tariff)| check_tariff(at, tariff))?;
        self.check_network()?;
        self.check_discovery_and_clients()?;
        self.check_rules()?;
        self.budgets.iter().enumerate().try_for_each(|(at, budget)| self.check_budget(at, budget))?;
        self.maintenance.iter().try_for_each(|plan| self.check_maintenance(plan))?;
        self.storm.iter().try_for_each(|storm| self.check_storm(storm))?;
        self.faults.iter().enumerate().try_for_each(|(at, fault)| self.check_fault(at, fault))
    }

    fn check_executors(&self, at: usize, executors: &Executors) -> Result<(), String> {
        let key = |key: &str| format!("executors[{at}].{key}");
        within(&key("count"), executors.count, 1..=100_000)?;
        within(&key("slots"), executors.slots, 1..=100_000)?;
        within(&key("pace"), executors.pace, 0.001..=1000.0)?;
        within(&key("cold_share"), executors.cold_share, 0.001..=1.0)?;
        within(&key("warm_s"), executors.warm_s, 0.0..=MAX_SPAN_S)?;
        within(&key("error_share"), executors.error_share, SHARE)?;
        executors.zones.iter().try_for_each(|name| self.check_zone(&key("zones"), name))
    }

    fn check_network(&self) -> Result<(), String> {
        let network = &self.network;
        let values = [
            ("delay_ms", network.delay_ms, MAX_SPAN_MS),
            ("cross_delay_ms", network.cross_delay_ms, MAX_SPAN_MS),
            ("spread", network.spread, 100.0),
            ("resets", network.resets, 1.0),
            ("handshake_trips", network.handshake_trips, 100.0),
            ("handshake_work_ms", network.handshake_work_ms, MAX_SPAN_MS),
            ("idle_s", network.idle_s, MAX_SPAN_S),
            ("dial_within_ms", network.dial_within_ms, MAX_SPAN_MS),
            ("taken_within_ms", network.taken_within_ms, MAX_SPAN_MS),
        ];
        let mut values = values.into_iter();
        values.try_for_each(|(key, value, most)| within(&format!("network.{key}"), value, 0.0..=most))
    }

    fn check_discovery_and_clients(&self) -> Result<(), String> {
        let discovery = &self.discovery;
        within("discovery.notice_ms", discovery.notice_ms, 0.0..=MAX_SPAN_MS)?;
        within("discovery.calls_per_s", discovery.calls_per_s, 0.001..=1e9)?;
        within("discovery.call_within_ms", discovery.call_within_ms, 0.0..=MAX_SPAN_MS)?;
        let clients = &self.clients;
        within("clients.repeats", clients.repeats, 0..=1000)?;
        within("clients.backoff_ms", clients.backoff_ms, 0.0..=MAX_SPAN_MS)?;
        within("clients.leave_share", clients.leave_share, SHARE)?;
        within("clients.front_notice_ms", clients.front_notice_ms, 0.0..=MAX_SPAN_MS)
    }

    fn check_rules(&self) -> Result<(), String> {
        let rules = &self.rules;
        within("rules.drain_grace_ms", rules.drain_grace_ms, 0.0..=MAX_SPAN_MS)?;
        within("rules.cold_share", rules.cold_share, SHARE)?;
        within("rules.warm_within_s", rules.warm_within_s, 0.0..=MAX_SPAN_S)?;
        within("rules.fall_factor", rules.fall_factor, 0.001..=1e6)?;
        within("rules.fall_window_ms", rules.fall_window_ms, 1.0..=MAX_SPAN_MS)?;
        within("rules.slack_ms", rules.slack_ms, 0.0..=MAX_SPAN_MS)
    }

    fn check_budget(&self, at: usize, budget: &Budget) -> Result<(), String> {
        let key = |key: &str| format!("budgets[{at}].{key}");
        if !self.tariffs.iter().any(|tariff| tariff.name == budget.tariff) {
            return Err(format!("{}: expected a tariff, found {:?}", key("tariff"), budget.tariff));
        }
        within(&key("units"), budget.units, 1..=1_000_000)?;
        within(&key("window_ms"), budget.window_ms, 10.0..=MAX_SPAN_MS)?;
        let floors = budget.floor.saturating_mul(self.nodes.count as u32);
        within(&key("floor, at all nodes"), floors, 0..=budget.units)?;
        if !self.nodes.talk {
            return Err("budgets: expected nodes that talk".to_owned());
        }
        Ok(())
    }

    fn check_maintenance(&self, plan: &Maintenance) -> Result<(), String> {
        within("maintenance.at_s", plan.at_s, 0.0..=self.length_s)?;
        within("maintenance.part", plan.part, 0.001..=1.0)?;
        within("maintenance.most_out", plan.most_out, 1..=100_000)?;
        within("maintenance.most_nodes_out", plan.most_nodes_out, 1..=100_000)?;
        for (list, nodes) in [("nodes", &plan.nodes), ("older", &plan.older)] {
            for (at, node) in nodes.iter().enumerate() {
                within(&format!("maintenance.{list}[{at}]"), *node, 0..=self.nodes.count - 1)?;
            }
        }
        within("maintenance.least_ready", plan.least_ready, SHARE)?;
        within("maintenance.work_s", plan.work_s, 0.0..=MAX_SPAN_S)?;
        within("maintenance.permission_ms", plan.permission_ms, 1000..=600_000)?;
        if !self.nodes.talk {
            return Err("maintenance: expected nodes that talk".to_owned());
        }
        Ok(())
    }

    fn check_storm(&self, storm: &Storm) -> Result<(), String> {
        filled("storm.what", &storm.what)?;
        if let Some(at) = storm.what.iter().position(|what| *what == What::PostBudgets) {
            return Err(format!("storm.what[{at}]: expected a fault that can be drawn; list this one"));
        }
        within("storm.count", storm.count, 0..=1000)?;
        within("storm.from_s", storm.from_s, 0.0..=self.length_s)?;
        within("storm.until_s", storm.until_s, storm.from_s..=self.length_s)?;
        within("storm.shortest_s", storm.shortest_s, 0.0..=MAX_SPAN_S)?;
        within("storm.longest_s", storm.longest_s, storm.shortest_s..=MAX_SPAN_S)?;
        within("storm.most_part", storm.most_part, SHARE)
    }

    fn check_zone(&self, key: &str, zone: &str) -> Result<(), String> {
        let zones = self.nodes.zones.join(", ");
        self.zone(zone).map(drop).ok_or_else(|| format!("{key}: expected one of {zones}, found {zone:?}"))
    }

    fn check_fault(&self, at: usize, fault: &Fault) -> Result<(), String> {
        let key = |key: &str| format!("faults[{at}].{key}");
        within(&key("at_s"), fault.at_s, 0.0..=self.length_s)?;
        within(&key("for_s"), fault.for_s, 0.0..=MAX_SPAN_S)?;
        within(&key("part"), fault.part.unwrap_or(0.0), 0.0..=1.0)?;
        within(&key("factor"), fault.factor.unwrap_or(1.0), 0.001..=1e6)?;
        within(&key("delay_ms"), fault.delay_ms.unwrap_or(0.0), 0.0..=60_000.0)?;
        within(&key("loss"), fault.loss.unwrap_or(0.0), 0.0..=1.0)?;
        within(&key("bytes"), fault.bytes.unwrap_or(1), 1..=1_000_000_000)?;
        if let Some(zone) = &fault.zone {
            self.check_zone(&key("zone"), zone)?;
        }
        let whom = [fault.part.is_some(), fault.zone.is_some(), fault.these.is_some()];
        if (fault.what == What::PostBudgets) != fault.units.is_some() {
            return Err(format!("{}: expected with post-budgets, and only there", key("units")));
        }
        if let Some(units) = fault.units {
            let floors = self.budgets.first().map(|b| b.floor.saturating_mul(self.nodes.count as u32));
            let floors = floors.ok_or_else(|| format!("{}: expected a budget", key("what")))?;
            within(&key("units"), units, floors.max(1)..=1_000_000)?;
        }
        match fault.what {
            What::CutZone if whom != [false, true, false] => {
                Err(format!("{}: expected a zone, alone", key("zone")))
            }
            What::DiscoveryDown | What::Silence if whom != [false; 3] => {
                Err(format!("{}: expected neither part nor zone nor places with this fault", key("what")))
            }
            What::CutZone | What::DiscoveryDown | What::Silence => Ok(()),
            _ if whom.iter().filter(|by| **by).count() != 1 => {
                Err(format!("{}: expected either a part, a zone or places (these)", key("part")))
            }
            _ => Ok(()),
        }
    }
}

fn check_nodes(nodes: &Nodes) -> Result<(), String> {
    within("nodes.count", nodes.count, 1..=100_000)?;
    within("nodes.progress_ms", nodes.progress_ms, 0.0..=MAX_SPAN_MS)?;
    within("nodes.most_allocations", nodes.most_allocations, 1..=1000)?;
    within("nodes.told_count", nodes.told_count.unwrap_or(1), 1..=100_000)?;
    if nodes.talk && nodes.told_count.is_some_and(|told| told < nodes.count) {
        return Err(
            "nodes.told_count: expected at least one for each node that talks, as they go by numbers"
                .to_owned(),
        );
    }
    if !matches!(nodes.keepers, 1 | 3 | 5 | 7) {
        return Err(format!("nodes.keepers: expected 1, 3, 5 or 7, found {}", nodes.keepers));
    }
    if nodes.words && !nodes.talk {
        return Err("nodes.words: expected talk as well, found words alone".to_owned());
    }
    for (at, off) in nodes.clocks.iter().enumerate() {
        let key = |key: &str| format!("nodes.clocks[{at}].{key}");
        within(&key("part"), off.part, 0.0..=1.0)?;
        within(&key("ahead_ms"), off.ahead_ms, -8.64e7..=8.64e7)?;
        within(&key("pace"), off.pace, 0.5..=2.0)?;
    }
    within("nodes.busiest", nodes.busiest, 0.001..=1e6)?;
    if !(nodes.zone_shares.is_empty() || nodes.zone_shares.len() == nodes.zones.len()) {
        return Err(format!("nodes.zone_shares: expected one a zone, found {}", nodes.zone_shares.len()));
    }
    nodes.zone_shares.iter().try_for_each(|&share| within("nodes.zone_shares", share, 0.001..=1e6))?;
    if nodes.zones.is_empty() || nodes.zones.iter().any(String::is_empty) {
        return Err(format!("nodes.zones: expected at least one name, found {:?}", nodes.zones));
    }
    Ok(())
}

fn check_tariff(at: usize, tariff: &Tariff) -> Result<(), String> {
    let key = |key: &str| format!("tariffs[{at}].{key}");
    within(&key("per_s"), tariff.per_s, 1e-6..=1e7)?;
    within(&key("quoted_ms"), tariff.quoted_ms, 1.0..=MAX_SPAN_MS)?;
    within(&key("patience_ms"), tariff.patience_ms, 1.0..=MAX_SPAN_MS)?;
    within(&key("stretch"), tariff.stretch, 0.0..=1000.0)?;
    within(&key("earnings"), tariff.earnings, 0.0..=1e9)?;
    within(&key("late_part"), tariff.late_part, SHARE)?;
    within(&key("hint_cv"), tariff.hint_cv.unwrap_or(0.0), 0.0..=100.0)?;
    within(&key("size.mean_s"), tariff.size.mean_s(), 1e-6..=MAX_SPAN_S)?;
    match tariff.size {
        Sizes::Lognormal { cv, .. } => within(&key("size.cv"), cv, 0.0..=100.0),
        Sizes::Pareto { shape, ratio, .. } => {
            within(&key("size.shape"), shape, 0.1..=10.0)?;
            within(&key("size.ratio"), ratio, 1.001..=1e9)
        }
        Sizes::Fixed { .. } | Sizes::Exponential { .. } => Ok(()),
    }
}

fn within<T: PartialOrd + Display>(key: &str, value: T, range: RangeInclusive<T>) -> Result<(), String> {
    // What is no number at all is in no range.
    if range.contains(&value) {
        return Ok(());
    }
    Err(format!("{key}: expected from {} to {}, found {value}", range.start(), range.end()))
}

fn filled<T>(key: &str, list: &[T]) -> Result<(), String> {
    if list.is_empty() { Err(format!("{key}: expected at least one, found none")) } else { Ok(()) }
}
