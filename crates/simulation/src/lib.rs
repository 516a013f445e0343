//! A whole fleet of the serving tier in memory and virtual time.
//!
//! Machines run the real [`Node`](grebeusher_tier::node::Node)s over a simulated network, simulated disks and simulated
//! clocks. Executors, clients, operators and the platform are stand-ins by the published protocol. All that is left to
//! chance comes from one seed, so that each storm can be run again; the rules are judged from what the stand-ins saw.
//!
//! What differs from real machines:
//!
//! - A turn of a node's loop takes a fixed time, beside its waits for the disk; memory is not bounded.
//! - Later writes of a disk are lost from the end, record by record; how torn bytes are recognised is tested with the store.
//! - No disk fills or fails in drawn storms.
//! - A cut in one direction lets the other direction's bytes pass without acknowledgements, up to any amount.
//! - Between regions nothing is farther than between zones, and all links have one bandwidth.
//! - Executors step each request by itself and preempt none; clients read their answers at once.
//! - The judge lets machines off for longer than the rules do: any cut counts as trouble of all links, and `LOST` of live
//!   requests is judged around SIGTERM only. `DENIED`, worth and prices are not judged.

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
