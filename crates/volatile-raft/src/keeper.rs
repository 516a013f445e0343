//! One keeper: a life of its own, the group that it belongs to, and what it hears of the others.

use crate::pieces::{Desk, cut};
use crate::store::Store;
use crate::{Host, Machine};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType, Message, MessageType};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Each change waits for a majority of them: seven already cost more than the loss of a third one would.
pub const MAX_VOTERS: usize = 7;
/// Raft's unit of time. A leader says that it is there every second one.
const TICK: Duration = Duration::from_millis(50);
const HEARTBEAT_TICKS: usize = 2;
/// Who hears no leader for so long, up to twice, asks to be one: half a second is many round trips of any one site, and
/// longer than a loaded machine keeps a process waiting.
const ELECTION_TICKS: usize = 10;
/// A keeper tells the others so often what it has, and is heard as long as three of these.
const HELLO_INTERVAL: Duration = Duration::from_millis(300);
const LIVENESS_TTL: Duration = Duration::from_millis(1000);
/// One that begins listens for so long before it founds anything: some group may be there.
const LISTENS: Duration = Duration::from_millis(1000);
/// A member that knows no leader for so long, while most others are elsewhere, begins anew.
const LOSS_TIMEOUT: Duration = Duration::from_millis(3000);
/// A state that was sent and is not acknowledged by then is sent again.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(500);
/// Where time alone moves the state on, an entry is settled so often.
const CLOCK_INTERVAL: Duration = Duration::from_millis(100);
/// What comes within so long of the last entry goes into one: a few round trips of one site, and little of what anybody waits.
/// Guards against keepers that are busy with an entry for each ask, as round trips are short.
const GATHERS: Duration = Duration::from_millis(2);
/// In one entry: with more its datagrams become many, and one that is lost loses all of them.
const MAX_STEPS: usize = 40;
/// What waits to be settled; who asks is asked to ask again anyway.
const MAX_WAITING: usize = 4096;

/// What keepers say to each other.
#[derive(Serialize, Deserialize)]
enum Word {
    /// The group that a life belongs to, if any.
    Hello {
        life: u64,
        group: Option<u64>,
    },
    Piece {
        life: u64,
        group: u64,
        number: u32,
        at: u16,
        of: u16,
        piece: Vec<u8>,
    },
}

/// What is agreed on at a time.
#[derive(Serialize, Deserialize)]
struct Batch<S> {
    /// Microseconds since the last batch was proposed, or where another did that, settled here.
    passed_us: u64,
    steps: Vec<S>,
}

struct Heard {
    life: u64,
    group: Option<u64>,
    at: Instant,
    pieces: Desk,
}

struct Group<M: Machine> {
    name: u64,
    node: RawNode<Store<M>>,
    /// When the last batch was settled here, or the state came; of one that this life proposed, when it did.
    settled: Instant,
    /// The batch that is under way: its term, and when it was proposed.
    proposed: Option<(u64, Instant)>,
    states_sent: BTreeMap<u64, Instant>,
    changed: Instant,
    led: (usize, u64),
    led_at: Instant,
}

impl<M: Machine> Group<M> {
    /// Whether all that was proposed is settled here.
    fn is_idle(&self) -> bool {
        let log = &self.node.raft.raft_log;
        log.applied == log.last_index()
    }
}

pub struct Keeper<M: Machine, H> {
    host: H,
    keepers: usize,
    place: usize,
    chance: Pcg32,
    empty: M,
    life: u64,
    begun: Instant,
    group: Option<Group<M>>,
    heard: Vec<Option<Heard>>,
    tells_at: Instant,
    ticks_at: Instant,
    waiting: Vec<M::Step>,
    next_number: u32,
}

/// A name of a life bears its place in the last byte.
fn place(life: u64) -> usize {
    usize::from(life as u8).wrapping_sub(1)
}

impl<M: Machine, H: Host<M>> Keeper<M, H> {
    /// The keeper at this place among so many, of which there is an odd number, as it starts. `seed` must not have been
    /// that of an earlier start. `empty` is what a group begins with.
    pub fn new(now: Instant, place: usize, keepers: usize, seed: u64, empty: M, host: H) -> Self {
        assert!(place < keepers && keepers <= MAX_VOTERS, "place {place} of {keepers} keepers");
        let mut keeper = Keeper {
            host,
            keepers,
            place,
            chance: Pcg32::seed_from_u64(seed),
            empty,
            life: 0,
            begun: now,
            group: None,
            heard: (0..keepers).map(|_| None).collect(),
            tells_at: now,
            ticks_at: now,
            waiting: Vec::new(),
            next_number: 0,
        };
        keeper.begins(now);
        keeper
    }

    /// A life begins, with nothing.
    fn begins(&mut self, now: Instant) {
        self.life = self.name(self.place);
        (self.group, self.begun, self.tells_at) = (None, now, now);
        self.waiting.clear();
    }

