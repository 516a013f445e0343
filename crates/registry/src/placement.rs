//! Which edge node an executor should call.

use crate::{Class, Member, MemberState, hash};
use std::net::SocketAddrV4;

/// The node with the highest hash together with the executor, among the live edge nodes that serve `controller` in
/// its zone, or in all zones if its own has none. So load is even, and a node that comes or goes moves only its share.
pub(crate) fn heartbeat_target<'a>(
    id: &str,
    zone: &str,
    members: impl Iterator<Item = &'a Member>,
) -> Option<SocketAddrV4> {
    let executor = hash::of_bytes(id.as_bytes());
    members
        .filter(|member| member.class == Class::Edge)
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .filter_map(|member| {
            let rank = (member.zone == zone, hash::of_pair(executor, member.id().0));
            Some((rank, member.control?))
        })
        .max()
        .map(|(_, control)| control)
}
