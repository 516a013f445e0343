//! The output of a replica: what to write, to send and to apply.

use crate::blob::Blob;
use crate::entry::Write;
use crate::ids::{Index, ReplicaId, Term};
use crate::message::Message;

/// A committed command of the application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    /// Its index in the log.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The bytes that were proposed.
    pub payload: Blob,
}

/// A batch of work. The order is: `immediate_messages` may be sent at once; then `writes` are written and, if `must_sync`, synced;
/// then [`Replica::synced`](crate::Replica::synced) is called, `messages` are sent, `restore` is loaded and `committed`
/// is applied. The next batch is taken only after that; messages and proposals may come in between.
#[derive(Debug, Default)]
pub struct Ready {
    /// Messages that do not depend on this replica's disk: a leader sends entries while it writes them itself.
    pub immediate_messages: Vec<(ReplicaId, Message)>,
    /// What has to be written, in order.
    pub writes: Vec<Write>,
    /// Whether `writes` must be synced before `messages` are sent; if not, there are none.
    pub must_sync: bool,
    /// Messages that may be sent only after the sync.
    pub messages: Vec<(ReplicaId, Message)>,
    /// A snapshot that replaces the application's state, to be loaded before `committed` is applied.
    pub restore: Option<Restore>,
    /// Commands to apply, in order.
    pub committed: Vec<Committed>,
    /// Everything up to here has now been given to the application, also entries that carry no command;
    /// [`Replica::compact`](crate::Replica::compact) takes any index up to it.
    pub applied: Index,
}

/// A snapshot that replaces the application's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restore {
    /// The last entry that it contains.
    pub index: Index,
    /// The application's bytes.
    pub bytes: Blob,
}
