//! The other nodes of the fleet. One UDP socket serves membership, observations of executors that are down or
//! restarted, load messages of the dispatcher, and the messages of voters. Each datagram carries a tag that is made
//! with the secret of the fleet; datagrams without it are dropped and counted.

use crate::coordinator::{ClosedExecutors, Coordinator, LearnedEstimates};
use crate::interfaces::PeerMessenger;
use crate::state::budget_shares::{self, BudgetScope, BudgetShares, BudgetUse};
use crate::state::clock::Clock;
use crate::state::counters::Counters;
use crate::state::replicated_state::{Outcome, ReplicatedState, StateCommand};
use crate::wire::voter_group::VoterGroup;
use grebeusher_budgets::{FleetBudgets, Holder};
use grebeusher_dispatch::ids::fixed_hash;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_maintenance::{
    self as maintenance, Command, MaintenanceState, Permission, Permit, PlanStatus, node_name,
};
use grebeusher_membership::{ExecutorObservation, Host, LiveMember, Member, Membership};
use grebeusher_node_config::fleet;
use polling::{Event, Poller};
use serde::Serialize;
use siphasher::sip128::{Hasher128, SipHasher24};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use tracing::{info, warn};

/// The descriptors that are reserved for the socket.
pub const DESCRIPTORS: usize = 1;
/// The first byte of each datagram of this version; datagrams with another one are of another version.
const VERSION: u8 = 3;
const TAG_BYTES: usize = 16;
/// The kinds of datagrams, in the second byte.
const MEMBERSHIP: u8 = 1;
const LOAD: u8 = 2;
/// A message of one voter to another.
pub const VOTER: u8 = 3;
/// A command for the replicated state of the voters, and the outcome of one.
pub const COMMAND: u8 = 4;
pub const OUTCOME: u8 = 5;
/// The number of datagrams that are read in one turn of the event loop. Guards against a flood of them that keeps
/// clients waiting.
const MAX_DATAGRAMS_PER_TURN: usize = 256;
/// The voters have made a decision: nodes with a permission should ask for a new one now. It is only a hint.
const NUDGE: u8 = 6;
/// Observations of executors that a node which has just started has missed.
const OBSERVATIONS: u8 = 7;
/// A node that has just started asks for missed observations and learned estimates; the body is its address.
const OBSERVATIONS_ASK: u8 = 8;
/// What the sender has learned about requests and kinds of executors.
const LEARNED: u8 = 9;
/// The number of nodes that send a newly joined node what it has missed: one may be down itself, and its datagram may
/// get lost.
const INFORMERS: u64 = 3;
/// The interval of the first asks for missed observations of a node that has just started, and their number: most of a
/// fleet may have been restarted with it, and know as little.
const FIRST_ASK_INTERVAL: Duration = Duration::from_millis(250);
const FIRST_ASKS: u32 = 20;
/// The interval of later asks, until the node knows this many request sizes: their mean is off by about a sixth where a
/// few are long.
const LATER_ASK_INTERVAL: Duration = Duration::from_millis(2000);
const ENOUGH_SIZES: usize = 200;
/// The number and the interval of the commands that tell the voters of reloaded budgets; they are sent again whenever
/// the voters answer by an older edition.
const BUDGET_ANNOUNCEMENTS: u32 = 3;
const BUDGET_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Decisions come in clusters: one nudge is sent for all decisions in this time.
const NUDGE_INTERVAL: Duration = Duration::from_millis(100);
/// The longest datagram of UDP, in bytes. Regular messages between nodes fit `MAX_BYTES` of the membership; a plan and
/// its status do not, and are asked for again if a fragment is lost.
const MAX_DATAGRAM: usize = 65_536;
/// The voters send the status of the plan for this long after operators last read it.
const VIEWER_TIMEOUT: Duration = Duration::from_millis(3000);
/// The interval at which the leader passes the executor list to the maintenance state: a machine that is back makes way
/// for the next.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Observations older than this are not sent: executors have left slow start by then.
const MAX_OBSERVATION_AGE: Duration = Duration::from_millis(60_000);

/// Encodes and decodes the frame of each datagram: the version, the kind, and a tag over all of it that only nodes with
/// the name and the secret of the fleet can make.
struct Frame {
    fleet: String,
    key: [u8; 16],
}

impl Frame {
    fn new(fleet: &str, secret: &str) -> Frame {
        Frame { fleet: fleet.to_owned(), key: derive_key(secret) }
    }

