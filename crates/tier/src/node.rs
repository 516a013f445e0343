//! One process of the tier: the parts that it is composed of, and its loop.
//!
//! The loop reads the clock once a turn, routes events and due timers to the folders, then pumps what follows from them and
//! flushes the links. State of one concern belongs to a type in its folder; a field is added here only for a new concern.

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

/// Keys of the poller. From `FIRST_CONNECTION` on they are connections.
pub mod keys {
    /// The address of clients.
    pub const FRONTEND: usize = 0;
    /// The address of the platform's checks.
    pub const READINESS: usize = 1;
    /// The address of executors and operators.
    pub const CONTROL: usize = 2;
    /// The address of the other nodes.
    pub const INTERNAL: usize = 3;
    /// Signals.
    pub const SIGNALS: usize = 4;
    /// The first connection.
    pub const FIRST_CONNECTION: usize = 16;
}

/// How often slow housekeeping is done.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How often executors that have fallen silent are looked for.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// The loop waits at most this long.
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
    /// Whether a review of the executors is due.
    reviews_executors: bool,
    /// Set once the process got SIGTERM.
    pub(crate) shutdown: Option<GracefulShutdown>,
    pub(crate) exit: bool,
}

impl Node {
    /// Puts a process together from what its start has read and opened.
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
            reviews_executors: false,
            shutdown: None,
            exit: false,
        };
        node.set_first_timers();
        Ok(node)
    }

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
        self.prove_configuration();
        self.prove_versions();
        if self.bootstrapper.is_some() {
            self.alarms.set(now + crate::control::bootstrap::POLL_INTERVAL, Timer::Bootstrap);
        }
    }

    /// Runs until the process gets SIGTERM and has finished.
    ///
    /// # Errors
    /// A disk or the poller fails: the process ends, and starts again from what is on disk.
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

    /// One turn of the loop: what has happened, what fell due, and all that follows from it.
    ///
    /// # Errors
    /// A disk fails: the process ends.
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
        // Nothing is begun any more by a process that ends with this turn.
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

    /// When the loop turns next if nothing happens before.
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

    /// Another node's counts of popular prefixes have come.
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

    /// Routes by what has changed in the registry and in the configuration.
    fn update_routing(&mut self) {
        let active = self.configuration.active().cloned();
        let permissions = self.rollouts.permissions(self.now);
        for gone in self.requests.routing.update(&self.registry, active.as_deref(), &permissions) {
            self.connections.close_idle(&gone);
        }
        self.schedule_rollout_sync();
    }

    fn review_executors(&mut self) {
        self.requests.routing.gateway.detect_unresponsive(self.now);
        self.reviews_executors = self.runs_anything();
        if self.reviews_executors {
            self.alarms.set(self.now + REVIEW_INTERVAL, Timer::ReviewExecutors);
        }
    }

    /// Executors are reviewed while anything runs on them: a node at rest does not wake for it. The first review lets the
    /// gateway know that the pause was no freeze.
    fn start_executor_review(&mut self) {
        if !self.reviews_executors && self.runs_anything() {
            self.review_executors();
        }
    }

    fn runs_anything(&self) -> bool {
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

    /// What this process has done by itself, in numbers.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Whether the process is to end now.
    pub fn is_over(&self) -> bool {
        self.exit
    }

    /// Whether the process got SIGTERM.
    pub fn stopping(&self) -> bool {
        self.shutdown.is_some()
    }

    /// The serial number of the connection at an index; 0 if there is none.
    pub(crate) fn serial(&self, index: usize) -> u64 {
        self.connections.serial(index)
    }

    /// A number that nothing else of this process got.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.connections.next_serial()
    }

    /// The clock as it is now. `now` is what it was at the start of the turn, and the process may have stood still since:
    /// whatever proves something to somebody (a lease to a reader, a heartbeat of a leader to the other candidates) goes
    /// by a look at the clock that is later than the question or the message.
    pub(crate) fn clock(&self) -> Instant {
        self.world.now()
    }

    /// A number in 0..1.
    pub(crate) fn random_point(&mut self) -> f64 {
        self.random.random()
    }

    /// The time of day, in milliseconds since 1970.
    pub(crate) fn wall_ms(&self) -> u64 {
        self.world.wall_ms()
    }
}

/// Why the loop ends without SIGTERM.
#[derive(Debug, snafu::Snafu)]
pub enum RunError {
    /// The poller fails.
    #[snafu(display("waiting for sockets: {source}"), context(false))]
    Poll {
        /// What the system says.
        source: io::Error,
    },
    /// A partition's disk fails.
    #[snafu(display("the disk of part {partition}: {source}"))]
    Disk {
        /// The partition.
        partition: u8,
        /// What the store says.
        source: grebeusher_quorum::disk::StoreError,
    },
    /// What is on disk or was agreed can't be read.
    #[snafu(display("the state of part {partition} can't be read: {reason}"))]
    State {
        /// The partition.
        partition: u8,
        /// What is wrong.
        reason: String,
    },
}
