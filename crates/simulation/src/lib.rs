//! A whole fleet of the serving tier in memory and virtual time.
//!
//! Machines run the real [`Node`](grebeusher_tier::node::Node)s over a simulated network, simulated disks and simulated
//! clocks. Executors, clients, operators and the platform are stand-ins by the published protocol. All that is left to
//! chance comes from one seed, so that each storm can be run again; the rules are judged from what the stand-ins saw.

pub mod call;
pub mod clients;
pub mod content;
pub mod disk;
pub mod executors;
pub mod fleet;
pub mod hub;
pub mod judge;
pub mod network;
pub mod operators;
pub mod scenario;
pub mod stage;
pub mod storm;
pub mod world;
