//! Membership of the tier and the registry of its executors, spread by gossip.
//!
//! Each node runs one [`Registry`], a state machine without sockets or clocks: the caller passes in messages and calls
//! with the current time, and takes out an [`Output`] of messages and events. The registry holds registers of
//! [`Member`]s, [`Executor`]s and [`NodeMetadata`] that may be merged in any order. Changes spread down a relay tree;
//! anti-entropy compares digests and delivers what lost messages left out. Nothing here needs agreement by a quorum:
//! each register has one writer, and other nodes may only mark it dead or unresponsive.
//!
//! The crate `grebeusher-tier` runs the registry and carries its messages; the crate `grebeusher-quorum` handles data
//! that needs consensus. Failure detection follows SWIM: [heartbeats](Heartbeat) to a few watchers, indirect probes,
//! suspicion, and refutation by incarnation numbers.
//!
//! ```
//! use grebeusher_registry::{Class, Losses, Member, MemberState, Registry, Settings, Timings};
//! use grebeusher_time::Instant;
//!
//! let member = Member {
//!     name: "edge-1".to_owned(),
//!     address: "10.0.0.1:7660".parse()?,
//!     incarnation: 1_700_000_000_000,
//!     status_version: 0,
//!     class: Class::Edge,
//!     zone: "a".to_owned(),
//!     control: None,
//!     replica: None,
//!     bootstrap: true,
//!     state: MemberState::Alive,
//! };
//! let seeds = vec!["10.0.0.2:7660".parse()?];
//! let settings = Settings { member, seeds, timings: Timings::default(), losses: Losses::default() };
//! let mut registry = Registry::new(settings, 1, Instant(0));
//!
//! registry.tick(Instant(0));
//! let output = registry.take_output();
//! assert_eq!(output.messages.len(), 1, "the node sends a join message to its seed");
//! assert_eq!(registry.live_members().count(), 1);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

#![warn(missing_docs)]

mod codec;
mod confirmation;
mod deferred_death;
mod digest;
mod error;
mod event;
mod executor;
mod executors;
mod hash;
mod hint;
mod join;
mod liveness;
mod member;
mod members;
mod message;
mod node_metadata;
mod placement;
mod probe;
mod queries;
mod register;
mod registry;
mod relay;
mod repair;
mod report;
mod ring;
mod settings;
mod transfer;
mod watch;

pub use confirmation::CompletedCalls;
pub use digest::Summary;
pub use error::{DecodeError, ReportError};
pub use event::{Answer, CallToken, Event, Generation, HeartbeatEffect, Output};
pub use executor::{Executor, ExecutorState, Model};
pub use member::{Class, Member, MemberState, NodeId};
pub use message::{Heartbeat, MAX_MESSAGE, Message, Relay};
pub use node_metadata::{MAX_METADATA, MetadataTooLarge, NodeMetadata};
pub use register::Register;
pub use registry::Registry;
pub use report::{HeartbeatReport, MAX_REPORT};
pub use settings::{Losses, Settings, Timings};
