//! The wire state of one instance: the mapping of the wire's ids to the dispatcher's indices, and the lines to be written.

use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, Write};
use std::rc::Rc;

/// A line that an instance writes; `who` is the id of the instance. Lines are serialised directly: building JSON values first
/// took a fifth of the CPU time of a full-size day.
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum OutputLine<'a> {
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

/// A request that is kept until it has its final answer and none of its attempts is in flight.
struct OpenRequest {
    msg_id: Rc<str>,
    attempts_in_flight: usize,
    finished: bool,
}

pub struct WireState {
    instance_id: u64,
    /// The lines since the last [`WireState::flush`], as bytes.
    lines: Vec<u8>,
    /// The index of each open request, by its `msg_id`.
    request_ids: HashMap<Rc<str>, RequestId>,
    open_requests: HashMap<RequestId, OpenRequest>,
    /// The index of the next request.
    next_request: u64,
    /// The requests that the next [`WireState::flush`] forgets.
    closed_requests: Vec<RequestId>,
    executors: HashMap<Rc<str>, ExecutorId>,
    /// The name of each executor, by its index.
    executor_names: Vec<Rc<str>>,
}

impl WireState {
    pub fn new(instance_id: u64) -> WireState {
        WireState {
            instance_id,
            lines: Vec::new(),
            request_ids: HashMap::new(),
            open_requests: HashMap::new(),
            next_request: 0,
            closed_requests: Vec::new(),
            executors: HashMap::new(),
            executor_names: Vec::new(),
        }
    }

    /// The index of an executor; a new one if the name is unknown.
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

    /// Assigns an index to a request that has arrived.
    pub fn add_request(&mut self, msg_id: &str) -> RequestId {
        let (request, msg_id) = (RequestId(self.next_request), Rc::<str>::from(msg_id));
        self.next_request += 1;
        self.request_ids.insert(msg_id.clone(), request);
        self.open_requests.insert(request, OpenRequest { msg_id, attempts_in_flight: 0, finished: false });
        request
    }

    pub fn request(&self, msg_id: &str) -> Option<RequestId> {
        self.request_ids.get(msg_id).copied()
    }

    /// Records that an attempt of a request ended; `finished` tells whether the request has had its final answer.
    pub fn attempt_ended(&mut self, request: RequestId, finished: bool) {
        self.update_request(request, 1, finished);
    }

    /// Records that a request has had its final answer, or that its client left.
    pub fn request_finished(&mut self, request: RequestId) {
        self.update_request(request, 0, true);
    }

    fn update_request(&mut self, request: RequestId, ended_attempts: usize, finished: bool) {
        if let Some(open) = self.open_requests.get_mut(&request) {
            open.attempts_in_flight = open.attempts_in_flight.saturating_sub(ended_attempts);
            open.finished |= finished;
            if open.finished && open.attempts_in_flight == 0 {
                self.closed_requests.push(request);
            }
        }
    }

    /// Writes the lines since the last call, and forgets the requests that were closed.
    pub fn flush(&mut self, output: &mut impl Write) -> io::Result<()> {
        output.write_all(&self.lines)?;
        self.lines.clear();
        for request in self.closed_requests.drain(..) {
            if let Some(open) = self.open_requests.remove(&request) {
                self.request_ids.remove(&open.msg_id);
            }
        }
        Ok(())
    }

    /// Reports a panic of the dispatcher.
    pub fn report_panic(&mut self, message: &str) {
        append_line(&mut self.lines, &OutputLine::Panic { who: self.instance_id, message });
    }

    /// Ends a request with the line that `answer` makes from the instance's id and the request's `msg_id`.
    fn final_answer(
        &mut self,
        request: RequestId,
        answer: impl for<'a> FnOnce(u64, &'a str) -> OutputLine<'a>,
    ) {
        self.request_finished(request);
        let Some(open) = self.open_requests.get(&request) else { return };
        append_line(&mut self.lines, &answer(self.instance_id, &open.msg_id));
    }
}

fn append_line(lines: &mut Vec<u8>, line: &OutputLine) {
    // Serialisation does not fail: it writes to memory, and all fields are strings, numbers or booleans.
    if serde_json::to_writer(&mut *lines, line).is_ok() {
        lines.push(b'\n');
    }
}

/// The host of an instance's dispatcher: each action becomes a line of the wire.
pub struct WireHost(pub Rc<RefCell<WireState>>);

impl Host for WireHost {
    fn send_attempt(&mut self, request: RequestId, executor: ExecutorId, time_out: Duration) {
        let wire = &mut *self.0.borrow_mut();
        let Some(open) = wire.open_requests.get_mut(&request) else { return };
        open.attempts_in_flight += 1;
        let executor = &*wire.executor_names[executor.0];
        let (who, msg_id) = (wire.instance_id, &*open.msg_id);
        append_line(
            &mut wire.lines,
            &OutputLine::Issue { who, msg_id, executor, give_up_after_ns: time_out.nanos() },
        );
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let wire = &mut *self.0.borrow_mut();
        let Some(open) = wire.open_requests.get(&attempt.request) else { return };
        let (who, msg_id) = (wire.instance_id, &*open.msg_id);
        append_line(&mut wire.lines, &OutputLine::Recall { who, msg_id, go: attempt.number });
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let wait_ns = retry_after.map(DurationExt::nanos);
        self.0.borrow_mut().final_answer(request, |who, msg_id| OutputLine::Decline { who, msg_id, wait_ns });
    }

    fn fail(&mut self, request: RequestId) {
        self.0.borrow_mut().final_answer(request, |who, msg_id| OutputLine::DropRequest { who, msg_id });
    }

    fn set_timer(&mut self, after: Duration, timer: u64) {
        let wire = &mut *self.0.borrow_mut();
        append_line(
            &mut wire.lines,
            &OutputLine::SetAlarm { who: wire.instance_id, span_ns: after.nanos(), name: timer },
        );
    }

    fn probe(&mut self, executor: ExecutorId) {
        let wire = &mut *self.0.borrow_mut();
        let executor = &*wire.executor_names[executor.0];
        append_line(&mut wire.lines, &OutputLine::Ping { who: wire.instance_id, executor });
    }

    fn send_load(&mut self, node: Option<u64>, message: &[u8]) {
        let wire = &mut *self.0.borrow_mut();
        let (who, payload) = (wire.instance_id, hex::encode(message));
        append_line(&mut wire.lines, &OutputLine::Signal { who, recipient: node, payload: &payload });
    }

    fn watch_executors(&mut self) {
        let wire = &mut *self.0.borrow_mut();
        append_line(&mut wire.lines, &OutputLine::Watch { who: wire.instance_id, enable: true });
    }
}
