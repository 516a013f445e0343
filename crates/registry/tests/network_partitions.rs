//! Failures: deaths of nodes, network partitions, one-way link failures and freezes, and the recovery from them.

mod fleet;

use fleet::{Fleet, draining, report};
use grebeusher_registry::{Event, ExecutorState, MemberState};
use grebeusher_time::Duration;
use rstest::rstest;

fn all_show_same_executors(fleet: &Fleet) -> bool {
    fleet.all_show_same_executors()
}

#[rstest]
fn a_death_is_known_to_all_within_its_bound(#[values(14, 78)] count: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::converged(count, seed);
    fleet.kill(5);
    let took = fleet.run_until(Duration::from_millis(4_000), Fleet::all_know_all);
    assert!(
        took.is_some_and(|took| took >= Duration::from_millis(1_100) && took <= Duration::from_millis(2_000)),
        "took {took:?}"
    );
}

#[rstest]
fn all_survivors_agree_when_a_third_dies_at_once(#[values(14, 78)] count: usize) {
    let mut fleet = Fleet::converged(count, 1);
    (0..count / 3).for_each(|index| fleet.kill(index * 3));
    let took = fleet.run_until(Duration::from_millis(8_000), Fleet::all_know_all);
    println!("a third of {count} was known to be dead after {took:?}");
    assert!(took.is_some_and(|took| took <= Duration::from_millis(4_000)), "took {took:?}");
}

#[rstest]
#[case::one(14, &[5])]
#[case::two(14, &[5, 6])]
#[case::half(14, &[0, 1, 2, 3, 4, 5, 6])]
#[case::one_of_many(78, &[5])]
#[case::a_zone_of_many(78, &[0, 4, 8, 12, 16, 20, 24, 28, 32, 36, 40, 44, 48, 52, 56, 60, 64])]
fn both_sides_agree_soon_after_a_network_partition_heals(
    #[case] count: usize,
    #[case] side: &[usize],
    #[values(1_000, 3_000, 12_000)] length: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::converged(count, seed);
    for number in 0..40 {
        let mut first = report(&format!("i-{number}"), number);
        first.address.set_port(9_000 + number as u16);
        fleet.heartbeat(number % count, &first);
    }
    fleet.run(Duration::from_millis(500));
    fleet.cut_off(side);
    // Each side gets changes that the other side does not receive.
    for number in 0..20 {
        let mut first = report(&format!("i-{number}"), number);
        first.address.set_port(9_000 + number as u16);
        let index = if number % 2 == 0 { side[0] } else { count - 1 };
        fleet.heartbeat(index, &draining(&first));
        let mut fresh = report(&format!("n-{number}"), number);
        fresh.address.set_port(10_000 + number as u16);
        fleet.heartbeat(index, &fresh);
    }
    fleet.run(Duration::from_millis(length));
    fleet.heal();
    let drained = |fleet: &Fleet| {
        fleet.running().into_iter().all(|index| {
            (0..20).all(|number| {
                let drained = fleet.registry(index).executor(&format!("i-{number}"));
                let fresh = fleet.registry(index).executor(&format!("n-{number}"));
                drained.is_some_and(|executor| executor.report.state == ExecutorState::Draining)
                    && fresh.is_some()
            })
        })
    };
    let drains_took = fleet.run_until(Duration::from_millis(3_000), drained);
    let took = fleet.run_until(Duration::from_millis(3_000), Fleet::all_know_all);
    println!(
        "{count} nodes, {} cut off for {length} ms: drains {drains_took:?}, members {took:?} more",
        side.len()
    );
    assert!(
        drains_took.is_some_and(|took| took <= Duration::from_millis(1_000)),
        "drains known after {drains_took:?}"
    );
    assert!(took.is_some_and(|took| took <= Duration::from_millis(600)), "members known after {took:?}");
    fleet.run(Duration::from_millis(4_000));
    fleet.assert_all_agree();
    assert!(all_show_same_executors(&fleet), "not all show the same executors");
}

#[rstest]
fn an_isolated_node_marks_nobody_dead(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::converged(14, seed);
    fleet.reset_traffic();
    fleet.cut_off(&[5]);
    fleet.run(Duration::from_millis(10_000));
    assert!(fleet.registry(5).is_isolated(fleet.now));
    assert_eq!(fleet.nodes[5].deaths_seen(), 0);
    assert_eq!(fleet.heartbeat(5, &report("i-1", 5)).heartbeat_target, None);
    fleet.heal();
    let took = fleet.run_until(Duration::from_millis(1_000), Fleet::all_know_all);
    assert!(took.is_some(), "the nodes do not know each other");
    fleet.run(Duration::from_millis(5_000));
    // The other nodes saw the isolated node die once. It saw no death itself, even after the links were restored.
    for (index, node) in fleet.nodes.iter().enumerate() {
        assert_eq!(node.deaths_seen(), usize::from(index != 5), "{}", node.name);
    }
}

