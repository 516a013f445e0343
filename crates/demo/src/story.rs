//! What the demonstration does, step by step.

use crate::client::{Answer, Call, call};
use crate::error::{DemoError, FileSnafu};
use crate::executors::Executor;
use crate::job::Job;
use crate::layout::{DRAIN_TIMEOUT_MS, GRACE_PERIOD_S, Layout, Machines};
use crate::operator::{self, JOB_PARTITION, LIVE_HOST, STREAM_PREFIX, VERSION, configuration};
use crate::processes::Process;
use crate::requests::{Served, greet, stream};
use crate::start_up::{until_listening, until_ready};
use crate::table::{Table, milliseconds};
use crate::watch::Watch;
use snafu::ResultExt;
use std::io::Write;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Greetings that are sent.
const GREETINGS: usize = 24;
/// Streams that are asked for.
const STREAMS: usize = 6;
/// Items of the batch job.
const ITEMS: usize = 48;
/// The storage process is killed when so many results are listed.
const KILL_DELAY: usize = ITEMS / 6;
/// Requests that are under way when a drain is acknowledged may still arrive for this long after the bound.
const DRAIN_MARGIN: Duration = Duration::from_millis(200);

/// What the demonstration is told.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the tier.
    pub program: PathBuf,
    /// How many machines there are.
    pub machines: Machines,
    /// The whole takes no longer.
    pub limit: Duration,
    /// Whether the folder with settings, logs and disks stays.
    pub keep: bool,
    /// Set from outside, it ends the demonstration.
    pub interrupted: Arc<AtomicBool>,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Greetings and streams that were served rightly.
    pub requests_served: usize,
    /// Items whose results are listed once, whole and right.
    pub items_complete: usize,
    /// The storage process that was killed while it ran the job.
    pub killed: String,
    /// Who led the job's partition afterwards.
    pub next_leader: String,
    /// Requests that a draining executor got later than it must.
    pub late_after_drain: u64,
    /// Processes that ended by themselves after SIGTERM, with success.
    pub clean_exits: usize,
}

/// Runs the demonstration and writes what came back to `out`.
///
/// # Errors
/// A step failed, or the time is over. All processes are ended by then.
pub fn run(options: &Options, out: &mut dyn Write) -> Result<Summary, DemoError> {
    if !options.program.is_file() {
        return Err(DemoError::NoProgram { path: options.program.clone() });
    }
    let mut folder =
        TempDir::with_prefix("grebeusher-demo-").context(FileSnafu { path: std::env::temp_dir() })?;
    folder.disable_cleanup(options.keep);
    let watch = Watch::new(options.limit, options.interrupted.clone());
    let layout = Layout::find(options.machines)?;
    let table = Table::new(out)?;
    let mut story = Story { watch, layout, table, processes: Vec::new(), executors: Vec::new() };
    // Whatever still runs when a step fails is ended as the story goes out of scope.
    story.start(options, &folder)?;
    let told = story.tell()?;
    story.finish(told)
}

struct Story<'a> {
    watch: Watch,
    layout: Layout,
    table: Table<'a>,
    processes: Vec<Process>,
    executors: Vec<Executor>,
}

/// What the steps between start and stop came to.
struct Told {
    requests_served: usize,
    items_complete: usize,
    killed: String,
    next_leader: String,
    late_after_drain: u64,
}

