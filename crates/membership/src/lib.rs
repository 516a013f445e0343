//! Membership of the fleet's nodes by gossip: SWIM with suspicion, refutation and a generation for each start, on
//! `foca`. No I/O and no clock.
//!
//! A caller makes one [`Membership`] per node with a [`Host`] to act through. It calls [`Membership::join`] once,
//! [`Membership::receive`] for each datagram, and [`Membership::handle_timeout`] whenever [`Membership::next_timeout`]
//! says so. Observations of executors are broadcast with the gossip, as a hint.
//!
//! Nothing that must hold may rest on it: a member may be declared down wrongly, and then comes back under a renewed
//! identity. The crate `grebeusher-node` runs it on a socket; what the fleet must agree on goes through
//! `grebeusher-volatile-raft`.
//!
//! ```
//! use grebeusher_dispatch::time::Instant;
//! use grebeusher_membership::{ExecutorObservation, Host, Member, Membership};
//! use std::net::SocketAddr;
//!
//! struct Outbox(Vec<SocketAddr>);
//!
//! impl Host for Outbox {
//!     fn send(&mut self, to: SocketAddr, _datagram: &[u8]) {
//!         self.0.push(to);
//!     }
//!     fn member_up(&mut self, _member: Member) {}
//!     fn member_down(&mut self, _member: Member) {}
//!     fn executor_observed(&mut self, _observation: ExecutorObservation) {}
//! }
//!
//! let address: SocketAddr = "10.0.0.1:7946".parse()?;
//! let own = Member { address, number: 1, generation: 1_700_000_000_000 };
//! let mut membership = Membership::new(own, 3, 7, Outbox(Vec::new()));
//! membership.join(Instant(0), &["10.0.0.2:7946".parse()?]);
//! assert!(membership.next_timeout().is_some(), "it asks again until somebody answers");
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

#![warn(missing_docs)]

mod config;
mod host;
mod member;
mod membership;
mod observation;
mod runtime;

pub use config::MAX_DATAGRAM_BYTES;
pub use host::Host;
pub use member::{LiveMember, Member};
pub use membership::{Membership, ReceiveError};
pub use observation::ExecutorObservation;
