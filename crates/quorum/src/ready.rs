//! The output of a replica: the records to write, messages to send and commands to apply.

use crate::blob::Blob;
use crate::entry::Write;
use crate::ids::{Index, ReplicaId, Term};
use crate::message::Message;

/// A committed command of the application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    /// The index of the command in the log.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The bytes that were proposed.
    pub payload: Blob,
}

/// A batch of work for the program, which processes it in this order: `immediate_messages` may be sent at once; then
/// `writes` are written and, if `must_sync`, synced; then [`Replica::synced`](crate::Replica::synced) is called,
/// `messages` are sent, `restore` is loaded and `committed` is applied. The next batch is taken only after that. The
/// replica may receive messages and proposals in between.
#[derive(Debug, Default)]
pub struct Ready {
    /// Messages that do not depend on this replica's disk: a leader sends entries while it writes them itself.
    pub immediate_messages: Vec<(ReplicaId, Message)>,
    /// Changes to write to disk, in this order.
    pub writes: Vec<Write>,
    /// Whether `writes` must be synced before `messages` are sent. If not, `writes` is empty.
    pub must_sync: bool,
    /// Messages that may be sent only after the sync.
    pub messages: Vec<(ReplicaId, Message)>,
    /// A snapshot that replaces the application's state, to be loaded before `committed` is applied.
    pub restore: Option<Restore>,
    /// Commands to apply, in order.
    pub committed: Vec<Committed>,
    /// The index up to which all entries have been given to the application with this batch, including entries without
    /// a command. [`Replica::compact`](crate::Replica::compact) takes any index up to it.
    pub applied: Index,
}

/// A snapshot that replaces the application's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restore {
    /// The index of the last entry that the snapshot contains.
    pub index: Index,
    /// The state in the application's own format.
    pub bytes: Blob,
}
