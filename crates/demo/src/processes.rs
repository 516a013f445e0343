//! The processes of the tier: each is ended when it goes out of scope, whatever happened.

use crate::error::{DemoError, FileSnafu, ProcessSnafu};
use crate::layout::{Layout, Machine, MachineKind};
use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Names the settings file of a process.
const SETTINGS_FILE: &str = "GREBEUSHER_NODE_FILE";
/// So much of the end of a log is told.
const TOLD_OF_LOG: usize = 600;

/// A process of the tier.
pub struct Process {
    /// Its machine.
    pub machine: Machine,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts the process of a machine; its settings, log and disk are in a folder of its own below `folder`.
    ///
    /// # Errors
    /// The files can't be made or the program can't be started.
    pub fn start(
        program: &Path,
        layout: &Layout,
        machine: &Machine,
        folder: &Path,
    ) -> Result<Process, DemoError> {
        let home = folder.join(&machine.name);
        let disk = home.join("disk");
        std::fs::create_dir_all(&disk).context(FileSnafu { path: &disk })?;
        let settings = home.join("settings.json");
        std::fs::write(&settings, layout.settings(machine, &disk)).context(FileSnafu { path: &settings })?;
        let log = home.join("log");
        let log_file = File::create(&log).context(FileSnafu { path: &log })?;
        let role = if machine.kind == MachineKind::Storage { "storage" } else { "edge" };
        let mut command = Command::new(program);
        command.arg(role).env(SETTINGS_FILE, &settings).current_dir(&home);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log_file);
        let child = command.spawn().context(ProcessSnafu { name: &machine.name })?;
        Ok(Process { machine: machine.clone(), child, log })
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The exit status, if the process has ended.
    ///
    /// # Errors
    /// The system can't say.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>, DemoError> {
        self.child.try_wait().context(ProcessSnafu { name: &self.machine.name })
    }

    /// Nothing is wrong as long as the process runs.
    ///
    /// # Errors
    /// The process has ended.
    pub fn must_run(&mut self) -> Result<(), DemoError> {
        match self.ended()? {
            None => Ok(()),
            Some(status) => Err(self.failure(status)),
        }
    }

    /// An end that should not have been, with the last lines of the log.
    pub fn failure(&self, status: ExitStatus) -> DemoError {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let start = log.ceil_char_boundary(log.len().saturating_sub(TOLD_OF_LOG));
        DemoError::Ended {
            name: self.machine.name.clone(),
            how: format!("{status}; {}", log[start..].trim()),
        }
    }

    /// Asks the process to stop.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn terminate(&self) -> Result<(), DemoError> {
        self.signal(Signal::TERM)
    }

    /// Ends the process at once, as a crash would.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn kill(&mut self) -> Result<(), DemoError> {
        self.signal(Signal::KILL)?;
        self.child.wait().context(ProcessSnafu { name: &self.machine.name }).map(drop)
    }

    fn signal(&self, signal: Signal) -> Result<(), DemoError> {
        // The child has not been waited for, so that its id is still its own.
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(std::io::Error::from).context(ProcessSnafu { name: &self.machine.name })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended already needs neither.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
