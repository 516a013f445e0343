//! Where the requests plane meets the others in the node: requests that were read go to the interface of their address, and what
//! executors send goes to the exchange or the item that it is for.
//!
//! This module owns nothing. It is the only one that lends [`Requests`] what it needs of the node.

use crate::links::socket::ReadOutcome;
use crate::node::Node;
use crate::requests::exchange::ClientRequest;
use crate::requests::plane::{RequestContext, Requests};
use crate::requests::server::Admitted;
use crate::requests::server_connection::ListenerKind;
use crate::requests::upstream::{UpstreamEvent, close_failed};
use crate::requests::upstream_connection::{AnswerEnd, Parsed, UpstreamUser};

/// Most connections that one turn of the loop takes in.
const ACCEPTED_AT_ONCE: usize = 64;

impl Node {
    /// Lets the requests plane do something with what it uses of the node.
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

    /// Answers a request complete; one whose connection has ended since is answered by nobody.
    pub(crate) fn answer(&mut self, connection: usize, serial: u64, bytes: Vec<u8>) {
        self.with_requests(|requests, context| requests.answer(context, connection, serial, bytes));
    }

    /// Takes in whoever waits to connect.
    pub(crate) fn accept(&mut self, entrance: ListenerKind) {
        for _ in 0..ACCEPTED_AT_ONCE {
            match self.with_requests(|requests, context| requests.accept(context, entrance)) {
                Admitted::Nobody => return,
                Admitted::Refused => {}
                // What the client sent with its first packet is often there already.
                Admitted::Connection(index) => self.server_readable(index),
            }
        }
    }

    /// Something can be done on a server connection.
    pub(crate) fn server_ready(&mut self, index: usize, readable: bool, writable: bool) {
        if writable && !self.with_requests(|requests, context| requests.flush_server(context, index)) {
            return;
        }
        if readable {
            self.server_readable(index);
        }
    }

    fn server_readable(&mut self, index: usize) {
        let read = self.with_requests(|requests, context| requests.read_server(context, index));
        match read {
            None => {}
            Some(Ok(ReadOutcome::Open { .. })) => self.server_input(index),
            Some(Ok(ReadOutcome::Ended { .. })) => {
                self.server_input(index);
                self.with_requests(|requests, context| requests.server_ended(context, index));
            }
            Some(Err(_)) => self.with_requests(|requests, context| requests.server_gone(context, index)),
        }
    }

    /// Serves the requests that have come complete, as far as each is answered at once.
    fn server_input(&mut self, index: usize) {
        while let Some((entrance, request)) =
            self.with_requests(|requests, context| requests.next_request(context, index))
        {
            self.serve(entrance, index, request);
        }
    }

    fn serve(&mut self, entrance: ListenerKind, index: usize, request: ClientRequest) {
        match entrance {
            ListenerKind::Frontend => self.client_request(index, request),
            ListenerKind::Readiness => self.readiness_request(index, &request),
            ListenerKind::Control => self.control_request(index, request),
        }
    }

    /// Takes up requests that came while another one was answered.
    pub(crate) fn serve_waiting_input(&mut self) {
        for index in self.connections.take_unread_input() {
            self.server_input(index);
        }
    }

    /// A dialled connection did not come up in time.
    pub(crate) fn connect_expired(&mut self, index: usize) {
        let connecting =
            self.connections.upstream_mut(index).is_some_and(|(socket, _)| socket.is_connecting());
        if connecting {
            self.fail_upstream(index);
        }
    }

