//! Transfers of leadership to another voter.
//!
//! The leader rejects proposals, waits until the target has its whole log, and then sends `TimeoutNow`. From then on
//! the target may win an election without waiting for the lease to expire, so the leader gives up its lease for the
//! rest of its term.

use std::cmp::Reverse;

use grebeusher_time::Instant;

use super::Replica;
use super::election::CampaignKind;
use super::role::{LeadershipTransfer, Role};
use crate::error::TransferLeadershipError;
use crate::ids::{Index, ReplicaId};
use crate::message::Body;

impl Replica {
    /// Transfers the leadership to a voter, by default to the most advanced one. Proposals are rejected from now on,
    /// and reads end when the target has the whole log and is asked to start its election. If it does not respond, the
    /// transfer is aborted, or ends in a new election. Returns the target.
    ///
    /// # Errors
    ///
    /// When this replica is not the leader, a transfer to another target is in progress, or there is no such voter.
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
            let is_same_target = to.is_none_or(|to| to == leadership_transfer.target);
            return if is_same_target {
                Ok(leadership_transfer.target)
            } else {
                Err(TransferLeadershipError::InProgress)
            };
        }
        let is_valid_target =
            |replica: &ReplicaId| *replica != self.identity && self.group().voters.contains(replica);
        let target = to
            .or_else(|| self.best_transfer_candidate())
            .filter(is_valid_target)
            .ok_or(TransferLeadershipError::NoTarget)?;
        let deadline = self.now + self.timing.election_timeout_max;
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.leadership_transfer =
                Some(LeadershipTransfer { target, deadline, timeout_now_sent: false });
        }
        self.maybe_send_timeout_now();
        Ok(target)
    }

    /// Whether a transfer of leadership is in progress.
    pub fn is_transferring_leadership(&self) -> bool {
        self.leader_state().is_some_and(|leader_state| leader_state.leadership_transfer.is_some())
    }

    /// The other voters, to which the leadership could be transferred, by the index up to which their log agrees,
    /// highest first, and then by the last response, newest first. Empty on replicas that are not the leader.
    pub fn transfer_candidates(&self) -> Vec<ReplicaId> {
        let Some(leader_state) = self.leader_state() else { return Vec::new() };
        let progress = |voter: &ReplicaId| {
            let follower = leader_state.followers.get(voter);
            follower.map_or((Index(0), None), |follower| (follower.matched, follower.last_response))
        };
        let other_voters = self.group().voters.iter().filter(|voter| **voter != self.identity);
        let mut candidates: Vec<ReplicaId> = other_voters.copied().collect();
        candidates.sort_by_key(|voter| Reverse(progress(voter)));
        candidates
    }

    pub(super) fn best_transfer_candidate(&self) -> Option<ReplicaId> {
        self.transfer_candidates().first().copied()
    }

    /// Asks the target to start its election once it has the whole log, and revokes the lease for the rest of the term.
    pub(super) fn maybe_send_timeout_now(&mut self) {
        let last = self.log.last().index;
        let deadline = self.now + self.timing.election_timeout_max;
        let Some(leader_state) = self.leader_state_mut() else { return };
        let Some(leadership_transfer) = &mut leader_state.leadership_transfer else { return };
        let target = leadership_transfer.target;
        let caught_up = leader_state.followers.get(&target).is_some_and(|follower| follower.matched == last);
        if leadership_transfer.timeout_now_sent || !caught_up {
            return;
        }
        leadership_transfer.timeout_now_sent = true;
        leadership_transfer.deadline = deadline;
        leader_state.lease_revoked = true;
        self.send(target, self.hard_state.term, Body::TimeoutNow);
    }

    /// Ends a transfer whose target did not become leader in time. If `TimeoutNow` was not sent, the leader continues
    /// as before. If it was, there can be a lease only in a new term, so the leader starts an election itself.
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
