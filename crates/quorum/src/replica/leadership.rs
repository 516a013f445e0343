//! The leader's side: its followers' answers, what is decided by them, its lease, and its end.

use std::collections::BTreeMap;

use grebeusher_time::Instant;

use super::Replica;
use crate::entry::Payload;
use crate::ids::{Index, ReplicaId, Term};
use crate::message::{AppendReply, ChunkReply, Outcome, Stamp};
use crate::progress::Progress;
use crate::role::{Leadership, Role};

impl Replica {
    pub(super) fn become_leader(&mut self) {
        let uncommitted = self.log.bytes_between(self.commit, self.log.last().index);
        self.role = Role::Leader(Box::new(Leadership {
            since: self.now,
            opening: self.log.last().index.next(),
            followers: BTreeMap::new(),
            next_beat: self.now + self.timing.heartbeat,
            uncommitted,
            change: None,
            hand_over: None,
            lease_given_up: false,
        }));
        self.enlist_members();
        self.append(self.hard.term, Payload::Opening);
    }

    /// Starts to follow the progress of all that the group names.
    pub(super) fn enlist_members(&mut self) {
        let members: Vec<ReplicaId> = self.group().members().collect();
        self.enlist(&members);
    }

    /// Starts to follow the progress of these replicas.
    pub(super) fn enlist(&mut self, replicas: &[ReplicaId]) {
        let last = self.log.last().index;
        let identity = self.identity;
        let Some(leadership) = self.leadership_mut() else { return };
        for replica in replicas.iter().filter(|replica| **replica != identity) {
            leadership.followers.entry(*replica).or_insert_with(|| Progress::unknown(last));
        }
    }

    /// Whether reads may be answered from the application's state: this replica leads the partition, has committed an entry
    /// of its own term, and a quorum has answered what was sent within the lease.
    pub fn lease_holds(&self, now: Instant) -> bool {
        let Some(leadership) = self.leadership() else { return false };
        let settled = self.commit >= leadership.opening && !leadership.lease_given_up;
        let now = now.max(self.now);
        let alone = self.group().members().all(|member| member == self.identity);
        let contact = self.quorum_contact();
        settled && (alone || contact.is_some_and(|contact| now < contact + self.timing.lease))
    }

    /// Up to where each voter has the log on its disk, as far as this leader knows; nothing where it is none.
    pub fn copies(&self) -> Vec<(ReplicaId, Index)> {
        let Some(leadership) = self.leadership() else { return Vec::new() };
        let synced = |voter: ReplicaId| match leadership.followers.get(&voter) {
            _ if voter == self.identity => self.output.synced,
            Some(follower) => follower.matched,
            None => Index(0),
        };
        self.group().members().map(|voter| (voter, synced(voter))).collect()
    }

    pub(super) fn tick_leader(&mut self) {
        if self.lost_quorum() {
            self.follow(self.hard.term, None);
            return;
        }
        self.tick_change();
        self.tick_hand_over();
        let (now, heartbeat) = (self.now, self.timing.heartbeat);
        let Some(leadership) = self.leadership_mut() else { return };
        if now < leadership.next_beat {
            return;
        }
        leadership.next_beat = now + heartbeat;
        leadership.followers.values_mut().for_each(Progress::beat);
    }

    /// Whether no quorum has answered for so long that the others may have a new leader.
    fn lost_quorum(&self) -> bool {
        let Some(leadership) = self.leadership() else { return false };
        let contact = self.quorum_contact().map_or(leadership.since, |contact| contact.max(leadership.since));
        self.now > contact + self.timing.election_max
    }

    pub(super) fn receive_append_reply(&mut self, from: ReplicaId, term: Term, reply: AppendReply) {
        if !self.note_reply(from, term, reply.sent) {
            return;
        }
        let last = self.log.last().index;
        let Some(follower) = self.follower_mut(from) else { return };
        match reply.outcome {
            Outcome::Matched(index) if index <= last => {
                if follower.note_matched(index) {
                    self.advance_commit();
                    self.check_change();
                    self.check_hand_over();
                }
            }
            Outcome::Conflict { refused, hint } => follower.note_conflict(refused, hint),
            Outcome::Matched(_) | Outcome::Outdated => {}
        }
    }

    pub(super) fn receive_chunk_reply(&mut self, from: ReplicaId, term: Term, reply: ChunkReply) {
        if !self.note_reply(from, term, reply.sent) {
            return;
        }
        if let Some(follower) = self.follower_mut(from) {
            follower.note_received(reply.last.index, reply.received);
        }
    }

    /// Notes that a message of this term was answered; a reply of a newer term ends the leadership.
    fn note_reply(&mut self, from: ReplicaId, term: Term, sent: Stamp) -> bool {
        self.follow_if_newer(term);
        if term != self.hard.term {
            return false;
        }
        let now = self.now;
        let Some(follower) = self.follower_mut(from) else { return false };
        if sent.moment() <= now {
            follower.note_answer(sent.moment());
        }
        true
    }

    fn follower_mut(&mut self, replica: ReplicaId) -> Option<&mut Progress> {
        self.leadership_mut()?.followers.get_mut(&replica)
    }

    /// Decides what a quorum has synced, if the leader's term wrote it: an entry of an older term may still be replaced
    /// even when a quorum has it.
    pub(super) fn advance_commit(&mut self) {
        let Some(leadership) = self.leadership() else { return };
        let agreed = self.group().agreed(|voter| {
            if voter == self.identity {
                return self.output.synced;
            }
            leadership.followers.get(&voter).map_or(Index(0), |follower| follower.matched)
        });
        if agreed > self.commit && agreed >= leadership.opening {
            let decided = self.log.bytes_between(self.commit, agreed);
            self.commit = agreed;
            if let Some(leadership) = self.leadership_mut() {
                leadership.uncommitted = leadership.uncommitted.saturating_sub(decided);
            }
            self.finish_change();
        }
    }
}
