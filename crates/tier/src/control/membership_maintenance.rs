//! How leaders maintain the groups of their partitions: voters that are gone are replaced by others.
//!
//! [`MembershipMaintenance`] owns what a leader remembers of one group: absent voters, excluded candidates, when it last logged.
//! Only this module and [`retire`](crate::control::retire) change the voters of a running group.

use crate::control::leader_balance::HandOverPlan;
use crate::control::partition_host::{PartitionHost, class_of_partition};
use crate::control::partitions::HandOver;
use crate::control::replica_placement::{Candidate, next_voters};
use crate::control::replica_status::{SoleReplicaWarning, warn_of_sole_replica};
use crate::node::Node;
use crate::runtime::timers::Timer;
use grebeusher_quorum::{ChangeError, Index, ReplicaId, Term};
use grebeusher_registry::{MemberState, Registry};
use grebeusher_time::{Duration, Instant};
use std::collections::BTreeMap;
use tracing::{debug, info, warn};

/// How often leaders check their groups.
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// A voter whose node is not there for this long makes room for another. Its node has then been silent for over two
/// seconds; a group that waits for longer may meet the next loss without being repaired from the first.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// A node that did not catch up in a change of a group is excluded for this long, while there are others.
const EXCLUSION_DURATION: Duration = Duration::from_millis(10_000);
/// How often a replica is logged whose term and group stay.
const LOG_INTERVAL: Duration = Duration::from_millis(1000);

/// What a leader remembers of one group.
#[derive(Debug, Default)]
pub struct MembershipMaintenance {
    /// Since when voters are absent, as this leader sees it.
    absent_since: BTreeMap<ReplicaId, Instant>,
    /// The nodes that the change which was begun last takes in.
    joining: Vec<ReplicaId>,
    /// Nodes that did not catch up in a change, and until when they are excluded.
    excluded_until: BTreeMap<ReplicaId, Instant>,
    pub(crate) sole_replica_warning: SoleReplicaWarning,
    /// The term and group that were last logged.
    logged: (Term, Index),
    logged_at: Instant,
}

impl MembershipMaintenance {
    /// Begins anew, as the leadership has ended.
    pub fn leadership_ended(&mut self) {
        self.absent_since.clear();
        self.joining.clear();
        self.excluded_until.clear();
        self.sole_replica_warning = SoleReplicaWarning::default();
    }

    /// The replica was asked to change its group to these voters. Guards against the exclusion of nodes that a refused change
    /// never waited for.
    pub fn change_requested(
        &mut self,
        voters: &[ReplicaId],
        next: &[ReplicaId],
        outcome: Result<(), ChangeError>,
    ) {
        if outcome.is_ok() {
            self.joining = next.iter().copied().filter(|voter| !voters.contains(voter)).collect();
        }
    }

    /// No change is under way: a node that the last one was to take in and that is no voter did not catch up, though it
    /// lives. Guards against waiting for it again and again while others could step in.
    pub fn change_ended(&mut self, now: Instant, voters: &[ReplicaId]) {
        let in_vain = std::mem::take(&mut self.joining).into_iter().filter(|node| !voters.contains(node));
        self.excluded_until.extend(in_vain.map(|node| (node, now + EXCLUSION_DURATION)));
        self.excluded_until.retain(|_, until| now < *until);
    }

    /// The candidates without those that are excluded; all of them if no other could join the voters.
    pub fn usable(&self, voters: &[ReplicaId], alive: Vec<Candidate>) -> Vec<Candidate> {
        let replica = |candidate: &Candidate| ReplicaId(candidate.replica);
        let is_voter = |candidate: &Candidate| voters.contains(&replica(candidate));
        let kept = |candidate: &&Candidate| {
            is_voter(candidate) || !self.excluded_until.contains_key(&replica(candidate))
        };
        let usable: Vec<Candidate> = alive.iter().filter(kept).cloned().collect();
        if usable.iter().all(is_voter) { alive } else { usable }
    }

    /// Whether a replica is to be logged: its term or group has changed, or it was logged a while ago. Notes that it is.
    fn take_log_due(&mut self, now: Instant, state: (Term, Index)) -> bool {
        if self.logged == state && now < self.logged_at + LOG_INTERVAL {
            return false;
        }
        self.logged = state;
        self.logged_at = now;
        true
    }

    /// The voters whose nodes have been absent for long.
    fn absent(&mut self, now: Instant, voters: &[ReplicaId], alive: &[Candidate]) -> Vec<ReplicaId> {
        let is_alive = |voter: &ReplicaId| alive.iter().any(|candidate| candidate.replica == voter.0);
        self.absent_since.retain(|voter, _| voters.contains(voter) && !is_alive(voter));
        for voter in voters.iter().filter(|voter| !is_alive(voter)) {
            self.absent_since.entry(*voter).or_insert(now);
        }
        let long = self.absent_since.iter().filter(|(_, since)| now.since(**since) >= ABSENCE_TIMEOUT);
        long.map(|(voter, _)| *voter).collect()
    }
}

