//! Raft with disk storage for one partition of the control state: elections with pre-vote, a leader's lease, joint
//! consensus, transfer of leadership, snapshots, and the files of a replica.
//!
//! The tier (`grebeusher-tier`) runs one [`Replica`] for each partition and applies its commands; the simulation runs
//! the same replicas on simulated links and disks. `grebeusher-volatile-raft` implements Raft without disks.
//!
//! [`Replica`] is a state machine without I/O or a clock: messages, time and proposals go in, and a [`Ready`] comes out
//! with what to write, to send and to apply. [`disk::Store`] is its storage. The invariants that the code relies on are
//! in `replica/mod.rs`.
//!
//! The program runs this loop for each partition:
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
//! // The program calls this only at the first start of the system, on each replica of the group:
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
//!     // Process all messages that wait before the next batch, so that they share one sync.
//!     match next_message(replica.next_wake()) {
//!         Some(message) => replica.receive(now(), message.from, message),
//!         None => replica.tick(now()),
//!     }
//!     // Commands go to replica.propose(now(), command). Reads are answered while replica.lease_holds(now()) is true.
//! }
//! # }
//! ```
//!
//! After a failed write or sync the program must drop the replica and its store. It may open the store again by
//! [`disk::Store::open_after_failure`].

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

/// The most bytes of entries in one message; an entry that is larger by itself is sent alone.
pub const MAX_APPEND: usize = 96 * 1024;

/// The most bytes of a snapshot in one message.
pub const MAX_CHUNK: usize = 96 * 1024;
