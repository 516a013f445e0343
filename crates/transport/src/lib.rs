//! Plumbing of every program: HTTP/1.1 heads and bodies, buffers, listeners, signals, timers, the poller, links between
//! nodes.

pub mod alarms;
pub mod body;
pub mod buffer;
pub mod headers;
pub mod http;
pub mod listen;
pub mod signals;
