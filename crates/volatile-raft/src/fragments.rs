//! Splitting of messages into fragments that fit a datagram, and their reassembly.

use std::collections::BTreeMap;

/// The size of the part of a message in one fragment, in bytes, at most; the datagram then fits the MTU of any link.
const MAX_FRAGMENT_BYTES: usize = 1000;
/// A receiver drops messages of more fragments than this.
const MAX_FRAGMENTS: u16 = 1024;
/// The number of incomplete messages that a receiver holds for one sender, at most; it drops the one with the lowest id
/// when there are more.
const MAX_INCOMPLETE_MESSAGES: usize = 8;

/// A part of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fragment<'a> {
    /// The position of the fragment in the message, from zero.
    pub(crate) index: u16,
    /// The number of fragments of the message.
    pub(crate) count: u16,
    pub(crate) bytes: &'a [u8],
}

/// Splits a message into its fragments, in order.
pub(crate) fn split(message: &[u8]) -> impl Iterator<Item = Fragment<'_>> {
    let count = message.len().div_ceil(MAX_FRAGMENT_BYTES).max(1) as u16;
    let chunks = (0..count).zip(message.chunks(MAX_FRAGMENT_BYTES));
    chunks.map(move |(index, bytes)| Fragment { index, count, bytes })
}

/// Reassembles the messages of one sender.
#[derive(Default)]
pub(crate) struct Reassembler {
    /// The fragments received so far of each incomplete message, by message id.
    incomplete: BTreeMap<u32, Vec<Option<Vec<u8>>>>,
}

impl Reassembler {
    /// Adds a fragment. Returns the message if the fragment completes it.
    pub(crate) fn add(&mut self, message_id: u32, fragment: Fragment<'_>) -> Option<Vec<u8>> {
        let Fragment { index, count, bytes } = fragment;
        if count == 1 {
            return Some(bytes.to_vec());
        }
        if index >= count || count > MAX_FRAGMENTS {
            return None;
        }
        let fragments = self.incomplete.entry(message_id).or_insert_with(|| vec![None; count.into()]);
        // The index is out of range if the sender used the id for a message of fewer fragments before.
        *fragments.get_mut(usize::from(index))? = Some(bytes.to_vec());
        if fragments.iter().all(Option::is_some) {
            return Some(self.incomplete.remove(&message_id)?.into_iter().flatten().flatten().collect());
        }
        while self.incomplete.len() > MAX_INCOMPLETE_MESSAGES {
            self.incomplete.pop_first();
        }
        None
    }
}
