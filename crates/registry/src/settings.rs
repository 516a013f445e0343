//! The settings of a registry.

use crate::Member;
use grebeusher_time::{Duration, DurationExt};
use std::net::SocketAddrV4;

/// The bounds in time and number. All nodes should have the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Between two heartbeats of a node.
    pub heartbeat: Duration,
    /// How long a node may be unresponsive before it is asked directly and by way of others.
    pub suspect_after: Duration,
    /// How long a node may be unresponsive before it is dead.
    pub dead_after: Duration,
    /// How many nodes watch each node.
    pub watchers: usize,
    /// How many nodes each node forwards a relay to.
    pub fan_out: usize,
    /// Between two attempts at a seed that has not answered.
    pub join_retry: Duration,
    /// How long updates wait for more to share their message.
    pub batch: Duration,
    /// The same for what a call waits for.
    pub urgent_batch: Duration,
    /// Between two attempts at a node that has not confirmed.
    pub confirm_retry: Duration,
    /// How long a call waits at most for all to confirm.
    pub confirm_bound: Duration,
    /// Between two heartbeats of an executor (`heartbeat_ms`).
    pub executor_heartbeat: Duration,
    /// How long an executor that is unresponsive or gone is shown.
    pub executor_retention: Duration,
    /// How long the dead and gone are remembered, so that late updates of them are known for what they are.
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
            confirm_bound: Duration::from_millis(700),
            executor_heartbeat: Duration::from_millis(1_200),
            executor_retention: Duration::from_millis(60_000),
            tombstone_retention: Duration::from_millis(600_000),
        }
    }
}

impl Timings {
    /// How long an executor may miss its heartbeats before it is called unresponsive: three of them and a little more.
    pub fn executor_timeout(&self) -> Duration {
        self.executor_heartbeat.scaled(3.0) + Duration::from_millis(300)
    }

    /// The same for one that is known from the disk only, since the start: two heartbeats. One that had
    /// said that it leaves calls no more, and a loss of all power has the whole tier forget what it said; by the time that
    /// nodes count as in touch again (`contact_ms`) nothing may be sent there.
    pub fn restored_executor_timeout(&self) -> Duration {
        self.executor_heartbeat.scaled(2.0)
    }
}

/// The settings of a registry, given at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The node itself. Its state is set to alive.
    pub member: Member,
    /// The internal addresses of the seeds; the node's own may be among them.
    pub seeds: Vec<SocketAddrV4>,
    /// The bounds.
    pub timings: Timings,
    /// What may be lost at once.
    pub losses: Losses,
}

/// What of the core may be lost at once while all promises hold: machines, or whole zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Machines of the core.
    pub machines: usize,
    /// Zones.
    pub zones: usize,
}
