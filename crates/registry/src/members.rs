//! The set of nodes: merging of their registers, and refutation of wrong claims about the own node.

use crate::event::Event;
use crate::member::{Member, MemberState, NodeId};
use crate::register::{Key, Register};
use crate::registry::Registry;
use grebeusher_time::{Duration, Instant};
use rand::Rng;
use std::net::SocketAddrV4;

/// The largest number of dead nodes that are remembered.
const MAX_TOMBSTONES: usize = 1_024;

/// The largest number of nodes that are admitted: more than twice the largest fleet that the tier is designed for.
const MAX_MEMBERS: usize = 2_048;

/// False deaths are counted together if each follows the one before within this duration. A node that was falsely
/// declared dead twice in that sense gets a longer death timeout.
const FALSE_DEATH_MEMORY: Duration = Duration::from_millis(20_000);

/// The largest number of doublings of the death timeout of a node.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;

/// The register of one node and the local observations about it.
pub(crate) struct MemberEntry {
    pub(crate) member: Member,
    /// When the register last changed.
    pub(crate) changed: Instant,
    /// When this node last received a message from it.
    pub(crate) last_contact: Option<Instant>,
    false_deaths: FalseDeaths,
}

/// The number of times that a node recently refuted its death within one incarnation.
#[derive(Clone, Copy, Default)]
struct FalseDeaths {
    count: u32,
    last: Instant,
}

impl FalseDeaths {
    fn is_forgotten(self, now: Instant) -> bool {
        now.since(self.last) > FALSE_DEATH_MEMORY
    }

    fn record(&mut self, now: Instant) {
        self.count = if self.is_forgotten(now) { 1 } else { self.count.saturating_add(1) };
        self.last = now;
    }

    fn suspicion_multiplier(self, now: Instant) -> f64 {
        if self.is_forgotten(now) {
            return 1.0;
        }
        f64::from(1_u32 << self.count.saturating_sub(1).min(MAX_TIMEOUT_DOUBLINGS))
    }
}

impl MemberEntry {
    /// Returns the factor by which the death timeout of the node is multiplied.
    pub(crate) fn suspicion_multiplier(&self, now: Instant) -> f64 {
        self.false_deaths.suspicion_multiplier(now)
    }

    /// Returns whether `member` refutes the death of this entry within the same incarnation, so without a restart.
    fn is_refuted_by(&self, member: &Member) -> bool {
        self.is_dead() && member.serves() && self.member.incarnation == member.incarnation
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.member.state == MemberState::Dead
    }
}

/// The way by which this node received a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The register came down a relay tree, so all nodes receive it.
    Relay,
    /// The node at this address sent the register to this node only.
    Peer(SocketAddrV4),
    /// The register was in the welcome message of the seed at this address.
    Welcome(SocketAddrV4),
}

impl Registry {
    /// Stores the register of a node and replaces the previous one.
    pub(crate) fn put_member(&mut self, now: Instant, member: Member) {
        let name = member.name.clone();
        let before = self.members.remove(&name);
        if let Some(before) = &before {
            self.unindex_address(&before.member);
        }
        let last_contact = before.as_ref().and_then(|entry| entry.last_contact);
        let mut false_deaths = before.as_ref().map(|entry| entry.false_deaths).unwrap_or_default();
        if before.as_ref().is_some_and(|entry| entry.is_refuted_by(&member)) {
            false_deaths.record(now);
        }
        self.index_address(&member);
        let ring_changed = before.as_ref().is_none_or(|entry| {
            entry.member.serves() != member.serves() || entry.member.address != member.address
        });
        let state = member.state;
        let hash = Register::Member(member.clone()).hash();
        self.digest.set(Key::Member(name.clone()), hash, member.serves());
        if ring_changed {
            self.ring.update(&member, self.own_id);
        }
        let entry = MemberEntry { member, changed: now, last_contact, false_deaths };
        self.members.insert(name.clone(), entry);
        self.update_metadata_digest(&name);
        if ring_changed {
            self.update_watches(now);
            self.liveness.reset_probe_schedule();
        }
        self.generation.members += 1;
        self.output.events.push(Event::MemberChanged { name, state });
    }

    fn unindex_address(&mut self, member: &Member) {
        if self.names_by_address.get(&member.address) == Some(&member.name) {
            self.names_by_address.remove(&member.address);
        }
    }

    /// Maps the address to the node. If several nodes have the address, it belongs to the live one with the highest
    /// incarnation.
    fn index_address(&mut self, member: &Member) {
        let current = self.names_by_address.get(&member.address).and_then(|name| self.members.get(name));
        let rank = |member: &Member| (member.serves(), member.incarnation);
        if current.is_none_or(|current| rank(&current.member) <= rank(member)) {
            self.names_by_address.insert(member.address, member.name.clone());
        }
    }

    /// Sets or clears the suspicion of a node. Suspicion is the local view of this node and is not published.
    pub(crate) fn set_suspect(&mut self, name: &str, suspect: bool) {
        let (from, to) = match suspect {
            true => (MemberState::Alive, MemberState::Suspect),
            false => (MemberState::Suspect, MemberState::Alive),
        };
        if let Some(entry) = self.members.get_mut(name)
            && entry.member.state == from
        {
            entry.member.state = to;
            self.generation.members += 1;
            self.output.events.push(Event::MemberChanged { name: name.to_owned(), state: to });
        }
    }

