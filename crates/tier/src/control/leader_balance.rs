//! The batch partitions are led by different machines where they can be. A leader sends each byte of jobs and results to all
//! other replicas and runs the items of its partition; one that leads several partitions has its link, its processor and its share of
//! executors' connections full while others idle. After a loss of all power elections may come out so.

use crate::batch::api::BATCH_PARTITIONS;
use crate::node::Node;
use grebeusher_batch::PartitionLoad;
use grebeusher_quorum::ReplicaId;
use grebeusher_registry::MemberState;
use grebeusher_time::{Duration, Instant};
use tracing::{info, warn};

/// A leadership is not handed on for balance sooner than this after it began: its end must have become known, and so must
/// the leaders of the other partitions.
const STABILITY_DURATION: Duration = Duration::from_millis(300);
/// Nor sooner than this after the last time: a hand-over interrupts the items that run.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(5000);

/// A voter that could take a partition over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    /// Its disk identity.
    pub replica: ReplicaId,
    /// The partitions that its node leads.
    pub led: usize,
}

/// The heir that is to have a partition of a leader of `led` partitions: the first of those that own fewest, if the two come closer
/// by it.
pub fn successor_to_relieve(led: usize, heirs: &[Successor]) -> Option<ReplicaId> {
    let least = heirs.iter().map(|successor| successor.led).min()?;
    let relieves = least + 1 < led;
    heirs.iter().find(|successor| relieves && successor.led == least).map(|successor| successor.replica)
}

impl Node {
    /// Hands one batch partition to a voter whose node leads none or fewer, where this node leads several that have items.
    pub(crate) fn balance_leadership(&mut self) {
        let now = self.now;
        if self.stopping() || now < self.balance_after {
            return;
        }
        let places = (0..self.partitions.len()).filter(|index| self.leads_batch_partition(*index));
        let mut led: Vec<usize> = places.collect();
        // Partitions without items cost their leader nothing.
        led.retain(|index| self.batch_load(*index) != PartitionLoad::default());
        if led.len() < 2 {
            return;
        }
        // A hand-over interrupts what runs: the one with the fewest runs goes.
        led.sort_by_key(|index| self.batch_load(*index).running);
        for index in led.iter().copied() {
            if self.may_hand_over(index, now)
                && let Some(successor) = successor_to_relieve(led.len(), &self.successors_of(index))
            {
                self.balance_after = now + REBALANCE_INTERVAL;
                return self.hand_to(index, successor);
            }
        }
    }

    fn leads_batch_partition(&self, index: usize) -> bool {
        let host = &self.partitions[index];
        host.leads() && (1..=BATCH_PARTITIONS).contains(&host.partition)
    }

    fn may_hand_over(&self, index: usize, now: Instant) -> bool {
        let host = &self.partitions[index];
        let since = host.leader_since().is_some_and(|since| now.since(since) >= STABILITY_DURATION);
        since && host.replica.is_settled() && !host.replica.is_handing_over()
    }

    /// The living voters of a partition whose nodes are not to be emptied, the one that is furthest first.
    fn successors_of(&mut self, index: usize) -> Vec<Successor> {
        let retiring = self.retiring_nodes(index);
        let successor = |replica: ReplicaId| {
            let member = self.registry.member_by_replica(replica.0)?;
            let led = self.leaders.count_of(&self.registry, member.address, 1..=BATCH_PARTITIONS);
            let stays = member.state == MemberState::Alive && !retiring.contains(&member.name);
            stays.then_some(Successor { replica, led })
        };
        self.partitions[index].replica.heirs().into_iter().filter_map(successor).collect()
    }

    fn hand_to(&mut self, index: usize, successor: ReplicaId) {
        let partition = self.partitions[index].partition;
        info!(partition, "leadership handed over for balance");
        self.checkpoint_batch(index);
        if let Err(error) = self.partitions[index].replica.hand_over(self.now, Some(successor)) {
            warn!(partition, %error, "leadership not handed over");
        }
    }
}
