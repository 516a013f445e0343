//! Errors of the calls to a [`Replica`](crate::Replica).

use snafu::Snafu;

use crate::ids::{Index, ReplicaId};

/// The reason why [`Replica::propose`](crate::Replica::propose) rejected a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ProposeError {
    /// Another replica leads the partition, or none does, or the leadership is being transferred.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader that this replica knows of, if any.
        hint: Option<ReplicaId>,
    },
    /// Too many bytes of proposals are not committed yet; retry when some of them are.
    #[snafu(display("too many bytes of proposals are not committed yet"))]
    Busy,
    /// The command is larger than [`MAX_COMMAND`](crate::MAX_COMMAND).
    #[snafu(display("a command of {size} bytes is too large"))]
    TooLarge {
        /// The size of the command, in bytes.
        size: usize,
    },
}

/// The reason why [`Replica::change_group`](crate::Replica::change_group) started no change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ChangeError {
    /// Another replica leads the partition, or none does.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader that this replica knows of, if any.
        hint: Option<ReplicaId>,
    },
    /// A change of the group or a transfer of leadership is in progress.
    #[snafu(display("a change of the group or a transfer of leadership is in progress"))]
    InProgress,
    /// The leader has not yet committed an entry of its own term, or the newest group in its log; retry soon.
    #[snafu(display("the leader has not committed an entry of its term or its newest group yet"))]
    NotCommitted,
    /// The new group is empty or has more than [`MAX_VOTERS`](crate::MAX_VOTERS) voters.
    #[snafu(display("the new group is empty or too large"))]
    Invalid,
}

/// The reason why [`Replica::transfer_leadership`](crate::Replica::transfer_leadership) started no transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum TransferLeadershipError {
    /// Another replica leads the partition, or none does.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader that this replica knows of, if any.
        hint: Option<ReplicaId>,
    },
    /// A transfer to another replica is in progress.
    #[snafu(display("a transfer of leadership is in progress"))]
    InProgress,
    /// There is no other voter, or the given target is not one.
    #[snafu(display("the leadership can only be transferred to another voter"))]
    NoTarget,
}

/// The reason why [`Replica::bootstrap`](crate::Replica::bootstrap) failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum BootstrapError {
    /// The replica belongs to another cluster already.
    #[snafu(display("the replica belongs to another cluster"))]
    AlreadyBootstrapped,
    /// The group is empty, too large, joint, or does not contain this replica.
    #[snafu(display("the group to bootstrap with is empty, too large, joint, or lacks this replica"))]
    Invalid,
}

/// The reason why [`Replica::compact`](crate::Replica::compact) rejected a snapshot of the application.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum CompactError {
    /// Not everything up to the index has been given to the application.
    #[snafu(display("the application has been given the log only up to index {}", applied.0))]
    NotApplied {
        /// The last index that has been given to the application.
        applied: Index,
    },
    /// A snapshot up to the index or beyond exists already.
    #[snafu(display("a snapshot up to index {} exists already", snapshot.0))]
    Outdated {
        /// The last index in that snapshot.
        snapshot: Index,
    },
    /// The snapshot is larger than [`MAX_SNAPSHOT`](crate::MAX_SNAPSHOT).
    #[snafu(display("a snapshot of {size} bytes is too large"))]
    TooLarge {
        /// The size of the snapshot, in bytes.
        size: usize,
    },
}
