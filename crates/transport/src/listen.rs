//! Listening sockets, and those who wait at them.

use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use tracing::warn;

/// Takes in up to so many of those who wait to connect; `whom` they are, for the log. How many came.
pub fn take_in(listener: &TcpListener, at_once: usize, whom: &str, mut take: impl FnMut(TcpStream)) -> usize {
    let mut came = 0;
    for _ in 0..at_once {
        match listener.accept() {
            Ok((stream, _)) => {
                take(stream);
                came += 1;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(e) => {
                warn!("{whom} can't be taken in: {e}");
                break;
            }
        }
    }
    came
}

/// Listens at an address, without waiting for those who come.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    // Hundreds may connect in one moment. Beyond the usual 128 the system drops them, and they try again a second
    // later: guards against call-backs and usual clients that wait for that.
    const QUEUE: i32 = 1024;
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(QUEUE)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
