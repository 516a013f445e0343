//! File operations whose errors name the operation and the path.

use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::path::Path;

use snafu::ResultExt;

use super::error::{IoSnafu, StoreError};

/// Creates a folder and its parents, and syncs its immediate parent.
pub(super) fn create_folder(path: &Path) -> Result<(), StoreError> {
    std::fs::create_dir_all(path).context(IoSnafu { action: "create", path })?;
    if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        sync_folder(parent)?;
    }
    Ok(())
}

/// Syncs a folder, so that new file names in it survive a loss of power.
pub(super) fn sync_folder(path: &Path) -> Result<(), StoreError> {
    let folder = File::open(path).context(IoSnafu { action: "open", path })?;
    folder.sync_all().context(IoSnafu { action: "sync", path })
}

/// Reads the whole content of a file; empty if the file does not exist.
pub(super) fn read(path: &Path) -> Result<Vec<u8>, StoreError> {
    let mut content = Vec::new();
    match File::open(path) {
        Ok(mut file) => {
            file.read_to_end(&mut content).context(IoSnafu { action: "read", path })?;
        }
        Err(error) if error.kind() == ErrorKind::NotFound => {}
        Err(error) => return Err(error).context(IoSnafu { action: "open", path }),
    }
    Ok(content)
}

/// Replaces a file's content in place and syncs it.
pub(super) fn replace(path: &Path, content: &[u8]) -> Result<File, StoreError> {
    let mut options = OpenOptions::new();
    let mut file = options
        .write(true)
        .create(true)
        .truncate(true)
        .open(path)
        .context(IoSnafu { action: "open", path })?;
    file.write_all(content).context(IoSnafu { action: "write", path })?;
    file.sync_all().context(IoSnafu { action: "sync", path })?;
    Ok(file)
}

/// Truncates a file to no bytes, if it exists. The change is not synced.
pub(super) fn truncate(path: &Path) -> Result<(), StoreError> {
    match OpenOptions::new().write(true).open(path) {
        Ok(file) => file.set_len(0).context(IoSnafu { action: "empty", path }),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(()),
        Err(error) => Err(error).context(IoSnafu { action: "open", path }),
    }
}

/// Syncs a file without changing it.
pub(super) fn sync_file(path: &Path) -> Result<(), StoreError> {
    let file = File::open(path).context(IoSnafu { action: "open", path })?;
    file.sync_all().context(IoSnafu { action: "sync", path })
}
