//! Gossip-based membership of a fleet of nodes, built on the crate `foca`. It implements SWIM with suspicion and
//! refutation, and gives each start of a node a generation number. The crate does no I/O and reads no clock.
//!
//! The caller creates one [`Membership`] per node with a [`Host`], which sends its datagrams and receives its events.
//! The caller calls [`Membership::join`] once, [`Membership::receive`] for each datagram, and
//! [`Membership::handle_timeout`] at the time that [`Membership::next_timeout`] returns. Nodes also broadcast their
//! observations of executors with the gossip; receivers treat them as hints.
//!
//! The membership gives no guarantees: a member that is up may be declared down, and then comes back under a renewed
//! identity. Decisions that the nodes of the fleet must agree on go through the crate `grebeusher-volatile-raft`. The
//! crate `grebeusher-node` runs the membership on a socket.
//!
//! ```
//! use grebeusher_dispatch::time::Instant;
//! use grebeusher_membership::{ExecutorObservation, Host, Member, Membership};
//! use std::net::SocketAddr;
//!
//! struct SentTo(Vec<SocketAddr>);
//!
//! impl Host for SentTo {
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
//! let mut membership = Membership::new(own, 3, 7, SentTo(Vec::new()));
//! membership.join(Instant(0), &["10.0.0.2:7946".parse()?]);
//! assert!(membership.next_timeout().is_some(), "the node announces itself until another node answers");
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
