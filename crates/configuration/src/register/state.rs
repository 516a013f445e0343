//! The register itself: judges changes before they are proposed, and applies them once they are committed.

use super::change::{Change, Entry};
use super::pending::Pending;
use std::collections::VecDeque;
use std::sync::Arc;

/// How many accepted changes are remembered, so that one sent again is known. A call is repeated for seconds, and
/// there are few changes a second at most. A repeat of an older one gets no clear answer ([`Verdict::OlderThanHistory`]).
pub const MAX_HISTORY: usize = 512;

/// The configuration in force, and the changes that led to it.
///
/// The same entries in the same order give the same register at every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationRegister {
    pub(super) version: u64,
    pub(super) body: Arc<[u8]>,
    /// The newest last; each builds on the one before it.
    pub(super) history: VecDeque<Change>,
}

/// What is to be done with a change that an operator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It builds on the current version, and nothing else is pending: propose it.
    Accept,
    /// This very change was accepted before: acknowledge it again.
    AlreadyAccepted,
    /// Another version than its base is current; this is committed.
    VersionMismatch,
    /// It may have been accepted before the oldest change that is remembered, or not: nothing can be said of it.
    OlderThanHistory,
    /// It builds on the current version but its own isn't above it: invalid.
    VersionNotAbove,
    /// A change is proposed and not yet committed, and it decides this one (it may be the same). Judge anew once
    /// that change has been applied; it is neither acknowledged nor rejected before.
    Undecided,
}

/// What became of a committed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force now.
    Accepted,
    /// The log held it twice; it was accepted before.
    AlreadyAccepted,
    /// Another change on the same base went before it, or its version isn't above the current one.
    Conflict,
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

    /// The changes that were accepted, the newest last.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// Judges a change by what is committed and what is pending.
    ///
    /// Only the leader of the partition may judge, once it has applied everything that was committed before its term:
    /// then a refusal rests on committed changes alone, and as versions only rise, it is final. A register that is
    /// behind would reject a change that builds on a version which it has not seen yet.
    pub fn judge(&self, change: &Change, pending: &Pending) -> Verdict {
        if self.was_accepted(change) {
            Verdict::AlreadyAccepted
        } else if self.may_predate_history(change) {
            Verdict::OlderThanHistory
        } else if change.base < self.version {
            Verdict::VersionMismatch
        } else if change.version <= change.base {
            if change.base == self.version { Verdict::VersionNotAbove } else { Verdict::VersionMismatch }
        } else if !pending.is_empty() {
            Verdict::Undecided
        } else if change.base == self.version {
            Verdict::Accept
        } else {
            Verdict::VersionMismatch
        }
    }

    /// Applies the next committed entry.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        let change = entry.change();
        if self.was_accepted(change) {
            return Applied::AlreadyAccepted;
        }
        if change.base != self.version || change.version <= self.version {
            return Applied::Conflict;
        }
        self.version = change.version;
        self.body = Arc::clone(entry.body());
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(*change);
        Applied::Accepted
    }

    /// Whether a change that is not remembered may have been accepted all the same, before the oldest one that is.
    fn may_predate_history(&self, change: &Change) -> bool {
        let oldest_base = self.history.front().map_or(0, |oldest| oldest.base);
        change.base < change.version && change.version <= oldest_base
    }

    /// Versions rise along the history, so it is searched by halves.
    fn was_accepted(&self, change: &Change) -> bool {
        let found = self.history.binary_search_by_key(&change.version, |accepted| accepted.version);
        found.is_ok_and(|index| self.history.get(index) == Some(change))
    }
}
