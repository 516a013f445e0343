//! What a replica wants done: the writes, the messages, and what the application learns.

use crate::blob::Blob;
use crate::entry::Write;
use crate::ids::{Index, ReplicaId, Term};
use crate::message::Message;

/// A command of the application that is decided for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    pub index: Index,
    pub term: Term,
    pub payload: Blob,
}

/// A batch of work. The order is: `immediate_messages` may be sent at once; then `writes` are written and, if `must_sync`, synced;
/// then [`Replica::synced`](crate::Replica::synced) is called, `messages` are sent, `restore` is loaded and `committed`
/// is applied. The next batch is taken only after that; messages and proposals may come in between.
#[derive(Debug, Default)]
pub struct Ready {
    /// Messages that promise nothing about this replica's disk: a leader's entries go out while it writes them itself.
    pub immediate_messages: Vec<(ReplicaId, Message)>,
    /// What goes to disk, in order.
    pub writes: Vec<Write>,
    /// Whether `writes` must be synced before `messages` are sent; if not, there are none.
    pub must_sync: bool,
    /// Messages that may leave only after the sync.
    pub messages: Vec<(ReplicaId, Message)>,
    /// A snapshot that replaces the application's state, to be loaded before `committed` is applied.
    pub restore: Option<Restore>,
    /// Commands to apply, in order.
    pub committed: Vec<Committed>,
    /// Everything up to here has now been handed to the application, also entries that carry no command;
    /// [`Replica::compact`](crate::Replica::compact) takes any index up to it.
    pub applied: Index,
}

/// A state that the application takes over as its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restore {
    /// The last entry that it contains.
    pub index: Index,
    pub bytes: Blob,
}
