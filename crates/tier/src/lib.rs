//! The serving tier. Each process is a [`node::Node`], which composes the libraries of the tier.
//!
//! An edge node serves clients, executors and operators and may hold a replica of the configuration. A storage node holds
//! replicas of the batch partitions and runs their items. Both run the same event loop; the settings determine which
//! listeners and replicas a node has.
//!
//! Related crates: `quorum` replicates the log of a partition, `registry` tracks members and executors, `gateway` chooses an
//! executor, `batch` and `configuration` are the replicated state machines, and `transport` has HTTP, frames and the poller.
//! The `simulation` crate runs the same [`node::Node`] in a simulated [`runtime::io::World`].
//!
//! Each module is one concern: [`links`] between nodes, the [`control`] plane, [`requests`] of clients, [`batch`] jobs, and
//! their [`runtime`] environment. The state of a concern belongs to a type in its module; the methods in `impl Node` connect
//! the concerns.
//!
//! ```
//! use grebeusher_tier::runtime::stop::GracefulShutdown;
//! use grebeusher_time::{Duration, Instant};
//!
//! // A process that has received SIGTERM and would be killed after 8 s serves until the platform has noticed, and exits
//! // before it would be killed.
//! let shutdown = GracefulShutdown::new(Instant(0), Duration::from_secs(8));
//! assert!(!shutdown.may_exit(Instant(0)));
//! assert_eq!(shutdown.exits_at(), Instant(0) + Duration::from_millis(7500));
//! ```

#![warn(missing_docs)]

pub mod batch;
pub mod control;
pub mod links;
pub mod node;
pub mod requests;
pub mod runtime;
