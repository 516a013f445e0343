//! The environment of a node: clocks, sockets, signals, the settings file and the disk.
//!
//! The event loop and all code that it calls use the operating system only through these traits, so that the same code also
//! runs in a simulation. The cost of dynamic dispatch is one virtual call per read or write, not per byte.

use grebeusher_quorum::disk::{Identity, StoreError};
use grebeusher_quorum::{RestoredState, Write};
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::poller::{Event, Interest};
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;

/// The environment of one process. No operation blocks, except `wait` and the operations of the disk.
pub trait World {
    /// Returns the time of the monotonic clock since the process started.
    fn now(&self) -> Instant;

    /// Returns the time of day, in milliseconds since 1970.
    fn wall_ms(&self) -> u64;

    /// Returns an unpredictable random number, for a seed or an identity.
    fn random(&self) -> u64;

    /// Waits for events, at most for `span`, and replaces the content of `events` by them.
    ///
    /// # Errors
    /// Fails if the system can't wait. Later calls would fail too.
    fn wait(&self, span: Duration, events: &mut Vec<Event>) -> io::Result<()>;

    /// Listens at an address. The events of the listener have the key `key`.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    fn listen(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Listener>>;

    /// Starts to connect to an address. The stream becomes writable when the connection is established or has failed.
    ///
    /// # Errors
    /// Fails if the connection can't be started, as there is no file descriptor or no route.
    fn dial(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>>;

    /// Starts to connect to another node. As [`World::dial`], and the connection fails if data that was written on it is not
    /// acknowledged for [`grebeusher_transport::socket::USER_TIMEOUT`]. Guards against a connection that a middlebox has
    /// silently forgotten: the system accepts all data that is written on it, and none arrives.
    ///
    /// # Errors
    /// Fails if the connection can't be started.
    fn dial_link(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>>;

    /// Returns the signals received since the last call. Their event has the key
    /// [`keys::SIGNALS`](crate::node::keys::SIGNALS).
    fn signals(&self) -> ReceivedSignals;

    /// Returns the present content of the settings file.
    ///
    /// # Errors
    /// Fails if the file can't be read.
    fn settings(&self) -> io::Result<String>;

    /// Returns the identity of the disk at `folder`. Creates and syncs one if there is none.
    ///
    /// # Errors
    /// Fails if the disk does, or if its data is corrupt.
    fn identity(&self, folder: &Path) -> Result<Identity, StoreError>;

    /// Returns the content of the hint file with a name in `folder`; `None` if there is no complete one. Hints are an
    /// optimization: correctness never depends on them.
    fn read_hint(&self, _folder: &Path, _name: &str) -> Option<Vec<u8>> {
        None
    }

    /// Writes a hint file for a later process, replacing an earlier one with that name.
    ///
    /// # Errors
    /// Fails if the disk does.
    fn write_hint(&self, _folder: &Path, _name: &str, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }

    /// Opens the files of a partition in `folder` and reads the stored state.
    ///
    /// # Errors
    /// Fails if the disk does, or if its data is corrupt.
    fn open_store(&self, folder: &Path) -> Result<(Box<dyn PartitionStore>, RestoredState), StoreError>;
}

/// The received signals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedSignals {
    /// Whether SIGTERM was received: the process is to shut down.
    pub stop: bool,
    /// Whether SIGHUP was received: the settings file is to be read again.
    pub reload: bool,
}

/// A listening socket. Closed when dropped.
pub trait Listener {
    /// Accepts the next incoming connection.
    ///
    /// # Errors
    /// Fails with `WouldBlock` if there is none.
    fn accept(&self) -> io::Result<Box<dyn AcceptedConnection>>;
}

/// An accepted connection that is not registered with the poller yet. Closed when dropped.
pub trait AcceptedConnection {
    /// Registers the connection with the poller for reading. The events of the connection have the key `key`.
    ///
    /// # Errors
    /// Fails if the system can't register the connection, which is then closed.
    fn watch(self: Box<Self>, key: usize) -> io::Result<Box<dyn Stream>>;
}

/// A connection. Closed when dropped.
pub trait Stream {
    /// Reads the available bytes and returns their number, which is 0 if the peer has closed its side.
    ///
    /// # Errors
    /// Fails with `WouldBlock` if no bytes are available, or with another error if the connection has failed.
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize>;

    /// Writes as many bytes as the system accepts now and returns their number.
    ///
    /// # Errors
    /// Fails with `WouldBlock` if the system accepts none, or with another error if the connection has failed.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Whether an outgoing connection is established.
    ///
    /// # Errors
    /// Fails if the connection has failed, with the reason.
    fn connected(&mut self) -> io::Result<bool>;

    /// Replaces the events that the poller reports for the connection.
    ///
    /// # Errors
    /// Fails if the system can't change the registration.
    fn set_interest(&mut self, interest: Interest) -> io::Result<()>;

    /// Shuts down the writing side of the connection.
    fn end_writing(&mut self);
}

/// The files of a replica.
pub trait PartitionStore {
    /// Writes a batch, which is durable once [`PartitionStore::sync`] has returned.
    ///
    /// # Errors
    /// Fails if the disk is full or fails.
    fn write(&mut self, writes: &[Write]) -> Result<(), StoreError>;

    /// Makes all earlier writes durable.
    ///
    /// # Errors
    /// Fails if the disk does.
    fn sync(&mut self) -> Result<(), StoreError>;
}

/// The environment of a process, shared by all of its components.
pub type SharedWorld = Rc<dyn World>;
