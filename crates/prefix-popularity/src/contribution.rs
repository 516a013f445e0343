//! What a node reports of its own requests to the other nodes, and its bytes on the wire.

use crate::error::{DecodeError, MalformedSnafu, OrderSnafu, TooLongSnafu};
use crate::key::PrefixKey;
use nanoserde::{DeBin, SerBin};
use snafu::ensure;

/// The most prefixes in a contribution.
pub const MAX_REPORTED_PREFIXES: usize = 16;
/// The most bytes of an encoded contribution: its head and its rates.
pub const MAX_CONTRIBUTION_BYTES: usize = HEAD_BYTES + MAX_REPORTED_PREFIXES * RATE_BYTES;
/// The number of rates, as eight bytes at the end of the head.
const COUNT_BYTES: usize = 8;
/// Origin, incarnation, sequence, and the number of rates.
pub(crate) const HEAD_BYTES: usize = 8 + 8 + 4 + COUNT_BYTES;
/// Key and rate.
pub(crate) const RATE_BYTES: usize = 4 + 2;
/// Tokens a second in one step of an encoded rate.
const TOKENS_PER_S_STEP: f64 = 8.0;

/// The rate of one prefix as it is sent and stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PrefixRate {
    /// The prefix.
    pub key: PrefixKey,
    /// Tokens a second, in steps of eight, saturating.
    steps: u16,
}

impl PrefixRate {
    /// The rate of a prefix, rounded to a step.
    pub fn of(key: PrefixKey, tokens_per_s: f64) -> PrefixRate {
        // The cast saturates, and makes 0 of a NaN.
        PrefixRate { key, steps: (tokens_per_s / TOKENS_PER_S_STEP).round() as u16 }
    }

    /// The rate in tokens a second.
    pub fn tokens_per_s(self) -> f64 {
        f64::from(self.steps) * TOKENS_PER_S_STEP
    }
}

/// The heaviest prefixes of one node's own requests: a last-writer-wins register with its origin as the only writer.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Contribution {
    /// The node, the only one that writes it.
    pub origin: u64,
    /// The incarnation of the node.
    pub incarnation: u64,
    /// Increases with each contribution of that incarnation.
    pub sequence: u32,
    /// The node's heaviest prefixes, in the order of their keys.
    pub rates: Vec<PrefixRate>,
}

impl Contribution {
    /// Of two contributions of one origin the greater is the newer.
    pub(crate) fn version(&self) -> (u64, u32) {
        (self.incarnation, self.sequence)
    }

    /// The bytes for the wire.
    pub fn encode(&self) -> Vec<u8> {
        self.serialize_bin()
    }

    /// Reads a complete contribution.
    ///
    /// # Errors
    /// When the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Result<Contribution, DecodeError> {
        let (length, max_length) = (bytes.len(), MAX_CONTRIBUTION_BYTES);
        ensure!(length <= max_length, TooLongSnafu { length, max_length });
        // The length is checked against the stated number of rates before anything is allocated for them.
        let possible = length.checked_sub(HEAD_BYTES).map(|rates| rates / RATE_BYTES);
        let stated = bytes.get(HEAD_BYTES - COUNT_BYTES..HEAD_BYTES).and_then(|field| field.try_into().ok());
        let stated = stated.map(u64::from_le_bytes).and_then(|count| usize::try_from(count).ok());
        ensure!(stated.is_some() && stated == possible, MalformedSnafu);
        let Ok(contribution) = <Contribution as DeBin>::deserialize_bin(bytes) else {
            return MalformedSnafu.fail();
        };
        ensure!(length == HEAD_BYTES + contribution.rates.len() * RATE_BYTES, MalformedSnafu);
        ensure!(contribution.rates.is_sorted_by(|a, b| a.key < b.key), OrderSnafu);
        Ok(contribution)
    }
}
