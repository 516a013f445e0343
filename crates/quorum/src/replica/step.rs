//! The inputs of the state machine: messages of peers and time.

use grebeusher_time::Instant;

use super::Replica;
use super::role::Role;
use crate::ids::{ReplicaId, Term};
use crate::message::{Body, Message};

/// The wake-up time of a replica that only waits for messages.
const NEVER: Instant = Instant(u64::MAX);

impl Replica {
    /// Processes a message. It drops a message for another replica, of another cluster, or with implausible numbers or
    /// lists.
    pub fn receive(&mut self, now: Instant, from: ReplicaId, message: Message) {
        self.advance(now);
        let is_for_this_replica =
            message.to == self.identity && message.from == from && from != self.identity;
        if !is_for_this_replica || !message.is_plausible() || !self.shares_cluster_id(&message) {
            return;
        }
        let Message { term, body, cluster_id, .. } = message;
        self.adopt_cluster_id(cluster_id);
        match body {
            Body::RequestPreVote(request) => self.receive_pre_vote(from, term, request),
            Body::PreVoteResponse(response) => self.receive_pre_vote_response(from, term, response),
            Body::RequestVote(request) => self.receive_vote(from, term, request),
            Body::VoteResponse(response) => self.receive_vote_response(from, term, response),
            Body::Append(append) => self.receive_append(from, term, append),
            Body::AppendResponse(response) => self.receive_append_response(from, term, response),
            Body::SnapshotChunk(chunk) => self.receive_chunk(from, term, chunk),
            Body::SnapshotChunkResponse(response) => self.receive_chunk_response(from, term, response),
            Body::TimeoutNow => self.receive_timeout_now(from, term),
        }
    }

    /// Sends heartbeats, starts an election, or steps down as leader without a quorum, if that is due.
    pub fn tick(&mut self, now: Instant) {
        self.advance(now);
        match &self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if self.is_promotable() && self.now >= self.election_deadline => self.pre_campaign(),
            _ => {}
        }
    }

    /// When [`Replica::tick`] has to be called next.
    pub fn next_wake(&self) -> Instant {
        match &self.role {
            Role::Leader(leader_state) => leader_state.next_heartbeat,
            _ if self.is_promotable() => self.election_deadline,
            _ => NEVER,
        }
    }

    /// Advances the replica's time. It never goes back, even if the caller's time does.
    pub(super) fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
    }

    /// Whether a message is of this replica's cluster. A replica that belongs to no cluster yet accepts messages of
    /// leaders only.
    fn shares_cluster_id(&self, message: &Message) -> bool {
        match self.hard_state.cluster_id {
            Some(cluster_id) => message.cluster_id == cluster_id,
            None => matches!(message.body, Body::Append(_) | Body::SnapshotChunk(_)),
        }
    }

    /// Queues a message to be sent after the next sync.
    pub(super) fn send(&mut self, to: ReplicaId, term: Term, body: Body) {
        let message = self.message(to, term, body);
        self.output.messages.push((to, message));
    }

    pub(super) fn message(&self, to: ReplicaId, term: Term, body: Body) -> Message {
        let cluster_id = self.hard_state.cluster_id.unwrap_or_default();
        Message { from: self.identity, to, cluster_id, term, body }
    }
}
