//! Maintenance of the groups by the leaders of partitions: lost voters are replaced by other nodes.
//!
//! [`MembershipMaintenance`] owns what a leader records about one group: absent voters, excluded candidates and the time of
//! the last log line. Only this module changes the voters of a running group, also for
//! [`retire`](crate::control::retire).

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

/// How often leaders check the groups of their partitions.
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// How long the node of a voter must be absent before the voter is replaced. The node has then been silent for over two
/// seconds. With a longer time-out the next loss may come before the group is repaired after the first.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a node that did not catch up during a change of a group is excluded, if there are other candidates.
const EXCLUSION_DURATION: Duration = Duration::from_millis(10_000);
/// How often the state of a replica is logged while its term and group do not change.
const LOG_INTERVAL: Duration = Duration::from_millis(1000);

/// What a leader records about one group.
#[derive(Debug, Default)]
pub struct MembershipMaintenance {
    /// The absent voters, and when this leader first saw each of them absent.
    absent_since: BTreeMap<ReplicaId, Instant>,
    /// The voters that the last requested change adds.
    joining: Vec<ReplicaId>,
    /// The nodes that did not catch up during a change, and until when they are excluded.
    excluded_until: BTreeMap<ReplicaId, Instant>,
    pub(crate) sole_replica_warning: SoleReplicaWarning,
    /// The term and the log index of the group that were last logged.
    logged: (Term, Index),
    logged_at: Instant,
}

impl MembershipMaintenance {
    /// Forgets everything about the group, as the leadership has ended.
    pub fn leadership_ended(&mut self) {
        self.absent_since.clear();
        self.joining.clear();
        self.excluded_until.clear();
        self.sole_replica_warning = SoleReplicaWarning::default();
    }

    /// Records that the replica was asked to change its group from `voters` to `next`. Only if the replica has accepted the
    /// change are the added voters recorded: a refused change never waits for them, and they must not be excluded.
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

    /// Called while no change is in progress. A node that the last change was to add and that is not a voter did not catch
    /// up, though it is alive. It is excluded, so that the leader does not wait for it again and again while other nodes
    /// could join.
    pub fn change_ended(&mut self, now: Instant, voters: &[ReplicaId]) {
        let not_joined = std::mem::take(&mut self.joining).into_iter().filter(|node| !voters.contains(node));
        self.excluded_until.extend(not_joined.map(|node| (node, now + EXCLUSION_DURATION)));
        self.excluded_until.retain(|_, until| now < *until);
    }

    /// Returns the candidates that are not excluded, or all of them if no other node could join the voters.
    pub fn usable_candidates(&self, voters: &[ReplicaId], alive: Vec<Candidate>) -> Vec<Candidate> {
        let replica = |candidate: &Candidate| ReplicaId(candidate.replica);
        let is_voter = |candidate: &Candidate| voters.contains(&replica(candidate));
        let is_usable = |candidate: &&Candidate| {
            is_voter(candidate) || !self.excluded_until.contains_key(&replica(candidate))
        };
        let usable: Vec<Candidate> = alive.iter().filter(is_usable).cloned().collect();
        if usable.iter().all(is_voter) { alive } else { usable }
    }

    /// Returns whether the state of the replica is to be logged now, because its term or group has changed or
    /// [`LOG_INTERVAL`] has passed, and records it as logged.
    fn take_log_due(&mut self, now: Instant, state: (Term, Index)) -> bool {
        if self.logged == state && now < self.logged_at + LOG_INTERVAL {
            return false;
        }
        self.logged = state;
        self.logged_at = now;
        true
    }

    /// Returns the voters whose nodes have been absent for at least [`ABSENCE_TIMEOUT`].
    fn absent_voters(&mut self, now: Instant, voters: &[ReplicaId], alive: &[Candidate]) -> Vec<ReplicaId> {
        let is_alive = |voter: &ReplicaId| alive.iter().any(|candidate| candidate.replica == voter.0);
        self.absent_since.retain(|voter, _| voters.contains(voter) && !is_alive(voter));
        for voter in voters.iter().filter(|voter| !is_alive(voter)) {
            self.absent_since.entry(*voter).or_insert(now);
        }
        let timed_out = self.absent_since.iter().filter(|(_, since)| now.since(**since) >= ABSENCE_TIMEOUT);
        timed_out.map(|(voter, _)| *voter).collect()
    }
}

