//! What nodes send each other.

use crate::codec::{Reader, Wire, Writer};
use crate::digest::{BUCKETS, Summary};
use crate::error::{DecodeError, TooLongSnafu, TrailingSnafu, UnknownVariantSnafu};
use crate::{Member, NodeId, Register};
use nanoserde::{DeBin, DeBinErr, SerBin};

/// No message is longer in its binary form, in bytes.
pub const MAX_MESSAGE: usize = 16 * 1024;

/// How many bytes of registers go into one message; leaves room for the head.
pub(crate) const REGISTERS_PER_MESSAGE: usize = 15 * 1024;

/// How many entries of a summary go into one message.
pub(crate) const SUMMARIES_PER_MESSAGE: usize = 900;

/// How many registers are asked for in one message.
pub(crate) const WANTED_KEYS_PER_MESSAGE: usize = 1_800;

/// How many registers a message may name at most: each takes over 16 bytes.
const MAX_REGISTERS: usize = MAX_MESSAGE / 16;

/// What a node says of itself and its view in each heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Who sends it.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: u64,
    /// The version of its register.
    pub status_version: u64,
    /// The hash of all registers that it holds.
    pub digest: u64,
    /// The version of the configuration that it has; 0 for none.
    pub configuration_version: u64,
    /// Whether it answers a heartbeat with another digest, so that the receiver sees who is behind.
    pub answer: bool,
}

/// Updates on their way down the tree of relays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// The root of the tree.
    pub origin: NodeId,
    /// The incarnation of the origin, within which `sequence` is unique.
    pub incarnation: u64,
    /// Rises by one with each message of the origin.
    pub sequence: u64,
    /// Whether the origin waits for everyone's [`Message::Confirm`].
    pub confirm: bool,
    /// The updates.
    pub registers: Vec<Register>,
}

/// A message between two nodes. Any may be lost, doubled or overtaken by another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// From a node that knows nobody to a seed.
    Join(Member),
    /// To a node that joins: some of the members, the sender first.
    Welcome(Vec<Member>),
    /// That the sender lives, and what it knows in brief.
    Heartbeat(Heartbeat),
    /// Asks the receiver whether it lives.
    Ping {
        /// Who wants to know, if not the sender.
        asker: Option<NodeId>,
    },
    /// Asks the receiver to send a ping to another node.
    PingFor(NodeId),
    /// That a node lives.
    Pong {
        /// Who lives.
        subject: NodeId,
        /// Who wants to know, if not the receiver.
        asker: Option<NodeId>,
    },
    /// Updates.
    Relay(Relay),
    /// That the sender has the updates of this number; straight to their origin.
    Confirm {
        /// [`Relay::incarnation`].
        incarnation: u64,
        /// [`Relay::sequence`].
        sequence: u64,
    },
    /// The hashes of all registers in parts, as the digests differ.
    Buckets(Vec<u64>),
    /// What the sender has in the parts that differ.
    Summaries {
        /// The parts that the entries list completely, one bit each.
        complete: u64,
        /// Keys and versions.
        entries: Vec<Summary>,
    },
    /// Asks for the registers of these keys.
    Want(Vec<u64>),
    /// Registers that the receiver asked for or lacks.
    Registers(Vec<Register>),
}

impl Message {
    /// The binary form, at most [`MAX_MESSAGE`] bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Writer::default();
        self.write(&mut out);
        out.bytes
    }

    /// Reads a whole message.
    ///
    /// # Errors
    /// Says what is wrong with bytes that are none.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_MESSAGE {
            return TooLongSnafu { what: "a message", length: bytes.len(), largest: MAX_MESSAGE }.fail();
        }
        let mut input = Reader::new(bytes);
        let message = Message::read(&mut input)?;
        match input.left() {
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
            1 => Message::Welcome(input.list("the members of a welcome", MAX_REGISTERS)?),
            2 => Message::Heartbeat(Heartbeat::read(input)?),
            3 => Message::Ping { asker: Option::read(input)? },
            4 => Message::PingFor(NodeId::read(input)?),
            5 => Message::Pong { subject: NodeId::read(input)?, asker: Option::read(input)? },
            6 => Message::Relay(Relay::read(input)?),
            7 => Message::Confirm { incarnation: input.u64()?, sequence: input.u64()? },
            8 => Message::Buckets(input.list("the parts of a digest", BUCKETS)?),
            9 => Message::Summaries {
                complete: input.u64()?,
                entries: input.list("the entries of a summary", MAX_MESSAGE / 16)?,
            },
            10 => Message::Want(input.list("the keys that are wanted", MAX_MESSAGE / 8)?),
            11 => Message::Registers(input.list("the registers of an answer", MAX_REGISTERS)?),
            tag => return UnknownVariantSnafu { what: "a message", tag }.fail(),
        })
    }
}

/// The binary form after its length as four bytes, so that it stands among other values.
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
        let left = bytes.get(*offset..).unwrap_or_default();
        let Some(body) = left.get(..length) else {
            return Err(DeBinErr::new(*offset, length, left.len()));
        };
        // The error of the library can only name lengths.
        let message = Message::decode(body).map_err(|_| DeBinErr::new(*offset, length, left.len()))?;
        *offset += length;
        Ok(message)
    }
}
