//! Bytes written by earlier versions that this one must read and write unchanged: the datagrams by which nodes tell each other
//! who is there, and what they have seen of executors.

use foca::{Header, Message};
use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_membership::{ExecutorObservation, Host, Member, Membership};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// What a node did, in order.
#[derive(Clone, Debug, PartialEq)]
enum Action {
    Sent(SocketAddr, Vec<u8>),
    Up(Member),
    Down(Member),
    Observed(ExecutorObservation),
}

#[derive(Clone, Default)]
struct RecordingHost(Rc<RefCell<Vec<Action>>>);

impl Host for RecordingHost {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        self.0.borrow_mut().push(Action::Sent(to, datagram.to_vec()));
    }
    fn member_up(&mut self, member: Member) {
        self.0.borrow_mut().push(Action::Up(member));
    }
    fn member_down(&mut self, member: Member) {
        self.0.borrow_mut().push(Action::Down(member));
    }
    fn executor_observed(&mut self, observation: ExecutorObservation) {
        self.0.borrow_mut().push(Action::Observed(observation));
    }
}

struct Node {
    membership: Membership<RecordingHost>,
    host: RecordingHost,
}

impl Node {
    fn new(member: Member) -> Node {
        let host = RecordingHost::default();
        Node { membership: Membership::new(member, 3, 5, host.clone()), host }
    }

    /// What it did since the last time.
    fn take_actions(&self) -> Vec<Action> {
        std::mem::take(&mut *self.host.0.borrow_mut())
    }
}

fn member(number: u32) -> Member {
    let address = match number {
        2 => "[2001:db8::7]:7946".to_owned(),
        _ => format!("10.1.0.{number}:7946"),
    };
    let address = address.parse().expect("an address");
    Member { address, number, generation: 1_700_000_000_000 + u64::from(number) }
}

const GONE: ExecutorObservation =
    ExecutorObservation { executor: 0x8c1f_30d2_7a5b_e964, at_ms: 1_700_000_003_000, gone: true };
const STARTED: ExecutorObservation =
    ExecutorObservation { executor: 7, at_ms: 1_700_000_004_000, gone: false };

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len()).step_by(2);
    pairs.map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("it is hex")).collect()
}

fn at(ms: u64) -> Instant {
    Instant(0) + Duration::from_millis(ms)
}

/// The kind of a datagram, by its place in `KINDS`.
fn kind(datagram: &[u8]) -> usize {
    let (header, _) = postcard::take_from_bytes::<Header<Member>>(datagram).expect("it has a head");
    match header.message {
        Message::Ping(_) => 0,
        Message::Ack(_) => 1,
        Message::PingReq { .. } => 2,
        Message::IndirectPing { .. } => 3,
        Message::IndirectAck { .. } => 4,
        Message::ForwardedAck { .. } => 5,
        Message::Announce => 6,
        Message::Feed => 7,
        Message::Gossip => 8,
        Message::TurnUndead => 9,
        Message::Broadcast => panic!("nodes send no broadcasts alone"),
    }
}

const PING: usize = 0;
const ACK: usize = 1;
const ANNOUNCE: usize = 6;
const FEED: usize = 7;
const GOSSIP: usize = 8;

/// The first datagram of each kind in the story of [`partition_scenario`].
const KINDS: [&str; 10] = [
    "000a0100018a3e0181d095ffbc31000120010db80000000000000000000000078a3e0282d095ffbc31000100020120010db80000000000000000000000078a3e0282d095ffbc310000000a0100038a3e0383d095ffbc310000",
    "0120010db80000000000000000000000078a3e0282d095ffbc3100000a0100018a3e0181d095ffbc3101010002000a0100038a3e0383d095ffbc310000000a0100018a3e0181d095ffbc310000",
    "000a0100018a3e0181d095ffbc3100000a0100038a3e0383d095ffbc31020120010db80000000000000000000000078a3e0282d095ffbc31050000",
    "000a0100038a3e0383d095ffbc31000120010db80000000000000000000000078a3e0282d095ffbc3103000a0100018a3e0181d095ffbc31050000",
    "000a0100018a3e0181d095ffbc3100000a0100038a3e0383d095ffbc31040120010db80000000000000000000000078a3e0282d095ffbc31050000",
    "000a0100038a3e0383d095ffbc31000120010db80000000000000000000000078a3e0282d095ffbc3105000a0100018a3e0181d095ffbc31050000",
    "0120010db80000000000000000000000078a3e0282d095ffbc3100000a0100018a3e000006",
    "000a0100018a3e0181d095ffbc31000120010db80000000000000000000000078a3e0282d095ffbc31070000",
    "000a0100018a3e0181d095ffbc3100000a0100038a3e0383d095ffbc310800020120010db80000000000000000000000078a3e0282d095ffbc310000000a0100038a3e0383d095ffbc310000",
    "000a0100018a3e0181d095ffbc31000120010db80000000000000000000000078a3e0282d095ffbc310a",
];

/// News of an executor that is gone and of one that has started, after that of a node.
const NEWS: &str = "000a0100018a3e0181d095ffbc31000120010db80000000000000000000000078a3e0282d095ffbc310800010120010db80000000000000000000000078a3e0282d095ffbc3100000011e4d2efd2a79acc8f8c01b8e795ffbc3101000807a0ef95ffbc3100";
/// A node goes.
const LEAVING: &str = "000a0100018a3e0181d095ffbc31000120010db80000000000000000000000078a3e0282d095ffbc31080002000a0100018a3e0181d095ffbc3100020120010db80000000000000000000000078a3e0282d095ffbc3100000011e4d2efd2a79acc8f8c01b8e795ffbc3101000807a0ef95ffbc3100";

