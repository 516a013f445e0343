//! What standing by costs: given a fleet without traffic, when time passes, then each node does little, whatever the fleet's
//! size.

use grebeusher_simulation::fleet::hollow::{Hollow, Idle};
use grebeusher_tier::runtime::traffic::TIMER_KINDS;
use grebeusher_time::Duration;
use rstest::rstest;

/// Wake-ups a second that an edge node without a disk may have.
const MAX_WAKE_UPS: f64 = 24.0;
/// Messages a second, in and out.
const MAX_MESSAGES: f64 = 24.0;
/// Bytes of messages a second, in and out.
const MAX_BYTES: f64 = 2_000.0;

fn at_rest(machines: usize, executors: usize) -> Idle {
    Hollow {
        machines,
        executors,
        seed: 1,
        settle: Duration::from_millis(12_000),
        measure: Duration::from_millis(6_000),
    }
    .run()
}

#[rstest]
#[case::as_many_as_in_service(24)]
#[case::twice_as_many(48)]
#[case::four_times_as_many(96)]
fn a_node_that_stands_by_does_little_whatever_the_fleets_size(#[case] machines: usize) {
    // Given as many executors as machines, when nobody asks for anything,
    let idle = at_rest(machines, machines);
    // then an edge node wakes few times, and says and hears little.
    let edges = idle.of("edge");
    let (wake_ups, _) = idle.spread(&edges, &|cost| cost.traffic.turns as f64);
    let (messages, _) = idle.spread(&edges, &|cost| cost.frames().frames as f64);
    let (bytes, _) = idle.spread(&edges, &|cost| cost.frames().bytes as f64);
    println!(
        "{machines} machines: {wake_ups:.1} wake-ups, {messages:.1} messages, {bytes:.0} bytes a second"
    );
    assert!(wake_ups <= MAX_WAKE_UPS, "{wake_ups} wake-ups a second");
    assert!(messages <= MAX_MESSAGES, "{messages} messages a second");
    assert!(bytes <= MAX_BYTES, "{bytes} bytes a second");
}

#[test]
fn a_node_without_requests_and_replicas_wakes_for_neither() {
    // Given a fleet whose plain edge nodes have nothing to run and no partition to look after, when time passes,
    let idle = at_rest(24, 12);
    // then the timers for both stay unset.
    for (kind, name) in TIMER_KINDS.iter().enumerate() {
        let (mean, _) = idle.spread(&idle.of("edge"), &|cost| cost.traffic.timers[kind] as f64);
        let most = match *name {
            "sweep" => 2.0,
            // One for each link that is dialled: a few in a minute.
            "link" => 0.1,
            _ => 0.0,
        };
        assert!(mean <= most, "{name}: {mean} a second");
    }
}
