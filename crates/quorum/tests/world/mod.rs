//! A few machines with disks, clocks and a network, all in memory and in virtual time, and an oracle that watches what
//! they decide and what reads show.

#![allow(dead_code)]

mod disk;
mod machine;
mod network;
mod oracle;
pub mod storm;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use grebeusher_quorum::{Group, Index, Message, Replica, ReplicaId, Term, Timing};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use disk::Disk;
pub use machine::{Machine, State};
pub use network::Network;
pub use oracle::Oracle;

/// The number of a machine in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Site(pub usize);

pub const TIMING: Timing = Timing {
    heartbeat_interval: Duration::from_millis(20),
    election_timeout_min: Duration::from_millis(200),
    election_timeout_max: Duration::from_millis(400),
    lease_duration: Duration::from_millis(170),
};

/// What is deliberately broken, to see that it is noticed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Answers leave before the sync.
    AnswersBeforeSync,
    /// A message of an old term passes for one of the receiver's.
    TermsNotChecked,
    /// A wiped disk comes back under its old identity and votes.
    WipedDiskVotes,
    /// A voter that was restarted votes at once.
    RestartedVotesAtOnce,
    /// The lease counts from the arrival of an answer, not from the sending of what it answers.
    LeaseFromArrival,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver(Message),
    SyncDone { site: Site, life: u64 },
    Wake { site: Site, life: u64 },
}

pub struct World {
    pub now: Instant,
    pub rng: SmallRng,
    pub machines: Vec<Machine>,
    pub network: Network,
    pub oracle: Oracle,
    pub timing: Timing,
    pub fault: Fault,
    /// How long a sync takes, at most.
    pub sync: Duration,
    /// Snapshots are taken after so many commands.
    pub compact_every: u64,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    next_identity: u64,
    next_command: u64,
}

impl World {
    /// A world of `founders` machines that found the partition, and some more that are empty.
    pub fn new(seed: u64, founders: usize, spares: usize) -> World {
        World::with_fault(seed, founders, spares, Fault::None)
    }

    pub fn with_fault(seed: u64, founders: usize, spares: usize, fault: Fault) -> World {
        let mut world = World {
            now: Instant(1_000_000_000),
            rng: SmallRng::seed_from_u64(seed),
            machines: Vec::new(),
            network: Network::default(),
            oracle: Oracle::default(),
            timing: TIMING,
            fault,
            sync: Duration::from_millis(2),
            compact_every: 40,
            events: BinaryHeap::new(),
            sequence: 0,
            next_identity: 1,
            next_command: 1,
        };
        for _ in 0..founders + spares {
            let identity = world.fresh_identity();
            let machine = Machine::off(identity, world.rng.random_range(-5000..=5000));
            world.machines.push(machine);
        }
        let group = world.group_of((0..founders).map(Site));
        for site in world.sites() {
            world.start(site);
            if site.0 < founders {
                world.bootstrap(site, group.clone());
            }
        }
        world
    }

    pub fn bootstrap(&mut self, site: Site, group: Group) {
        let replica = self.machines[site.0].replica.as_mut().expect("it runs");
        replica.bootstrap(group).expect("an empty replica takes a founding");
        self.work(site);
    }

    pub fn sites(&self) -> Vec<Site> {
        (0..self.machines.len()).map(Site).collect()
    }

    pub fn identity(&self, site: Site) -> ReplicaId {
        self.machines[site.0].identity
    }

    pub fn site_of(&self, identity: ReplicaId) -> Option<Site> {
        self.machines.iter().position(|machine| machine.identity == identity).map(Site)
    }

    pub fn group_of(&self, sites: impl IntoIterator<Item = Site>) -> Group {
        Group::of(sites.into_iter().map(|site| self.identity(site)))
    }

