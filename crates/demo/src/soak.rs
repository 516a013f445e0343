//! A soak: a tier of real processes serves live requests and batch jobs while processes are suspended, stopped, killed and
//! started again, settings are reloaded, configurations change, and executors fail, send answers twice and send broken answers. What
//! happens follows from a seed; when exactly, from the machine.

mod disturbances;
mod jobs;
mod live;

use crate::answer_faults::AnswerFaults;
use crate::error::{DemoError, FileSnafu};
use crate::executors::Executor;
use crate::layout::{Layout, Machines};
use crate::operator::{self, VERSION, configuration};
use crate::processes::Process;
use crate::start_up::{until_listening, until_ready};
use crate::watch::Watch;
use disturbances::Disturbances;
use jobs::JobClients;
use live::LiveClients;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use snafu::ResultExt;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tempfile::TempDir;

/// How long all results may take to be listed once nothing disturbs the tier any more.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);
/// How long the tier may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The share of the executors' answers that are broken.
const BROKEN_ANSWERS: f64 = 0.1;
/// The pause between two looks at the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a soak is told.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The program of the tier.
    pub program: PathBuf,
    /// How many machines there are.
    pub machines: Machines,
    /// Determines the disturbances and the executors' faults.
    pub seed: u64,
    /// How long the tier is disturbed.
    pub length: Duration,
    /// Whether the folder with settings, logs and disks stays if a rule was broken.
    pub keep: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Live requests with a right 2xx.
    pub served: u64,
    /// Live requests with another answer, or none.
    pub unserved: u64,
    /// Batch jobs that were accepted.
    pub jobs: u64,
    /// Items that are listed as complete.
    pub complete: u64,
    /// Items that are listed as given up.
    pub given_up: u64,
    /// Answers that executors chose to send twice.
    pub repeated: u64,
    /// Answers that executors broke.
    pub broken: u64,
    /// Connections that executors accepted.
    pub connections: u64,
    /// What was done to the tier, by kind.
    pub disturbances: Vec<(&'static str, u64)>,
    /// The rules that were broken, and how.
    pub breaches: Vec<String>,
}

/// Runs a soak.
///
/// # Errors
/// The tier could not be started or disturbed, or a process ended by itself. All processes are ended by then.
pub fn soak(options: &SoakOptions) -> Result<SoakReport, DemoError> {
    if !options.program.is_file() {
        return Err(DemoError::NoProgram { path: options.program.clone() });
    }
    let mut folder =
        TempDir::with_prefix("grebeusher-soak-").context(FileSnafu { path: std::env::temp_dir() })?;
    let mut random = Pcg64::seed_from_u64(options.seed);
    let (failures, repeats) = (random.random_range(0.2..0.6), random.random_range(0.5..1.0));
    let faults = AnswerFaults::new(options.seed, failures, repeats, BROKEN_ANSWERS);
    let mut tier = Tier::start(options, &folder, faults)?;
    let limit = START_TIMEOUT + options.length + SETTLE_TIMEOUT;
    let watch = Watch::new(limit, Arc::new(AtomicBool::new(false)));
    tier.configure(&watch)?;

    let stop = Arc::new(AtomicBool::new(false));
    let frontends = tier.layout.frontends();
    let live = LiveClients::start(&frontends, &stop);
    let jobs = JobClients::start(&frontends, options.seed, &watch, &tier.faults, &stop);
    let disturbances = Disturbances::new(random, options.length);
    let counts = disturbances.run(&mut tier, &options.program)?;
    stop.store(true, Ordering::Relaxed);

    let mut report = SoakReport { disturbances: counts, ..SoakReport::default() };
    jobs.finish(&mut report);
    live.finish(&mut report);
    for process in &mut tier.processes {
        process.must_run()?;
    }
    report.repeated = tier.faults.repeated();
    report.broken = tier.faults.broken();
    report.connections = tier.executors.iter().map(Executor::accepted).sum();
    folder.disable_cleanup(options.keep && !report.breaches.is_empty());
    if options.keep && !report.breaches.is_empty() {
        report.breaches.push(format!("logs and disks are kept in {}", folder.path().display()));
    }
    Ok(report)
}

/// The processes and executors of a soak.
struct Tier {
    layout: Layout,
    processes: Vec<Process>,
    executors: Vec<Executor>,
    faults: Arc<AnswerFaults>,
    version: u64,
}

impl Tier {
    fn start(options: &SoakOptions, folder: &TempDir, faults: AnswerFaults) -> Result<Tier, DemoError> {
        let layout = Layout::find(options.machines)?;
        let faults = Arc::new(faults);
        let mut tier =
            Tier { layout, processes: Vec::new(), executors: Vec::new(), faults, version: VERSION };
        for machine in tier.layout.machines.clone() {
            let process = Process::start(&options.program, &tier.layout, &machine, folder.path())?;
            tier.processes.push(process);
        }
        for (index, address) in tier.layout.executors.clone().into_iter().enumerate() {
            let executor =
                Executor::with_faults(index, address, tier.layout.controls(), Some(tier.faults.clone()))?;
            tier.executors.push(executor);
        }
        Ok(tier)
    }

    /// Gives the tier its first configuration, and waits until every node is ready.
    fn configure(&mut self, watch: &Watch) -> Result<(), DemoError> {
        until_listening(watch, &self.layout, || Ok(()))?;
        let (status, _) = operator::replace(watch, &self.layout.controls(), 0, &configuration(self.version))?;
        if status != 200 {
            let what = format!("status {status}");
            return Err(DemoError::Wrong { step: "the first configuration".to_owned(), what });
        }
        until_ready(watch, &self.layout, || Ok(()))
    }
}
