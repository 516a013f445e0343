//! Start, reload and stop: what a node is told, its log, and its phases from start to exit.

pub mod limits;
pub mod logger;
pub mod node;
pub mod upgrade;
