//! The other nodes of the fleet: one UDP socket for who is there, for what each has seen of executors' starts, and for the
//! words of the decisions. Each datagram is marked with the fleet's secret; what is not is dropped and counted.

use crate::coordinator::{ClosedExecutors, Coordinator, LearnedEstimates};
use crate::interfaces::PeerMessenger;
use crate::state::budget_shares::{self, BudgetScope, BudgetShares, BudgetUse};
use crate::state::clock::Clock;
use crate::state::counters::Counters;
use crate::state::replicated_state::{Outcome, ReplicatedState, StateCommand};
use crate::wire::settling::Settling;
use grebeusher_budgets::{Holder, Wholes};
use grebeusher_dispatch::ids::fixed_hash;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_maintenance::{self as maintenance, Command, Permission, Permit, Shown, Works, node_name};
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

/// Descriptors that are set aside for it.
pub const DESCRIPTORS: usize = 1;
/// What this version writes first; one that begins otherwise is another's.
const VERSION: u8 = 3;
const MARK: usize = 16;
/// What a datagram holds, by its second byte.
const MEMBERSHIP: u8 = 1;
const WORD: u8 = 2;
/// Of one keeper to another.
pub const KEEPER: u8 = 3;
/// What is to be settled, and what came of it.
pub const STEP: u8 = 4;
pub const OUTCOME: u8 = 5;
/// So many datagrams are read in one turn of the loop: a flood of them must not keep clients waiting.
const AT_ONCE: usize = 256;
/// Something was decided: whoever sends by a permission should ask for a new one now. Only a hint.
const NUDGE: u8 = 6;
/// What a newcomer has missed of executors' starts.
const MISSED: u8 = 7;
/// A node that has just started asks what it has missed, with where it is reached.
const ASKS_MISSED: u8 = 8;
/// What another has learnt of work and of executors' kinds.
const LEARNT: u8 = 9;
/// So many of those who hear of a newcomer tell it: one may be gone itself, and its datagram lost.
const TELLERS: u64 = 3;
/// A node that has just started asks so often at first: most of a fleet may have been restarted with it, and know as little.
const ASKS_APART: Duration = Duration::from_millis(250);
const FIRST_ASKS: u32 = 20;
/// Later it asks so often, until it knows so many sizes of work: their mean is off by a sixth or so where a few are long.
const LATER_ASKS_APART: Duration = Duration::from_millis(2000);
const KNOWS_ENOUGH: usize = 200;
/// Budgets that were read anew are told to the keepers so often, and again whenever they answer by older ones.
const BUDGETS_TOLD: u32 = 3;
const BUDGETS_TOLD_APART: Duration = Duration::from_millis(500);
/// Decisions come in clusters: one nudge for all of them.
const NUDGES_APART: Duration = Duration::from_millis(100);
/// The longest datagram that UDP has. What nodes say to each other all the time fits `MAX_BYTES`; a plan and what staff see of
/// it does not, and is asked for again if a piece of it gets lost on the way.
const LONGEST: usize = 65_536;
/// Staff who look at a plan are shown it as long after they asked; then it is not sent any more.
const LOOK: Duration = Duration::from_millis(3000);
/// Whoever leads looks so often what the list says: a machine that is back makes way for the next.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);
/// A start that is longer ago than this is no news: executors are warm by then.
const RECENT: Duration = Duration::from_millis(60_000);

/// Writes and reads what stands around each datagram: version, kind and a mark over all of it that only those who know
/// the fleet's name and secret can make.
struct Frame {
    fleet: String,
    key: [u8; 16],
}

impl Frame {
    fn new(fleet: &str, secret: &str) -> Frame {
        Frame { fleet: fleet.to_owned(), key: key(secret) }
    }

    fn mark(&self, version: u8, kind: u8, body: &[u8]) -> [u8; MARK] {
        let mut hasher = SipHasher24::new_with_key(&self.key);
        hasher.write(&[version, kind, self.fleet.len() as u8]);
        hasher.write(self.fleet.as_bytes());
        hasher.write(body);
        hasher.finish128().as_bytes()
    }

    fn around(&self, kind: u8, body: &[u8]) -> Vec<u8> {
        let mut datagram = vec![VERSION, kind];
        datagram.extend_from_slice(&self.mark(VERSION, kind, body));
        datagram.extend_from_slice(body);
        datagram
    }

