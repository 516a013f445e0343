//! What the leader of a partition says of it, for operators: its term, its group, its jobs.

use crate::control::api::OPERATOR_TIMEOUT;
use crate::control::partitions::{Application, Waiter};
use crate::links::calls::{Continuation, OperatorQuestion};
use crate::links::messages::{Call, Reply};
use crate::node::Node;
use grebeusher_batch::Jobs;
use std::fmt::Write;

/// So many jobs get a line of their own; a status stays readable, and the reply small.
const MAX_JOBS: usize = 500;

impl Node {
    /// The operator's question for a partition, passed on to its leader.
    pub fn partition_request(&mut self, connection: usize, serial: u64, partition: u8) {
        let question = OperatorQuestion::Partition;
        let continuation = Continuation::Operator { connection, serial, question };
        self.call_leader(
            partition,
            Call::ShowPartition { partition },
            self.now + OPERATOR_TIMEOUT,
            continuation,
        );
    }

    /// The leader's status of a partition.
    pub(crate) fn show_partition_at_leader(&mut self, waiter: Waiter, partition: u8) {
        let Some(index) = self.led_index(partition, waiter) else { return };
        let retiring = self.retiring_nodes(index);
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = self.write_partition(index, &retiring, &mut text);
        self.reply(waiter.peer, waiter.number, Reply::Answer { status: 200, body: text.into_bytes() });
    }

    fn write_partition(&self, index: usize, retiring: &[String], text: &mut String) -> std::fmt::Result {
        let host = &self.partitions[index];
        let (partition, replica) = (host.partition, &host.replica);
        let (term, commit, log) = (replica.term().0, replica.commit_index().0, replica.log_bytes());
        writeln!(
            text,
            "part {partition} owned by {} at term {term}: commit {commit}, log of {log} bytes",
            self.settings.node_name.as_str()
        )?;
        let group = replica.group();
        let changes = if group.is_joint() { " (the group is changing)" } else { "" };
        for status in self.replica_statuses(index) {
            let (disk, synced) = (status.voter.0, status.synced.0);
            match self.registry.member_by_replica(disk) {
                Some(member) => {
                    let (name, state, zone) = (&member.name, member.state, &member.zone);
                    writeln!(
                        text,
                        "part {partition} voter {name} {state:?} {zone} disk {disk:016x} has {synced}{changes}"
                    )?;
                }
                None => {
                    writeln!(text, "part {partition} voter unknown disk {disk:016x} has {synced}{changes}")?
                }
            }
        }
        if let Some(holder) = self.sole_replica(index) {
            writeln!(
                text,
                "part {partition} WARNING: {holder} holds the only copy of all that is committed"
            )?;
        }
        for node in retiring {
            writeln!(text, "part {partition} is to leave {node}")?;
        }
        match &host.application {
            Application::Batch(batch) => write_jobs(partition, batch.jobs(), text),
            Application::Configuration(_) => {
                writeln!(text, "part {partition} holds configuration {}", self.configuration_version())
            }
        }
    }
}

fn write_jobs(partition: u8, jobs: &Jobs, text: &mut String) -> std::fmt::Result {
    writeln!(text, "part {partition} holds {} jobs in about {} bytes", jobs.len(), jobs.cost())?;
    for job in jobs.names().take(MAX_JOBS) {
        let Some(status) = jobs.status(job) else { continue };
        let state = match (status.has_ended, jobs.is_open(job)) {
            (true, _) => "ended",
            (false, true) => "open",
            (false, false) => "complete",
        };
        writeln!(
            text,
            "part {partition} job {job}: {} of {} items listed, {state}",
            status.listed, status.total
        )?;
    }
    Ok(())
}
