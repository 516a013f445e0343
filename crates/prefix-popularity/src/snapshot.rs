//! The snapshot for a later process of the node: the heaviest sums, without their origins. Its bytes are stored.

use crate::contribution::{PrefixRate, RATE_BYTES};
use crate::error::{DecodeError, MalformedSnafu, OrderSnafu, TooLongSnafu};
use crate::key::PrefixKey;
use nanoserde::{DeBin, SerBin};
use rustc_hash::FxHashMap;
use snafu::ensure;

/// The most prefixes in a snapshot.
const MAX_PREFIXES: usize = 256;
/// The number of prefixes.
const HEAD_BYTES: usize = 8;
/// The most bytes of a snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = HEAD_BYTES + MAX_PREFIXES * RATE_BYTES;

#[derive(SerBin, DeBin)]
struct Snapshot {
    rates: Vec<PrefixRate>,
}

pub(crate) fn encode(rates: &FxHashMap<PrefixKey, f64>) -> Vec<u8> {
    let mut rates: Vec<PrefixRate> = rates.iter().map(|(key, rate)| PrefixRate::of(*key, *rate)).collect();
    rates.sort_unstable_by(|a, b| b.tokens_per_s().total_cmp(&a.tokens_per_s()).then(a.key.cmp(&b.key)));
    rates.truncate(MAX_PREFIXES);
    rates.sort_unstable_by_key(|rate| rate.key);
    Snapshot { rates }.serialize_bin()
}

pub(crate) fn decode(bytes: &[u8]) -> Result<FxHashMap<PrefixKey, f64>, DecodeError> {
    let (length, max_length) = (bytes.len(), MAX_SNAPSHOT_BYTES);
    ensure!(length <= max_length, TooLongSnafu { length, max_length });
    // The length is checked against the stated number of rates before anything is allocated for them.
    let stated = bytes.first_chunk::<HEAD_BYTES>().map(|field| u64::from_le_bytes(*field));
    let possible = length.checked_sub(HEAD_BYTES).map(|rates| (rates / RATE_BYTES) as u64);
    ensure!(stated.is_some() && stated == possible, MalformedSnafu);
    let Ok(snapshot) = <Snapshot as DeBin>::deserialize_bin(bytes) else { return MalformedSnafu.fail() };
    ensure!(length == HEAD_BYTES + snapshot.rates.len() * RATE_BYTES, MalformedSnafu);
    ensure!(snapshot.rates.is_sorted_by(|a, b| a.key < b.key), OrderSnafu);
    Ok(snapshot.rates.into_iter().map(|rate| (rate.key, rate.tokens_per_s())).collect())
}
