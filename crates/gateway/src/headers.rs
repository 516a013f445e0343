//! The headers by which clients hint at sizes and executors tell their load.

use grebeusher_sizing::mixed;
use snafu::Snafu;

/// The most parts of a prompt that are looked at: those after are long past what is shared.
pub const MAX_PARTS: usize = 16;

/// Tokens beyond any prompt; what claims more is nonsense.
const MAX_TOKENS: u32 = 16_000_000;

/// Why a header could not be read. The request is then treated as one without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeaderError {
    /// A number is missing, malformed or beyond any sense.
    #[snafu(display("not a number in its bounds"))]
    Number,
    /// More or fewer fields than the header has.
    #[snafu(display("wrong number of fields"))]
    Fields,
}

fn number(field: &str) -> Result<u32, HeaderError> {
    let field = field.trim();
    let digits = !field.is_empty() && field.bytes().all(|byte| byte.is_ascii_digit());
    let value = digits.then(|| field.parse::<u32>().ok()).flatten();
    value.filter(|value| *value <= MAX_TOKENS).ok_or(HeaderError::Number)
}

/// `X-Grebeusher-Token-Count`: tokens of the prompt, and the most that come out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the whole prompt.
    pub prompt: u32,
    /// The most tokens of the answer.
    pub out: u32,
}

impl TokenCount {
    /// Reads "in,out".
    pub fn parse(value: &str) -> Result<TokenCount, HeaderError> {
        let (prompt, out) = value.split_once(',').ok_or(HeaderError::Fields)?;
        Ok(TokenCount { prompt: number(prompt)?, out: number(out)? })
    }
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash of all parts up to and with this one: a part is only worth keeping behind the same parts.
    pub chain: u64,
    /// Tokens of this part alone.
    pub tokens: u32,
}

/// `X-Grebeusher-Prompt-Prefix`: the parts of a prompt in order. The last belongs to the request itself or to its
/// session; those before are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptParts {
    parts: [PromptPart; MAX_PARTS],
    count: usize,
    whole: bool,
}

impl Default for PromptParts {
    fn default() -> PromptParts {
        PromptParts { parts: [PromptPart { chain: 0, tokens: 0 }; MAX_PARTS], count: 0, whole: true }
    }
}

impl PromptParts {
    /// Reads "ID:TOKENS,ID:TOKENS", with ids in hex of any length. Only the first [`MAX_PARTS`] are kept.
    pub fn parse(value: &str) -> Result<PromptParts, HeaderError> {
        let mut parts = PromptParts::default();
        let mut chain = 0_u64;
        for field in value.split(',') {
            let (id, tokens) = field.split_once(':').ok_or(HeaderError::Fields)?;
            let (id, tokens) = (id.trim(), number(tokens)?);
            if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                return Err(HeaderError::Number);
            }
            let hash = id.bytes().fold(chain, |hash, byte| {
                (hash ^ u64::from(byte.to_ascii_lowercase())).wrapping_mul(0x0100_0000_01b3)
            });
            chain = mixed(hash.wrapping_add(1));
            if parts.count == MAX_PARTS {
                parts.whole = false;
                break;
            }
            parts.parts[parts.count] = PromptPart { chain, tokens };
            parts.count += 1;
        }
        Ok(parts)
    }

    /// All parts, in order.
    pub fn all(&self) -> &[PromptPart] {
        &self.parts[..self.count]
    }

    /// The parts that other requests share: all but the last.
    pub fn shared(&self) -> &[PromptPart] {
        &self.parts[..self.count.saturating_sub(usize::from(self.whole))]
    }

    /// Tokens of the shared parts together.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }
}

/// `X-Grebeusher-Server-Load`: how an executor stood when its answer's head went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests in its batch.
    pub running: u32,
    /// Requests that wait for a place in it.
    pub waiting: u32,
    /// Places in its batch.
    pub slots: u32,
}

impl ServerLoad {
    /// Reads "running,waiting,slots".
    pub fn parse(value: &str) -> Result<ServerLoad, HeaderError> {
        let mut fields = value.split(',');
        let mut next = || fields.next().ok_or(HeaderError::Fields).and_then(number);
        let load = ServerLoad { running: next()?, waiting: next()?, slots: next()? };
        if fields.next().is_some() {
            return Err(HeaderError::Fields);
        }
        Ok(load)
    }
}
