//! The node: one loop, and the phases from start to exit.

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
use crate::wire::checks::Checks;
use crate::wire::clients::Clients;
use crate::wire::console::{Console, Office};
use crate::wire::discovery::Discovery;
use crate::wire::executors::Executors;
use crate::wire::faktory::Faktory;
use crate::wire::one_shot;
use crate::wire::peers::{self, Fellows};
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

/// Names the console's address, where the file does not.
const CONSOLE_AT: &str = "GW_CONSOLE";
/// Names the operators' file of further fronts; without it there are none.
const FRONTS: &str = "GREBEUSHER_FRONTS";

/// Names the operators' file of how the nodes behave together; without it each is alone.
const FLEET: &str = "GREBEUSHER_FLEET";

/// Keys of the poller. From `FIRST` on connections of so many kinds take turns.
const LISTENER: usize = 0;
const SIGNALS: usize = 1;
const DISCOVERY: usize = 2;
const CONSOLE: usize = 3;
const SIBLINGS: usize = 4;
const FAKTORY: usize = 5;
const AGENT: usize = 6;
const HEALTH: usize = 7;
const FELLOWS: usize = 8;
const DISCOVERY_AGAIN: usize = 9;
const FIRST: usize = 10;
const KINDS: usize = 7;
const OUTSIDE: usize = 0;
const EXECUTOR: usize = 1;
const STAFF: usize = 2;
const SIBLING: usize = 3;
const PEER: usize = 4;
const AGENT_CHECK: usize = 5;
const HEALTH_CALL: usize = 6;

/// The key of a connection of a kind, by its place.
fn key<const KIND: usize>(place: usize) -> usize {
    FIRST + KINDS * place + KIND
}

/// The kind and the place of a connection's key; `None` for one of the others.
fn connection(key: usize) -> Option<(usize, usize)> {
    key.checked_sub(FIRST).map(|key| (key % KINDS, key / KINDS))
}

/// After word to stop or to drain, connections go on coming until the fronts have noticed, and clients go on using
/// those that they have for a little longer: this long all are served as before, as other nodes may be away too.
/// Then idle ones are closed.
const DETECTION_TIMEOUT: Duration = Duration::from_millis(750);
/// What comes later than this after word to stop must have its answer before the end: the rules excuse what came
/// before, with some time to spare.
const EXCUSED_DURATION: Duration = Duration::from_millis(500);
/// From word to stop to the end: the longest patience, up to the first, and the second; less a margin.
const MAX_STOP: Duration = Duration::from_millis(3000);
const MORE_STOP: Duration = Duration::from_millis(700);
const STOP_MARGIN: Duration = Duration::from_millis(200);
/// A connection that came late may still bring its request: idle ones are given this long.
const IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// A node that starts beside an older process of its own is ready once discovery has said a word: what it was told to
/// know may be old. Without any it goes by that after this long, well within the time that operators wait for a yes.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(4000);
/// How often the connections are looked at that are wound down.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The phases of a node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No executor is known: not ready.
    Starting,
    Serving,
    /// Its clients are sent away until further word: not ready, and what still comes is served.
    Drained {
        since: Instant,
    },
    /// Told to stop: not ready, and all is served that still comes.
    Leaving {
        since: Instant,
    },
    /// Connections are wound down; call-backs are still listened for, until all is answered.
    Closing {
        since: Instant,
    },
    Gone,
}

/// The name alone: the log has the time.
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
    /// The file that the posting was read from.
    posted: PathBuf,
    clients: Rc<Clients>,
    console: Option<Rc<Console>>,
    siblings: Option<Rc<Siblings>>,
    faktory: Option<Rc<Faktory>>,
    checks: Option<Rc<Checks>>,
    fellows: Option<Rc<Fellows>>,
    fitness: Fitness,
    /// Connections from outside and to executors, and bytes of requests, that this process may hold.
    limits: (usize, usize, usize),
    /// Whether another process of this node is there, and whether it sends to cold executors.
    shares: (bool, bool),
    /// Whether an older one was there at the start.
    relieves: bool,
    executors: Rc<Executors>,
    discovery: Rc<Discovery>,
    reserved_descriptors: Rc<ReservedDescriptors>,
    coordinator: Coordinator,
    /// From word to stop to the last answers.
    answers_within: Duration,
    /// Its clients are sent away as a plan has it that its own machine goes out for work.
    goes_by_plan: bool,
}

