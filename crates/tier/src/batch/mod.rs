//! Batch jobs: the clients' interface, the state of the partitions that hold jobs, and the items that run on executors.
//!
//! [`api`] checks calls and passes them to the leader of the job's partition, where [`leader`] answers them by the state that
//! [`partition`] keeps; [`items`] runs the items of led partitions, and [`load_report`] tells the other leaders how many there
//! are. `refusals` knows since when the log of a partition takes no results.

pub mod api;
pub mod items;
pub mod leader;
pub mod load_report;
pub mod page_size;
pub mod partition;
mod refusals;
