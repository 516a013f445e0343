//! The timers of a node.

use crate::links::messages::CallNumber;

/// A timer of the event loop. The serial numbers detect that an index has been reused by another connection or exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The time-out for connecting to an executor.
    ConnectExpires {
        /// The index of the connection.
        connection: usize,
        /// The serial number of the connection.
        serial: u64,
    },
    /// The time-out for connecting to another node.
    LinkExpires {
        /// The index of the connection.
        connection: usize,
        /// The serial number of the connection.
        serial: u64,
    },
    /// The deadline of an exchange.
    ExchangeDeadline {
        /// The index of the exchange.
        exchange: usize,
        /// The serial number of the exchange.
        serial: u64,
    },
    /// The time-out for the first event or the response of an attempt of an exchange.
    ExchangeResponseTimeout {
        /// The index of the exchange.
        exchange: usize,
        /// The serial number of the exchange.
        serial: u64,
        /// The number of the attempt.
        attempt: u32,
    },
    /// The time-out for an event or the response of an item's run.
    ItemResponseTimeout {
        /// The key of the run.
        run: u64,
    },
    /// The time-out of a call to another node.
    CallExpires {
        /// The number of the call.
        number: CallNumber,
    },
    /// The retry of a call at another node.
    CallRetry {
        /// The number of the call.
        number: CallNumber,
    },
    /// The end of the time for which a read waits for results.
    PendingReadExpires {
        /// The key of the read.
        read: u64,
    },
    /// The periodic check whether the partitions can be bootstrapped.
    Bootstrap,
    /// The periodic maintenance of the groups that this node leads.
    MaintainGroups,
    /// The next call for the versions of services that get requests.
    SyncRollouts,
    /// The periodic cleanup of idle connections and expired state.
    Sweep,
    /// The next check for unresponsive executors.
    ReviewExecutors,
    /// The next start of items on executors that have free capacity.
    RunItems,
    /// The latest time at which the process exits.
    Exit,
}
