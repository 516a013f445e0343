//! What the registry hands to its caller: messages to send, events, and answers to the calls of executors.

use crate::member::MemberState;
use crate::message::Message;
use std::net::SocketAddrV4;

/// Counters that rise whenever something changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// Of the nodes.
    pub members: u64,
    /// Of the executors.
    pub executors: u64,
    /// Of the metadata.
    pub node_metadata: u64,
}

/// What a caller has to know at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A node is new, or its register changed.
    MemberChanged {
        /// Its name.
        name: String,
        /// Its state now.
        state: MemberState,
    },
    /// An executor is new, or its register changed.
    ExecutorChanged {
        /// Its id.
        id: String,
    },
    /// A node said something new of itself.
    MetadataChanged {
        /// The name of the node.
        node: String,
    },
    /// Another node has a newer configuration.
    ConfigurationBehind {
        /// The internal address of the other node.
        peer: SocketAddrV4,
        /// The version that it has.
        version: u64,
    },
}

/// What is to be done for the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// To be sent, each to the node at an internal address.
    pub messages: Vec<(SocketAddrV4, Message)>,
    /// For the caller.
    pub events: Vec<Event>,
}

/// A call of an executor that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub u64);

/// When a call of an executor may be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// At once.
    Now,
    /// Not at all: this node has no room for the executor.
    Never,
    /// When [`Registry::take_completed_calls`](crate::Registry::take_completed_calls) names the token.
    WhenAcknowledged(CallToken),
}

/// What follows from a call of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatEffect {
    /// When it may be answered.
    pub answer: Answer,
    /// The `control_plane` address that it should call from now on.
    pub heartbeat_target: Option<SocketAddrV4>,
}
