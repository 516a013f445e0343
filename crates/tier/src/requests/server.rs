//! Connections of clients, executors, operators and the platform's checks: requests are read complete, one at a time, and
//! passed to the dispatch of the address that they came to.
//!
//! A `ServerConnection` owns the input and the unwritten output of one connection. Others write to it only by its index and
//! serial, so that a late answer never reaches whoever has the connection next.

use crate::links::connections::{Connection, Role};
use crate::links::socket::{Reading, Socket};
use crate::node::Node;
use crate::requests::exchange::ClientRequest;
use crate::requests::upstream::MAX_UNWRITTEN;
use crate::runtime::io::Accepted;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::body::{self, BodyReader, Framing};
use grebeusher_transport::http::{self, Limits, Malformed, RequestHead};

/// Most connections that one turn of the loop takes in.
const ACCEPTED_AT_ONCE: usize = 64;
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
    /// The reply to a call, on the connection at a place.
    Call(usize),
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

impl Node {
    /// Takes in whoever waits to connect.
    pub fn accept(&mut self, entrance: ListenerKind) {
        for _ in 0..ACCEPTED_AT_ONCE {
            let Some(listener) = self.client_listeners.get(entrance) else { return };
            match listener.accept() {
                Ok(arrival) => self.admit(entrance, arrival),
                Err(_) => return,
            }
        }
    }

    fn admit(&mut self, entrance: ListenerKind, arrival: Box<dyn Accepted>) {
        if self.connections.is_full() && entrance == ListenerKind::Frontend {
            self.counters.connections_refused += 1;
            return;
        }
        let connection = ServerConnection {
            entrance,
            state: State::Idle,
            since: self.now,
            closes: false,
            holds_back: None,
        };
        let added = self.add_connection(|_, key| Socket::accepted(arrival, key), Role::Server(connection));
        if let Ok(index) = added {
            // What the client sent with its first packet is often there already.
            self.server_readable(index);
        }
    }

    /// Something can be done on a server connection.
    pub fn server_ready(&mut self, index: usize, readable: bool, writable: bool) {
        if writable && !self.flush_server(index) {
            return;
        }
        if readable {
            self.server_readable(index);
        }
    }

    /// Writes what waits; whether the connection is still there.
    fn flush_server(&mut self, index: usize) -> bool {
        let Some((socket, server)) = self.server_mut(index) else { return false };
        if socket.flush().is_err() {
            self.server_gone(index);
            return false;
        }
        let waiting = socket.waiting();
        let resumes = if waiting < MAX_UNWRITTEN / 2 { server.holds_back.take() } else { None };
        let ends = waiting == 0 && matches!(server.state, State::Ending);
        if let Some(upstream) = resumes {
            self.pause_connection(upstream, false);
        }
        if ends {
            self.close(index);
            return false;
        }
        true
    }

    fn server_readable(&mut self, index: usize) {
        let Some((socket, _)) = self.server_mut(index) else { return };
        match socket.read() {
            Ok(Reading::Open { .. }) => self.server_input(index),
            Ok(Reading::Ended { .. }) => {
                self.server_input(index);
                self.server_ended(index);
            }
            Err(_) => self.server_gone(index),
        }
    }

    /// The peer will send no more: what is under way is of no use to it.
    fn server_ended(&mut self, index: usize) {
        let Some((socket, server)) = self.server_mut(index) else { return };
        if socket.waiting() > 0 && matches!(server.state, State::Ending) {
            let _ = socket.pause(true);
            return;
        }
        self.server_gone(index);
    }

    /// The peer is gone.
    fn server_gone(&mut self, index: usize) {
        let exchange = match self.server_mut(index) {
            Some((_, ServerConnection { state: State::Busy { exchange }, .. })) => *exchange,
            _ => None,
        };
        self.close(index);
        if let Some(exchange) = exchange {
            self.abandon_exchange(exchange);
        }
    }

    /// Understands what has come, as far as it goes.
    fn server_input(&mut self, index: usize) {
        loop {
            let Some((socket, server)) = self.server_mut(index) else { return };
            if socket.input().is_empty() {
                return;
            }
            let more = match server.state {
                State::Idle | State::Head => self.server_head(index),
                State::Body { .. } => self.server_body(index),
                State::Busy { .. } => return,
                State::Ending => {
                    socket.take_input();
                    return;
                }
            };
            match more {
                Ok(true) => {}
                Ok(false) => return,
                Err(Malformed(status)) => return self.refuse_malformed(index, status),
            }
        }
    }

