//! The keys of executors, services, attempts, models and zones. The gateway assigns them or hashes them from names.

use crate::slot_map::SlotKey;
use grebeusher_sizing::fixed_hash;

/// The key of an executor in the gateway's table. It identifies one instance of the executor and is not used again
/// after that instance is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutorId(pub(crate) SlotKey);

/// The key of a service that is named in the configuration or by an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub(crate) u32);

/// The key of an open attempt, which is one request as sent to one executor. It is no longer valid after
/// [`attempt_finished`](crate::Gateway::attempt_finished).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptToken(pub(crate) SlotKey);

/// The key of a model, which is the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelKey(pub u64);

impl ModelKey {
    /// The key of the model with a name.
    pub fn from_name(name: &str) -> ModelKey {
        ModelKey(fixed_hash(name))
    }
}

/// The key of a zone, which is the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub u64);

impl ZoneKey {
    /// The key of the zone with a name.
    pub fn from_name(name: &str) -> ZoneKey {
        ZoneKey(fixed_hash(name))
    }
}
