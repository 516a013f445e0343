//! The receiver of the reply to a call, and the operation that the receiver requested.

use crate::control::active_configuration::FetchSource;
use crate::links::messages::CallNumber;
use std::net::SocketAddrV4;

/// The receiver of the reply to a call.
#[derive(Clone, Debug)]
pub(crate) enum Continuation {
    /// An operator's request.
    Operator { connection: usize, serial: u64, kind: OperatorRequestKind },
    /// A client's request about a batch job.
    Batch { connection: usize, serial: u64, kind: BatchRequestKind },
    /// This node itself, which fetches a newer configuration.
    Configuration(FetchSource),
    /// This node itself, which bootstraps a partition and waits for a voter's confirmation.
    Bootstrap { partition: u8, voter: u64 },
    /// Another node, whose call this node forwards.
    Forwarded { peer: SocketAddrV4, number: CallNumber },
    /// An operator's request to retire a storage node, which waits for the replies of all partitions.
    Retire { request: u64 },
    /// This node itself, which fetches the versions of all services.
    Rollouts,
}

/// The kind of an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequestKind {
    /// The operator replaces the configuration (`Configuration.Replace`).
    Replace,
    /// The operator reads the configuration (`Configuration.Show`).
    Show,
    /// The operator reads the status of a partition.
    Partition,
    /// The operator begins or reads a roll-out (`Rollouts.Begin` or `Rollouts.Show`).
    Rollout,
}

/// The kind of a client's request about a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchRequestKind {
    /// The client submits a job.
    Submit,
    /// The client reads the results of a job or the body of an item.
    Read,
    /// The client ends a job.
    End,
}
