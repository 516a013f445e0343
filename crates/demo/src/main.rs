//! `grebeusher-demo`: a whole serving tier on loopback addresses, in one command.

use bpaf::{Parser, construct, long};
use grebeusher_demo::layout::Machines;
use grebeusher_demo::processes::program_beside;
use grebeusher_demo::{DemoError, Options, run};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// What the whole may take unless the command line says otherwise, in seconds.
const LIMIT_S: u64 = 29;

#[derive(Clone, Debug)]
struct Arguments {
    program: Option<PathBuf>,
    limit_s: u64,
    keep: bool,
}

fn command_line() -> bpaf::OptionParser<Arguments> {
    let program = long("program")
        .help("The tier's program; it is looked for beside this one")
        .argument::<PathBuf>("FILE")
        .optional();
    let limit_s =
        long("limit").help("Give up after so many seconds").argument::<u64>("SECONDS").fallback(LIMIT_S);
    let keep = long("keep").help("Leave the folder with settings, logs and disks").switch();
    construct!(Arguments { program, limit_s, keep }).to_options().version(env!("CARGO_PKG_VERSION")).descr(
        "Starts a serving tier of several processes on loopback addresses with stand-in executors, sends it a \
         configuration, requests, streams and a batch job, kills a storage process in the middle, and stops it.",
    )
}

fn main() -> ExitCode {
    let arguments = command_line().run();
    match demonstrate(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("grebeusher-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn demonstrate(arguments: &Arguments) -> Result<(), DemoError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        // Without it the signal ends the demonstration at once, as it would any program.
        let _ = signal_hook::flag::register(signal, interrupted.clone());
    }
    let options = Options {
        program: arguments.program.clone().unwrap_or_else(program_beside),
        machines: Machines::default(),
        limit: Duration::from_secs(arguments.limit_s),
        keep: arguments.keep,
        interrupted,
    };
    run(&options, &mut std::io::stdout().lock()).map(drop)
}
