//! Plays a scenario of the emulator with real nodes on loopback addresses.

use clap::Parser;
use grebeusher_emulator::figures::write_json;
use grebeusher_emulator::scenario::Scenario;
use grebeusher_load::run;
use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

/// Plays a scenario with real nodes on loopback addresses: open arrivals, stand-in executors and discovery, faults.
///
/// Ends with 0 when all is well, 1 when a rule was broken, a node crashed or work is not accounted for, 2 when the command
/// line or the file is wrong or the nodes do not start.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    scenario: PathBuf,
    /// The node's program; without it the one beside this tool
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// In place of the one that the file names
    #[arg(long)]
    seed: Option<u64>,
    /// Only so many seconds of it
    #[arg(long, value_name = "SECONDS")]
    length: Option<f64>,
    /// Reads and checks the file, and plays nothing
    #[arg(long)]
    check: bool,
    /// The figures as JSON; - for standard output, in place of the readable ones
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

fn act(line: CommandLine) -> Result<bool, String> {
    let path = &line.scenario;
    let named = |what: String| format!("{}: {what}", path.display());
    let mut scenario = Scenario::of_file(path)?;
    scenario.seed = line.seed.unwrap_or(scenario.seed);
    if let Some(length_s) = line.length {
        if !(length_s > 0.0 && length_s <= scenario.length_s) {
            return Err(format!("--length: expected up to {}, found {length_s}", scenario.length_s));
        }
        scenario.length_s = length_s;
        scenario.settles_s = scenario.settles_s.min(length_s);
        scenario.faults.retain(|fault| fault.at_s <= length_s);
    }
    run::check(&scenario).map_err(named)?;
    if line.check {
        println!("{}: {:?}, load {:.3}", path.display(), scenario.name, scenario.load());
        return Ok(true);
    }
    let beside = || env::current_exe().map(|own| own.with_file_name("grebeusher")).map_err(|e| e.to_string());
    let node = line.node.map_or_else(beside, Ok)?;
    let report = run::run(&scenario, &node)?;
    match &line.json {
        Some(file) => write_json(file, &report)?,
        None => print!("{report}"),
    }
    Ok(report.is_well())
}

fn main() -> ExitCode {
    match act(CommandLine::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(wrong) => {
            eprintln!("{wrong}");
            ExitCode::from(2)
        }
    }
}
