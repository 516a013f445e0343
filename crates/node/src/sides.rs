//! What the exchange asks of its sides. They know the exchange and it knows them by these alone.

use crate::memory::parts::{Of, Spends};
use crate::memory::units::Errand;
use grebeusher_dispatch::AttemptOutcome;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_faktory::reservations::Standing;
use std::net::SocketAddr;

/// Whom an answer goes to: a connection's place, and which of those that it had.
pub type CallerId = (usize, u64);

/// Clients, and who calls back.
pub trait Front {
    /// The final answer to the client of a unit.
    fn answer(&self, unit: RequestId, status: u16, come_back: Option<Duration>, body: &[u8]);
    /// Whether the client of a unit is still there, as of this moment.
    fn waits(&self, unit: RequestId) -> bool;
    /// The answer to a call-back that went to another process of this node.
    fn passed_on(&self, caller: CallerId, status: u16);
}

/// Who holds descriptors that others may need more.
pub trait Room {
    /// Closes one connection that can be spared; `false` if there is none.
    fn makes_room(&self) -> bool;
}

/// Executors.
pub trait Workers {
    fn allocate(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        errand: &Errand,
        time_out: Duration,
    );
    /// Gives up an allocation: before it was taken by closing its connection, later by asking for it.
    fn give_up(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        errand: &Errand,
        accepted: bool,
    );
    /// Asks for a job back that may have been taken though nothing was heard of it; its allocation ends after that.
    fn ask_back(
        &self,
        id: AttemptId,
        executor: ExecutorId,
        address: Option<SocketAddr>,
        errand: &Errand,
        ending: AttemptOutcome,
    );
    fn probe(&self, executor: ExecutorId, address: Option<SocketAddr>);
    /// Closes idle connections to an executor but those to this address.
    fn forget(&self, executor: ExecutorId, but: Option<SocketAddr>);
}

/// Discovery.
pub trait List {
    /// Asks to be told of changes.
    fn follow(&self);
}

/// The Faktory front.
pub trait Pushes {
    /// The final answer to a unit that was pushed as a job; `false` if it was not.
    fn answer(&self, unit: RequestId, status: u16) -> bool;
    /// Hands a job to a worker; `false` if it can't be.
    fn hand(&self, worker: usize, id: AttemptId, errand: &Errand, time_out: Duration) -> bool;
    fn not_handed(&self, id: AttemptId);
    fn withdraw(&self, id: AttemptId);
    /// The workers that are there.
    fn workers(&self) -> Vec<(String, Standing)>;
}

/// The other nodes of the fleet, where there are some to talk to.
pub trait Talk {
    /// Sends a word of the decisions to one node, by its number, or to all; it may get lost.
    fn tell(&self, node: Option<u64>, word: &[u8]);
    /// An executor, by the hash of its name, was gone then, or had started by then.
    fn has_seen(&self, executor: u64, at: Instant, gone: bool);
    /// Spends of the fleet's budgets, or says that this node has none now.
    fn may_spend(&self, spends: Spends, of: Of) -> bool;
    /// The same for what has waited for a part.
    fn may_spend_after_all(&self, spends: Spends, of: Of) -> bool;
}

/// Other processes of this node.
pub trait Relatives {
    /// Passes a call-back on; `false` if there is nobody.
    fn pass_on(&self, caller: CallerId, body: &[u8]) -> bool;
}
