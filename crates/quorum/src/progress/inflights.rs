//! The messages with entries that were sent to a follower and are not answered yet.

use std::collections::VecDeque;

use crate::ids::Index;

/// The size of the entries in flight to one follower, in bytes, from which on no more messages are sent.
const MAX_INFLIGHT_BYTES: usize = 192 * 1024;

/// The largest number of messages with entries in flight to one follower.
const MAX_INFLIGHT_MESSAGES: usize = 64;

/// A message with entries that has not been answered.
#[derive(Clone, Copy, Debug, Hash)]
struct Inflight {
    /// The index of the last entry in the message.
    last: Index,
    /// The size of the entries in the message, in bytes.
    bytes: usize,
}

/// The messages in flight, in the order of their entries.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Inflights {
    messages: VecDeque<Inflight>,
    /// The size of the entries in all `messages`, in bytes.
    bytes: usize,
}

impl Inflights {
    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Whether no more messages may be sent until some are answered.
    pub(super) fn is_full(&self) -> bool {
        self.bytes >= MAX_INFLIGHT_BYTES || self.messages.len() >= MAX_INFLIGHT_MESSAGES
    }

    /// Records that a message was sent whose last entry is `last` and whose entries have `bytes` bytes.
    pub(super) fn push(&mut self, last: Index, bytes: usize) {
        self.messages.push_back(Inflight { last, bytes });
        self.bytes += bytes;
    }

    /// Removes the messages whose entries the follower has all synced.
    pub(super) fn free_to(&mut self, matched: Index) {
        while let Some(message) = self.messages.pop_front_if(|message| message.last <= matched) {
            self.bytes -= message.bytes;
        }
    }
}
