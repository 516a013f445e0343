//! The replicated state machine that keeps the configuration in force: a register that is changed by
//! compare-and-set on its version.
//!
//! The leader of the part judges a change before it proposes it; every replica judges it again when it is applied,
//! by what was applied before. So of two changes on the same base at most one is ever taken, even if both get into
//! the log.
//!
//! A change is its base, its version and its body. The same body under the same version on *another* base is
//! another change, and is refused like any other that doesn't build on the current version: were it answered like
//! the first, two changes on one base could both be acknowledged.

mod answer;
mod change;
mod pending;
mod snapshot;

use std::collections::VecDeque;
use std::sync::Arc;

pub use answer::Answer;
pub use change::{BodyHash, Change, Entry, EntryError};
pub use pending::Pending;
pub use snapshot::SnapshotError;

/// How many taken changes are remembered, so that one sent again is known. A call is repeated for seconds, and
/// there are few changes a second at most. A repeat of an older one gets no clear answer ([`Verdict::TooOld`]).
pub const MAX_HISTORY: usize = 512;

/// The configuration in force, and the changes that led to it.
///
/// The same entries in the same order give the same register at every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationRegister {
    version: u64,
    body: Arc<[u8]>,
    /// The newest last; each builds on the one before it.
    history: VecDeque<Change>,
}

/// What is to be done with a change that an operator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It builds on the current version, and nothing else is under way: propose it.
    Take,
    /// This very change was taken before: acknowledge it again.
    AlreadyTaken,
    /// Another version than its base is current; this is committed.
    OtherVersionIsCurrent,
    /// It may have been taken before the oldest change that is remembered, or not: nothing can be said of it.
    TooOld,
    /// It builds on the current version but its own isn't above it: invalid.
    NotAbove,
    /// A change is proposed and not yet committed, and it decides this one (it may be the same). Judge anew once
    /// that change has been applied; it is neither acknowledged nor refused before.
    Undecided,
}

/// What became of a committed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force now.
    Taken,
    /// The log held it twice; it was taken before.
    AlreadyTaken,
    /// Another change on the same base went before it, or its version isn't above the current one.
    LostRace,
}

impl ConfigurationRegister {
    /// A register without a configuration: version 0, which the first one builds on.
    pub fn new() -> ConfigurationRegister {
        ConfigurationRegister::default()
    }

    /// The version in force; 0 if there is none yet.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration in force, byte for byte as it was sent; empty if there is none yet.
    pub fn body(&self) -> &Arc<[u8]> {
        &self.body
    }

    /// The changes that were taken, the newest last.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// Judges a change by what is committed and what is under way.
    ///
    /// Only the leader of the part may judge, once it has applied everything that was committed before its term:
    /// then a refusal rests on committed changes alone, and as versions only rise, it is final. A register that is
    /// behind would refuse a change that builds on a version which it has not seen yet.
    pub fn judge(&self, change: &Change, pending: &Pending) -> Verdict {
        if self.was_taken(change) {
            Verdict::AlreadyTaken
        } else if self.may_be_forgotten(change) {
            Verdict::TooOld
        } else if change.base < self.version {
            Verdict::OtherVersionIsCurrent
        } else if change.version <= change.base {
            if change.base == self.version { Verdict::NotAbove } else { Verdict::OtherVersionIsCurrent }
        } else if !pending.is_empty() {
            Verdict::Undecided
        } else if change.base == self.version {
            Verdict::Take
        } else {
            Verdict::OtherVersionIsCurrent
        }
    }

    /// Applies the next committed entry.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        let change = entry.change();
        if self.was_taken(change) {
            return Applied::AlreadyTaken;
        }
        if change.base != self.version || change.version <= self.version {
            return Applied::LostRace;
        }
        self.version = change.version;
        self.body = Arc::clone(entry.body());
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(*change);
        Applied::Taken
    }

    /// Whether a change that is not remembered may have been taken all the same, before the oldest one that is.
    fn may_be_forgotten(&self, change: &Change) -> bool {
        let oldest_base = self.history.front().map_or(0, |oldest| oldest.base);
        change.base < change.version && change.version <= oldest_base
    }

    /// Versions rise along the history, so it is searched by halves.
    fn was_taken(&self, change: &Change) -> bool {
        let found = self.history.binary_search_by_key(&change.version, |taken| taken.version);
        found.is_ok_and(|index| self.history.get(index) == Some(change))
    }
}