/// Returns the last four digits of a disk identity, which suffice to distinguish the members of a group in the log.
fn short_id(replica: ReplicaId) -> u64 {
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
            // A hand-over is repeated if the successor did not take the leadership or has returned it: otherwise this node would
            // lead the partition until it exits.
            self.hand_over_partitions(HandOver::Repeated);
        }
    }

    /// Hands the leadership of one batch partition to another node if this node leads too many.
    fn balance_leadership(&mut self) {
        let (partitions, registry) = (&self.partitions, &self.registry);
        let plan = self.leader_balancer.choose(self.now, partitions, registry, &self.leaders);
        let Some(HandOverPlan { index, successor }) = plan else { return };
        let partition = self.partitions[index].partition;
        info!(partition, "leadership handed over for balance");
        self.checkpoint_batch(index);
        if let Err(error) = self.partitions[index].replica.transfer_leadership(self.now, Some(successor)) {
            warn!(partition, %error, "leadership not handed over");
        }
    }

    /// Starts the next change of the group of a partition that this node leads, if one is needed and none is in progress.
    fn maintain_group(&mut self, index: usize) {
        let now = self.now;
        let replica = &self.partitions[index].replica;
        if replica.group().is_joint() || replica.pending_change().is_some() {
            return;
        }
        let voters = replica.group().voters.clone();
        self.partitions[index].maintenance.change_ended(now, &voters);
        let alive = candidates(&self.partitions[index], &self.registry);
        let alive = self.partitions[index].maintenance.usable_candidates(&voters, alive);
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

    /// Returns the voters to be replaced: their node is being retired, has lost its disk, or has been absent for too long.
    fn lost_voters(&mut self, index: usize, voters: &[ReplicaId], alive: &[Candidate]) -> Vec<ReplicaId> {
        let host = &mut self.partitions[index];
        let registry = &self.registry;
        let retiring = retiring_replicas(host, registry);
        let absent = host.maintenance.absent_voters(self.now, voters, alive);
        let is_lost = |voter: &&ReplicaId| {
            retiring.contains(voter)
                || absent.contains(voter)
                || self.replica_names.is_superseded(**voter, registry)
        };
        voters.iter().filter(is_lost).copied().collect()
    }
}

/// Logs the state of a replica at each change of its term or group, and at each [`LOG_INTERVAL`].
fn log_replica(host: &mut PartitionHost, now: Instant) {
    let replica = &host.replica;
    if !host.maintenance.take_log_due(now, (replica.term(), replica.group_index())) {
        return;
    }
    let (group, last) = (replica.group(), replica.last());
    let members: Vec<u64> = group.members().map(short_id).collect();
    debug!(
        partition = host.partition,
        replica = short_id(replica.identity()),
        term = replica.term().0,
        commit = replica.commit_index().0,
        last_index = last.index.0,
        last_term = last.term.0,
        leader = replica.leader_hint().map_or(0, short_id),
        voters = group.voters.len(),
        outgoing = group.outgoing.len(),
        ?members,
        log_bytes = replica.log_bytes(),
        "replica state"
    );
}

/// Returns the live nodes that may hold a replica of a partition.
fn candidates(host: &PartitionHost, registry: &Registry) -> Vec<Candidate> {
    let class = class_of_partition(host.partition);
    let retiring = host.retiring_nodes();
    let alive = registry.members().filter(|member| member.state == MemberState::Alive);
    let alive = alive.filter(|member| member.class == class && !retiring.contains(&member.name));
    alive.filter_map(Candidate::of).collect()
}

/// Returns the disk identities of the nodes that are being retired from a partition.
fn retiring_replicas(host: &PartitionHost, registry: &Registry) -> Vec<ReplicaId> {
    let retiring = host.retiring_nodes();
    let members = retiring.iter().filter_map(|name| registry.member(name));
    members.filter_map(|member| member.replica).map(ReplicaId).collect()
}