#[rstest]
#[case::short(Duration::from_millis(1_200))]
#[case::long(Duration::from_millis(9_000))]
fn a_frozen_node_that_wakes_marks_nobody_dead_and_rejoins(#[case] length: Duration) {
    let mut fleet = Fleet::converged(14, 8);
    fleet.reset_traffic();
    fleet.freeze(5);
    fleet.run(length);
    fleet.thaw(5);
    let took = fleet.run_until(Duration::from_millis(1_000), Fleet::all_know_all);
    assert!(took.is_some(), "the node is not known again");
    fleet.run(Duration::from_millis(3_000));
    fleet.assert_all_agree();
    let own = fleet.nodes[5].name.clone();
    let other_death = |(_, event): &&(_, Event)| matches!(event, Event::MemberChanged { name, state: MemberState::Dead } if *name != own);
    let false_deaths: usize =
        fleet.nodes.iter().map(|node| node.events.iter().filter(other_death).count()).sum();
    assert_eq!(false_deaths, 0);
}

#[test]
fn nodes_frozen_together_mark_nobody_dead() {
    let mut fleet = Fleet::converged(14, 8);
    fleet.reset_traffic();
    (0..14).for_each(|index| fleet.freeze(index));
    fleet.run(Duration::from_millis(5_000));
    (0..14).for_each(|index| fleet.thaw(index));
    fleet.run(Duration::from_millis(5_000));
    fleet.assert_all_agree();
    assert!(fleet.nodes.iter().all(|node| node.deaths_seen() == 0));
}

#[rstest]
#[case::one_link(&[(5, 6)])]
#[case::many_links(&[(5, 6), (5, 7), (8, 5), (9, 10), (1, 0), (3, 12)])]
fn a_one_way_link_failure_marks_nobody_dead(#[case] links: &[(usize, usize)], #[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::converged(14, seed);
    fleet.reset_traffic();
    links.iter().for_each(|(from, to)| fleet.cut_one_way(*from, *to));
    fleet.run(Duration::from_millis(20_000));
    fleet.assert_all_agree();
    let deaths: usize = fleet.nodes.iter().map(fleet::Node::deaths_seen).sum();
    assert_eq!(deaths, 0);
}

#[test]
fn indirect_probes_keep_a_node_alive_that_one_watcher_cannot_reach() {
    let mut fleet = Fleet::converged(14, 4);
    fleet.reset_traffic();
    // Some of the nodes that do not receive its messages are its watchers.
    for to in (0..14).filter(|to| *to != 5) {
        fleet.cut_one_way(5, to);
        fleet.run(Duration::from_millis(5_000));
        fleet.heal();
        let deaths: usize = fleet.nodes.iter().map(fleet::Node::deaths_seen).sum();
        assert_eq!(deaths, 0, "declared dead because node {to} did not receive its messages");
        fleet.run(Duration::from_millis(500));
    }
}

#[test]
fn a_node_that_can_only_send_marks_nobody_dead() {
    let mut fleet = Fleet::converged(14, 2);
    fleet.reset_traffic();
    (0..14).filter(|index| *index != 5).for_each(|index| fleet.cut_one_way(index, 5));
    fleet.run(Duration::from_millis(20_000));
    let deaths: usize = fleet.nodes.iter().map(fleet::Node::deaths_seen).sum();
    assert_eq!(deaths, 0);
}

#[test]
fn a_node_that_can_only_receive_dies_once() {
    let mut fleet = Fleet::converged(14, 2);
    fleet.reset_traffic();
    (0..14).filter(|index| *index != 5).for_each(|index| fleet.cut_one_way(5, index));
    fleet.run(Duration::from_millis(20_000));
    let most = fleet.nodes.iter().map(fleet::Node::deaths_seen).max().unwrap_or(0);
    assert!(most <= 1, "a node saw {most} deaths");
    fleet.heal();
    let took = fleet.run_until(Duration::from_millis(1_000), Fleet::all_know_all);
    assert!(took.is_some(), "the node is not known again");
}

