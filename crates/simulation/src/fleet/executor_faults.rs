//! Executors that crash, leave, or spoil their answers.

use super::Fleet;
use super::step::Step;
use crate::executors::Lies;
use grebeusher_time::{Duration, DurationExt};
use rand::seq::IndexedRandom;
use std::net::SocketAddrV4;

impl Fleet {
    pub(super) fn some_executors(&mut self, share: f64) -> Vec<usize> {
        let up = self.executors.up();
        let count = ((up.len() as f64 * share).ceil() as usize).max(1);
        let numbers: Vec<usize> = up.into_iter().map(|(number, _)| number).collect();
        numbers.choose_multiple(&mut self.hub.borrow_mut().random, count).copied().collect()
    }

    /// The new one starts first, at an address that another service's executor had before, if there is one.
    pub(super) fn release(&mut self, mut executors: Vec<usize>, gap: Duration) {
        let Some(number) = executors.pop() else { return };
        let made = self.executors.made(number).clone();
        let taken: Vec<SocketAddrV4> = self.executors.up().iter().map(|(_, other)| other.address).collect();
        let free = self.executors.gone().into_iter().find(|other| {
            other.service != made.service && !taken.contains(&other.address) && other.zone == made.zone
        });
        let address = free.map(|other| other.address).filter(|address| {
            // A draining executor still has its address.
            !self.hub.borrow().listeners.contains_key(address)
        });
        let new = self.add_executor_of(&made.service, &made.version, made.zone_number, address);
        let instance = self.executors.made(new).instance.clone();
        self.note(&format!("{instance} comes, {} drains", made.instance));
        self.stage(|actors, stage| actors.executors.drain(number, stage));
        if !executors.is_empty() {
            self.later(gap, Step::Release { executors, gap });
        }
    }

    /// Some executors crash, and others come for them.
    pub(super) fn crash_executors(&mut self, share: f64, silent: bool) {
        for number in self.some_executors(share) {
            let made = self.executors.made(number).clone();
            self.note(&format!("{} crashes (silent: {silent})", made.instance));
            self.stage(|actors, stage| actors.executors.fail(number, silent, stage));
            self.add_executor_of(&made.service, &made.version, made.zone_number, None);
        }
    }

    /// Some executors lie for a time.
    pub(super) fn some_lie_for(&mut self, share: f64, lies: Lies, for_s: f64) {
        for number in self.some_executors(share) {
            self.note(&format!("{} lies: {lies:?}", self.executors.made(number).instance));
            self.executors.lie(number, lies);
        }
        self.later(Duration::from_seconds(for_s), Step::Honest);
    }

    /// Executors go down, and come again at the same address half a period later.
    pub(super) fn flap(&mut self, executors: Vec<usize>, times: usize, gap: Duration) {
        if times == 0 {
            return;
        }
        for number in &executors {
            self.note(&format!("{} goes down", self.executors.made(*number).instance));
            self.stage(|actors, stage| actors.executors.fail(*number, false, stage));
        }
        self.later(gap.scaled(0.5), Step::Again { executors, times: times - 1, gap });
    }

    pub(super) fn come_again(&mut self, executors: Vec<usize>, times: usize, gap: Duration) {
        let mut again = Vec::new();
        for number in executors {
            let made = self.executors.made(number).clone();
            again.push(self.add_executor_of(
                &made.service,
                &made.version,
                made.zone_number,
                Some(made.address),
            ));
        }
        self.later(gap.scaled(0.5), Step::Flap { executors: again, times, gap });
    }

    /// All executors that are up lie for a time.
    pub(super) fn lie_for(&mut self, lies: Lies, for_s: f64) {
        self.all_lie(lies);
        self.later(Duration::from_seconds(for_s), Step::Honest);
    }

    pub(super) fn all_lie(&mut self, lies: Lies) {
        for (number, _) in self.executors.up() {
            self.executors.lie(number, lies);
        }
    }
}
