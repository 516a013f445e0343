//! A world for one node whose peers are the test itself: every byte and every moment is the test's choice.

use grebeusher_quorum::RestoredState;
use grebeusher_quorum::disk::{Identity, StoreError};
use grebeusher_tier::node::keys;
use grebeusher_tier::runtime::io::{Accepted, Listener, PartitionStore, Signalled, Stream, World};
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::poller::{Event, Interest};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;

/// A connection between the node and the test, by the order in which they were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line(usize);

#[derive(Default)]
struct Connection {
    key: Option<usize>,
    watches: Option<Interest>,
    up: bool,
    refused: bool,
    to_node: VecDeque<u8>,
    from_node: Vec<u8>,
    peer_ended: bool,
    reset: bool,
    node_is_gone: bool,
    /// How many more bytes the node may write before its writes wait.
    room: Option<usize>,
}

/// All that the node's system calls touch.
#[derive(Default)]
pub struct Network {
    now: Instant,
    drawn: u64,
    stop: bool,
    listeners: BTreeMap<SocketAddrV4, (usize, VecDeque<usize>)>,
    connections: Vec<Connection>,
    dialled: VecDeque<(SocketAddrV4, usize)>,
    /// Connections that the node makes come up at once.
    pub comes_up: bool,
}

pub type SharedNetwork = Rc<RefCell<Network>>;

impl Network {
    pub fn shared(seed: u64) -> SharedNetwork {
        Rc::new(RefCell::new(Network { drawn: seed, comes_up: true, ..Network::default() }))
    }

    pub fn now(&self) -> Instant {
        self.now
    }

    pub fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// Sends the node SIGTERM.
    pub fn stop(&mut self) {
        self.stop = true;
    }

    /// Connects to an address of the node.
    pub fn connect(&mut self, address: SocketAddrV4) -> Line {
        self.connections.push(Connection { up: true, ..Connection::default() });
        let number = self.connections.len() - 1;
        let (_, backlog) = self.listeners.get_mut(&address).expect("the node listens there");
        backlog.push_back(number);
        Line(number)
    }

    /// The next connection that the node has made, and where to.
    pub fn next_dialled(&mut self) -> Option<(SocketAddrV4, Line)> {
        self.dialled.pop_front().map(|(address, number)| (address, Line(number)))
    }

    /// Has a connection that the node makes come up, or be refused.
    pub fn answer_dial(&mut self, line: Line, up: bool) {
        let connection = &mut self.connections[line.0];
        (connection.up, connection.refused) = (up, !up);
    }

    pub fn send(&mut self, line: Line, bytes: &[u8]) {
        self.connections[line.0].to_node.extend(bytes);
    }

    /// Ends the test's side.
    pub fn end(&mut self, line: Line) {
        self.connections[line.0].peer_ended = true;
    }

    /// Resets the connection: what the node has not read yet is lost.
    pub fn reset(&mut self, line: Line) {
        let connection = &mut self.connections[line.0];
        connection.reset = true;
        connection.to_node.clear();
    }

    /// Lets the node write only so many more bytes.
    pub fn limit(&mut self, line: Line, room: Option<usize>) {
        self.connections[line.0].room = room;
    }

    /// What the node has written since this was last asked.
    pub fn take(&mut self, line: Line) -> Vec<u8> {
        std::mem::take(&mut self.connections[line.0].from_node)
    }

    /// Whether the node has closed its side.
    pub fn is_closed(&self, line: Line) -> bool {
        self.connections[line.0].node_is_gone
    }

    /// What the poller would tell now.
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
    fn event(&self) -> Option<Event> {
        let (key, watches) = (self.key?, self.watches?);
        if self.node_is_gone {
            return None;
        }
        let something_came = !self.to_node.is_empty() || self.peer_ended || self.reset;
        let readable = watches.readable && self.up && something_came;
        let has_room = self.room != Some(0);
        let writable = watches.writable && (self.refused || self.reset || (self.up && has_room));
        (readable || writable).then_some(Event { key, readable, writable })
    }
}