    fn name(&mut self, place: usize) -> u64 {
        const PLACE_BITS: u32 = 8;
        // Never zero, which `raft` takes for nobody.
        (self.chance.random::<u64>() << PLACE_BITS) | (place as u64 + 1)
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// Who leads, by its place, as far as this one knows.
    pub fn leader(&self) -> Option<usize> {
        let leader = self.group.as_ref()?.node.raft.leader_id;
        (leader != 0).then(|| place(leader))
    }

    pub fn leads(&self) -> bool {
        self.group.as_ref().is_some_and(|group| group.node.raft.state == StateRole::Leader)
    }

    /// The state as far as it is settled here.
    pub fn with_state<R>(&self, reads: impl FnOnce(&M) -> R) -> Option<R> {
        self.group.as_ref().map(|group| reads(&group.node.store().machine.borrow()))
    }

    /// The group's name, and how many entries are settled here.
    pub fn settled(&self) -> Option<(u64, u64)> {
        self.group.as_ref().map(|group| (group.name, group.node.raft.raft_log.applied))
    }

    /// Wants a step settled. `false` where this one does not lead: then somebody else is to be asked.
    pub fn propose(&mut self, now: Instant, step: M::Step) -> bool {
        if !self.leads() || self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.push(step);
        self.proposes(now);
        true
    }

    /// What came from another keeper; `false` if nothing can be made of it.
    pub fn heard(&mut self, now: Instant, datagram: &[u8]) -> bool {
        match postcard::from_bytes(datagram) {
            Ok(Word::Hello { life, group }) => {
                let Some(heard) = self.hears(now, life) else { return false };
                heard.group = group;
                self.puts_in(now, life, group);
            }
            Ok(Word::Piece { life, group, number, at, of, piece }) => {
                let Some(heard) = self.hears(now, life) else { return false };
                let Some(message) = heard.pieces.came(number, at, of, &piece) else { return true };
                heard.group = Some(group);
                let Ok(message) = Message::parse_from_bytes(&message) else { return false };
                self.steps(now, group, message);
            }
            Err(_) => return false,
        }
        true
    }

    fn hears(&mut self, now: Instant, life: u64) -> Option<&mut Heard> {
        let of = self.heard.get_mut(place(life)).filter(|_| place(life) != self.place)?;
        if of.as_ref().is_none_or(|of| of.life != life) {
            *of = Some(Heard { life, group: None, at: now, pieces: Desk::default() });
        }
        let heard = of.as_mut()?;
        heard.at = now;
        Some(heard)
    }

    /// A message of `raft`. The first one makes a life without a group belong to its group.
    fn steps(&mut self, now: Instant, group: u64, message: Message) {
        if message.to != self.life {
            return; // for an earlier life, which is dead
        }
        if self.group.is_none() {
            let store = Store::empty(self.empty.clone());
            self.belongs(now, group, store, false);
        }
        let Some(own) = self.group.as_mut().filter(|own| own.name == group) else { return };
        // What does not fit the state is dropped there.
        let _ = own.node.step(message);
        self.acts(now);
    }

    fn belongs(&mut self, now: Instant, name: u64, store: Store<M>, founds: bool) {
        let config = Config {
            id: self.life,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: if founds { 1 } else { 0 },
            max_size_per_msg: 16 * 1024,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let Ok(node) = RawNode::new(&config, store, &logger) else { return };
        self.ticks_at = now;
        let states_sent = BTreeMap::new();
        let led = (usize::MAX, 0);
        let (settled, changed, led_at) = (now, now, now);
        self.group = Some(Group { name, node, settled, proposed: None, states_sent, changed, led, led_at });
        self.host.belongs(name, founds);
    }

    pub fn next_due(&self) -> Instant {
        let Some(group) = &self.group else { return self.tells_at };
        let due = self.tells_at.min(self.ticks_at + TICK);
        let gathers = self.leads() && !self.waiting.is_empty() && group.is_idle();
        if gathers { due.min(group.settled + GATHERS) } else { due }
    }

    pub fn due(&mut self, now: Instant) {
        if now >= self.tells_at {
            self.tells_at = now + HELLO_INTERVAL;
            self.tells();
            self.founds(now);
            self.is_lost(now);
        }
        let Some(group) = &mut self.group else { return };
        // One that stood still does not make up for it: it would take all others for gone at once.
        if now.since(self.ticks_at) > TICK.scaled(ELECTION_TICKS as f64) {
            self.ticks_at = now - TICK;
        }
        while self.ticks_at + TICK <= now {
            self.ticks_at = self.ticks_at + TICK;
            group.node.tick();
        }
        let late: Vec<u64> = {
            let late = group.states_sent.iter().filter(|(_, at)| now.since(**at) > SNAPSHOT_TIMEOUT);
            late.map(|(life, _)| *life).collect()
        };
        for life in late {
            group.states_sent.remove(&life);
            // What says whether it arrived is how the leader sees that member now. Guards against an answer that came a second time, to
            // something before, being taken for that: the member would wait for its state for ever.
            let member = group.node.raft.prs().get(life);
            if member.is_some_and(|member| member.state == ProgressState::Snapshot) {
                group.node.report_snapshot(life, SnapshotStatus::Failure);
            }
        }
        self.acts(now);
        self.proposes(now);
    }

    fn tells(&mut self) {
        let group = self.group.as_ref().map(|group| group.name);
        let Ok(hello) = postcard::to_allocvec(&Word::Hello { life: self.life, group }) else { return };
        for to in (0..self.keepers).filter(|to| *to != self.place) {
            self.host.send(to, &hello);
        }
    }

    fn lately(&self, now: Instant) -> impl Iterator<Item = (usize, &Heard)> {
        let heard = self.heard.iter().enumerate().filter_map(|(at, heard)| Some((at, heard.as_ref()?)));
        heard.filter(move |(_, heard)| now.since(heard.at) <= LIVENESS_TTL)
    }

    fn is_most(&self, count: usize) -> bool {
        2 * count > self.keepers
    }

    /// Most keepers have nothing: what there was is lost, and the first of them founds a group.
    fn founds(&mut self, now: Instant) {
        if self.group.is_some() || now.since(self.begun) < LISTENS {
            return;
        }
        let without = self.lately(now).filter(|(_, heard)| heard.group.is_none());
        let mut lives: BTreeMap<usize, u64> = without.map(|(at, heard)| (at, heard.life)).collect();
        lives.insert(self.place, self.life);
        if !self.is_most(lives.len()) || lives.keys().next() != Some(&self.place) {
            return;
        }
        // Those that are not there have a voter as well, or fewer than most of all would do for a majority.
        let voters = (0..self.keepers).map(|at| lives.get(&at).copied().unwrap_or_else(|| self.name(at)));
        let voters = voters.collect();
        let group = self.chance.random();
        let mut machine = self.empty.clone();
        machine.founded(now);
        let Ok(store) = Store::founding(machine, voters) else { return };
        self.belongs(now, group, store, true);
        if let Some(group) = &mut self.group {
            let _ = group.node.campaign();
        }
        self.acts(now);
    }

    /// A group whose other members are mostly elsewhere, or dead as far as this one knows of its members, can settle nothing any more:
    /// this life ends. Guards against a group of two, of which one has just been put in: to the other it is no member yet, so that
    /// neither can lead, and each takes the other for one that goes on.
    fn is_lost(&mut self, now: Instant) {
        let Some(group) = &self.group else { return };
        let elsewhere = self.lately(now).filter(|(_, heard)| heard.group != Some(group.name)).count();
        // One that never heard its leader has nothing to lose, and may stand in the way of another founding.
        let never = group.node.raft.raft_log.applied == 0;
        // A place has one life at a time: of a member whose place another life has said to have, nothing comes any more.
        let is_dead = |member: &&u64| {
            let at = self.heard.get(place(**member)).and_then(|heard| heard.as_ref());
            **member != self.life
                && (place(**member) == self.place || at.is_some_and(|of| of.life != **member))
        };
        let quorums = group.node.store().quorums();
        let is_dead = quorums.iter().any(|all| 2 * all.iter().filter(is_dead).count() >= all.len());
        if now.since(group.led_at) > LOSS_TIMEOUT && (never || is_dead || self.is_most(elsewhere)) {
            self.begins(now);
        }
    }

    /// Who leads puts a new life in the stead of the one that had its place.
    fn puts_in(&mut self, now: Instant, life: u64, belongs_to: Option<u64>) {
        const MIN_INTERVAL: Duration = Duration::from_millis(200);
        let leads = self.leads();
        let Some(group) = self.group.as_mut().filter(|_| leads && belongs_to.is_none()) else { return };
        let voters = group.node.store().voters();
        if voters.contains(&life) || now.since(group.changed) < MIN_INTERVAL {
            return;
        }
        group.changed = now;
        let mut change = ConfChangeV2::default();
        let single = |kind: ConfChangeType, id: u64| {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = id;
            single
        };
        let before = voters.iter().filter(|voter| place(**voter) == place(life));
        let mut changes: Vec<_> = before.map(|id| single(ConfChangeType::RemoveNode, *id)).collect();
        changes.push(single(ConfChangeType::AddNode, life));
        change.set_changes(changes.into());
        // Refused while another change is under way; the next hello asks again.
        let _ = group.node.propose_conf_change(Vec::new(), change);
        self.acts(now);
    }

    /// One batch at a time, and only when all before is settled here: what has passed goes into the batch.
    fn proposes(&mut self, now: Instant) {
        loop {
            let leads = self.leads();
            let Some(group) = self.group.as_mut().filter(|_| leads) else { return };
            let since = now.since(group.settled);
            let passes = since >= CLOCK_INTERVAL && group.node.store().machine.borrow().waits();
            let gathered = since >= GATHERS || self.waiting.len() >= MAX_STEPS;
            if !group.is_idle() || !gathered || (self.waiting.is_empty() && !passes) {
                return;
            }
            let steps = self.waiting.drain(..self.waiting.len().min(MAX_STEPS)).collect();
            let passed_us = now.since(group.settled).nanos() / 1000;
            let Ok(data) = postcard::to_allocvec(&Batch { passed_us, steps }) else { return };
            group.proposed = Some((group.node.raft.term, now));
            if group.node.propose(Vec::new(), data).is_err() {
                return;
            }
            self.acts(now);
        }
    }

    /// Does what `raft` wants done: what it says goes out, what is settled goes into the state.
    fn acts(&mut self, now: Instant) {
        while let Some(group) = self.group.as_mut().filter(|group| group.node.has_ready()) {
            let mut ready = group.node.ready();
            let mut messages = ready.take_messages();
            let store = group.node.mut_store();
            if ready.snapshot().metadata.as_ref().is_some_and(|meta| meta.index != 0) {
                let _ = store.takes(ready.snapshot().clone());
                group.settled = now;
            }
            let mut committed = ready.take_committed_entries();
            let _ = store.appends(ready.entries());
            if let Some(hard) = ready.hs() {
                store.stands(hard.clone());
            }
            messages.extend(ready.take_persisted_messages());
            let mut light = group.node.advance(ready);
            if let Some(index) = light.commit_index() {
                group.node.mut_store().commits(index);
            }
            messages.extend(light.take_messages());
            committed.extend(light.take_committed_entries());
            self.applies(now, committed);
            let Some(group) = &mut self.group else { return };
            group.node.advance_apply();
            let _ = group.node.store().tidies(group.node.raft.raft_log.applied);
            messages.into_iter().for_each(|message| self.sends(now, &message));
        }
        self.sees_leader(now);
    }

    fn sees_leader(&mut self, now: Instant) {
        let Some(group) = &mut self.group else { return };
        let (leader, term) = (group.node.raft.leader_id, group.node.raft.term);
        if leader == 0 {
            return;
        }
        group.led_at = now;
        if group.led != (place(leader), term) {
            group.led = (place(leader), term);
            self.host.leads(place(leader), term);
        }
    }

    fn applies(&mut self, now: Instant, entries: Vec<Entry>) {
        let leads = self.leads();
        let Some(group) = &mut self.group else { return };
        for entry in entries {
            if entry.get_entry_type() == EntryType::EntryConfChangeV2 {
                let mut change = ConfChangeV2::default();
                if change.merge_from_bytes(&entry.data).is_ok()
                    && let Ok(voters) = group.node.apply_conf_change(&change)
                {
                    group.node.store().has_voters(voters);
                }
                continue;
            }
            // A leader that begins settles one that is empty.
            let Ok(batch) = postcard::from_bytes::<Batch<M::Step>>(&entry.data) else { continue };
            let passed = Duration::from_nanos(batch.passed_us.saturating_mul(1000));
            let outcomes = group.node.store().machine.borrow_mut().settles(passed, batch.steps);
            // Batches one after the other without a pause would leave no time between them: one's own count from when they
            // were proposed, before which all that they answer was asked.
            let own = group.proposed.take_if(|(term, _)| *term == entry.term);
            group.settled = own.map_or(now, |(_, at)| at);
            if leads {
                outcomes.into_iter().for_each(|outcome| self.host.settled(outcome));
            }
        }
    }

    fn sends(&mut self, now: Instant, message: &Message) {
        /// One lost piece loses the whole: those of a state, which are many, go out twice.
        const FEW: u16 = 2;
        // An earlier life of this place, which is dead, may still be among the voters.
        let Some(group) = self.group.as_mut().filter(|_| place(message.to) != self.place) else { return };
        if message.get_msg_type() == MessageType::MsgSnapshot {
            group.states_sent.insert(message.to, now);
        }
        let Ok(bytes) = message.write_to_bytes() else { return };
        self.next_number = self.next_number.wrapping_add(1);
        let (life, group, number) = (self.life, group.name, self.next_number);
        for (at, of, piece) in cut(&bytes) {
            let piece = Word::Piece { life, group, number, at, of, piece: piece.to_vec() };
            let Ok(datagram) = postcard::to_allocvec(&piece) else { return };
            for _ in 0..if of > FEW { 2 } else { 1 } {
                self.host.send(place(message.to), &datagram);
            }
        }
    }
}
