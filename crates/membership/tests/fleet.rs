//! Fleets of nodes on one simulated network that loses, duplicates and partitions, with a clock of its own.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_membership::{ExecutorObservation, Host, MAX_DATAGRAM_BYTES, Member, Membership};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

#[derive(Default)]
struct Network {
    /// What is on its way, by when it comes.
    in_flight: BTreeMap<(Instant, u64), (usize, usize, Vec<u8>)>,
    sent: Vec<u64>,
    next: u64,
    now: Instant,
    partitioned: Vec<usize>,
}

/// What a node was told of executors.
type Observed = Rc<RefCell<Vec<ExecutorObservation>>>;

#[derive(Clone)]
struct RecordingHost {
    network: Rc<RefCell<Network>>,
    own: usize,
    observations: Observed,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + at as u16))
}

impl Host for RecordingHost {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        let mut network = self.network.borrow_mut();
        let to = usize::from(to.port()) - 1000;
        network.sent[self.own] += datagram.len() as u64;
        network.next += 1;
        let (number, now) = (network.next, network.now);
        let partitioned = network.partitioned.contains(&self.own) != network.partitioned.contains(&to);
        // One in twenty is lost, one in twenty comes twice.
        if !partitioned && number % 20 != 0 {
            network.in_flight.insert(
                (now + Duration::from_millis(1 + number % 7), number),
                (self.own, to, datagram.to_vec()),
            );
        }
        if !partitioned && number % 20 == 1 {
            let again = (now + Duration::from_millis(40), number + (1 << 40));
            network.in_flight.insert(again, (self.own, to, datagram.to_vec()));
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
    observations: Vec<Observed>,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let network = Network { sent: vec![0; count], now: Instant(1_000_000_000_000), ..Network::default() };
        let mut fleet =
            Fleet { network: Rc::new(RefCell::new(network)), nodes: Vec::new(), observations: Vec::new() };
        for at in 0..count {
            fleet.observations.push(Rc::default());
            fleet.nodes.push(None);
            fleet.start(at, 1);
        }
        fleet
    }

    fn start(&mut self, at: usize, generation: u64) {
        let own = Member { address: address(at), number: at as u32, generation };
        let host = RecordingHost {
            network: self.network.clone(),
            own: at,
            observations: self.observations[at].clone(),
        };
        let mut node = Membership::new(own, self.nodes.len() as u32, at as u64 * 7 + generation, host);
        let now = self.network.borrow().now;
        node.join(now, &[address(0), address(1), address(2)]);
        self.nodes[at] = Some(node);
    }

