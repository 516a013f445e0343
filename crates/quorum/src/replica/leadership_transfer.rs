//! Transfer of leadership to another voter.
//!
//! The leader stops taking proposals, waits until the target has its whole log, and then sends `TimeoutNow`. From that
//! moment the target may win an election without waiting for the lease, so the leader gives its lease up for the rest of
//! its term.

use std::cmp::Reverse;

use grebeusher_time::Instant;

use super::Replica;
use super::election::CampaignKind;
use super::role::{LeadershipTransfer, Role};
use crate::error::TransferLeadershipError;
use crate::ids::{Index, ReplicaId};
use crate::message::Body;

impl Replica {
    /// Hands the leadership to a voter, or to the one that is furthest: proposals are refused from now on, and reads end
    /// once it has everything and is told to take over. Fails silently, by a new election, when it does not.
    ///
    /// # Errors
    ///
    /// When this replica is not the leader, is handing over already, or nobody can take over.
    pub fn transfer_leadership(
        &mut self,
        now: Instant,
        to: Option<ReplicaId>,
    ) -> Result<ReplicaId, TransferLeadershipError> {
        self.advance(now);
        let hint = self.leader_hint();
        let Some(leader_state) = self.leader_state() else {
            return Err(TransferLeadershipError::NotLeader { hint });
        };
        if let Some(leadership_transfer) = leader_state.leadership_transfer {
            let same = to.is_none_or(|to| to == leadership_transfer.target);
            return if same {
                Ok(leadership_transfer.target)
            } else {
                Err(TransferLeadershipError::InProgress)
            };
        }
        let may_own =
            |replica: &ReplicaId| *replica != self.identity && self.group().voters.contains(replica);
        let target = to
            .or_else(|| self.best_transfer_candidate())
            .filter(may_own)
            .ok_or(TransferLeadershipError::NoTarget)?;
        let deadline = self.now + self.timing.election_timeout_max;
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.leadership_transfer =
                Some(LeadershipTransfer { target, deadline, timeout_now_sent: false });
        }
        self.maybe_send_timeout_now();
        Ok(target)
    }

    /// Whether the leadership is being handed over.
    pub fn is_transferring_leadership(&self) -> bool {
        self.leader_state().is_some_and(|leader_state| leader_state.leadership_transfer.is_some())
    }

    /// The voters that could take the leadership over, the one that is furthest first, of equals the one that answered last;
    /// none where this replica is not the leader.
    pub fn transfer_candidates(&self) -> Vec<ReplicaId> {
        let Some(leader_state) = self.leader_state() else { return Vec::new() };
        let rank = |voter: &ReplicaId| {
            let follower = leader_state.followers.get(voter);
            follower.map_or((Index(0), None), |follower| (follower.matched, follower.last_response))
        };
        let others = self.group().voters.iter().filter(|voter| **voter != self.identity);
        let mut transfer_candidates: Vec<ReplicaId> = others.copied().collect();
        transfer_candidates.sort_by_key(|voter| Reverse(rank(voter)));
        transfer_candidates
    }

    pub(super) fn best_transfer_candidate(&self) -> Option<ReplicaId> {
        self.transfer_candidates().first().copied()
    }

    /// Tells the target to take over once it has everything. From then on the lease is over for the rest of the term.
    pub(super) fn maybe_send_timeout_now(&mut self) {
        let last = self.log.last().index;
        let deadline = self.now + self.timing.election_timeout_max;
        let Some(leader_state) = self.leader_state_mut() else { return };
        let Some(leadership_transfer) = &mut leader_state.leadership_transfer else { return };
        let target = leadership_transfer.target;
        let has_all = leader_state.followers.get(&target).is_some_and(|follower| follower.matched == last);
        if leadership_transfer.timeout_now_sent || !has_all {
            return;
        }
        leadership_transfer.timeout_now_sent = true;
        leadership_transfer.deadline = deadline;
        leader_state.lease_revoked = true;
        self.send(target, self.hard_state.term, Body::TimeoutNow);
    }

    /// A target that is silent: before it was told, all is as it was; after that only a new term can have a lease.
    pub(super) fn tick_leadership_transfer(&mut self) {
        let now = self.now;
        let Some(leader_state) = self.leader_state_mut() else { return };
        let Some(leadership_transfer) =
            leader_state.leadership_transfer.filter(|leadership_transfer| now > leadership_transfer.deadline)
        else {
            return;
        };
        leader_state.leadership_transfer = None;
        if !leadership_transfer.timeout_now_sent {
            return;
        }
        if self.is_promotable() {
            self.campaign(CampaignKind::LeadershipTransfer);
        } else {
            self.role = Role::Follower { leader: None };
        }
    }
}
