//! An index of the leaders of partitions, built from the announcements of the nodes.

use grebeusher_registry::{Generation, NodeMetadata, Registry};
use nanoserde::{DeBin, SerBin};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The metadata that a node announces: the partitions that it leads.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct LedPartitions {
    /// The led partitions, each once.
    pub partitions: Vec<LedPartition>,
}

/// A partition that a node leads.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct LedPartition {
    /// The number of the partition.
    pub partition: u8,
    /// The term of the leadership.
    pub term: u64,
}

/// The leaders as last announced. The announcements are decoded once per change of the registry, not at each call.
#[derive(Default)]
pub struct LeaderIndex {
    cache: RefCell<Cache>,
}

#[derive(Default)]
struct Cache {
    /// The generations of members and node metadata in the registry that the leaders were read from; `None` before the first
    /// read.
    generations: Option<(u64, u64)>,
    /// The term and the internal address of the leader of each partition.
    leaders: BTreeMap<u8, (u64, SocketAddrV4)>,
}

impl LeaderIndex {
    /// Returns the address of the node that leads a partition: the one with the highest term that a running node has announced.
    pub fn leader(&self, registry: &Registry, partition: u8) -> Option<SocketAddrV4> {
        let mut cache = self.cache.borrow_mut();
        let Generation { members, node_metadata, .. } = registry.generation();
        if cache.generations != Some((members, node_metadata)) {
            *cache = Cache { generations: Some((members, node_metadata)), leaders: read_leaders(registry) };
        }
        cache.leaders.get(&partition).map(|(_, address)| *address)
    }

    /// Returns how many of these partitions the node at an address leads.
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
    for metadata in registry.node_metadata() {
        if let Some(address) = address_of_announcer(registry, metadata)
            && let Ok(led) = <LedPartitions as DeBin>::deserialize_bin(&metadata.payload)
        {
            led.partitions.iter().for_each(|led| note_leader(&mut leaders, led, address));
        }
    }
    leaders
}

/// Returns the address of the node that announced the metadata, if the node runs and the metadata is of its present
/// incarnation.
fn address_of_announcer(registry: &Registry, metadata: &NodeMetadata) -> Option<SocketAddrV4> {
    let member = registry.member(&metadata.node).filter(|member| member.serves())?;
    (member.incarnation == metadata.incarnation).then_some(member.address)
}

/// Records an announced leader, unless one with the same or a higher term is recorded.
fn note_leader(leaders: &mut BTreeMap<u8, (u64, SocketAddrV4)>, led: &LedPartition, address: SocketAddrV4) {
    if leaders.get(&led.partition).is_none_or(|(term, _)| led.term > *term) {
        leaders.insert(led.partition, (led.term, address));
    }
}