    fn fresh_identity(&mut self) -> ReplicaId {
        self.next_identity += 1;
        // Not in the order of their age, so that no rule can lean on it.
        ReplicaId(self.next_identity.wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at.max(self.now), self.sequence, event)));
    }

    // ---- troubles ----

    /// Starts a machine with what its disk holds.
    pub fn start(&mut self, site: Site) {
        let (now, seed, timing, fault) = (self.now, self.rng.random(), self.timing, self.fault);
        self.machines[site.0].start(now, seed, timing, fault);
        self.oracle.forget(self.identity(site));
        self.work(site);
    }

    /// The machine loses power: what was not synced is there in partition.
    pub fn lose_power(&mut self, site: Site) {
        let keeps_some = self.rng.random_bool(0.5);
        self.cut_power(site, keeps_some);
    }

    /// The machine loses power, and its disk perhaps all that was not synced.
    pub fn cut_power(&mut self, site: Site, keeps_some: bool) {
        let rng = &mut self.rng;
        self.machines[site.0].lose_power(keeps_some.then_some(rng));
    }

    pub fn restart(&mut self, site: Site) {
        self.lose_power(site);
        self.start(site);
    }

    /// The disk is lost. The machine comes back under a new identity (or the old one, where that is the fault).
    pub fn wipe(&mut self, site: Site) {
        self.lose_power(site);
        let cluster_id = self.oracle.bootstrap_group();
        let machine = &mut self.machines[site.0];
        machine.disk = Disk::default();
        if self.fault == Fault::WipedDiskVotes {
            machine.disk = Disk::forgetful(cluster_id);
            return;
        }
        let identity = self.fresh_identity();
        self.machines[site.0].identity = identity;
    }

    pub fn freeze(&mut self, site: Site) {
        self.machines[site.0].frozen = true;
    }

    pub fn wake(&mut self, site: Site) {
        self.machines[site.0].frozen = false;
        self.finish_sync_if_due(site);
        self.take_in(site);
    }

    /// Cuts all links from and to a machine.
    pub fn isolate(&mut self, site: Site) {
        for other in self.sites().into_iter().filter(|other| *other != site) {
            self.network.cut(site, other);
            self.network.cut(other, site);
        }
    }

    /// Cuts a link both ways.
    pub fn partition(&mut self, one: Site, other: Site) {
        self.network.cut(one, other);
        self.network.cut(other, one);
    }

    /// Mends a link both ways.
    pub fn join(&mut self, one: Site, other: Site) {
        self.network.reconnect(one, other);
        self.network.reconnect(other, one);
    }

    /// Everybody but these.
    pub fn others(&self, sites: &[Site]) -> Vec<Site> {
        self.sites().into_iter().filter(|site| !sites.contains(site)).collect()
    }

    pub fn heal(&mut self) {
        self.network.heal();
    }

    // ---- time ----

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.now = end;
    }

    /// Lets time pass until something holds; fails after `bound`.
    pub fn run_until(&mut self, bound: Duration, what: &str, holds: impl Fn(&World) -> bool) {
        let end = self.now + bound;
        while !holds(self) {
            assert!(self.now < end, "not within the bound: {what}\n{}", self.picture());
            self.run(Duration::from_millis(1));
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Deliver(message) => self.deliver(message),
            Event::SyncDone { site, life } => {
                if self.machines[site.0].life == life {
                    self.finish_sync_if_due(site);
                }
            }
            Event::Wake { site, life } => {
                let machine = &self.machines[site.0];
                if machine.life == life && machine.is_free() {
                    self.take_in(site);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let Some(site) = self.site_of(message.to) else { return };
        if let Some(from) = self.site_of(message.from)
            && self.network.is_cut(from, site)
        {
            return;
        }
        let machine = &mut self.machines[site.0];
        if machine.replica.is_none() {
            return;
        }
        machine.inbox.push_back(message);
        if machine.is_free() {
            self.take_in(site);
        }
    }

    fn finish_sync_if_due(&mut self, site: Site) {
        let now = self.now;
        let machine = &mut self.machines[site.0];
        if machine.frozen || machine.syncing.as_ref().is_none_or(|syncing| syncing.done_at > now) {
            return;
        }
        let messages = machine.finish_sync(&mut self.oracle, now, site);
        self.send_all(site, messages);
        self.take_in(site);
    }

    /// A free machine takes in what waits, does what is due, and starts on the next batch.
    fn take_in(&mut self, site: Site) {
        let (now, fault) = (self.now, self.fault);
        let machine = &mut self.machines[site.0];
        if !machine.is_free() {
            return;
        }
        machine.take_in(now, fault);
        self.work(site);
    }

    /// Takes batches until one has to be synced, or nothing is left.
    fn work(&mut self, site: Site) {
        loop {
            let now = self.now;
            let sync = Duration::from_nanos(self.rng.random_range(0..=self.sync.nanos()));
            let fault = self.fault;
            let machine = &mut self.machines[site.0];
            if !machine.is_free() {
                return;
            }
            let Some((messages, syncs)) = machine.take_batch(now + sync, fault) else { break };
            self.send_all(site, messages);
            if syncs {
                let life = self.machines[site.0].life;
                self.schedule(now + sync, Event::SyncDone { site, life });
                return;
            }
            let messages = self.machines[site.0].finish_sync(&mut self.oracle, now, site);
            self.send_all(site, messages);
        }
        self.watch(site);
        let machine = &mut self.machines[site.0];
        machine.compact_if_due(self.compact_every);
        let Some(wake) = machine.next_wake() else { return };
        let life = machine.life;
        if wake < machine.wake_scheduled || machine.wake_scheduled <= self.now {
            machine.wake_scheduled = wake;
            self.schedule(wake, Event::Wake { site, life });
        }
        if self.machines[site.0].has_ready() {
            self.work(site);
        }
    }

    fn watch(&mut self, site: Site) {
        if let Some(replica) = &self.machines[site.0].replica {
            self.oracle.see(replica);
        }
    }

    fn send_all(&mut self, from: Site, messages: Vec<Message>) {
        for message in messages {
            let Some(to) = self.site_of(message.to) else { continue };
            let bytes = grebeusher_quorum::encode(&message).len();
            for delay in self.network.fates(from, to, bytes, &mut self.rng) {
                self.schedule(self.now + delay, Event::Deliver(message.clone()));
            }
        }
    }

    // ---- clients ----

    /// A client hands a command to a machine, which proposes it with all else that waits there.
    pub fn propose(&mut self, site: Site) {
        let mut bytes = self.fresh_command();
        bytes.resize(self.rng.random_range(8..200), 7);
        self.propose_bytes(site, bytes);
    }

    pub fn fresh_command(&mut self) -> Vec<u8> {
        self.next_command += 1;
        self.next_command.to_le_bytes().to_vec()
    }

    pub fn propose_bytes(&mut self, site: Site, bytes: Vec<u8>) {
        self.machines[site.0].commands.push_back(bytes);
        self.take_in(site);
    }

    /// A client hands commands to whoever leads the partition, a few at a time, while time passes.
    pub fn propose_for(&mut self, span: Duration, every: Duration) {
        let end = self.now + span;
        while self.now < end {
            if let Some(leader) = self.leader() {
                self.propose(leader);
            }
            self.read_everywhere();
            self.run(every);
        }
    }

    /// Reads at a machine under its lease: the index up to which it shows the state. None if it must not answer.
    pub fn read(&mut self, site: Site) -> Option<Index> {
        let now = self.now;
        let machine = &self.machines[site.0];
        if !machine.is_free() || !machine.lease_holds(now) {
            return None;
        }
        let shown = machine.application.applied;
        self.oracle.check_read(shown, site);
        Some(shown)
    }

    pub fn read_everywhere(&mut self) {
        for site in self.sites() {
            self.read(site);
        }
    }

    /// Calls a replica that runs, and does what comes of it.
    pub fn call<T>(&mut self, site: Site, act: impl FnOnce(&mut Replica, Instant) -> T) -> T {
        while self.machines[site.0].syncing.is_some() {
            self.run(Duration::from_millis(1));
        }
        let now = self.machines[site.0].local(self.now);
        let result = act(self.machines[site.0].replica.as_mut().expect("it runs"), now);
        self.work(site);
        result
    }

    /// The machine whose lease holds.
    pub fn leader(&self) -> Option<Site> {
        self.sites().into_iter().find(|site| {
            let machine = &self.machines[site.0];
            machine.is_free() && machine.lease_holds(self.now)
        })
    }

    /// Waits for a leader whose lease holds.
    pub fn elect(&mut self) -> Site {
        self.run_until(Duration::from_millis(5_000), "a leader", |world| world.leader().is_some());
        self.leader().expect("just seen")
    }

    /// Changes the group by whoever leads the partition, again and again until it stands.
    pub fn change_to(&mut self, sites: &[Site], bound: Duration) {
        let wanted = self.group_of(sites.iter().copied());
        let end = self.now + bound;
        loop {
            if let Some(leader) = self.leader() {
                let replica = self.machines[leader.0].replica.as_ref().expect("it runs");
                if *replica.group() == wanted && replica.commit_index() >= replica.last().index {
                    return;
                }
                let _ = self.call(leader, |replica, now| replica.change_group(now, wanted.voters.clone()));
            }
            assert!(self.now < end, "the group did not change\n{}", self.picture());
            self.run(Duration::from_millis(10));
        }
    }

    /// All running machines have applied the same up to the end.
    pub fn settle(&mut self, sites: &[Site], bound: Duration) {
        let index = self.oracle.last_committed();
        self.run_until(bound, "all have applied everything", |world| {
            sites.iter().all(|site| world.machines[site.0].application.applied >= index)
        });
    }

    pub fn replica(&self, site: Site) -> &Replica {
        self.machines[site.0].replica.as_ref().expect("it runs")
    }

    /// What was sent to a machine so far.
    pub fn sent_to(&self, site: Site) -> network::Sent {
        self.network.sent_to.get(&site).copied().unwrap_or_default()
    }

    /// The highest term of all that run.
    pub fn newest_term(&self) -> Term {
        let replicas = self.machines.iter().filter_map(|machine| machine.replica.as_ref());
        replicas.map(Replica::term).max().unwrap_or_default()
    }

    pub fn picture(&self) -> String {
        let lines = self.machines.iter().map(|machine| machine.picture(self.now));
        lines.collect::<Vec<_>>().join("\n")
    }
}
