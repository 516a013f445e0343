//! Hashes over all registers, updated at each change: equal digests mean equal registers.

use crate::register::Key;
use std::collections::BTreeMap;

/// The number of buckets into which the registers are divided, so that few need to be compared one by one.
pub(crate) const BUCKETS: usize = 64;

/// The lowest bit of a summary's version: set if the node or executor of the register is live.
const LIVE_BIT: u64 = 1;

/// The hashes of a key and of its register. The lowest bit of the version is set if the node or executor is live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The hash of the key.
    pub key: u64,
    /// The hash of the register, with the lowest bit replaced by the live flag.
    pub version: u64,
}

impl Summary {
    pub(crate) fn is_live(self) -> bool {
        self.version & LIVE_BIT != 0
    }
}

struct Item {
    version: u64,
    key: Key,
}

/// The versions of all registers. Registers of dead nodes and gone executors are listed but not part of the sums,
/// because nodes forget them at different times.
pub(crate) struct Digest {
    buckets: Vec<BTreeMap<u64, Item>>,
    sums: Vec<u64>,
    total: u64,
}

/// The differences between the registers of this node and those that a peer listed.
#[derive(Default)]
pub(crate) struct Difference {
    /// Hashes of the keys of registers that the peer has and that this node lacks or has in another version.
    pub(crate) wanted: Vec<u64>,
    /// Keys of registers that the peer lacks or has in another version.
    pub(crate) missing_at_peer: Vec<Key>,
    /// Keys of registers that are the same on both nodes, but that the peer no longer counts as live.
    pub(crate) forgotten_by_peer: Vec<Key>,
}

fn bucket_of(key: u64) -> usize {
    (key >> 58) as usize
}

impl Digest {
    pub(crate) fn new() -> Digest {
        Digest { buckets: (0..BUCKETS).map(|_| BTreeMap::new()).collect(), sums: vec![0; BUCKETS], total: 0 }
    }

    /// Records the current hash of the register of `key`.
    pub(crate) fn set(&mut self, key: Key, hash: u64, live: bool) {
        let key_hash = key.hash();
        let version = hash & !LIVE_BIT | u64::from(live);
        self.remove_hash(key_hash);
        let bucket = bucket_of(key_hash);
        if live {
            self.sums[bucket] ^= version;
            self.total ^= version;
        }
        self.buckets[bucket].insert(key_hash, Item { version, key });
    }

    pub(crate) fn remove(&mut self, key: &Key) {
        self.remove_hash(key.hash());
    }

    fn remove_hash(&mut self, key_hash: u64) {
        let bucket = bucket_of(key_hash);
        if let Some(item) = self.buckets[bucket].remove(&key_hash)
            && item.version & LIVE_BIT != 0
        {
            self.sums[bucket] ^= item.version;
            self.total ^= item.version;
        }
    }

    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    pub(crate) fn sums(&self) -> &[u64] {
        &self.sums
    }

    pub(crate) fn key(&self, key_hash: u64) -> Option<&Key> {
        Some(&self.buckets[bucket_of(key_hash)].get(&key_hash)?.key)
    }

    /// Returns the summaries of all registers in one bucket.
    pub(crate) fn summaries(&self, bucket: usize) -> impl Iterator<Item = Summary> {
        self.buckets[bucket].iter().map(|(key, item)| Summary { key: *key, version: item.version })
    }

    /// Returns the keys of all live registers in one bucket.
    pub(crate) fn live_keys(&self, bucket: usize) -> impl Iterator<Item = &Key> {
        self.buckets[bucket].values().filter(|item| item.version & LIVE_BIT != 0).map(|item| &item.key)
    }

    /// Compares the registers of this node with those that a peer listed. Bit `i` of `complete` is set if the peer
    /// listed all registers of bucket `i`.
    pub(crate) fn compare(&self, complete: u64, theirs: &[Summary]) -> Difference {
        let mut difference = Difference::default();
        let mut listed = std::collections::BTreeSet::new();
        for summary in theirs {
            listed.insert(summary.key);
            match self.buckets[bucket_of(summary.key)].get(&summary.key) {
                None if summary.is_live() => difference.wanted.push(summary.key),
                None => {}
                Some(item) if item.version == summary.version => {}
                // Both nodes hold the register as not live, so the difference needs no repair.
                Some(item) if item.version & LIVE_BIT == 0 && !summary.is_live() => {}
                // One of the two nodes no longer counts the register as live. If that is this node, the peer learns it
                // from the next comparison.
                Some(item) if (item.version ^ summary.version) == LIVE_BIT => {
                    difference.forgotten_by_peer.extend((!summary.is_live()).then(|| item.key.clone()));
                }
                Some(item) => {
                    difference.wanted.push(summary.key);
                    difference.missing_at_peer.push(item.key.clone());
                }
            }
        }
        for bucket in (0..BUCKETS).filter(|bucket| complete >> bucket & 1 == 1) {
            let items = self.buckets[bucket].iter().filter(|(hash, _)| !listed.contains(hash));
            difference.missing_at_peer.extend(
                items.filter(|(_, item)| item.version & LIVE_BIT != 0).map(|(_, item)| item.key.clone()),
            );
        }
        difference
    }
}
