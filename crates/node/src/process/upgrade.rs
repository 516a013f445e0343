//! Upgrades without downtime: the clients' listening socket is held by the service manager, and every process of the
//! node inherits it.

use socket2::Socket;
use std::env;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The environment variable with the number of the inherited descriptor.
const DESCRIPTOR_VARIABLE: &str = "GW_INHERITED_FD";
/// The lower descriptors are the standard streams.
const FIRST_INHERITABLE: RawFd = 3;

/// The inherited listening socket; `None` if the node has to bind one itself. Must be called once, and before anything
/// is opened.
#[expect(
    unsafe_code,
    reason = "a descriptor that the service manager opened can only be taken over by its number"
)]
pub fn inherited() -> Result<Option<TcpListener>, String> {
    let Some(text) = env::var_os(DESCRIPTOR_VARIABLE) else { return Ok(None) };
    let error = |reason: &str| format!("{DESCRIPTOR_VARIABLE}: {reason}, found {text:?}");
    let number: Option<RawFd> = text.to_str().and_then(|text| text.parse().ok());
    let number = number.filter(|number| *number >= FIRST_INHERITABLE);
    let number =
        number.ok_or_else(|| error(&format!("expected a descriptor from {FIRST_INHERITABLE} on")))?;
    // SAFETY: by the variable the service manager states that it opened this descriptor for this process. This is the
    // start of the process: nothing here has opened a descriptor or owns one yet, so no other owner of that number
    // exists. A number that stands for nothing, or for something else, is detected by the call below.
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(number) });
    match socket.is_listener() {
        Ok(true) => {
            let listener = TcpListener::from(socket);
            // The service manager keeps the socket, and other processes wait on it too, so no process may block on it.
            listener.set_nonblocking(true).map_err(|e| error(&e.to_string()))?;
            Ok(Some(listener))
        }
        found => {
            // The descriptor is not this node's to close, whatever it is.
            std::mem::forget(socket);
            let found = found.map_or_else(|e| format!(" ({e})"), |_| String::new());
            Err(error(&format!("expected a listening socket{found}")))
        }
    }
}
