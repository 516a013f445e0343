//! Errors that are returned by a [`Voter`](crate::Voter).

use snafu::Snafu;

/// The reason why a voter rejected a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// Another voter leads the group, or none does.
    #[snafu(display("this voter is not the leader"))]
    NotLeader,
    /// Too many commands are waiting to be proposed; the caller may retry later.
    #[snafu(display("too many commands are waiting to be proposed"))]
    Busy,
}

/// The reason why a voter dropped a datagram.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReceiveError {
    /// The datagram can't be decoded.
    #[snafu(display("invalid voter datagram: {source}"))]
    Datagram {
        /// The error of the postcard decoder.
        source: postcard::Error,
    },
    /// The sender is this voter itself, or no voter has its index.
    #[snafu(display("datagram sender is not another voter: incarnation {incarnation:016x}"))]
    UnknownSender {
        /// The incarnation that the datagram names as its sender.
        incarnation: u64,
    },
    /// The message that was reassembled from fragments is not a Raft message.
    #[snafu(display("invalid Raft message: {source}"))]
    Message {
        /// The error of the protobuf decoder.
        source: protobuf::ProtobufError,
    },
}
