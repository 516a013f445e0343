//! A process of the tier: its components and its event loop.
//!
//! Each turn of the loop reads the clock once, dispatches events and expired timers to the modules, carries out the actions
//! that result from them, and flushes the links. The state of each concern belongs to a type in the module of the concern;
//! a field is added to [`Node`] only for a new concern.

use crate::batch::items::ItemRuns;
use crate::control::active_configuration::ServedConfiguration;
use crate::control::api::PendingAcknowledgements;
use crate::control::bootstrap::Bootstrapper;
use crate::control::executor_hints::ExecutorHints;
use crate::control::leader_balance::LeaderBalancer;
use crate::control::leader_index::LeaderIndex;
use crate::control::partition_host::PartitionHost;
use crate::control::replica_names::ReplicaNames;
use crate::control::retire::RetireRequests;
use crate::control::rollout_sync::RolloutSync;
use crate::links::calls::PendingCalls;
use crate::links::connections::{ConnectionTable, Role};
use crate::links::messages::{CallNumbers, Channel};
use crate::links::peer_links::PeerLinks;
use crate::requests::plane::Requests;
use crate::requests::prefix_popularity::{ContributionMessage, MalformedContribution, PrefixPopularity};
use crate::requests::routing::Routing;
use crate::requests::server_connection::{ListenerKind, default_limits};
use crate::runtime::io::SharedWorld;
use crate::runtime::start::{Start, StartError};
use crate::runtime::stop::GracefulShutdown;
use crate::runtime::timers::Timer;
use crate::runtime::traffic::Traffic;
use grebeusher_configuration::settings::{Contract, Settings};
use grebeusher_quorum::ReplicaId;
use grebeusher_registry::Registry;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::alarms::Alarms;
use grebeusher_transport::poller::Event;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::io;

/// The keys of events from the poller. Keys from [`FIRST_CONNECTION`](keys::FIRST_CONNECTION) on belong to connections.
pub mod keys {
    /// The key of the listener for clients.
    pub const FRONTEND: usize = 0;
    /// The key of the listener for readiness checks of the platform.
    pub const READINESS: usize = 1;
    /// The key of the listener for executors and operators.
    pub const CONTROL: usize = 2;
    /// The key of the listener for other nodes.
    pub const INTERNAL: usize = 3;
    /// The key of received signals.
    pub const SIGNALS: usize = 4;
    /// The key of the connection with index 0.
    pub const FIRST_CONNECTION: usize = 16;
}

/// The interval of the cleanup of idle connections and expired state.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between two checks for unresponsive executors, while requests run on any.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum time that the loop waits for an event.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// One process of the tier.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) world: SharedWorld,
    pub(crate) now: Instant,
    random: Pcg64,
    pub(crate) alarms: Alarms<Timer>,
    pub(crate) connections: ConnectionTable,
    pub(crate) links: PeerLinks,
    pub(crate) registry: Registry,
    pub(crate) executor_hints: ExecutorHints,
    popularity: PrefixPopularity,
    pub(crate) acknowledgements: PendingAcknowledgements,
    pub(crate) requests: Requests,
    pub(crate) leaders: LeaderIndex,
    pub(crate) leader_balancer: LeaderBalancer,
    pub(crate) routing_changed: bool,
    pub(crate) configuration: ServedConfiguration,
    pub(crate) calls: PendingCalls,
    pub(crate) retire_requests: RetireRequests,
    pub(crate) rollouts: RolloutSync,
    pub(crate) identity: Option<ReplicaId>,
    pub(crate) partitions: Vec<PartitionHost>,
    pub(crate) bootstrapper: Option<Bootstrapper>,
    pub(crate) items: ItemRuns,
    pub(crate) replica_names: ReplicaNames,
    pub(crate) traffic: Traffic,
    /// Whether the timer of the next check for unresponsive executors is set.
    is_review_scheduled: bool,
    /// The graceful shutdown; `None` until SIGTERM is received.
    pub(crate) shutdown: Option<GracefulShutdown>,
    pub(crate) exit: bool,
}

