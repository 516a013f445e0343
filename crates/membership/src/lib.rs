//! Which nodes are there, as they tell each other by datagrams: SWIM with suspicion, refutation and a generation for each
//! start, on `foca`. No I/O and no clock. Beside it goes what nodes have seen of executors' starts, as a hint.
//!
//! A caller makes one [`Membership`] a node with a [`Host`] to act through, says `join`, then `heard` for each datagram and
//! `due` whenever `next_due` says so. Who is suspected wrongly says so and is back; who was taken for gone comes back under a
//! renewed identity. Nothing that must hold may rest on it.

use foca::{
    BroadcastHandler, Config, Foca, Identity, Invalidates, Notification, PeriodicParams, PostcardCodec,
};
use foca::{Runtime, Timer};
use grebeusher_dispatch::time::{Duration, Instant};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};
use std::rc::Rc;

/// One node as the others know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fellow {
    /// Where datagrams reach it.
    pub address: SocketAddr,
    /// Its number in the fleet, as it was told at its start.
    pub number: u32,
    /// Grows with each start, and when it was taken for gone and is not: Unix milliseconds.
    pub generation: u64,
}

impl Identity for Fellow {
    type Addr = SocketAddr;

    /// An hour ahead: also wins against an earlier life whose clock was ahead.
    fn renew(&self) -> Option<Fellow> {
        const AHEAD: u64 = 3_600_000;
        Some(Fellow { generation: self.generation.saturating_add(AHEAD), ..*self })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Fellow) -> bool {
        self.generation > adversary.generation
    }
}

/// What membership asks of whoever runs it.
pub trait Host {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]);
    fn came(&mut self, fellow: Fellow);
    fn went(&mut self, fellow: Fellow);
    fn heard_of(&mut self, word: Word);
}

/// What some node has seen of an executor's process. A hint: whoever errs or lies costs others caution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The hash of its name.
    pub executor: u64,
    /// Unix milliseconds.
    pub at_ms: u64,
    /// It was gone then, and what comes back is a new start; else it started then, or had by then.
    pub gone: bool,
}

/// Words that were heard, to be told on: the latest of each executor.
#[derive(Default)]
struct Words {
    known: BTreeMap<u64, u64>,
    fresh: Vec<Word>,
}

#[derive(Clone)]
struct Handler(Rc<RefCell<Words>>);

struct Key {
    executor: u64,
    at_ms: u64,
}

impl Invalidates for Key {
    fn invalidates(&self, other: &Key) -> bool {
        self.executor == other.executor && self.at_ms >= other.at_ms
    }
}

impl BroadcastHandler<Fellow> for Handler {
    type Key = Key;
    type Error = Infallible;

    fn receive_item(&mut self, data: &[u8], _: Option<&Fellow>) -> Result<Option<Key>, Infallible> {
        /// More executors than any list has: what is beyond is nonsense, and must not fill the memory.
        const MOST: usize = 10_000;
        let Ok(word) = postcard::from_bytes::<Word>(data) else { return Ok(None) };
        let Word { executor, at_ms, .. } = word;
        let mut words = self.0.borrow_mut();
        let known = words.known.get(&executor).copied();
        if known.is_some_and(|known| known >= at_ms) || (known.is_none() && words.known.len() >= MOST) {
            return Ok(None);
        }
        words.known.insert(executor, at_ms);
        words.fresh.push(word);
        Ok(Some(Key { executor, at_ms }))
    }
}

/// Who is there, and what foca asks to be told later.
#[derive(Default)]
struct Kept {
    timers: BTreeMap<(Instant, u64), Timer<Fellow>>,
    next_timer: u64,
    members: BTreeMap<SocketAddr, (Fellow, Instant)>,
    /// Whether anybody knows this node.
    active: bool,
    suspicions_refuted: u64,
}

struct Acts<'a, H> {
    host: &'a mut H,
    kept: &'a mut Kept,
    now: Instant,
}