    /// The kind and what it holds; `None` for what is another's, forged or cut short.
    fn inside<'a>(&self, datagram: &'a [u8]) -> Option<(u8, &'a [u8])> {
        let (head, rest) = datagram.split_at_checked(2)?;
        let (mark, body) = rest.split_at_checked(MARK)?;
        let (version, kind) = (head[0], head[1]);
        (version == VERSION && self.mark(version, kind, body) == mark).then_some((kind, body))
    }
}

/// A key of the length that is wanted, out of a secret of any.
fn key(secret: &str) -> [u8; 16] {
    let mut hasher = SipHasher24::new();
    hasher.write(secret.as_bytes());
    hasher.finish128().as_bytes()
}

/// The socket, and who is where.
pub struct Post {
    socket: UdpSocket,
    frame: Frame,
    addresses: RefCell<BTreeMap<u32, SocketAddr>>,
    /// Where keepers were last: who is taken for gone and is not must still be reached.
    keepers: RefCell<BTreeMap<u32, Option<SocketAddr>>>,
    /// Where those who ask for something say that they are. Guards against a keeper that has just started, leads and does
    /// not know yet whom it answers.
    askers: RefCell<BTreeMap<u32, SocketAddr>>,
    /// This node's number, and where others reach it.
    pub own: (u32, SocketAddr),
    pub counters: Rc<Counters>,
}

impl Post {
    fn say(&self, to: SocketAddr, kind: u8, body: &[u8]) {
        match self.socket.send_to(&self.frame.around(kind, body), to) {
            Ok(_) => self.counters.datagrams_sent.increment(),
            // Lost on the way or here is the same.
            Err(_) => self.counters.datagrams_failed.increment(),
        }
    }

    /// To one node, by its number; nobody hears it if it is not known to be there.
    pub fn say_bytes(&self, node: u32, kind: u8, body: &[u8]) {
        let known = self.addresses.borrow().get(&node).copied();
        let known = known.or_else(|| self.keepers.borrow().get(&node).copied().flatten());
        if let Some(to) = known.or_else(|| self.askers.borrow().get(&node).copied()) {
            self.say(to, kind, body);
        }
    }

    /// Somebody asks, and says where it is.
    pub fn asked_by(&self, (node, address): (u32, SocketAddr)) {
        self.askers.borrow_mut().insert(node, address);
    }

    fn say_what(&self, to: SocketAddr, kind: u8, what: &impl Serialize) {
        if let Ok(body) = postcard::to_allocvec(what) {
            self.say(to, kind, &body);
        }
    }

    pub fn say_to(&self, node: u32, kind: u8, what: &impl Serialize) {
        if let Ok(body) = postcard::to_allocvec(what) {
            self.say_bytes(node, kind, &body);
        }
    }
}

/// Acts for membership; what it leaves for the loop is taken from there.
struct Hand {
    post: Rc<Post>,
    words: Rc<RefCell<Vec<ExecutorObservation>>>,
    newcomers: Rc<RefCell<Vec<u32>>>,
}

impl Host for Hand {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        self.post.say(to, MEMBERSHIP, datagram);
    }

    fn member_up(&mut self, fellow: Member) {
        let Member { address, number, generation } = fellow;
        info!(
            fellow = number,
            start = generation,
            "node {number} is there, at {address}, start {generation}"
        );
        self.post.counters.fellows_came.increment();
        self.newcomers.borrow_mut().push(fellow.number);
        self.post.addresses.borrow_mut().insert(fellow.number, fellow.address);
        if let Some(keeper) = self.post.keepers.borrow_mut().get_mut(&fellow.number) {
            *keeper = Some(fellow.address);
        }
    }

    fn member_down(&mut self, fellow: Member) {
        let Member { number, generation, .. } = fellow;
        info!(fellow = number, start = generation, "node {number} is gone, start {generation}");
        self.post.counters.fellows_went.increment();
        let mut addresses = self.post.addresses.borrow_mut();
        if addresses.get(&fellow.number) == Some(&fellow.address) {
            addresses.remove(&fellow.number);
        }
    }

    fn executor_observed(&mut self, word: ExecutorObservation) {
        self.words.borrow_mut().push(word);
    }
}

