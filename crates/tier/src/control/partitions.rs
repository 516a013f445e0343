//! The driver of the replicas on this node: their messages, commits and leaderships.
//!
//! This module carries out what the replicas request of the disk, the links and the applications. The state of each replica
//! is in its [`PartitionHost`](crate::control::partition_host::PartitionHost).

use crate::control::leader_index::{LedPartition, LedPartitions};
use crate::control::partition_host::{Application, AppliedWaiters, Leadership, Waiter};
use crate::links::messages::{Channel, QuorumEnvelope, Reply};
use crate::node::{Node, RunError};
use grebeusher_quorum::{Blob, Committed, ReplicaId};
use nanoserde::{DeBin, SerBin};
use std::net::SocketAddrV4;
use tracing::warn;

/// The attempt of a process that shuts down to hand its partitions over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandOver {
    /// The attempt at the start of the shutdown: to any voter, if all are shutting down.
    First,
    /// A later attempt: only to voters that are not shutting down.
    Repeated,
}

impl Node {
    /// Carries out what the replicas request: writes, one sync for everything received in this turn, messages, commits.
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

    /// Carries out what a replica requests, in an order that is safe: messages that depend on writes are sent after the sync.
    fn handle_ready(&mut self, index: usize) -> Result<(), RunError> {
        let partition = self.partitions[index].partition;
        let ready = self.partitions[index].replica.take_ready();
        for (to, message) in ready.immediate_messages {
            self.send_quorum(partition, to, &message);
        }
        let host = &mut self.partitions[index];
        host.write(&ready.writes)?;
        if ready.must_sync {
            // Frames that other partitions have already queued on links need not wait for this disk.
            host.sync()?;
        }
        host.replica.synced();
        for (to, message) in ready.messages {
            self.send_quorum(partition, to, &message);
        }
        if let Some(restore) = ready.restore {
            self.partitions[index].adjust_log_bound(restore.bytes.as_slice().len());
            self.restore_partition(index, restore.bytes)?;
            self.partitions[index].note_restored(restore.index);
        }
        self.apply_committed(index, ready.committed)?;
        let host = &mut self.partitions[index];
        host.note_applied(ready.applied);
        host.compact_if_due();
        Ok(())
    }

    fn apply_committed(&mut self, index: usize, entries: Vec<Committed>) -> Result<(), RunError> {
        let has_entries = !entries.is_empty();
        for entry in entries {
            let host = &mut self.partitions[index];
            host.note_applied(entry.index);
            let AppliedWaiters { waiters, lost } = host.take_waiters(entry.index, entry.term);
            self.reply_unclear(lost);
            self.apply_to_partition(index, entry.payload, waiters)?;
        }
        if has_entries {
            self.activate_committed(index);
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

    /// Passes a message of another replica to the replica of its partition.
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

    /// Begins or ceases to act as the leader of a partition, if the state of the replica has changed.
    fn update_leadership(&mut self, index: usize) {
        let Some(change) = self.partitions[index].update_leadership(self.now) else { return };
        let leads = matches!(change, Leadership::Began);
        if let Leadership::Ended { proposed, deferred } = change {
            self.reply_unclear(proposed);
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

    /// Announces to all nodes the partitions that this node leads, with the terms.
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

    /// Returns the partitions that this node leads.
    pub fn led_partitions(&self) -> impl Iterator<Item = u8> + '_ {
        self.partitions.iter().filter(|host| host.leads()).map(|host| host.partition)
    }

    /// Returns the voters of a partition that this node leads, if their group is committed and no change is in progress.
    pub fn settled_voters(&self, partition: u8) -> Option<&[ReplicaId]> {
        let host = self.partitions.iter().find(|host| host.partition == partition && host.leads())?;
        host.replica.is_group_stable().then(|| host.replica.group().voters.as_slice())
    }

    /// Returns the identity of this node's disk; `None` if the node holds no replicas.
    pub fn replica_id(&self) -> Option<ReplicaId> {
        self.identity
    }

    /// Hands the leaderships of this node over to other nodes, as this process is shutting down.
    pub(crate) fn hand_over_partitions(&mut self, attempt: HandOver) {
        let now = self.now;
        for index in 0..self.partitions.len() {
            if !self.partitions[index].leads() || self.partitions[index].replica.is_transferring_leadership()
            {
                continue;
            }
            let successor = self.partitions[index].live_successor(&self.registry);
            // If all voters are shutting down, the leadership is handed over only once, so that it does not circulate among them.
            if successor.is_none() && attempt == HandOver::Repeated {
                continue;
            }
            self.checkpoint_batch(index);
            if let Err(error) = self.partitions[index].replica.transfer_leadership(now, successor) {
                warn!(partition = self.partitions[index].partition, %error, "leadership not handed over");
            }
        }
    }

    /// Returns the internal address of the node with a disk identity.
    pub fn address_of_replica(&self, replica: u64) -> Option<SocketAddrV4> {
        self.registry.member_by_replica(replica).map(|member| member.address)
    }

    /// Returns the name of the leader of a partition, as far as the replica on this node knows.
    pub fn leader_name(&self, index: usize) -> Option<String> {
        let leader = self.partitions[index].replica.leader_hint()?;
        self.registry.member_by_replica(leader.0).map(|member| member.name.clone())
    }
}
