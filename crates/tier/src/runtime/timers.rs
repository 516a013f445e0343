//! What falls due in a node.

use crate::links::messages::CallNumber;

/// One timer of the loop. Serials guard against indices that were given to another connection or exchange meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A connection to an executor should have come up.
    ConnectExpires {
        /// The index of the connection.
        connection: usize,
        /// The serial number of what the index meant.
        serial: u64,
    },
    /// A link to another node should have come up.
    LinkExpires {
        /// The index of the connection.
        connection: usize,
        /// The serial number of what the index meant.
        serial: u64,
    },
    /// An exchange's deadline.
    ExchangeDeadline {
        /// The index of the exchange.
        exchange: usize,
        /// The serial number of what the index meant.
        serial: u64,
    },
    /// An exchange waits for a first event or an answer for suspiciously long.
    ExchangeResponseTimeout {
        /// The index of the exchange.
        exchange: usize,
        /// The serial number of what the index meant.
        serial: u64,
        /// The number of the attempt.
        attempt: u32,
    },
    /// An item's run is silent for too long.
    ItemResponseTimeout {
        /// The key of the run.
        run: u64,
    },
    /// A call to another node should have been answered.
    CallExpires {
        /// The number of the call.
        number: CallNumber,
    },
    /// A call is to be tried at another node.
    CallRetry {
        /// The number of the call.
        number: CallNumber,
    },
    /// A read that waits for a result is answered.
    PendingReadExpires {
        /// The key of the read.
        read: u64,
    },
    /// The bootstrapping node looks whether the partitions can be bootstrapped.
    Bootstrap,
    /// Leaders look after their groups.
    MaintainGroups,
    /// The node asks which versions of services get requests.
    SyncRollouts,
    /// Slow housekeeping.
    Sweep,
    /// Executors that have fallen silent are looked for.
    ReviewExecutors,
    /// Items are started where there is room.
    RunItems,
    /// The process ends at the latest.
    Exit,
}
