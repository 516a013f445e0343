//! The processes of the tier: each is ended when it goes out of scope, whatever happened.

use crate::error::{DemoError, FileSnafu, ProcessSnafu};
use crate::layout::{Layout, Machine, MachineKind};
use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Names the settings file of a process.
const SETTINGS_FILE: &str = "GREBEUSHER_NODE_FILE";
/// The name of the settings file in the folder of a machine.
const SETTINGS_NAME: &str = "settings.json";
/// The name of the tier's program.
const PROGRAM: &str = "grebeusher-tier";
/// So much of the end of a log is told.
const TOLD_OF_LOG: usize = 600;

/// The path of the tier's program: beside the running one.
pub fn program_beside() -> PathBuf {
    std::env::current_exe().unwrap_or_default().with_file_name(PROGRAM)
}

/// A process of the tier.
pub struct Process {
    /// Its machine.
    pub machine: Machine,
    child: Child,
    log: PathBuf,
    home: PathBuf,
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
        let settings = home.join(SETTINGS_NAME);
        let text = layout.settings(machine, &disk, true);
        std::fs::write(&settings, text).context(FileSnafu { path: &settings })?;
        let log = home.join("log");
        File::create(&log).context(FileSnafu { path: &log })?;
        let child = spawn(program, machine, &home)?;
        Ok(Process { machine: machine.clone(), child, log, home })
    }

    /// Starts the process again after its end, with the disk that it had. Its log goes on.
    ///
    /// # Errors
    /// The settings can't be written or the program can't be started.
    pub fn restart(&mut self, program: &Path, layout: &Layout) -> Result<(), DemoError> {
        let settings = self.home.join(SETTINGS_NAME);
        let text = layout.settings(&self.machine, &self.home.join("disk"), false);
        std::fs::write(&settings, text).context(FileSnafu { path: &settings })?;
        self.child = spawn(program, &self.machine, &self.home)?;
        Ok(())
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

    /// Whether the process has installed its handler of SIGTERM. Before that, which takes about a millisecond from its start,
    /// SIGTERM and SIGHUP end any program.
    pub fn handles_signals(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok()).unwrap_or(0);
        mask & (1 << (Signal::TERM.as_raw() - 1)) != 0
    }

    /// Suspends the process.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn suspend(&self) -> Result<(), DemoError> {
        self.signal(Signal::STOP)
    }

    /// Lets a suspended process go on.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn resume(&self) -> Result<(), DemoError> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to read its settings file again.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn reload(&self) -> Result<(), DemoError> {
        self.signal(Signal::HUP)
    }

    fn signal(&self, signal: Signal) -> Result<(), DemoError> {
        // The child has not been waited for, so that its id is still its own.
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(std::io::Error::from).context(ProcessSnafu { name: &self.machine.name })
    }
}

/// Spawns the program with the settings file of the machine. What it logs is appended to the machine's log.
fn spawn(program: &Path, machine: &Machine, home: &Path) -> Result<Child, DemoError> {
    let log = home.join("log");
    let log_file = OpenOptions::new().append(true).open(&log).context(FileSnafu { path: &log })?;
    let role = if machine.kind == MachineKind::Storage { "storage" } else { "edge" };
    let mut command = Command::new(program);
    command.arg(role).env(SETTINGS_FILE, home.join(SETTINGS_NAME)).current_dir(home);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log_file);
    command.spawn().context(ProcessSnafu { name: &machine.name })
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended already needs neither.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
