//! The scenario file: TOML, read and checked whole before anything runs. What is wrong is named by its place, what was
//! expected and what stands there.

use crate::laws::Sizes;
use grebeusher_dispatch::ids::mixed;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use rand::distr::weighted::WeightedIndex;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Deserialize;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::Path;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default = "one")]
    pub seed: u64,
    pub length_s: f64,
    /// What comes in the first seconds is not counted.
    #[serde(default)]
    pub settles_s: f64,
    pub nodes: Nodes,
    pub executors: Vec<Executors>,
    pub tariffs: Vec<Tariff>,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub faults: Vec<Fault>,
    pub storm: Option<Storm>,
    /// What the whole fleet may spend, with real nodes that talk.
    #[serde(default)]
    pub budgets: Vec<Budget>,
    /// A plan by which executors are taken out for work, with real nodes that talk.
    pub maintenance: Option<Maintenance>,
}

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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// They die with all that they run, and come back under their old ids, cold.
    KillExecutors,
    /// The list says that they leave; when the time is over they are gone, and back cold a second later.
    DrainExecutors,
    /// They take `factor` times as long.
    SlowExecutors,
    /// They fail everything at once.
    FailExecutors,
    /// Nothing passes between the zone and the others.
    CutZone,
    /// Nodes die with all that they have in hand, and start anew when the time is over.
    RestartNodes,
    DiscoveryDown,
    /// Nobody comes, and the clock runs on.
    Silence,
    /// They are taken from the list and run on, until it has them again.
    UnlistExecutors,
    /// They say that they idle, whatever they do.
    FlatterExecutors,
    /// Nodes stand still and lose nothing: SIGSTOP, then SIGCONT.
    FreezeNodes,
    /// Nodes are told to stop one after the other, evenly over the time, and each is started anew when it has ended.
    StopNodes,
    /// Nodes can open no further descriptor.
    FillDescriptors,
    /// The operators' file of these nodes has another number of `units` for the first budget, and they are told to read it.
    PostBudgets,
    /// What passes between nodes and one `side`: nothing by `way`, later, some of it a second time, nothing on connections
    /// that stand, broken off after so many `bytes`, or only so many bytes a second.
    CutLinks,
    DelayLinks,
    LoseLinks,
    HalfOpenLinks,
    ResetLinks,
    DripLinks,
}

/// Which sides a fault of a link lies between: nodes, and these.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Side {
    #[default]
    Executors,
    Discovery,
    /// Other nodes, by datagrams.
    Fellows,
}

/// What a cut keeps back: all, or what goes from nodes, or what goes to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    #[default]
    Both,
    FromNodes,
    ToNodes,
}

/// Whom or what a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whom {
    Executors,
    Nodes,
    /// Between two zones.
    Zone,
    Links,
    All,
}

impl What {
    pub fn whom(self) -> Whom {
        match self {
            What::KillExecutors
            | What::DrainExecutors
            | What::SlowExecutors
            | What::FailExecutors
            | What::UnlistExecutors
            | What::FlatterExecutors => Whom::Executors,
            What::RestartNodes
            | What::FreezeNodes
            | What::StopNodes
            | What::FillDescriptors
            | What::PostBudgets => Whom::Nodes,
            What::CutZone => Whom::Zone,
            What::DiscoveryDown | What::Silence => Whom::All,
            What::CutLinks
            | What::DelayLinks
            | What::LoseLinks
            | What::HalfOpenLinks
            | What::ResetLinks
            | What::DripLinks => Whom::Links,
        }
    }

