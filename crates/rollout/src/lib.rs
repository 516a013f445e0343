//! Roll-outs, by which operators introduce a new version of a service while requests continue.
//!
//! The version in force of a service is the one whose executors get requests. During a roll-out, executors of the new
//! version, the target, run next to them. The versions that may get requests are replicated state, so they don't depend
//! on the executors that a node happens to see. Without an order no other version gets requests, and an order alone
//! doesn't permit its target either. Nothing permits a target version yet: a roll-out is reverted when its time is over.
//!
//! - [`RolloutOrder`] is the operator's order, parsed from JSON.
//! - [`Rollouts`] is the replicated state machine. It holds the version in force and the latest roll-out of each service.
//!   An [`Entry`] in the log of the configuration's partition changes it.
//! - [`VersionPolicy`] decides, on each node, which executors may get requests, by the newest state that the node has.
//!
//! The crate does no I/O and reads no clock. `grebeusher-tier` runs the state machine in the partition of its
//! configuration, distributes the state to all nodes, and checks the policy before it sends a request to an executor.
//!
//! ```
//! use grebeusher_rollout::{Applied, Entry, RolloutOrder, Rollouts};
//!
//! let body = br#"{"service": "catalogue", "target_version": "v2", "ramp_s": 15}"#;
//! let order = RolloutOrder::read(body)?;
//! let mut rollouts = Rollouts::default();
//! let in_force = Entry::VersionInForce { service: "catalogue".into(), version: "v1".into() };
//! assert_eq!(rollouts.apply(in_force), Applied::Accepted);
//! assert_eq!(rollouts.apply(Entry::Begin { order: order.clone(), in_force: "v1".into(), begun_at_wall_ms: 0 }), Applied::Accepted);
//! // The operator sends the order again, because the acknowledgement was lost.
//! assert_eq!(rollouts.apply(Entry::Begin { order, in_force: "v1".into(), begun_at_wall_ms: 0 }), Applied::AlreadyAccepted);
//! assert_eq!(rollouts.version_in_force("catalogue"), Some("v1"));
//! # Ok::<(), grebeusher_rollout::OrderError>(())
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod entry;
mod order;
mod policy;
mod state;

pub use entry::{ENTRY_FORMAT, Entry, EntryError};
pub use order::{OrderError, RolloutOrder};
pub use policy::{Permission, VersionPolicy};
pub use state::{Applied, OrderDecision, Rollout, RolloutState, Rollouts, ServiceVersions};
