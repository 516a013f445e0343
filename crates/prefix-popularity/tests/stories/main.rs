//! Stories over a fleet in memory: what the nodes count and tell each other.

mod counting;
mod fleet;
mod sharing;
