//! A simulated cluster: machines with disks, clocks and a network, in memory and in virtual time, and an oracle that
//! checks what they commit and what reads return.

#![allow(dead_code)]

mod disk;
mod machine;
mod network;
mod oracle;
pub mod random_faults;

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

/// The position of a machine in the list of the cluster's machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub usize);

pub const TIMING: Timing = Timing {
    heartbeat_interval: Duration::from_millis(20),
    election_timeout_min: Duration::from_millis(200),
    election_timeout_max: Duration::from_millis(400),
    lease_duration: Duration::from_millis(170),
};

/// A fault of the program that is added deliberately, to test that the oracle detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Responses are sent before the sync.
    ResponsesBeforeSync,
    /// A message of an older term is processed as one of the receiver's term.
    TermsNotChecked,
    /// A machine whose disk was wiped starts with its old id and votes.
    WipedDiskVotes,
    /// A voter votes immediately after a restart.
    RestartedVotesAtOnce,
    /// The lease counts from the arrival of a response, not from when the leader sent the message.
    LeaseFromArrival,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver(Message),
    SyncDone { machine_id: MachineId, incarnation: u64 },
    Wake { machine_id: MachineId, incarnation: u64 },
}

pub struct Cluster {
    pub now: Instant,
    pub rng: SmallRng,
    pub machines: Vec<Machine>,
    pub network: Network,
    pub oracle: Oracle,
    pub timing: Timing,
    pub fault: Fault,
    /// The longest time that a sync takes.
    pub sync: Duration,
    /// The number of commands after which a machine takes a snapshot.
    pub commands_between_snapshots: u64,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    /// The number of events scheduled, which orders events of the same time.
    sequence: u64,
    /// The number from which the id of the next disk is computed.
    next_identity: u64,
    /// The number that makes the next command unique.
    next_command: u64,
}

impl Cluster {
    /// Creates a cluster of `voters` machines that bootstrap the partition, and `spares` machines that are empty.
    pub fn new(seed: u64, voters: usize, spares: usize) -> Cluster {
        Cluster::with_fault(seed, voters, spares, Fault::None)
    }

    pub fn with_fault(seed: u64, voters: usize, spares: usize, fault: Fault) -> Cluster {
        let mut cluster = Cluster {
            now: Instant(1_000_000_000),
            rng: SmallRng::seed_from_u64(seed),
            machines: Vec::new(),
            network: Network::default(),
            oracle: Oracle::default(),
            timing: TIMING,
            fault,
            sync: Duration::from_millis(2),
            commands_between_snapshots: 40,
            events: BinaryHeap::new(),
            sequence: 0,
            next_identity: 1,
            next_command: 1,
        };
        for _ in 0..voters + spares {
            let identity = cluster.fresh_identity();
            let machine = Machine::powered_off(identity, cluster.rng.random_range(-5000..=5000));
            cluster.machines.push(machine);
        }
        let group = cluster.group_of((0..voters).map(MachineId));
        for machine_id in cluster.machine_ids() {
            cluster.start(machine_id);
            if machine_id.0 < voters {
                cluster.bootstrap(machine_id, group.clone());
            }
        }
        cluster
    }

    pub fn bootstrap(&mut self, machine_id: MachineId, group: Group) {
        let replica = self.machines[machine_id.0].replica.as_mut().expect("the machine is running");
        replica.bootstrap(group).expect("an empty replica can be bootstrapped");
        self.process_batches(machine_id);
    }

    pub fn machine_ids(&self) -> Vec<MachineId> {
        (0..self.machines.len()).map(MachineId).collect()
    }

    pub fn identity(&self, machine_id: MachineId) -> ReplicaId {
        self.machines[machine_id.0].identity
    }

    pub fn machine_of(&self, identity: ReplicaId) -> Option<MachineId> {
        self.machines.iter().position(|machine| machine.identity == identity).map(MachineId)
    }

    pub fn group_of(&self, machine_ids: impl IntoIterator<Item = MachineId>) -> Group {
        Group::of(machine_ids.into_iter().map(|machine_id| self.identity(machine_id)))
    }

