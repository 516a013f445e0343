//! The messages between nodes and their binary encoding.

use crate::codec::{Reader, Wire, Writer};
use crate::digest::{BUCKETS, Summary};
use crate::error::{DecodeError, TooLongSnafu, TrailingSnafu, UnknownVariantSnafu};
use crate::{Member, NodeId, Register};
use nanoserde::{DeBin, DeBinErr, SerBin};

/// The largest length of an encoded message, in bytes.
pub const MAX_MESSAGE: usize = 16 * 1024;

/// The largest total length of the registers in one message, in bytes; the rest of the message is left for its header.
pub(crate) const REGISTER_BYTES_PER_MESSAGE: usize = 15 * 1024;

/// The largest number of summaries in one message.
pub(crate) const SUMMARIES_PER_MESSAGE: usize = 900;

/// The largest number of registers that one message requests.
pub(crate) const WANTED_KEYS_PER_MESSAGE: usize = 1_800;

/// The largest number of registers in a message: each takes more than 16 bytes.
const MAX_REGISTERS: usize = MAX_MESSAGE / 16;

/// The version of a node's own register and the digest of all its registers, sent in each heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The id of the sender.
    pub node: NodeId,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The version of the sender's register within the incarnation.
    pub status_version: u64,
    /// The combined hash of all live registers that the sender holds.
    pub digest: u64,
    /// The version of the configuration that the sender has, or 0 if it has none.
    pub configuration_version: u64,
    /// Whether this message answers a heartbeat whose digest differed, so that the receiver can detect which of the two
    /// nodes is behind.
    pub answer: bool,
}

/// Updates that are forwarded down a relay tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// The id of the node that sent the updates first, which is the root of the tree.
    pub origin: NodeId,
    /// The incarnation of the origin, within which `sequence` is unique.
    pub incarnation: u64,
    /// The number of this relay, which increases by one with each relay of the origin.
    pub sequence: u64,
    /// Whether the origin waits for a [`Message::Confirm`] from every node.
    pub confirm: bool,
    /// The updated registers.
    pub registers: Vec<Register>,
}

/// A message between two nodes. Messages may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A request to a seed to let the sender join, with the register of the sender.
    Join(Member),
    /// The answer to a joining node: some of the members, the sender first.
    Welcome(Vec<Member>),
    /// A sign of life of the sender, with the digest of its registers.
    Heartbeat(Heartbeat),
    /// A probe that the receiver answers with a pong.
    Ping {
        /// The node that requested the probe, if it is not the sender.
        asker: Option<NodeId>,
    },
    /// A request to the receiver to ping the node with this id.
    PingFor(NodeId),
    /// The answer to a ping, which shows that a node is alive.
    Pong {
        /// The node that answered the ping.
        subject: NodeId,
        /// The node that requested the probe, if it is not the receiver.
        asker: Option<NodeId>,
    },
    /// Updates that each node forwards down the relay tree.
    Relay(Relay),
    /// The confirmation that the sender has received a relay, sent directly to the origin of the relay.
    Confirm {
        /// The [`Relay::incarnation`] of the confirmed relay.
        incarnation: u64,
        /// The [`Relay::sequence`] of the confirmed relay.
        sequence: u64,
    },
    /// The hash of each bucket of registers, sent to a node whose digest differs.
    Buckets(Vec<u64>),
    /// The summaries of the sender's registers in the buckets that differ.
    Summaries {
        /// A bit mask of the buckets whose registers are all listed in the entries.
        complete: u64,
        /// The hashes of the keys and versions of the registers.
        entries: Vec<Summary>,
    },
    /// A request for the registers with these hashes of their keys.
    Want(Vec<u64>),
    /// Registers that the receiver requested or lacks.
    Registers(Vec<Register>),
}

impl Message {
    /// Encodes the message in at most [`MAX_MESSAGE`] bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Writer::default();
        self.write(&mut out);
        out.bytes
    }

    /// Decodes bytes that consist of exactly one message.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_MESSAGE {
            return TooLongSnafu { what: "a message", length: bytes.len(), largest: MAX_MESSAGE }.fail();
        }
        let mut input = Reader::new(bytes);
        let message = Message::read(&mut input)?;
        match input.remaining() {
            0 => Ok(message),
            count => TrailingSnafu { count }.fail(),
        }
    }
}

impl Wire for NodeId {
    fn write(&self, out: &mut Writer) {
        out.u64(self.0);
    }

    fn read(input: &mut Reader<'_>) -> Result<NodeId, DecodeError> {
        Ok(NodeId(input.u64()?))
    }
}

impl Wire for Summary {
    fn write(&self, out: &mut Writer) {
        out.u64(self.key);
        out.u64(self.version);
    }

    fn read(input: &mut Reader<'_>) -> Result<Summary, DecodeError> {
        Ok(Summary { key: input.u64()?, version: input.u64()? })
    }
}

