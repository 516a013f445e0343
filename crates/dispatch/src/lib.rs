//! The decisions of grebeusher and the vocabulary they are written in.
//!
//! [`decide`] and the files below it hold every choice, with the files of `grebeusher-sizing` that the tier shares; the
//! other modules only name things.

pub mod decide;
pub mod host;
pub mod ids;
pub mod learnt;
pub mod tariffs;
pub use grebeusher_time as time;
pub mod word;

pub use host::Host;
pub use ids::{AllocationId, ExecutorId, UnitId};
pub use tariffs::{
    Allowance, Arrival, ColdStart, Effect, Ending, Further, Group, Listing, Report, Standing, Tariff,
};
pub use time::{Duration, Instant};
