//! The door of one instance: ids of the wire become small indices, answers become lines.

use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, Write};
use std::rc::Rc;

/// The lines that an instance says. Written as they are: built up as values first they cost a fifth of the CPU of a
/// full-size day.
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum Line<'a> {
    Issue { who: u64, msg_id: &'a str, executor: &'a str, give_up_after_ns: u64 },
    Recall { who: u64, msg_id: &'a str, go: usize },
    Decline { who: u64, msg_id: &'a str, wait_ns: Option<u64> },
    DropRequest { who: u64, msg_id: &'a str },
    SetAlarm { who: u64, span_ns: u64, name: u64 },
    Ping { who: u64, executor: &'a str },
    Signal { who: u64, recipient: Option<u64>, payload: &'a str },
    Watch { who: u64, enable: bool },
    Panic { who: u64, message: &'a str },
}

/// A work unit's id on the wire, kept until it has its final answer and nothing is out for it.
struct Named {
    msg_id: Rc<str>,
    out: usize,
    finished: bool,
}

pub struct Door {
    who: u64,
    lines: Vec<u8>,
    units: HashMap<Rc<str>, RequestId>,
    named: HashMap<RequestId, Named>,
    next_unit: u64,
    over: Vec<RequestId>,
    executors: HashMap<Rc<str>, ExecutorId>,
    executor_names: Vec<Rc<str>>,
}

impl Door {
    pub fn new(who: u64) -> Door {
        Door {
            who,
            lines: Vec::new(),
            units: HashMap::new(),
            named: HashMap::new(),
            next_unit: 0,
            over: Vec::new(),
            executors: HashMap::new(),
            executor_names: Vec::new(),
        }
    }

    /// The index of an executor, a new one if it was never heard of.
    pub fn executor(&mut self, name: &str) -> ExecutorId {
        if let Some(known) = self.known_executor(name) {
            return known;
        }
        let (id, name) = (ExecutorId(self.executor_names.len()), Rc::<str>::from(name));
        self.executor_names.push(name.clone());
        self.executors.insert(name, id);
        id
    }

    pub fn known_executor(&self, name: &str) -> Option<ExecutorId> {
        self.executors.get(name).copied()
    }

    pub fn arrival(&mut self, msg_id: &str) -> RequestId {
        let (unit, msg_id) = (RequestId(self.next_unit), Rc::<str>::from(msg_id));
        self.next_unit += 1;
        self.units.insert(msg_id.clone(), unit);
        self.named.insert(unit, Named { msg_id, out: 0, finished: false });
        unit
    }

    pub fn unit(&self, msg_id: &str) -> Option<RequestId> {
        self.units.get(msg_id).copied()
    }

    /// One allocation of the unit came back.
    pub fn returned(&mut self, unit: RequestId, finished: bool) {
        self.settle(unit, 1, finished);
    }

    pub fn finished(&mut self, unit: RequestId) {
        self.settle(unit, 0, true);
    }

    fn settle(&mut self, unit: RequestId, came_back: usize, finished: bool) {
        if let Some(named) = self.named.get_mut(&unit) {
            named.out = named.out.saturating_sub(came_back);
            named.finished |= finished;
            if named.finished && named.out == 0 {
                self.over.push(unit);
            }
        }
    }

    /// Writes what the instance has said since the last time, and forgets the work units that are over.
    pub fn drain(&mut self, output: &mut impl Write) -> io::Result<()> {
        output.write_all(&self.lines)?;
        self.lines.clear();
        for unit in self.over.drain(..) {
            if let Some(named) = self.named.remove(&unit) {
                self.units.remove(&named.msg_id);
            }
        }
        Ok(())
    }

    pub fn fault(&mut self, message: &str) {
        write(&mut self.lines, &Line::Panic { who: self.who, message });
    }

    /// Ends a work unit, and tells its id to whoever words the answer.
    fn final_answer(&mut self, unit: RequestId, line: impl for<'a> FnOnce(u64, &'a str) -> Line<'a>) {
        self.finished(unit);
        let Some(named) = self.named.get(&unit) else { return };
        write(&mut self.lines, &line(self.who, &named.msg_id));
    }
}

fn write(lines: &mut Vec<u8>, line: &Line) {
    // Writing to memory does not fail, and every line is plain text and numbers.
    if serde_json::to_writer(&mut *lines, line).is_ok() {
        lines.push(b'\n');
    }
}

/// The host that the decisions of one instance act through.
pub struct Wire(pub Rc<RefCell<Door>>);

impl Host for Wire {
    fn allocate(&mut self, unit: RequestId, executor: ExecutorId, time_out: Duration) {
        let door = &mut *self.0.borrow_mut();
        let Some(named) = door.named.get_mut(&unit) else { return };
        named.out += 1;
        let executor = &*door.executor_names[executor.0];
        let (who, msg_id) = (door.who, &*named.msg_id);
        write(&mut door.lines, &Line::Issue { who, msg_id, executor, give_up_after_ns: time_out.nanos() });
    }

    fn cancel(&mut self, allocation: AttemptId) {
        let door = &mut *self.0.borrow_mut();
        let Some(named) = door.named.get(&allocation.request) else { return };
        let (who, msg_id) = (door.who, &*named.msg_id);
        write(&mut door.lines, &Line::Recall { who, msg_id, go: allocation.number });
    }

    fn reject(&mut self, unit: RequestId, come_back: Option<Duration>) {
        let wait_ns = come_back.map(DurationExt::nanos);
        self.0.borrow_mut().final_answer(unit, |who, msg_id| Line::Decline { who, msg_id, wait_ns });
    }

    fn fail(&mut self, unit: RequestId) {
        self.0.borrow_mut().final_answer(unit, |who, msg_id| Line::DropRequest { who, msg_id });
    }

    fn set_timer(&mut self, after: Duration, alarm: u64) {
        let door = &mut *self.0.borrow_mut();
        write(&mut door.lines, &Line::SetAlarm { who: door.who, span_ns: after.nanos(), name: alarm });
    }

    fn probe(&mut self, executor: ExecutorId) {
        let door = &mut *self.0.borrow_mut();
        let executor = &*door.executor_names[executor.0];
        write(&mut door.lines, &Line::Ping { who: door.who, executor });
    }

    fn send_load(&mut self, node: Option<u64>, word: &[u8]) {
        let door = &mut *self.0.borrow_mut();
        let (who, payload) = (door.who, hex::encode(word));
        write(&mut door.lines, &Line::Signal { who, recipient: node, payload: &payload });
    }

    fn watch_executors(&mut self) {
        let door = &mut *self.0.borrow_mut();
        write(&mut door.lines, &Line::Watch { who: door.who, enable: true });
    }
}
