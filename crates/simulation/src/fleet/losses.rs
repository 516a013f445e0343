//! Which machines a fault may have, and how many may be lost at a time.

use super::Fleet;
use super::step::Step;
use crate::scenario::{Fault, On};
use crate::stage::{Class, Machine};
use grebeusher_time::{Duration, DurationExt};
use rand::seq::IndexedRandom;

/// How often a further machine is drawn for each that is wanted, as some are drawn twice.
const PICKS: usize = 4;

impl Fleet {
    /// Counted machines that are lost now.
    pub(super) fn lost(&self) -> usize {
        let now = self.now();
        self.hardware.iter().filter(|h| h.lost_until.is_some_and(|until| until > now)).count()
    }

    /// Takes a counted machine into the lost ones; whether that is within what may be lost.
    pub(super) fn may_lose(&mut self, machine: usize, for_s: f64) -> bool {
        if !self.machines[machine].counted {
            return true;
        }
        let already = self.hardware[machine].lost_until.is_some_and(|until| until > self.now());
        if !already && self.lost() >= self.scenario.shape.losses as usize {
            return false;
        }
        let until = self.now() + Duration::from_seconds(for_s) + self.judge.bounds.sync_time;
        self.hardware[machine].lost_until = Some(until);
        true
    }

    pub(super) fn pick(&mut self, on: On, leader: bool) -> Option<usize> {
        let fits = |machine: &Machine| match on {
            On::Edge => machine.class == Class::Edge,
            On::Core => machine.class == Class::Edge && machine.counted,
            On::Storage => machine.class == Class::Storage,
        };
        if leader {
            let partition = if on == On::Storage { 1 } else { 0 };
            let leader = self.nodes.values().find_map(|node| node.known_leader(partition));
            let found = leader.and_then(|leader| self.machines.iter().position(|m| m.ip == *leader.ip()));
            if let Some(found) = found.filter(|found| self.machines[*found].life.is_some()) {
                return Some(found);
            }
        }
        let fitting: Vec<usize> = (0..self.machines.len())
            .filter(|machine| fits(&self.machines[*machine]) && self.machines[*machine].life.is_some())
            .filter(|machine| self.hardware[*machine].stays)
            .collect();
        fitting.choose(&mut self.hub.borrow_mut().random).copied()
    }

    /// A machine for a fault that takes it for a time. If no more may be lost now, there is none, and the fault is
    /// tried again later.
    pub(super) fn victim(&mut self, on: On, leader: bool, for_s: f64, fault: Fault) -> Option<usize> {
        let machine = self.pick(on, leader)?;
        if !self.may_lose(machine, for_s) {
            self.postpone(fault);
            return None;
        }
        Some(machine)
    }

    /// So many machines for a fault that takes them for a time; none if that were more than may be lost now.
    pub(super) fn victims(&mut self, on: On, count: usize, for_s: f64) -> Option<Vec<usize>> {
        let mut victims = vec![self.pick(on, true)?];
        for _ in 0..count * PICKS {
            let further = self.pick(on, false).filter(|machine| !victims.contains(machine));
            victims.extend(further.filter(|_| victims.len() < count));
        }
        let counted = victims.iter().filter(|machine| self.machines[**machine].counted).count();
        if self.lost() + counted > self.scenario.shape.losses as usize {
            return None;
        }
        for machine in &victims {
            self.may_lose(*machine, for_s);
        }
        Some(victims)
    }

    /// Tries a fault again a little later, if there is time.
    pub(super) fn postpone(&mut self, fault: Fault) {
        if self.now() + Duration::from_millis(1000) < self.traffic_ends() {
            self.later(Duration::from_millis(500), Step::Begin(fault));
        }
    }

    /// Something was done to a machine now.
    pub(super) fn touched(&mut self, machine: usize) {
        let now = self.now();
        let host = self.machines[machine].host;
        self.judge.trouble(host, now, now, false);
        if self.machines[machine].counted {
            self.judge.core_event(now);
        }
    }

    /// A machine is in trouble for a time from now on.
    pub(super) fn troubled(&mut self, machine: usize, for_s: f64) {
        let now = self.now();
        let host = self.machines[machine].host;
        self.judge.trouble(host, now, now + Duration::from_seconds(for_s), false);
    }
}
