//! A configuration of the operators: routes, services and limits, read from one JSON body.
//!
//! The outer frame of the body is cut first, then each route and service is parsed by itself, so that reading
//! takes little more memory than the result.

mod error;
mod limits;
mod model;
mod parse;
mod traffic;
mod validate;

pub use error::ConfigurationError;
pub use limits::{MAX_BODY_BYTES, MAX_ROUTES, MAX_SERVICES, MAX_SPLITS};
pub use model::{ClientLimits, Configuration, EngineType, Model, Protocol, Route, RouteType, Service};
pub use traffic::{TrafficSplit, WeightedService};

impl Configuration {
    /// Reads and validates a complete configuration.
    ///
    /// # Errors
    /// The reason for which it is invalid. Whether its version is above the current one is judged by the
    /// [register](crate::register).
    pub fn read(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let configuration = parse::body(body)?;
        validate::configuration(&configuration)?;
        Ok(configuration)
    }
}
