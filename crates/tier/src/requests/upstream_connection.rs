//! One connection to an executor: a state machine that parses the responses. `requests/dispatch.rs` delivers them.

use crate::requests::attempt_ids::AttemptIds;
use crate::requests::exchange::ExchangeKey;
use crate::requests::header_names as names;
use grebeusher_time::{Duration, DurationExt, Instant};
use grebeusher_transport::body::{self, BodyReader};
use grebeusher_transport::headers::Headers;
use grebeusher_transport::http::{self, Limits, Malformed, ResponseHead};
use std::net::SocketAddrV4;
use std::ops::Range;
use std::sync::Arc;

/// An idle connection is not used within this time before the end of the timeout in the executor's `Keep-Alive` header: the
/// executor might close it while the request is sent.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1000);
/// How long an idle connection may be used if the executor sent no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(8000);

/// The exchange or batch item whose call a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOwner {
    /// The exchange of a client request.
    Exchange(ExchangeKey),
    /// An item of a batch job, identified by the number of its run.
    Item(u64),
}

/// The executor that a call is sent to.
#[derive(Clone, Debug)]
pub struct ExecutorTarget {
    /// The instance id, which each process of an executor has for itself.
    pub instance: Arc<str>,
    /// The address at which it accepts requests.
    pub address: SocketAddrV4,
}

/// The point at which a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No byte of the request was sent.
    NeverSent,
    /// The request was sent, at least in part, and no complete head of a response was received.
    BeforeHead,
    /// The body of the response was cut off.
    MidBody,
}

enum State {
    Idle,
    Connecting,
    AwaitingHead,
    /// A body is being received. If `stale`, the response belongs to an earlier request and is dropped.
    Body {
        reader: BodyReader,
        stale: bool,
    },
}

/// What was parsed from the received bytes.
pub(crate) enum Parsed {
    /// The bytes are not yet a complete head.
    Incomplete,
    /// No response is expected.
    Unexpected,
    /// The head of an interim (1xx) response; the final response follows.
    Interim { consumed: usize },
    /// The head of a response. `owner` is `None` for a stale response.
    Head { consumed: usize, owner: Option<CallOwner>, head: ResponseHead, is_complete: bool },
    /// Ranges of body data in the parsed bytes. `owner` is `None` for a stale response.
    Body { consumed: usize, owner: Option<CallOwner>, data: Vec<Range<usize>>, is_complete: bool },
}

/// What a complete response ends, and whether the connection has to be closed.
pub(crate) enum ResponseEnd {
    /// A stale response was dropped. That of the current call follows if the connection stays open.
    Stale { must_close: bool },
    /// The current call is over.
    Call { owner: Option<CallOwner>, must_close: bool },
}

/// The protocol state of a connection to an executor.
pub struct UpstreamConnection {
    target: ExecutorTarget,
    state: State,
    /// The owner of the current call.
    owner: Option<CallOwner>,
    /// The attempt id of the current call; a response with another one is stale.
    attempt_id: String,
    /// The attempt ids of this call and earlier ones on the connection.
    carried_ids: AttemptIds,
    /// The time until which the connection may be used while it is idle.
    usable_until: Instant,
    /// Whether the connection has to be closed after the current response.
    must_close: bool,
}

impl UpstreamConnection {
    /// Creates the state of a connection that is being opened for a call.
    pub(crate) fn connecting(
        target: ExecutorTarget,
        owner: CallOwner,
        attempt_id: &str,
        now: Instant,
    ) -> UpstreamConnection {
        let mut carried_ids = AttemptIds::default();
        carried_ids.push(attempt_id);
        UpstreamConnection {
            target,
            state: State::Connecting,
            owner: Some(owner),
            attempt_id: attempt_id.to_owned(),
            carried_ids,
            usable_until: now + DEFAULT_IDLE_TIMEOUT,
            must_close: false,
        }
    }

    /// Starts a call on an idle connection.
    pub(crate) fn start_call(&mut self, owner: CallOwner, attempt_id: &str) {
        self.owner = Some(owner);
        attempt_id.clone_into(&mut self.attempt_id);
        self.carried_ids.push(attempt_id);
        self.state = State::AwaitingHead;
    }

    /// Whether a call with this attempt id can be told apart from the earlier calls on the connection. An executor may send a
    /// response twice, and all attempts of a request and all runs of an item have the same id: a late response to an earlier
    /// call would be taken for the response to this one.
    pub(crate) fn can_carry(&self, attempt_id: &str) -> bool {
        !self.carried_ids.contains(attempt_id)
    }

