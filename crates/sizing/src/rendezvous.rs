//! Hashes that give the same value in every process and on every start.

pub use grebeusher_hash::{fixed_hash, mixed};

/// The rank of `member` for `key` in rendezvous hashing. Every process that sorts the same members by it, highest first, gets
/// the same order, and a member that is added or removed moves no other.
pub fn rendezvous(key: u64, member: u64) -> u64 {
    mixed(mixed(key) ^ member)
}
