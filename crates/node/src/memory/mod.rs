//! What the node keeps in memory: units in hand, executors' addresses, connections, times that fall due.

pub mod clock;
pub mod connection;
pub mod counters;
pub mod executors;
pub mod figures;
pub mod ledger;
pub mod list;
pub mod parts;
pub mod settlement;
pub mod spares;
pub mod units;
