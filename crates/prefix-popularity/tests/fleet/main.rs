//! Tests of the estimators of a simulated fleet of nodes.

mod counting;
mod sharing;
mod virtual_fleet;
