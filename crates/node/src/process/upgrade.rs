//! A new version beside the running one: the clients' listening socket, where the platform holds it and every process
//! of the node inherits it.

use socket2::Socket;
use std::env;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Names the descriptor, where there is one.
const INHERITED: &str = "GW_INHERITED_FD";
/// Those below are the standard streams.
const FIRST: RawFd = 3;

/// The inherited listening socket; `None` where the node has to bind one of its own. To be called once, and before
/// anything is opened.
#[expect(unsafe_code, reason = "a descriptor that the platform opened can only be taken over so")]
pub fn inherited() -> Result<Option<TcpListener>, String> {
    let Some(text) = env::var_os(INHERITED) else { return Ok(None) };
    let wrong = |what: &str| format!("{INHERITED}: {what}, found {text:?}");
    let number: Option<RawFd> = text.to_str().and_then(|text| text.parse().ok());
    let number = number.filter(|number| *number >= FIRST);
    let number = number.ok_or_else(|| wrong(&format!("expected a descriptor from {FIRST} on")))?;
    // SAFETY: the variable is the platform's word that this descriptor was opened for this process. This is the start
    // of the process: nothing here has opened a descriptor or owns one yet, so no other owner of that number exists.
    // A number that stands for nothing, or for something else, is found out by the call below.
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(number) });
    match socket.is_listener() {
        Ok(true) => {
            let listener = TcpListener::from(socket);
            // It stays the platform's too: that other processes wait on it as well is why none may block on it.
            listener.set_nonblocking(true).map_err(|e| wrong(&e.to_string()))?;
            Ok(Some(listener))
        }
        found => {
            // Whatever it is, it is not this node's to close.
            std::mem::forget(socket);
            let found = found.map_or_else(|e| format!(" ({e})"), |_| String::new());
            Err(wrong(&format!("expected a listening socket{found}")))
        }
    }
}
