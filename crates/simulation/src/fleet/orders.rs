//! What follows from the fleet's acknowledgements: faults that wait for one, and machines that are empty.

use super::step::Step;
use super::{Armed, Fleet};
use crate::scenario::On;

impl Fleet {
    /// Faults that wait for an acknowledgement, and machines that are empty.
    pub(super) fn look_at_orders(&mut self) {
        self.remove_emptied();
        self.follow_rollouts();
        self.press_after_drains();
        if self.closing.is_some() {
            return;
        }
        self.strike_after_taken();
        self.strike_after_acknowledged();
    }

    fn remove_emptied(&mut self) {
        while self.operators.emptied.len() > self.emptied {
            let name = self.operators.emptied[self.emptied].clone();
            self.emptied += 1;
            self.note(&format!("{name} is empty and is removed"));
            if let Some(machine) = self.machines.iter().position(|machine| machine.name == name) {
                self.hardware[machine].stays = false;
                self.machines[machine].listed = false;
                self.touched(machine);
                self.end_life(machine, true);
                self.hardware[machine].disk.borrow_mut().wipe();
                self.wipe_another();
            }
        }
    }

    fn wipe_another(&mut self) {
        let Some(for_s) = self.wipe_after_retire.take() else { return };
        if let Some(machine) = self.pick(On::Storage, false)
            && self.may_lose(machine, for_s)
        {
            self.strike(machine, true, true, for_s);
        }
    }

    fn press_after_drains(&mut self) {
        for service in std::mem::take(&mut self.executors.told) {
            self.stage(|actors, stage| actors.clients.press_after_drain(&service, stage));
        }
    }

    fn strike_after_taken(&mut self) {
        if self.clients.taken.len() <= self.taken {
            return;
        }
        self.taken = self.clients.taken.len();
        let host = self.clients.taken[self.taken - 1];
        if !self.armed_for_jobs.is_empty() {
            let armed = self.armed_for_jobs.remove(0);
            self.arm(armed, host);
        }
    }

    fn strike_after_acknowledged(&mut self) {
        if self.operators.acknowledged.len() == self.acknowledged {
            return;
        }
        self.acknowledged = self.operators.acknowledged.len();
        let (version, host) = self.operators.acknowledged[self.acknowledged - 1];
        self.note(&format!("version {version} is acknowledged by host {host}"));
        self.stage(|actors, stage| actors.clients.press_after_change(version, stage));
        self.stage(|actors, stage| actors.operators.peek_everywhere(stage));
        self.watch_acknowledged(version);
        if !self.armed.is_empty() {
            let armed = self.armed.remove(0);
            self.arm(armed, host);
        }
    }

    pub(super) fn arm(&mut self, armed: Armed, host: usize) {
        let Some(machine) = self.machines.iter().position(|machine| machine.host == host) else { return };
        if self.may_lose(machine, armed.for_s) {
            self.later(armed.after, Step::Strike { machine, wipe: armed.wipe, for_s: armed.for_s });
        }
    }
}
