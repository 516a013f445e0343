//! Keys of what the gateway knows. They are made by it or hashed from names, so that none is a bare string.

use crate::slot_map::SlotKey;
use grebeusher_sizing::fixed_hash;

/// An executor in the gateway's table. It names one incarnation: after its removal the key finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutorId(pub(crate) SlotKey);

/// A service that the configuration or an executor named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub(crate) u32);

/// One open attempt: a request that was sent to one executor. After
/// [`attempt_finished`](crate::Gateway::attempt_finished) it finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptToken(pub(crate) SlotKey);

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
