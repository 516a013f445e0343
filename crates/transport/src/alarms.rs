//! What falls due, in order of time and, at one time, in the order in which it was set.

use grebeusher_time::Instant;
use std::collections::BTreeMap;

/// A queue of what falls due.
pub struct Alarms<T> {
    set: BTreeMap<(Instant, u64), T>,
    next: u64,
}

/// One that was set.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Alarm((Instant, u64));

impl<T> Default for Alarms<T> {
    fn default() -> Self {
        Alarms { set: BTreeMap::new(), next: 0 }
    }
}

impl<T> Alarms<T> {
    /// Has `what` fall due at a moment.
    pub fn set(&mut self, at: Instant, what: T) -> Alarm {
        let key = (at, self.next);
        self.set.insert(key, what);
        self.next += 1;
        Alarm(key)
    }

    /// Takes one back that was set; one that fell due already makes no difference. Guards against alarms of what is long over piling up until their time comes.
    pub fn unset(&mut self, alarm: Alarm) {
        self.set.remove(&alarm.0);
    }

    /// Whether one that is yet to come is so.
    pub fn any(&self, is: impl Fn(&T) -> bool) -> bool {
        self.set.values().any(is)
    }

    /// When the next falls due.
    pub fn next_at(&self) -> Option<Instant> {
        self.set.first_key_value().map(|((at, _), _)| *at)
    }

    /// The first that is due, once.
    pub fn due(&mut self, now: Instant) -> Option<T> {
        self.next_at().filter(|&at| at <= now)?;
        self.set.pop_first().map(|(_, what)| what)
    }
}
