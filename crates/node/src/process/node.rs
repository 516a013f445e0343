//! The node: its event loop, and its phases from start to exit.

use crate::coordinator::{ClosedExecutors, Coordinator, OptionalComponents};
use crate::interfaces::{DescriptorHolder, FaktoryFrontend, PeerMessenger, SiblingProcesses};
use crate::process::limits;
use crate::state::clock::{self, Clock};
use crate::state::counters::Counters;
use crate::state::executor_list::ExecutorListUpdate;
use crate::state::job_log::JobLog;
use crate::state::metrics::{Gauges, MetricsText};
use crate::state::requests::RequestIds;
use crate::state::reserved_descriptors::ReservedDescriptors;
use crate::wire::checks::HealthChecks;
use crate::wire::clients::Clients;
use crate::wire::console::{Console, NodeControl};
use crate::wire::discovery::Discovery;
use crate::wire::executors::Executors;
use crate::wire::faktory::Faktory;
use crate::wire::one_shot;
use crate::wire::peers::{self, Peers};
use crate::wire::siblings::{self, Siblings};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_health_reporting::{Fitness, Seen, Stands, Verdict};
use grebeusher_maintenance::Command;
use grebeusher_node_config::fleet::FleetSettings;
use grebeusher_node_config::frontends::FrontendSettings;
use grebeusher_node_config::node_settings::NodeSettings;
use grebeusher_node_config::{DeploymentSettings, RegistryMode};
use grebeusher_transport::listen;
use grebeusher_transport::signals::Signals;
use polling::{Event, Poller};
use serde::Deserialize;
use serde_json::{Value, json};
use std::env;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::{error, info, warn};

/// The environment variable with the console's address; a value in the settings file has precedence.
const CONSOLE_VARIABLE: &str = "GW_CONSOLE";
/// The environment variable with the path of the operators' file of further frontends; without it there are none.
const FRONTENDS_VARIABLE: &str = "GREBEUSHER_FRONTS";

/// The environment variable with the path of the operators' file for the whole fleet; without it the node knows no
/// peers.
const FLEET_VARIABLE: &str = "GREBEUSHER_FLEET";

/// The keys of the poller. From `FIRST_CONNECTION_KEY` on, the connections of the different kinds take turns.
const LISTENER: usize = 0;
const SIGNALS: usize = 1;
const DISCOVERY: usize = 2;
const CONSOLE: usize = 3;
const SIBLINGS: usize = 4;
const FAKTORY: usize = 5;
const AGENT: usize = 6;
const HEALTH: usize = 7;
const PEERS: usize = 8;
const SECOND_DISCOVERY: usize = 9;
const FIRST_CONNECTION_KEY: usize = 10;
const CONNECTION_KINDS: usize = 7;
const CLIENT: usize = 0;
const EXECUTOR: usize = 1;
const OPERATOR: usize = 2;
const SIBLING: usize = 3;
const FAKTORY_CLIENT: usize = 4;
const AGENT_CHECK: usize = 5;
const HEALTH_CALL: usize = 6;

/// The poller key of a connection of a kind, by its index.
fn key<const KIND: usize>(index: usize) -> usize {
    FIRST_CONNECTION_KEY + CONNECTION_KINDS * index + KIND
}

/// The kind and the index of the connection with a key; `None` for other keys.
fn connection(key: usize) -> Option<(usize, usize)> {
    key.checked_sub(FIRST_CONNECTION_KEY).map(|key| (key % CONNECTION_KINDS, key / CONNECTION_KINDS))
}

