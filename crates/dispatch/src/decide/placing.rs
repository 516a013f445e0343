//! The way of a work unit: it comes, is sent, held or turned back, and has one final answer.

use super::work::{Allocation, Work};
use super::{ANSWER_MARGIN, Dispatcher, FEWEST, FIRST_UNIT, RECEIPT_TIMEOUT, SILENT_PACES, executor::Flight};
use crate::time::DurationExt;
use crate::{AllocationId, Arrival, Duration, Effect, ExecutorId, Host, Instant, UnitId};

impl<H: Host> Dispatcher<H> {
    /// A work unit came in; it owes exactly one final answer from here on.
    pub fn arrived(&mut self, now: Instant, unit: UnitId, arrival: &Arrival) {
        // Sizes beyond any sense would own the cut-offs alone: a millisecond to a day is what work takes.
        const SENSIBLE: (f64, f64) = (0.001, 86_400.0);
        let slots = if arrival.slots > 0.0 && arrival.slots.is_finite() { arrival.slots } else { 1.0 };
        let hinted = arrival.hint.filter(|h| h.nanos() > 0);
        let size = hinted.map_or(self.known.median, |h| (h.seconds() * slots).clamp(SENSIBLE.0, SENSIBLE.1));
        if hinted.is_some() {
            self.known.saw(size, size / slots);
            if self.known.count() == FEWEST {
                self.recompute_cut_offs();
            }
        }
        if self.allowance.further.is_some() {
            self.came.push_back(now);
        }
        let tariff = arrival.tariff.min(self.tariffs.len() - 1);
        let terms = &self.tariffs[tariff];
        // The one notion of time left. Clocks may differ by so much: a client that has just asked waits
        // as long as its tariff says, within that.
        let (told, off) = (arrival.patience_ends, self.allowance.patience_off);
        let waits = if arrival.repeat { told } else { now + terms.patience };
        let patience_ends = waits.clamp(told - off, told + off);
        // The quoted time runs from a client's first try. Guards against late repeats taking the place of
        // what can still be in time.
        let asked = if arrival.repeat { now.min(patience_ends - terms.patience) } else { now };
        let quoted = terms.quoted_time + Duration::from_seconds(terms.stretch * size / slots);
        let over_share = self.allotments.get_mut(arrival.customer).is_some_and(|a| a.beyond(now));
        let work = Work { tariff, asked, quoted, patience_ends, size, slots, over_share, ..Work::default() };
        self.work.insert(unit, work);
        if arrival.beyond { self.answer(unit) } else { self.place(now, unit) }
    }

    /// An answer began to stream: it belongs to the client now, and patience no longer ends.
    pub fn streaming(&mut self, unit: UnitId) {
        self.work.entry(unit).and_modify(|work| work.streaming = true);
    }

    /// Sends the work unit where the design says, holds it while nothing can take it, or turns it back.
    pub(super) fn place(&mut self, now: Instant, unit: UnitId) {
        const MAX_HOLD: Duration = Duration::from_millis(1000); // a slot comes free in it; longer seldom helps
        const SHARE_TIMEOUT: Duration = Duration::from_millis(60); // a few round trips to whoever divides the fleet's budget
        let picked = self.pick(now, unit);
        let Some(work) = self.work.get_mut(&unit) else { return };
        if work.patience_ends <= now + ANSWER_MARGIN {
            return self.answer(unit);
        }
        match picked {
            Some((executor, _, wait)) => {
                let (first, fresh) =
                    (work.allocations.is_empty(), work.allocations.iter().all(|a| !a.may_have_run));
                let spent = !first && !self.may_go_further(now);
                let hopeless = fresh && self.hopeless(now, &self.work[&unit], wait);
                if spent || hopeless {
                    self.answer(unit)
                } else if first || self.host.may_go_further(unit) {
                    self.send(now, unit, executor)
                } else {
                    self.hold(now, unit, now + SHARE_TIMEOUT)
                }
            }
            None => {
                let until = (now + MAX_HOLD).min(work.asked + work.quoted);
                self.hold(now, unit, until)
            }
        }
    }

