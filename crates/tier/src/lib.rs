//! The serving tier: one process is a [`node::Node`], put together from the libraries of its planes.
//!
//! An edge node takes clients, executors and operators and may hold a replica of the configuration; a storage node holds
//! replicas of the batch partitions and runs their items. Both are the same loop, and the settings say what is there.
//!
//! Neighbours: `quorum` replicates a partition's log, `registry` knows members and executors, `gateway` chooses an executor,
//! `batch` and `configuration` are the states that are replicated, `transport` is HTTP, frames and the poller. The `simulation`
//! crate runs the same [`node::Node`] in a simulated [`runtime::io::World`].
//!
//! Each folder is one concern: [`links`] between nodes, the [`control`] plane, [`requests`] of clients, [`batch`] jobs, and
//! the [`runtime`] around them. State belongs to a type in its folder; what is left in `impl Node` joins concerns.
//!
//! ```
//! use grebeusher_tier::runtime::stop::GracefulShutdown;
//! use grebeusher_time::{Duration, Instant};
//!
//! // A process that got SIGTERM now and is killed after 8 s serves on until the platform has noticed, and exits before.
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