    fn run(&mut self, secs: f64) {
        let until = self.network.borrow().now + Duration::from_seconds(secs);
        loop {
            let next_arrival = self.network.borrow().in_flight.first_key_value().map(|((when, _), _)| *when);
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
                .filter(|e| e.key().0 <= now)
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

    fn members_of(&self, at: usize) -> Vec<u32> {
        let mut seen: Vec<u32> =
            self.nodes[at].as_ref().expect("it is there").members().map(|live| live.member.number).collect();
        seen.sort_unstable();
        seen
    }

    fn all_but(&self, own: usize, gone: &[usize]) -> Vec<u32> {
        (0..self.nodes.len()).filter(|at| *at != own && !gone.contains(at)).map(|at| at as u32).collect()
    }
}

#[test]
fn all_join_by_a_few_contacts_though_datagrams_are_lost_and_duplicated() {
    let mut fleet = Fleet::new(30);
    fleet.run(10.0);
    for at in 0..30 {
        assert_eq!(fleet.members_of(at), fleet.all_but(at, &[]), "node {at}");
    }
}

#[test]
fn a_stopped_node_is_down_within_seconds_and_rejoins_under_its_name() {
    let mut fleet = Fleet::new(12);
    fleet.run(8.0);
    fleet.nodes[5] = None;
    fleet.run(16.0);
    assert!((0..12).filter(|at| *at != 5).all(|at| fleet.members_of(at) == fleet.all_but(at, &[5])));
    fleet.start(5, 2);
    fleet.run(8.0);
    for at in 0..12 {
        assert_eq!(fleet.members_of(at), fleet.all_but(at, &[]), "node {at}");
    }
    let known = fleet.nodes[0].as_ref().and_then(|n| n.members().find(|live| live.member.number == 5));
    assert!(known.is_some_and(|live| live.member.generation >= 2));
}

/// Guards against one that comes back within a second, before anybody missed it, being taken for its earlier life.
#[test]
fn a_node_that_restarts_at_once_is_known_by_its_new_generation() {
    let mut fleet = Fleet::new(12);
    fleet.run(8.0);
    fleet.start(3, 9);
    fleet.run(6.0);
    for at in (0..12).filter(|at| *at != 3) {
        let known = fleet.nodes[at].as_ref().and_then(|n| n.members().find(|live| live.member.number == 3));
        assert!(known.is_some_and(|live| live.member.generation == 9), "node {at}");
    }
}

/// Guards against a node that is started anew in a large fleet and knows a few dozen of the others for most of a minute.
#[test]
fn a_new_node_in_a_large_fleet_knows_nearly_all_within_seconds() {
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
    for at in 0..12 {
        assert_eq!(fleet.members_of(at), fleet.all_but(at, &[]), "node {at}");
    }
}

#[test]
fn an_observation_reaches_all_once_and_an_older_one_nobody() {
    let mut fleet = Fleet::new(12);
    fleet.run(8.0);
    let newer = ExecutorObservation { executor: 77, at_ms: 5000, gone: true };
    let now = fleet.network.borrow().now;
    fleet.nodes[2].as_mut().expect("it is there").broadcast(now, newer);
    fleet.run(4.0);
    fleet.nodes[3]
        .as_mut()
        .expect("it is there")
        .broadcast(now, ExecutorObservation { at_ms: 4000, ..newer });
    fleet.run(4.0);
    for at in (0..12).filter(|at| *at != 2) {
        assert_eq!(*fleet.observations[at].borrow(), [newer], "node {at}");
    }
}

/// Guards against an executor that is back within a second and met by nodes that have not heard that it was gone.
#[test]
fn an_observation_reaches_nearly_all_within_300_ms() {
    let mut fleet = Fleet::new(60);
    fleet.run(10.0);
    let now = fleet.network.borrow().now;
    let observation = ExecutorObservation { executor: 78, at_ms: 6000, gone: true };
    fleet.nodes[2].as_mut().expect("it is there").broadcast(now, observation);
    fleet.run(0.3);
    let heard =
        fleet.observations.iter().filter(|observations| observations.borrow().contains(&observation)).count();
    assert!(heard >= 54, "{heard} of 59");
}

/// Guards against a datagram that is not one, or of another make, doing anything.
#[test]
fn invalid_datagrams_are_rejected_and_change_nothing() {
    let mut fleet = Fleet::new(4);
    fleet.run(6.0);
    let now = fleet.network.borrow().now;
    let node = fleet.nodes[0].as_mut().expect("it is there");
    for datagram in [&b""[..], b"x", &[255; 64], &[255; 1200]] {
        assert!(node.receive(now, datagram).is_err());
    }
    assert_eq!(fleet.members_of(0), [1, 2, 3]);
}

#[test]
fn the_send_rate_is_bounded_whatever_the_fleet_size() {
    let mut fleet = Fleet::new(60);
    fleet.run(20.0);
    let before = fleet.network.borrow().sent.clone();
    fleet.run(20.0);
    let after = fleet.network.borrow().sent.clone();
    let most = before.iter().zip(&after).map(|(b, a)| (a - b) / 20).max().unwrap_or(0);
    // Eleven datagrams a second at most, of 1,200 bytes.
    assert!(most < 13_200, "{most} bytes a second");
}
