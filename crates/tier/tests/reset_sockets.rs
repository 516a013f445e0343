//! Resets of real connections, by what the node does first when one has arrived. Linux keeps the bytes that arrived before a reset,
//! and reports the reset once: to a write if that comes first, and the reads behind it find the end of the stream.

use grebeusher_tier::links::socket::{ReadOutcome, Socket};
use grebeusher_tier::runtime::system::System;
use rstest::rstest;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The part of an answer that the executor sends.
const PART: &[u8] = b"a part of the body";
/// More than the buffers of both sides take while the executor reads nothing.
const UPLOAD_BYTES: usize = 32 * 1024 * 1024;
/// A reset on a loopback address arrives long before this.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause between two looks at a socket.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How the executor ends the connection after the part, while the upload is still being written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// It closes the connection without having read the upload, which resets it.
    Reset,
    /// It ends its side first: all of the answer has been sent by then.
    EndThenReset,
}

/// What the node does first with a connection that was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    Write,
    WriteTwice,
    Read,
}

/// A node's connection to an executor that has not read all of the upload yet.
struct Upload {
    socket: Socket,
    executor: TcpStream,
}

impl Upload {
    fn begin() -> Upload {
        let world = System::open(PathBuf::from("no-settings.json")).expect("descriptors are left");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            unreachable!("IPv4")
        };
        let mut socket = Socket::dial(&world, address, 16).expect("a connection");
        let (executor, _) = listener.accept().expect("a connection");
        until("the connection is established", || socket.connected().expect("it does not fail"));
        socket.append_output(&vec![b'u'; UPLOAD_BYTES]);
        let mut before = usize::MAX;
        until("the buffers are full", || {
            socket.flush().expect("the connection is open");
            std::mem::replace(&mut before, socket.unsent_bytes()) == socket.unsent_bytes()
        });
        assert!(socket.unsent_bytes() > 0, "a part of the upload is not written yet");
        Upload { socket, executor }
    }

    /// Sends the part as the executor, ends the connection, and waits until the node's side has been reset.
    fn end(self, ending: Ending) -> Socket {
        let Upload { socket, mut executor } = self;
        executor.write_all(PART).expect("the connection is open");
        if ending == Ending::EndThenReset {
            executor.shutdown(std::net::Shutdown::Write).expect("the connection is open");
        }
        let observer = executor.try_clone().expect("a descriptor");
        // The upload was not read: to shut down both sides resets nothing, to close the socket does.
        drop((executor, observer));
        std::thread::sleep(20 * POLL_INTERVAL);
        socket
    }
}

fn until(what: &str, mut is_done: impl FnMut() -> bool) {
    let until = Instant::now() + ARRIVAL_TIMEOUT;
    while !is_done() {
        assert!(Instant::now() < until, "too late: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Reads until the connection ends. Returns the bytes, and the error unless the executor has ended its side in order.
fn read_to_end(socket: &mut Socket) -> (Vec<u8>, Option<ErrorKind>) {
    let until = Instant::now() + ARRIVAL_TIMEOUT;
    loop {
        let read = socket.read();
        match read {
            Ok(ReadOutcome::Open { .. }) => assert!(Instant::now() < until, "the connection does not end"),
            Ok(ReadOutcome::Ended { .. }) => return (socket.take_input(), None),
            Err(error) => return (socket.take_input(), Some(error.kind())),
        }
    }
}

/// Guards against a part that counts as a complete body because the connection seems to have ended in order (MIXED).
#[rstest]
fn a_reset_is_an_error_whatever_comes_first(
    #[values(First::Write, First::WriteTwice, First::Read)] first: First,
) {
    let mut socket = Upload::begin().end(Ending::Reset);
    if first != First::Read {
        let error = socket.flush().expect_err("the connection was reset");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    if first == First::WriteTwice {
        let error = socket.flush().expect_err("the connection was reset");
        assert_eq!(error.kind(), ErrorKind::BrokenPipe);
    }
    let (bytes, error) = read_to_end(&mut socket);
    assert_eq!(bytes, PART);
    assert_eq!(error, Some(ErrorKind::ConnectionReset));
    // And it stays one.
    assert!(socket.read().is_err());
}

/// The executor had sent all that it would before the connection was reset.
#[rstest]
fn an_end_in_order_before_a_reset_stays_one(
    #[values(First::Write, First::WriteTwice, First::Read)] first: First,
) {
    let mut socket = Upload::begin().end(Ending::EndThenReset);
    if first != First::Read {
        assert!(socket.flush().is_err(), "the connection was reset");
    }
    if first == First::WriteTwice {
        assert!(socket.flush().is_err(), "the connection was reset");
    }
    assert_eq!(read_to_end(&mut socket), (PART.to_vec(), None));
}

/// While the upload is written, an end in order leaves the other direction open.
#[test]
fn an_end_in_order_is_no_error() {
    let Upload { mut socket, mut executor } = Upload::begin();
    executor.write_all(PART).expect("the connection is open");
    executor.shutdown(std::net::Shutdown::Write).expect("the connection is open");
    assert_eq!(read_to_end(&mut socket), (PART.to_vec(), None));
    let mut upload = vec![0; 64 * 1024];
    executor.read_exact(&mut upload).expect("the connection is open");
    until("more of the upload is written", || {
        let unsent = socket.unsent_bytes();
        socket.flush().expect("the connection is open");
        let _ = executor.read(&mut upload);
        socket.unsent_bytes() < unsent
    });
}
