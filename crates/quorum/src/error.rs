//! Why a replica refuses a call.

use snafu::Snafu;

use crate::ids::{Index, ReplicaId};

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ProposeError {
    /// Another replica leads the partition, or none does, or the leadership is being handed over.
    #[snafu(display("not the leader"))]
    NotLeader { hint: Option<ReplicaId> },
    /// Too much waits for a quorum already; try again when some of it has been committed.
    #[snafu(display("too many bytes wait for a quorum"))]
    Busy,
    /// The command is larger than [`MAX_COMMAND`](crate::MAX_COMMAND).
    #[snafu(display("a command of {size} bytes is too large"))]
    TooLarge { size: usize },
}

/// Why a change of the group was not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ChangeError {
    #[snafu(display("not the leader"))]
    NotLeader { hint: Option<ReplicaId> },
    /// A change or the handing over of the leadership is under way.
    #[snafu(display("a change is under way"))]
    InProgress,
    /// The leader has not committed an entry of its own term yet; try again soon.
    #[snafu(display("the leadership is not settled yet"))]
    NotCommitted,
    #[snafu(display("the new group is empty or too large"))]
    Invalid,
}

/// Why a leadership was not handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum TransferLeadershipError {
    #[snafu(display("not the leader"))]
    NotLeader { hint: Option<ReplicaId> },
    /// It is being handed to somebody else already.
    #[snafu(display("the leadership is being handed over"))]
    InProgress,
    /// Nobody else can take it, or the named one is no voter.
    #[snafu(display("nobody can take the leadership"))]
    NoTarget,
}

/// Why a founding was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum BootstrapError {
    /// The replica belongs to another founding already.
    #[snafu(display("the part was founded otherwise"))]
    AlreadyBootstrapped,
    /// The group is empty, too large, joint, or does not name this replica.
    #[snafu(display("not a group that founds"))]
    Invalid,
}

/// Why a snapshot of the application was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum CompactError {
    /// Not everything up to the index has been handed to the application.
    #[snafu(display("the application has seen the log up to {} only", applied.0))]
    NotApplied { applied: Index },
    /// A snapshot up to there or further exists.
    #[snafu(display("a snapshot up to {} exists", snapshot.0))]
    Outdated { snapshot: Index },
    #[snafu(display("a snapshot of {size} bytes is too large"))]
    TooLarge { size: usize },
}
