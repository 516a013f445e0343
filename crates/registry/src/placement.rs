//! Placement: selects the edge node to which an executor sends its heartbeats.

use crate::{Class, Member, MemberState, hash};
use std::net::SocketAddrV4;

/// Returns the `controller` address of the node that wins rendezvous hashing for the executor `id`. Candidates are the
/// live edge nodes that serve `controller` in the zone of the executor, or in all zones if its own has none. This
/// spreads the load evenly, and a node that joins or leaves moves only its share of the executors.
pub(crate) fn heartbeat_target<'a>(
    id: &str,
    zone: &str,
    members: impl Iterator<Item = &'a Member>,
) -> Option<SocketAddrV4> {
    let executor_hash = hash::of_bytes(id.as_bytes());
    members
        .filter(|member| member.class == Class::Edge)
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .filter_map(|member| {
            let rank = (member.zone == zone, hash::of_pair(executor_hash, member.id().0));
            Some((rank, member.control?))
        })
        .max()
        .map(|(_, control)| control)
}
