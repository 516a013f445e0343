//! The messages between replicas, and their binary form.

use grebeusher_time::Instant;
use nanoserde::{DeBin, DeBinErr, SerBin};
use snafu::{Snafu, ensure};

use crate::blob::{Blob, read_list, write_list};
use crate::entry::Entry;
use crate::group::Group;
use crate::ids::{ClusterId, Index, Position, ReplicaId, Term};

/// The largest message in its binary form, in bytes: the largest command, and room for the rest of its message.
pub const MAX_MESSAGE: usize = crate::MAX_COMMAND + 64 * 1024;

/// A message from one replica to another. A replica other than `to` that receives it drops it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Message {
    /// The replica that sends the message.
    pub from: ReplicaId,
    /// The replica that the message is for.
    pub to: ReplicaId,
    /// The cluster that the sender belongs to.
    pub cluster_id: ClusterId,
    /// The sender's term. In a request for a pre-vote, and in a response that grants it, the term of the election that
    /// may follow.
    pub term: Term,
    /// The content of the message.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in this term. Neither side records anything.
    RequestPreVote(VoteRequest),
    /// The response to a request for a pre-vote.
    PreVoteResponse(VoteResponse),
    /// Asks for the receiver's vote in this term.
    RequestVote(VoteRequest),
    /// The response to a request for a vote.
    VoteResponse(VoteResponse),
    /// Entries of the leader. An append without entries is a heartbeat.
    Append(Append),
    /// The response to an append, and to a chunk that completes a snapshot or belongs to one that the receiver does not
    /// need.
    AppendResponse(AppendResponse),
    /// A chunk of the leader's snapshot.
    SnapshotChunk(SnapshotChunk),
    /// The response to a chunk of a snapshot that is not complete yet.
    SnapshotChunkResponse(SnapshotChunkResponse),
    /// Asks the receiver to start an election at once; the leader has given up its lease.
    TimeoutNow,
}

/// A candidate's request for a vote or a pre-vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct VoteRequest {
    /// The position of the last entry in the candidate's log.
    pub last: Position,
    /// Whether the leader of the previous term gave up its lease for this election, so that voters need not wait until
    /// it expires.
    pub leadership_transfer: bool,
}

/// The response to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct VoteResponse {
    /// Whether the vote was granted.
    pub granted: bool,
}

/// The time on the leader's clock when it sent a message, in nanoseconds. The response repeats it, and the lease counts
/// from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct LeaderTimestamp(pub u64);

impl LeaderTimestamp {
    pub(crate) fn from_instant(instant: Instant) -> LeaderTimestamp {
        LeaderTimestamp(instant.0)
    }

    pub(crate) fn instant(self) -> Instant {
        Instant(self.0)
    }
}

/// Entries after a position that the receiver must have.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Append {
    /// The position of the entry before `entries`.
    pub previous: Position,
    /// The leader's commit index.
    pub commit: Index,
    /// The time at which the leader sent this message.
    pub sent: LeaderTimestamp,
    /// The entries, without gaps.
    pub entries: Vec<Entry>,
}

/// The response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct AppendResponse {
    /// Whether the receiver has the entries now.
    pub outcome: AppendOutcome,
    /// The time at which the leader sent the message that this responds to.
    pub sent: LeaderTimestamp,
}

/// The receiver's result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum AppendOutcome {
    /// The receiver's log equals the leader's up to this index, and is synced up to it.
    Matched(Index),
    /// The receiver's entry at `rejected` is missing or of another term than the leader's.
    Conflict {
        /// The index before the first entry of the append.
        rejected: Index,
        /// The highest index at which the logs may agree.
        hint: Index,
    },
    /// The receiver knows a newer term than the sender's.
    StaleTerm,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct SnapshotChunk {
    /// The last entry that the snapshot contains.
    pub last: Position,
    /// The group at that entry.
    pub group: Group,
    /// The size of the complete snapshot, in bytes.
    pub total: u64,
    /// Where the chunk starts in the snapshot, in bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    pub bytes: Blob,
    /// The time at which the leader sent this message.
    pub sent: LeaderTimestamp,
}