    pub(crate) fn record_contact(&mut self, now: Instant, from: SocketAddrV4) {
        self.liveness.last_contact = Some(now);
        let Some(name) = self.names_by_address.get(&from) else {
            return;
        };
        let Some(entry) = self.members.get_mut(name) else {
            return;
        };
        entry.last_contact = Some(now);
        if entry.member.state == MemberState::Suspect {
            let name = name.clone();
            self.set_suspect(&name, false);
        }
    }

    pub(crate) fn change_own_state(&mut self, now: Instant, state: MemberState) {
        let mut own = self.own_member().clone();
        if own.state == state || own.state == MemberState::Left {
            return;
        }
        own.state = state;
        own.status_version = own.status_version.saturating_add(1);
        self.put_member(now, own);
        self.announce(now, Key::Member(self.own_name.clone()));
    }

    /// Merges the register of a node that came from `source`.
    pub(crate) fn merge_member(&mut self, now: Instant, member: Member, source: Source) {
        if member.id() == self.own_id {
            return self.refute(now, &member, source);
        }
        let known = self.members.get(&member.name);
        if known.is_none() && self.members.len() >= MAX_MEMBERS {
            return;
        }
        let is_subject = |address: SocketAddrV4| address == member.address && member.serves();
        let order = known.map(|entry| entry.member.order());
        if order.is_some_and(|order| order >= member.order()) {
            // The node itself sent an outdated register: it has to learn what others claim about it, to refute that.
            if let Source::Peer(from) = source
                && is_subject(from)
                && order.is_some_and(|order| order > member.order())
            {
                self.send_registers(from, &[Key::Member(member.name)]);
            }
            return;
        }
        match source {
            Source::Relay => self.put_member(now, member),
            Source::Welcome(_) => self.put_member(now, member),
            Source::Peer(from) if is_subject(from) => {
                let key = Key::Member(member.name.clone());
                self.put_member(now, member);
                self.announce(now, key);
            }
            Source::Peer(_)
                if member.state == MemberState::Dead && known.is_some_and(|known| known.member.serves()) =>
            {
                self.defer_death(now, member);
            }
            Source::Peer(_) => self.put_member(now, member),
        }
    }

    /// Handles the register of this node as another node holds it: refutes a newer claim, for example that this node is
    /// dead, and sends the current register to a peer whose register differs.
    fn refute(&mut self, now: Instant, claim: &Member, source: Source) {
        let own = self.own_member();
        if claim.order() > own.order() && own.state != MemberState::Left {
            self.supersede(now, claim);
        }
        if let Source::Peer(from) = source
            && claim.order() != self.own_member().order()
        {
            self.send_registers(from, &[Key::Member(self.own_name.clone())]);
        }
    }

    /// Raises the version of the own register above that of the claim and announces it.
    fn supersede(&mut self, now: Instant, claim: &Member) {
        let mut own = self.own_member().clone();
        if claim.incarnation > own.incarnation {
            // The claim comes from an earlier incarnation of this node, whose clock was ahead.
            own.incarnation = claim.incarnation.saturating_add(1);
            own.status_version = 0;
        } else {
            own.status_version = claim.status_version.saturating_add(1);
        }
        let new_incarnation = own.incarnation;
        self.put_member(now, own);
        self.announce(now, Key::Member(self.own_name.clone()));
        if let Some(mut node_metadata) = self.node_metadata.get(&self.own_name).cloned()
            && node_metadata.incarnation < new_incarnation
        {
            node_metadata.incarnation = new_incarnation;
            self.put_metadata(node_metadata);
            self.announce(now, Key::NodeMetadata(self.own_name.clone()));
        }
    }

    /// Removes the nodes that have been dead for longer than the tombstone retention, and the longest dead ones beyond
    /// [`MAX_TOMBSTONES`].
    pub(crate) fn forget_dead(&mut self, now: Instant) {
        let mut dead: Vec<(Instant, String)> = self
            .members
            .values()
            .filter(|entry| !entry.member.serves() && entry.member.id() != self.own_id)
            .map(|entry| (entry.changed, entry.member.name.clone()))
            .collect();
        dead.sort();
        let surplus = dead.len().saturating_sub(MAX_TOMBSTONES);
        for (index, (changed, name)) in dead.into_iter().enumerate() {
            if index < surplus || now.since(changed) > self.timings.tombstone_retention {
                self.remove_member(&name);
            }
        }
    }

    fn remove_member(&mut self, name: &str) {
        if let Some(entry) = self.members.remove(name) {
            self.unindex_address(&entry.member);
            self.digest.remove(&Key::Member(name.to_owned()));
            self.generation.members += 1;
        }
        if self.node_metadata.remove(name).is_some() {
            self.digest.remove(&Key::NodeMetadata(name.to_owned()));
            self.generation.node_metadata += 1;
        }
    }

    /// Returns a random live node other than this one.
    pub(crate) fn random_other(&mut self) -> Option<(NodeId, SocketAddrV4)> {
        let others = self.ring.len().saturating_sub(1);
        if others == 0 {
            return None;
        }
        let ring_member = self.ring.other(self.random.random_range(0..others))?;
        Some((ring_member.id, ring_member.address))
    }

    /// Returns the entry of the node with this id.
    pub(crate) fn member_by_id(&self, id: NodeId) -> Option<&MemberEntry> {
        match self.digest.key(id.0)? {
            Key::Member(name) => self.members.get(name),
            _ => None,
        }
    }
}
