//! Errors of the calls to a [`Replica`](crate::Replica).

use snafu::Snafu;

use crate::ids::{Index, ReplicaId};

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ProposeError {
    /// Another replica leads the partition, or none does, or the leadership is being transferred.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader, as far as it is known.
        hint: Option<ReplicaId>,
    },
    /// Too much waits for a quorum already; retry when some of it has been committed.
    #[snafu(display("too many bytes wait for a quorum"))]
    Busy,
    /// The command is larger than [`MAX_COMMAND`](crate::MAX_COMMAND).
    #[snafu(display("a command of {size} bytes is too large"))]
    TooLarge {
        /// Its size, in bytes.
        size: usize,
    },
}

/// Why a change of the group was not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ChangeError {
    /// Another replica leads the partition, or none does.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader, as far as it is known.
        hint: Option<ReplicaId>,
    },
    /// A change or a transfer of leadership is in progress.
    #[snafu(display("a change is in progress"))]
    InProgress,
    /// The leader has not committed an entry of its own term yet, or not its newest group; retry soon.
    #[snafu(display("the leader has not committed its term or group yet"))]
    NotCommitted,
    /// The new group is empty or has more than [`MAX_VOTERS`](crate::MAX_VOTERS).
    #[snafu(display("the new group is empty or too large"))]
    Invalid,
}

/// Why a transfer of leadership was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum TransferLeadershipError {
    /// Another replica leads the partition, or none does.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader, as far as it is known.
        hint: Option<ReplicaId>,
    },
    /// A transfer to another replica is in progress.
    #[snafu(display("a transfer of leadership is in progress"))]
    InProgress,
    /// There is no other voter, or the given target is not one.
    #[snafu(display("no voter can take the leadership"))]
    NoTarget,
}

/// Why a partition was not bootstrapped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum BootstrapError {
    /// The replica belongs to another cluster already.
    #[snafu(display("the replica belongs to another cluster"))]
    AlreadyBootstrapped,
    /// The group is empty, too large, joint, or does not contain this replica.
    #[snafu(display("not a group to bootstrap with"))]
    Invalid,
}

/// Why a snapshot of the application was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum CompactError {
    /// Not everything up to the index has been given to the application.
    #[snafu(display("the application has seen the log up to {} only", applied.0))]
    NotApplied {
        /// The last index that has been.
        applied: Index,
    },
    /// A snapshot up to there or further exists.
    #[snafu(display("a snapshot up to {} exists", snapshot.0))]
    Outdated {
        /// The last index in that snapshot.
        snapshot: Index,
    },
    /// The snapshot is larger than [`MAX_SNAPSHOT`](crate::MAX_SNAPSHOT).
    #[snafu(display("a snapshot of {size} bytes is too large"))]
    TooLarge {
        /// Its size, in bytes.
        size: usize,
    },
}
