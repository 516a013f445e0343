//! The datagrams that voters send to each other, encoded with postcard. The order of variants and fields is part of the
//! wire format.

use serde::{Deserialize, Serialize};

use crate::incarnation::Incarnation;

/// A datagram from one voter to another.
#[derive(Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// Announces the sender; each voter sends it to all others at `HELLO_INTERVAL`.
    Hello {
        incarnation: Incarnation,
        /// The id of the group that the sending incarnation belongs to, if any.
        group: Option<u64>,
    },
    /// A part of a Raft message.
    Fragment {
        /// The incarnation that sends the message.
        incarnation: Incarnation,
        /// The id of the group whose members exchange the message.
        group: u64,
        /// The message that the fragment is a part of; unique among the recent messages of the sender.
        message_id: u32,
        /// The position of the fragment in the message, from zero.
        index: u16,
        /// The number of fragments of the message.
        count: u16,
        bytes: Vec<u8>,
    },
}

/// The data of a normal entry of the Raft log.
#[derive(Serialize, Deserialize)]
pub(crate) struct Batch<C> {
    /// The time in microseconds since the leader proposed the previous batch or, if another voter proposed that one,
    /// since the leader applied it or a snapshot that contains it.
    pub(crate) elapsed_us: u64,
    /// The commands in the order in which they are applied.
    pub(crate) commands: Vec<C>,
}
