//! Balancing of the leaderships of batch partitions over the nodes. A leader sends each byte of jobs and results to all
//! other replicas and runs the items of its partition. A node that leads several partitions therefore saturates its link,
//! its processor and its share of connections to executors while other nodes are idle. Elections after a power loss of all
//! nodes may have such an outcome.

use crate::batch::api::BATCH_PARTITIONS;
use crate::control::leader_index::LeaderIndex;
use crate::control::partition_host::PartitionHost;
use grebeusher_batch::PartitionLoad;
use grebeusher_quorum::ReplicaId;
use grebeusher_registry::{MemberState, Registry};
use grebeusher_time::{Duration, Instant};

/// How long a node must have led a partition before it hands the leadership over for balance. By then the nodes know this
/// leader and those of the other partitions.
const STABILITY_DURATION: Duration = Duration::from_millis(300);
/// The minimum interval between two hand-overs for balance, as each of them interrupts the running items.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(5000);

/// A voter that could become the leader of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The disk identity of the voter.
    pub replica: ReplicaId,
    /// The number of batch partitions that the node of the voter leads.
    pub led: usize,
}

/// Returns the successor for one partition of a node that leads `led` partitions: the first of the successors that lead the
/// fewest, if the hand-over reduces the difference between the two nodes.
pub fn successor_to_relieve(led: usize, successors: &[Successor]) -> Option<ReplicaId> {
    let fewest = successors.iter().map(|successor| successor.led).min()?;
    let is_improvement = fewest + 1 < led;
    successors
        .iter()
        .find(|successor| is_improvement && successor.led == fewest)
        .map(|successor| successor.replica)
}

/// A planned hand-over of a partition to another leader.
pub(crate) struct HandOverPlan {
    /// The index of the partition among those of this node.
    pub index: usize,
    /// The voter that is to lead the partition.
    pub successor: ReplicaId,
}

/// Decides when a partition is handed over for balance. It owns only the time before which none is.
#[derive(Default)]
pub(crate) struct LeaderBalancer {
    next_at: Instant,
}

impl LeaderBalancer {
    /// If this node leads several batch partitions that have items, returns one of them and a voter whose node leads fewer.
    pub fn choose(
        &mut self,
        now: Instant,
        partitions: &[PartitionHost],
        registry: &Registry,
        leaders: &LeaderIndex,
    ) -> Option<HandOverPlan> {
        if now < self.next_at {
            return None;
        }
        let led = led_with_items(partitions);
        if led.len() < 2 {
            return None;
        }
        let plan =
            led.iter().filter(|index| may_hand_over(&partitions[**index], now)).find_map(|&index| {
                let successors = successors_of(&partitions[index], registry, leaders);
                let successor = successor_to_relieve(led.len(), &successors)?;
                Some(HandOverPlan { index, successor })
            })?;
        self.next_at = now + REBALANCE_INTERVAL;
        Some(plan)
    }
}

/// Returns the indices of the batch partitions that this node leads and that have items, that with the fewest running items
/// first, as a hand-over interrupts these. Partitions without items put no load on their leader.
fn led_with_items(partitions: &[PartitionHost]) -> Vec<usize> {
    let is_led = |host: &PartitionHost| host.leads() && (1..=BATCH_PARTITIONS).contains(&host.partition);
    let indices = (0..partitions.len()).filter(|index| is_led(&partitions[*index]));
    let mut led: Vec<usize> =
        indices.filter(|index| partitions[*index].load() != PartitionLoad::default()).collect();
    led.sort_by_key(|index| partitions[*index].load().running);
    led
}

fn may_hand_over(host: &PartitionHost, now: Instant) -> bool {
    let is_stable = host.leader_since().is_some_and(|since| now.since(since) >= STABILITY_DURATION);
    is_stable && host.replica.is_group_stable() && !host.replica.is_transferring_leadership()
}

/// Returns the voters of a partition whose nodes are alive and not to be retired, that with the longest log first.
fn successors_of(host: &PartitionHost, registry: &Registry, leaders: &LeaderIndex) -> Vec<Successor> {
    let retiring = host.retiring_nodes();
    let successor = |replica: ReplicaId| {
        let member = registry.member_by_replica(replica.0)?;
        let led = leaders.count_of(registry, member.address, 1..=BATCH_PARTITIONS);
        let is_usable = member.state == MemberState::Alive && !retiring.contains(&member.name);
        is_usable.then_some(Successor { replica, led })
    };
    host.replica.transfer_candidates().into_iter().filter_map(successor).collect()
}
