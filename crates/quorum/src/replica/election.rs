//! Elections: pre-votes, votes, and what a replica may grant.

use std::collections::BTreeSet;

use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;

use super::Replica;
use super::role::Role;
use crate::ids::{Index, Position, ReplicaId, Term};
use crate::message::{Body, VoteRequest, VoteResponse};
use crate::timing::Timing;

/// Why a candidate asks for votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CampaignKind {
    /// Its election timeout ran out. Voters that hear a leader ignore the request.
    Timeout,
    /// The leader gave up its lease for it, so no voter has to wait for the end of that.
    LeadershipTransfer,
}

impl Replica {
    /// Starts a pre-vote: no term is advanced and no vote recorded, so that a replica that can't win disturbs no leader.
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

    /// A pre-vote is retried sooner than an election: voters may have rejected it only because they heard of the leader a
    /// little later.
    fn reset_pre_vote_timeout(&mut self) {
        let election_timeout_min = self.timing.election_timeout_min;
        let wait = self.rng.random_range(election_timeout_min.nanos() / 2..=election_timeout_min.nanos());
        self.election_deadline = self.now + Duration::from_nanos(wait);
    }

    fn send_to_peers(&mut self, term: Term, body: Body) {
        let others: Vec<ReplicaId> =
            self.group().members().filter(|member| *member != self.identity).collect();
        for other in others {
            self.send(other, term, body.clone());
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
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = free && self.leader_hint().is_none() && self.can_vote_for(from, request.last);
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

    /// Whether a leader, possibly this replica, may still hold a lease, so that no other candidate may be helped.
    fn is_within_leader_lease(&self) -> bool {
        let contact = match self.leader_state() {
            Some(_) => self.quorum_contact(),
            None => Some(self.last_leader_contact),
        };
        contact.is_some_and(|contact| self.now < contact + self.timing.election_timeout_min)
    }

    /// Whether the candidate's log may hold everything that is committed. A replica without any entry has
    /// nothing to compare, so it never votes.
    fn can_vote_for(&self, candidate: ReplicaId, last: Position) -> bool {
        let own = self.log.last();
        own.index > Index(0) && last >= own && !(last == own && self.was_removed(candidate))
    }

    /// Whether the committed group does not contain a replica, as far as this log goes.
    fn was_removed(&self, replica: ReplicaId) -> bool {
        self.commit >= self.log.group_index() && !self.group().contains(replica)
    }

    /// Follows a leader that was just heard of.
    pub(super) fn become_follower_of(&mut self, term: Term, leader: ReplicaId) {
        self.last_leader_contact = self.now;
        self.become_follower(term, Some(leader));
    }

    /// The latest time by which this leader had sent messages that a quorum has answered since.
    pub(super) fn quorum_contact(&self) -> Option<Instant> {
        let leader_state = self.leader_state()?;
        self.group().reached_by_quorum(|voter| {
            if voter == self.identity {
                return Some(self.now);
            }
            leader_state.followers.get(&voter).and_then(|follower| follower.last_response)
        })
    }

    /// Whether this replica may become leader: it is in the newest group, or its removal is not committed yet. In the latter
    /// case it may be the only replica with the entry that removes it, and has to commit that first.
    pub(super) fn is_promotable(&self) -> bool {
        let is_undecided = self.log.group_index() > self.commit;
        self.group().contains(self.identity)
            || (is_undecided && self.log.previous_group_contains(self.identity))
    }

    pub(super) fn reset_election_timeout(&mut self) {
        let Timing { election_timeout_min, election_timeout_max, .. } = self.timing;
        let extra =
            self.rng.random_range(0..=election_timeout_max.saturating_sub(election_timeout_min).nanos());
        self.election_deadline = self.now + election_timeout_min + Duration::from_nanos(extra);
    }

    /// Enters a newer term, in which this replica has not voted.
    pub(super) fn advance_term(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.output.hard_state_changed = true;
            self.incoming_snapshot = None;
        }
    }

    /// Becomes a follower of a leader, or of none that is known yet.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        self.advance_term(term);
        self.role = Role::Follower { leader };
        self.reset_election_timeout();
    }
}
