//! The replicated state machine that holds the current configuration: a register that changes by compare-and-set on its
//! version.
//!
//! The leader of the partition decides on a change before it proposes it. Every replica decides on it again when it
//! applies it, by the changes that were applied before. So at most one of two changes on the same base is ever
//! accepted, even if both get into the log.
//!
//! A change is identified by its base, its version and its body. The same body under the same version on *another* base
//! is another change, and is rejected like any other that doesn't build on the current version. If it got the answer to
//! the first one, two changes on one base could both be acknowledged.

mod answer;
mod change;
mod pending;
mod snapshot;
mod state;

pub use answer::Answer;
pub use change::{BodyHash, Change, Entry, EntryError};
pub use pending::Pending;
pub use snapshot::SnapshotError;
pub use state::{Applied, ConfigurationRegister, MAX_HISTORY, Verdict};
