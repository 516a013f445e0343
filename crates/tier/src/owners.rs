//! Which node owns which part, by what the nodes tell of themselves.

use grebeusher_registry::{Facts, Generation, Registry};
use nanoserde::{DeBin, SerBin};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The facts that a node tells of itself: the parts that it owns.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct OwnedParts {
    /// Each part once.
    pub parts: Vec<OwnedPart>,
}

/// A part that a node owns.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct OwnedPart {
    /// Which part.
    pub part: u8,
    /// The term at which it is owned.
    pub term: u64,
}

/// The owners as the registry last told them. Facts are read once for each change of the registry, not at each call.
#[derive(Default)]
pub struct OwnerIndex {
    known: RefCell<Known>,
}

#[derive(Default)]
struct Known {
    /// Of the nodes and of the facts when these owners were read; none before the first time.
    read_at: Option<(u64, u64)>,
    /// The term and the internal address of the owner of each part.
    owners: BTreeMap<u8, (u64, SocketAddrV4)>,
}

impl OwnerIndex {
    /// The node that owns a part, by the highest term that any living node has told.
    pub fn owner(&self, registry: &Registry, part: u8) -> Option<SocketAddrV4> {
        let mut known = self.known.borrow_mut();
        let Generation { members, facts, .. } = registry.generation();
        if known.read_at != Some((members, facts)) {
            *known = Known { read_at: Some((members, facts)), owners: read_owners(registry) };
        }
        known.owners.get(&part).map(|(_, address)| *address)
    }

    /// How many of these parts the node at an address owns.
    pub fn count_of(
        &self,
        registry: &Registry,
        node: SocketAddrV4,
        parts: std::ops::RangeInclusive<u8>,
    ) -> usize {
        parts.filter(|part| self.owner(registry, *part) == Some(node)).count()
    }
}

fn read_owners(registry: &Registry) -> BTreeMap<u8, (u64, SocketAddrV4)> {
    let mut owners = BTreeMap::new();
    for facts in registry.facts() {
        if let Some(address) = address_of_teller(registry, facts)
            && let Ok(owned) = <OwnedParts as DeBin>::deserialize_bin(&facts.payload)
        {
            owned.parts.iter().for_each(|owned| note_owner(&mut owners, owned, address));
        }
    }
    owners
}

/// Where the node of these facts is, if it lives and they are of its present life.
fn address_of_teller(registry: &Registry, facts: &Facts) -> Option<SocketAddrV4> {
    let member = registry.member(&facts.node).filter(|member| member.serves())?;
    (member.incarnation == facts.incarnation).then_some(member.address)
}

/// The higher term owns; of two alike the one that was read first.
fn note_owner(owners: &mut BTreeMap<u8, (u64, SocketAddrV4)>, owned: &OwnedPart, address: SocketAddrV4) {
    if owners.get(&owned.part).is_none_or(|(term, _)| owned.term > *term) {
        owners.insert(owned.part, (owned.term, address));
    }
}
