//! The costs of the registry: the message rate at rest does not grow with the fleet, and dead nodes are probed at a
//! bounded rate.

mod fleet;

use fleet::{Fleet, next, report};
use grebeusher_registry::NodeId;
use grebeusher_time::Duration;
use rstest::rstest;

/// The largest traffic of a node's registry, sent and received together, in bytes per second.
const MAX_BYTES_PER_SECOND: u64 = 12_000;

/// Returns the most messages and bytes per second that a node sent and received together in the last `seconds`.
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
        "{count} nodes at rest: {messages} messages and {bytes} bytes per second in and out at the busiest"
    );
    assert!(messages <= 26, "{messages} messages per second");
    assert!(bytes <= 2_000, "{bytes} bytes per second");
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
    // Each executor continues its heartbeats at its node, while some executors deregister and others start.
    let (mut latest, mut round) = (reports.clone(), 0);
    for step in 0..50 {
        for number in (step % 12..executors).step_by(12) {
            latest[number] = next(&latest[number]);
            fleet.heartbeat(number % edges, &latest[number].clone());
        }
        for _ in 0..changes_per_second / 4 {
            if step % 5 == 0 {
                round += 1;
                fleet.deregister(round % edges, &format!("i-{round:08x}"));
                let mut started = report(&format!("n-{round:08x}"), round);
                started.address.set_port(30_000 + round as u16);
                fleet.heartbeat(round % edges, &started);
            }
        }
        fleet.run(Duration::from_millis(100));
    }
    let (messages, bytes) = busiest(&fleet, 10);
    println!(
        "{count} nodes, {executors} executors: {messages} messages and {bytes} bytes per second at the busiest"
    );
    assert!(bytes <= MAX_BYTES_PER_SECOND, "{bytes} bytes per second");
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
    let messages_to_dead: u64 = fleet.nodes.iter().map(|node| node.sent_to_dead).sum();
    println!("{dead} dead nodes of {count}: {messages_to_dead} messages to dead nodes in 10 s");
    assert!(messages_to_dead as usize <= dead * 50 + 20, "{messages_to_dead} messages");
    assert!(messages_to_dead as usize >= dead * 25, "only {messages_to_dead} messages");
    fleet.run(Duration::from_millis(30_000));
    fleet.reset_traffic();
    fleet.run(Duration::from_millis(10_000));
    let messages_to_dead: u64 = fleet.nodes.iter().map(|node| node.sent_to_dead).sum();
    println!("{dead} long dead nodes of {count}: {messages_to_dead} messages to dead nodes in 10 s");
    assert!(messages_to_dead as usize <= dead * 14 + 10, "{messages_to_dead} messages");
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
    println!("a new node had 2,200 executors after {took:?}, having received {received:?}");
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

/// Prints the measured processor time. It asserts nothing, because machines differ.
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
    // Given a converged fleet in which each node sends one relay to all others,
    let fleet = Fleet::converged(count, 1);
    let ids: Vec<_> = fleet.registry(0).members().map(grebeusher_registry::Member::id).collect();
    assert_eq!(ids.len(), count);
    let sent = |node: usize| -> usize {
        let children = |id| fleet.registry(node).relay_children_of(id).expect("a live node").len();
        ids.iter().copied().map(children).sum()
    };
    let sent: Vec<usize> = (0..count).map(sent).collect();
    // then each relay reaches each other node once,
    assert_eq!(sent.iter().sum::<usize>(), count * (count - 1));
    // and no node sends many more messages than it receives,
    let max_sent = sent.into_iter().max().expect("a node");
    println!("{count} nodes: the busiest sends {max_sent} messages");
    assert!(max_sent <= count + count / 4, "{max_sent}");
    // and there are no children for the relays of an unknown node.
    assert_eq!(fleet.registry(0).relay_children_of(NodeId(7)), None);
}
