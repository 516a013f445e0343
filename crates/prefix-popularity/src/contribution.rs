//! The register by which a node tells the others what its requests ask for.

use crate::error::{DecodeError, MalformedSnafu, OrderSnafu, TooLongSnafu};
use crate::key::PrefixKey;
use nanoserde::{DeBin, SerBin};
use snafu::ensure;

/// The most prefixes in a register.
pub const MAX_SHARES: usize = 16;
/// The longest register in its binary form: its head and its shares.
pub const MAX_CONTRIBUTION: usize = HEAD_BYTES + MAX_SHARES * SHARE_BYTES;
/// Origin, incarnation, sequence, and the number of shares.
pub(crate) const HEAD_BYTES: usize = 8 + 8 + 4 + 8;
/// Key and rate.
pub(crate) const SHARE_BYTES: usize = 4 + 2;
/// Tokens a second in one step of a rate.
const STEP: f64 = 8.0;

/// One prefix in a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Share {
    /// The prefix.
    pub key: PrefixKey,
    /// Tokens a second, in steps of eight; what is more than fits counts as the most that does.
    steps: u16,
}

impl Share {
    /// A share of this rate.
    pub fn of(key: PrefixKey, tokens_per_s: f64) -> Share {
        // From a float it saturates, and not a number is 0.
        Share { key, steps: (tokens_per_s / STEP).round() as u16 }
    }

    /// Its rate.
    pub fn tokens_per_s(self) -> f64 {
        f64::from(self.steps) * STEP
    }
}

/// What one node tells of its own requests; the newest takes the place of all before.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Contribution {
    /// The node, the only one that writes it.
    pub origin: u64,
    /// Its life.
    pub incarnation: u64,
    /// Rises with each register of that life.
    pub sequence: u32,
    /// Its heaviest prefixes, in the order of their keys.
    pub shares: Vec<Share>,
}

impl Contribution {
    /// Of two registers of one origin the greater is the newer.
    pub(crate) fn order(&self) -> (u64, u32) {
        (self.incarnation, self.sequence)
    }

    /// The binary form.
    pub fn encode(&self) -> Vec<u8> {
        self.serialize_bin()
    }

    /// Reads a whole register.
    ///
    /// # Errors
    /// Says what is wrong with bytes that are none.
    pub fn decode(bytes: &[u8]) -> Result<Contribution, DecodeError> {
        let (length, largest) = (bytes.len(), MAX_CONTRIBUTION);
        ensure!(length <= largest, TooLongSnafu { length, largest });
        // The length is checked against the number of shares before room is made for them.
        let told = length.checked_sub(HEAD_BYTES).map(|shares| shares / SHARE_BYTES);
        let number = bytes.get(HEAD_BYTES - 8..HEAD_BYTES).and_then(|field| field.try_into().ok());
        let number = number.map(u64::from_le_bytes).and_then(|number| usize::try_from(number).ok());
        ensure!(number.is_some() && number == told, MalformedSnafu);
        let Ok(read) = <Contribution as DeBin>::deserialize_bin(bytes) else { return MalformedSnafu.fail() };
        ensure!(length == HEAD_BYTES + read.shares.len() * SHARE_BYTES, MalformedSnafu);
        ensure!(read.shares.is_sorted_by(|a, b| a.key < b.key), OrderSnafu);
        Ok(read)
    }
}
