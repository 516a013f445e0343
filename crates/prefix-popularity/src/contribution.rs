//! The report of its own requests that a node sends to the other nodes, and the binary encoding of the report.

use crate::error::{DecodeError, KeysOutOfOrderSnafu, MalformedSnafu, TooLongSnafu};
use crate::key::PrefixKey;
use nanoserde::{DeBin, SerBin};
use snafu::ensure;

/// The greatest number of prefixes in a contribution.
pub const MAX_REPORTED_PREFIXES: usize = 16;
/// The greatest length of an encoded contribution in bytes: its header and its rates.
pub const MAX_CONTRIBUTION_BYTES: usize = HEADER_BYTES + MAX_REPORTED_PREFIXES * RATE_BYTES;
/// The length in bytes of the number of rates, which is the last field of the header.
const COUNT_BYTES: usize = 8;
/// The length of the header in bytes: origin, incarnation, sequence and the number of rates.
pub(crate) const HEADER_BYTES: usize = 8 + 8 + 4 + COUNT_BYTES;
/// The length of an encoded rate in bytes: the key and the number of steps.
pub(crate) const RATE_BYTES: usize = 4 + 2;
/// The number of tokens per second in one step of an encoded rate.
const TOKENS_PER_S_STEP: f64 = 8.0;

/// The demand for one prefix in the form in which it is sent and stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PrefixRate {
    /// The key of the prefix.
    pub key: PrefixKey,
    /// The rate as a number of steps of 8 tokens per second, at most `u16::MAX`.
    steps: u16,
}

impl PrefixRate {
    /// Creates the rate of a prefix from a number of tokens per second, which is rounded to the nearest step.
    pub fn new(key: PrefixKey, tokens_per_s: f64) -> PrefixRate {
        // The cast saturates, and converts NaN to 0.
        PrefixRate { key, steps: (tokens_per_s / TOKENS_PER_S_STEP).round() as u16 }
    }

    /// The rate in tokens per second.
    pub fn tokens_per_s(self) -> f64 {
        f64::from(self.steps) * TOKENS_PER_S_STEP
    }
}

/// The prefixes with the highest demand by one node's own requests. It is a last-writer-wins register whose only writer
/// is the node.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Contribution {
    /// The id of the node that wrote the contribution.
    pub origin: u64,
    /// The incarnation of the node's process when it wrote the contribution.
    pub incarnation: u64,
    /// The number of the contribution within its incarnation, which increases with each contribution.
    pub sequence: u32,
    /// The prefixes with the highest demand and their rates, in ascending order of their keys.
    pub rates: Vec<PrefixRate>,
}

impl Contribution {
    /// The version of the contribution. Of two contributions of one origin, the one with the greater version is newer.
    pub(crate) fn version(&self) -> (u64, u32) {
        (self.incarnation, self.sequence)
    }

    /// Encodes the contribution for the other nodes.
    pub fn encode(&self) -> Vec<u8> {
        self.serialize_bin()
    }

    /// Decodes a contribution of another node.
    ///
    /// # Errors
    /// Returns an error if the bytes are not exactly one contribution with at most [`MAX_REPORTED_PREFIXES`] rates.
    pub fn decode(bytes: &[u8]) -> Result<Contribution, DecodeError> {
        let (length, max_length) = (bytes.len(), MAX_CONTRIBUTION_BYTES);
        ensure!(length <= max_length, TooLongSnafu { length, max_length });
        // The stated number of rates is compared with the length before memory is allocated for the rates.
        let count_by_length = length.checked_sub(HEADER_BYTES).map(|rate_bytes| rate_bytes / RATE_BYTES);
        let count_field =
            bytes.get(HEADER_BYTES - COUNT_BYTES..HEADER_BYTES).and_then(|field| field.try_into().ok());
        let stated_count = count_field.map(u64::from_le_bytes).and_then(|count| usize::try_from(count).ok());
        ensure!(stated_count.is_some() && stated_count == count_by_length, MalformedSnafu);
        let Ok(contribution) = <Contribution as DeBin>::deserialize_bin(bytes) else {
            return MalformedSnafu.fail();
        };
        ensure!(length == HEADER_BYTES + contribution.rates.len() * RATE_BYTES, MalformedSnafu);
        ensure!(contribution.rates.is_sorted_by(|a, b| a.key < b.key), KeysOutOfOrderSnafu);
        Ok(contribution)
    }
}
