//! Fleets for the tests: the shapes of the scenario files with less traffic.

#![allow(dead_code)]

use grebeusher_simulation::fleet::{Report, run};
use grebeusher_simulation::scenario::{Closing, Fault, Load, Scenario, Timed};
use std::path::Path;

/// The scenario of a file.
pub fn scenario_file(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../deploy/simulation/{name}.toml"));
    Scenario::read(&path).expect("the file is there and right")
}

/// The scenario file of a shape, with a short day.
pub fn shape(name: &str) -> Scenario {
    let mut scenario = scenario_file(name);
    scenario.load = Load {
        length_s: 8.0,
        lead_s: 6.0,
        live_per_s: 20.0,
        jobs_per_s: 1.5,
        ballast_routes: 0,
        ..Load::default()
    };
    scenario
}

/// A day of a shape with one fault, two seconds after traffic begins.
pub fn day_with(name: &str, fault: Fault, seed: u64) -> Report {
    let mut scenario = shape(name);
    scenario.faults = vec![Timed { at_s: 2.0, fault }];
    run(&scenario, seed)
}

/// A day that ends with a final fault.
pub fn day_that_ends_with(name: &str, closing: Closing, seed: u64) -> Report {
    let mut scenario = shape(name);
    scenario.faults = vec![Timed { at_s: 2.0, fault: Fault::ConfigChange }];
    scenario.closing = Some(closing);
    run(&scenario, seed)
}

/// Nothing was broken; tells what was otherwise.
pub fn expect_clean(report: &Report) {
    let breaches: Vec<String> =
        report.breaches.iter().map(|breach| format!("{}: {}", breach.rule, breach.what)).collect();
    assert!(breaches.is_empty(), "{breaches:#?}\n{}", report.trace.join("\n"));
}

/// At least this share of the requests was served.
pub fn expect_served(report: &Report, share: f64) {
    let counts = report.counts;
    let all = counts.served + counts.unserved;
    assert!(all > 50, "only {all} requests");
    assert!(counts.served as f64 >= all as f64 * share, "{} of {all} were served", counts.served);
}
