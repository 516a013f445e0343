//! Elections: pre-votes, votes, and the conditions under which a replica grants them.

use std::collections::BTreeSet;

use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;

use super::Replica;
use super::role::Role;
use crate::ids::{Index, Position, ReplicaId, Term};
use crate::message::{Body, VoteRequest, VoteResponse};
use crate::timing::Timing;

/// The reason for which a candidate asks for votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CampaignKind {
    /// The candidate's election timeout elapsed. Voters that have heard from a leader recently ignore the request.
    Timeout,
    /// The leader gave up its lease for this candidate, so voters need not wait until the lease expires.
    LeadershipTransfer,
}

impl Replica {
    /// Starts a pre-vote. It advances no term and records no vote, so that a replica that can't win does not disrupt a
    /// leader.
    pub(super) fn pre_campaign(&mut self) {
        let granted = BTreeSet::from([self.identity]);
        let won = self.group().has_quorum(|voter| granted.contains(&voter));
        self.role = Role::PreCandidate { granted };
        self.reset_pre_vote_timeout();
        if won {
            self.campaign(CampaignKind::Timeout);
            return;
        }
        let request = VoteRequest { last: self.log.last(), leadership_transfer: false };
        self.send_to_peers(self.hard_state.term.next(), Body::RequestPreVote(request));
    }

    /// Starts an election in the next term.
    pub(super) fn campaign(&mut self, kind: CampaignKind) {
        self.advance_term(self.hard_state.term.next());
        self.hard_state.vote = Some(self.identity);
        let granted = BTreeSet::from([self.identity]);
        let won = self.group().has_quorum(|voter| granted.contains(&voter));
        self.role = Role::Candidate { granted };
        self.reset_election_timeout();
        if won {
            self.become_leader();
            return;
        }
        let leadership_transfer = kind == CampaignKind::LeadershipTransfer;
        let request = VoteRequest { last: self.log.last(), leadership_transfer };
        self.send_to_peers(self.hard_state.term, Body::RequestVote(request));
    }

    /// Sets the deadline for another pre-vote. It is sooner than that of an election, because voters may have rejected
    /// the pre-vote only because they heard from the last leader a little later than this replica.
    fn reset_pre_vote_timeout(&mut self) {
        let election_timeout_min = self.timing.election_timeout_min;
        let timeout_ns =
            self.rng.random_range(election_timeout_min.nanos() / 2..=election_timeout_min.nanos());
        self.election_deadline = self.now + Duration::from_nanos(timeout_ns);
    }

    fn send_to_peers(&mut self, term: Term, body: Body) {
        let peers: Vec<ReplicaId> =
            self.group().members().filter(|member| *member != self.identity).collect();
        for peer in peers {
            self.send(peer, term, body.clone());
        }
    }

    pub(super) fn receive_pre_vote(&mut self, from: ReplicaId, term: Term, request: VoteRequest) {
        let granted = term > self.hard_state.term
            && !self.is_within_leader_lease()
            && self.can_vote_for(from, request.last);
        let response_term = if granted { term } else { self.hard_state.term };
        self.send(from, response_term, Body::PreVoteResponse(VoteResponse { granted }));
    }

    pub(super) fn receive_pre_vote_response(&mut self, from: ReplicaId, term: Term, response: VoteResponse) {
        if !response.granted {
            self.step_down_if_newer(term);
            return;
        }
        if term != self.hard_state.term.next() {
            return;
        }
        let Role::PreCandidate { granted } = &mut self.role else { return };
        granted.insert(from);
        let granted = granted.clone();
        if self.group().has_quorum(|voter| granted.contains(&voter)) {
            self.campaign(CampaignKind::Timeout);
        }
    }