    fn fresh_identity(&mut self) -> ReplicaId {
        self.next_identity += 1;
        // The ids are not in the order of creation, so that no rule can depend on it.
        ReplicaId(self.next_identity.wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at.max(self.now), self.sequence, event)));
    }

    // ---- faults ----

    /// Starts a machine with the content of its disk.
    pub fn start(&mut self, machine_id: MachineId) {
        let (now, seed, timing, fault) = (self.now, self.rng.random(), self.timing, self.fault);
        self.machines[machine_id.0].start(now, seed, timing, fault);
        self.oracle.reset_checked(self.identity(machine_id));
        self.process_batches(machine_id);
    }

    /// Cuts a machine's power. Its disk keeps some of the unsynced writes or, with probability 0.5, none.
    pub fn lose_power(&mut self, machine_id: MachineId) {
        let keeps_some = self.rng.random_bool(0.5);
        self.cut_power(machine_id, keeps_some);
    }

    /// Cuts a machine's power. Its disk keeps some of the unsynced writes if `keeps_some` is true, otherwise none.
    pub fn cut_power(&mut self, machine_id: MachineId, keeps_some: bool) {
        let rng = &mut self.rng;
        self.machines[machine_id.0].lose_power(keeps_some.then_some(rng));
    }

    pub fn restart(&mut self, machine_id: MachineId) {
        self.lose_power(machine_id);
        self.start(machine_id);
    }

    /// Replaces a machine's disk by an empty one with a new id. With the fault `WipedDiskVotes` the disk keeps the old
    /// id and the bootstrap of the partition.
    pub fn wipe(&mut self, machine_id: MachineId) {
        self.lose_power(machine_id);
        let bootstrap_group = self.oracle.bootstrap_group();
        let machine = &mut self.machines[machine_id.0];
        machine.disk = Disk::default();
        if self.fault == Fault::WipedDiskVotes {
            machine.disk = Disk::with_bootstrap_only(bootstrap_group);
            return;
        }
        let identity = self.fresh_identity();
        self.machines[machine_id.0].identity = identity;
    }

    pub fn freeze(&mut self, machine_id: MachineId) {
        self.machines[machine_id.0].frozen = true;
    }

    pub fn wake(&mut self, machine_id: MachineId) {
        self.machines[machine_id.0].frozen = false;
        self.finish_sync_if_due(machine_id);
        self.process_inputs(machine_id);
    }

    /// Cuts all links of a machine in both directions.
    pub fn isolate(&mut self, machine_id: MachineId) {
        for other in self.machine_ids().into_iter().filter(|other| *other != machine_id) {
            self.network.cut(machine_id, other);
            self.network.cut(other, machine_id);
        }
    }

    /// Cuts a link in both directions.
    pub fn partition(&mut self, one: MachineId, other: MachineId) {
        self.network.cut(one, other);
        self.network.cut(other, one);
    }

    /// Reconnects a link in both directions.
    pub fn reconnect(&mut self, one: MachineId, other: MachineId) {
        self.network.reconnect(one, other);
        self.network.reconnect(other, one);
    }

    /// Returns all machines except these.
    pub fn others(&self, machine_ids: &[MachineId]) -> Vec<MachineId> {
        self.machine_ids().into_iter().filter(|machine_id| !machine_ids.contains(machine_id)).collect()
    }

    pub fn reconnect_all_links(&mut self) {
        self.network.reconnect_all();
    }

    // ---- time ----

    /// Processes the events of the next `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Processes events until `holds` returns true; fails after `bound`.
    pub fn run_until(&mut self, bound: Duration, what: &str, holds: impl Fn(&Cluster) -> bool) {
        let end = self.now + bound;
        while !holds(self) {
            assert!(self.now < end, "waited in vain for {what}\n{}", self.describe());
            self.run(Duration::from_millis(1));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver(message) => self.deliver(message),
            Event::SyncDone { machine_id, incarnation } => {
                if self.machines[machine_id.0].incarnation == incarnation {
                    self.finish_sync_if_due(machine_id);
                }
            }
            Event::Wake { machine_id, incarnation } => {
                let machine = &self.machines[machine_id.0];
                if machine.incarnation == incarnation && machine.is_free() {
                    self.process_inputs(machine_id);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let Some(machine_id) = self.machine_of(message.to) else { return };
        if let Some(from) = self.machine_of(message.from)
            && self.network.is_cut(from, machine_id)
        {
            return;
        }
        let machine = &mut self.machines[machine_id.0];
        if machine.replica.is_none() {
            return;
        }
        machine.inbox.push_back(message);
        if machine.is_free() {
            self.process_inputs(machine_id);
        }
    }

    fn finish_sync_if_due(&mut self, machine_id: MachineId) {
        let now = self.now;
        let machine = &mut self.machines[machine_id.0];
        if machine.frozen || machine.syncing.as_ref().is_none_or(|syncing| syncing.finishes_at > now) {
            return;
        }
        let messages = machine.finish_sync(&mut self.oracle, now, machine_id);
        self.send_all(machine_id, messages);
        self.process_inputs(machine_id);
    }

    /// Lets a machine that is free process its messages, timers and commands, and then its batches.
    fn process_inputs(&mut self, machine_id: MachineId) {
        let (now, fault) = (self.now, self.fault);
        let machine = &mut self.machines[machine_id.0];
        if !machine.is_free() {
            return;
        }
        machine.process_inputs(now, fault);
        self.process_batches(machine_id);
    }

    /// Processes the batches of a machine until one has to be synced, or there are no more.
    fn process_batches(&mut self, machine_id: MachineId) {
        loop {
            let now = self.now;
            let sync = Duration::from_nanos(self.rng.random_range(0..=self.sync.nanos()));
            let fault = self.fault;
            let machine = &mut self.machines[machine_id.0];
            if !machine.is_free() {
                return;
            }
            let Some((messages, syncs)) = machine.take_batch(now + sync, fault) else { break };
            self.send_all(machine_id, messages);
            if syncs {
                let incarnation = self.machines[machine_id.0].incarnation;
                self.schedule(now + sync, Event::SyncDone { machine_id, incarnation });
                return;
            }
            let messages = self.machines[machine_id.0].finish_sync(&mut self.oracle, now, machine_id);
            self.send_all(machine_id, messages);
        }
        self.check_invariants(machine_id);
        let machine = &mut self.machines[machine_id.0];
        machine.compact_if_due(self.commands_between_snapshots);
        let Some(wake) = machine.next_wake() else { return };
        let incarnation = machine.incarnation;
        if wake < machine.wake_scheduled || machine.wake_scheduled <= self.now {
            machine.wake_scheduled = wake;
            self.schedule(wake, Event::Wake { machine_id, incarnation });
        }
        if self.machines[machine_id.0].has_ready() {
            self.process_batches(machine_id);
        }
    }

    fn check_invariants(&mut self, machine_id: MachineId) {
        if let Some(replica) = &self.machines[machine_id.0].replica {
            self.oracle.observe(replica);
        }
    }

    fn send_all(&mut self, from: MachineId, messages: Vec<Message>) {
        for message in messages {
            let Some(to) = self.machine_of(message.to) else { continue };
            let bytes = grebeusher_quorum::encode(&message).len();
            for delay in self.network.delivery_delays(from, to, bytes, &mut self.rng) {
                self.schedule(self.now + delay, Event::Deliver(message.clone()));
            }
        }
    }

    // ---- clients ----

    /// Sends a command of a client to a machine, which proposes it with the other commands in its queue.
    pub fn propose(&mut self, machine_id: MachineId) {
        let mut bytes = self.fresh_command();
        bytes.resize(self.rng.random_range(8..200), 7);
        self.propose_bytes(machine_id, bytes);
    }

    pub fn fresh_command(&mut self) -> Vec<u8> {
        self.next_command += 1;
        self.next_command.to_le_bytes().to_vec()
    }

    pub fn propose_bytes(&mut self, machine_id: MachineId, bytes: Vec<u8>) {
        self.machines[machine_id.0].commands.push_back(bytes);
        self.process_inputs(machine_id);
    }

    /// Sends a command to the leader and reads at all machines every `every`, for `span`.
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

    /// Reads at a machine under its lease. Returns the index up to which the state is applied, or none if the machine
    /// must not answer.
    pub fn read(&mut self, machine_id: MachineId) -> Option<Index> {
        let now = self.now;
        let machine = &self.machines[machine_id.0];
        if !machine.is_free() || !machine.lease_holds(now) {
            return None;
        }
        let read_index = machine.application.applied;
        self.oracle.check_read(read_index, machine_id);
        Some(read_index)
    }

    pub fn read_everywhere(&mut self) {
        for machine_id in self.machine_ids() {
            self.read(machine_id);
        }
    }

    /// Calls a method of a running replica and processes the batches that result.
    pub fn call<T>(&mut self, machine_id: MachineId, act: impl FnOnce(&mut Replica, Instant) -> T) -> T {
        while self.machines[machine_id.0].syncing.is_some() {
            self.run(Duration::from_millis(1));
        }
        let now = self.machines[machine_id.0].local_time(self.now);
        let result = act(self.machines[machine_id.0].replica.as_mut().expect("the machine is running"), now);
        self.process_batches(machine_id);
        result
    }

    /// Returns the machine whose lease holds.
    pub fn leader(&self) -> Option<MachineId> {
        self.machine_ids().into_iter().find(|machine_id| {
            let machine = &self.machines[machine_id.0];
            machine.is_free() && machine.lease_holds(self.now)
        })
    }

    /// Waits for a leader whose lease holds and returns it.
    pub fn elect(&mut self) -> MachineId {
        self.run_until(Duration::from_millis(5_000), "a leader", |cluster| cluster.leader().is_some());
        self.leader().expect("a leader was found before")
    }

    /// Asks the leader to change the group, again and again until the change is committed.
    pub fn change_to(&mut self, machine_ids: &[MachineId], bound: Duration) {
        let new_group = self.group_of(machine_ids.iter().copied());
        let end = self.now + bound;
        loop {
            if let Some(leader) = self.leader() {
                let replica = self.machines[leader.0].replica.as_ref().expect("the machine is running");
                if *replica.group() == new_group && replica.commit_index() >= replica.last().index {
                    return;
                }
                let _ = self.call(leader, |replica, now| replica.change_group(now, new_group.voters.clone()));
            }
            assert!(self.now < end, "the group did not change in time\n{}", self.describe());
            self.run(Duration::from_millis(10));
        }
    }

    /// Waits until these machines have applied all committed entries.
    pub fn settle(&mut self, machine_ids: &[MachineId], bound: Duration) {
        let index = self.oracle.last_committed();
        self.run_until(bound, "all machines to apply all committed entries", |cluster| {
            machine_ids.iter().all(|machine_id| cluster.machines[machine_id.0].application.applied >= index)
        });
    }

    pub fn replica(&self, machine_id: MachineId) -> &Replica {
        self.machines[machine_id.0].replica.as_ref().expect("the machine is running")
    }

    /// Returns the statistics of messages sent to a machine so far.
    pub fn sent_to(&self, machine_id: MachineId) -> network::Sent {
        self.network.sent_to.get(&machine_id).copied().unwrap_or_default()
    }

    /// Returns the highest term of all running machines.
    pub fn newest_term(&self) -> Term {
        let replicas = self.machines.iter().filter_map(|machine| machine.replica.as_ref());
        replicas.map(Replica::term).max().unwrap_or_default()
    }

    /// Describes all machines, one in each line, for messages of failed tests.
    pub fn describe(&self) -> String {
        let lines = self.machines.iter().map(|machine| machine.describe(self.now));
        lines.collect::<Vec<_>>().join("\n")
    }
}