impl Node {
    /// `inherited`: the clients' listening socket, where the platform holds it.
    #[expect(clippy::too_many_lines, reason = "the steps of a start in their order; to be split")]
    pub fn start(posted: PathBuf, signals: Signals, inherited: Option<TcpListener>) -> Result<Node, String> {
        let mut posting = NodeSettings::of_file(&posted).map_err(|error| error.to_string())?;
        let fleet = env::var_os(FLEET).map(|path| FleetSettings::of_file(Path::new(&path))).transpose();
        let fleet = fleet.map_err(|error| error.to_string())?;
        if let Some(fleet) = &fleet {
            posting.settings.recalls_stop(fleet.executors.recalls_stop_waiting);
        }
        let known = ExecutorListUpdate::deserialize(&posting.known)
            .map_err(|e| format!("{}: known: {e}", posted.display()))?;
        let clock = Clock::start(env::var(clock::OFFSET_VARIABLE).ok().as_deref())?;
        let counters = Rc::new(Counters::default());
        let poller = Rc::new(Poller::new().map_err(|e| format!("no poller: {e}"))?);
        let common = (&poller, clock, &counters);
        poller.add(&signals, Event::readable(SIGNALS)).map_err(|e| format!("no signals: {e}"))?;
        let (settings, room) = (&posting.settings, limits::room(posting.memory_mb));
        let fronts = env::var_os(FRONTS).map(|path| FrontendSettings::of_file(Path::new(&path))).transpose();
        let fronts = fronts.map_err(|error| error.to_string())?.unwrap_or_default();
        // Only where the platform holds the socket can a second process be beside this one.
        let siblings = inherited.as_ref().map(|_| {
            Rc::new(Siblings::meet(
                &posting.name,
                &env::temp_dir(),
                (SIBLINGS, key::<SIBLING>),
                (&poller, clock),
            ))
        });
        let console_at = console_at(posting.console)?;
        let further = console_at.map_or(0, |_| one_shot::DESCRIPTORS)
            + siblings.as_ref().map_or(0, |_| siblings::DESCRIPTORS)
            + fronts.health_checks.as_ref().map_or(0, |posted| posted.count() * one_shot::DESCRIPTORS)
            + fleet.as_ref().and_then(|fleet| fleet.peers.as_ref()).map_or(0, |_| peers::DESCRIPTORS)
            + fronts.faktory.as_ref().map_or(0, |posted| posted.max_connections() + 1);
        let (from_outside, to_executors) = limits::connections(posting.sockets, further);
        let request_ids = RequestIds::default();
        let listener = inherited.map_or_else(|| listen::listen(posting.listen), Ok);
        let clients = listener.and_then(|listener| {
            Clients::listen(
                listener,
                settings,
                &request_ids,
                (from_outside, room),
                (LISTENER, key::<OUTSIDE>),
                common,
            )
        });
        let clients = Rc::new(clients.map_err(|e| format!("{}: {e}", posting.listen))?);
        let relieves = siblings.as_ref().is_some_and(|siblings| siblings.has_elder());
        clients.take_in_new(!relieves);
        let console = console_at.map(|at| {
            let console = Console::listen(at, (CONSOLE, key::<STAFF>), (&poller, clock));
            console.map(Rc::new).map_err(|e| format!("console: {at}: {e}"))
        });
        let console = console.transpose()?;
        let retire_after = retire_after(settings.idle);
        let times = (settings.connect_timeout, retire_after);
        let reserved_descriptors = Rc::new(ReservedDescriptors::open(clock));
        let others = vec![clients.clone() as Rc<dyn DescriptorHolder>, reserved_descriptors.clone()];
        let executors = Rc::new(Executors::new(others, to_executors, times, key::<EXECUTOR>, common));
        let others = vec![
            executors.clone() as Rc<dyn DescriptorHolder>,
            clients.clone(),
            reserved_descriptors.clone(),
        ];
        let discovery =
            Rc::new(Discovery::new(others, posting.discovery, &known, [DISCOVERY, DISCOVERY_AGAIN], common));
        let interfaces = (clients.clone() as _, executors.clone() as _, discovery.clone() as _);
        let faktory = fronts.faktory.as_ref().map(|posted| {
            let keys = (FAKTORY, key::<PEER> as fn(usize) -> usize);
            let faktory = Faktory::listen(posted, settings, (posting.seed, &request_ids), keys, common);
            faktory.map(Rc::new).map_err(|e| format!("faktory.listen: {}: {e}", posted.listen))
        });
        let faktory = faktory.transpose()?;
        let checks = fronts.health_checks.as_ref().map(|posted| {
            let keys = ((AGENT, key::<AGENT_CHECK> as fn(usize) -> usize), (HEALTH, key::<HEALTH_CALL> as _));
            Checks::listen(posted, keys, (&poller, clock)).map(Rc::new)
        });
        let checks = checks.transpose()?;
        let job_log = fronts.job_log.as_ref().map(|posted| {
            let job_log = JobLog::open(posted, settings.progress(), clock).map(Rc::new);
            job_log.map_err(|e| format!("ledger.folder: {}: {e}", posted.folder.display()))
        });
        let job_log = job_log.transpose()?;
        let fellows = fleet.as_ref().and_then(|fleet| Some((fleet, fleet.peers.as_ref()?)));
        let fellows = fellows.map(|(fleet, posted)| {
            let by = (FELLOWS, &poller, clock, &counters);
            let names = (&settings.tariff_names[..], &settings.customer_names[..]);
            let (own, count) = settings.place();
            let place = (own, count, settings.zone_name());
            let fellows = Fellows::meet(fleet, posted, names, posting.listen, place, posting.seed, by);
            fellows.map(Rc::new)
        });
        let fellows = fellows.transpose()?;
        let optional = OptionalComponents {
            siblings: siblings.clone().map(|siblings| siblings as Rc<dyn SiblingProcesses>),
            faktory: faktory.clone().map(|faktory| faktory as Rc<dyn FaktoryFrontend>),
            job_log,
            peers: fellows.clone().map(|fellows| fellows as Rc<dyn PeerMessenger>),
        };
        let mut coordinator =
            Coordinator::new(posting.seed, settings, &request_ids, interfaces, optional, (clock, &counters));
        coordinator.start();
        if fellows.as_ref().is_some_and(|fellows| !fellows.has_word()) {
            coordinator.set_closed_executors(ClosedExecutors::All);
        }
        coordinator.executor_list_received(&known);
        // What it was told to know is gone by from now on no longer than any list. Guards against a node that hears nothing
        // of discovery ever, and goes by that for good.
        coordinator.executor_list_confirmed(clock.now(), false);
        coordinator.recover();
        say_what_sockets_lack(settings, fellows.is_some());
        if let Some(console) = &console {
            info!("console at {}", console.address().map_err(|e| e.to_string())?);
        }
        if let Some(checks) = &checks {
            info!("{}", checks.addresses().map_err(|e| e.to_string())?);
        }
        if let Some(faktory) = &faktory {
            info!("faktory at {}", faktory.address().map_err(|e| e.to_string())?);
        }
        let listens = clients.address().map_err(|e| e.to_string())?;
        info!("{} listens at {listens}; {from_outside} + {to_executors} connections at most", posting.name);
        let phase = Phase::Starting;
        let answers_within =
            (settings.longest_patience().min(MAX_STOP) + MORE_STOP).saturating_sub(STOP_MARGIN);
        Ok(Node {
            phase,
            name: posting.name.clone(),
            clock,
            started: clock.now(),
            counters,
            poller,
            signals,
            posted,
            clients,
            console,
            siblings,
            faktory,
            checks,
            fellows,
            fitness: Fitness::default(),
            limits: (from_outside, to_executors, room),
            shares: (false, false),
            relieves,
            executors,
            discovery,
            reserved_descriptors,
            coordinator,
            answers_within,
            goes_by_plan: false,
        })
    }

