//! Observations of executors, which nodes broadcast with the gossip. The latest observation of each executor wins.

use crate::Member;
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;

/// The maximum number of executors of which a node keeps observations. It exceeds the number of executors in any fleet,
/// so observations of further executors are invalid; the limit keeps them from filling the memory.
const MAX_EXECUTORS: usize = 10_000;

/// An observation of the process of an executor by a node. Other nodes treat it as a hint: if it is wrong, they only
/// act more cautiously than they need to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorObservation {
    /// The hash of the name of the executor.
    pub executor: u64,
    /// When the observation was made, in Unix milliseconds.
    pub at_ms: u64,
    /// Whether the process had ended at that time, so that a process seen later is a new start. If false, the process
    /// had started by that time.
    pub gone: bool,
}

/// The observations that this node has received.
#[derive(Default)]
struct Observations {
    /// When the latest observation of each executor was made, in Unix milliseconds.
    latest: BTreeMap<u64, u64>,
    /// The observations that were received and not yet reported to the host.
    unreported: Vec<ExecutorObservation>,
}

/// Handles the broadcasts that `foca` receives. All clones share one set of observations.
#[derive(Clone, Default)]
pub(crate) struct ObservationHandler(Rc<RefCell<Observations>>);

impl ObservationHandler {
    /// Takes the observations that were received since the last call.
    pub(crate) fn take_unreported(&self) -> Vec<ExecutorObservation> {
        std::mem::take(&mut self.0.borrow_mut().unreported)
    }
}

/// Identifies an observation in the broadcasts of `foca`, which drops it once a newer one of the same executor arrives.
pub(crate) struct ObservationKey {
    executor: u64,
    at_ms: u64,
}

impl Invalidates for ObservationKey {
    fn invalidates(&self, other: &ObservationKey) -> bool {
        self.executor == other.executor && self.at_ms >= other.at_ms
    }
}

impl BroadcastHandler<Member> for ObservationHandler {
    type Key = ObservationKey;
    type Error = Infallible;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&Member>,
    ) -> Result<Option<ObservationKey>, Infallible> {
        let Ok(observation) = postcard::from_bytes::<ExecutorObservation>(data) else { return Ok(None) };
        let ExecutorObservation { executor, at_ms, .. } = observation;
        let mut observations = self.0.borrow_mut();
        let known = observations.latest.get(&executor).copied();
        let is_full = observations.latest.len() >= MAX_EXECUTORS;
        if known.is_some_and(|known| known >= at_ms) || (known.is_none() && is_full) {
            return Ok(None);
        }
        observations.latest.insert(executor, at_ms);
        observations.unreported.push(observation);
        Ok(Some(ObservationKey { executor, at_ms }))
    }
}
