//! The demonstration, which runs a whole tier of real processes on loopback addresses.

use grebeusher_configuration::settings::Settings;
use grebeusher_demo::layout::{Layout, Machines};
use grebeusher_demo::operator::{JOB_HOST, JOB_PARTITION};
use grebeusher_demo::{DemoError, Options, Summary, run};
use grebeusher_tier::batch::api::partition_of_job;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// The time limit, far longer than the demonstration takes, for the case that the machine is busy.
const TIME_LIMIT: Duration = Duration::from_secs(90);

fn options(program: impl Into<PathBuf>) -> Options {
    let interrupted = Arc::new(AtomicBool::new(false));
    Options {
        program: program.into(),
        machines: Machines::default(),
        limit: TIME_LIMIT,
        keep: false,
        interrupted,
    }
}

/// Runs the demonstration and returns its result and output.
fn run_demo(options: &Options) -> (Result<Summary, DemoError>, String) {
    let mut out = Vec::new();
    let result = run(options, &mut out);
    (result, String::from_utf8_lossy(&out).into_owned())
}

#[test]
fn a_tier_serves_requests_and_a_batch_job_whose_leader_is_killed() {
    // Given ten processes of the tier and four stand-in executors
    let options = options(env!("CARGO_BIN_EXE_grebeusher-tier"));
    // When the demonstration is run
    let (result, table) = run_demo(&options);
    // Then all requests are served, the job is complete though its leader was killed, and the other processes exit cleanly
    let summary = result.unwrap_or_else(|error| panic!("{error}\n{table}"));
    assert_eq!(summary.requests_served, 30, "{table}");
    assert_eq!(summary.items_complete, 48, "{table}");
    assert_ne!(summary.killed, summary.next_leader, "{table}");
    assert_eq!(summary.late_after_drain, 0, "{table}");
    assert_eq!(summary.clean_exits, 9, "{table}");
}

#[test]
fn a_process_that_ends_at_its_start_ends_the_demonstration() {
    // Given a program that ends at once with a failure
    let options = options("/bin/false");
    // When the demonstration is run
    let (result, _) = run_demo(&options);
    // Then it fails with the name of the process that ended, long before the time limit
    assert!(matches!(result, Err(DemoError::Ended { .. })), "{result:?}");
}

#[test]
fn a_program_that_is_not_there_is_named() {
    // Given a path without a program
    let options = options("/nowhere/grebeusher-tier");
    // When the demonstration is run
    let (result, _) = run_demo(&options);
    // Then the error has the path
    let Err(DemoError::NoProgram { path }) = result else { panic!("{result:?}") };
    assert_eq!(path, Path::new("/nowhere/grebeusher-tier"));
}

#[test]
fn an_interrupted_demonstration_ends() {
    // Given a demonstration that is interrupted
    let options = options(env!("CARGO_BIN_EXE_grebeusher-tier"));
    options.interrupted.store(true, std::sync::atomic::Ordering::Relaxed);
    // When it is run
    let (result, _) = run_demo(&options);
    // Then it fails with the error for an interruption, after its processes are ended
    assert!(matches!(result, Err(DemoError::Interrupted)), "{result:?}");
}

#[test]
fn the_settings_of_each_machine_are_right() {
    // Given the machines of the demonstration
    let layout = Layout::find(Machines::default()).expect("ports are free");
    for machine in &layout.machines {
        // When the settings of one are read
        let read = Settings::read(&layout.settings(machine, Path::new("/disk"), true));
        // Then they are valid
        let settings = read.unwrap_or_else(|error| panic!("{}: {error}", machine.name));
        assert_eq!(settings.node_name.as_str(), machine.name);
    }
}

#[test]
fn the_partition_of_the_jobs_is_the_one_that_the_demonstration_looks_at() {
    // Given the host of the demonstration's job
    // When its partition is computed
    // Then it is the partition whose leader is killed
    assert_eq!(partition_of_job(JOB_HOST, "", false), JOB_PARTITION);
}
