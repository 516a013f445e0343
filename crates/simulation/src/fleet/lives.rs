//! Processes: their turns, how they start and how they end.

use super::Fleet;
use super::hollow::Meter;
use super::step::Step;
use crate::judge::Rule;
use crate::world::ProcessWorld;
use grebeusher_configuration::settings::Settings;
use grebeusher_tier::node::Node;
use grebeusher_tier::runtime::start::Start;
use grebeusher_time::Duration;
use rand::Rng;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

impl Fleet {
    pub(super) fn turn(&mut self, process: usize, stamp: u64) {
        let Some(events) = self.hub.borrow_mut().begin_turn(process, stamp) else { return };
        let Some(node) = self.nodes.get_mut(&process) else { return };
        self.turns += 1;
        if let Some(machine) = self.machines.iter().find(|machine| machine.life == Some(process)) {
            crate::log::begin_turn(self.hub.borrow().now, &machine.name);
        }
        let begun = self.meter.as_ref().map(|_| Meter::read());
        let turned = catch_unwind(AssertUnwindSafe(|| node.turn(&events)));
        if let (Some(meter), Some(begun)) = (&mut self.meter, begun) {
            meter.add(process, begun);
        }
        let wakes = node.next_wake();
        let over = node.must_exit();
        let mut hub = self.hub.borrow_mut();
        let started = hub.processes[process].started;
        hub.end_turn(process);
        hub.turn_process(process, started + Duration::from_nanos(wakes.0));
        let now = hub.now;
        drop(hub);
        self.digest = crate::content::hash(&[
            &self.digest.to_le_bytes(),
            &now.0.to_le_bytes(),
            &(process as u64).to_le_bytes(),
            &(events.len() as u64).to_le_bytes(),
        ]);
        self.watch_turn(process);
        let why = match turned {
            Ok(Ok(())) if !over => return,
            Ok(Ok(())) => None,
            Ok(Err(error)) => Some(error.to_string()),
            Err(_) => Some("it panicked".to_owned()),
        };
        self.ended_itself(process, why);
    }

    fn machine_of_life(&self, life: usize) -> Option<usize> {
        self.machines.iter().position(|machine| machine.life == Some(life))
    }

    pub(super) fn ended_itself(&mut self, life: usize, why: Option<String>) {
        let Some(machine) = self.machine_of_life(life) else { return };
        let name = self.machines[machine].name.clone();
        let full = self.hardware[machine].disk.borrow().full;
        // A full disk is trouble, and an end by it is what is to be.
        if let Some(why) = why.filter(|_| !full) {
            let now = self.now();
            self.judge.breach(Rule::Fault, now, format!("{name} ended by itself: {why}"));
        }
        self.note(&format!("{name} ends"));
        self.end_life(machine, false);
        if self.hardware[machine].stays {
            let after = Duration::from_millis(self.hub.borrow_mut().random.random_range(200..900));
            self.later(after, Step::StartMachine { machine });
        } else {
            self.machines[machine].listed = false;
        }
    }

    pub(super) fn end_life(&mut self, machine: usize, power_lost: bool) {
        let Some(life) = self.machines[machine].life.take() else { return };
        self.watch_gone(life);
        let mut hub = self.hub.borrow_mut();
        hub.end_process(life, power_lost);
        let now = hub.now;
        let mut disk = self.hardware[machine].disk.borrow_mut();
        if power_lost {
            disk.power_lost(now, &mut hub.random);
        } else {
            disk.process_ended(now);
        }
        drop(disk);
        if power_lost {
            hub.hosts[self.machines[machine].host].powered = false;
        }
        drop(hub);
        self.nodes.remove(&life);
    }

    pub(super) fn start_machine(&mut self, machine: usize) {
        if self.machines[machine].life.is_some() {
            return;
        }
        let host = self.machines[machine].host;
        let life = {
            let mut hub = self.hub.borrow_mut();
            hub.hosts[host].powered = true;
            hub.start_process(host, self.hardware[machine].wall_offset_ms)
        };
        let text = self.settings_of(machine);
        self.hardware[machine].started_before = true;
        *self.hardware[machine].settings.borrow_mut() = text.clone();
        let world = Rc::new(ProcessWorld {
            hub: self.hub.clone(),
            process: life,
            disk: self.hardware[machine].disk.clone(),
            settings: self.hardware[machine].settings.clone(),
        });
        self.hub.borrow_mut().turn_spent = Duration::from_nanos(0);
        let started = Settings::read(&text)
            .map_err(|error| error.to_string())
            .and_then(|settings| Start::open(settings, world).map_err(|error| error.to_string()))
            .and_then(|start| Node::new(start).map_err(|error| error.to_string()));
        self.machines[machine].life = Some(life);
        self.touched(machine);
        match started {
            Ok(node) => {
                self.nodes.insert(life, node);
                let empty = std::mem::take(&mut self.hardware[machine].empty);
                if empty && self.machines[machine].counted {
                    self.watch_empty_disk(machine);
                }
                let mut hub = self.hub.borrow_mut();
                hub.end_turn(life);
                let now = hub.now;
                hub.turn_process(life, now);
            }
            Err(error) => self.ended_itself(life, Some(format!("it can't start: {error}"))),
        }
    }

    /// Starts the process of a machine that is to be there and has none.
    pub(super) fn restart_machine(&mut self, machine: usize) {
        if self.hardware[machine].stays && self.machines[machine].life.is_none() {
            let name = self.machines[machine].name.clone();
            self.note(&format!("{name} starts"));
            self.start_machine(machine);
            if std::mem::take(&mut self.hardware[machine].wiped) {
                let host = self.machines[machine].host;
                self.stage(|actors, stage| actors.clients.press_after_wipe(host, stage));
            }
        }
    }
}