/// What the node holds of it.
pub struct TestWorld {
    pub network: SharedNetwork,
    pub settings: String,
}

struct ListenerKind(SharedNetwork, SocketAddrV4);
struct Arrival(SharedNetwork, usize);
struct NodeSide(SharedNetwork, usize);

impl World for TestWorld {
    fn now(&self) -> Instant {
        self.network.borrow().now
    }

    fn wall_ms(&self) -> u64 {
        1_700_000_000_000 + self.network.borrow().now.0 / 1_000_000
    }

    fn random(&self) -> u64 {
        let mut network = self.network.borrow_mut();
        network.drawn = network.drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        network.drawn
    }

    fn wait(&self, _: Duration, _: &mut Vec<Event>) -> io::Result<()> {
        Err(ErrorKind::Unsupported.into())
    }

    fn listen(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Listener>> {
        self.network.borrow_mut().listeners.insert(address, (key, VecDeque::new()));
        Ok(Box::new(ListenerKind(self.network.clone(), address)))
    }

    fn dial(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>> {
        let mut network = self.network.borrow_mut();
        let up = network.comes_up;
        let interest = Some(Interest::WRITABLE);
        network.connections.push(Connection {
            key: Some(key),
            watches: interest,
            up,
            ..Connection::default()
        });
        let number = network.connections.len() - 1;
        network.dialled.push_back((address, number));
        Ok(Box::new(NodeSide(self.network.clone(), number)))
    }

    fn dial_link(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>> {
        self.dial(address, key)
    }

    fn signals(&self) -> Signalled {
        let stop = std::mem::take(&mut self.network.borrow_mut().stop);
        Signalled { stop, reload: false }
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

impl Listener for ListenerKind {
    fn accept(&self) -> io::Result<Box<dyn Accepted>> {
        let mut network = self.0.borrow_mut();
        let (_, backlog) = network.listeners.get_mut(&self.1).expect("it listens");
        let number = backlog.pop_front().ok_or(ErrorKind::WouldBlock)?;
        Ok(Box::new(Arrival(self.0.clone(), number)))
    }
}

impl Accepted for Arrival {
    fn watch(self: Box<Self>, key: usize) -> io::Result<Box<dyn Stream>> {
        let connection = &mut self.0.borrow_mut().connections[self.1];
        connection.key = Some(key);
        connection.watches = Some(Interest::READABLE);
        Ok(Box::new(NodeSide(self.0.clone(), self.1)))
    }
}

impl Stream for NodeSide {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        let connection = &mut self.0.borrow_mut().connections[self.1];
        if connection.reset {
            return Err(ErrorKind::ConnectionReset.into());
        }
        let count = bytes.len().min(connection.to_node.len());
        if count == 0 {
            return if connection.peer_ended { Ok(0) } else { Err(ErrorKind::WouldBlock.into()) };
        }
        for (place, byte) in bytes.iter_mut().zip(connection.to_node.drain(..count)) {
            *place = byte;
        }
        Ok(count)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let connection = &mut self.0.borrow_mut().connections[self.1];
        if connection.reset {
            return Err(ErrorKind::ConnectionReset.into());
        }
        let count = connection.room.map_or(bytes.len(), |room| room.min(bytes.len()));
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        connection.room = connection.room.map(|room| room - count);
        connection.from_node.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn connected(&mut self) -> io::Result<bool> {
        let connection = &self.0.borrow().connections[self.1];
        match connection.refused {
            true => Err(ErrorKind::ConnectionRefused.into()),
            false => Ok(connection.up),
        }
    }

    fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        self.0.borrow_mut().connections[self.1].watches = Some(interest);
        Ok(())
    }

    fn end_writing(&mut self) {}
}

impl Drop for NodeSide {
    fn drop(&mut self) {
        self.0.borrow_mut().connections[self.1].node_is_gone = true;
    }
}
