//! Machines that come and go: SIGTERM, replacements, additions and removals.

use super::Fleet;
use super::step::Step;
use crate::scenario::On;
use crate::stage::Class;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;

/// Requests are on their way to their executors by then.
const BUSY_DELAY: Duration = Duration::from_millis(5);

impl Fleet {
    pub(super) fn add_node(&mut self, on: On) {
        let class = if on == On::Storage { Class::Storage } else { Class::Edge };
        let zone = self.hub.borrow_mut().random.random_range(0..self.scenario.shape.zones.len());
        let machine = self.add_machine(class, zone, class == Class::Storage);
        self.note(&format!("{} is added", self.machines[machine].name));
        self.start_machine(machine);
    }

    /// A storage machine is to be emptied; it is removed when it is.
    pub(super) fn retire(&mut self) {
        let Some(machine) = self.pick(On::Storage, false) else { return };
        let name = self.machines[machine].name.clone();
        if self.staying_stores() <= 2 * self.scenario.shape.losses as usize + 1 {
            return self.note(&format!("{name} is not emptied: too few would stay"));
        }
        self.note(&format!("{name} is to be emptied"));
        self.stage(|actors, stage| actors.operators.retire(&name, stage));
    }

    /// Storage machines that stay, as the platform knows: the tier counts one that is about to be replaced by plan too, and
    /// would have another emptied beside it.
    fn staying_stores(&self) -> usize {
        let stores =
            (0..self.machines.len()).filter(|machine| self.machines[*machine].class == Class::Storage);
        stores.filter(|machine| self.hardware[*machine].stays && !self.hardware[*machine].replaced).count()
    }

    /// Some machines get SIGTERM, one after the other.
    pub(super) fn roll(&mut self, on: On, count: usize, gap: Duration, remove: bool) {
        let machines = self.chosen_to_roll(on, count, remove);
        self.terminate(machines, gap, remove);
    }

    /// Each gets SIGTERM just after requests went there.
    pub(super) fn terminate_busy(&mut self, mut machines: Vec<usize>, gap: Duration) {
        let Some(machine) = machines.pop() else { return };
        let host = self.machines[machine].host;
        let grace = self.judge.bounds.grace;
        self.stage(|actors, stage| {
            actors.clients.press_before_stop(host, stage);
            actors.clients.press_while_stopping(host, grace, stage);
        });
        self.later(
            BUSY_DELAY,
            Step::Terminate { machines: vec![machine], gap: Duration::from_nanos(0), remove: false },
        );
        if !machines.is_empty() {
            self.later(gap, Step::TerminateBusy { machines, gap });
        }
    }

    pub(super) fn chosen_to_roll(&mut self, on: On, count: usize, remove: bool) -> Vec<usize> {
        let mut machines: Vec<usize> = Vec::new();
        for _ in 0..count * 3 {
            if let Some(machine) = self.pick(on, false)
                && !machines.contains(&machine)
                && machines.len() < count
                && !(remove && self.machines[machine].counted)
            {
                machines.push(machine);
            }
        }
        machines
    }

    pub(super) fn replace(&mut self, machine: usize, after_s: f64, planned: bool) {
        let (class, zone) = (self.machines[machine].class, self.machines[machine].zone);
        let counted = self.machines[machine].counted;
        let name = self.machines[machine].name.clone();
        let new = self.add_machine(class, zone, counted);
        self.hardware[new].empty = true;
        self.note(&format!("{name} is replaced by {} (planned: {planned})", self.machines[new].name));
        if planned {
            self.hardware[machine].replaced = true;
            self.start_machine(new);
            let machines = vec![machine];
            self.later(
                Duration::from_seconds(after_s),
                Step::Terminate { machines, gap: Duration::from_nanos(0), remove: true },
            );
            return;
        }
        self.hardware[machine].stays = false;
        self.touched(machine);
        let now = self.now();
        let host = self.machines[machine].host;
        self.judge.trouble(host, now, Instant(u64::MAX), false);
        self.end_life(machine, true);
        self.machines[machine].listed = false;
        self.machines[machine].ready = false;
        self.later(Duration::from_seconds(after_s), Step::StartMachine { machine: new });
    }

    pub(super) fn terminate(&mut self, mut machines: Vec<usize>, gap: Duration, remove: bool) {
        let Some(machine) = machines.pop() else { return };
        if !remove && !self.may_lose(machine, 4.0) {
            machines.push(machine);
            if self.now() < self.traffic_ends() {
                self.later(Duration::from_millis(700), Step::Terminate { machines, gap, remove });
            }
            return;
        }
        if let Some(life) = self.machines[machine].life {
            self.note(&format!("{} gets SIGTERM", self.machines[machine].name));
            let now = self.now();
            let grace = self.judge.bounds.grace;
            let host = self.machines[machine].host;
            self.judge.trouble(host, now, now + grace, true);
            if self.machines[machine].counted {
                self.judge.core_event(now);
            }
            if remove {
                self.hardware[machine].stays = false;
            }
            self.hub.borrow_mut().signal_stop(life);
            self.later(grace, Step::GraceOver { machine, life });
        }
        if !machines.is_empty() {
            self.later(gap, Step::Terminate { machines, gap, remove });
        }
    }

    pub(super) fn grace_over(&mut self, machine: usize, life: usize) {
        if self.machines[machine].life == Some(life) {
            self.note(&format!("{} is killed at the end of its grace", self.machines[machine].name));
            self.ended_itself(life, None);
        }
    }
}
