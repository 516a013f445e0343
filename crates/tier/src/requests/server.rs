//! The HTTP connections that clients, executors, operators and the platform's health checks open to this node. Complete requests
//! are returned to the caller, which dispatches them by listener; responses are written here.
//!
//! The state of a connection is its [`ServerConnection`]. Other modules address a connection by its index and serial number, so
//! that a late response is never written to another connection that was given the same index.

use crate::links::connections::{Connection, ConnectionTable, Role};
use crate::links::socket::{ReadOutcome, Socket};
use crate::requests::exchange::ClientRequest;
use crate::requests::plane::{RequestContext, Requests};
use crate::requests::server_connection::{
    AfterResponse, ConnectionTimeouts, ListenerKind, Overdue, PendingResponse, ServerConnection,
    default_limits,
};
use crate::requests::upstream::MAX_UNWRITTEN_BYTES;
use crate::runtime::io::World;
use grebeusher_time::Duration;
use grebeusher_transport::http::{self, Limits, Malformed};
use std::io;

/// The result of accepting a connection.
pub(super) enum AcceptOutcome {
    /// No connection is pending.
    NonePending,
    /// The connection was closed, as the node has its maximum of connections or the connection can't be watched.
    Refused,
    /// The connection was accepted and has this index.
    Connection(usize),
}

impl Requests {
    /// Accepts the next pending connection of a listener.
    pub(super) fn accept(&mut self, context: &mut RequestContext<'_>, kind: ListenerKind) -> AcceptOutcome {
        let Some(listener) = self.listeners.get(kind) else { return AcceptOutcome::NonePending };
        let Ok(accepted) = listener.accept() else { return AcceptOutcome::NonePending };
        if context.connections.is_full() && kind == ListenerKind::Frontend {
            self.counters.connections_refused += 1;
            return AcceptOutcome::Refused;
        }
        let role = Role::Server(ServerConnection::new(kind, context.now));
        let open = |_: &dyn World, key| Socket::accepted(accepted, key);
        match context.connections.add(context.world, open, role) {
            Ok(index) => AcceptOutcome::Connection(index),
            Err(_) => AcceptOutcome::Refused,
        }
    }

    /// Reads from a connection into its input buffer.
    pub(super) fn read_server(
        &self,
        context: &mut RequestContext<'_>,
        index: usize,
    ) -> Option<io::Result<ReadOutcome>> {
        let (socket, _) = context.connections.server_mut(index)?;
        Some(socket.read())
    }

    /// The next complete request of a connection, with the listener that accepted the connection. A malformed request is refused.
    pub(super) fn next_request(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
    ) -> Option<(ListenerKind, ClientRequest)> {
        let limits = self.http_limits(context, index);
        let now = context.now;
        let (socket, server) = context.connections.server_mut(index)?;
        match server.read_request(socket, &limits, now) {
            Ok(request) => Some((server.listener(), request?)),
            Err(Malformed(status)) => {
                self.refuse_malformed(context, index, status);
                None
            }
        }
    }

    /// Writes a complete response and ends the request.
    pub(crate) fn respond(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        serial: u64,
        bytes: Vec<u8>,
    ) {
        self.write_local_response(context, index, serial, bytes);
        self.finish_client_request(context, index, serial, true);
    }

    /// Writes buffered output. Returns whether the connection is still open.
    pub(super) fn flush_server(&mut self, context: &mut RequestContext<'_>, index: usize) -> bool {
        let Some((socket, server)) = context.connections.server_mut(index) else { return false };
        if socket.flush().is_err() {
            self.drop_connection(context, index);
            return false;
        }
        let unwritten_bytes = socket.unsent_bytes();
        let resumed_upstream =
            if unwritten_bytes < MAX_UNWRITTEN_BYTES / 2 { server.take_paused_upstream() } else { None };
        let is_finished = unwritten_bytes == 0 && server.is_closing();
        if let Some(upstream) = resumed_upstream {
            context.connections.set_paused(upstream, false);
        }
        if is_finished {
            context.connections.close(index);
            return false;
        }
        true
    }

    /// Handles that a peer has closed its sending side. This counts as a disconnect, so its request is dropped. If the last
    /// response is still being written, the connection stays open until that is done.
    pub(super) fn handle_peer_end(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let Some((socket, server)) = context.connections.server_mut(index) else { return };
        if socket.unsent_bytes() > 0 && server.is_closing() {
            let _ = socket.set_paused(true);
            return;
        }
        self.drop_connection(context, index);
    }

    /// Closes the connection of a peer that has disconnected, and drops its request.
    pub(super) fn drop_connection(&mut self, context: &mut RequestContext<'_>, index: usize) {
        let exchange = context.connections.server_mut(index).and_then(|(_, server)| server.exchange());
        context.connections.close(index);
        if let Some(exchange) = exchange {
            self.abandon_exchange(context, exchange);
        }
    }

    /// The limits on a request: those of the configuration for clients, the built-in ones for executors, operators and health
    /// checks.
    fn http_limits(&mut self, context: &mut RequestContext<'_>, index: usize) -> Limits {
        match context.connections.server_mut(index) {
            Some((_, server)) if server.listener() == ListenerKind::Frontend => {
                *context.configuration.http_limits()
            }
            _ => default_limits(),
        }
    }

