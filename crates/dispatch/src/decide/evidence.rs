//! What starts, endings and reports tell of executors, and setting aside.

use super::{Dispatcher, executor::Flight, work::Allocation};
use crate::time::DurationExt;
use crate::{AllocationId, Duration, Ending, ExecutorId, Host, Instant, Report};
use rand::Rng;

impl<H: Host> Dispatcher<H> {
    /// An executor told that an allocation started, or how far it is.
    pub fn noticed(&mut self, now: Instant, id: AllocationId, executor: ExecutorId) {
        let Some(e) = self.executors.get_mut(executor.0) else { return };
        if let Some(flight) = e.flights.iter_mut().find(|f| f.id == id) {
            if flight.started.is_none() {
                // Where starts are not told the first word of progress proves one, a pace ago at most.
                let untold = self.progress.filter(|_| !self.tells_start).unwrap_or_default();
                let started = flight.sent.max(now - untold);
                flight.started = Some(started);
                (e.last_wait, e.last_start) = (started.since(flight.sent).seconds(), started);
            }
            flight.heard = now;
        }
        e.slots = e.slots.max(e.flights.iter().filter(|f| f.started.is_some()).count() as f64);
        // The others of a unit that has started wait for nothing.
        let Some(work) = self.work.get(&id.unit) else { return };
        let others = work.allocations.iter().enumerate().filter(|(n, a)| *n != id.number && a.is_out());
        let others: Vec<usize> = others.map(|(number, _)| number).collect();
        if work.allocations.get(id.number).is_some_and(Allocation::is_out) {
            others.into_iter().for_each(|number| self.give_up(AllocationId { unit: id.unit, number }));
        }
    }

    /// An allocation ended. `finished`: its work unit has had its final answer.
    pub fn ended(
        &mut self,
        now: Instant,
        id: AllocationId,
        executor: ExecutorId,
        ending: Ending,
        finished: bool,
        report: Option<Report>,
    ) {
        self.probed(now, executor, report);
        self.health(now, id, executor, ending);
        let unit = id.unit;
        if let Some(work) = self.work.get_mut(&unit) {
            if let Some(allocation) = work.allocations.get_mut(id.number) {
                allocation.open = false;
                allocation.may_have_run = !ending.proves_not_run();
            }
            if finished { self.finish(unit) } else { self.renew(now, unit, ending) }
        }
        self.serve_held(now);
    }

    /// A probe ended, or something else that may bring a report. A probe without an answer may mean a full
    /// waiting room or a loss on the way: that says too little to act on.
    pub fn probed(&mut self, now: Instant, executor: ExecutorId, report: Option<Report>) {
        let Some((e, report)) = self.executors.get_mut(executor.0).zip(report) else { return };
        if let Some(utilisation) = report.utilisation.filter(|u| u.is_finite()) {
            e.utilisation = utilisation.clamp(0.0, 1.0);
            e.reported = Some(now);
        }
        if let Some(free) = report.free_slots.filter(|f| f.is_finite()) {
            e.most_free = e.most_free.max(free.round());
            // Cores may idle while every slot is held by work that waits for something: no slot, no room.
            e.utilisation = e.utilisation.max(1.0 - free / e.width()).clamp(0.0, 1.0);
            let (kind, most_free) = (e.kind, e.most_free);
            // What one of a kind has all have.
            let kin = self.executors.iter_mut().filter(|e| e.kind == kind);
            kin.for_each(|e| e.most_free = e.most_free.max(most_free));
        }
    }

    /// What an ending says of the executor.
    fn health(&mut self, now: Instant, id: AllocationId, executor: ExecutorId, ending: Ending) {
        let Some(e) = self.executors.get_mut(executor.0) else { return };
        let flight = e.flights.iter().position(|f| f.id == id).map(|at| e.flights.swap_remove(at));
        self.out -= usize::from(flight.is_some());
        match ending {
            Ending::Fulfilled => {
                e.answers += 1;
                match flight {
                    Some(Flight { started: Some(at), size, slots, .. }) => {
                        (e.done, e.ran) = (e.done + size, e.ran + now.since(at).seconds() * slots);
                    }
                    // Where neither starts nor other nodes tell, the answer tells the wait: all that it took
                    // beyond its own run. Guards against queues unseen as work runs for less than a pace.
                    Some(f) if !self.tells_start && !self.talk.allowed => {
                        let run = f.size / f.slots / e.pace.max(1.0);
                        let took = now.since(f.sent).seconds();
                        // Paces only from one that is half idle, where next to nothing waits; and a run of a
                        // standard core's at most: a pace that held some waiting must not hide the next.
                        if e.flights.is_empty() && e.utilisation < 0.5 {
                            (e.done, e.ran) = (e.done + f.size, e.ran + took * f.slots);
                        }
                        e.last_wait = (took - run).max(0.0);
                        e.last_start = now;
                    }
                    _ => {}
                }
            }
            // A full waiting room empties in about a run: nothing until then, or it would answer fastest
            // of all and draw the more work the fuller it is.
            Ending::Full => {
                e.aside_until = now + Duration::from_seconds(0.5 + 0.5 * self.chance.random::<f64>())
            }
            Ending::Reset => e.reset = Some(now),
            Ending::Error => self.set_aside(now, executor),
            Ending::Refused => {
                // Connections broke and now none is made: the process is gone, and what comes back under
                // this id is cold long before the list says so. Guards against pushing it over untold.
                const TOGETHER: Duration = Duration::from_millis(5000);
                if e.reset.is_some_and(|at| now.since(at) < TOGETHER) {
                    (e.died, e.answers) = (Some(now), 0);
                }
                self.set_aside(now, executor);
            }
            _ => {}
        }
    }

    /// Leaves an executor out for a fixed time plus a random part, so that the nodes do not come back
    /// together. Never more than half of the ready ones: trouble of all is not the fault of each.
    pub(super) fn set_aside(&mut self, now: Instant, executor: ExecutorId) {
        // Long enough to pass over most of a short trouble, short enough to find the end of a long one.
        const FIXED_S: f64 = 3.0;
        const RANDOM_S: f64 = 2.0;
        let out = self.ready().filter(|e| e.aside_until > now).count();
        if (out + 1) * 2 <= self.roster.len() {
            let span = Duration::from_seconds(FIXED_S + RANDOM_S * self.chance.random::<f64>());
            self.executors[executor.0].aside_until = now + span;
        }
    }
}
