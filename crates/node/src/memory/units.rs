//! The work units in hand: what they brought, and what is out for them.

use crate::memory::parts::Of;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::Duration;
use grebeusher_transport::alarms::Alarm;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Gives out the ids of work units, one after the other, whatever front they come by.
#[derive(Clone, Default)]
pub struct UnitIds(Rc<Cell<u64>>);

impl UnitIds {
    pub fn take(&self) -> RequestId {
        let id = self.0.get();
        self.0.set(id + 1);
        RequestId(id)
    }
}

/// What is sent on unchanged with each allocation of a unit.
pub struct Errand {
    pub call_id: Rc<str>,
    pub tariff: String,
    pub target: String,
    /// The lines of the client's headers that go on.
    pub headers: String,
    pub body: Vec<u8>,
    pub binding: bool,
    /// The places of its tariff and customer.
    pub of: Of,
    /// Written down in the ledger, and answered there.
    pub lasts: bool,
    /// How it was pushed, if it came as a job.
    pub pushed: Option<Pushed>,
}

/// A job as a client pushed it: a worker gets it as it was.
pub struct Pushed {
    pub line: String,
    pub priority: u8,
    pub reserve_for: Option<Duration>,
}

struct Out {
    executor: ExecutorId,
    open: bool,
    accepted: bool,
    time_out: Option<Alarm>,
}

struct Unit {
    errand: Rc<Errand>,
    out: Vec<Out>,
    answered: bool,
}

/// Kept until a unit has its final answer and nothing is out for it.
#[derive(Default)]
pub struct Units {
    kept: HashMap<RequestId, Unit>,
    by_call: HashMap<Rc<str>, RequestId>,
}

impl Units {
    pub fn arrived(&mut self, id: RequestId, errand: Errand) {
        self.by_call.insert(errand.call_id.clone(), id);
        self.kept.insert(id, Unit { errand: Rc::new(errand), out: Vec::new(), answered: false });
    }

    pub fn find(&self, call_id: &str) -> Option<RequestId> {
        self.by_call.get(call_id).copied()
    }

    /// One more allocation of the unit, as it is sent.
    pub fn allocated(&mut self, unit: RequestId, executor: ExecutorId) -> Option<(AttemptId, Rc<Errand>)> {
        let kept = self.kept.get_mut(&unit)?;
        let number = kept.out.len();
        kept.out.push(Out { executor, open: true, accepted: false, time_out: None });
        Some((AttemptId { request: unit, number }, kept.errand.clone()))
    }

    pub fn accepted(&mut self, id: AttemptId) {
        if let Some(out) = self.out(id) {
            out.accepted = true;
        }
    }

    /// When the node will stop waiting for the allocation.
    pub fn times_out(&mut self, id: AttemptId, alarm: Alarm) {
        if let Some(out) = self.out(id) {
            out.time_out = Some(alarm);
        }
    }

    fn out(&mut self, id: AttemptId) -> Option<&mut Out> {
        self.kept.get_mut(&id.request)?.out.get_mut(id.number)
    }

    /// The allocation of this unit that is out at the executor, if one is.
    pub fn out_at(&self, unit: RequestId, executor: ExecutorId) -> Option<AttemptId> {
        let out = &self.kept.get(&unit)?.out;
        let number = out.iter().position(|out| out.open && out.executor == executor)?;
        Some(AttemptId { request: unit, number })
    }

    /// The executor of an allocation that is still out, whether it was accepted, and what was sent.
    pub fn still_out(&self, id: AttemptId) -> Option<(ExecutorId, bool, Rc<Errand>)> {
        let unit = self.kept.get(&id.request)?;
        let out = unit.out.get(id.number).filter(|out| out.open)?;
        Some((out.executor, out.accepted, unit.errand.clone()))
    }

    /// How much is out at each executor.
    pub fn out_at_all(&self) -> BTreeMap<ExecutorId, u16> {
        let mut count = BTreeMap::new();
        for out in self.kept.values().flat_map(|unit| &unit.out).filter(|out| out.open) {
            let units: &mut u16 = count.entry(out.executor).or_default();
            *units = units.saturating_add(1);
        }
        count
    }

    /// What a unit brought that is not over.
    pub fn errand(&self, unit: RequestId) -> Option<Rc<Errand>> {
        self.kept.get(&unit).map(|unit| unit.errand.clone())
    }

    /// The allocation has ended; `None` if it had before. Tells its executor, and the alarm that is off.
    pub fn ended(&mut self, id: AttemptId) -> Option<(ExecutorId, Option<Alarm>)> {
        let out = self.out(id).filter(|out| out.open)?;
        out.open = false;
        Some((out.executor, out.time_out))
    }

    pub fn is_answered(&self, unit: RequestId) -> bool {
        self.kept.get(&unit).is_none_or(|unit| unit.answered)
    }

    /// The unit has its final answer, or nobody waits for one; `false` if it had before.
    pub fn answered(&mut self, unit: RequestId) -> bool {
        self.kept.get_mut(&unit).is_some_and(|unit| !std::mem::replace(&mut unit.answered, true))
    }

    /// Forgets a unit that is over.
    pub fn tidy(&mut self, unit: RequestId) {
        let Some(kept) = self.kept.get(&unit) else { return };
        if kept.answered && kept.out.iter().all(|out| !out.open) {
            self.by_call.remove(&kept.errand.call_id);
            self.kept.remove(&unit);
        }
    }
}
