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
pub struct Heir {
    /// Its disk identity.
    pub replica: ReplicaId,
    /// The partitions that its node leads.
    pub led: usize,
}

/// The heir that is to have a partition of a leader of `led` partitions: the first of those that own fewest, if the two come closer
/// by it.
pub fn relieving_heir(led: usize, heirs: &[Heir]) -> Option<ReplicaId> {
    let least = heirs.iter().map(|heir| heir.led).min()?;
    let relieves = least + 1 < led;
    heirs.iter().find(|heir| relieves && heir.led == least).map(|heir| heir.replica)
}

impl Node {
    /// Hands one batch partition to a voter whose node leads none or fewer, where this node leads several that have items.
    pub(crate) fn spread_leadership(&mut self) {
        let now = self.now;
        if self.stopping() || now < self.spread_after {
            return;
        }
        let places = (0..self.partitions.len()).filter(|place| self.leads_batch_partition(*place));
        let mut led: Vec<usize> = places.collect();
        // Partitions without items cost their leader nothing.
        led.retain(|place| self.batch_load(*place) != PartitionLoad::default());
        if led.len() < 2 {
            return;
        }
        // A hand-over interrupts what runs: the one with the fewest runs goes.
        led.sort_by_key(|place| self.batch_load(*place).running);
        for place in led.iter().copied() {
            if self.may_hand_over(place, now)
                && let Some(heir) = relieving_heir(led.len(), &self.heirs_of(place))
            {
                self.spread_after = now + REBALANCE_INTERVAL;
                return self.relieve(place, heir);
            }
        }
    }

    fn leads_batch_partition(&self, place: usize) -> bool {
        let host = &self.partitions[place];
        host.leads() && (1..=BATCH_PARTITIONS).contains(&host.partition)
    }

    fn may_hand_over(&self, place: usize, now: Instant) -> bool {
        let host = &self.partitions[place];
        let since = host.leader_since().is_some_and(|since| now.since(since) >= STABILITY_DURATION);
        since && host.replica.is_group_stable() && !host.replica.is_transferring_leadership()
    }

    /// The living voters of a partition whose nodes are not to be emptied, the one that is furthest first.
    fn heirs_of(&mut self, place: usize) -> Vec<Heir> {
        let retiring = self.retiring_nodes(place);
        let heir = |replica: ReplicaId| {
            let member = self.registry.member_by_replica(replica.0)?;
            let led = self.leaders.count_of(&self.registry, member.address, 1..=BATCH_PARTITIONS);
            let stays = member.state == MemberState::Alive && !retiring.contains(&member.name);
            stays.then_some(Heir { replica, led })
        };
        self.partitions[place].replica.transfer_candidates().into_iter().filter_map(heir).collect()
    }

    fn relieve(&mut self, place: usize, heir: ReplicaId) {
        let partition = self.partitions[place].partition;
        info!("part {partition}: handed to another voter, as this node owns others too");
        self.checkpoint_batch(place);
        if let Err(error) = self.partitions[place].replica.transfer_leadership(self.now, Some(heir)) {
            warn!("part {partition}: not handed over: {error}");
        }
    }
}
