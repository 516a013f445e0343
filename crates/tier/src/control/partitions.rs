//! The replicas of partitions that this node holds: their disk, their messages, their applications, their leadership.
//!
//! A [`PartitionHost`] owns one replica with its files, its application and the calls that wait for its commits.

use crate::batch::partition::{BatchPartition, shared};
use crate::control::configuration_partition::ConfigurationPartition;
use crate::control::disk_budget::DiskBudget;
use crate::control::leader_index::{LedPartition, LedPartitions};
use crate::control::membership_maintenance::MembershipMaintenance;
use crate::links::messages::{CallNumber, Channel, QuorumEnvelope, Reply};
use crate::node::{Node, RunError};
use crate::runtime::io::{PartitionStore, World};
use grebeusher_batch::PartitionLoad;
use grebeusher_quorum::{Blob, Committed, Index, Replica, ReplicaId, Term, Timing, Write};
use grebeusher_registry::{Class, MemberState};
use grebeusher_time::{Duration, Instant};
use nanoserde::{DeBin, SerBin};
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

/// Which attempt of a stopping process to hand its partitions over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandOver {
    /// At the start of the shutdown: to any voter, if none stays.
    First,
    /// Later, to voters that stay only.
    Repeated,
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

    fn write(&mut self, writes: &[Write]) -> Result<(), RunError> {
        let partition = self.partition;
        self.store.write(writes).map_err(|source| RunError::Disk { partition, source })?;
        self.refer_to_snapshot(writes);
        Ok(())
    }

    fn sync(&mut self) -> Result<(), RunError> {
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
        if let Err(error) = batch.restore(&shared(snapshot.clone())) {
            warn!(partition = self.partition, %error, "own snapshot unreadable");
        }
    }

    /// The items of a batch partition; none for the configuration.
    pub(crate) fn load(&self) -> PartitionLoad {
        match &self.application {
            Application::Batch(batch) => batch.runner.load(),
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
    pub fn propose(&mut self, now: Instant, entry: Vec<u8>, waiter: Option<Waiter>) -> Option<Index> {
        let index = self.replica.propose(now, entry).ok()?;
        let term = self.replica.term();
        self.waiters.entry(index).or_insert((term, Vec::new())).1.extend(waiter);
        Some(index)
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

impl Node {
    /// Does what the replicas want done: writes, one sync for all that came in this turn, messages, commits.
    pub fn pump_partitions(&mut self) -> Result<(), RunError> {
        for index in 0..self.partitions.len() {
            self.pump_partition(index)?;
        }
        Ok(())
    }

    fn pump_partition(&mut self, index: usize) -> Result<(), RunError> {
        if self.now >= self.partitions[index].next_wake() {
            self.traffic.partition_ticks += 1;
            self.partitions[index].replica.tick(self.now);
        }
        while self.partitions[index].replica.has_ready() {
            self.handle_ready(index)?;
        }
        self.update_leadership(index);
        Ok(())
    }

    /// Does what a replica wants done, in the order in which it is safe.
    fn handle_ready(&mut self, index: usize) -> Result<(), RunError> {
        let partition = self.partitions[index].partition;
        let ready = self.partitions[index].replica.take_ready();
        for (to, message) in ready.immediate_messages {
            self.send_quorum(partition, to, &message);
        }
        let host = &mut self.partitions[index];
        host.write(&ready.writes)?;
        if ready.must_sync {
            // What was already put on links for other partitions need not wait for this disk.
            host.sync()?;
        }
        host.replica.synced();
        for (to, message) in ready.messages {
            self.send_quorum(partition, to, &message);
        }
        if let Some(restore) = ready.restore {
            let host = &mut self.partitions[index];
            host.compact_at = host.budget.max_log_bytes(restore.bytes.as_slice().len());
            self.restore_partition(index, restore.bytes)?;
            self.partitions[index].applied = restore.index;
        }
        self.apply_committed(index, ready.committed)?;
        let host = &mut self.partitions[index];
        host.applied = host.applied.max(ready.applied);
        self.compact_partition(index);
        Ok(())
    }

    fn apply_committed(&mut self, index: usize, entries: Vec<Committed>) -> Result<(), RunError> {
        let is_changed = !entries.is_empty();
        for entry in entries {
            let host = &mut self.partitions[index];
            host.applied = entry.index;
            let waiters = match host.waiters.remove(&entry.index) {
                Some((term, waiters)) if term == entry.term => waiters,
                Some((_, lost)) => {
                    self.reply_unclear(lost);
                    Vec::new()
                }
                None => Vec::new(),
            };
            self.apply_to_partition(index, entry.payload, waiters)?;
        }
        if is_changed {
            self.serve_committed(index);
        }
        Ok(())
    }

    fn send_quorum(&mut self, partition: u8, to: ReplicaId, message: &grebeusher_quorum::Message) {
        let Some(address) = self.address_of_replica(to.0) else { return };
        let Some(identity) = self.identity else { return };
        let envelope = QuorumEnvelope {
            partition,
            from: identity.0,
            to: to.0,
            message: grebeusher_quorum::encode(message),
        };
        self.send_frame(address, Channel::Quorum, &SerBin::serialize_bin(&envelope));
    }

    /// A message of another replica has come.
    pub fn receive_quorum(&mut self, payload: &[u8]) {
        let Ok(envelope) = <QuorumEnvelope as DeBin>::deserialize_bin(payload) else { return };
        if self.identity != Some(ReplicaId(envelope.to)) {
            return;
        }
        let Ok(message) = grebeusher_quorum::decode(&envelope.message) else { return };
        let now = self.clock();
        if let Some(host) = self.partitions.iter_mut().find(|host| host.partition == envelope.partition) {
            host.replica.receive(now, ReplicaId(envelope.from), message);
        }
    }

    fn reply_unclear(&mut self, waiters: Vec<Waiter>) {
        for waiter in waiters {
            self.reply(waiter.peer, waiter.number, Reply::Unclear);
        }
    }

    fn restore_partition(&mut self, index: usize, bytes: Blob) -> Result<(), RunError> {
        match self.partitions[index].application {
            Application::Configuration(_) => self.restore_configuration(index, bytes.as_slice()),
            Application::Batch(_) => self.restore_batch(index, bytes),
        }
    }

    fn apply_to_partition(
        &mut self,
        index: usize,
        entry: Blob,
        waiters: Vec<Waiter>,
    ) -> Result<(), RunError> {
        match self.partitions[index].application {
            Application::Configuration(_) => self.apply_configuration(index, entry.as_slice(), waiters),
            Application::Batch(_) => self.apply_batch(index, entry, waiters),
        }
    }

    fn compact_partition(&mut self, index: usize) {
        let host = &mut self.partitions[index];
        if host.replica.log_bytes() < host.compact_at {
            return;
        }
        let snapshot = match &host.application {
            Application::Configuration(partition) => partition.snapshot(),
            Application::Batch(partition) => partition.snapshot(),
        };
        let size = snapshot.len();
        if let Err(error) = host.replica.compact(host.applied, snapshot) {
            warn!(partition = host.partition, bytes = size, %error, "no snapshot made");
        }
        host.compact_at = host.budget.max_log_bytes(size);
    }

    /// Begins or ends to act as the leader of a partition.
    fn update_leadership(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.partitions[index];
        let leads = host.replica.is_leader() && (host.leads() || host.replica.lease_holds(now));
        if leads == host.leads() {
            return;
        }
        host.leader_since = leads.then_some(now);
        let partition = host.partition;
        let term = host.replica.term().0;
        if leads {
            info!(partition, term, "became leader");
        } else {
            info!(partition, term, "leadership ended");
        }
        if !leads {
            let waiters: Vec<Waiter> =
                std::mem::take(&mut host.waiters).into_values().flat_map(|(_, waiters)| waiters).collect();
            let deferred = std::mem::take(&mut host.deferred);
            host.maintenance.leadership_ended();
            self.reply_unclear(waiters);
            for waiter in deferred {
                self.reply(waiter.peer, waiter.number, Reply::Unavailable);
            }
        }
        self.leader_changed(index, leads);
        self.announce_leadership();
    }

    fn leader_changed(&mut self, index: usize, leads: bool) {
        match &mut self.partitions[index].application {
            Application::Configuration(partition) => partition.leader_changed(),
            Application::Batch(_) => self.batch_leader_changed(index, leads),
        }
    }

    /// Announces to all nodes which partitions this node leads, at which terms.
    fn announce_leadership(&mut self) {
        let led = self.partitions.iter().filter(|host| host.leads());
        let led = LedPartitions {
            partitions: led
                .map(|host| LedPartition { partition: host.partition, term: host.replica.term().0 })
                .collect(),
        };
        if self.registry.set_metadata(self.now, SerBin::serialize_bin(&led)).is_err() {
            warn!("led partitions exceed the size of an announcement");
        }
    }

    /// The partitions that this node acts as the leader of.
    pub fn led_partitions(&self) -> impl Iterator<Item = u8> + '_ {
        self.partitions.iter().filter(|host| host.leads()).map(|host| host.partition)
    }

    /// The voters of a partition that this node leads, if their group is decided and no other one is on its way.
    pub fn settled_voters(&self, partition: u8) -> Option<&[ReplicaId]> {
        let host = self.partitions.iter().find(|host| host.partition == partition && host.leads())?;
        host.replica.is_group_stable().then(|| host.replica.group().voters.as_slice())
    }

    /// The identity of this node's disk.
    pub fn replica_id(&self) -> Option<ReplicaId> {
        self.identity
    }

    /// Gives the leadership of partitions to others, as this process is about to end.
    pub(crate) fn hand_over_partitions(&mut self, attempt: HandOver) {
        let now = self.now;
        for index in 0..self.partitions.len() {
            if !self.partitions[index].leads() || self.partitions[index].replica.is_transferring_leadership()
            {
                continue;
            }
            let successor = self.live_successor(index);
            // Where all voters are about to end the partition goes to one of them, once: not round and round among them.
            if successor.is_none() && attempt == HandOver::Repeated {
                continue;
            }
            self.checkpoint_batch(index);
            if let Err(error) = self.partitions[index].replica.transfer_leadership(now, successor) {
                warn!(partition = self.partitions[index].partition, %error, "leadership not handed over");
            }
        }
    }

    /// The voter with the longest log of those whose nodes run and are not about to end.
    fn live_successor(&self, index: usize) -> Option<ReplicaId> {
        let stays = |successor: &ReplicaId| {
            let member = self.registry.member_by_replica(successor.0);
            member.is_some_and(|member| member.state == MemberState::Alive)
        };
        self.partitions[index].replica.transfer_candidates().into_iter().find(stays)
    }

    /// The internal address of the node with a disk identity.
    pub fn address_of_replica(&self, replica: u64) -> Option<SocketAddrV4> {
        self.registry.member_by_replica(replica).map(|member| member.address)
    }

    /// The name of the leader of a partition, as its replica here knows it.
    pub fn leader_name(&self, index: usize) -> Option<String> {
        let leader = self.partitions[index].replica.leader_hint()?;
        self.registry.member_by_replica(leader.0).map(|member| member.name.clone())
    }
}

/// The machines that hold a partition.
pub fn class_of_partition(partition: u8) -> Class {
    if partition == crate::control::api::CONFIGURATION_PARTITION { Class::Edge } else { Class::Storage }
}
