//! Roll-outs: the operators bring a new version of a service in while requests go on.
//!
//! Executors of the new version come beside those of the version in force. Which version may get requests is replicated
//! state, so it doesn't follow from what a node happens to see: without an order no other version gets any, and an order
//! by itself permits none. Nothing permits a new version yet: a roll-out is reverted when its time is over.
//!
//! - [`RolloutOrder`] is the operator's order, read from JSON.
//! - [`Rollouts`] is the replicated state machine: which version of each service is in force, and how far its roll-out is.
//!   Its [`Entry`] stands in the log of the configuration's partition.
//! - [`VersionPolicy`] is what one node goes by: the newest state that it has heard of, and which executors it permits.
//!
//! Nothing here does I/O or reads a clock. `grebeusher-tier` runs the state machine on its configuration's partition,
//! brings the state to all nodes and asks the policy before a request goes to an executor.
//!
//! ```
//! use grebeusher_rollout::{Applied, Entry, RolloutOrder, Rollouts};
//!
//! let body = br#"{"service": "catalogue", "target_version": "v2", "ramp_s": 15}"#;
//! let order = RolloutOrder::read(body)?;
//! let mut rollouts = Rollouts::default();
//! let in_force = Entry::VersionInForce { service: "catalogue".into(), version: "v1".into() };
//! assert_eq!(rollouts.apply(in_force), Applied::Accepted);
//! assert_eq!(rollouts.apply(Entry::Begin { order: order.clone(), in_force: "v1".into(), begun_ms: 0 }), Applied::Accepted);
//! // Sent again, as its acknowledgement was lost.
//! assert_eq!(rollouts.apply(Entry::Begin { order, in_force: "v1".into(), begun_ms: 0 }), Applied::AlreadyAccepted);
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
pub use state::{Applied, Rollout, RolloutState, Rollouts, ServiceVersions, Verdict};
