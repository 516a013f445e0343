//! What voters send to each other. The order of variants and fields is the form on the wire.

use serde::{Deserialize, Serialize};

use crate::incarnation::Incarnation;

/// One datagram.
#[derive(Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// Sent to all voters at an interval.
    Hello {
        incarnation: Incarnation,
        /// The group that the incarnation belongs to, if any.
        group: Option<u64>,
    },
    /// A part of a message of `raft`.
    Fragment {
        incarnation: Incarnation,
        group: u64,
        /// Tells the messages of one sender apart.
        message_id: u32,
        index: u16,
        count: u16,
        bytes: Vec<u8>,
    },
}

/// The content of an entry in the log.
#[derive(Serialize, Deserialize)]
pub(crate) struct Batch<C> {
    /// Microseconds since the last batch was proposed, or where another voter did that, applied here.
    pub(crate) elapsed_us: u64,
    pub(crate) commands: Vec<C>,
}
