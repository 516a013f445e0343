//! One replica of a partition on this node: its files, its application, and the calls that wait for its commits.
//!
//! A [`PartitionHost`] owns all of these. It writes and syncs the files; [`partitions`](crate::control::partitions) sends
//! the messages and passes committed entries to the application.

use crate::batch::partition::{BatchPartition, shared_bytes};
use crate::control::configuration_partition::ConfigurationPartition;
use crate::control::disk_budget::DiskBudget;
use crate::control::membership_maintenance::MembershipMaintenance;
use crate::links::messages::CallNumber;
use crate::node::RunError;
use crate::runtime::io::{PartitionStore, World};
use grebeusher_batch::PartitionLoad;
use grebeusher_quorum::{Index, ProposeError, Replica, ReplicaId, Term, Timing, Write};
use grebeusher_registry::{Class, MemberState, Registry};
use grebeusher_time::{Duration, Instant};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;
use tracing::{info, warn};

/// The bandwidth of a link in Mbit/s below which jobs and results sent to the replicas delay heartbeats by several hundred
/// milliseconds.
const SLOW_LINK_MBPS: f64 = 200.0;

/// The replicated state machine of a partition.
pub enum Application {
    /// The state of partition 0.
    Configuration(ConfigurationPartition),
    /// The state of any other partition.
    Batch(Box<BatchPartition>),
}

/// A call of a node that waits for a proposal to be committed.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// The calling node.
    pub peer: SocketAddrV4,
    /// The number that the calling node gave the call.
    pub number: CallNumber,
}

/// The properties of the machine that a replica depends on.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaConfig {
    /// The disk and memory budget of the partition.
    pub budget: DiskBudget,
    /// The bandwidth of the machine's link, in Mbit/s.
    pub link_mbps: f64,
    /// The seed of the replica's random numbers.
    pub seed: u64,
}

/// The calls that waited for an index of the log when the entry at that index was applied.
#[derive(Debug, Default)]
pub(crate) struct AppliedWaiters {
    /// The calls that proposed this entry.
    pub waiters: Vec<Waiter>,
    /// The calls that proposed another entry at this index, in an earlier term. Their outcome is unknown.
    pub lost: Vec<Waiter>,
}

/// A change of the leadership of this node.
pub(crate) enum Leadership {
    /// The node has begun to act as the leader.
    Began,
    /// The node has ceased to act as the leader.
    Ended {
        /// The calls whose entries may still be committed.
        proposed: Vec<Waiter>,
        /// The calls for which nothing was proposed.
        deferred: Vec<Waiter>,
    },
}

/// A replica of a partition on this node.
pub struct PartitionHost {
    /// The number of the partition.
    pub partition: u8,
    /// The state of the consensus protocol.
    pub replica: Replica,
    store: Box<dyn PartitionStore>,
    /// The replicated state machine.
    pub application: Application,
    /// The calls that wait for a commit, by the index and term of the entry that was proposed for them.
    pub waiters: BTreeMap<Index, (Term, Vec<Waiter>)>,
    /// The calls that can't be decided before the next commit.
    pub deferred: Vec<Waiter>,
    /// The index of the last applied entry.
    applied: Index,
    budget: DiskBudget,
    /// The size of the log at which it is compacted, in bytes.
    compact_at_bytes: usize,
    /// Since when this node acts as the leader; `None` if it does not.
    leader_since: Option<Instant>,
    pub(crate) maintenance: MembershipMaintenance,
}