impl Story<'_> {
    fn row(&mut self, step: &str, outcome: &str) -> Result<(), DemoError> {
        self.table.row(self.watch.elapsed(), step, outcome)?;
        Ok(())
    }

    fn start(&mut self, options: &Options, folder: &TempDir) -> Result<(), DemoError> {
        for machine in self.layout.machines.clone() {
            let process = Process::start(&options.program, &self.layout, &machine, folder.path())?;
            self.processes.push(process);
        }
        let controls = self.layout.controls();
        for (index, address) in self.layout.executors.clone().into_iter().enumerate() {
            self.executors.push(Executor::start(index, address, controls.clone())?);
        }
        let Machines { edge_with_disk, edge, storage, executors } = options.machines;
        let started = format!(
            "{edge_with_disk} edge with a disk, {edge} without, {storage} storage; {executors} stand-in executors"
        );
        self.row("processes are started", &started)?;
        if options.keep {
            self.row("settings, logs and disks are kept in", &folder.path().display().to_string())?;
        }
        Ok(())
    }

    fn tell(&mut self) -> Result<Told, DemoError> {
        let watch = self.watch.clone();
        let layout = self.layout.clone();
        until_listening(&watch, &layout, || self.all_run())?;
        self.configure()?;
        until_ready(&watch, &layout, || self.all_run())?;
        let nodes = layout.edges().count();
        self.row("edge nodes say that they are ready", &format!("{nodes} of {nodes}"))?;
        let requests_served = self.serve_requests()?;
        self.misdirect()?;
        let (items_complete, killed, next_leader) = self.run_job()?;
        let late_after_drain = self.end_drain()?;
        Ok(Told { requests_served, items_complete, killed, next_leader, late_after_drain })
    }

    /// All processes but those that were killed on purpose must run.
    fn all_run(&mut self) -> Result<(), DemoError> {
        self.processes.iter_mut().try_for_each(Process::must_run)
    }

    fn configure(&mut self) -> Result<(), DemoError> {
        let controls = self.layout.controls();
        let first = configuration(VERSION);
        let (status, tries) = operator::replace(&self.watch, &controls, 0, &first)?;
        self.expect("Configuration.Replace on top of 0", status, 200, &format!(", try {tries}"))?;
        let (status, _) = operator::replace(&self.watch, &controls[1..], 0, &first)?;
        self.expect("the same again at another node", status, 200, "")?;
        let (status, _) = operator::replace(&self.watch, &controls, 0, &configuration(VERSION + 5))?;
        self.expect("another one on top of 0", status, 412, " (another version is in place)")?;
        let (status, _) = operator::replace(&self.watch, &controls, VERSION, "{\"config_version\": 20")?;
        self.expect("half a configuration", status, 400, "")?;
        for control in &controls {
            if operator::show(&self.watch, *control)? != first {
                let what = format!("{control} shows another configuration");
                return Err(DemoError::Wrong { step: "Configuration.Show".to_owned(), what });
            }
        }
        self.row("Configuration.Show at each edge node", &format!("the same bytes, {} times", controls.len()))
    }

    fn expect(&mut self, step: &str, status: u16, expected: u16, more: &str) -> Result<(), DemoError> {
        if status != expected {
            let what = format!("{status} instead of {expected}");
            return Err(DemoError::Wrong { step: step.to_owned(), what });
        }
        self.row(step, &format!("{status}{more}"))
    }

    fn serve_requests(&mut self) -> Result<usize, DemoError> {
        let frontends = self.layout.frontends();
        let greetings = greet(&self.watch, &frontends, GREETINGS)?;
        self.row("idempotent requests, each to the next node", &told(&greetings, &greetings.whole))?;
        let streams = stream(&self.watch, &frontends, STREAMS)?;
        self.row("streams, events in order and whole", &told(&streams, &streams.first_byte))?;
        let spread: Vec<String> = self
            .executors
            .iter()
            .map(|executor| executor.counts().run.load(Ordering::Relaxed).to_string())
            .collect();
        self.row("requests that each executor ran", &spread.join(" "))?;
        Ok(greetings.served + streams.served)
    }

    /// An executor that is named otherwise doesn't run a request.
    fn misdirect(&mut self) -> Result<(), DemoError> {
        let asked = Call {
            address: self.executors[0].address(),
            method: "POST",
            target: STREAM_PREFIX,
            host: LIVE_HOST,
            headers: vec![
                ("X-Grebeusher-Attempt-Id", "0".to_owned()),
                ("X-Grebeusher-Target-Instance", "somebody-else".to_owned()),
            ],
            body: b"never said",
            within: Duration::from_secs(1),
        };
        let step = "a request meant for another executor";
        let status = self.watch.until(step, || Ok(call(&asked).ok().map(|answer| answer.status)))?;
        self.expect(step, status, 421, ", not run")
    }

    /// A job whose leader is killed in the middle, when an executor begins to drain too. How many items are complete, and
    /// the names of both leaders.
    fn run_job(&mut self) -> Result<(usize, String, String), DemoError> {
        let (watch, frontends) = (self.watch.clone(), self.layout.frontends());
        let mut job = Job::new(&watch, &frontends, ITEMS);
        let tries = job.submit()?;
        self.row(&format!("a batch job of {ITEMS} items"), &format!("202, try {tries}"))?;
        let tries = job.submit()?;
        self.row("the same job again at another node", &format!("202, try {tries} (taken once)"))?;
        let mut results = Vec::new();
        while results.len() < KILL_DELAY {
            let page = job.read(results.len())?;
            results.extend(page);
        }
        self.row("results listed so far", &format!("{} of {}", results.len(), job.items()))?;
        let (killed, address) = self.kill_leader()?;
        let before = Instant::now();
        if let Some(executor) = self.executors.last() {
            executor.drain();
        }
        let mut first_after = None;
        while results.len() < job.items() {
            let page = job.read(results.len())?;
            if !page.is_empty() {
                first_after.get_or_insert(before.elapsed());
            }
            results.extend(page);
        }
        let gap = first_after.unwrap_or_default();
        self.row("the next results after the kill came after", &milliseconds(gap))?;
        let next_leader = self.next_leader(address)?;
        self.check_results(&mut job, &results)?;
        self.show_partition(&job)?;
        job.end()?;
        self.row("the job is ended", "200")?;
        Ok((results.len(), killed, next_leader))
    }

    fn check_results(
        &mut self,
        job: &mut Job<'_>,
        results: &[crate::job::ItemResult],
    ) -> Result<(), DemoError> {
        let faults = job.faults(results);
        if faults > 0 || results.len() != job.items() {
            let what = format!("{faults} of {} items are not listed once, whole and right", job.items());
            return Err(DemoError::Wrong { step: "the job's results".to_owned(), what });
        }
        let resumed: u64 =
            self.executors.iter().map(|executor| executor.counts().resumed.load(Ordering::Relaxed)).sum();
        let outcome = format!(
            "{} of {}, each once and whole; {resumed} went on after an event",
            results.len(),
            job.items()
        );
        self.row("items complete", &outcome)?;
        let mut again = Vec::new();
        while again.len() < results.len() {
            let page = job.read(again.len())?;
            again.extend(page);
        }
        if again != results {
            let what = "positions or contents have changed".to_owned();
            return Err(DemoError::Wrong { step: "results read again".to_owned(), what });
        }
        self.row("results read again from the start", "the same at each position")
    }

    /// The leader's own account of the job, as `grebeusher-tier show` prints it.
    fn show_partition(&mut self, job: &Job<'_>) -> Result<(), DemoError> {
        let (controls, watch) = (self.layout.controls(), self.watch.clone());
        let target = format!("/api/status/{JOB_PARTITION}");
        let status = watch.until("the leader shows its part", || {
            let answer = operator::ask(controls[0], "GET", &target, None, "");
            Ok(answer.ok().filter(Answer::is_success).map(|answer| answer.text()))
        })?;
        let expected =
            format!("part {JOB_PARTITION} job {}: {ITEMS} of {ITEMS} items listed, complete", job.id());
        match status.lines().find(|line| **line == expected) {
            Some(line) => self.row("its new leader shows", line),
            None => Err(DemoError::Wrong { step: target, what: status }),
        }
    }

    fn kill_leader(&mut self) -> Result<(String, SocketAddrV4), DemoError> {
        let controls = self.layout.controls();
        let watch = self.watch.clone();
        let leader = watch
            .until("the job's part has a leader", || Ok(operator::leader_of(&controls, JOB_PARTITION)))?;
        let place = self.processes.iter().position(|process| process.machine.address == *leader.ip());
        let Some(place) = place else {
            let what = format!("{leader} is no process of this tier");
            return Err(DemoError::Wrong { step: "the leader of the job's part".to_owned(), what });
        };
        let mut process = self.processes.remove(place);
        let (name, id) = (process.machine.name.clone(), process.id());
        process.kill()?;
        self.row("the storage process that runs it is killed", &format!("{name}, process {id}"))?;
        Ok((name, leader))
    }

    fn next_leader(&mut self, before: SocketAddrV4) -> Result<String, DemoError> {
        let controls = self.layout.controls();
        let watch = self.watch.clone();
        let leader = watch.until("the job's part has another leader", || {
            Ok(operator::leader_of(&controls, JOB_PARTITION).filter(|leader| *leader != before))
        })?;
        let named = self.processes.iter().find(|process| process.machine.address == *leader.ip());
        let name = named.map_or_else(|| leader.to_string(), |process| process.machine.name.clone());
        self.row("its part is owned now by", &name)?;
        Ok(name)
    }

    /// Requests that the draining executor got when it must not get any more.
    fn end_drain(&mut self) -> Result<u64, DemoError> {
        let Some(executor) = self.executors.last() else { return Ok(0) };
        let serves_on = Duration::from_millis(DRAIN_TIMEOUT_MS) + DRAIN_MARGIN;
        self.watch
            .until("a drain is over", || Ok(executor.drained_for().filter(|since| *since > serves_on)))?;
        let id = executor.id().to_owned();
        let late = executor.counts().late.load(Ordering::Relaxed);
        let told_after = executor.acknowledged_after().unwrap_or_default();
        let acknowledged = executor.deregister();
        let step = format!("{id} had said that it drains");
        self.row(&step, &format!("acknowledged after {}", milliseconds(told_after)))?;
        self.row(
            &format!("{id} leaves"),
            &format!(
                "{late} requests too late; goodbye acknowledged: {}",
                if acknowledged { "yes" } else { "no" }
            ),
        )?;
        Ok(late)
    }

    /// Stops all processes by SIGTERM and waits for their ends.
    fn finish(&mut self, told: Told) -> Result<Summary, DemoError> {
        self.all_run()?;
        let asked = Instant::now();
        self.processes.iter().try_for_each(Process::terminate)?;
        let count = self.processes.len();
        let limit = Duration::from_secs(GRACE_PERIOD_S);
        let watch = self.watch.clone();
        let mut clean_exits = 0;
        for process in &mut self.processes {
            let status = watch.until("processes end after SIGTERM", || {
                if asked.elapsed() > limit {
                    let what = "still running at the end of its grace period".to_owned();
                    return Err(DemoError::Wrong { step: process.machine.name.clone(), what });
                }
                process.ended()
            })?;
            if !status.success() {
                return Err(process.failure(status));
            }
            clean_exits += 1;
        }
        let outcome =
            format!("{clean_exits} of {count} ended with success after {}", milliseconds(asked.elapsed()));
        self.row("all other processes get SIGTERM", &outcome)?;
        let Told { requests_served, items_complete, killed, next_leader, late_after_drain } = told;
        Ok(Summary { requests_served, items_complete, killed, next_leader, late_after_drain, clean_exits })
    }
}

fn told(served: &Served, times: &[Duration]) -> String {
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    let most = times.last().copied().unwrap_or_default();
    let what = if std::ptr::eq(times, served.whole.as_slice()) { "answered" } else { "first event" };
    format!(
        "{} served, {} further tries; {what} after {} in the middle, {} at most",
        served.served,
        served.repeated,
        milliseconds(median),
        milliseconds(most)
    )
}
