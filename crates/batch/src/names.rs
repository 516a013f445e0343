//! The ids of batch jobs and of their items.

use std::fmt;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::codec::{malformed, put_bytes, put_varint, take_text, take_varint_as};

/// The maximum length of the id of a job or an item, in bytes. These ids are sent in headers and paths.
pub const MAX_ID_BYTES: usize = 128;

/// The id that a client chose for its batch job: 1 to [`MAX_ID_BYTES`] visible ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(Box<str>);

impl JobId {
    /// Creates the id, or returns `None` if `name` is not a valid one.
    pub fn new(name: &str) -> Option<JobId> {
        is_valid_id(name).then(|| JobId(name.into()))
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}

/// Whether the text is a valid id, which can be sent in a header and in a path.
pub(crate) fn is_valid_id(text: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

impl SerBin for JobId {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_bytes(out, self.0.as_bytes());
    }
}

impl DeBin for JobId {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<JobId, DeBinErr> {
        let start = *offset;
        JobId::new(take_text(offset, bytes)?).ok_or_else(|| malformed(start, 0, bytes))
    }
}

/// The index of an item in its job's submission, from 0. It differs from the position of the item's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemIndex(pub u16);

impl ItemIndex {
    /// The index of the item in a slice of all items.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }

    /// Creates the index of an item. Each index is below [`MAX_ITEMS`](crate::MAX_ITEMS), so it always fits.
    pub(crate) fn from_usize(index: usize) -> ItemIndex {
        ItemIndex(u16::try_from(index).unwrap_or(u16::MAX))
    }
}

impl SerBin for ItemIndex {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_varint(out, u64::from(self.0));
    }
}

impl DeBin for ItemIndex {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<ItemIndex, DeBinErr> {
        take_varint_as(offset, bytes).map(ItemIndex)
    }
}
