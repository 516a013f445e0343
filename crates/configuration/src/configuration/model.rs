//! The types of a configuration. [`super::parse`] creates their values and [`super::validate`] checks them; no other
//! code creates them.

use super::traffic::TrafficSplit;
use crate::names::{HostName, ModelName, RouteName, ServiceName};
use std::sync::Arc;

/// A complete configuration that has passed all validation.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The version of the configuration, which is above 0 and at most 2^53. Versions rise in steps of any size.
    pub version: u64,
    /// The routes in the order of the body. No two routes have the same host and prefix.
    pub routes: Vec<Route>,
    /// The services in the order of the body. No two services have the same name.
    pub services: Vec<Service>,
    /// The limits that apply to clients.
    pub limits: ClientLimits,
}

/// Says to which services the requests for one host under one path prefix go, and which deadlines and limits apply.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route, which need not be unique.
    pub name: RouteName,
    /// The host of the requests, in lower case and without a port.
    pub hostname: HostName,
    /// The prefix of the paths of the requests. It begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// The kind of the requests.
    pub route_type: RouteType,
    /// The time until the deadline of a request, in milliseconds; above 0.
    pub timeout_ms: u64,
    /// The latency target in milliseconds; an answer within this time has its full value. The default is `timeout_ms`.
    pub target_latency_ms: u64,
    /// The priority of the requests; 0 is the highest. The default is 0.
    pub priority_level: u32,
    /// The services that the requests go to, with their weights.
    pub traffic: TrafficSplit,
    /// The largest number of executors that one attempt may be sent to; at least 1. The default is 1.
    pub max_attempts: u32,
    /// Whether requests name the parts of their prompts that they share with others. The default is false.
    pub session_affinity: bool,
    /// Whether another executor may continue a stream after the last event that was sent. The default is false.
    pub resumable: bool,
    /// The longest pause between two events of an answer that counts as in time, in milliseconds. By default there is
    /// no such limit.
    pub event_gap_target_ms: Option<u64>,
    /// The time after the first submission of a batch job at which all its results are due, in milliseconds. By default
    /// there is no such time.
    pub completion_target_ms: Option<u64>,
    /// The time after the first submission of a batch job at which its items may be given up, in seconds. By default
    /// there is no such time.
    pub retention_s: Option<f64>,
    /// The maximum number of tokens of the requests that wait on the route; 0 means no limit. The default is 0.
    pub queue_token_limit: u64,
}

impl Route {
    /// Whether a request of this route may run more than once. This holds for idempotent requests, streams that may be
    /// resumed, and items of batch jobs.
    pub fn may_run_again(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent | RouteType::Bulk => true,
            RouteType::Streaming => self.resumable,
            RouteType::NonIdempotent => false,
        }
    }
}

/// The kind of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteType {
    /// The answer is a series of events.
    Streaming,
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once per attempt.
    NonIdempotent,
    /// The requests are items of batch jobs; each item may run more than once.
    Bulk,
}

/// A service that executors register under.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name by which routes and executors refer to the service.
    pub name: ServiceName,
    /// The path at which executors answer health checks. The default is `/health`.
    pub health_path: String,
    /// The number of connections that one executor accepts from all callers together. By default it is not known.
    pub max_connections: Option<u32>,
    /// The protocol of the executors. The default is HTTP/1.1.
    pub protocol: Protocol,
    /// Whether executors of the service expect TLS. The default is false.
    pub tls_mode: bool,
    /// The model engine of the executors; `None` if they run no models.
    pub engine_type: Option<EngineType>,
}

/// The protocol of the executors of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// A protocol that this version of the program does not support.
    Other(String),
}

/// The model engine of the executors of a service. A number that the configuration does not give is 0, which means that
/// it is not known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineType {
    /// The number of requests that one executor runs at the same time.
    pub slot_count: u32,
    /// The capacity of the key-value cache, in tokens. The cache holds the tokens of running requests and cached parts
    /// of prompts.
    pub kv_capacity_tokens: u64,
    /// The memory that one token takes in the key-value cache, in bytes.
    pub token_kv_bytes: u64,
    /// The bandwidth of the network link of one executor, in megabits a second.
    pub link_mbps: f64,
    /// The specification of the configuration lists this field without saying what it means.
    pub stride: u64,
    /// The models that the executors hold; empty if the configuration names none.
    pub models: Vec<Model>,
}

/// A model that the executors of a service hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The name by which requests refer to the model.
    pub name: ModelName,
    /// The version of the weights of the model, if the configuration sets one.
    pub config_version: Option<u64>,
}

/// Limits on the size and duration of requests, and on the idle time of client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The maximum size of the header of a request, in bytes. The default is 16384.
    pub max_header_bytes: u64,
    /// The maximum size of the body of a request, in bytes. The default is 4194304.
    pub max_body_bytes: u64,
    /// The maximum time until the header of a request has arrived, in milliseconds. The default is 3000.
    pub header_timeout_ms: u64,
    /// The maximum time that a connection may stay idle, in milliseconds. The default is 15000.
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
