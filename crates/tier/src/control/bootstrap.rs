//! The first start of the whole system: one node names the voters of every partition, once.
//!
//! All processes of the first start get the same seeds, and only they are started with `bootstrap`. The first seed's node
//! bootstraps; the others step in, one after the other, only if no partition has shown a leader for long. A replica accepts one
//! bootstrap in its lifetime, so a second one changes nothing where the first was received.
//!
//! `Bootstrapper` owns the groups that this node has chosen and which voters have confirmed. It decides by the members that
//! it is given and returns the requests that are to be sent.

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

/// How often the bootstrapping node looks.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// No further replica has joined for this long: those that start together are all there.
const STABILITY_DURATION: Duration = Duration::from_millis(900);
/// Fewer replicas than a group needs are waited for this long.
const MORE_REPLICAS_TIMEOUT: Duration = Duration::from_millis(4000);
/// Each further seed waits this much longer before it bootstraps.
const NEXT_SEED_DELAY: Duration = Duration::from_millis(6000);
/// A replica that does not confirm is asked again after this.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// The state of a node that may bootstrap the partitions.
pub(crate) struct Bootstrapper {
    /// Its index among the seeds.
    seed_rank: u64,
    /// How many replicas had joined at `joined_at`.
    replicas: usize,
    /// When the number of replicas last changed.
    joined_at: Instant,
    /// The groups that it has chosen, by partition.
    groups: BTreeMap<u8, Vec<Voter>>,
}

struct Voter {
    replica: u64,
    confirmed: bool,
    asked: Option<Instant>,
}

impl Voter {
    fn is_due(&self, now: Instant) -> bool {
        !self.confirmed && self.asked.is_none_or(|at| now >= at + CONFIRM_TIMEOUT)
    }
}

/// Asks a voter to take its group.
struct BootstrapRequest {
    partition: u8,
    voter: u64,
    voters: Vec<u64>,
}

/// The replicas of the first start, by the class of their machine.
struct FirstReplicas {
    edges: Vec<Candidate>,
    stores: Vec<Candidate>,
}

impl Bootstrapper {
    /// The state of this process, if it may ever bootstrap.
    pub fn for_settings(settings: &Settings) -> Option<Bootstrapper> {
        if !settings.bootstrap {
            return None;
        }
        let own = settings.bindings.control_plane?;
        let rank = settings.seed_nodes.iter().position(|seed| *seed == own)?;
        Some(Bootstrapper {
            seed_rank: rank as u64,
            replicas: 0,
            joined_at: Instant(0),
            groups: BTreeMap::new(),
        })
    }

    /// Before this the seeds that come earlier in the list have their turn.
    fn starts_at(&self) -> Instant {
        Instant(0) + NEXT_SEED_DELAY.scaled(self.seed_rank as f64)
    }

    fn has_chosen(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Chooses the voters of each partition, `size` of them, once the replicas that start together are there.
    fn choose_groups(&mut self, now: Instant, size: usize, first: &FirstReplicas) {
        if !self.are_all_there(now, size, first) {
            return;
        }
        self.groups.insert(CONFIGURATION_PARTITION, choose_voters(&first.edges, size, 0));
        for partition in 1..=BATCH_PARTITIONS {
            self.groups.insert(partition, choose_voters(&first.stores, size, partition));
        }
    }

    fn are_all_there(&mut self, now: Instant, size: usize, first: &FirstReplicas) -> bool {
        let (edges, stores) = (first.edges.len(), first.stores.len());
        if self.replicas != edges + stores {
            self.replicas = edges + stores;
            self.joined_at = now;
        }
        let is_stable = now.since(self.joined_at) >= STABILITY_DURATION;
        let are_enough = edges >= size && stores >= size;
        let waited = now >= Instant(0) + MORE_REPLICAS_TIMEOUT;
        is_stable && edges > 0 && stores > 0 && (are_enough || waited)
    }

    /// The requests that are due: to each voter that has not confirmed, again and again.
    fn take_due_requests(&mut self, now: Instant) -> Vec<BootstrapRequest> {
        let mut requests = Vec::new();
        for (&partition, group) in &mut self.groups {
            let voters: Vec<u64> = group.iter().map(|voter| voter.replica).collect();
            for voter in group.iter_mut().filter(|voter| voter.is_due(now)) {
                voter.asked = Some(now);
                requests.push(BootstrapRequest { partition, voter: voter.replica, voters: voters.clone() });
            }
        }
        requests
    }

    /// Whether all voters have confirmed their groups.
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
    chosen.into_iter().map(|replica| Voter { replica, confirmed: false, asked: None }).collect()
}

impl Node {
    /// Bootstraps the partitions when the replicas of the first start are there.
    pub(crate) fn drive_bootstrap(&mut self) {
        let now = self.now;
        let Some(bootstrapper) = &self.bootstrapper else { return };
        let has_chosen = bootstrapper.has_chosen();
        if now >= bootstrapper.starts_at() {
            if !has_chosen && self.any_partition_is_led() {
                // Another seed was first.
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
        let of_class = |class: Class| -> Vec<Candidate> {
            let members = self.registry.members().filter(|member| member.class == class && member.bootstrap);
            members.filter(|member| member.serves()).filter_map(Candidate::of).collect()
        };
        let first = FirstReplicas { edges: of_class(Class::Edge), stores: of_class(Class::Storage) };
        let size = self.group_size();
        if let Some(bootstrapper) = &mut self.bootstrapper {
            bootstrapper.choose_groups(self.now, size, &first);
        }
    }

    /// Asks each voter that has not confirmed; whether all have.
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

    /// A voter's reply to its bootstrap.
    pub(crate) fn bootstrap_reply(&mut self, partition: u8, voter: u64, reply: &Reply) {
        if let (Some(bootstrapper), Reply::Done) = (&mut self.bootstrapper, reply) {
            bootstrapper.confirm(partition, voter);
        }
    }

    /// How many voters a partition has: `f` may be lost, and a majority must be left.
    pub fn group_size(&self) -> usize {
        2 * self.settings.fault_tolerance.machine_losses.max(1) as usize + 1
    }
}
