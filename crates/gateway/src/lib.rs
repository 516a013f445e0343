//! The data plane's decisions: which executor gets a request, whether it is admitted, whether it is retried.
//!
//! One [`Gateway`] serves one node. It does no I/O and reads no clock: the node hands in what it sees with the time,
//! and gets a [`RoutingDecision`]. Its only caller is `grebeusher-tier`. The neighbours below it are
//! `grebeusher-sizing`, which computes cut-offs and weighted picks, and `grebeusher-prefix-popularity`, which
//! estimates the demand for prompt prefixes over all nodes.
//!
//! The design is SITA-E (size interval task assignment with equal load): a request enters a lane of executors by its
//! hinted size, against cut-offs that equalise the lanes' summed work per capacity. Inside the lane a random pick is
//! weighted by one minus the utilisation, with a floor.
//!
//! # Size and work
//!
//! Size is the prompt tokens plus [`PROMPT_TOKENS_PER_OUTPUT_TOKEN`] for each output token, from
//! `X-Grebeusher-Token-Count`; the sample's median without a hint. Work is the same without the tokens that the
//! executor has in its prefix cache. Size picks the lane, so that the requests of one prefix stay in one lane whichever
//! executor has it cached. Work is what the cut-offs equalise and what admission counts.
//!
//! # Prefix affinity
//!
//! Inside the lane, and only with at least [`GatewayConfig::min_prefix_tokens`] shared tokens, a request goes to a home
//! of its prefix: one of the first few executors in a rendezvous order on which all nodes agree without communication.
//! The number of homes follows the demand, and utilisation and wait at a home are bounded, so that a popular prefix
//! spreads and no request waits for one executor. Where all executors are full, a request with affinity queues at a
//! home only, as prefill elsewhere would delay all others.
//!
//! # Admission
//!
//! A request is rejected only when no executor can take it, neither now nor within a fraction of its latency objective,
//! which is smaller for lower priorities. The decision is immediate, and `retry_after` is when capacity is expected.
//!
//! # Modules
//!
//! | concern | modules |
//! | --- | --- |
//! | routing of a request | `routing`, `candidate`, `admission`, `lanes`, `batch_capacity` |
//! | prefix affinity | `affinity`, `prefix_cache`, `prefix_demand`, `popular_prefixes`, `prefix_labels` |
//! | evidence from attempts | `attempt_accounting`, `own_load`, `peer_load`, `pace`, `timing` |
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
//! let mut gateway = Gateway::new(GatewayConfig::default(), ZoneKey::of("vic"), 42);
//! let settings = ServiceSettings { max_connections: 220, kv_capacity_tokens: 400_843 };
//! let service = gateway.set_service("katalogizator", settings);
//! gateway.upsert(&ExecutorDescriptor {
//!     instance: "i-7f3a91c2",
//!     service: "katalogizator",
//!     address: "10.128.0.9:8080".parse().unwrap(),
//!     zone: ZoneKey::of("vic"),
//!     slots: 24,
//!     state: ExecutorState::Ready,
//!     models: &[ModelKey::of("m")],
//! });
//! let request = Request {
//!     retry_class: RetryClass::ResumableStream,
//!     model: Some(ModelKey::of("m")),
//!     tokens: TokenCount::parse("715,288").ok(),
//!     prompt: PromptSegments::parse("5c1e07a2:103,91bd3f06:69,e4402b7d:543").unwrap(),
//!     latency_objective: Duration::from_millis(200),
//!     until_deadline: Duration::from_millis(6000),
//!     ..Request::to(service)
//! };
//! let now = Instant(1_000_000);
//! let RoutingDecision::Forward { executor, .. } = gateway.choose(now, &request) else { panic!("a slot is free") };
//! let attempt = gateway.attempt_started(now, executor, &request).unwrap();
//! // ... the node sends the request; then the head of the response and the first event come:
//! gateway.response_head(now + Duration::from_millis(15), attempt, ServerLoad::parse("3,0,24").ok());
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
mod executor;
mod executor_table;
mod failure_accrual;
mod gateway;
mod headers;
mod ids;
mod lanes;
mod liveness;
mod own_load;
mod pace;
mod peer_load;
mod popular_prefixes;
mod prefix_cache;
mod prefix_demand;
mod prefix_labels;
mod request;
mod retries;
mod routing;
mod service;
mod service_table;
mod slot_map;
mod timing;
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
