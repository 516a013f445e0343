//! The replicas of parts that this node holds: their disk, their messages, their applications, and the care of their groups.

use crate::batch_part::{BatchPart, shared};
use crate::configuration_part::ConfigurationPart;
use crate::disk_room::DiskRoom;
use crate::group_care::GroupCare;
use crate::io::{PartStore, World};
use crate::leaders::{LedPart, LedParts};
use crate::messages::{CallNumber, Channel, QuorumEnvelope, Reply};
use crate::node::{Node, RunError};
use grebeusher_quorum::{Blob, Index, Replica, ReplicaId, Term, Timing, Write};
use grebeusher_registry::{Class, MemberState};
use grebeusher_time::{Duration, Instant};
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;
use tracing::{info, warn};

/// On a link below this, jobs and results on their way to the replicas hold heartbeats up for some hundred milliseconds.
const SLOW_LINK_MBPS: f64 = 200.0;

/// What a part keeps.
pub enum Application {
    /// Part 0.
    Configuration(ConfigurationPart),
    /// The others.
    Batch(Box<BatchPart>),
}

/// Who waits for a proposal to be committed.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// The calling node.
    pub peer: SocketAddrV4,
    /// The number of its call.
    pub number: CallNumber,
}

/// What a replica's care for its machine rests on.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// What the part may take of the disk.
    pub room: DiskRoom,
    /// The machine's own link.
    pub link_mbps: f64,
    /// For what is left to chance.
    pub seed: u64,
}

/// A replica of a part on this node.
pub struct PartHost {
    /// Which part.
    pub part: u8,
    /// Its agreement.
    pub replica: Replica,
    store: Box<dyn PartStore>,
    /// Its state.
    pub application: Application,
    /// Calls by the proposal that settles them.
    pub waiters: BTreeMap<Index, (Term, Vec<Waiter>)>,
    /// Calls that are judged anew after the next commit.
    pub deferred: Vec<Waiter>,
    applied: Index,
    room: DiskRoom,
    /// The log is written anew beyond this (bytes).
    compact_at: usize,
    /// Since when the application acts as the leader's.
    leader_since: Option<Instant>,
    pub(crate) care: GroupCare,
}

impl PartHost {
    /// Opens the replica of a part in its folder below `data`.
    ///
    /// # Errors
    /// The disk refuses, or the state on it can't be read.
    pub fn open(
        world: &dyn World,
        data: &Path,
        part: u8,
        identity: ReplicaId,
        application: Application,
        tuning: Tuning,
    ) -> Result<PartHost, RunError> {
        let folder = data.join(format!("part-{part}"));
        let (store, restored) =
            world.open_store(&folder).map_err(|source| RunError::Disk { part, source })?;
        let replica =
            Replica::new(identity, restored, timing(part, tuning.link_mbps), tuning.seed, Instant(0));
        Ok(PartHost {
            part,
            replica,
            store,
            application,
            waiters: BTreeMap::new(),
            deferred: Vec::new(),
            applied: Index(0),
            room: tuning.room,
            compact_at: tuning.room.log_beside(0),
            leader_since: None,
            care: GroupCare::default(),
        })
    }

    /// When the replica next has something to do by itself.
    pub fn next_wake(&self) -> Instant {
        self.replica.next_wake()
    }

    /// Whether this node acts as the part's leader.
    pub fn leads(&self) -> bool {
        self.leader_since.is_some()
    }

    /// Since when this node acts as the part's leader.
    pub fn leader_since(&self) -> Option<Instant> {
        self.leader_since
    }

    /// Lets the application refer to the snapshot of it that was just written, in the stead of the entries that it replaces:
    /// otherwise these stayed in memory for the texts in them, beside a snapshot with the same texts. A snapshot of
    /// another state than the application's, which came from the leader, is loaded later and not here.
    fn refer_to_snapshot(&mut self, writes: &[Write]) {
        let Application::Batch(batch) = &mut self.application else { return };
        let of_this_state = writes.iter().find_map(|write| match write {
            Write::Snapshot { snapshot, .. } if snapshot.last.index == self.applied => Some(&snapshot.bytes),
            _ => None,
        });
        let Some(snapshot) = of_this_state else { return };
        if let Err(error) = batch.restore(&shared(snapshot.clone())) {
            warn!("part {}: its own snapshot can't be read: {error}", self.part);
        }
    }

    /// Proposes an entry whose commit answers a call.
    pub fn propose(&mut self, now: Instant, entry: Vec<u8>, waiter: Option<Waiter>) -> Option<Index> {
        let index = self.replica.propose(now, entry).ok()?;
        let term = self.replica.term();
        self.waiters.entry(index).or_insert((term, Vec::new())).1.extend(waiter);
        Some(index)
    }
}

/// The spans of a part's leadership. Reads need the lease, and the loss of a leader is noticed within `election_max`.
fn timing(part: u8, link_mbps: f64) -> Timing {
    let configuration = part == crate::control::CONFIGURATION_PART;
    let (heartbeat, min, max) = if configuration {
        // The configuration's replicas share their processor with the traffic, so they are given more time.
        (100, 450, 800)
    } else if link_mbps < SLOW_LINK_MBPS {
        (100, 600, 1000)
    } else {
        (80, 400, 750)
    };
    Timing {
        heartbeat: Duration::from_millis(heartbeat),
        election_min: Duration::from_millis(min),
        election_max: Duration::from_millis(max),
        lease: Duration::from_millis(min * 85 / 100),
    }
}