    pub(super) fn receive_vote(&mut self, from: ReplicaId, term: Term, request: VoteRequest) {
        if term < self.hard_state.term {
            self.send(from, self.hard_state.term, Body::VoteResponse(VoteResponse { granted: false }));
            return;
        }
        if !request.leadership_transfer && self.is_within_leader_lease() {
            return;
        }
        self.step_down_if_newer(term);
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = vote_available && self.leader_hint().is_none() && self.can_vote_for(from, request.last);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.output.hard_state_changed = true;
            self.become_follower(term, None);
        }
        self.send(from, self.hard_state.term, Body::VoteResponse(VoteResponse { granted }));
    }

    pub(super) fn receive_vote_response(&mut self, from: ReplicaId, term: Term, response: VoteResponse) {
        if term != self.hard_state.term || !response.granted {
            self.step_down_if_newer(term);
            return;
        }
        let Role::Candidate { granted } = &mut self.role else { return };
        granted.insert(from);
        let granted = granted.clone();
        if self.group().has_quorum(|voter| granted.contains(&voter)) {
            self.become_leader();
        }
    }

    pub(super) fn receive_timeout_now(&mut self, from: ReplicaId, term: Term) {
        let is_from_leader = matches!(self.role, Role::Follower { leader } if leader == Some(from));
        if term == self.hard_state.term && is_from_leader && self.is_promotable() {
            self.campaign(CampaignKind::LeadershipTransfer);
        }
    }

    pub(super) fn step_down_if_newer(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
    }

    /// Whether a leader, possibly this replica, may still hold a lease, so that this replica must not vote for another
    /// candidate.
    fn is_within_leader_lease(&self) -> bool {
        let contact = match self.leader_state() {
            Some(_) => self.quorum_contact(),
            None => Some(self.last_leader_contact),
        };
        contact.is_some_and(|contact| self.now < contact + self.timing.election_timeout_min)
    }

    /// Whether the candidate's log may have all committed entries, judged by its last position. A replica without
    /// entries has nothing to compare with, so it never votes.
    fn can_vote_for(&self, candidate: ReplicaId, last: Position) -> bool {
        let own = self.log.last();
        own.index > Index(0) && last >= own && !(last == own && self.was_removed(candidate))
    }

    /// Whether the newest group in this log is committed and does not contain a replica.
    fn was_removed(&self, replica: ReplicaId) -> bool {
        self.commit >= self.log.group_index() && !self.group().contains(replica)
    }

    /// Becomes a follower of a leader that has just sent a message.
    pub(super) fn become_follower_of(&mut self, term: Term, leader: ReplicaId) {
        self.last_leader_contact = self.now;
        self.become_follower(term, Some(leader));
    }

    /// The latest time such that a quorum has answered messages that this leader sent then or later. None if a quorum
    /// has not answered, or this replica is not the leader.
    pub(super) fn quorum_contact(&self) -> Option<Instant> {
        let leader_state = self.leader_state()?;
        self.group().reached_by_quorum(|voter| {
            if voter == self.identity {
                return Some(self.now);
            }
            leader_state.followers.get(&voter).and_then(|follower| follower.last_response)
        })
    }

    /// Whether this replica may become leader. It may if it is in the newest group, or if its removal is not committed
    /// yet: it may be the only replica with the entry that removes it, and has to commit that first.
    pub(super) fn is_promotable(&self) -> bool {
        let group_is_uncommitted = self.log.group_index() > self.commit;
        self.group().contains(self.identity)
            || (group_is_uncommitted && self.log.previous_group_contains(self.identity))
    }

    /// Sets the deadline for the next election to a random time between the shortest and the longest timeout from now.
    pub(super) fn reset_election_timeout(&mut self) {
        let Timing { election_timeout_min, election_timeout_max, .. } = self.timing;
        let extra_ns =
            self.rng.random_range(0..=election_timeout_max.saturating_sub(election_timeout_min).nanos());
        self.election_deadline = self.now + election_timeout_min + Duration::from_nanos(extra_ns);
    }

    /// Enters a term if it is newer. This replica has not voted in it.
    pub(super) fn advance_term(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.output.hard_state_changed = true;
            self.incoming_snapshot = None;
        }
    }

    /// Becomes a follower in a term, of a leader if one is known.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        self.advance_term(term);
        self.role = Role::Follower { leader };
        self.reset_election_timeout();
    }
}