pub struct Fellows {
    post: Rc<Post>,
    poller: Rc<Poller>,
    key: usize,
    clock: Clock,
    own: u32,
    count: u64,
    words: Rc<RefCell<Vec<ExecutorObservation>>>,
    /// Nodes of which it was heard that they are there, and that have not been told yet what they have missed.
    newcomers: Rc<RefCell<Vec<u32>>>,
    membership: RefCell<Membership<Hand>>,
    school: Cell<School>,
    settling: Option<RefCell<Settling>>,
    parts: Option<RefCell<BudgetShares>>,
    /// When the keepers are told next of budgets that they do not go by yet, and how often they are without a word back.
    tells_budgets: Cell<(Instant, u32)>,
    works: Option<Office>,
    datagram: RefCell<Vec<u8>>,
}

/// How far a node that has just started has got in learning what others know.
#[derive(Clone, Copy)]
struct School {
    asks_at: Instant,
    asked: u32,
    is_over: bool,
}

/// This node's side of taking machines out.
struct Office {
    permission: RefCell<Permission>,
    /// This node is itself to go, and has nothing in hand any more: it sends nothing before it hears that it may stay.
    is_through: Cell<bool>,
    /// When what is closed may be more than before; nothing before the first word.
    changes_at: Cell<Option<Instant>>,
    viewed: Cell<Instant>,
    /// When the others are told that something was decided here.
    nudges_at: Cell<Option<Instant>>,
    /// When staff looked last, and what came for them.
    looked: Cell<Option<Instant>>,
    shown: RefCell<Option<(Instant, Shown)>>,
}

impl Fellows {
    /// Listens beside the clients' address, and knocks at the fleet's contacts. `own`: this node's number, and how many
    /// there are by what it was told.
    #[expect(clippy::too_many_lines, reason = "the steps of a start in their order; to be split")]
    pub fn meet(
        fleet: &fleet::FleetSettings,
        posted: &fleet::PeerSettings,
        names: (&[String], &[String]),
        listen: SocketAddr,
        (own, count, zone): (u64, u64, &str),
        seed: u64,
        (key, poller, clock, counters): (usize, &Rc<Poller>, Clock, &Rc<Counters>),
    ) -> Result<Fellows, String> {
        let at = SocketAddr::new(listen.ip(), posted.port);
        let wrong = |e: io::Error| format!("fellows.port: {at}: {e}");
        let socket = UdpSocket::bind(at).map_err(wrong)?;
        socket.set_nonblocking(true).map_err(wrong)?;
        poller.add(&socket, Event::readable(key)).map_err(wrong)?;
        let frame = Frame::new(&posted.fleet, &posted.secret);
        let keepers = fleet.voters.as_ref();
        let known = keepers.iter().flat_map(|keepers| &keepers.nodes).map(|number| (*number, None));
        let post = Rc::new(Post {
            socket,
            frame,
            addresses: RefCell::default(),
            keepers: RefCell::new(known.collect()),
            askers: RefCell::default(),
            own: (own as u32, posted.known_as.unwrap_or(at)),
            counters: counters.clone(),
        });
        let words: Rc<RefCell<Vec<ExecutorObservation>>> = Rc::default();
        let newcomers: Rc<RefCell<Vec<u32>>> = Rc::default();
        let hand = Hand { post: post.clone(), words: words.clone(), newcomers: newcomers.clone() };
        let now = clock.now();
        let fellow = Member { address: post.own.1, number: post.own.0, generation: now.0 / 1_000_000 };
        let holder = Holder { number: fellow.number, generation: fellow.generation };
        let budgets = fleet.budgets.as_ref();
        let parts = budgets.map(|posted| BudgetShares::new(now, posted, names, holder).map(RefCell::new));
        let parts = parts.transpose()?;
        let permission = fleet
            .maintenance
            .as_ref()
            .map_or(Duration::from_nanos(0), grebeusher_node_config::fleet::MaintenanceSettings::permission);
        let names = (fixed_hash(&at.to_string()), fixed_hash(&node_name(fellow.number)));
        let works = fleet.maintenance.as_ref().map(|_| Office {
            is_through: Cell::new(false),
            permission: RefCell::new(Permission::new(holder, names, permission).standing_in(zone)),
            changes_at: Cell::new(None),
            viewed: Cell::new(now),
            nudges_at: Cell::new(None),
            looked: Cell::new(None),
            shown: RefCell::default(),
        });
        let settling = keepers.map(|keepers| {
            let (wholes, lease) = budgets.map_or_else(
                || (Wholes::default(), Duration::from_nanos(0)),
                |posted| (budget_shares::fleet_budgets(posted), posted.lease()),
            );
            let empty =
                ReplicatedState::empty(wholes, lease, Works::empty(permission, count as u32, &keepers.nodes));
            let settling = Settling::new(now, &keepers.nodes, fellow.number, seed ^ now.0, empty, &post);
            RefCell::new(settling)
        });
        let mut membership = Membership::new(fellow, count as u32, seed, hand);
        membership.join(now, &posted.contacts);
        info!("fellows: {} at {at}, known as {}", posted.fleet, fellow.address);
        Ok(Fellows {
            post,
            poller: poller.clone(),
            key,
            clock,
            own: own as u32,
            count,
            words,
            newcomers,
            membership: RefCell::new(membership),
            school: Cell::new(School { asks_at: now, asked: 0, is_over: false }),
            settling,
            parts,
            tells_budgets: Cell::new((now, 0)),
            works,
            datagram: RefCell::new(vec![0; LONGEST]),
        })
    }