impl PartitionHost {
    /// Opens the replica of a partition in the folder of the partition below `data`.
    ///
    /// # Errors
    /// Fails if the disk does, or if the stored state can't be read.
    pub fn open(
        world: &dyn World,
        data: &Path,
        partition: u8,
        identity: ReplicaId,
        application: Application,
        config: ReplicaConfig,
    ) -> Result<PartitionHost, RunError> {
        let folder = data.join(format!("part-{partition}"));
        let (store, restored) =
            world.open_store(&folder).map_err(|source| RunError::Disk { partition, source })?;
        let replica =
            Replica::new(identity, restored, timing(partition, config.link_mbps), config.seed, Instant(0));
        Ok(PartitionHost {
            partition,
            replica,
            store,
            application,
            waiters: BTreeMap::new(),
            deferred: Vec::new(),
            applied: Index(0),
            budget: config.budget,
            compact_at_bytes: config.budget.max_log_bytes(0),
            leader_since: None,
            maintenance: MembershipMaintenance::default(),
        })
    }

    /// Returns when the replica next has a timer due.
    pub fn next_wake(&self) -> Instant {
        self.replica.next_wake()
    }

    /// Whether this node acts as the leader of the partition.
    pub fn leads(&self) -> bool {
        self.leader_since.is_some()
    }

    /// Returns since when this node acts as the leader of the partition; `None` if it does not.
    pub fn leader_since(&self) -> Option<Instant> {
        self.leader_since
    }

    pub(crate) fn write(&mut self, writes: &[Write]) -> Result<(), RunError> {
        let partition = self.partition;
        self.store.write(writes).map_err(|source| RunError::Disk { partition, source })?;
        self.refer_to_snapshot(writes);
        Ok(())
    }

    pub(crate) fn sync(&mut self) -> Result<(), RunError> {
        let partition = self.partition;
        self.store.sync().map_err(|source| RunError::Disk { partition, source })
    }

    /// Lets the application refer to the snapshot of its state that was just written, instead of the entries that the snapshot
    /// replaces. Otherwise the entries would stay in memory for the texts in them, in addition to a snapshot with the same
    /// texts. A snapshot from the leader has another state than the application and is loaded later, not here.
    fn refer_to_snapshot(&mut self, writes: &[Write]) {
        let Application::Batch(batch) = &mut self.application else { return };
        let own_snapshot = writes.iter().find_map(|write| match write {
            Write::Snapshot { snapshot, .. } if snapshot.last.index == self.applied => Some(&snapshot.bytes),
            _ => None,
        });
        let Some(snapshot) = own_snapshot else { return };
        if let Err(error) = batch.restore(&shared_bytes(snapshot.clone())) {
            warn!(partition = self.partition, %error, "own snapshot unreadable");
        }
    }

    /// Returns the number of items of a batch partition by state; zeros for the configuration partition.
    pub(crate) fn load(&self) -> PartitionLoad {
        match &self.application {
            Application::Batch(batch) => batch.runner().load(),
            Application::Configuration(_) => PartitionLoad::default(),
        }
    }

    /// Returns the names of the nodes that are being retired from the partition.
    pub(crate) fn retiring_nodes(&self) -> Vec<String> {
        match &self.application {
            Application::Batch(batch) => batch.retiring.iter().cloned().collect(),
            Application::Configuration(_) => Vec::new(),
        }
    }

    /// Proposes an entry. The call of `waiter` is answered when the entry is committed.
    ///
    /// # Errors
    /// Fails if the replica does not accept the proposal. Nothing is proposed then, and the caller of this function must answer
    /// the call.
    pub fn propose(
        &mut self,
        now: Instant,
        entry: Vec<u8>,
        waiter: Option<Waiter>,
    ) -> Result<(), ProposeError> {
        let index = self.replica.propose(now, entry)?;
        let term = self.replica.term();
        self.waiters.entry(index).or_insert((term, Vec::new())).1.extend(waiter);
        Ok(())
    }

    /// Replaces the log by a snapshot of the application's state if the log has reached its maximum size.
    pub(crate) fn compact_if_due(&mut self) {
        if self.replica.log_bytes() < self.compact_at_bytes {
            return;
        }
        let snapshot = match &self.application {
            Application::Configuration(partition) => partition.snapshot(),
            Application::Batch(partition) => partition.snapshot(),
        };
        let size = snapshot.len();
        if let Err(error) = self.replica.compact(self.applied, snapshot) {
            warn!(partition = self.partition, bytes = size, %error, "no snapshot made");
        }
        self.compact_at_bytes = self.budget.max_log_bytes(size);
    }

