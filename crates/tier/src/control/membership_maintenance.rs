//! How leaders look after the groups of their partitions: voters that are gone make room for others.

use crate::control::partitions::class_of_partition;
use crate::control::replica_placement::{Candidate, next_voters};
use crate::control::replica_status::LoneCopy;
use crate::node::Node;
use crate::runtime::timers::Timer;
use grebeusher_quorum::{Index, ReplicaId, Term};
use grebeusher_registry::MemberState;
use grebeusher_time::{Duration, Instant};
use std::collections::BTreeMap;
use tracing::{debug, info, warn};

/// How often leaders look after their groups.
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// A voter whose node is not there for this long makes room for another. Its node has then been silent for over two
/// seconds; a group that waits for longer may meet the next loss without having been mended from the first.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// A node that a change of a group waited for in vain is passed over for this long, while there are others.
const EXCLUSION_DURATION: Duration = Duration::from_millis(10_000);
/// How often the log tells of a replica whose term and group stay.
const LOG_INTERVAL: Duration = Duration::from_millis(1000);

/// What is remembered for the care of one replica's group.
#[derive(Debug, Default)]
pub struct GroupCare {
    /// Since when voters are absent, as this leader sees it.
    absent_since: BTreeMap<ReplicaId, Instant>,
    /// The nodes that the change which was begun last takes in.
    joining: Vec<ReplicaId>,
    /// Nodes that changes waited for in vain, and until when they are passed over.
    passed_over: BTreeMap<ReplicaId, Instant>,
    pub(crate) lone_copy: LoneCopy,
    /// The term and group that the log was last told of.
    told: (Term, Index),
    told_at: Instant,
}

impl GroupCare {
    /// Begins anew, as the leadership has ended.
    pub fn forget_absences(&mut self) {
        self.absent_since.clear();
        self.joining.clear();
        self.passed_over.clear();
        self.lone_copy = LoneCopy::default();
    }

    /// A change to these voters is begun.
    pub fn begun(&mut self, voters: &[ReplicaId], next: &[ReplicaId]) {
        self.joining = next.iter().copied().filter(|voter| !voters.contains(voter)).collect();
    }

    /// No change is under way: a node that the last one was to take in and that is no voter did not catch up, though it
    /// lives. Guards against waiting for it again and again while others could step in.
    pub fn settle(&mut self, now: Instant, voters: &[ReplicaId]) {
        let in_vain = std::mem::take(&mut self.joining).into_iter().filter(|node| !voters.contains(node));
        self.passed_over.extend(in_vain.map(|node| (node, now + EXCLUSION_DURATION)));
        self.passed_over.retain(|_, until| now < *until);
    }

    /// The candidates without those that are passed over; all of them if no other could join the voters.
    pub fn usable(&self, voters: &[ReplicaId], alive: Vec<Candidate>) -> Vec<Candidate> {
        let replica = |candidate: &Candidate| ReplicaId(candidate.replica);
        let is_voter = |candidate: &Candidate| voters.contains(&replica(candidate));
        let kept = |candidate: &&Candidate| {
            is_voter(candidate) || !self.passed_over.contains_key(&replica(candidate))
        };
        let usable: Vec<Candidate> = alive.iter().filter(kept).cloned().collect();
        if usable.iter().all(is_voter) { alive } else { usable }
    }

    /// The voters that none of the living has been for long.
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
    /// Looks after the groups of the partitions that this node leads.
    pub fn group_upkeep(&mut self) {
        self.alarms.set(self.now + MAINTENANCE_INTERVAL, Timer::GroupUpkeep);
        for place in 0..self.partitions.len() {
            self.tell_replica(place);
            if self.partitions[place].leads() {
                self.upkeep_partition(place);
                self.warn_of_lone_copy(place);
                self.forget_old_jobs(place);
            }
        }
        self.spread_leadership();
        if self.stopping() {
            // An heir that did not take over, or one that handed the partition back, must not keep it here until the end.
            self.hand_over_partitions(false);
        }
    }

    /// A line of the log for each change of a replica's term or group, and one a second.
    fn tell_replica(&mut self, place: usize) {
        let now = self.now;
        let host = &mut self.partitions[place];
        let seen = (host.replica.term(), host.replica.group_index());
        if host.care.told == seen && now < host.care.told_at + LOG_INTERVAL {
            return;
        }
        host.care.told = seen;
        host.care.told_at = now;
        let (partition, term, commit, last) =
            (host.partition, host.replica.term().0, host.replica.commit_index().0, host.replica.last());
        let group = host.replica.group();
        let (voters, outgoing) = (group.voters.len(), group.outgoing.len());
        let leader = host.replica.leader_hint().map_or(0, short);
        let own = short(host.replica.identity());
        let names: Vec<u64> = group.members().map(short).collect();
        debug!(
            "part {partition} replica {own} term {term} commit {commit} last {} of term {} leader {leader} group {voters}+{outgoing} {names:?} log {}",
            last.index.0,
            last.term.0,
            host.replica.log_bytes()
        );
    }

    /// Changes the group of a partition that this node leads, if its voters call for it.
    fn upkeep_partition(&mut self, place: usize) {
        let now = self.now;
        let replica = &self.partitions[place].replica;
        if replica.group().is_joint() || replica.pending_change().is_some() {
            return;
        }
        let voters = replica.group().voters.clone();
        self.partitions[place].care.settle(now, &voters);
        let alive = self.candidates(place);
        let alive = self.partitions[place].care.usable(&voters, alive);
        let lost = self.lost_voters(place, &voters, &alive);
        let wanted = self.group_size();
        let Some(next) = next_voters(&voters, &lost, &alive, wanted, self.identity) else { return };
        let partition = self.partitions[place].partition;
        info!("part {partition}: the group changes from {voters:?} to {next:?}");
        self.partitions[place].care.begun(&voters, &next);
        if let Err(error) = self.partitions[place].replica.change_group(now, next) {
            warn!("part {partition}: the group can't change now: {error}");
        }
    }

    /// The nodes that may hold a replica of a partition.
    fn candidates(&mut self, place: usize) -> Vec<Candidate> {
        let class = class_of_partition(self.partitions[place].partition);
        let retiring = self.retiring_nodes(place);
        let alive = self.registry.members().filter(|member| member.state == MemberState::Alive);
        let alive = alive.filter(|member| member.class == class && !retiring.contains(&member.name));
        alive.filter_map(Candidate::of).collect()
    }

    /// The voters that are to make room: their node is to be emptied, lost its disk, or has been absent for long.
    fn lost_voters(&mut self, place: usize, voters: &[ReplicaId], alive: &[Candidate]) -> Vec<ReplicaId> {
        let retiring = self.retiring_nodes(place);
        let retired = self.retiring_replicas(&retiring);
        let absent = self.partitions[place].care.absent(self.now, voters, alive);
        let lost = |voter: &&ReplicaId| {
            retired.contains(voter) || absent.contains(voter) || self.superseded(**voter)
        };
        voters.iter().filter(lost).copied().collect()
    }

    /// Whether the node of a disk identity runs under another one now: the disk was lost.
    fn superseded(&self, voter: ReplicaId) -> bool {
        let Some(name) = self.replica_names.get(&voter.0) else { return false };
        let Some(member) = self.registry.member(name) else { return false };
        member.serves() && member.replica.is_some_and(|replica| replica != voter.0)
    }

    fn retiring_replicas(&self, retiring: &[String]) -> Vec<ReplicaId> {
        let members = retiring.iter().filter_map(|name| self.registry.member(name));
        members.filter_map(|member| member.replica).map(ReplicaId).collect()
    }
}
