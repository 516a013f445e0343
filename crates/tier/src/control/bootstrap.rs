//! The first start of the whole system: one node names the voters of every partition, once.
//!
//! All processes of the first start get the same seeds, and only they are started with `bootstrap`. The first seed's node
//! founds; the others step in, one after the other, only if no partition has shown a leader for long. A replica takes one founding
//! in its life, so a second one changes nothing where the first was heard.

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

/// How often the founder looks.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// No new replica has shown itself for this long: those that start together are all there.
const STABILITY_DURATION: Duration = Duration::from_millis(900);
/// Fewer replicas than a group needs are waited for this long.
const MORE_REPLICAS_TIMEOUT: Duration = Duration::from_millis(4000);
/// Each further seed waits this much longer before it steps in.
const NEXT_SEED_DELAY: Duration = Duration::from_millis(6000);
/// A replica that does not confirm is asked again after this.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// What the founding node keeps.
pub struct Founder {
    /// Its place among the seeds.
    rank: u64,
    seen: usize,
    changed: Instant,
    /// The groups that it has named, by partition, and which voters still have to confirm.
    named: BTreeMap<u8, Vec<Voter>>,
}

struct Voter {
    replica: u64,
    confirmed: bool,
    asked: Option<Instant>,
}

impl Founder {
    /// The founder's state, if this process may ever found.
    pub fn for_settings(settings: &Settings) -> Option<Founder> {
        if !settings.bootstrap {
            return None;
        }
        let own = settings.bindings.control_plane?;
        let rank = settings.seed_nodes.iter().position(|seed| *seed == own)?;
        Some(Founder { rank: rank as u64, seen: 0, changed: Instant(0), named: BTreeMap::new() })
    }
}

impl Node {
    /// Founds the partitions when the replicas of the first start are there.
    pub fn look_to_found(&mut self) {
        let now = self.now;
        let Some(founder) = &self.founder else { return };
        if now < Instant(0) + NEXT_SEED_DELAY.scaled(founder.rank as f64) {
            self.alarms.set(now + POLL_INTERVAL, Timer::Found);
            return;
        }
        if founder.named.is_empty() {
            self.name_groups();
        }
        let done = self.ask_voters();
        if done {
            self.founder = None;
        } else {
            self.alarms.set(now + POLL_INTERVAL, Timer::Found);
        }
    }

    fn name_groups(&mut self) {
        let now = self.now;
        let size = self.group_size();
        let of_class = |class: Class| -> Vec<Candidate> {
            let members = self.registry.members().filter(|member| member.class == class && member.bootstrap);
            members.filter(|member| member.serves()).filter_map(Candidate::of).collect()
        };
        let (edges, stores) = (of_class(Class::Edge), of_class(Class::Storage));
        let seen = edges.len() + stores.len();
        let led = (0..=BATCH_PARTITIONS).any(|partition| self.known_leader(partition).is_some());
        let Some(founder) = &mut self.founder else { return };
        if led {
            // Another seed was first.
            self.founder = None;
            return;
        }
        if founder.seen != seen {
            founder.seen = seen;
            founder.changed = now;
        }
        let settled = now.since(founder.changed) >= STABILITY_DURATION;
        let enough = edges.len() >= size && stores.len() >= size;
        let waited = now >= Instant(0) + MORE_REPLICAS_TIMEOUT;
        if !settled || edges.is_empty() || stores.is_empty() || !(enough || waited) {
            return;
        }
        let voters = |candidates: &[Candidate], partition: u8| -> Vec<Voter> {
            let chosen = spread_over_zones(candidates, size, usize::from(partition));
            let voter = |replica| Voter { replica, confirmed: false, asked: None };
            chosen.into_iter().map(voter).collect()
        };
        founder.named.insert(CONFIGURATION_PARTITION, voters(&edges, 0));
        for partition in 1..=BATCH_PARTITIONS {
            founder.named.insert(partition, voters(&stores, partition));
        }
    }

    /// Asks each voter that has not confirmed; whether all have.
    fn ask_voters(&mut self) -> bool {
        let now = self.now;
        let Some(founder) = &mut self.founder else { return true };
        if founder.named.is_empty() {
            return false;
        }
        let mut calls = Vec::new();
        for (&partition, voters) in &mut founder.named {
            let group: Vec<u64> = voters.iter().map(|voter| voter.replica).collect();
            let unconfirmed = voters.iter_mut().filter(|voter| !voter.confirmed);
            for voter in unconfirmed.filter(|voter| voter.asked.is_none_or(|at| now >= at + CONFIRM_TIMEOUT))
            {
                voter.asked = Some(now);
                calls.push((partition, voter.replica, group.clone()));
            }
        }
        let done = founder.named.values().flatten().all(|voter| voter.confirmed);
        for (partition, voter, voters) in calls {
            let Some(to) = self.address_of_replica(voter) else { continue };
            let continuation = Continuation::Bootstrap { partition, voter };
            self.call_node(to, Call::Found { partition, voters }, now + CONFIRM_TIMEOUT, continuation);
        }
        done
    }

    /// A voter's reply to its bootstrap.
    pub fn bootstrap_reply(&mut self, partition: u8, voter: u64, reply: &Reply) {
        let Some(founder) = &mut self.founder else { return };
        let confirmed = matches!(reply, Reply::Done);
        let voters = founder.named.get_mut(&partition).into_iter().flatten();
        for voter in voters.filter(|other| other.replica == voter) {
            voter.confirmed |= confirmed;
        }
    }

    /// How many voters a partition has: `f` may be lost, and a majority must be left.
    pub fn group_size(&self) -> usize {
        2 * self.settings.fault_tolerance.machine_losses.max(1) as usize + 1
    }
}