    /// Runs until all is done after word to stop.
    pub fn run(mut self) -> io::Result<()> {
        let start = self.started.0 / 1_000_000;
        let _own = tracing::info_span!("of", node = %self.name, start).entered();
        // What was posted may be enough to serve by. Guards against a balancer that asks before the loop's first turn is over and
        // hears that no executor is known.
        self.move_on();
        let mut events = Vec::new();
        while self.phase != Phase::Gone {
            events.clear();
            let slept = self.clock.now();
            let wait = self.next_due().map(|at| Duration::from_nanos(at.since(self.clock.now()).nanos()));
            match self.poller.wait(&mut events, wait) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            if let Some(fellows) = &self.fellows {
                fellows.wakes(&mut self.coordinator);
            }
            // The staff first. Guards against calls that wait until a crowd of clients has had its turn.
            for staff in [true, false] {
                for event in events.iter().filter(|event| is_staff(event.key) == staff) {
                    self.stirred(event.key, slept)?;
                }
            }
            self.coordinator.handle_timeouts();
            self.executors.due(&mut self.coordinator);
            self.discovery.due(&mut self.coordinator);
            if let Some(siblings) = &self.siblings {
                siblings.due(&mut self.coordinator);
            }
            if let Some(faktory) = &self.faktory {
                faktory.due(&mut self.coordinator);
            }
            if let Some(checks) = &self.checks {
                checks.due();
            }
            if let Some(fellows) = &self.fellows {
                fellows.due(&mut self.coordinator);
            }
            if self.clients.wants_room() && !self.executors.release_descriptor() {
                self.reserved_descriptors.release_descriptor();
            }
            self.reserved_descriptors.replenish();
            self.clients.due();
            self.move_on();
        }
        for line in self.counters.to_string().lines() {
            info!("{line}");
        }
        Ok(())
    }

