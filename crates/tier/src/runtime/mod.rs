//! What a process needs around its state: the outside world behind traits, start and stop, timers, the log.
//!
//! [`io`] is all that the rest of the crate knows of the system, [`system`] its implementation for a process of the operating
//! system; the in-memory fleet of the `simulation` crate has another one. [`start`] opens what a node starts with, [`stop`]
//! owns the decisions of a graceful shutdown. The names in [`traffic`] stand in reports and must stay.

pub mod io;
pub mod log_ring;
pub mod show;
pub mod start;
pub mod stop;
pub mod system;
pub mod timers;
pub mod traffic;
