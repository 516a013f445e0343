//! The names of a batch job and of its items.

use std::fmt;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::codec::{malformed, put_bytes, put_number, take_small, take_text};

/// The longest name of a job or an item, in bytes. They travel in headers and paths.
pub const MAX_NAME_BYTES: usize = 128;

/// The name that a client gave its batch job: 1 to [`MAX_NAME_BYTES`] visible ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(Box<str>);

impl JobId {
    /// The name, if it is valid.
    pub fn new(name: &str) -> Option<JobId> {
        is_name(name).then(|| JobId(name.into()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}

/// Whether the text can stand in a header and in a path as a name.
pub(crate) fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
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

/// The index of an item in its job as it was submitted, from 0. Not its position among the results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemIndex(pub u16);

impl ItemIndex {
    /// The index for slices.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }

    /// An index below [`MAX_ITEMS`](crate::MAX_ITEMS), which fits.
    pub(crate) fn at(index: usize) -> ItemIndex {
        ItemIndex(u16::try_from(index).unwrap_or(u16::MAX))
    }
}

impl SerBin for ItemIndex {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_number(out, u64::from(self.0));
    }
}

impl DeBin for ItemIndex {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<ItemIndex, DeBinErr> {
        take_small(offset, bytes).map(ItemIndex)
    }
}
