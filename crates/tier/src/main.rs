//! The program `grebeusher-tier`, which runs a node of the serving tier.

use bpaf::{Parser, construct, positional, short};
use grebeusher_tier::node::Node;
use grebeusher_tier::runtime::log_ring::LogRing;
use grebeusher_tier::runtime::show::fetch_status;
use grebeusher_tier::runtime::start::{Start, read_settings};
use grebeusher_tier::runtime::system::System;
use std::fmt::Display;
use std::io::Write;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use tracing::{Level, error};

/// The environment variable with the path of the settings file.
const SETTINGS_FILE: &str = "GREBEUSHER_NODE_FILE";

/// A command of the program.
#[derive(Clone, Debug)]
enum Command {
    /// Runs a node, whose class is in its settings.
    Run { verbose: bool },
    /// Checks a settings file.
    Check { file: PathBuf },
    /// Prints the status of a tier as a running node knows it.
    Show { address: SocketAddrV4 },
}

fn command_line() -> bpaf::OptionParser<Command> {
    let verbose = || short('v').long("verbose").help("Write each line of the log at once").switch();
    let run = |name: &'static str, help: &'static str| {
        let verbose = verbose();
        construct!(Command::Run { verbose }).to_options().descr(help).command(name).help(help)
    };
    let edge = run(
        "edge",
        "Run a node that takes clients, executors and operators; with a disk it may keep the configuration",
    );
    let storage = run("storage", "Run a node that keeps batch jobs and runs their items");
    let file = positional::<PathBuf>("FILE").help("The settings file");
    let check = construct!(Command::Check { file })
        .to_options()
        .descr("Check a settings file")
        .command("check")
        .help("Check a settings file: one line names what is wrong");
    let address = positional::<SocketAddrV4>("ADDRESS")
        .help("The control address of an edge node, such as 10.1.0.35:8146");
    let show = construct!(Command::Show { address })
        .to_options()
        .descr(
            "Show members, executors, parts with their leaders, terms, groups and jobs, and the configuration in force, \
             as the node at ADDRESS knows them",
        )
        .command("show")
        .help("Show members, executors, parts, leaders, terms, jobs and the configuration, as a running node knows them");
    construct!([edge, storage, check, show])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr(
            "A process of the serving tier. `edge` and `storage` run a node by the settings file that the variable \
             GREBEUSHER_NODE_FILE names: SIGTERM stops it in good order, SIGHUP has the file read anew.",
        )
}

fn main() -> ExitCode {
    match command_line().run() {
        Command::Run { verbose } => run(verbose),
        Command::Check { file } => check(&file),
        Command::Show { address } => show(address),
    }
}

fn show(address: SocketAddrV4) -> ExitCode {
    let status = match fetch_status(address) {
        Ok(status) => status,
        Err(error) => return fail(&error),
    };
    match std::io::stdout().write_all(status.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

fn check(file: &Path) -> ExitCode {
    match read_settings(file) {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn run(verbose: bool) -> ExitCode {
    let written_level = if verbose { Level::DEBUG } else { Level::WARN };
    // This fails only if a subscriber is already set, which is never the case here.
    let _ = tracing::subscriber::set_global_default(LogRing::new(
        Level::DEBUG,
        written_level,
        Box::new(|line| eprintln!("{line}")),
    ));
    let Some(path) = std::env::var_os(SETTINGS_FILE).map(PathBuf::from) else {
        eprintln!("{SETTINGS_FILE} names no settings file");
        return ExitCode::FAILURE;
    };
    let started = read_settings(&path).and_then(|settings| {
        let world = Rc::new(System::open(path)?);
        Start::open(settings, world)
    });
    let started = started.and_then(Node::new);
    let mut node = match started {
        Ok(node) => node,
        Err(error) => return fail(&error),
    };
    match node.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "node ends");
            ExitCode::FAILURE
        }
    }
}
