//! Outgoing TCP connections, and what is set on those between nodes.

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bytes that the other machine has not confirmed for this long end the connection. Below the time in which a lost node
/// has to be noticed; above a few retransmissions.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1200);
/// An idle link asks after this long whether the other machine is there, and again at this distance. In whole seconds, as
/// the system counts them.
const KEEPALIVE: Duration = Duration::from_secs(1);
const KEEPALIVE_TRIES: u32 = 3;

/// Begins to connect, without waiting: the socket becomes writable when the connection has come up or failed. It does not
/// block, and sends what it is given at once.
///
/// # Errors
/// It fails at once: no descriptor, no route, an address of a wrong kind.
pub fn dial(address: impl Into<SocketAddr>) -> io::Result<TcpStream> {
    let address = address.into();
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        // EINPROGRESS has no kind of its own.
        Err(e) if e.raw_os_error() != Some(libc::EINPROGRESS) && e.kind() != ErrorKind::WouldBlock => Err(e),
        _ => Ok(socket.into()),
    }
}

/// Sets what a connection between nodes needs, on either side of it: it sends at once and does not block, and a machine
/// that is gone is noticed within [`USER_TIMEOUT`] when something was sent, within a few seconds when nothing was.
///
/// # Errors
/// The system refuses.
pub fn prepare_link(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_TRIES))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
