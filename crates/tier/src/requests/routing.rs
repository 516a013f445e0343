//! What the data plane's decisions are fed with: services of the configuration, executors of the registry, requests.
//!
//! `Routing` owns the `Gateway` and the table of services and executors that it was built from; the table is rebuilt from the
//! configuration and the registry when one of them has changed, and nothing else writes it.

use crate::control::active_configuration::ActiveConfiguration;
use crate::requests::header_names as names;
use crate::requests::upstream_connection::Target;
use crate::requests::version_permissions::{VersionPermissions, VersionVerdict};
use grebeusher_batch::RunOrder;
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

/// A service whose configuration names no bound gets this many connections, of all callers together.
const DEFAULT_CONNECTIONS: u32 = 64;

/// Executors beat about every second, so that long after its start a node knows them all.
const STARTUP_DURATION: Duration = Duration::from_millis(2000);
/// What a client is told to wait by a node that has just started.
pub const STARTING_RETRY: Duration = Duration::from_millis(700);

/// A leader of a batch partition may have one of so many parts of an executor's connections.
const LEADERS_SHARES: u32 = 3;
/// By how much more than their number the edge nodes divide the connections, as leaders have a third of them.
const EDGE_SHARES: f64 = 1.5;

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its key among the gateway's executors.
    pub executor: ExecutorId,
    /// Its incarnation and address.
    pub target: Target,
}

/// What becomes of a request now.
pub enum RouteChoice {
    /// It goes to this executor.
    Send(Candidate),
    /// It is refused, and may come back after this long.
    Refuse {
        /// When room is expected.
        retry_after: Duration,
    },
}

/// The hints that a request's headers give.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hints {
    model: Option<ModelKey>,
    tokens: Option<TokenCount>,
    prompt: PromptSegments,
}

impl Hints {
    /// Reads the hints; what can't be read is as if it were not there.
    pub fn of(headers: &Headers) -> Hints {
        Hints {
            model: headers.get(names::MODEL_NAME).map(ModelKey::from_name),
            tokens: headers.get(names::TOKEN_COUNT).and_then(|text| TokenCount::parse(text).ok()),
            prompt: headers
                .get(names::PROMPT_PREFIX)
                .and_then(|text| PromptSegments::parse(text).ok())
                .unwrap_or_default(),
        }
    }

    /// The hints of an item of a batch job.
    pub fn of_item(order: &RunOrder) -> Hints {
        let value = |name: &str| {
            let found = order.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            found.map(|header| header.value.as_str())
        };
        Hints {
            model: value(names::MODEL_NAME).map(ModelKey::from_name),
            tokens: value(names::TOKEN_COUNT).and_then(|text| TokenCount::parse(text).ok()),
            prompt: value(names::PROMPT_PREFIX)
                .and_then(|text| PromptSegments::parse(text).ok())
                .unwrap_or_default(),
        }
    }
}

/// A request that looks for an executor.
pub struct Question<'a> {
    /// Its route.
    pub route: &'a Route,
    /// The service that the route's weights picked.
    pub service: &'a str,
    /// How it may be repeated.
    pub retry_class: RetryClass,
    /// Its size and prompt.
    pub hints: &'a Hints,
    /// When it came.
    pub accepted: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// Executors that had it.
    pub tried: &'a [ExecutorId],
    /// Whether it may have run already, so that it can't be refused any more.
    pub may_have_run: bool,
}

/// The gateway with the names that it does not keep.
pub struct Routing {
    /// The decisions.
    pub gateway: Gateway,
    known: FxHashMap<String, ExecutorId>,
    generation: u64,
    /// The revision of the versions of services by which the executors were taken over, and whether proof was awaited.
    versions: (u64, bool),
    /// Whether the leader may know more of the versions of executors that are up.
    has_versions_in_question: bool,
    configured: u64,
}

impl Routing {
    /// No executors yet.
    pub fn new(zone: &str, seed: u64) -> Routing {
        Routing {
            gateway: Gateway::new(
                grebeusher_gateway::GatewayConfig::default(),
                ZoneKey::from_name(zone),
                seed,
            ),
            known: FxHashMap::default(),
            generation: 0,
            versions: (0, false),
            has_versions_in_question: false,
            configured: 0,
        }
    }

    /// Which executor a request goes to.
    pub fn choose(&mut self, now: Instant, question: &Question<'_>) -> RouteChoice {
        let request = self.request(now, question);
        match self.gateway.route(now, &request) {
            RoutingDecision::Forward { executor, address } => match self.candidate(now, executor, address) {
                Some(candidate) => RouteChoice::Send(candidate),
                None => RouteChoice::Refuse { retry_after: Duration::from_millis(100) },
            },
            RoutingDecision::Reject { retry_after } => RouteChoice::Refuse { retry_after },
            // A node that has just started hears of the executors by their next heartbeats.
            RoutingDecision::NoExecutor { retry_after } if now < Instant(0) + STARTUP_DURATION => {
                RouteChoice::Refuse { retry_after: retry_after.max(STARTING_RETRY) }
            }
            RoutingDecision::NoExecutor { retry_after } => RouteChoice::Refuse { retry_after },
        }
    }