impl Node {
    /// Does what the replicas want done: writes, one sync for all that came in this turn, messages, commits.
    pub fn pump_parts(&mut self) -> Result<(), RunError> {
        for place in 0..self.parts.len() {
            self.pump_part(place)?;
        }
        Ok(())
    }

    fn pump_part(&mut self, place: usize) -> Result<(), RunError> {
        let now = self.now;
        if now >= self.parts[place].next_wake() {
            self.traffic.part_ticks += 1;
            self.parts[place].replica.tick(now);
        }
        while self.parts[place].replica.has_ready() {
            let part = self.parts[place].part;
            let ready = self.parts[place].replica.take_ready();
            for (to, message) in ready.ahead {
                self.send_quorum(part, to, &message);
            }
            let host = &mut self.parts[place];
            let disk = |source| RunError::Disk { part, source };
            host.store.write(&ready.writes).map_err(disk)?;
            host.refer_to_snapshot(&ready.writes);
            if ready.must_sync {
                // What was already put on links for other parts need not wait for this disk.
                host.store.sync().map_err(disk)?;
            }
            host.replica.synced();
            for (to, message) in ready.messages {
                self.send_quorum(part, to, &message);
            }
            if let Some(restore) = ready.restore {
                let host = &mut self.parts[place];
                host.compact_at = host.room.log_beside(restore.bytes.as_slice().len());
                self.restore_part(place, restore.bytes)?;
                self.parts[place].applied = restore.index;
            }
            let changed = !ready.committed.is_empty();
            for committed in ready.committed {
                let host = &mut self.parts[place];
                host.applied = committed.index;
                let waiters = match host.waiters.remove(&committed.index) {
                    Some((term, waiters)) if term == committed.term => waiters,
                    Some((_, lost)) => {
                        self.reply_unclear(lost);
                        Vec::new()
                    }
                    None => Vec::new(),
                };
                self.apply_to_part(place, committed.payload, waiters)?;
            }
            if changed {
                self.serve_committed(place);
            }
            self.parts[place].applied = self.parts[place].applied.max(ready.applied);
            self.compact_part(place);
        }
        self.follow_leadership(place);
        Ok(())
    }

    fn send_quorum(&mut self, part: u8, to: ReplicaId, message: &grebeusher_quorum::Message) {
        let Some(address) = self.address_of_replica(to.0) else { return };
        let Some(identity) = self.identity else { return };
        let envelope =
            QuorumEnvelope { part, from: identity.0, to: to.0, message: grebeusher_quorum::encode(message) };
        self.send_frame(address, Channel::Quorum, &SerBin::serialize_bin(&envelope));
    }

    /// A message of another replica has come.
    pub fn receive_quorum(&mut self, payload: &[u8]) {
        let Ok(envelope) = <QuorumEnvelope as DeBin>::deserialize_bin(payload) else { return };
        if self.identity != Some(ReplicaId(envelope.to)) {
            return;
        }
        let Ok(message) = grebeusher_quorum::decode(&envelope.message) else { return };
        let now = self.clock();
        if let Some(host) = self.parts.iter_mut().find(|host| host.part == envelope.part) {
            host.replica.receive(now, ReplicaId(envelope.from), message);
        }
    }

    fn reply_unclear(&mut self, waiters: Vec<Waiter>) {
        for waiter in waiters {
            self.reply(waiter.peer, waiter.number, Reply::Unclear);
        }
    }

    fn restore_part(&mut self, place: usize, bytes: Blob) -> Result<(), RunError> {
        match self.parts[place].application {
            Application::Configuration(_) => self.restore_configuration(place, bytes.as_slice()),
            Application::Batch(_) => self.restore_batch(place, bytes),
        }
    }

    fn apply_to_part(&mut self, place: usize, entry: Blob, waiters: Vec<Waiter>) -> Result<(), RunError> {
        match self.parts[place].application {
            Application::Configuration(_) => self.apply_configuration(place, entry.as_slice(), waiters),
            Application::Batch(_) => self.apply_batch(place, entry, waiters),
        }
    }

    fn compact_part(&mut self, place: usize) {
        let host = &mut self.parts[place];
        if host.replica.log_bytes() < host.compact_at {
            return;
        }
        let snapshot = match &host.application {
            Application::Configuration(part) => part.snapshot(),
            Application::Batch(part) => part.snapshot(),
        };
        let size = snapshot.len();
        if let Err(error) = host.replica.compact(host.applied, snapshot) {
            warn!("part {}: no snapshot of {size} bytes: {error}", host.part);
        }
        host.compact_at = host.room.log_beside(size);
    }

