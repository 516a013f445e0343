//! Batches of commands, and the work that `raft` hands out: messages to send and entries to apply.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, Message, MessageType};

use super::Voter;
use crate::datagram::{Batch, Datagram};
use crate::fragments::split;
use crate::group::{Group, PendingBatch};
use crate::incarnation::Incarnation;
use crate::{Host, StateMachine};

/// Where time alone changes the state, an entry is committed at this interval.
const CLOCK_INTERVAL: Duration = Duration::from_millis(100);

/// Commands that come within so long of the last entry go into one: a few round trips of one site, and little of what
/// anybody waits. Otherwise voters on short round trips would be busy with an entry for each command.
pub(super) const GATHER_DURATION: Duration = Duration::from_millis(2);

/// The commands of one entry, at most: a larger entry takes many datagrams, and the loss of one loses all of them.
const MAX_BATCH_COMMANDS: usize = 40;

/// Messages of more fragments than this, such as snapshots, are sent twice, as the loss of one fragment loses them.
const MAX_FRAGMENTS_SENT_ONCE: u16 = 2;

impl<M: StateMachine, H: Host<M>> Voter<M, H> {
    /// Proposes batches, one at a time: each carries the time that passed since the one before was applied here.
    pub(super) fn propose_batches(&mut self, now: Instant) {
        while let Some(data) = self.next_batch(now) {
            let Some(group) = &mut self.group else { return };
            group.pending_batch = Some(PendingBatch { term: group.node.raft.term, proposed_at: now });
            if group.node.propose(Vec::new(), data).is_err() {
                return;
            }
            self.process_ready(now);
        }
    }

    /// The next batch, if one is due on this leader.
    fn next_batch(&mut self, now: Instant) -> Option<Vec<u8>> {
        let group = self.group.as_ref().filter(|group| group.is_leader() && group.is_idle())?;
        let since = now.since(group.last_applied_at);
        let needs_clock = since >= CLOCK_INTERVAL && group.node.store().machine.borrow().depends_on_time();
        let has_gathered = since >= GATHER_DURATION || self.pending.len() >= MAX_BATCH_COMMANDS;
        if !has_gathered || (self.pending.is_empty() && !needs_clock) {
            return None;
        }
        let commands = self.pending.drain(..self.pending.len().min(MAX_BATCH_COMMANDS)).collect();
        postcard::to_allocvec(&Batch { elapsed_us: since.nanos() / 1000, commands }).ok()
    }

    /// Processes what `raft` wants done until there is nothing more. The storage is memory, so persisting can't fail
    /// other than by a fault of `raft` itself, and its results are dropped.
    pub(super) fn process_ready(&mut self, now: Instant) {
        while let Some(group) = self.group.as_mut().filter(|group| group.node.has_ready()) {
            let (messages, committed) = persist_ready(group, now);
            self.apply(now, committed);
            let Some(group) = &mut self.group else { return };
            group.node.advance_apply();
            let _ = group.node.store().compact(group.node.raft.raft_log.applied);
            messages.iter().for_each(|message| self.send(now, message));
        }
        if let Some(leader) = self.group.as_mut().and_then(|group| group.update_leader(now)) {
            self.host.leader_changed(leader.voter, leader.term);
        }
    }

    fn apply(&mut self, now: Instant, entries: Vec<Entry>) {
        let Some(group) = &mut self.group else { return };
        let is_leader = group.is_leader();
        for entry in entries {
            if entry.get_entry_type() == EntryType::EntryConfChangeV2 {
                apply_membership_change(group, &entry);
                continue;
            }
            let outcomes = apply_batch(group, now, &entry);
            if is_leader {
                outcomes.into_iter().for_each(|outcome| self.host.applied(outcome));
            }
        }
    }

    fn send(&mut self, now: Instant, message: &Message) {
        let receiver = Incarnation(message.to).voter();
        // A former incarnation of this voter may still be a member.
        let Some(group) = self.group.as_mut().filter(|_| receiver != self.index) else { return };
        if message.get_msg_type() == MessageType::MsgSnapshot {
            group.snapshots_sent.insert(message.to, now);
        }
        let Ok(bytes) = message.write_to_bytes() else { return };
        self.last_message_id = self.last_message_id.wrapping_add(1);
        for fragment in split(&bytes) {
            let datagram = Datagram::Fragment {
                incarnation: self.incarnation,
                group: group.id,
                message_id: self.last_message_id,
                index: fragment.index,
                count: fragment.count,
                bytes: fragment.bytes.to_vec(),
            };
            let Ok(datagram) = postcard::to_allocvec(&datagram) else { return };
            let copies = if fragment.count > MAX_FRAGMENTS_SENT_ONCE { 2 } else { 1 };
            (0..copies).for_each(|_| self.host.send(receiver, &datagram));
        }
    }
}

/// Writes a `Ready` of `raft` to the storage. Returns its messages and its committed entries.
fn persist_ready<M: StateMachine>(group: &mut Group<M>, now: Instant) -> (Vec<Message>, Vec<Entry>) {
    let mut ready = group.node.ready();
    let mut messages = ready.take_messages();
    let storage = group.node.mut_store();
    if ready.snapshot().metadata.as_ref().is_some_and(|metadata| metadata.index != 0) {
        let _ = storage.install_snapshot(ready.snapshot().clone());
        group.last_applied_at = now;
    }
    let mut committed = ready.take_committed_entries();
    let _ = storage.append(ready.entries());
    if let Some(hard_state) = ready.hs() {
        storage.set_hard_state(hard_state.clone());
    }
    messages.extend(ready.take_persisted_messages());
    let mut light = group.node.advance(ready);
    if let Some(index) = light.commit_index() {
        group.node.mut_store().set_commit(index);
    }
    messages.extend(light.take_messages());
    committed.extend(light.take_committed_entries());
    (messages, committed)
}

fn apply_membership_change<M: StateMachine>(group: &mut Group<M>, entry: &Entry) {
    let mut change = ConfChangeV2::default();
    if change.merge_from_bytes(&entry.data).is_ok()
        && let Ok(conf_state) = group.node.apply_conf_change(&change)
    {
        group.node.store().set_conf_state(conf_state);
    }
}

/// Applies the batch of an entry. The first entry of a leader's term is empty and has none.
fn apply_batch<M: StateMachine>(group: &mut Group<M>, now: Instant, entry: &Entry) -> Vec<M::Outcome> {
    let Ok(batch) = postcard::from_bytes::<Batch<M::Command>>(&entry.data) else { return Vec::new() };
    let elapsed = Duration::from_nanos(batch.elapsed_us.saturating_mul(1000));
    let outcomes = group.node.store().machine.borrow_mut().apply(elapsed, batch.commands);
    // The time of batches that follow each other without a pause must not be lost: that of an own batch counts from its
    // proposal, before which everything that it answers was asked.
    let own = group.pending_batch.take_if(|batch| batch.term == entry.term);
    group.last_applied_at = own.map_or(now, |batch| batch.proposed_at);
    outcomes
}
