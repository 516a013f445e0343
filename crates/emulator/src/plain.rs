//! Plain ways to choose, for comparison with the decisions: at random, the executor where this node has the least out,
//! the better of two as they are now, or where a slot is free first by all that was ever sent. They keep the rules, set nothing aside and turn back only what they could not place.

use crate::stage::Sees;
use crate::world::Decide;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{Arrival, AttemptOutcome, ExecutorStatus, ListedExecutor, LoadReport};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    Random,
    LeastOut,
    TwoChoices,
    AllSeeing,
}

struct Work {
    binding: bool,
    patience_ends: Instant,
    sent: usize,
    may_have_run: bool,
}

pub struct Plain<H: Sees> {
    host: H,
    choice: Choice,
    chance: Pcg32,
    /// Whether each tariff is binding.
    binding: Vec<bool>,
    most_allocations: usize,
    /// Whether an executor may be used, and how much is out there.
    executors: Vec<(bool, usize)>,
    work: BTreeMap<RequestId, Work>,
}

impl<H: Sees> Plain<H> {
    pub fn new(host: H, choice: Choice, seed: u64, binding: Vec<bool>, most_allocations: usize) -> Plain<H> {
        let chance = Pcg32::seed_from_u64(seed);
        Plain {
            host,
            choice,
            chance,
            binding,
            most_allocations,
            executors: Vec::new(),
            work: BTreeMap::new(),
        }
    }

    fn pick(&mut self, unit: RequestId) -> Option<usize> {
        let usable = |(at, (usable, out)): (usize, &(bool, usize))| usable.then_some((at, *out));
        let ready: Vec<(usize, usize)> = self.executors.iter().enumerate().filter_map(usable).collect();
        let names = || ready.iter().map(|(at, _)| *at).collect::<Vec<usize>>();
        let least = match self.choice {
            Choice::Random => usize::MAX,
            Choice::AllSeeing => return self.host.first_free(unit, &names()),
            Choice::TwoChoices => {
                let two: Vec<usize> = names().choose_multiple(&mut self.chance, 2).copied().collect();
                let filled = |at: &usize| self.host.filled(*at);
                return two.into_iter().min_by(|a, b| filled(a).total_cmp(&filled(b)));
            }
            Choice::LeastOut => ready.iter().map(|(_, out)| *out).min()?,
        };
        let fit: Vec<usize> = ready.into_iter().filter(|(_, out)| *out <= least).map(|(at, _)| at).collect();
        if fit.is_empty() { None } else { Some(fit[self.chance.random_range(0..fit.len())]) }
    }

    fn place(&mut self, now: Instant, unit: RequestId) {
        /// The answer is due this long before patience ends.
        const MARGIN: Duration = Duration::from_millis(20);
        let picked = self.pick(unit);
        let Some(work) = self.work.get_mut(&unit) else { return };
        let left = (work.patience_ends - MARGIN).since(now);
        match picked.filter(|_| left.nanos() > 0) {
            Some(executor) => {
                work.sent += 1;
                work.may_have_run = true;
                self.executors[executor].1 += 1;
                self.host.send_attempt(unit, ExecutorId(executor), left);
            }
            None => self.end(unit),
        }
    }

    fn end(&mut self, unit: RequestId) {
        let Some(work) = self.work.remove(&unit) else { return };
        if work.binding && work.may_have_run { self.host.fail(unit) } else { self.host.reject(unit, None) }
    }
}

impl<H: Sees> Decide for Plain<H> {
    fn start(&mut self, _now: Instant) {
        self.host.watch_executors();
    }

    fn listed(&mut self, _now: Instant, whole: bool, entries: &[ListedExecutor<'_>]) {
        if whole {
            self.executors.iter_mut().for_each(|(usable, _)| *usable = false);
        }
        for entry in entries {
            let at = entry.executor.0;
            let length = self.executors.len().max(at + 1);
            self.executors.resize(length, (false, 0));
            self.executors[at].0 = entry.status == ExecutorStatus::Ready;
        }
    }

    fn list_broken(&mut self) {
        // One call for all that may have been missed, like the rest of this at once.
        self.host.set_timer(Duration::from_millis(1000), 0);
    }

    fn arrived(&mut self, now: Instant, unit: RequestId, arrival: &Arrival) {
        let (binding, patience_ends) = (self.binding[arrival.class], arrival.deadline);
        self.work.insert(unit, Work { binding, patience_ends, sent: 0, may_have_run: false });
        self.place(now, unit);
    }

    fn noticed(&mut self, _now: Instant, _id: AttemptId, _executor: ExecutorId) {}

    fn ended(
        &mut self,
        now: Instant,
        id: AttemptId,
        executor: ExecutorId,
        ending: AttemptOutcome,
        finished: bool,
        _report: Option<LoadReport>,
    ) {
        if let Some((_, out)) = self.executors.get_mut(executor.0) {
            *out = out.saturating_sub(1);
        }
        let Some(work) = self.work.get_mut(&id.request) else { return };
        // One allocation at a time, so this was the only one that may have run.
        work.may_have_run &= !ending.proves_not_executed();
        if finished {
            self.work.remove(&id.request);
        } else if work.sent >= self.most_allocations || (work.binding && work.may_have_run) {
            self.end(id.request);
        } else {
            self.place(now, id.request);
        }
    }

    fn finish(&mut self, unit: RequestId) {
        self.work.remove(&unit);
    }

    fn rang(&mut self, _now: Instant, _alarm: u64) {
        self.host.watch_executors();
    }
}
