//! A published register of any kind, and its key.

use crate::codec::{Reader, Wire, Writer};
use crate::error::{DecodeError, UnknownVariantSnafu};
use crate::hash;
use crate::{Executor, Member, NodeId, NodeMetadata};

/// A register of any kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Register {
    /// The register of a node.
    Member(Member),
    /// The register of an executor.
    Executor(Executor),
    /// The metadata of a node.
    NodeMetadata(NodeMetadata),
}

/// The key of a register: its kind, and the name of the node or the id of the executor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Key {
    Member(String),
    Executor(String),
    NodeMetadata(String),
}

impl Key {
    pub(crate) fn hash(&self) -> u64 {
        let (kind, text) = match self {
            Key::Member(name) => return NodeId::of(name).0,
            Key::Executor(id) => (b'e', id),
            Key::NodeMetadata(name) => (b'f', name),
        };
        let mut bytes = Vec::with_capacity(text.len() + 1);
        bytes.push(kind);
        bytes.extend_from_slice(text.as_bytes());
        hash::of_bytes(&bytes)
    }
}

impl Register {
    pub(crate) fn key(&self) -> Key {
        match self {
            Register::Member(member) => Key::Member(member.name.clone()),
            Register::Executor(executor) => Key::Executor(executor.report.id.clone()),
            Register::NodeMetadata(node_metadata) => Key::NodeMetadata(node_metadata.node.clone()),
        }
    }

    pub(crate) fn as_executor(&self) -> Option<&Executor> {
        match self {
            Register::Executor(executor) => Some(executor),
            _ => None,
        }
    }

    /// Returns the hash of the encoded register.
    pub(crate) fn hash(&self) -> u64 {
        let mut out = Writer::default();
        self.write(&mut out);
        hash::of_bytes(&out.bytes)
    }

    /// Returns the length of the encoded register, in bytes.
    pub(crate) fn length(&self) -> usize {
        let mut out = Writer::default();
        self.write(&mut out);
        out.bytes.len()
    }
}

impl Wire for Register {
    fn write(&self, out: &mut Writer) {
        match self {
            Register::Member(member) => {
                out.u8(0);
                member.write(out);
            }
            Register::Executor(executor) => {
                out.u8(1);
                executor.write(out);
            }
            Register::NodeMetadata(node_metadata) => {
                out.u8(2);
                node_metadata.write(out);
            }
        }
    }

    fn read(input: &mut Reader<'_>) -> Result<Register, DecodeError> {
        match input.u8()? {
            0 => Ok(Register::Member(Member::read(input)?)),
            1 => Ok(Register::Executor(Executor::read(input)?)),
            2 => Ok(Register::NodeMetadata(NodeMetadata::read(input)?)),
            tag => UnknownVariantSnafu { what: "a register", tag }.fail(),
        }
    }
}
