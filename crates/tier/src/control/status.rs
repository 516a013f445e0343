//! The status of a node and of the tier as the node knows it, for operators and the platform.

use crate::batch::api::BATCH_PARTITIONS;
use crate::control::partition_host::Application;
use crate::node::Node;
use crate::requests::prefix_popularity::write_routing_status;
use grebeusher_rollout::{Rollout, ServiceVersions};
use grebeusher_time::{Duration, DurationExt};
use std::fmt::{self, Write};

/// How long a node waits for the leader to confirm its configuration. After that it serves by that of its peers.
const LEADER_REPLY_TIMEOUT: Duration = Duration::from_millis(900);

impl Node {
    /// Whether the platform should send clients to this node: it has a configuration that the leader has confirmed, knows
    /// executors, is not shutting down, and is not partitioned from all other nodes, in which case other nodes serve clients
    /// better.
    pub fn is_ready(&self) -> bool {
        let is_confirmed = self.configuration.is_confirmed() || self.now.0 >= LEADER_REPLY_TIMEOUT.nanos();
        let has_executors = self.registry.executors().next().is_some();
        let can_serve = self.configuration.active().is_some() && is_confirmed && has_executors;
        !self.stopping() && can_serve && !self.registry.is_isolated(self.now)
    }

    /// Returns the status with one line for each member, partition, executor, version and group of counters.
    pub fn status_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = self.write_status(&mut text);
        text
    }

    fn write_status(&self, text: &mut String) -> fmt::Result {
        writeln!(text, "node {} {}", self.settings.node_name.as_str(), self.links.own_address())?;
        writeln!(text, "ready {} stopping {}", self.is_ready(), self.stopping())?;
        writeln!(text, "configuration {}", self.configuration_version())?;
        self.write_members(text)?;
        self.write_partitions(text)?;
        self.write_executors(text)?;
        self.write_versions(text)?;
        self.write_counters(text)?;
        write_routing_status(&self.requests.routing, text)
    }

    fn write_members(&self, text: &mut String) -> fmt::Result {
        for member in self.registry.members() {
            let (name, state, zone) = (&member.name, member.state, &member.zone);
            writeln!(text, "member {name} {} {state:?} {:?} {zone}", member.address, member.class)?;
        }
        Ok(())
    }

    fn write_partitions(&self, text: &mut String) -> fmt::Result {
        for partition in 0..=BATCH_PARTITIONS {
            match self.known_leader(partition) {
                Some(leader) => writeln!(text, "part {partition} owner {leader}")?,
                None => writeln!(text, "part {partition} without an owner")?,
            }
        }
        for host in &self.partitions {
            let (partition, replica) = (host.partition, &host.replica);
            let (term, commit, voters) =
                (replica.term().0, replica.commit_index().0, &replica.group().voters);
            writeln!(text, "replica of part {partition} term {term} commit {commit} voters {voters:?}")?;
            if let Application::Batch(batch) = &host.application {
                writeln!(text, "jobs of part {partition}: {}", batch.jobs().len())?;
            }
        }
        Ok(())
    }

    fn write_executors(&self, text: &mut String) -> fmt::Result {
        for executor in self.registry.executors() {
            let (id, state, unresponsive) =
                (&executor.report.id, executor.report.state, executor.unresponsive);
            writeln!(
                text,
                "executor {id} {} {} {state:?} silent {unresponsive}",
                executor.report.service, executor.report.address
            )?;
        }
        Ok(())
    }

    fn write_versions(&self, text: &mut String) -> fmt::Result {
        for ServiceVersions { service, in_force, rollout, .. } in self.rollouts.services() {
            writeln!(text, "service {service} version {in_force}")?;
            if let Some(Rollout { target_version, state, .. }) = rollout {
                writeln!(text, "service {service} roll-out to {target_version} {state:?}")?;
            }
        }
        Ok(())
    }

    fn write_counters(&self, text: &mut String) -> fmt::Result {
        let counters = &self.requests.counters;
        writeln!(
            text,
            "requests {} refused {} failed {} malformed {} under way {} items {}",
            counters.requests,
            counters.refused,
            counters.failed,
            counters.malformed,
            self.requests.exchange_count(),
            self.items.count(),
        )
    }
}
