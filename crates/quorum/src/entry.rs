//! What the log is made of, and what of it is kept on disk.

use nanoserde::{DeBin, SerBin};

use crate::blob::Blob;
use crate::group::Group;
use crate::ids::{ClusterId, Index, Position, ReplicaId, Term};

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum Payload {
    /// The first entry of a leadership; it carries nothing.
    Noop,
    /// The group from this entry on.
    Group(Group),
    /// A command of the application.
    Command(Blob),
}

impl Payload {
    /// The size that counts against the bounds of messages and memory, in bytes.
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
    pub index: Index,
    pub term: Term,
    pub payload: Payload,
}

impl Entry {
    /// Where the entry stands.
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }
}

/// The promises of a replica; all of them are synced before any message tells of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct HardState {
    /// The newest term that was seen.
    pub term: Term,
    /// Who got the vote in that term.
    pub vote: Option<ReplicaId>,
    /// The founding that the replica belongs to; none before it was founded or first written to.
    pub cluster_id: Option<ClusterId>,
    /// An index up to which the log was known to be committed when this was written; may lag.
    pub commit: Index,
}

/// The state of the application up to an entry, which stands for all entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct Snapshot {
    /// The last entry that it contains.
    pub last: Position,
    /// The group at that entry.
    pub group: Group,
    /// The application's bytes.
    pub bytes: Blob,
}

/// What was found on disk at the start; the default is an empty disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// One thing to put on disk; a batch of them is written in order and synced once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The promises, in the stead of all earlier ones.
    HardState(HardState),
    /// Entries without gaps. They replace everything from the first one's index on.
    Entries(Vec<Entry>),
    /// The whole state anew: after it nothing that was written before counts.
    Snapshot { snapshot: Snapshot, hard_state: HardState, entries: Vec<Entry> },
}
