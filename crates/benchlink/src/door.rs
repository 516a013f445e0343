//! The door of one instance: ids of the wire become small indices, answers become lines.

use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::ids::{AllocationId, ExecutorId, UnitId};
use grebeusher_dispatch::time::Span;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, Write};
use std::rc::Rc;

/// A work unit's id on the wire, kept until it has its final answer and nothing is out for it.
struct Named {
    msg_id: Rc<str>,
    out: usize,
    finished: bool,
}

pub struct Door {
    who: u64,
    lines: Vec<u8>,
    units: HashMap<Rc<str>, UnitId>,
    named: HashMap<UnitId, Named>,
    next_unit: u64,
    over: Vec<UnitId>,
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

    pub fn arrival(&mut self, msg_id: &str) -> UnitId {
        let (unit, msg_id) = (UnitId(self.next_unit), Rc::<str>::from(msg_id));
        self.next_unit += 1;
        self.units.insert(msg_id.clone(), unit);
        self.named.insert(unit, Named { msg_id, out: 0, finished: false });
        unit
    }

    pub fn unit(&self, msg_id: &str) -> Option<UnitId> {
        self.units.get(msg_id).copied()
    }

    /// One allocation of the unit came back.
    pub fn returned(&mut self, unit: UnitId, finished: bool) {
        self.settle(unit, 1, finished);
    }

    pub fn finished(&mut self, unit: UnitId) {
        self.settle(unit, 0, true);
    }

    fn settle(&mut self, unit: UnitId, came_back: usize, finished: bool) {
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
        self.write(json!({"type": "panic", "who": self.who, "message": message}));
    }

    fn write(&mut self, line: Value) {
        self.lines.extend_from_slice(line.to_string().as_bytes());
        self.lines.push(b'\n');
    }

    fn final_answer(&mut self, unit: UnitId, kind: &str, wait: Option<Span>) {
        self.finished(unit);
        let Some(named) = self.named.get(&unit) else { return };
        let mut line = json!({"type": kind, "who": self.who, "msg_id": &*named.msg_id});
        if let Some(wait) = wait {
            line["wait_ns"] = wait.0.into();
        }
        self.write(line);
    }
}

/// The host that the decisions of one instance act through.
pub struct Wire(pub Rc<RefCell<Door>>);

impl Host for Wire {
    fn allocate(&mut self, unit: UnitId, executor: ExecutorId, time_out: Span) {
        let door = &mut *self.0.borrow_mut();
        let Some(named) = door.named.get_mut(&unit) else { return };
        named.out += 1;
        let line = json!({"type": "issue", "who": door.who, "msg_id": &*named.msg_id,
            "executor": &*door.executor_names[executor.0], "give_up_after_ns": time_out.0});
        door.write(line);
    }

    fn recall(&mut self, allocation: AllocationId) {
        let door = &mut *self.0.borrow_mut();
        let Some(named) = door.named.get(&allocation.unit) else { return };
        let line = json!({"type": "recall", "who": door.who, "msg_id": &*named.msg_id,
            "go": allocation.number});
        door.write(line);
    }

    fn turn_back(&mut self, unit: UnitId, come_back: Option<Span>) {
        self.0.borrow_mut().final_answer(unit, "decline", come_back);
    }

    fn forfeit(&mut self, unit: UnitId) {
        self.0.borrow_mut().final_answer(unit, "drop_request", None);
    }

    fn wake(&mut self, after: Span, alarm: u64) {
        let door = &mut *self.0.borrow_mut();
        let line = json!({"type": "set_alarm", "who": door.who, "span_ns": after.0, "name": alarm});
        door.write(line);
    }

    fn probe(&mut self, executor: ExecutorId) {
        let door = &mut *self.0.borrow_mut();
        let line = json!({"type": "ping", "who": door.who,
            "executor": &*door.executor_names[executor.0]});
        door.write(line);
    }

    fn tell(&mut self, node: Option<u64>, word: &[u8]) {
        let door = &mut *self.0.borrow_mut();
        let payload: String = word.iter().map(|byte| format!("{byte:02x}")).collect();
        door.write(json!({"type": "signal", "who": door.who, "recipient": node, "payload": payload}));
    }

    fn follow_list(&mut self) {
        let door = &mut *self.0.borrow_mut();
        door.write(json!({"type": "watch", "who": door.who, "enable": true}));
    }
}
