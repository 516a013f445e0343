//! What can go wrong in a demonstration.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Why a demonstration ended early; one line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// The program of the tier is not where it was looked for.
    #[snafu(display("{} is not there: build it with `cargo build --release -p grebeusher-tier`", path.display()))]
    NoProgram {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// A folder or file can't be made.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The folder or file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// No ports are free at all the loopback addresses.
    #[snafu(display("no {wanted} ports in a row are free at the loopback addresses"))]
    NoPorts {
        /// How many were looked for.
        wanted: u16,
    },
    /// A process can't be started or spoken to.
    #[snafu(display("{name}: {source}"))]
    Process {
        /// The name of its node.
        name: String,
        /// What the system says.
        source: io::Error,
    },
    /// A process ended by itself or with a failure.
    #[snafu(display("{name} ended: {how}"))]
    Ended {
        /// The name of its node.
        name: String,
        /// Its exit status and the end of its log.
        how: String,
    },
    /// A stand-in executor can't listen.
    #[snafu(display("a stand-in executor: {source}"))]
    Executor {
        /// What the system says.
        source: io::Error,
    },
    /// A step did not come to its end in the time of the whole.
    #[snafu(display("out of time: {step}"))]
    Late {
        /// What was waited for.
        step: String,
    },
    /// The demonstration was told to stop.
    #[snafu(display("told to stop"))]
    Interrupted,
    /// The tier answered something that it should not.
    #[snafu(display("{step}: {what}"))]
    Wrong {
        /// What was asked.
        step: String,
        /// What came back.
        what: String,
    },
    /// The table can't be written.
    #[snafu(display("writing what happened: {source}"), context(false))]
    Output {
        /// What the system says.
        source: io::Error,
    },
}
