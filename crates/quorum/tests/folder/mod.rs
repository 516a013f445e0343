//! A temporary folder for tests of files, in memory where the machine has a file system there.

pub fn new_folder() -> tempfile::TempDir {
    tempfile::tempdir_in("/dev/shm").or_else(|_| tempfile::tempdir()).expect("a folder")
}