    /// Records that the application was restored from a snapshot that ends with the entry at `index`.
    pub(crate) fn note_restored(&mut self, index: Index) {
        self.applied = index;
    }

    /// Adjusts the maximum size of the log to a state of `bytes` bytes, which is about to be restored.
    pub(crate) fn adjust_log_bound(&mut self, bytes: usize) {
        self.compact_at_bytes = self.budget.max_log_bytes(bytes);
    }

    /// Records that the entries up to `index` are applied.
    pub(crate) fn note_applied(&mut self, index: Index) {
        self.applied = self.applied.max(index);
    }

    /// Removes and returns the calls that wait for the entry with this index and term, which is being applied, and those that
    /// wait for another entry at this index, which can't be committed any more.
    pub(crate) fn take_waiters(&mut self, index: Index, term: Term) -> AppliedWaiters {
        match self.waiters.remove(&index) {
            Some((proposed, waiters)) if proposed == term => AppliedWaiters { waiters, lost: Vec::new() },
            Some((_, lost)) => AppliedWaiters { waiters: Vec::new(), lost },
            None => AppliedWaiters::default(),
        }
    }

    /// Begins or ceases to act as the leader by the role and the lease of the replica. Returns `None` if nothing has changed.
    pub(crate) fn update_leadership(&mut self, now: Instant) -> Option<Leadership> {
        let leads = self.replica.is_leader() && (self.leads() || self.replica.lease_holds(now));
        if leads == self.leads() {
            return None;
        }
        self.leader_since = leads.then_some(now);
        let (partition, term) = (self.partition, self.replica.term().0);
        if leads {
            info!(partition, term, "became leader");
            return Some(Leadership::Began);
        }
        info!(partition, term, "leadership ended");
        self.maintenance.leadership_ended();
        let proposals = std::mem::take(&mut self.waiters).into_values();
        let proposed = proposals.flat_map(|(_, waiters)| waiters).collect();
        Some(Leadership::Ended { proposed, deferred: std::mem::take(&mut self.deferred) })
    }

    /// Returns the voter with the longest log of those whose nodes are alive and not shutting down.
    pub(crate) fn live_successor(&self, registry: &Registry) -> Option<ReplicaId> {
        let is_alive = |successor: &ReplicaId| {
            let member = registry.member_by_replica(successor.0);
            member.is_some_and(|member| member.state == MemberState::Alive)
        };
        self.replica.transfer_candidates().into_iter().find(is_alive)
    }
}

/// Returns the timing of the consensus protocol for a partition. Reads need the lease, and the loss of a leader is detected
/// within `election_timeout_max`.
fn timing(partition: u8, link_mbps: f64) -> Timing {
    let is_configuration = partition == crate::control::api::CONFIGURATION_PARTITION;
    let (heartbeat_ms, min_ms, max_ms) = if is_configuration {
        // The replicas of the configuration share the processor with client traffic and need longer time-outs.
        (100, 450, 800)
    } else if link_mbps < SLOW_LINK_MBPS {
        (100, 600, 1000)
    } else {
        (80, 400, 750)
    };
    Timing {
        heartbeat_interval: Duration::from_millis(heartbeat_ms),
        election_timeout_min: Duration::from_millis(min_ms),
        election_timeout_max: Duration::from_millis(max_ms),
        lease_duration: Duration::from_millis(min_ms * 85 / 100),
    }
}

/// Returns the class of the machines that hold the replicas of a partition.
pub fn class_of_partition(partition: u8) -> Class {
    if partition == crate::control::api::CONFIGURATION_PARTITION { Class::Edge } else { Class::Storage }
}
