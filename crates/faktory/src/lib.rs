//! The Faktory work protocol, as a server speaks it, and the table of what workers have: no I/O, no clock.

pub mod command;
pub mod handshake;
pub mod reservations;
pub mod words;