    /// Who leads the keepers as far as this node knows, and how much is settled at this one.
    pub fn settled(&self) -> (Option<u32>, Option<u64>) {
        self.settling.as_ref().map_or((None, None), |settling| settling.borrow().figures())
    }

    /// How many others are there.
    pub fn count(&self) -> usize {
        self.membership.borrow().members().count()
    }

    /// Of each budget what this node may spend, and what it has.
    pub fn parts(&self) -> Vec<(String, u32, usize)> {
        let now = self.clock.now();
        self.parts.as_ref().map_or_else(Vec::new, |parts| parts.borrow_mut().usage(now))
    }

    /// The edition of the budgets in this node's file, and of those by which the keepers have answered it last.
    pub fn editions(&self) -> Option<(u64, u64)> {
        self.parts.as_ref().map(|parts| parts.borrow().editions())
    }

    /// The operators' file was read anew. Only budgets change while a node runs; an error names what is wrong, or waits for the
    /// next start, and changes nothing.
    pub fn reads(&self, fleet: &fleet::FleetSettings) -> Result<(), String> {
        let (Some(parts), Some(posted)) = (&self.parts, &fleet.budgets) else {
            return match (&self.parts, &fleet.budgets) {
                (None, None) => Ok(()),
                _ => Err("budgets: to come or go as a whole it takes a start of the node".to_owned()),
            };
        };
        let now = self.clock.now();
        let before = parts.borrow().editions().0;
        parts.borrow_mut().reload(now, posted)?;
        if parts.borrow().editions().0 > before {
            let edition = posted.edition;
            info!(edition, "budgets: edition {edition} was read, before it {before}");
            self.tells_budgets.set((now, BUDGETS_TOLD));
        }
        Ok(())
    }

    /// Tells the keepers of budgets that are newer than those they go by.
    fn tells_budgets(&self, now: Instant) {
        let Some((parts, settling)) = self.parts.as_ref().zip(self.settling.as_ref()) else { return };
        let ((at, times), (read, settled)) = (self.tells_budgets.get(), parts.borrow().editions());
        // Who has had no answer yet does not know by which they go.
        let behind = settled > 0 && settled < read;
        if now < at || (times == 0 && !behind) || settled >= read {
            return;
        }
        self.tells_budgets.set((now + BUDGETS_TOLD_APART, times.saturating_sub(1)));
        settling.borrow_mut().ask(now, StateCommand::Budgets(parts.borrow().fleet_budgets()));
    }

    pub fn next_due(&self) -> Option<Instant> {
        let asks = self.parts.as_ref().and_then(|parts| parts.borrow().next_timeout(self.clock.now()));
        let settles = self.settling.as_ref().and_then(|settling| settling.borrow().next_due());
        let works = self.works.as_ref().and_then(|works| works.next_due(self.leads()));
        let school = Some(self.school.get()).filter(|school| !school.is_over && self.count() > 0);
        let school = school.map(|school| school.asks_at);
        let (tells_at, times) = self.tells_budgets.get();
        let tells = (times > 0).then_some(tells_at);
        let dues = [self.membership.borrow().next_timeout(), asks, settles, works, school, tells];
        dues.into_iter().flatten().min()
    }

