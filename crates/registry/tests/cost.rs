//! What the registry costs: messages and bytes at rest do not grow with the fleet, and the dead are not called much.

mod fleet;

use fleet::{Fleet, next, report};
use grebeusher_registry::NodeId;
use grebeusher_time::Duration;
use rstest::rstest;

/// The share of the link that a node may use for control, in bytes a second, both ways together.
const MAX_BYTES: u64 = 12_000;

fn busiest(fleet: &Fleet, seconds: u64) -> (u64, u64) {
    let messages =
        fleet.nodes.iter().map(|node| node.sent.messages + node.received.messages).max().unwrap_or(0);
    let bytes = fleet.nodes.iter().map(|node| node.sent.bytes + node.received.bytes).max().unwrap_or(0);
    (messages / seconds, bytes / seconds)
}

#[rstest]
#[case(14)]
#[case(78)]
#[case(360)]
fn at_rest_messages_do_not_grow_with_the_fleet(#[case] count: usize) {
    let mut fleet = Fleet::converged(count, 1);
    fleet.run(Duration::from_millis(4_000));
    fleet.reset_traffic();
    fleet.run(Duration::from_millis(10_000));
    let (messages, bytes) = busiest(&fleet, 10);
    println!(
        "{count} nodes at rest: {messages} messages and {bytes} bytes a second in and out at the busiest"
    );
    assert!(messages <= 26, "{messages} messages a second");
    assert!(bytes <= 2_000, "{bytes} bytes a second");
}

#[rstest]
#[case(14, 90, 4)]
#[case(78, 480, 8)]
#[case(360, 2_200, 20)]
fn executor_churn_stays_within_the_bandwidth_budget(
    #[case] count: usize,
    #[case] executors: usize,
    #[case] changes_per_second: usize,
) {
    let mut fleet = Fleet::converged(count, 1);
    let edges = count - count / 8;
    let reports: Vec<_> = (0..executors)
        .map(|number| {
            let mut first = report(&format!("i-{number:08x}"), number);
            first.address.set_port(9_000 + number as u16);
            first
        })
        .collect();
    for (number, first) in reports.iter().enumerate() {
        fleet.heartbeat(number % edges, first);
    }
    fleet.run(Duration::from_millis(3_000));
    assert!(fleet.all_show_same_executors());
    fleet.reset_traffic();
    // Each beats on at its node; some end and others start.
    let (mut beat, mut round) = (reports.clone(), 0);
    for step in 0..50 {
        for number in (step % 12..executors).step_by(12) {
            beat[number] = next(&beat[number]);
            fleet.heartbeat(number % edges, &beat[number].clone());
        }
        for _ in 0..changes_per_second / 4 {
            if step % 5 == 0 {
                round += 1;
                fleet.deregister(round % edges, &format!("i-{round:08x}"));
                let mut fresh = report(&format!("n-{round:08x}"), round);
                fresh.address.set_port(30_000 + round as u16);
                fleet.heartbeat(round % edges, &fresh);
            }
        }
        fleet.run(Duration::from_millis(100));
    }
    let (messages, bytes) = busiest(&fleet, 10);
    println!(
        "{count} nodes, {executors} executors: {messages} messages and {bytes} bytes a second at the busiest"
    );
    assert!(bytes <= MAX_BYTES, "{bytes} bytes a second");
    fleet.run(Duration::from_millis(2_000));
    assert!(fleet.all_show_same_executors());
}

