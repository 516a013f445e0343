//! What a node says of itself and of the tier, for operators.

use crate::batch::api::BATCH_PARTITIONS;
use crate::control::partition_host::Application;
use crate::node::Node;
use crate::requests::prefix_popularity::write_routing_status;
use grebeusher_rollout::{Rollout, ServiceVersions};
use grebeusher_time::{Duration, DurationExt};
use std::fmt::{self, Write};

/// A node that the leader has not answered serves by what its peers have after this.
const PROOF_TIMEOUT: Duration = Duration::from_millis(900);

impl Node {
    /// Whether the platform should send clients: a configuration proven by its leader, executors known, not stopping, and
    /// not cut off from all other nodes, as clients are better off elsewhere then.
    pub fn is_ready(&self) -> bool {
        let proven = self.configuration.is_proven() || self.now.0 >= PROOF_TIMEOUT.nanos();
        let executors_known = self.registry.executors().next().is_some();
        let serves = self.configuration.active().is_some() && proven && executors_known;
        !self.stopping() && serves && !self.registry.is_isolated(self.now)
    }

    /// Members, executors, partitions, leaders and counters, a line each.
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
