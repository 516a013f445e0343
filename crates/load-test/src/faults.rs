//! The faults: which strikes whom and when is drawn from the seed before the run, and played to the time.

use crate::account::Line;
use crate::fleet::Fleet;
use crate::link::Trouble;
use grebeusher_dispatch::ExecutorStatus;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_emulator::scenario::{Fault, Scenario, Side, What, Whom};
use grebeusher_emulator::stage::{START, ms};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::io;

/// One that leaves is back so long after it has gone.
const AWAY: Duration = Duration::from_millis(1000);
/// A process that was told to stop is killed after the longest patience and so much more.
const MORE: Duration = Duration::from_millis(700);

/// A fault begins or ends, or is through with one of those that it strikes.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Strikes(usize, Vec<usize>),
    Mends(usize, Vec<usize>),
    /// A node that was told to stop is killed if it is still there, in the life that it had.
    EndsNode(usize, u32),
}

/// All steps in the order of their time: the same for the same scenario and seed.
pub fn plan(scenario: &Scenario) -> Vec<(Instant, Step)> {
    let mut chance = Pcg32::seed_from_u64(scenario.seed ^ u64::MAX);
    let zones = scenario.nodes.zones.len();
    let nodes: Vec<usize> = (0..scenario.nodes.count).map(|at| at % zones).collect();
    let executors: Vec<usize> = scenario.places().into_iter().map(|(_, zone)| zone).collect();
    let mut steps = Vec::new();
    for (at, fault) in scenario.faults.iter().enumerate() {
        let among = match (fault.what.whom(), fault.side) {
            (Whom::Executors, _) | (Whom::Links, Side::Executors) => Some(&executors),
            (Whom::Nodes, _) | (Whom::Links, Side::Discovery | Side::Fellows) => Some(&nodes),
            (Whom::Zone | Whom::All, _) => None,
        };
        let whom = among.map_or_else(Vec::new, |zones| scenario.whom(fault, zones, &mut chance));
        let strikes = Instant(START) + ms(fault.at_s * 1e3);
        let mends = strikes + ms(fault.for_s * 1e3);
        if fault.what == What::StopNodes {
            // One after the other, evenly over the time.
            for (number, &node) in whom.iter().enumerate() {
                let when = strikes + ms(fault.for_s * 1e3 * number as f64 / whom.len() as f64);
                steps.push((when, Step::Strikes(at, vec![node])));
            }
            continue;
        }
        steps.push((strikes, Step::Strikes(at, whom.clone())));
        steps.push((mends, Step::Mends(at, whom)));
    }
    steps.sort_by_key(|(when, _)| *when);
    steps
}

/// A step in words.
pub fn told(scenario: &Scenario, when: Instant, step: &Step) -> String {
    let s = when.since(Instant(START)).seconds();
    match step {
        Step::Strikes(at, whom) => {
            let Fault { what, side, way, zone, for_s, .. } = &scenario.faults[*at];
            let zone = zone.as_deref().unwrap_or("-");
            format!("{s:8.3} s {what:?} for {for_s:.3} s, {side:?} {way:?}, zone {zone}, {whom:?}")
        }
        Step::Mends(at, _) => format!("{s:8.3} s {:?} is over", scenario.faults[*at].what),
        Step::EndsNode(node, _) => format!("{s:8.3} s node {node} is ended"),
    }
}

impl Fleet {
    pub fn step(&mut self, at: usize) -> io::Result<()> {
        if self.accounts {
            let (when, step) = &self.steps[at];
            let told = told(&self.scenario, *when, step);
            let message =
                told.trim_start().split_once(" s ").map_or(told.clone(), |(_, what)| what.to_owned());
            let at_s = self.now().since(Instant(START)).seconds();
            self.account.push(Line::of_rig(at_s, "fault", message));
        }
        match self.steps[at].1.clone() {
            Step::Strikes(fault, whom) => self.strikes(fault, &whom),
            Step::Mends(fault, whom) => self.mends(fault, &whom),
            Step::EndsNode(node, life) => {
                if self.nodes[node].life == life && self.nodes[node].is_up() {
                    self.nodes[node].kill();
                    self.node_is_gone(node);
                    self.start_node(node, false)?;
                }
                Ok(())
            }
        }
    }