impl Node {
    /// Creates a node from the resources opened at its start.
    pub fn new(start: Start) -> Result<Node, StartError> {
        let Start { settings, world, listeners, registry, identity, partitions, seed } = start;
        let bootstrapper = Bootstrapper::for_settings(&settings);
        let calls = PendingCalls::new(CallNumbers::starting_at(world.random()));
        let rollouts = RolloutSync::new(settings.has_contract(&Contract::Rollout));
        let mut node = Node {
            requests: Requests::new(listeners.clients, Routing::new(settings.zone.as_str(), seed)),
            leaders: LeaderIndex::default(),
            leader_balancer: LeaderBalancer::default(),
            items: ItemRuns::default(),
            replica_names: ReplicaNames::default(),
            settings,
            world,
            now: Instant(0),
            random: Pcg64::seed_from_u64(seed),
            alarms: Alarms::default(),
            connections: ConnectionTable::new(listeners.max_connections),
            links: PeerLinks::new(listeners.internal_address, listeners.internal),
            registry,
            executor_hints: ExecutorHints::default(),
            popularity: PrefixPopularity::default(),
            acknowledgements: PendingAcknowledgements::default(),
            routing_changed: true,
            configuration: ServedConfiguration::new(default_limits()),
            calls,
            retire_requests: RetireRequests::default(),
            rollouts,
            identity,
            partitions,
            bootstrapper,
            traffic: Traffic::default(),
            is_review_scheduled: false,
            shutdown: None,
            exit: false,
        };
        node.set_first_timers();
        Ok(node)
    }

    /// Sets the first timers, loads the hints of an earlier process, and sends the first calls to the leader.
    fn set_first_timers(&mut self) {
        let now = self.now;
        self.alarms.set(now + SWEEP_INTERVAL, Timer::Sweep);
        if !self.partitions.is_empty() {
            self.alarms.set(
                now + crate::control::membership_maintenance::MAINTENANCE_INTERVAL,
                Timer::MaintainGroups,
            );
        }
        if let Some(folder) = &self.settings.data_path {
            ExecutorHints::load(&*self.world, folder, &mut self.registry, now);
        }
        let folder = self.settings.data_path.as_deref();
        self.popularity =
            PrefixPopularity::start(now, &mut self.requests.routing, &self.registry, &*self.world, folder);
        self.request_leader_configuration();
        self.request_leader_versions();
        if self.bootstrapper.is_some() {
            self.alarms.set(now + crate::control::bootstrap::POLL_INTERVAL, Timer::Bootstrap);
        }
    }

    /// Runs the event loop until the graceful shutdown is complete.
    ///
    /// # Errors
    /// Fails if a disk or the poller fails. The process then exits and is restarted with the state on the disk.
    pub fn run(&mut self) -> Result<(), RunError> {
        let mut events = Vec::new();
        self.turn(&events)?;
        while !self.exit {
            let wait = self.next_wake().since(self.now);
            self.world.wait(wait, &mut events)?;
            self.turn(&events)?;
        }
        Ok(())
    }

    /// Runs one turn of the event loop: handles the events and the expired timers, and carries out the resulting actions.
    ///
    /// # Errors
    /// Fails if a disk fails. The process then exits.
    pub fn turn(&mut self, events: &[Event]) -> Result<(), RunError> {
        self.now = self.world.now();
        self.traffic.turns += 1;
        self.traffic.turns_by_events += u64::from(!events.is_empty());
        for event in events {
            self.handle_event(*event);
        }
        while let Some(timer) = self.alarms.due(self.now) {
            self.handle_timer(timer);
        }
        // A process that exits with this turn starts no more requests.
        if !self.exit {
            self.dispatch_unread_input();
        }
        self.run_registry();
        self.pump_partitions()?;
        self.run_registry();
        if std::mem::take(&mut self.routing_changed) {
            self.update_routing();
        }
        self.start_executor_review();
        self.with_links(PeerLinks::flush);
        Ok(())
    }

