//! The status of a partition for operators, as its leader reports it: the term, the group and the jobs.

use crate::control::partition_host::{Application, PartitionHost};
use crate::control::replica_status::{replica_statuses, sole_replica_name};
use grebeusher_batch::Jobs;
use grebeusher_registry::Registry;
use std::fmt::{self, Display, Formatter};

/// The maximum number of jobs that get a line each, so that the status stays readable and the reply small.
const MAX_JOBS: usize = 500;

/// The status of a partition, formatted as one line for each replica property, voter and job.
pub(crate) struct PartitionReport<'a> {
    /// The replica of the partition on this node, which leads the partition.
    pub host: &'a PartitionHost,
    /// The registry, for the names of the voters.
    pub registry: &'a Registry,
    /// The name of this node, the leader.
    pub node_name: &'a str,
    /// The version of the configuration in force.
    pub configuration_version: u64,
}

impl Display for PartitionReport<'_> {
    fn fmt(&self, text: &mut Formatter<'_>) -> fmt::Result {
        let partition = self.host.partition;
        self.write_replica(text)?;
        self.write_voters(text)?;
        if let Some(holder) = sole_replica_name(self.host, self.registry) {
            writeln!(
                text,
                "part {partition} WARNING: {holder} holds the only copy of all that is committed"
            )?;
        }
        for node in self.host.retiring_nodes() {
            writeln!(text, "part {partition} is to leave {node}")?;
        }
        match &self.host.application {
            Application::Batch(batch) => write_jobs(partition, batch.jobs(), text),
            Application::Configuration(_) => {
                writeln!(text, "part {partition} holds configuration {}", self.configuration_version)
            }
        }
    }
}

impl PartitionReport<'_> {
    fn write_replica(&self, text: &mut Formatter<'_>) -> fmt::Result {
        let (partition, replica) = (self.host.partition, &self.host.replica);
        let (term, commit, log) = (replica.term().0, replica.commit_index().0, replica.log_bytes());
        writeln!(
            text,
            "part {partition} owned by {} at term {term}: commit {commit}, log of {log} bytes",
            self.node_name
        )
    }

    fn write_voters(&self, text: &mut Formatter<'_>) -> fmt::Result {
        let partition = self.host.partition;
        let changes = if self.host.replica.group().is_joint() { " (the group is changing)" } else { "" };
        for status in replica_statuses(self.host, self.registry) {
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
                    writeln!(text, "part {partition} voter unknown disk {disk:016x} has {synced}{changes}")?;
                }
            }
        }
        Ok(())
    }
}

fn write_jobs(partition: u8, jobs: &Jobs, text: &mut Formatter<'_>) -> fmt::Result {
    writeln!(text, "part {partition} holds {} jobs in about {} bytes", jobs.len(), jobs.memory_bytes())?;
    for job in jobs.ids().take(MAX_JOBS) {
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
