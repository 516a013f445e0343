//! `grebeusher-simulate`: storms in the in-memory fleet.

use bpaf::{Parser, construct, long, positional};
use grebeusher_simulation::bulk::Bulk;
use grebeusher_simulation::fleet::Report;
use grebeusher_simulation::fleet::hollow::Hollow;
use grebeusher_simulation::log::FleetLog;
use grebeusher_simulation::scenario::Scenario;
use grebeusher_simulation::storm::{drawn, shrink, storm};
use grebeusher_time::{Duration, DurationExt};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::Level;

#[derive(Clone, Debug)]
enum Command {
    Storm { seed: u64, count: u64, plot: Option<PathBuf>, file: PathBuf },
    Replay { file: PathBuf, log: Option<Level>, seed: u64 },
    Shrink { file: PathBuf, seed: u64 },
    Hollow { machines: usize, executors: usize, seed: u64, settle_s: f64, measure_s: f64 },
}

fn command_line() -> bpaf::OptionParser<Command> {
    let file = || long("scenario").help("The scenario's file").argument::<PathBuf>("FILE");
    let seed = long("seed").help("The first seed").argument::<u64>("SEED").fallback(1);
    let count = long("count").help("How many seeds").argument::<u64>("COUNT").fallback(100);
    let plot =
        long("plot").help("Where a plot of the times goes, as SVG").argument::<PathBuf>("SVG").optional();
    let scenario = file();
    let storms = construct!(Command::Storm { seed, count, plot, file(scenario) })
        .to_options()
        .descr("Run the storms of many seeds")
        .command("storm")
        .help("Run the storms of many seeds");
    let scenario = file();
    let one = positional::<u64>("SEED").help("The seed");
    let log = long("log")
        .help("Print the nodes' log lines up to this level: error, warn, info, debug or trace")
        .argument::<Level>("LEVEL")
        .optional();
    let replay = construct!(Command::Replay { file(scenario), log, seed(one) })
        .to_options()
        .descr("Run one storm and tell all that happened")
        .command("replay")
        .help("Run one storm and tell all that happened");
    let scenario = file();
    let one = positional::<u64>("SEED").help("The seed");
    let shrunk = construct!(Command::Shrink { file(scenario), seed(one) })
        .to_options()
        .descr("Find the fewest faults that still break the rule")
        .command("shrink")
        .help("Find the fewest faults that still break the rule");
    let hollow = hollow_command();
    construct!([storms, replay, shrunk, hollow])
        .to_options()
        .descr("A whole fleet of the serving tier in memory")
}

fn hollow_command() -> impl Parser<Command> {
    let machines = long("machines").help("Machines of the tier").argument::<usize>("COUNT").fallback(78);
    let executors = long("executors").help("Executors").argument::<usize>("COUNT").fallback(64);
    let seed = long("seed").help("The seed").argument::<u64>("SEED").fallback(1);
    let settle_s =
        long("settle").help("Seconds before anything is counted").argument::<f64>("SECONDS").fallback(15.0);
    let measure_s =
        long("measure").help("Seconds that are counted").argument::<f64>("SECONDS").fallback(20.0);
    construct!(Command::Hollow { machines, executors, seed, settle_s, measure_s })
        .to_options()
        .descr("Count what standing by costs each node of a fleet without traffic")
        .command("hollow")
        .help("Count what standing by costs each node of a fleet without traffic")
}

fn main() -> ExitCode {
    let command = command_line().run();
    if let Command::Hollow { machines, executors, seed, settle_s, measure_s } = command {
        let (settle, measure) = (Duration::from_seconds(settle_s), Duration::from_seconds(measure_s));
        println!("{machines} machines, {executors} executors, seed {seed}, {measure_s} s counted");
        print!("{}", Hollow { machines, executors, seed, settle, measure }.run().to_text());
        return ExitCode::SUCCESS;
    }
    let file = match &command {
        Command::Storm { file, .. } | Command::Replay { file, .. } | Command::Shrink { file, .. } => file,
        Command::Hollow { .. } => return ExitCode::SUCCESS,
    };
    let scenario = match Scenario::read(file) {
        Ok(scenario) => scenario,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    match command {
        Command::Storm { seed, count, plot, .. } => storms(&scenario, seed, count, plot.as_deref()),
        Command::Replay { seed, log, .. } => {
            if let Some(level) = log {
                // Only a second subscriber is an error, and there is none.
                let _ = tracing::subscriber::set_global_default(FleetLog { level });
            }
            println!("{}", drawn(&scenario, seed).to_toml());
            tell(&storm(&scenario, seed))
        }
        Command::Shrink { seed, .. } => match shrink(&scenario, seed) {
            Some((smallest, report)) => {
                println!("{}", smallest.to_toml());
                tell(&report)
            }
            None => {
                println!("seed {seed} breaks no rule");
                ExitCode::SUCCESS
            }
        },
        Command::Hollow { .. } => ExitCode::SUCCESS,
    }
}

fn storms(scenario: &Scenario, seed: u64, count: u64, plot: Option<&Path>) -> ExitCode {
    let begun = std::time::Instant::now();
    let mut bulk = Bulk::new();
    for seed in seed..seed + count {
        let report = storm(scenario, seed);
        bulk.add(&report);
        if let Some(first) = report.breaches.first() {
            let seconds = first.at.0 as f64 / 1e9;
            println!(
                "seed {seed}: {} at {seconds:.3}: {} ({} in all)",
                first.rule,
                first.what,
                report.breaches.len()
            );
        }
    }
    let took = begun.elapsed().as_secs_f64();
    print!("{} from seed {seed}, {took:.1} s: {}", scenario.name, bulk.text());
    if let Some(path) = plot {
        let title = format!("{count} storms of {}", scenario.name);
        if let Err(error) = bulk.plot(path, &title) {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    }
    if bulk.breaches() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn tell(report: &Report) -> ExitCode {
    for line in &report.trace {
        println!("{line}");
    }
    println!("{:?}, {} turns, digest {:016x}", report.counts, report.turns, report.digest);
    for breach in &report.breaches {
        println!("{} at {:.3}: {}", breach.rule, breach.at.0 as f64 / 1e9, breach.what);
    }
    if report.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
