//! Machines that are killed, lose their power or their disk, freeze, or have a slow disk.

use super::Fleet;
use super::step::Step;
use grebeusher_time::{Duration, DurationExt};

/// After its disk has room again, a process that ended for the lack of it is there within this, in seconds.
const RESTART_TIMEOUT_S: f64 = 1.5;

impl Fleet {
    /// A machine's process is killed, or its power is lost, perhaps with its disk; it comes back.
    pub(super) fn strike(&mut self, machine: usize, power: bool, wipe: bool, for_s: f64) {
        if self.machines[machine].life.is_none() {
            return;
        }
        let name = self.machines[machine].name.clone();
        self.note(&format!("{name} is struck (power: {power}, disk lost: {wipe}) for {for_s:.1} s"));
        self.touched(machine);
        self.troubled(machine, for_s);
        self.end_life(machine, power);
        if wipe {
            self.hardware[machine].disk.borrow_mut().wipe();
            self.hardware[machine].wiped = true;
            self.hardware[machine].empty = true;
        }
        self.later(Duration::from_seconds(for_s), Step::StartMachine { machine });
    }

    /// All processes of the core are killed at once. No disk is lost by it.
    pub(super) fn kill_core(&mut self, for_s: f64) {
        self.note("all of the core is killed");
        let counted: Vec<usize> =
            (0..self.machines.len()).filter(|machine| self.machines[*machine].counted).collect();
        counted.into_iter().for_each(|machine| self.strike(machine, false, false, for_s));
        let now = self.now();
        let contact = self.judge.bounds.contact;
        self.judge.core_slow(now, now + Duration::from_seconds(for_s) + contact);
    }

    /// A machine's process stands still for a time.
    pub(super) fn freeze(&mut self, machine: usize, for_s: f64) {
        let Some(life) = self.machines[machine].life else { return };
        self.note(&format!("{} freezes for {for_s:.1} s", self.machines[machine].name));
        self.touched(machine);
        self.troubled(machine, for_s);
        self.hub.borrow_mut().freeze(life, true);
        self.watch_gone(life);
        self.later(Duration::from_seconds(for_s), Step::Thaw { machine });
    }

    pub(super) fn thaw(&mut self, machine: usize) {
        if let Some(life) = self.machines[machine].life {
            self.note(&format!("{} goes on", self.machines[machine].name));
            self.hub.borrow_mut().freeze(life, false);
            self.watch_thawed(life);
            self.touched(machine);
            let host = self.machines[machine].host;
            self.stage(|actors, stage| actors.clients.press_after_return(host, stage));
        }
    }

    /// A machine's disk takes so many times as long for a time.
    pub(super) fn slow_disk(&mut self, machine: usize, times: f64, for_s: f64) {
        self.note(&format!("the disk of {} takes {times:.0} times as long", self.machines[machine].name));
        let now = self.now();
        self.troubled(machine, for_s);
        self.judge.core_slow(now, now + Duration::from_seconds(for_s));
        let slow = Duration::from_seconds(self.scenario.shape.sync_ms * times / 1000.0);
        self.hardware[machine].disk.borrow_mut().sync_takes = slow;
        self.later(Duration::from_seconds(for_s), Step::Calm { machine });
    }

    pub(super) fn calm_disk(&mut self, machine: usize) {
        let normal = Duration::from_seconds(self.scenario.shape.sync_ms / 1000.0);
        self.hardware[machine].disk.borrow_mut().sync_takes = normal;
        self.note(&format!("the disk of {} is fast again", self.machines[machine].name));
    }

    /// A machine's processor takes longer for a time.
    pub(super) fn slow(&mut self, machine: usize, times: f64, for_s: f64) {
        self.note(&format!("{} takes {times:.0} times as long", self.machines[machine].name));
        let now = self.now();
        self.touched(machine);
        self.troubled(machine, for_s);
        if self.machines[machine].counted {
            self.judge.core_slow(now, now + Duration::from_seconds(for_s));
        }
        let host = self.machines[machine].host;
        self.hub.borrow_mut().hosts[host].slowed = times;
        self.later(Duration::from_seconds(for_s), Step::Quick { machine });
    }

    pub(super) fn quick(&mut self, machine: usize) {
        let host = self.machines[machine].host;
        self.hub.borrow_mut().hosts[host].slowed = 1.0;
        self.note(&format!("{} is as fast as usual", self.machines[machine].name));
    }

    /// A machine's disk takes no more writes for a time: its process ends at the first, and can't start until there is room.
    pub(super) fn fill_disk(&mut self, machine: usize, for_s: f64) {
        self.note(&format!("the disk of {} is full", self.machines[machine].name));
        self.touched(machine);
        self.troubled(machine, for_s + RESTART_TIMEOUT_S);
        self.hardware[machine].disk.borrow_mut().full = true;
        self.later(Duration::from_seconds(for_s), Step::Room { machine });
    }

    pub(super) fn room(&mut self, machine: usize) {
        self.hardware[machine].disk.borrow_mut().full = false;
        self.touched(machine);
        self.note(&format!("the disk of {} has room again", self.machines[machine].name));
    }
}
