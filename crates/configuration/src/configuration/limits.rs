//! The bounds of a configuration. They keep the memory of a reader bounded, whatever it is sent.

/// The largest body that is read, in bytes. Twice what the operators are known to send.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// The most routes of one configuration.
pub const MAX_ROUTES: usize = 65_536;

/// The most services of one configuration.
pub const MAX_SERVICES: usize = 16_384;

/// The most services that one route is split between.
pub const MAX_SPLITS: usize = 1024;
