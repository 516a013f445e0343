//! How a process ends: not ready at once, then serving on until the platform sends nobody any more, then what is open.
//!
//! Where the platform has no other node in reach it goes on sending requests to one that stops, until its end. A stopping
//! process therefore takes only what it can still finish: see [`GracefulShutdown::accepts`].

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

/// The platform misses a node after two checks, a second apart; until then it sends new connections.
const SERVE_WHILE_STOPPING_DURATION: Duration = Duration::from_millis(2600);
/// Every request that is read in this time is taken. The operators bear that a request is cut which was sent in the first
/// three seconds and still ran in the last sixth of the grace period; the rest is for its way here and a late signal.
const ACCEPT_ALL_DURATION: Duration = Duration::from_millis(2400);
/// The process ends this long before it would be killed, or this part of the grace period before, whichever is shorter.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
const EXIT_MARGIN_SHARE: f64 = 0.125;
/// What is left between the last moment of a request's time and the end, for its answer to leave.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// An answer that is sent complete takes mostly less than this many latency objectives, and never counts as shorter than
/// `MIN_USUAL`. One that takes longer all the same hears 504 at the end.
const USUAL_OBJECTIVES: f64 = 4.0;
const MIN_USUAL: Duration = Duration::from_millis(1000);
/// The `Retry-After` of a rejected request: another node serves it at once (seconds).
const RETRY_ELSEWHERE_S: &str = "0.1";

/// The shutdown of a process that got SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulShutdown {
    since: Instant,
    exits_at: Instant,
}

impl GracefulShutdown {
    /// Of a process that got SIGTERM at `since`, and would be killed `grace` later.
    pub fn new(since: Instant, grace: Duration) -> GracefulShutdown {
        let margin = EXIT_MARGIN.min(grace.scaled(EXIT_MARGIN_SHARE));
        GracefulShutdown { since, exits_at: since + grace.saturating_sub(margin) }
    }

    /// When the process ends at the latest.
    pub fn exits_at(&self) -> Instant {
        self.exits_at
    }

    /// Whether the process may end as soon as nothing is under way.
    pub fn may_exit(&self, now: Instant) -> bool {
        now.since(self.since) >= SERVE_WHILE_STOPPING_DURATION
    }

    /// Whether something that lasts `longest` from now on is surely over when the process ends.
    pub fn ends_in_time(&self, now: Instant, longest: Duration) -> bool {
        now + longest + ANSWER_MARGIN <= self.exits_at
    }

    /// Whether a request that is read now is still taken: any at first, later those that are over in time. A stream must
    /// be, whatever happens, as nothing can complete it once its head is out; of a complete answer the usual time counts.
    pub fn accepts(&self, now: Instant, route: &Route, time_left: Duration) -> bool {
        if now.since(self.since) < ACCEPT_ALL_DURATION {
            return true;
        }
        let longest = match route.route_type {
            RouteType::Streaming => time_left,
            _ => {
                let usual = Duration::from_millis(route.target_latency_ms).scaled(USUAL_OBJECTIVES);
                time_left.min(MIN_USUAL.max(usual))
            }
        };
        self.ends_in_time(now, longest)
    }
}

/// Why the settings stay as they were read.
#[derive(Debug, Snafu)]
enum ReloadError {
    /// The file can't be read.
    #[snafu(display("{source}"), context(false))]
    Unreadable {
        /// What the system says.
        source: io::Error,
    },
    /// A field is wrong.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// The field and what was expected.
        source: SettingsError,
    },
}

fn read_again(world: &dyn World) -> Result<Settings, ReloadError> {
    Ok(Settings::read(&world.settings()?)?)
}

impl Node {
    /// Begins to stop: nobody is to be sent here any more, and others take over what this process leads.
    pub(crate) fn begin_shutdown(&mut self) {
        let shutdown =
            GracefulShutdown::new(self.now, Duration::from_seconds(self.settings.bounds.grace_period_s));
        self.shutdown = Some(shutdown);
        self.alarms.set(shutdown.exits_at(), crate::runtime::timers::Timer::Exit);
        self.registry.leave(self.now);
        self.hand_over_partitions(HandOver::First);
    }

    /// Refuses a client's request that would not be over before this process ends; whether it did. Nothing of it has left
    /// this node, so that the refusal is a promise.
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
        self.refuse_here(connection);
        true
    }

    /// Refuses a call that would wait for another node for up to `longest` if this process may end before; whether it did.
    pub(crate) fn refuse_call_if_too_late(&mut self, connection: usize, longest: Duration) -> bool {
        if self.shutdown.is_none_or(|shutdown| shutdown.ends_in_time(self.now, longest)) {
            return false;
        }
        self.refuse_here(connection);
        true
    }

    fn refuse_here(&mut self, connection: usize) {
        let serial = self.serial(connection);
        self.answer(connection, serial, http::answer(503, &[("Retry-After", RETRY_ELSEWHERE_S)], b""));
    }

    /// Ends the process once nothing is under way any more.
    pub(crate) fn exit_when_idle(&mut self) {
        if !self.shutdown.is_some_and(|shutdown| shutdown.may_exit(self.now)) {
            return;
        }
        close_idle_connections(&mut self.connections);
        if busy_connection_count(&self.connections) == 0 && self.requests.exchange_count() == 0 {
            self.exit_now();
        }
    }

    /// The last turn: who still waits gets an answer, and the others hear that this process has left, so that nobody waits
    /// for it.
    pub(crate) fn exit_now(&mut self) {
        for pending in pending_responses(&self.connections) {
            match pending {
                PendingResponse::Exchange(exchange) => {
                    self.with_requests(|requests, context| requests.stop_exchange(context, exchange));
                }
                // What was asked of another node may have been done there.
                PendingResponse::Call(connection) => {
                    let serial = self.serial(connection);
                    self.answer(connection, serial, http::answer(504, &[], b""));
                }
            }
        }
        self.registry.left(self.now);
        self.exit = true;
    }

    /// Reads the settings file anew. One that can't be read changes nothing.
    pub fn reload_settings(&mut self) {
        match read_again(&*self.world) {
            Ok(settings) => {
                // Addresses, name and disk never change while the process runs.
                self.settings.bounds = settings.bounds;
                self.settings.seed_nodes = settings.seed_nodes;
                self.settings.fault_tolerance = settings.fault_tolerance;
                self.registry.set_losses(losses_of(&self.settings));
            }
            Err(error) => warn!(%error, "settings file not reloaded"),
        }
    }
}
