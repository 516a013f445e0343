//! Calls to executors: each on an idle connection or a new one. What comes back on it is delivered by
//! `requests/dispatch.rs`.
//!
//! The state of a connection is its [`Upstream`]; the pool of idle ones is the connection table's.

use crate::links::connections::{ConnectionTable, Role};
use crate::links::socket::Socket;
use crate::requests::plane::{RequestContext, Requests};
use crate::requests::upstream_connection::{Failure, Target, Upstream, UpstreamUser};
use crate::runtime::io::World;
use crate::runtime::timers::Timer;
use grebeusher_time::Duration;
use grebeusher_transport::headers::Headers;

/// A connection that has not come up by then is given up: nothing was sent on it. Links have a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Reads of an answer are held back while its client has this much unwritten (bytes).
pub const MAX_UNWRITTEN: usize = 256 * 1024;

/// What the user of a connection is notified of.
pub enum UpstreamEvent<'a> {
    /// The answer's head.
    Head {
        /// Its status.
        status: u16,
        /// Its headers.
        headers: &'a Headers,
    },
    /// Bytes of the answer's body.
    Data(&'a [u8]),
    /// The answer is complete.
    End,
    /// There will be no (further) answer.
    Failed(Failure),
}

impl Requests {
    /// Sends a request to an executor, by an idle connection if there is one. Returns the connection's index.
    ///
    /// # Errors
    /// `Failure::NeverSent` where no connection could even be begun.
    pub fn start_call(
        &mut self,
        context: &mut RequestContext<'_>,
        user: UpstreamUser,
        target: &Target,
        attempt_id: &str,
        request: &[u8],
    ) -> Result<usize, Failure> {
        while let Some(index) = context.connections.take_idle(&target.instance, context.now) {
            let Some((socket, upstream)) = context.connections.upstream_mut(index) else { continue };
            upstream.start_call(user, attempt_id);
            socket.append_output(request);
            if socket.flush().is_ok() {
                return Ok(index);
            }
            // The write failed at once, before a byte went out: the executor had closed the connection.
            let nothing_sent = socket.unsent_bytes() == request.len();
            upstream.take_user();
            context.connections.close(index);
            if !nothing_sent {
                return Err(Failure::BeforeHead);
            }
        }
        self.dial_call(context, user, target, attempt_id, request)
    }

    fn dial_call(
        &mut self,
        context: &mut RequestContext<'_>,
        user: UpstreamUser,
        target: &Target,
        attempt_id: &str,
        request: &[u8],
    ) -> Result<usize, Failure> {
        let upstream = Upstream::connecting(target.clone(), user, attempt_id, context.now);
        let open = |world: &dyn World, key| Socket::dial(world, target.address, key);
        let added = context.connections.add(context.world, open, Role::Upstream(upstream));
        let index = added.map_err(|_| Failure::NeverSent)?;
        if let Some((socket, _)) = context.connections.upstream_mut(index) {
            socket.append_output(request);
        }
        let serial = context.connections.serial(index);
        context
            .alarms
            .set(context.now + CONNECT_TIMEOUT, Timer::ConnectExpires { connection: index, serial });
        Ok(index)
    }

    /// Gives up a call: its connection is closed, and the user hears no more of it.
    pub fn abort_call(&mut self, context: &mut RequestContext<'_>, index: usize) {
        if let Some((_, upstream)) = context.connections.upstream_mut(index) {
            upstream.take_user();
            context.connections.close(index);
        }
    }
}

/// A connection to an executor is of no more use: it is closed. Returns the user of its call, if it has one, and where the
/// call has failed.
pub(super) fn close_failed(
    connections: &mut ConnectionTable,
    index: usize,
) -> Option<(UpstreamUser, Failure)> {
    let (socket, upstream) = connections.upstream_mut(index)?;
    let failure = upstream.failure();
    debug_assert!(failure != Failure::NeverSent || socket.is_connecting());
    let user = upstream.take_user();
    connections.close(index);
    Some((user?, failure))
}
