//! Drives real nodes on loopback addresses by the scenarios of the emulator: clients with open arrivals, stand-in
//! executors and discovery, faults on demand. Bounded in time and number, and it ends what it started.

pub mod clients;
pub mod discovery;
pub mod executor;
pub mod floor;
pub mod nodes;
pub mod run;
pub mod talk;
