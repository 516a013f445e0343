//! Drives hundreds of real nodes on loopback addresses by the scenarios of the emulator: clients with open arrivals,
//! stand-in executors and discovery, links that go wrong, faults to the time. Bounded in time and number, and it ends what it
//! started.

pub mod account;
pub mod addresses;
pub mod clients;
pub mod discovery;
pub mod executors;
pub mod faults;
pub mod fleet;
pub mod http;
pub mod link;
pub mod nodes;
pub mod run;
pub mod staff;
pub mod wire;