/// The response to a chunk of a snapshot that is not complete yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct SnapshotChunkResponse {
    /// The last entry that the snapshot contains.
    pub last: Position,
    /// The number of bytes that have arrived, counted from the start up to the first gap.
    pub received: u64,
    /// The time at which the leader sent the message that this responds to.
    pub sent: LeaderTimestamp,
}

impl SerBin for Append {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.previous.ser_bin(output);
        self.commit.ser_bin(output);
        self.sent.ser_bin(output);
        write_list(&self.entries, output);
    }
}

impl DeBin for Append {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Append, DeBinErr> {
        // An entry takes 8 bytes for its index, 8 for its term, and at least 1 for the kind of its payload.
        const MIN_ENTRY_BYTES: usize = 8 + 8 + 1;
        Ok(Append {
            previous: Position::de_bin(offset, bytes)?,
            commit: Index::de_bin(offset, bytes)?,
            sent: LeaderTimestamp::de_bin(offset, bytes)?,
            entries: read_list(MIN_ENTRY_BYTES, offset, bytes)?,
        })
    }
}

/// The reason why [`decode`] rejected its input.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The input is larger than [`MAX_MESSAGE`].
    #[snafu(display("message of {size} bytes is longer than {MAX_MESSAGE} bytes"))]
    TooLarge {
        /// The size of the input, in bytes.
        size: usize,
    },
    /// The input is not the binary form of a message.
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        /// The decoder's error.
        source: DeBinErr,
    },
    /// The input has more bytes after the message.
    #[snafu(display("{extra} unexpected bytes after the message"))]
    Trailing {
        /// The number of bytes after the message.
        extra: usize,
    },
    /// The message can be decoded, but has numbers or lists that no replica sends.
    #[snafu(display("message has numbers or lists that no replica sends"))]
    Implausible,
}

/// Returns the binary form of a message. For a message that a replica sends it has at most [`MAX_MESSAGE`] bytes.
pub fn encode(message: &Message) -> Vec<u8> {
    message.serialize_bin()
}

/// Decodes a message. It allocates at most a few times the size of the input.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    ensure!(bytes.len() <= MAX_MESSAGE, TooLargeSnafu { size: bytes.len() });
    let mut offset = 0;
    let message = Message::de_bin(&mut offset, bytes).map_err(|source| DecodeError::Malformed { source })?;
    ensure!(offset == bytes.len(), TrailingSnafu { extra: bytes.len() - offset });
    ensure!(message.is_plausible(), ImplausibleSnafu);
    Ok(message)
}

impl Message {
    /// Whether a replica may have sent these numbers and lists. Other messages are dropped.
    pub(crate) fn is_plausible(&self) -> bool {
        self.term.is_plausible()
            && match &self.body {
                Body::Append(append) => append.is_plausible(self.term),
                Body::SnapshotChunk(chunk) => chunk.is_plausible(self.term),
                _ => true,
            }
    }
}

impl Append {
    fn is_plausible(&self, term: Term) -> bool {
        let mut preceding = self.previous;
        self.previous.index.is_plausible()
            && self.previous.term <= term
            && self.entries.iter().all(|entry| {
                let is_next = entry.index == preceding.index.next()
                    && entry.term >= preceding.term
                    && entry.term <= term;
                preceding = entry.position();
                is_next && entry.payload_is_well_formed()
            })
    }
}

impl Entry {
    fn payload_is_well_formed(&self) -> bool {
        match &self.payload {
            crate::entry::Payload::Group(group) => group.is_well_formed(),
            _ => true,
        }
    }
}

impl SnapshotChunk {
    fn is_plausible(&self, term: Term) -> bool {
        self.last.index.is_plausible()
            && self.last.index > Index(0)
            && self.last.term <= term
            && self.group.is_well_formed()
            && self.total <= crate::MAX_SNAPSHOT as u64
            && self.offset.saturating_add(self.bytes.len() as u64) <= self.total
    }
}