    /// Whether only real processes have it.
    fn is_real(self) -> bool {
        self.whom() == Whom::Links
            || matches!(self, What::FreezeNodes | What::StopNodes | What::FillDescriptors | What::PostBudgets)
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub what: What,
    pub at_s: f64,
    pub for_s: f64,
    /// Whom it strikes: a part of all, drawn by chance, those of one zone, or these, by their places.
    pub part: Option<f64>,
    pub zone: Option<String>,
    pub these: Option<Vec<usize>>,
    /// How many times as long slow executors take (2); what passes a link late, of links also: milliseconds (200).
    pub factor: Option<f64>,
    pub delay_ms: Option<f64>,
    /// The part of messages that come a second time, as the first got lost (0.1).
    pub loss: Option<f64>,
    /// After how many a link is reset (200), or how many pass it in a second (2000).
    pub bytes: Option<u64>,
    pub units: Option<u32>,
    #[serde(default)]
    pub side: Side,
    #[serde(default)]
    pub way: Way,
    /// Nodes come back with the list that they had at their first start.
    #[serde(default)]
    pub old_list: bool,
}

/// Faults that a seed draws, within these ranges, beside those that are listed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Storm {
    pub what: Vec<What>,
    pub count: usize,
    pub from_s: f64,
    pub until_s: f64,
    pub shortest_s: f64,
    pub longest_s: f64,
    /// What part is struck at the most.
    pub most_part: f64,
}

impl Storm {
    /// The same for the same seed.
    fn draw(&self, chance: &mut impl Rng, zones: &[String]) -> Vec<Fault> {
        let one = |_| {
            let what = self.what[chance.random_range(0..self.what.len())];
            let for_s = chance.random_range(self.shortest_s..=self.longest_s);
            let part = chance.random_range(0.0..=self.most_part);
            let zone = zones[chance.random_range(0..zones.len())].clone();
            let at_s = chance.random_range(self.from_s..=self.until_s);
            let by_zone = what.whom() == Whom::Zone;
            let all = what.whom() == Whom::All;
            Fault {
                what,
                at_s,
                for_s,
                part: (!by_zone && !all).then_some(part),
                zone: by_zone.then_some(zone),
                these: None,
                factor: None,
                delay_ms: None,
                loss: None,
                bytes: None,
                units: None,
                side: match chance.random::<f64>() {
                    ..0.25 => Side::Discovery,
                    0.25..0.5 => Side::Fellows,
                    _ => Side::Executors,
                },
                way: [Way::Both, Way::FromNodes, Way::ToNodes][chance.random_range(0..3)],
                old_list: chance.random(),
            }
        };
        let mut faults: Vec<Fault> = (0..self.count).map(one).collect();
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        faults
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

impl Fault {
    /// How many times as long slow executors take.
    pub fn slows_by(&self) -> f64 {
        self.factor.unwrap_or(2.0)
    }
}

impl Scenario {
    /// Reads and checks a file; what is wrong is named with it. One that names another as its `base` changes only what it
    /// says: a table key by key, all else whole.
    pub fn of_file(path: &Path) -> Result<Scenario, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let table = table(path, 0)?;
        Scenario::checked(toml::Value::Table(table)).map_err(named)
    }

    /// Reads and checks what a file without a base holds.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let table: toml::Table = toml::from_str(text).map_err(|e| e.to_string())?;
        Scenario::checked(toml::Value::Table(table))
    }

    fn checked(read: toml::Value) -> Result<Scenario, String> {
        let scenario: Scenario = serde_path_to_error::deserialize(read)
            .map_err(|e| format!("{}: {}", e.path(), e.inner().message()))?;
        scenario.check()?;
        Ok(scenario)
    }

    pub fn zone(&self, name: &str) -> Option<usize> {
        self.nodes.zones.iter().position(|zone| zone == name)
    }

    /// The same for another seed, with the storm that it draws.
    pub fn of_seed(&self, seed: u64) -> Scenario {
        let mut scenario = Scenario { seed, ..self.clone() };
        if let Some(storm) = scenario.storm.take() {
            let mut chance = Pcg32::seed_from_u64(mixed(seed));
            scenario.faults.extend(storm.draw(&mut chance, &self.nodes.zones));
        }
        scenario
    }

    /// Each executor's kind, by its place in `executors`, and its zone.
    pub fn places(&self) -> Vec<(usize, usize)> {
        let mut places = Vec::new();
        for (kind, e) in self.executors.iter().enumerate() {
            let own: Vec<usize> = e.zones.iter().filter_map(|name| self.zone(name)).collect();
            for number in 0..e.count {
                let in_turn = places.len() % self.nodes.zones.len();
                places.push((kind, if own.is_empty() { in_turn } else { own[number % own.len()] }));
            }
        }
        places
    }

