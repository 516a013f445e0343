//! The leader's side: the responses of followers, the commit index that results from them, the lease, and stepping
//! down.

use std::collections::BTreeMap;

use grebeusher_time::Instant;

use super::Replica;
use super::role::{LeaderState, Role};
use crate::entry::Payload;
use crate::ids::{Index, ReplicaId, Term};
use crate::message::{AppendOutcome, AppendResponse, LeaderTimestamp, SnapshotChunkResponse};
use crate::progress::Progress;

impl Replica {
    pub(super) fn become_leader(&mut self) {
        let uncommitted = self.log.bytes_between(self.commit, self.log.last().index);
        self.role = Role::Leader(Box::new(LeaderState {
            since: self.now,
            term_start: self.log.last().index.next(),
            followers: BTreeMap::new(),
            next_heartbeat: self.now + self.timing.heartbeat_interval,
            uncommitted,
            change: None,
            leadership_transfer: None,
            lease_revoked: false,
        }));
        self.track_members();
        self.append(self.hard_state.term, Payload::Noop);
    }

    /// Tracks the progress of all members of the group.
    pub(super) fn track_members(&mut self) {
        let members: Vec<ReplicaId> = self.group().members().collect();
        self.track_progress(&members);
    }

    /// Tracks the progress of these replicas in addition to those tracked already.
    pub(super) fn track_progress(&mut self, replicas: &[ReplicaId]) {
        let last = self.log.last().index;
        let identity = self.identity;
        let Some(leader_state) = self.leader_state_mut() else { return };
        for replica in replicas.iter().filter(|replica| **replica != identity) {
            leader_state.followers.entry(*replica).or_insert_with(|| Progress::unknown(last));
        }
    }

    /// Whether reads may be answered from the application's state. They may if this replica leads the partition, it has
    /// committed an entry of its own term, and a quorum has answered messages that it sent within `lease_duration`.
    pub fn lease_holds(&self, now: Instant) -> bool {
        let Some(leader_state) = self.leader_state() else { return false };
        let can_read = self.commit >= leader_state.term_start && !leader_state.lease_revoked;
        let now = now.max(self.now);
        let is_sole_member = self.group().members().all(|member| member == self.identity);
        let contact = self.quorum_contact();
        can_read
            && (is_sole_member || contact.is_some_and(|contact| now < contact + self.timing.lease_duration))
    }

    /// The index up to which each voter has synced the log, as far as this leader knows; empty on other replicas.
    pub fn match_indexes(&self) -> Vec<(ReplicaId, Index)> {
        let Some(leader_state) = self.leader_state() else { return Vec::new() };
        let synced_index = |voter: ReplicaId| match leader_state.followers.get(&voter) {
            _ if voter == self.identity => self.output.synced,
            Some(follower) => follower.matched,
            None => Index(0),
        };
        self.group().members().map(|voter| (voter, synced_index(voter))).collect()
    }

    pub(super) fn tick_leader(&mut self) {
        if self.lost_quorum() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.tick_change();
        self.tick_leadership_transfer();
        let (now, heartbeat) = (self.now, self.timing.heartbeat_interval);
        let Some(leader_state) = self.leader_state_mut() else { return };
        if now < leader_state.next_heartbeat {
            return;
        }
        leader_state.next_heartbeat = now + heartbeat;
        leader_state.followers.values_mut().for_each(Progress::tick_heartbeat);
    }

    /// Whether no quorum has answered for so long that another leader may have been elected.
    fn lost_quorum(&self) -> bool {
        let Some(leader_state) = self.leader_state() else { return false };
        let contact =
            self.quorum_contact().map_or(leader_state.since, |contact| contact.max(leader_state.since));
        self.now > contact + self.timing.election_timeout_max
    }

    pub(super) fn receive_append_response(&mut self, from: ReplicaId, term: Term, response: AppendResponse) {
        if !self.accept_response(from, term, response.sent) {
            return;
        }
        let last = self.log.last().index;
        let Some(follower) = self.follower_mut(from) else { return };
        match response.outcome {
            AppendOutcome::Matched(index) if index <= last => {
                if follower.record_match(index) {
                    self.advance_commit();
                    self.check_change();
                    self.maybe_send_timeout_now();
                }
            }
            AppendOutcome::Conflict { rejected, hint } => follower.record_rejection(rejected, hint),
            AppendOutcome::Matched(_) | AppendOutcome::StaleTerm => {}
        }
    }

    pub(super) fn receive_chunk_response(
        &mut self,
        from: ReplicaId,
        term: Term,
        response: SnapshotChunkResponse,
    ) {
        if !self.accept_response(from, term, response.sent) {
            return;
        }
        if let Some(follower) = self.follower_mut(from) {
            follower.record_snapshot_received(response.last.index, response.received);
        }
    }

    /// Records that a message of this term was answered, and returns whether the response is of this term and from a
    /// tracked replica. A response of a newer term makes this replica a follower.
    fn accept_response(&mut self, from: ReplicaId, term: Term, sent: LeaderTimestamp) -> bool {
        self.step_down_if_newer(term);
        if term != self.hard_state.term {
            return false;
        }
        let now = self.now;
        let Some(follower) = self.follower_mut(from) else { return false };
        if sent.instant() <= now {
            follower.record_response(sent.instant());
        }
        true
    }

    fn follower_mut(&mut self, replica: ReplicaId) -> Option<&mut Progress> {
        self.leader_state_mut()?.followers.get_mut(&replica)
    }

    /// Commits the entries that a quorum has synced, once these include one of the leader's own term. An entry of an
    /// older term may still be replaced even when a quorum has it.
    pub(super) fn advance_commit(&mut self) {
        let Some(leader_state) = self.leader_state() else { return };
        let quorum_index = self.group().reached_by_quorum(|voter| {
            if voter == self.identity {
                return self.output.synced;
            }
            leader_state.followers.get(&voter).map_or(Index(0), |follower| follower.matched)
        });
        if quorum_index > self.commit && quorum_index >= leader_state.term_start {
            let committed_bytes = self.log.bytes_between(self.commit, quorum_index);
            self.commit = quorum_index;
            if let Some(leader_state) = self.leader_state_mut() {
                leader_state.uncommitted = leader_state.uncommitted.saturating_sub(committed_bytes);
            }
            self.advance_group_change();
        }
    }
}