impl<H: Host> Runtime<Fellow> for Acts<'_, H> {
    fn notify(&mut self, notification: Notification<'_, Fellow>) {
        match notification {
            Notification::MemberUp(fellow) => {
                self.kept.members.insert(fellow.address, (*fellow, self.now));
                self.host.came(*fellow);
            }
            Notification::MemberDown(fellow) => {
                let known = self.kept.members.get(&fellow.address);
                if known.is_some_and(|(known, _)| known.generation <= fellow.generation) {
                    self.kept.members.remove(&fellow.address);
                    self.host.went(*fellow);
                }
            }
            Notification::Rename(before, after) => {
                if let Some(known) = self.kept.members.get_mut(&before.address) {
                    *known = (*after, self.now);
                    self.host.went(*before);
                    self.host.came(*after);
                }
            }
            Notification::Active => self.kept.active = true,
            Notification::Idle | Notification::Defunct => self.kept.active = false,
            Notification::Rejoin(_) => self.kept.suspicions_refuted += 1,
        }
    }

    fn send_to(&mut self, to: Fellow, data: &[u8]) {
        self.host.send(to.address, data);
    }

    fn submit_after(&mut self, event: Timer<Fellow>, after: Duration) {
        let when = self.now + Duration::from_nanos(after.as_nanos() as u64);
        self.kept.timers.insert((when, self.kept.next_timer), event);
        self.kept.next_timer += 1;
    }
}

pub struct Membership<H: Host> {
    foca: Foca<Fellow, PostcardCodec, Pcg32, Handler>,
    host: H,
    kept: Kept,
    words: Rc<RefCell<Words>>,
    contacts: Vec<SocketAddr>,
    knocks_at: Option<Instant>,
    /// As long as this node is a newcomer: when it asks next who is there, how many it knew then, and how often in a row that
    /// brought nobody.
    asks_round: Option<(Instant, usize, u32)>,
    chance: Pcg32,
    /// When news of executors is told on without waiting for the usual round.
    hurries_at: Option<Instant>,
}

/// News that comes together is told on together: so many milliseconds at each node on its way, of which some six lead to all of
/// three hundred.
const NEWS_WAITS: Duration = Duration::from_millis(10);
/// As long as nobody knows this node it knocks so often.
const JOIN_INTERVAL: Duration = Duration::from_millis(1000);
/// An answer holds some fifty of those who are there, drawn at random: a newcomer to three hundred knows nearly all after six
/// rounds of three. Four in a row that bring nobody end it.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
const ASKED_A_ROUND: usize = 3;
const IDLE_ROUNDS: u32 = 4;
/// The most bytes of a datagram: what passes any path in one piece.
pub const MAX_BYTES: usize = 1200;

/// How the nodes of so large a fleet ask after each other. Each asks one other a second, which bounds what a node sends:
/// a question, its answer and at worst three asked to ask, and six datagrams a second of news, all of them at most
/// `MAX_BYTES`. One that is gone is met by somebody within two seconds or so, suspected, and four seconds later
/// taken for gone unless it says otherwise.
fn pace(fleet: u32) -> Config {
    let some = |count: usize| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
    let lan = Config::new_lan(NonZeroU32::new(fleet).unwrap_or(NonZeroU32::MIN));
    let every = |secs: u64, count: usize| {
        Some(PeriodicParams { frequency: Duration::from_secs(secs), num_members: some(count) })
    };
    Config {
        probe_period: Duration::from_millis(1000),
        probe_rtt: Duration::from_millis(300),
        suspect_to_down_after: Duration::from_secs(4),
        // A split heals within seconds: those that were taken for gone are asked on.
        periodic_announce_to_down_members: every(5, 2),
        periodic_announce: every(10, 1),
        periodic_gossip: Some(PeriodicParams { frequency: Duration::from_millis(500), num_members: some(3) }),
        max_packet_size: some(MAX_BYTES),
        remove_down_after: Some(Duration::from_secs(120)),
        notify_down_members: true,
        // News is told on so often that a loss of one in ten still leaves nobody out, also in a small fleet.
        max_transmissions: lan.max_transmissions.max(NonZeroU8::new(15).unwrap_or(NonZeroU8::MIN)),
        ..lan
    }
}

impl<H: Host> Membership<H> {
    /// This node, in a fleet of about so many.
    pub fn new(own: Fellow, fleet: u32, seed: u64, host: H) -> Membership<H> {
        let words: Rc<RefCell<Words>> = Rc::default();
        let (chance, handler) = (Pcg32::seed_from_u64(seed), Handler(words.clone()));
        Membership {
            foca: Foca::with_custom_broadcast(own, pace(fleet), chance, PostcardCodec, handler),
            host,
            kept: Kept::default(),
            words,
            contacts: Vec::new(),
            knocks_at: None,
            asks_round: None,
            chance: Pcg32::seed_from_u64(seed ^ 1),
            hurries_at: None,
        }
    }

    /// Knocks at these addresses until somebody answers.
    pub fn join(&mut self, now: Instant, contacts: &[SocketAddr]) {
        let own = self.own().address;
        self.contacts = contacts.iter().copied().filter(|contact| *contact != own).collect();
        self.knocks(now);
    }

