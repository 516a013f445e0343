//! The few calls of the system that the standard library doesn't have.

use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Signals a process that this one has started.
pub fn signal(pid: u32, what: i32) -> bool {
    // SAFETY: a call of the system without memory of ours.
    unsafe { kill(pid as i32, what) == 0 }
}

/// Connects from a socket that bears no larger segments, and buffers no more, than is said.
pub fn connect_with(to: SocketAddrV4, most_segment: i32, receive_buffer: i32) -> io::Result<TcpStream> {
    let checked = |result: i32| if result < 0 { Err(io::Error::last_os_error()) } else { Ok(result) };
    let address = SocketAddress {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        address: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is ours alone from the moment that it is there, and all that is pointed to lives through the
    // calls and has the lengths that are said.
    unsafe {
        let descriptor = checked(socket(AF_INET, SOCK_STREAM, 0))?;
        let owned = OwnedFd::from_raw_fd(descriptor);
        checked(setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &raw const receive_buffer, 4))?;
        checked(setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &raw const most_segment, 4))?;
        checked(connect(descriptor, &raw const address, size_of::<SocketAddress>() as u32))?;
        Ok(TcpStream::from(owned))
    }
}