    fn tag(&self, version: u8, kind: u8, body: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.key);
        hasher.write(&[version, kind, self.fleet.len() as u8]);
        hasher.write(self.fleet.as_bytes());
        hasher.write(body);
        hasher.finish128().as_bytes()
    }

    fn encode(&self, kind: u8, body: &[u8]) -> Vec<u8> {
        let mut datagram = vec![VERSION, kind];
        datagram.extend_from_slice(&self.tag(VERSION, kind, body));
        datagram.extend_from_slice(body);
        datagram
    }

    /// The kind and the body of a datagram; `None` if it is of another fleet or version, forged or truncated.
    fn decode<'a>(&self, datagram: &'a [u8]) -> Option<(u8, &'a [u8])> {
        let (head, rest) = datagram.split_at_checked(2)?;
        let (tag, body) = rest.split_at_checked(TAG_BYTES)?;
        let (version, kind) = (head[0], head[1]);
        (version == VERSION && self.tag(version, kind, body) == tag).then_some((kind, body))
    }
}

/// Derives a key of the needed length from a secret of any length.
fn derive_key(secret: &str) -> [u8; 16] {
    let mut hasher = SipHasher24::new();
    hasher.write(secret.as_bytes());
    hasher.finish128().as_bytes()
}

/// The socket, and the addresses of the other nodes.
pub struct PeerSocket {
    socket: UdpSocket,
    frame: Frame,
    addresses: RefCell<BTreeMap<u32, SocketAddr>>,
    /// The last known addresses of voters: one that membership takes to be down, but is not, must still be reached.
    voters: RefCell<BTreeMap<u32, Option<SocketAddr>>>,
    /// The addresses that nodes gave in their commands. Guards against a voter that has just started, leads, and does
    /// not know the addresses of nodes that it answers.
    askers: RefCell<BTreeMap<u32, SocketAddr>>,
    /// This node's number, and the address at which others reach it.
    pub own: (u32, SocketAddr),
    pub counters: Rc<Counters>,
}

impl PeerSocket {
    fn send_frame(&self, target: SocketAddr, kind: u8, body: &[u8]) {
        match self.socket.send_to(&self.frame.encode(kind, body), target) {
            Ok(_) => self.counters.datagrams_sent.increment(),
            // A datagram that is lost here is like one that is lost on the way.
            Err(_) => self.counters.datagrams_failed.increment(),
        }
    }

    /// Sends to a node by its number; does nothing if no address of it is known.
    pub fn send_bytes(&self, node: u32, kind: u8, body: &[u8]) {
        let known_address = self.addresses.borrow().get(&node).copied();
        let known_address = known_address.or_else(|| self.voters.borrow().get(&node).copied().flatten());
        if let Some(target) = known_address.or_else(|| self.askers.borrow().get(&node).copied()) {
            self.send_frame(target, kind, body);
        }
    }

    /// Records the address that a node gave in its command.
    pub fn record_asker(&self, (node, address): (u32, SocketAddr)) {
        self.askers.borrow_mut().insert(node, address);
    }

    fn send_message(&self, target: SocketAddr, kind: u8, message: &impl Serialize) {
        if let Ok(body) = postcard::to_allocvec(message) {
            self.send_frame(target, kind, &body);
        }
    }

    pub fn send_message_to(&self, node: u32, kind: u8, message: &impl Serialize) {
        if let Ok(body) = postcard::to_allocvec(message) {
            self.send_bytes(node, kind, &body);
        }
    }
}

/// The host of the membership; what the event loop has to handle is collected in shared lists.
struct MembershipHost {
    peer_socket: Rc<PeerSocket>,
    observations: Rc<RefCell<Vec<ExecutorObservation>>>,
    newcomers: Rc<RefCell<Vec<u32>>>,
}

impl Host for MembershipHost {
    fn send(&mut self, target: SocketAddr, datagram: &[u8]) {
        self.peer_socket.send_frame(target, MEMBERSHIP, datagram);
    }

    fn member_up(&mut self, member: Member) {
        let Member { address, number, generation } = member;
        info!(
            fellow = number,
            start = generation,
            "node {number} is there, at {address}, start {generation}"
        );
        self.peer_socket.counters.fellows_came.increment();
        self.newcomers.borrow_mut().push(member.number);
        self.peer_socket.addresses.borrow_mut().insert(member.number, member.address);
        if let Some(voter) = self.peer_socket.voters.borrow_mut().get_mut(&member.number) {
            *voter = Some(member.address);
        }
    }

    fn member_down(&mut self, member: Member) {
        let Member { number, generation, .. } = member;
        info!(fellow = number, start = generation, "node {number} is gone, start {generation}");
        self.peer_socket.counters.fellows_went.increment();
        let mut addresses = self.peer_socket.addresses.borrow_mut();
        if addresses.get(&member.number) == Some(&member.address) {
            addresses.remove(&member.number);
        }
    }

    fn executor_observed(&mut self, observation: ExecutorObservation) {
        self.observations.borrow_mut().push(observation);
    }
}

