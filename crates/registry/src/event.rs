//! The output of the registry for its caller: messages to send, events, and answers to the calls of executors.

use crate::member::MemberState;
use crate::message::Message;
use std::net::SocketAddrV4;

/// Counters that increase whenever a set of registers changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// The number of changes to the set of nodes.
    pub members: u64,
    /// The number of changes to the set of executors.
    pub executors: u64,
    /// The number of changes to the metadata of nodes.
    pub node_metadata: u64,
}

/// A change of which the caller is informed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A node is new, or its register changed.
    MemberChanged {
        /// The name of the node.
        name: String,
        /// The new state of the node.
        state: MemberState,
    },
    /// An executor is new, or its register changed.
    ExecutorChanged {
        /// The id of the executor.
        id: String,
    },
    /// The metadata of a node changed.
    MetadataChanged {
        /// The name of the node.
        node: String,
    },
    /// Another node has a newer configuration.
    ConfigurationBehind {
        /// The internal address of the other node.
        peer: SocketAddrV4,
        /// The configuration version of the other node.
        version: u64,
    },
}

/// The messages and events that the caller has to process for the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// The messages to send, each with the internal address of its receiver.
    pub messages: Vec<(SocketAddrV4, Message)>,
    /// The changes since the last output.
    pub events: Vec<Event>,
}

/// The identifier of a call of an executor that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub u64);

/// When a call of an executor may be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call is answered immediately.
    Now,
    /// The call is not acknowledged: the id of the executor is invalid, or this node has no room for the executor.
    Never,
    /// The call is answered once [`Registry::take_completed_calls`](crate::Registry::take_completed_calls) returns its
    /// token.
    WhenAcknowledged(CallToken),
}

/// The result of a heartbeat of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatEffect {
    /// When the call may be answered.
    pub answer: Answer,
    /// The `control_plane` address to which the executor should send its heartbeats from now on.
    pub heartbeat_target: Option<SocketAddrV4>,
}
