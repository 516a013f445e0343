//! The limits on the size of a configuration. They bound the memory that reading takes, whatever an operator sends.

/// The maximum size of a body, in bytes. It is twice the size of the largest body that operators are known to send.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// The maximum number of routes in one configuration.
pub const MAX_ROUTES: usize = 65_536;

/// The maximum number of services in one configuration.
pub const MAX_SERVICES: usize = 16_384;

/// The maximum number of services between which one route is split.
pub const MAX_SPLITS: usize = 1024;