    /// Begins or ends to act as the leader of a part.
    fn follow_leadership(&mut self, place: usize) {
        let now = self.now;
        let host = &mut self.parts[place];
        let leads = host.replica.is_leader() && (host.leads() || host.replica.lease_holds(now));
        if leads == host.leads() {
            return;
        }
        host.leader_since = leads.then_some(now);
        let part = host.part;
        let term = host.replica.term();
        info!("part {part}: {} at term {}", if leads { "leader" } else { "no longer leader" }, term.0);
        if !leads {
            let waiters: Vec<Waiter> =
                std::mem::take(&mut host.waiters).into_values().flat_map(|(_, waiters)| waiters).collect();
            let deferred = std::mem::take(&mut host.deferred);
            host.care.forget_absences();
            self.reply_unclear(waiters);
            for waiter in deferred {
                self.reply(waiter.peer, waiter.number, Reply::Unavailable);
            }
        }
        self.leader_changed(place, leads);
        self.tell_leadership();
    }

    fn leader_changed(&mut self, place: usize, leads: bool) {
        match &mut self.parts[place].application {
            Application::Configuration(part) => part.leader_changed(),
            Application::Batch(_) => self.batch_leader_changed(place, leads),
        }
    }

    /// Tells all nodes which parts this node leads, at which terms.
    fn tell_leadership(&mut self) {
        let led = self.parts.iter().filter(|host| host.leads());
        let facts = LedParts {
            parts: led.map(|host| LedPart { part: host.part, term: host.replica.term().0 }).collect(),
        };
        if self.registry.set_facts(self.now, SerBin::serialize_bin(&facts)).is_err() {
            warn!("more parts are owned than can be told");
        }
    }

    /// The parts that this node acts as the leader of.
    pub fn led_parts(&self) -> impl Iterator<Item = u8> + '_ {
        self.parts.iter().filter(|host| host.leads()).map(|host| host.part)
    }

    /// The voters of a part that this node leads, if their group is decided and no other one is on its way.
    pub fn settled_voters(&self, part: u8) -> Option<&[ReplicaId]> {
        let host = self.parts.iter().find(|host| host.part == part && host.leads())?;
        host.replica.is_settled().then(|| host.replica.group().voters.as_slice())
    }

    /// The identity of this node's disk.
    pub fn replica_id(&self) -> Option<ReplicaId> {
        self.identity
    }

    /// The node that leads a part, by the highest term that any has told.
    pub fn known_leader(&self, part: u8) -> Option<SocketAddrV4> {
        self.leaders.leader(&self.registry, part)
    }

    /// The next node to be asked for the leader of a part: the one that says it is, then any that holds a replica.
    pub fn leader_candidate(&self, part: u8, tried: &[SocketAddrV4]) -> Option<SocketAddrV4> {
        let untried = |address: &SocketAddrV4| !tried.contains(address);
        if let Some(leader) = self.known_leader(part).filter(untried) {
            return Some(leader);
        }
        let class = class_of_part(part);
        let holders = self.registry.live_members().filter(|member| member.class == class);
        let holders = holders.filter(|member| member.replica.is_some());
        let addresses: Vec<SocketAddrV4> = holders.map(|member| member.address).filter(untried).collect();
        addresses.get(self.now.0 as usize % addresses.len().max(1)).copied()
    }

    /// Gives the leadership of parts to others, as this process is about to end; `at_the_start` of that, or again later.
    pub fn hand_over_parts(&mut self, at_the_start: bool) {
        let now = self.now;
        for place in 0..self.parts.len() {
            if !self.parts[place].leads() || self.parts[place].replica.is_handing_over() {
                continue;
            }
            let heir = self.staying_heir(place);
            // Where all voters are about to end the part goes to one of them, once: not round and round among them.
            if heir.is_none() && !at_the_start {
                continue;
            }
            self.checkpoint_batch(place);
            if let Err(error) = self.parts[place].replica.hand_over(now, heir) {
                warn!("part {}: not handed over: {error}", self.parts[place].part);
            }
        }
    }

    /// The voter that is furthest of those whose nodes run and are not about to end, if there is one.
    fn staying_heir(&self, place: usize) -> Option<ReplicaId> {
        let stays = |heir: &ReplicaId| {
            let member = self.registry.member_by_replica(heir.0);
            member.is_some_and(|member| member.state == MemberState::Alive)
        };
        self.parts[place].replica.heirs().into_iter().find(stays)
    }

    /// The internal address of the node with a disk identity.
    pub fn address_of_replica(&self, replica: u64) -> Option<SocketAddrV4> {
        self.registry.member_by_replica(replica).map(|member| member.address)
    }

    /// The internal address of a node.
    pub fn address_of(&self, name: &str) -> Option<SocketAddrV4> {
        self.registry.member(name).map(|member| member.address)
    }

    /// The name of the leader of a part, as its replica here knows it.
    pub fn leader_name(&self, place: usize) -> Option<String> {
        let leader = self.parts[place].replica.leader_hint()?;
        self.registry.member_by_replica(leader.0).map(|member| member.name.clone())
    }
}

/// The machines that hold a part.
pub fn class_of_part(part: u8) -> Class {
    if part == crate::control::CONFIGURATION_PART { Class::Edge } else { Class::Storage }
}
