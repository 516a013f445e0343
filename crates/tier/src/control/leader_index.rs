//! Which node leads which partition, by what the nodes announce.

use grebeusher_registry::{Generation, NodeMetadata, Registry};
use nanoserde::{DeBin, SerBin};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The facts that a node announces: the partitions that it leads.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct LedPartitions {
    /// Each partition once.
    pub partitions: Vec<LedPartition>,
}

/// A partition that a node leads.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct LedPartition {
    /// Which partition.
    pub partition: u8,
    /// The term at which it is led.
    pub term: u64,
}

/// The leaders as they were last announced. Facts are read once for each change of the registry, not at each call.
#[derive(Default)]
pub struct LeaderIndex {
    known: RefCell<Known>,
}

#[derive(Default)]
struct Known {
    /// Of the nodes and of the facts when these leaders were read; none before the first time.
    read_at: Option<(u64, u64)>,
    /// The term and the internal address of the leader of each partition.
    leaders: BTreeMap<u8, (u64, SocketAddrV4)>,
}

impl LeaderIndex {
    /// The node that leads a partition, by the highest term that any living node has announced.
    pub fn leader(&self, registry: &Registry, partition: u8) -> Option<SocketAddrV4> {
        let mut known = self.known.borrow_mut();
        let Generation { members, node_metadata, .. } = registry.generation();
        if known.read_at != Some((members, node_metadata)) {
            *known = Known { read_at: Some((members, node_metadata)), leaders: read_leaders(registry) };
        }
        known.leaders.get(&partition).map(|(_, address)| *address)
    }

    /// How many of these partitions the node at an address leads.
    pub fn count_of(
        &self,
        registry: &Registry,
        node: SocketAddrV4,
        partitions: std::ops::RangeInclusive<u8>,
    ) -> usize {
        partitions.filter(|partition| self.leader(registry, *partition) == Some(node)).count()
    }
}

fn read_leaders(registry: &Registry) -> BTreeMap<u8, (u64, SocketAddrV4)> {
    let mut leaders = BTreeMap::new();
    for facts in registry.node_metadata() {
        if let Some(address) = address_of_announcer(registry, facts)
            && let Ok(led) = <LedPartitions as DeBin>::deserialize_bin(&facts.payload)
        {
            led.partitions.iter().for_each(|led| note_leader(&mut leaders, led, address));
        }
    }
    leaders
}

/// Where the node of these facts is, if it runs and they are of its present incarnation.
fn address_of_announcer(registry: &Registry, facts: &NodeMetadata) -> Option<SocketAddrV4> {
    let member = registry.member(&facts.node).filter(|member| member.serves())?;
    (member.incarnation == facts.incarnation).then_some(member.address)
}

/// The higher term leads; of two alike the one that was read first.
fn note_leader(leaders: &mut BTreeMap<u8, (u64, SocketAddrV4)>, led: &LedPartition, address: SocketAddrV4) {
    if leaders.get(&led.partition).is_none_or(|(term, _)| led.term > *term) {
        leaders.insert(led.partition, (led.term, address));
    }
}
