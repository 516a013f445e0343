//! Errors of the calls to a [`Voter`](crate::Voter).

use snafu::Snafu;

/// Why a command was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// Another voter leads the group, or none does.
    #[snafu(display("not the leader"))]
    NotLeader,
    /// Too many commands wait to be proposed; retry later.
    #[snafu(display("too many commands are pending"))]
    Busy,
}

/// Why a datagram was dropped.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReceiveError {
    /// It is not in the form of this crate.
    #[snafu(display("not a datagram of a voter: {source}"))]
    Datagram {
        /// What the decoder found.
        source: postcard::Error,
    },
    /// It names no other voter as its sender.
    #[snafu(display("from no peer: incarnation {incarnation:016x}"))]
    UnknownSender {
        /// The incarnation that it names.
        incarnation: u64,
    },
    /// The message that its fragments make up is not one of `raft`.
    #[snafu(display("not a message of raft: {source}"))]
    Message {
        /// What the decoder found.
        source: protobuf::ProtobufError,
    },
}
