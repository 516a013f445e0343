//! A connection: its socket, its one buffer, and what the loop is asked to watch it for.

use crate::sides::Room;
use grebeusher_transport::buffer::{self, Buffer, Reading};
use polling::{Event, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// The most that may be read and not yet understood: the largest head and body, and some framing.
pub const MAX_UNREAD: usize = 84 * 1024;

/// Whether the system has no descriptor left for this process, or none at all.
pub fn no_descriptor(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

pub struct Connection {
    stream: Socket,
    pub buffer: Buffer,
    poller: Rc<Poller>,
    key: usize,
    most_unread: usize,
}

impl Connection {
    /// Takes over a socket and has it watched under `key`.
    pub fn watched(stream: TcpStream, poller: &Rc<Poller>, key: usize) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        Connection::over(stream.into(), poller, key)
    }

    /// The same for a socket of any kind.
    pub fn over(stream: Socket, poller: &Rc<Poller>, key: usize) -> io::Result<Connection> {
        stream.set_nonblocking(true)?;
        poller.add(&stream, Event::all(key))?;
        let poller = poller.clone();
        Ok(Connection { stream, buffer: Buffer::default(), poller, key, most_unread: MAX_UNREAD })
    }

    /// Begins to connect; whether it has come up is asked with `is_up`.
    pub fn dial(address: SocketAddr, poller: &Rc<Poller>, key: usize) -> io::Result<Connection> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            // EINPROGRESS has no kind of its own.
            Err(e)
                if e.raw_os_error() != Some(libc::EINPROGRESS) && e.kind() != io::ErrorKind::WouldBlock =>
            {
                Err(e)
            }
            _ => Connection::watched(socket.into(), poller, key),
        }
    }

    /// The same where one of these others may be asked to make room for it.
    pub fn dial_among(
        rooms: &[Rc<dyn Room>],
        address: SocketAddr,
        poller: &Rc<Poller>,
        key: usize,
    ) -> io::Result<Connection> {
        match Connection::dial(address, poller, key) {
            Err(e) if no_descriptor(&e) && rooms.iter().any(|room| room.makes_room()) => {
                Connection::dial(address, poller, key)
            }
            dialled => dialled,
        }
    }

    /// How much it bears from now on that is not understood yet.
    pub fn bear(&mut self, most_unread: usize) {
        self.most_unread = most_unread;
    }

    /// Whether a dialled connection has come up; an error if it never will.
    pub fn is_up(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(e) => Err(e),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Whether something has come that was not read yet, be it the end.
    pub fn is_stirred(&self) -> bool {
        self.stream.peek(&mut [MaybeUninit::uninit()]).is_ok()
    }

    pub fn read(&mut self) -> io::Result<Reading> {
        self.buffer.read_from(&mut self.stream, self.most_unread)
    }

    /// Reads what nobody wants to know.
    pub fn read_and_drop(&mut self) -> io::Result<Reading> {
        buffer::drop_from(&mut self.stream)
    }

    pub fn write(&mut self) -> io::Result<()> {
        self.buffer.write_to(&mut self.stream)
    }

    /// Says that nothing more will be written.
    pub fn end_writing(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Watches for what can be done next; the loop tells of each thing once. `soon`: also as soon as something
    /// could be written.
    pub fn watch(&self, soon: bool) -> io::Result<()> {
        let readable = self.buffer.unread().len() < self.most_unread;
        let writable = soon || self.buffer.waits_to_write();
        self.poller.modify(&self.stream, Event { key: self.key, readable, writable })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The socket is closed next; one that is no longer watched is as good.
        let _ = self.poller.delete(&self.stream);
    }
}
