//! Observations of executors, broadcast with the gossip: the latest of each executor wins.

use crate::Member;
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;

/// The largest number of executors that observations are kept of. It exceeds every fleet, so that what lies beyond it
/// is invalid and must not fill the memory.
const MAX_EXECUTORS: usize = 10_000;

/// What some node has observed of an executor's process. A hint: an error in it costs others only caution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorObservation {
    /// The hash of the executor's name.
    pub executor: u64,
    /// When it was observed, in Unix milliseconds.
    pub at_ms: u64,
    /// Whether it was gone then, so that what comes back is a new start; else it had started by then.
    pub gone: bool,
}

/// The observations that this node has received.
#[derive(Default)]
struct Observations {
    /// When the latest observation of each executor was made, in Unix milliseconds.
    latest: BTreeMap<u64, u64>,
    /// Received and not yet handed to the host.
    unreported: Vec<ExecutorObservation>,
}

/// Receives the broadcasts for `foca`; its clones share one set of observations.
#[derive(Clone, Default)]
pub(crate) struct ObservationHandler(Rc<RefCell<Observations>>);

impl ObservationHandler {
    /// The observations that were received since the last call.
    pub(crate) fn take_unreported(&self) -> Vec<ExecutorObservation> {
        std::mem::take(&mut self.0.borrow_mut().unreported)
    }
}

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
