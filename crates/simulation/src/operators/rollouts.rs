//! Orders to roll a version out, and the questions how far they are.

use super::{Operators, Order, SEND_DURATION};
use crate::judge::{RolloutNews, ShownRollout};
use crate::stage::Stage;
use grebeusher_time::{Duration, DurationExt, Instant};
use std::fmt;
use tinyjson::JsonValue;

/// Between two questions how far a roll-out is.
pub(super) const SHOW_INTERVAL: Duration = Duration::from_millis(400);
/// For so long the end of a roll-out is asked for at the end of a day.
const LAST_SHOW_DURATION: Duration = Duration::from_millis(60_000);

/// An order to roll a version out.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// The time for it, in seconds.
    pub ramp_s: f64,
    /// Whether the version is bad, which nobody but the judge knows.
    pub is_bad: bool,
}

impl RolloutOrder {
    /// Whether it is for a version of a service.
    pub fn is(&self, service: &str, version: &str) -> bool {
        self.service == service && self.target == version
    }
}

impl fmt::Display for RolloutOrder {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "the roll-out of {} to {}", self.service, self.target)
    }
}

/// How far a roll-out is, as nodes show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Under way.
    Active,
    /// The new version is in force.
    Complete,
    /// The version before it is in force.
    Reverted,
}

impl Operators {
    /// Sends an order.
    pub fn begin_rollout(&mut self, order: RolloutOrder, stage: &mut Stage<'_>) {
        let sent = stage.now();
        let deadline = sent + Duration::from_seconds(order.ramp_s);
        stage.judge.rollout_sent(&order, deadline, sent);
        let body = format!(
            "{{\"service\":\"{}\",\"target_version\":\"{}\",\"ramp_s\":{}}}",
            order.service, order.target, order.ramp_s
        );
        self.add(Order::BeginRollout(order), body.into_bytes(), SEND_DURATION, stage);
    }

    /// An order is acknowledged: from now on the operators ask how far it is.
    pub(super) fn rollout_begun(&mut self, order: RolloutOrder, host: usize, stage: &mut Stage<'_>) {
        stage.judge.rollout_acknowledged(&order);
        self.rollouts_begun.push((order.clone(), host));
        self.acknowledged_rollouts.push(order.clone());
        self.add(Order::ShowRollout { order, last: false }, Vec::new(), SEND_DURATION, stage);
    }

    /// A node has answered how far a roll-out is. The question is asked again until there is an end.
    pub(super) fn rollout_shown(
        &mut self,
        number: u64,
        status: u16,
        body: &[u8],
        now: Instant,
        stage: &mut Stage<'_>,
    ) {
        let Some(Order::ShowRollout { order, last }) = self.tasks.get(&number).map(|task| task.order.clone())
        else {
            return;
        };
        let news = stage.judge.rollout_shown(&order, &read_shown(status, body), now);
        if last {
            self.tasks.remove(&number);
            return;
        }
        match news {
            RolloutNews::Ended(state) => {
                self.tasks.remove(&number);
                self.rollouts_ended.push((order, state));
            }
            // Only the newest is shown. Its executors stay, as the operators never hear of its end.
            RolloutNews::Superseded => drop(self.tasks.remove(&number)),
            RolloutNews::Nothing => super::wake(stage, now + SHOW_INTERVAL, super::AGAIN, number),
        }
    }

    /// Asks for the last time how far each acknowledged roll-out is.
    pub fn show_rollouts(&mut self, stage: &mut Stage<'_>) {
        self.tasks.retain(|_, task| !matches!(task.order, Order::ShowRollout { .. }));
        // A later order of a service takes the place of those before it.
        let newest = self.acknowledged_rollouts.last().cloned();
        if let Some(order) = newest {
            self.add(Order::ShowRollout { order, last: true }, Vec::new(), LAST_SHOW_DURATION, stage);
        }
    }
}

fn read_shown(status: u16, body: &[u8]) -> ShownRollout {
    let unknown = ShownRollout { state: None, target: String::new() };
    if status != 200 {
        return unknown;
    }
    let fields = std::str::from_utf8(body).ok().and_then(|text| text.parse::<JsonValue>().ok());
    let field = |name: &str| {
        let fields: &std::collections::HashMap<String, JsonValue> = fields.as_ref()?.get()?;
        fields.get(name)?.get::<String>().cloned()
    };
    let state = match field("state").as_deref() {
        Some("active") => Some(RolloutState::Active),
        Some("complete") => Some(RolloutState::Complete),
        Some("reverted") => Some(RolloutState::Reverted),
        _ => None,
    };
    ShownRollout { state, target: field("target_version").unwrap_or_default() }
}
