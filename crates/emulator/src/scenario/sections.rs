//! The sections of a scenario file: machines, executors, what comes, the network, and what is told of them.

use crate::laws::Sizes;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use serde::Deserialize;

/// Staff hand in a plan, and an agent at each machine works on it when it is out.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Maintenance {
    pub at_s: f64,
    /// Of all executors.
    #[serde(default = "all_of_them")]
    pub part: f64,
    pub most_out: u32,
    pub most_out_a_zone: Option<u32>,
    pub most_cold: Option<u32>,
    /// The part of all executors that must stay ready.
    #[serde(default)]
    pub least_ready: f64,
    pub work_s: f64,
    #[serde(default = "minute_s")]
    pub drain_within_s: u64,
    #[serde(default = "minute_s")]
    pub work_within_s: u64,
    #[serde(default)]
    pub warm_s: u64,
    /// The longest patience without it.
    pub longest_unit_s: Option<u64>,
    #[serde(default = "half")]
    pub most_turned_back: f64,
    #[serde(default = "ten_s_ms")]
    pub permission_ms: u64,
    /// Nodes whose operators' file says nothing of plans, as that of an older version, until they are started anew.
    #[serde(default)]
    pub older: Vec<usize>,
    /// Machines that are not brought back, by their places.
    #[serde(default)]
    pub never_back: Vec<usize>,
    /// Nodes whose own machines go as well, how many at once, and how many must stay.
    #[serde(default)]
    pub nodes: Vec<usize>,
    #[serde(default = "one_node")]
    pub most_nodes_out: u32,
    /// In each zone.
    pub most_nodes_out_a_zone: Option<u32>,
    #[serde(default = "one_node")]
    pub least_nodes: u32,
}

fn one_node() -> u32 {
    1
}

fn all_of_them() -> f64 {
    1.0
}

fn half() -> f64 {
    0.5
}

fn minute_s() -> u64 {
    60
}

fn ten_s_ms() -> u64 {
    10_000
}

/// Work units of a tariff in any window, at all nodes together, or what they are sent beyond their first allocations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub tariff: String,
    #[serde(default)]
    pub further: bool,
    pub units: u32,
    pub window_ms: f64,
    #[serde(default)]
    pub floor: u32,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    pub count: usize,
    /// How many there are by what each is told at its start, where that is wrong.
    pub told_count: Option<usize>,
    /// How many times the mean traffic the first one gets.
    #[serde(default = "whole")]
    pub busiest: f64,
    /// What comes at the nodes of each zone, against that of others; without it each node gets as much.
    #[serde(default)]
    pub zone_shares: Vec<f64>,
    /// Nodes and executors are dealt out among the zones in turn.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// Whether executors tell of starts, and how often of progress; 0 for never.
    #[serde(default = "yes")]
    pub starts_told: bool,
    #[serde(default = "second")]
    pub progress_ms: f64,
    #[serde(default = "three")]
    pub most_allocations: usize,
    #[serde(default)]
    pub second_copies: bool,
    #[serde(default = "yes")]
    pub recalls: bool,
    /// Whether nodes are promised that a recall takes what waits out of its queue.
    #[serde(default)]
    pub recalls_stop: bool,
    /// Whether nodes know of each other, and tell what they have seen of starts; and whether their decisions send each
    /// other words as well.
    #[serde(default)]
    pub talk: bool,
    #[serde(default)]
    pub words: bool,
    /// How many of the nodes keep what all agree on: the first ones.
    #[serde(default = "three")]
    pub keepers: usize,
    /// Of nodes whose clocks are off; only between processes.
    #[serde(default)]
    pub clocks: Vec<OffClock>,
}

impl Nodes {
    /// How the clock of a node is off, if it is: of those that a part strikes each is as far from the next.
    pub fn clock_of(&self, place: usize) -> Option<&OffClock> {
        self.clocks.iter().find(|off| {
            let struck = |nodes: usize| (nodes as f64 * off.part).floor();
            struck(place + 1) > struck(place)
        })
    }
}

/// A clock that says another time than the machine's, and runs at so many times its pace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OffClock {
    /// The part of the nodes that have it.
    pub part: f64,
    #[serde(default)]
    pub ahead_ms: f64,
    #[serde(default = "whole")]
    pub pace: f64,
}

