//! Connects [`Requests`] to the rest of the node: passes each request to the handler of its listener, and each event of a call to
//! the exchange or batch item that started the call.
//!
//! This module owns no state. It alone makes the [`RequestContext`] that lends [`Requests`] other parts of the node.

use crate::links::socket::ReadOutcome;
use crate::node::Node;
use crate::requests::exchange::ClientRequest;
use crate::requests::plane::{RequestContext, Requests};
use crate::requests::server::AcceptOutcome;
use crate::requests::server_connection::ListenerKind;
use crate::requests::upstream::{CallEvent, close_failed};
use crate::requests::upstream_connection::{CallOwner, Parsed, ResponseEnd};
use tracing::debug;

/// The most connections that a listener accepts in one iteration of the event loop.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;

impl Node {
    /// Calls `act` with the state of live requests and the parts of the node that it borrows.
    pub(crate) fn with_requests<T>(
        &mut self,
        act: impl FnOnce(&mut Requests, &mut RequestContext<'_>) -> T,
    ) -> T {
        let mut context = RequestContext {
            now: self.now,
            world: &*self.world,
            connections: &mut self.connections,
            alarms: &mut self.alarms,
            configuration: &self.configuration,
            stopping: self.shutdown.is_some(),
        };
        act(&mut self.requests, &mut context)
    }

    /// Writes a complete response and ends the request. Does nothing if the connection was closed since.
    pub(crate) fn answer(&mut self, connection: usize, serial: u64, bytes: Vec<u8>) {
        self.with_requests(|requests, context| requests.respond(context, connection, serial, bytes));
    }

    /// Accepts the pending connections of a listener.
    pub(crate) fn accept(&mut self, listener: ListenerKind) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            match self.with_requests(|requests, context| requests.accept(context, listener)) {
                AcceptOutcome::NonePending => return,
                AcceptOutcome::Refused => {}
                // The client's first request has often been received already.
                AcceptOutcome::Connection(index) => self.read_server(index),
            }
        }
    }

    /// Handles that an accepted HTTP connection is readable or writable.
    pub(crate) fn server_ready(&mut self, index: usize, readable: bool, writable: bool) {
        if writable && !self.with_requests(|requests, context| requests.flush_server(context, index)) {
            return;
        }
        if readable {
            self.read_server(index);
        }
    }

    fn read_server(&mut self, index: usize) {
        let read = self.with_requests(|requests, context| requests.read_server(context, index));
        match read {
            None => {}
            Some(Ok(ReadOutcome::Open { .. })) => self.dispatch_requests(index),
            Some(Ok(ReadOutcome::Ended { .. })) => {
                self.dispatch_requests(index);
                self.with_requests(|requests, context| requests.handle_peer_end(context, index));
            }
            Some(Err(_)) => self.with_requests(|requests, context| requests.drop_connection(context, index)),
        }
    }

    /// Dispatches the complete requests of a connection, until one is not answered at once.
    fn dispatch_requests(&mut self, index: usize) {
        while let Some((listener, request)) =
            self.with_requests(|requests, context| requests.next_request(context, index))
        {
            self.dispatch_request(listener, index, request);
        }
    }

    fn dispatch_request(&mut self, listener: ListenerKind, index: usize, request: ClientRequest) {
        match listener {
            ListenerKind::Frontend => self.client_request(index, request),
            ListenerKind::Readiness => self.readiness_request(index, &request),
            ListenerKind::Control => self.control_request(index, request),
        }
    }

    /// Dispatches requests that were received while their connection was busy with an earlier one.
    pub(crate) fn dispatch_unread_input(&mut self) {
        for index in self.connections.take_unread_input() {
            self.dispatch_requests(index);
        }
    }

    /// Fails the call on a connection that is still being opened when its timeout expires.
    pub(crate) fn connect_expired(&mut self, index: usize) {
        let is_connecting =
            self.connections.upstream_mut(index).is_some_and(|(socket, _)| socket.is_connecting());
        if is_connecting {
            self.fail_upstream(index);
        }
    }

    /// Handles that a connection to an executor is open, readable or writable.
    pub(crate) fn upstream_ready(&mut self, index: usize, readable: bool, writable: bool) {
        let Some((socket, upstream)) = self.connections.upstream_mut(index) else { return };
        if upstream.is_connecting() {
            match socket.connected() {
                Ok(true) => upstream.set_connected(),
                Ok(false) => return,
                Err(_) => return self.fail_upstream(index),
            }
        }
        let Some((socket, _)) = self.connections.upstream_mut(index) else { return };
        if (writable || socket.unsent_bytes() > 0) && socket.flush().is_err() {
            // The executor may have sent a response before it closed the connection.
            return self.read_upstream(index);
        }
        if readable {
            self.read_upstream(index);
        }
    }

    fn read_upstream(&mut self, index: usize) {
        let serial = self.serial(index);
        let Some((socket, _)) = self.connections.upstream_mut(index) else { return };
        let reading = socket.read();
        let bytes = socket.take_input();
        let consumed = self.process_upstream_bytes(index, serial, &bytes);
        if self.serial(index) != serial {
            return;
        }
        let Some((socket, _)) = self.connections.upstream_mut(index) else { return };
        socket.restore_input(bytes, consumed);
        match reading {
            Ok(ReadOutcome::Open { .. }) => {}
            Ok(ReadOutcome::Ended { .. }) => self.handle_upstream_end(index),
            Err(_) => self.fail_upstream(index),
        }
    }

    /// Parses received bytes and delivers the events. Returns the number of bytes consumed. The connection may be closed by then.
    fn process_upstream_bytes(&mut self, index: usize, serial: u64, bytes: &[u8]) -> usize {
        let now = self.now;
        let mut offset = 0;
        while offset < bytes.len() && self.serial(index) == serial {
            let limits = *self.configuration.http_limits();
            let Some((_, upstream)) = self.connections.upstream_mut(index) else { break };
            let parsed = upstream.parse(&bytes[offset..], &limits, now);
            let consumed = match parsed {
                Ok(Parsed::Incomplete) => break,
                Ok(Parsed::Unexpected) => {
                    debug!(executor = %upstream.instance(), connection = serial, "surplus bytes on an idle connection");
                    self.connections.close(index);
                    break;
                }
                Err(_) => {
                    self.fail_upstream(index);
                    break;
                }
                Ok(Parsed::Interim { consumed }) => consumed,
                Ok(Parsed::Head { consumed, owner, head, is_complete }) => {
                    if owner.is_none() {
                        let (executor, status) = (upstream.instance(), head.status);
                        debug!(%executor, connection = serial, status, "surplus response dropped");
                    }
                    if let Some(owner) = owner {
                        self.deliver(owner, CallEvent::Head { status: head.status, headers: &head.headers });
                    }
                    if is_complete && self.serial(index) == serial {
                        self.end_upstream_response(index);
                    }
                    consumed
                }
                Ok(Parsed::Body { consumed, owner, data, is_complete }) => {
                    for range in data {
                        let Some(owner) = owner.filter(|_| self.serial(index) == serial) else { break };
                        self.deliver(owner, CallEvent::Data(&bytes[offset..][range]));
                    }
                    if is_complete && self.serial(index) == serial {
                        self.end_upstream_response(index);
                    }
                    consumed
                }
            };
            if consumed == 0 {
                break;
            }
            offset += consumed;
        }
        offset
    }

    /// Ends a complete response: the connection is pooled or closed, and the owner of the call is notified.
    fn end_upstream_response(&mut self, index: usize) {
        let Some((socket, upstream)) = self.connections.upstream_mut(index) else { return };
        match upstream.end_response() {
            ResponseEnd::Stale { must_close: true } => self.fail_upstream(index),
            ResponseEnd::Stale { must_close: false } => {}
            ResponseEnd::Call { owner, must_close } => {
                let instance = upstream.instance().clone();
                // An executor may answer before it has read the complete request, and then wait for the rest of it.
                if must_close || socket.unsent_bytes() > 0 {
                    self.connections.close(index);
                } else {
                    self.connections.put_idle(instance, index);
                }
                if let Some(owner) = owner {
                    self.deliver(owner, CallEvent::End);
                }
            }
        }
    }

    /// Handles that the executor has closed its sending side.
    fn handle_upstream_end(&mut self, index: usize) {
        let Some((_, upstream)) = self.connections.upstream_mut(index) else { return };
        if upstream.is_complete_at_close() {
            self.end_upstream_response(index);
        } else {
            self.fail_upstream(index);
        }
    }

    /// Closes a connection that failed or can't be used any longer. The owner of its call, if it has one, is notified.
    fn fail_upstream(&mut self, index: usize) {
        if let Some((owner, failure)) = close_failed(&mut self.connections, index) {
            self.deliver(owner, CallEvent::Failed(failure));
        }
    }

    fn deliver(&mut self, owner: CallOwner, event: CallEvent<'_>) {
        match owner {
            CallOwner::Exchange(key) => {
                self.with_requests(|requests, context| requests.handle_call_event(context, key, event));
            }
            CallOwner::Item(run) => self.item_event(run, event),
        }
    }
}