    fn next_due(&self) -> Option<Instant> {
        let look = self.clock.now() + POLL_INTERVAL;
        let leaving = match self.phase {
            Phase::Leaving { since } => Some(since + DETECTION_TIMEOUT),
            Phase::Drained { since } => Some(look.max(since + DETECTION_TIMEOUT)),
            Phase::Closing { .. } => Some(look),
            Phase::Starting if self.relieves => Some((self.started + UPDATE_TIMEOUT).max(look)),
            _ => None,
        };
        let dues = [
            self.coordinator.next_timeout(),
            self.executors.next_due(),
            self.discovery.next_due(),
            self.clients.next_due(),
            self.siblings.as_ref().and_then(|siblings| siblings.next_due()),
            self.faktory.as_ref().and_then(|faktory| faktory.next_due()),
            self.checks.as_ref().and_then(|checks| checks.next_due()),
            self.fellows.as_ref().and_then(|fellows| fellows.next_due()),
            leaving,
        ];
        dues.into_iter().flatten().min()
    }

    /// `slept`: since when nothing of what is there now was.
    fn stirred(&mut self, key: usize, slept: Instant) -> io::Result<()> {
        match (key, connection(key)) {
            (LISTENER, _) => self.clients.accept(),
            (SIGNALS, _) => self.told()?,
            (DISCOVERY, _) => self.discovery.stirred(0, slept, &mut self.coordinator),
            (DISCOVERY_AGAIN, _) => self.discovery.stirred(1, slept, &mut self.coordinator),
            (_, Some((OUTSIDE, place))) => self.clients.stirred(place, &mut self.coordinator),
            (_, Some((EXECUTOR, place))) => self.executors.stirred(place, &mut self.coordinator),
            (SIBLINGS, _) => {
                if let Some(siblings) = &self.siblings {
                    siblings.accept();
                }
            }
            (_, Some((SIBLING, place))) => {
                if let Some(siblings) = &self.siblings {
                    siblings.stirred(place, &mut self.coordinator);
                }
            }
            (AGENT | HEALTH, _) | (_, Some((AGENT_CHECK | HEALTH_CALL, _))) => {
                if let Some(checks) = self.checks.clone() {
                    self.checked(&checks, key);
                }
            }
            (FELLOWS, _) => {
                if let Some(fellows) = &self.fellows {
                    fellows.stirred(&mut self.coordinator);
                }
            }
            (FAKTORY, _) => {
                if let Some(faktory) = &self.faktory {
                    faktory.accept();
                }
            }
            (_, Some((PEER, place))) => {
                if let Some(faktory) = &self.faktory {
                    faktory.stirred(place, &mut self.coordinator);
                }
            }
            (_, kind) => {
                if let Some(console) = self.console.clone() {
                    kind.map_or_else(|| console.accept(), |(_, place)| console.stirred(place, self));
                }
            }
        }
        Ok(())
    }

