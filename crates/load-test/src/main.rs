//! Plays a scenario of the emulator with real nodes on loopback addresses.

use clap::Parser;
use grebeusher_emulator::figures::write_json;
use grebeusher_emulator::plots;
use grebeusher_emulator::scenario::Scenario;
use grebeusher_load_test::{faults, run};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;
use std::env;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

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
    /// Reads and checks the file, says which faults strike whom and when, and plays nothing
    #[arg(long)]
    check: bool,
    /// So many times, each with the next seed, with the storm that it draws
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// The figures as JSON, with several seeds as a list; - for standard output, in place of the readable ones
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// What came second by second, and what became of it, as SVG; of the last seed
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
    /// The part of slots in use over time, as SVG; of the last seed
    #[arg(long, value_name = "FILE")]
    plot_spread: Option<PathBuf>,
    /// What was spent of each budget second by second, and its whole, as SVG; of the last seed
    #[arg(long, value_name = "FILE")]
    plot_budgets: Option<PathBuf>,
    /// The machines of the plan by how far they are, over time, as SVG; of the last seed
    #[arg(long, value_name = "FILE")]
    plot_plan: Option<PathBuf>,
    /// Where the nodes' files and logs stay
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
    /// What all processes logged and what went wrong, merged by time, a JSON object a line; of the last seed
    #[arg(long, value_name = "FILE")]
    account: Option<PathBuf>,
    /// Says nothing of how far it is
    #[arg(long)]
    quiet: bool,
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
        let (name, load, needs) = (&scenario.name, scenario.load(), run::Needs::of(&scenario));
        println!("{}: {name:?}, load {load:.3}, needs {needs}", path.display());
        for (when, step) in faults::plan(&scenario.of_seed(scenario.seed)) {
            println!("{}", faults::told(&scenario.of_seed(scenario.seed), when, &step));
        }
        return Ok(true);
    }
    let beside = || env::current_exe().map(|own| own.with_file_name("grebeusher")).map_err(|e| e.to_string());
    let node = line.node.map_or_else(beside, Ok)?;
    let told_to_end = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        flag::register(signal, told_to_end.clone()).map_err(|e| e.to_string())?;
    }
    let mut reports = Vec::new();
    for seed in scenario.seed..scenario.seed + line.seeds {
        let drawn = scenario.of_seed(seed);
        // Each seed has a folder of its own: logs are only ever added to.
        let logs = line.logs.as_ref().map(|logs| match line.seeds {
            1 => logs.clone(),
            _ => logs.join(format!("seed-{seed}")),
        });
        let files = (logs.as_deref(), line.account.as_deref());
        let report = run::run(&drawn, &node, files, told_to_end.clone(), !line.quiet)?;
        if line.json.as_deref() != Some(Path::new("-")) {
            print!("{report}");
        }
        reports.push(report);
    }
    let well = reports.iter().all(run::Report::is_well);
    if let Some(last) = reports.last() {
        line.plot.map_or(Ok(()), |file| plots::seconds(&file, &scenario.name, &last.seconds))?;
        line.plot_spread.map_or(Ok(()), |file| plots::spread(&file, &scenario.name, &last.spread))?;
        let spent: Vec<_> = last.budgets.iter().map(run::Spending::by_second).collect();
        line.plot_budgets.map_or(Ok(()), |file| plots::spent(&file, &scenario.name, &spent))?;
        let course = last.plan.as_ref().map_or(&[][..], |plan| &plan.course);
        line.plot_plan.map_or(Ok(()), |file| plots::states(&file, &scenario.name, course))?;
    }
    match (&line.json, &reports[..]) {
        (Some(file), [report]) => write_json(file, report)?,
        (Some(file), reports) => write_json(file, &reports)?,
        (None, _) => {}
    }
    Ok(well)
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
