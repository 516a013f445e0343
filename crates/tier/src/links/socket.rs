//! A TCP connection: its socket, the bytes that were read but not processed yet, and the bytes that are to be
//! written.

use crate::runtime::io::{AcceptedConnection, Stream, World};
use grebeusher_transport::poller::Interest;
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;

/// One turn of the event loop stops reading from a connection after this many bytes, so that other
/// connections are served too. Written bytes are removed from the front of the output once they exceed this.
const MAX_READ_BYTES: usize = 256 * 1024;
/// The most bytes that one system call reads. They are read to the stack first, so that a connection's buffer
/// is only as large as the bytes in it.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// The result of reading from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The connection is still open.
    Open {
        /// The number of bytes that were read.
        bytes: usize,
    },
    /// The peer has closed its side of the connection.
    Ended {
        /// The number of bytes that were read before that.
        bytes: usize,
    },
}

/// A non-blocking connection. Its buffers take no memory while they are empty, as a node has many
/// connections, most of which are idle at any time.
pub struct Socket {
    stream: Box<dyn Stream>,
    /// The bytes that were read but not processed yet.
    input: Vec<u8>,
    /// The bytes that are to be written, of which the first `written` are written already.
    output: Vec<u8>,
    written: usize,
    /// The number of bytes written since the connection was opened.
    sent: u64,
    /// Whether reading is paused because the receiver of the bytes can't take more.
    paused: bool,
    /// Whether the connection is not established yet.
    connecting: bool,
    /// The error by which the connection failed. The system reports it only once.
    failure: Option<ErrorKind>,
}

impl Socket {
    /// Creates a socket from an accepted connection, whose events the poller reports under `key`.
    pub fn accepted(accepted: Box<dyn AcceptedConnection>, key: usize) -> io::Result<Socket> {
        Ok(Socket::from_stream(accepted.watch(key)?, false))
    }

    /// Begins to connect to an executor's address. The poller reports the connection's events under `key`.
    pub fn dial(world: &dyn World, address: SocketAddrV4, key: usize) -> io::Result<Socket> {
        Ok(Socket::from_stream(world.dial(address, key)?, true))
    }

    /// Begins to connect to another node. The poller reports the connection's events under `key`.
    pub fn dial_link(world: &dyn World, address: SocketAddrV4, key: usize) -> io::Result<Socket> {
        Ok(Socket::from_stream(world.dial_link(address, key)?, true))
    }

    fn from_stream(stream: Box<dyn Stream>, connecting: bool) -> Socket {
        Socket {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            sent: 0,
            paused: false,
            connecting,
            failure: None,
        }
    }

    /// Whether the connection is not established yet.
    pub fn is_connecting(&self) -> bool {
        self.connecting
    }

    /// Checks whether a dialled connection is established.
    ///
    /// # Errors
    /// The reason why connecting failed.
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

    /// Reads the bytes that have arrived, up to the limit for one turn of the event loop.
    ///
    /// # Errors
    /// The connection has failed; the bytes that arrived before are read first. Linux keeps them, but reports the failure only
    /// once: after a write has failed, a read finds the end of the stream, as if the peer had closed its side in order.
    pub fn read(&mut self) -> io::Result<ReadOutcome> {
        let mut bytes = 0;
        let mut chunk = [0; READ_CHUNK_BYTES];
        while bytes < MAX_READ_BYTES {
            match self.stream.read(&mut chunk) {
                Ok(0) => {
                    return self.failure.map_or(Ok(ReadOutcome::Ended { bytes }), |kind| Err(kind.into()));
                }
                Ok(count) => {
                    self.input.extend_from_slice(&chunk[..count]);
                    bytes += count;
                    if count < READ_CHUNK_BYTES {
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    self.failure = Some(error.kind());
                    return Err(error);
                }
            }
        }
        Ok(ReadOutcome::Open { bytes })
    }

    /// The bytes that were read but not processed yet.
    pub fn input(&self) -> &[u8] {
        &self.input
    }

    /// Removes the first `count` bytes of the input, which are processed.
    pub fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    /// Removes and returns the whole input.
    pub fn take_input(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.input)
    }

    /// Puts the bytes that `take_input` returned back as the input, without the first `consumed` ones, which
    /// are processed.
    pub fn restore_input(&mut self, mut bytes: Vec<u8>, consumed: usize) {
        debug_assert!(self.input.is_empty());
        if consumed < bytes.len() {
            bytes.drain(..consumed);
            self.input = bytes;
        }
    }

    /// Appends bytes to the output. They are written by [`Socket::flush`].
    pub fn append_output(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// The number of bytes written since the connection was opened.
    pub fn sent_bytes(&self) -> u64 {
        self.sent
    }

    /// The number of bytes in the output that are not written yet.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes as much of the output as the connection accepts now.
    ///
    /// # Errors
    /// The connection has failed, or the peer takes no more bytes. What it has sent before may still be read.
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
                Err(error) => {
                    self.note_failed_write(error.kind());
                    return Err(error);
                }
            }
        }
        if self.written == self.output.len() {
            self.output = Vec::new();
            self.written = 0;
        } else if self.written > MAX_READ_BYTES {
            self.output.drain(..self.written);
            self.written = 0;
        }
        self.update_interest()
    }

    /// Notes the error of a failed write. `BrokenPipe` is none of the connection's: the peer had ended its side in order, so
    /// that all of its bytes have arrived, or an earlier call has reported the failure.
    fn note_failed_write(&mut self, kind: ErrorKind) {
        if kind != ErrorKind::BrokenPipe {
            self.failure = Some(kind);
        }
    }

    /// Stops reading (`paused`), or resumes it.
    pub fn set_paused(&mut self, paused: bool) -> io::Result<()> {
        self.paused = paused;
        self.update_interest()
    }

    fn update_interest(&mut self) -> io::Result<()> {
        let interest = Interest {
            readable: !self.paused && !self.connecting,
            writable: self.connecting || self.unsent_bytes() > 0,
        };
        self.stream.set_interest(interest)
    }

    /// Closes the sending side of the connection.
    pub fn end_writing(&mut self) {
        self.stream.end_writing();
    }
}