    /// Whether this node leads the keepers.
    fn leads(&self) -> bool {
        self.settling.as_ref().is_some_and(|settling| settling.borrow().where_it_leads(|_| ()).is_some())
    }

    /// Whether this node may send anywhere: where machines are taken out it needs a word of the keepers first.
    pub fn has_word(&self) -> bool {
        self.works.as_ref().is_none_or(|works| works.permission.borrow().has_word())
    }

    /// Whether this node's own machine is to go out for work.
    pub fn is_to_go(&self) -> bool {
        self.works.as_ref().is_some_and(|works| works.permission.borrow().goes())
    }

    /// This node is to go, and its clients are sent away. Once nothing that it sent may still run and it has no part of a budget it sends
    /// nothing any more, and says so.
    pub fn is_through(&self, coordinator: &mut Coordinator) {
        let Some(works) = self.works.as_ref().filter(|works| !works.is_through.get()) else { return };
        let longest = works.permission.borrow().longest_unit();
        let holds = self.parts.as_ref().is_some_and(|parts| parts.borrow().holds_grants(self.clock.now()));
        if !holds
            && coordinator.outstanding_by_executor(longest).is_empty()
            && !coordinator.has_requests_awaiting_budget()
        {
            info!("this node is through: it may go out for work");
            works.is_through.set(true);
            works.permission.borrow_mut().hurry();
            works.closes(self.clock.now(), coordinator);
        }
    }

    /// A turn of the loop begins. Guards against a node that stood still while its permission ran out, and sends to a machine
    /// that is out by now as it goes on with what has come meanwhile.
    pub fn wakes(&self, coordinator: &mut Coordinator) {
        if let Some(works) = &self.works {
            works.wakes(self.clock.now(), coordinator);
        }
    }

    /// What is asked of the keepers, and what whoever leads tells of the list.
    fn works(&self, coordinator: &mut Coordinator) {
        let Some((works, settling)) = self.works.as_ref().zip(self.settling.as_ref()) else { return };
        let now = self.clock.now();
        works.wakes(now, coordinator);
        if let Some(ask) = works.ask(now, coordinator, &self.post.counters) {
            settling.borrow_mut().ask(now, StateCommand::Maintenance(maintenance::Step::Asks(ask)));
        }
        if settling.borrow_mut().has_moved() && works.nudges_at.get().is_none() {
            works.nudges_at.set(Some(now + NUDGES_APART));
        }
        if works.nudges_at.get().is_some_and(|at| at <= now) {
            works.nudges_at.set(None);
            works.permission.borrow_mut().nudged(now);
            self.post.addresses.borrow().values().for_each(|&to| self.post.say(to, NUDGE, &[]));
        }
        if now < works.viewed.get() + VIEW_INTERVAL {
            return;
        }
        let seen = settling.borrow().where_it_leads(|state| {
            (state.maintenance.view().clone(), state.maintenance.watched().collect::<Vec<u64>>())
        });
        let Some((seen, watched)) = seen else { return };
        works.viewed.set(now);
        let view = coordinator.maintenance_view(watched.into_iter());
        if view != seen {
            settling.borrow_mut().ask(now, StateCommand::Maintenance(maintenance::Step::Sees(view)));
        }
    }

    /// Hands a command of the staff to the keepers, under a name by which it is answered and done once.
    pub fn says(&self, name: u64, command: Command) {
        if let Some(settling) = &self.settling {
            let step = StateCommand::Maintenance(maintenance::Step::Says(name, command));
            settling.borrow_mut().ask(self.clock.now(), step);
        }
    }

    /// What staff see: milliseconds since it came and the state, if machines are taken out here and any has come.
    pub fn shows(&self) -> Option<Option<(u64, Shown)>> {
        let works = self.works.as_ref()?;
        let now = self.clock.now();
        works.looked.set(Some(now));
        let shown = works.shown.borrow();
        Some(shown.as_ref().map(|(at, shown)| (now.since(*at).nanos() / 1_000_000, shown.clone())))
    }

