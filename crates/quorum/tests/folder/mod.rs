//! Temporary folders for tests of files. They are in memory where the machine has `/dev/shm`, because the tests sync
//! thousands of files.

pub fn new_folder() -> tempfile::TempDir {
    tempfile::tempdir_in("/dev/shm").or_else(|_| tempfile::tempdir()).expect("a folder")
}
