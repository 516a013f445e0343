//! Rendezvous hashing, and the hashes that have the same value in every process.

pub use grebeusher_hash::{fixed_hash, mix64};

/// The rank of `member` for `key` in rendezvous hashing. All processes that sort the same members by it, highest first, get
/// the same order. Adding or removing a member does not change the order of the others.
pub fn rendezvous(key: u64, member: u64) -> u64 {
    mix64(mix64(key) ^ member)
}
