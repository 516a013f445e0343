//! Connects the `Gateway`, which chooses executors, to the configuration, the registry and the requests of this node.
//!
//! `Routing` owns the `Gateway` and the ids of its executors. The services and executors of the gateway are updated here only,
//! when the configuration or the registry has changed.

use crate::control::active_configuration::ActiveConfiguration;
use crate::requests::header_names as names;
use crate::requests::upstream_connection::ExecutorTarget;
use crate::requests::version_permissions::{VersionDecision, VersionPermissions};
use grebeusher_batch::RunRequest;
use grebeusher_configuration::configuration::Route;
use grebeusher_gateway::{
    BatchItem, ExecutorDescriptor, ExecutorId, ExecutorState, Gateway, ModelKey, PromptSegments, Request,
    RetryClass, RoutingDecision, ServiceSettings, TokenCount, ZoneKey,
};
use grebeusher_registry::{Class, Executor, ExecutorState as RegisteredState, Registry};
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::headers::Headers;
use rustc_hash::FxHashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

/// The number of connections, from all callers together, to a service whose configuration sets no maximum.
const DEFAULT_MAX_CONNECTIONS: u32 = 64;

/// The time after its start within which a node may not yet know all executors. Executors send a heartbeat about once a
/// second.
const EXECUTOR_DISCOVERY_TIME: Duration = Duration::from_millis(2000);
/// The `Retry-After` time of a node that has just started.
pub const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(700);

/// The leader of a batch partition may use one of this many equal shares of an executor's connections.
const LEADER_SHARES: u32 = 3;
/// An executor's connections are divided into this many shares for each edge node: leaders have a third of the connections,
/// and the edge nodes divide the other two thirds.
const SHARES_PER_EDGE_NODE: f64 = 1.5;

/// The executor that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The gateway's id of the executor.
    pub executor: ExecutorId,
    /// The instance id and the address of the executor.
    pub target: ExecutorTarget,
}

/// Whether a request is sent to an executor.
pub enum RouteChoice {
    /// The request is sent to this executor.
    Send(Candidate),
    /// The request is refused; the client may retry.
    Refuse {
        /// The time after which capacity is expected.
        retry_after: Duration,
    },
}

/// What the headers of a request tell about its model, size and prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoutingHints {
    model: Option<ModelKey>,
    tokens: Option<TokenCount>,
    prompt: PromptSegments,
}

impl RoutingHints {
    /// Reads the hints from the headers. A header that can't be parsed is ignored.
    pub fn from_headers(headers: &Headers) -> RoutingHints {
        RoutingHints {
            model: headers.get(names::MODEL_NAME).map(ModelKey::from_name),
            tokens: headers.get(names::TOKEN_COUNT).and_then(|text| TokenCount::parse(text).ok()),
            prompt: headers
                .get(names::PROMPT_PREFIX)
                .and_then(|text| PromptSegments::parse(text).ok())
                .unwrap_or_default(),
        }
    }

    /// Reads the hints from the headers of an item of a batch job.
    pub fn from_batch_item(order: &RunRequest) -> RoutingHints {
        let value = |name: &str| {
            let found = order.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            found.map(|header| header.value.as_str())
        };
        RoutingHints {
            model: value(names::MODEL_NAME).map(ModelKey::from_name),
            tokens: value(names::TOKEN_COUNT).and_then(|text| TokenCount::parse(text).ok()),
            prompt: value(names::PROMPT_PREFIX)
                .and_then(|text| PromptSegments::parse(text).ok())
                .unwrap_or_default(),
        }
    }
}

/// What routing needs to know about a request to choose an executor.
pub struct RoutingQuery<'a> {
    /// The route of the request.
    pub route: &'a Route,
    /// The service that was drawn by the weights of the route.
    pub service: &'a str,
    /// How the request may be repeated.
    pub retry_class: RetryClass,
    /// The model, size and prompt of the request.
    pub hints: &'a RoutingHints,
    /// When the request was received.
    pub accepted_at: Instant,
    /// When the time for the response is over.
    pub deadline: Instant,
    /// The executors that already got an attempt.
    pub tried_executors: &'a [ExecutorId],
    /// Whether an executor may have run the request already, so that it can't be refused any more.
    pub may_have_run: bool,
}

/// The gateway and the state of what was copied into it from the registry and the configuration.
pub struct Routing {
    /// Chooses executors.
    pub gateway: Gateway,
    /// The gateway's id of each executor, by instance id.
    executor_ids: FxHashMap<String, ExecutorId>,
    /// The generation of the registry's executors at the last update.
    registry_generation: u64,
    /// The revision of the version policy at the last update, and `VersionPermissions::awaits_leader_reply` at that time.
    applied_versions: (u64, bool),
    /// Whether the leader may know more than this node about the versions of executors that are up.
    has_unconfirmed_versions: bool,
    /// The version of the configuration at the last update.
    configuration_version: u64,
}

