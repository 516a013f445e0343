//! The server side of one HTTP connection, which a client, an executor, an operator or the platform's health check has opened:
//! a state machine that reads one complete request at a time. It writes only the interim response `100 Continue` itself.

use crate::links::socket::Socket;
use crate::requests::exchange::ClientRequest;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::body::{self, BodyReader, Framing};
use grebeusher_transport::http::{self, Limits, Malformed, RequestHead};

/// The listener that accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// The listener for clients.
    Frontend,
    /// The listener for the platform's health checks.
    Readiness,
    /// The listener for executors and operators.
    Control,
}

enum State {
    /// No request is in progress.
    Idle,
    /// A part of a request head has been received.
    Head,
    /// The head has been received, and the body is being received.
    Body { head: Box<RequestHead>, reader: BodyReader, body: Vec<u8> },
    /// The request is being processed, by an exchange if `exchange` has its index.
    Busy { exchange: Option<usize> },
    /// The last response is being written; the connection is closed after it.
    Closing,
}

/// What the response to a request depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingResponse {
    /// The exchange with this index.
    Exchange(usize),
    /// A call to another node. The value is the index of the connection that waits for the response.
    Call(usize),
}

/// Whether a connection stays open after a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterResponse {
    /// The connection may carry another request.
    KeepOpen,
    /// The connection is closed once the response is written.
    Close,
}

/// The timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionTimeouts {
    /// The maximum time from the first byte of a request head to its last.
    pub header: Duration,
    /// The maximum time between two requests, and from the first byte of a request to the last byte of its body.
    pub idle: Duration,
}

/// The timeout that a connection has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// No request is in progress: the connection is closed without a response.
    Idle,
    /// A request was received in part: it is answered with 408.
    SlowRequest,
}

/// The protocol state of a connection that this node has accepted.
pub struct ServerConnection {
    listener: ListenerKind,
    state: State,
    /// When the connection was accepted, its last response was complete or the first byte of the current request was received,
    /// whichever was last. Timeouts count from then.
    since: Instant,
    /// Whether the connection is closed after the current response.
    must_close: bool,
    /// The index of a connection to an executor that is not read until this peer has received more of its response.
    paused_upstream: Option<usize>,
}

impl ServerConnection {
    /// Creates the state of a connection that was just accepted.
    pub(crate) fn new(listener: ListenerKind, now: Instant) -> ServerConnection {
        ServerConnection {
            listener,
            state: State::Idle,
            since: now,
            must_close: false,
            paused_upstream: None,
        }
    }

    /// The listener that accepted the connection.
    pub(crate) fn listener(&self) -> ListenerKind {
        self.listener
    }

    /// Reads the next request. Returns `None` until it is complete. After that the connection is busy until the response is
    /// complete; bytes received meanwhile stay in the socket's input.
    ///
    /// # Errors
    /// The request is malformed; the error has the status of the response.
    pub(crate) fn read_request(
        &mut self,
        socket: &mut Socket,
        limits: &Limits,
        now: Instant,
    ) -> Result<Option<ClientRequest>, Malformed> {
        if socket.input().is_empty() {
            return Ok(None);
        }
        match self.state {
            State::Idle | State::Head => {
                if !self.read_head(socket, limits, now)? {
                    return Ok(None);
                }
            }
            State::Body { .. } => {}
            State::Busy { .. } => return Ok(None),
            State::Closing => {
                socket.take_input();
                return Ok(None);
            }
        }
        self.read_body(socket, limits)
    }

