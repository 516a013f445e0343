//! The outside world of a node: clocks, sockets, signals, its settings file and its disk.
//!
//! The loop and everything below it reach the system only through these traits, so that the same code also runs in a
//! simulated world. Calls go through a table of functions once for a read or a write, not once for a byte.

use grebeusher_quorum::disk::{Identity, StoreError};
use grebeusher_quorum::{RestoredState, Write};
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::poller::{Event, Interest};
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;

/// What one process has of the world. All its operations return at once, but for `wait` and those of the disk.
pub trait World {
    /// The steady clock, since the process started.
    fn now(&self) -> Instant;

    /// The time of day, in milliseconds since 1970.
    fn wall_ms(&self) -> u64;

    /// A number that nobody can guess: a seed, or an identity.
    fn random(&self) -> u64;

    /// Waits for events, at most for `span`, and replaces the content of `events` by them.
    ///
    /// # Errors
    /// The system refuses to wait, which no later call would mend.
    fn wait(&self, span: Duration, events: &mut Vec<Event>) -> io::Result<()>;

    /// Listens at an address; its events carry `key`.
    ///
    /// # Errors
    /// The address can't be had.
    fn listen(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Listener>>;

    /// Begins to connect. The stream becomes writable when the connection has come up or failed.
    ///
    /// # Errors
    /// It fails at once: no descriptor, no route.
    fn dial(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>>;

    /// Begins to connect to another node. As [`World::dial`], and the connection breaks by itself when what was written on it
    /// has not arrived for [`grebeusher_transport::socket::USER_TIMEOUT`]. Guards against a link that something on the way
    /// has silently forgotten: the system takes all that is written on it, and nothing comes.
    ///
    /// # Errors
    /// It fails at once.
    fn dial_link(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>>;

    /// The signals that came since this was last asked. Their event carries [`keys::SIGNALS`](crate::node::keys::SIGNALS).
    fn signals(&self) -> Signalled;

    /// The content of the settings file as it stands now.
    ///
    /// # Errors
    /// It can't be read.
    fn settings(&self) -> io::Result<String>;

    /// The identity of the disk at `folder`; made and synced if there is none.
    ///
    /// # Errors
    /// The disk refuses or is damaged.
    fn identity(&self, folder: &Path) -> Result<Identity, StoreError>;

    /// What was kept as a hint under a name in `folder`: nothing if there is none that is complete. Correctness never depends on it.
    fn read_hint(&self, _folder: &Path, _name: &str) -> Option<Vec<u8>> {
        None
    }

    /// Keeps a hint for a later process, in the stead of an earlier one of that name.
    ///
    /// # Errors
    /// The disk refuses.
    fn keep_hint(&self, _folder: &Path, _name: &str, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }

    /// Opens the files of a partition in `folder`, with what they hold.
    ///
    /// # Errors
    /// The disk refuses or is damaged.
    fn open_store(&self, folder: &Path) -> Result<(Box<dyn PartitionStore>, RestoredState), StoreError>;
}

/// The signals that came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signalled {
    /// The process is to end.
    pub stop: bool,
    /// The settings file has changed.
    pub reload: bool,
}

/// An address that is listened at. Dropped, it is closed.
pub trait Listener {
    /// Takes in the next one that waits to connect.
    ///
    /// # Errors
    /// `WouldBlock` if nobody waits.
    fn accept(&self) -> io::Result<Box<dyn Accepted>>;
}

/// A connection that was taken in and is not watched yet. Dropped, it is closed.
pub trait Accepted {
    /// Watches it for reading, under a key.
    ///
    /// # Errors
    /// The system refuses; the connection is closed then.
    fn watch(self: Box<Self>, key: usize) -> io::Result<Box<dyn Stream>>;
}

/// One connection. Dropped, it is closed.
pub trait Stream {
    /// Reads what there is; 0 if the peer has ended its side.
    ///
    /// # Errors
    /// `WouldBlock` if there is nothing, or the connection is broken.
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize>;

    /// Writes as much as is taken now.
    ///
    /// # Errors
    /// `WouldBlock` if nothing is, or the connection is broken.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Whether a dialled connection has come up.
    ///
    /// # Errors
    /// The reason why it never will.
    fn connected(&mut self) -> io::Result<bool>;

    /// Waits for something else from now on.
    ///
    /// # Errors
    /// The system refuses.
    fn set_interest(&mut self, interest: Interest) -> io::Result<()>;

    /// Says that nothing more will be written.
    fn end_writing(&mut self);
}

/// The files of a replica.
pub trait PartitionStore {
    /// Writes a batch; it lasts once [`PartitionStore::sync`] has returned.
    ///
    /// # Errors
    /// The disk is full or fails.
    fn write(&mut self, writes: &[Write]) -> Result<(), StoreError>;

    /// Makes everything that was written last.
    ///
    /// # Errors
    /// The disk fails.
    fn sync(&mut self) -> Result<(), StoreError>;
}

/// The world of a process, shared by all that belongs to it.
pub type SharedWorld = Rc<dyn World>;
