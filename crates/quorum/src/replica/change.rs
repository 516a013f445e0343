//! Change of the group and handing over of the leadership.

use super::Replica;
use crate::entry::Payload;
use crate::error::{ChangeError, HandOverError};
use crate::group::{Group, MAX_VOTERS};
use crate::ids::{Index, ReplicaId};
use crate::message::Body;
use crate::progress::Progress;
use crate::role::{HandOver, PendingChange, Role};
use grebeusher_time::DurationExt;

/// How many entries a learner may be behind when it becomes a voter.
const SMALL_LAG: u64 = 32;

/// A learner that has not answered for so many times `election_max` is given up.
const SILENCE: f64 = 3.0;

/// A change whose learners have not caught up within so many times `election_max` is given up.
const PATIENCE: f64 = 20.0;

impl Replica {
    /// Changes the group to these voters. New ones are caught up as learners first; then a joint group is in force until
    /// a quorum of both has it, and the change finishes by itself. The same group again is fine.
    ///
    /// # Errors
    ///
    /// When this replica is not the leader, or something else is under way.
    pub fn change_group(
        &mut self,
        now: grebeusher_time::Instant,
        voters: Vec<ReplicaId>,
    ) -> Result<(), ChangeError> {
        self.advance(now);
        let hint = self.leader_hint();
        let Some(leadership) = self.leadership() else { return Err(ChangeError::NotLeader { hint }) };
        let wanted = Group::of(voters);
        if wanted.voters.is_empty() || wanted.voters.len() > MAX_VOTERS {
            return Err(ChangeError::Invalid);
        }
        if leadership.change.is_some() || leadership.hand_over.is_some() || self.group().is_joint() {
            return Err(ChangeError::UnderWay);
        }
        if self.commit < leadership.opening || self.commit < self.log.group_index() {
            return Err(ChangeError::Unsettled);
        }
        if wanted == *self.group() {
            return Ok(());
        }
        self.enlist(&wanted.voters);
        let since = self.now;
        if let Some(leadership) = self.leadership_mut() {
            leadership.change = Some(PendingChange { voters: wanted.voters, since });
        }
        self.check_change();
        Ok(())
    }

    /// The voters of a change whose learners are still catching up.
    pub fn pending_change(&self) -> Option<&[ReplicaId]> {
        let change = self.leadership()?.change.as_ref()?;
        Some(&change.voters)
    }

    /// Whether the newest group is a plain one that is decided, and no other is on its way.
    pub fn is_settled(&self) -> bool {
        !self.group().is_joint() && self.pending_change().is_none() && self.commit >= self.log.group_index()
    }

    /// Puts the joint group in force once all learners are nearly where the leader is.
    pub(super) fn check_change(&mut self) {
        let Some(leadership) = self.leadership() else { return };
        let Some(change) = &leadership.change else { return };
        let last = self.log.last().index;
        let caught_up =
            |follower: &Progress| follower.is_pipelined() && follower.matched.plus(SMALL_LAG) >= last;
        let ready = change.voters.iter().all(|voter| {
            self.group().names(*voter)
                || *voter == self.identity
                || leadership.followers.get(voter).is_some_and(caught_up)
        });
        if !ready {
            return;
        }
        let joint = self.group().towards(change.voters.clone());
        if let Some(leadership) = self.leadership_mut() {
            leadership.change = None;
        }
        self.append(self.hard.term, Payload::Group(joint));
        self.advance_commit();
    }

    /// Gives a change up whose learners are silent or too slow.
    pub(super) fn tick_change(&mut self) {
        let now = self.now;
        let silence = self.timing.election_max.scaled(SILENCE);
        let patience = self.timing.election_max.scaled(PATIENCE);
        let group = self.group().clone();
        let Some(leadership) = self.leadership_mut() else { return };
        let Some(change) = &leadership.change else { return };
        let is_silent = |voter: &ReplicaId| {
            let answered = leadership.followers.get(voter).and_then(|follower| follower.answered);
            !group.names(*voter) && now > answered.unwrap_or(change.since).max(change.since) + silence
        };
        if change.voters.iter().any(is_silent) || now > change.since + patience {
            leadership.change = None;
            leadership.followers.retain(|replica, _| group.names(*replica));
        }
    }

    /// Goes on with a change when its last entry is committed: from the joint group to the new one, and from there to
    /// the end of what the new one does not name.
    pub(super) fn finish_change(&mut self) {
        if self.commit < self.log.group_index() {
            return;
        }
        if self.group().is_joint() {
            let settled = self.group().settled();
            self.append(self.hard.term, Payload::Group(settled));
            self.advance_commit();
            return;
        }
        self.dismiss_outgoing();
        if !self.group().names(self.identity) {
            self.leave();
        }
    }

