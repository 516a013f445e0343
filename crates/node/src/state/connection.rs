//! A non-blocking connection: its socket, its buffer, and its registration with the poller.

use crate::interfaces::DescriptorHolder;
use grebeusher_transport::buffer::{self, Buffer, Reading};
use polling::{Event, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// The most bytes that may be read and not parsed yet: the largest head and body, and some framing.
pub const MAX_UNREAD: usize = 84 * 1024;

/// Whether an operation failed because this process or the whole system has no file descriptor left.
pub fn is_descriptor_exhaustion(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

pub struct Connection {
    stream: Socket,
    pub buffer: Buffer,
    poller: Rc<Poller>,
    key: usize,
    /// Bytes read and not parsed yet beyond which nothing more is read.
    max_unread: usize,
}

impl Connection {
    /// Wraps a TCP socket and registers it with the poller under `key`.
    pub fn from_stream(stream: TcpStream, poller: &Rc<Poller>, key: usize) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        Connection::from_socket(stream.into(), poller, key)
    }

    /// Wraps a socket of any kind and registers it with the poller under `key`.
    pub fn from_socket(stream: Socket, poller: &Rc<Poller>, key: usize) -> io::Result<Connection> {
        stream.set_nonblocking(true)?;
        poller.add(&stream, Event::all(key))?;
        let poller = poller.clone();
        Ok(Connection { stream, buffer: Buffer::default(), poller, key, max_unread: MAX_UNREAD })
    }

    /// Starts to connect; [`Self::is_connected`] says when the connection is established.
    pub fn dial(address: SocketAddr, poller: &Rc<Poller>, key: usize) -> io::Result<Connection> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            // `ErrorKind` has no stable variant for EINPROGRESS.
            Err(e)
                if e.raw_os_error() != Some(libc::EINPROGRESS) && e.kind() != io::ErrorKind::WouldBlock =>
            {
                Err(e)
            }
            _ => Connection::from_stream(socket.into(), poller, key),
        }
    }

    /// Starts to connect; if there is no descriptor left, one of the `holders` releases one first.
    pub fn dial_with_reclaim(
        holders: &[Rc<dyn DescriptorHolder>],
        address: SocketAddr,
        poller: &Rc<Poller>,
        key: usize,
    ) -> io::Result<Connection> {
        match Connection::dial(address, poller, key) {
            Err(e)
                if is_descriptor_exhaustion(&e)
                    && holders.iter().any(|holder| holder.release_descriptor()) =>
            {
                Connection::dial(address, poller, key)
            }
            result => result,
        }
    }

    /// Sets how many bytes may be read and not parsed yet.
    pub fn set_max_unread(&mut self, max_unread: usize) {
        self.max_unread = max_unread;
    }

    /// Whether a dialled connection is established; an error if it failed.
    pub fn is_connected(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(e) => Err(e),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Whether the socket has input that was not read yet, the end of the stream included.
    pub fn has_pending_input(&self) -> bool {
        self.stream.peek(&mut [MaybeUninit::uninit()]).is_ok()
    }

    pub fn read(&mut self) -> io::Result<Reading> {
        self.buffer.read_from(&mut self.stream, self.max_unread)
    }

    /// Reads input and discards it.
    pub fn read_and_discard(&mut self) -> io::Result<Reading> {
        buffer::drop_from(&mut self.stream)
    }

    pub fn write(&mut self) -> io::Result<()> {
        self.buffer.write_to(&mut self.stream)
    }

    /// Shuts down the sending side of the socket.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Registers interest in the next event, of which the poller reports one. `until_writable` also asks for an event
    /// when the socket is writable, even if there is nothing to write.
    pub fn watch(&self, until_writable: bool) -> io::Result<()> {
        let readable = self.buffer.unread().len() < self.max_unread;
        let writable = until_writable || self.buffer.waits_to_write();
        self.poller.modify(&self.stream, Event { key: self.key, readable, writable })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The socket is closed right after, so a failure to deregister it has no effect.
        let _ = self.poller.delete(&self.stream);
    }
}
