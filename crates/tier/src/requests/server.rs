//! Connections of clients, executors, operators and the platform's checks: requests that were read complete are passed to the
//! dispatch of the address that they came to, and answers are written.
//!
//! The state of a connection is its [`ServerConnection`]. Others write to it only by its index and serial, so that a late
//! answer never reaches whoever has the connection next.

use crate::links::connections::{Connection, ConnectionTable, Role};
use crate::links::socket::{ReadOutcome, Socket};
use crate::requests::exchange::ClientRequest;
use crate::requests::plane::{RequestContext, Requests};
use crate::requests::server_connection::{
    AfterAnswer, ConnectionTimeouts, ListenerKind, Overdue, ServerConnection, Waiting, first_limits,
};
use crate::requests::upstream::MAX_UNWRITTEN;
use crate::runtime::io::World;
use grebeusher_time::Duration;
use grebeusher_transport::http::{self, Limits, Malformed};
use std::io;

/// What became of a peer that waited to connect.
pub(super) enum Admitted {
    /// Nobody waits.
    Nobody,
    /// There is no room for it, or it is gone.
    Refused,
    /// It has this connection.
    Connection(usize),
}

impl Requests {
    /// Takes in the next peer that waits to connect.
    pub(super) fn accept(&mut self, context: &mut RequestContext<'_>, entrance: ListenerKind) -> Admitted {
        let Some(listener) = self.listeners.get(entrance) else { return Admitted::Nobody };
        let Ok(arrival) = listener.accept() else { return Admitted::Nobody };
        if context.connections.is_full() && entrance == ListenerKind::Frontend {
            self.counters.connections_refused += 1;
            return Admitted::Refused;
        }
        let connection = Role::Server(ServerConnection::new(entrance, context.now));
        let open = |_: &dyn World, key| Socket::accepted(arrival, key);
        match context.connections.add(context.world, open, connection) {
            Ok(index) => Admitted::Connection(index),
            Err(_) => Admitted::Refused,
        }
    }

    /// Reads what a peer has sent.
    pub(super) fn read_server(
        &self,
        context: &mut RequestContext<'_>,
        index: usize,
    ) -> Option<io::Result<ReadOutcome>> {
        let (socket, _) = context.connections.server_mut(index)?;
        Some(socket.read())
    }

    /// The next request that has come complete on a connection, with the address that it came to. A malformed one is refused.
    pub(super) fn next_request(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
    ) -> Option<(ListenerKind, ClientRequest)> {
        let limits = self.limits_at(context, index);
        let now = context.now;
        let (socket, server) = context.connections.server_mut(index)?;
        match server.read_request(socket, &limits, now) {
            Ok(request) => Some((server.entrance(), request?)),
            Err(Malformed(status)) => {
                self.refuse_malformed(context, index, status);
                None
            }
        }
    }

    /// Answers a request complete.
    pub(crate) fn answer(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        serial: u64,
        bytes: Vec<u8>,
    ) {
        self.write_own_answer(context, index, serial, bytes);
        self.client_answered(context, index, serial, true);
    }

    /// Writes what waits; whether the connection is still there.
    pub(super) fn flush_server(&mut self, context: &mut RequestContext<'_>, index: usize) -> bool {
        let Some((socket, server)) = context.connections.server_mut(index) else { return false };
        if socket.flush().is_err() {
            self.server_gone(context, index);
            return false;
        }
        let waiting = socket.unsent_bytes();
        let resumes = if waiting < MAX_UNWRITTEN / 2 { server.take_held_back() } else { None };
        let ends = waiting == 0 && server.is_ending();
        if let Some(upstream) = resumes {
            context.connections.set_paused(upstream, false);
        }
        if ends {
            context.connections.close(index);
            return false;
        }
        true
    }

    /// The peer will send no more: what is under way is of no use to it.
    pub(super) fn server_ended(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let Some((socket, server)) = context.connections.server_mut(index) else { return };
        if socket.unsent_bytes() > 0 && server.is_ending() {
            let _ = socket.set_paused(true);
            return;
        }
        self.server_gone(context, index);
    }

    /// The peer is gone.
    pub(super) fn server_gone(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let exchange = context.connections.server_mut(index).and_then(|(_, server)| server.exchange());
        context.connections.close(index);
        if let Some(exchange) = exchange {
            self.abandon_exchange(context, exchange);
        }
    }

    /// The bounds on a request: the operator's for clients, the program's own for executors and the operator.
    fn limits_at(&mut self, context: &mut RequestContext<'_>, index: usize) -> Limits {
        match context.connections.server_mut(index) {
            Some((_, server)) if server.entrance() == ListenerKind::Frontend => {
                *context.configuration.http_limits()
            }
            _ => first_limits(),
        }
    }

    pub(super) fn refuse_malformed(&mut self, context: &mut RequestContext<'_>, index: usize, status: u16) {
        self.counters.malformed += 1;
        let Some((socket, server)) = context.connections.server_mut(index) else { return };
        socket.take_input();
        server.refuse_request();
        let serial = context.connections.serial(index);
        self.answer(context, index, serial, http::answer(status, &[], b""));
    }

    /// An exchange has the client's request.
    pub fn client_waits_for(&mut self, context: &mut RequestContext<'_>, index: usize, exchange: usize) {
        if let Some((_, server)) = context.connections.server_mut(index) {
            server.wait_for_exchange(exchange);
        }
    }

