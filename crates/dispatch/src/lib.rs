//! The decisions of grebeusher and the vocabulary they are written in.
//!
//! [`decide`] holds every choice; the other modules only name things.

pub mod decide;
pub mod host;
pub mod ids;
pub mod learnt;
pub mod tariffs;
pub use grebeusher_time as time;
pub mod word;