fn read_flag(input: &mut Reader<'_>) -> Result<bool, DecodeError> {
    match input.u8()? {
        0 => Ok(false),
        1 => Ok(true),
        tag => UnknownVariantSnafu { what: "a flag", tag }.fail(),
    }
}

impl Wire for Heartbeat {
    fn write(&self, out: &mut Writer) {
        self.node.write(out);
        out.u64(self.incarnation);
        out.u64(self.status_version);
        out.u64(self.digest);
        out.u64(self.configuration_version);
        out.u8(u8::from(self.answer));
    }

    fn read(input: &mut Reader<'_>) -> Result<Heartbeat, DecodeError> {
        Ok(Heartbeat {
            node: NodeId::read(input)?,
            incarnation: input.u64()?,
            status_version: input.u64()?,
            digest: input.u64()?,
            configuration_version: input.u64()?,
            answer: read_flag(input)?,
        })
    }
}

impl Wire for Relay {
    fn write(&self, out: &mut Writer) {
        self.origin.write(out);
        out.u64(self.incarnation);
        out.u64(self.sequence);
        out.u8(u8::from(self.confirm));
        out.list(&self.registers);
    }

    fn read(input: &mut Reader<'_>) -> Result<Relay, DecodeError> {
        Ok(Relay {
            origin: NodeId::read(input)?,
            incarnation: input.u64()?,
            sequence: input.u64()?,
            confirm: read_flag(input)?,
            registers: input.list("the registers of a relay", MAX_REGISTERS)?,
        })
    }
}

impl Wire for Message {
    fn write(&self, out: &mut Writer) {
        match self {
            Message::Join(member) => {
                out.u8(0);
                member.write(out);
            }
            Message::Welcome(members) => {
                out.u8(1);
                out.list(members);
            }
            Message::Heartbeat(heartbeat) => {
                out.u8(2);
                heartbeat.write(out);
            }
            Message::Ping { asker } => {
                out.u8(3);
                asker.write(out);
            }
            Message::PingFor(subject) => {
                out.u8(4);
                subject.write(out);
            }
            Message::Pong { subject, asker } => {
                out.u8(5);
                subject.write(out);
                asker.write(out);
            }
            Message::Relay(relay) => {
                out.u8(6);
                relay.write(out);
            }
            Message::Confirm { incarnation, sequence } => {
                out.u8(7);
                out.u64(*incarnation);
                out.u64(*sequence);
            }
            Message::Buckets(sums) => {
                out.u8(8);
                out.list(sums);
            }
            Message::Summaries { complete, entries } => {
                out.u8(9);
                out.u64(*complete);
                out.list(entries);
            }
            Message::Want(keys) => {
                out.u8(10);
                out.list(keys);
            }
            Message::Registers(registers) => {
                out.u8(11);
                out.list(registers);
            }
        }
    }

    fn read(input: &mut Reader<'_>) -> Result<Message, DecodeError> {
        Ok(match input.u8()? {
            0 => Message::Join(Member::read(input)?),
            1 => Message::Welcome(input.list("the members of a welcome message", MAX_REGISTERS)?),
            2 => Message::Heartbeat(Heartbeat::read(input)?),
            3 => Message::Ping { asker: Option::read(input)? },
            4 => Message::PingFor(NodeId::read(input)?),
            5 => Message::Pong { subject: NodeId::read(input)?, asker: Option::read(input)? },
            6 => Message::Relay(Relay::read(input)?),
            7 => Message::Confirm { incarnation: input.u64()?, sequence: input.u64()? },
            8 => Message::Buckets(input.list("the bucket hashes of a digest", BUCKETS)?),
            9 => Message::Summaries {
                complete: input.u64()?,
                entries: input.list("the list of summaries", MAX_MESSAGE / 16)?,
            },
            10 => Message::Want(input.list("the requested keys", MAX_MESSAGE / 8)?),
            11 => Message::Registers(input.list("the list of registers", MAX_REGISTERS)?),
            tag => return UnknownVariantSnafu { what: "a message", tag }.fail(),
        })
    }
}

/// Encodes the message with its length as a four-byte prefix, so that it can be part of other encoded values.
impl SerBin for Message {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        let bytes = self.encode();
        (bytes.len() as u32).ser_bin(output);
        output.extend_from_slice(&bytes);
    }
}

impl DeBin for Message {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Message, DeBinErr> {
        let length = u32::de_bin(offset, bytes)? as usize;
        let remaining = bytes.get(*offset..).unwrap_or_default();
        let Some(body) = remaining.get(..length) else {
            return Err(DeBinErr::new(*offset, length, remaining.len()));
        };
        // The error type of the library can only report lengths.
        let message = Message::decode(body).map_err(|_| DeBinErr::new(*offset, length, remaining.len()))?;
        *offset += length;
        Ok(message)
    }
}