/// After a stop or a drain was requested, new connections arrive until the load balancers have noticed, and clients use
/// the connections that they have for a little longer. For this time all are served as before, as other nodes may be
/// out too; then idle connections are closed.
const DETECTION_TIMEOUT: Duration = Duration::from_millis(750);
/// Requests that arrive later than this after a stop was requested must be answered before the end of the process: the
/// contract excuses those that came before, with some margin.
const EXCUSED_DURATION: Duration = Duration::from_millis(500);
/// The process ends this long after a stop was requested: the longest deadline, up to `MAX_PATIENCE`, plus
/// `EXTRA_STOP_TIME`, minus the margin.
const MAX_PATIENCE: Duration = Duration::from_millis(3000);
const EXTRA_STOP_TIME: Duration = Duration::from_millis(700);
const STOP_MARGIN: Duration = Duration::from_millis(200);
/// A connection that was accepted late may still send its request: idle ones are kept for this long.
const IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// A node that starts beside an older process of its own is ready once discovery has sent a line, as the list in its
/// settings may be old. Without a line it uses that list after this time, well within the time that operators wait for
/// readiness.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(4000);
/// The interval at which connections are checked while they are being closed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The phases of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No executor is known yet: not ready.
    Starting,
    Serving,
    /// Clients are sent elsewhere until the drain ends: not ready, but requests that still come are served.
    Drained {
        since: Instant,
    },
    /// A stop was requested: not ready, but everything that still comes is served.
    Leaving {
        since: Instant,
    },
    /// Connections are being closed; callbacks are still accepted, until all requests are answered.
    Closing {
        since: Instant,
    },
    Gone,
}

/// The name without the time, which the log has.
impl Display for Phase {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Starting => "Starting",
            Phase::Serving => "Serving",
            Phase::Drained { .. } => "Drained",
            Phase::Leaving { .. } => "Leaving",
            Phase::Closing { .. } => "Closing",
            Phase::Gone => "Gone",
        })
    }
}

pub struct Node {
    phase: Phase,
    name: String,
    clock: Clock,
    started: Instant,
    counters: Rc<Counters>,
    poller: Rc<Poller>,
    signals: Signals,
    /// The settings file, which is read again on reload.
    config_path: PathBuf,
    clients: Rc<Clients>,
    console: Option<Rc<Console>>,
    siblings: Option<Rc<Siblings>>,
    faktory: Option<Rc<Faktory>>,
    checks: Option<Rc<HealthChecks>>,
    peers: Option<Rc<Peers>>,
    fitness: Fitness,
    /// The limits of this process: inbound connections, connections to executors, and memory for requests in bytes.
    limits: (usize, usize, usize),
    /// Whether another process of this node is running, and whether it is the one that sends to executors in slow
    /// start.
    sharing: (bool, bool),
    /// Whether an older process of this node was running at the start.
    has_predecessor: bool,
    executors: Rc<Executors>,
    discovery: Rc<Discovery>,
    reserved_descriptors: Rc<ReservedDescriptors>,
    coordinator: Coordinator,
    /// The time from a stop request to the last responses.
    answer_time: Duration,
    /// The node is drained because the maintenance plan takes its own machine out.
    is_drained_by_plan: bool,
}

