//! One connection of a client, an executor, an operator or the platform's checks: a state machine that reads requests complete,
//! one at a time. It answers nothing itself.

use crate::links::socket::Socket;
use crate::requests::exchange::ClientRequest;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::body::{self, BodyReader, Framing};
use grebeusher_transport::http::{self, Limits, Malformed, RequestHead};

/// The address that a connection came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// Clients.
    Frontend,
    /// The platform's checks.
    Readiness,
    /// Executors and operators.
    Control,
}

enum State {
    /// No request is under way.
    Idle,
    /// A head has begun to come.
    Head,
    /// A body is coming.
    Body { head: Box<RequestHead>, reader: BodyReader, body: Vec<u8> },
    /// The request is being answered; the exchange, if it is one.
    Busy { exchange: Option<usize> },
    /// The answer goes out, then the connection ends.
    Ending,
}

/// What a client, executor or operator waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// The end of an exchange.
    Exchange(usize),
    /// The reply to a call, on the connection at an index.
    Call(usize),
}

/// What becomes of a connection whose request was answered complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterAnswer {
    /// It may carry another request.
    Continues,
    /// It ends once the answer is written.
    Ends,
}

/// The time-outs of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionTimeouts {
    /// How long a head may take.
    pub header: Duration,
    /// How long the peer may send nothing between requests, or within a body.
    pub idle: Duration,
}

/// What a time-out means for its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// No request is under way: it is closed without an answer.
    Idle,
    /// A request has begun to come: the peer hears that it was too slow.
    SlowRequest,
}

/// The server's part of a connection.
pub struct ServerConnection {
    entrance: ListenerKind,
    state: State,
    /// When the state began: idle or slow peers are closed.
    since: Instant,
    closes: bool,
    /// A connection to an executor that waits until this client has taken what it was sent.
    holds_back: Option<usize>,
}

impl ServerConnection {
    /// A connection that was just accepted.
    pub(crate) fn new(entrance: ListenerKind, now: Instant) -> ServerConnection {
        ServerConnection { entrance, state: State::Idle, since: now, closes: false, holds_back: None }
    }

    /// The address that it came to.
    pub(crate) fn entrance(&self) -> ListenerKind {
        self.entrance
    }

    /// The next request, if it has come complete. From then on the connection is busy until the request is answered; what
    /// comes meanwhile stays in the socket.
    ///
    /// # Errors
    /// The status by which a malformed request is answered.
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
            State::Ending => {
                socket.take_input();
                return Ok(None);
            }
        }
        self.read_body(socket, limits)
    }

    /// Reads a head; whether it is complete.
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
        self.closes = head.headers.closes;
        let reader = BodyReader::new(framing);
        self.state = State::Body { head: Box::new(head), reader, body: Vec::new() };
        Ok(true)
    }

    /// Reads on in a body; the request once it is complete.
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
            let too_long = body.len() > limits.most_body;
            socket.restore_input(bytes, progress.consumed);
            if too_long {
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

    /// The request is malformed or too slow: it is answered, and the connection ends.
    pub(crate) fn refuse_request(&mut self) {
        self.closes = true;
        self.state = State::Busy { exchange: None };
    }

    /// An exchange has the request.
    pub(crate) fn wait_for_exchange(&mut self, exchange: usize) {
        self.state = State::Busy { exchange: Some(exchange) };
    }

    /// The exchange that has the request, if one has.
    pub(crate) fn exchange(&self) -> Option<usize> {
        match self.state {
            State::Busy { exchange } => exchange,
            _ => None,
        }
    }

    /// Whose answer the peer waits for, on the connection at `index`.
    pub(crate) fn waiting(&self, index: usize) -> Option<Waiting> {
        let State::Busy { exchange } = self.state else { return None };
        Some(exchange.map_or(Waiting::Call(index), Waiting::Exchange))
    }

    /// Whether the connection ends behind its present answer: its peer asked for it, or the process is stopping.
    pub(crate) fn will_close(&mut self, stopping: bool) -> bool {
        self.closes |= stopping;
        self.closes
    }

    /// The answer is complete.
    pub(crate) fn answered(&mut self, now: Instant, stopping: bool) -> AfterAnswer {
        self.since = now;
        self.holds_back = None;
        if self.closes || stopping {
            self.state = State::Ending;
            return AfterAnswer::Ends;
        }
        self.state = State::Idle;
        AfterAnswer::Continues
    }

    /// Whether it ends once all is written.
    pub(crate) fn is_ending(&self) -> bool {
        matches!(self.state, State::Ending)
    }

    /// Whether no request is under way, and none was read that waits for its turn.
    pub(crate) fn is_idle(&self, socket: &Socket) -> bool {
        matches!(self.state, State::Idle) && socket.input().is_empty()
    }

    /// A connection to an executor is not read until this client has taken what it was sent.
    pub(crate) fn hold_back(&mut self, upstream: usize) {
        self.holds_back = Some(upstream);
    }

    /// The connection to an executor that may be read again.
    pub(crate) fn take_held_back(&mut self) -> Option<usize> {
        self.holds_back.take()
    }

    /// Whether the peer has been idle or slow for too long.
    pub(crate) fn overdue(&self, now: Instant, timeouts: &ConnectionTimeouts) -> Option<Overdue> {
        let elapsed = now.since(self.since);
        match self.state {
            State::Idle | State::Ending if elapsed > timeouts.idle => Some(Overdue::Idle),
            State::Head if elapsed > timeouts.header => Some(Overdue::SlowRequest),
            State::Body { .. } if elapsed > timeouts.idle => Some(Overdue::SlowRequest),
            _ => None,
        }
    }
}

/// The limits on heads and bodies before a configuration says others.
pub fn first_limits() -> Limits {
    Limits { most_head: 64 * 1024, most_headers: 96, most_body: 8 * 1024 * 1024 }
}