    /// A balancer asks, or goes on with that.
    fn checked(&mut self, checks: &Checks, key: usize) {
        match (key, connection(key)) {
            (AGENT, _) => checks.accept_agent(|| self.verdict()),
            (HEALTH, _) => checks.accept_health(),
            (_, Some((AGENT_CHECK, place))) => checks.stirred_agent(place),
            (_, Some((_, place))) => checks.stirred_health(place, || self.verdict()),
            _ => {}
        }
    }

    /// What other balancers are told.
    fn verdict(&mut self) -> Verdict {
        let stands = match self.phase {
            Phase::Starting => Stands::Starting,
            Phase::Serving => Stands::Serving,
            _ => Stands::Leaving,
        };
        let see = || {
            let (listed, passed_over) = self.coordinator.executor_counts();
            let c = &self.counters;
            let failed = [&c.ended_error, &c.ended_reset, &c.ended_timed_out, &c.ended_refused];
            Seen {
                stands,
                open: self.clients.open_units(),
                most_open: self.clients.most_units(),
                listed,
                passed_over,
                fulfilled: c.fulfilled.total(),
                failed: failed.into_iter().map(crate::state::counters::Counter::total).sum(),
            }
        };
        self.fitness.verdict(self.clock.now(), see, stands)
    }

    fn told(&mut self) -> io::Result<()> {
        self.signals.drain();
        self.poller.modify(&self.signals, Event::readable(SIGNALS))?;
        if self.signals.told_to_reload() {
            self.reload();
        }
        if self.signals.told_to_stop() {
            let now = self.clock.now();
            // The fronts have noticed a drain, or are about to: it needs no second time.
            let since = match self.phase {
                Phase::Starting | Phase::Serving => now,
                Phase::Drained { since } => since,
                Phase::Leaving { .. } | Phase::Closing { .. } | Phase::Gone => return Ok(()),
            };
            self.clients.end_by(now + EXCUSED_DURATION, now + self.answers_within);
            if let Some(siblings) = self.siblings.as_ref().filter(|siblings| siblings.has_younger()) {
                // The younger one takes in all who come to the shared socket: there is nothing to be noticed.
                siblings.say_leaves();
                self.clients.take_in_new(false);
                self.enter(Phase::Closing { since: now });
                return Ok(());
            }
            self.enter(Phase::Leaving { since });
        }
        Ok(())
    }

    /// Reads the operators' file of the fleet anew, where there is one: budgets may have changed in it.
    fn reload_fleet(&mut self) {
        let Some((fellows, path)) = self.fellows.as_ref().zip(env::var_os(FLEET)) else { return };
        if let Err(what) = FleetSettings::of_file(Path::new(&path))
            .map_err(|error| error.to_string())
            .and_then(|fleet| fellows.reads(&fleet))
        {
            self.counters.postings_bad.increment();
            error!("what the nodes are told to do together stays as it is: {what}");
        }
    }

    /// Reads the posting anew and moves to the discovery that it names. All else that is in hand stays, and what
    /// else has changed in the file waits for the next start; so does all of a file that can't be read.
    fn reload(&mut self) {
        self.reload_fleet();
        match NodeSettings::of_file(&self.posted) {
            Ok(posting) => {
                self.counters.postings_read.increment();
                info!("the posting was read anew: discovery is at {}", posting.discovery);
                self.discovery.moved(posting.discovery, &mut self.coordinator);
            }
            Err(what) => {
                self.counters.postings_bad.increment();
                error!("the posting that is in force stays: {what}");
            }
        }
    }