impl Routing {
    /// Creates a gateway without services and executors, for a node in `zone`.
    pub fn new(zone: &str, seed: u64) -> Routing {
        Routing {
            gateway: Gateway::new(
                grebeusher_gateway::GatewayConfig::default(),
                ZoneKey::from_name(zone),
                seed,
            ),
            executor_ids: FxHashMap::default(),
            registry_generation: 0,
            applied_versions: (0, false),
            has_unconfirmed_versions: false,
            configuration_version: 0,
        }
    }

    /// Chooses the executor for a request.
    pub fn choose(&mut self, now: Instant, query: &RoutingQuery<'_>) -> RouteChoice {
        let request = self.gateway_request(now, query);
        match self.gateway.route(now, &request) {
            RoutingDecision::Forward { executor, address } => match self.candidate(now, executor, address) {
                Some(candidate) => RouteChoice::Send(candidate),
                None => RouteChoice::Refuse { retry_after: Duration::from_millis(100) },
            },
            RoutingDecision::Reject { retry_after } => RouteChoice::Refuse { retry_after },
            // A node that has just started learns of the executors from their next heartbeats.
            RoutingDecision::NoExecutor { retry_after } if now < Instant(0) + EXECUTOR_DISCOVERY_TIME => {
                RouteChoice::Refuse { retry_after: retry_after.max(STARTUP_RETRY_AFTER) }
            }
            RoutingDecision::NoExecutor { retry_after } => RouteChoice::Refuse { retry_after },
        }
    }

    /// Converts the query to the gateway's form of a request.
    pub fn gateway_request<'a>(&mut self, now: Instant, query: &'a RoutingQuery<'_>) -> Request<'a> {
        let service = self.gateway.service_id(query.service);
        Request {
            priority: u8::try_from(query.route.priority_level).unwrap_or(u8::MAX),
            retry_class: query.retry_class,
            model: query.hints.model,
            token_count: query.hints.tokens,
            prompt: query.hints.prompt,
            excluded_executors: query.tried_executors,
            latency_objective: Duration::from_millis(query.route.target_latency_ms),
            elapsed: now.since(query.accepted_at),
            until_deadline: query.deadline.since(now),
            may_have_run: query.may_have_run,
            ..Request::for_service(service)
        }
    }

    fn candidate(&self, now: Instant, executor: ExecutorId, address: SocketAddr) -> Option<Candidate> {
        let SocketAddr::V4(address) = address else { return None };
        let instance: Arc<str> = self.gateway.executor_view(now, executor)?.instance_id;
        Some(Candidate { executor, target: ExecutorTarget { instance, address } })
    }

    /// Whether an executor of the service has capacity for a batch item. The size of the item is ignored.
    pub fn has_batch_capacity(&mut self, now: Instant, service: &str) -> bool {
        let service = self.gateway.service_id(service);
        let item = BatchItem {
            service,
            model: None,
            token_count: None,
            prompt: PromptSegments::default(),
            excluded_executors: &[],
            urgency: 0.5,
        };
        self.gateway.choose_executor_for_batch_item(now, &item).is_some()
    }