pub struct Peers {
    peer_socket: Rc<PeerSocket>,
    poller: Rc<Poller>,
    key: usize,
    clock: Clock,
    /// This node's number, and the configured number of nodes.
    own: u32,
    count: u64,
    observations: Rc<RefCell<Vec<ExecutorObservation>>>,
    /// Nodes that have joined, and have not been sent yet what they missed.
    newcomers: Rc<RefCell<Vec<u32>>>,
    membership: RefCell<Membership<MembershipHost>>,
    catch_up: Cell<CatchUp>,
    voter_group: Option<RefCell<VoterGroup>>,
    budget_shares: Option<RefCell<BudgetShares>>,
    /// When the voters are told next of budgets that they do not apply yet, and how many announcements are left.
    budget_announcements: Cell<(Instant, u32)>,
    maintenance: Option<MaintenanceAgent>,
    datagram: RefCell<Vec<u8>>,
}

/// The progress of a node that has just started in learning what the others know.
#[derive(Clone, Copy)]
struct CatchUp {
    next_ask_at: Instant,
    ask_count: u32,
    is_done: bool,
}

/// This node's part in maintenance: its permission to send to executors, and what it reports to the voters.
struct MaintenanceAgent {
    permission: RefCell<Permission>,
    /// This node is to be taken out itself, and has no open request: it sends nothing until the voters let it stay.
    is_drained: Cell<bool>,
    /// When more executors may have to be closed; `None` before the first permission.
    closed_changes_at: Cell<Option<Instant>>,
    /// When the executor list was last passed to the voters.
    list_viewed_at: Cell<Instant>,
    /// When the other nodes are told of a decision that was made here.
    next_nudge_at: Cell<Option<Instant>>,
    /// When operators last read the status of the plan, and the latest status with the time of its arrival.
    viewed_at: Cell<Option<Instant>>,
    plan_status: RefCell<Option<(Instant, PlanStatus)>>,
}

impl Peers {
    /// Listens at the IP address of the clients' listener, and contacts the configured nodes to join the fleet. `own`
    /// and `count` are this node's number and the configured number of nodes.
    #[expect(clippy::too_many_lines, reason = "the steps of a start in their order; to be split")]
    pub fn start(
        fleet: &fleet::FleetSettings,
        settings: &fleet::PeerSettings,
        names: (&[String], &[String]),
        listen: SocketAddr,
        (own, count, zone): (u64, u64, &str),
        seed: u64,
        (key, poller, clock, counters): (usize, &Rc<Poller>, Clock, &Rc<Counters>),
    ) -> Result<Peers, String> {
        let at = SocketAddr::new(listen.ip(), settings.port);
        let with_address = |e: io::Error| format!("fellows.port: {at}: {e}");
        let socket = UdpSocket::bind(at).map_err(with_address)?;
        socket.set_nonblocking(true).map_err(with_address)?;
        poller.add(&socket, Event::readable(key)).map_err(with_address)?;
        let frame = Frame::new(&settings.fleet, &settings.secret);
        let voters = fleet.voters.as_ref();
        let voter_addresses = voters.iter().flat_map(|voters| &voters.nodes).map(|number| (*number, None));
        let peer_socket = Rc::new(PeerSocket {
            socket,
            frame,
            addresses: RefCell::default(),
            voters: RefCell::new(voter_addresses.collect()),
            askers: RefCell::default(),
            own: (own as u32, settings.known_as.unwrap_or(at)),
            counters: counters.clone(),
        });
        let observations: Rc<RefCell<Vec<ExecutorObservation>>> = Rc::default();
        let newcomers: Rc<RefCell<Vec<u32>>> = Rc::default();
        let host = MembershipHost {
            peer_socket: peer_socket.clone(),
            observations: observations.clone(),
            newcomers: newcomers.clone(),
        };
        let now = clock.now();
        let member =
            Member { address: peer_socket.own.1, number: peer_socket.own.0, generation: now.0 / 1_000_000 };
        let holder = Holder { number: member.number, generation: member.generation };
        let budgets = fleet.budgets.as_ref();
        let budget_shares =
            budgets.map(|settings| BudgetShares::new(now, settings, names, holder).map(RefCell::new));
        let budget_shares = budget_shares.transpose()?;
        let permission = fleet
            .maintenance
            .as_ref()
            .map_or(Duration::from_nanos(0), grebeusher_node_config::fleet::MaintenanceSettings::permission);
        let name_hashes = (fixed_hash(&at.to_string()), fixed_hash(&node_name(member.number)));
        let maintenance = fleet.maintenance.as_ref().map(|_| MaintenanceAgent {
            is_drained: Cell::new(false),
            permission: RefCell::new(Permission::new(holder, name_hashes, permission).with_zone(zone)),
            closed_changes_at: Cell::new(None),
            list_viewed_at: Cell::new(now),
            next_nudge_at: Cell::new(None),
            viewed_at: Cell::new(None),
            plan_status: RefCell::default(),
        });
        let voter_group = voters.map(|voters| {
            let (fleet_budgets, lease) = budgets.map_or_else(
                || (FleetBudgets::default(), Duration::from_nanos(0)),
                |settings| (budget_shares::fleet_budgets(settings), settings.lease()),
            );
            let initial_state = ReplicatedState::empty(
                fleet_budgets,
                lease,
                MaintenanceState::new(permission, count as u32, &voters.nodes),
            );
            let voter_group =
                VoterGroup::new(now, &voters.nodes, member.number, seed ^ now.0, initial_state, &peer_socket);
            RefCell::new(voter_group)
        });
        let mut membership = Membership::new(member, count as u32, seed, host);
        membership.join(now, &settings.contacts);
        info!("peers: fleet {} at {at}, reached at {}", settings.fleet, member.address);
        Ok(Peers {
            peer_socket,
            poller: poller.clone(),
            key,
            clock,
            own: own as u32,
            count,
            observations,
            newcomers,
            membership: RefCell::new(membership),
            catch_up: Cell::new(CatchUp { next_ask_at: now, ask_count: 0, is_done: false }),
            voter_group,
            budget_shares,
            budget_announcements: Cell::new((now, 0)),
            maintenance,
            datagram: RefCell::new(vec![0; MAX_DATAGRAM]),
        })
    }

