//! The environment of a real process: sockets of the poller, clocks and files of the operating system.

use crate::node::keys;
use crate::runtime::io::{AcceptedConnection, Listener, PartitionStore, ReceivedSignals, Stream, World};
use grebeusher_quorum::disk::{Identity, Store, StoreError};
use grebeusher_quorum::{RestoredState, Write};
use grebeusher_time::{Duration, DurationExt, Instant};
use grebeusher_transport::listen::listen;
use grebeusher_transport::poller::{Event, Interest, Poller, Registered};
use grebeusher_transport::signals::Signals;
use grebeusher_transport::socket;
use rand::Rng;
use std::fs::File;
use std::io::{self, Read, Write as _};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::debug;

/// The environment of a process of the operating system.
pub struct System {
    poller: Rc<Poller>,
    signals: Registered<Signals>,
    started_at: std::time::Instant,
    settings_path: PathBuf,
}

impl System {
    /// Creates the environment of this process, whose settings are in a file. From here on SIGTERM and SIGHUP are events and
    /// no longer end the process.
    ///
    /// # Errors
    /// Fails if the system has no file descriptors left.
    pub fn open(settings_path: PathBuf) -> io::Result<System> {
        let poller = Rc::new(Poller::new()?);
        let signals = poller.register(Signals::catch()?, keys::SIGNALS, Interest::READABLE)?;
        Ok(System { poller, signals, started_at: std::time::Instant::now(), settings_path })
    }
}

impl World for System {
    fn now(&self) -> Instant {
        Instant(self.started_at.elapsed().as_nanos() as u64)
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }

    fn random(&self) -> u64 {
        rand::rng().random()
    }

    fn wait(&self, span: Duration, events: &mut Vec<Event>) -> io::Result<()> {
        self.poller.wait(Some(Duration::from_nanos(span.nanos())), events)
    }

    fn listen(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Listener>> {
        let listener = self.poller.register(listen(address.into())?, key, Interest::READABLE)?;
        Ok(Box::new(TcpAcceptor { poller: self.poller.clone(), listener }))
    }

    fn dial(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>> {
        let stream = self.poller.register(socket::dial(address)?, key, Interest::WRITABLE)?;
        Ok(Box::new(TcpConnection(stream)))
    }

    fn dial_link(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>> {
        let stream = socket::dial(address)?;
        if let Err(error) = socket::prepare_link(&stream) {
            // The link works without the time-out, but its failure is detected later.
            debug!(peer = %address, %error, "link without a time-out");
        }
        let stream = self.poller.register(stream, key, Interest::WRITABLE)?;
        Ok(Box::new(TcpConnection(stream)))
    }

    fn signals(&self) -> ReceivedSignals {
        let signals = self.signals.get();
        signals.drain();
        ReceivedSignals { stop: signals.told_to_stop(), reload: signals.told_to_reload() }
    }

    fn settings(&self) -> io::Result<String> {
        std::fs::read_to_string(&self.settings_path)
    }

    fn identity(&self, folder: &Path) -> Result<Identity, StoreError> {
        Identity::load_or_create(folder, self.random())
    }

    fn read_hint(&self, folder: &Path, name: &str) -> Option<Vec<u8>> {
        let bytes = std::fs::read(folder.join(name)).ok()?;
        let (checksum, content) = bytes.split_first_chunk::<4>()?;
        (crc32fast::hash(content) == u32::from_le_bytes(*checksum)).then(|| content.to_vec())
    }

    fn write_hint(&self, folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = folder.join(format!("{name}.next"));
        let mut file = File::create(&temporary)?;
        file.write_all(&crc32fast::hash(bytes).to_le_bytes())?;
        file.write_all(bytes)?;
        file.sync_data()?;
        std::fs::rename(&temporary, folder.join(name))?;
        File::open(folder)?.sync_all()
    }

    fn open_store(&self, folder: &Path) -> Result<(Box<dyn PartitionStore>, RestoredState), StoreError> {
        let (store, restored) = Store::open(folder)?;
        Ok((Box::new(store), restored))
    }
}

impl PartitionStore for Store {
    fn write(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        Store::write(self, writes)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        Store::sync(self)
    }
}

struct TcpAcceptor {
    poller: Rc<Poller>,
    listener: Registered<TcpListener>,
}

impl Listener for TcpAcceptor {
    fn accept(&self) -> io::Result<Box<dyn AcceptedConnection>> {
        let (stream, _) = self.listener.get().accept()?;
        Ok(Box::new(TcpAccepted { poller: self.poller.clone(), stream }))
    }
}

struct TcpAccepted {
    poller: Rc<Poller>,
    stream: TcpStream,
}

impl AcceptedConnection for TcpAccepted {
    fn watch(self: Box<Self>, key: usize) -> io::Result<Box<dyn Stream>> {
        self.stream.set_nonblocking(true)?;
        self.stream.set_nodelay(true)?;
        let stream = self.poller.register(self.stream, key, Interest::READABLE)?;
        Ok(Box::new(TcpConnection(stream)))
    }
}

struct TcpConnection(Registered<TcpStream>);

impl Stream for TcpConnection {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        self.0.get().read(bytes)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.get().write(bytes)
    }

    fn connected(&mut self) -> io::Result<bool> {
        match self.0.get().take_error()? {
            Some(error) => Err(error),
            None => Ok(self.0.get().peer_addr().is_ok()),
        }
    }

    fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        self.0.set_interest(interest)
    }

    fn end_writing(&mut self) {
        // The peer may have closed the connection already. The connection is dropped next in any case.
        let _ = self.0.get().shutdown(std::net::Shutdown::Write);
    }
}
