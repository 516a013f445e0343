//! A batch job as its client submits it.

mod parse;

use std::collections::HashSet;

use nanoserde::{DeBin, DeBinErr, SerBin};

pub use parse::{SubmissionError, SubmissionHead, read_submission};

use crate::codec::{
    DecodeShared, malformed, put_bytes, put_list, put_number, take_number, take_shared_bytes,
    take_shared_list, take_shared_text, take_text,
};
use crate::names::{JobId, is_name};
use crate::shared_bytes::{SharedBytes, SharedText};

/// The most items in a job.
pub const MAX_ITEMS: usize = 200;
/// The most headers of an item.
pub const MAX_HEADERS: usize = 64;
/// The header that states an item's tokens: those of the prompt, a comma, the most of the output.
pub const TOKEN_HEADER: &str = "X-Grebeusher-Token-Count";

/// A header of an item, checked: the name is a token, the value has no control characters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its name, an HTTP token.
    pub name: SharedText,
    /// Its value.
    pub value: SharedText,
}

/// An item of a batch job: one request that is run later. Its large fields may refer to the entry that it came by, which
/// then stays in memory as long as the item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemSpec {
    /// Its name, which is also the id of its attempts.
    pub id: String,
    /// The path of its request, from the first slash, with its query.
    pub path: SharedText,
    /// Its headers, without those that concern one connection and those that the tier sets itself.
    pub headers: Vec<Header>,
    /// The decoded body.
    pub body: SharedBytes,
    /// The tokens of the prompt and the most tokens of the output together.
    pub token_count: u64,
}

/// The tokens of an item, divided as far as its header states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// The tokens of the prompt.
    pub prompt: u64,
    /// The most tokens of the output.
    pub output: u64,
}

impl ItemSpec {
    /// The tokens by the item's header; all of `token_count` are the prompt's if it has none that can be read.
    pub fn tokens(&self) -> Tokens {
        let header = self.headers.iter().find(|header| header.name.eq_ignore_ascii_case(TOKEN_HEADER));
        let divided = header.and_then(|header| {
            let (prompt, output) = header.value.split_once(',')?;
            Some(Tokens { prompt: prompt.trim().parse().ok()?, output: output.trim().parse().ok()? })
        });
        divided.unwrap_or(Tokens { prompt: self.token_count, output: 0 })
    }

    /// About the bytes that the item takes in memory.
    pub(crate) fn cost(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|header| header.name.len() + header.value.len()).sum::<usize>()
                + self.headers.len() * size_of::<Header>();
        size_of::<ItemSpec>() + self.id.len() + self.path.len() + self.body.len() + headers
    }
}

/// The index of the first item that has the name of an earlier one.
fn first_repeated(items: &[ItemSpec]) -> Option<usize> {
    let mut names = HashSet::with_capacity(items.len());
    items.iter().position(|item| !names.insert(item.id.as_str()))
}

/// A batch job as it was submitted, with the route that it came in on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The name of the job.
    pub job: JobId,
    /// The name of the route in the configuration.
    pub route: String,
    /// The service that the route led to when the job was accepted.
    pub service: String,
    /// The host of the route, for the items' requests.
    pub host: String,
    /// Its items, at most [`MAX_ITEMS`], with different names.
    pub items: Vec<ItemSpec>,
}

impl Submission {
    /// The tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().fold(0, |sum, item| sum.saturating_add(item.token_count))
    }
}

impl SerBin for Header {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_bytes(out, self.name.as_bytes());
        put_bytes(out, self.value.as_bytes());
    }
}

impl DecodeShared for Header {
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<Header, DeBinErr> {
        let name = take_shared_text(offset, bytes)?;
        Ok(Header { name, value: take_shared_text(offset, bytes)? })
    }
}

impl SerBin for ItemSpec {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_bytes(out, self.id.as_bytes());
        put_bytes(out, self.path.as_bytes());
        put_list(out, &self.headers);
        put_bytes(out, &self.body);
        put_number(out, self.token_count);
    }
}

impl DecodeShared for ItemSpec {
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<ItemSpec, DeBinErr> {
        let id = take_text(offset, bytes)?;
        if !is_name(id) {
            return Err(malformed(*offset, 0, bytes));
        }
        Ok(ItemSpec {
            id: id.to_owned(),
            path: take_shared_text(offset, bytes)?,
            headers: take_shared_list(offset, bytes, MAX_HEADERS)?,
            body: take_shared_bytes(offset, bytes)?,
            token_count: take_number(offset, bytes)?,
        })
    }
}

impl SerBin for Submission {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.job.ser_bin(out);
        put_bytes(out, self.route.as_bytes());
        put_bytes(out, self.service.as_bytes());
        put_bytes(out, self.host.as_bytes());
        put_list(out, &self.items);
    }
}

impl DeBin for Submission {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Submission, DeBinErr> {
        Submission::take_copied(offset, bytes)
    }
}

/// The names outlive the items and are copied.
impl DecodeShared for Submission {
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<Submission, DeBinErr> {
        let submission = Submission {
            job: JobId::de_bin(offset, bytes)?,
            route: take_text(offset, bytes)?.to_owned(),
            service: take_text(offset, bytes)?.to_owned(),
            host: take_text(offset, bytes)?.to_owned(),
            items: take_shared_list(offset, bytes, MAX_ITEMS)?,
        };
        match first_repeated(&submission.items) {
            Some(_) => Err(malformed(*offset, 0, bytes)),
            None => Ok(submission),
        }
    }
}
