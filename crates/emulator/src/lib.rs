//! A model of what grebeusher balances, in which the real decisions run: many nodes, executors with slots, queues and
//! cold starts, a network, discovery, clients that repeat and leave, and faults. One scenario and one seed give the
//! same run, event by event.

pub mod figures;
pub mod laws;
pub mod machine;
pub mod plain;
pub mod plots;
pub mod queueing;
pub mod rules;
pub mod scenario;
pub mod spread;
pub mod stage;
pub mod world;