    /// Reads the request head. Returns whether it is complete.
    fn read_head(&mut self, socket: &mut Socket, limits: &Limits, now: Instant) -> Result<bool, Malformed> {
        if matches!(self.state, State::Idle) {
            self.state = State::Head;
            self.since = now;
        }
        let Some((head, length)) = http::request_head(socket.input(), limits)? else { return Ok(false) };
        let framing = body::request_framing(&head.headers)?;
        if let Framing::Length(length) = framing
            && length > limits.most_body as u64
        {
            return Err(Malformed(413));
        }
        socket.consume(length);
        if head.headers.get("Expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue")) {
            socket.append_output(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        self.must_close = head.headers.closes;
        let reader = BodyReader::new(framing);
        self.state = State::Body { head: Box::new(head), reader, body: Vec::new() };
        Ok(true)
    }

    /// Reads the next part of the body. Returns the request once it is complete.
    fn read_body(
        &mut self,
        socket: &mut Socket,
        limits: &Limits,
    ) -> Result<Option<ClientRequest>, Malformed> {
        let State::Body { reader, body, .. } = &mut self.state else { return Ok(None) };
        if !reader.is_done() {
            let bytes = socket.take_input();
            let progress = reader.read(&bytes)?;
            for range in &progress.data {
                body.extend_from_slice(&bytes[range.clone()]);
            }
            let is_too_long = body.len() > limits.most_body;
            socket.restore_input(bytes, progress.consumed);
            if is_too_long {
                return Err(Malformed(413));
            }
        }
        if !reader.is_done() {
            return Ok(None);
        }
        match std::mem::replace(&mut self.state, State::Busy { exchange: None }) {
            State::Body { head, body, .. } => Ok(Some(ClientRequest { head: *head, body })),
            _ => Ok(None),
        }
    }

    /// Makes the connection wait for the response to a malformed or slow request, after which it is closed.
    pub(crate) fn refuse_request(&mut self) {
        self.must_close = true;
        self.state = State::Busy { exchange: None };
    }

    /// Makes the connection wait for an exchange.
    pub(crate) fn wait_for_exchange(&mut self, exchange: usize) {
        self.state = State::Busy { exchange: Some(exchange) };
    }

    /// The index of the exchange that processes the current request, if one does.
    pub(crate) fn exchange(&self) -> Option<usize> {
        match self.state {
            State::Busy { exchange } => exchange,
            _ => None,
        }
    }

    /// What the response to the current request depends on. `index` is the index of this connection.
    pub(crate) fn pending_response(&self, index: usize) -> Option<PendingResponse> {
        let State::Busy { exchange } = self.state else { return None };
        Some(exchange.map_or(PendingResponse::Call(index), PendingResponse::Exchange))
    }

    /// Whether the connection is closed after the current response: its peer asked for it, or the process is stopping.
    pub(crate) fn will_close(&mut self, stopping: bool) -> bool {
        self.must_close |= stopping;
        self.must_close
    }

    /// Ends the current request, whose response is complete. Returns whether the connection stays open.
    pub(crate) fn finish_request(&mut self, now: Instant, stopping: bool) -> AfterResponse {
        self.since = now;
        self.paused_upstream = None;
        if self.must_close || stopping {
            self.state = State::Closing;
            return AfterResponse::Close;
        }
        self.state = State::Idle;
        AfterResponse::KeepOpen
    }

    /// Whether the connection is closed once its output is written.
    pub(crate) fn is_closing(&self) -> bool {
        matches!(self.state, State::Closing)
    }

    /// Whether no request is in progress and no further one has been received.
    pub(crate) fn is_idle(&self, socket: &Socket) -> bool {
        matches!(self.state, State::Idle) && socket.input().is_empty()
    }

    /// Notes that the connection `upstream` to an executor is not read until this peer has received more of its response.
    pub(crate) fn note_paused_upstream(&mut self, upstream: usize) {
        self.paused_upstream = Some(upstream);
    }

    /// Takes the index of the connection to an executor that was paused for this peer.
    pub(crate) fn take_paused_upstream(&mut self) -> Option<usize> {
        self.paused_upstream.take()
    }

    /// The timeout that the peer has exceeded, if any.
    pub(crate) fn overdue(&self, now: Instant, timeouts: &ConnectionTimeouts) -> Option<Overdue> {
        let elapsed = now.since(self.since);
        match self.state {
            State::Idle | State::Closing if elapsed > timeouts.idle => Some(Overdue::Idle),
            State::Head if elapsed > timeouts.header => Some(Overdue::SlowRequest),
            State::Body { .. } if elapsed > timeouts.idle => Some(Overdue::SlowRequest),
            _ => None,
        }
    }
}

/// The limits on request heads and bodies, as long as no configuration sets others.
pub fn default_limits() -> Limits {
    Limits { most_head: 64 * 1024, most_headers: 96, most_body: 8 * 1024 * 1024 }
}
