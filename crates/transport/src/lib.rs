//! Plumbing of every program: HTTP/1.1 heads and bodies, buffers, listeners, signals, timers, the poller, links between
//! nodes.

#![deny(unsafe_code)]

pub mod alarms;
pub mod body;
pub mod buffer;
pub mod headers;
pub mod http;
pub mod link;
pub mod listen;
pub mod outgoing;
pub mod poller;
pub mod signals;
pub mod socket;