    /// The number of the node that leads the voters, as far as this node knows, and the number of log entries that its
    /// own voter has applied.
    pub fn voter_status(&self) -> (Option<u32>, Option<u64>) {
        self.voter_group.as_ref().map_or((None, None), |voter_group| voter_group.borrow().status())
    }

    /// The number of other live nodes.
    pub fn count(&self) -> usize {
        self.membership.borrow().members().count()
    }

    /// For each budget: its name, the units that this node may spend in a window now, and the units that it spent in
    /// the latest window.
    pub fn budget_usage(&self) -> Vec<(String, u32, usize)> {
        let now = self.clock.now();
        self.budget_shares
            .as_ref()
            .map_or_else(Vec::new, |budget_shares| budget_shares.borrow_mut().usage(now))
    }

    /// The edition of the budgets in this node's file, and the edition by which the voters last answered.
    pub fn budget_editions(&self) -> Option<(u64, u64)> {
        self.budget_shares.as_ref().map(|budget_shares| budget_shares.borrow().editions())
    }

    /// Applies a reloaded fleet file. Only budgets change while a node runs; other changes wait for the next start. An
    /// error says what is invalid, and nothing changes.
    pub fn reload(&self, fleet: &fleet::FleetSettings) -> Result<(), String> {
        let (Some(budget_shares), Some(settings)) = (&self.budget_shares, &fleet.budgets) else {
            return match (&self.budget_shares, &fleet.budgets) {
                (None, None) => Ok(()),
                _ => {
                    Err("budgets: adding or removing the whole section takes a restart of the node"
                        .to_owned())
                }
            };
        };
        let now = self.clock.now();
        let earlier = budget_shares.borrow().editions().0;
        budget_shares.borrow_mut().reload(now, settings)?;
        if budget_shares.borrow().editions().0 > earlier {
            let edition = settings.edition;
            info!(edition, "budgets: edition {edition} read, replacing edition {earlier}");
            self.budget_announcements.set((now, BUDGET_ANNOUNCEMENTS));
        }
        Ok(())
    }

    /// Tells the voters of budgets that are newer than those that they apply.
    fn announce_budgets(&self, now: Instant) {
        let Some((budget_shares, voter_group)) = self.budget_shares.as_ref().zip(self.voter_group.as_ref())
        else {
            return;
        };
        let ((announce_at, remaining), (own_edition, applied_edition)) =
            (self.budget_announcements.get(), budget_shares.borrow().editions());
        // A node that has no answer yet does not know the edition that the voters apply.
        let is_behind = applied_edition > 0 && applied_edition < own_edition;
        if now < announce_at || (remaining == 0 && !is_behind) || applied_edition >= own_edition {
            return;
        }
        self.budget_announcements.set((now + BUDGET_ANNOUNCEMENT_INTERVAL, remaining.saturating_sub(1)));
        voter_group.borrow_mut().submit(now, StateCommand::Budgets(budget_shares.borrow().fleet_budgets()));
    }