    /// Chooses the executor for a batch item. Also returns the gateway's form of the item.
    pub fn choose_for_item(
        &mut self,
        now: Instant,
        service: &str,
        hints: &RoutingHints,
    ) -> Option<(Candidate, Request<'static>)> {
        let service = self.gateway.service_id(service);
        let item: BatchItem<'static> = BatchItem {
            service,
            model: hints.model,
            token_count: hints.tokens,
            prompt: hints.prompt,
            excluded_executors: &[],
            urgency: 0.5,
        };
        let request = Request {
            retry_class: RetryClass::ResumableStream,
            model: hints.model,
            token_count: hints.tokens,
            prompt: hints.prompt,
            priority: u8::MAX,
            is_batch: true,
            ..Request::for_service(service)
        };
        let executor = self.gateway.choose_executor_for_batch_item(now, &item)?;
        let SocketAddr::V4(address) = self.gateway.executor_view(now, executor)?.address else { return None };
        let candidate = self.candidate(now, executor, SocketAddr::V4(address))?;
        Some((candidate, request))
    }

    /// Copies changes of the registry and the configuration into the gateway. Returns the instance ids of the executors that no
    /// longer exist.
    pub fn update(
        &mut self,
        registry: &Registry,
        active: Option<&ActiveConfiguration>,
        permissions: &VersionPermissions<'_>,
    ) -> Vec<String> {
        if let Some(active) = active {
            self.update_services(active);
        }
        let generation = registry.generation().executors;
        let mut gone = Vec::new();
        let versions = (permissions.policy.revision(), permissions.awaits_leader_reply);
        if self.registry_generation != generation || self.applied_versions != versions {
            self.registry_generation = generation;
            self.applied_versions = versions;
            gone = self.update_executors(registry, permissions);
        }
        self.gateway.set_node_count(connection_shares(registry));
        let live_nodes = registry.live_members().count();
        if let Some(popularity) = self.gateway.popularity_mut() {
            popularity.set_node_count(live_nodes);
        }
        gone
    }

    fn update_services(&mut self, active: &ActiveConfiguration) {
        if self.configuration_version == active.version {
            return;
        }
        self.configuration_version = active.version;
        for service in &active.routes.configuration().services {
            let settings = ServiceSettings {
                max_connections: service.max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
                kv_capacity_tokens: service
                    .engine_type
                    .as_ref()
                    .map_or(0, |engine| engine.kv_capacity_tokens),
            };
            self.gateway.set_service_settings(service.name.as_str(), settings);
        }
    }

    /// Whether the leader may know more than this node about the versions of executors that are up.
    pub fn has_unconfirmed_versions(&self) -> bool {
        self.has_unconfirmed_versions
    }

    fn update_executors(&mut self, registry: &Registry, permissions: &VersionPermissions<'_>) -> Vec<String> {
        let gone = self.remove_gone_executors(registry);
        let versions = permissions.observed_versions(registry);
        self.has_unconfirmed_versions = false;
        for executor in registry.executors().filter(|executor| executor.exists()) {
            let VersionDecision { is_permitted, is_unconfirmed } = permissions.decide(executor, &versions);
            self.has_unconfirmed_versions |= is_unconfirmed && accepts_requests(executor);
            // An executor that is not permitted but got requests before stays in the gateway, as draining, to finish them.
            if !is_permitted && !self.executor_ids.contains_key(&executor.report.id) {
                continue;
            }
            let models: Vec<ModelKey> =
                executor.report.models.iter().map(|model| ModelKey::from_name(&model.name)).collect();
            let id = self.gateway.upsert_executor(&ExecutorDescriptor {
                instance_id: &executor.report.id,
                service: &executor.report.service,
                address: socket_address(executor),
                zone: ZoneKey::from_name(&executor.report.zone),
                slots: executor.report.slot_count,
                state: if is_permitted { gateway_state(executor, registry) } else { ExecutorState::Draining },
                models: &models,
            });
            if !self.executor_ids.contains_key(&executor.report.id) {
                self.executor_ids.insert(executor.report.id.clone(), id);
            }
        }
        gone
    }

    fn remove_gone_executors(&mut self, registry: &Registry) -> Vec<String> {
        let exists = |instance: &str| registry.executor(instance).is_some_and(Executor::exists);
        let gone: Vec<String> =
            self.executor_ids.keys().filter(|instance| !exists(instance)).cloned().collect();
        for instance in &gone {
            if let Some(id) = self.executor_ids.remove(instance) {
                self.gateway.remove_executor(id);
            }
        }
        gone
    }
}

/// The number of shares that an executor's connections are divided into, of which this node may use one. The leaders of batch
/// partitions, which are few and have most of the requests in flight, have a third of the connections; the rest is divided
/// among the edge nodes, whose requests are spread evenly.
fn connection_shares(registry: &Registry) -> u32 {
    if registry.own_member().class == Class::Storage {
        return LEADER_SHARES;
    }
    let edge_nodes = registry.live_members().filter(|member| member.class == Class::Edge).count();
    let shares = edge_nodes.max(1) as f64 * SHARES_PER_EDGE_NODE;
    shares.ceil() as u32
}

/// Whether an executor would get new requests if its version were in force.
fn accepts_requests(executor: &Executor) -> bool {
    executor.report.state == RegisteredState::Up && !executor.unresponsive
}

/// Converts the registered state of an executor to the gateway's.
fn gateway_state(executor: &Executor, registry: &Registry) -> ExecutorState {
    match executor.report.state {
        RegisteredState::Draining | RegisteredState::Gone => ExecutorState::Draining,
        RegisteredState::Up if registry.is_only_restored(&executor.report.id) => ExecutorState::Draining,
        RegisteredState::Up if executor.unresponsive => ExecutorState::Unresponsive,
        RegisteredState::Up => ExecutorState::Ready,
    }
}

fn socket_address(executor: &Executor) -> SocketAddr {
    let address: SocketAddrV4 = executor.report.address;
    SocketAddr::V4(address)
}
