//! The state that a node keeps for live requests.
//!
//! [`Requests`] owns the exchanges, the routing and the client listeners. Its methods borrow the other parts of the node
//! that they need through a [`RequestContext`]. This module does not depend on partitions, batch items or node links.

use crate::control::active_configuration::ServedConfiguration;
use crate::links::connections::ConnectionTable;
use crate::requests::exchange::Exchange;
use crate::requests::routing::Routing;
use crate::runtime::io::World;
use crate::runtime::start::ClientListeners;
use crate::runtime::timers::Timer;
use grebeusher_time::Instant;
use grebeusher_transport::alarms::Alarms;
use slab::Slab;

/// Counts of requests and connections since the process started; the status page and the log show them.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Client requests that were to be sent to an executor.
    pub requests: u64,
    /// Requests that were refused because no executor had capacity.
    pub refused: u64,
    /// Requests that ended without a response from an executor.
    pub failed: u64,
    /// Requests and node messages that could not be parsed.
    pub malformed: u64,
    /// Client connections that were closed on accept because the node had its maximum of connections, which leaves file
    /// descriptors for its other uses.
    pub connections_refused: u64,
}

/// The exchanges, the routing and the client listeners of a node.
pub(crate) struct Requests {
    pub(super) listeners: ClientListeners,
    /// The client requests that are in flight.
    pub(super) exchanges: Slab<Exchange>,
    /// Chooses executors, for client requests and for items of batch jobs.
    pub(crate) routing: Routing,
    /// Counts of requests and connections.
    pub(crate) counters: RequestCounters,
}

/// The parts of the node that the methods of [`Requests`] borrow.
pub(crate) struct RequestContext<'a> {
    /// The time at which the current iteration of the event loop began.
    pub now: Instant,
    /// Opens connections and reads and writes files.
    pub world: &'a dyn World,
    /// All connections of the node.
    pub connections: &'a mut ConnectionTable,
    /// The timers of the node.
    pub alarms: &'a mut Alarms<Timer>,
    /// The configuration in use.
    pub configuration: &'a ServedConfiguration,
    /// Whether the process has received SIGTERM.
    pub stopping: bool,
}

impl Requests {
    /// Creates the state of a node that has no requests yet.
    pub fn new(listeners: ClientListeners, routing: Routing) -> Requests {
        Requests { listeners, exchanges: Slab::new(), routing, counters: RequestCounters::default() }
    }

    /// The number of client requests in flight.
    pub fn exchange_count(&self) -> usize {
        self.exchanges.len()
    }
}
