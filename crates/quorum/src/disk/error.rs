//! Errors of reading and writing the disk.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// The reason why the store or the identity could not be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StoreError {
    /// An operation on a file or folder failed.
    #[snafu(display("can't {action} {}: {source}", path.display()))]
    Io {
        /// The operation that failed, as a verb.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Data that was synced can't be read any more. The disk may have lost a vote or a term, so the replica must not
    /// continue with its id: the folder has to be wiped.
    #[snafu(display("{} is damaged: {what}", path.display()))]
    Damaged {
        /// The part that is damaged.
        what: &'static str,
        /// The file or folder.
        path: PathBuf,
    },
    /// A newer version of this program has written data that this version can't read. Nothing is lost; the newer
    /// version has to be started.
    #[snafu(display("{} was written by a newer version of this program: {what}", path.display()))]
    NewerFormat {
        /// The part that has the newer format.
        what: &'static str,
        /// The file with the newer format.
        path: PathBuf,
    },
    /// An earlier write or sync failed, so that the content of the file is unknown. The store has to be opened again.
    #[snafu(display("the store failed before and must be opened anew"))]
    Poisoned,
}
