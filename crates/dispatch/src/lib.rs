//! The decisions of a node: which executor gets a request, when the request is retried, and how it is answered.
//!
//! [`decide::Dispatcher`] is a state machine without I/O: it has neither a clock nor sockets. Its owner calls one method
//! for each event, passing the time, and the dispatcher acts through the owner's [`Host`]. The other modules contain the
//! types of this interface. `grebeusher-sizing` contains the algorithms that the serving tier uses as well.
//! `grebeusher-node-config` builds a dispatcher from the settings; `grebeusher-node`, the bench adapter and the emulator
//! each own one and implement [`Host`].
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
//! assert!(!keyed.may_repeat(now, sent, false, false), "executors of another zone do not know the key");
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
