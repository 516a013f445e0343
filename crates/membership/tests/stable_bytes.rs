//! Bytes written by earlier versions that this one must read and write unchanged: the datagrams by which nodes tell each other
//! who is there, and what they have seen of executors.

use foca::{Header, Message};
use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_membership::{Fellow, Host, Membership, Word};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// What a node did, in order.
#[derive(Clone, Debug, PartialEq)]
enum Did {
    Sent(SocketAddr, Vec<u8>),
    Came(Fellow),
    Went(Fellow),
    Heard(Word),
}

#[derive(Clone, Default)]
struct Hand(Rc<RefCell<Vec<Did>>>);

impl Host for Hand {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        self.0.borrow_mut().push(Did::Sent(to, datagram.to_vec()));
    }
    fn came(&mut self, fellow: Fellow) {
        self.0.borrow_mut().push(Did::Came(fellow));
    }
    fn went(&mut self, fellow: Fellow) {
        self.0.borrow_mut().push(Did::Went(fellow));
    }
    fn heard_of(&mut self, word: Word) {
        self.0.borrow_mut().push(Did::Heard(word));
    }
}

struct Node {
    membership: Membership<Hand>,
    hand: Hand,
}

impl Node {
    fn new(fellow: Fellow) -> Node {
        let hand = Hand::default();
        Node { membership: Membership::new(fellow, 3, 5, hand.clone()), hand }
    }

    /// What it did since the last time.
    fn did(&self) -> Vec<Did> {
        std::mem::take(&mut *self.hand.0.borrow_mut())
    }
}

fn fellow(number: u32) -> Fellow {
    let address = match number {
        2 => "[2001:db8::7]:7946".to_owned(),
        _ => format!("10.1.0.{number}:7946"),
    };
    let address = address.parse().expect("an address");
    Fellow { address, number, generation: 1_700_000_000_000 + u64::from(number) }
}

const GONE: Word = Word { executor: 0x8c1f_30d2_7a5b_e964, at_ms: 1_700_000_003_000, gone: true };
const STARTED: Word = Word { executor: 7, at_ms: 1_700_000_004_000, gone: false };

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
    let (header, _) = postcard::take_from_bytes::<Header<Fellow>>(datagram).expect("it has a head");
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

/// The first datagram of each kind in the story of [`story`].
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
fn story() -> BTreeMap<usize, Vec<u8>> {
    let mut nodes = [1, 2, 3].map(|number| Node::new(fellow(number)));
    let mut first = BTreeMap::new();
    nodes[1].membership.join(at(0), &[fellow(1).address]);
    nodes[2].membership.join(at(0), &[fellow(1).address]);
    for ms in (0..60_000).step_by(10) {
        nodes.iter_mut().for_each(|node| node.membership.due(at(ms)));
        while let Some(from) = nodes.iter().position(|node| !node.hand.0.borrow().is_empty()) {
            for did in nodes[from].did() {
                let Did::Sent(to, datagram) = did else { continue };
                let to = [1, 2, 3].iter().position(|number| fellow(*number).address == to);
                let to = to.expect("it is one of them");
                first.entry(kind(&datagram)).or_insert_with(|| datagram.clone());
                let cut = match ms {
                    0..5000 => false,
                    5000..10_000 => from + to == 1,
                    10_000..25_000 => from == 1 || to == 1,
                    _ => false,
                };
                if !cut {
                    nodes[to].membership.heard(at(ms), &datagram);
                }
            }
        }
    }
    first
}

#[test]
fn each_kind_of_datagram_is_written_as_it_was() {
    let first = story();
    for (kind, pinned) in KINDS.iter().enumerate() {
        assert_eq!(first.get(&kind).map(|datagram| hex(datagram)).as_deref(), Some(*pinned));
    }
}

/// Node 1, which has heard that node 2 is there.
fn met() -> Node {
    let mut one = Node::new(fellow(1));
    assert!(one.membership.heard(at(0), &bytes(KINDS[ANNOUNCE])));
    one
}

#[test]
fn news_and_a_leave_are_written_as_they_were() {
    let mut one = met();
    one.did();
    one.membership.tells(at(1), GONE);
    one.membership.tells(at(1), STARTED);
    one.membership.due(at(11));
    let news = one.did();
    assert_eq!(news.first(), Some(&Did::Sent(fellow(2).address, bytes(NEWS))));
    one.membership.leave(at(20));
    let leaving = one.did();
    assert_eq!(leaving.first(), Some(&Did::Sent(fellow(2).address, bytes(LEAVING))));
}

#[test]
fn the_head_of_each_kind_of_datagram_is_read_and_written_as_it_was() {
    for (at_kind, pinned) in KINDS.iter().enumerate() {
        let datagram = bytes(pinned);
        assert_eq!(kind(&datagram), at_kind);
        let (header, rest) = postcard::take_from_bytes::<Header<Fellow>>(&datagram).expect("it has a head");
        let again = postcard::to_allocvec(&header).expect("it is written");
        assert_eq!(hex(&again), hex(&datagram[..datagram.len() - rest.len()]));
        assert!([1, 2, 3].map(fellow).contains(&header.src));
        assert!(matches!(header.message, Message::Announce) || [1, 2, 3].map(fellow).contains(&header.dst));
    }
}

#[test]
fn datagrams_do_what_they_did() {
    let mut one = Node::new(fellow(1));
    assert!(one.membership.heard(at(0), &bytes(KINDS[ANNOUNCE])));
    let did = one.did();
    assert!(did.contains(&Did::Came(fellow(2))), "{did:?}");
    assert!(did.contains(&Did::Sent(fellow(2).address, bytes(KINDS[FEED]))), "{did:?}");

    let mut two = Node::new(fellow(2));
    assert!(two.membership.heard(at(0), &bytes(KINDS[FEED])));
    assert!(two.did().contains(&Did::Came(fellow(1))));
    assert!(two.membership.heard(at(11), &bytes(NEWS)));
    let did = two.did();
    assert!(did.contains(&Did::Heard(GONE)) && did.contains(&Did::Heard(STARTED)), "{did:?}");
    assert!(two.membership.heard(at(20), &bytes(LEAVING)));
    assert!(two.did().contains(&Did::Went(fellow(1))));

    let datagram = bytes(KINDS[PING]);
    let (head, _) = postcard::take_from_bytes::<Header<Fellow>>(&datagram).expect("it has a head");
    let mut asked = Node::new(head.dst);
    assert!(asked.membership.heard(at(0), &datagram));
    let replied =
        |did: &Did| matches!(did, Did::Sent(to, reply) if *to == head.src.address && kind(reply) == ACK);
    assert!(asked.did().iter().any(replied));

    let datagram = bytes(KINDS[GOSSIP]);
    let (head, _) = postcard::take_from_bytes::<Header<Fellow>>(&datagram).expect("it has a head");
    let mut told = Node::new(head.dst);
    assert!(told.membership.heard(at(0), &datagram));
    assert!(told.did().contains(&Did::Came(head.src)));
}
