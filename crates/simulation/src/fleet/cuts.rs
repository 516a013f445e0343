//! Cuts of links, and connections that are reset.

use super::Fleet;
use super::step::Step;
use crate::hub::Cut;
use crate::scenario::{CutFrom, Fault, On};
use crate::stage::{Class, Machine};
use grebeusher_time::{Duration, DurationExt};

impl Fleet {
    /// Cuts a machine off from the counted ones for a time.
    pub(super) fn cut_machine(&mut self, machine: usize, one_way: bool, resets: bool, for_s: f64) {
        let own = 1u128 << self.machines[machine].host;
        let others = self.hosts_where(|m| m.counted) & !own;
        self.note(&format!(
            "{} is cut off (one way: {one_way}, resets: {resets})",
            self.machines[machine].name
        ));
        self.troubled(machine, for_s);
        self.cut(own, others, one_way, resets, for_s);
    }

    /// Cuts several machines off for a time, unless more would be lost than may be.
    pub(super) fn isolate(&mut self, fault: Fault) {
        let Fault::Isolation { on, count, from, lure, for_s } = fault.clone() else { return };
        let side = match from {
            CutFrom::Halves => self.half_of_counted(on),
            CutFrom::Counted | CutFrom::All => self.victims(on, count, for_s),
        };
        let Some(side) = side else { return self.postpone(fault) };
        let names: Vec<&str> = side.iter().map(|machine| self.machines[*machine].name.as_str()).collect();
        self.note(&format!("{} are cut off from {from:?} for {for_s:.1} s", names.join(", ")));
        if from == CutFrom::Halves {
            // Nothing is lost, and nobody is in touch.
            let now = self.now();
            self.judge.core_slow(now, now + Duration::from_seconds(for_s));
        }
        for machine in &side {
            self.troubled(*machine, for_s);
        }
        if lure {
            self.executors.lure = side
                .iter()
                .find(|machine| self.machines[**machine].class == Class::Edge)
                .map(|machine| self.machines[*machine].control());
        }
        let inside = side.iter().fold(0, |mask, machine| mask | 1u128 << self.machines[*machine].host);
        let others = match from {
            CutFrom::All => self.hosts_where(|_| true),
            CutFrom::Counted | CutFrom::Halves => self.hosts_where(|machine| machine.counted),
        };
        self.cut(inside, others & !inside, false, false, for_s);
    }

    /// Half of the counted machines of a class.
    fn half_of_counted(&self, on: On) -> Option<Vec<usize>> {
        let class = if on == On::Storage { Class::Storage } else { Class::Edge };
        let counted: Vec<usize> = (0..self.machines.len())
            .filter(|machine| self.machines[*machine].counted && self.machines[*machine].class == class)
            .collect();
        Some(counted[..counted.len() / 2].to_vec())
    }

    /// Cuts a zone off for a time, unless more would be lost than may be.
    pub(super) fn cut_zone(&mut self, zone: usize, for_s: f64) {
        let inside: Vec<usize> =
            (0..self.machines.len()).filter(|machine| self.machines[*machine].zone == zone).collect();
        let counted: Vec<usize> =
            inside.iter().copied().filter(|machine| self.machines[*machine].counted).collect();
        if self.lost() + counted.len() > self.scenario.shape.losses as usize {
            return;
        }
        self.note(&format!("zone {zone} is cut off"));
        for machine in counted {
            self.may_lose(machine, for_s);
        }
        for machine in inside {
            self.troubled(machine, for_s);
        }
        let inside = self.hosts_where(|m| m.zone == zone);
        let all = self.hosts_where(|_| true);
        self.cut(inside, all & !inside, false, false, for_s);
    }

    fn cut(&mut self, from: u128, to: u128, one_way: bool, resets: bool, for_s: f64) {
        let now = self.now();
        self.cuts += 1;
        let number = self.cuts;
        let mut hub = self.hub.borrow_mut();
        hub.cuts.push(Cut { number, from, to, resets });
        if !one_way {
            hub.cuts.push(Cut { number, from: to, to: from, resets });
        }
        drop(hub);
        self.judge.core_event(now);
        self.judge.link_trouble(now, now + Duration::from_seconds(for_s));
        self.later(Duration::from_seconds(for_s), Step::Heal { cut: number });
    }

    pub(super) fn heal(&mut self, cut: usize) {
        self.note("the cut is healed");
        let healed: Vec<Cut> =
            self.hub.borrow().cuts.iter().filter(|other| other.number == cut).cloned().collect();
        self.hub.borrow_mut().cuts.retain(|other| other.number != cut);
        self.executors.lure = None;
        let hosts: Vec<usize> = self.machines.iter().map(|machine| machine.host).collect();
        for host in hosts.into_iter().filter(|host| healed.iter().any(|cut| cut.from & (1 << host) != 0)) {
            self.stage(|actors, stage| actors.clients.press_after_return(host, stage));
        }
        let now = self.now();
        self.judge.core_event(now);
    }

    /// Cuts two machines off from the others without the rules knowing of it. One alone would notice and not be ready.
    pub(super) fn hide(&mut self) {
        let without_disk = self.machines.iter().filter(|m| m.class == Class::Edge && !m.counted);
        let hidden = without_disk.take(2).fold(0, |mask, m| mask | 1u128 << m.host);
        let others = self.hosts_where(|_| true) & !hidden;
        let mut hub = self.hub.borrow_mut();
        hub.cuts.push(Cut { number: 0, from: hidden, to: others, resets: false });
        hub.cuts.push(Cut { number: 0, from: others, to: hidden, resets: false });
    }

    /// Resets all connections of a machine.
    pub(super) fn reset(&mut self, on: On) {
        let Some(machine) = self.pick(on, false) else { return };
        self.note(&format!("all connections of {} are reset", self.machines[machine].name));
        self.touched(machine);
        if let Some(life) = self.machines[machine].life {
            self.hub.borrow_mut().reset_all(life);
        }
    }

    /// Something on the way forgets the idle connections of a machine, and says nothing.
    pub(super) fn drop_idle(&mut self, on: On) {
        let Some(machine) = self.pick(on, false) else { return };
        self.note(&format!(
            "the idle connections of {} are forgotten on the way",
            self.machines[machine].name
        ));
        self.touched(machine);
        let now = self.now();
        self.judge.link_trouble(now, now);
        if let Some(life) = self.machines[machine].life {
            self.hub.borrow_mut().forget_idle(life);
        }
    }

    /// The hosts of machines, a bit for each.
    fn hosts_where(&self, fits: impl Fn(&Machine) -> bool) -> u128 {
        self.machines.iter().filter(|m| fits(m)).fold(0, |mask, m| mask | 1u128 << m.host)
    }
}
