//! Scenarios: the shape of a fleet, its traffic, and its faults, as TOML.

mod trouble;

pub use trouble::{BrokenAnswer, CutFrom, Fault, Flaw, Grey, On, WrongKind};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};

/// A whole scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The machines.
    pub shape: Shape,
    /// What clients and executors do.
    #[serde(default)]
    pub load: Load,
    /// What goes wrong, and what is planned. Empty: drawn from the seed.
    #[serde(default)]
    pub faults: Vec<Timed>,
    /// The final fault.
    #[serde(default)]
    pub closing: Option<Closing>,
    /// What the final fault waits for.
    #[serde(default)]
    pub closing_when: When,
    /// Faults of the machines that no machine should have, to show that they are found.
    #[serde(default)]
    pub broken: Broken,
}

/// The machines of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Its zones.
    pub zones: Vec<ZoneShape>,
    /// Counted machines that may be lost at once.
    pub losses: u32,
    /// Between machines of one zone, in milliseconds.
    #[serde(default = "in_zone_ms")]
    pub in_zone_ms: f64,
    /// Between zones, in milliseconds.
    #[serde(default = "cross_zone_ms")]
    pub cross_zone_ms: f64,
    /// Between regions, in milliseconds.
    #[serde(default = "cross_region_ms")]
    pub cross_region_ms: f64,
    /// What a sync takes, in milliseconds.
    #[serde(default = "sync_ms")]
    pub sync_ms: f64,
    /// What the link of a storage machine carries, in megabits a second; without a bound if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub storage_link_mbps: Option<f64>,
}

/// The machines of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneShape {
    /// Its name.
    pub name: String,
    /// Its region's name.
    #[serde(default = "region")]
    pub region: String,
    /// Edge machines.
    pub edge: usize,
    /// How many of them have a disk, and count.
    pub disks: usize,
    /// Storage machines.
    pub storage: usize,
}

/// What clients and executors do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Seconds of traffic before a final fault.
    pub length_s: f64,
    /// Seconds from the start of the machines to the traffic.
    pub lead_s: f64,
    /// Live requests a second.
    pub live_per_s: f64,
    /// Batch jobs a second.
    pub jobs_per_s: f64,
    /// Seconds from the start of traffic in which batch jobs come; all of them if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub jobs_for_s: Option<f64>,
    /// Probes a second of which configuration is in force.
    pub probes_per_s: f64,
    /// Executors of each service.
    pub executors: usize,
    /// Requests at once of each.
    pub slots: usize,
    /// The limit of waiting tokens on each bulk route.
    pub quota: u64,
    /// Bytes of the body of each live request with a body, beside up to 3,000.
    pub upload_bytes: usize,
    /// Bytes of each item's body, beside a few.
    pub item_bytes: usize,
    /// Bytes of each event of an item, beside a few.
    pub event_bytes: usize,
    /// Routes that nobody asks for. Real tables are long, so that a log of them does not fit one message between nodes.
    pub ballast_routes: usize,
    /// Reads a second of the configuration by an operator.
    pub reads_per_s: f64,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            length_s: 20.0,
            lead_s: 8.0,
            live_per_s: 25.0,
            jobs_per_s: 1.0,
            jobs_for_s: None,
            probes_per_s: 8.0,
            executors: 4,
            slots: 8,
            quota: 20_000,
            upload_bytes: 0,
            item_bytes: 30,
            event_bytes: 0,
            ballast_routes: 60,
            reads_per_s: 4.0,
        }
    }
}

/// A fault, and when it begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Timed {
    /// Seconds from the start of traffic.
    pub at_s: f64,
    /// What happens.
    #[serde(flatten)]
    pub fault: Fault,
}

/// How a final fault strikes, right after a change was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Closing {
    /// All machines lose power.
    PowerOffAll,
    /// All processes are killed.
    KillAll,
    /// As many machines as may be lost lose their disks.
    WipeSome,
    /// The same, and all others lose power.
    WipeSomePowerOffAll,
}

/// What a final fault waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum When {
    /// A change was acknowledged.
    #[default]
    Acknowledged,
    /// A batch job was accepted.
    Taken,
    /// A change was sent some time ago, acknowledged or not.
    Timed,
}

/// What is taken out, to show that the rules notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Broken {
    /// Syncs of disks only pretend.
    pub pretended_syncs: bool,
    /// From the start of traffic two edge machines without a disk hear and say nothing to the other nodes, and the rules
    /// don't know of it: as though they never heard of drains and changes, and all went on as if they had.
    pub hidden_cut: bool,
}

/// Why a scenario can't be had.
#[derive(Debug, Snafu)]
pub enum ScenarioError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The text is wrong.
    #[snafu(display("{}: {source}", path.display()))]
    Text {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: toml::de::Error,
    },
}

impl Scenario {
    /// Reads a file.
    ///
    /// # Errors
    /// It can't be read or is wrong.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        toml::from_str(&text).context(TextSnafu { path })
    }

    /// Whether versions of services are rolled out.
    pub fn has_rollouts(&self) -> bool {
        self.faults.iter().any(|timed| matches!(timed.fault, Fault::Rollout { .. }))
    }

    /// As a file.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}

fn in_zone_ms() -> f64 {
    0.2
}

fn cross_zone_ms() -> f64 {
    0.5
}

fn cross_region_ms() -> f64 {
    20.0
}

fn region() -> String {
    "region".to_owned()
}

fn sync_ms() -> f64 {
    0.5
}
