//! The start of incarnations and groups, and the end of an incarnation whose group is lost.

use std::collections::BTreeMap;

use grebeusher_dispatch::time::{Duration, Instant};
use rand::Rng;

use super::Voter;
use crate::group::Group;
use crate::incarnation::Incarnation;
use crate::peers::Peers;
use crate::storage::GroupStorage;
use crate::{GroupOrigin, Host, StateMachine};

/// A new incarnation listens for so long before it bootstraps anything: there may be a group.
const DISCOVERY_DURATION: Duration = Duration::from_millis(1000);

/// A member that has known no leader for so long, while its group can't have a quorum any more, starts anew.
const GROUP_LOSS_TIMEOUT: Duration = Duration::from_millis(3000);

/// The index of the snapshot that a bootstrapped group starts with.
const BOOTSTRAP_INDEX: u64 = 1;

impl<M: StateMachine, H: Host<M>> Voter<M, H> {
    /// Starts a new incarnation, without a group.
    pub(super) fn start_incarnation(&mut self, now: Instant) {
        self.incarnation = self.random_incarnation(self.index);
        self.group = None;
        self.started_at = now;
        self.next_hello = now;
        self.pending.clear();
    }

    fn random_incarnation(&mut self, voter: usize) -> Incarnation {
        Incarnation::new(voter, self.rng.random())
    }

    pub(super) fn enter_group(
        &mut self,
        now: Instant,
        id: u64,
        storage: GroupStorage<M>,
        origin: GroupOrigin,
    ) {
        let applied = if origin == GroupOrigin::Bootstrapped { BOOTSTRAP_INDEX } else { 0 };
        let Ok(group) = Group::new(now, id, self.incarnation, storage, applied) else { return };
        self.last_raft_tick = now;
        self.group = Some(group);
        self.host.joined_group(id, origin);
    }

    /// Bootstraps a group when a majority of the voters belongs to none, and this is the first of them.
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
        let voters = self.voters;
        // Absent voters are members as well: otherwise fewer than a majority of all voters would be a quorum.
        let member = |voter| match incarnations.get(&voter) {
            Some(incarnation) => incarnation.0,
            None => self.random_incarnation(voter).0,
        };
        let members: Vec<u64> = (0..voters).map(member).collect();
        let id = self.rng.random();
        let mut machine = self.initial.clone();
        machine.bootstrapped(now);
        let Ok(storage) = GroupStorage::bootstrapped(machine, members) else { return };
        self.enter_group(now, id, storage, GroupOrigin::Bootstrapped);
        if let Some(group) = &mut self.group {
            // It fails only for a node that may not campaign; the election timeout starts another attempt.
            let _ = group.node.campaign();
        }
        self.process_ready(now);
    }

    /// Starts a new incarnation when the group can't have a quorum any more.
    pub(super) fn restart_if_group_is_lost(&mut self, now: Instant) {
        let Some(group) = &self.group else { return };
        if now.since(group.last_led) <= GROUP_LOSS_TIMEOUT {
            return;
        }
        let elsewhere = self.peers.alive(now).filter(|peer| peer.group != Some(group.id)).count();
        // A member that never heard its leader has no state to lose, and may block another bootstrap.
        let never_led = group.node.raft.raft_log.applied == 0;
        if never_led || self.has_lost_quorum(group) || self.is_majority(elsewhere) {
            self.start_incarnation(now);
        }
    }

    /// Whether half of the members of a list, as far as this voter knows them, have been replaced by other incarnations.
    ///
    /// Without this, a group of two of which one was just added would hang: the other does not know it as a member yet,
    /// so neither can lead, and each takes the other for a live member.
    fn has_lost_quorum(&self, group: &Group<M>) -> bool {
        let Voter { incarnation: own, index, peers, .. } = self;
        let is_gone = |member: &&u64| is_replaced(Incarnation(**member), *own, *index, peers);
        let lists = group.node.store().member_lists();
        lists.iter().any(|members| 2 * members.iter().filter(is_gone).count() >= members.len())
    }
}

/// Whether another incarnation of the same voter has started: a voter has one at a time.
fn is_replaced(member: Incarnation, own: Incarnation, own_index: usize, peers: &Peers) -> bool {
    member != own && (member.voter() == own_index || peers.has_replaced(member))
}
