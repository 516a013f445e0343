//! A small model of a deployment: executors that run batches of requests and cache prompts, nodes with a gateway each,
//! and clients that retry. The simulation processes discrete events without a real clock, and all random values come
//! from a seed. Times are in milliseconds.
#![allow(dead_code)]

mod baselines;
mod deployment;
mod engine;
mod report;
mod simulation;
mod workload;

pub use deployment::{Deployment, Router};
pub use report::Report;
pub use simulation::run;
pub use workload::RequestClass;
