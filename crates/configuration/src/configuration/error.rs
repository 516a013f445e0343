//! The reasons for which a configuration is invalid.

use snafu::Snafu;

use super::limits::{MAX_BODY_BYTES, MAX_ROUTES, MAX_SERVICES, MAX_SPLITS};
use crate::json::{FieldError, JsonError};
use crate::names::{HostName, RouteName, ServiceName};

/// Why a configuration is rejected; one line.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigurationError {
    /// The body, or the partition of it at `path`, cannot be read.
    #[snafu(display("{path}: {source}"))]
    Text {
        /// The part that was read; `body` for its outer frame.
        path: String,
        /// What is wrong with its text.
        source: JsonError,
    },
    /// A field is missing, of the wrong kind or out of range.
    #[snafu(display("{source}"))]
    Field {
        /// The field, and what was expected there.
        source: FieldError,
    },
    /// `config_version` is 0.
    #[snafu(display("config_version is 0"))]
    VersionZero,
    /// `timeout_ms` is 0 or missing.
    #[snafu(display("route {route} has no timeout_ms"))]
    MissingTimeout {
        /// The route without a time-out.
        route: RouteName,
    },
    /// `path_prefix` does not begin and end with a slash.
    #[snafu(display("the path_prefix of route {route} does not begin and end with a slash"))]
    Prefix {
        /// The route with that prefix.
        route: RouteName,
    },
    /// The weights of a route add up to 0.
    #[snafu(display("the weights of route {route} add up to 0"))]
    ZeroWeight {
        /// The route with those weights.
        route: RouteName,
    },
    /// A route names a service that is not in the list.
    #[snafu(display("route {route} names {service}, which is not in service_list"))]
    UnknownService {
        /// The route that names it.
        route: RouteName,
        /// The service that is not known.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("two routes have the host {hostname} and the prefix {path_prefix}"))]
    DuplicateRoute {
        /// Their host.
        hostname: HostName,
        /// Their prefix.
        path_prefix: String,
    },
    /// Two services have the same name.
    #[snafu(display("service_list holds {service} twice"))]
    DuplicateService {
        /// Their name.
        service: ServiceName,
    },
    /// The body is too large to be read.
    #[snafu(display("the body has {bytes} bytes, more than {MAX_BODY_BYTES}"))]
    BodyTooLarge {
        /// Its length.
        bytes: usize,
    },
    /// There are too many routes.
    #[snafu(display("{count} routes, more than {MAX_ROUTES}"))]
    TooManyRoutes {
        /// How many there are.
        count: usize,
    },
    /// There are too many services.
    #[snafu(display("{count} services, more than {MAX_SERVICES}"))]
    TooManyServices {
        /// How many there are.
        count: usize,
    },
    /// A route is split between too many services.
    #[snafu(display("route {route} is split between more than {MAX_SPLITS} services"))]
    TooManySplits {
        /// The route.
        route: RouteName,
    },
}
