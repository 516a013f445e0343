//! A distributed estimate of the demand for shared prompt prefixes.
//!
//! The tier is the group of nodes that forward requests to executors. Requests with the same prompt prefix go to the
//! same few executors, the homes of the prefix, so that these have it cached. The nodes estimate together how much
//! demand there is for each prefix, and therefore how many homes it needs.
//!
//! Each node has one [`PopularityEstimator`]. It does no I/O and reads no clock: its caller passes it requests,
//! contributions of other nodes and the time, and gets contributions to send and numbers of homes. `grebeusher-gateway`
//! counts requests in it and routes by the numbers of homes. `grebeusher-tier` sends and receives contributions, and
//! stores snapshots.
//!
//! # Counting
//!
//! A node counts the prompt tokens that its own requests have after each prefix, as an exponentially decaying rate in
//! a Space-Saving table of fixed size. The crate `heavykeeper` on crates.io does not decay with time and evicts at
//! random, so this crate has its own table.
//!
//! # Sharing
//!
//! Each node sends the prefixes with the highest demand in a [`Contribution`]: a register that only its origin writes,
//! ordered by incarnation and sequence number. The newest contribution of an origin replaces all earlier ones. Merging
//! is therefore commutative and idempotent, and no request is counted twice when contributions are duplicated,
//! reordered or sent again after a network partition. A contribution that is not renewed decays. The interval between
//! two contributions grows with the number of nodes, so that the traffic stays within
//! [`EstimatorSettings::max_bytes_per_s`].
//!
//! # Homes
//!
//! A prefix has as many homes as its rate needs, with [`EstimatorSettings::home_tokens_per_s`] for each, and at least
//! one. Homes are added at once. They are removed one by one, after the rate has been well below their capacity for
//! some time.
//!
//! # Restarts
//!
//! A node stores [`PopularityEstimator::snapshot`] for its next process. The restored rates decay like all others, and
//! are used only where they exceed the rates that the nodes report.
//!
//! ```
//! use grebeusher_prefix_popularity::{Contributor, PopularityEstimator, PrefixKey, EstimatorSettings};
//! use grebeusher_time::{Duration, Instant};
//!
//! let settings = EstimatorSettings::default().validate().unwrap();
//! let own = Contributor { origin: 1, incarnation: 1 };
//! let mut node = PopularityEstimator::new(settings, own, Instant(0));
//! let key = PrefixKey::from_hashes(7, 42);
//! let mut now = Instant(0);
//! for _ in 0..1000 {
//!     now = now + Duration::from_millis(20);
//!     node.record(now, key, 2_000);
//!     node.tick(now);
//! }
//! assert!(node.home_count(key) >= 5, "100,000 tokens per second need more than one home");
//! ```

#![warn(missing_docs)]

mod contribution;
mod error;
mod estimator;
mod homes;
mod key;
mod peer_contributions;
mod settings;
mod snapshot;
mod space_saving;

pub use contribution::{Contribution, MAX_CONTRIBUTION_BYTES, MAX_REPORTED_PREFIXES, PrefixRate};
pub use error::{DecodeError, SettingsError};
pub use estimator::{
    Contributor, EstimatorCounters, MergeOutcome, PopularPrefix, PopularityEstimator, TableSizes,
};
pub use key::PrefixKey;
pub use settings::EstimatorSettings;
pub use snapshot::MAX_SNAPSHOT_BYTES;
