//! The files of a replica: two slots for snapshots that are written in turn, a log for each slot, and the identity.
//!
//! A partition's folder holds `slot-0`, `slot-1`, `log-0` and `log-1`. Generation *g* is in the slot and log *g* mod 2:
//! the slot has a snapshot, the log the hard state and the entries after the snapshot. A new generation writes and
//! syncs its log first, then its slot; writing the slot activates it, and until then the previous generation is
//! complete. The checksum of a log's record covers the generation and all records before it, so that data left over
//! from an earlier write is never taken for a part of the log.

mod error;
mod files;
mod format;
mod identity;
mod layout;
mod records;
mod recovery;
mod slot;
mod store;

pub use error::StoreError;
pub use identity::Identity;
pub use store::Store;