    /// What comes at each node against the others; `None` where all get as much.
    pub fn shares(&self) -> Option<WeightedIndex<f64>> {
        let n = &self.nodes;
        if n.busiest == 1.0 && n.zone_shares.is_empty() {
            return None;
        }
        let zones = n.zones.len();
        // A zone's share is that of all its nodes together.
        let stand = |zone: usize| (n.count + zones - 1 - zone) / zones;
        let even = |at: usize| n.zone_shares.get(at % zones).map_or(1.0, |s| s / stand(at % zones) as f64);
        let mut shares: Vec<f64> = (0..n.count).map(even).collect();
        shares[0] *= n.busiest;
        // All are above nothing, as was checked.
        WeightedIndex::new(shares).ok()
    }

    /// The place of the first thing that only real processes have.
    pub fn real_only(&self) -> Option<String> {
        const SAYS: &str = "only real processes have this fault, the model can't play it";
        let drawn = self.storm.as_ref().and_then(|storm| storm.what.iter().position(|what| what.is_real()));
        let listed = self.faults.iter().position(|fault| fault.what.is_real());
        let listed = listed.map(|at| format!("faults[{at}].what: {SAYS}"));
        let clocks = (!self.nodes.clocks.is_empty()).then(|| format!("nodes.clocks: {SAYS}"));
        let listed = clocks.or(listed);
        listed.or_else(|| drawn.map(|at| format!("storm.what[{at}]: {SAYS}")))
    }

    /// Whom a fault strikes, out of those that stand in these zones: a part of them, or one zone.
    pub fn whom(&self, fault: &Fault, zones: &[usize], chance: &mut impl Rng) -> Vec<usize> {
        let count = zones.len();
        if let Some(these) = &fault.these {
            return these.iter().copied().filter(|at| *at < count).collect();
        }
        match &fault.zone {
            Some(name) => {
                let zone = self.zone(name);
                (0..count).filter(|&at| Some(zones[at]) == zone).collect()
            }
            None => {
                let part = (fault.part.unwrap_or(0.0) * count as f64).round() as usize;
                let mut picked = sample(chance, count, part).into_vec();
                picked.sort_unstable();
                picked
            }
        }
    }

    /// The mean size of what comes, over all tariffs.
    pub fn mean_size_s(&self) -> f64 {
        let per_s: f64 = self.tariffs.iter().map(|t| t.per_s).sum();
        self.tariffs.iter().map(|t| t.per_s * t.size.mean_s()).sum::<f64>() / per_s
    }

    /// What comes over what all executors can do when warm.
    pub fn load(&self) -> f64 {
        let comes: f64 = self.tariffs.iter().map(|t| t.per_s * t.size.mean_s()).sum();
        comes / self.executors.iter().map(|e| e.count as f64 * e.slots as f64 * e.pace).sum::<f64>()
    }

    /// The same with so much coming that the load is this.
    pub fn at_load(&self, load: f64) -> Scenario {
        let factor = load / self.load();
        let mut scenario = self.clone();
        scenario.tariffs.iter_mut().for_each(|tariff| tariff.per_s *= factor);
        scenario
    }

