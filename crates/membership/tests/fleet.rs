//! Tests of whole fleets of nodes on a simulated network with a simulated clock. The network loses, duplicates and
//! delays datagrams, and can be partitioned.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_membership::{ExecutorObservation, Host, MAX_DATAGRAM_BYTES, Member, Membership};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

#[derive(Default)]
struct Network {
    /// The datagrams that have not arrived yet, with their sender and receiver, by their time of arrival and number.
    in_flight: BTreeMap<(Instant, u64), (usize, usize, Vec<u8>)>,
    /// The number of bytes that each node has sent.
    sent_bytes: Vec<u64>,
    /// The number of the last datagram.
    last_datagram: u64,
    now: Instant,
    /// The nodes that are separated from all others; they reach one another.
    partitioned: Vec<usize>,
}

/// The observations of executors that a node received.
type ReceivedObservations = Rc<RefCell<Vec<ExecutorObservation>>>;

#[derive(Clone)]
struct RecordingHost {
    network: Rc<RefCell<Network>>,
    own_index: usize,
    observations: ReceivedObservations,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16))
}

impl Host for RecordingHost {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        let mut network = self.network.borrow_mut();
        let to = usize::from(to.port()) - 1000;
        network.sent_bytes[self.own_index] += datagram.len() as u64;
        network.last_datagram += 1;
        let (number, now) = (network.last_datagram, network.now);
        let partitioned = network.partitioned.contains(&self.own_index) != network.partitioned.contains(&to);
        // One datagram in twenty is lost, and one in twenty is delivered twice.
        if !partitioned && number % 20 != 0 {
            network.in_flight.insert(
                (now + Duration::from_millis(1 + number % 7), number),
                (self.own_index, to, datagram.to_vec()),
            );
        }
        if !partitioned && number % 20 == 1 {
            let duplicate = (now + Duration::from_millis(40), number + (1 << 40));
            network.in_flight.insert(duplicate, (self.own_index, to, datagram.to_vec()));
        }
    }
    fn member_up(&mut self, _: Member) {}
    fn member_down(&mut self, _: Member) {}
    fn executor_observed(&mut self, observation: ExecutorObservation) {
        self.observations.borrow_mut().push(observation);
    }
}

struct Fleet {
    network: Rc<RefCell<Network>>,
    nodes: Vec<Option<Membership<RecordingHost>>>,
    observations: Vec<ReceivedObservations>,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let network =
            Network { sent_bytes: vec![0; count], now: Instant(1_000_000_000_000), ..Network::default() };
        let mut fleet =
            Fleet { network: Rc::new(RefCell::new(network)), nodes: Vec::new(), observations: Vec::new() };
        for index in 0..count {
            fleet.observations.push(Rc::default());
            fleet.nodes.push(None);
            fleet.start(index, 1);
        }
        fleet
    }

    fn start(&mut self, index: usize, generation: u64) {
        let own = Member { address: address(index), number: index as u32, generation };
        let host = RecordingHost {
            network: self.network.clone(),
            own_index: index,
            observations: self.observations[index].clone(),
        };
        let mut node = Membership::new(own, self.nodes.len() as u32, index as u64 * 7 + generation, host);
        let now = self.network.borrow().now;
        node.join(now, &[address(0), address(1), address(2)]);
        self.nodes[index] = Some(node);
    }

    fn run(&mut self, seconds: f64) {
        let until = self.network.borrow().now + Duration::from_seconds(seconds);
        loop {
            let next_arrival =
                self.network.borrow().in_flight.first_key_value().map(|((arrival, _), _)| *arrival);
            let next_timeout = self.nodes.iter().flatten().filter_map(Membership::next_timeout).min();
            let Some(next) = next_arrival.into_iter().chain(next_timeout).min().filter(|next| *next <= until)
            else {
                break;
            };
            let now = next.max(self.network.borrow().now);
            self.network.borrow_mut().now = now;
            let arrived = self
                .network
                .borrow_mut()
                .in_flight
                .first_entry()
                .filter(|entry| entry.key().0 <= now)
                .map(std::collections::btree_map::OccupiedEntry::remove);
            if let Some((_, to, datagram)) = arrived
                && let Some(node) = &mut self.nodes[to]
            {
                let _ = node.receive(now, &datagram);
            }
            self.nodes.iter_mut().flatten().for_each(|node| node.handle_timeout(now));
        }
        self.network.borrow_mut().now = until;
    }

    fn members_of(&self, index: usize) -> Vec<u32> {
        let mut members: Vec<u32> = self.nodes[index]
            .as_ref()
            .expect("the node runs")
            .members()
            .map(|live| live.member.number)
            .collect();
        members.sort_unstable();
        members
    }

    fn all_but(&self, own_index: usize, gone: &[usize]) -> Vec<u32> {
        (0..self.nodes.len())
            .filter(|index| *index != own_index && !gone.contains(index))
            .map(|index| index as u32)
            .collect()
    }
}

#[test]
fn all_nodes_join_through_a_few_contacts_though_datagrams_are_lost_and_duplicated() {
    let mut fleet = Fleet::new(30);
    fleet.run(10.0);
    for index in 0..30 {
        assert_eq!(fleet.members_of(index), fleet.all_but(index, &[]), "node {index}");
    }
}

