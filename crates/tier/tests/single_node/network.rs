//! An in-memory environment of one node. The test controls the clock and acts as all peers of the node.

use grebeusher_quorum::RestoredState;
use grebeusher_quorum::disk::{Identity, StoreError};
use grebeusher_tier::node::keys;
use grebeusher_tier::runtime::io::{
    AcceptedConnection, Listener, PartitionStore, ReceivedSignals, Stream, World,
};
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::poller::{Event, Interest};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;

/// The number of a connection between the node and the test, in the order in which they were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(usize);

#[derive(Default)]
struct Connection {
    key: Option<usize>,
    interest: Option<Interest>,
    established: bool,
    refused: bool,
    to_node: VecDeque<u8>,
    from_node: Vec<u8>,
    peer_ended: bool,
    reset: bool,
    /// The failure of the connection, until a read or write of the node has reported it.
    unreported_failure: Option<ErrorKind>,
    closed_by_node: bool,
    /// How many more bytes the node may write before its writes block; `None` if unlimited.
    write_limit: Option<usize>,
}

/// The state behind the system calls of the node.
#[derive(Default)]
pub struct Network {
    now: Instant,
    /// The last random number.
    random: u64,
    /// For how long the process is suspended after it has read the clock the next time.
    suspension: Option<Duration>,
    /// Whether SIGTERM is pending.
    stop: bool,
    /// The key and the connections to be accepted of each listener.
    listeners: BTreeMap<SocketAddrV4, (usize, VecDeque<usize>)>,
    connections: Vec<Connection>,
    dialled: VecDeque<(SocketAddrV4, usize)>,
    /// Whether connections that the node makes are established at once.
    pub connects_at_once: bool,
}

pub type SharedNetwork = Rc<RefCell<Network>>;

impl Network {
    pub fn shared(seed: u64) -> SharedNetwork {
        Rc::new(RefCell::new(Network { random: seed, connects_at_once: true, ..Network::default() }))
    }

    pub fn now(&self) -> Instant {
        self.now
    }

    pub fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// Suspends the process once it has read the clock, which it does at the start of a turn of its event loop.
    pub fn suspend_after_next_clock_read(&mut self, span: Duration) {
        self.suspension = Some(span);
    }

    /// Sends SIGTERM to the node.
    pub fn stop(&mut self) {
        self.stop = true;
    }

    /// Connects to an address of the node.
    pub fn connect(&mut self, address: SocketAddrV4) -> ConnectionId {
        self.connections.push(Connection { established: true, ..Connection::default() });
        let number = self.connections.len() - 1;
        let (_, backlog) = self.listeners.get_mut(&address).expect("the node listens there");
        backlog.push_back(number);
        ConnectionId(number)
    }

    /// Returns the next connection that the node has made, and the address that it connects to.
    pub fn next_dialled(&mut self) -> Option<(SocketAddrV4, ConnectionId)> {
        self.dialled.pop_front().map(|(address, number)| (address, ConnectionId(number)))
    }

    /// Accepts or refuses a connection that the node makes.
    pub fn answer_dial(&mut self, connection_id: ConnectionId, is_accepted: bool) {
        let connection = &mut self.connections[connection_id.0];
        (connection.established, connection.refused) = (is_accepted, !is_accepted);
    }

    pub fn send(&mut self, connection_id: ConnectionId, bytes: &[u8]) {
        self.connections[connection_id.0].to_node.extend(bytes);
    }

    /// Closes the test's side of a connection.
    pub fn end(&mut self, connection_id: ConnectionId) {
        self.connections[connection_id.0].peer_ended = true;
    }

    /// Resets a connection. As on Linux, the node can still read the bytes that have arrived, and the failure is reported once,
    /// by the next write, or by the next read if there are no more bytes.
    pub fn reset(&mut self, connection_id: ConnectionId) {
        let connection = &mut self.connections[connection_id.0];
        connection.reset = true;
        let kind = if connection.peer_ended { ErrorKind::BrokenPipe } else { ErrorKind::ConnectionReset };
        connection.unreported_failure = Some(kind);
    }

    /// Limits how many more bytes the node may write on a connection.
    pub fn limit(&mut self, connection_id: ConnectionId, write_limit: Option<usize>) {
        self.connections[connection_id.0].write_limit = write_limit;
    }

    /// Returns the bytes that the node has written since the last time.
    pub fn take(&mut self, connection_id: ConnectionId) -> Vec<u8> {
        std::mem::take(&mut self.connections[connection_id.0].from_node)
    }

    /// Whether the node has closed a connection.
    pub fn is_closed(&self, connection_id: ConnectionId) -> bool {
        self.connections[connection_id.0].closed_by_node
    }

    /// Returns the events that a poller would report now.
    pub fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        if self.stop {
            events.push(Event { key: keys::SIGNALS, readable: true, writable: false });
        }
        let waiting = self.listeners.values().filter(|(_, backlog)| !backlog.is_empty());
        events.extend(waiting.map(|(key, _)| Event { key: *key, readable: true, writable: false }));
        events.extend(self.connections.iter().filter_map(Connection::event));
        events
    }
}

