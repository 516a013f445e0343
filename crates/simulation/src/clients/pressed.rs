//! Requests that come just when a node may be behind: after a drain or a change was acknowledged, and after a node is back.

use super::{Clients, LIVE_ROUTES, PRESSED, wake};
use crate::judge::Kind;
use crate::stage::{Class, Machine, Stage};
use grebeusher_time::{Duration, DurationExt};
use std::net::SocketAddrV4;

/// One request that waits for its moment.
#[derive(Clone, Debug)]
pub(super) struct Pressed {
    prefix: String,
    kind: Kind,
    to: (usize, SocketAddrV4),
}

/// A route of each service that requests are pressed on.
const ROUTE_OF_SERVICE: [(&str, &str, Kind); 3] = [
    ("model-a", "/suggest/", Kind::Resumable),
    ("plain", "/look/", Kind::Idempotent),
    ("other", "/moving/", Kind::Idempotent),
];
/// Requests to each node that are to show whether it knows of a drain.
const AFTER_DRAIN: u64 = 2;
/// Probes to each node that serves the configuration's leaders, after a change.
const AFTER_CHANGE: u64 = 30;
/// Probes to a node that is back.
const AFTER_RETURN: u64 = 30;
/// Probes to a node that is back without its disk, and learns all anew.
const AFTER_WIPE: u64 = 300;
/// Between two requests on a route to a node that stops.
const STOPPING_REQUEST_INTERVAL: Duration = Duration::from_millis(400);

impl Clients {
    /// A drain of an executor of a service was acknowledged: requests for the service go to all nodes at once.
    pub fn press_after_drain(&mut self, service: &str, stage: &mut Stage<'_>) {
        let Some((_, prefix, kind)) = ROUTE_OF_SERVICE.iter().find(|(name, ..)| *name == service) else {
            return;
        };
        for to in fronts(stage, |_| true) {
            self.press(prefix, *kind, to, AFTER_DRAIN, Duration::from_millis(1), stage);
        }
    }

    /// A change was acknowledged: probes of the newest version go to the nodes that hold replicas, which hear of a change
    /// in two ways.
    pub fn press_after_change(&mut self, version: u64, stage: &mut Stage<'_>) {
        for to in fronts(stage, |machine| machine.counted) {
            self.press(
                &format!("/v{version}/"),
                Kind::Idempotent,
                to,
                AFTER_CHANGE,
                Duration::from_millis(8),
                stage,
            );
        }
    }

    /// A node is back from a cut or a freeze.
    pub fn press_after_return(&mut self, host: usize, stage: &mut Stage<'_>) {
        let newest = stage.judge.newest_acknowledged();
        for to in fronts(stage, |machine| machine.host == host) {
            self.press(
                &format!("/v{newest}/"),
                Kind::Idempotent,
                to,
                AFTER_RETURN,
                Duration::from_millis(4),
                stage,
            );
        }
    }

    /// A node is back without its disk: its replica is told of all changes again, the oldest first.
    pub fn press_after_wipe(&mut self, host: usize, stage: &mut Stage<'_>) {
        let newest = stage.judge.newest_acknowledged();
        for to in fronts(stage, |machine| machine.host == host) {
            self.press(
                &format!("/v{newest}/"),
                Kind::Idempotent,
                to,
                AFTER_WIPE,
                Duration::from_millis(10),
                stage,
            );
        }
    }

    /// Requests go to a node that is about to be stopped.
    pub fn press_before_stop(&mut self, host: usize, stage: &mut Stage<'_>) {
        for to in fronts(stage, |machine| machine.host == host) {
            for (_, prefix, kind) in ROUTE_OF_SERVICE {
                self.press(prefix, kind, to, 2, Duration::from_millis(1), stage);
            }
        }
    }

    /// Requests go on coming to a node that was told to stop, as where the platform has no other one.
    pub fn press_while_stopping(&mut self, host: usize, grace: Duration, stage: &mut Stage<'_>) {
        let count = (grace.nanos() / STOPPING_REQUEST_INTERVAL.nanos()).max(1);
        for to in fronts(stage, |machine| machine.host == host) {
            for (prefix, kind) in LIVE_ROUTES {
                self.press(prefix, kind, to, count, STOPPING_REQUEST_INTERVAL, stage);
            }
        }
    }

    fn press(
        &mut self,
        prefix: &str,
        kind: Kind,
        to: (usize, SocketAddrV4),
        count: u64,
        apart: Duration,
        stage: &mut Stage<'_>,
    ) {
        let now = stage.now();
        if now >= self.until || !self.begun {
            return;
        }
        for place in 0..count {
            self.pressed.push(Some(Pressed { prefix: prefix.to_owned(), kind, to }));
            wake(stage, now + apart.scaled(place as f64), PRESSED, self.pressed.len() as u64 - 1);
        }
    }

    pub(super) fn pressed_due(&mut self, place: u64, stage: &mut Stage<'_>) {
        let waiting = self.pressed.get_mut(place as usize).and_then(Option::take);
        if let Some(Pressed { prefix, kind, to }) = waiting {
            self.new_live(prefix, kind, true, Some(to), stage);
        }
    }
}

/// The nodes that get clients and that fit.
pub(super) fn fronts(stage: &Stage<'_>, fits: impl Fn(&Machine) -> bool) -> Vec<(usize, SocketAddrV4)> {
    let ready = stage.machines.iter().filter(|m| m.class == Class::Edge && m.listed && m.life.is_some());
    ready.filter(|m| fits(m)).map(|machine| (machine.host, machine.frontend())).collect()
}
