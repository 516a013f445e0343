//! Plays scenarios in the model of the fleet, compares ways to choose, and holds the model against queueing theory.

use clap::{Parser, Subcommand, ValueEnum};
use grebeusher_emulator::figures::{Outcome, write_json};
use grebeusher_emulator::plots::{self, Line};
use grebeusher_emulator::queueing;
use grebeusher_emulator::scenario::Scenario;
use grebeusher_emulator::world::{self, maker};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// Plays scenarios in a model of the fleet, with the decisions of a node as they are.
///
/// Ends with 0 when all is well, 1 when a rule was broken or a formula not met, 2 when the command line or a file
/// is wrong; then nothing has been played.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Reads and checks a scenario file
    Check { scenario: PathBuf },
    /// Plays a scenario once
    Run {
        scenario: PathBuf,
        /// In place of the one that the file names
        #[arg(long)]
        seed: Option<u64>,
        #[arg(long, value_enum, default_value = "sita")]
        policy: Policy,
        /// The figures as JSON; - for standard output, in place of the readable ones
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// What came second by second, and what became of it, as SVG
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
    /// Plays a scenario with several ways to choose, at several loads and with several seeds
    Compare {
        scenario: PathBuf,
        #[arg(long, value_enum, value_delimiter = ',', default_value = "sita,random,least-out")]
        policies: Vec<Policy>,
        /// What comes over what all executors can do; without it the load of the file
        #[arg(long, value_delimiter = ',', value_parser = load)]
        loads: Vec<f64>,
        /// How many seeds, from that of the file on
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(2..=1000))]
        seeds: u64,
        #[arg(long, value_enum, default_value = "mean-answer")]
        figure: Figure,
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// The figure over the load, a line for each way to choose, as SVG
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
    /// Holds the model against the waiting times of M/M/1, M/M/c and M/G/1 queues
    Queues {
        /// Work units for each queue
        #[arg(long, default_value_t = 200_000, value_parser = clap::value_parser!(u64).range(1000..=100_000_000))]
        units: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Policy {
    /// The project's own decisions
    Sita,
    Random,
    /// The executor where the node has the least out
    LeastOut,
    /// Of two drawn by chance the one that has less now
    TwoChoices,
    /// One queue that knows every slot at once
    AllSeeing,
}

impl Policy {
    fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default()
    }
}

