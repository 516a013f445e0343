//! Roll-outs: what was acknowledged, how it ended, and how many requests a bad version got.

use super::requests::Arrival;
use super::{Judge, Rule};
use crate::operators::{RolloutOrder, RolloutState};
use grebeusher_time::{DurationExt, Instant};

/// The version that executors have before any roll-out.
const FIRST_VERSION: &str = "v1";
/// From so many bad answers on a version has to be taken back.
const BAD_ANSWERS: u64 = 50;

/// A roll-out, as the operators and the executors have seen it.
#[derive(Debug)]
pub(super) struct Rollout {
    order: RolloutOrder,
    sent: Instant,
    deadline: Instant,
    acknowledged: bool,
    /// The end that was shown.
    ended: Option<RolloutState>,
    /// Requests that reached the service between the order and its deadline.
    requests: u64,
    /// Of these, at the new version.
    exposed: u64,
    bad_answers: u64,
    /// When the 50th bad answer was given.
    is_bad_since: Option<Instant>,
}

/// What follows from what a node shows of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutNews {
    /// Nothing that was not known.
    Nothing,
    /// It has ended like this.
    Ended(RolloutState),
    /// A later order of its service has taken its place.
    Superseded,
}

/// What a node shows of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShownRollout {
    /// How far it is; nothing: the node knows of none.
    pub state: Option<RolloutState>,
    /// The version that it names.
    pub target: String,
}

impl Judge {
    /// The operators send an order.
    pub fn rollout_sent(&mut self, order: &RolloutOrder, deadline: Instant, sent: Instant) {
        self.rollouts.push(Rollout {
            order: order.clone(),
            sent,
            deadline,
            acknowledged: false,
            ended: None,
            requests: 0,
            exposed: 0,
            bad_answers: 0,
            is_bad_since: None,
        });
    }

    /// It is acknowledged.
    pub fn rollout_acknowledged(&mut self, order: &RolloutOrder) {
        let Some(found) = self.rollouts.iter_mut().find(|rollout| rollout.order == *order) else { return };
        if !std::mem::replace(&mut found.acknowledged, true) {
            self.counts.rollouts += 1;
        }
    }

    /// A node shows how far a roll-out is that was acknowledged. An end is news when it is shown for the first time.
    pub fn rollout_shown(&mut self, order: &RolloutOrder, shown: &ShownRollout, at: Instant) -> RolloutNews {
        let is_later = |later: &Rollout, sent: Instant| {
            later.order.is(&order.service, &shown.target) && later.sent > sent
        };
        let Some(index) = self.rollouts.iter().position(|rollout| rollout.order == *order) else {
            return RolloutNews::Nothing;
        };
        let sent = self.rollouts[index].sent;
        if shown.state.is_some() && self.rollouts.iter().any(|later| is_later(later, sent)) {
            return RolloutNews::Superseded;
        }
        let ended = self.rollouts[index].ended;
        let Some(state) = shown.state else {
            self.breach(Rule::Lost, at, format!("the roll-out of {} is not known any more", order.service));
            return RolloutNews::Nothing;
        };
        if shown.target != order.target || ended.is_some_and(|ended| ended != state) {
            let what = format!("the roll-out {order:?} was {ended:?} and is shown as {shown:?}");
            self.breach(Rule::Lost, at, what);
            return RolloutNews::Nothing;
        }
        if state == RolloutState::Active || ended.is_some() {
            return RolloutNews::Nothing;
        }
        self.rollouts[index].ended = Some(state);
        match state {
            RolloutState::Complete => self.counts.completed += 1,
            RolloutState::Reverted => self.counts.reverted += 1,
            RolloutState::Active => {}
        }
        RolloutNews::Ended(state)
    }

    /// A version gave a bad answer by its own fault.
    pub fn bad_answer(&mut self, service: &str, version: &str, at: Instant) {
        let is_of = |rollout: &&mut Rollout| rollout.order.is(service, version);
        let Some(found) = self.rollouts.iter_mut().find(is_of) else { return };
        found.bad_answers += 1;
        if found.bad_answers == BAD_ANSWERS {
            found.is_bad_since = Some(at);
        }
    }

    /// A request reaches an executor of a version that an order permits, and not for too long if the version is bad.
    pub(super) fn check_version_of_executor(&mut self, arrival: &Arrival<'_>) {
        let Arrival { at, service, version, attempt, instance, from, .. } = *arrival;
        for rollout in self.rollouts.iter_mut().filter(|rollout| rollout.order.service == service) {
            let is_new = rollout.order.target == version;
            if at <= rollout.deadline {
                rollout.requests += 1;
                rollout.exposed += u64::from(is_new);
            }
            self.counts.new_version_runs += u64::from(is_new);
        }
        if version == FIRST_VERSION {
            return;
        }
        let Some(rollout) = self.rollouts.iter().find(|rollout| rollout.order.is(service, version)) else {
            let what = format!("{attempt} ran at {instance}, whose version {version} nobody ordered");
            return self.breach(Rule::Route, at, what);
        };
        let Some(since) = rollout.is_bad_since else { return };
        if arrival.came > since + self.bounds.rollback && self.in_touch(from, since, arrival.came) {
            let late = arrival.came.since(since).seconds();
            let what = format!("{attempt} reached {service} {version} {late:.3} s after its 50th bad answer");
            self.breach(Rule::Exposure, at, what);
        }
    }

    /// A bad version got no more than its share.
    pub(super) fn check_exposure(&mut self, at: Instant) {
        let (share, slack) = (self.bounds.exposure_share, self.bounds.exposure_slack);
        let allowed = |rollout: &Rollout| (rollout.requests as f64 * share) as u64 + slack;
        let over = self.rollouts.iter().filter(|r| r.order.is_bad && r.exposed > allowed(r));
        let breaches: Vec<String> = over
            .map(|rollout| {
                let Rollout { order, sent, exposed, requests, .. } = rollout;
                format!(
                    "bad {} {}, ordered at {:.3} s, got {exposed} of {requests} requests",
                    order.service,
                    order.target,
                    sent.0 as f64 / 1e9
                )
            })
            .collect();
        breaches.into_iter().for_each(|what| self.breach(Rule::Exposure, at, what));
    }
}
