//! The identity of a node.

use foca::Identity;
use grebeusher_dispatch::time::Instant;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How far a renewed identity is ahead, in milliseconds: an hour also wins against an earlier start whose clock was
/// ahead.
const RENEWAL_LEAD_MS: u64 = 3_600_000;

/// One node as the others know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where datagrams reach it.
    pub address: SocketAddr,
    /// Its number in the fleet, from its settings.
    pub number: u32,
    /// Its incarnation in Unix milliseconds: rises with each start, and when it refutes that it is down.
    pub generation: u64,
}

/// A member that is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveMember {
    /// The member.
    pub member: Member,
    /// When this node learned that it is up.
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
