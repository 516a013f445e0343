//! Changes of the voters by joint consensus.
//!
//! A change has three steps, each of which starts when the previous one is complete: new voters catch up as learners
//! ([`PendingChange`], known to this leader only), the joint group is committed, and then the final group. A leader
//! that fails in the first step leaves the group unchanged. If it fails later, the next leader completes the change.
//!
//! The first step ends early if only lost voters are replaced. A voter that does not answer is in no quorum, so a
//! learner in its place delays no commit, however far behind it is, and its vote counts from then on. As with any
//! voter, only entries that it has synced count towards a commit.

use super::Replica;
use super::role::PendingChange;
use crate::entry::Payload;
use crate::error::ChangeError;
use crate::group::{Group, MAX_VOTERS};
use crate::ids::ReplicaId;
use crate::message::Body;
use crate::progress::Progress;
use grebeusher_time::{DurationExt, Instant};

/// The largest number of entries by which a learner may be behind when it becomes a voter.
const MAX_PROMOTION_LAG: u64 = 32;

/// The multiple of `election_timeout_max` after which a voter that has not answered is taken for lost in a change. A
/// process that only restarts is back sooner with its log, and is worth more in the group than a learner that is far
/// behind.
const LOST_VOTER_TIMEOUT_FACTOR: f64 = 4.0;

/// The multiple of `election_timeout_max` after which a change is aborted if a learner has not answered.
const LEARNER_RESPONSE_TIMEOUT_FACTOR: f64 = 3.0;

/// The multiple of `election_timeout_max` after which a change is aborted if its learners have not caught up.
const CATCH_UP_TIMEOUT_FACTOR: f64 = 20.0;

