//! How the nodes of a fleet behave together, in a file of the operators' own (`deploy/fleet.toml`): TOML, read and checked as
//! a whole. Without the file each node is alone.

use crate::error::ConfigError;
use crate::toml_file::{check, check_range, parse, read_file};
use grebeusher_dispatch::time::Duration;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// The shortest secret, in bytes.
const MIN_SECRET: u64 = 8;

/// What the operators' file says of a fleet.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// What is promised of executors.
    #[serde(default)]
    pub executors: ExecutorPromises,
    /// How the nodes find each other; without it each is alone.
    #[serde(rename = "fellows")]
    pub peers: Option<PeerSettings>,
    /// Which nodes vote on what the fleet agrees on.
    #[serde(rename = "keepers")]
    pub voters: Option<VoterSettings>,
    /// What the fleet may spend.
    pub budgets: Option<BudgetSettings>,
    /// Whether machines are taken out by plans.
    pub maintenance: Option<MaintenanceSettings>,
}

/// Planned maintenance: machines are taken out in an order that the voters agree on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MaintenanceSettings {
    /// How long a node may go on sending without hearing from the voters, in milliseconds. Default 10,000.
    #[serde(default = "permission_ms")]
    permission_ms: u64,
}

fn permission_ms() -> u64 {
    10_000
}

impl MaintenanceSettings {
    /// How long a node may go on sending without hearing from the voters.
    pub fn permission(&self) -> Duration {
        Duration::from_millis(self.permission_ms)
    }
}

/// The nodes that vote on what the fleet agrees on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterSettings {
    /// The numbers of three or five nodes, the same at all nodes. One is enough where its loss may stop everything.
    pub nodes: Vec<u32>,
}

/// What the whole fleet may spend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSettings {
    /// How long a share may be used after it was asked for, in milliseconds. Default 2,000.
    #[serde(default = "lease_ms")]
    lease_ms: u64,
    /// The edition of this list, which grows with each change: the voters go by the newest that any node has read. Default 1.
    #[serde(default = "first_edition")]
    pub edition: u64,
    /// The budgets.
    pub of: Vec<Budget>,
}

fn first_edition() -> u64 {
    1
}

fn lease_ms() -> u64 {
    2000
}

/// A limit on requests, or on what they are sent beyond their first attempts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Its name. Default: its tariff, its customer and `further`, as far as they are given.
    name: Option<String>,
    /// Only requests of this tariff.
    pub tariff: Option<String>,
    /// Only requests of this customer.
    pub customer: Option<String>,
    /// Whether further attempts of these requests are limited, in place of the requests.
    #[serde(default)]
    pub further: bool,
    /// How many in any window, at all nodes together.
    pub units: u32,
    /// The length of a window in milliseconds. Default 1,000.
    #[serde(default = "second_ms")]
    pub window_ms: u64,
    /// What each node has without asking, taken off the total. Default 0.
    #[serde(default)]
    pub floor: u32,
    /// For how many nodes the floor is set aside.
    #[serde(default)]
    pub nodes: u32,
}

fn second_ms() -> u64 {
    1000
}

impl Budget {
    /// Its name, given or derived.
    pub fn name(&self) -> String {
        let named = self.name.clone();
        named.unwrap_or_else(|| {
            let parts = [self.tariff.as_deref(), self.customer.as_deref(), self.further.then_some("further")];
            parts.into_iter().flatten().collect::<Vec<_>>().join(" ")
        })
    }
}

impl BudgetSettings {
    /// How long a share may be used after it was asked for.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

/// How the nodes find and know each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The name of the fleet; messages of another one are dropped.
    pub fleet: String,
    /// The secret of its nodes.
    pub secret: String,
    /// The UDP port, at the address of the listener for clients. Default 7946.
    #[serde(default = "port")]
    pub port: u16,
    /// Where others reach this node, if not there.
    pub known_as: Option<SocketAddr>,
    /// Nodes that are asked first. Some of them are enough, and they may be down.
    pub contacts: Vec<SocketAddr>,
}

fn port() -> u16 {
    7946 // the usual one of protocols of this kind
}

/// What is promised of executors beyond the deployment's settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorPromises {
    /// Whether a recall takes work that waits out of the queue.
    #[serde(default)]
    pub recalls_stop_waiting: bool,
}

impl FleetSettings {
    /// Reads and checks what a file holds.
    ///
    /// # Errors
    /// The text is no TOML, a key is unknown or of the wrong type, a value is out of range, or a section lacks another one
    /// that it rests on.
    pub fn read(text: &str) -> Result<FleetSettings, ConfigError> {
        let fleet: FleetSettings = parse(text)?;
        fleet.peers.as_ref().map_or(Ok(()), PeerSettings::check)?;
        if let Some(voters) = &fleet.voters {
            check(fleet.peers.is_some(), "keepers", "[fellows] as well", "none")?;
            voters.check()?;
        }
        if let Some(maintenance) = &fleet.maintenance {
            check(fleet.voters.is_some(), "maintenance", "[keepers] as well", "none")?;
            check_range("maintenance.permission_ms", maintenance.permission_ms, 1000..=600_000)?;
        }
        if let Some(budgets) = &fleet.budgets {
            check(fleet.voters.is_some(), "budgets", "[keepers] as well", "none")?;
            budgets.check()?;
        }
        Ok(fleet)
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file can't be read, or what it holds is wrong.
    pub fn of_file(path: &Path) -> Result<FleetSettings, ConfigError> {
        read_file(path, FleetSettings::read)
    }
}

impl PeerSettings {
    fn check(&self) -> Result<(), ConfigError> {
        check_range("fellows.fleet, its length", self.fleet.len() as u64, 1..=64)?;
        check_range("fellows.secret, its length", self.secret.len() as u64, MIN_SECRET..=1024)?;
        check_range("fellows.contacts, how many", self.contacts.len() as u64, 1..=64)
    }
}

impl VoterSettings {
    fn check(&self) -> Result<(), ConfigError> {
        let distinct = self.nodes.iter().collect::<BTreeSet<_>>().len();
        let odd = matches!(self.nodes.len(), 1 | 3 | 5 | 7);
        let found = format!("{:?}", self.nodes);
        let expected = "1, 3, 5 or 7 different numbers";
        check(odd && distinct == self.nodes.len(), "keepers.nodes", expected, &found)
    }
}

impl BudgetSettings {
    fn check(&self) -> Result<(), ConfigError> {
        check_range("budgets.lease_ms", self.lease_ms, 200..=600_000)?;
        check_range("budgets.of, how many", self.of.len() as u64, 0..=1000)?;
        let mut names = BTreeSet::new();
        for (index, budget) in self.of.iter().enumerate() {
            let key = format!("budgets.of[{index}]");
            check(budget.limits_something(), &key, "tariff, customer or further", "none")?;
            let name = budget.name();
            let found = format!("{name:?}");
            check(names.insert(name), &format!("{key}.name"), "another than before", &found)?;
            budget.check_numbers(&key)?;
        }
        Ok(())
    }
}

impl Budget {
    fn limits_something(&self) -> bool {
        self.further || self.tariff.is_some() || self.customer.is_some()
    }

    fn check_numbers(&self, key: &str) -> Result<(), ConfigError> {
        check_range(&format!("{key}.units"), self.units.into(), 1..=100_000_000)?;
        check_range(&format!("{key}.window_ms"), self.window_ms, 10..=3_600_000)?;
        let floors = u64::from(self.floor) * u64::from(self.nodes);
        check_range(&format!("{key}, floor times nodes"), floors, 0..=self.units.into())
    }
}
