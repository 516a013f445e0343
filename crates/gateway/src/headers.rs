//! The request headers in which clients describe the size and prompt of a request, and the response header in which
//! executors report their load.

use grebeusher_sizing::mix64;
use snafu::Snafu;

/// The greatest number of segments of a prompt that are kept. Later segments come long after those that requests share.
pub const MAX_SEGMENTS: usize = 16;

/// The greatest valid number in a header, which is more than the tokens of any prompt.
const MAX_NUMBER: u32 = 16_000_000;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Why the value of a header is invalid. The message is then treated as if it did not have the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeaderError {
    /// A field is not a decimal number up to 16,000,000, or a segment id is not hexadecimal.
    #[snafu(display("a header field is not a number in the expected format and range"))]
    InvalidNumber,
    /// The header has more or fewer fields than its format requires.
    #[snafu(display("the header has the wrong number of fields"))]
    FieldCount,
}

/// Parses a decimal number of at most [`MAX_NUMBER`], which may be surrounded by white space.
fn parse_number(field: &str) -> Result<u32, HeaderError> {
    let field = field.trim();
    let is_decimal = !field.is_empty() && field.bytes().all(|byte| byte.is_ascii_digit());
    let value = is_decimal.then(|| field.parse::<u32>().ok()).flatten();
    value.filter(|value| *value <= MAX_NUMBER).ok_or(HeaderError::InvalidNumber)
}

/// The value of `X-Grebeusher-Token-Count`: the size of a request in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// The number of tokens of the complete prompt.
    pub prompt: u32,
    /// The greatest number of tokens of the output.
    pub output: u32,
}

impl TokenCount {
    /// Parses a header value of the form "prompt,output".
    pub fn parse(value: &str) -> Result<TokenCount, HeaderError> {
        let (prompt, output) = value.split_once(',').ok_or(HeaderError::FieldCount)?;
        Ok(TokenCount { prompt: parse_number(prompt)?, output: parse_number(output)? })
    }
}

/// One segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// The hash of this segment and all segments before it. A cached segment can be used only after the same segments.
    pub chain_hash: u64,
    /// The number of tokens of this segment alone.
    pub tokens: u32,
}

/// The value of `X-Grebeusher-Prompt-Prefix`: the segments of a prompt in order. The last segment belongs to the
/// request alone or to its session; the segments before it are shared with other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegments {
    segments: [PromptSegment; MAX_SEGMENTS],
    count: usize,
    /// Whether all segments of the header are kept, because it had no more than [`MAX_SEGMENTS`].
    is_complete: bool,
}

impl Default for PromptSegments {
    fn default() -> PromptSegments {
        let empty = PromptSegment { chain_hash: 0, tokens: 0 };
        PromptSegments { segments: [empty; MAX_SEGMENTS], count: 0, is_complete: true }
    }
}

impl PromptSegments {
    /// Parses a header value of the form "ID:TOKENS,ID:TOKENS", with hexadecimal ids of any length. Only the first
    /// [`MAX_SEGMENTS`] segments are kept.
    pub fn parse(value: &str) -> Result<PromptSegments, HeaderError> {
        let mut prompt = PromptSegments::default();
        let mut chain_hash = 0_u64;
        for field in value.split(',') {
            let (id, tokens) = field.split_once(':').ok_or(HeaderError::FieldCount)?;
            let tokens = parse_number(tokens)?;
            chain_hash = extend_chain(chain_hash, id.trim())?;
            if prompt.count == MAX_SEGMENTS {
                prompt.is_complete = false;
                break;
            }
            prompt.segments[prompt.count] = PromptSegment { chain_hash, tokens };
            prompt.count += 1;
        }
        Ok(prompt)
    }

    /// All kept segments in order.
    pub fn all(&self) -> &[PromptSegment] {
        &self.segments[..self.count]
    }

    /// The segments that other requests share: all but the last one of the header.
    pub fn shared(&self) -> &[PromptSegment] {
        &self.segments[..self.count.saturating_sub(usize::from(self.is_complete))]
    }

    /// The number of tokens of all shared segments together.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }
}

/// Extends a chain hash by the id of one more segment, which is hexadecimal of any length and in either case.
fn extend_chain(chain_hash: u64, id: &str) -> Result<u64, HeaderError> {
    if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(HeaderError::InvalidNumber);
    }
    let add_byte =
        |hash: u64, byte: u8| (hash ^ u64::from(byte.to_ascii_lowercase())).wrapping_mul(FNV_PRIME);
    let hash = id.bytes().fold(chain_hash, add_byte);
    Ok(mix64(hash.wrapping_add(1)))
}

/// The value of `X-Grebeusher-Server-Load`: the load of an executor when it sent the head of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// The number of requests that the executor runs.
    pub running: u32,
    /// The number of requests in the executor's queue.
    pub waiting: u32,
    /// The number of requests that the executor can run concurrently.
    pub slots: u32,
}

impl ServerLoad {
    /// Parses a header value of the form "running,waiting,slots".
    pub fn parse(value: &str) -> Result<ServerLoad, HeaderError> {
        let mut fields = value.split(',');
        let mut next_number = || fields.next().ok_or(HeaderError::FieldCount).and_then(parse_number);
        let load = ServerLoad { running: next_number()?, waiting: next_number()?, slots: next_number()? };
        if fields.next().is_some() {
            return Err(HeaderError::FieldCount);
        }
        Ok(load)
    }
}