    #[expect(clippy::too_many_lines, reason = "one check after the other; to be split by section")]
    fn check(&self) -> Result<(), String> {
        const LONG_S: f64 = 1e6;
        const LONG_MS: f64 = 1e9;
        const SHARE: RangeInclusive<f64> = 0.0..=1.0;
        within("length_s", self.length_s, 0.001..=LONG_S)?;
        within("settles_s", self.settles_s, 0.0..=self.length_s)?;
        let nodes = &self.nodes;
        within("nodes.count", nodes.count, 1..=100_000)?;
        within("nodes.progress_ms", nodes.progress_ms, 0.0..=LONG_MS)?;
        within("nodes.most_allocations", nodes.most_allocations, 1..=1000)?;
        within("nodes.told_count", nodes.told_count.unwrap_or(1), 1..=100_000)?;
        if nodes.talk && nodes.told_count.is_some_and(|told| told < nodes.count) {
            return Err(
                "nodes.told_count: expected at least one for each node that talks, as they go by numbers"
                    .to_owned(),
            );
        }
        if !matches!(nodes.keepers, 1 | 3 | 5 | 7) {
            return Err(format!("nodes.keepers: expected 1, 3, 5 or 7, found {}", nodes.keepers));
        }
        if nodes.words && !nodes.talk {
            return Err("nodes.words: expected talk as well, found words alone".to_owned());
        }
        for (at, off) in nodes.clocks.iter().enumerate() {
            let key = |key: &str| format!("nodes.clocks[{at}].{key}");
            within(&key("part"), off.part, 0.0..=1.0)?;
            within(&key("ahead_ms"), off.ahead_ms, -8.64e7..=8.64e7)?;
            within(&key("pace"), off.pace, 0.5..=2.0)?;
        }
        within("nodes.busiest", nodes.busiest, 0.001..=1e6)?;
        if !(nodes.zone_shares.is_empty() || nodes.zone_shares.len() == nodes.zones.len()) {
            return Err(format!("nodes.zone_shares: expected one a zone, found {}", nodes.zone_shares.len()));
        }
        nodes.zone_shares.iter().try_for_each(|&share| within("nodes.zone_shares", share, 0.001..=1e6))?;
        if nodes.zones.is_empty() || nodes.zones.iter().any(std::string::String::is_empty) {
            return Err(format!("nodes.zones: expected at least one name, found {:?}", nodes.zones));
        }
        filled("executors", &self.executors)?;
        for (at, e) in self.executors.iter().enumerate() {
            let key = |key: &str| format!("executors[{at}].{key}");
            within(&key("count"), e.count, 1..=100_000)?;
            within(&key("slots"), e.slots, 1..=100_000)?;
            within(&key("pace"), e.pace, 0.001..=1000.0)?;
            within(&key("cold_share"), e.cold_share, 0.001..=1.0)?;
            within(&key("warm_s"), e.warm_s, 0.0..=LONG_S)?;
            within(&key("error_share"), e.error_share, SHARE)?;
            e.zones.iter().try_for_each(|name| self.check_zone(&key("zones"), name))?;
        }
        filled("tariffs", &self.tariffs)?;
        for (at, t) in self.tariffs.iter().enumerate() {
            let key = |key: &str| format!("tariffs[{at}].{key}");
            within(&key("per_s"), t.per_s, 1e-6..=1e7)?;
            within(&key("quoted_ms"), t.quoted_ms, 1.0..=LONG_MS)?;
            within(&key("patience_ms"), t.patience_ms, 1.0..=LONG_MS)?;
            within(&key("stretch"), t.stretch, 0.0..=1000.0)?;
            within(&key("earnings"), t.earnings, 0.0..=1e9)?;
            within(&key("late_part"), t.late_part, SHARE)?;
            within(&key("hint_cv"), t.hint_cv.unwrap_or(0.0), 0.0..=100.0)?;
            within(&key("size.mean_s"), t.size.mean_s(), 1e-6..=LONG_S)?;
            match t.size {
                Sizes::Lognormal { cv, .. } => within(&key("size.cv"), cv, 0.0..=100.0)?,
                Sizes::Pareto { shape, ratio, .. } => {
                    within(&key("size.shape"), shape, 0.1..=10.0)?;
                    within(&key("size.ratio"), ratio, 1.001..=1e9)?;
                }
                Sizes::Fixed { .. } | Sizes::Exponential { .. } => {}
            }
        }
        let n = &self.network;
        for (key, value, most) in [
            ("delay_ms", n.delay_ms, LONG_MS),
            ("cross_delay_ms", n.cross_delay_ms, LONG_MS),
            ("spread", n.spread, 100.0),
            ("resets", n.resets, 1.0),
            ("handshake_trips", n.handshake_trips, 100.0),
            ("handshake_work_ms", n.handshake_work_ms, LONG_MS),
            ("idle_s", n.idle_s, LONG_S),
            ("dial_within_ms", n.dial_within_ms, LONG_MS),
            ("taken_within_ms", n.taken_within_ms, LONG_MS),
        ] {
            within(&format!("network.{key}"), value, 0.0..=most)?;
        }
        let d = &self.discovery;
        within("discovery.notice_ms", d.notice_ms, 0.0..=LONG_MS)?;
        within("discovery.calls_per_s", d.calls_per_s, 0.001..=1e9)?;
        within("discovery.call_within_ms", d.call_within_ms, 0.0..=LONG_MS)?;
        let c = &self.clients;
        within("clients.repeats", c.repeats, 0..=1000)?;
        within("clients.backoff_ms", c.backoff_ms, 0.0..=LONG_MS)?;
        within("clients.leave_share", c.leave_share, SHARE)?;
        within("clients.front_notice_ms", c.front_notice_ms, 0.0..=LONG_MS)?;
        let r = &self.rules;
        within("rules.drain_grace_ms", r.drain_grace_ms, 0.0..=LONG_MS)?;
        within("rules.cold_share", r.cold_share, SHARE)?;
        within("rules.warm_within_s", r.warm_within_s, 0.0..=LONG_S)?;
        within("rules.fall_factor", r.fall_factor, 0.001..=1e6)?;
        within("rules.fall_window_ms", r.fall_window_ms, 1.0..=LONG_MS)?;
        within("rules.slack_ms", r.slack_ms, 0.0..=LONG_MS)?;
        for (at, budget) in self.budgets.iter().enumerate() {
            let key = |key: &str| format!("budgets[{at}].{key}");
            if !self.tariffs.iter().any(|tariff| tariff.name == budget.tariff) {
                return Err(format!("{}: expected a tariff, found {:?}", key("tariff"), budget.tariff));
            }
            within(&key("units"), budget.units, 1..=1_000_000)?;
            within(&key("window_ms"), budget.window_ms, 10.0..=LONG_MS)?;
            let floors = budget.floor.saturating_mul(nodes.count as u32);
            within(&key("floor, at all nodes"), floors, 0..=budget.units)?;
            if !nodes.talk {
                return Err("budgets: expected nodes that talk".to_owned());
            }
        }
        if let Some(plan) = &self.maintenance {
            within("maintenance.at_s", plan.at_s, 0.0..=self.length_s)?;
            within("maintenance.part", plan.part, 0.001..=1.0)?;
            within("maintenance.most_out", plan.most_out, 1..=100_000)?;
            within("maintenance.most_nodes_out", plan.most_nodes_out, 1..=100_000)?;
            for (at, node) in plan.nodes.iter().enumerate() {
                within(&format!("maintenance.nodes[{at}]"), *node, 0..=nodes.count - 1)?;
            }
            for (at, node) in plan.older.iter().enumerate() {
                within(&format!("maintenance.older[{at}]"), *node, 0..=nodes.count - 1)?;
            }
            within("maintenance.least_ready", plan.least_ready, SHARE)?;
            within("maintenance.work_s", plan.work_s, 0.0..=LONG_S)?;
            within("maintenance.permission_ms", plan.permission_ms, 1000..=600_000)?;
            if !nodes.talk {
                return Err("maintenance: expected nodes that talk".to_owned());
            }
        }
        if let Some(storm) = &self.storm {
            filled("storm.what", &storm.what)?;
            if let Some(at) = storm.what.iter().position(|what| *what == What::PostBudgets) {
                return Err(format!("storm.what[{at}]: expected a fault that can be drawn; list this one"));
            }
            within("storm.count", storm.count, 0..=1000)?;
            within("storm.from_s", storm.from_s, 0.0..=self.length_s)?;
            within("storm.until_s", storm.until_s, storm.from_s..=self.length_s)?;
            within("storm.shortest_s", storm.shortest_s, 0.0..=LONG_S)?;
            within("storm.longest_s", storm.longest_s, storm.shortest_s..=LONG_S)?;
            within("storm.most_part", storm.most_part, SHARE)?;
        }
        self.faults.iter().enumerate().try_for_each(|(at, fault)| self.check_fault(at, fault))
    }

