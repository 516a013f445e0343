//! Starts incarnations and groups, and ends an incarnation whose group has lost its quorum.

use std::collections::BTreeMap;

use grebeusher_dispatch::time::{Duration, Instant};
use rand::Rng;

use super::Voter;
use crate::group::Group;
use crate::incarnation::Incarnation;
use crate::peers::Peers;
use crate::storage::GroupStorage;
use crate::{GroupOrigin, Host, StateMachine};

/// A new incarnation waits this long before it bootstraps a group, so that an existing group can add it.
const DISCOVERY_DURATION: Duration = Duration::from_millis(1000);

/// A member whose group can no longer have a quorum starts a new incarnation once it has known no leader for this long.
const GROUP_LOSS_TIMEOUT: Duration = Duration::from_millis(3000);

/// The index of the snapshot that a bootstrapped group starts with.
const BOOTSTRAP_INDEX: u64 = 1;

impl<M: StateMachine, H: Host<M>> Voter<M, H> {
    /// Starts a new incarnation that belongs to no group.
    pub(super) fn start_incarnation(&mut self, now: Instant) {
        self.incarnation = self.random_incarnation(self.index);
        self.group = None;
        self.started_at = now;
        self.next_hello_at = now;
        self.pending_commands.clear();
    }

    fn random_incarnation(&mut self, voter: usize) -> Incarnation {
        Incarnation::new(voter, self.rng.random())
    }

    /// Makes this incarnation a member of the group with this id.
    pub(super) fn enter_group(
        &mut self,
        now: Instant,
        id: u64,
        storage: GroupStorage<M>,
        origin: GroupOrigin,
    ) {
        let applied = if origin == GroupOrigin::Bootstrapped { BOOTSTRAP_INDEX } else { 0 };
        let Ok(group) = Group::new(now, id, self.incarnation, storage, applied) else { return };
        self.last_raft_tick_at = now;
        self.group = Some(group);
        self.host.joined_group(id, origin);
    }

    /// Bootstraps a group when a majority of the voters belongs to none, and this voter has the lowest index of
    /// them.
    pub(super) fn bootstrap_if_state_is_lost(&mut self, now: Instant) {
        if self.group.is_some() || now.since(self.started_at) < DISCOVERY_DURATION {
            return;
        }
        let without_group = self.peers.alive(now).filter(|peer| peer.group.is_none());
        let mut incarnations: BTreeMap<usize, Incarnation> =
            without_group.map(|peer| (peer.incarnation.voter(), peer.incarnation)).collect();
        incarnations.insert(self.index, self.incarnation);
        let is_first = incarnations.keys().next() == Some(&self.index);
        if self.is_majority(incarnations.len()) && is_first {
            self.bootstrap(now, &incarnations);
        }
    }

    fn bootstrap(&mut self, now: Instant, incarnations: &BTreeMap<usize, Incarnation>) {
        let voter_count = self.voter_count;
        // Absent voters become members under random incarnations: otherwise fewer than a majority of all voters would
        // be a quorum.
        let member_id = |voter| match incarnations.get(&voter) {
            Some(incarnation) => incarnation.0,
            None => self.random_incarnation(voter).0,
        };
        let members: Vec<u64> = (0..voter_count).map(member_id).collect();
        let id = self.rng.random();
        let mut machine = self.initial_state.clone();
        machine.bootstrapped(now);
        let Ok(storage) = GroupStorage::bootstrapped(machine, members) else { return };
        self.enter_group(now, id, storage, GroupOrigin::Bootstrapped);
        if let Some(group) = &mut self.group {
            // The campaign fails only for a node that may not campaign; the election timeout starts another one.
            let _ = group.node.campaign();
        }
        self.process_ready(now);
    }

    /// Starts a new incarnation when the group can no longer have a quorum.
    pub(super) fn restart_if_group_is_lost(&mut self, now: Instant) {
        let Some(group) = &self.group else { return };
        if now.since(group.last_leader_known_at) <= GROUP_LOSS_TIMEOUT {
            return;
        }
        let outside_group = self.peers.alive(now).filter(|peer| peer.group != Some(group.id)).count();
        // A member that has applied nothing has received no state from its leader: it has none to lose, and may block
        // the bootstrap of another group.
        let has_applied_nothing = group.node.raft.raft_log.applied == 0;
        if has_applied_nothing || self.has_lost_quorum(group) || self.is_majority(outside_group) {
            self.start_incarnation(now);
        }
    }

    /// Whether, as far as this voter knows, at least half of the members in one list of the joint configuration have
    /// been replaced by other incarnations.
    ///
    /// Without this check, two remaining members of which one was just added would wait forever: the other one does not
    /// know the addition yet, so neither can lead, and each takes the other for a live member.
    fn has_lost_quorum(&self, group: &Group<M>) -> bool {
        let Voter { incarnation: own, index, peers, .. } = self;
        let has_ended = |member: &&u64| is_replaced(Incarnation(**member), *own, *index, peers);
        let lists = group.node.store().member_lists();
        lists.iter().any(|members| 2 * members.iter().filter(has_ended).count() >= members.len())
    }
}

/// Whether the voter of this member has started another incarnation since; a voter has one incarnation at a time.
fn is_replaced(member: Incarnation, own: Incarnation, own_index: usize, peers: &Peers) -> bool {
    member != own && (member.voter() == own_index || peers.has_replaced(member))
}