#[rstest]
#[case(14, 1)]
#[case(78, 12)]
fn dead_nodes_are_probed_at_a_bounded_rate(#[case] count: usize, #[case] dead: usize) {
    let mut fleet = Fleet::converged(count, 1);
    (count - dead..count).for_each(|index| fleet.kill(index));
    fleet.run(Duration::from_millis(6_000));
    fleet.assert_all_agree();
    fleet.reset_traffic();
    fleet.run(Duration::from_millis(10_000));
    let calls: u64 = fleet.nodes.iter().map(|node| node.to_nobody).sum();
    println!("{dead} dead of {count}: {calls} calls to nobody in 10 s");
    assert!(calls as usize <= dead * 50 + 20, "{calls} calls");
    assert!(calls as usize >= dead * 25, "only {calls} calls");
    fleet.run(Duration::from_millis(30_000));
    fleet.reset_traffic();
    fleet.run(Duration::from_millis(10_000));
    let calls: u64 = fleet.nodes.iter().map(|node| node.to_nobody).sum();
    println!("{dead} long dead of {count}: {calls} calls to nobody in 10 s");
    assert!(calls as usize <= dead * 14 + 10, "{calls} calls");
}

#[test]
fn a_new_node_receives_all_executors_at_a_bounded_rate() {
    let mut fleet = Fleet::converged(78, 1);
    for number in 0..2_200 {
        let mut first = report(&format!("i-{number:08x}"), number);
        first.address.set_port(9_000 + number as u16);
        fleet.heartbeat(number % 60, &first);
        if number % 60 == 59 {
            fleet.run(Duration::from_millis(20));
        }
    }
    fleet.run(Duration::from_millis(2_000));
    assert!(fleet.all_show_same_executors());
    fleet.kill(50);
    fleet.run(Duration::from_millis(200));
    fleet.reset_traffic();
    fleet.start(50);
    let took = fleet.run_until(Duration::from_millis(3_000), Fleet::all_show_same_executors);
    let received = fleet.nodes[50].received;
    println!("a newcomer had 2,200 executors after {took:?}, by {received:?}");
    assert!(took.is_some_and(|took| took <= Duration::from_millis(1_500)), "took {took:?}");
    assert!(received.bytes < 500_000, "{received:?}");
}

#[test]
fn a_single_peer_transfers_its_registers_at_a_bounded_rate() {
    let mut fleet = Fleet::new(2, 1);
    fleet.start(0);
    for number in 0..2_200 {
        let mut first = report(&format!("i-{number:08x}"), number);
        first.address.set_port(9_000 + number as u16);
        fleet.heartbeat(0, &first);
    }
    fleet.run(Duration::from_millis(1_000));
    fleet.start(1);
    let took = fleet.run_until(Duration::from_millis(3_000), Fleet::all_show_same_executors);
    println!("2,200 executors came from one node in {took:?}");
    assert!(
        took.is_some_and(|took| took >= Duration::from_millis(100) && took <= Duration::from_millis(1_500)),
        "took {took:?}"
    );
}

/// Not a test of time, as machines differ: says what it measures.
#[test]
fn the_processor_time_of_a_node_among_many() {
    let mut fleet = Fleet::converged(78, 1);
    fleet.run(Duration::from_millis(2_000));
    let start = std::time::Instant::now();
    fleet.run(Duration::from_millis(10_000));
    let share = start.elapsed().as_secs_f64() / 10.0 / 78.0;
    println!("a node of 78 at rest took {:.4} % of a core, the simulation included", share * 100.0);
}

#[rstest]
#[case(14)]
#[case(360)]
fn relay_load_is_even_across_nodes(#[case] count: usize) {
    // Given a settled fleet in which each node tells all others something once
    let fleet = Fleet::converged(count, 1);
    let ids: Vec<_> = fleet.registry(0).members().map(grebeusher_registry::Member::id).collect();
    assert_eq!(ids.len(), count);
    let sent = |node: usize| -> usize {
        let children = |id| fleet.registry(node).relay_children_of(id).expect("a live node").len();
        ids.iter().copied().map(children).sum()
    };
    let sent: Vec<usize> = (0..count).map(sent).collect();
    // Then each message reaches each other node once
    assert_eq!(sent.iter().sum::<usize>(), count * (count - 1));
    // And no node sends much more than comes in
    let most = sent.into_iter().max().expect("a node");
    println!("{count} nodes: the busiest sends {most}");
    assert!(most <= count + count / 4, "{most}");
    // And for a node that is not there nothing is passed on
    assert_eq!(fleet.registry(0).relay_children_of(NodeId(7)), None);
}