    /// Puts a complete answer of this node's own on its way; it says so where the connection ends behind it.
    pub fn write_own_answer(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        serial: u64,
        mut bytes: Vec<u8>,
    ) {
        if context.connections.serial(index) != serial {
            return;
        }
        if !self.closing_line(context, index).is_empty() {
            http::add_header(&mut bytes, http::CLOSE);
        }
        self.write_client(context, index, serial, &bytes);
    }

    /// The header line of an answer behind which its connection ends: the client asked for it, or this process is about to
    /// end, and the client had better use another connection next.
    pub fn closing_line(&mut self, context: &mut RequestContext<'_>, index: usize) -> &'static str {
        let stopping = context.stopping;
        let Some((_, server)) = context.connections.server_mut(index) else { return "" };
        if server.will_close(stopping) { "Connection: close\r\n" } else { "" }
    }

    /// Puts bytes of an answer on their way.
    pub fn write_client(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        serial: u64,
        bytes: &[u8],
    ) {
        if context.connections.serial(index) != serial {
            return;
        }
        let Some((socket, _)) = context.connections.server_mut(index) else { return };
        socket.append_output(bytes);
        // A peer that is gone is noticed by the loop's next event; here the exchange is in the middle of its step.
        let _ = socket.flush();
    }

    /// The same as one chunk of a chunked body; nothing for no bytes.
    pub fn write_client_chunk(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        serial: u64,
        bytes: &[u8],
    ) {
        if bytes.is_empty() || context.connections.serial(index) != serial {
            return;
        }
        let Some((socket, _)) = context.connections.server_mut(index) else { return };
        socket.append_output(format!("{:x}\r\n", bytes.len()).as_bytes());
        socket.append_output(bytes);
        socket.append_output(b"\r\n");
        let _ = socket.flush();
    }

    /// How much a client has not taken yet.
    pub fn unwritten(&mut self, context: &mut RequestContext<'_>, index: usize) -> usize {
        context.connections.server_mut(index).map_or(0, |(socket, _)| socket.unsent_bytes())
    }

    /// Remembers that a connection to an executor waits for this client.
    pub fn paused_by_client(&mut self, context: &mut RequestContext<'_>, index: usize, upstream: usize) {
        if let Some((_, server)) = context.connections.server_mut(index) {
            server.hold_back(upstream);
        }
    }

    /// The request is over. `complete`: its answer is complete, and the connection may carry another one.
    pub fn client_answered(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        serial: u64,
        complete: bool,
    ) {
        if context.connections.serial(index) != serial {
            return;
        }
        let stopping = context.stopping;
        let now = context.now;
        if !complete {
            return context.connections.close(index);
        }
        let Some((socket, server)) = context.connections.server_mut(index) else { return };
        match server.answered(now, stopping) {
            AfterAnswer::Ends if socket.unsent_bytes() == 0 => {
                socket.end_writing();
                context.connections.close(index);
            }
            // The client may have sent its next request already.
            AfterAnswer::Continues if !socket.input().is_empty() => {
                context.connections.note_unread_input(index);
            }
            AfterAnswer::Ends | AfterAnswer::Continues => {}
        }
    }

    /// Closes peers that are idle or slow for longer than the limits say. Idle clients are closed without an
    /// answer; one that has begun a request hears 408.
    pub fn sweep_servers(&mut self, context: &mut RequestContext<'_>) {
        let now = context.now;
        let limits = context.configuration.client_limits();
        let timeouts = ConnectionTimeouts {
            header: Duration::from_millis(limits.header_timeout_ms),
            idle: Duration::from_millis(limits.idle_timeout_ms),
        };
        let servers = context.connections.iter().filter_map(|(index, connection)| match &connection.role {
            Role::Server(server) => Some((index, server.overdue(now, &timeouts)?)),
            _ => None,
        });
        let overdue: Vec<(usize, Overdue)> = servers.collect();
        let (idle, slow): (Vec<_>, Vec<_>) =
            overdue.into_iter().partition(|(_, overdue)| *overdue == Overdue::Idle);
        idle.into_iter().for_each(|(index, _)| context.connections.close(index));
        slow.into_iter().for_each(|(index, _)| self.refuse_malformed(context, index, 408));
    }
}

/// Closes idle connections of clients; for a process that is about to end.
pub(crate) fn close_idle_servers(connections: &mut ConnectionTable) {
    let idle = connections.iter().filter(|(_, connection)| is_idle(connection) == Some(true));
    let idle: Vec<usize> = idle.map(|(index, _)| index).collect();
    idle.into_iter().for_each(|index| connections.close(index));
}

/// How many requests of any kind are being read or answered.
pub(crate) fn busy_servers(connections: &ConnectionTable) -> usize {
    connections.iter().filter(|(_, connection)| is_idle(connection) == Some(false)).count()
}

/// Whose requests are being answered.
pub(crate) fn waiting_clients(connections: &ConnectionTable) -> Vec<Waiting> {
    let waiting = connections.iter().filter_map(|(index, connection)| match &connection.role {
        Role::Server(server) => server.waiting(index),
        _ => None,
    });
    waiting.collect()
}

/// Whether no request is under way on a connection, and none was read that waits for its turn. `None` for connections that
/// are no server's.
fn is_idle(connection: &Connection) -> Option<bool> {
    let Role::Server(server) = &connection.role else { return None };
    Some(server.is_idle(&connection.socket))
}
