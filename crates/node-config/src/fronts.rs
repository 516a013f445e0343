//! Further fronts of a node, in a file of the operators' own: TOML, read and checked whole. Without the file there are
//! none.

use grebeusher_dispatch::time::{Duration, DurationExt};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fronts {
    pub faktory: Option<Faktory>,
    pub ledger: Option<Ledger>,
    pub checks: Option<Checks>,
}

/// Where other balancers ask whether the node should get traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checks {
    /// For agent checks: a line of text on connecting.
    pub agent: Option<SocketAddr>,
    /// For HTTP health calls.
    pub health: Option<SocketAddr>,
    /// So many a second at each address are answered; the others wait.
    #[serde(default = "per_s")]
    per_s: u64,
}

fn per_s() -> u64 {
    200 // twenty balancers that ask ten times a second
}

impl Checks {
    /// The least time between two that are answered.
    pub fn apart(&self) -> Duration {
        Duration::from_seconds(1.0 / self.per_s as f64)
    }

    /// How many addresses there are.
    pub fn count(&self) -> usize {
        usize::from(self.agent.is_some()) + usize::from(self.health.is_some())
    }
}

/// Jobs that outlive the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// On a disk that lasts, and of this node alone.
    pub folder: PathBuf,
    /// How long the answer to a job can be asked for.
    #[serde(default = "keep_answers_s")]
    keep_answers_s: u64,
    /// How many jobs there may be, those that are answered and kept among them.
    #[serde(default = "most_jobs")]
    most_jobs: u64,
}

fn keep_answers_s() -> u64 {
    600
}
fn most_jobs() -> u64 {
    10_000
}

impl Ledger {
    pub fn keep_answers(&self) -> Duration {
        Duration::from_millis(self.keep_answers_s * 1000)
    }

    pub fn most_jobs(&self) -> usize {
        self.most_jobs as usize
    }
}

/// Where clients push jobs and workers fetch them by the Faktory work protocol.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faktory {
    pub listen: SocketAddr,
    /// What clients and workers must know, if anything.
    pub password: Option<String>,
    /// Descriptors that are set aside for it.
    #[serde(default = "most_connections")]
    most_connections: u64,
    /// How long a job waits for its worker's next fetch before it goes elsewhere.
    #[serde(default = "fetched_within_ms")]
    fetched_within_ms: u64,
    /// After how long without a heartbeat a worker counts as gone.
    #[serde(default = "silent_after_s")]
    silent_after_s: u64,
    /// How long a worker may have a job that does not say so.
    #[serde(default = "reserve_for_s")]
    reserve_for_s: u64,
}

fn most_connections() -> u64 {
    64
}
fn fetched_within_ms() -> u64 {
    500
}
fn silent_after_s() -> u64 {
    60 // workers beat every 15 s: three were missed
}
fn reserve_for_s() -> u64 {
    1800 // the protocol's own
}

impl Faktory {
    pub fn most_connections(&self) -> usize {
        self.most_connections as usize
    }

    pub fn fetched_within(&self) -> Duration {
        Duration::from_millis(self.fetched_within_ms)
    }

    pub fn silent_after(&self) -> Duration {
        Duration::from_millis(self.silent_after_s * 1000)
    }

    pub fn reserve_for(&self) -> Duration {
        Duration::from_millis(self.reserve_for_s * 1000)
    }
}

impl Fronts {
    /// Reads and checks what a file holds; the error names the key and what was expected.
    pub fn read(text: &str) -> Result<Fronts, String> {
        let fronts: Fronts = parsed(text)?;
        if let Some(f) = &fronts.faktory {
            within("faktory.most_connections", f.most_connections, 1..=100_000)?;
            within("faktory.fetched_within_ms", f.fetched_within_ms, 1..=600_000)?;
            within("faktory.silent_after_s", f.silent_after_s, 1..=86_400)?;
            within("faktory.reserve_for_s", f.reserve_for_s, 1..=86_400)?;
            if f.password.as_deref() == Some("") {
                return Err("faktory.password: expected some text, found none".to_owned());
            }
        }
        if let Some(l) = &fronts.ledger {
            within("ledger.keep_answers_s", l.keep_answers_s, 1..=30 * 86_400)?;
            within("ledger.most_jobs", l.most_jobs, 1..=10_000_000)?;
        }
        if let Some(c) = &fronts.checks {
            within("checks.per_s", c.per_s, 1..=100_000)?;
            if c.count() == 0 {
                return Err("checks: expected an agent or a health address, found neither".to_owned());
            }
        }
        Ok(fronts)
    }

    pub fn of_file(path: &Path) -> Result<Fronts, String> {
        of_file(path, Fronts::read)
    }
}

/// TOML, read as it says; what is wrong is named by its place.
pub(crate) fn parsed<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let read = toml::Deserializer::parse(text).map_err(|e| e.to_string())?;
    serde_path_to_error::deserialize(read).map_err(|e| format!("{}: {}", e.path(), e.inner().message()))
}

/// What a file of the operators holds; what is wrong is named with the file.
pub(crate) fn of_file<T>(path: &Path, read: impl Fn(&str) -> Result<T, String>) -> Result<T, String> {
    let named = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    read(&text).map_err(named)
}

pub(crate) fn within(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), String> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(format!("{key}: expected a whole number from {} to {}, found {value}", range.start(), range.end()))
}
