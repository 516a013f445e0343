//! The snapshot for a later process of the node: the heaviest sums, without their origins.

use crate::contribution::Share;
use crate::error::{DecodeError, MalformedSnafu, OrderSnafu, TooLongSnafu};
use crate::key::PrefixKey;
use nanoserde::{DeBin, SerBin};
use rustc_hash::FxHashMap;
use snafu::ensure;

/// The most prefixes in a snapshot.
const MAX_REMEMBERED: usize = 256;
/// The number of prefixes.
const HEAD_BYTES: usize = 8;
const SHARE_BYTES: usize = crate::contribution::SHARE_BYTES;
/// The longest snapshot, in bytes.
pub const MAX_MEMORY: usize = HEAD_BYTES + MAX_REMEMBERED * SHARE_BYTES;

#[derive(SerBin, DeBin)]
struct Memory {
    shares: Vec<Share>,
}

pub(crate) fn encode(rates: &FxHashMap<PrefixKey, f64>) -> Vec<u8> {
    let mut shares: Vec<Share> = rates.iter().map(|(key, rate)| Share::of(*key, *rate)).collect();
    shares.sort_unstable_by(|a, b| b.tokens_per_s().total_cmp(&a.tokens_per_s()).then(a.key.cmp(&b.key)));
    shares.truncate(MAX_REMEMBERED);
    shares.sort_unstable_by_key(|share| share.key);
    Memory { shares }.serialize_bin()
}

pub(crate) fn decode(bytes: &[u8]) -> Result<FxHashMap<PrefixKey, f64>, DecodeError> {
    let (length, largest) = (bytes.len(), MAX_MEMORY);
    ensure!(length <= largest, TooLongSnafu { length, largest });
    let number = bytes.first_chunk::<HEAD_BYTES>().map(|field| u64::from_le_bytes(*field));
    let told = length.checked_sub(HEAD_BYTES).map(|shares| (shares / SHARE_BYTES) as u64);
    ensure!(number.is_some() && number == told, MalformedSnafu);
    let Ok(memory) = <Memory as DeBin>::deserialize_bin(bytes) else { return MalformedSnafu.fail() };
    ensure!(length == HEAD_BYTES + memory.shares.len() * SHARE_BYTES, MalformedSnafu);
    ensure!(memory.shares.is_sorted_by(|a, b| a.key < b.key), OrderSnafu);
    Ok(memory.shares.into_iter().map(|share| (share.key, share.tokens_per_s())).collect())
}
