//! Which nodes hold the replicas of a partition: spread over zones, the same wherever it is worked out from the same members.

use grebeusher_quorum::ReplicaId;
use grebeusher_registry::Member;
use std::collections::BTreeMap;

/// A node that could hold a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its disk identity.
    pub replica: u64,
    /// Its zone.
    pub zone: String,
    /// Its name, by which all nodes order the candidates.
    pub name: String,
}

impl Candidate {
    /// A member with a disk; `None` for one without.
    pub fn of(member: &Member) -> Option<Candidate> {
        Some(Candidate { replica: member.replica?, zone: member.zone.clone(), name: member.name.clone() })
    }
}

/// Chooses `count` candidates with as few in one zone as can be. `turn` names where the choice begins, so that the
/// partitions don't all fall to the same nodes.
pub fn spread_over_zones(candidates: &[Candidate], count: usize, turn: usize) -> Vec<u64> {
    let mut zones: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        zones.entry(&candidate.zone).or_default().push(candidate);
    }
    let mut queues: Vec<Vec<&Candidate>> = zones.into_values().collect();
    for queue in &mut queues {
        queue.sort_by(|a, b| a.name.cmp(&b.name));
        let shift = turn % queue.len();
        queue.rotate_left(shift);
    }
    if !queues.is_empty() {
        let shift = turn % queues.len();
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

/// Which candidate best joins a group whose members stand in `zones`: one of the zone with the fewest of them.
pub fn best_joiner<'a>(candidates: &'a [Candidate], zones: &[String]) -> Option<&'a Candidate> {
    let crowd = |candidate: &Candidate| zones.iter().filter(|zone| **zone == candidate.zone).count();
    candidates.iter().min_by(|a, b| crowd(a).cmp(&crowd(b)).then_with(|| a.name.cmp(&b.name)))
}

/// The voters that a group should have next; `None` if it is well as it is. One step at a time: a lost voter makes room for
/// a living candidate, and for nobody only where `wanted` others are left; then the group grows or shrinks to `wanted`.
/// `own` never leaves a group for being too many.
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
    let without = |gone: ReplicaId| voters.iter().copied().filter(move |voter| *voter != gone);
    match (voters.iter().copied().find(|voter| !is_kept(voter)), joiner) {
        (Some(gone), Some(joiner)) => Some(without(gone).chain([joiner]).collect()),
        (Some(gone), None) if voters.iter().filter(|voter| is_kept(voter)).count() >= wanted => {
            Some(without(gone).collect())
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
