//! The settings of a registry.

use crate::Member;
use grebeusher_time::{Duration, DurationExt};
use std::net::SocketAddrV4;

/// Intervals, timeouts and counts of the protocol. All nodes should have the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// The time between two heartbeats of a node.
    pub heartbeat: Duration,
    /// How long a watcher receives nothing from a node before it probes the node directly and through other nodes.
    pub suspect_after: Duration,
    /// How long a watcher receives nothing from a node before it declares the node dead.
    pub dead_after: Duration,
    /// How many nodes watch each node.
    pub watchers: usize,
    /// To how many nodes each node forwards a relay.
    pub fan_out: usize,
    /// The time between two join messages to a seed that has not answered.
    pub join_retry: Duration,
    /// How long an update waits for further updates that are sent in the same message.
    pub batch: Duration,
    /// How long an update for which the call of an executor waits is held back for further updates in the same message.
    pub urgent_batch: Duration,
    /// The time between two messages of a confirmed broadcast to a node that has not confirmed it.
    pub confirm_retry: Duration,
    /// The longest time that a call waits for all nodes to confirm the broadcast.
    pub confirm_timeout: Duration,
    /// The time between two heartbeats of an executor (`heartbeat_ms`).
    pub executor_heartbeat: Duration,
    /// How long an executor that is unresponsive or gone stays listed.
    pub executor_retention: Duration,
    /// How long tombstones of dead nodes and removed executors are kept, so that late updates do not bring these back.
    pub tombstone_retention: Duration,
}

impl Default for Timings {
    fn default() -> Timings {
        Timings {
            heartbeat: Duration::from_millis(400),
            suspect_after: Duration::from_millis(1_000),
            dead_after: Duration::from_millis(1_600),
            watchers: 3,
            fan_out: 8,
            join_retry: Duration::from_millis(250),
            batch: Duration::from_millis(40),
            urgent_batch: Duration::from_millis(4),
            confirm_retry: Duration::from_millis(120),
            confirm_timeout: Duration::from_millis(700),
            executor_heartbeat: Duration::from_millis(1_200),
            executor_retention: Duration::from_millis(60_000),
            tombstone_retention: Duration::from_millis(600_000),
        }
    }
}

impl Timings {
    /// Returns how long an executor may send no heartbeat before it is unresponsive: three heartbeat intervals and
    /// 300 ms.
    pub fn executor_timeout(&self) -> Duration {
        self.executor_heartbeat.scaled(3.0) + Duration::from_millis(300)
    }

    /// Returns the timeout, counted from the start of this node, of an executor that is known only from the disk: two
    /// heartbeat intervals. An executor that announced its drain sends no more heartbeats, and after a power failure of
    /// all nodes no node knows of the announcement. Therefore nothing may be sent to such an executor any more by the
    /// time at which nodes count as in contact again (`contact_ms`).
    pub fn restored_executor_timeout(&self) -> Duration {
        self.executor_heartbeat.scaled(2.0)
    }
}

/// The settings of a registry, passed in at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The register of the node itself. The registry sets its state to alive.
    pub member: Member,
    /// The internal addresses of the seeds; the address of the node itself may be among them.
    pub seeds: Vec<SocketAddrV4>,
    /// The intervals, timeouts and counts of the protocol.
    pub timings: Timings,
    /// The losses that the core tolerates.
    pub losses: Losses,
}

/// The losses that the core tolerates at the same time while all guarantees hold: machines, or whole zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// The number of machines of the core.
    pub machines: usize,
    /// The number of zones.
    pub zones: usize,
}
