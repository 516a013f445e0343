//! The other voters as this voter knows them: the incarnation that last sent a datagram, when, and its group.

use grebeusher_dispatch::time::{Duration, Instant};

use crate::fragments::Reassembler;
use crate::incarnation::Incarnation;

/// A peer counts as alive for this long after its last datagram: three hello intervals and a margin.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1000);

/// Another voter, as its last datagram described it.
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    /// The id of the group that the peer belongs to, if any.
    pub(crate) group: Option<u64>,
    /// When this voter last received a datagram from the peer.
    pub(crate) last_heard_at: Instant,
    pub(crate) reassembler: Reassembler,
}

/// The known peers by voter index. This voter, and voters that it has received no datagram from, have no entry.
pub(crate) struct Peers {
    own_index: usize,
    by_index: Vec<Option<Peer>>,
}

impl Peers {
    pub(crate) fn new(own_index: usize, voter_count: usize) -> Peers {
        Peers { own_index, by_index: (0..voter_count).map(|_| None).collect() }
    }

    /// Records that a datagram of an incarnation was received. Returns its peer, or none if the incarnation is not one
    /// of another voter.
    pub(crate) fn record(&mut self, now: Instant, incarnation: Incarnation) -> Option<&mut Peer> {
        let index = incarnation.voter();
        let entry = self.by_index.get_mut(index).filter(|_| index != self.own_index)?;
        if entry.as_ref().is_none_or(|peer| peer.incarnation != incarnation) {
            let reassembler = Reassembler::default();
            *entry = Some(Peer { incarnation, group: None, last_heard_at: now, reassembler });
        }
        let peer = entry.as_mut()?;
        peer.last_heard_at = now;
        Some(peer)
    }

    /// Returns the peers whose last datagram was received within [`LIVENESS_TIMEOUT`].
    pub(crate) fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.by_index.iter().flatten().filter(move |peer| now.since(peer.last_heard_at) <= LIVENESS_TIMEOUT)
    }

    /// Whether this voter has last received a datagram of another incarnation of the same voter, so that `incarnation`
    /// has ended for good.
    pub(crate) fn has_replaced(&self, incarnation: Incarnation) -> bool {
        let peer = self.by_index.get(incarnation.voter()).and_then(Option::as_ref);
        peer.is_some_and(|peer| peer.incarnation != incarnation)
    }
}