impl Node {
    /// `inherited_listener` is the clients' listening socket, where the service manager holds it.
    #[expect(clippy::too_many_lines, reason = "the steps of a start in their order; to be split")]
    pub fn start(
        config_path: PathBuf,
        signals: Signals,
        inherited_listener: Option<TcpListener>,
    ) -> Result<Node, String> {
        let mut settings_file = NodeSettings::of_file(&config_path).map_err(|error| error.to_string())?;
        let fleet =
            env::var_os(FLEET_VARIABLE).map(|path| FleetSettings::of_file(Path::new(&path))).transpose();
        let fleet = fleet.map_err(|error| error.to_string())?;
        if let Some(fleet) = &fleet {
            settings_file.settings.set_cancel_dequeues(fleet.executors.recalls_stop_waiting);
        }
        let known = ExecutorListUpdate::deserialize(&settings_file.known)
            .map_err(|e| format!("{}: known: {e}", config_path.display()))?;
        let clock = Clock::start(env::var(clock::OFFSET_VARIABLE).ok().as_deref())?;
        let counters = Rc::new(Counters::default());
        let poller = Rc::new(Poller::new().map_err(|e| format!("cannot create the poller: {e}"))?);
        let common = (&poller, clock, &counters);
        poller.add(&signals, Event::readable(SIGNALS)).map_err(|e| format!("cannot watch signals: {e}"))?;
        let (settings, max_request_bytes) =
            (&settings_file.settings, limits::request_memory(settings_file.memory_mb));
        let frontends = env::var_os(FRONTENDS_VARIABLE)
            .map(|path| FrontendSettings::of_file(Path::new(&path)))
            .transpose();
        let frontends = frontends.map_err(|error| error.to_string())?.unwrap_or_default();
        // A second process can run beside this one only if the service manager holds the socket.
        let siblings = inherited_listener.as_ref().map(|_| {
            Rc::new(Siblings::connect(
                &settings_file.name,
                &env::temp_dir(),
                (SIBLINGS, key::<SIBLING>),
                (&poller, clock),
            ))
        });
        let console_address = console_address(settings_file.console)?;
        let other_descriptors = console_address.map_or(0, |_| one_shot::DESCRIPTORS)
            + siblings.as_ref().map_or(0, |_| siblings::DESCRIPTORS)
            + frontends.health_checks.as_ref().map_or(0, |frontend| frontend.count() * one_shot::DESCRIPTORS)
            + fleet.as_ref().and_then(|fleet| fleet.peers.as_ref()).map_or(0, |_| peers::DESCRIPTORS)
            + frontends.faktory.as_ref().map_or(0, |frontend| frontend.max_connections() + 1);
        let (max_inbound, max_outbound) = limits::connections(settings_file.sockets, other_descriptors);
        let request_ids = RequestIds::default();
        let listener = inherited_listener.map_or_else(|| listen::listen(settings_file.listen), Ok);
        let clients = listener.and_then(|listener| {
            Clients::listen(
                listener,
                settings,
                &request_ids,
                (max_inbound, max_request_bytes),
                (LISTENER, key::<CLIENT>),
                common,
            )
        });
        let clients = Rc::new(clients.map_err(|e| format!("{}: {e}", settings_file.listen))?);
        let has_predecessor = siblings.as_ref().is_some_and(|siblings| siblings.has_older());
        clients.set_accepting(!has_predecessor);
        let console = console_address.map(|address| {
            let console = Console::listen(address, (CONSOLE, key::<OPERATOR>), (&poller, clock));
            console.map(Rc::new).map_err(|e| format!("console: {address}: {e}"))
        });
        let console = console.transpose()?;
        let idle_connection_timeout = idle_connection_timeout(settings.idle_timeout);
        let timeouts = (settings.connect_timeout, idle_connection_timeout);
        let reserved_descriptors = Rc::new(ReservedDescriptors::open(clock));
        let others = vec![clients.clone() as Rc<dyn DescriptorHolder>, reserved_descriptors.clone()];
        let executors = Rc::new(Executors::new(others, max_outbound, timeouts, key::<EXECUTOR>, common));
        let others = vec![
            executors.clone() as Rc<dyn DescriptorHolder>,
            clients.clone(),
            reserved_descriptors.clone(),
        ];
        let discovery = Rc::new(Discovery::new(
            others,
            settings_file.discovery,
            &known,
            [DISCOVERY, SECOND_DISCOVERY],
            common,
        ));
        let interfaces = (clients.clone() as _, executors.clone() as _, discovery.clone() as _);
        let faktory = frontends.faktory.as_ref().map(|frontend| {
            let keys = (FAKTORY, key::<FAKTORY_CLIENT> as fn(usize) -> usize);
            let faktory =
                Faktory::listen(frontend, settings, (settings_file.seed, &request_ids), keys, common);
            faktory.map(Rc::new).map_err(|e| format!("faktory.listen: {}: {e}", frontend.listen))
        });
        let faktory = faktory.transpose()?;
        let checks = frontends.health_checks.as_ref().map(|frontend| {
            let keys = ((AGENT, key::<AGENT_CHECK> as fn(usize) -> usize), (HEALTH, key::<HEALTH_CALL> as _));
            HealthChecks::listen(frontend, keys, (&poller, clock)).map(Rc::new)
        });
        let checks = checks.transpose()?;
        let job_log = frontends.job_log.as_ref().map(|frontend| {
            let job_log = JobLog::open(frontend, settings.progress_interval(), clock).map(Rc::new);
            job_log.map_err(|e| format!("ledger.folder: {}: {e}", frontend.folder.display()))
        });
        let job_log = job_log.transpose()?;
        let peers = fleet.as_ref().and_then(|fleet| Some((fleet, fleet.peers.as_ref()?)));
        let peers = peers.map(|(fleet, peer_settings)| {
            let common_with_key = (PEERS, &poller, clock, &counters);
            let names = (&settings.tariff_names[..], &settings.customer_names[..]);
            let (own, count) = settings.node_index_and_count();
            let position = (own, count, settings.zone_name());
            let peers = Peers::start(
                fleet,
                peer_settings,
                names,
                settings_file.listen,
                position,
                settings_file.seed,
                common_with_key,
            );
            peers.map(Rc::new)
        });
        let peers = peers.transpose()?;
        let optional = OptionalComponents {
            siblings: siblings.clone().map(|siblings| siblings as Rc<dyn SiblingProcesses>),
            faktory: faktory.clone().map(|faktory| faktory as Rc<dyn FaktoryFrontend>),
            job_log,
            peers: peers.clone().map(|peers| peers as Rc<dyn PeerMessenger>),
        };
        let mut coordinator = Coordinator::new(
            settings_file.seed,
            settings,
            &request_ids,
            interfaces,
            optional,
            (clock, &counters),
        );
        coordinator.start();
        if peers.as_ref().is_some_and(|peers| !peers.may_send()) {
            coordinator.set_closed_executors(ClosedExecutors::All);
        }
        coordinator.executor_list_received(&known);
        // The list in the settings counts as confirmed now, so it expires as any list does. Guards against a node that
        // never receives a line from discovery, and uses that list for good.
        coordinator.executor_list_confirmed(clock.now(), false);
        coordinator.recover();
        log_unsupported_settings(settings, peers.is_some());
        if let Some(console) = &console {
            info!("console at {}", console.address().map_err(|e| e.to_string())?);
        }
        if let Some(checks) = &checks {
            info!("{}", checks.addresses().map_err(|e| e.to_string())?);
        }
        if let Some(faktory) = &faktory {
            info!("faktory at {}", faktory.address().map_err(|e| e.to_string())?);
        }
        let listen_address = clients.address().map_err(|e| e.to_string())?;
        info!(
            "{} listens at {listen_address}; {max_inbound} + {max_outbound} connections at most",
            settings_file.name
        );
        let phase = Phase::Starting;
        let answer_time =
            (settings.max_deadline().min(MAX_PATIENCE) + EXTRA_STOP_TIME).saturating_sub(STOP_MARGIN);
        Ok(Node {
            phase,
            name: settings_file.name.clone(),
            clock,
            started: clock.now(),
            counters,
            poller,
            signals,
            config_path,
            clients,
            console,
            siblings,
            faktory,
            checks,
            peers,
            fitness: Fitness::default(),
            limits: (max_inbound, max_outbound, max_request_bytes),
            sharing: (false, false),
            has_predecessor,
            executors,
            discovery,
            reserved_descriptors,
            coordinator,
            answer_time,
            is_drained_by_plan: false,
        })
    }