    pub fn next_timeout(&self) -> Option<Instant> {
        let budget_timeout = self
            .budget_shares
            .as_ref()
            .and_then(|budget_shares| budget_shares.borrow().next_timeout(self.clock.now()));
        let voter_timeout =
            self.voter_group.as_ref().and_then(|voter_group| voter_group.borrow().next_timeout());
        let maintenance_timeout =
            self.maintenance.as_ref().and_then(|maintenance| maintenance.next_timeout(self.is_leader()));
        let catch_up = Some(self.catch_up.get()).filter(|catch_up| !catch_up.is_done && self.count() > 0);
        let catch_up = catch_up.map(|catch_up| catch_up.next_ask_at);
        let (announce_at, remaining) = self.budget_announcements.get();
        let announcement = (remaining > 0).then_some(announce_at);
        let timeouts = [
            self.membership.borrow().next_timeout(),
            budget_timeout,
            voter_timeout,
            maintenance_timeout,
            catch_up,
            announcement,
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Whether this node leads the voters.
    fn is_leader(&self) -> bool {
        self.voter_group
            .as_ref()
            .is_some_and(|voter_group| voter_group.borrow().with_leading_state(|_| ()).is_some())
    }

    /// Whether this node may send to executors: with maintenance it needs a permission of the voters first.
    pub fn may_send(&self) -> bool {
        self.maintenance.as_ref().is_none_or(|maintenance| maintenance.permission.borrow().has_permit())
    }

    /// Whether this node's own machine is to be taken out for maintenance.
    pub fn is_to_leave(&self) -> bool {
        self.maintenance
            .as_ref()
            .is_some_and(|maintenance| maintenance.permission.borrow().is_own_machine_closed())
    }

    /// This node is to be taken out, and its clients have been sent elsewhere. Once nothing that it sent may still be
    /// running and it holds no share of a budget, it stops sending and reports that to the voters.
    pub fn report_if_drained(&self, coordinator: &mut Coordinator) {
        let Some(maintenance) = self.maintenance.as_ref().filter(|maintenance| !maintenance.is_drained.get())
        else {
            return;
        };
        let max_run_time = maintenance.permission.borrow().max_unit_time();
        let holds_grants = self
            .budget_shares
            .as_ref()
            .is_some_and(|budget_shares| budget_shares.borrow().holds_grants(self.clock.now()));
        if !holds_grants
            && coordinator.outstanding_by_executor(max_run_time).is_empty()
            && !coordinator.has_requests_awaiting_budget()
        {
            info!("maintenance: this node is drained and may be taken out");
            maintenance.is_drained.set(true);
            maintenance.permission.borrow_mut().request_urgently();
            maintenance.apply_closed(self.clock.now(), coordinator);
        }
    }

    /// Called at the start of each turn of the event loop. Guards against a node that was stopped while its permission
    /// expired, and then sends queued requests to a machine that is out by now.
    pub fn check_permission(&self, coordinator: &mut Coordinator) {
        if let Some(maintenance) = &self.maintenance {
            maintenance.check_permission(self.clock.now(), coordinator);
        }
    }

    /// Submits what this node asks of the voters about maintenance, and, if it leads, passes the executor list to them.
    fn run_maintenance(&self, coordinator: &mut Coordinator) {
        let Some((maintenance, voter_group)) = self.maintenance.as_ref().zip(self.voter_group.as_ref())
        else {
            return;
        };
        let now = self.clock.now();
        maintenance.check_permission(now, coordinator);
        if let Some(ask) = maintenance.next_ask(now, coordinator, &self.peer_socket.counters) {
            voter_group
                .borrow_mut()
                .submit(now, StateCommand::Maintenance(maintenance::Step::PermitRequest(ask)));
        }
        if voter_group.borrow_mut().take_plan_moved() && maintenance.next_nudge_at.get().is_none() {
            maintenance.next_nudge_at.set(Some(now + NUDGE_INTERVAL));
        }
        if maintenance.next_nudge_at.get().is_some_and(|at| at <= now) {
            maintenance.next_nudge_at.set(None);
            maintenance.permission.borrow_mut().request_soon(now);
            self.peer_socket
                .addresses
                .borrow()
                .values()
                .for_each(|&target| self.peer_socket.send_frame(target, NUDGE, &[]));
        }
        if now < maintenance.list_viewed_at.get() + VIEW_INTERVAL {
            return;
        }
        let seen = voter_group.borrow().with_leading_state(|state| {
            (state.maintenance.view().clone(), state.maintenance.watched_machines().collect::<Vec<u64>>())
        });
        let Some((seen, watched)) = seen else { return };
        maintenance.list_viewed_at.set(now);
        let view = coordinator.maintenance_view(watched.into_iter());
        if view != seen {
            voter_group.borrow_mut().submit(now, StateCommand::Maintenance(maintenance::Step::View(view)));
        }
    }

    /// Submits a maintenance command of the operators to the voters, under a name by which it is answered and carried
    /// out once.
    pub fn submit_command(&self, name: u64, command: Command) {
        if let Some(voter_group) = &self.voter_group {
            let offset = StateCommand::Maintenance(maintenance::Step::Command(name, command));
            voter_group.borrow_mut().submit(self.clock.now(), offset);
        }
    }

    /// The status of the plan, and milliseconds since it arrived; the inner `None` if none has arrived yet, the outer
    /// if maintenance is not configured.
    pub fn plan_status(&self) -> Option<Option<(u64, PlanStatus)>> {
        let maintenance = self.maintenance.as_ref()?;
        let now = self.clock.now();
        maintenance.viewed_at.set(Some(now));
        let plan_status = maintenance.plan_status.borrow();
        Some(
            plan_status
                .as_ref()
                .map(|(at, plan_status)| (now.since(*at).nanos() / 1_000_000, plan_status.clone())),
        )
    }

    /// The other live nodes: number, address, generation, and milliseconds since they joined.
    pub fn members(&self) -> Vec<(u32, SocketAddr, u64, u64)> {
        let now = self.clock.now();
        let membership = self.membership.borrow();
        let member = |LiveMember { member, since }| {
            (member.number, member.address, member.generation, now.since(since).nanos() / 1_000_000)
        };
        let mut members: Vec<_> = membership.members().map(member).collect();
        members.sort_unstable();
        members
    }

    /// Asks the voters for the budget shares that are needed now.
    fn ask_for_budgets(&self) {
        let Some((budget_shares, voter_group)) = self.budget_shares.as_ref().zip(self.voter_group.as_ref())
        else {
            return;
        };
        let now = self.clock.now();
        for request in budget_shares.borrow_mut().due_requests(now) {
            voter_group.borrow_mut().submit(now, StateCommand::BudgetRequest(request));
        }
    }

    pub fn handle_timeouts(&self, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        self.membership.borrow_mut().handle_timeout(now);
        if let Some(voter_group) = &self.voter_group {
            voter_group.borrow_mut().handle_timeouts(now);
        }
        self.ask_for_budgets();
        self.announce_budgets(now);
        self.ask_for_observations(now);
        self.run_maintenance(coordinator);
        self.deliver(coordinator);
    }

    pub fn handle_event(&self, coordinator: &mut Coordinator) {
        let mut datagram = self.datagram.borrow_mut();
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.peer_socket.socket.recv_from(&mut datagram) {
                Ok((length, _)) => self.datagram_received(&datagram[..length], coordinator),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // An earlier datagram was sent to an address where nobody listens.
                Err(_) => {}
            }
        }
        self.deliver(coordinator);
        if let Err(e) = self.poller.modify(&self.peer_socket.socket, Event::readable(self.key)) {
            warn!("cannot watch the socket of the peers: {e}");
        }
    }

    fn datagram_received(&self, datagram: &[u8], coordinator: &mut Coordinator) {
        self.peer_socket.counters.datagrams_came.increment();
        let is_valid = match self.peer_socket.frame.decode(datagram) {
            Some((MEMBERSHIP, body)) => self.membership.borrow_mut().receive(self.clock.now(), body).is_ok(),
            Some((LOAD, body)) => match body.split_first_chunk() {
                Some((from, message)) => {
                    coordinator.load_message_received(u64::from(u32::from_be_bytes(*from)), message);
                    true
                }
                None => false,
            },
            Some((OBSERVATIONS, body)) => match postcard::from_bytes::<Vec<ExecutorObservation>>(body) {
                Ok(observations) => {
                    self.observations.borrow_mut().extend(observations);
                    true
                }
                Err(_) => false,
            },
            Some((OBSERVATIONS_ASK, body)) => match postcard::from_bytes::<SocketAddr>(body) {
                Ok(newcomer) => {
                    self.send_knowledge(newcomer, coordinator);
                    true
                }
                Err(_) => false,
            },
            Some((LEARNED, body)) => match postcard::from_bytes(body) {
                Ok(estimates) => {
                    self.merge_knowledge(&estimates, coordinator);
                    true
                }
                Err(_) => false,
            },
            Some((NUDGE, _)) => self
                .maintenance
                .as_ref()
                .map(|maintenance| maintenance.permission.borrow_mut().request_soon(self.clock.now()))
                .is_some(),
            Some((kind @ (VOTER | COMMAND | OUTCOME), body)) => {
                let voter_group = self.voter_group.as_ref();
                voter_group.is_some_and(|voter_group| {
                    voter_group.borrow_mut().datagram_received(self.clock.now(), kind, body)
                })
            }
            _ => false,
        };
        if !is_valid {
            self.peer_socket.counters.datagrams_bad.increment();
        }
    }

    /// Passes observations to the coordinator, and outcomes of the voters to their receivers.
    fn deliver(&self, coordinator: &mut Coordinator) {
        let outcomes = self.voter_group.as_ref().map(|voter_group| voter_group.borrow_mut().outcomes());
        for outcome in outcomes.into_iter().flatten() {
            match (outcome, &self.budget_shares, &self.maintenance) {
                (Outcome::BudgetGrant(grant), Some(budget_shares), _) => {
                    budget_shares.borrow_mut().apply_grant(&grant);
                }
                (Outcome::Permit(permit), _, Some(maintenance)) => {
                    maintenance.permit_received(self.clock.now(), permit, coordinator);
                }
                _ => {}
            }
        }
        let observations = std::mem::take(&mut *self.observations.borrow_mut());
        for ExecutorObservation { executor, at_ms, gone } in observations {
            coordinator.executor_observed(executor, Instant(at_ms.saturating_mul(1_000_000)), gone);
        }
        self.inform_newcomers(coordinator);
        coordinator.budget_granted();
    }

    /// Sends newly joined nodes the observations that they missed; the nodes with the next few numbers do so.
    fn inform_newcomers(&self, coordinator: &Coordinator) {
        let newcomers = std::mem::take(&mut *self.newcomers.borrow_mut());
        let (own, count) = (u64::from(self.own), self.count.max(1));
        let informed_here =
            |node: &u32| (1..=INFORMERS).contains(&((own + count - u64::from(*node) % count) % count));
        let informed_here: Vec<u32> = newcomers.into_iter().filter(informed_here).collect();
        if informed_here.is_empty() {
            return;
        }
        let recent_observations = Self::recent_observations(coordinator);
        if !recent_observations.is_empty() {
            informed_here
                .into_iter()
                .for_each(|node| self.peer_socket.send_message_to(node, OBSERVATIONS, &recent_observations));
        }
    }

    fn recent_observations(coordinator: &Coordinator) -> Vec<ExecutorObservation> {
        let observation = |(executor, at, gone): (u64, Instant, bool)| ExecutorObservation {
            executor,
            at_ms: at.0 / 1_000_000,
            gone,
        };
        coordinator.recent_observations(MAX_OBSERVATION_AGE).map(observation).collect()
    }

    /// Asks a few other nodes, different ones each time, for missed observations and learned estimates. Guards against
    /// a node that estimates by the few requests that it has seen itself: several such nodes overload executors in slow
    /// start.
    fn ask_for_observations(&self, now: Instant) {
        let CatchUp { next_ask_at, ask_count, is_done } = self.catch_up.get();
        if is_done || now < next_ask_at {
            return;
        }
        let membership = self.membership.borrow();
        let others: Vec<SocketAddr> = membership.members().map(|live| live.member.address).collect();
        if others.is_empty() {
            return;
        }
        // Nodes that start together ask different ones.
        let first_index = (u64::from(self.own) + u64::from(ask_count) * INFORMERS) as usize;
        if let Ok(body) = postcard::to_allocvec(&membership.own_member().address) {
            for offset in 0..others.len().min(INFORMERS as usize) {
                self.peer_socket.send_frame(
                    others[(first_index + offset) % others.len()],
                    OBSERVATIONS_ASK,
                    &body,
                );
            }
        }
        let interval = if ask_count < FIRST_ASKS { FIRST_ASK_INTERVAL } else { LATER_ASK_INTERVAL };
        self.catch_up.set(CatchUp { next_ask_at: now + interval, ask_count: ask_count + 1, is_done });
    }

    fn send_knowledge(&self, newcomer: SocketAddr, coordinator: &Coordinator) {
        let recent_observations = Self::recent_observations(coordinator);
        if !recent_observations.is_empty() {
            self.peer_socket.send_message(newcomer, OBSERVATIONS, &recent_observations);
        }
        self.peer_socket.send_message(newcomer, LEARNED, &coordinator.learned_estimates());
    }

    fn merge_knowledge(&self, estimates: &LearnedEstimates, coordinator: &mut Coordinator) {
        let catch_up = self.catch_up.get();
        if !catch_up.is_done {
            let is_done = coordinator.merge_learned(estimates) >= ENOUGH_SIZES;
            self.catch_up.set(CatchUp { is_done, ..catch_up });
        }
    }

    /// Tells the others that this node leaves.
    pub fn leave(&self) {
        self.membership.borrow_mut().leave(self.clock.now());
    }
}

impl MaintenanceAgent {
    fn next_timeout(&self, is_leader: bool) -> Option<Instant> {
        let next_view = is_leader.then(|| self.list_viewed_at.get() + VIEW_INTERVAL);
        let next_ask_at = Some(self.permission.borrow().next_request_at());
        [next_view, next_ask_at, self.closed_changes_at.get(), self.next_nudge_at.get()]
            .into_iter()
            .flatten()
            .min()
    }

