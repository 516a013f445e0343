//! The bootstrap of the whole system: at its first start one node chooses the initial voters of every partition.
//!
//! All processes of the first start have the same list of seeds, and only they run with the setting `bootstrap`. The node
//! of the first seed bootstraps the partitions. The nodes of the other seeds do so one after the other, each after a longer
//! delay, and only if no partition has a known leader by then. A replica accepts only one bootstrap in its lifetime, so that
//! a second bootstrap has no effect on the replicas that received the first.
//!
//! `Bootstrapper` owns the chosen groups and records which voters have confirmed them. It decides by the members that are
//! passed to it and returns the requests to be sent.

use crate::batch::api::BATCH_PARTITIONS;
use crate::control::api::CONFIGURATION_PARTITION;
use crate::control::replica_placement::{Candidate, spread_over_zones};
use crate::links::calls::Continuation;
use crate::links::messages::{Call, Reply};
use crate::node::Node;
use crate::runtime::timers::Timer;
use grebeusher_configuration::settings::Settings;
use grebeusher_registry::Class;
use grebeusher_time::{Duration, DurationExt, Instant};
use std::collections::BTreeMap;

/// How often a node that may bootstrap the partitions checks whether it can.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long the number of replicas must not have changed, so that all replicas that start together have joined.
const STABILITY_DURATION: Duration = Duration::from_millis(900);
/// How long to wait from the start of the process for enough replicas for a whole group.
const MORE_REPLICAS_TIMEOUT: Duration = Duration::from_millis(4000);
/// The additional delay of each further seed in the list before it bootstraps.
const NEXT_SEED_DELAY: Duration = Duration::from_millis(6000);
/// After how long a request is sent again to a replica that has not confirmed it.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// The state of a node that may bootstrap the partitions.
pub(crate) struct Bootstrapper {
    /// The index of this node in the list of seeds.
    seed_rank: u64,
    /// The number of replicas that had joined at `joined_at`.
    replica_count: usize,
    /// When the number of replicas last changed.
    joined_at: Instant,
    /// The chosen voters by partition; empty until they are chosen.
    groups: BTreeMap<u8, Vec<Voter>>,
}

struct Voter {
    replica: u64,
    confirmed: bool,
    /// When the last request was sent; `None` before the first.
    requested_at: Option<Instant>,
}

impl Voter {
    fn is_due(&self, now: Instant) -> bool {
        !self.confirmed && self.requested_at.is_none_or(|at| now >= at + CONFIRM_TIMEOUT)
    }
}

/// A request to a voter to accept the voters of its partition.
struct BootstrapRequest {
    partition: u8,
    voter: u64,
    voters: Vec<u64>,
}

/// The replicas that take part in the first start, by the class of their node.
struct InitialReplicas {
    edge: Vec<Candidate>,
    storage: Vec<Candidate>,
}

impl Bootstrapper {
    /// Returns the initial state, or `None` if this process never bootstraps: it must be a seed with the setting `bootstrap`.
    pub fn for_settings(settings: &Settings) -> Option<Bootstrapper> {
        if !settings.bootstrap {
            return None;
        }
        let own_address = settings.bindings.control_plane?;
        let rank = settings.seed_nodes.iter().position(|seed| *seed == own_address)?;
        Some(Bootstrapper {
            seed_rank: rank as u64,
            replica_count: 0,
            joined_at: Instant(0),
            groups: BTreeMap::new(),
        })
    }

    /// Returns when this node may bootstrap. Until then the seeds earlier in the list may.
    fn starts_at(&self) -> Instant {
        Instant(0) + NEXT_SEED_DELAY.scaled(self.seed_rank as f64)
    }

