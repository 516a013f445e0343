//! Proposes commands in batches, and processes each `Ready` of raft-rs: messages to send and entries to apply.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, Message, MessageType};

use super::Voter;
use crate::datagram::{Batch, Datagram};
use crate::fragments::split;
use crate::group::{Group, PendingBatch};
use crate::incarnation::Incarnation;
use crate::{Host, StateMachine};

/// While time alone changes the state, the leader proposes a batch at least at this interval, if need be without
/// commands.
const TIME_ENTRY_INTERVAL: Duration = Duration::from_millis(100);

/// The leader collects commands into one batch until this long after the previous batch, unless the batch is full
/// before. The delay is a few round trips within one site, and a small part of the time that a caller waits. Without
/// it, voters on short round trips would be busy with one entry for each command.
pub(super) const BATCHING_DELAY: Duration = Duration::from_millis(2);

/// The number of commands in one batch, at most: a larger entry takes many datagrams, and the loss of one of them loses
/// the whole message.
const MAX_BATCH_COMMANDS: usize = 40;

/// Messages of more fragments than this, such as snapshots, are sent twice, as the loss of one fragment loses the whole
/// message.
const MAX_FRAGMENTS_SENT_ONCE: u16 = 2;

impl<M: StateMachine, H: Host<M>> Voter<M, H> {
    /// Proposes the batches that are due, one at a time: each carries the time since `last_applied_at`, which the
    /// previous batch sets once it is applied.
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

    /// Returns the next batch in encoded form, if this voter is the leader and a batch is due.
    fn next_batch(&mut self, now: Instant) -> Option<Vec<u8>> {
        let group = self.group.as_ref().filter(|group| group.is_leader() && group.has_applied_log())?;
        let elapsed = now.since(group.last_applied_at);
        let needs_time_entry =
            elapsed >= TIME_ENTRY_INTERVAL && group.node.store().machine.borrow().depends_on_time();
        let is_batch_ready = elapsed >= BATCHING_DELAY || self.pending_commands.len() >= MAX_BATCH_COMMANDS;
        if !is_batch_ready || (self.pending_commands.is_empty() && !needs_time_entry) {
            return None;
        }
        let commands =
            self.pending_commands.drain(..self.pending_commands.len().min(MAX_BATCH_COMMANDS)).collect();
        postcard::to_allocvec(&Batch { elapsed_us: elapsed.nanos() / 1000, commands }).ok()
    }

    /// Processes each `Ready` of raft-rs until there is none. The storage is in memory, so writing to it fails only
    /// through a fault in raft-rs itself, and the results of the writes are ignored.
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
        // A former incarnation of this voter may still be a member; messages to it are dropped.
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

/// Writes a `Ready` of raft-rs to the storage. Returns the messages to send and the committed entries to apply.
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
    let mut light_ready = group.node.advance(ready);
    if let Some(index) = light_ready.commit_index() {
        group.node.mut_store().set_commit(index);
    }
    messages.extend(light_ready.take_messages());
    committed.extend(light_ready.take_committed_entries());
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

/// Applies the batch of an entry and returns its outcomes. The first entry of a leader's term is empty and has no
/// batch.
fn apply_batch<M: StateMachine>(group: &mut Group<M>, now: Instant, entry: &Entry) -> Vec<M::Outcome> {
    let Ok(batch) = postcard::from_bytes::<Batch<M::Command>>(&entry.data) else { return Vec::new() };
    let elapsed = Duration::from_nanos(batch.elapsed_us.saturating_mul(1000));
    let outcomes = group.node.store().machine.borrow_mut().apply(elapsed, batch.commands);
    // The time between the proposal of a batch and its application must not be lost when batches follow each other
    // without a pause. After a batch that this voter proposed, the time is therefore counted from its proposal; all
    // commands in it were issued before that.
    let own_batch = group.pending_batch.take_if(|batch| batch.term == entry.term);
    group.last_applied_at = own_batch.map_or(now, |batch| batch.proposed_at);
    outcomes
}
