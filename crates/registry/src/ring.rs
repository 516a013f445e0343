//! The live members in the order of their hashes: who watches whom, and the trees of relays.

use crate::{Member, NodeId};
use std::net::SocketAddrV4;

/// A live member's place.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) id: NodeId,
    pub(crate) name: String,
    pub(crate) address: SocketAddrV4,
}

/// All live members, this node among them.
#[derive(Default)]
pub(crate) struct Ring {
    places: Vec<Place>,
    own: usize,
}

impl Ring {
    /// Follows the register of a node: takes it in, moves it or leaves it out.
    pub(crate) fn follow(&mut self, member: &Member, own: NodeId) {
        let id = member.id();
        let place = Place { id, name: member.name.clone(), address: member.address };
        match (self.find(id), member.serves() || id == own) {
            (Ok(index), true) => self.places[index] = place,
            (Ok(index), false) => {
                self.places.remove(index);
            }
            (Err(index), true) => self.places.insert(index, place),
            (Err(_), false) => {}
        }
        self.own = self.find(own).unwrap_or(0);
    }

    fn find(&self, id: NodeId) -> Result<usize, usize> {
        self.places.binary_search_by_key(&id, |place| place.id)
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// All live members but this node.
    pub(crate) fn others(&self) -> impl Iterator<Item = &Place> {
        self.places.iter().enumerate().filter(|(index, _)| *index != self.own).map(|(_, place)| place)
    }

    /// The live member at this index among [`Ring::others`].
    pub(crate) fn other(&self, index: usize) -> Option<&Place> {
        self.places.get(if index < self.own { index } else { index + 1 })
    }

    /// The next `count` members after this node: those who watch it.
    pub(crate) fn successors(&self, count: usize) -> impl Iterator<Item = &Place> {
        let length = self.places.len();
        (1..length.min(count + 1)).map(move |step| &self.places[(self.own + step) % length])
    }

    /// A member that stands a power of two after this node, beyond the next `near`: another one each `turn`, and all of
    /// them by turns. What each passes on to those reaches all in about as many steps as there are such members, over
    /// links that stay the same.
    pub(crate) fn far(&self, near: usize, turn: usize) -> Option<&Place> {
        let length = self.places.len();
        let first = (near + 1).next_power_of_two();
        let steps = std::iter::successors(Some(first), |step| step.checked_mul(2));
        let count = steps.take_while(|step| *step < length).count();
        let step = first << (turn % count.max(1));
        (count > 0).then(|| &self.places[(self.own + step) % length])
    }

    /// The `count` members before this node, nearest first: those whom it watches.
    pub(crate) fn predecessors(&self, count: usize) -> impl Iterator<Item = &Place> {
        let length = self.places.len();
        (1..length.min(count + 1)).map(move |step| &self.places[(self.own + length - step) % length])
    }

    /// To whom this node passes on what `origin` tells: with the places counted from the origin, those from
    /// `fan_out * i + 1` on are the children of `i`. An origin that is not in the ring stands where it would.
    pub(crate) fn children(&self, origin: NodeId, fan_out: usize) -> impl Iterator<Item = &Place> {
        let length = self.places.len();
        let (base, total) = match self.find(origin) {
            Ok(index) => (index, length),
            Err(index) => (index + length - 1, length + 1),
        };
        let own = match (self.own + 2 * length - base) % length.max(1) {
            0 if total > length => length,
            own => own,
        };
        let first = fan_out.saturating_mul(own) + 1;
        (first..total.min(first.saturating_add(fan_out)))
            .map(move |step| &self.places[(base + step) % length])
            .filter(|place| place.id != self.places[self.own].id)
    }
}