impl Connection {
    /// The result of a read when there are no bytes.
    fn read_nothing(&mut self) -> io::Result<usize> {
        if self.peer_ended {
            return Ok(0);
        }
        match self.unreported_failure.take() {
            Some(kind) => Err(kind.into()),
            None if self.reset => Ok(0),
            None => Err(ErrorKind::WouldBlock.into()),
        }
    }

    fn event(&self) -> Option<Event> {
        let (key, interest) = (self.key?, self.interest?);
        if self.closed_by_node {
            return None;
        }
        if self.reset {
            let is_polled = interest.readable || interest.writable;
            return is_polled.then_some(Event { key, readable: true, writable: true });
        }
        let has_input = !self.to_node.is_empty() || self.peer_ended;
        let readable = interest.readable && self.established && has_input;
        let may_write = self.write_limit != Some(0);
        let writable = interest.writable && (self.refused || (self.established && may_write));
        (readable || writable).then_some(Event { key, readable, writable })
    }
}

/// The environment that is passed to the node.
pub struct TestWorld {
    pub network: SharedNetwork,
    pub settings: String,
}

struct TestListener(SharedNetwork, SocketAddrV4);
struct TestAccepted(SharedNetwork, usize);
struct TestStream(SharedNetwork, usize);

impl World for TestWorld {
    fn now(&self) -> Instant {
        let mut network = self.network.borrow_mut();
        let read = network.now;
        if let Some(span) = network.suspension.take() {
            network.advance(span);
        }
        read
    }

    fn wall_ms(&self) -> u64 {
        1_700_000_000_000 + self.network.borrow().now.0 / 1_000_000
    }

    fn random(&self) -> u64 {
        let mut network = self.network.borrow_mut();
        network.random = network.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        network.random
    }

    fn wait(&self, _: Duration, _: &mut Vec<Event>) -> io::Result<()> {
        Err(ErrorKind::Unsupported.into())
    }

    fn listen(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Listener>> {
        self.network.borrow_mut().listeners.insert(address, (key, VecDeque::new()));
        Ok(Box::new(TestListener(self.network.clone(), address)))
    }

    fn dial(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>> {
        let mut network = self.network.borrow_mut();
        let established = network.connects_at_once;
        let interest = Some(Interest::WRITABLE);
        network.connections.push(Connection {
            key: Some(key),
            interest,
            established,
            ..Connection::default()
        });
        let number = network.connections.len() - 1;
        network.dialled.push_back((address, number));
        Ok(Box::new(TestStream(self.network.clone(), number)))
    }

    fn dial_link(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>> {
        self.dial(address, key)
    }

    fn signals(&self) -> ReceivedSignals {
        let stop = std::mem::take(&mut self.network.borrow_mut().stop);
        ReceivedSignals { stop, reload: false }
    }

    fn settings(&self) -> io::Result<String> {
        Ok(self.settings.clone())
    }

    fn identity(&self, _: &Path) -> Result<Identity, StoreError> {
        unreachable!("the node has no disk")
    }

    fn open_store(&self, _: &Path) -> Result<(Box<dyn PartitionStore>, RestoredState), StoreError> {
        unreachable!("the node has no disk")
    }
}

impl Listener for TestListener {
    fn accept(&self) -> io::Result<Box<dyn AcceptedConnection>> {
        let mut network = self.0.borrow_mut();
        let (_, backlog) = network.listeners.get_mut(&self.1).expect("the node listens there");
        let number = backlog.pop_front().ok_or(ErrorKind::WouldBlock)?;
        Ok(Box::new(TestAccepted(self.0.clone(), number)))
    }
}

impl AcceptedConnection for TestAccepted {
    fn watch(self: Box<Self>, key: usize) -> io::Result<Box<dyn Stream>> {
        let connection = &mut self.0.borrow_mut().connections[self.1];
        connection.key = Some(key);
        connection.interest = Some(Interest::READABLE);
        Ok(Box::new(TestStream(self.0.clone(), self.1)))
    }
}

impl Stream for TestStream {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        let connection = &mut self.0.borrow_mut().connections[self.1];
        let count = bytes.len().min(connection.to_node.len());
        if count == 0 {
            return connection.read_nothing();
        }
        for (target, byte) in bytes.iter_mut().zip(connection.to_node.drain(..count)) {
            *target = byte;
        }
        Ok(count)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let connection = &mut self.0.borrow_mut().connections[self.1];
        if connection.reset {
            return Err(connection.unreported_failure.take().unwrap_or(ErrorKind::BrokenPipe).into());
        }
        let count = connection.write_limit.map_or(bytes.len(), |limit| limit.min(bytes.len()));
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        connection.write_limit = connection.write_limit.map(|limit| limit - count);
        connection.from_node.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn connected(&mut self) -> io::Result<bool> {
        let connection = &self.0.borrow().connections[self.1];
        match connection.refused {
            true => Err(ErrorKind::ConnectionRefused.into()),
            false => Ok(connection.established),
        }
    }

    fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        self.0.borrow_mut().connections[self.1].interest = Some(interest);
        Ok(())
    }

    fn end_writing(&mut self) {}
}

impl Drop for TestStream {
    fn drop(&mut self) {
        self.0.borrow_mut().connections[self.1].closed_by_node = true;
    }
}
