//! The node's state behind the network components: open requests, the executor directory, the job log, shares of
//! budgets, counters and connections.

pub mod budget_shares;
pub mod clock;
pub mod connection;
pub mod counters;
pub mod executor_directory;
pub mod executor_list;
pub mod job_log;
pub mod metrics;
pub mod replicated_state;
pub mod requests;
pub mod reserved_descriptors;
