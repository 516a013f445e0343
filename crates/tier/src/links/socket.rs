//! One TCP connection: its socket, what was read and is not yet understood, and what waits to be written.

use crate::runtime::io::{AcceptedConnection, Stream, World};
use grebeusher_transport::poller::Interest;
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;

/// How much one turn of the loop reads from one connection, so that others have theirs.
const MAX_READ: usize = 256 * 1024;
/// The most that one read takes. It goes to the stack first, so that a connection's buffer is only as large as what came.
const READ_STEP: usize = 16 * 1024;

/// What a read found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The connection stays open; `bytes` came.
    Open {
        /// How many bytes came.
        bytes: usize,
    },
    /// The peer has ended its side; `bytes` came before.
    Ended {
        /// How many bytes came.
        bytes: usize,
    },
}

/// A non-blocking connection. Its buffers take no memory while they are empty: connections are many, and most of them wait
/// at any time.
pub struct Socket {
    stream: Box<dyn Stream>,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// All bytes that the peer's side has taken.
    sent: u64,
    /// Whether reading is paused, as whoever takes the bytes does not.
    paused: bool,
    connecting: bool,
}

impl Socket {
    /// Takes over an accepted connection.
    pub fn accepted(arrival: Box<dyn AcceptedConnection>, key: usize) -> io::Result<Socket> {
        Ok(Socket::over(arrival.watch(key)?, false))
    }

    /// Begins to connect.
    pub fn dial(world: &dyn World, address: SocketAddrV4, key: usize) -> io::Result<Socket> {
        Ok(Socket::over(world.dial(address, key)?, true))
    }

    /// Begins to connect to another node.
    pub fn dial_link(world: &dyn World, address: SocketAddrV4, key: usize) -> io::Result<Socket> {
        Ok(Socket::over(world.dial_link(address, key)?, true))
    }

    fn over(stream: Box<dyn Stream>, connecting: bool) -> Socket {
        Socket {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            sent: 0,
            paused: false,
            connecting,
        }
    }

    /// Whether the connection is still coming up.
    pub fn is_connecting(&self) -> bool {
        self.connecting
    }

    /// Asks whether a dialled connection has come up.
    ///
    /// # Errors
    /// The reason why it never will.
    pub fn connected(&mut self) -> io::Result<bool> {
        if !self.connecting {
            return Ok(true);
        }
        if !self.stream.connected()? {
            return Ok(false);
        }
        self.connecting = false;
        self.update_interest()?;
        Ok(true)
    }

    /// Reads what there is, up to a bound for one turn.
    pub fn read(&mut self) -> io::Result<Reading> {
        let mut bytes = 0;
        let mut piece = [0; READ_STEP];
        while bytes < MAX_READ {
            match self.stream.read(&mut piece) {
                Ok(0) => return Ok(Reading::Ended { bytes }),
                Ok(count) => {
                    self.input.extend_from_slice(&piece[..count]);
                    bytes += count;
                    if count < READ_STEP {
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(Reading::Open { bytes })
    }

    /// What was read and is not yet understood.
    pub fn input(&self) -> &[u8] {
        &self.input
    }

    /// The first `count` bytes of the input are done with.
    pub fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    /// Takes all that was read.
    pub fn take_input(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.input)
    }

    /// Gives back what `take_input` took, less what is done with.
    pub fn restore_input(&mut self, mut bytes: Vec<u8>, consumed: usize) {
        debug_assert!(self.input.is_empty());
        if consumed < bytes.len() {
            bytes.drain(..consumed);
            self.input = bytes;
        }
    }

    /// Puts bytes behind what waits to be written; nothing is written yet.
    pub fn put(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// How many bytes were written since the connection was opened.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// How many bytes wait to be written.
    pub fn waiting(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes what the peer takes now.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.connecting {
            return Ok(());
        }
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.written += count;
                    self.sent += count as u64;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        if self.written == self.output.len() {
            self.output = Vec::new();
            self.written = 0;
        } else if self.written > MAX_READ {
            self.output.drain(..self.written);
            self.written = 0;
        }
        self.update_interest()
    }

    /// Stops reading, or resumes it.
    pub fn pause(&mut self, paused: bool) -> io::Result<()> {
        self.paused = paused;
        self.update_interest()
    }

    fn update_interest(&mut self) -> io::Result<()> {
        let interest = Interest {
            readable: !self.paused && !self.connecting,
            writable: self.connecting || self.waiting() > 0,
        };
        self.stream.set_interest(interest)
    }

    /// Says that nothing more will be written.
    pub fn end_writing(&mut self) {
        self.stream.end_writing();
    }
}
