//! A digest for model checkers, which must tell states apart but not their clocks.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::Replica;
use crate::progress::Progress;
use crate::role::{Leadership, Role};

impl Replica {
    /// A digest of all that decides what this replica does next, but for clocks and chance.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.identity, self.hard, self.commit, self.applied).hash(&mut hasher);
        (self.log.snapshot_last(), self.log.group_index()).hash(&mut hasher);
        self.log.range(self.log.snapshot_last().index.next(), self.log.last().index).for_each(|entry| {
            entry.hash(&mut hasher);
        });
        self.output.synced.hash(&mut hasher);
        self.assembly.hash(&mut hasher);
        hash_role(&self.role, &mut hasher);
        hasher.finish()
    }
}

fn hash_role(role: &Role, hasher: &mut DefaultHasher) {
    std::mem::discriminant(role).hash(hasher);
    match role {
        Role::Follower { leader } => leader.hash(hasher),
        Role::PreCandidate { granted } | Role::Candidate { granted } => granted.hash(hasher),
        Role::Leader(leadership) => hash_leadership(leadership, hasher),
    }
}

fn hash_leadership(leadership: &Leadership, hasher: &mut DefaultHasher) {
    (leadership.opening, leadership.lease_given_up).hash(hasher);
    leadership.change.as_ref().map(|change| &change.voters).hash(hasher);
    leadership.hand_over.map(|hand_over| (hand_over.target, hand_over.told)).hash(hasher);
    for (replica, follower) in &leadership.followers {
        replica.hash(hasher);
        hash_progress(follower, hasher);
    }
}

fn hash_progress(follower: &Progress, hasher: &mut DefaultHasher) {
    (follower.matched, follower.next, follower.beat_due).hash(hasher);
    follower.flow.hash(hasher);
}
