//! How the leaders of the partitions share the room that executors have for items. Each leader finds room by itself; one that has
//! many runs hears of room more often, and would keep what it has while the queue of another fills up.

use std::collections::BTreeMap;

use grebeusher_time::{Duration, Instant};

/// What a leader tells is true for about this long: some times the pause between two of its messages.
const FRESHNESS_TTL: Duration = Duration::from_millis(600);
/// Runs beyond its share that a leader may have, so that all of them together can grow into new room. With some 16
/// messages of each leader a second a few hundred places are taken within a second.
const HEADROOM: f64 = 24.0;
/// The same as a Part of its share.
const HEADROOM_SHARE: f64 = 0.1;

/// Items of one partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartitionLoad {
    /// Those that run.
    pub running: u32,
    /// Those that wait for room.
    pub waiting: u32,
}

impl PartitionLoad {
    fn wanted(self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }
}

/// What the leaders of the other partitions told last.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    others: BTreeMap<u8, (PartitionLoad, Instant)>,
}

impl FairShare {
    /// The leader of another partition told its load.
    pub fn told(&mut self, now: Instant, partition: u8, load: PartitionLoad) {
        self.others.insert(partition, (load, now));
    }

    /// Whether a partition with this load may begin a further item: always, while no other partition has items that wait; else up to
    /// its share of all runs, by how many items each partition has, and a little beyond.
    pub fn may_begin(&self, now: Instant, partition: u8, own: PartitionLoad) -> bool {
        let fresh = |(other, (load, at)): (&u8, &(PartitionLoad, Instant))| {
            (*other != partition && now.since(*at) < FRESHNESS_TTL).then_some(*load)
        };
        let others: Vec<PartitionLoad> = self.others.iter().filter_map(fresh).collect();
        if others.iter().all(|other| other.waiting == 0) {
            return true;
        }
        let running = others.iter().fold(f64::from(own.running), |sum, other| sum + f64::from(other.running));
        let wanted = others.iter().fold(own.wanted(), |sum, other| sum + other.wanted());
        let share = running * own.wanted() / wanted.max(1.0);
        f64::from(own.running) < share * (1.0 + HEADROOM_SHARE) + HEADROOM
    }
}
