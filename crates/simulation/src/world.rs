//! The world of one process in the fleet: the traits of the tier over the hub and the machine's disk.

use crate::disk::Disk;
use crate::hub::{End, Owner, SharedHub};
use grebeusher_quorum::disk::{Identity, StoreError};
use grebeusher_quorum::{ReplicaId, RestoredState, Write};
use grebeusher_tier::runtime::io::{
    AcceptedConnection, Listener, PartitionStore, ReceivedSignals, Stream, World,
};
use grebeusher_time::{Duration, DurationExt, Instant};
use grebeusher_transport::poller::{Event, Interest};
use grebeusher_transport::socket::USER_TIMEOUT;
use rand::Rng;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// A disk, as its machine and its process hold it.
pub type SharedDisk = Rc<RefCell<Disk>>;

/// The world of one life of a process.
pub struct ProcessWorld {
    /// What all share.
    pub hub: SharedHub,
    /// The life.
    pub process: usize,
    /// The machine's disk.
    pub disk: SharedDisk,
    /// The settings file.
    pub settings: Rc<RefCell<String>>,
}

impl World for ProcessWorld {
    fn now(&self) -> Instant {
        let mut hub = self.hub.borrow_mut();
        let now = hub.local_now();
        let process = &mut hub.processes[self.process];
        Instant(process.clock_before_freeze.take().unwrap_or(now).since(process.started).nanos())
    }

    fn wall_ms(&self) -> u64 {
        let hub = self.hub.borrow();
        let true_ms = hub.wall_start_ms + hub.local_now().0 / 1_000_000;
        true_ms.saturating_add_signed(hub.processes[self.process].wall_offset_ms)
    }

    fn random(&self) -> u64 {
        self.hub.borrow_mut().random.random()
    }

    fn wait(&self, _: Duration, _: &mut Vec<Event>) -> io::Result<()> {
        // Whoever steps the loop waits.
        Err(ErrorKind::Unsupported.into())
    }

    fn listen(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Listener>> {
        self.hub.borrow_mut().listen(Owner::Process(self.process), address, key)?;
        Ok(Box::new(ListeningSocket { hub: self.hub.clone(), address, process: self.process }))
    }

    fn dial(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>> {
        let mut hub = self.hub.borrow_mut();
        let host = hub.processes[self.process].host;
        let end = hub.dial(Owner::Process(self.process), host, address, key);
        hub.watch(end, key, Interest::WRITABLE);
        Ok(Box::new(Line { hub: self.hub.clone(), end }))
    }

    fn dial_link(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>> {
        let mut hub = self.hub.borrow_mut();
        let host = hub.processes[self.process].host;
        let end = hub.dial(Owner::Process(self.process), host, address, key);
        hub.break_after(end, Duration::from_seconds(USER_TIMEOUT.as_secs_f64()));
        hub.watch(end, key, Interest::WRITABLE);
        Ok(Box::new(Line { hub: self.hub.clone(), end }))
    }

    fn signals(&self) -> ReceivedSignals {
        let mut hub = self.hub.borrow_mut();
        let process = &mut hub.processes[self.process];
        let stop = std::mem::take(&mut process.stop);
        let reload = std::mem::take(&mut process.reload);
        ReceivedSignals { stop, reload }
    }

    fn settings(&self) -> io::Result<String> {
        Ok(self.settings.borrow().clone())
    }

    fn identity(&self, _: &Path) -> Result<Identity, StoreError> {
        let random = self.random();
        let mut hub = self.hub.borrow_mut();
        let (id, existed) = self.disk.borrow_mut().identity(hub.local_now(), random);
        hub.turn_spent += self.disk.borrow().sync_takes.scaled(4.0);
        Ok(Identity { id: ReplicaId(id), existed })
    }

    fn open_store(&self, folder: &Path) -> Result<(Box<dyn PartitionStore>, RestoredState), StoreError> {
        let mut hub = self.hub.borrow_mut();
        let restored = self.disk.borrow_mut().open(hub.local_now(), folder);
        hub.turn_spent += self.disk.borrow().sync_takes.scaled(2.0);
        let files = Files { hub: self.hub.clone(), disk: self.disk.clone(), folder: folder.to_owned() };
        Ok((Box::new(files), restored))
    }
}

struct Files {
    hub: SharedHub,
    disk: SharedDisk,
    folder: PathBuf,
}

impl PartitionStore for Files {
    fn write(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        if self.disk.borrow().full {
            let source = ErrorKind::StorageFull.into();
            return Err(StoreError::Io { action: "write", path: self.folder.clone(), source });
        }
        if writes.is_empty() {
            return Ok(());
        }
        let mut hub = self.hub.borrow_mut();
        let takes = self.disk.borrow_mut().write(hub.local_now(), &self.folder, writes);
        hub.turn_spent += takes;
        Ok(())
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        let mut hub = self.hub.borrow_mut();
        let takes = self.disk.borrow_mut().sync(hub.local_now(), &self.folder);
        hub.turn_spent += takes;
        Ok(())
    }
}

struct ListeningSocket {
    hub: SharedHub,
    address: SocketAddrV4,
    process: usize,
}

impl Listener for ListeningSocket {
    fn accept(&self) -> io::Result<Box<dyn AcceptedConnection>> {
        let end = self.hub.borrow_mut().accept(self.address).ok_or(ErrorKind::WouldBlock)?;
        Ok(Box::new(Line { hub: self.hub.clone(), end }))
    }
}

impl Drop for ListeningSocket {
    fn drop(&mut self) {
        let mut hub = self.hub.borrow_mut();
        // After the process's end the address may be another life's.
        if hub.processes[self.process].alive {
            hub.unlisten(self.address);
        }
    }
}

struct Line {
    hub: SharedHub,
    end: End,
}

impl AcceptedConnection for Line {
    fn watch(self: Box<Self>, key: usize) -> io::Result<Box<dyn Stream>> {
        self.hub.borrow_mut().watch(self.end, key, Interest::READABLE);
        Ok(self)
    }
}

impl Stream for Line {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        self.hub.borrow_mut().read(self.end, bytes)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.hub.borrow_mut().write(self.end, bytes)
    }

    fn connected(&mut self) -> io::Result<bool> {
        self.hub.borrow().connected(self.end)
    }

    fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        let mut hub = self.hub.borrow_mut();
        let key = hub.key_of(self.end);
        hub.watch(self.end, key, interest);
        Ok(())
    }

    fn end_writing(&mut self) {
        self.hub.borrow_mut().end_writing(self.end);
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.hub.borrow_mut().close(self.end);
    }
}