    /// Runs the event loop until all requests are answered after a stop was requested.
    pub fn run(mut self) -> io::Result<()> {
        let start = self.started.0 / 1_000_000;
        let _own = tracing::info_span!("of", node = %self.name, start).entered();
        // The list in the settings may be enough to serve. Guards against a load balancer that asks before the end of
        // the first turn of the loop, and is told that no executor is known.
        self.update_phase();
        let mut events = Vec::new();
        while self.phase != Phase::Gone {
            events.clear();
            let slept_since = self.clock.now();
            let wait = self.next_timeout().map(|at| Duration::from_nanos(at.since(self.clock.now()).nanos()));
            match self.poller.wait(&mut events, wait) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            if let Some(peers) = &self.peers {
                peers.check_permission(&mut self.coordinator);
            }
            // The console comes first. Guards against operators whose requests wait until a crowd of clients has been
            // served.
            for operators_turn in [true, false] {
                for event in events.iter().filter(|event| is_operator(event.key) == operators_turn) {
                    self.handle_event(event.key, slept_since)?;
                }
            }
            self.coordinator.handle_timeouts();
            self.executors.handle_timeouts(&mut self.coordinator);
            self.discovery.handle_timeouts(&mut self.coordinator);
            if let Some(siblings) = &self.siblings {
                siblings.handle_timeouts(&mut self.coordinator);
            }
            if let Some(faktory) = &self.faktory {
                faktory.handle_timeouts(&mut self.coordinator);
            }
            if let Some(checks) = &self.checks {
                checks.handle_timeouts();
            }
            if let Some(peers) = &self.peers {
                peers.handle_timeouts(&mut self.coordinator);
            }
            if self.clients.needs_descriptor() && !self.executors.release_descriptor() {
                self.reserved_descriptors.release_descriptor();
            }
            self.reserved_descriptors.replenish();
            self.clients.handle_timeouts();
            self.update_phase();
        }
        for line in self.counters.to_string().lines() {
            info!("{line}");
        }
        Ok(())
    }

