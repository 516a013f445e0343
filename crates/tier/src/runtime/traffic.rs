//! What a process does by itself, in numbers: turns of its loop, timers, and frames to and from other nodes. For the reports
//! of what a node costs at rest.

use crate::links::messages::Channel;
use crate::runtime::timers::Timer;

/// The kinds of frames: the registry's messages in the order of their tags, then the other channels.
pub const FRAME_KINDS: [&str; 17] = [
    "join",
    "welcome",
    "heartbeat",
    "ping",
    "ping_for",
    "pong",
    "relay",
    "confirm",
    "buckets",
    "summaries",
    "want",
    "registers",
    "quorum",
    "call",
    "reply",
    "popularity",
    "batch_load",
];

/// The kinds of timers that a process sets.
pub const TIMER_KINDS: [&str; 8] =
    ["found", "group_upkeep", "sweep", "review_executors", "run_items", "call", "link", "other"];

/// How many of the kinds are the registry's.
const REGISTRY_KINDS: usize = 12;

/// Frames of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// How many.
    pub frames: u64,
    /// Bytes of their payloads.
    pub bytes: u64,
}

/// Counters that only rise.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Turns of the loop.
    pub turns: u64,
    /// Turns in which a socket or a signal was ready.
    pub turns_by_events: u64,
    /// Turns in which the registry had something due.
    pub registry_ticks: u64,
    /// Times that a replica of a partition had something due.
    pub partition_ticks: u64,
    /// Timers that fell due, by [`TIMER_KINDS`].
    pub timers: [u64; TIMER_KINDS.len()],
    /// Frames to other nodes, by [`FRAME_KINDS`].
    pub sent: [Tally; FRAME_KINDS.len()],
    /// Frames from other nodes, by [`FRAME_KINDS`].
    pub received: [Tally; FRAME_KINDS.len()],
}

impl Traffic {
    /// Counts a timer.
    pub fn count_timer(&mut self, timer: Timer) {
        let kind = match timer {
            Timer::Bootstrap => 0,
            Timer::MaintainGroups => 1,
            Timer::Sweep => 2,
            Timer::ReviewExecutors => 3,
            Timer::RunItems => 4,
            Timer::CallExpires { .. } | Timer::CallRetry { .. } => 5,
            Timer::LinkExpires { .. } => 6,
            _ => 7,
        };
        self.timers[kind] += 1;
    }

    /// Counts a frame to another node.
    pub fn count_sent(&mut self, channel: Channel, payload: &[u8]) {
        count(&mut self.sent, channel, payload);
    }

    /// Counts a frame from another node.
    pub fn count_received(&mut self, channel: Channel, payload: &[u8]) {
        count(&mut self.received, channel, payload);
    }
}

fn count(tallies: &mut [Tally; FRAME_KINDS.len()], channel: Channel, payload: &[u8]) {
    let kind = match channel {
        // What no message begins with is counted with the last of them.
        Channel::Registry => payload.first().map_or(0, |tag| usize::from(*tag)).min(REGISTRY_KINDS - 1),
        Channel::Quorum => REGISTRY_KINDS,
        Channel::Call => REGISTRY_KINDS + 1,
        Channel::Reply => REGISTRY_KINDS + 2,
        Channel::Popularity => REGISTRY_KINDS + 3,
        Channel::BatchLoad => REGISTRY_KINDS + 4,
    };
    tallies[kind].frames += 1;
    tallies[kind].bytes += payload.len() as u64;
}