/// Three nodes on a line that takes no time: they meet, then nothing passes between the first two, then nothing reaches or
/// leaves the second until it is taken for gone, then all passes again. The first datagram of each kind.
fn partition_scenario() -> BTreeMap<usize, Vec<u8>> {
    let mut nodes = [1, 2, 3].map(|number| Node::new(member(number)));
    let mut first = BTreeMap::new();
    nodes[1].membership.join(at(0), &[member(1).address]);
    nodes[2].membership.join(at(0), &[member(1).address]);
    for ms in (0..60_000).step_by(10) {
        nodes.iter_mut().for_each(|node| node.membership.handle_timeout(at(ms)));
        while let Some(from) = nodes.iter().position(|node| !node.host.0.borrow().is_empty()) {
            for actions in nodes[from].take_actions() {
                let Action::Sent(to, datagram) = actions else { continue };
                let to = [1, 2, 3].iter().position(|number| member(*number).address == to);
                let to = to.expect("it is one of them");
                first.entry(kind(&datagram)).or_insert_with(|| datagram.clone());
                let partitioned = match ms {
                    0..5000 => false,
                    5000..10_000 => from + to == 1,
                    10_000..25_000 => from == 1 || to == 1,
                    _ => false,
                };
                if !partitioned {
                    let _ = nodes[to].membership.receive(at(ms), &datagram);
                }
            }
        }
    }
    first
}

#[test]
fn each_kind_of_datagram_keeps_its_bytes() {
    let first = partition_scenario();
    for (kind, pinned) in KINDS.iter().enumerate() {
        assert_eq!(first.get(&kind).map(|datagram| hex(datagram)).as_deref(), Some(*pinned));
    }
}

/// Node 1, which has heard that node 2 is there.
fn node_that_knows_one_member() -> Node {
    let mut one = Node::new(member(1));
    assert!(one.membership.receive(at(0), &bytes(KINDS[ANNOUNCE])).is_ok());
    one
}

#[test]
fn observations_and_a_leave_keep_their_bytes() {
    let mut one = node_that_knows_one_member();
    one.take_actions();
    one.membership.broadcast(at(1), GONE);
    one.membership.broadcast(at(1), STARTED);
    one.membership.handle_timeout(at(11));
    let news = one.take_actions();
    assert_eq!(news.first(), Some(&Action::Sent(member(2).address, bytes(NEWS))));
    one.membership.leave(at(20));
    let leaving = one.take_actions();
    assert_eq!(leaving.first(), Some(&Action::Sent(member(2).address, bytes(LEAVING))));
}

#[test]
fn the_header_of_each_kind_of_datagram_keeps_its_bytes() {
    for (at_kind, pinned) in KINDS.iter().enumerate() {
        let datagram = bytes(pinned);
        assert_eq!(kind(&datagram), at_kind);
        let (header, rest) = postcard::take_from_bytes::<Header<Member>>(&datagram).expect("it has a head");
        let again = postcard::to_allocvec(&header).expect("it is written");
        assert_eq!(hex(&again), hex(&datagram[..datagram.len() - rest.len()]));
        assert!([1, 2, 3].map(member).contains(&header.src));
        assert!(matches!(header.message, Message::Announce) || [1, 2, 3].map(member).contains(&header.dst));
    }
}

#[test]
fn pinned_datagrams_keep_their_effects() {
    let mut one = Node::new(member(1));
    assert!(one.membership.receive(at(0), &bytes(KINDS[ANNOUNCE])).is_ok());
    let actions = one.take_actions();
    assert!(actions.contains(&Action::Up(member(2))), "{actions:?}");
    assert!(actions.contains(&Action::Sent(member(2).address, bytes(KINDS[FEED]))), "{actions:?}");

    let mut two = Node::new(member(2));
    assert!(two.membership.receive(at(0), &bytes(KINDS[FEED])).is_ok());
    assert!(two.take_actions().contains(&Action::Up(member(1))));
    assert!(two.membership.receive(at(11), &bytes(NEWS)).is_ok());
    let actions = two.take_actions();
    assert!(
        actions.contains(&Action::Observed(GONE)) && actions.contains(&Action::Observed(STARTED)),
        "{actions:?}"
    );
    assert!(two.membership.receive(at(20), &bytes(LEAVING)).is_ok());
    assert!(two.take_actions().contains(&Action::Down(member(1))));

    let datagram = bytes(KINDS[PING]);
    let (head, _) = postcard::take_from_bytes::<Header<Member>>(&datagram).expect("it has a head");
    let mut asked = Node::new(head.dst);
    assert!(asked.membership.receive(at(0), &datagram).is_ok());
    let replied = |actions: &Action| matches!(actions, Action::Sent(to, reply) if *to == head.src.address && kind(reply) == ACK);
    assert!(asked.take_actions().iter().any(replied));

    let datagram = bytes(KINDS[GOSSIP]);
    let (head, _) = postcard::take_from_bytes::<Header<Member>>(&datagram).expect("it has a head");
    let mut told = Node::new(head.dst);
    assert!(told.membership.receive(at(0), &datagram).is_ok());
    assert!(told.take_actions().contains(&Action::Up(head.src)));
}
