//! The messages between replicas, and their binary form.

use grebeusher_time::Instant;
use nanoserde::{DeBin, DeBinErr, SerBin};
use snafu::{Snafu, ensure};

use crate::blob::{Blob, read_list, write_list};
use crate::entry::Entry;
use crate::group::Group;
use crate::ids::{ClusterId, Index, Position, ReplicaId, Term};

/// The largest message in its binary form, in bytes: the largest command and its surroundings.
pub const MAX_MESSAGE: usize = crate::MAX_COMMAND + 64 * 1024;

/// A message from one replica to another. It is dropped by every other one than `to`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver.
    pub to: ReplicaId,
    /// The cluster that the sender belongs to.
    pub cluster_id: ClusterId,
    /// The sender's term; for a pre-vote, and a pre-vote that was granted, the term of the election that may follow.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in this term. Neither side records anything.
    RequestPreVote(VoteRequest),
    /// The answer to a pre-vote.
    PreVoteResponse(VoteResponse),
    /// Asks for the receiver's vote in this term.
    RequestVote(VoteRequest),
    /// The answer to a request for a vote.
    VoteResponse(VoteResponse),
    /// Entries of the leader; without any it is a heartbeat.
    Append(Append),
    /// The answer to an append or to a complete snapshot.
    AppendResponse(AppendResponse),
    /// A chunk of the leader's snapshot.
    SnapshotChunk(SnapshotChunk),
    /// How much of the snapshot has arrived.
    SnapshotChunkResponse(SnapshotChunkResponse),
    /// The leader gave up its lease: the receiver starts an election at once.
    TimeoutNow,
}

/// A candidate's request for a vote or a pre-vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct VoteRequest {
    /// The end of its log.
    pub last: Position,
    /// The leader of the term before gave up its lease for this election, so voters need not wait for its end.
    pub leadership_transfer: bool,
}

/// The answer to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct VoteResponse {
    /// Whether the vote was given.
    pub granted: bool,
}

/// The leader's clock when it sent a message, echoed by the response: the lease counts from it.
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
    /// The entry before `entries`.
    pub previous: Position,
    /// What the leader knows to be committed.
    pub commit: Index,
    /// When the leader sent it.
    pub sent: LeaderTimestamp,
    /// The entries, without gaps.
    pub entries: Vec<Entry>,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct AppendResponse {
    /// What became of the append.
    pub outcome: AppendOutcome,
    /// When the leader sent what this answers.
    pub sent: LeaderTimestamp,
}

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum AppendOutcome {
    /// The log is the leader's up to here, synced.
    Matched(Index),
    /// The receiver's entry at `rejected` differs or is missing.
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
    /// When the leader sent it.
    pub sent: LeaderTimestamp,
}

/// How much of a snapshot has arrived without gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct SnapshotChunkResponse {
    /// The last entry that the snapshot contains.
    pub last: Position,
    /// The bytes that have arrived, from the start without gaps.
    pub received: u64,
    /// When the leader sent what this answers.
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
        // Index, term and the payload's kind.
        const MIN_ENTRY_BYTES: usize = 8 + 8 + 1;
        Ok(Append {
            previous: Position::de_bin(offset, bytes)?,
            commit: Index::de_bin(offset, bytes)?,
            sent: LeaderTimestamp::de_bin(offset, bytes)?,
            entries: read_list(MIN_ENTRY_BYTES, offset, bytes)?,
        })
    }
}

/// Why bytes are not a message.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The input is larger than [`MAX_MESSAGE`].
    #[snafu(display("a message of {size} bytes; the most is {MAX_MESSAGE}"))]
    TooLarge {
        /// Its size, in bytes.
        size: usize,
    },
    /// The input is not the binary form of a message.
    #[snafu(display("not a message: {source}"))]
    Malformed {
        /// What the decoder found.
        source: DeBinErr,
    },
    /// The input goes on after the message.
    #[snafu(display("{extra} bytes after the message"))]
    Trailing {
        /// The bytes after the message.
        extra: usize,
    },
    /// The message is well formed, but no replica sends such numbers or lists.
    #[snafu(display("numbers or lists that no replica sends"))]
    Implausible,
}

/// The binary form of a message, at most [`MAX_MESSAGE`] bytes for what a replica sends.
pub fn encode(message: &Message) -> Vec<u8> {
    message.serialize_bin()
}

/// Reads a message. What it allocates is at most a few times the input.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    ensure!(bytes.len() <= MAX_MESSAGE, TooLargeSnafu { size: bytes.len() });
    let mut offset = 0;
    let message = Message::de_bin(&mut offset, bytes).map_err(|source| DecodeError::Malformed { source })?;
    ensure!(offset == bytes.len(), TrailingSnafu { extra: bytes.len() - offset });
    ensure!(message.is_plausible(), ImplausibleSnafu);
    Ok(message)
}

impl Message {
    /// Whether numbers and lists are such as a replica sends; others are dropped.
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
        let mut before = self.previous;
        self.previous.index.is_plausible()
            && self.previous.term <= term
            && self.entries.iter().all(|entry| {
                let follows =
                    entry.index == before.index.next() && entry.term >= before.term && entry.term <= term;
                before = entry.position();
                follows && entry.payload_is_well_formed()
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
