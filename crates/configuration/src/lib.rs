//! The configuration that operators send, the replicated register that holds it, and the settings of a process.
//!
//! This crate does no I/O and reads no clock: it turns bytes into typed values or a typed error. The crate
//! `grebeusher-tier` reads the files, runs the register on a partition of `grebeusher-quorum`, and routes requests by
//! the configuration.
//!
//! - [`settings`] reads the settings file of a process.
//! - [`configuration`] reads a configuration, and rejects an invalid one with an error that says why.
//! - [`routes`] finds the route of a request, and picks one of the services of the route.
//! - [`register`] is the replicated state machine that holds the current configuration.
//!
//! ```
//! use grebeusher_configuration::configuration::Configuration;
//! use grebeusher_configuration::routes::RouteTable;
//! use std::sync::Arc;
//!
//! let body = br#"{"config_version": 7,
//!     "service_list": [{"name": "chat"}],
//!     "route_table": [{"name": "all", "hostname": "a.example", "path_prefix": "/", "route_type": "idempotent",
//!         "timeout_ms": 500, "service": "chat"}]}"#;
//! let table = RouteTable::new(Arc::new(Configuration::read(body)?));
//! let route = table.find("A.example:80", "/v1/chat?stream=false").expect("one route covers the host");
//! assert_eq!(route.pick_service(0.5).as_str(), "chat");
//! # Ok::<(), grebeusher_configuration::configuration::ConfigurationError>(())
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod configuration;
mod json;
pub mod names;
pub mod register;
pub mod routes;
pub mod settings;

pub use json::{FieldError, JsonError};
