//! A replicated log for one partition of the control state: terms and elections, a leader's lease, change of the group,
//! snapshots, and the files of all that.
//!
//! [`Replica`] is a state machine: messages, time and proposals go in, and a [`Ready`] comes out that says what to
//! write, to send and to apply. It does no I/O and reads no clock. [`disk::Store`] keeps what it writes.
//!
//! The loop of the program, for one partition:
//!
//! ```no_run
//! use grebeusher_quorum::disk::{Identity, Store};
//! use grebeusher_quorum::{Group, Index, Message, Replica, ReplicaId, Timing};
//! use grebeusher_time::{Instant, Duration};
//! # fn now() -> Instant { Instant(0) }
//! # fn random() -> u64 { 4 }
//! # fn send(to: ReplicaId, message: Message) {}
//! # fn next_message(until: Instant) -> Option<Message> { None }
//! # fn load(bytes: &[u8]) {}
//! # fn apply(index: Index, command: &[u8]) {}
//! # fn snapshot_of_application() -> Vec<u8> { Vec::new() }
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let identity = Identity::load_or_create("data".as_ref(), random())?;
//! let (mut store, restored) = Store::open("data/partition-0".as_ref())?;
//! let timing = Timing {
//!     heartbeat_interval: Duration::from_millis(50),
//!     election_timeout_min: Duration::from_millis(500),
//!     election_timeout_max: Duration::from_millis(900),
//!     lease_duration: Duration::from_millis(400),
//! };
//! let mut replica = Replica::new(identity.id, restored, timing, random(), now());
//! // Only where the system starts for the first time, on each replica that the group names:
//! replica.bootstrap(Group::of([identity.id, ReplicaId(2), ReplicaId(3)]))?;
//! loop {
//!     while replica.has_ready() {
//!         let ready = replica.take_ready();
//!         ready.immediate_messages.into_iter().for_each(|(to, message)| send(to, message));
//!         store.write(&ready.writes)?;
//!         if ready.must_sync {
//!             store.sync()?;
//!         }
//!         replica.synced();
//!         ready.messages.into_iter().for_each(|(to, message)| send(to, message));
//!         if let Some(restore) = ready.restore {
//!             load(restore.bytes.as_slice());
//!         }
//!         for committed in ready.committed {
//!             apply(committed.index, committed.payload.as_slice());
//!         }
//!         if replica.log_bytes() > 4 * 1024 * 1024 {
//!             replica.compact(ready.applied, snapshot_of_application())?;
//!         }
//!     }
//!     // Take in all that waits before the next batch: one sync then serves it all.
//!     match next_message(replica.next_wake()) {
//!         Some(message) => replica.receive(now(), message.from, message),
//!         None => replica.tick(now()),
//!     }
//!     // replica.propose(now(), command), and reads while replica.lease_holds(now()).
//! }
//! # }
//! ```
//!
//! A failed write or sync is an error upward: the program drops replica and store, and ends or opens them anew by
//! [`disk::Store::open_after_failure`]. A replica that was not told that something is synced must not go on.

#![warn(missing_docs)]

pub mod disk;

mod blob;
mod entry;
mod error;
mod group;
mod ids;
mod message;
mod progress;
mod raft_log;
mod ready;
mod replica;
mod timing;

pub use blob::Blob;
pub use entry::{Entry, HardState, Payload, RestoredState, Snapshot, Write};
pub use error::{BootstrapError, ChangeError, CompactError, ProposeError, TransferLeadershipError};
pub use group::{Group, MAX_VOTERS};
pub use ids::{ClusterId, Index, Position, ReplicaId, Term};
pub use message::{
    Append, AppendOutcome, AppendResponse, Body, DecodeError, LeaderTimestamp, MAX_MESSAGE, Message,
    SnapshotChunk, SnapshotChunkResponse, VoteRequest, VoteResponse, decode, encode,
};
pub use ready::{Committed, Ready, Restore};
pub use replica::Replica;
pub use timing::Timing;

/// The largest command, in bytes.
pub const MAX_COMMAND: usize = 4 * 1024 * 1024;

/// The largest snapshot, in bytes.
pub const MAX_SNAPSHOT: usize = 64 * 1024 * 1024;

/// The entries of one message, in bytes; a single larger entry goes alone.
pub const MAX_APPEND: usize = 96 * 1024;

/// The largest piece of a snapshot in one message, in bytes.
pub const MAX_CHUNK: usize = 96 * 1024;
