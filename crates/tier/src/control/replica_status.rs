//! How many copies of a partition there are, and a warning where one machine holds the only one.

use crate::node::Node;
use grebeusher_quorum::{Index, ReplicaId};
use grebeusher_time::{Duration, Instant};
use tracing::warn;

/// A lone copy that lasts for less is one that others are just about to follow.
const WARN_DELAY: Duration = Duration::from_millis(1500);
/// Between two warnings of the same.
const WARN_INTERVAL: Duration = Duration::from_millis(5000);

/// Up to where a voter has the log of a partition on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionCopy {
    /// The voter.
    pub voter: ReplicaId,
    /// The last entry that it has, as far as the leader knows.
    pub synced: Index,
    /// Whether its node runs, as far as is known.
    pub lives: bool,
}

/// The voter that alone of those that run has all that is committed, where the group has others.
pub fn sole_holder(copies: &[PartitionCopy], commit: Index) -> Option<ReplicaId> {
    let mut holders = copies.iter().filter(|copy| copy.lives && copy.synced >= commit);
    match (holders.next(), holders.next()) {
        (Some(only), None) if copies.len() > 1 => Some(only.voter),
        _ => None,
    }
}

/// Since when a partition has had only one copy, and when that was last told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoneCopy {
    since: Option<Instant>,
    told: Option<Instant>,
}

impl LoneCopy {
    /// Looks at the partition again; whether it is to be told now.
    pub fn look(&mut self, now: Instant, is_alone: bool) -> bool {
        if !is_alone {
            *self = LoneCopy::default();
            return false;
        }
        let lasts = now.since(*self.since.get_or_insert(now)) >= WARN_DELAY;
        let due = self.told.is_none_or(|told| now.since(told) >= WARN_INTERVAL);
        if lasts && due {
            self.told = Some(now);
        }
        lasts && due
    }
}

impl Node {
    /// The copies of a partition that this node leads.
    pub(crate) fn copies(&self, place: usize) -> Vec<PartitionCopy> {
        let lives =
            |voter: ReplicaId| self.registry.member_by_replica(voter.0).is_some_and(|member| member.serves());
        let copies = self.partitions[place].replica.match_indexes().into_iter();
        copies.map(|(voter, synced)| PartitionCopy { voter, synced, lives: lives(voter) }).collect()
    }

    /// The name of the machine that holds the only copy of a partition that this node leads, if one does.
    pub(crate) fn sole_holder(&self, place: usize) -> Option<String> {
        let holder = sole_holder(&self.copies(place), self.partitions[place].replica.commit_index())?;
        let member = self.registry.member_by_replica(holder.0);
        Some(member.map_or_else(|| format!("disk {:016x}", holder.0), |member| member.name.clone()))
    }

    /// Warns in the log where one machine holds the only copy of a partition for long.
    pub(crate) fn warn_of_lone_copy(&mut self, place: usize) {
        let now = self.now;
        let holder = self.sole_holder(place);
        let host = &mut self.partitions[place];
        if host.care.lone_copy.look(now, holder.is_some())
            && let Some(holder) = holder
        {
            warn!("part {}: {holder} holds the only copy of all that is committed", host.partition);
        }
    }
}
