//! Short stories of what a link does to one connection; the story's own socket is the node's.

use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_emulator::scenario::Way;
use grebeusher_load_test::addresses::Addresses;
use grebeusher_load_test::link::Trouble;
use grebeusher_load_test::wire::{News, Wire};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

const BRIEF: Duration = Duration::from_millis(150);
const PATIENT: Duration = Duration::from_secs(20);

struct Side {
    wire: Wire<u8>,
    link: usize,
    door: usize,
    address: SocketAddr,
    began: std::time::Instant,
    _addresses: Addresses,
}

impl Side {
    fn new() -> Side {
        let mut addresses = Addresses::take().expect("a block is free");
        let mut wire = Wire::new(Pcg32::seed_from_u64(1)).expect("a poller");
        let (address, link) = (addresses.give(), wire.link());
        let door = wire.opens(address, 0, link).expect("it is free");
        Side { wire, link, door, address, began: std::time::Instant::now(), _addresses: addresses }
    }

    fn now(&self) -> Instant {
        Instant(self.began.elapsed().as_nanos() as u64)
    }

    fn strikes(&mut self, trouble: Trouble) {
        self.wire.links[self.link].strikes(0, trouble);
        self.wire.link_changed(self.link, self.now()).expect("it is set");
    }

    fn mends(&mut self) {
        self.wire.links[self.link].mends(0);
        self.wire.link_changed(self.link, self.now()).expect("it is set");
    }

    /// Turns for a while, or until something is heard.
    fn hears(&mut self, within: Duration) -> Option<(usize, News)> {
        let until = self.now() + Duration::from_nanos(within.as_nanos() as u64);
        while self.now() < until {
            let began = self.began;
            let clock = move || Instant(began.elapsed().as_nanos() as u64);
            let news = self.wire.turns(clock, until).expect("it turns");
            if let Some(heard) = news.into_iter().next() {
                return Some(heard);
            }
        }
        None
    }

    /// A connection that has said something, and its key.
    fn connected(&mut self) -> (TcpStream, usize) {
        let mut stream = TcpStream::connect(self.address).expect("it listens");
        stream.write_all(b"first").expect("it is open");
        let (key, _) = self.hears(PATIENT).expect("it came");
        assert_eq!(self.took(key), b"first");
        (stream, key)
    }

    fn took(&mut self, key: usize) -> Vec<u8> {
        self.wire.came(key).map(|(bytes, _)| std::mem::take(bytes)).unwrap_or_default()
    }
}

#[test]
fn a_cut_lets_nothing_through_and_nothing_is_lost_by_it() {
    let mut side = Side::new();
    let (mut stream, key) = side.connected();
    side.strikes(Trouble::Cut(Way::Both));
    stream.write_all(b"held").expect("the system takes it");
    side.wire.says(key, b"answer".to_vec(), side.now());
    assert!(side.hears(BRIEF).is_none());
    let dialled = TcpStream::connect_timeout(&side.address, BRIEF);
    assert!(dialled.is_err_and(|e| e.kind() == ErrorKind::TimedOut));
    side.mends();
    assert_eq!(side.hears(PATIENT), Some((key, News::Came)));
    assert_eq!(side.took(key), b"held");
    side.hears(BRIEF);
    let mut answer = [0; 6];
    stream.read_exact(&mut answer).expect("it came through");
    assert_eq!(&answer, b"answer");
    assert!(TcpStream::connect_timeout(&side.address, PATIENT).is_ok());
}

#[test]
fn a_cut_one_way_lets_the_other_through() {
    let mut side = Side::new();
    let (mut stream, key) = side.connected();
    side.strikes(Trouble::Cut(Way::ToNodes));
    stream.write_all(b"up").expect("it is open");
    side.wire.says(key, b"down".to_vec(), side.now());
    assert_eq!(side.hears(PATIENT), Some((key, News::Came)));
    assert_eq!(side.took(key), b"up");
    side.hears(BRIEF);
    stream.set_read_timeout(Some(BRIEF)).expect("it is set");
    assert!(stream.read(&mut [0; 4]).is_err());
    side.mends();
    side.hears(BRIEF);
    assert_eq!(stream.read(&mut [0; 4]).expect("it came through"), 4);
}

#[test]
fn what_is_late_keeps_its_order_and_its_time_of_sending() {
    let mut side = Side::new();
    let (mut stream, key) = side.connected();
    side.strikes(Trouble::Delay(Duration::from_millis(200)));
    let sent = side.now();
    stream.write_all(b"late").expect("it is open");
    assert_eq!(side.hears(PATIENT), Some((key, News::Came)));
    assert!(side.now().since(sent) >= Duration::from_millis(200));
    let (bytes, stamp) = side.wire.came(key).expect("it is there");
    assert_eq!((bytes.as_slice(), stamp.since(sent) < Duration::from_millis(200)), (&b"late"[..], true));
}

#[test]
fn a_link_breaks_off_after_its_bytes_and_both_sides_hear_it() {
    let mut side = Side::new();
    let (mut stream, key) = side.connected();
    side.strikes(Trouble::Reset(8));
    stream.write_all(b"more than that").expect("it is open");
    assert_eq!(side.hears(PATIENT), Some((key, News::Ended)));
    side.wire.closes(key);
    assert!(stream.read(&mut [0; 4]).is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
}

#[test]
fn a_half_open_connection_says_nothing_more_and_a_new_one_does() {
    let mut side = Side::new();
    let (mut stream, key) = side.connected();
    side.wire.mutes(side.link);
    stream.write_all(b"lost").expect("the system takes it");
    side.wire.says(key, b"lost".to_vec(), side.now());
    assert!(side.hears(BRIEF).is_none());
    stream.set_read_timeout(Some(BRIEF)).expect("it is set");
    assert!(stream.read(&mut [0; 4]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock));
    side.connected();
}

#[test]
fn what_drips_comes_in_pieces() {
    let mut side = Side::new();
    let (mut stream, key) = side.connected();
    side.strikes(Trouble::Drip(100));
    let sent = side.now();
    stream.write_all(&[7; 20]).expect("it is open");
    let mut came = Vec::new();
    while came.len() < 20 {
        assert_eq!(side.hears(PATIENT), Some((key, News::Came)));
        let piece = side.took(key);
        assert!(piece.len() <= 5);
        came.extend(piece);
    }
    assert!(side.now().since(sent) >= Duration::from_millis(150));
}

#[test]
fn a_door_that_refuses_keeps_its_address() {
    let mut side = Side::new();
    side.wire.refuses(side.door);
    assert!(TcpStream::connect(side.address).is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused));
    side.wire.listens(side.door).expect("nobody has taken it");
    side.connected();
}
