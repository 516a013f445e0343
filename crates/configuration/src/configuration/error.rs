//! The reasons for which a configuration is invalid.

use snafu::Snafu;

use super::limits::{MAX_BODY_BYTES, MAX_ROUTES, MAX_SERVICES, MAX_SPLITS};
use crate::json::{FieldError, JsonError};
use crate::names::{HostName, RouteName, ServiceName};

/// The reason for which a configuration is rejected. Its text is one line.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigurationError {
    /// The JSON text of the body, or of the part of it at `path`, is invalid.
    #[snafu(display("{path}: {source}"))]
    Text {
        /// The part of the body that was read; `body` stands for the outermost object.
        path: String,
        /// What is wrong with the text of this part.
        source: JsonError,
    },
    /// A field is missing, of the wrong kind or out of range.
    #[snafu(display("{source}"))]
    Field {
        /// The field, and the value that was expected there.
        source: FieldError,
    },
    /// `config_version` is 0.
    #[snafu(display("config_version is 0"))]
    VersionZero,
    /// `timeout_ms` is 0 or missing.
    #[snafu(display("route {route} has no timeout_ms"))]
    MissingTimeout {
        /// The name of the route without a timeout.
        route: RouteName,
    },
    /// `path_prefix` does not begin and end with a slash.
    #[snafu(display("the path_prefix of route {route} does not begin and end with a slash"))]
    Prefix {
        /// The name of the route with this prefix.
        route: RouteName,
    },
    /// The weights of a route add up to 0.
    #[snafu(display("the weights of route {route} add up to 0"))]
    ZeroWeight {
        /// The name of the route with these weights.
        route: RouteName,
    },
    /// A route names a service that is not in `service_list`.
    #[snafu(display("route {route} names {service}, which is not in service_list"))]
    UnknownService {
        /// The name of the route.
        route: RouteName,
        /// The name of the unknown service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("two routes have the host {hostname} and the prefix {path_prefix}"))]
    DuplicateRoute {
        /// The host of both routes.
        hostname: HostName,
        /// The path prefix of both routes.
        path_prefix: String,
    },
    /// Two services have the same name.
    #[snafu(display("service_list holds {service} twice"))]
    DuplicateService {
        /// The name of both services.
        service: ServiceName,
    },
    /// The body is larger than [`MAX_BODY_BYTES`].
    #[snafu(display("the body has {bytes} bytes, more than {MAX_BODY_BYTES}"))]
    BodyTooLarge {
        /// The length of the body in bytes.
        bytes: usize,
    },
    /// The configuration has more than [`MAX_ROUTES`] routes.
    #[snafu(display("{count} routes, more than {MAX_ROUTES}"))]
    TooManyRoutes {
        /// The number of routes.
        count: usize,
    },
    /// The configuration has more than [`MAX_SERVICES`] services.
    #[snafu(display("{count} services, more than {MAX_SERVICES}"))]
    TooManyServices {
        /// The number of services.
        count: usize,
    },
    /// A route is split between more than [`MAX_SPLITS`] services.
    #[snafu(display("route {route} is split between more than {MAX_SPLITS} services"))]
    TooManySplits {
        /// The name of the route.
        route: RouteName,
    },
}
