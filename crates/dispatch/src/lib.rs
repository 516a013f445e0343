//! The decisions of a node: which executor gets a request, when it is retried, and how it is answered.
//!
//! [`decide::Dispatcher`] is a state machine apart from I/O: it has neither clock nor sockets. Its owner calls one
//! method for each event, with the time, and the dispatcher acts through the owner's [`Host`]. The other modules hold
//! the types of that interface. `grebeusher-sizing` holds the algorithms that the serving tier shares;
//! `grebeusher-node-config` builds a dispatcher from the settings, and `grebeusher-node`, the bench adapter and the
//! emulator each own one and implement [`Host`].
//!
//! ```
//! use grebeusher_dispatch::{DeduplicationScope, Duration, Effect, Instant};
//!
//! let sent = Instant(0);
//! let now = sent + Duration::from_secs(1);
//! let keyed = Effect::Keyed {
//!     scope: DeduplicationScope::Zone,
//!     deduplication_window: Duration::from_secs(40),
//! };
//! assert!(keyed.may_repeat(now, sent, true, false));
//! assert!(!keyed.may_repeat(now, sent, false, false), "another zone does not remember the key");
//! assert!(!Effect::NonIdempotent.may_repeat(now, sent, true, true));
//! ```

#![warn(missing_docs)]

pub mod attempt;
pub mod decide;
pub mod executor;
pub mod host;
pub mod ids;
pub mod learned;
pub mod load_message;
pub mod request;
pub use grebeusher_time as time;

pub use attempt::{AttemptOutcome, AttemptPolicy, RetryBudget};
pub use executor::{ExecutorSignals, ExecutorStatus, ListUpdate, ListedExecutor, LoadReport, SlowStart};
pub use host::Host;
pub use ids::{AttemptId, ExecutorId, RequestId};
pub use request::{Arrival, DeduplicationScope, Effect, RequestClass};
pub use time::{Duration, Instant};
