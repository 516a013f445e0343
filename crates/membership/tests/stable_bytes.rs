//! Datagrams written by earlier versions that this version must read and write byte for byte. Nodes exchange them to
//! keep the membership, and to broadcast their observations of executors.

use foca::{Header, Message};
use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_membership::{ExecutorObservation, Host, Member, Membership};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A call of a node to its host.
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

    /// Takes the calls to the host since the last time, in their order.
    fn take_actions(&self) -> Vec<Action> {
        std::mem::take(&mut *self.host.0.borrow_mut())
    }
}

fn member(number: u32) -> Member {
    let address = match number {
        2 => "[2001:db8::7]:7946".to_owned(),
        _ => format!("10.1.0.{number}:7946"),
    };
    let address = address.parse().expect("a valid address");
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
    pairs
        .map(|start| u8::from_str_radix(&hex[start..start + 2], 16).expect("a valid hex digit pair"))
        .collect()
}

fn instant(ms: u64) -> Instant {
    Instant(0) + Duration::from_millis(ms)
}

/// Returns the kind of a datagram, which is its index in `KINDS`.
fn kind(datagram: &[u8]) -> usize {
    let (header, _) =
        postcard::take_from_bytes::<Header<Member>>(datagram).expect("a datagram begins with a header");
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
        Message::Broadcast => panic!("nodes send broadcasts only within gossip"),
    }
}

const PING: usize = 0;
const ACK: usize = 1;
const ANNOUNCE: usize = 6;
const FEED: usize = 7;
const GOSSIP: usize = 8;

/// The first datagram of each kind that is sent in [`partition_scenario`].
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

/// A gossip datagram with the update that a node is up, an observation of an executor that is gone, and an observation
/// of an executor that has started.
const OBSERVATIONS_DATAGRAM: &str = "000a0100018a3e0181d095ffbc31000120010db80000000000000000000000078a3e0282d095ffbc310800010120010db80000000000000000000000078a3e0282d095ffbc3100000011e4d2efd2a79acc8f8c01b8e795ffbc3101000807a0ef95ffbc3100";
/// A gossip datagram by which a node announces that it leaves.
const LEAVE_DATAGRAM: &str = "000a0100018a3e0181d095ffbc31000120010db80000000000000000000000078a3e0282d095ffbc31080002000a0100018a3e0181d095ffbc3100020120010db80000000000000000000000078a3e0282d095ffbc3100000011e4d2efd2a79acc8f8c01b8e795ffbc3101000807a0ef95ffbc3100";