    /// Reads a head. Whether there may be more to understand.
    fn server_head(&mut self, index: usize) -> Result<bool, Malformed> {
        let now = self.now;
        let limits = self.limits_at(index);
        let Some((socket, server)) = self.server_mut(index) else { return Ok(false) };
        if matches!(server.state, State::Idle) {
            server.state = State::Head;
            server.since = now;
        }
        let Some((head, length)) = http::request_head(socket.input(), &limits)? else { return Ok(false) };
        let framing = body::request_framing(&head.headers)?;
        if let Framing::Length(length) = framing
            && length > limits.most_body as u64
        {
            return Err(Malformed(413));
        }
        socket.consume(length);
        if head.headers.get("Expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue")) {
            socket.put(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        server.closes = head.headers.closes;
        let reader = BodyReader::new(framing);
        server.state = State::Body { head: Box::new(head), reader, body: Vec::new() };
        self.server_body(index)
    }

    fn server_body(&mut self, index: usize) -> Result<bool, Malformed> {
        let limits = self.limits_at(index);
        let Some((socket, server)) = self.server_mut(index) else { return Ok(false) };
        let State::Body { reader, body, .. } = &mut server.state else { return Ok(false) };
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
            return Ok(false);
        }
        let state = std::mem::replace(&mut server.state, State::Busy { exchange: None });
        if let State::Body { head, body, .. } = state {
            let entrance = server.entrance;
            let request = ClientRequest { head: *head, body };
            match entrance {
                ListenerKind::Frontend => self.client_request(index, request),
                ListenerKind::Readiness => self.readiness_request(index, &request),
                ListenerKind::Control => self.control_request(index, request),
            }
        }
        Ok(true)
    }

    /// The bounds on a request: the operator's for clients, the program's own for executors and the operator.
    fn limits_at(&mut self, index: usize) -> Limits {
        match self.server_mut(index) {
            Some((_, server)) if server.entrance == ListenerKind::Frontend => {
                *self.configuration.http_limits()
            }
            _ => first_limits(),
        }
    }

    fn refuse_malformed(&mut self, index: usize, status: u16) {
        self.counters.malformed += 1;
        let Some((socket, server)) = self.server_mut(index) else { return };
        socket.take_input();
        server.closes = true;
        server.state = State::Busy { exchange: None };
        let serial = self.serial(index);
        self.answer(index, serial, http::answer(status, &[], b""));
    }

    /// An exchange has the client's request.
    pub fn client_waits_for(&mut self, index: usize, exchange: usize) {
        if let Some((_, server)) = self.server_mut(index) {
            server.state = State::Busy { exchange: Some(exchange) };
        }
    }

    /// Answers a request complete.
    pub fn answer(&mut self, index: usize, serial: u64, bytes: Vec<u8>) {
        self.write_own_answer(index, serial, bytes);
        self.client_answered(index, serial, true);
    }

    /// Puts a complete answer of this node's own on its way; it says so where the connection ends behind it.
    pub fn write_own_answer(&mut self, index: usize, serial: u64, mut bytes: Vec<u8>) {
        if self.serial(index) != serial {
            return;
        }
        if !self.closing_line(index).is_empty() {
            http::add_header(&mut bytes, http::CLOSE);
        }
        self.write_client(index, serial, &bytes);
    }