    fn next_timeout(&self) -> Option<Instant> {
        let next_poll = self.clock.now() + POLL_INTERVAL;
        let phase_timeout = match self.phase {
            Phase::Leaving { since } => Some(since + DETECTION_TIMEOUT),
            Phase::Drained { since } => Some(next_poll.max(since + DETECTION_TIMEOUT)),
            Phase::Closing { .. } => Some(next_poll),
            Phase::Starting if self.has_predecessor => Some((self.started + UPDATE_TIMEOUT).max(next_poll)),
            _ => None,
        };
        let timeouts = [
            self.coordinator.next_timeout(),
            self.executors.next_timeout(),
            self.discovery.next_timeout(),
            self.clients.next_timeout(),
            self.siblings.as_ref().and_then(|siblings| siblings.next_timeout()),
            self.faktory.as_ref().and_then(|faktory| faktory.next_timeout()),
            self.checks.as_ref().and_then(|checks| checks.next_timeout()),
            self.peers.as_ref().and_then(|peers| peers.next_timeout()),
            phase_timeout,
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Handles one event of the poller. Input that is read now arrived after `slept_since`.
    fn handle_event(&mut self, key: usize, slept_since: Instant) -> io::Result<()> {
        match (key, connection(key)) {
            (LISTENER, _) => self.clients.accept(),
            (SIGNALS, _) => self.handle_signals()?,
            (DISCOVERY, _) => self.discovery.handle_event(0, slept_since, &mut self.coordinator),
            (SECOND_DISCOVERY, _) => self.discovery.handle_event(1, slept_since, &mut self.coordinator),
            (_, Some((CLIENT, index))) => self.clients.handle_event(index, &mut self.coordinator),
            (_, Some((EXECUTOR, index))) => self.executors.handle_event(index, &mut self.coordinator),
            (SIBLINGS, _) => {
                if let Some(siblings) = &self.siblings {
                    siblings.accept();
                }
            }
            (_, Some((SIBLING, index))) => {
                if let Some(siblings) = &self.siblings {
                    siblings.handle_event(index, &mut self.coordinator);
                }
            }
            (AGENT | HEALTH, _) | (_, Some((AGENT_CHECK | HEALTH_CALL, _))) => {
                if let Some(checks) = self.checks.clone() {
                    self.handle_health_check(&checks, key);
                }
            }
            (PEERS, _) => {
                if let Some(peers) = &self.peers {
                    peers.handle_event(&mut self.coordinator);
                }
            }
            (FAKTORY, _) => {
                if let Some(faktory) = &self.faktory {
                    faktory.accept();
                }
            }
            (_, Some((FAKTORY_CLIENT, index))) => {
                if let Some(faktory) = &self.faktory {
                    faktory.handle_event(index, &mut self.coordinator);
                }
            }
            (_, kind) => {
                if let Some(console) = self.console.clone() {
                    kind.map_or_else(|| console.accept(), |(_, index)| console.handle_event(index, self));
                }
            }
        }
        Ok(())
    }

    /// Accepts or continues a health check.
    fn handle_health_check(&mut self, checks: &HealthChecks, key: usize) {
        match (key, connection(key)) {
            (AGENT, _) => checks.accept_agent(|| self.verdict()),
            (HEALTH, _) => checks.accept_health(),
            (_, Some((AGENT_CHECK, index))) => checks.handle_agent_event(index),
            (_, Some((_, index))) => checks.handle_health_event(index, || self.verdict()),
            _ => {}
        }
    }

    /// The verdict that health checks of load balancers get.
    fn verdict(&mut self) -> Verdict {
        let serving_state = match self.phase {
            Phase::Starting => Stands::Starting,
            Phase::Serving => Stands::Serving,
            _ => Stands::Leaving,
        };
        let observe = || {
            let (listed, out_of_rotation) = self.coordinator.executor_counts();
            let counters = &self.counters;
            let failed = [
                &counters.ended_error,
                &counters.ended_reset,
                &counters.ended_timed_out,
                &counters.ended_refused,
            ];
            Seen {
                stands: serving_state,
                open: self.clients.open_requests(),
                most_open: self.clients.max_open_requests(),
                listed,
                passed_over: out_of_rotation,
                fulfilled: counters.fulfilled.total(),
                failed: failed.into_iter().map(crate::state::counters::Counter::total).sum(),
            }
        };
        self.fitness.verdict(self.clock.now(), observe, serving_state)
    }

    fn handle_signals(&mut self) -> io::Result<()> {
        self.signals.drain();
        self.poller.modify(&self.signals, Event::readable(SIGNALS))?;
        if self.signals.told_to_reload() {
            self.reload();
        }
        if self.signals.told_to_stop() {
            let now = self.clock.now();
            // The load balancers have noticed a drain, or are about to: it is not waited for a second time.
            let since = match self.phase {
                Phase::Starting | Phase::Serving => now,
                Phase::Drained { since } => since,
                Phase::Leaving { .. } | Phase::Closing { .. } | Phase::Gone => return Ok(()),
            };
            self.clients.set_cutoff(now + EXCUSED_DURATION, now + self.answer_time);
            if let Some(siblings) = self.siblings.as_ref().filter(|siblings| siblings.has_newer()) {
                // The newer process accepts all new connections of the shared socket, so no load balancer has to notice
                // anything.
                siblings.announce_stop();
                self.clients.set_accepting(false);
                self.enter_phase(Phase::Closing { since: now });
                return Ok(());
            }
            self.enter_phase(Phase::Leaving { since });
        }
        Ok(())
    }

    /// Reads the operators' fleet file again, where there is one, as its budgets may have changed.
    fn reload_fleet(&mut self) {
        let Some((peers, path)) = self.peers.as_ref().zip(env::var_os(FLEET_VARIABLE)) else { return };
        if let Err(error) = FleetSettings::of_file(Path::new(&path))
            .map_err(|error| error.to_string())
            .and_then(|fleet| peers.reload(&fleet))
        {
            self.counters.postings_bad.increment();
            error!("fleet file not reloaded, the previous settings stay in force: {error}");
        }
    }

    /// Reads the settings file again, and moves to the address of discovery in it. Other changes of the file wait for
    /// the next start; if the file is invalid, so does all of it.
    fn reload(&mut self) {
        self.reload_fleet();
        match NodeSettings::of_file(&self.config_path) {
            Ok(settings_file) => {
                self.counters.postings_read.increment();
                info!("settings file reloaded: discovery is at {}", settings_file.discovery);
                self.discovery.set_address(settings_file.discovery, &mut self.coordinator);
            }
            Err(error) => {
                self.counters.postings_bad.increment();
                error!("settings file not reloaded, the previous settings stay in force: {error}");
            }
        }
    }

    /// While another process of this node is running, each uses half the limits, and one of them sends to the executors
    /// in slow start.
    fn update_shares(&mut self) {
        let Some(siblings) = &self.siblings else { return };
        let is_relieved = matches!(self.phase, Phase::Closing { .. }) && siblings.has_newer();
        let sharing = (siblings.has_any(), is_relieved || siblings.has_older());
        let earlier = std::mem::replace(&mut self.sharing, sharing);
        if earlier.0 != sharing.0 {
            let divisor = if sharing.0 { 2 } else { 1 };
            let (max_inbound, max_outbound, max_request_bytes) = self.limits;
            self.clients.set_limits((max_inbound / divisor, max_request_bytes / divisor));
            self.executors.set_max_connections(max_outbound / divisor);
        }
        if earlier.1 != sharing.1 {
            self.coordinator.set_slow_start_elsewhere(sharing.1);
        }
    }

    /// Whether the known list is current enough to send by it.
    fn has_usable_list(&self) -> bool {
        let is_list_current = !self.has_predecessor
            || self.discovery.has_received_line()
            || self.clock.now() >= self.started + UPDATE_TIMEOUT;
        let may_send = self.peers.as_ref().is_none_or(|peers| peers.may_send());
        is_list_current && may_send && self.coordinator.has_listed_executors()
    }

    /// If the maintenance plan takes this node's own machine out, the node is drained as by operators, and serves again
    /// if its machine is to stay after all.
    fn follow_plan(&mut self) {
        let Some(peers) = self.peers.clone() else { return };
        match (peers.is_to_leave(), self.phase) {
            (true, Phase::Starting | Phase::Serving) => {
                self.is_drained_by_plan = true;
                self.enter_phase(Phase::Drained { since: self.clock.now() });
            }
            (true, Phase::Drained { since })
                if self.clock.now() >= since + DETECTION_TIMEOUT
                    && self.clients.open_requests() == 0
                    && self.has_no_open_pushes() =>
            {
                peers.report_if_drained(&mut self.coordinator);
            }
            (false, Phase::Drained { .. }) if self.is_drained_by_plan => {
                self.is_drained_by_plan = false;
                self.enter_phase(Phase::Starting);
            }
            _ => {}
        }
    }

    fn update_phase(&mut self) {
        self.update_shares();
        self.follow_plan();
        match self.phase {
            Phase::Starting if self.has_usable_list() => self.enter_phase(Phase::Serving),
            Phase::Leaving { since } if self.clock.now() >= since + DETECTION_TIMEOUT => {
                self.enter_phase(Phase::Closing { since: self.clock.now() });
            }
            Phase::Drained { since } if self.clock.now() >= since + DETECTION_TIMEOUT => {
                self.close_connections();
            }
            Phase::Closing { since } => {
                self.close_connections();
                if self.clients.is_drained(since) && self.has_no_open_pushes() {
                    self.enter_phase(Phase::Gone);
                }
            }
            _ => {}
        }
    }

    /// Closes clients' connections: each with its response, idle ones at once.
    fn close_connections(&self) {
        self.clients.set_closing_connections(true);
        self.clients.accept();
        self.clients.close_idle(IDLE_TIMEOUT);
    }

    fn has_no_open_pushes(&self) -> bool {
        self.faktory.as_ref().is_none_or(|faktory| faktory.is_drained())
    }

    fn enter_phase(&mut self, phase: Phase) {
        if let Some(faktory) = &self.faktory {
            faktory.set_draining(!matches!(phase, Phase::Starting | Phase::Serving));
        }
        info!("{phase} after {}", self.phase);
        self.clients.log_connection_counts();
        self.phase = phase;
        match phase {
            Phase::Serving => {
                self.clients.set_closing_connections(false);
                self.clients.set_accepting(true);
                self.clients.set_ready(true);
            }
            Phase::Drained { .. } | Phase::Leaving { .. } => self.clients.set_ready(false),
            Phase::Starting => self.clients.set_closing_connections(false),
            // New connections to a socket that the service manager holds wait there for the next process.
            Phase::Closing { .. } if self.siblings.is_some() => self.clients.set_accepting(false),
            Phase::Closing { .. } => {}
            Phase::Gone => self.peers.iter().for_each(|peers| peers.leave()),
        }
    }
}

impl NodeControl for Node {
    fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    fn metrics(&self) -> String {
        let (listed, out_of_rotation) = self.coordinator.executor_counts();
        let open_pushes = self.faktory.as_ref().map_or(0, |faktory| faktory.open_requests());
        let gauges = Gauges {
            open_requests: self.clients.open_requests() + open_pushes + self.coordinator.open_durable_jobs(),
            listed_executors: listed,
            out_of_rotation,
            peers: self.peers.as_ref().map(|peers| peers.count()),
            voters: self.peers.as_ref().map_or((None, None), |peers| peers.voter_status()),
            budgets: self.peers.as_ref().map_or_else(Vec::new, |peers| peers.budget_usage()),
            budget_editions: self.peers.as_ref().and_then(|peers| peers.budget_editions()),
        };
        let (counters, classes) = (&*self.counters, self.clients.class_names());
        MetricsText { counters, classes, gauges }.to_string()
    }

    fn fleet(&self) -> Option<String> {
        let status = self.peers.as_ref()?.plan_status()?;
        let (age_ms, status) = status.map_or((None, None), |(age_ms, status)| (Some(age_ms), Some(status)));
        Some(json!({"age_ms": age_ms, "shown": status}).to_string())
    }

    fn members(&self) -> Option<String> {
        let peers = self.peers.as_ref()?;
        let member = |(number, address, generation, for_ms): (u32, SocketAddr, u64, u64)| json!({"node": number, "address": address.to_string(), "start": generation, "for_ms": for_ms});
        let members: Vec<Value> = peers.members().into_iter().map(member).collect();
        Some(json!({"leader": peers.voter_status().0, "members": members}).to_string())
    }

    fn submit_command(&mut self, name: u64, kind: &str, body: &[u8]) -> Result<(), String> {
        let peers = self.peers.as_ref().filter(|peers| peers.plan_status().is_some());
        let peers = peers.ok_or("this node takes no machines out: its file has no [maintenance]")?;
        let command = match kind {
            "submit" => {
                let text = std::str::from_utf8(body).map_err(|_| "expected a plan in UTF-8".to_owned())?;
                let mut plan = grebeusher_node_config::plan::read(text).map_err(|error| error.to_string())?;
                self.coordinator.resolve_plan(&mut plan)?;
                Command::Submit(Box::new(plan))
            }
            "pause" => Command::Pause,
            "resume" => Command::Resume,
            "withdraw" => Command::Withdraw,
            "idle" => {
                let machine_and_decision =
                    std::str::from_utf8(body).ok().and_then(|text| text.trim().rsplit_once(' '));
                let machine_and_decision = machine_and_decision
                    .and_then(|(machine, number)| Some((machine.to_owned(), number.parse().ok()?)));
                let (machine, number) =
                    machine_and_decision.ok_or("expected a machine and the number of a decision")?;
                Command::Idle(machine, number)
            }
            _ => return Err(format!("expected submit, pause, resume, idle or withdraw, found {kind:?}")),
        };
        peers.submit_command(name, command);
        Ok(())
    }

    fn start_drain(&mut self) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            self.enter_phase(Phase::Drained { since: self.clock.now() });
        }
    }

