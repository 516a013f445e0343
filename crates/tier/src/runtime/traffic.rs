//! Counters of a node's own activity: iterations of the event loop, timers, and frames to and from other nodes. Reports on
//! the idle cost of a node use them.

use crate::links::messages::Channel;
use crate::runtime::timers::Timer;

/// The kinds of frames: the messages of the registry in the order of their tags, then the other channels.
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

/// The kinds of timers that are counted separately.
pub const TIMER_KINDS: [&str; 8] =
    ["found", "group_upkeep", "sweep", "review_executors", "run_items", "call", "link", "other"];

/// The number of kinds that are messages of the registry.
const REGISTRY_KINDS: usize = 12;

/// The number and size of the frames of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameTotals {
    /// The number of frames.
    pub frames: u64,
    /// The sum of the sizes of their payloads, in bytes.
    pub bytes: u64,
}

/// The counters since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// The number of iterations of the event loop.
    pub turns: u64,
    /// The number of iterations in which a socket or a signal was ready.
    pub turns_by_events: u64,
    /// The number of iterations in which the registry had a timer due.
    pub registry_ticks: u64,
    /// How often a replica of a partition had a timer due.
    pub partition_ticks: u64,
    /// The number of timers that have expired, by the kinds of [`TIMER_KINDS`].
    pub timers: [u64; TIMER_KINDS.len()],
    /// The frames to other nodes, by the kinds of [`FRAME_KINDS`].
    pub sent: [FrameTotals; FRAME_KINDS.len()],
    /// The frames from other nodes, by the kinds of [`FRAME_KINDS`].
    pub received: [FrameTotals; FRAME_KINDS.len()],
}

impl Traffic {
    /// Counts an expired timer.
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

fn count(tallies: &mut [FrameTotals; FRAME_KINDS.len()], channel: Channel, payload: &[u8]) {
    let kind = match channel {
        // A frame with an unknown tag is counted as the last kind of the registry.
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
