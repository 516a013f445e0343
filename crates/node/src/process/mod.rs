//! The process of a node: start, reload and stop, its limits, and its log.

pub mod limits;
pub mod logger;
pub mod node;
pub mod upgrade;
