//! The operators' configuration: reading, checks, routes; and the settings of a process.
//!
//! Nothing here does I/O or reads a clock.
//!
//! - [`settings`] reads the settings file of a process.
//! - [`configuration`] reads a configuration of the operators and refuses an invalid one with its reason.
//! - [`routes`] picks the route of a request, and the service of a route.
//! - [`register`] is the replicated state machine that keeps the configuration in force.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod configuration;
mod json;
pub mod names;
pub mod register;
pub mod routes;
pub mod settings;

pub use json::{FieldError, Unreadable};
