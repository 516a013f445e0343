//! Faults of a scenario: those that are listed, and those that a seed draws.

use rand::Rng;
use serde::Deserialize;

/// What goes wrong, or is planned.
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
    pub(super) fn is_real(self) -> bool {
        self.whom() == Whom::Links
            || matches!(self, What::FreezeNodes | What::StopNodes | What::FillDescriptors | What::PostBudgets)
    }
}

/// One of them: when, for how long, and whom it strikes.
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
    pub(super) fn draw(&self, chance: &mut impl Rng, zones: &[String]) -> Vec<Fault> {
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

impl Fault {
    /// How many times as long slow executors take.
    pub fn slows_by(&self) -> f64 {
        self.factor.unwrap_or(2.0)
    }
}