#[test]
fn a_stopped_node_is_down_within_seconds_and_rejoins_under_its_number() {
    let mut fleet = Fleet::new(12);
    fleet.run(8.0);
    fleet.nodes[5] = None;
    fleet.run(16.0);
    assert!(
        (0..12)
            .filter(|index| *index != 5)
            .all(|index| fleet.members_of(index) == fleet.all_but(index, &[5]))
    );
    fleet.start(5, 2);
    fleet.run(8.0);
    for index in 0..12 {
        assert_eq!(fleet.members_of(index), fleet.all_but(index, &[]), "node {index}");
    }
    let known = fleet.nodes[0].as_ref().and_then(|node| node.members().find(|live| live.member.number == 5));
    assert!(known.is_some_and(|live| live.member.generation >= 2));
}

/// Guards against nodes keeping the old generation of a node that restarts within a second, before any node has
/// suspected it.
#[test]
fn a_node_that_restarts_at_once_is_known_by_its_new_generation() {
    let mut fleet = Fleet::new(12);
    fleet.run(8.0);
    fleet.start(3, 9);
    fleet.run(6.0);
    for index in (0..12).filter(|index| *index != 3) {
        let known =
            fleet.nodes[index].as_ref().and_then(|node| node.members().find(|live| live.member.number == 3));
        assert!(known.is_some_and(|live| live.member.generation == 9), "node {index}");
    }
}

/// Guards against a node that restarts in a large fleet and knows only a few dozen of the other nodes for most of a
/// minute.
#[test]
fn a_new_node_in_a_large_fleet_knows_nearly_all_nodes_within_seconds() {
    let mut fleet = Fleet::new(200);
    fleet.run(20.0);
    fleet.start(7, 2);
    fleet.run(3.0);
    assert!(fleet.members_of(7).len() >= 195, "{} of 199", fleet.members_of(7).len());
}

#[test]
fn both_sides_notice_a_network_partition_and_it_heals() {
    let mut fleet = Fleet::new(12);
    fleet.run(8.0);
    fleet.network.borrow_mut().partitioned = vec![1, 4, 7, 10];
    fleet.run(25.0);
    assert_eq!(fleet.members_of(4), [1, 7, 10]);
    assert_eq!(fleet.members_of(0).len(), 7);
    fleet.network.borrow_mut().partitioned.clear();
    fleet.run(30.0);
    for index in 0..12 {
        assert_eq!(fleet.members_of(index), fleet.all_but(index, &[]), "node {index}");
    }
}

#[test]
fn an_observation_reaches_all_nodes_once_and_an_older_one_reaches_none() {
    let mut fleet = Fleet::new(12);
    fleet.run(8.0);
    let newer = ExecutorObservation { executor: 77, at_ms: 5000, gone: true };
    let now = fleet.network.borrow().now;
    fleet.nodes[2].as_mut().expect("the node runs").broadcast(now, newer);
    fleet.run(4.0);
    fleet.nodes[3]
        .as_mut()
        .expect("the node runs")
        .broadcast(now, ExecutorObservation { at_ms: 4000, ..newer });
    fleet.run(4.0);
    for index in (0..12).filter(|index| *index != 2) {
        assert_eq!(*fleet.observations[index].borrow(), [newer], "node {index}");
    }
}

/// Guards against an executor that is back within a second, while some nodes have not received the observation that its
/// process had ended.
#[test]
fn an_observation_reaches_nearly_all_nodes_within_300_ms() {
    let mut fleet = Fleet::new(60);
    fleet.run(10.0);
    let now = fleet.network.borrow().now;
    let observation = ExecutorObservation { executor: 78, at_ms: 6000, gone: true };
    fleet.nodes[2].as_mut().expect("the node runs").broadcast(now, observation);
    fleet.run(0.3);
    let receivers =
        fleet.observations.iter().filter(|observations| observations.borrow().contains(&observation)).count();
    assert!(receivers >= 54, "{receivers} of 59");
}

/// Guards against any effect of bytes that are not a datagram of this protocol.
#[test]
fn invalid_datagrams_are_rejected_and_change_nothing() {
    let mut fleet = Fleet::new(4);
    fleet.run(6.0);
    let now = fleet.network.borrow().now;
    let node = fleet.nodes[0].as_mut().expect("the node runs");
    for datagram in [&b""[..], b"x", &[255; 64], &[255; 1200]] {
        assert!(node.receive(now, datagram).is_err());
    }
    assert_eq!(fleet.members_of(0), [1, 2, 3]);
}

#[test]
fn the_send_rate_is_bounded_whatever_the_fleet_size() {
    let mut fleet = Fleet::new(60);
    fleet.run(20.0);
    let before = fleet.network.borrow().sent_bytes.clone();
    fleet.run(20.0);
    let after = fleet.network.borrow().sent_bytes.clone();
    let max_bytes_per_second =
        before.iter().zip(&after).map(|(before, after)| (after - before) / 20).max().unwrap_or(0);
    // A node sends at most eleven datagrams a second, each of at most 1,200 bytes.
    assert!(max_bytes_per_second < 13_200, "{max_bytes_per_second} bytes a second");
}
