//! A digest of a replica's state for model checkers, which have to tell states apart, but not states that differ only
//! in time.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::Replica;
use super::role::{LeaderState, Role};
use crate::progress::Progress;

impl Replica {
    /// Returns a hash of everything that determines what this replica does next, except time and randomness.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.identity, self.hard_state, self.commit, self.applied).hash(&mut hasher);
        (self.log.snapshot_last(), self.log.group_index()).hash(&mut hasher);
        self.log.range(self.log.snapshot_last().index.next(), self.log.last().index).for_each(|entry| {
            entry.hash(&mut hasher);
        });
        self.output.synced.hash(&mut hasher);
        self.incoming_snapshot.hash(&mut hasher);
        hash_role(&self.role, &mut hasher);
        hasher.finish()
    }
}

fn hash_role(role: &Role, hasher: &mut DefaultHasher) {
    std::mem::discriminant(role).hash(hasher);
    match role {
        Role::Follower { leader } => leader.hash(hasher),
        Role::PreCandidate { granted } | Role::Candidate { granted } => granted.hash(hasher),
        Role::Leader(leader_state) => hash_leader_state(leader_state, hasher),
    }
}

fn hash_leader_state(leader_state: &LeaderState, hasher: &mut DefaultHasher) {
    (leader_state.term_start, leader_state.lease_revoked).hash(hasher);
    leader_state.change.as_ref().map(|change| &change.voters).hash(hasher);
    leader_state
        .leadership_transfer
        .map(|leadership_transfer| (leadership_transfer.target, leadership_transfer.timeout_now_sent))
        .hash(hasher);
    for (replica, follower) in &leader_state.followers {
        replica.hash(hasher);
        hash_progress(follower, hasher);
    }
}

fn hash_progress(follower: &Progress, hasher: &mut DefaultHasher) {
    (follower.matched, follower.next, follower.heartbeat_due).hash(hasher);
    follower.state.hash(hasher);
}
