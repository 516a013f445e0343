//! Restarts of many machines: given a fleet at rest, when most of its edge machines restart together, then all are back soon
//! and nobody is asked for more than it can give.

use grebeusher_simulation::fleet::hollow::Hollow;
use grebeusher_simulation::fleet::wave::restart_together;
use grebeusher_time::Duration;
use rstest::rstest;

/// Bytes that one node may send to others in a tenth of a second: a third of a link of 30 Mbit/s.
const MAX_SENT: u64 = 125_000;
/// Bytes that one who restarts may be brought for each register of the fleet.
const MAX_BYTES_PER_REGISTER: u64 = 600;

#[rstest]
fn forty_six_machines_that_restart_together_make_no_wave(#[values(1, 2)] seed: u64) {
    // Given 78 machines and 93 executors that have settled,
    let (machines, executors) = (78, 93);
    let hollow = Hollow {
        machines,
        executors,
        seed,
        settle: Duration::from_millis(8_000),
        measure: Duration::from_millis(2_000),
    };
    // when 46 edge machines restart together,
    let wave = restart_together(&hollow, 46);
    println!("{wave:?}");
    // then all serve again soon, nobody sends more than a part of its link, and nobody is brought things again and again.
    assert_eq!(wave.restarted, 46);
    assert!(wave.all_back.is_some_and(|back| back <= Duration::from_millis(4_000)), "{wave:?}");
    assert!(wave.most_sent.bytes <= MAX_SENT, "{wave:?}");
    let registers = (2 * machines + executors) as u64;
    assert!(wave.most_brought.bytes <= registers * MAX_BYTES_PER_REGISTER, "{wave:?}");
}
