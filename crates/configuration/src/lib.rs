//! The operators' configuration, its replicated register, and the settings of a process.
//!
//! Nothing here does I/O or reads a clock: bytes go in, typed values or a typed error come out. `grebeusher-tier` reads
//! the files, runs the register on a partition of `grebeusher-quorum`, and routes requests by the result.
//!
//! - [`settings`] reads the settings file of a process.
//! - [`configuration`] reads a configuration of the operators and rejects an invalid one with its reason.
//! - [`routes`] picks the route of a request, and the service of a route.
//! - [`register`] is the replicated state machine that holds the configuration in force.
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
