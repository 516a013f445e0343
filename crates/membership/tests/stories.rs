//! Short stories of who is there: many nodes on one tiny network that loses, doubles and cuts, with a clock of its own.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_membership::{Fellow, Host, MAX_BYTES, Membership, Word};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

#[derive(Default)]
struct Net {
    /// What is on its way, by when it comes.
    way: BTreeMap<(Instant, u64), (usize, usize, Vec<u8>)>,
    sent: Vec<u64>,
    next: u64,
    now: Instant,
    cut: Vec<usize>,
}

/// What a node was told of executors.
type Heard = Rc<RefCell<Vec<Word>>>;

#[derive(Clone)]
struct Hand {
    net: Rc<RefCell<Net>>,
    own: usize,
    words: Heard,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + at as u16))
}

impl Host for Hand {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        assert!(datagram.len() <= MAX_BYTES);
        let mut net = self.net.borrow_mut();
        let to = usize::from(to.port()) - 1000;
        net.sent[self.own] += datagram.len() as u64;
        net.next += 1;
        let (number, now) = (net.next, net.now);
        let cut = net.cut.contains(&self.own) != net.cut.contains(&to);
        // One in twenty is lost, one in twenty comes twice.
        if !cut && number % 20 != 0 {
            net.way.insert(
                (now + Duration::from_millis(1 + number % 7), number),
                (self.own, to, datagram.to_vec()),
            );
        }
        if !cut && number % 20 == 1 {
            let again = (now + Duration::from_millis(40), number + (1 << 40));
            net.way.insert(again, (self.own, to, datagram.to_vec()));
        }
    }
    fn came(&mut self, _: Fellow) {}
    fn went(&mut self, _: Fellow) {}
    fn heard_of(&mut self, word: Word) {
        self.words.borrow_mut().push(word);
    }
}

struct Fleet {
    net: Rc<RefCell<Net>>,
    nodes: Vec<Option<Membership<Hand>>>,
    words: Vec<Heard>,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let net = Net { sent: vec![0; count], now: Instant(1_000_000_000_000), ..Net::default() };
        let mut fleet = Fleet { net: Rc::new(RefCell::new(net)), nodes: Vec::new(), words: Vec::new() };
        for at in 0..count {
            fleet.words.push(Rc::default());
            fleet.nodes.push(None);
            fleet.begin(at, 1);
        }
        fleet
    }

    fn begin(&mut self, at: usize, generation: u64) {
        let own = Fellow { address: address(at), number: at as u32, generation };
        let hand = Hand { net: self.net.clone(), own: at, words: self.words[at].clone() };
        let mut node = Membership::new(own, self.nodes.len() as u32, at as u64 * 7 + generation, hand);
        let now = self.net.borrow().now;
        node.join(now, &[address(0), address(1), address(2)]);
        self.nodes[at] = Some(node);
    }

    fn pass(&mut self, secs: f64) {
        let until = self.net.borrow().now + Duration::from_seconds(secs);
        loop {
            let comes = self.net.borrow().way.first_key_value().map(|((when, _), _)| *when);
            let dues = self.nodes.iter().flatten().filter_map(Membership::next_due).min();
            let Some(next) = comes.into_iter().chain(dues).min().filter(|next| *next <= until) else { break };
            let now = next.max(self.net.borrow().now);
            self.net.borrow_mut().now = now;
            let came =
                self.net.borrow_mut().way.first_entry().filter(|e| e.key().0 <= now).map(|e| e.remove());
            if let Some((_, to, datagram)) = came
                && let Some(node) = &mut self.nodes[to]
            {
                node.heard(now, &datagram);
            }
            self.nodes.iter_mut().flatten().for_each(|node| node.due(now));
        }
        self.net.borrow_mut().now = until;
    }

    fn seen_by(&self, at: usize) -> Vec<u32> {
        let mut seen: Vec<u32> =
            self.nodes[at].as_ref().expect("it is there").members().map(|(f, _)| f.number).collect();
        seen.sort_unstable();
        seen
    }

    fn all_but(&self, own: usize, gone: &[usize]) -> Vec<u32> {
        (0..self.nodes.len()).filter(|at| *at != own && !gone.contains(at)).map(|at| at as u32).collect()
    }
}

#[test]
fn all_meet_by_a_few_addresses_though_datagrams_are_lost_and_doubled() {
    let mut fleet = Fleet::new(30);
    fleet.pass(10.0);
    for at in 0..30 {
        assert_eq!(fleet.seen_by(at), fleet.all_but(at, &[]), "node {at}");
    }
}

