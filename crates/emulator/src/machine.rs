//! One executor: slots, a queue in order of coming, a cold start, and how it speaks of its load.

use crate::scenario::{Executors, Rules};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{ExecutorStatus, LoadReport};
use std::collections::VecDeque;

/// One allocation, by its unit and number, as its executor has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    pub unit: u64,
    pub number: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Runs,
    Waits,
    Full,
}

/// What one of its kind is when it starts.
#[derive(Clone, Debug)]
pub struct Make {
    pub kind: usize,
    pub zone: usize,
    pub slots: usize,
    pub of: Executors,
}

pub struct Machine {
    pub make: Make,
    pub up: bool,
    /// What discovery says of it.
    pub standing: ExecutorStatus,
    /// Counts its starts: what was said to an earlier life concerns this one no more.
    pub life: u32,
    /// `None` for long ago.
    pub started: Option<Instant>,
    pub slower: f64,
    /// How many faults have it fail everything.
    pub fails: u32,
    /// How many faults have it say that it idles.
    pub flatters: u32,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Part of the slots in use, averaged over about a second, and as of when.
    busy: (f64, Instant),
    /// Seconds that slots were in use.
    pub busy_s: f64,
    /// When work came lately, and whether its node knew of the start.
    came: VecDeque<(Instant, bool)>,
}

impl Machine {
    pub fn new(make: Make, started: Option<Instant>) -> Machine {
        Machine {
            make,
            up: true,
            standing: ExecutorStatus::Ready,
            life: 0,
            started,
            slower: 1.0,
            fails: 0,
            flatters: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            busy: (0.0, Instant(0)),
            busy_s: 0.0,
            came: VecDeque::new(),
        }
    }

    pub fn share(&self, now: Instant) -> f64 {
        self.make.of.share(self.started, now)
    }

    /// How long work of this size runs if it starts now.
    pub fn runs_for(&self, now: Instant, size_s: f64) -> Duration {
        Duration::from_seconds(size_s / (self.make.of.pace * self.share(now)) * self.slower)
    }

    pub fn is_cold(&self, now: Instant) -> bool {
        self.share(now) < 1.0
    }

    /// Counts what comes, and tells how much came within the window, and how much of that from nodes that did not know
    /// of the start.
    pub fn count(&mut self, now: Instant, window: Duration, knew: bool) -> (usize, usize) {
        self.came.push_back((now, knew));
        while self.came.front().is_some_and(|&(at, _)| now.since(at) > window) {
            self.came.pop_front();
        }
        (self.came.len(), self.came.iter().filter(|(_, knew)| !knew).count())
    }

    pub fn take(&mut self, now: Instant, job: Job) -> Taken {
        if self.running.len() < self.make.slots {
            self.account(now);
            self.running.push(job);
            Taken::Runs
        } else if self.waiting.len() < self.make.of.queue {
            self.waiting.push_back(job);
            Taken::Waits
        } else {
            Taken::Full
        }
    }

    /// A run is over; `false` if it was before.
    pub fn done(&mut self, now: Instant, job: Job) -> bool {
        self.account(now);
        let at = self.running.iter().position(|running| *running == job);
        at.map(|at| self.running.swap_remove(at)).is_some()
    }

    /// The next that gets a slot, if one is free.
    pub fn start_next(&mut self, now: Instant) -> Option<Job> {
        if self.running.len() >= self.make.slots {
            return None;
        }
        let job = self.waiting.pop_front()?;
        self.account(now);
        self.running.push(job);
        Some(job)
    }

    /// How many run and wait.
    pub fn filled(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// How many work units it bears within the window while it is cold: what it can do in it, times the factor, each taken
    /// for a mean one.
    pub fn bears(&self, now: Instant, rules: &Rules, mean_size_s: f64) -> f64 {
        let does = self.share(now) * self.make.of.pace * self.make.slots as f64;
        (does * rules.fall_window_ms / 1e3 * rules.fall_factor / mean_size_s).max(1.0)
    }

    pub fn runs(&self, job: Job) -> bool {
        self.running.contains(&job)
    }

    /// Takes a job out of the queue, where recalls do so; one that runs runs on.
    pub fn cancel(&mut self, job: Job) -> bool {
        if !self.make.of.recall_stops {
            return false;
        }
        let at = self.waiting.iter().position(|waiting| *waiting == job);
        at.and_then(|at| self.waiting.remove(at)).is_some()
    }

    /// Its process ends: what ran, and what waited.
    pub fn die(&mut self, now: Instant) -> (Vec<Job>, Vec<Job>) {
        self.account(now);
        (self.up, self.life) = (false, self.life + 1);
        self.came.clear();
        (std::mem::take(&mut self.running), std::mem::take(&mut self.waiting).into())
    }

    /// Back under its old id, and cold.
    pub fn rise(&mut self, now: Instant) {
        (self.up, self.standing, self.started) = (true, ExecutorStatus::Ready, Some(now));
        self.busy = (0.0, now);
    }

    pub fn report(&mut self, now: Instant) -> LoadReport {
        self.account(now);
        if self.flatters > 0 {
            return LoadReport { utilisation: Some(0.0), free_slots: Some(self.make.slots as f64) };
        }
        let free = self.make.slots - self.running.len();
        LoadReport { utilisation: Some(self.busy.0), free_slots: Some(free as f64) }
    }

    fn account(&mut self, now: Instant) {
        let (busy, at) = self.busy;
        let (passed, used) = (now.since(at).seconds(), self.running.len() as f64);
        self.busy_s += passed * used;
        // What was a second ago counts for a third.
        let kept = (-passed).exp();
        self.busy = (busy * kept + used / self.make.slots as f64 * (1.0 - kept), now);
    }
}
