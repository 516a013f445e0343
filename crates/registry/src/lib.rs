//! Who is there: the nodes of the tier and the executors, as the nodes tell each other.
//!
//! Each node runs one [`Registry`], a state machine without sockets or clocks. It holds two sets of registers,
//! [`Member`]s and [`Executor`]s (and small [`NodeMetadata`] of each node), that merge in any order; spreads what is new
//! down a tree of relays; and repairs what a lost message left out by comparing digests. Nothing here is agreed on
//! by a quorum: each register has one writer, and the others only say that they no longer hear it.

mod codec;
mod confirmation;
mod digest;
mod error;
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

mod register;
mod registry;
mod relay;
mod repair;
mod report;
mod ring;
mod settings;

pub use confirmation::CompletedCalls;
pub use digest::Summary;
pub use error::{DecodeError, ReportError};
pub use executor::{Executor, ExecutorState, Model};
pub use member::{Class, Member, MemberState, NodeId};
pub use message::{Heartbeat, MAX_MESSAGE, Message, Relay};
pub use node_metadata::{MAX_METADATA, MetadataTooLarge, NodeMetadata};
pub use register::Register;
pub use registry::{Answer, CallToken, Event, Generation, HeartbeatEffect, Output, Registry};
pub use report::{HeartbeatReport, MAX_REPORT};
pub use settings::{Losses, Settings, Timings};