/// The last digits of an identity, which tell the few of a group apart.
fn short(replica: ReplicaId) -> u64 {
    replica.0 % 10_000
}

impl Node {
    /// Maintains the groups of the partitions that this node leads.
    pub fn maintain_groups(&mut self) {
        self.alarms.set(self.now + MAINTENANCE_INTERVAL, Timer::MaintainGroups);
        for index in 0..self.partitions.len() {
            log_replica(&mut self.partitions[index], self.now);
            if self.partitions[index].leads() {
                self.maintain_group(index);
                self.maintain_rollouts(index);
                warn_of_sole_replica(&mut self.partitions[index], &self.registry, self.now);
                self.forget_old_jobs(index);
                self.log_item_progress(index);
            }
        }
        if !self.stopping() {
            self.balance_leadership();
        } else {
            // A successor that did not take over, or one that handed the partition back, must not keep it here until the end.
            self.hand_over_partitions(HandOver::Repeated);
        }
    }

    /// Hands one batch partition to another node where this one leads too many.
    fn balance_leadership(&mut self) {
        let (partitions, registry) = (&self.partitions, &self.registry);
        let chosen = self.leader_balancer.choose(self.now, partitions, registry, &self.leaders);
        let Some(HandOverPlan { index, successor }) = chosen else { return };
        let partition = self.partitions[index].partition;
        info!(partition, "leadership handed over for balance");
        self.checkpoint_batch(index);
        if let Err(error) = self.partitions[index].replica.transfer_leadership(self.now, Some(successor)) {
            warn!(partition, %error, "leadership not handed over");
        }
    }

    /// Changes the group of a partition that this node leads, if its voters call for it.
    fn maintain_group(&mut self, index: usize) {
        let now = self.now;
        let replica = &self.partitions[index].replica;
        if replica.group().is_joint() || replica.pending_change().is_some() {
            return;
        }
        let voters = replica.group().voters.clone();
        self.partitions[index].maintenance.change_ended(now, &voters);
        let alive = candidates(&self.partitions[index], &self.registry);
        let alive = self.partitions[index].maintenance.usable(&voters, alive);
        let lost = self.lost_voters(index, &voters, &alive);
        let wanted = self.group_size();
        let Some(next) = next_voters(&voters, &lost, &alive, wanted, self.identity) else { return };
        let partition = self.partitions[index].partition;
        info!(partition, from = ?voters, to = ?next, "group change begins");
        let host = &mut self.partitions[index];
        let outcome = host.replica.change_group(now, next.clone());
        host.maintenance.change_requested(&voters, &next, outcome);
        if let Err(error) = outcome {
            warn!(partition, %error, "group change refused");
        }
    }

    /// The voters that are to be replaced: their node is to be emptied, lost its disk, or has been absent for long.
    fn lost_voters(&mut self, index: usize, voters: &[ReplicaId], alive: &[Candidate]) -> Vec<ReplicaId> {
        let host = &mut self.partitions[index];
        let registry = &self.registry;
        let retired = retiring_replicas(host, registry);
        let absent = host.maintenance.absent(self.now, voters, alive);
        let is_lost = |voter: &&ReplicaId| {
            retired.contains(voter)
                || absent.contains(voter)
                || self.replica_names.is_superseded(**voter, registry)
        };
        voters.iter().filter(is_lost).copied().collect()
    }
}

/// Logs each change of a replica's term or group, and its state once a second.
fn log_replica(host: &mut PartitionHost, now: Instant) {
    let replica = &host.replica;
    if !host.maintenance.take_log_due(now, (replica.term(), replica.group_index())) {
        return;
    }
    let (group, last) = (replica.group(), replica.last());
    let members: Vec<u64> = group.members().map(short).collect();
    debug!(
        partition = host.partition,
        replica = short(replica.identity()),
        term = replica.term().0,
        commit = replica.commit_index().0,
        last_index = last.index.0,
        last_term = last.term.0,
        leader = replica.leader_hint().map_or(0, short),
        voters = group.voters.len(),
        outgoing = group.outgoing.len(),
        ?members,
        log_bytes = replica.log_bytes(),
        "replica state"
    );
}

/// The nodes that may hold a replica of a partition.
fn candidates(host: &PartitionHost, registry: &Registry) -> Vec<Candidate> {
    let class = class_of_partition(host.partition);
    let retiring = host.retiring_nodes();
    let alive = registry.members().filter(|member| member.state == MemberState::Alive);
    let alive = alive.filter(|member| member.class == class && !retiring.contains(&member.name));
    alive.filter_map(Candidate::of).collect()
}

/// The disk identities of the nodes that a partition's data is to leave.
fn retiring_replicas(host: &PartitionHost, registry: &Registry) -> Vec<ReplicaId> {
    let retiring = host.retiring_nodes();
    let members = retiring.iter().filter_map(|name| registry.member(name));
    members.filter_map(|member| member.replica).map(ReplicaId).collect()
}
