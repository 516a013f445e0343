//! `grebeusher-soak`: soaks a tier of real processes on loopback addresses, one seed after the other.

use bpaf::{Parser, construct, long};
use grebeusher_demo::layout::Machines;
use grebeusher_demo::processes::program_beside;
use grebeusher_demo::soak::{SoakOptions, SoakReport, soak};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// How long a tier is disturbed unless the command line says otherwise, in seconds.
const LENGTH_S: u64 = 8;

#[derive(Clone, Debug)]
struct Arguments {
    program: Option<PathBuf>,
    seed: u64,
    count: u64,
    length_s: u64,
    edge: u8,
    storage: u8,
    executors: u8,
    keep: bool,
}

fn command_line() -> bpaf::OptionParser<Arguments> {
    let program = long("program")
        .help("The tier's program; it is looked for beside this one")
        .argument::<PathBuf>("FILE")
        .optional();
    let seed = long("seed").help("The first seed").argument::<u64>("SEED").fallback(1);
    let count = long("count").help("The number of seeds").argument::<u64>("COUNT").fallback(1);
    let length_s =
        long("length").help("Seconds of disturbances").argument::<u64>("SECONDS").fallback(LENGTH_S);
    let edge = long("edge").help("Edge machines without a disk").argument::<u8>("COUNT").fallback(1);
    let storage = long("storage").help("Storage machines").argument::<u8>("COUNT").fallback(3);
    let executors = long("executors").help("Stand-in executors").argument::<u8>("COUNT").fallback(2);
    let keep = long("keep").help("Leave logs and disks where a rule was broken").switch();
    construct!(Arguments { program, seed, count, length_s, edge, storage, executors, keep })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr(
            "Starts a serving tier of several processes on loopback addresses, and disturbs it while clients send live \
             requests and batch jobs to executors that fail, send answers twice and send broken answers. Exits with 1 if a rule was broken.",
        )
}

fn main() -> ExitCode {
    let arguments = command_line().run();
    let mut is_clean = true;
    for seed in arguments.seed..arguments.seed + arguments.count {
        is_clean &= soak_seed(&arguments, seed);
    }
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Soaks one tier and prints what came of it. Returns whether all rules were kept.
fn soak_seed(arguments: &Arguments, seed: u64) -> bool {
    let machines = Machines {
        edge_with_disk: 3,
        edge: arguments.edge,
        storage: arguments.storage,
        executors: arguments.executors,
    };
    let options = SoakOptions {
        program: arguments.program.clone().unwrap_or_else(program_beside),
        machines,
        seed,
        length: Duration::from_secs(arguments.length_s),
        keep: arguments.keep,
    };
    match soak(&options) {
        Ok(report) => {
            print_report(seed, &report);
            report.breaches.is_empty()
        }
        Err(error) => {
            println!("seed {seed}: {error}");
            false
        }
    }
}

fn print_report(seed: u64, report: &SoakReport) {
    println!(
        "seed {seed}: {} breaches; {} served, {} not; {} jobs, {} complete, {} given up; {} answers twice, {} broken; {} connections; {:?}",
        report.breaches.len(),
        report.served,
        report.unserved,
        report.jobs,
        report.complete,
        report.given_up,
        report.repeated,
        report.broken,
        report.connections,
        report.disturbances
    );
    for breach in &report.breaches {
        println!("  {breach}");
    }
}