    /// While another process of this node is there each goes by half the limits, and one of them has the cold
    /// executors.
    fn share(&mut self) {
        let Some(siblings) = &self.siblings else { return };
        let relieved = matches!(self.phase, Phase::Closing { .. }) && siblings.has_younger();
        let shares = (siblings.any(), relieved || siblings.has_elder());
        let before = std::mem::replace(&mut self.shares, shares);
        if before.0 != shares.0 {
            let part = if shares.0 { 2 } else { 1 };
            let (from_outside, to_executors, room) = self.limits;
            self.clients.hold((from_outside / part, room / part));
            self.executors.hold(to_executors / part);
        }
        if before.1 != shares.1 {
            self.coordinator.set_slow_start_elsewhere(shares.1);
        }
    }

    /// Whether what is known of the list may be gone by.
    fn knows_enough(&self) -> bool {
        let told =
            !self.relieves || self.discovery.was_heard() || self.clock.now() >= self.started + UPDATE_TIMEOUT;
        let has_word = self.fellows.as_ref().is_none_or(|fellows| fellows.has_word());
        told && has_word && self.coordinator.has_listed_executors()
    }

    /// A plan may have it that this node's own machine goes: then its clients are sent away as by its staff, and taken back if it is
    /// not to go after all.
    fn goes_or_stays(&mut self) {
        let Some(fellows) = self.fellows.clone() else { return };
        match (fellows.is_to_go(), self.phase) {
            (true, Phase::Starting | Phase::Serving) => {
                self.goes_by_plan = true;
                self.enter(Phase::Drained { since: self.clock.now() });
            }
            (true, Phase::Drained { since })
                if self.clock.now() >= since + DETECTION_TIMEOUT
                    && self.clients.open_units() == 0
                    && self.owes_no_push() =>
            {
                fellows.is_through(&mut self.coordinator);
            }
            (false, Phase::Drained { .. }) if self.goes_by_plan => {
                self.goes_by_plan = false;
                self.enter(Phase::Starting);
            }
            _ => {}
        }
    }

    fn move_on(&mut self) {
        self.share();
        self.goes_or_stays();
        match self.phase {
            Phase::Starting if self.knows_enough() => self.enter(Phase::Serving),
            Phase::Leaving { since } if self.clock.now() >= since + DETECTION_TIMEOUT => {
                self.enter(Phase::Closing { since: self.clock.now() });
            }
            Phase::Drained { since } if self.clock.now() >= since + DETECTION_TIMEOUT => self.wind_down(),
            Phase::Closing { since } => {
                self.wind_down();
                if self.clients.owes_nothing(since) && self.owes_no_push() {
                    self.enter(Phase::Gone);
                }
            }
            _ => {}
        }
    }

    /// Brings clients' connections to their end: each by its answer, idle ones at once.
    fn wind_down(&self) {
        self.clients.wind_down(true);
        self.clients.accept();
        self.clients.close_idle(IDLE_TIMEOUT);
    }

    fn owes_no_push(&self) -> bool {
        self.faktory.as_ref().is_none_or(|faktory| faktory.owes_nothing())
    }

    fn enter(&mut self, phase: Phase) {
        if let Some(faktory) = &self.faktory {
            faktory.leave(!matches!(phase, Phase::Starting | Phase::Serving));
        }
        info!("{phase} after {}", self.phase);
        self.clients.log_standing();
        self.phase = phase;
        match phase {
            Phase::Serving => {
                self.clients.wind_down(false);
                self.clients.take_in_new(true);
                self.clients.say_ready(true);
            }
            Phase::Drained { .. } | Phase::Leaving { .. } => self.clients.say_ready(false),
            Phase::Starting => self.clients.wind_down(false),
            // Newcomers to a socket that the platform holds wait there for the next process.
            Phase::Closing { .. } if self.siblings.is_some() => self.clients.take_in_new(false),
            Phase::Closing { .. } => {}
            Phase::Gone => self.fellows.iter().for_each(|fellows| fellows.leave()),
        }
    }
}