    /// Something can be done on a connection to an executor.
    pub(crate) fn upstream_ready(&mut self, index: usize, readable: bool, writable: bool) {
        let Some((socket, upstream)) = self.connections.upstream_mut(index) else { return };
        if upstream.is_connecting() {
            match socket.connected() {
                Ok(true) => upstream.connected(),
                Ok(false) => return,
                Err(_) => return self.fail_upstream(index),
            }
        }
        let Some((socket, _)) = self.connections.upstream_mut(index) else { return };
        if (writable || socket.unsent_bytes() > 0) && socket.flush().is_err() {
            // What the executor answered before it closed may still be read.
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
        let consumed = self.upstream_bytes(index, serial, &bytes);
        if self.serial(index) != serial {
            return;
        }
        let Some((socket, _)) = self.connections.upstream_mut(index) else { return };
        socket.restore_input(bytes, consumed);
        match reading {
            Ok(ReadOutcome::Open { .. }) => {}
            Ok(ReadOutcome::Ended { .. }) => self.upstream_ended(index),
            Err(_) => self.fail_upstream(index),
        }
    }

    /// Parses what came; how many bytes are done with. The connection may be closed on the way.
    fn upstream_bytes(&mut self, index: usize, serial: u64, bytes: &[u8]) -> usize {
        let now = self.now;
        let mut at = 0;
        while at < bytes.len() && self.serial(index) == serial {
            let limits = *self.configuration.http_limits();
            let Some((_, upstream)) = self.connections.upstream_mut(index) else { break };
            let parsed = upstream.parse(&bytes[at..], &limits, now);
            let consumed = match parsed {
                Ok(Parsed::Incomplete) => break,
                Ok(Parsed::Unexpected) => {
                    self.connections.close(index);
                    break;
                }
                Err(_) => {
                    self.fail_upstream(index);
                    break;
                }
                Ok(Parsed::Interim { consumed }) => consumed,
                Ok(Parsed::Head { consumed, user, head, is_complete }) => {
                    if let Some(user) = user {
                        self.deliver(
                            user,
                            UpstreamEvent::Head { status: head.status, headers: &head.headers },
                        );
                    }
                    if is_complete && self.serial(index) == serial {
                        self.upstream_answer_done(index);
                    }
                    consumed
                }
                Ok(Parsed::Body { consumed, user, data, is_complete }) => {
                    for range in data {
                        let Some(user) = user.filter(|_| self.serial(index) == serial) else { break };
                        self.deliver(user, UpstreamEvent::Data(&bytes[at..][range]));
                    }
                    if is_complete && self.serial(index) == serial {
                        self.upstream_answer_done(index);
                    }
                    consumed
                }
            };
            if consumed == 0 {
                break;
            }
            at += consumed;
        }
        at
    }

    fn upstream_answer_done(&mut self, index: usize) {
        let Some((socket, upstream)) = self.connections.upstream_mut(index) else { return };
        match upstream.end_answer() {
            AnswerEnd::Surplus { closes: true } => self.fail_upstream(index),
            AnswerEnd::Surplus { closes: false } => {}
            AnswerEnd::Call { user, closes } => {
                let instance = upstream.instance().clone();
                // An executor may answer before it has read the complete request, and then wait for the rest of it.
                if closes || socket.unsent_bytes() > 0 {
                    self.connections.close(index);
                } else {
                    self.connections.put_idle(instance, index);
                }
                if let Some(user) = user {
                    self.deliver(user, UpstreamEvent::End);
                }
            }
        }
    }

    fn upstream_ended(&mut self, index: usize) {
        let Some((_, upstream)) = self.connections.upstream_mut(index) else { return };
        if upstream.is_complete_at_close() {
            self.upstream_answer_done(index);
        } else {
            self.fail_upstream(index);
        }
    }

    /// The connection is of no more use; its user, if it has one, is notified.
    fn fail_upstream(&mut self, index: usize) {
        if let Some((user, failure)) = close_failed(&mut self.connections, index) {
            self.deliver(user, UpstreamEvent::Failed(failure));
        }
    }

    fn deliver(&mut self, user: UpstreamUser, event: UpstreamEvent<'_>) {
        match user {
            UpstreamUser::Exchange(key) => {
                self.with_requests(|requests, context| requests.exchange_event(context, key, event));
            }
            UpstreamUser::Item(run) => self.item_event(run, event),
        }
    }
}