    /// Stops sending to those who left, after a last word by which they learn that they did.
    fn dismiss_outgoing(&mut self) {
        let Some(leadership) = self.leadership() else { return };
        let learners = leadership.change.as_ref().map_or(&[][..], |change| &change.voters);
        let stays = |replica: &ReplicaId| self.group().names(*replica) || learners.contains(replica);
        let followers = leadership.followers.keys().copied();
        let leaving: Vec<ReplicaId> = followers.filter(|replica| !stays(replica)).collect();
        for replica in leaving {
            if let Some(body) = self.last_word(replica) {
                self.send(replica, self.hard.term, body);
            }
            if let Some(leadership) = self.leadership_mut() {
                leadership.followers.remove(&replica);
            }
        }
    }

    /// A leader that the new group does not name ends its leadership in favour of a voter that has everything.
    fn leave(&mut self) {
        if let Some(heir) = self.best_heir() {
            self.send(heir, self.hard.term, Body::TakeOver);
        }
        self.follow(self.hard.term, None);
    }

    /// Hands the leadership to a voter, or to the one that is furthest: proposals are refused from now on, and reads end
    /// once it has everything and is told to take over. Fails silently, by a new election, when it does not.
    ///
    /// # Errors
    ///
    /// When this replica is not the leader, is handing over already, or nobody can take over.
    pub fn hand_over(
        &mut self,
        now: grebeusher_time::Instant,
        to: Option<ReplicaId>,
    ) -> Result<ReplicaId, HandOverError> {
        self.advance(now);
        let hint = self.leader_hint();
        let Some(leadership) = self.leadership() else { return Err(HandOverError::NotLeader { hint }) };
        if let Some(hand_over) = leadership.hand_over {
            let same = to.is_none_or(|to| to == hand_over.target);
            return if same { Ok(hand_over.target) } else { Err(HandOverError::UnderWay) };
        }
        let may_own =
            |replica: &ReplicaId| *replica != self.identity && self.group().voters.contains(replica);
        let target = to.or_else(|| self.best_heir()).filter(may_own).ok_or(HandOverError::NoTarget)?;
        let deadline = self.now + self.timing.election_max;
        if let Some(leadership) = self.leadership_mut() {
            leadership.hand_over = Some(HandOver { target, deadline, told: false });
        }
        self.check_hand_over();
        Ok(target)
    }

    /// Whether the leadership is being handed over.
    pub fn is_handing_over(&self) -> bool {
        self.leadership().is_some_and(|leadership| leadership.hand_over.is_some())
    }

    /// The voters that could take the leadership over, the one that is furthest first, of equals the one that answered last;
    /// none where this replica is not the leader.
    pub fn heirs(&self) -> Vec<ReplicaId> {
        let Some(leadership) = self.leadership() else { return Vec::new() };
        let rank = |voter: &ReplicaId| {
            let follower = leadership.followers.get(voter);
            follower.map_or((Index(0), None), |follower| (follower.matched, follower.answered))
        };
        let others = self.group().voters.iter().filter(|voter| **voter != self.identity);
        let mut heirs: Vec<ReplicaId> = others.copied().collect();
        heirs.sort_by_key(|voter| std::cmp::Reverse(rank(voter)));
        heirs
    }

    fn best_heir(&self) -> Option<ReplicaId> {
        self.heirs().first().copied()
    }

    /// Tells the target to take over once it has everything. From then on the lease is over for the rest of the term.
    pub(super) fn check_hand_over(&mut self) {
        let last = self.log.last().index;
        let deadline = self.now + self.timing.election_max;
        let Some(leadership) = self.leadership_mut() else { return };
        let Some(hand_over) = &mut leadership.hand_over else { return };
        let target = hand_over.target;
        let has_all = leadership.followers.get(&target).is_some_and(|follower| follower.matched == last);
        if hand_over.told || !has_all {
            return;
        }
        hand_over.told = true;
        hand_over.deadline = deadline;
        leadership.lease_given_up = true;
        self.send(target, self.hard.term, Body::TakeOver);
    }

    /// A target that is silent: before it was told, all is as it was; after that only a new term can have a lease.
    pub(super) fn tick_hand_over(&mut self) {
        let now = self.now;
        let Some(leadership) = self.leadership_mut() else { return };
        let Some(hand_over) = leadership.hand_over.filter(|hand_over| now > hand_over.deadline) else {
            return;
        };
        leadership.hand_over = None;
        if !hand_over.told {
            return;
        }
        if self.may_stand() {
            self.start_vote(true);
        } else {
            self.role = Role::Follower { leader: None };
        }
    }
}
