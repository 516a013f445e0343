//! A whole serving tier on loopback addresses: real processes of `grebeusher-tier`, stand-in executors, an operator's
//! configuration, live requests, streams and a batch job, and a storage process that is killed in the middle of it.
//!
//! Everything is bounded: processes, threads, requests and time. Whatever happens, no process stays behind.

pub mod answer_faults;
pub mod client;
pub mod error;
pub mod executors;
pub mod job;
pub mod layout;
pub mod operator;
pub mod processes;
pub mod requests;
pub mod soak;
pub mod start_up;
pub mod story;
pub mod table;
pub mod watch;

pub use error::DemoError;
pub use story::{Options, Summary, run};
