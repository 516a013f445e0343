//! What may be tuned. The defaults are what the simulation in `tests/` was tuned to.

use grebeusher_time::Duration;

/// A token that comes out costs an executor as much as ten of the prompt: at a full batch of some twenty a step
/// of two milliseconds makes one token for each, and a millisecond reads over a hundred tokens of a prompt.
pub const TOKENS_PER_TOKEN_OUT: u32 = 10;

/// The most lanes of a service.
pub const MAX_LANES: usize = 4;

/// Free choices of the design and bounds of its exceptions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Part of a service's executors in each lane, the lane of the smallest sizes first; two lanes at least on the
    /// ordinary path. Lanes that count for nothing (0) are left out.
    pub lanes: [f64; MAX_LANES],
    /// Sizes that the cut-offs are made of.
    pub sample: usize,
    /// Below so many sizes one lane holds every executor.
    pub fewest: usize,
    /// How often the cut-offs are computed.
    pub recompute: Duration,
    /// Shared tokens of a prompt from which on its parts count; reading fewer is not worth any unevenness.
    pub least_stake: u32,
    /// Utilisation from which on an executor is no home to anything.
    pub home_bound: f64,
    /// How many times as long as the shared parts take to read anew a request may have to wait at their home: for a
    /// place, for what this node sent there and is not read yet, and beyond what is usual by its last requests.
    pub home_patience: f64,
    /// The part of its reading that an executor gives to one subject; one in more demand, by this node's sends and the
    /// number of nodes, has as many more homes.
    pub home_part: f64,
    /// How many executors of the rendezvous order are looked at as homes of a subject in usual demand.
    pub homes: usize,
    /// Whether the nodes share one sense of which prefixes are popular; else each judges by its own sends.
    /// Off: at lipa-katalog-grown batch items came later with it, whatever the seed.
    pub shared_prefixes: bool,
    /// Unread tokens of this node's that make an executor as good as full in the weighted pick.
    pub unread_full: u64,
    /// How much of an executor counts as taken for each time that the events of own streams there come slower than
    /// those of the whole service: it reads long prompts between the tokens, of whichever node.
    pub slow_weight: f64,
    /// How much more an executor of the node's own zone counts in the pick: bytes between zones are priced.
    pub near: f64,
    /// Whether a request with a stake, while none of the lane has room, goes only into the queue of a home: read anew
    /// elsewhere it would delay all that wait there.
    pub queue_at_home: bool,
    /// The part of the time left to the objective for which a request may wait in an executor's queue.
    pub queue_part: f64,
    /// Part of an executor's slots that batch items leave free at least, and at most.
    pub batch_reserve: (f64, f64),
    /// Unread tokens of batch items at one executor, from which on it gets no further item: prompts read between
    /// the tokens of live requests slow these down.
    pub batch_unread: u64,
}

impl Policy {
    /// The parts of the lanes that count.
    pub(crate) fn lane_parts(&self) -> Vec<f64> {
        let sound = |part: &f64| part.is_finite() && *part > 0.0;
        let parts: Vec<f64> = self.lanes.iter().copied().filter(sound).collect();
        if parts.is_empty() { vec![1.0] } else { parts }
    }
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            lanes: [1.0, 3.0, 0.0, 0.0],
            sample: 1000,
            fewest: 50,
            recompute: Duration::from_millis(5000),
            least_stake: 1024,
            home_bound: 2.0,
            home_patience: 1.5,
            home_part: 0.2,
            homes: 2,
            shared_prefixes: false,
            unread_full: 48_000,
            slow_weight: 0.25,
            near: 2.0,
            queue_at_home: true,
            queue_part: 0.4,
            batch_reserve: (0.125, 0.5),
            batch_unread: 2_000,
        }
    }
}
