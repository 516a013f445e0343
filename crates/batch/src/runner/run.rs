//! The types that describe the runs of items: their requests, events and outcomes.

use super::routes::RouteIndex;
use crate::names::{ItemIndex, JobId};
use crate::shared_bytes::{SharedBytes, SharedText};
use crate::submission::{Header, Tokens};

/// The id of one run of an item, unique within one [`Runner`](super::Runner).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// The request of an item, which has to be sent to an executor now as a `POST`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRequest {
    /// The id of the run, by which its events and outcome are reported.
    pub run: RunId,
    /// The id of the item's job.
    pub job: JobId,
    /// The index of the item in its job.
    pub item: ItemIndex,
    /// The id of the attempt, which is the id of the item.
    pub attempt_id: String,
    /// The service that the route led to when the job was accepted.
    pub service: String,
    /// The host of the request. Together with the path it determines the route, and so the service, that the item is
    /// sent to.
    pub host: String,
    /// The path of the request, with its query.
    pub path: SharedText,
    /// The headers of the request.
    pub headers: Vec<Header>,
    /// The body of the request.
    pub body: SharedBytes,
    /// The id of the event after which the run resumes; `None` if it starts at the first event.
    pub last_event_id: Option<u64>,
    /// The tokens of the prompt plus the maximum number of tokens of the output.
    pub token_count: u64,
    /// The tokens of the prompt and of the output.
    pub tokens: Tokens,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The stream is complete: a 200 response with the executor's seal header, whose body is complete according to its
    /// length or its chunks and does not end inside an event. Any other 200 response is `Broken`.
    Complete,
    /// The executor itself responded with 500.
    Failed500,
    /// The executor responded with 422: the item can never succeed.
    Rejected422,
    /// The response states that the item was not executed, or no executor was reached.
    NotExecuted,
    /// The stream broke, or the outcome is unknown.
    Broken,
    /// The response was 421: the request reached another executor than intended, or one with other model weights.
    Misdirected,
}

/// The result of reporting an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventDisposition {
    /// The event was appended to the text of the item.
    Accepted,
    /// The run has ended or never existed. The caller has to close the connection.
    UnknownRun,
    /// The event does not follow the last accepted one, or the text would become too large. The run has ended, and the
    /// caller has to close the connection. The item runs again after the last accepted event.
    OutOfOrder,
}

/// The current capacity of the executors for items.
pub trait Capacity {
    /// The maximum number of tokens that an item of the route may have to run now. `None` if no item of the route may
    /// run.
    fn tokens_for(&self, route: RouteIndex) -> Option<u64>;
}

impl<F: Fn(RouteIndex) -> Option<u64>> Capacity for F {
    fn tokens_for(&self, route: RouteIndex) -> Option<u64> {
        self(route)
    }
}
