//! Who waits for the reply to a call, and what was asked.

use crate::control::active_configuration::FetchSource;
use crate::links::messages::CallNumber;
use std::net::SocketAddrV4;

/// Who waits for the reply to a call.
#[derive(Clone, Debug)]
pub(crate) enum Continuation {
    /// An order or a question of the operator.
    Operator { connection: usize, serial: u64, question: OperatorQuestion },
    /// A batch call of a client.
    Batch { connection: usize, serial: u64, question: BatchQuestion },
    /// A configuration for this node itself.
    Configuration(FetchSource),
    /// A bootstrap that a replica confirms.
    Bootstrap { partition: u8, voter: u64 },
    /// Another node's call that this node passes on.
    Forwarded { peer: SocketAddrV4, number: CallNumber },
    /// One partition's verdict on a storage node that is to be emptied, for a request to all partitions.
    Retire { request: u64 },
    /// The versions of all services for this node itself.
    Rollouts,
}

/// What the operator asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorQuestion {
    /// `Configuration.Replace`.
    Replace,
    /// `Configuration.Show`.
    Show,
    /// The status of a partition.
    Partition,
    /// `Rollouts.Begin` or `Rollouts.Show`.
    Rollout,
}

/// What a client asked about a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchQuestion {
    /// A job is submitted.
    Submit,
    /// Results or a body are read.
    Read,
    /// The job is ended.
    End,
}
