//! The types of a configuration. They are filled by [`super::parse`] and checked by [`super::validate`]; nothing else
//! makes them.

use super::traffic::TrafficSplit;
use crate::names::{HostName, ModelName, RouteName, ServiceName};
use std::sync::Arc;

/// A complete configuration that has passed all checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Above 0, at most 2^53. Versions go up in uneven steps.
    pub version: u64,
    /// In the order of the body; no two have the same host and prefix.
    pub routes: Vec<Route>,
    /// In the order of the body; no two have the same name.
    pub services: Vec<Service>,
    /// What clients are held to.
    pub limits: ClientLimits,
}

/// Where requests of one host under one prefix go, and on what terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, which the checks do not need to be unique.
    pub name: RouteName,
    /// In lower case, without a port.
    pub hostname: HostName,
    /// Begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What kind of requests it carries.
    pub route_type: RouteType,
    /// The deadline of a request in milliseconds; above 0.
    pub timeout_ms: u64,
    /// The latency target in milliseconds: an answer within it has its full value. Default: `timeout_ms`.
    pub target_latency_ms: u64,
    /// Rank, 0 is highest. Default 0.
    pub priority_level: u32,
    /// The services that requests go to.
    pub traffic: TrafficSplit,
    /// The largest number of executors that one attempt may be sent to; at least 1. Default 1.
    pub max_attempts: u32,
    /// Whether requests name the shared parts of their prompts. Default false.
    pub session_affinity: bool,
    /// Whether a stream may go on at another executor after its last event. Default false.
    pub resumable: bool,
    /// The longest pause between events that keeps an answer in time, in milliseconds. Default: none.
    pub event_gap_target_ms: Option<u64>,
    /// How long after a batch job's first submission every result is due, in milliseconds. Default: none.
    pub completion_target_ms: Option<u64>,
    /// The time after that send at which an item may be given up, in seconds. Default: none.
    pub retention_s: Option<f64>,
    /// How many tokens may wait on the route; 0 is no limit. Default 0.
    pub queue_token_limit: u64,
}

impl Route {
    /// Whether a request may run more than once: an idempotent one, a stream that may be resumed, and
    /// any item of a batch job.
    pub fn may_run_again(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent | RouteType::Bulk => true,
            RouteType::Streaming => self.resumable,
            RouteType::NonIdempotent => false,
        }
    }
}

/// What kind of requests a route carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteType {
    /// The answer is a series of events.
    Streaming,
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once per attempt.
    NonIdempotent,
    /// Batch jobs; any of their items may run more than once.
    Bulk,
}

/// A service that executors register under.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name that routes and executors give.
    pub name: ServiceName,
    /// Where executors answer health checks. Default `/health`.
    pub health_path: String,
    /// What an executor accepts from all callers together. Default: not known.
    pub max_connections: Option<u32>,
    /// What its executors speak. Default HTTP/1.1.
    pub protocol: Protocol,
    /// Whether executors of the service expect TLS. Default false.
    pub tls_mode: bool,
    /// Given where the executors run models.
    pub engine_type: Option<EngineType>,
}

/// What executors of a service speak.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// A protocol that this version doesn't know.
    Other(String),
}

/// The model engine of a service's executors. Figures that are not given are 0, which means not known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineType {
    /// Requests that run at once.
    pub slot_count: u32,
    /// Memory for running requests and cached parts, in tokens.
    pub kv_capacity_tokens: u64,
    /// Memory of one token, in bytes.
    pub token_kv_bytes: u64,
    /// The bandwidth of the executor's link in megabits a second.
    pub link_mbps: f64,
    /// The page names it without a meaning.
    pub stride: u64,
    /// The models that its executors hold; empty where the configuration names none.
    pub models: Vec<Model>,
}

/// A model that executors of a service hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The name that requests give.
    pub name: ModelName,
    /// The version of its weights, where the configuration sets one.
    pub config_version: Option<u64>,
}

/// What a client may send and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The largest header of a request, in bytes. Default 16384.
    pub max_header_bytes: u64,
    /// The largest body of a request, in bytes. Default 4194304.
    pub max_body_bytes: u64,
    /// How long the header of a request may take, in milliseconds. Default 3000.
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle, in milliseconds. Default 15000.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}
