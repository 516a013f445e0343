//! Partition 0: the operator's configuration, changed by compare-and-set, and the versions of its services.
//!
//! [`ConfigurationPartition`] owns the replicated register, the changes that are proposed and not yet committed, and the
//! replicated state of roll-outs. [`rollouts`](crate::control::rollouts) handles the calls about roll-outs.

use crate::control::api::CONFIGURATION_PARTITION;
use crate::control::partition_host::{Application, Waiter};
use crate::links::messages::Reply;
use crate::node::{Node, RunError};
use grebeusher_configuration::configuration::Configuration;
use grebeusher_configuration::register::{BodyHash, Change, ConfigurationRegister, Entry, Pending, Verdict};
use grebeusher_rollout::{Applied, ENTRY_FORMAT, Entry as RolloutEntry, Rollouts};
use std::fmt::Display;
use std::sync::Arc;

/// The state of a replica of partition 0.
#[derive(Default)]
pub struct ConfigurationPartition {
    register: ConfigurationRegister,
    pending: Pending,
    rollouts: Rollouts,
    /// The number of roll-out entries that this leader has proposed and that are not applied yet.
    pending_rollout_entries: usize,
}

/// The first byte of a snapshot that contains the state of roll-outs. A snapshot without it begins with the format byte of
/// the register, which differs.
const SNAPSHOT_WITH_ROLLOUTS: u8 = 2;
/// The size in bytes of the length field that follows.
const LENGTH_BYTES: usize = 4;

impl ConfigurationPartition {
    /// Encodes the whole state: the state of roll-outs after its length, if there is any, and the register.
    pub fn snapshot(&self) -> Vec<u8> {
        let register = self.register.encode();
        if self.rollouts.is_empty() {
            return register;
        }
        let rollouts = self.rollouts.encode();
        let length = u32::try_from(rollouts.len()).unwrap_or(u32::MAX);
        [&[SNAPSHOT_WITH_ROLLOUTS], &length.to_le_bytes()[..], &rollouts, &register].concat()
    }

    /// Forgets the proposals in progress, which belong to an earlier leadership.
    pub fn leader_changed(&mut self) {
        self.pending.clear();
        self.pending_rollout_entries = 0;
    }

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    /// Fails if the snapshot can't be decoded.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), RunError> {
        let (rollouts, register) = split_snapshot(bytes)?;
        self.rollouts = rollouts;
        self.register = ConfigurationRegister::decode(register).map_err(unreadable)?;
        self.leader_changed();
        Ok(())
    }

    /// Applies a committed entry and returns the HTTP status for its caller.
    ///
    /// # Errors
    /// Fails if the entry can't be decoded.
    pub fn apply(&mut self, entry: &[u8]) -> Result<u16, RunError> {
        if entry.first() == Some(&ENTRY_FORMAT) {
            let entry = RolloutEntry::decode(entry).map_err(unreadable)?;
            self.pending_rollout_entries = self.pending_rollout_entries.saturating_sub(1);
            return Ok(status_of(self.rollouts.apply(entry)));
        }
        let entry = Entry::decode(entry).map_err(unreadable)?;
        self.pending.applied(entry.change());
        Ok(self.register.apply(&entry).answer().status())
    }

    /// Returns the committed versions of all services.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Whether a roll-out entry is proposed and not applied yet.
    pub(crate) fn has_pending_rollouts(&self) -> bool {
        self.pending_rollout_entries > 0
    }

    /// Records that a roll-out entry was proposed.
    pub(crate) fn rollout_proposed(&mut self) {
        self.pending_rollout_entries += 1;
    }

    /// Returns a reply with the newest committed configuration. If there is none, it has version 0 and an empty body.
    fn newest(&self) -> Reply {
        Reply::Configuration { version: self.register.version(), body: self.register.body().to_vec() }
    }
}

/// Splits a snapshot into the state of roll-outs and the bytes of the register.
fn split_snapshot(bytes: &[u8]) -> Result<(Rollouts, &[u8]), RunError> {
    if bytes.first() != Some(&SNAPSHOT_WITH_ROLLOUTS) {
        return Ok((Rollouts::default(), bytes));
    }
    let cut_off = || unreadable("the snapshot is cut off");
    let (length, rest) = bytes[1..].split_first_chunk::<LENGTH_BYTES>().ok_or_else(cut_off)?;
    let length = u32::from_le_bytes(*length) as usize;
    let (rollouts, register) = rest.split_at_checked(length).ok_or_else(cut_off)?;
    Ok((Rollouts::decode(rollouts).map_err(|error| unreadable(format!("{error:?}")))?, register))
}

/// Returns the HTTP status for the caller whose roll-out entry was applied.
fn status_of(applied: Applied) -> u16 {
    match applied {
        Applied::Accepted | Applied::AlreadyAccepted => 200,
        Applied::Conflict => 409,
    }
}

