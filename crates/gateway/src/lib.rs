//! The routing decisions of the data plane: which executor gets a request, whether the request is admitted, and whether
//! it is retried.
//!
//! The tier is the group of nodes that forward requests of clients to executors. Each node has one [`Gateway`]. The
//! gateway does no I/O and reads no clock: the node passes it requests and observations together with the time, and
//! gets a [`RoutingDecision`] for each request. Its only caller is `grebeusher-tier`. It uses `grebeusher-sizing`,
//! which computes cut-offs and weighted picks, and `grebeusher-prefix-popularity`, which estimates the demand for
//! prompt prefixes over all nodes.
//!
//! The policy is SITA-E (size interval task assignment with equal load). The executors of a service are divided into
//! lanes, and each lane serves one interval of request sizes. The bounds of the intervals, called cut-offs, are
//! computed from a sample of recent requests such that all lanes have the same work per slot. Inside the lane of a
//! request, an executor is picked at random with a weight of 1 minus its utilisation, which has a lower limit.
//!
//! # Size and work
//!
//! The size of a request is its number of prompt tokens plus [`PROMPT_TOKENS_PER_OUTPUT_TOKEN`] for each output token,
//! as stated in `X-Grebeusher-Token-Count`. A request without this header has the median size of the sample. The work
//! of a request is its size without the prompt tokens that its executor has in its prefix cache. The size determines
//! the lane, so that the requests with one prefix stay in one lane whichever executor has cached it. The cut-offs
//! equalise work, and admission counts work.
//!
//! # Prefix affinity
//!
//! A request with at least [`GatewayConfig::min_prefix_tokens`] shared prompt tokens goes to a home of its prefix: one
//! of the first few executors of its lane in the order of rendezvous hashing, which all nodes compute alike without
//! communication. The number of homes follows the demand for the prefix, and both the utilisation of a home and the
//! wait there are limited. A popular prefix therefore spreads over several executors, and no request has to wait for a
//! particular one. When all executors are full, a request with affinity queues at a home only, because the prefill of
//! its long prompt at another executor would delay all requests there.
//!
//! # Admission
//!
//! A request is rejected only when no executor can start it now or within a fraction of its latency objective. The
//! fraction is smaller for lower priorities. The decision is immediate, and `retry_after` is the time until capacity is
//! expected.
//!
//! # Modules
//!
//! | concern | modules |
//! | --- | --- |
//! | routing of a request | `routing`, `candidate`, `admission`, `lanes`, `batch_capacity` |
//! | prefix affinity | `affinity`, `prefix_cache`, `prefix_demand`, `popular_prefixes`, `prefix_details` |
//! | observations of attempts | `attempt_accounting`, `own_load`, `peer_load`, `event_delays`, `service_timing` |
//! | outlier ejection and health | `failure_accrual`, `liveness` |
//! | retries of a request | `retries` |
//! | state | `gateway`, `executor`, `executor_table`, `service`, `service_table`, `slot_map` |
//!
//! ```
//! use grebeusher_gateway::{
//!     AttemptOutcome, ExecutorDescriptor, ExecutorState, Gateway, GatewayConfig, ModelKey, PromptSegments, Request,
//!     RetryClass, RoutingDecision, ServerLoad, ServiceSettings, TokenCount, ZoneKey,
//! };
//! use grebeusher_time::{Duration, Instant};
//!
//! let mut gateway = Gateway::new(GatewayConfig::default(), ZoneKey::from_name("vic"), 42);
//! let settings = ServiceSettings { max_connections: 220, kv_capacity_tokens: 400_843 };
//! let service = gateway.set_service_settings("katalogizator", settings);
//! gateway.upsert_executor(&ExecutorDescriptor {
//!     instance_id: "i-7f3a91c2",
//!     service: "katalogizator",
//!     address: "10.128.0.9:8080".parse().unwrap(),
//!     zone: ZoneKey::from_name("vic"),
//!     slots: 24,
//!     state: ExecutorState::Ready,
//!     models: &[ModelKey::from_name("m")],
//! });
//! let request = Request {
//!     retry_class: RetryClass::ResumableStream,
//!     model: Some(ModelKey::from_name("m")),
//!     token_count: TokenCount::parse("715,288").ok(),
//!     prompt: PromptSegments::parse("5c1e07a2:103,91bd3f06:69,e4402b7d:543").unwrap(),
//!     latency_objective: Duration::from_millis(200),
//!     until_deadline: Duration::from_millis(6000),
//!     ..Request::for_service(service)
//! };
//! let now = Instant(1_000_000);
//! let RoutingDecision::Forward { executor, .. } = gateway.route(now, &request) else { panic!("a slot is free") };
//! let attempt = gateway.attempt_started(now, executor, &request).unwrap();
//! // The node sends the request. Then it receives the head of the response and the first event:
//! gateway.response_head_received(now + Duration::from_millis(15), attempt, ServerLoad::parse("3,0,24").ok());
//! gateway.event_received(now + Duration::from_millis(15), attempt);
//! gateway.attempt_finished(now + Duration::from_millis(600), attempt, AttemptOutcome::Served);
//! ```
#![warn(missing_docs)]

mod admission;
mod affinity;
mod attempt_accounting;
mod batch_capacity;
mod candidate;
mod config;
mod decision;
mod event_delays;
mod executor;
mod executor_table;
mod failure_accrual;
mod gateway;
mod headers;
mod ids;
mod lanes;
mod liveness;
mod own_load;
mod peer_load;
mod popular_prefixes;
mod prefix_cache;
mod prefix_demand;
mod prefix_details;
mod request;
mod retries;
mod routing;
mod service;
mod service_table;
mod service_timing;
mod slot_map;
mod views;

pub use config::{BatchReserve, GatewayConfig, MAX_LANES, PROMPT_TOKENS_PER_OUTPUT_TOKEN};
pub use decision::{DecisionCounters, RoutingDecision};
pub use executor::{ExecutorDescriptor, ExecutorState};
pub use failure_accrual::ExecutorFault;
pub use gateway::Gateway;
pub use headers::{HeaderError, MAX_SEGMENTS, PromptSegment, PromptSegments, ServerLoad, TokenCount};
pub use ids::{AttemptToken, ExecutorId, ModelKey, ServiceId, ZoneKey};
pub use popular_prefixes::PopularPrefixView;
pub use request::{BatchItem, Request};
pub use retries::{AttemptOutcome, Attempts, FinalResponse, RetryClass, RetryDecision};
pub use service::ServiceSettings;
pub use views::{ExecutorView, ServiceView};
