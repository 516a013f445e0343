//! One replica of a partition on this node: its files, its application, and the calls that wait for its commits.
//!
//! A [`PartitionHost`] owns all of these. It writes and syncs by itself; what is sent to others, and what the application does
//! with a committed entry, is up to [`partitions`](crate::control::partitions).

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

/// On a link below this, jobs and results on their way to the replicas hold heartbeats up for some hundred milliseconds.
const SLOW_LINK_MBPS: f64 = 200.0;

/// What a partition keeps.
pub enum Application {
    /// Partition 0.
    Configuration(ConfigurationPartition),
    /// The others.
    Batch(Box<BatchPartition>),
}

/// Who waits for a proposal to be committed.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// The calling node.
    pub peer: SocketAddrV4,
    /// The number of its call.
    pub number: CallNumber,
}

/// What a replica must know of its machine.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaConfig {
    /// What the partition may take of the disk.
    pub budget: DiskBudget,
    /// The machine's own link.
    pub link_mbps: f64,
    /// For what is left to chance.
    pub seed: u64,
}

/// Who waited at an index of the log when its entry was applied.
#[derive(Debug, Default)]
pub(crate) struct AppliedWaiters {
    /// Those whose entry it is.
    pub waiters: Vec<Waiter>,
    /// Those whose entry was replaced by it: what became of it is unclear.
    pub lost: Vec<Waiter>,
}

/// What a change of the leadership leaves behind.
pub(crate) enum Leadership {
    /// The node acts as the leader from now on.
    Began,
    /// It does not any more.
    Ended {
        /// Calls whose entries may still be committed.
        proposed: Vec<Waiter>,
        /// Calls of which nothing was proposed.
        deferred: Vec<Waiter>,
    },
}

/// A replica of a partition on this node.
pub struct PartitionHost {
    /// Which partition.
    pub partition: u8,
    /// Its agreement.
    pub replica: Replica,
    store: Box<dyn PartitionStore>,
    /// Its state.
    pub application: Application,
    /// Calls by the proposal that decides them.
    pub waiters: BTreeMap<Index, (Term, Vec<Waiter>)>,
    /// Calls that are judged anew after the next commit.
    pub deferred: Vec<Waiter>,
    applied: Index,
    budget: DiskBudget,
    /// The log is written anew beyond this (bytes).
    compact_at: usize,
    /// Since when the application acts as the leader's.
    leader_since: Option<Instant>,
    pub(crate) maintenance: MembershipMaintenance,
}

impl PartitionHost {
    /// Opens the replica of a partition in its folder below `data`.
    ///
    /// # Errors
    /// The disk refuses, or the state on it can't be read.
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
            compact_at: config.budget.max_log_bytes(0),
            leader_since: None,
            maintenance: MembershipMaintenance::default(),
        })
    }

    /// When the replica next has something to do by itself.
    pub fn next_wake(&self) -> Instant {
        self.replica.next_wake()
    }

    /// Whether this node acts as the partition's leader.
    pub fn leads(&self) -> bool {
        self.leader_since.is_some()
    }

    /// Since when this node acts as the partition's leader.
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

    /// Lets the application refer to the snapshot of it that was just written, in the stead of the entries that it replaces:
    /// otherwise these stayed in memory for the texts in them, in addition to a snapshot with the same texts. A snapshot of
    /// another state than the application's, which came from the leader, is loaded later and not here.
    fn refer_to_snapshot(&mut self, writes: &[Write]) {
        let Application::Batch(batch) = &mut self.application else { return };
        let of_this_state = writes.iter().find_map(|write| match write {
            Write::Snapshot { snapshot, .. } if snapshot.last.index == self.applied => Some(&snapshot.bytes),
            _ => None,
        });
        let Some(snapshot) = of_this_state else { return };
        if let Err(error) = batch.restore(&shared_bytes(snapshot.clone())) {
            warn!(partition = self.partition, %error, "own snapshot unreadable");
        }
    }

    /// The items of a batch partition; none for the configuration.
    pub(crate) fn load(&self) -> PartitionLoad {
        match &self.application {
            Application::Batch(batch) => batch.runner().load(),
            Application::Configuration(_) => PartitionLoad::default(),
        }
    }

    /// The nodes that the partition's data is to leave.
    pub(crate) fn retiring_nodes(&self) -> Vec<String> {
        match &self.application {
            Application::Batch(batch) => batch.retiring.iter().cloned().collect(),
            Application::Configuration(_) => Vec::new(),
        }
    }

    /// Proposes an entry whose commit answers a call.
    ///
    /// # Errors
    /// The replica does not take it. Nothing is proposed, and the call is not answered here.
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

    /// Writes the log anew as a snapshot of the application's state where it has grown beyond its bound.
    pub(crate) fn compact_if_due(&mut self) {
        if self.replica.log_bytes() < self.compact_at {
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
        self.compact_at = self.budget.max_log_bytes(size);
    }

    /// A state that came from the leader takes the place of the application's.
    pub(crate) fn restored(&mut self, index: Index) {
        self.applied = index;
    }

    /// The bound of the log follows the size of the state that is being restored.
    pub(crate) fn expect_state_of(&mut self, bytes: usize) {
        self.compact_at = self.budget.max_log_bytes(bytes);
    }

    /// The entries up to there are applied.
    pub(crate) fn note_applied(&mut self, index: Index) {
        self.applied = self.applied.max(index);
    }

    /// The calls that wait for the entry of this index and term, which is applied now, and those that wait for another entry
    /// at this index, which can't be committed any more.
    pub(crate) fn take_waiters(&mut self, index: Index, term: Term) -> AppliedWaiters {
        match self.waiters.remove(&index) {
            Some((proposed, waiters)) if proposed == term => AppliedWaiters { waiters, lost: Vec::new() },
            Some((_, lost)) => AppliedWaiters { waiters: Vec::new(), lost },
            None => AppliedWaiters::default(),
        }
    }

    /// Begins or ends to act as the leader, as the replica's term and lease say. `None` if nothing has changed.
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

    /// The voter with the longest log of those whose nodes run and are not about to end.
    pub(crate) fn live_successor(&self, registry: &Registry) -> Option<ReplicaId> {
        let stays = |successor: &ReplicaId| {
            let member = registry.member_by_replica(successor.0);
            member.is_some_and(|member| member.state == MemberState::Alive)
        };
        self.replica.transfer_candidates().into_iter().find(stays)
    }
}

/// The spans of a partition's leadership. Reads need the lease, and the loss of a leader is noticed within `election_timeout_max`.
fn timing(partition: u8, link_mbps: f64) -> Timing {
    let configuration = partition == crate::control::api::CONFIGURATION_PARTITION;
    let (heartbeat, min, max) = if configuration {
        // The configuration's replicas share their processor with the traffic, so they are given more time.
        (100, 450, 800)
    } else if link_mbps < SLOW_LINK_MBPS {
        (100, 600, 1000)
    } else {
        (80, 400, 750)
    };
    Timing {
        heartbeat_interval: Duration::from_millis(heartbeat),
        election_timeout_min: Duration::from_millis(min),
        election_timeout_max: Duration::from_millis(max),
        lease_duration: Duration::from_millis(min * 85 / 100),
    }
}

/// The machines that hold a partition.
pub fn class_of_partition(partition: u8) -> Class {
    if partition == crate::control::api::CONFIGURATION_PARTITION { Class::Edge } else { Class::Storage }
}
