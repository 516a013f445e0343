//! The programs of the serving tier, put together from the libraries of its planes.
//!
//! One process is a [`node::Node`]: an edge node takes clients, executors and operators and may hold a replica of the
//! configuration; a storage node holds replicas of the batch partitions and runs their items. Both are the same loop, and the
//! settings say what is there.

pub mod batch;
pub mod control;
pub mod links;
pub mod node;
pub mod requests;
pub mod runtime;
