//! The live members in the order of their hashes: who watches whom, and the trees of relays.

use crate::{Member, NodeId};
use std::net::SocketAddrV4;

/// A live member's place.
#[derive(Clone, Debug)]
pub(crate) struct RingMember {
    pub(crate) id: NodeId,
    pub(crate) name: String,
    pub(crate) address: SocketAddrV4,
}

/// All live members, this node among them.
#[derive(Default)]
pub(crate) struct Ring {
    ring_members: Vec<RingMember>,
    own_index: usize,
}

impl Ring {
    /// Follows the register of a node: takes it in, moves it or leaves it out.
    pub(crate) fn update(&mut self, member: &Member, own: NodeId) {
        let id = member.id();
        let ring_member = RingMember { id, name: member.name.clone(), address: member.address };
        match (self.find(id), member.serves() || id == own) {
            (Ok(index), true) => self.ring_members[index] = ring_member,
            (Ok(index), false) => {
                self.ring_members.remove(index);
            }
            (Err(index), true) => self.ring_members.insert(index, ring_member),
            (Err(_), false) => {}
        }
        self.own_index = self.find(own).unwrap_or(0);
    }

    fn find(&self, id: NodeId) -> Result<usize, usize> {
        self.ring_members.binary_search_by_key(&id, |ring_member| ring_member.id)
    }

    pub(crate) fn len(&self) -> usize {
        self.ring_members.len()
    }

    /// All live members but this node.
    pub(crate) fn others(&self) -> impl Iterator<Item = &RingMember> {
        self.ring_members
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != self.own_index)
            .map(|(_, ring_member)| ring_member)
    }

    /// The live member at this index among [`Ring::others`].
    pub(crate) fn other(&self, index: usize) -> Option<&RingMember> {
        self.ring_members.get(if index < self.own_index { index } else { index + 1 })
    }

    /// The next `count` members after this node: those who watch it.
    pub(crate) fn successors(&self, count: usize) -> impl Iterator<Item = &RingMember> {
        let length = self.ring_members.len();
        (1..length.min(count + 1)).map(move |step| &self.ring_members[(self.own_index + step) % length])
    }

    /// A member that stands a power of two after this node, beyond the next `near`: another one each `turn`, and all of
    /// them by turns. What each forwards to those reaches all in about as many steps as there are such members, over
    /// links that stay the same.
    pub(crate) fn far(&self, near: usize, turn: usize) -> Option<&RingMember> {
        let length = self.ring_members.len();
        let first = (near + 1).next_power_of_two();
        let steps = std::iter::successors(Some(first), |step| step.checked_mul(2));
        let count = steps.take_while(|step| *step < length).count();
        let step = first << (turn % count.max(1));
        (count > 0).then(|| &self.ring_members[(self.own_index + step) % length])
    }

    /// The `count` members before this node, nearest first: those whom it watches.
    pub(crate) fn predecessors(&self, count: usize) -> impl Iterator<Item = &RingMember> {
        let length = self.ring_members.len();
        (1..length.min(count + 1))
            .map(move |step| &self.ring_members[(self.own_index + length - step) % length])
    }

    /// To whom this node forwards what `origin` tells: with the places counted from the origin, those from
    /// `fan_out * i + 1` on are the children of `i`. An origin that is not in the ring stands where it would.
    pub(crate) fn children(&self, origin: NodeId, fan_out: usize) -> impl Iterator<Item = &RingMember> {
        let length = self.ring_members.len();
        let (base, total) = match self.find(origin) {
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