/// Executors of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Executors {
    pub kind: String,
    pub count: usize,
    #[serde(default = "one")]
    pub slots: u64,
    /// Against a standard core, on each slot.
    #[serde(default = "whole")]
    pub pace: f64,
    /// Work units that may wait for a slot.
    #[serde(default = "endless")]
    pub queue: usize,
    /// What share of its pace it has just after a start, and after how long it has all of it.
    #[serde(default = "whole")]
    pub cold_share: f64,
    #[serde(default)]
    pub warm_s: f64,
    #[serde(default)]
    pub error_share: f64,
    /// Started long before the run, and so warm.
    #[serde(default = "yes")]
    pub warm_at_start: bool,
    /// Whether a recall takes what waits out of the queue; either way nobody hears.
    #[serde(default = "yes")]
    pub recall_stops: bool,
    /// Only in these zones, in turn.
    #[serde(default)]
    pub zones: Vec<String>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    #[default]
    Retriable,
    Binding,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tariff {
    pub name: String,
    #[serde(default)]
    pub effect: Effect,
    /// At all nodes together.
    pub per_s: f64,
    pub size: Sizes,
    /// By how much a client's hint is off; without it no hint is given.
    pub hint_cv: Option<f64>,
    pub quoted_ms: f64,
    #[serde(default)]
    pub stretch: f64,
    pub patience_ms: f64,
    #[serde(default = "whole")]
    pub earnings: f64,
    /// What an answer after the quoted time still earns.
    #[serde(default)]
    pub late_part: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    pub delay_ms: f64,
    pub cross_delay_ms: f64,
    /// How much longer than that a message takes in the mean.
    pub spread: f64,
    /// The part of requests whose connection is reset, half of them before the request is whole.
    pub resets: f64,
    pub handshake_trips: f64,
    /// What a hand-shake costs the executor.
    pub handshake_work_ms: f64,
    pub idle_s: f64,
    /// When a connection that does not come up is given up, and a job that nobody has taken.
    pub dial_within_ms: f64,
    pub taken_within_ms: f64,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            delay_ms: 0.25,
            cross_delay_ms: 0.6,
            spread: 0.2,
            resets: 0.0,
            handshake_trips: 2.0,
            handshake_work_ms: 1.0,
            idle_s: 60.0,
            dial_within_ms: 250.0,
            taken_within_ms: 500.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How long after a change nodes hear of it, in the mean.
    pub notice_ms: f64,
    /// It works through calls in turn, and fails those that would wait too long.
    pub calls_per_s: f64,
    pub call_within_ms: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { notice_ms: 1000.0, calls_per_s: 1000.0, call_within_ms: 3000.0 }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often what was turned back is tried again, and after how long the first time; twice that the next.
    pub repeats: u32,
    pub backoff_ms: f64,
    /// The part of clients that leave before their patience ends, at a time of it that chance picks.
    pub leave_share: f64,
    /// How long the front sends clients to a node that has died.
    pub front_notice_ms: f64,
}

/// What the contract says of drains and of executors that have just started.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub drain_grace_ms: f64,
    pub cold_share: f64,
    pub warm_within_s: f64,
    pub fall_factor: f64,
    pub fall_window_ms: f64,
    /// How much later than due an answer or the last send to a drained executor may be.
    pub slack_ms: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace_ms: 2000.0,
            cold_share: 0.2,
            warm_within_s: 20.0,
            fall_factor: 2.5,
            fall_window_ms: 1000.0,
            slack_ms: 50.0,
        }
    }
}

fn one() -> u64 {
    1
}
fn three() -> usize {
    3
}
fn whole() -> f64 {
    1.0
}
fn second() -> f64 {
    1000.0
}
fn yes() -> bool {
    true
}
fn endless() -> usize {
    usize::MAX
}
fn one_zone() -> Vec<String> {
    vec!["a".to_owned()]
}

impl Tariff {
    pub fn is_binding(&self) -> bool {
        self.effect == Effect::Binding
    }

    /// Within which an answer is wanted: as the decisions do it grows by the size, here as that is.
    pub fn quoted(&self, size_s: f64) -> Duration {
        Duration::from_seconds(self.quoted_ms / 1e3 + self.stretch * size_s)
    }
}

impl Executors {
    /// The part of its pace that one has by now; it grows evenly after a start.
    pub fn share(&self, started: Option<Instant>, now: Instant) -> f64 {
        let warm = Duration::from_seconds(self.warm_s);
        match started {
            Some(at) if now < at + warm => {
                self.cold_share + (1.0 - self.cold_share) * now.since(at).seconds() / warm.seconds()
            }
            _ => 1.0,
        }
    }
}

impl Clients {
    /// How long a client waits that was turned back after so many repeats.
    pub fn backoff(&self, tries: u32) -> Duration {
        Duration::from_seconds(self.backoff_ms / 1e3).scaled(2_f64.powi(tries.min(16) as i32))
    }
}
