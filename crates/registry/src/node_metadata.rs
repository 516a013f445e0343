//! Node metadata: a small payload that each node publishes about itself. Only the caller interprets its bytes.

use crate::codec::{Reader, Wire, Writer};
use crate::error::{DecodeError, TooLongSnafu};
use crate::event::Event;
use crate::register::{Key, Register};
use crate::registry::Registry;
use grebeusher_time::Instant;
use snafu::Snafu;

/// The largest payload, in bytes.
pub const MAX_METADATA: usize = 512;

/// The error of a payload that exceeds [`MAX_METADATA`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("node metadata has {length} bytes, more than {MAX_METADATA}"))]
pub struct MetadataTooLarge {
    /// The length of the payload, in bytes.
    pub length: usize,
}

/// The register with the metadata of one node; a newer one replaces the previous one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeMetadata {
    /// The name of the node, which is the key of the register.
    pub node: String,
    /// The node's incarnation when it published the payload.
    pub incarnation: u64,
    /// The number of the change within the incarnation.
    pub counter: u64,
    /// The payload, which only the caller interprets.
    pub payload: Vec<u8>,
}

impl NodeMetadata {
    /// Returns the sort key of the register: of two registers of one node, the one with the greater key is newer.
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
            return TooLongSnafu { what: "the metadata of a node", length, largest: MAX_METADATA }.fail();
        }
        Ok(NodeMetadata { node, incarnation, counter, payload: input.take(length)?.to_vec() })
    }
}

impl Registry {
    /// Publishes metadata of this node to all nodes and replaces the previous metadata.
    ///
    /// # Errors
    /// Returns an error if the payload is longer than [`MAX_METADATA`] bytes.
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

    /// Updates the digest for the metadata of a node, which counts as live while the node is live.
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
