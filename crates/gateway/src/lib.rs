//! The data plane's decisions: which executor gets a request, whether it is admitted, whether it is tried again.
//!
//! One [`Gateway`] serves one node. It does no I/O and reads no clock: what the node sees is handed in with its
//! time, and it answers with a [`Choice`]. The design is SITA-E (`grebeusher-sizing`): a request enters a lane of
//! executors by its hinted size, against cut-offs that equalise the lanes' summed work per capacity; inside the
//! lane a random pick is weighted by one minus the utilisation, floored.
//!
//! **Size.** Tokens of the prompt plus [`TOKENS_PER_TOKEN_OUT`] for each token that may come out, from
//! `X-Grebeusher-Token-Count`; the sample's median without a hint. Its *work* is the same without the tokens that
//! the executor is believed to hold already. Size picks the lane, so that a subject's requests stay in one lane
//! whoever holds its parts; work is what the cut-offs equalise and what admission counts.
//!
//! **The exception for prompts.** Inside the lane, and only where at least [`Policy::least_stake`] shared tokens
//! are at stake, a request goes to a home of its shared parts: the first few in their rendezvous order, which all nodes agree
//! on without a word. How many there are goes by demand over the whole tier, where the nodes share a sense of it
//! ([`Gateway::share_prefixes`]); else by this node's own sends, and those that hold the parts by these come first. Bound:
//! only executors whose utilisation is below [`Policy::home_bound`] are taken so, and only while the wait there is
//! shorter than [`Policy::home_patience`] times the reading anew, and half of the lane at most; all else goes by the weighted
//! pick. So a subject in demand spreads, and none waits for one executor. Where all are full, a request with a stake queues
//! at a home only, as reading anew elsewhere delays all others.
//!
//! **Admission.** Refused is only what no executor can take, neither now nor within a part of the latency objective;
//! the part is smaller for lower priorities. It is decided at once, and `retry_after` is when room is expected.
//!
//! ```
//! use grebeusher_gateway::{
//!     Choice, Descriptor, Gateway, Kind, ModelKey, Outcome, Policy, PromptParts, Request, ServerLoad,
//!     ServiceSettings, Standing, TokenCount, ZoneKey,
//! };
//! use grebeusher_time::{Instant, Duration};
//!
//! let mut gateway = Gateway::new(Policy::default(), ZoneKey::of("vic"), 42);
//! let service = gateway.set_service("katalogizator", ServiceSettings { max_connections: 220, kv_capacity_tokens: 400_843 });
//! gateway.upsert(&Descriptor {
//!     instance: "i-7f3a91c2",
//!     service: "katalogizator",
//!     address: "10.128.0.9:8080".parse().unwrap(),
//!     zone: ZoneKey::of("vic"),
//!     slots: 24,
//!     standing: Standing::Up,
//!     models: &[ModelKey::of("m")],
//! });
//! let request = Request {
//!     kind: Kind::ResumableStream,
//!     model: Some(ModelKey::of("m")),
//!     tokens: TokenCount::parse("715,288").ok(),
//!     parts: PromptParts::parse("5c1e07a2:103,91bd3f06:69,e4402b7d:543").unwrap(),
//!     objective: Duration::from_millis(200),
//!     deadline_left: Duration::from_millis(6000),
//!     ..Request::to(service)
//! };
//! let now = Instant(1_000_000);
//! let Choice::Send { executor, .. } = gateway.choose(now, &request) else { panic!("there is room") };
//! let attempt = gateway.started(now, executor, &request).unwrap();
//! // ... the node sends the request; then the head of the answer and the first event come:
//! gateway.head(now + Duration::from_millis(15), attempt, ServerLoad::parse("3,0,24").ok());
//! gateway.progress(now + Duration::from_millis(15), attempt);
//! gateway.finished(now + Duration::from_millis(600), attempt, Outcome::Served);
//! ```

mod attempts;
mod choose;
mod demand;
mod executor;
mod gateway;
mod headers;
mod health;
mod homes;
mod ids;
mod policy;
mod popular;
mod prefix;
mod service;

pub use attempts::{Attempts, FinalAnswer, Kind, Next, Outcome};
pub use choose::{BatchItem, Choice, Request};
pub use executor::{Descriptor, Standing};
pub use gateway::{Decisions, ExecutorView, Gateway, ServiceView};
pub use headers::{HeaderError, MAX_PARTS, PromptPart, PromptParts, ServerLoad, TokenCount};
pub use health::Failure;
pub use ids::{AttemptToken, ExecutorId, ModelKey, ServiceId, ZoneKey};
pub use policy::{MAX_LANES, Policy, TOKENS_PER_TOKEN_OUT};
pub use popular::PopularView;
pub use service::ServiceSettings;
