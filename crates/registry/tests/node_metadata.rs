//! Metadata of nodes, and versions of the configuration in heartbeats.

mod fleet;

use fleet::Fleet;
use grebeusher_registry::{Event, MAX_METADATA};
use grebeusher_time::Duration;

fn metadata_on_all_nodes(fleet: &Fleet, node: usize) -> Vec<Option<Vec<u8>>> {
    let name = &fleet.nodes[node].name;
    let metadata_on = |index: usize| {
        fleet.registry(index).metadata_of(name).map(|node_metadata| node_metadata.payload.clone())
    };
    fleet.running().into_iter().map(metadata_on).collect()
}

#[test]
fn metadata_reaches_all_and_the_newest_wins() {
    let mut fleet = Fleet::converged(14, 1);
    for payload in [b"one".to_vec(), b"two".to_vec(), vec![7; MAX_METADATA]] {
        let now = fleet.now;
        fleet.with(5, |registry| registry.set_metadata(now, payload.clone())).expect("small enough");
        fleet.run(Duration::from_millis(200));
        assert!(metadata_on_all_nodes(&fleet, 5).iter().all(|stored| stored.as_ref() == Some(&payload)));
    }
    let now = fleet.now;
    let refused = fleet.with(5, |registry| registry.set_metadata(now, vec![0; MAX_METADATA + 1]));
    assert!(refused.is_err());
}

#[test]
fn metadata_of_a_new_incarnation_replaces_the_old() {
    let mut fleet = Fleet::converged(14, 1);
    for _ in 0..5 {
        let now = fleet.now;
        fleet.with(5, |registry| registry.set_metadata(now, b"old".to_vec())).expect("small enough");
    }
    fleet.run(Duration::from_millis(200));
    fleet.kill(5);
    fleet.run(Duration::from_millis(100));
    fleet.start_with_clock_behind(5);
    let now = fleet.now;
    fleet.with(5, |registry| registry.set_metadata(now, b"new".to_vec())).expect("small enough");
    fleet.run(Duration::from_millis(1_500));
    assert!(metadata_on_all_nodes(&fleet, 5).iter().all(|stored| stored.as_deref() == Some(b"new")));
}

#[test]
fn missed_metadata_is_repaired() {
    let mut fleet = Fleet::converged(14, 1);
    fleet.cut_off(&[9]);
    let now = fleet.now;
    fleet.with(5, |registry| registry.set_metadata(now, b"one".to_vec())).expect("small enough");
    fleet.run(Duration::from_millis(800));
    fleet.heal();
    fleet.run(Duration::from_millis(1_000));
    assert!(metadata_on_all_nodes(&fleet, 5).iter().all(|stored| stored.as_deref() == Some(b"one")));
}

#[test]
fn heartbeats_reveal_a_newer_configuration() {
    let mut fleet = Fleet::converged(14, 1);
    (0..14).filter(|index| *index != 9).for_each(|index| {
        fleet.with(index, |registry| registry.set_configuration_version(7));
    });
    fleet.reset_traffic();
    fleet.run(Duration::from_millis(900));
    let event_count = |index: usize| {
        let is_behind =
            |(_, event): &&(_, Event)| matches!(event, Event::ConfigurationBehind { version: 7, .. });
        fleet.nodes[index].events.iter().filter(is_behind).count()
    };
    assert!((1..=5).contains(&event_count(9)), "{} events", event_count(9));
    assert!((0..14).filter(|index| *index != 9).all(|index| event_count(index) == 0));
}
