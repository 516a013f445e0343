//! The snapshot for a later process of the node, and its binary encoding, which is stored on disk. The snapshot has the
//! rates over all nodes of the prefixes with the highest demand.

use crate::contribution::{PrefixRate, RATE_BYTES};
use crate::error::{DecodeError, KeysOutOfOrderSnafu, MalformedSnafu, TooLongSnafu};
use crate::key::PrefixKey;
use nanoserde::{DeBin, SerBin};
use rustc_hash::FxHashMap;
use snafu::ensure;

/// The greatest number of prefixes in a snapshot.
const MAX_PREFIXES: usize = 256;
/// The length of the header in bytes. The header is the number of prefixes.
const HEADER_BYTES: usize = 8;
/// The greatest length of a snapshot in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = HEADER_BYTES + MAX_PREFIXES * RATE_BYTES;

/// The encoded form of a snapshot.
#[derive(SerBin, DeBin)]
struct Snapshot {
    /// The rates in ascending order of their keys.
    rates: Vec<PrefixRate>,
}

/// Encodes the highest of the rates, which are in tokens per second.
pub(crate) fn encode(rates: &FxHashMap<PrefixKey, f64>) -> Vec<u8> {
    let mut rates: Vec<PrefixRate> = rates.iter().map(|(key, rate)| PrefixRate::new(*key, *rate)).collect();
    rates.sort_unstable_by(|a, b| b.tokens_per_s().total_cmp(&a.tokens_per_s()).then(a.key.cmp(&b.key)));
    rates.truncate(MAX_PREFIXES);
    rates.sort_unstable_by_key(|rate| rate.key);
    Snapshot { rates }.serialize_bin()
}

/// Decodes a snapshot into rates in tokens per second.
pub(crate) fn decode(bytes: &[u8]) -> Result<FxHashMap<PrefixKey, f64>, DecodeError> {
    let (length, max_length) = (bytes.len(), MAX_SNAPSHOT_BYTES);
    ensure!(length <= max_length, TooLongSnafu { length, max_length });
    // The stated number of rates is compared with the length before memory is allocated for the rates.
    let stated_count = bytes.first_chunk::<HEADER_BYTES>().map(|field| u64::from_le_bytes(*field));
    let count_by_length = length.checked_sub(HEADER_BYTES).map(|rate_bytes| (rate_bytes / RATE_BYTES) as u64);
    ensure!(stated_count.is_some() && stated_count == count_by_length, MalformedSnafu);
    let Ok(snapshot) = <Snapshot as DeBin>::deserialize_bin(bytes) else { return MalformedSnafu.fail() };
    ensure!(length == HEADER_BYTES + snapshot.rates.len() * RATE_BYTES, MalformedSnafu);
    ensure!(snapshot.rates.is_sorted_by(|a, b| a.key < b.key), KeysOutOfOrderSnafu);
    Ok(snapshot.rates.into_iter().map(|rate| (rate.key, rate.tokens_per_s())).collect())
}
