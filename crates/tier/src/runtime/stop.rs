//! Graceful shutdown of a process. It reports itself not ready at once, accepts new requests until the platform has noticed
//! that, and then completes the requests in progress.
//!
//! If the platform can reach no other node, it sends requests to this one until the process exits. A process that shuts
//! down therefore accepts only requests that it can still complete: see [`GracefulShutdown::accepts`].

use crate::control::partitions::HandOver;
use crate::node::Node;
use crate::requests::exchange::{ClientRequest, allowed_response_time};
use crate::requests::server::{busy_connection_count, close_idle_connections, pending_responses};
use crate::requests::server_connection::PendingResponse;
use crate::runtime::io::World;
use crate::runtime::start::losses_of;
use grebeusher_configuration::configuration::{Route, RouteType};
use grebeusher_configuration::settings::{Settings, SettingsError};
use grebeusher_time::{Duration, DurationExt, Instant};
use grebeusher_transport::http;
use snafu::Snafu;
use std::io;
use tracing::warn;

/// The minimum time from SIGTERM to the exit. The platform notices that a node is not ready after two checks, a second apart;
/// until then it sends new connections.
const SERVE_WHILE_STOPPING_DURATION: Duration = Duration::from_millis(2600);
/// How long after SIGTERM every request that is read is accepted. The operators tolerate that a request is cut off which was
/// sent in the first three seconds and still runs in the last sixth of the grace period; the difference to three seconds
/// allows for the transfer of the request and a late signal.
const ACCEPT_ALL_DURATION: Duration = Duration::from_millis(2400);
/// How long before the end of the grace period, when it would be killed, the process exits: this duration, or the share
/// [`EXIT_MARGIN_SHARE`] of the grace period if that is shorter.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// The maximum share of the grace period that remains after the exit.
const EXIT_MARGIN_SHARE: f64 = 0.125;
/// The minimum time between the time-out of a request and the exit, in which the answer is sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// The typical time of an unstreamed response as a multiple of the latency objective of the route: most responses take less.
/// A request that takes longer is answered 504 at the exit.
const TYPICAL_LATENCY_OBJECTIVES: f64 = 4.0;
/// The minimum of the typical time of an unstreamed response.
const MIN_TYPICAL_RESPONSE_TIME: Duration = Duration::from_millis(1000);
/// The value of `Retry-After` in the answer to a refused request, in seconds. It is short, as another node can serve the
/// request at once.
const RETRY_ELSEWHERE_S: &str = "0.1";

/// The times of the shutdown of a process that has received SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulShutdown {
    /// When SIGTERM was received.
    since: Instant,
    exits_at: Instant,
}

impl GracefulShutdown {
    /// Starts the shutdown of a process that has received SIGTERM at `since` and would be killed `grace` later.
    pub fn new(since: Instant, grace: Duration) -> GracefulShutdown {
        let margin = EXIT_MARGIN.min(grace.scaled(EXIT_MARGIN_SHARE));
        GracefulShutdown { since, exits_at: since + grace.saturating_sub(margin) }
    }

    /// Returns when the process exits at the latest.
    pub fn exits_at(&self) -> Instant {
        self.exits_at
    }

    /// Whether the process may exit once no request is in progress.
    pub fn may_exit(&self, now: Instant) -> bool {
        now.since(self.since) >= SERVE_WHILE_STOPPING_DURATION
    }

    /// Whether an operation that takes at most `max_duration` from now on ends before the process exits.
    pub fn ends_in_time(&self, now: Instant, max_duration: Duration) -> bool {
        now + max_duration + ANSWER_MARGIN <= self.exits_at
    }

    /// Whether a request that is read now is still accepted: at first every request, later those that end before the exit. The
    /// whole time-out of a stream must fit, as a stream can't be completed otherwise once its head is sent. Of an unstreamed
    /// response the typical time must fit.
    pub fn accepts(&self, now: Instant, route: &Route, time_left: Duration) -> bool {
        if now.since(self.since) < ACCEPT_ALL_DURATION {
            return true;
        }
        let max_duration = match route.route_type {
            RouteType::Streaming => time_left,
            _ => {
                let typical_time =
                    Duration::from_millis(route.target_latency_ms).scaled(TYPICAL_LATENCY_OBJECTIVES);
                time_left.min(MIN_TYPICAL_RESPONSE_TIME.max(typical_time))
            }
        };
        self.ends_in_time(now, max_duration)
    }
}

