//! Node metadata: a small payload that each node publishes of itself. Its bytes are the caller's.

use crate::codec::{Reader, Wire, Writer};
use crate::error::{DecodeError, TooLongSnafu};
use crate::event::Event;
use crate::register::{Key, Register};
use crate::registry::Registry;
use grebeusher_time::Instant;
use snafu::Snafu;

/// The largest payload, in bytes.
pub const MAX_METADATA: usize = 512;

/// A payload exceeds [`MAX_METADATA`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("facts of {length} bytes"))]
pub struct MetadataTooLarge {
    /// The length of the payload.
    pub length: usize,
}

/// The register of what one node says of itself; the newest takes the place of all before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeMetadata {
    /// The name of the node, the key.
    pub node: String,
    /// The node's incarnation when it said so.
    pub incarnation: u64,
    /// Rises with each change within an incarnation.
    pub counter: u64,
    /// Bytes that only the caller understands.
    pub payload: Vec<u8>,
}

impl NodeMetadata {
    /// Of two registers of one node the greater is the newer.
    pub(crate) fn order(&self) -> (u64, u64) {
        (self.incarnation, self.counter)
    }
}

impl Wire for NodeMetadata {
    fn write(&self, out: &mut Writer) {
        out.text(&self.node);
        out.u64(self.incarnation);
        out.u64(self.counter);
        let length = self.payload.len().min(MAX_METADATA);
        out.u16(length as u16);
        out.bytes.extend_from_slice(&self.payload[..length]);
    }

    fn read(input: &mut Reader<'_>) -> Result<NodeMetadata, DecodeError> {
        let node = input.text()?;
        let incarnation = input.u64()?;
        let counter = input.u64()?;
        let length = usize::from(input.u16()?);
        if length > MAX_METADATA {
            return TooLongSnafu { what: "facts", length, largest: MAX_METADATA }.fail();
        }
        Ok(NodeMetadata { node, incarnation, counter, payload: input.take(length)?.to_vec() })
    }
}

impl Registry {
    /// Tells all nodes something of this one, in the place of what it said before.
    ///
    /// # Errors
    /// Refuses more than [`MAX_METADATA`] bytes.
    pub fn set_metadata(&mut self, now: Instant, payload: Vec<u8>) -> Result<(), MetadataTooLarge> {
        if payload.len() > MAX_METADATA {
            return Err(MetadataTooLarge { length: payload.len() });
        }
        self.begin_step(now);
        let counter =
            self.node_metadata.get(&self.own_name).map_or(0, |node_metadata| node_metadata.counter) + 1;
        let incarnation = self.own_member().incarnation;
        self.put_metadata(NodeMetadata { node: self.own_name.clone(), incarnation, counter, payload });
        self.announce(now, Key::NodeMetadata(self.own_name.clone()));
        Ok(())
    }

    pub(crate) fn put_metadata(&mut self, node_metadata: NodeMetadata) {
        let node = node_metadata.node.clone();
        self.node_metadata.insert(node.clone(), node_metadata);
        self.update_metadata_digest(&node);
        self.generation.node_metadata += 1;
        self.output.events.push(Event::MetadataChanged { node });
    }

    /// Metadata counts in the digest while its node lives.
    pub(crate) fn update_metadata_digest(&mut self, node: &str) {
        let Some(node_metadata) = self.node_metadata.get(node) else {
            return;
        };
        let live = self.members.get(node).is_some_and(|entry| entry.member.serves());
        self.digest.set(
            Key::NodeMetadata(node.to_owned()),
            Register::NodeMetadata(node_metadata.clone()).hash(),
            live,
        );
    }
}
