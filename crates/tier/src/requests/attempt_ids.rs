//! The attempt ids of the latest calls on one connection to an executor.

use rustc_hash::FxBuildHasher;
use std::collections::VecDeque;
use std::hash::BuildHasher;

/// The most calls that a connection remembers. A repeated response comes in the place of the next response on its connection,
/// so none is left of calls that this many others followed.
const MAX_REMEMBERED_CALLS: usize = 32;

/// The ids of up to `MAX_REMEMBERED_CALLS` calls, as hashes. If two ids have the same hash, a call uses another connection than
/// it would need to.
#[derive(Debug, Default)]
pub(super) struct AttemptIds {
    hashes: VecDeque<u64>,
}

impl AttemptIds {
    /// Adds the id of the call that starts now.
    pub fn push(&mut self, attempt_id: &str) {
        if self.hashes.len() == MAX_REMEMBERED_CALLS {
            self.hashes.pop_front();
        }
        self.hashes.push_back(FxBuildHasher.hash_one(attempt_id));
    }

    /// Whether one of the calls has this id.
    pub fn contains(&self, attempt_id: &str) -> bool {
        self.hashes.contains(&FxBuildHasher.hash_one(attempt_id))
    }
}