/// Runs three nodes on a network without delay, and returns the first datagram of each kind. The nodes join; then the
/// network drops all datagrams between the first two; then it drops all datagrams to and from the second until the
/// others declare it down; then it delivers all datagrams again.
fn partition_scenario() -> BTreeMap<usize, Vec<u8>> {
    let mut nodes = [1, 2, 3].map(|number| Node::new(member(number)));
    let mut first = BTreeMap::new();
    nodes[1].membership.join(instant(0), &[member(1).address]);
    nodes[2].membership.join(instant(0), &[member(1).address]);
    for ms in (0..60_000).step_by(10) {
        nodes.iter_mut().for_each(|node| node.membership.handle_timeout(instant(ms)));
        while let Some(from) = nodes.iter().position(|node| !node.host.0.borrow().is_empty()) {
            for action in nodes[from].take_actions() {
                let Action::Sent(to, datagram) = action else { continue };
                let to = [1, 2, 3].iter().position(|number| member(*number).address == to);
                let to = to.expect("the receiver is one of the nodes");
                first.entry(kind(&datagram)).or_insert_with(|| datagram.clone());
                let partitioned = match ms {
                    0..5000 => false,
                    5000..10_000 => from + to == 1,
                    10_000..25_000 => from == 1 || to == 1,
                    _ => false,
                };
                if !partitioned {
                    let _ = nodes[to].membership.receive(instant(ms), &datagram);
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

/// Returns node 1 after it has received the announcement of node 2.
fn node_that_knows_one_member() -> Node {
    let mut node_1 = Node::new(member(1));
    assert!(node_1.membership.receive(instant(0), &bytes(KINDS[ANNOUNCE])).is_ok());
    node_1
}

#[test]
fn observations_and_a_leave_keep_their_bytes() {
    let mut node_1 = node_that_knows_one_member();
    node_1.take_actions();
    node_1.membership.broadcast(instant(1), GONE);
    node_1.membership.broadcast(instant(1), STARTED);
    node_1.membership.handle_timeout(instant(11));
    let after_broadcasts = node_1.take_actions();
    assert_eq!(
        after_broadcasts.first(),
        Some(&Action::Sent(member(2).address, bytes(OBSERVATIONS_DATAGRAM)))
    );
    node_1.membership.leave(instant(20));
    let after_leave = node_1.take_actions();
    assert_eq!(after_leave.first(), Some(&Action::Sent(member(2).address, bytes(LEAVE_DATAGRAM))));
}

#[test]
fn the_header_of_each_kind_of_datagram_keeps_its_bytes() {
    for (expected_kind, pinned) in KINDS.iter().enumerate() {
        let datagram = bytes(pinned);
        assert_eq!(kind(&datagram), expected_kind);
        let (header, rest) =
            postcard::take_from_bytes::<Header<Member>>(&datagram).expect("a datagram begins with a header");
        let encoded_again = postcard::to_allocvec(&header).expect("the header can be encoded");
        assert_eq!(hex(&encoded_again), hex(&datagram[..datagram.len() - rest.len()]));
        assert!([1, 2, 3].map(member).contains(&header.src));
        assert!(matches!(header.message, Message::Announce) || [1, 2, 3].map(member).contains(&header.dst));
    }
}

#[test]
fn pinned_datagrams_keep_their_effects() {
    let mut node_1 = Node::new(member(1));
    assert!(node_1.membership.receive(instant(0), &bytes(KINDS[ANNOUNCE])).is_ok());
    let actions = node_1.take_actions();
    assert!(actions.contains(&Action::Up(member(2))), "{actions:?}");
    assert!(actions.contains(&Action::Sent(member(2).address, bytes(KINDS[FEED]))), "{actions:?}");

    let mut node_2 = Node::new(member(2));
    assert!(node_2.membership.receive(instant(0), &bytes(KINDS[FEED])).is_ok());
    assert!(node_2.take_actions().contains(&Action::Up(member(1))));
    assert!(node_2.membership.receive(instant(11), &bytes(OBSERVATIONS_DATAGRAM)).is_ok());
    let actions = node_2.take_actions();
    assert!(
        actions.contains(&Action::Observed(GONE)) && actions.contains(&Action::Observed(STARTED)),
        "{actions:?}"
    );
    assert!(node_2.membership.receive(instant(20), &bytes(LEAVE_DATAGRAM)).is_ok());
    assert!(node_2.take_actions().contains(&Action::Down(member(1))));

    let datagram = bytes(KINDS[PING]);
    let (header, _) =
        postcard::take_from_bytes::<Header<Member>>(&datagram).expect("a datagram begins with a header");
    let mut probed = Node::new(header.dst);
    assert!(probed.membership.receive(instant(0), &datagram).is_ok());
    let replied = |action: &Action| matches!(action, Action::Sent(to, reply) if *to == header.src.address && kind(reply) == ACK);
    assert!(probed.take_actions().iter().any(replied));

    let datagram = bytes(KINDS[GOSSIP]);
    let (header, _) =
        postcard::take_from_bytes::<Header<Member>>(&datagram).expect("a datagram begins with a header");
    let mut receiver = Node::new(header.dst);
    assert!(receiver.membership.receive(instant(0), &datagram).is_ok());
    assert!(receiver.take_actions().contains(&Action::Up(header.src)));
}
