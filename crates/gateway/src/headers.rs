//! The headers by which clients hint at request sizes and executors report their load.

use grebeusher_sizing::mix64;
use snafu::Snafu;

/// The most segments of a prompt that are kept. Those after are long past what is shared.
pub const MAX_SEGMENTS: usize = 16;

/// More tokens than any prompt has; a larger number is invalid.
const MAX_TOKENS: u32 = 16_000_000;
/// The prime of the FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Why a header could not be read. The request is then treated as one without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeaderError {
    /// A number is missing, malformed or out of bounds.
    #[snafu(display("not a number in its bounds"))]
    Number,
    /// More or fewer fields than the header has.
    #[snafu(display("wrong number of fields"))]
    Fields,
}

fn parse_number(field: &str) -> Result<u32, HeaderError> {
    let field = field.trim();
    let is_decimal = !field.is_empty() && field.bytes().all(|byte| byte.is_ascii_digit());
    let value = is_decimal.then(|| field.parse::<u32>().ok()).flatten();
    value.filter(|value| *value <= MAX_TOKENS).ok_or(HeaderError::Number)
}

/// `X-Grebeusher-Token-Count`: tokens of the prompt, and the most tokens of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the complete prompt.
    pub prompt: u32,
    /// The most tokens of the output.
    pub output: u32,
}

impl TokenCount {
    /// Reads "prompt,output".
    pub fn parse(value: &str) -> Result<TokenCount, HeaderError> {
        let (prompt, output) = value.split_once(',').ok_or(HeaderError::Fields)?;
        Ok(TokenCount { prompt: parse_number(prompt)?, output: parse_number(output)? })
    }
}

/// One segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// The hash of all segments up to and with this one: a cached segment is of use only behind the same segments.
    pub chain_hash: u64,
    /// Tokens of this segment alone.
    pub tokens: u32,
}

/// `X-Grebeusher-Prompt-Prefix`: the segments of a prompt in order. The last belongs to the request itself or to its
/// session; those before are shared with other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegments {
    segments: [PromptSegment; MAX_SEGMENTS],
    count: usize,
    /// Whether the header had no more than [`MAX_SEGMENTS`].
    complete: bool,
}

impl Default for PromptSegments {
    fn default() -> PromptSegments {
        let empty = PromptSegment { chain_hash: 0, tokens: 0 };
        PromptSegments { segments: [empty; MAX_SEGMENTS], count: 0, complete: true }
    }
}

impl PromptSegments {
    /// Reads "ID:TOKENS,ID:TOKENS", with ids in hex of any length. Only the first [`MAX_SEGMENTS`] are kept.
    pub fn parse(value: &str) -> Result<PromptSegments, HeaderError> {
        let mut prompt = PromptSegments::default();
        let mut chain_hash = 0_u64;
        for field in value.split(',') {
            let (id, tokens) = field.split_once(':').ok_or(HeaderError::Fields)?;
            let tokens = parse_number(tokens)?;
            chain_hash = extend_chain(chain_hash, id.trim())?;
            if prompt.count == MAX_SEGMENTS {
                prompt.complete = false;
                break;
            }
            prompt.segments[prompt.count] = PromptSegment { chain_hash, tokens };
            prompt.count += 1;
        }
        Ok(prompt)
    }

    /// All segments, in order.
    pub fn all(&self) -> &[PromptSegment] {
        &self.segments[..self.count]
    }

    /// The segments that other requests share: all but the last.
    pub fn shared(&self) -> &[PromptSegment] {
        &self.segments[..self.count.saturating_sub(usize::from(self.complete))]
    }

    /// Tokens of the shared segments together.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }
}

/// The chain hash with one more segment id, which is hex of any length and case.
fn extend_chain(chain_hash: u64, id: &str) -> Result<u64, HeaderError> {
    if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(HeaderError::Number);
    }
    let add = |hash: u64, byte: u8| (hash ^ u64::from(byte.to_ascii_lowercase())).wrapping_mul(FNV_PRIME);
    let hash = id.bytes().fold(chain_hash, add);
    Ok(mix64(hash.wrapping_add(1)))
}

/// `X-Grebeusher-Server-Load`: an executor's load when the head of its response was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
}

impl ServerLoad {
    /// Reads "running,waiting,slots".
    pub fn parse(value: &str) -> Result<ServerLoad, HeaderError> {
        let mut fields = value.split(',');
        let mut next = || fields.next().ok_or(HeaderError::Fields).and_then(parse_number);
        let load = ServerLoad { running: next()?, waiting: next()?, slots: next()? };
        if fields.next().is_some() {
            return Err(HeaderError::Fields);
        }
        Ok(load)
    }
}
