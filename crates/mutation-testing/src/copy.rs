//! A copy of the workspace in which guards may be taken out.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// What a build and the tests need of the workspace.
const NEEDED: [&str; 4] = ["Cargo.toml", "Cargo.lock", "crates", "deploy"];

/// A copy of a workspace.
pub struct Copy {
    root: PathBuf,
}

impl Copy {
    /// Brings a copy up to date. Only files that differ are written, so that what was built of the others stays built.
    ///
    /// # Errors
    /// Something can't be read or written.
    pub fn of(workspace: &Path, root: &Path) -> io::Result<Copy> {
        fs::create_dir_all(root)?;
        for name in NEEDED {
            bring(&workspace.join(name), &root.join(name))?;
        }
        Ok(Copy { root: root.to_owned() })
    }

    /// Where it is.
    pub fn root(&self) -> &Path {
        &self.root
    }

    /// Puts a content in the place of a file's, and gives back what stood there.
    ///
    /// # Errors
    /// The file can't be read or written.
    pub fn replace(&self, file: &Path, content: &str) -> io::Result<String> {
        let path = self.root.join(file);
        let before = fs::read_to_string(&path)?;
        fs::write(&path, content)?;
        Ok(before)
    }
}

fn bring(from: &Path, to: &Path) -> io::Result<()> {
    if !from.is_dir() {
        let content = fs::read(from)?;
        if fs::read(to).ok().as_ref() != Some(&content) {
            fs::write(to, content)?;
        }
        return Ok(());
    }
    fs::create_dir_all(to)?;
    let mut names = Vec::new();
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        bring(&entry.path(), &to.join(entry.file_name()))?;
        names.push(entry.file_name());
    }
    for entry in fs::read_dir(to)? {
        let entry = entry?;
        if !names.contains(&entry.file_name()) {
            remove(&entry.path())?;
        }
    }
    Ok(())
}

fn remove(path: &Path) -> io::Result<()> {
    if path.is_dir() { fs::remove_dir_all(path) } else { fs::remove_file(path) }
}
