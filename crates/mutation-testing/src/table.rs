//! The table of guards.

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};
use std::path::{Path, PathBuf};

/// A guard, and how it is taken out.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guard {
    /// What it guards.
    pub name: String,
    /// The file that holds it, from the root of the workspace.
    pub file: PathBuf,
    /// Its text, which stands in the file exactly once.
    pub guard: String,
    /// What stands there without it.
    pub without: String,
    /// The package of the test that notices.
    pub package: String,
    /// The test's file, without its ending.
    pub test: String,
    /// The test, or the beginning that the names of its cases share.
    pub case: String,
}

/// All guards.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// In the order in which they are tried.
    pub guard: Vec<Guard>,
}

/// Why a table can't be used.
#[derive(Debug, Snafu)]
pub enum TableError {
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is no table of guards.
    #[snafu(display("{}: {source}", path.display()))]
    Form {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: toml::de::Error,
    },
    /// A guard's text does not stand in its file exactly once.
    #[snafu(display("\"{name}\": its text stands {count} times in {}", file.display()))]
    Place {
        /// The guard.
        name: String,
        /// The file.
        file: PathBuf,
        /// How often.
        count: usize,
    },
    /// Nothing would change.
    #[snafu(display("\"{name}\": the text without it is the same"))]
    NoChange {
        /// The guard.
        name: String,
    },
}

impl Table {
    /// Reads a table.
    ///
    /// # Errors
    /// The file can't be read or is no table.
    pub fn read(path: &Path) -> Result<Table, TableError> {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        toml::from_str(&text).context(FormSnafu { path })
    }
}

impl Guard {
    /// The content of its file without it, in the workspace at `root`.
    ///
    /// # Errors
    /// The file can't be read, or its text does not stand there exactly once.
    pub fn taken_out(&self, root: &Path) -> Result<String, TableError> {
        ensure!(self.guard != self.without, NoChangeSnafu { name: &self.name });
        let path = root.join(&self.file);
        let text = std::fs::read_to_string(&path).context(FileSnafu { path: &path })?;
        let count = text.matches(self.guard.as_str()).count();
        ensure!(count == 1, PlaceSnafu { name: &self.name, file: &self.file, count });
        Ok(text.replacen(&self.guard, &self.without, 1))
    }
}
