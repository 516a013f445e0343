//! What a node is told at its start.

use crate::Member;
use grebeusher_time::Span;
use std::net::SocketAddrV4;

/// The bounds in time and number. All nodes should have the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Between two heartbeats of a node.
    pub heartbeat: Span,
    /// How long a node may be silent before it is asked directly and by way of others.
    pub suspect_after: Span,
    /// How long a node may be silent before it is dead.
    pub dead_after: Span,
    /// How many nodes watch each node.
    pub watchers: usize,
    /// How many nodes each node passes news on to.
    pub fan_out: usize,
    /// Between two tries at a seed that has not answered.
    pub join_retry: Span,
    /// How long news wait for more to share their message.
    pub batch: Span,
    /// The same for what a call waits for.
    pub urgent_batch: Span,
    /// Between two tries at a node that has not confirmed.
    pub confirm_retry: Span,
    /// How long a call waits at most for all to confirm.
    pub confirm_bound: Span,
    /// Between two heartbeats of an executor (`heartbeat_ms`).
    pub executor_heartbeat: Span,
    /// How long an executor that is silent or gone is shown.
    pub executor_retention: Span,
    /// How long the dead and gone are remembered, so that late news of them are known for what they are.
    pub tombstone_retention: Span,
}

impl Default for Timings {
    fn default() -> Timings {
        Timings {
            heartbeat: Span::millis(400),
            suspect_after: Span::millis(1_000),
            dead_after: Span::millis(1_600),
            watchers: 3,
            fan_out: 8,
            join_retry: Span::millis(250),
            batch: Span::millis(40),
            urgent_batch: Span::millis(4),
            confirm_retry: Span::millis(120),
            confirm_bound: Span::millis(700),
            executor_heartbeat: Span::millis(1_200),
            executor_retention: Span::millis(60_000),
            tombstone_retention: Span::millis(600_000),
        }
    }
}

impl Timings {
    /// How long an executor may miss its heartbeats before it is called silent: three of them and a little more.
    pub fn executor_silence(&self) -> Span {
        self.executor_heartbeat.scaled(3.0) + Span::millis(300)
    }

    /// The same for one that is known from the disk only, since the start: two heartbeats. One that had
    /// said that it leaves calls no more, and a loss of all power has the whole tier forget what it said; by the time that
    /// nodes count as in touch again (`contact_ms`) nothing may be sent there.
    pub fn recalled_executor_silence(&self) -> Span {
        self.executor_heartbeat.scaled(2.0)
    }
}

/// What a node is told at its start.
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
