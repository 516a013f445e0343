//! Keys of what the gateway knows. All are made by it or hashed from names, so that none is a bare string.

use grebeusher_sizing::fixed_hash;

/// An executor in the table. Names one incarnation: after its removal the key finds nothing, also when the place
/// is used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutorId {
    pub(crate) place: u32,
    pub(crate) generation: u32,
}

/// A service that the configuration or an executor named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub(crate) u32);

/// One open attempt: a request that was sent to one executor. After [`finished`](crate::Gateway::finished) it
/// finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptToken {
    pub(crate) place: u32,
    pub(crate) generation: u32,
}

/// A model, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelKey(pub u64);

impl ModelKey {
    /// The key of a model's name.
    pub fn of(name: &str) -> ModelKey {
        ModelKey(fixed_hash(name))
    }
}

/// A zone, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub u64);

impl ZoneKey {
    /// The key of a zone's name.
    pub fn of(name: &str) -> ZoneKey {
        ZoneKey(fixed_hash(name))
    }
}