    fn check_zone(&self, key: &str, zone: &str) -> Result<(), String> {
        let zones = self.nodes.zones.join(", ");
        self.zone(zone).map(drop).ok_or_else(|| format!("{key}: expected one of {zones}, found {zone:?}"))
    }

    fn check_fault(&self, at: usize, fault: &Fault) -> Result<(), String> {
        let key = |key: &str| format!("faults[{at}].{key}");
        within(&key("at_s"), fault.at_s, 0.0..=self.length_s)?;
        within(&key("for_s"), fault.for_s, 0.0..=1e6)?;
        within(&key("part"), fault.part.unwrap_or(0.0), 0.0..=1.0)?;
        within(&key("factor"), fault.factor.unwrap_or(1.0), 0.001..=1e6)?;
        within(&key("delay_ms"), fault.delay_ms.unwrap_or(0.0), 0.0..=60_000.0)?;
        within(&key("loss"), fault.loss.unwrap_or(0.0), 0.0..=1.0)?;
        within(&key("bytes"), fault.bytes.unwrap_or(1), 1..=1_000_000_000)?;
        if let Some(zone) = &fault.zone {
            self.check_zone(&key("zone"), zone)?;
        }
        let whom = [fault.part.is_some(), fault.zone.is_some(), fault.these.is_some()];
        if (fault.what == What::PostBudgets) != fault.units.is_some() {
            return Err(format!("{}: expected with post-budgets, and only there", key("units")));
        }
        if let Some(units) = fault.units {
            let floors = self.budgets.first().map(|b| b.floor.saturating_mul(self.nodes.count as u32));
            let floors = floors.ok_or_else(|| format!("{}: expected a budget", key("what")))?;
            within(&key("units"), units, floors.max(1)..=1_000_000)?;
        }
        match fault.what {
            What::CutZone if whom != [false, true, false] => {
                Err(format!("{}: expected a zone, alone", key("zone")))
            }
            What::DiscoveryDown | What::Silence if whom != [false; 3] => {
                Err(format!("{}: expected neither part nor zone nor places with this fault", key("what")))
            }
            What::CutZone | What::DiscoveryDown | What::Silence => Ok(()),
            _ if whom.iter().filter(|by| **by).count() != 1 => {
                Err(format!("{}: expected either a part, a zone or places (these)", key("part")))
            }
            _ => Ok(()),
        }
    }
}

