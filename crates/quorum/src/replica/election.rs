//! Elections: pre-votes, votes, and what a replica may grant.

use std::collections::BTreeSet;

use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;

use super::Replica;
use crate::ids::{Index, Position, ReplicaId, Term};
use crate::message::{Body, Candidacy, VoteReply};
use crate::role::Role;

impl Replica {
    /// Asks whether an election has a chance, which promises nothing and disturbs nobody.
    pub(super) fn start_pre_vote(&mut self) {
        let granted = BTreeSet::from([self.identity]);
        let decided = self.group().decides(|voter| granted.contains(&voter));
        self.role = Role::PreCandidate { granted };
        self.put_off_question();
        if decided {
            self.start_vote(false);
            return;
        }
        let candidacy = Candidacy { last: self.log.last(), handed_over: false };
        self.ask_others(self.hard.term.next(), Body::PreVote(candidacy));
    }

    /// Stands in the next term.
    pub(super) fn start_vote(&mut self, handed_over: bool) {
        self.adopt(self.hard.term.next());
        self.hard.voted = Some(self.identity);
        let granted = BTreeSet::from([self.identity]);
        let decided = self.group().decides(|voter| granted.contains(&voter));
        self.role = Role::Candidate { granted };
        self.put_off_election();
        if decided {
            self.become_leader();
            return;
        }
        let candidacy = Candidacy { last: self.log.last(), handed_over };
        self.ask_others(self.hard.term, Body::Vote(candidacy));
    }

    /// A question that some refuse because they heard of the leader a little later is put again soon.
    fn put_off_question(&mut self) {
        let election_min = self.timing.election_min;
        let wait = self.rng.random_range(election_min.nanos() / 2..=election_min.nanos());
        self.election_at = self.now + Duration::from_nanos(wait);
    }

    fn ask_others(&mut self, term: Term, body: Body) {
        let others: Vec<ReplicaId> =
            self.group().members().filter(|member| *member != self.identity).collect();
        for other in others {
            self.send(other, term, body.clone());
        }
    }

    pub(super) fn receive_pre_vote(&mut self, from: ReplicaId, term: Term, candidacy: Candidacy) {
        let granted = term > self.hard.term && !self.hears_leader() && self.would_vote(from, candidacy.last);
        let answered = if granted { term } else { self.hard.term };
        self.send(from, answered, Body::PreVoteReply(VoteReply { granted }));
    }

    pub(super) fn receive_pre_vote_reply(&mut self, from: ReplicaId, term: Term, reply: VoteReply) {
        if !reply.granted {
            self.follow_if_newer(term);
            return;
        }
        if term != self.hard.term.next() {
            return;
        }
        let Role::PreCandidate { granted } = &mut self.role else { return };
        granted.insert(from);
        let granted = granted.clone();
        if self.group().decides(|voter| granted.contains(&voter)) {
            self.start_vote(false);
        }
    }

    pub(super) fn receive_vote(&mut self, from: ReplicaId, term: Term, candidacy: Candidacy) {
        if term < self.hard.term {
            self.send(from, self.hard.term, Body::VoteReply(VoteReply { granted: false }));
            return;
        }
        if !candidacy.handed_over && self.hears_leader() {
            return;
        }
        self.follow_if_newer(term);
        let free = self.hard.voted.is_none_or(|voted| voted == from);
        let granted = free && self.leader_hint().is_none() && self.would_vote(from, candidacy.last);
        if granted && self.hard.voted.is_none() {
            self.hard.voted = Some(from);
            self.output.hard = true;
            self.follow(term, None);
        }
        self.send(from, self.hard.term, Body::VoteReply(VoteReply { granted }));
    }

    pub(super) fn receive_vote_reply(&mut self, from: ReplicaId, term: Term, reply: VoteReply) {
        if term != self.hard.term || !reply.granted {
            self.follow_if_newer(term);
            return;
        }
        let Role::Candidate { granted } = &mut self.role else { return };
        granted.insert(from);
        let granted = granted.clone();
        if self.group().decides(|voter| granted.contains(&voter)) {
            self.become_leader();
        }
    }

    pub(super) fn receive_take_over(&mut self, from: ReplicaId, term: Term) {
        let told_by_leader = matches!(self.role, Role::Follower { leader } if leader == Some(from));
        if term == self.hard.term && told_by_leader && self.may_stand() {
            self.start_vote(true);
        }
    }

    pub(super) fn follow_if_newer(&mut self, term: Term) {
        if term > self.hard.term {
            self.follow(term, None);
        }
    }

    /// Whether it must not help anybody against a leader that may hold a lease, or may have one itself.
    fn hears_leader(&self) -> bool {
        let heard = match self.leadership() {
            Some(_) => self.quorum_contact(),
            None => Some(self.heard),
        };
        heard.is_some_and(|heard| self.now < heard + self.timing.election_min)
    }

    /// Whether the candidate's log may hold everything that is committed. A replica without any entry has nothing to
    /// compare, so it only learns.
    fn would_vote(&self, candidate: ReplicaId, last: Position) -> bool {
        let own = self.log.last();
        own.index > Index(0) && last >= own && !(last == own && self.was_removed(candidate))
    }

    /// Whether it is decided that a replica does not belong to the group, as far as the own log goes.
    fn was_removed(&self, replica: ReplicaId) -> bool {
        self.commit >= self.log.group_index() && !self.group().names(replica)
    }

    /// Notes a sign of a living leader.
    pub(super) fn note_leader(&mut self, term: Term, leader: ReplicaId) {
        self.heard = self.now;
        self.follow(term, Some(leader));
    }

    /// When a quorum was last asked something that it has answered since.
    pub(super) fn quorum_contact(&self) -> Option<Instant> {
        let leadership = self.leadership()?;
        self.group().agreed(|voter| {
            if voter == self.identity {
                return Some(self.now);
            }
            leadership.followers.get(&voter).and_then(|follower| follower.answered)
        })
    }
}
