//! `grebeusher-mutation-testing`: takes guards out, one at a time, and tells which of them no test misses.

use bpaf::{OptionParser, Parser, construct, long};
use grebeusher_mutation_testing::copy::Copy;
use grebeusher_mutation_testing::table::Table;
use grebeusher_mutation_testing::trial::{Outcome, try_without};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

struct Options {
    table: PathBuf,
    only: Option<String>,
}

fn options() -> OptionParser<Options> {
    let table = long("table")
        .help("The table of guards")
        .argument::<PathBuf>("FILE")
        .fallback(PathBuf::from("crates/mutation-testing/guards.toml"));
    let only =
        long("only").help("Only the guards whose names contain this").argument::<String>("TEXT").optional();
    construct!(Options { table, only })
        .to_options()
        .descr("Takes guards out of a copy of the workspace, and looks whether their tests notice")
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Whether every guard that was taken out was missed.
fn run(options: &Options) -> Result<bool, Box<dyn Error>> {
    let workspace = std::env::current_dir()?;
    let place = workspace.join("target/mutations");
    let table = Table::read(&options.table)?;
    let copy = Copy::of(&workspace, &place.join("tree"))?;
    let chosen = table.guard.iter().filter(|guard| {
        let wanted = options.only.as_deref();
        wanted.is_none_or(|text| guard.name.contains(text))
    });
    let (mut tried, mut noticed) = (0, 0);
    for guard in chosen {
        let begun = Instant::now();
        let outcome = try_without(guard, &copy, &place.join("build"))?;
        tried += 1;
        noticed += usize::from(matches!(outcome, Outcome::Noticed { .. }));
        println!(
            "{} ({}::{}): {outcome}, {:.1} s",
            guard.name,
            guard.test,
            guard.case,
            begun.elapsed().as_secs_f64()
        );
    }
    println!("{noticed} of {tried} guards that were taken out were missed by their tests");
    Ok(tried > 0 && noticed == tried)
}
