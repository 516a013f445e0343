//! Which shared prefixes of prompts are popular in the whole tier, and at how many executors each has a home.
//!
//! One [`PopularityEstimator`] serves one node. It does no I/O and reads no clock: requests, contributions of other nodes
//! and the time are handed in; contributions to be sent and numbers of homes come out. `grebeusher-gateway` counts requests
//! in it and routes by its homes, `grebeusher-tier` sends and receives contributions and stores snapshots.
//!
//! # Counting
//!
//! A node counts the tokens that its own requests bring beside each prefix, as an exponentially decaying rate in a
//! Space-Saving table of fixed size. The registry's crate `heavykeeper` does not decay with time and evicts at random, so
//! this crate has a table of its own.
//!
//! # Sharing
//!
//! Each node sends its heaviest prefixes in a [`Contribution`]: a register that only its origin writes, ordered by
//! incarnation and sequence. The newest of an origin replaces all before, so that merging is commutative and idempotent, and
//! nothing counts twice whatever is duplicated, reordered or sent again after a network partition. A contribution that is
//! not renewed decays. The interval between two of them grows with the tier, so that traffic stays within
//! [`Settings::max_bytes_per_s`].
//!
//! # Homes
//!
//! A prefix has as many homes as its rate needs ([`Settings::home_tokens_per_s`] for each), one at least. More are added at
//! once; they are removed one by one, after the rate has stayed well below for a time.
//!
//! # Restarts
//!
//! [`PopularityEstimator::snapshot`] is compact. What is restored decays like all else, and counts only where it exceeds
//! what the nodes report.
//!
//! ```
//! use grebeusher_prefix_popularity::{Contributor, PopularityEstimator, PrefixKey, Settings};
//! use grebeusher_time::{Duration, Instant};
//!
//! let settings = Settings::default().validate().unwrap();
//! let own = Contributor { origin: 1, incarnation: 1 };
//! let mut node = PopularityEstimator::new(settings, own, Instant(0));
//! let key = PrefixKey::of(7, 42);
//! let mut now = Instant(0);
//! for _ in 0..1000 {
//!     now = now + Duration::from_millis(20);
//!     node.record(now, key, 2_000);
//!     node.tick(now);
//! }
//! assert!(node.homes(key) >= 5, "100,000 tokens a second need more than one home");
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
pub use estimator::{Contributor, Counters, MergeOutcome, PopularPrefix, PopularityEstimator, TableSizes};
pub use key::PrefixKey;
pub use settings::Settings;
pub use snapshot::MAX_SNAPSHOT_BYTES;
