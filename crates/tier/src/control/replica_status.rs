//! The progress of the replicas of a partition, and a warning if only one machine holds a complete replica.

use crate::control::partition_host::PartitionHost;
use grebeusher_quorum::{Index, ReplicaId};
use grebeusher_registry::Registry;
use grebeusher_time::{Duration, Instant};
use tracing::warn;

/// How long a replica must be the only complete one before a warning. Within less time the others usually catch up.
const WARN_DELAY: Duration = Duration::from_millis(1500);
/// The interval between two warnings about the same partition.
const WARN_INTERVAL: Duration = Duration::from_millis(5000);

/// How much of the log of a partition a voter has on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The disk identity of the voter.
    pub voter: ReplicaId,
    /// The index of the last entry that the voter has synced, as far as the leader knows.
    pub synced: Index,
    /// Whether the node of the voter runs, as far as this node knows.
    pub is_alive: bool,
}

/// Returns the voter that is the only running one with all committed entries; `None` if the group has no other voters, or
/// if none or several have them.
pub fn sole_replica(replicas: &[ReplicaStatus], commit: Index) -> Option<ReplicaId> {
    let mut holders = replicas.iter().filter(|replica| replica.is_alive && replica.synced >= commit);
    match (holders.next(), holders.next()) {
        (Some(only), None) if replicas.len() > 1 => Some(only.voter),
        _ => None,
    }
}

/// Decides when to warn that a partition has only one complete replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SoleReplicaWarning {
    /// Since when there has been only one; `None` while there are several.
    since: Option<Instant>,
    /// When the last warning was logged.
    logged_at: Option<Instant>,
}

impl SoleReplicaWarning {
    /// Records whether there is only one complete replica now. Returns whether a warning is due.
    pub fn observe(&mut self, now: Instant, is_sole: bool) -> bool {
        if !is_sole {
            *self = SoleReplicaWarning::default();
            return false;
        }
        let is_lasting = now.since(*self.since.get_or_insert(now)) >= WARN_DELAY;
        let is_due = self.logged_at.is_none_or(|logged_at| now.since(logged_at) >= WARN_INTERVAL);
        if is_lasting && is_due {
            self.logged_at = Some(now);
        }
        is_lasting && is_due
    }
}

/// Returns the progress of each replica of a partition that this node leads.
pub(crate) fn replica_statuses(host: &PartitionHost, registry: &Registry) -> Vec<ReplicaStatus> {
    let is_alive = |voter: ReplicaId| {
        registry.member_by_replica(voter.0).is_some_and(grebeusher_registry::Member::serves)
    };
    let replicas = host.replica.match_indexes().into_iter();
    replicas.map(|(voter, synced)| ReplicaStatus { voter, synced, is_alive: is_alive(voter) }).collect()
}

/// Returns the name of the node with the only complete replica of a partition that this node leads; `None` if several are
/// complete.
pub(crate) fn sole_replica_name(host: &PartitionHost, registry: &Registry) -> Option<String> {
    let holder = sole_replica(&replica_statuses(host, registry), host.replica.commit_index())?;
    let member = registry.member_by_replica(holder.0);
    Some(member.map_or_else(|| format!("disk {:016x}", holder.0), |member| member.name.clone()))
}

/// Logs a warning if one node has held the only complete replica of a partition for at least [`WARN_DELAY`].
pub(crate) fn warn_of_sole_replica(host: &mut PartitionHost, registry: &Registry, now: Instant) {
    let holder = sole_replica_name(host, registry);
    if host.maintenance.sole_replica_warning.observe(now, holder.is_some())
        && let Some(holder) = holder
    {
        warn!(partition = host.partition, holder, "one replica holds the only copy of committed entries");
    }
}
