//! Settings of a node's optional front ends, read from the operators' TOML file `deploy/fronts.toml`. The whole file is
//! checked when it is read. Without the file a node has none of them.

use crate::error::ConfigError;
use crate::toml_file::{check, check_range, parse, read_file};
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The optional front ends of a node; an absent section turns its front end off.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontendSettings {
    /// The listener for Faktory clients and workers.
    pub faktory: Option<FaktorySettings>,
    /// The log that keeps jobs across restarts of the process.
    #[serde(rename = "ledger")]
    pub job_log: Option<JobLogSettings>,
    /// The listeners for health checks by other load balancers.
    #[serde(rename = "checks")]
    pub health_checks: Option<HealthCheckSettings>,
}

/// The addresses at which other load balancers check whether the node should receive traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthCheckSettings {
    /// The listener for agent checks, which answers each connection with a line of text.
    pub agent: Option<SocketAddr>,
    /// The listener for HTTP health checks.
    pub health: Option<SocketAddr>,
    /// The number of checks that are answered per second at each address; further ones wait. Default 200.
    #[serde(default = "default_checks_per_s")]
    per_s: u64,
}

fn default_checks_per_s() -> u64 {
    200 // enough for twenty load balancers that check ten times a second
}

impl HealthCheckSettings {
    /// Returns the minimum time between two answered checks at an address.
    pub fn min_interval(&self) -> Duration {
        Duration::from_seconds(1.0 / self.per_s as f64)
    }

    /// Returns the number of configured addresses.
    pub fn count(&self) -> usize {
        usize::from(self.agent.is_some()) + usize::from(self.health.is_some())
    }
}

/// The log that keeps jobs across restarts of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobLogSettings {
    /// The directory of the log. It must be on a persistent disk, and no other node may use it.
    pub folder: PathBuf,
    /// How long a job's result can be queried, in seconds. Default 600.
    #[serde(default = "default_keep_answers_s")]
    keep_answers_s: u64,
    /// The maximum number of jobs in the log, including completed jobs whose results are kept. Default 10,000.
    #[serde(default = "default_max_jobs", rename = "most_jobs")]
    max_jobs: u64,
}

fn default_keep_answers_s() -> u64 {
    600
}
fn default_max_jobs() -> u64 {
    10_000
}

impl JobLogSettings {
    /// Returns how long a job's result can be queried.
    pub fn answer_ttl(&self) -> Duration {
        Duration::from_millis(self.keep_answers_s * 1000)
    }

    /// Returns the maximum number of jobs in the log.
    pub fn max_jobs(&self) -> usize {
        self.max_jobs as usize
    }
}

/// The listener at which clients push jobs and workers fetch them by the Faktory work protocol.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaktorySettings {
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// The password that clients and workers must present, if any.
    pub password: Option<String>,
    /// The number of file descriptors reserved for its connections. Default 64.
    #[serde(default = "default_max_connections", rename = "most_connections")]
    max_connections: u64,
    /// How long a job waits for the chosen worker's next fetch before it goes to another, in milliseconds. Default 500.
    #[serde(default = "default_fetch_timeout_ms", rename = "fetched_within_ms")]
    fetch_timeout_ms: u64,
    /// The time without a heartbeat after which a worker is considered gone, in seconds. Default 60.
    #[serde(default = "default_heartbeat_timeout_s", rename = "silent_after_s")]
    heartbeat_timeout_s: u64,
    /// How long a worker may hold a job that sets no reservation time itself, in seconds. Default 1,800.
    #[serde(default = "default_reservation_s", rename = "reserve_for_s")]
    reservation_s: u64,
}

fn default_max_connections() -> u64 {
    64
}
fn default_fetch_timeout_ms() -> u64 {
    500
}
fn default_heartbeat_timeout_s() -> u64 {
    60 // workers send a heartbeat every 15 s, so three were missed
}
fn default_reservation_s() -> u64 {
    1800 // the default of the Faktory protocol
}

impl FaktorySettings {
    /// Returns the number of file descriptors reserved for its connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections as usize
    }

    /// Returns how long a job waits for the chosen worker's next fetch.
    pub fn fetch_timeout(&self) -> Duration {
        Duration::from_millis(self.fetch_timeout_ms)
    }

    /// Returns the time without a heartbeat after which a worker is considered gone.
    pub fn heartbeat_timeout(&self) -> Duration {
        Duration::from_millis(self.heartbeat_timeout_s * 1000)
    }

    /// Returns how long a worker may hold a job that sets no reservation time itself.
    pub fn reservation(&self) -> Duration {
        Duration::from_millis(self.reservation_s * 1000)
    }
}

impl FrontendSettings {
    /// Parses and checks the content of a front-end file.
    ///
    /// # Errors
    /// The text is not valid TOML, a key is unknown, or a value has the wrong type or is out of range.
    pub fn read(text: &str) -> Result<FrontendSettings, ConfigError> {
        let settings: FrontendSettings = parse(text)?;
        settings.faktory.as_ref().map_or(Ok(()), FaktorySettings::check)?;
        settings.job_log.as_ref().map_or(Ok(()), JobLogSettings::check)?;
        settings.health_checks.as_ref().map_or(Ok(()), HealthCheckSettings::check)?;
        Ok(settings)
    }

    /// Reads and checks a front-end file.
    ///
    /// # Errors
    /// The file can't be read, or its content is invalid.
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
