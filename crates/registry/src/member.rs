//! The register of one node of the tier.

use crate::codec::{Reader, Wire, Writer};
use crate::error::{DecodeError, UnknownVariantSnafu};
use crate::hash;
use std::net::SocketAddrV4;

/// The class of a node's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// The node accepts requests of clients.
    Edge,
    /// The node stores data.
    Storage,
}

/// The state of a node's lifecycle as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The node runs.
    Alive,
    /// The register says that the node is alive, but it did not answer a probe of this node. This state is local and
    /// never sent to other nodes.
    Suspect,
    /// A watcher of the node received nothing from it for the death timeout. The node may come back.
    Dead,
    /// The node was asked to stop and still serves the requests that it has.
    Leaving,
    /// The node has stopped in an orderly way.
    Left,
}

/// The id of a node: the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Returns the id of the node with this name.
    pub fn of(name: &str) -> NodeId {
        let mut bytes = Vec::with_capacity(name.len() + 1);
        bytes.push(b'm');
        bytes.extend_from_slice(name.as_bytes());
        NodeId(hash::of_bytes(&bytes))
    }
}

/// The register of one node. The node itself writes it; others may only mark its current version dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The name of the node, which is the key of the register.
    pub name: String,
    /// The internal address at which the node listens for other nodes.
    pub address: SocketAddrV4,
    /// The wall-clock time at the start of the process, in ms since the Unix epoch; the node raises it if an earlier
    /// incarnation has a later one.
    pub incarnation: u64,
    /// The version of the register within the incarnation. The node raises it at each change, also to refute its death.
    pub status_version: u64,
    /// The class of the node's machine.
    pub class: Class,
    /// The availability zone of the node's machine.
    pub zone: String,
    /// The address at which the node serves `controller`, if it does.
    pub control: Option<SocketAddrV4>,
    /// The identity of the node's disk, if it has one.
    pub replica: Option<u64>,
    /// Whether the node was started with `bootstrap`.
    pub bootstrap: bool,
    /// The state of the node's lifecycle.
    pub state: MemberState,
}

impl Member {
    /// Returns the id of the node.
    pub fn id(&self) -> NodeId {
        NodeId::of(&self.name)
    }

    /// Returns whether the node runs as far as is known, which includes a node that is leaving.
    pub fn serves(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect | MemberState::Leaving)
    }

    /// Returns the sort key of the register: of two registers of one node, the one with the greater key is newer.
    pub(crate) fn order(&self) -> (u64, u64, u8) {
        let rank = match self.state {
            MemberState::Alive | MemberState::Suspect | MemberState::Leaving => 0,
            MemberState::Dead => 1,
            MemberState::Left => 2,
        };
        (self.incarnation, self.status_version, rank)
    }
}

impl Wire for Member {
    fn write(&self, out: &mut Writer) {
        out.text(&self.name);
        self.address.write(out);
        out.u64(self.incarnation);
        out.u64(self.status_version);
        let class = match self.class {
            Class::Edge => 0,
            Class::Storage => 1,
        };
        // Suspicion is local to this node, so a suspected member is encoded as alive, as its register says.
        let state = match self.state {
            MemberState::Alive | MemberState::Suspect => 0,
            MemberState::Dead => 1,
            MemberState::Leaving => 2,
            MemberState::Left => 3,
        };
        out.u8(class | state << 1 | u8::from(self.bootstrap) << 3);
        out.text(&self.zone);
        self.control.write(out);
        self.replica.write(out);
    }

    fn read(input: &mut Reader<'_>) -> Result<Member, DecodeError> {
        let name = input.text()?;
        let address = SocketAddrV4::read(input)?;
        let incarnation = input.u64()?;
        let status_version = input.u64()?;
        let flags = input.u8()?;
        if flags > 0b1111 {
            return UnknownVariantSnafu { what: "the flags of a member", tag: flags }.fail();
        }
        let class = if flags & 1 == 0 { Class::Edge } else { Class::Storage };
        let state = match flags >> 1 & 0b11 {
            0 => MemberState::Alive,
            1 => MemberState::Dead,
            2 => MemberState::Leaving,
            _ => MemberState::Left,
        };
        let zone = input.text()?;
        let control = Option::read(input)?;
        let replica = Option::read(input)?;
        let bootstrap = flags & 0b1000 != 0;
        Ok(Member {
            name,
            address,
            incarnation,
            status_version,
            class,
            zone,
            control,
            replica,
            bootstrap,
            state,
        })
    }
}
