//! Which shared beginnings of prompts ("prefixes") are popular in the whole tier, and at how many executors each has a home.
//!
//! One [`Popularity`] serves one node. It does no I/O and reads no clock: requests, registers of other nodes and the time
//! are handed in; registers to be told and numbers of homes come out.
//!
//! **Counting.** A node counts the tokens that its own requests bring beside each prefix, as a mean that fades with time, in
//! a Space-Saving table of fixed size (`tracker`). `heavykeeper`, the registry's top-k sketch, does not fade with time and
//! decays by chance, so the few lines are this crate's own.
//!
//! **Sharing.** Each node tells its heaviest prefixes in a [`Contribution`]: a register that only its origin writes, ordered
//! by incarnation and sequence. The newest of an origin takes the place of all before, so that merging is commutative and
//! idempotent, and nobody counts twice whatever is doubled, overtaken or told again after a cut. A register that is not
//! renewed fades. The pause between two of them grows with the tier, so that bytes a second stay within
//! [`Settings::bytes_per_s`].
//!
//! **Placing.** A prefix has as many homes as its rate needs ([`Settings::home_tokens_per_s`] for each), one at least. More
//! come at once, fewer only after the rate has stayed well below for a time, one by one.
//!
//! **Lasting.** [`Popularity::remember`] is a compact snapshot; what is recalled fades like all else, and counts only where
//! it exceeds what the nodes tell.
//!
//! ```
//! use grebeusher_prefix_popularity::{Identity, Popularity, PrefixKey, Settings};
//! use grebeusher_time::{Instant, Duration};
//!
//! let settings = Settings::default().checked().unwrap();
//! let mut node = Popularity::new(settings, Identity { origin: 1, incarnation: 1 }, Instant(0));
//! let key = PrefixKey::of(7, 42);
//! let mut now = Instant(0);
//! for _ in 0..1000 {
//!     now = now + Duration::from_millis(20);
//!     node.saw(now, key, 2_000);
//!     node.tick(now);
//! }
//! assert!(node.homes(key) >= 5, "100,000 tokens a second need more than one home");
//! ```

mod contribution;
mod error;
mod homes;
mod key;
mod ledger;
mod memory;
mod popularity;
mod settings;
mod tracker;

pub use contribution::{Contribution, MAX_CONTRIBUTION, MAX_SHARES, Share};
pub use error::{DecodeError, SettingsError};
pub use key::PrefixKey;
pub use memory::MAX_MEMORY;
pub use popularity::{Counters, Identity, Merge, Popular, Popularity};
pub use settings::Settings;
