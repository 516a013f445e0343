//! Deaths that a single node reports are deferred: the member in question may refute its death first, so that a network
//! partition that heals does not make all nodes of the other side look dead for a moment.

use crate::member::{Member, MemberState};
use crate::message::Message;
use crate::register::Register;
use crate::registry::Registry;
use grebeusher_time::{Duration, Instant};
use std::collections::BTreeMap;

/// How long a node that another called dead has to refute it before it is believed.
const REFUTATION_TIMEOUT: Duration = Duration::from_millis(600);

/// How many deaths wait for a refutation at most.
const MAX_DEFERRED_DEATHS: usize = 1_024;

/// A death that one node reported, until it is refuted or believed.
struct DeferredDeath {
    believed_at: Instant,
    member: Member,
}

/// The deaths that wait for a refutation, by the names of the members.
#[derive(Default)]
pub(crate) struct DeferredDeaths {
    pending: BTreeMap<String, DeferredDeath>,
}

impl DeferredDeaths {
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.pending.values().map(|death| death.believed_at).min()
    }

    /// Whether there is room, and nothing as new is deferred already.
    fn admits(&self, member: &Member) -> bool {
        let newer = self.pending.get(&member.name).is_none_or(|death| death.member.order() < member.order());
        newer && self.pending.len() < MAX_DEFERRED_DEATHS
    }

    fn take_due(&mut self, now: Instant) -> BTreeMap<String, DeferredDeath> {
        if self.pending.values().all(|death| death.believed_at > now) {
            return BTreeMap::new();
        }
        let deaths = std::mem::take(&mut self.pending).into_iter();
        let (due, pending) = deaths.partition(|(_, death)| death.believed_at <= now);
        self.pending = pending;
        due
    }
}

impl Registry {
    /// Takes note that another node, perhaps one from beyond a network partition, considers dead a member that this
    /// one considers live, and asks that member first.
    pub(crate) fn defer_death(&mut self, now: Instant, member: Member) {
        if !self.deferred_deaths.admits(&member) {
            return;
        }
        let address = self.members.get(&member.name).map_or(member.address, |entry| entry.member.address);
        self.send(address, Message::Registers(vec![Register::Member(member.clone())]));
        let death = DeferredDeath { believed_at: now + REFUTATION_TIMEOUT, member };
        self.deferred_deaths.pending.insert(death.member.name.clone(), death);
    }

    pub(crate) fn apply_deferred_deaths(&mut self, now: Instant) {
        for (name, DeferredDeath { member, .. }) in self.deferred_deaths.take_due(now) {
            let unrefuted =
                self.members.get(&name).is_some_and(|entry| entry.member.order() < member.order());
            if unrefuted && member.state == MemberState::Dead {
                self.put_member(now, member);
            }
        }
    }
}
