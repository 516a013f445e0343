//! Why the disk could not be read or written.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// A failure of the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StoreError {
    /// The system refused to do something with a file or folder.
    #[snafu(display("can't {action} {}: {source}", path.display()))]
    Io {
        /// What was tried, as a verb.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// What was synced can't be read any more. The disk may have lost a vote or a term, so the replica must not continue
    /// under its identity: wipe the folder.
    #[snafu(display("{} is damaged: {what}", path.display()))]
    Damaged {
        /// What is damaged.
        what: &'static str,
        /// The file or folder.
        path: PathBuf,
    },
    /// A newer version of this program has written what this one can't read. Nothing is lost: start the newer one.
    #[snafu(display("{} was written by a newer version of this program: {what}", path.display()))]
    NewerFormat {
        /// What has the newer format.
        what: &'static str,
        /// The file.
        path: PathBuf,
    },
    /// An earlier write or sync failed so that the state of the file is unknown: open the store anew.
    #[snafu(display("the store failed before and must be opened anew"))]
    Poisoned,
}
