//! Entries of the log, and the state that a replica keeps on disk.

use nanoserde::{DeBin, SerBin};

use crate::blob::Blob;
use crate::group::Group;
use crate::ids::{ClusterId, Index, Position, ReplicaId, Term};

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum Payload {
    /// The empty entry that a leader appends at the start of its term, because it can commit earlier entries only
    /// together with one of its own term.
    Noop,
    /// The group that is in force from this entry on.
    Group(Group),
    /// A command of the application.
    Command(Blob),
}

impl Payload {
    /// The size of an entry with this payload that counts against the limits of messages and memory, in bytes.
    pub(crate) fn size(&self) -> usize {
        const ENTRY_OVERHEAD: usize = 32;
        ENTRY_OVERHEAD
            + match self {
                Payload::Noop => 0,
                Payload::Group(group) => 8 * (group.voters.len() + group.outgoing.len()),
                Payload::Command(bytes) => bytes.len(),
            }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Entry {
    /// The index of the entry in the log.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// The entry's index and term.
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }
}

/// The state that a replica must not lose. It is synced before any message that depends on it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct HardState {
    /// The newest term that the replica has seen.
    pub term: Term,
    /// The candidate that got this replica's vote in that term.
    pub vote: Option<ReplicaId>,
    /// The cluster that the replica belongs to; none until it was bootstrapped or has heard from a leader.
    pub cluster_id: Option<ClusterId>,
    /// The commit index when this was written; the replica may know a higher one by now.
    pub commit: Index,
}

/// The state of the application after it has applied an entry. A snapshot replaces that entry and all before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct Snapshot {
    /// The position of the last entry that the snapshot contains.
    pub last: Position,
    /// The group at that entry.
    pub group: Group,
    /// The state in the application's own format.
    pub bytes: Blob,
}

/// The state that was read from disk at the start; the default is that of an empty disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// The newest hard state.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// One change to the state on disk; a batch of changes is written in order and synced once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The hard state, in place of all earlier ones.
    HardState(HardState),
    /// Entries without gaps. They replace everything from the first one's index on.
    Entries(Vec<Entry>),
    /// The complete state: it replaces everything that was written before.
    Snapshot {
        /// The newest snapshot.
        snapshot: Snapshot,
        /// The hard state.
        hard_state: HardState,
        /// The entries after the snapshot.
        entries: Vec<Entry>,
    },
}