/// The error of a failed reload of the settings.
#[derive(Debug, Snafu)]
enum ReloadError {
    /// The settings file can't be read.
    #[snafu(display("{source}"), context(false))]
    Unreadable {
        /// The error of the operating system.
        source: io::Error,
    },
    /// A field of the settings is invalid.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// The invalid field and a description of its valid values.
        source: SettingsError,
    },
}

fn reread_settings(world: &dyn World) -> Result<Settings, ReloadError> {
    Ok(Settings::read(&world.settings()?)?)
}

impl Node {
    /// Starts the graceful shutdown: the node announces that it leaves and hands its leaderships over.
    pub(crate) fn begin_shutdown(&mut self) {
        let shutdown =
            GracefulShutdown::new(self.now, Duration::from_seconds(self.settings.bounds.grace_period_s));
        self.shutdown = Some(shutdown);
        self.alarms.set(shutdown.exits_at(), crate::runtime::timers::Timer::Exit);
        self.registry.leave(self.now);
        self.hand_over_partitions(HandOver::First);
    }

    /// Refuses a client's request that would not end before this process exits, and returns whether it did. No part of the
    /// request has left this node, so that the client can rely on the refusal.
    pub(crate) fn refuse_if_too_late(
        &mut self,
        connection: usize,
        request: &ClientRequest,
        route: &Route,
    ) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        let time_left = allowed_response_time(&request.head.headers, route);
        if shutdown.accepts(self.now, route, time_left) {
            return false;
        }
        self.requests.counters.refused += 1;
        self.answer_refusal(connection);
        true
    }

    /// Refuses a call that may wait for another node for up to `max_duration` if this process may exit earlier, and returns
    /// whether it did.
    pub(crate) fn refuse_call_if_too_late(&mut self, connection: usize, max_duration: Duration) -> bool {
        if self.shutdown.is_none_or(|shutdown| shutdown.ends_in_time(self.now, max_duration)) {
            return false;
        }
        self.answer_refusal(connection);
        true
    }

    /// Answers 503 with a short `Retry-After`.
    fn answer_refusal(&mut self, connection: usize) {
        let serial = self.serial(connection);
        self.answer(connection, serial, http::answer(503, &[("Retry-After", RETRY_ELSEWHERE_S)], b""));
    }

    /// Exits the process if the platform has noticed the shutdown and no request is in progress.
    pub(crate) fn exit_when_idle(&mut self) {
        if !self.shutdown.is_some_and(|shutdown| shutdown.may_exit(self.now)) {
            return;
        }
        close_idle_connections(&mut self.connections);
        if busy_connection_count(&self.connections) == 0 && self.requests.exchange_count() == 0 {
            self.exit_now();
        }
    }

    /// Exits the process with this turn of the loop: answers all clients that wait, and announces to the other nodes that this
    /// node has left, so that they don't wait for it.
    pub(crate) fn exit_now(&mut self) {
        for pending in pending_responses(&self.connections) {
            match pending {
                PendingResponse::Exchange(exchange) => {
                    self.with_requests(|requests, context| requests.stop_exchange(context, exchange));
                }
                // Another node may have executed the call.
                PendingResponse::Call(connection) => {
                    let serial = self.serial(connection);
                    self.answer(connection, serial, http::answer(504, &[], b""));
                }
            }
        }
        self.registry.left(self.now);
        self.exit = true;
    }

    /// Reads the settings file again. If it is unreadable or invalid, the settings do not change.
    pub fn reload_settings(&mut self) {
        match reread_settings(&*self.world) {
            Ok(settings) => {
                // The other settings, such as addresses, name and disk, never change while the process runs.
                self.settings.bounds = settings.bounds;
                self.settings.seed_nodes = settings.seed_nodes;
                self.settings.fault_tolerance = settings.fault_tolerance;
                self.registry.set_losses(losses_of(&self.settings));
            }
            Err(error) => warn!(%error, "settings file not reloaded"),
        }
    }
}