impl From<Policy> for world::Policy {
    fn from(policy: Policy) -> world::Policy {
        match policy {
            Policy::Sita => world::Policy::Sita,
            Policy::Random => world::Policy::Random,
            Policy::LeastOut => world::Policy::LeastOut,
            Policy::TwoChoices => world::Policy::TwoChoices,
            Policy::AllSeeing => world::Policy::AllSeeing,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Figure {
    /// From coming to the answer, milliseconds
    MeanAnswer,
    /// The same, the 99th percentile
    P99Answer,
    /// From coming to the start, milliseconds
    MeanWait,
    /// What was earned of what could be
    Earned,
}

impl Figure {
    fn of(self, outcome: &Outcome) -> f64 {
        match self {
            Figure::MeanAnswer => outcome.summary.answers_ms.mean,
            Figure::P99Answer => outcome.summary.answers_ms.p99,
            Figure::MeanWait => outcome.summary.waits_ms.mean,
            Figure::Earned => outcome.summary.earned,
        }
    }

    fn words(self) -> &'static str {
        match self {
            Figure::MeanAnswer => "mean time to the answer, ms",
            Figure::P99Answer => "99th percentile of the time to the answer, ms",
            Figure::MeanWait => "mean wait for a start, ms",
            Figure::Earned => "earned of what could be",
        }
    }
}

/// One way to choose at one load, over all seeds.
#[derive(Serialize)]
struct Point {
    policy: String,
    load: f64,
    mean: f64,
    /// Of the interval that holds the mean with a confidence of 95%.
    half_width: f64,
    /// What it is above the first way to choose on the same seeds, with its own half width.
    above_first: f64,
    above_half_width: f64,
    broken: u64,
}

fn load(text: &str) -> Result<f64, String> {
    let load = text.parse::<f64>().ok().filter(|load| *load > 0.0 && *load <= 100.0);
    load.ok_or_else(|| "expected a number above 0, up to 100".to_owned())
}

/// What is wrong with the command line or a file.
type Wrong = String;

/// A scenario that the model can play, whatever a storm in it draws.
fn playable(path: &Path, seed: Option<u64>) -> Result<Scenario, Wrong> {
    let scenario = Scenario::of_file(path)?;
    let seed = seed.unwrap_or(scenario.seed);
    match scenario.real_only() {
        Some(place) => Err(format!("{}: {place}", path.display())),
        None => Ok(Scenario { seed, ..scenario }),
    }
}

/// Whether readable figures go to standard output: JSON may have taken it.
fn speaks(json: &Option<PathBuf>) -> bool {
    json.as_deref() != Some(Path::new("-"))
}

fn play(scenario: &Scenario, seed: u64, policy: Policy) -> Outcome {
    let scenario = scenario.of_seed(seed);
    world::run(&scenario, seed, &maker(&scenario, policy.into()))
}

fn compare(
    scenario: &Scenario,
    policies: &[Policy],
    loads: &[f64],
    seeds: u64,
    figure: Figure,
) -> Vec<Point> {
    let loads = if loads.is_empty() { vec![scenario.load()] } else { loads.to_vec() };
    let mean_of =
        |values: &[f64]| queueing::batch_mean(values, values.len(), 0.95).unwrap_or((f64::NAN, f64::NAN));
    let mut points = Vec::new();
    let mut first: Vec<Vec<f64>> = Vec::new();
    for &policy in policies {
        for (at, &load) in loads.iter().enumerate() {
            let scenario = scenario.at_load(load);
            // The same seeds for all: each way to choose meets the same work.
            let outcomes: Vec<Outcome> =
                (0..seeds).map(|at| play(&scenario, scenario.seed + at, policy)).collect();
            let values: Vec<f64> = outcomes.iter().map(|outcome| figure.of(outcome)).collect();
            let (mean, half_width) = mean_of(&values);
            if first.len() <= at {
                first.push(values.clone());
            }
            let above: Vec<f64> = values.iter().zip(&first[at]).map(|(own, first)| own - first).collect();
            let (above_first, above_half_width) = mean_of(&above);
            let broken = outcomes.iter().flat_map(|outcome| outcome.broken.values()).sum();
            let policy = policy.name();
            points.push(Point { policy, load, mean, half_width, above_first, above_half_width, broken });
        }
    }
    points
}

/// Whether all is well.
#[expect(clippy::too_many_lines, reason = "one line for each figure")]
fn act(what: What) -> Result<bool, Wrong> {
    match what {
        What::Check { scenario } => {
            let read = Scenario::of_file(&scenario)?;
            println!("{}: {:?}, load {:.3}", scenario.display(), read.name, read.load());
            Ok(true)
        }
        What::Run { scenario, seed, policy, json, plot } => {
            let scenario = playable(&scenario, seed)?;
            let began = Instant::now();
            let outcome = play(&scenario, scenario.seed, policy);
            let took = began.elapsed().as_secs_f64();
            if speaks(&json) {
                print!("{outcome}");
            }
            // Beside the figures, which are the same each time.
            eprintln!("{:.0} events a second", outcome.events as f64 / took);
            json.map_or(Ok(()), |path| write_json(&path, &outcome))?;
            plot.map_or(Ok(()), |path| plots::seconds(&path, &scenario.name, &outcome.seconds))?;
            Ok(outcome.keeps_rules() && outcome.summary.is_even())
        }
        What::Compare { scenario, policies, loads, seeds, figure, json, plot } => {
            let scenario = playable(&scenario, None)?;
            let points = compare(&scenario, &policies, &loads, seeds, figure);
            if speaks(&json) {
                println!("{}: {}, {seeds} seeds, 95%", scenario.name, figure.words());
                for p in &points {
                    println!(
                        "{:<10} load {:.3}  {:.4} +- {:.4}  above the first {:.4} +- {:.4}",
                        p.policy, p.load, p.mean, p.half_width, p.above_first, p.above_half_width
                    );
                }
            }
            let line = |policy: &Policy| {
                let own = points.iter().filter(|point| point.policy == policy.name());
                Line { name: policy.name(), points: own.map(|point| (point.load, point.mean)).collect() }
            };
            if let Some(path) = plot {
                let lines: Vec<Line> = policies.iter().map(line).collect();
                let by_tens = figure != Figure::Earned;
                plots::draw(&path, &scenario.name, ("load", figure.words()), &lines, by_tens)?;
            }
            let broken: u64 = points.iter().map(|point| point.broken).sum();
            json.map_or(Ok(()), |path| write_json(&path, &points))?;
            if broken > 0 {
                eprintln!("rules were broken {broken} times");
            }
            Ok(broken == 0)
        }
        What::Queues { units, seed, json } => {
            let checks = queueing::checks(units, seed);
            if speaks(&json) {
                println!("mean wait in ms, {units} units, {} batches, 99%", queueing::BATCHES);
                for c in &checks {
                    let says = if c.holds() { "holds" } else { "DIFFERS" };
                    println!(
                        "{:<18} load {:.2}  formula {:>9.3}  model {:>9.3} +- {:.3}  {says}",
                        c.queue, c.load, c.formula_ms, c.model_ms, c.half_width_ms
                    );
                }
            }
            json.map_or(Ok(()), |path| write_json(&path, &checks))?;
            Ok(checks.iter().all(queueing::Check::holds))
        }
    }
}

fn main() -> ExitCode {
    match act(CommandLine::parse().what) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(wrong) => {
            eprintln!("{wrong}");
            ExitCode::from(2)
        }
    }
}
