//! A fleet in memory: what the nodes count and report to each other.

mod counting;
mod sharing;
mod virtual_fleet;
