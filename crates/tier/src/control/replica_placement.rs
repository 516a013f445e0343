//! The choice of the nodes that hold the replicas of a partition. They are spread over the zones. The choice is
//! deterministic, so that all nodes with the same members make the same one.

use grebeusher_quorum::ReplicaId;
use grebeusher_registry::Member;
use std::collections::BTreeMap;

/// A node that could hold a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The disk identity of the node.
    pub replica: u64,
    /// The zone of the node.
    pub zone: String,
    /// The name of the node, by which the candidates are ordered.
    pub name: String,
}

impl Candidate {
    /// Returns the candidate for a member; `None` if the member has no disk.
    pub fn of(member: &Member) -> Option<Candidate> {
        Some(Candidate { replica: member.replica?, zone: member.zone.clone(), name: member.name.clone() })
    }
}

/// Chooses `count` candidates, with as few as possible in the same zone, and returns their disk identities. `offset` rotates
/// the zones and the nodes of each zone, so that the partitions are not all placed on the same nodes.
pub fn spread_over_zones(candidates: &[Candidate], count: usize, offset: usize) -> Vec<u64> {
    let mut zones: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        zones.entry(&candidate.zone).or_default().push(candidate);
    }
    let mut queues: Vec<Vec<&Candidate>> = zones.into_values().collect();
    for queue in &mut queues {
        queue.sort_by(|a, b| a.name.cmp(&b.name));
        let shift = offset % queue.len();
        queue.rotate_left(shift);
    }
    if !queues.is_empty() {
        let shift = offset % queues.len();
        queues.rotate_left(shift);
    }
    let mut chosen = Vec::new();
    let longest = queues.iter().map(Vec::len).max().unwrap_or(0);
    for round in 0..longest {
        for queue in &queues {
            if chosen.len() < count
                && let Some(candidate) = queue.get(round)
            {
                chosen.push(candidate.replica);
            }
        }
    }
    chosen
}

/// Returns the best candidate to join a group whose members are in `zones`: one in the zone with the fewest members.
pub fn best_joiner<'a>(candidates: &'a [Candidate], zones: &[String]) -> Option<&'a Candidate> {
    let members_in_zone =
        |candidate: &Candidate| zones.iter().filter(|zone| **zone == candidate.zone).count();
    candidates
        .iter()
        .min_by(|a, b| members_in_zone(a).cmp(&members_in_zone(b)).then_with(|| a.name.cmp(&b.name)))
}

/// Returns the voters that a group should have next, or `None` if it needs no change. Each call makes one step: a lost voter
/// is replaced by a live candidate, or removed without replacement only if `wanted` other voters are left. When no voter is
/// lost, the group grows or shrinks to `wanted` voters. The voter `own` is never removed to shrink the group.
pub fn next_voters(
    voters: &[ReplicaId],
    lost: &[ReplicaId],
    alive: &[Candidate],
    wanted: usize,
    own: Option<ReplicaId>,
) -> Option<Vec<ReplicaId>> {
    let is_kept = |voter: &ReplicaId| !lost.contains(voter);
    let in_group = |candidate: &&Candidate| voters.contains(&ReplicaId(candidate.replica));
    let (members, joiners): (Vec<&Candidate>, Vec<&Candidate>) = alive.iter().partition(in_group);
    let joiners: Vec<Candidate> = joiners.into_iter().cloned().collect();
    let kept = members.into_iter().filter(|candidate| is_kept(&ReplicaId(candidate.replica)));
    let zones: Vec<String> = kept.map(|candidate| candidate.zone.clone()).collect();
    let joiner = best_joiner(&joiners, &zones).map(|candidate| ReplicaId(candidate.replica));
    let without = |removed: ReplicaId| voters.iter().copied().filter(move |voter| *voter != removed);
    match (voters.iter().copied().find(|voter| !is_kept(voter)), joiner) {
        (Some(lost_voter), Some(joiner)) => Some(without(lost_voter).chain([joiner]).collect()),
        (Some(lost_voter), None) if voters.iter().filter(|voter| is_kept(voter)).count() >= wanted => {
            Some(without(lost_voter).collect())
        }
        (None, Some(joiner)) if voters.len() < wanted => {
            Some(voters.iter().copied().chain([joiner]).collect())
        }
        (None, _) if voters.len() > wanted => {
            let surplus = voters.iter().copied().rfind(|voter| Some(*voter) != own)?;
            Some(without(surplus).collect())
        }
        _ => None,
    }
}
