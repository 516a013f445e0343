//! Submissions: the batch jobs that clients send.

mod parse;

use std::collections::HashSet;

use nanoserde::{DeBin, DeBinErr, SerBin};

pub use parse::{SubmissionError, SubmissionHead, read_submission};

use crate::codec::{
    DecodeShared, malformed, put_bytes, put_list, put_varint, take_shared_bytes, take_shared_list,
    take_shared_text, take_text, take_varint,
};
use crate::names::{JobId, is_valid_id};
use crate::shared_bytes::{SharedBytes, SharedText};

/// The maximum number of items in a job.
pub const MAX_ITEMS: usize = 200;
/// The maximum number of headers of an item.
pub const MAX_HEADERS: usize = 64;
/// The header that states the tokens of an item as two numbers, separated by a comma: the tokens of the prompt, and the
/// maximum number of tokens of the output.
pub const TOKEN_HEADER: &str = "X-Grebeusher-Token-Count";

/// A header of an item. The parser has checked that the name is an HTTP token, and that the value has no control
/// characters other than tabs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// The name of the header.
    pub name: SharedText,
    /// The value of the header.
    pub value: SharedText,
}

/// An item of a batch job: one request that is sent to an executor later. Its large fields may refer to the buffer of
/// the log entry that it was decoded from. The buffer then stays in memory as long as the item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemSpec {
    /// The id of the item, which is also the attempt id of its requests.
    pub id: String,
    /// The path of the request, with its query. It starts with a slash.
    pub path: SharedText,
    /// The headers of the request, without those that concern a single connection and those that the tier sets itself.
    pub headers: Vec<Header>,
    /// The decoded body of the request.
    pub body: SharedBytes,
    /// The tokens of the prompt plus the maximum number of tokens of the output.
    pub token_count: u64,
}

/// The tokens of an item, split into prompt and output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// The number of tokens of the prompt.
    pub prompt: u64,
    /// The maximum number of tokens of the output.
    pub output: u64,
}

impl ItemSpec {
    /// The tokens that the item's [`TOKEN_HEADER`] states. Without a valid header, all of `token_count` is attributed to
    /// the prompt.
    pub fn tokens(&self) -> Tokens {
        let header = self.headers.iter().find(|header| header.name.eq_ignore_ascii_case(TOKEN_HEADER));
        let split = header.and_then(|header| {
            let (prompt, output) = header.value.split_once(',')?;
            Some(Tokens { prompt: prompt.trim().parse().ok()?, output: output.trim().parse().ok()? })
        });
        split.unwrap_or(Tokens { prompt: self.token_count, output: 0 })
    }

    /// The approximate memory use of the item, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|header| header.name.len() + header.value.len()).sum::<usize>()
                + self.headers.len() * size_of::<Header>();
        size_of::<ItemSpec>() + self.id.len() + self.path.len() + self.body.len() + headers
    }
}

/// The index of the first item that has the same id as an earlier one.
fn first_duplicate(items: &[ItemSpec]) -> Option<usize> {
    let mut ids = HashSet::with_capacity(items.len());
    items.iter().position(|item| !ids.insert(item.id.as_str()))
}

/// A batch job as it was submitted, with the route that its submission matched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The id of the job.
    pub job: JobId,
    /// The name of the route in the configuration.
    pub route: String,
    /// The service that the route led to when the job was accepted.
    pub service: String,
    /// The host of the route, to which the items' requests are addressed.
    pub host: String,
    /// The items of the job, at most [`MAX_ITEMS`], with distinct ids.
    pub items: Vec<ItemSpec>,
}

impl Submission {
    /// The sum of the tokens of all items.
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
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<Header, DeBinErr> {
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
        put_varint(out, self.token_count);
    }
}

impl DecodeShared for ItemSpec {
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<ItemSpec, DeBinErr> {
        let id = take_text(offset, bytes)?;
        if !is_valid_id(id) {
            return Err(malformed(*offset, 0, bytes));
        }
        Ok(ItemSpec {
            id: id.to_owned(),
            path: take_shared_text(offset, bytes)?,
            headers: take_shared_list(offset, bytes, MAX_HEADERS)?,
            body: take_shared_bytes(offset, bytes)?,
            token_count: take_varint(offset, bytes)?,
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
        Submission::decode_copied(offset, bytes)
    }
}

/// The names of the route, service and host are copied, because they stay in memory longer than the items do.
impl DecodeShared for Submission {
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<Submission, DeBinErr> {
        let submission = Submission {
            job: JobId::de_bin(offset, bytes)?,
            route: take_text(offset, bytes)?.to_owned(),
            service: take_text(offset, bytes)?.to_owned(),
            host: take_text(offset, bytes)?.to_owned(),
            items: take_shared_list(offset, bytes, MAX_ITEMS)?,
        };
        match first_duplicate(&submission.items) {
            Some(_) => Err(malformed(*offset, 0, bytes)),
            None => Ok(submission),
        }
    }
}