    /// The header line of an answer behind which its connection ends: the client asked for it, or this process is about to
    /// end, and the client had better use another connection next.
    pub fn closing_line(&mut self, index: usize) -> &'static str {
        let stopping = self.stopping();
        let Some((_, server)) = self.server_mut(index) else { return "" };
        server.closes |= stopping;
        if server.closes { "Connection: close\r\n" } else { "" }
    }

    /// Puts bytes of an answer on their way.
    pub fn write_client(&mut self, index: usize, serial: u64, bytes: &[u8]) {
        if self.serial(index) != serial {
            return;
        }
        let Some((socket, _)) = self.server_mut(index) else { return };
        socket.put(bytes);
        // A peer that is gone is noticed by the loop's next event; here the exchange is in the middle of its step.
        let _ = socket.flush();
    }

    /// The same as one chunk of a chunked body; nothing for no bytes.
    pub fn write_client_chunk(&mut self, index: usize, serial: u64, bytes: &[u8]) {
        if bytes.is_empty() || self.serial(index) != serial {
            return;
        }
        let Some((socket, _)) = self.server_mut(index) else { return };
        socket.put(format!("{:x}\r\n", bytes.len()).as_bytes());
        socket.put(bytes);
        socket.put(b"\r\n");
        let _ = socket.flush();
    }

    /// How much a client has not taken yet.
    pub fn unwritten(&mut self, index: usize) -> usize {
        self.server_mut(index).map_or(0, |(socket, _)| socket.waiting())
    }

    /// Remembers that a connection to an executor waits for this client.
    pub fn paused_by_client(&mut self, index: usize, upstream: usize) {
        if let Some((_, server)) = self.server_mut(index) {
            server.holds_back = Some(upstream);
        }
    }

    /// The request is over. `complete`: its answer is complete, and the connection may carry another one.
    pub fn client_answered(&mut self, index: usize, serial: u64, complete: bool) {
        if self.serial(index) != serial {
            return;
        }
        let stopping = self.stopping();
        let now = self.now;
        let Some((socket, server)) = self.server_mut(index) else { return };
        server.since = now;
        server.holds_back = None;
        if !complete {
            return self.close(index);
        }
        if server.closes || stopping {
            server.state = State::Ending;
            if socket.waiting() == 0 {
                socket.end_writing();
                self.close(index);
            }
            return;
        }
        server.state = State::Idle;
        // The client may have sent its next request already.
        if !socket.input().is_empty() {
            self.connections.note_unread_input(index);
        }
    }

    /// Takes up requests that came while another one was answered.
    pub fn serve_waiting_input(&mut self) {
        for index in self.connections.take_unread_input() {
            self.server_input(index);
        }
    }

    /// Closes peers that are idle or slow for longer than the limits say. Clients that rest are closed without an
    /// answer; one that has begun a request hears 408.
    pub fn sweep_servers(&mut self) {
        let now = self.now;
        let header_timeout = Duration::from_millis(self.configuration.client_limits().header_timeout_ms);
        let idle_timeout = Duration::from_millis(self.configuration.client_limits().idle_timeout_ms);
        let mut idle = Vec::new();
        let mut slow = Vec::new();
        for (index, connection) in self.connections.iter() {
            let Role::Server(server) = &connection.role else { continue };
            let rests = now.since(server.since);
            match server.state {
                State::Idle if rests > idle_timeout => idle.push(index),
                State::Head if rests > header_timeout => slow.push(index),
                State::Body { .. } if rests > idle_timeout => slow.push(index),
                State::Ending if rests > idle_timeout => idle.push(index),
                _ => {}
            }
        }
        idle.into_iter().for_each(|index| self.close(index));
        slow.into_iter().for_each(|index| self.refuse_malformed(index, 408));
    }

    /// Closes connections of clients that rest; for a process that is about to end.
    pub fn close_idle_servers(&mut self) {
        let idle = self.connections.iter().filter(|(_, connection)| server_rests(connection) == Some(true));
        let idle: Vec<usize> = idle.map(|(index, _)| index).collect();
        idle.into_iter().for_each(|index| self.close(index));
    }

    /// How many requests of any kind are being read or answered.
    pub fn busy_servers(&self) -> usize {
        let all = self.connections.iter();
        all.filter(|(_, connection)| server_rests(connection) == Some(false)).count()
    }

    /// Whose requests are being answered.
    pub fn waiting_clients(&self) -> Vec<Waiting> {
        let waiting = self.connections.iter().filter_map(|(index, connection)| {
            let Role::Server(ServerConnection { state: State::Busy { exchange }, .. }) = &connection.role
            else {
                return None;
            };
            Some(exchange.map_or(Waiting::Call(index), Waiting::Exchange))
        });
        waiting.collect()
    }
}

/// Whether a server connection rests: no request is under way, and none was read that waits for its turn. `None` for
/// other connections.
fn server_rests(connection: &Connection) -> Option<bool> {
    let Role::Server(server) = &connection.role else { return None };
    Some(matches!(server.state, State::Idle) && connection.socket.input().is_empty())
}

/// The limits on heads and bodies before a configuration says others.
pub fn first_limits() -> Limits {
    Limits { most_head: 64 * 1024, most_headers: 96, most_body: 8 * 1024 * 1024 }
}
