//! The open requests: their content, and the attempts that were sent for them.

use crate::state::budget_shares::BudgetScope;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::Duration;
use grebeusher_transport::alarms::Alarm;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Gives out request IDs in ascending order. All frontends share one counter.
#[derive(Clone, Default)]
pub struct RequestIds(Rc<Cell<u64>>);

impl RequestIds {
    pub fn next_id(&self) -> RequestId {
        let id = self.0.get();
        self.0.set(id + 1);
        RequestId(id)
    }
}

/// The part of a request that is sent unchanged with each attempt.
pub struct RequestContent {
    /// The client's ID of the request.
    pub call_id: Rc<str>,
    /// The name of the request's class.
    pub class: String,
    /// The target of the HTTP request line.
    pub target: String,
    /// The client's header lines that are forwarded.
    pub headers: String,
    pub body: Vec<u8>,
    /// The request must not run twice.
    pub non_idempotent: bool,
    pub scope: BudgetScope,
    /// The request is recorded in the job log and answered there, so that it survives a restart of the process.
    pub durable: bool,
    /// The Faktory job, if the request came as one.
    pub faktory_job: Option<FaktoryJob>,
}

/// A job that a Faktory client pushed; a worker gets it unchanged.
pub struct FaktoryJob {
    pub json: String,
    pub priority: u8,
    /// How long the job stays reserved for the worker that fetched it.
    pub reserve_for: Option<Duration>,
}

struct Attempt {
    executor: ExecutorId,
    open: bool,
    accepted: bool,
    timeout: Option<Alarm>,
}

struct OpenRequest {
    content: Rc<RequestContent>,
    attempts: Vec<Attempt>,
    answered: bool,
}

/// Holds each request until it has its final response and none of its attempts is open.
#[derive(Default)]
pub struct OpenRequests {
    requests: HashMap<RequestId, OpenRequest>,
    by_call_id: HashMap<Rc<str>, RequestId>,
}

impl OpenRequests {
    pub fn insert(&mut self, id: RequestId, content: RequestContent) {
        self.by_call_id.insert(content.call_id.clone(), id);
        self.requests
            .insert(id, OpenRequest { content: Rc::new(content), attempts: Vec::new(), answered: false });
    }

    pub fn find(&self, call_id: &str) -> Option<RequestId> {
        self.by_call_id.get(call_id).copied()
    }

    /// Opens the next attempt of a request; `None` if the request is not open.
    pub fn add_attempt(
        &mut self,
        id: RequestId,
        executor: ExecutorId,
    ) -> Option<(AttemptId, Rc<RequestContent>)> {
        let request = self.requests.get_mut(&id)?;
        let number = request.attempts.len();
        request.attempts.push(Attempt { executor, open: true, accepted: false, timeout: None });
        Some((AttemptId { request: id, number }, request.content.clone()))
    }

    pub fn mark_accepted(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempt(id) {
            attempt.accepted = true;
        }
    }

    /// Records the alarm that fires when the attempt times out.
    pub fn set_timeout(&mut self, id: AttemptId, alarm: Alarm) {
        if let Some(attempt) = self.attempt(id) {
            attempt.timeout = Some(alarm);
        }
    }

    fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.requests.get_mut(&id.request)?.attempts.get_mut(id.number)
    }

    /// The open attempt of this request at the executor, if there is one.
    pub fn open_attempt_at(&self, id: RequestId, executor: ExecutorId) -> Option<AttemptId> {
        let attempts = &self.requests.get(&id)?.attempts;
        let number = attempts.iter().position(|attempt| attempt.open && attempt.executor == executor)?;
        Some(AttemptId { request: id, number })
    }

    /// For an open attempt: its executor, whether the executor accepted it, and the content of its request.
    pub fn open_attempt(&self, id: AttemptId) -> Option<(ExecutorId, bool, Rc<RequestContent>)> {
        let request = self.requests.get(&id.request)?;
        let attempt = request.attempts.get(id.number).filter(|attempt| attempt.open)?;
        Some((attempt.executor, attempt.accepted, request.content.clone()))
    }

    /// The number of open attempts at each executor that has some.
    pub fn open_attempts_by_executor(&self) -> BTreeMap<ExecutorId, u16> {
        let mut counts = BTreeMap::new();
        for attempt in
            self.requests.values().flat_map(|request| &request.attempts).filter(|attempt| attempt.open)
        {
            let count: &mut u16 = counts.entry(attempt.executor).or_default();
            *count = count.saturating_add(1);
        }
        counts
    }

    pub fn content(&self, id: RequestId) -> Option<Rc<RequestContent>> {
        self.requests.get(&id).map(|request| request.content.clone())
    }

    /// Marks an attempt as ended. Returns its executor and its timeout alarm, which the caller has to cancel, or `None`
    /// if the attempt had already ended.
    pub fn end_attempt(&mut self, id: AttemptId) -> Option<(ExecutorId, Option<Alarm>)> {
        let attempt = self.attempt(id).filter(|attempt| attempt.open)?;
        attempt.open = false;
        Some((attempt.executor, attempt.timeout))
    }

    /// Whether the request has its final response; also true for a request that is not open.
    pub fn is_answered(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|request| request.answered)
    }

    /// Marks a request as answered, or as one whose client no longer waits; `false` if it was marked before or is not
    /// open.
    pub fn mark_answered(&mut self, id: RequestId) -> bool {
        self.requests.get_mut(&id).is_some_and(|request| !std::mem::replace(&mut request.answered, true))
    }

    /// Removes a request that is answered and has no open attempt.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.answered && request.attempts.iter().all(|attempt| !attempt.open) {
            self.by_call_id.remove(&request.content.call_id);
            self.requests.remove(&id);
        }
    }
}
