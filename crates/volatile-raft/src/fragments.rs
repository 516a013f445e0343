//! Messages that are longer than a datagram: splitting them into fragments, and reassembly.

use std::collections::BTreeMap;

/// The bytes of a message in one fragment, so that the datagram fits the MTU of any link.
const MAX_FRAGMENT_BYTES: usize = 1000;
/// The fragments of the longest message that is accepted.
const MAX_FRAGMENTS: u16 = 1024;
/// The incomplete messages of one sender that are held; beyond that the oldest is dropped.
const MAX_INCOMPLETE: usize = 8;

/// One fragment of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fragment<'a> {
    pub(crate) index: u16,
    pub(crate) count: u16,
    pub(crate) bytes: &'a [u8],
}

/// The fragments of a message, in order.
pub(crate) fn split(message: &[u8]) -> impl Iterator<Item = Fragment<'_>> {
    let count = message.len().div_ceil(MAX_FRAGMENT_BYTES).max(1) as u16;
    let chunks = (0..count).zip(message.chunks(MAX_FRAGMENT_BYTES));
    chunks.map(move |(index, bytes)| Fragment { index, count, bytes })
}

/// The incomplete messages of one sender.
#[derive(Default)]
pub(crate) struct Reassembler {
    incomplete: BTreeMap<u32, Vec<Option<Vec<u8>>>>,
}

impl Reassembler {
    /// Adds a fragment. Returns the message once it is complete.
    pub(crate) fn add(&mut self, message_id: u32, fragment: Fragment<'_>) -> Option<Vec<u8>> {
        let Fragment { index, count, bytes } = fragment;
        if count == 1 {
            return Some(bytes.to_vec());
        }
        if index >= count || count > MAX_FRAGMENTS {
            return None;
        }
        let fragments = self.incomplete.entry(message_id).or_insert_with(|| vec![None; count.into()]);
        // There is no such place when the sender used the id for a shorter message before.
        *fragments.get_mut(usize::from(index))? = Some(bytes.to_vec());
        if fragments.iter().all(Option::is_some) {
            return Some(self.incomplete.remove(&message_id)?.into_iter().flatten().flatten().collect());
        }
        while self.incomplete.len() > MAX_INCOMPLETE {
            self.incomplete.pop_first();
        }
        None
    }
}
