//! Settings that all nodes of a fleet share, read from the operators' TOML file `deploy/fleet.toml`. The whole file is
//! checked when it is read. Without the file each node works alone.

use crate::error::ConfigError;
use crate::toml_file::{check, check_range, parse, read_file};
use grebeusher_dispatch::time::Duration;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// The minimum length of the fleet's secret in bytes.
const MIN_SECRET_BYTES: u64 = 8;

/// The content of the operators' fleet file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Behaviour of the executors that the nodes may rely on.
    #[serde(default)]
    pub executors: ExecutorPromises,
    /// How the nodes find each other. Without this section each node works alone.
    #[serde(rename = "fellows")]
    pub peers: Option<PeerSettings>,
    /// The nodes that vote on the fleet's shared decisions.
    #[serde(rename = "keepers")]
    pub voters: Option<VoterSettings>,
    /// The request budgets that the whole fleet shares.
    pub budgets: Option<BudgetSettings>,
    /// Settings of planned maintenance. Without this section maintenance plans are off.
    pub maintenance: Option<MaintenanceSettings>,
}

/// Settings of planned maintenance, in which machines are taken out of service in an order that the voters agree on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MaintenanceSettings {
    /// How long a node may keep sending to executors without hearing from the voters, in milliseconds. Default 10,000.
    #[serde(default = "default_permission_ms")]
    permission_ms: u64,
}

fn default_permission_ms() -> u64 {
    10_000
}

impl MaintenanceSettings {
    /// Returns how long a node may keep sending to executors without hearing from the voters.
    pub fn permission(&self) -> Duration {
        Duration::from_millis(self.permission_ms)
    }
}

/// The nodes that vote on the fleet's shared decisions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterSettings {
    /// The numbers of the voting nodes, usually three or five; all nodes must have the same list. A single voter is enough
    /// where its loss may stop the fleet.
    pub nodes: Vec<u32>,
}

/// The request budgets that the whole fleet shares.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSettings {
    /// How long a node may use its share of a budget after asking for it, in milliseconds. Default 2,000.
    #[serde(default = "default_lease_ms")]
    lease_ms: u64,
    /// The version of this list, which the operators increase with each change. The voters use the newest version that any
    /// node has read. Default 1.
    #[serde(default = "default_edition")]
    pub edition: u64,
    /// The list of budgets.
    pub of: Vec<Budget>,
}

fn default_edition() -> u64 {
    1
}

fn default_lease_ms() -> u64 {
    2000
}

/// A limit on the number of requests in a window, or on the number of their further attempts after the first.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The name of the budget. By default it joins the tariff, the customer and the word `further`, as far as set.
    name: Option<String>,
    /// The tariff to which the budget is restricted, if any.
    pub tariff: Option<String>,
    /// The customer to whom the budget is restricted, if any.
    pub customer: Option<String>,
    /// Whether the budget limits further attempts of the requests in place of the requests themselves.
    #[serde(default)]
    pub further: bool,
    /// The number of requests or attempts that all nodes together may send in any window.
    pub units: u32,
    /// The length of a window in milliseconds. Default 1,000.
    #[serde(default = "default_window_ms")]
    pub window_ms: u64,
    /// The number of units per window that each node may use without asking; it is subtracted from the total. Default 0.
    #[serde(default)]
    pub floor: u32,
    /// The number of nodes for which the floor is reserved. Default 0.
    #[serde(default)]
    pub nodes: u32,
}

fn default_window_ms() -> u64 {
    1000
}

impl Budget {
    /// Returns the configured name, or the default derived from the other keys.
    pub fn name(&self) -> String {
        let configured_name = self.name.clone();
        configured_name.unwrap_or_else(|| {
            let parts = [self.tariff.as_deref(), self.customer.as_deref(), self.further.then_some("further")];
            parts.into_iter().flatten().collect::<Vec<_>>().join(" ")
        })
    }
}

impl BudgetSettings {
    /// Returns how long a node may use its share of a budget after asking for it.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

/// How the nodes of a fleet find and authenticate each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The name of the fleet. Messages from another fleet are dropped.
    pub fleet: String,
    /// The secret that the nodes of the fleet share.
    pub secret: String,
    /// The UDP port for messages between nodes, on the IP address of the client listener. Default 7946.
    #[serde(default = "default_port")]
    pub port: u16,
    /// The address at which other nodes reach this one, if it differs from the client listener's address and `port`.
    pub known_as: Option<SocketAddr>,
    /// The nodes that this one contacts first. A part of the fleet is enough, and some of them may be down.
    pub contacts: Vec<SocketAddr>,
}

fn default_port() -> u16 {
    7946 // the usual port of gossip membership protocols
}

/// Behaviour of the executors that the nodes may rely on, in addition to the deployment's settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorPromises {
    /// Whether cancelling an attempt removes work that still waits from the executor's queue.
    #[serde(default)]
    pub recalls_stop_waiting: bool,
}

impl FleetSettings {
    /// Parses and checks the content of a fleet file.
    ///
    /// # Errors
    /// The text is not valid TOML, a key is unknown, a value has the wrong type or is out of range, or a section is present
    /// without another section that it requires.
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

    /// Reads and checks a fleet file.
    ///
    /// # Errors
    /// The file can't be read, or its content is invalid.
    pub fn of_file(path: &Path) -> Result<FleetSettings, ConfigError> {
        read_file(path, FleetSettings::read)
    }
}

impl PeerSettings {
    fn check(&self) -> Result<(), ConfigError> {
        check_range("fellows.fleet, its length", self.fleet.len() as u64, 1..=64)?;
        check_range("fellows.secret, its length", self.secret.len() as u64, MIN_SECRET_BYTES..=1024)?;
        check_range("fellows.contacts, how many", self.contacts.len() as u64, 1..=64)
    }
}

impl VoterSettings {
    fn check(&self) -> Result<(), ConfigError> {
        let distinct = self.nodes.iter().collect::<BTreeSet<_>>().len();
        let allowed_count = matches!(self.nodes.len(), 1 | 3 | 5 | 7);
        let found = format!("{:?}", self.nodes);
        let expected = "1, 3, 5 or 7 different numbers";
        check(allowed_count && distinct == self.nodes.len(), "keepers.nodes", expected, &found)
    }
}

impl BudgetSettings {
    fn check(&self) -> Result<(), ConfigError> {
        check_range("budgets.lease_ms", self.lease_ms, 200..=600_000)?;
        check_range("budgets.of, how many", self.of.len() as u64, 0..=1000)?;
        let mut names = BTreeSet::new();
        for (index, budget) in self.of.iter().enumerate() {
            let key = format!("budgets.of[{index}]");
            check(budget.has_criterion(), &key, "tariff, customer or further", "none")?;
            let name = budget.name();
            let found = format!("{name:?}");
            check(names.insert(name), &format!("{key}.name"), "another than before", &found)?;
            budget.check_values(&key)?;
        }
        Ok(())
    }
}

impl Budget {
    fn has_criterion(&self) -> bool {
        self.further || self.tariff.is_some() || self.customer.is_some()
    }

    fn check_values(&self, key: &str) -> Result<(), ConfigError> {
        check_range(&format!("{key}.units"), self.units.into(), 1..=100_000_000)?;
        check_range(&format!("{key}.window_ms"), self.window_ms, 10..=3_600_000)?;
        let reserved_units = u64::from(self.floor) * u64::from(self.nodes);
        check_range(&format!("{key}, floor times nodes"), reserved_units, 0..=self.units.into())
    }
}