impl Replica {
    /// Starts a change of the group to these voters. New voters catch up as learners first, then the joint group is
    /// committed, and then the final one. A change to the current group has no effect.
    ///
    /// # Errors
    ///
    /// When this replica is not the leader, another change is in progress, or the group is not valid.
    pub fn change_group(&mut self, now: Instant, voters: Vec<ReplicaId>) -> Result<(), ChangeError> {
        self.advance(now);
        let hint = self.leader_hint();
        let Some(leader_state) = self.leader_state() else { return Err(ChangeError::NotLeader { hint }) };
        let new_group = Group::of(voters);
        if new_group.voters.is_empty() || new_group.voters.len() > MAX_VOTERS {
            return Err(ChangeError::Invalid);
        }
        if leader_state.change.is_some()
            || leader_state.leadership_transfer.is_some()
            || self.group().is_joint()
        {
            return Err(ChangeError::InProgress);
        }
        if self.commit < leader_state.term_start || self.commit < self.log.group_index() {
            return Err(ChangeError::NotCommitted);
        }
        if new_group == *self.group() {
            return Ok(());
        }
        self.track_progress(&new_group.voters);
        let since = self.now;
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.change = Some(PendingChange { voters: new_group.voters, since });
        }
        self.check_change();
        Ok(())
    }

    /// The voters of a change whose learners are still catching up.
    pub fn pending_change(&self) -> Option<&[ReplicaId]> {
        let change = self.leader_state()?.change.as_ref()?;
        Some(&change.voters)
    }

    /// Whether the newest group is committed and not joint, and no change is pending.
    pub fn is_group_stable(&self) -> bool {
        !self.group().is_joint() && self.pending_change().is_none() && self.commit >= self.log.group_index()
    }

    /// Appends the joint group of a pending change once all learners may become voters.
    pub(super) fn check_change(&mut self) {
        let Some(leader_state) = self.leader_state() else { return };
        let Some(change) = &leader_state.change else { return };
        let last = self.log.last().index;
        let replaces_lost_voters = self.replaces_lost_voters(&change.voters);
        let may_vote = |follower: &Progress| {
            let caught_up = follower.matched.plus(MAX_PROMOTION_LAG) >= last;
            follower.is_replicating() && (caught_up || replaces_lost_voters)
        };
        let all_may_vote = change.voters.iter().all(|voter| {
            self.group().contains(*voter)
                || *voter == self.identity
                || leader_state.followers.get(voter).is_some_and(may_vote)
        });
        if !all_may_vote {
            return;
        }
        let joint = self.group().enter_joint(change.voters.clone());
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.change = None;
        }
        self.append(self.hard_state.term, Payload::Group(joint));
        self.advance_commit();
    }

    /// Whether each new voter takes the place of a lost one, and only lost voters leave. They are replaced at once
    /// because the loss of more voters could leave the group without a quorum for good while the replacement is still
    /// receiving a large log over a slow link.
    fn replaces_lost_voters(&self, voters: &[ReplicaId]) -> bool {
        let Some(leader_state) = self.leader_state() else { return false };
        let timeout = self.timing.election_timeout_max.scaled(LOST_VOTER_TIMEOUT_FACTOR);
        let is_lost = |voter: &&ReplicaId| {
            let last_response = leader_state.followers.get(voter).and_then(|follower| follower.last_response);
            **voter != self.identity && self.now > last_response.unwrap_or(leader_state.since) + timeout
        };
        let group = self.group();
        let leaving: Vec<&ReplicaId> = group.voters.iter().filter(|voter| !voters.contains(voter)).collect();
        let joining = voters.iter().filter(|voter| !group.voters.contains(voter)).count();
        joining <= leaving.len() && leaving.iter().all(is_lost)
    }

    /// Aborts a pending change whose learners do not respond or take too long.
    pub(super) fn tick_change(&mut self) {
        let now = self.now;
        let response_timeout = self.timing.election_timeout_max.scaled(LEARNER_RESPONSE_TIMEOUT_FACTOR);
        let catch_up_timeout = self.timing.election_timeout_max.scaled(CATCH_UP_TIMEOUT_FACTOR);
        let group = self.group().clone();
        let Some(leader_state) = self.leader_state_mut() else { return };
        let Some(change) = &leader_state.change else { return };
        let is_silent = |voter: &ReplicaId| {
            let last_response = leader_state.followers.get(voter).and_then(|follower| follower.last_response);
            !group.contains(*voter)
                && now > last_response.unwrap_or(change.since).max(change.since) + response_timeout
        };
        if change.voters.iter().any(is_silent) || now > change.since + catch_up_timeout {
            leader_state.change = None;
            leader_state.followers.retain(|replica, _| group.contains(*replica));
        }
    }

    /// Takes the next step of a change when the newest group is committed: after the joint group it appends the final
    /// one, and after that it stops sending to the replicas that were removed.
    pub(super) fn advance_group_change(&mut self) {
        if self.commit < self.log.group_index() {
            return;
        }
        if self.group().is_joint() {
            let incoming = self.group().leave_joint();
            self.append(self.hard_state.term, Payload::Group(incoming));
            self.advance_commit();
            return;
        }
        self.remove_outgoing();
        if !self.group().contains(self.identity) {
            self.step_down_after_removal();
        }
    }

    /// Stops sending to replicas that were removed, after a last append that tells them so.
    fn remove_outgoing(&mut self) {
        let Some(leader_state) = self.leader_state() else { return };
        let learners = leader_state.change.as_ref().map_or(&[][..], |change| &change.voters);
        let is_needed = |replica: &ReplicaId| self.group().contains(*replica) || learners.contains(replica);
        let followers = leader_state.followers.keys().copied();
        let leaving: Vec<ReplicaId> = followers.filter(|replica| !is_needed(replica)).collect();
        for replica in leaving {
            if let Some(body) = self.final_append(replica) {
                self.send(replica, self.hard_state.term, body);
            }
            if let Some(leader_state) = self.leader_state_mut() {
                leader_state.followers.remove(&replica);
            }
        }
    }

    /// Asks the most advanced voter to start an election, and steps down, because this leader was removed.
    fn step_down_after_removal(&mut self) {
        if let Some(successor) = self.best_transfer_candidate() {
            self.send(successor, self.hard_state.term, Body::TimeoutNow);
        }
        self.become_follower(self.hard_state.term, None);
    }
}
