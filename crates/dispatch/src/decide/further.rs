//! Further allocations: when a work unit may be sent again, and how many may be.

use super::{ANSWER_MARGIN, Dispatcher, FIRST_UNIT, RECEIPT_TIMEOUT, SILENT_PACES};
use super::{executor::Executor, work::Allocation};
use crate::time::DurationExt;
use crate::{AllocationId, Duration, Effect, Ending, Host, Instant, UnitId};

impl<H: Host> Dispatcher<H> {
    /// Whether what may have run of a work unit leaves it this executor.
    pub(super) fn repeats(&self, now: Instant, effect: Effect, earlier: &[Allocation], e: &Executor) -> bool {
        let ran = earlier.iter().find(|a| a.may_have_run).map(|a| (a.sent, &self.executors[a.executor.0]));
        ran.is_none_or(|(sent, at)| effect.repeats(now, sent, at.zone == e.zone, at.cell == e.cell))
    }

    /// Looks at a work unit that is out and may be sent again: one that waits gets a further place where
    /// there is room, or leaves its own where a recall stops it; one whose executor fell silent goes to one
    /// with room.
    pub(super) fn review(&mut self, now: Instant, unit: UnitId) {
        const AGAIN: Duration = Duration::from_millis(250); // a few looks within the shortest quoted times
        let Some(work) = self.work.get(&unit) else { return };
        if work.held && work.hold_ends <= now {
            return self.answer(unit);
        }
        if work.streaming || work.held || self.tariffs[work.tariff].effect == Effect::Binding {
            return;
        }
        let out = work.allocations.iter().enumerate().filter(|(_, a)| a.is_out());
        let flights = out.filter_map(|(number, a)| {
            let id = AllocationId { unit, number };
            self.executors[a.executor.0].flights.iter().find(|f| f.id == id).map(|f| (a.executor, f))
        });
        // What has started counts, else what was sent last.
        let told = flights.max_by_key(|(_, f)| (f.started.is_some(), f.sent));
        let Some((executor, flight)) = told else { return };
        let id = flight.id;
        let silent_at = self.progress.map(|pace| flight.heard + pace.scaled(SILENT_PACES));
        let silent = flight.started.is_some() && silent_at.is_some_and(|at| at < now);
        // Where no second copy is allowed a recalled one may run on, and where starts are not told any may
        // have started long before.
        let unstarted = self.tells_start && flight.started.is_none();
        let twice = self.allowance.second_copies;
        let waits = unstarted && now > flight.sent && (twice || self.allowance.recalls_stop);
        let lost = waits && twice && work.slack(now) < 0.0 && self.tariffs[work.tariff].effect.harmless();
        if silent {
            self.set_aside(now, executor);
        }
        if (waits || silent)
            && self.may_allocate(unit, self.allowance.recalls)
            && self.may_go_further(now)
            && let Some((better, true, _)) = self.pick(now, unit)
            && self.host.may_go_further(unit)
        {
            // One that waits keeps its place there, where two may be out: whichever starts first has it.
            if !(waits && twice) {
                self.give_up(id);
            }
            if twice {
                self.send(now, unit, better);
            }
            return;
        }
        // No room anywhere and too late already: waiting on, it only makes the next one late as well.
        if lost {
            return self.answer(unit);
        }
        // What runs, or may, is looked at when it would be silent. Guards against a second of looks at each.
        let next = match silent_at {
            _ if unstarted => AGAIN,
            Some(at) => at.since(now).max(AGAIN),
            None => return,
        };
        self.host.wake(next, FIRST_UNIT + unit.0);
    }

    /// Recalls an allocation: where no second copy is allowed its unit goes elsewhere when that has ended.
    pub(super) fn give_up(&mut self, id: AllocationId) {
        if let Some(work) = self.work.get_mut(&id.unit) {
            work.allocations[id.number].recalled = true;
        }
        if self.allowance.recalls {
            self.host.recall(id);
        }
    }

    /// Whether the budget of further allocations, where there is one, has one more now. What came is counted
    /// a little shorter and what was sent a little longer than the span: whoever checks may hear later.
    pub(super) fn may_go_further(&mut self, now: Instant) -> bool {
        let Some(budget) = self.allowance.further else { return true };
        while self.came.front().is_some_and(|&at| now.since(at) + RECEIPT_TIMEOUT >= budget.span) {
            self.came.pop_front();
        }
        while self.further.front().is_some_and(|&at| now.since(at) > budget.span + RECEIPT_TIMEOUT) {
            self.further.pop_front();
        }
        (self.further.len() + 1) as f64 <= budget.free + budget.share * self.came.len() as f64
    }

    /// Whether one more allocation is allowed; `recalling`: the open ones are about to be recalled.
    fn may_allocate(&self, unit: UnitId, recalling: bool) -> bool {
        let work = &self.work[&unit];
        let open = work.allocations.iter().any(|a| a.open);
        let ran = work.allocations.iter().any(|a| a.may_have_run);
        let binding = self.tariffs[work.tariff].effect == Effect::Binding;
        work.allocations.len() < self.allowance.most_allocations
            && !(binding && ran)
            && (!open || recalling || self.allowance.second_copies)
    }

    /// An allocation ended without an answer: another one, or the final answer.
    pub(super) fn renew(&mut self, now: Instant, unit: UnitId, ending: Ending) {
        // A stream that has started is the answer, whatever became of another copy and of patience.
        let Some(work) = self.work.get(&unit).filter(|w| !w.streaming) else { return };
        // No other will make anything of it. Guards against one bad client having all executors set aside.
        if ending == Ending::Unusable {
            self.finish(unit);
            return self.host.forfeit(unit);
        }
        let out_of_time = work.patience_ends <= now + ANSWER_MARGIN;
        if !out_of_time && work.allocations.iter().any(|a| a.open) {
            return; // another copy is still out
        }
        if out_of_time || ending == Ending::NeverSent || !self.may_allocate(unit, false) {
            return self.answer(unit);
        }
        self.place(now, unit);
    }
}