    /// The request as the gateway takes it.
    pub fn request<'a>(&mut self, now: Instant, question: &'a Question<'_>) -> Request<'a> {
        let service = self.gateway.service_id(question.service);
        Request {
            priority: u8::try_from(question.route.priority_level).unwrap_or(u8::MAX),
            retry_class: question.retry_class,
            model: question.hints.model,
            token_count: question.hints.tokens,
            prompt: question.hints.prompt,
            excluded_executors: question.tried,
            latency_objective: Duration::from_millis(question.route.target_latency_ms),
            elapsed: now.since(question.accepted),
            until_deadline: question.deadline.since(now),
            may_have_run: question.may_have_run,
            ..Request::for_service(service)
        }
    }

    fn candidate(&self, now: Instant, executor: ExecutorId, address: SocketAddr) -> Option<Candidate> {
        let SocketAddr::V4(address) = address else { return None };
        let instance: Arc<str> = self.gateway.executor_view(now, executor)?.instance_id;
        Some(Candidate { executor, target: Target { instance, address } })
    }

    /// Whether a service has an executor with room for a batch item, whatever its size.
    pub fn has_batch_room(&mut self, now: Instant, service: &str) -> bool {
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

    /// The executor that an item goes to, and the item as the gateway counts it.
    pub fn choose_for_item(
        &mut self,
        now: Instant,
        service: &str,
        hints: &Hints,
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

    /// Takes over what has changed in the registry and in the configuration. Returns the executors that are gone.
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
        let versions = (permissions.policy.revision(), permissions.awaits_proof);
        if self.generation != generation || self.versions != versions {
            self.generation = generation;
            self.versions = versions;
            gone = self.update_executors(registry, permissions);
        }
        self.gateway.set_node_count(connection_shares(registry));
        let nodes = registry.live_members().count();
        if let Some(popularity) = self.gateway.popularity_mut() {
            popularity.set_node_count(nodes);
        }
        gone
    }

    fn update_services(&mut self, active: &ActiveConfiguration) {
        if self.configured == active.version {
            return;
        }
        self.configured = active.version;
        for service in &active.routes.configuration().services {
            let settings = ServiceSettings {
                max_connections: service.max_connections.unwrap_or(DEFAULT_CONNECTIONS),
                kv_capacity_tokens: service
                    .engine_type
                    .as_ref()
                    .map_or(0, |engine| engine.kv_capacity_tokens),
            };
            self.gateway.set_service_settings(service.name.as_str(), settings);
        }
    }

    /// Whether the leader may know more of the versions of executors that are up.
    pub fn has_versions_in_question(&self) -> bool {
        self.has_versions_in_question
    }

    fn update_executors(&mut self, registry: &Registry, permissions: &VersionPermissions<'_>) -> Vec<String> {
        let gone = self.remove_executors_that_are_gone(registry);
        let seen = permissions.seen(registry);
        self.has_versions_in_question = false;
        for executor in registry.executors().filter(|executor| executor.exists()) {
            let VersionVerdict { is_permitted, is_in_question } = permissions.verdict(executor, &seen);
            self.has_versions_in_question |= is_in_question && takes_requests(executor);
            // One that got requests before finishes them.
            if !is_permitted && !self.known.contains_key(&executor.report.id) {
                continue;
            }
            let models: Vec<ModelKey> =
                executor.report.models.iter().map(|model| ModelKey::from_name(&model.name)).collect();
            let id = self.gateway.upsert_executor(&ExecutorDescriptor {
                instance_id: &executor.report.id,
                service: &executor.report.service,
                address: address_of(executor),
                zone: ZoneKey::from_name(&executor.report.zone),
                slots: executor.report.slot_count,
                state: if is_permitted { state_of(executor, registry) } else { ExecutorState::Draining },
                models: &models,
            });
            if !self.known.contains_key(&executor.report.id) {
                self.known.insert(executor.report.id.clone(), id);
            }
        }
        gone
    }

    fn remove_executors_that_are_gone(&mut self, registry: &Registry) -> Vec<String> {
        let exists = |instance: &str| registry.executor(instance).is_some_and(Executor::exists);
        let gone: Vec<String> = self.known.keys().filter(|instance| !exists(instance)).cloned().collect();
        for instance in &gone {
            if let Some(id) = self.known.remove(instance) {
                self.gateway.remove_executor(id);
            }
        }
        gone
    }
}

/// Into how many parts an executor's connections are divided. The leaders of batch partitions, few and with most of the
/// requests in flight, have a third; the rest is for the edge nodes, whose requests are spread evenly.
fn connection_shares(registry: &Registry) -> u32 {
    if registry.own_member().class == Class::Storage {
        return LEADERS_SHARES;
    }
    let edges = registry.live_members().filter(|member| member.class == Class::Edge).count();
    let shares = edges.max(1) as f64 * EDGE_SHARES;
    shares.ceil() as u32
}

/// Whether an executor would get requests if its version were in force.
fn takes_requests(executor: &Executor) -> bool {
    executor.report.state == RegisteredState::Up && !executor.unresponsive
}

/// The state of an executor as the gateway takes it.
fn state_of(executor: &Executor, registry: &Registry) -> ExecutorState {
    match executor.report.state {
        RegisteredState::Draining | RegisteredState::Gone => ExecutorState::Draining,
        RegisteredState::Up if registry.is_only_restored(&executor.report.id) => ExecutorState::Draining,
        RegisteredState::Up if executor.unresponsive => ExecutorState::Unresponsive,
        RegisteredState::Up => ExecutorState::Ready,
    }
}

fn address_of(executor: &Executor) -> SocketAddr {
    let address: SocketAddrV4 = executor.report.address;
    SocketAddr::V4(address)
}
