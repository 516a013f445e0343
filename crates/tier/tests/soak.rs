//! Short soaks of real processes: signals, restarts and changes of the configuration overlap, and executors fail and send
//! answers twice. Longer ones by hand: `cargo run --release -p grebeusher-demo --bin grebeusher-soak -- --count 50`.

use grebeusher_demo::layout::Machines;
use grebeusher_demo::soak::{SoakOptions, soak};
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;

/// How long the tier is disturbed.
const LENGTH: Duration = Duration::from_secs(8);

#[rstest]
fn a_disturbed_tier_breaks_no_rule(#[values(200, 204, 208)] seed: u64) {
    // Given seven processes, and executors that fail and answer twice
    let options = SoakOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_grebeusher-tier")),
        machines: Machines { edge_with_disk: 3, edge: 1, storage: 3, executors: 1 },
        seed,
        length: LENGTH,
        keep: false,
    };
    // When processes are suspended, stopped, killed and started again beside live requests and batch jobs
    let report = soak(&options).unwrap_or_else(|error| panic!("{error}"));
    // Then every answer and result belongs to its request and item, and nothing that was accepted is lost
    assert!(report.breaches.is_empty(), "{:#?}", report.breaches);
    assert!(report.jobs > 0 && report.served > 0, "{report:?}");
}