    /// The others that are there: number, address, start, and milliseconds since when.
    pub fn members(&self) -> Vec<(u32, SocketAddr, u64, u64)> {
        let now = self.clock.now();
        let membership = self.membership.borrow();
        let member = |LiveMember { member: fellow, since }| {
            (fellow.number, fellow.address, fellow.generation, now.since(since).nanos() / 1_000_000)
        };
        let mut members: Vec<_> = membership.members().map(member).collect();
        members.sort_unstable();
        members
    }

    /// Asks the keepers for what is wanted now.
    fn asks(&self) {
        let Some((parts, settling)) = self.parts.as_ref().zip(self.settling.as_ref()) else { return };
        let now = self.clock.now();
        for ask in parts.borrow_mut().due_asks(now) {
            settling.borrow_mut().ask(now, StateCommand::BudgetAsk(ask));
        }
    }

    pub fn due(&self, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        self.membership.borrow_mut().handle_timeout(now);
        if let Some(settling) = &self.settling {
            settling.borrow_mut().due(now);
        }
        self.asks();
        self.tells_budgets(now);
        self.asks_missed(now);
        self.works(coordinator);
        self.hand_on(coordinator);
    }

    pub fn stirred(&self, coordinator: &mut Coordinator) {
        let mut datagram = self.datagram.borrow_mut();
        for _ in 0..AT_ONCE {
            match self.post.socket.recv_from(&mut datagram) {
                Ok((length, _)) => self.hears(&datagram[..length], coordinator),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // What one sent earlier met nobody there.
                Err(_) => {}
            }
        }
        self.hand_on(coordinator);
        if let Err(e) = self.poller.modify(&self.post.socket, Event::readable(self.key)) {
            warn!("fellows are not heard any more: {e}");
        }
    }

    fn hears(&self, datagram: &[u8], coordinator: &mut Coordinator) {
        self.post.counters.datagrams_came.increment();
        let understood = match self.post.frame.inside(datagram) {
            Some((MEMBERSHIP, body)) => self.membership.borrow_mut().receive(self.clock.now(), body).is_ok(),
            Some((WORD, body)) => match body.split_first_chunk() {
                Some((from, word)) => {
                    coordinator.load_message_received(u64::from(u32::from_be_bytes(*from)), word);
                    true
                }
                None => false,
            },
            Some((MISSED, body)) => match postcard::from_bytes::<Vec<ExecutorObservation>>(body) {
                Ok(missed) => {
                    self.words.borrow_mut().extend(missed);
                    true
                }
                Err(_) => false,
            },
            Some((ASKS_MISSED, body)) => match postcard::from_bytes::<SocketAddr>(body) {
                Ok(newcomer) => {
                    self.teaches(newcomer, coordinator);
                    true
                }
                Err(_) => false,
            },
            Some((LEARNT, body)) => match postcard::from_bytes(body) {
                Ok(lesson) => {
                    self.learns(&lesson, coordinator);
                    true
                }
                Err(_) => false,
            },
            Some((NUDGE, _)) => self
                .works
                .as_ref()
                .map(|works| works.permission.borrow_mut().nudged(self.clock.now()))
                .is_some(),
            Some((kind @ (KEEPER | STEP | OUTCOME), body)) => {
                let settling = self.settling.as_ref();
                settling.is_some_and(|settling| settling.borrow_mut().heard(self.clock.now(), kind, body))
            }
            _ => false,
        };
        if !understood {
            self.post.counters.datagrams_bad.increment();
        }
    }

    /// What was heard of executors goes to the decisions, and what was settled to whom it is for.
    fn hand_on(&self, coordinator: &mut Coordinator) {
        let settled = self.settling.as_ref().map(|settling| settling.borrow_mut().outcomes());
        for outcome in settled.into_iter().flatten() {
            match (outcome, &self.parts, &self.works) {
                (Outcome::BudgetGrant(grant), Some(parts), _) => parts.borrow_mut().apply_grant(&grant),
                (Outcome::Permit(permit), _, Some(works)) => {
                    works.granted(self.clock.now(), permit, coordinator);
                }
                _ => {}
            }
        }
        let words = std::mem::take(&mut *self.words.borrow_mut());
        for ExecutorObservation { executor, at_ms, gone } in words {
            coordinator.executor_observed(executor, Instant(at_ms.saturating_mul(1_000_000)), gone);
        }
        self.tells_newcomers(coordinator);
        coordinator.budget_granted();
    }

