//! The runtime environment of a node: input and output behind traits, start and shutdown, timers, the log.
//!
//! The rest of the crate uses the operating system only through the traits in [`io`]. [`system`] implements them for a real
//! process, and the `simulation` crate implements them in memory. [`start`] opens the resources of a node, and [`stop`] owns
//! the decisions of a graceful shutdown. The names in [`traffic`] are written in reports and must not change.

pub mod io;
pub mod log_ring;
pub mod show;
pub mod start;
pub mod stop;
pub mod system;
pub mod timers;
pub mod traffic;
