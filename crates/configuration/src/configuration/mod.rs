//! A configuration that an operator sends: routes, services and limits, read from one JSON body.
//!
//! The body is first split into the texts of its routes and services, and then each of them is parsed by itself. So
//! reading takes little more memory than the result.

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
    /// The configuration is invalid; the error says why. Only the [register](crate::register) checks whether its
    /// version is above the current one.
    pub fn read(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let configuration = parse::body(body)?;
        validate::configuration(&configuration)?;
        Ok(configuration)
    }
}