fn unreadable(error: impl Display) -> RunError {
    RunError::State { partition: CONFIGURATION_PARTITION, reason: error.to_string() }
}

impl Node {
    pub(crate) fn restore_configuration(&mut self, index: usize, bytes: &[u8]) -> Result<(), RunError> {
        if let Application::Configuration(partition) = &mut self.partitions[index].application {
            partition.restore(bytes)?;
            let rollouts = partition.rollouts.clone();
            self.versions_changed(rollouts);
        }
        self.activate_committed(index);
        Ok(())
    }

    pub(crate) fn apply_configuration(
        &mut self,
        index: usize,
        entry: &[u8],
        waiters: Vec<Waiter>,
    ) -> Result<(), RunError> {
        let Application::Configuration(partition) = &mut self.partitions[index].application else {
            return Ok(());
        };
        let revision = partition.rollouts.revision();
        let status = partition.apply(entry)?;
        let rollouts = (partition.rollouts.revision() != revision).then(|| partition.rollouts.clone());
        if let Some(rollouts) = rollouts {
            self.versions_changed(rollouts);
        }
        for waiter in waiters {
            self.reply(waiter.peer, waiter.number, Reply::Answer { status, body: b"{}".to_vec() });
        }
        // The verdicts on these calls depended on this change. Their nodes retry them.
        for waiter in std::mem::take(&mut self.partitions[index].deferred) {
            self.reply(waiter.peer, waiter.number, Reply::Unavailable);
        }
        Ok(())
    }

    /// Puts the newest committed configuration in force on this node; the nodes without a replica fetch it from their peers.
    /// Called once for all entries committed in a turn, so that a replica that catches up on hundreds of changes parses one
    /// configuration, not each of them.
    pub(crate) fn activate_committed(&mut self, index: usize) {
        let Application::Configuration(partition) = &self.partitions[index].application else { return };
        let version = partition.register.version();
        if version == 0 {
            return;
        }
        let body = Arc::clone(partition.register.body());
        self.activate_configuration(version, body);
    }

    /// Handles a call that replaces the configuration, which was sent to this node as the presumed leader.
    pub(crate) fn replace_configuration_at_leader(&mut self, waiter: Waiter, base: u64, body: Vec<u8>) {
        let now = self.now;
        let Some(index) = self.led_index(CONFIGURATION_PARTITION, waiter) else { return };
        let Ok(configuration) = Configuration::read(&body) else {
            return self.reply(waiter.peer, waiter.number, Reply::Answer { status: 400, body: Vec::new() });
        };
        let change = Change { base, version: configuration.version, hash: BodyHash::of(&body) };
        let host = &mut self.partitions[index];
        let Application::Configuration(partition) = &mut host.application else { return };
        let verdict = partition.register.judge(&change, &partition.pending);
        match verdict {
            Verdict::Accept => {
                partition.pending.propose(change);
                let entry = Entry::new(base, configuration.version, Arc::from(body));
                if host.propose(now, entry.encode(), Some(waiter)).is_err() {
                    if let Application::Configuration(partition) = &mut host.application {
                        partition.pending.applied(&change);
                    }
                    self.reply(waiter.peer, waiter.number, Reply::Unavailable);
                }
            }
            Verdict::Undecided => host.deferred.push(waiter),
            verdict => {
                let answer = verdict.answer().map(grebeusher_configuration::register::Answer::status);
                let reply =
                    answer.map_or(Reply::Unclear, |status| Reply::Answer { status, body: b"{}".to_vec() });
                self.reply(waiter.peer, waiter.number, reply);
            }
        }
    }

    /// Replies with the newest configuration, if this node is the leader.
    pub(crate) fn show_configuration_at_leader(&mut self, waiter: Waiter) {
        let Some(index) = self.led_index(CONFIGURATION_PARTITION, waiter) else { return };
        let Application::Configuration(partition) = &self.partitions[index].application else { return };
        let reply = partition.newest();
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// Returns the index of a partition that this node leads under a valid lease. Otherwise replies to the caller with the
    /// name of the leader, or that the partition is unavailable.
    pub(crate) fn led_index(&mut self, partition: u8, waiter: Waiter) -> Option<usize> {
        let now = self.clock();
        let Some(index) = self.partitions.iter().position(|host| host.partition == partition) else {
            self.reply(waiter.peer, waiter.number, Reply::NotLeader { leader: None });
            return None;
        };
        let host = &self.partitions[index];
        if host.replica.is_leader() {
            if host.leads() && host.replica.lease_holds(now) {
                return Some(index);
            }
            self.reply(waiter.peer, waiter.number, Reply::Unavailable);
            return None;
        }
        let leader = self.leader_name(index);
        self.reply(waiter.peer, waiter.number, Reply::NotLeader { leader });
        None
    }
}
