//! How the nodes of a fleet behave together, in a file of the operators' own: TOML, read and checked whole. Without the file
//! each node is alone.

use crate::fronts::{of_file, parsed, within};
use grebeusher_dispatch::time::Duration;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    #[serde(default)]
    pub executors: Executors,
    pub fellows: Option<Fellows>,
    pub keepers: Option<Keepers>,
    pub budgets: Option<Budgets>,
    pub maintenance: Option<Maintenance>,
}

/// Machines are taken out for work by a plan that staff hand in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Maintenance {
    /// How long a node may send on without a word of the keepers.
    #[serde(default = "ten_s_ms")]
    permission_ms: u64,
}

fn ten_s_ms() -> u64 {
    10_000
}

impl Maintenance {
    pub fn permission(&self) -> Duration {
        Duration::from_millis(self.permission_ms)
    }
}

/// Who keeps what the nodes agree on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keepers {
    /// The numbers of three or five nodes, the same at all nodes. One is enough where its loss may stop everything.
    pub nodes: Vec<u32>,
}

/// What the whole fleet may spend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    /// How long a part may be used after it was asked for.
    #[serde(default = "lease_ms")]
    lease_ms: u64,
    /// Grows with each change of what follows: the keepers go by the newest that any node has read.
    #[serde(default = "first")]
    pub edition: u64,
    pub of: Vec<Budget>,
}

fn first() -> u64 {
    1
}

fn lease_ms() -> u64 {
    2000
}

/// Work units, or what they are sent beyond their first allocations.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// What it is called; without it after its tariff, its customer, or `further`.
    name: Option<String>,
    /// Only those of this tariff, and of this customer.
    pub tariff: Option<String>,
    pub customer: Option<String>,
    /// Further allocations of these units, in place of the units.
    #[serde(default)]
    pub further: bool,
    /// In any window, at all nodes together.
    pub units: u32,
    #[serde(default = "second_ms")]
    pub window_ms: u64,
    /// What each node has without asking, off the whole, and for how many nodes.
    #[serde(default)]
    pub floor: u32,
    #[serde(default)]
    pub nodes: u32,
}

fn second_ms() -> u64 {
    1000
}

impl Budget {
    pub fn name(&self) -> String {
        let named = self.name.clone();
        named.unwrap_or_else(|| {
            let parts = [self.tariff.as_deref(), self.customer.as_deref(), self.further.then_some("further")];
            parts.into_iter().flatten().collect::<Vec<_>>().join(" ")
        })
    }
}

impl Budgets {
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

/// How the nodes find and know each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fellows {
    /// What the fleet is called; what comes from another is dropped.
    pub fleet: String,
    /// What only its nodes know.
    pub secret: String,
    /// The UDP port, at the address at which clients are listened to.
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

/// What is promised of executors beyond the posting.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Executors {
    /// A recall takes work that waits out of the queue.
    #[serde(default)]
    pub recalls_stop_waiting: bool,
}

impl Fleet {
    /// Reads and checks what a file holds; the error names the key and what was expected.
    pub fn read(text: &str) -> Result<Fleet, String> {
        const SHORTEST: usize = 8;
        let fleet: Fleet = parsed(text)?;
        if let Some(f) = &fleet.fellows {
            within("fellows.fleet, its length", f.fleet.len() as u64, 1..=64)?;
            within("fellows.secret, its length", f.secret.len() as u64, SHORTEST as u64..=1024)?;
            within("fellows.contacts, how many", f.contacts.len() as u64, 1..=64)?;
        }
        if let Some(k) = &fleet.keepers {
            if fleet.fellows.is_none() {
                return Err("keepers: expected [fellows] as well, found none".to_owned());
            }
            let different = k.nodes.iter().collect::<BTreeSet<_>>().len();
            if !matches!(k.nodes.len(), 1 | 3 | 5 | 7) || different < k.nodes.len() {
                let found = &k.nodes;
                return Err(format!(
                    "keepers.nodes: expected 1, 3, 5 or 7 different numbers, found {found:?}"
                ));
            }
        }
        if let Some(m) = &fleet.maintenance {
            if fleet.keepers.is_none() {
                return Err("maintenance: expected [keepers] as well, found none".to_owned());
            }
            within("maintenance.permission_ms", m.permission_ms, 1000..=600_000)?;
        }
        if let Some(b) = &fleet.budgets {
            if fleet.keepers.is_none() {
                return Err("budgets: expected [keepers] as well, found none".to_owned());
            }
            within("budgets.lease_ms", b.lease_ms, 200..=600_000)?;
            within("budgets.of, how many", b.of.len() as u64, 0..=1000)?;
            let mut names = BTreeSet::new();
            for (at, budget) in b.of.iter().enumerate() {
                if !budget.further && budget.tariff.is_none() && budget.customer.is_none() {
                    return Err(format!(
                        "budgets.of[{at}]: expected tariff, customer or further, found none"
                    ));
                }
                let name = budget.name();
                if !names.insert(name.clone()) {
                    return Err(format!(
                        "budgets.of[{at}].name: expected another than before, found {name:?}"
                    ));
                }
                within(&format!("budgets.of[{at}].units"), budget.units.into(), 1..=100_000_000)?;
                within(&format!("budgets.of[{at}].window_ms"), budget.window_ms, 10..=3_600_000)?;
                let floors = u64::from(budget.floor) * u64::from(budget.nodes);
                within(&format!("budgets.of[{at}], floor times nodes"), floors, 0..=budget.units.into())?;
            }
        }
        Ok(fleet)
    }

    pub fn of_file(path: &Path) -> Result<Fleet, String> {
        of_file(path, Fleet::read)
    }
}
