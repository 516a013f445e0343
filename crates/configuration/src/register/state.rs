//! The register. It decides whether a change may be proposed, and applies changes once they are committed.

use super::change::{Change, Entry};
use super::pending::Pending;
use std::collections::VecDeque;
use std::sync::Arc;

/// The maximum number of accepted changes in the history, by which a change that is sent again is recognized. A caller
/// repeats a change for a few seconds, and there are only a few changes a second. For a change that is older than the
/// history it is not known whether it was accepted ([`Verdict::OlderThanHistory`]).
pub const MAX_HISTORY: usize = 512;

/// The current configuration, and the changes that led to it.
///
/// All replicas that apply the same entries in the same order have the same register.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationRegister {
    pub(super) version: u64,
    pub(super) body: Arc<[u8]>,
    /// The accepted changes from the oldest to the newest. Each builds on the one before it.
    pub(super) history: VecDeque<Change>,
}

/// The decision on a change that an operator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The change builds on the current version and no other is pending, so it is to be proposed.
    Accept,
    /// The same change was accepted before, so it is to be acknowledged again.
    AlreadyAccepted,
    /// The base of the change is not the current version. The committed changes show this, so the decision is final.
    VersionMismatch,
    /// The change may have been accepted before the oldest change in the history, so it is not known whether it was.
    OlderThanHistory,
    /// The change is invalid: it builds on the current version, but the version that it sets isn't above the current
    /// one.
    VersionNotAbove,
    /// A pending change, which may be this very change, decides on this one. This change is to be judged again once the
    /// pending one has been applied; until then it is neither acknowledged nor rejected.
    Undecided,
}

/// The outcome of applying a committed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change was accepted, and its configuration is the current one.
    Accepted,
    /// The change was accepted before; the log contains it more than once.
    AlreadyAccepted,
    /// The change was rejected: its base is not the current version, as another change was applied first, or the
    /// version that it sets isn't above the current one.
    Conflict,
}

impl ConfigurationRegister {
    /// Creates a register without a configuration. Its version is 0, which the first change builds on.
    pub fn new() -> ConfigurationRegister {
        ConfigurationRegister::default()
    }

    /// Returns the current version; 0 if there is no configuration yet.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the body of the current configuration, byte for byte as the operator sent it. It is empty if there is no
    /// configuration yet.
    pub fn body(&self) -> &Arc<[u8]> {
        &self.body
    }

    /// Returns the accepted changes that are remembered, from the oldest to the newest.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// Decides on a change by the committed changes and the pending ones.
    ///
    /// Only the leader of the partition may call this, once it has applied all entries that were committed before its
    /// term. A rejection then depends on committed changes alone, and is final because versions only rise. A register
    /// that is behind would reject a change that builds on a version which it has not applied yet.
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

    /// Applies the next committed entry of the log.
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

    /// Whether a change that is not in the history may have been accepted before the oldest change that is.
    fn may_predate_history(&self, change: &Change) -> bool {
        let oldest_base = self.history.front().map_or(0, |oldest| oldest.base);
        change.base < change.version && change.version <= oldest_base
    }

    /// Whether the history contains the change. As versions rise along the history, a binary search finds it.
    fn was_accepted(&self, change: &Change) -> bool {
        let found = self.history.binary_search_by_key(&change.version, |accepted| accepted.version);
        found.is_ok_and(|index| self.history.get(index) == Some(change))
    }
}
