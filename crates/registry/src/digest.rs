//! Hashes over all registers, kept up as these change: equal digests mean equal registers.

use crate::register::Key;
use std::collections::BTreeMap;

/// Into how many parts the registers fall, so that few need to be compared one by one.
pub(crate) const BUCKETS: usize = 64;

/// The lowest bit of a summary's version: whether the register is one of something that lives.
const LIVE: u64 = 1;

/// A key and a version, as hashes. The lowest bit of the version is set for what lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The hash of the key.
    pub key: u64,
    /// The hash of the register.
    pub version: u64,
}

impl Summary {
    pub(crate) fn is_live(self) -> bool {
        self.version & LIVE != 0
    }
}

struct Item {
    version: u64,
    key: Key,
}

/// The versions of all registers. Those of the dead and gone are listed but not in the sums, as each node forgets
/// them in its own time.
pub(crate) struct Digest {
    buckets: Vec<BTreeMap<u64, Item>>,
    sums: Vec<u64>,
    total: u64,
}

/// What two nodes have to send each other.
#[derive(Default)]
pub(crate) struct Difference {
    /// Keys of registers that the other has and this node lacks.
    pub(crate) wanted: Vec<u64>,
    /// Keys of registers that the other lacks.
    pub(crate) lacking: Vec<Key>,
    /// Keys of registers that are the same, but that the other counts no more.
    pub(crate) forgotten: Vec<Key>,
}

fn bucket_of(key: u64) -> usize {
    (key >> 58) as usize
}

impl Digest {
    pub(crate) fn new() -> Digest {
        Digest { buckets: (0..BUCKETS).map(|_| BTreeMap::new()).collect(), sums: vec![0; BUCKETS], total: 0 }
    }

    /// Records that the register of `key` now has this hash.
    pub(crate) fn set(&mut self, key: Key, hash: u64, live: bool) {
        let key_hash = key.hash();
        let version = hash & !LIVE | u64::from(live);
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
            && item.version & LIVE != 0
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

    /// The entries of one bucket.
    pub(crate) fn summaries(&self, bucket: usize) -> impl Iterator<Item = Summary> {
        self.buckets[bucket].iter().map(|(key, item)| Summary { key: *key, version: item.version })
    }

    /// The keys of all that lives in one bucket.
    pub(crate) fn live_keys(&self, bucket: usize) -> impl Iterator<Item = &Key> {
        self.buckets[bucket].values().filter(|item| item.version & LIVE != 0).map(|item| &item.key)
    }

    /// Compares what is here with what another node listed.
    pub(crate) fn compare(&self, complete: u64, theirs: &[Summary]) -> Difference {
        let mut difference = Difference::default();
        let mut listed = std::collections::BTreeSet::new();
        for summary in theirs {
            listed.insert(summary.key);
            match self.buckets[bucket_of(summary.key)].get(&summary.key) {
                None if summary.is_live() => difference.wanted.push(summary.key),
                None => {}
                Some(item) if item.version == summary.version => {}
                // What is over by both accounts need not be settled.
                Some(item) if item.version & LIVE == 0 && !summary.is_live() => {}
                // The other has forgotten it already, or is about to hear that this node has.
                Some(item) if (item.version ^ summary.version) == LIVE => {
                    difference.forgotten.extend((!summary.is_live()).then(|| item.key.clone()));
                }
                Some(item) => {
                    difference.wanted.push(summary.key);
                    difference.lacking.push(item.key.clone());
                }
            }
        }
        for bucket in (0..BUCKETS).filter(|bucket| complete >> bucket & 1 == 1) {
            let items = self.buckets[bucket].iter().filter(|(hash, _)| !listed.contains(hash));
            difference
                .lacking
                .extend(items.filter(|(_, item)| item.version & LIVE != 0).map(|(_, item)| item.key.clone()));
        }
        difference
    }
}
