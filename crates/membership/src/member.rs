//! The identity of a node.

use foca::Identity;
use grebeusher_dispatch::time::Instant;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The amount by which the renewal of an identity raises its generation, in milliseconds. One hour is enough to exceed
/// the generation of an earlier start of the node at which the clock was ahead.
const RENEWAL_LEAD_MS: u64 = 3_600_000;

/// The identity under which the other nodes know a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address at which the node receives datagrams.
    pub address: SocketAddr,
    /// The number of the node in the fleet, from the settings of the node.
    pub number: u32,
    /// The incarnation of the node, in Unix milliseconds. It rises with each start of the node, and when the node
    /// refutes that it is down.
    pub generation: u64,
}

/// A member that is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveMember {
    /// The identity of the member.
    pub member: Member,
    /// When this node learned that the member is up.
    pub since: Instant,
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        Some(Member { generation: self.generation.saturating_add(RENEWAL_LEAD_MS), ..*self })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Member) -> bool {
        self.generation > adversary.generation
    }
}
