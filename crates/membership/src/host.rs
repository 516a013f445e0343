//! What membership asks of its caller.

use crate::{ExecutorObservation, Member};
use std::net::SocketAddr;

/// The caller's side of a [`Membership`](crate::Membership): sends its datagrams and receives its events.
pub trait Host {
    /// Sends a datagram of at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES). It may be lost.
    fn send(&mut self, to: SocketAddr, datagram: &[u8]);

    /// A member is up, or is known under a newer generation.
    fn member_up(&mut self, member: Member);

    /// A member has left, or was declared down.
    fn member_down(&mut self, member: Member);

    /// Another node has observed something of an executor that is newer than all that was known.
    fn executor_observed(&mut self, observation: ExecutorObservation);
}
