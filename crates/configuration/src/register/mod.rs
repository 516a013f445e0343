//! The replicated state machine that keeps the configuration in force: a register that is changed by
//! compare-and-set on its version.
//!
//! The leader of the partition judges a change before it proposes it; every replica judges it again when it is applied,
//! by what was applied before. So of two changes on the same base at most one is ever accepted, even if both get into
//! the log.
//!
//! A change is its base, its version and its body. The same body under the same version on *another* base is
//! another change, and is rejected like any other that doesn't build on the current version: were it answered like
//! the first, two changes on one base could both be acknowledged.

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
