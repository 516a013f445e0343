//! Hashes that give the same value in every process and on every start.

pub use grebeusher_hash::{fixed_hash, mixed};

/// The rank of `member` for `key`: whoever sorts the same members by it, highest first, gets the same order, and
/// a member that comes or goes moves no other.
pub fn rendezvous(key: u64, member: u64) -> u64 {
    mixed(mixed(key) ^ member)
}
