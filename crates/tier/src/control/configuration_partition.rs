//! Partition 0: the operator's configuration, changed by compare-and-set.
//!
//! [`ConfigurationPartition`] owns the replicated register and the changes that are proposed and not yet committed.

use crate::control::api::CONFIGURATION_PARTITION;
use crate::control::partition_host::{Application, Waiter};
use crate::links::messages::Reply;
use crate::node::{Node, RunError};
use grebeusher_configuration::configuration::Configuration;
use grebeusher_configuration::register::{BodyHash, Change, ConfigurationRegister, Entry, Pending, Verdict};
use std::fmt::Display;
use std::sync::Arc;

/// What a replica of partition 0 keeps.
#[derive(Default)]
pub struct ConfigurationPartition {
    register: ConfigurationRegister,
    pending: Pending,
}

impl ConfigurationPartition {
    /// The complete state.
    pub fn snapshot(&self) -> Vec<u8> {
        self.register.encode()
    }

    /// What was under way belongs to another leadership.
    pub fn leader_changed(&mut self) {
        self.pending.clear();
    }

    /// Takes the state of a snapshot.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), RunError> {
        self.register = ConfigurationRegister::decode(bytes).map_err(unreadable)?;
        self.pending.clear();
        Ok(())
    }

    /// Applies a committed entry; the HTTP status that its caller gets.
    fn apply(&mut self, entry: &[u8]) -> Result<u16, RunError> {
        let entry = Entry::decode(entry).map_err(unreadable)?;
        self.pending.applied(entry.change());
        Ok(self.register.apply(&entry).answer().status())
    }

    /// The newest committed configuration as a reply; version 0 and empty before there is one.
    fn newest(&self) -> Reply {
        Reply::Configuration { version: self.register.version(), body: self.register.body().to_vec() }
    }
}

fn unreadable(error: impl Display) -> RunError {
    RunError::State { partition: CONFIGURATION_PARTITION, reason: error.to_string() }
}

impl Node {
    pub(crate) fn restore_configuration(&mut self, index: usize, bytes: &[u8]) -> Result<(), RunError> {
        if let Application::Configuration(partition) = &mut self.partitions[index].application {
            partition.restore(bytes)?;
        }
        self.serve_committed(index);
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
        let status = partition.apply(entry)?;
        for waiter in waiters {
            self.reply(waiter.peer, waiter.number, Reply::Answer { status, body: b"{}".to_vec() });
        }
        // Calls that this change decided are judged by their nodes anew.
        for waiter in std::mem::take(&mut self.partitions[index].deferred) {
            self.reply(waiter.peer, waiter.number, Reply::Unavailable);
        }
        Ok(())
    }

    /// Puts the newest committed configuration in force here; the relays take it to the others. Once for all that was
    /// committed in a turn: a member that catches up on hundreds of changes reads one configuration, not each of them.
    pub(crate) fn serve_committed(&mut self, index: usize) {
        let Application::Configuration(partition) = &self.partitions[index].application else { return };
        let version = partition.register.version();
        if version == 0 {
            return;
        }
        let body = Arc::clone(partition.register.body());
        self.activate_configuration(version, body);
    }

    /// An operator's change, at the leader or at a node that is taken for it.
    pub(crate) fn replace_at_leader(&mut self, waiter: Waiter, base: u64, body: Vec<u8>) {
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

    /// The newest configuration, at the leader.
    pub(crate) fn show_at_leader(&mut self, waiter: Waiter) {
        let Some(index) = self.led_index(CONFIGURATION_PARTITION, waiter) else { return };
        let Application::Configuration(partition) = &self.partitions[index].application else { return };
        let reply = partition.newest();
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// The index of a partition that this node leads under a lease; otherwise the caller gets the name of the leader.
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
