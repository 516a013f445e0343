//! Runs the simulated cluster with random faults from many seeds, with an oracle that checks the invariants.

mod cluster;

use cluster::Fault;
use cluster::random_faults::{FaultKinds, run_with_random_faults};
use rstest::rstest;

/// The number of seeds for each kind of faults; `QUORUM_STORMS` sets another.
fn seed_count() -> u64 {
    std::env::var("QUORUM_STORMS").ok().and_then(|count| count.parse().ok()).unwrap_or(100)
}

/// The first seed; `QUORUM_SEED` sets another.
fn first_seed() -> u64 {
    std::env::var("QUORUM_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

#[rstest]
fn committed_entries_last_and_reads_are_never_stale(
    #[values(FaultKinds::Basic, FaultKinds::DiskLoss, FaultKinds::GroupChanges)] fault_kinds: FaultKinds,
) {
    let (mut acknowledged, mut reads) = (0, 0);
    for seed in first_seed()..first_seed() + seed_count() {
        let result = std::panic::catch_unwind(|| run_with_random_faults(seed, fault_kinds, Fault::None));
        let Ok(cluster) = result else { panic!("{fault_kinds:?}, seed {seed}") };
        acknowledged += cluster.oracle.acknowledged;
        reads += cluster.oracle.reads;
    }
    println!("{fault_kinds:?}: {acknowledged} batches acknowledged, {reads} reads");
    assert!(
        acknowledged > 10 * seed_count(),
        "too few batches were acknowledged despite the faults: {acknowledged}"
    );
    assert!(reads > 10 * seed_count(), "too few reads were answered: {reads}");
}
