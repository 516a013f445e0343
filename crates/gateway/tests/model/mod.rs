//! A small model of a deployment: executors that run batches and cache prompts, nodes with a gateway each, clients
//! with one retry. Discrete events, no clock; everything drawn from a seed. Times in milliseconds.
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
pub use workload::Class;