    pub fn own(&self) -> Fellow {
        *self.foca.identity()
    }

    /// The others that are there, each with when this node heard that it is.
    pub fn members(&self) -> impl Iterator<Item = (Fellow, Instant)> {
        self.kept.members.values().copied()
    }

    /// How often this node was taken for gone and came back.
    pub fn refuted(&self) -> u64 {
        self.kept.suspicions_refuted
    }

    /// What foca asks is told to its host; what it can't read or do is told by `false`.
    fn asks(
        &mut self,
        now: Instant,
        what: impl FnOnce(
            &mut Foca<Fellow, PostcardCodec, Pcg32, Handler>,
            Acts<'_, H>,
        ) -> Result<(), foca::Error>,
    ) -> bool {
        let Membership { foca, host, kept, .. } = self;
        let well = what(foca, Acts { host, kept, now }).is_ok();
        let fresh = std::mem::take(&mut self.words.borrow_mut().fresh);
        if !fresh.is_empty() {
            self.hurries(now);
        }
        fresh.into_iter().for_each(|word| self.host.heard_of(word));
        well
    }

    /// An executor may be back within a second, and usual rounds take three to reach all of a few hundred nodes.
    fn hurries(&mut self, now: Instant) {
        self.hurries_at.get_or_insert(now + NEWS_WAITS);
    }

    fn knocks(&mut self, now: Instant) {
        if self.kept.active {
            self.knocks_at = None;
            self.asks_round = Some((now, 0, 0));
            return;
        }
        for contact in self.contacts.clone() {
            // Only the address counts: who stands there says its number itself.
            let there = Fellow { address: contact, number: 0, generation: 0 };
            self.asks(now, |foca, acts| foca.announce(there, acts));
        }
        self.knocks_at = (!self.contacts.is_empty()).then(|| now + JOIN_INTERVAL);
    }

    /// A newcomer asks some of those that it knows for others. Guards against a node that knows a few dozen of hundreds for most of
    /// a minute, as whom news of a start reaches is not told of those who were there before.
    fn asks_around(&mut self, now: Instant, before: usize, idle: u32) {
        let known: Vec<Fellow> = self.members().map(|(fellow, _)| fellow).collect();
        let idle = if known.len() > before { 0 } else { idle + 1 };
        self.asks_round = (idle < IDLE_ROUNDS).then_some((now + GOSSIP_INTERVAL, known.len(), idle));
        for _ in 0..ASKED_A_ROUND.min(known.len()) {
            let one = known[self.chance.next_u32() as usize % known.len()];
            self.asks(now, |foca, acts| foca.announce(one, acts));
        }
    }

    /// A datagram came; `false` if nothing could be made of it.
    pub fn heard(&mut self, now: Instant, datagram: &[u8]) -> bool {
        self.asks(now, |foca, acts| foca.handle_data(datagram, acts))
    }

    /// This node has seen something of an executor; others are told, unless they have heard what is newer.
    pub fn tells(&mut self, now: Instant, word: Word) {
        if let Ok(data) = postcard::to_allocvec(&word) {
            self.hurries(now);
            // What is known already is told no further.
            let _ = self.foca.add_broadcast(&data);
            self.words.borrow_mut().fresh.clear();
        }
    }

    pub fn next_due(&self) -> Option<Instant> {
        let timer = self.kept.timers.first_key_value().map(|((when, _), _)| *when);
        let round = self.asks_round.map(|(at, ..)| at);
        timer.into_iter().chain(self.knocks_at).chain(round).chain(self.hurries_at).min()
    }

    pub fn due(&mut self, now: Instant) {
        while self.kept.timers.first_key_value().is_some_and(|((when, _), _)| *when <= now) {
            let Some((_, timer)) = self.kept.timers.pop_first() else { break };
            self.asks(now, |foca, acts| foca.handle_timer(timer, acts));
        }
        if self.knocks_at.is_some_and(|at| at <= now) {
            self.knocks(now);
        }
        if let Some((_, before, idle)) = self.asks_round.filter(|(at, ..)| *at <= now) {
            self.asks_around(now, before, idle);
        }
        if self.hurries_at.is_some_and(|at| at <= now) {
            self.hurries_at = None;
            self.asks(now, |foca, acts| foca.gossip(acts));
        }
    }

    /// Tells some that this node goes, so that nobody has to suspect it.
    pub fn leave(&mut self, now: Instant) {
        self.asks(now, |foca, acts| foca.leave_cluster(acts));
        (self.contacts, self.knocks_at, self.asks_round) = (Vec::new(), None, None);
    }
}
