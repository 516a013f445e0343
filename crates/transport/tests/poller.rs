//! The poller over pairs of sockets.

use grebeusher_transport::poller::{Event, Interest, Poller, Registered};
use grebeusher_transport::{listen, socket};
use rstest::rstest;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Duration;

const KEY: usize = 7;
/// Far more than anything on one machine takes; tests that pass don't wait for it.
const LONG: Option<Duration> = Some(Duration::from_secs(20));

struct Pair {
    poller: Rc<Poller>,
    near: Registered<UnixStream>,
    far: UnixStream,
}

fn pair(interest: Interest) -> Pair {
    let poller = Rc::new(Poller::new().expect("a poller"));
    let (near, far) = UnixStream::pair().expect("a pair");
    near.set_nonblocking(true).expect("it does not block");
    let near = poller.register(near, KEY, interest).expect("registered");
    Pair { poller, near, far }
}

/// What there is now.
fn events(poller: &Poller) -> Vec<Event> {
    // A batch from before is not mixed up with this one.
    let mut events = vec![Event { key: 99, readable: true, writable: true }];
    poller.wait(Some(Duration::ZERO), &mut events).expect("waited");
    events
}

const READABLE: Event = Event { key: KEY, readable: true, writable: false };
const WRITABLE: Event = Event { key: KEY, readable: false, writable: true };

#[test]
fn what_is_not_read_shows_again_until_it_is() {
    let mut pair = pair(Interest::READABLE);
    assert_eq!(events(&pair.poller), []);
    pair.far.write_all(b"ab").expect("written");
    assert_eq!(events(&pair.poller), [READABLE]);
    assert_eq!(events(&pair.poller), [READABLE]);
    let mut bytes = [0; 8];
    assert_eq!(pair.near.get().read(&mut bytes).expect("read"), 2);
    assert_eq!(events(&pair.poller), []);
}

#[rstest]
#[case(Interest::NONE, vec![])]
#[case(Interest::READABLE, vec![READABLE])]
#[case(Interest::WRITABLE, vec![WRITABLE])]
#[case(Interest::BOTH, vec![Event { key: KEY, readable: true, writable: true }])]
fn only_what_is_of_interest_shows(
    #[case] interest: Interest,
    #[case] shown: Vec<Event>,
    #[values(Interest::NONE, Interest::READABLE, Interest::WRITABLE, Interest::BOTH)] before: Interest,
) {
    let mut pair = pair(before);
    pair.far.write_all(b"a").expect("written");
    pair.near.set_interest(interest).expect("set");
    assert_eq!(events(&pair.poller), shown);
    pair.near.set_interest(interest).expect("set again");
    assert_eq!(events(&pair.poller), shown);
    assert_eq!((pair.near.interest(), pair.near.key()), (interest, KEY));
}

#[test]
fn the_end_of_a_connection_shows_only_to_who_has_an_interest() {
    let Pair { poller, mut near, far } = pair(Interest::READABLE);
    near.set_interest(Interest::NONE).expect("set");
    drop(far);
    assert_eq!(events(&poller), [], "held back, it must not wake the loop again and again");
    near.set_interest(Interest::READABLE).expect("set");
    assert!(events(&poller).iter().any(|event| event.key == KEY && event.readable));
}

#[test]
fn what_is_dropped_is_deleted_even_when_its_socket_lives_on() {
    let Pair { poller, near, mut far } = pair(Interest::READABLE);
    // Another descriptor of the same socket: closing the first would not take it out of the poller.
    let _other = near.try_clone().expect("cloned");
    far.write_all(b"a").expect("written");
    assert_eq!(events(&poller), [READABLE]);
    drop(near);
    assert_eq!(events(&poller), []);
}

#[test]
fn a_key_that_the_poller_uses_itself_is_refused() {
    let poller = Rc::new(Poller::new().expect("a poller"));
    let (near, _far) = UnixStream::pair().expect("a pair");
    assert!(poller.register(near, usize::MAX, Interest::READABLE).is_err());
}

#[test]
fn a_dialled_connection_becomes_writable_and_the_listener_readable() {
    let poller = Rc::new(Poller::new().expect("a poller"));
    let listener = listen::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("it listens");
    let address = listener.local_addr().expect("an address");
    let listener = poller.register(listener, 1, Interest::READABLE).expect("registered");
    let dialled = socket::dial(address).expect("dialled");
    let dialled = poller.register(dialled, 2, Interest::WRITABLE).expect("registered");

    let (mut listening, mut connected) = (false, false);
    let mut events = Vec::new();
    while !(listening && connected) {
        poller.wait(LONG, &mut events).expect("waited");
        assert!(!events.is_empty(), "it comes up within the time-out");
        listening |= events.iter().any(|event| event.key == 1 && event.readable);
        connected |= events.iter().any(|event| event.key == 2 && event.writable);
    }
    assert!(dialled.take_error().expect("asked").is_none());
    let mut came = Vec::new();
    assert_eq!(listen::take_in(&listener, 8, "tests", |stream| came.push(stream)), 1);
    assert_eq!(came[0].peer_addr().expect("a peer"), dialled.local_addr().expect("an address"));
}

#[test]
fn a_refused_dial_shows_too() {
    let poller = Rc::new(Poller::new().expect("a poller"));
    let listener = listen::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("it listens");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let Ok(dialled) = socket::dial(address) else { return };
    let dialled = poller.register(dialled, KEY, Interest::WRITABLE).expect("registered");
    let mut events = Vec::new();
    poller.wait(LONG, &mut events).expect("waited");
    assert!(events.iter().any(|event| event.key == KEY && event.writable));
    assert!(dialled.take_error().expect("asked").is_some());
}

#[test]
fn a_link_is_prepared_to_notice_a_lost_machine() {
    let listener = listen::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("it listens");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    socket::prepare_link(&stream).expect("prepared");
    let set = SockRef::from(&stream);
    assert_eq!(set.tcp_user_timeout().expect("asked"), Some(socket::USER_TIMEOUT));
    assert!(set.keepalive().expect("asked") && set.nodelay().expect("asked"));
    assert!(set.nonblocking().expect("asked"));
}