#[rstest]
fn bad_links_do_not_make_nodes_flap(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::converged(14, seed);
    fleet.reset_traffic();
    fleet.links.loss = 0.2;
    fleet.links.longest = Duration::from_millis(80);
    fleet.run(Duration::from_millis(60_000));
    let deaths: usize = fleet.nodes.iter().map(fleet::Node::deaths_seen).sum();
    assert!(deaths <= 14, "{deaths} deaths were seen in a minute");
    fleet.links.loss = 0.0;
    fleet.run(Duration::from_millis(3_000));
    fleet.assert_all_agree();
}

#[test]
fn all_restart_together_and_know_each_other() {
    let mut fleet = Fleet::converged(14, 2);
    (0..14).for_each(|index| fleet.kill(index));
    fleet.run(Duration::from_millis(3_000));
    fleet.start_all(Duration::from_millis(300));
    let took = fleet
        .run_until(Duration::from_millis(1_500), |fleet| fleet.running().len() == 14 && fleet.all_know_all());
    assert!(took.is_some(), "the nodes do not know each other");
}

#[test]
fn a_node_whose_seeds_are_all_dead_is_found_by_probes() {
    let mut fleet = Fleet::converged(14, 2);
    [0, 1, 2].into_iter().for_each(|seed| fleet.kill(seed));
    fleet.kill(7);
    fleet.run(Duration::from_millis(4_000));
    fleet.start(7);
    let took = fleet.run_until(Duration::from_millis(3_000), Fleet::all_know_all);
    assert!(took.is_some(), "the restarted node is not found");
}

#[test]
fn a_false_death_is_refuted() {
    let mut fleet = Fleet::converged(14, 2);
    let mut claim = fleet.registry(0).member(&fleet.nodes[5].name).cloned().expect("a member");
    claim.state = MemberState::Dead;
    let (now, from) = (fleet.now, fleet.nodes[1].address);
    let message = grebeusher_registry::Message::Registers(vec![grebeusher_registry::Register::Member(claim)]);
    fleet.with(0, |registry| registry.receive(now, from, message));
    fleet.run(Duration::from_millis(2_000));
    fleet.assert_all_agree();
    // Node 0 waited for the refutation before it applied the reported death.
    assert!(fleet.nodes[0].deaths_seen() == 0);
}

#[test]
fn a_leaving_node_serves_until_it_has_left() {
    let mut fleet = Fleet::converged(14, 2);
    let (now, name) = (fleet.now, fleet.nodes[5].name.clone());
    fleet.with(5, |registry| registry.leave(now));
    fleet.run(Duration::from_millis(200));
    let state = |fleet: &Fleet, index| fleet.registry(index).member(&name).map(|member| member.state);
    assert!((0..14).all(|index| state(&fleet, index) == Some(MemberState::Leaving)));
    let now = fleet.now;
    fleet.with(5, |registry| registry.left(now));
    fleet.kill(5);
    fleet.run(Duration::from_millis(200));
    assert!(fleet.running().into_iter().all(|index| state(&fleet, index) == Some(MemberState::Left)));
    fleet.start(5);
    let took = fleet.run_until(Duration::from_millis(1_000), Fleet::all_know_all);
    assert!(took.is_some(), "its next incarnation is not known");
}

#[test]
fn repeated_false_deaths_lengthen_the_death_timeout() {
    let mut fleet = Fleet::converged(14, 2);
    fleet.reset_traffic();
    for _ in 0..10 {
        fleet.cut_off(&[5]);
        fleet.run(Duration::from_millis(2_200));
        fleet.heal();
        fleet.run(Duration::from_millis(2_800));
    }
    let own = fleet.nodes[5].name.clone();
    let any_death =
        |(_, event): &&(_, Event)| matches!(event, Event::MemberChanged { state: MemberState::Dead, .. });
    let own_death = |(_, event): &&(_, Event)| matches!(event, Event::MemberChanged { name, state: MemberState::Dead } if *name == own);
    for node in &fleet.nodes {
        let (all_deaths, own_deaths) =
            (node.events.iter().filter(any_death).count(), node.events.iter().filter(own_death).count());
        assert!(own_deaths <= 5, "{} saw it die {own_deaths} times", node.name);
        assert_eq!(all_deaths, own_deaths, "{} saw deaths of nodes that were never cut off", node.name);
    }
    // After a while without false deaths the death timeout is back to normal.
    fleet.run(Duration::from_millis(25_000));
    fleet.kill(5);
    let took = fleet.run_until(Duration::from_millis(4_000), Fleet::all_know_all);
    assert!(took.is_some_and(|took| took <= Duration::from_millis(2_000)), "took {took:?}");
}
