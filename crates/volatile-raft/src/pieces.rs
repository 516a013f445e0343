//! Messages that are longer than a datagram, cut into pieces and put together again.

use std::collections::BTreeMap;

/// What one datagram bears of a message.
pub const MAX_BYTES: usize = 1000;
/// The longest message, in pieces: more is nonsense.
const MAX_FRAGMENTS: u16 = 1024;
/// So many messages of one sender are put together at a time; the oldest gives way.
const MAX_OPEN: usize = 8;

/// A message in pieces, each with its place and how many there are.
pub fn cut(message: &[u8]) -> impl Iterator<Item = (u16, u16, &[u8])> {
    let of = message.len().div_ceil(MAX_BYTES).max(1) as u16;
    (0..of).zip(message.chunks(MAX_BYTES)).map(move |(at, piece)| (at, of, piece))
}

/// The pieces of one sender's messages that have come.
#[derive(Default)]
pub struct Desk {
    open: BTreeMap<u32, Vec<Option<Vec<u8>>>>,
}

impl Desk {
    /// A piece has come; the message, if it was the last that lacked.
    pub fn came(&mut self, number: u32, at: u16, of: u16, piece: &[u8]) -> Option<Vec<u8>> {
        if of == 1 {
            return Some(piece.to_vec());
        }
        if at >= of || of > MAX_FRAGMENTS {
            return None;
        }
        let pieces = self.open.entry(number).or_insert_with(|| vec![None; of.into()]);
        // Another message by the same number: a sender that errs.
        *pieces.get_mut(usize::from(at))? = Some(piece.to_vec());
        if pieces.iter().all(Option::is_some) {
            return Some(self.open.remove(&number)?.into_iter().flatten().flatten().collect());
        }
        while self.open.len() > MAX_OPEN {
            self.open.pop_first();
        }
        None
    }
}
