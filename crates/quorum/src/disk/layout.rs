//! The paths of a partition's files. Generations alternate between two slots and two logs.

use std::path::{Path, PathBuf};

/// The path of the slot of a generation.
pub(super) fn slot_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("slot-{}", generation % 2))
}

/// The path of the log of a generation.
pub(super) fn log_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("log-{}", generation % 2))
}
