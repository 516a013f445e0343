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
//! - A full disk refuses all writes at once; none fails in other ways.
//! - A cut in one direction lets the other direction's bytes pass without acknowledgements, up to any amount.
//! - All links have one bandwidth, and packets are resent at one pace, however long a cut lasts.
//! - Executors step each request by itself and preempt none; clients read their answers at once.
//! - The judge lets machines off for longer than the rules do: any cut counts as trouble of all links, and `LOST` of live
//!   requests is judged around SIGTERM only. `DENIED`, worth and prices are not judged.
//! - Beyond the operators' rules the judge asks what the design note promises: no read shows less than an earlier one did
//!   (`STALE`), an acknowledged drain is known to all nodes in calm times (`UNTOLD`), and a node never goes back.

pub mod bulk;
pub mod call;
pub mod clients;
pub mod configurations;
pub mod content;
pub mod disk;
pub mod executors;
pub mod fleet;
pub mod hub;
pub mod judge;
pub mod log;
pub mod network;
pub mod operators;
pub mod scenario;
pub mod stage;
pub mod storm;
pub mod times;
pub mod world;