    /// Answers a malformed or slow request with `status` and closes the connection after it.
    pub(super) fn refuse_malformed(&mut self, context: &mut RequestContext<'_>, index: usize, status: u16) {
        self.counters.malformed += 1;
        let Some((socket, server)) = context.connections.server_mut(index) else { return };
        socket.take_input();
        server.refuse_request();
        let serial = context.connections.serial(index);
        self.respond(context, index, serial, http::answer(status, &[], b""));
    }

    /// Makes a client's connection wait for an exchange.
    pub fn wait_for_exchange(&mut self, context: &mut RequestContext<'_>, index: usize, exchange: usize) {
        if let Some((_, server)) = context.connections.server_mut(index) {
            server.wait_for_exchange(exchange);
        }
    }

    /// Writes a complete response, with `Connection: close` if the connection is closed after it.
    pub fn write_local_response(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        serial: u64,
        mut bytes: Vec<u8>,
    ) {
        if context.connections.serial(index) != serial {
            return;
        }
        if !self.connection_close_line(context, index).is_empty() {
            http::add_header(&mut bytes, http::CLOSE);
        }
        self.write_client(context, index, serial, &bytes);
    }

    /// The `Connection: close` header line if the connection is closed after the current response, else an empty string. It is
    /// closed if the client asked for it, or if this process is stopping, so that the client uses another connection next.
    pub fn connection_close_line(&mut self, context: &mut RequestContext<'_>, index: usize) -> &'static str {
        let stopping = context.stopping;
        let Some((_, server)) = context.connections.server_mut(index) else { return "" };
        if server.will_close(stopping) { "Connection: close\r\n" } else { "" }
    }

    /// Writes bytes of a response.
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
        // The error of a broken connection is ignored, as the caller still works on the exchange. The next event of the
        // connection reports it.
        let _ = socket.flush();
    }

    /// Writes bytes of a response as one chunk of a chunked body. Writes nothing if `bytes` is empty, as an empty chunk would end
    /// the body.
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

    /// The number of bytes that wait to be written to a client.
    pub fn unwritten_bytes(&mut self, context: &mut RequestContext<'_>, index: usize) -> usize {
        context.connections.server_mut(index).map_or(0, |(socket, _)| socket.unsent_bytes())
    }

    /// Notes that the connection `upstream` to an executor is not read until this client has received more of its response.
    pub fn note_paused_upstream(&mut self, context: &mut RequestContext<'_>, index: usize, upstream: usize) {
        if let Some((_, server)) = context.connections.server_mut(index) {
            server.note_paused_upstream(upstream);
        }
    }

    /// Ends a request. If its response is complete, the connection may carry another request; otherwise it is closed.
    pub fn finish_client_request(
        &mut self,
        context: &mut RequestContext<'_>,
        index: usize,
        serial: u64,
        response_complete: bool,
    ) {
        if context.connections.serial(index) != serial {
            return;
        }
        let stopping = context.stopping;
        let now = context.now;
        if !response_complete {
            return context.connections.close(index);
        }
        let Some((socket, server)) = context.connections.server_mut(index) else { return };
        match server.finish_request(now, stopping) {
            AfterResponse::Close if socket.unsent_bytes() == 0 => {
                socket.end_writing();
                context.connections.close(index);
            }
            // The client may have sent its next request before this response was complete.
            AfterResponse::KeepOpen if !socket.input().is_empty() => {
                context.connections.note_unread_input(index);
            }
            AfterResponse::Close | AfterResponse::KeepOpen => {}
        }
    }

    /// Closes connections that were idle or slow for longer than the configured timeouts. Idle connections are closed without a
    /// response; a request that was received in part is answered with 408.
    pub fn close_overdue_connections(&mut self, context: &mut RequestContext<'_>) {
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

/// Closes the idle connections of peers, when the process is stopping.
pub(crate) fn close_idle_connections(connections: &mut ConnectionTable) {
    let idle = connections.iter().filter(|(_, connection)| is_idle(connection) == Some(true));
    let idle: Vec<usize> = idle.map(|(index, _)| index).collect();
    idle.into_iter().for_each(|index| connections.close(index));
}

/// The number of connections with a request that is being read or processed.
pub(crate) fn busy_connection_count(connections: &ConnectionTable) -> usize {
    connections.iter().filter(|(_, connection)| is_idle(connection) == Some(false)).count()
}

/// What the responses to the current requests depend on.
pub(crate) fn pending_responses(connections: &ConnectionTable) -> Vec<PendingResponse> {
    let pending = connections.iter().filter_map(|(index, connection)| match &connection.role {
        Role::Server(server) => server.pending_response(index),
        _ => None,
    });
    pending.collect()
}

/// Whether no request is in progress on a connection and no further one has been received. `None` for connections that this
/// node has opened and for node links.
fn is_idle(connection: &Connection) -> Option<bool> {
    let Role::Server(server) = &connection.role else { return None };
    Some(server.is_idle(&connection.socket))
}