    fn end_drain(&mut self) -> bool {
        if let Phase::Drained { .. } = self.phase {
            self.enter_phase(Phase::Starting);
            self.update_phase();
        }
        matches!(self.phase, Phase::Starting | Phase::Serving)
    }
}

fn is_operator(key: usize) -> bool {
    key == CONSOLE || connection(key).is_some_and(|(kind, _)| kind == OPERATOR)
}

/// The console's address: the settings file has precedence over the environment.
fn console_address(frontend: Option<SocketAddr>) -> Result<Option<SocketAddr>, String> {
    let text = env::var(CONSOLE_VARIABLE).ok().filter(|text| frontend.is_none() && !text.is_empty());
    let parsed = text.map(|text| {
        text.parse()
            .map_err(|_| format!("{CONSOLE_VARIABLE}: expected an address and a port, found {text:?}"))
    });
    Ok(frontend.or(parsed.transpose()?))
}

/// Logs which settings have no effect over sockets.
fn log_unsupported_settings(settings: &DeploymentSettings, has_peers: bool) {
    if settings.registry_mode == RegistryMode::Automatic {
        info!("registry_mode is automatic: over sockets the executor list is watched all the same");
    }
    if settings.peers && !has_peers {
        warn!("load messages between nodes are enabled, but no peers are configured: none is sent");
    }
}

/// The age at which an idle connection to an executor is closed. Executors close it after `idle` at the latest, and a
/// request on its way then is lost: the margin of half a second covers the way and a busy moment; it is a quarter of
/// `idle` where that is less. A larger margin would cost handshakes without need.
fn idle_connection_timeout(idle: Duration) -> Duration {
    const MARGIN: Duration = Duration::from_millis(500);
    Duration::from_nanos(idle.nanos() - MARGIN.nanos().min(idle.nanos() / 4))
}
