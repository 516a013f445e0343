//! Further listeners of a node, in a file of the operators' own (`deploy/fronts.toml`): TOML, read and checked as a whole.
//! Without the file there are none.

use crate::error::ConfigError;
use crate::toml_file::{check, check_range, parse, read_file};
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The further listeners of a node.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontendSettings {
    /// The listener of Faktory clients and workers.
    pub faktory: Option<FaktorySettings>,
    /// The log of jobs that outlive the process.
    #[serde(rename = "ledger")]
    pub job_log: Option<JobLogSettings>,
    /// The listeners of other balancers' health checks.
    #[serde(rename = "checks")]
    pub health_checks: Option<HealthCheckSettings>,
}

/// Where other balancers ask whether the node should get traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthCheckSettings {
    /// For agent checks: a line of text on connecting.
    pub agent: Option<SocketAddr>,
    /// For HTTP health calls.
    pub health: Option<SocketAddr>,
    /// Checks that are answered in a second at each address; the others wait. Default 200.
    #[serde(default = "per_s")]
    per_s: u64,
}

fn per_s() -> u64 {
    200 // twenty balancers that ask ten times a second
}

impl HealthCheckSettings {
    /// The time between two checks that are answered, at least.
    pub fn min_interval(&self) -> Duration {
        Duration::from_seconds(1.0 / self.per_s as f64)
    }

    /// How many addresses there are.
    pub fn count(&self) -> usize {
        usize::from(self.agent.is_some()) + usize::from(self.health.is_some())
    }
}

/// The log of jobs that outlive the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobLogSettings {
    /// The folder of the log, on a disk that lasts; of this node alone.
    pub folder: PathBuf,
    /// How long the answer to a job can be asked for, in seconds. Default 600.
    #[serde(default = "keep_answers_s")]
    keep_answers_s: u64,
    /// How many jobs there may be, answered ones that are kept among them. Default 10,000.
    #[serde(default = "max_jobs", rename = "most_jobs")]
    max_jobs: u64,
}

fn keep_answers_s() -> u64 {
    600
}
fn max_jobs() -> u64 {
    10_000
}

impl JobLogSettings {
    /// How long the answer to a job can be asked for.
    pub fn answer_ttl(&self) -> Duration {
        Duration::from_millis(self.keep_answers_s * 1000)
    }

    /// How many jobs there may be.
    pub fn max_jobs(&self) -> usize {
        self.max_jobs as usize
    }
}

/// Where clients push jobs and workers fetch them by the Faktory work protocol.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaktorySettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// What clients and workers must know, if anything.
    pub password: Option<String>,
    /// Descriptors that are reserved for it. Default 64.
    #[serde(default = "max_connections", rename = "most_connections")]
    max_connections: u64,
    /// How long a job waits for its worker's next fetch before it goes elsewhere, in milliseconds. Default 500.
    #[serde(default = "fetch_timeout_ms", rename = "fetched_within_ms")]
    fetch_timeout_ms: u64,
    /// How long a worker may go without a heartbeat before it counts as gone, in seconds. Default 60.
    #[serde(default = "heartbeat_timeout_s", rename = "silent_after_s")]
    heartbeat_timeout_s: u64,
    /// How long a worker may have a job that does not say so, in seconds. Default 1,800.
    #[serde(default = "reservation_s", rename = "reserve_for_s")]
    reservation_s: u64,
}

fn max_connections() -> u64 {
    64
}
fn fetch_timeout_ms() -> u64 {
    500
}
fn heartbeat_timeout_s() -> u64 {
    60 // workers send a heartbeat every 15 s: three were missed
}
fn reservation_s() -> u64 {
    1800 // the default of the protocol
}

impl FaktorySettings {
    /// Descriptors that are reserved for it.
    pub fn max_connections(&self) -> usize {
        self.max_connections as usize
    }

    /// How long a job waits for its worker's next fetch.
    pub fn fetch_timeout(&self) -> Duration {
        Duration::from_millis(self.fetch_timeout_ms)
    }

    /// How long a worker may go without a heartbeat.
    pub fn heartbeat_timeout(&self) -> Duration {
        Duration::from_millis(self.heartbeat_timeout_s * 1000)
    }

    /// How long a worker may have a job that does not say so.
    pub fn reservation(&self) -> Duration {
        Duration::from_millis(self.reservation_s * 1000)
    }
}

impl FrontendSettings {
    /// Reads and checks what a file holds.
    ///
    /// # Errors
    /// The text is no TOML, a key is unknown or of the wrong type, or a value is out of range.
    pub fn read(text: &str) -> Result<FrontendSettings, ConfigError> {
        let settings: FrontendSettings = parse(text)?;
        settings.faktory.as_ref().map_or(Ok(()), FaktorySettings::check)?;
        settings.job_log.as_ref().map_or(Ok(()), JobLogSettings::check)?;
        settings.health_checks.as_ref().map_or(Ok(()), HealthCheckSettings::check)?;
        Ok(settings)
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file can't be read, or what it holds is wrong.
    pub fn of_file(path: &Path) -> Result<FrontendSettings, ConfigError> {
        read_file(path, FrontendSettings::read)
    }
}

impl FaktorySettings {
    fn check(&self) -> Result<(), ConfigError> {
        check_range("faktory.most_connections", self.max_connections, 1..=100_000)?;
        check_range("faktory.fetched_within_ms", self.fetch_timeout_ms, 1..=600_000)?;
        check_range("faktory.silent_after_s", self.heartbeat_timeout_s, 1..=86_400)?;
        check_range("faktory.reserve_for_s", self.reservation_s, 1..=86_400)?;
        check(self.password.as_deref() != Some(""), "faktory.password", "some text", "none")
    }
}

impl JobLogSettings {
    fn check(&self) -> Result<(), ConfigError> {
        check_range("ledger.keep_answers_s", self.keep_answers_s, 1..=30 * 86_400)?;
        check_range("ledger.most_jobs", self.max_jobs, 1..=10_000_000)
    }
}

impl HealthCheckSettings {
    fn check(&self) -> Result<(), ConfigError> {
        check_range("checks.per_s", self.per_s, 1..=100_000)?;
        check(self.count() > 0, "checks", "an agent or a health address", "neither")
    }
}