/// What a file holds, over what its base does.
fn table(path: &Path, depth: usize) -> Result<toml::Table, String> {
    const DEEPEST: usize = 4;
    let named = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    let mut own: toml::Table = toml::from_str(&text).map_err(|e| named(e.to_string()))?;
    let Some(base) = own.remove("base") else { return Ok(own) };
    let Some(base) = base.as_str().filter(|_| depth < DEEPEST) else {
        return Err(named(format!(
            "base: expected the name of a file, {DEEPEST} deep at most, found {base}"
        )));
    };
    let mut whole = table(&path.with_file_name(base), depth + 1)?;
    lay(&mut whole, own);
    Ok(whole)
}

fn lay(under: &mut toml::Table, over: toml::Table) {
    for (key, value) in over {
        match (under.get_mut(&key), value) {
            (Some(toml::Value::Table(under)), toml::Value::Table(over)) => lay(under, over),
            (_, value) => drop(under.insert(key, value)),
        }
    }
}

fn within<T: PartialOrd + Display>(key: &str, value: T, range: RangeInclusive<T>) -> Result<(), String> {
    // What is no number at all is in no range.
    if range.contains(&value) {
        return Ok(());
    }
    Err(format!("{key}: expected from {} to {}, found {value}", range.start(), range.end()))
}

fn filled<T>(key: &str, list: &[T]) -> Result<(), String> {
    if list.is_empty() { Err(format!("{key}: expected at least one, found none")) } else { Ok(()) }
}