    fn check_permission(&self, now: Instant, coordinator: &mut Coordinator) {
        if self.closed_changes_at.get().is_some_and(|at| now >= at) {
            let for_s = self.permission.borrow().permit_age(now).seconds();
            warn!(
                for_s,
                "maintenance: no permission of the voters for {for_s:.1} s; sending nothing to machines of the plan"
            );
            self.apply_closed(now, coordinator);
        }
    }

    fn apply_closed(&self, now: Instant, coordinator: &mut Coordinator) {
        let permission = self.permission.borrow();
        self.closed_changes_at.set(permission.next_closing_at(now));
        coordinator.set_closed_executors(match permission.has_permit() && !self.is_drained.get() {
            true => ClosedExecutors::Only(permission.closed(now).collect()),
            false => ClosedExecutors::All,
        });
    }

    fn next_ask(
        &self,
        now: Instant,
        coordinator: &mut Coordinator,
        counters: &Counters,
    ) -> Option<maintenance::PermitRequest> {
        let mut permission = self.permission.borrow_mut();
        let is_viewed = self.viewed_at.get().is_some_and(|at| now.since(at) < VIEWER_TIMEOUT);
        if is_viewed {
            permission.request_urgently();
        }
        if permission.next_request_at() > now {
            return None;
        }
        let outstanding = coordinator.outstanding_by_executor(permission.max_unit_time());
        let request_counts = (counters.units.total(), counters.turned_back.total());
        let report = (self.is_drained.get(), is_viewed);
        permission.next_request(
            now,
            |machine| outstanding.get(&machine).copied().unwrap_or(0),
            request_counts,
            report,
        )
    }