    /// Whether the connection is still being opened.
    pub(crate) fn is_connecting(&self) -> bool {
        matches!(self.state, State::Connecting)
    }

    /// The connection has been opened.
    pub(crate) fn set_connected(&mut self) {
        self.state = State::AwaitingHead;
    }

    /// The instance id of the executor process.
    pub(crate) fn instance(&self) -> &Arc<str> {
        &self.target.instance
    }

    /// Whether the executor is expected to keep the idle connection open.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        now < self.usable_until
    }

    /// Whether the connection carries a call.
    pub fn is_busy(&self) -> bool {
        self.owner.is_some()
    }

    /// Takes the owner of the current call, which gets no further events.
    pub(crate) fn take_owner(&mut self) -> Option<CallOwner> {
        self.owner.take()
    }

    /// Parses the next head or the next part of a body.
    ///
    /// # Errors
    /// The bytes are not a valid response, so that nothing after them can be parsed.
    pub(crate) fn parse(&mut self, bytes: &[u8], limits: &Limits, now: Instant) -> Result<Parsed, Malformed> {
        match &mut self.state {
            State::Idle | State::Connecting => Ok(Parsed::Unexpected),
            State::AwaitingHead => self.parse_head(bytes, limits, now),
            State::Body { reader, stale } => {
                let owner = self.owner.filter(|_| !*stale);
                let progress = reader.read(bytes)?;
                let (consumed, data, is_complete) = (progress.consumed, progress.data, progress.done);
                Ok(Parsed::Body { consumed, owner, data, is_complete })
            }
        }
    }

    fn parse_head(&mut self, bytes: &[u8], limits: &Limits, now: Instant) -> Result<Parsed, Malformed> {
        let Some((head, consumed)) = http::response_head(bytes, limits)? else {
            return Ok(Parsed::Incomplete);
        };
        if (100..200).contains(&head.status) {
            return Ok(Parsed::Interim { consumed });
        }
        let framing = body::response_framing(head.status, &head.headers, "POST")?;
        self.must_close = head.headers.closes;
        self.usable_until = usable_until(&head.headers, now);
        let stale = head.headers.get(names::ATTEMPT_ID).is_some_and(|id| id != self.attempt_id);
        let reader = BodyReader::new(framing);
        // A response without a body is complete with its head.
        let is_complete = reader.is_done();
        self.state = State::Body { reader, stale };
        Ok(Parsed::Head { consumed, owner: self.owner.filter(|_| !stale), head, is_complete })
    }

    /// Ends the current response, which is complete.
    pub(crate) fn end_response(&mut self) -> ResponseEnd {
        if let State::Body { stale: true, .. } = self.state {
            self.state = State::AwaitingHead;
            return ResponseEnd::Stale { must_close: self.must_close };
        }
        self.state = State::Idle;
        ResponseEnd::Call { owner: self.owner.take(), must_close: self.must_close }
    }

    /// Whether the response to the current call is complete now that the executor has closed the connection.
    pub(crate) fn is_complete_at_close(&mut self) -> bool {
        let is_complete = match &mut self.state {
            State::Body { reader, stale: false } => reader.is_complete_at_close(),
            _ => false,
        };
        self.must_close |= is_complete;
        is_complete
    }

    /// The point at which the current call fails if the connection breaks now.
    pub(crate) fn failure(&self) -> CallFailure {
        match self.state {
            State::Connecting => CallFailure::NeverSent,
            State::Body { stale: false, .. } => CallFailure::MidBody,
            _ => CallFailure::BeforeHead,
        }
    }
}

/// The time until which the connection may be used while it is idle.
fn usable_until(headers: &Headers, now: Instant) -> Instant {
    let Some(seconds) = keep_alive_seconds(headers) else { return now + DEFAULT_IDLE_TIMEOUT };
    let until = now + Duration::from_millis(seconds * 1000);
    if seconds * 1000 > KEEP_ALIVE_MARGIN.nanos() / 1_000_000 { until - KEEP_ALIVE_MARGIN } else { now }
}

/// The `timeout` parameter of the `Keep-Alive` header, in seconds.
fn keep_alive_seconds(headers: &Headers) -> Option<u64> {
    let value = headers.get("Keep-Alive")?;
    value.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout=")?.trim().parse().ok())
}