    fn has_chosen(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Chooses `size` voters for each partition, once all replicas that start together have joined.
    fn choose_groups(&mut self, now: Instant, size: usize, initial: &InitialReplicas) {
        if !self.have_all_joined(now, size, initial) {
            return;
        }
        self.groups.insert(CONFIGURATION_PARTITION, choose_voters(&initial.edge, size, 0));
        for partition in 1..=BATCH_PARTITIONS {
            self.groups.insert(partition, choose_voters(&initial.storage, size, partition));
        }
    }

    fn have_all_joined(&mut self, now: Instant, size: usize, initial: &InitialReplicas) -> bool {
        let (edge_count, storage_count) = (initial.edge.len(), initial.storage.len());
        if self.replica_count != edge_count + storage_count {
            self.replica_count = edge_count + storage_count;
            self.joined_at = now;
        }
        let is_stable = now.since(self.joined_at) >= STABILITY_DURATION;
        let are_enough = edge_count >= size && storage_count >= size;
        let is_timed_out = now >= Instant(0) + MORE_REPLICAS_TIMEOUT;
        is_stable && edge_count > 0 && storage_count > 0 && (are_enough || is_timed_out)
    }

    /// Returns the requests that are due: one to each voter that has not confirmed, and again after [`CONFIRM_TIMEOUT`].
    fn take_due_requests(&mut self, now: Instant) -> Vec<BootstrapRequest> {
        let mut requests = Vec::new();
        for (&partition, group) in &mut self.groups {
            let voters: Vec<u64> = group.iter().map(|voter| voter.replica).collect();
            for voter in group.iter_mut().filter(|voter| voter.is_due(now)) {
                voter.requested_at = Some(now);
                requests.push(BootstrapRequest { partition, voter: voter.replica, voters: voters.clone() });
            }
        }
        requests
    }

    /// Whether all voters have confirmed the voters of their partitions.
    fn is_complete(&self) -> bool {
        self.has_chosen() && self.groups.values().flatten().all(|voter| voter.confirmed)
    }

    fn confirm(&mut self, partition: u8, replica: u64) {
        let voters = self.groups.get_mut(&partition).into_iter().flatten();
        for voter in voters.filter(|voter| voter.replica == replica) {
            voter.confirmed = true;
        }
    }
}

fn choose_voters(candidates: &[Candidate], size: usize, partition: u8) -> Vec<Voter> {
    let chosen = spread_over_zones(candidates, size, usize::from(partition));
    chosen.into_iter().map(|replica| Voter { replica, confirmed: false, requested_at: None }).collect()
}

impl Node {
    /// Bootstraps the partitions once the replicas of the first start have joined. Called at each [`POLL_INTERVAL`].
    pub(crate) fn drive_bootstrap(&mut self) {
        let now = self.now;
        let Some(bootstrapper) = &self.bootstrapper else { return };
        let has_chosen = bootstrapper.has_chosen();
        if now >= bootstrapper.starts_at() {
            if !has_chosen && self.any_partition_is_led() {
                // Another seed has bootstrapped the partitions.
                self.bootstrapper = None;
                return;
            }
            if !has_chosen {
                self.choose_groups();
            }
            if self.send_bootstrap_requests() {
                self.bootstrapper = None;
                return;
            }
        }
        self.alarms.set(now + POLL_INTERVAL, Timer::Bootstrap);
    }

    fn any_partition_is_led(&self) -> bool {
        (0..=BATCH_PARTITIONS).any(|partition| self.known_leader(partition).is_some())
    }

    fn choose_groups(&mut self) {
        let candidates_of = |class: Class| -> Vec<Candidate> {
            let members = self.registry.members().filter(|member| member.class == class && member.bootstrap);
            members.filter(|member| member.serves()).filter_map(Candidate::of).collect()
        };
        let initial =
            InitialReplicas { edge: candidates_of(Class::Edge), storage: candidates_of(Class::Storage) };
        let size = self.group_size();
        if let Some(bootstrapper) = &mut self.bootstrapper {
            bootstrapper.choose_groups(self.now, size, &initial);
        }
    }

    /// Sends the requests that are due. Returns whether all voters have confirmed.
    fn send_bootstrap_requests(&mut self) -> bool {
        let now = self.now;
        let Some(bootstrapper) = &mut self.bootstrapper else { return true };
        let requests = bootstrapper.take_due_requests(now);
        let is_complete = bootstrapper.is_complete();
        for BootstrapRequest { partition, voter, voters } in requests {
            let Some(to) = self.address_of_replica(voter) else { continue };
            let continuation = Continuation::Bootstrap { partition, voter };
            self.call_node(to, Call::Bootstrap { partition, voters }, now + CONFIRM_TIMEOUT, continuation);
        }
        is_complete
    }

    /// Handles the reply of a voter to a bootstrap request.
    pub(crate) fn bootstrap_reply(&mut self, partition: u8, voter: u64, reply: &Reply) {
        if let (Some(bootstrapper), Reply::Done) = (&mut self.bootstrapper, reply) {
            bootstrapper.confirm(partition, voter);
        }
    }

    /// Returns the number of voters of a partition: a majority of them remains after the loss of as many machines as the
    /// settings tolerate.
    pub fn group_size(&self) -> usize {
        2 * self.settings.fault_tolerance.machine_losses.max(1) as usize + 1
    }
}