    fn permit_received(&self, now: Instant, mut permit: Permit, coordinator: &mut Coordinator) {
        if let Some(plan_status) = permit.plan_status.take() {
            *self.plan_status.borrow_mut() = Some((now, plan_status));
        }
        let changed = self.permission.borrow_mut().receive_permit(&permit);
        if changed {
            self.is_drained.set(self.is_drained.get() && self.permission.borrow().is_own_machine_closed());
            self.apply_closed(now, coordinator);
        }
    }
}

impl PeerMessenger for Peers {
    fn send_load_message(&self, node: Option<u64>, message: &[u8]) {
        let mut body = self.own.to_be_bytes().to_vec();
        body.extend_from_slice(message);
        let addresses = self.peer_socket.addresses.borrow();
        match node {
            Some(node) => {
                if let Some(&target) = u32::try_from(node).ok().and_then(|node| addresses.get(&node)) {
                    self.peer_socket.send_frame(target, LOAD, &body);
                }
            }
            None => addresses.values().for_each(|&target| self.peer_socket.send_frame(target, LOAD, &body)),
        }
    }

    fn try_spend(&self, budget_use: BudgetUse, scope: BudgetScope) -> bool {
        let now = self.clock.now();
        self.budget_shares
            .as_ref()
            .is_none_or(|budget_shares| budget_shares.borrow_mut().try_spend(now, budget_use, scope))
    }