#[test]
fn who_is_gone_is_missed_within_seconds_and_met_again_under_its_name() {
    let mut fleet = Fleet::new(12);
    fleet.pass(8.0);
    fleet.nodes[5] = None;
    fleet.pass(16.0);
    assert!((0..12).filter(|at| *at != 5).all(|at| fleet.seen_by(at) == fleet.all_but(at, &[5])));
    fleet.begin(5, 2);
    fleet.pass(8.0);
    for at in 0..12 {
        assert_eq!(fleet.seen_by(at), fleet.all_but(at, &[]), "node {at}");
    }
    let known = fleet.nodes[0].as_ref().and_then(|n| n.members().find(|(f, _)| f.number == 5));
    assert!(known.is_some_and(|(fellow, _)| fellow.generation >= 2));
}

/// Guards against one that comes back within a second, before anybody missed it, being taken for its earlier life.
#[test]
fn one_that_is_back_at_once_is_known_by_its_new_start() {
    let mut fleet = Fleet::new(12);
    fleet.pass(8.0);
    fleet.begin(3, 9);
    fleet.pass(6.0);
    for at in (0..12).filter(|at| *at != 3) {
        let known = fleet.nodes[at].as_ref().and_then(|n| n.members().find(|(f, _)| f.number == 3));
        assert!(known.is_some_and(|(fellow, _)| fellow.generation == 9), "node {at}");
    }
}

/// Guards against a node that is started anew in a large fleet and knows a few dozen of the others for most of a minute.
#[test]
fn a_newcomer_to_a_large_fleet_knows_nearly_all_within_seconds() {
    let mut fleet = Fleet::new(200);
    fleet.pass(20.0);
    fleet.begin(7, 2);
    fleet.pass(3.0);
    assert!(fleet.seen_by(7).len() >= 195, "{} of 199", fleet.seen_by(7).len());
}

#[test]
fn a_split_is_seen_by_both_parts_and_heals() {
    let mut fleet = Fleet::new(12);
    fleet.pass(8.0);
    fleet.net.borrow_mut().cut = vec![1, 4, 7, 10];
    fleet.pass(25.0);
    assert_eq!(fleet.seen_by(4), [1, 7, 10]);
    assert_eq!(fleet.seen_by(0).len(), 7);
    fleet.net.borrow_mut().cut.clear();
    fleet.pass(30.0);
    for at in 0..12 {
        assert_eq!(fleet.seen_by(at), fleet.all_but(at, &[]), "node {at}");
    }
}

#[test]
fn a_start_that_one_has_seen_reaches_all_once_and_an_older_one_nobody() {
    let mut fleet = Fleet::new(12);
    fleet.pass(8.0);
    let newer = Word { executor: 77, at_ms: 5000, gone: true };
    let now = fleet.net.borrow().now;
    fleet.nodes[2].as_mut().expect("it is there").tells(now, newer);
    fleet.pass(4.0);
    fleet.nodes[3].as_mut().expect("it is there").tells(now, Word { at_ms: 4000, ..newer });
    fleet.pass(4.0);
    for at in (0..12).filter(|at| *at != 2) {
        assert_eq!(*fleet.words[at].borrow(), [newer], "node {at}");
    }
}

/// Guards against an executor that is back within a second and met by nodes that have not heard that it was gone.
#[test]
fn news_of_an_executor_reaches_nearly_all_within_a_moment() {
    let mut fleet = Fleet::new(60);
    fleet.pass(10.0);
    let now = fleet.net.borrow().now;
    let word = Word { executor: 78, at_ms: 6000, gone: true };
    fleet.nodes[2].as_mut().expect("it is there").tells(now, word);
    fleet.pass(0.3);
    let heard = fleet.words.iter().filter(|words| words.borrow().contains(&word)).count();
    assert!(heard >= 54, "{heard} of 59");
}

/// Guards against a datagram that is not one, or of another make, doing anything.
#[test]
fn nonsense_is_told_apart_and_changes_nothing() {
    let mut fleet = Fleet::new(4);
    fleet.pass(6.0);
    let now = fleet.net.borrow().now;
    let node = fleet.nodes[0].as_mut().expect("it is there");
    for datagram in [&b""[..], b"x", &[255; 64], &[255; 1200]] {
        assert!(!node.heard(now, datagram));
    }
    assert_eq!(fleet.seen_by(0), [1, 2, 3]);
}

#[test]
fn what_a_node_sends_is_bounded_whatever_the_size_of_the_fleet() {
    let mut fleet = Fleet::new(60);
    fleet.pass(20.0);
    let before = fleet.net.borrow().sent.clone();
    fleet.pass(20.0);
    let after = fleet.net.borrow().sent.clone();
    let most = before.iter().zip(&after).map(|(b, a)| (a - b) / 20).max().unwrap_or(0);
    // Eleven datagrams a second at most, of 1,200 bytes.
    assert!(most < 13_200, "{most} bytes a second");
}