    /// Who has just come has not heard what was told before: the next few by their numbers tell it.
    fn tells_newcomers(&self, coordinator: &Coordinator) {
        let newcomers = std::mem::take(&mut *self.newcomers.borrow_mut());
        let (own, count) = (u64::from(self.own), self.count.max(1));
        let mine = |node: &u32| (1..=TELLERS).contains(&((own + count - u64::from(*node) % count) % count));
        let mine: Vec<u32> = newcomers.into_iter().filter(mine).collect();
        if mine.is_empty() {
            return;
        }
        let missed = Self::missed(coordinator);
        if !missed.is_empty() {
            mine.into_iter().for_each(|node| self.post.say_to(node, MISSED, &missed));
        }
    }

    fn missed(coordinator: &Coordinator) -> Vec<ExecutorObservation> {
        let word = |(executor, at, gone): (u64, Instant, bool)| ExecutorObservation {
            executor,
            at_ms: at.0 / 1_000_000,
            gone,
        };
        coordinator.recent_observations(RECENT).map(word).collect()
    }

    /// Asks a few others, each time the next ones, for what it has missed and what they know of work. Guards against a node that
    /// takes the few units that it has seen itself for all: several such nodes push cold executors over.
    fn asks_missed(&self, now: Instant) {
        let School { asks_at, asked, is_over } = self.school.get();
        if is_over || now < asks_at {
            return;
        }
        let membership = self.membership.borrow();
        let others: Vec<SocketAddr> = membership.members().map(|live| live.member.address).collect();
        if others.is_empty() {
            return;
        }
        // Nodes that start together ask different ones.
        let first = (u64::from(self.own) + u64::from(asked) * TELLERS) as usize;
        if let Ok(body) = postcard::to_allocvec(&membership.own_member().address) {
            for step in 0..others.len().min(TELLERS as usize) {
                self.post.say(others[(first + step) % others.len()], ASKS_MISSED, &body);
            }
        }
        let apart = if asked < FIRST_ASKS { ASKS_APART } else { LATER_ASKS_APART };
        self.school.set(School { asks_at: now + apart, asked: asked + 1, is_over });
    }

    fn teaches(&self, newcomer: SocketAddr, coordinator: &Coordinator) {
        let missed = Self::missed(coordinator);
        if !missed.is_empty() {
            self.post.say_what(newcomer, MISSED, &missed);
        }
        self.post.say_what(newcomer, LEARNT, &coordinator.learned_estimates());
    }

    fn learns(&self, lesson: &LearnedEstimates, coordinator: &mut Coordinator) {
        let school = self.school.get();
        if !school.is_over {
            let is_over = coordinator.merge_learned(lesson) >= KNOWS_ENOUGH;
            self.school.set(School { is_over, ..school });
        }
    }

    /// Says that this node goes.
    pub fn leave(&self) {
        self.membership.borrow_mut().leave(self.clock.now());
    }
}

impl Office {
    fn next_due(&self, leads: bool) -> Option<Instant> {
        let views = leads.then(|| self.viewed.get() + VIEW_INTERVAL);
        let asks = Some(self.permission.borrow().next_due());
        [views, asks, self.changes_at.get(), self.nudges_at.get()].into_iter().flatten().min()
    }

    fn wakes(&self, now: Instant, coordinator: &mut Coordinator) {
        if self.changes_at.get().is_some_and(|at| now >= at) {
            let for_s = self.permission.borrow().for_long(now).seconds();
            warn!(
                for_s,
                "no permission of the keepers since {for_s:.1} s: machines of the plan are kept away from"
            );
            self.closes(now, coordinator);
        }
    }

    fn closes(&self, now: Instant, coordinator: &mut Coordinator) {
        let permission = self.permission.borrow();
        self.changes_at.set(permission.changes_at(now));
        coordinator.set_closed_executors(match permission.has_word() && !self.is_through.get() {
            true => ClosedExecutors::Only(permission.closed(now).collect()),
            false => ClosedExecutors::All,
        });
    }

