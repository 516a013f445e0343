//! Thousands of short storms, each from its own seed, under an oracle.

mod world;

use rstest::rstest;
use world::Fault;
use world::storm::{Weather, storm};

/// How many storms of each kind; `QUORUM_STORMS` asks for more.
fn storms() -> u64 {
    std::env::var("QUORUM_STORMS").ok().and_then(|count| count.parse().ok()).unwrap_or(100)
}

/// The first seed; `QUORUM_SEED` asks for another.
fn first_seed() -> u64 {
    std::env::var("QUORUM_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

#[rstest]
fn committed_entries_last_and_reads_are_never_stale(
    #[values(Weather::Rough, Weather::Wiping, Weather::Changing)] weather: Weather,
) {
    let (mut acknowledged, mut reads) = (0, 0);
    for seed in first_seed()..first_seed() + storms() {
        let passed = std::panic::catch_unwind(|| storm(seed, weather, Fault::None));
        let Ok(world) = passed else { panic!("{weather:?}, seed {seed}") };
        acknowledged += world.oracle.acknowledged;
        reads += world.oracle.reads;
    }
    println!("{weather:?}: {acknowledged} batches acknowledged, {reads} reads");
    assert!(acknowledged > 10 * storms(), "the storms let something through: {acknowledged}");
    assert!(reads > 10 * storms(), "there were reads: {reads}");
}
