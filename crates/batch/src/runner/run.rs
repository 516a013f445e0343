//! Runs of items: what the leader orders, and how it is told of the outcome.

use super::routes::RouteIndex;
use crate::names::{ItemIndex, JobId};
use crate::shared_bytes::{SharedBytes, SharedText};
use crate::submission::{Header, Tokens};

/// One run of an item. Unique within one [`Runner`](super::Runner).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// An item to be sent to an executor now, as a `POST`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// The run, for the reports of events and outcome.
    pub run: RunId,
    /// The job of the item.
    pub job: JobId,
    /// The item in its job.
    pub item: ItemIndex,
    /// The id of the attempt, which is the item's name.
    pub attempt_id: String,
    /// The service at the time when the job was accepted.
    pub service: String,
    /// The host of the request. With the path it says which route, and so which service, the item goes to.
    pub host: String,
    /// The path of the request with its query.
    pub path: SharedText,
    /// The headers of the request.
    pub headers: Vec<Header>,
    /// The body of the request.
    pub body: SharedBytes,
    /// The run resumes after this event; `None`: from the first.
    pub last_event_id: Option<u64>,
    /// Prompt and output tokens together.
    pub token_count: u64,
    /// The same, divided.
    pub tokens: Tokens,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The stream ended properly: a 200 with the executor's seal, the body complete by its length or its chunks, and
    /// no event begun. Anything less is `Broken`.
    Complete,
    /// An executor's own 500.
    Failed500,
    /// An executor's 422: the item can never succeed.
    Rejected422,
    /// A response that says that the item was not run, or no executor was reached.
    NotExecuted,
    /// The stream broke, or nothing is known.
    Broken,
    /// 421: another executor, or other weights.
    Misdirected,
}

/// What became of a reported event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventDisposition {
    /// It is part of the item's text.
    Accepted,
    /// The run has ended, or never was. The connection is to be closed.
    UnknownRun,
    /// It does not follow the last event. The run has ended and the connection is to be closed; the item runs again
    /// after the last accepted event.
    OutOfOrder,
}

/// The capacity that executors have for items now.
pub trait Capacity {
    /// The most tokens that an item of the route may have to run now; `None`: no item of it may.
    fn tokens_for(&self, route: RouteIndex) -> Option<u64>;
}

impl<F: Fn(RouteIndex) -> Option<u64>> Capacity for F {
    fn tokens_for(&self, route: RouteIndex) -> Option<u64> {
        self(route)
    }
}
