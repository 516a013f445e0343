//! Stand-ins and the course of each case. `executor ...` is a stand-in executor; any other word is a case:
//! `CASE TIER OUT FOLDER`, with the tier's program, the folder of `record.txt`, and a temporary folder.
//! Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cut_stream;
mod dropped_route;
mod executor;
mod fleet;
mod foreign_route;
mod http;
mod lost_results;
mod raised_tolerance;
mod slow_reader;
mod stale_quota;
mod system;

use fleet::{CantRun, Outcome};
use std::path::PathBuf;
use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case is given.
pub struct Setting {
    pub tier: PathBuf,
    pub out: PathBuf,
    pub folder: PathBuf,
    /// False: the same without the disruption.
    pub trouble: bool,
}

fn run(arguments: &[String]) -> Outcome<Verdict> {
    let [case, tier, out, folder] = arguments else {
        return Err(CantRun("CASE TIER OUT FOLDER are wanted".to_owned()));
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let setting = Setting { tier: tier.into(), out: out.into(), folder: folder.into(), trouble };
    match case.as_str() {
        "cut-stream" => cut_stream::run(&setting),
        "dropped-route" => dropped_route::run(&setting),
        "foreign-route" => foreign_route::run(&setting),
        "lost-results" => lost_results::run(&setting),
        "raised-tolerance" => raised_tolerance::run(&setting),
        "slow-reader" => slow_reader::run(&setting),
        "stale-quota" => stale_quota::run(&setting),
        other => Err(CantRun(format!("no case {other}"))),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some(("executor", rest)) = arguments.split_first().map(|(first, rest)| (first.as_str(), rest)) {
        let ran = executor::Executor::of_arguments(rest).and_then(executor::Executor::run);
        return if ran.is_some() { ExitCode::SUCCESS } else { ExitCode::from(2) };
    }
    match run(&arguments) {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(CantRun(reason)) => {
            eprintln!("can't run: {reason}");
            ExitCode::from(2)
        }
    }
}