    fn strikes(&mut self, number: usize, whom: &[usize]) -> io::Result<()> {
        let fault = self.scenario.faults[number].clone();
        if let Some(trouble) = trouble(&fault) {
            return self.links_change(number, &fault, whom, Some(trouble));
        }
        for &at in whom {
            match fault.what {
                What::KillExecutors => self.executor_dies(at),
                What::DrainExecutors => self.list_changes(at, ExecutorStatus::Draining),
                What::SlowExecutors => self.executors[at].machine.slower *= fault.slows_by(),
                What::FailExecutors => self.executors[at].machine.fails += 1,
                What::FlatterExecutors => self.executors[at].machine.flatters += 1,
                What::UnlistExecutors => self.list_changes(at, ExecutorStatus::Gone),
                What::RestartNodes if self.nodes[at].is_up() => {
                    self.nodes[at].kill();
                    self.node_is_gone(at);
                }
                What::FreezeNodes => self.freezes(at, true),
                What::StopNodes if self.nodes[at].is_up() => {
                    self.nodes[at].stop();
                    let longest = self.scenario.tariffs.iter().map(|t| t.patience_ms).fold(0.0, f64::max);
                    let (when, life) = (self.now() + ms(longest) + MORE, self.nodes[at].life);
                    self.steps.push((when, Step::EndsNode(at, life)));
                    let last = self.steps.len() - 1;
                    self.at(when, crate::fleet::Task::Step(last));
                }
                What::FillDescriptors => self.nodes[at].fill_descriptors(true),
                What::PostBudgets => {
                    let units = fault.units.unwrap_or(0);
                    let edition = 2 + number as u64;
                    self.nodes[at].posts_budgets(&self.scenario, edition, units)?;
                }
                _ => {}
            }
        }
        if let Some(units) = fault.units {
            let now = self.now();
            self.posted_units.push((now, units));
        }
        match fault.what {
            What::DiscoveryDown => self.discovery_goes(true),
            What::Silence => {
                self.silent_until = self.silent_until.max(self.now() + ms(fault.for_s * 1e3));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn mends(&mut self, number: usize, whom: &[usize]) -> io::Result<()> {
        let fault = self.scenario.faults[number].clone();
        if trouble(&fault).is_some() {
            return self.links_change(number, &fault, whom, None);
        }
        for &at in whom {
            match fault.what {
                What::KillExecutors => {
                    self.executor_rises(at)?;
                    self.list_changes(at, ExecutorStatus::Ready);
                }
                What::DrainExecutors => {
                    self.executor_dies(at);
                    self.list_changes(at, ExecutorStatus::Gone);
                    let life = self.executors[at].machine.life;
                    self.after(AWAY, crate::fleet::Task::Rises(at, life));
                }
                What::SlowExecutors => self.executors[at].machine.slower /= fault.slows_by(),
                What::FailExecutors => self.executors[at].machine.fails -= 1,
                What::FlatterExecutors => self.executors[at].machine.flatters -= 1,
                What::UnlistExecutors if self.executors[at].machine.up => {
                    self.list_changes(at, ExecutorStatus::Ready);
                }
                What::RestartNodes if !self.nodes[at].is_up() => self.start_node(at, fault.old_list)?,
                What::FreezeNodes => self.freezes(at, false),
                What::FillDescriptors => self.nodes[at].fill_descriptors(false),
                _ => {}
            }
        }
        if fault.what == What::DiscoveryDown { self.discovery_goes(false) } else { Ok(()) }
    }

    fn freezes(&mut self, node: usize, frozen: bool) {
        self.nodes[node].freeze(frozen);
        if !frozen {
            let now = self.now();
            let (told, rest) =
                std::mem::take(&mut self.left_frozen).into_iter().partition(|(at, _)| *at == node);
            self.left_frozen = rest;
            let told: Vec<(usize, u64)> = told;
            told.into_iter().for_each(|(_, unit)| self.book.gone(now, unit));
        }
        self.units.values_mut().filter(|open| open.node == node).for_each(|open| open.froze = true);
    }

    /// Something is wrong with links, or no more.
    fn links_change(
        &mut self,
        number: usize,
        fault: &Fault,
        whom: &[usize],
        trouble: Option<Trouble>,
    ) -> io::Result<()> {
        let zones = self.scenario.nodes.zones.len();
        let links: Vec<usize> = match (fault.what, fault.side) {
            (What::CutZone, _) => {
                let cut = fault.zone.as_ref().and_then(|name| self.scenario.zone(name));
                let apart = |e: &&crate::executors::Executor, zone: usize| {
                    (Some(zone) == cut) != (Some(e.machine.make.zone) == cut)
                };
                let of = |zone: usize| {
                    self.executors.iter().filter(move |e| apart(e, zone)).map(move |e| e.doors[zone].2)
                };
                (0..zones).flat_map(of).collect()
            }
            (_, Side::Executors) => {
                whom.iter().flat_map(|&at| self.executors[at].doors.iter().map(|door| door.2)).collect()
            }
            (_, Side::Discovery) => whom.iter().map(|&node| self.discovery_links[node]).collect(),
            (_, Side::Fellows) => whom.iter().filter_map(|&node| Some(self.relays.get(node)?.1)).collect(),
        };
        if let (What::CutZone, Some(zone)) = (fault.what, fault.zone.as_ref()) {
            let zone = self.scenario.zone(zone).unwrap_or(0);
            match self.zone_cuts.iter().position(|cut| *cut == zone).filter(|_| trouble.is_none()) {
                Some(at) => drop(self.zone_cuts.swap_remove(at)),
                None => self.zone_cuts.push(zone),
            }
        }
        let now = self.now();
        for link in links {
            match trouble {
                Some(Trouble::HalfOpen) if fault.side != Side::Fellows => self.wire.mutes(link),
                Some(trouble) => self.wire.links[link].strikes(number, trouble),
                None => self.wire.links[link].mends(number),
            }
            self.wire.link_changed(link, now)?;
        }
        Ok(())
    }
}

/// What a fault does to links, if it strikes any.
fn trouble(fault: &Fault) -> Option<Trouble> {
    Some(match fault.what {
        What::CutZone => Trouble::Cut(grebeusher_emulator::scenario::Way::Both),
        What::CutLinks => Trouble::Cut(fault.way),
        What::DelayLinks => Trouble::Delay(ms(fault.delay_ms.unwrap_or(200.0))),
        What::LoseLinks => Trouble::Loss(fault.loss.unwrap_or(0.1)),
        What::HalfOpenLinks => Trouble::HalfOpen,
        What::ResetLinks => Trouble::Reset(fault.bytes.unwrap_or(200)),
        What::DripLinks => Trouble::Drip(fault.bytes.unwrap_or(2000)),
        _ => return None,
    })
}