impl Office for Node {
    fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    fn figures(&self) -> String {
        let (listed, passed_over) = self.coordinator.executor_counts();
        let pushed = self.faktory.as_ref().map_or(0, |faktory| faktory.open_units());
        let gauges = Gauges {
            open_requests: self.clients.open_units() + pushed + self.coordinator.open_durable_jobs(),
            listed_executors: listed,
            out_of_rotation: passed_over,
            peers: self.fellows.as_ref().map(|fellows| fellows.count()),
            voters: self.fellows.as_ref().map_or((None, None), |fellows| fellows.settled()),
            budgets: self.fellows.as_ref().map_or_else(Vec::new, |fellows| fellows.parts()),
            budget_editions: self.fellows.as_ref().and_then(|fellows| fellows.editions()),
        };
        let (counters, classes) = (&*self.counters, self.clients.tariffs());
        MetricsText { counters, classes, gauges }.to_string()
    }

    fn fleet(&self) -> Option<String> {
        let shown = self.fellows.as_ref()?.shows()?;
        let (age_ms, shown) = shown.map_or((None, None), |(age_ms, shown)| (Some(age_ms), Some(shown)));
        Some(json!({"age_ms": age_ms, "shown": shown}).to_string())
    }

    fn members(&self) -> Option<String> {
        let fellows = self.fellows.as_ref()?;
        let member = |(number, address, generation, for_ms): (u32, SocketAddr, u64, u64)| json!({"node": number, "address": address.to_string(), "start": generation, "for_ms": for_ms});
        let members: Vec<Value> = fellows.members().into_iter().map(member).collect();
        Some(json!({"leader": fellows.settled().0, "members": members}).to_string())
    }

    fn says(&mut self, name: u64, what: &str, body: &[u8]) -> Result<(), String> {
        let fellows = self.fellows.as_ref().filter(|fellows| fellows.shows().is_some());
        let fellows = fellows.ok_or("this node takes no machines out: its file has no [maintenance]")?;
        let command = match what {
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
                let said = std::str::from_utf8(body).ok().and_then(|said| said.trim().rsplit_once(' '));
                let said =
                    said.and_then(|(machine, number)| Some((machine.to_owned(), number.parse().ok()?)));
                let (machine, number) = said.ok_or("expected a machine and the number of a decision")?;
                Command::Idle(machine, number)
            }
            _ => return Err(format!("expected submit, pause, resume, idle or withdraw, found {what:?}")),
        };
        fellows.says(name, command);
        Ok(())
    }

    fn send_away(&mut self) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            self.enter(Phase::Drained { since: self.clock.now() });
        }
    }

    fn take_back(&mut self) -> bool {
        if let Phase::Drained { .. } = self.phase {
            self.enter(Phase::Starting);
            self.move_on();
        }
        matches!(self.phase, Phase::Starting | Phase::Serving)
    }
}

fn is_staff(key: usize) -> bool {
    key == CONSOLE || connection(key).is_some_and(|(kind, _)| kind == STAFF)
}

/// Where the console listens: what the file says counts before what the platform says.
fn console_at(posted: Option<SocketAddr>) -> Result<Option<SocketAddr>, String> {
    let said = env::var(CONSOLE_AT).ok().filter(|said| posted.is_none() && !said.is_empty());
    let parsed = said.map(|said| {
        said.parse().map_err(|_| format!("{CONSOLE_AT}: expected an address and a port, found {said:?}"))
    });
    Ok(posted.or(parsed.transpose()?))
}

/// Tells the operator which promises of the settings have no form on sockets.
fn say_what_sockets_lack(settings: &DeploymentSettings, has_fellows: bool) {
    if settings.registry_mode == RegistryMode::Automatic {
        info!("the list comes unasked, says the posting: on sockets a watch is kept for it all the same");
    }
    if settings.peers && !has_fellows {
        warn!(
            "nodes may send each other words, says the posting: sockets have no form for them, none is sent"
        );
    }
}

/// When an idle connection is retired. Executors close it after `idle` at the latest, and a request on its way
/// then is lost: half a second covers the way and a busy moment, a quarter of it where that is less. Earlier
/// would cost hand-shakes that nobody needs.
fn retire_after(idle: Duration) -> Duration {
    const MARGIN: Duration = Duration::from_millis(500);
    Duration::from_nanos(idle.nanos() - MARGIN.nanos().min(idle.nanos() / 4))
}
