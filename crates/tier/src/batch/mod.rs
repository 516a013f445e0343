//! Batch jobs: the HTTP interface, the replicated state of the partitions that hold jobs, and the items that
//! run at executors.
//!
//! [`api`] checks clients' requests and forwards them to the leader of the job's partition, where [`leader`]
//! answers them from the state in [`partition`]. [`items`] runs the items of the partitions that this node
//! leads, and [`load_report`] tells the leaders of the other partitions how many items are running and
//! waiting. `item_log` writes the log lines about items, [`page_size`] limits the pages of results, and
//! `refusals` notes since when the log of a partition has rejected results.

pub mod api;
mod item_log;
pub mod items;
pub mod leader;
pub mod load_report;
pub mod page_size;
pub mod partition;
mod refusals;
