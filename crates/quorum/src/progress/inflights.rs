//! The messages with entries that were sent to a follower and not answered yet.

use std::collections::VecDeque;

use crate::ids::Index;

/// The bytes of entries in flight to one follower above which no more messages are sent.
const MAX_INFLIGHT_BYTES: usize = 192 * 1024;

/// The messages with entries in flight to one follower, at most.
const MAX_INFLIGHT_MESSAGES: usize = 64;

/// A message with entries that has not been answered.
#[derive(Clone, Copy, Debug, Hash)]
struct Inflight {
    /// Its last entry.
    last: Index,
    bytes: usize,
}

/// The messages in flight, in the order of their entries.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Inflights {
    messages: VecDeque<Inflight>,
    /// The sum over `messages`.
    bytes: usize,
}

impl Inflights {
    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Whether no more messages may be sent now.
    pub(super) fn is_full(&self) -> bool {
        self.bytes >= MAX_INFLIGHT_BYTES || self.messages.len() >= MAX_INFLIGHT_MESSAGES
    }

    /// Records a message that was sent.
    pub(super) fn push(&mut self, last: Index, bytes: usize) {
        self.messages.push_back(Inflight { last, bytes });
        self.bytes += bytes;
    }

    /// Removes the messages whose entries have all arrived.
    pub(super) fn free_to(&mut self, matched: Index) {
        while let Some(message) = self.messages.pop_front_if(|message| message.last <= matched) {
            self.bytes -= message.bytes;
        }
    }
}
