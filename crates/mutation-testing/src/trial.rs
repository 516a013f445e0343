//! One guard taken out, and whether its test notices.

use crate::copy::Copy;
use crate::table::{Guard, TableError};
use snafu::{ResultExt, Snafu};
use std::fmt;
use std::path::Path;
use std::process::{Command, Stdio};

/// What became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The test fails without the guard: so many of its cases.
    Noticed {
        /// Cases that failed.
        cases: usize,
    },
    /// The test passes all the same.
    Unnoticed,
    /// There is no test of that name.
    NoSuchTest,
    /// The source can't be built without the guard.
    NotBuilt {
        /// What the compiler says.
        why: String,
    },
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Noticed { cases } => write!(formatter, "noticed by {cases} of its cases"),
            Outcome::Unnoticed => write!(formatter, "NOT noticed"),
            Outcome::NoSuchTest => write!(formatter, "there is no such test"),
            Outcome::NotBuilt { why } => write!(formatter, "can't be built: {why}"),
        }
    }
}

/// Why a trial can't be made.
#[derive(Debug, Snafu)]
pub enum TrialError {
    /// The guard can't be taken out.
    #[snafu(display("{source}"), context(false))]
    Guard {
        /// Why.
        source: TableError,
    },
    /// The copy can't be changed, or the tests can't be run.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was done.
        what: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
}

/// Takes a guard out of the copy, runs its test there, and puts it back.
///
/// # Errors
/// The guard's text is not there, or the copy can't be changed.
pub fn try_without(guard: &Guard, copy: &Copy, build: &Path) -> Result<Outcome, TrialError> {
    let without = guard.taken_out(copy.root())?;
    let before = copy.replace(&guard.file, &without).context(SystemSnafu { what: "taking the guard out" })?;
    let outcome = run(guard, copy.root(), build);
    copy.replace(&guard.file, &before).context(SystemSnafu { what: "putting the guard back" })?;
    outcome
}

fn run(guard: &Guard, root: &Path, build: &Path) -> Result<Outcome, TrialError> {
    let cargo = |more: &[&str]| {
        let mut command = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        command.current_dir(root).env("CARGO_TARGET_DIR", build).stdin(Stdio::null());
        command.args(["test", "--locked", "-p", &guard.package, "--test", &guard.test]).args(more);
        command.output().context(SystemSnafu { what: "running cargo" })
    };
    let built = cargo(&["--no-run"])?;
    if !built.status.success() {
        let text = String::from_utf8_lossy(&built.stderr).into_owned();
        let why = text.lines().find(|line| line.starts_with("error")).unwrap_or("no reason").to_owned();
        return Ok(Outcome::NotBuilt { why });
    }
    let ran = cargo(&["--", &guard.case])?;
    Ok(read_run(&String::from_utf8_lossy(&ran.stdout), ran.status.success()))
}

/// What a run of a test's cases says.
pub fn read_run(text: &str, passed: bool) -> Outcome {
    let cases = |ending: &str| {
        let lines = text.lines().filter(|line| line.starts_with("test ") && line.ends_with(ending));
        lines.count()
    };
    match (cases("FAILED"), cases("ok")) {
        (0, 0) => Outcome::NoSuchTest,
        (0, _) if passed => Outcome::Unnoticed,
        (failed, _) => Outcome::Noticed { cases: failed },
    }
}