    fn ask(
        &self,
        now: Instant,
        coordinator: &mut Coordinator,
        counters: &Counters,
    ) -> Option<maintenance::Ask> {
        let mut permission = self.permission.borrow_mut();
        let shows = self.looked.get().is_some_and(|at| now.since(at) < LOOK);
        if shows {
            permission.hurry();
        }
        if permission.next_due() > now {
            return None;
        }
        let in_hand = coordinator.outstanding_by_executor(permission.longest_unit());
        let tide = (counters.units.total(), counters.turned_back.total());
        let says = (self.is_through.get(), shows);
        permission.ask(now, |machine| in_hand.get(&machine).copied().unwrap_or(0), tide, says)
    }

    fn granted(&self, now: Instant, mut permit: Permit, coordinator: &mut Coordinator) {
        if let Some(shown) = permit.shown.take() {
            *self.shown.borrow_mut() = Some((now, shown));
        }
        let changed = self.permission.borrow_mut().granted(&permit);
        if changed {
            self.is_through.set(self.is_through.get() && self.permission.borrow().goes());
            self.closes(now, coordinator);
        }
    }
}

impl PeerMessenger for Fellows {
    fn send_load_message(&self, node: Option<u64>, word: &[u8]) {
        let mut body = self.own.to_be_bytes().to_vec();
        body.extend_from_slice(word);
        let addresses = self.post.addresses.borrow();
        match node {
            Some(node) => {
                if let Some(&to) = u32::try_from(node).ok().and_then(|node| addresses.get(&node)) {
                    self.post.say(to, WORD, &body);
                }
            }
            None => addresses.values().for_each(|&to| self.post.say(to, WORD, &body)),
        }
    }

    fn try_spend(&self, budget_use: BudgetUse, scope: BudgetScope) -> bool {
        let now = self.clock.now();
        self.parts.as_ref().is_none_or(|parts| parts.borrow_mut().try_spend(now, budget_use, scope))
    }

    fn try_spend_after_wait(&self, budget_use: BudgetUse, scope: BudgetScope) -> bool {
        let now = self.clock.now();
        self.parts
            .as_ref()
            .is_none_or(|parts| parts.borrow_mut().try_spend_after_wait(now, budget_use, scope))
    }

    fn broadcast_observation(&self, executor: u64, at: Instant, gone: bool) {
        if self.clock.now().since(at) < RECENT {
            self.membership
                .borrow_mut()
                .broadcast(self.clock.now(), ExecutorObservation { executor, at_ms: at.0 / 1_000_000, gone });
        }
    }
}

#[cfg(test)]
mod stories {
    use super::*;

    fn frame(fleet: &str, secret: &str) -> Frame {
        Frame::new(fleet, secret)
    }

    /// Guards against a datagram of another fleet, without the secret, cut short, changed or of another version.
    #[test]
    fn only_what_the_fleet_has_marked_is_read() {
        let own = frame("lipa", "hush");
        let datagram = own.around(WORD, b"abc");
        assert_eq!(own.inside(&datagram), Some((WORD, &b"abc"[..])));
        assert!(frame("lipa-2", "hush").inside(&datagram).is_none());
        assert!(frame("lipa", "loud").inside(&datagram).is_none());
        for length in 0..datagram.len() {
            assert!(own.inside(&datagram[..length]).is_none());
        }
        for at in 0..datagram.len() {
            let mut changed = datagram.clone();
            changed[at] ^= 1;
            assert!(own.inside(&changed).is_none(), "byte {at}");
        }
    }

    /// Failure: a keeper that had just started and led knew some dozen of three hundred, and answered nobody else for most of a
    /// minute; plans and budgets stood still for so long.
    #[test]
    fn who_asks_is_answered_where_it_says_that_it_is_though_nobody_has_told_of_it() {
        let bound = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let (socket, asker) = (bound(), bound());
        asker.set_read_timeout(Some(std::time::Duration::from_secs(20))).expect("a time-out");
        let at = asker.local_addr().expect("an address");
        let post = Post {
            socket,
            frame: Frame::new("lipa", "hush"),
            addresses: RefCell::default(),
            keepers: RefCell::default(),
            askers: RefCell::default(),
            own: (1, at),
            counters: Rc::default(),
        };
        post.say_bytes(60, OUTCOME, b"lost");
        post.asked_by((60, at));
        post.say_bytes(60, OUTCOME, b"granted");
        let mut datagram = [0; 100];
        let length = asker.recv(&mut datagram).expect("it is answered");
        assert_eq!(post.frame.inside(&datagram[..length]), Some((OUTCOME, &b"granted"[..])));
    }
}
