//! The final fault of a storm.

use super::Fleet;
use super::step::Step;
use crate::operators::Change;
use crate::scenario::{Closing, When};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use rand::seq::IndexedRandom;

/// After this the final fault waits for its moment no longer: it strikes, if nothing is lost, or not at all.
const ARMED_DURATION: Duration = Duration::from_millis(9000);
/// How long the struck machines are away, in seconds.
const DOWN_S: f64 = 2.0;

impl Fleet {
    /// The last change is sent, and the final fault is armed.
    pub(super) fn last_change(&mut self) {
        self.change(Change::Valid);
        self.acknowledged = self.operators.acknowledged.len();
        self.taken = self.clients.taken.len();
        let after = self.hub.borrow_mut().random.random_range(5..400);
        self.closing_after = Duration::from_millis(after);
        let armed = self.now();
        self.later(Duration::from_millis(2), Step::Closing { armed });
    }

    /// The final fault, as soon as the last change is acknowledged, or some seconds later.
    pub(super) fn closing_step(&mut self, armed: Instant) {
        let now = self.now();
        let due = match self.scenario.closing_when {
            When::Acknowledged => self.operators.acknowledged.len() > self.acknowledged,
            When::Taken => self.clients.taken.len() > self.taken,
            When::Timed => now.since(armed) >= self.closing_after,
        };
        // Until then all that were lost have come back, and are whole.
        let whole = self.lost() == 0;
        if !((due && whole) || now.since(armed) > ARMED_DURATION) {
            return self.later(Duration::from_millis(1), Step::Closing { armed });
        }
        let Some(closing) = self.scenario.closing else { return };
        if !whole {
            self.note("no final fault: too much is lost already");
            return;
        }
        self.close_with(closing);
    }

    fn close_with(&mut self, closing: Closing) {
        let now = self.now();
        self.note(&format!("the final fault: {closing:?}"));
        self.hub.borrow_mut().cuts.clear();
        let back = now + Duration::from_seconds(DOWN_S);
        self.closing = Some((now, back));
        let wiped = self.wiped_by(closing);
        let all = !matches!(closing, Closing::WipeSome);
        let power = !matches!(closing, Closing::KillAll);
        for machine in 0..self.machines.len() {
            let struck = all && self.hardware[machine].stays || wiped.contains(&machine);
            if struck && self.machines[machine].life.is_some() {
                self.strike(machine, power, wiped.contains(&machine), DOWN_S);
            }
        }
        self.watch_closing(back);
        let contact = self.judge.bounds.contact;
        self.judge.core_slow(now, back + contact);
    }

    /// The machines that lose their disks: as many as may be lost.
    fn wiped_by(&self, closing: Closing) -> Vec<usize> {
        if !matches!(closing, Closing::WipeSome | Closing::WipeSomePowerOffAll) {
            return Vec::new();
        }
        let losses = self.scenario.shape.losses as usize;
        let counted: Vec<usize> = (0..self.machines.len())
            .filter(|machine| self.machines[*machine].counted && self.machines[*machine].life.is_some())
            .collect();
        counted.choose_multiple(&mut self.hub.borrow_mut().random, losses).copied().collect()
    }
}
