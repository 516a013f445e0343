//! One node of the tier, as the others know it.

use crate::codec::{Reader, Wire, Writer};
use crate::error::{DecodeError, UnknownVariantSnafu};
use crate::hash;
use std::net::SocketAddrV4;

/// The class of a node's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Takes requests of clients.
    Edge,
    /// Keeps data.
    Storage,
}

/// What is known of a node's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Runs.
    Alive,
    /// Alive by its register, but without contact to this node for a while. Never sent to others.
    Suspect,
    /// Its watchers no longer hear it. It may come back.
    Dead,
    /// Was asked to stop; still serves what it has.
    Leaving,
    /// Has stopped by itself.
    Left,
}

/// A node by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

impl NodeId {
    /// The id of the node with this name.
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
    /// The key.
    pub name: String,
    /// Where the node listens for other nodes.
    pub address: SocketAddrV4,
    /// The time of day at the start of the process, in ms since the epoch; raised if an earlier incarnation had a later one.
    pub incarnation: u64,
    /// Raised by the node at each change of its register, so also to refute its death.
    pub status_version: u64,
    /// The class of its machine.
    pub class: Class,
    /// The zone of its machine.
    pub zone: String,
    /// Where it serves `controller`, if it does.
    pub control: Option<SocketAddrV4>,
    /// The identity of its disk, if it has one.
    pub replica: Option<u64>,
    /// Whether it was started with `bootstrap`.
    pub bootstrap: bool,
    /// What is known of its lifecycle.
    pub state: MemberState,
}

impl Member {
    /// The hash of the name.
    pub fn id(&self) -> NodeId {
        NodeId::of(&self.name)
    }

    /// Whether the node runs as far as is known, so also while it leaves.
    pub fn serves(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect | MemberState::Leaving)
    }

    /// Of two registers of one node the greater is the newer.
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
        // A suspicion is this node's own, so it travels as what the register says.
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