    fn try_spend_after_wait(&self, budget_use: BudgetUse, scope: BudgetScope) -> bool {
        let now = self.clock.now();
        self.budget_shares.as_ref().is_none_or(|budget_shares| {
            budget_shares.borrow_mut().try_spend_after_wait(now, budget_use, scope)
        })
    }

    fn broadcast_observation(&self, executor: u64, at: Instant, gone: bool) {
        if self.clock.now().since(at) < MAX_OBSERVATION_AGE {
            self.membership
                .borrow_mut()
                .broadcast(self.clock.now(), ExecutorObservation { executor, at_ms: at.0 / 1_000_000, gone });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frame(fleet: &str, secret: &str) -> Frame {
        Frame::new(fleet, secret)
    }

    /// Guards against accepting a datagram of another fleet or version, without the secret, truncated or changed.
    #[test]
    fn only_datagrams_with_the_tag_of_the_fleet_are_accepted() {
        let own = frame("lipa", "hush");
        let datagram = own.encode(LOAD, b"abc");
        assert_eq!(own.decode(&datagram), Some((LOAD, &b"abc"[..])));
        assert!(frame("lipa-2", "hush").decode(&datagram).is_none());
        assert!(frame("lipa", "loud").decode(&datagram).is_none());
        for length in 0..datagram.len() {
            assert!(own.decode(&datagram[..length]).is_none());
        }
        for at in 0..datagram.len() {
            let mut changed = datagram.clone();
            changed[at] ^= 1;
            assert!(own.decode(&changed).is_none(), "byte {at}");
        }
    }

    /// Guards against a voter that has just started and leads, but knows the addresses of some dozen of three hundred
    /// nodes: it answered no other for most of a minute, and plans and budgets stood still meanwhile.
    #[test]
    fn a_node_is_answered_at_the_address_that_it_gives_even_if_membership_does_not_know_it() {
        let bound = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let (socket, asker) = (bound(), bound());
        asker.set_read_timeout(Some(std::time::Duration::from_secs(20))).expect("a read timeout is set");
        let at = asker.local_addr().expect("the socket has an address");
        let peer_socket = PeerSocket {
            socket,
            frame: Frame::new("lipa", "hush"),
            addresses: RefCell::default(),
            voters: RefCell::default(),
            askers: RefCell::default(),
            own: (1, at),
            counters: Rc::default(),
        };
        peer_socket.send_bytes(60, OUTCOME, b"lost");
        peer_socket.record_asker((60, at));
        peer_socket.send_bytes(60, OUTCOME, b"granted");
        let mut datagram = [0; 100];
        let length = asker.recv(&mut datagram).expect("the node is answered");
        assert_eq!(peer_socket.frame.decode(&datagram[..length]), Some((OUTCOME, &b"granted"[..])));
    }
}