    /// Holds a work unit, with its own alarm: patience may end between two beats.
    fn hold(&mut self, now: Instant, unit: UnitId, until: Instant) {
        let Some(work) = self.work.get_mut(&unit).filter(|work| !work.held) else { return };
        work.held = true;
        work.hold_ends = until.min(work.patience_ends - ANSWER_MARGIN);
        self.host.wake(work.hold_ends.since(now), FIRST_UNIT + unit.0);
    }

    pub(super) fn send(&mut self, now: Instant, unit: UnitId, executor: ExecutorId) {
        const REVIEW_DELAY: Duration = Duration::from_millis(150); // who waits to start this long is looked at again
        // Every few seconds each executor that is used (design page), and no other: probes cost.
        const PROBE_INTERVAL: Duration = Duration::from_millis(3000);
        let Some(work) = self.work.get_mut(&unit) else { return };
        let e = &mut self.executors[executor.0];
        (work.held, self.out) = (false, self.out + 1);
        let sent = Allocation { executor, sent: now, open: true, may_have_run: true, recalled: false };
        work.allocations.push(sent);
        if work.allocations.len() > 1 && self.allowance.further.is_some() {
            self.further.push_back(now);
        }
        let (size, slots) = (work.size, work.slots);
        let time_out = (work.patience_ends - ANSWER_MARGIN).since(now);
        // Where starts are not told, what runs is heard of a pace later; without progress it never is. Guards
        // against taking all that is out for running, and what waits for an executor fallen silent.
        let word_due = match self.progress {
            _ if self.tells_start => now,
            Some(pace) => now + pace,
            None => Instant(u64::MAX),
        };
        let id = AllocationId { unit, number: work.allocations.len() - 1 };
        e.flights.push(Flight { id, size, slots, sent: now, word_due, started: None, heard: now });
        if e.cold_budget(&self.cold, now).is_some() {
            e.cold_sent.retain(|&at| now.since(at) <= self.cold.fall_window + RECEIPT_TIMEOUT);
            e.cold_sent.push(now);
        }
        let heard = e.reported.unwrap_or_default().max(e.asked);
        if self.may_probe && now.since(heard) >= PROBE_INTERVAL {
            e.asked = now;
            self.host.probe(executor);
        }
        self.host.allocate(unit, executor, time_out);
        if self.tariffs[work.tariff].effect != Effect::Binding {
            let untold = self.progress.filter(|_| !self.tells_start);
            self.host
                .wake(untold.map_or(REVIEW_DELAY, |pace| pace.scaled(SILENT_PACES)), FIRST_UNIT + unit.0);
        }
    }

    /// The final answer to a work unit that is given up: a turn-back where trying again is harmless.
    pub(super) fn answer(&mut self, unit: UnitId) {
        const COME_BACK: Duration = Duration::from_millis(500); // a slot comes free in it; short against any patience
        let Some(work) = self.work.get(&unit) else { return };
        let ran = work.allocations.iter().any(|a| a.may_have_run);
        let harmless = !ran || self.tariffs[work.tariff].effect.harmless();
        let come_back = self.allowance.longest_come_back.map(|longest| longest.min(COME_BACK));
        self.finish(unit);
        if harmless { self.host.turn_back(unit, come_back) } else { self.host.forfeit(unit) }
    }

    /// No answer is owed any more, as one was given, or the client left: what is still out for the work unit
    /// is recalled, so that nobody works for nothing.
    pub fn finish(&mut self, unit: UnitId) {
        let Some(work) = self.work.remove(&unit) else { return };
        for (number, allocation) in work.allocations.iter().enumerate() {
            if allocation.is_out() && self.allowance.recalls {
                self.host.recall(AllocationId { unit, number });
            }
        }
    }

    /// Tries the held work units again, oldest first, and gives up those whose quoted time is past.
    pub fn serve_held(&mut self, now: Instant) {
        let held = self.work.iter().filter(|(_, work)| work.held).map(|(&unit, work)| (unit, work.hold_ends));
        for (unit, hold_ends) in held.collect::<Vec<_>>() {
            if hold_ends <= now { self.answer(unit) } else { self.place(now, unit) }
        }
    }
}
