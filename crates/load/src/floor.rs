//! What all threads of a run share: the clock, the book of rules and the figures of the emulator, and the word to stop.

use grebeusher_dispatch::time::{Moment, Span};
use grebeusher_emulator::figures::Figures;
use grebeusher_emulator::rules::Book;
use grebeusher_emulator::scenario::Scenario;
use grebeusher_emulator::stage::{START, ms};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// A unit that is under way.
pub struct Open {
    pub came: Moment,
    pub counted: bool,
    pub started: bool,
}

pub struct Floor {
    pub scenario: Scenario,
    began: OnceLock<Instant>,
    book: Mutex<Book>,
    figures: Mutex<Figures>,
    open: Mutex<HashMap<u64, Open>>,
    next_unit: AtomicU64,
    stops: AtomicBool,
    /// Call-backs that nobody answered with 200 or 204, after all tries.
    pub call_backs_lost: AtomicU64,
}

/// A thread that panicked leaves what it held as it was: figures at worst a count short, which the sums show.
fn hold<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Floor {
    pub fn new(scenario: Scenario) -> Floor {
        let rules = scenario.rules;
        Floor {
            began: OnceLock::new(),
            book: Mutex::new(Book::new(Moment(START), ms(rules.slack_ms), ms(rules.drain_grace_ms))),
            figures: Mutex::new(Figures::new(&scenario)),
            open: Mutex::default(),
            next_unit: AtomicU64::new(0),
            stops: AtomicBool::new(false),
            call_backs_lost: AtomicU64::new(0),
            scenario,
        }
    }

    /// The run begins: until now its clock stood.
    pub fn begin(&self) {
        // A second beginning changes nothing.
        let _ = self.began.set(Instant::now());
    }

    pub fn now(&self) -> Moment {
        let passed = self.began.get().map_or(Duration::ZERO, Instant::elapsed);
        Moment(START) + Span(passed.as_nanos() as u64)
    }

    /// Waits until a time of the run; `false` if the run stops before.
    pub fn wait_until(&self, when: Moment) -> bool {
        // Looks up now and then, so that nothing outlives the run by much.
        const LOOK_EVERY: Duration = Duration::from_millis(50);
        loop {
            let left = when.since(self.now());
            if left.0 == 0 || self.stops() {
                return !self.stops();
            }
            std::thread::sleep(Duration::from_nanos(left.0).min(LOOK_EVERY));
        }
    }

    pub fn stop(&self) {
        self.stops.store(true, Ordering::Relaxed);
    }

    pub fn stops(&self) -> bool {
        self.stops.load(Ordering::Relaxed)
    }

    pub fn book(&self) -> MutexGuard<'_, Book> {
        hold(&self.book)
    }

    pub fn figures(&self) -> MutexGuard<'_, Figures> {
        hold(&self.figures)
    }

    /// A unit is handed in, and has its number.
    pub fn taken(&self, tariff: usize, came: Moment, counted: bool, patience_ends: Moment) -> u64 {
        let unit = self.next_unit.fetch_add(1, Ordering::Relaxed);
        let binding = self.scenario.tariffs[tariff].is_binding();
        hold(&self.open).insert(unit, Open { came, counted, started: false });
        self.book().taken(unit, binding, patience_ends);
        unit
    }

    /// A unit starts to run at an executor.
    pub fn runs(&self, unit: u64) {
        let now = self.now();
        let first = hold(&self.open).get_mut(&unit).and_then(|open| {
            (!std::mem::replace(&mut open.started, true) && open.counted).then_some(open.came)
        });
        if let Some(came) = first {
            self.figures().waited(now.since(came));
        }
        self.book().ran(now, unit);
    }
}
