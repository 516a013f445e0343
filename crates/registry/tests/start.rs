//! Starts of nodes: in any order, with seeds that are late or down, after restarts, and many at once.

mod fleet;

use fleet::{Fleet, address, settings};
use grebeusher_registry::MemberState;
use grebeusher_time::Duration;
use rstest::rstest;

#[rstest]
fn all_nodes_know_each_other_soon_after_a_joint_start(
    #[values(14, 78, 360)] count: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(count, seed);
    fleet.start_all(Duration::from_millis(300));
    fleet.run(Duration::from_millis(300));
    let took = fleet.run_until(Duration::from_millis(1_500), Fleet::all_know_all);
    println!("{count} nodes knew each other {took:?} after the last start");
    assert!(took.is_some_and(|took| took <= Duration::from_millis(1_200)), "took {took:?}");
}

#[rstest]
#[case::seeds_last(&[3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 2, 1, 0])]
#[case::seeds_first(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13])]
#[case::seeds_apart(&[0, 3, 4, 5, 6, 1, 7, 8, 9, 10, 11, 12, 13, 2])]
fn the_order_of_starts_does_not_matter(#[case] order: &[usize]) {
    let mut fleet = Fleet::new(14, 7);
    for (position, index) in order.iter().enumerate() {
        fleet.start_in(*index, Duration::from_millis(position as u64 * 23));
    }
    let took = fleet
        .run_until(Duration::from_millis(1_500), |fleet| fleet.running().len() == 14 && fleet.all_know_all());
    assert!(took.is_some(), "the nodes do not know each other");
}

#[rstest]
fn one_seed_of_three_is_enough(#[values(0, 1, 2)] up: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = Fleet::new(14, seed);
    for index in (3..14).chain([up]) {
        fleet.start(index);
    }
    let took = fleet.run_until(Duration::from_millis(1_500), Fleet::all_know_all);
    assert!(took.is_some(), "the nodes do not know each other");
}

#[test]
fn nodes_wait_for_a_seed_that_comes_late() {
    let mut fleet = Fleet::new(6, 5);
    (3..6).for_each(|index| fleet.start(index));
    fleet.run(Duration::from_millis(21_700));
    assert!((3..6).all(|index| !fleet.registry(index).is_joined()));
    fleet.start(1);
    let took = fleet.run_until(Duration::from_millis(400), Fleet::all_know_all);
    assert!(took.is_some(), "the nodes do not know each other");
}

#[rstest]
fn starts_succeed_on_links_that_lose_duplicate_and_reorder(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = Fleet::new(14, seed);
    fleet.links.loss = 0.1;
    fleet.links.duplicated = 0.1;
    fleet.links.longest = Duration::from_millis(60);
    fleet.start_all(Duration::from_millis(300));
    let took = fleet
        .run_until(Duration::from_millis(3_000), |fleet| fleet.running().len() == 14 && fleet.all_know_all());
    assert!(took.is_some(), "the nodes do not know each other");
}

#[rstest]
#[case::at_once(Duration::from_millis(50))]
#[case::after_its_death(Duration::from_millis(4_000))]
fn a_restarted_node_is_known_by_its_new_incarnation(#[case] pause: Duration) {
    let mut fleet = Fleet::converged(14, 3);
    let before = fleet.registry(5).own_member().incarnation;
    fleet.kill(5);
    fleet.run(pause);
    fleet.start(5);
    let name = fleet.nodes[5].name.clone();
    let took = fleet.run_until(Duration::from_millis(1_000), |fleet| {
        fleet.all_know_all()
            && fleet.running().iter().all(|index| {
                fleet.registry(*index).member(&name).is_some_and(|member| member.incarnation > before)
            })
    });
    assert!(took.is_some(), "its new incarnation is not known");
    assert!(!fleet.registry(5).own_member().bootstrap);
}

#[test]
fn a_node_restarted_under_an_earlier_clock_supersedes_its_previous_incarnation() {
    let mut fleet = Fleet::converged(14, 3);
    let before = fleet.registry(5).own_member().incarnation;
    fleet.kill(5);
    fleet.run(Duration::from_millis(100));
    fleet.start_with_clock_behind(5);
    let name = fleet.nodes[5].name.clone();
    let took = fleet.run_until(Duration::from_millis(1_500), |fleet| {
        fleet.running().iter().all(|index| {
            fleet.registry(*index).member(&name).is_some_and(|member| member.incarnation > before)
        })
    });
    assert!(took.is_some(), "its previous incarnation hides the new one");
    fleet.run(Duration::from_millis(3_000));
    fleet.assert_all_agree();
}

#[test]
fn a_machine_that_replaces_another_is_known_and_the_other_dead() {
    let mut fleet = Fleet::converged(14, 9);
    let former = fleet.nodes[13].name.clone();
    fleet.kill(13);
    let mut replacement = settings(14, &[0, 1, 2], 13);
    replacement.member.bootstrap = false;
    let index = fleet.add(replacement);
    fleet.start(index);
    let took = fleet.run_until(Duration::from_millis(3_000), Fleet::all_know_all);
    assert!(took.is_some(), "the replacement is not known, or the replaced node is still live");
    assert_eq!(fleet.registry(0).member(&former).map(|member| member.state), Some(MemberState::Dead));
    assert_eq!(fleet.registry(0).member_by_replica(15).map(|member| member.address), Some(address(14)));
}

#[test]
fn mass_restarts_cause_no_message_storm() {
    let mut fleet = Fleet::converged(78, 4);
    fleet.reset_traffic();
    let restarted: Vec<usize> = (20..66).collect();
    restarted.iter().for_each(|index| fleet.kill(*index));
    fleet.run(Duration::from_millis(500));
    for index in &restarted {
        let wait = Duration::from_millis(*index as u64 % 30 * 10);
        fleet.start_in(*index, wait);
    }
    fleet.run(Duration::from_millis(310));
    let took = fleet.run_until(Duration::from_millis(3_000), Fleet::all_know_all);
    println!("46 of 78 restarted and were known {took:?} after the last start");
    assert!(took.is_some_and(|took| took <= Duration::from_millis(1_500)), "took {took:?}");
    fleet.run(Duration::from_millis(3_000));
    fleet.assert_all_agree();
    let max_messages =
        fleet.nodes.iter().map(|node| node.sent.messages.max(node.received.messages)).max().unwrap_or(0);
    let max_bytes =
        fleet.nodes.iter().map(|node| node.sent.bytes.max(node.received.bytes)).max().unwrap_or(0);
    println!("the busiest node sent or received {max_messages} messages and {max_bytes} bytes");
    assert!(max_messages < 1_200, "{max_messages} messages");
    assert!(max_bytes < 400_000, "{max_bytes} bytes");
}

#[test]
fn a_duplicated_relay_is_forwarded_once() {
    let mut fleet = Fleet::converged(78, 4);
    let sent = |fleet: &Fleet| -> u64 { fleet.nodes.iter().map(|node| node.sent.messages).sum() };
    let mut message_counts = Vec::new();
    for duplicated in [0.0, 1.0] {
        fleet.links.duplicated = duplicated;
        fleet.reset_traffic();
        let start = sent(&fleet);
        for payload in 0..20 {
            let now = fleet.now;
            fleet.with(5, |registry| registry.set_metadata(now, vec![payload])).expect("small enough");
            fleet.run(Duration::from_millis(60));
        }
        message_counts.push(sent(&fleet) - start);
    }
    assert!(message_counts[1] < message_counts[0] + message_counts[0] / 3, "{message_counts:?} messages");
}
