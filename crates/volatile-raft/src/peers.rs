//! What this voter knows of the others: which incarnation was last heard, when, and of which group.

use grebeusher_dispatch::time::{Duration, Instant};

use crate::fragments::Reassembler;
use crate::incarnation::Incarnation;

/// For how long a peer that was heard counts as alive: three hellos.
const LIVENESS_TTL: Duration = Duration::from_millis(1000);

/// Another voter, as it was last heard.
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    pub(crate) group: Option<u64>,
    pub(crate) last_heard: Instant,
    pub(crate) reassembler: Reassembler,
}

/// All voters by their index, of which this one and those that were never heard have no entry.
pub(crate) struct Peers {
    own: usize,
    by_voter: Vec<Option<Peer>>,
}

impl Peers {
    pub(crate) fn new(own: usize, voters: usize) -> Peers {
        Peers { own, by_voter: (0..voters).map(|_| None).collect() }
    }

    /// Records that an incarnation was heard; none if it is of no other voter.
    pub(crate) fn record(&mut self, now: Instant, incarnation: Incarnation) -> Option<&mut Peer> {
        let voter = incarnation.voter();
        let known = self.by_voter.get_mut(voter).filter(|_| voter != self.own)?;
        if known.as_ref().is_none_or(|peer| peer.incarnation != incarnation) {
            let reassembler = Reassembler::default();
            *known = Some(Peer { incarnation, group: None, last_heard: now, reassembler });
        }
        let peer = known.as_mut()?;
        peer.last_heard = now;
        Some(peer)
    }

    /// The peers that were heard lately.
    pub(crate) fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.by_voter.iter().flatten().filter(move |peer| now.since(peer.last_heard) <= LIVENESS_TTL)
    }

    /// Whether another incarnation of the same voter has been heard, so that this one is gone for good.
    pub(crate) fn has_replaced(&self, incarnation: Incarnation) -> bool {
        let peer = self.by_voter.get(incarnation.voter()).and_then(Option::as_ref);
        peer.is_some_and(|peer| peer.incarnation != incarnation)
    }
}
