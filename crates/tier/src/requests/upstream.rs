//! Starts and aborts calls to executors. A call uses an idle connection or opens a new one; `requests/dispatch.rs` delivers
//! the response.
//!
//! The state of a connection is its [`UpstreamConnection`]; the connection table has the pool of idle connections.

use crate::links::connections::{ConnectionTable, Role};
use crate::links::socket::Socket;
use crate::requests::plane::{RequestContext, Requests};
use crate::requests::upstream_connection::{CallFailure, CallOwner, ExecutorTarget, UpstreamConnection};
use crate::runtime::io::World;
use crate::runtime::timers::Timer;
use grebeusher_time::Duration;
use grebeusher_transport::headers::Headers;

/// The timeout for opening a connection. Nothing was sent on a connection that is not open, so another executor can get the
/// request. A network round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A response is not read from its executor while more than this many bytes of it wait to be written to the client.
pub const MAX_UNWRITTEN_BYTES: usize = 256 * 1024;

/// An event of a call, for the exchange or batch item that started it.
pub enum CallEvent<'a> {
    /// The head of the response has been received.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: &'a Headers,
    },
    /// Bytes of the response body have been received.
    Data(&'a [u8]),
    /// The response is complete.
    End,
    /// The call has failed: nothing more of the response will be received.
    Failed(CallFailure),
}

impl Requests {
    /// Sends a request to an executor, on an idle connection if there is one that has carried no call with this attempt id.
    /// Returns the index of the connection.
    ///
    /// # Errors
    /// `CallFailure::NeverSent` if no connection could be opened, `CallFailure::BeforeHead` if an idle connection broke after a
    /// part of the request was written.
    pub fn start_call(
        &mut self,
        context: &mut RequestContext<'_>,
        owner: CallOwner,
        target: &ExecutorTarget,
        attempt_id: &str,
        request: &[u8],
    ) -> Result<usize, CallFailure> {
        while let Some(index) = context.connections.take_idle(&target.instance, attempt_id, context.now) {
            let Some((socket, upstream)) = context.connections.upstream_mut(index) else { continue };
            upstream.start_call(owner, attempt_id);
            socket.append_output(request);
            if socket.flush().is_ok() {
                return Ok(index);
            }
            // If the write failed before a byte was sent, the executor had already closed the idle connection.
            let nothing_sent = socket.unsent_bytes() == request.len();
            upstream.take_owner();
            context.connections.close(index);
            if !nothing_sent {
                return Err(CallFailure::BeforeHead);
            }
        }
        self.start_call_on_new_connection(context, owner, target, attempt_id, request)
    }

    fn start_call_on_new_connection(
        &mut self,
        context: &mut RequestContext<'_>,
        owner: CallOwner,
        target: &ExecutorTarget,
        attempt_id: &str,
        request: &[u8],
    ) -> Result<usize, CallFailure> {
        let upstream = UpstreamConnection::connecting(target.clone(), owner, attempt_id, context.now);
        let open = |world: &dyn World, key| Socket::dial(world, target.address, key);
        let added = context.connections.add(context.world, open, Role::Upstream(upstream));
        let index = added.map_err(|_| CallFailure::NeverSent)?;
        if let Some((socket, _)) = context.connections.upstream_mut(index) {
            socket.append_output(request);
        }
        let serial = context.connections.serial(index);
        context
            .alarms
            .set(context.now + CONNECT_TIMEOUT, Timer::ConnectExpires { connection: index, serial });
        Ok(index)
    }

    /// Aborts a call by closing its connection. No further events of the call are delivered.
    pub fn abort_call(&mut self, context: &mut RequestContext<'_>, index: usize) {
        if let Some((_, upstream)) = context.connections.upstream_mut(index) {
            upstream.take_owner();
            context.connections.close(index);
        }
    }
}

/// Closes a connection to an executor that failed or can't be used any longer. If it carries a call, returns the call's owner
/// and the point at which the call failed.
pub(super) fn close_failed(
    connections: &mut ConnectionTable,
    index: usize,
) -> Option<(CallOwner, CallFailure)> {
    let (socket, upstream) = connections.upstream_mut(index)?;
    let failure = upstream.failure();
    debug_assert!(failure != CallFailure::NeverSent || socket.is_connecting());
    let owner = upstream.take_owner();
    connections.close(index);
    Some((owner?, failure))
}
