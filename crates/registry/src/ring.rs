//! The live members in the order of their ids. The ring determines which node watches which, and the relay trees.

use crate::{Member, NodeId};
use std::net::SocketAddrV4;

/// A live member in the ring.
#[derive(Clone, Debug)]
pub(crate) struct RingMember {
    pub(crate) id: NodeId,
    pub(crate) name: String,
    pub(crate) address: SocketAddrV4,
}

/// All live members including this node, sorted by id.
#[derive(Default)]
pub(crate) struct Ring {
    ring_members: Vec<RingMember>,
    own_index: usize,
}

impl Ring {
    /// Updates the ring after a change of the register of a node: inserts, replaces or removes the node.
    pub(crate) fn update(&mut self, member: &Member, own: NodeId) {
        let id = member.id();
        let ring_member = RingMember { id, name: member.name.clone(), address: member.address };
        match (self.index_of(id), member.serves() || id == own) {
            (Ok(index), true) => self.ring_members[index] = ring_member,
            (Ok(index), false) => {
                self.ring_members.remove(index);
            }
            (Err(index), true) => self.ring_members.insert(index, ring_member),
            (Err(_), false) => {}
        }
        self.own_index = self.index_of(own).unwrap_or(0);
    }

    fn index_of(&self, id: NodeId) -> Result<usize, usize> {
        self.ring_members.binary_search_by_key(&id, |ring_member| ring_member.id)
    }

    pub(crate) fn len(&self) -> usize {
        self.ring_members.len()
    }

    /// Returns all live members except this node.
    pub(crate) fn others(&self) -> impl Iterator<Item = &RingMember> {
        self.ring_members
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != self.own_index)
            .map(|(_, ring_member)| ring_member)
    }

    /// Returns the live member at this index of [`Ring::others`].
    pub(crate) fn other(&self, index: usize) -> Option<&RingMember> {
        self.ring_members.get(if index < self.own_index { index } else { index + 1 })
    }

    /// Returns the next `count` members after this node, which watch it.
    pub(crate) fn successors(&self, count: usize) -> impl Iterator<Item = &RingMember> {
        let length = self.ring_members.len();
        (1..length.min(count + 1)).map(move |step| &self.ring_members[(self.own_index + step) % length])
    }

    /// Returns a member whose distance after this node is a power of two greater than `successor_count`. Successive
    /// values of `round` select all such members in turn. If each node passes updates on to these members, an update
    /// reaches all nodes in about as many steps as a node has such members, over links that stay the same.
    pub(crate) fn long_range_peer(&self, successor_count: usize, round: usize) -> Option<&RingMember> {
        let length = self.ring_members.len();
        let first = (successor_count + 1).next_power_of_two();
        let steps = std::iter::successors(Some(first), |step| step.checked_mul(2));
        let count = steps.take_while(|step| *step < length).count();
        let step = first << (round % count.max(1));
        (count > 0).then(|| &self.ring_members[(self.own_index + step) % length])
    }

    /// Returns the `count` members before this node, nearest first, which this node watches.
    pub(crate) fn predecessors(&self, count: usize) -> impl Iterator<Item = &RingMember> {
        let length = self.ring_members.len();
        (1..length.min(count + 1))
            .map(move |step| &self.ring_members[(self.own_index + length - step) % length])
    }

    /// Returns the nodes to which this node forwards the relays of `origin`. With positions counted along the ring from
    /// the origin, the children of position `i` are the `fan_out` positions from `fan_out * i + 1` on. An origin that
    /// is not in the ring has the position at which it would be inserted.
    pub(crate) fn children(&self, origin: NodeId, fan_out: usize) -> impl Iterator<Item = &RingMember> {
        let length = self.ring_members.len();
        let (base, total) = match self.index_of(origin) {
            Ok(index) => (index, length),
            Err(index) => (index + length - 1, length + 1),
        };
        let position = match (self.own_index + 2 * length - base) % length.max(1) {
            0 if total > length => length,
            position => position,
        };
        let first = fan_out.saturating_mul(position) + 1;
        (first..total.min(first.saturating_add(fan_out)))
            .map(move |step| &self.ring_members[(base + step) % length])
            .filter(|ring_member| ring_member.id != self.ring_members[self.own_index].id)
    }
}