    /// Returns when the next turn of the loop is due if there is no event before.
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.now + MAX_WAIT;
        if let Some(alarm) = self.alarms.next_at() {
            wake = wake.min(alarm);
        }
        wake = wake.min(self.registry.next_wake());
        for partition in &self.partitions {
            wake = wake.min(partition.next_wake());
        }
        wake
    }

    fn handle_event(&mut self, event: Event) {
        match event.key {
            keys::FRONTEND => self.accept(ListenerKind::Frontend),
            keys::READINESS => self.accept(ListenerKind::Readiness),
            keys::CONTROL => self.accept(ListenerKind::Control),
            keys::INTERNAL => self.with_links(|links, context| links.accept(context)),
            keys::SIGNALS => self.handle_signals(),
            key => self.connection_ready(key - keys::FIRST_CONNECTION, event.readable, event.writable),
        }
    }

    fn connection_ready(&mut self, index: usize, readable: bool, writable: bool) {
        let Some(connection) = self.connections.get(index) else { return };
        match connection.role {
            Role::Server(_) => self.server_ready(index, readable, writable),
            Role::Upstream(_) => self.upstream_ready(index, readable, writable),
            Role::Incoming(_) => self.incoming_ready(index),
            Role::Outgoing(_) => {
                self.with_links(|links, context| links.outgoing_ready(context, index, readable));
            }
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        self.traffic.count_timer(timer);
        match timer {
            Timer::ConnectExpires { connection, serial } => {
                if self.serial(connection) == serial {
                    self.connect_expired(connection);
                }
            }
            Timer::ExchangeDeadline { exchange, serial } => {
                self.with_requests(|requests, context| {
                    requests.handle_exchange_deadline(context, exchange, serial);
                });
            }
            Timer::ExchangeResponseTimeout { exchange, serial, attempt } => {
                self.with_requests(|requests, context| {
                    requests.handle_response_timeout(context, exchange, serial, attempt);
                });
            }
            Timer::LinkExpires { connection, serial } => {
                self.links.connect_expired(&mut self.connections, connection, serial);
            }
            Timer::ItemResponseTimeout { run } => self.item_response_timeout(run),
            Timer::CallExpires { number } => self.run_call_step(|calls, peers| calls.expire(number, peers)),
            Timer::CallRetry { number } => self.run_call_step(|calls, peers| calls.retry(number, peers)),
            Timer::PendingReadExpires { read } => self.pending_read_expired(read),
            Timer::Bootstrap => self.drive_bootstrap(),
            Timer::MaintainGroups => self.maintain_groups(),
            Timer::SyncRollouts => self.sync_rollouts(),
            Timer::Sweep => self.sweep(),
            Timer::ReviewExecutors => self.review_executors(),
            Timer::RunItems => self.run_items(),
            Timer::Exit => self.exit_now(),
        }
    }

    /// Handles a message with another node's counts of popular prefixes.
    pub(crate) fn receive_popularity(&mut self, payload: &[u8]) {
        match self.popularity.receive(self.now, &mut self.requests.routing, &self.registry, payload) {
            Ok(message) => self.send_popularity(message),
            Err(MalformedContribution) => self.requests.counters.malformed += 1,
        }
    }

    fn send_popularity(&mut self, message: Option<ContributionMessage>) {
        let Some(ContributionMessage { to, payload }) = message else { return };
        for peer in to {
            self.send_frame(peer, Channel::Popularity, &payload);
        }
    }

    /// Updates the routing by the registry, the configuration and the permitted versions.
    fn update_routing(&mut self) {
        let active = self.configuration.active().cloned();
        let permissions = self.rollouts.permissions(self.now);
        for removed in self.requests.routing.update(&self.registry, active.as_deref(), &permissions) {
            self.connections.close_idle(&removed);
        }
        self.schedule_rollout_sync();
    }

    fn review_executors(&mut self) {
        self.requests.routing.gateway.detect_unresponsive(self.now);
        self.is_review_scheduled = self.has_running_requests();
        if self.is_review_scheduled {
            self.alarms.set(self.now + REVIEW_INTERVAL, Timer::ReviewExecutors);
        }
    }

    /// Starts the periodic checks for unresponsive executors when requests or items run on any: an idle node does not wake up
    /// for them. The first check is made at once, so that the gateway does not take the pause for a freeze of this process.
    fn start_executor_review(&mut self) {
        if !self.is_review_scheduled && self.has_running_requests() {
            self.review_executors();
        }
    }

    /// Whether any request or batch item is in progress.
    fn has_running_requests(&self) -> bool {
        self.requests.exchange_count() > 0 || self.items.count() > 0
    }

    fn sweep(&mut self) {
        self.alarms.set(self.now + SWEEP_INTERVAL, Timer::Sweep);
        self.with_requests(Requests::close_overdue_connections);
        self.connections.close_expired_idle(self.now);
        self.with_links(PeerLinks::sweep);
        self.calls.sweep(self.now);
        if let Some(folder) = self.settings.data_path.as_deref().filter(|_| !self.stopping()) {
            self.executor_hints.save(&*self.world, folder, &self.registry, self.now);
        }
        let message = self.popularity.due_message(self.now, &mut self.requests.routing, &self.registry);
        self.send_popularity(message);
        if let Some(folder) = self.settings.data_path.as_deref().filter(|_| !self.stopping()) {
            self.popularity.save(self.now, &self.requests.routing, &*self.world, folder);
        }
        self.exit_when_idle();
    }

    fn handle_signals(&mut self) {
        let signals = self.world.signals();
        if signals.reload {
            self.reload_settings();
        }
        if signals.stop && self.shutdown.is_none() {
            self.begin_shutdown();
        }
    }

    /// Returns the counters of this node's own activity.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Whether the process is to exit now.
    pub fn must_exit(&self) -> bool {
        self.exit
    }

    /// Whether the process has received SIGTERM.
    pub fn stopping(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Returns the serial number of the connection at an index, or 0 if there is none.
    pub(crate) fn serial(&self, index: usize) -> u64 {
        self.connections.serial(index)
    }

    /// Returns a new serial number, unique in this process.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.connections.next_serial()
    }

    /// Reads the clock. The field `now` is the time at the start of the turn, and the process may have been suspended since.
    /// Anything that other nodes rely on, such as a lease for a reader or a leader's heartbeat for the other candidates, must
    /// therefore use a time that was read after the request or message was received.
    pub(crate) fn clock(&self) -> Instant {
        self.world.now()
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn random_point(&mut self) -> f64 {
        self.random.random()
    }

    /// Returns the time of day, in milliseconds since 1970.
    pub(crate) fn wall_ms(&self) -> u64 {
        self.world.wall_ms()
    }
}

/// The error that ends the event loop without SIGTERM.
#[derive(Debug, snafu::Snafu)]
pub enum RunError {
    /// Waiting for events has failed.
    #[snafu(display("waiting for sockets: {source}"), context(false))]
    Poll {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The disk of a partition has failed.
    #[snafu(display("the disk of part {partition}: {source}"))]
    Disk {
        /// The number of the partition.
        partition: u8,
        /// The error of the store.
        source: grebeusher_quorum::disk::StoreError,
    },
    /// The stored state or a committed entry of a partition can't be decoded.
    #[snafu(display("the state of part {partition} can't be read: {reason}"))]
    State {
        /// The number of the partition.
        partition: u8,
        /// A description of the error.
        reason: String,
    },
}
