//! The interface through which a [`Membership`](crate::Membership) sends datagrams and reports events.

use crate::{ExecutorObservation, Member};
use std::net::SocketAddr;

/// The caller of a [`Membership`](crate::Membership) implements this trait to send datagrams and to receive events.
pub trait Host {
    /// Sends a datagram of at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES) bytes. The network may
    /// lose the datagram.
    fn send(&mut self, to: SocketAddr, datagram: &[u8]);

    /// Reports that a member is up, or that it is known under a newer generation.
    fn member_up(&mut self, member: Member);

    /// Reports that a member has left or was declared down.
    fn member_down(&mut self, member: Member);

    /// Reports an observation of an executor by another node that is newer than any that this node had.
    fn executor_observed(&mut self, observation: ExecutorObservation);
}
