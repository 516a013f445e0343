//! A death that a single node reports is deferred: the reported member may refute it first. Otherwise all nodes of the
//! other side would look dead for a moment when a network partition heals.

use crate::member::{Member, MemberState};
use crate::message::Message;
use crate::register::Register;
use crate::registry::Registry;
use grebeusher_time::{Duration, Instant};
use std::collections::BTreeMap;

/// How long a node that another node reported dead has to refute the report before it is applied.
const REFUTATION_TIMEOUT: Duration = Duration::from_millis(600);

/// The largest number of deaths that wait for a refutation.
const MAX_DEFERRED_DEATHS: usize = 1_024;

/// A death that one node reported and that is neither refuted nor applied yet.
struct DeferredDeath {
    applied_at: Instant,
    member: Member,
}

/// The deaths that wait for a refutation, indexed by the names of the members.
#[derive(Default)]
pub(crate) struct DeferredDeaths {
    pending: BTreeMap<String, DeferredDeath>,
}

impl DeferredDeaths {
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.pending.values().map(|death| death.applied_at).min()
    }

    /// Returns whether there is room for the death of `member`, and no report as new is deferred already.
    fn admits(&self, member: &Member) -> bool {
        let newer = self.pending.get(&member.name).is_none_or(|death| death.member.order() < member.order());
        newer && self.pending.len() < MAX_DEFERRED_DEATHS
    }

    fn take_due(&mut self, now: Instant) -> BTreeMap<String, DeferredDeath> {
        if self.pending.values().all(|death| death.applied_at > now) {
            return BTreeMap::new();
        }
        let deaths = std::mem::take(&mut self.pending).into_iter();
        let (due, pending) = deaths.partition(|(_, death)| death.applied_at <= now);
        self.pending = pending;
        due
    }
}

impl Registry {
    /// Defers the death of a member that this node considers live, but that another node, perhaps one from the other
    /// side of a network partition, reports dead. The report is sent to the member, which refutes it if it runs.
    pub(crate) fn defer_death(&mut self, now: Instant, member: Member) {
        if !self.deferred_deaths.admits(&member) {
            return;
        }
        let address = self.members.get(&member.name).map_or(member.address, |entry| entry.member.address);
        self.send(address, Message::Registers(vec![Register::Member(member.clone())]));
        let death = DeferredDeath { applied_at: now + REFUTATION_TIMEOUT, member };
        self.deferred_deaths.pending.insert(death.member.name.clone(), death);
    }

    pub(crate) fn apply_deferred_deaths(&mut self, now: Instant) {
        for (name, DeferredDeath { member, .. }) in self.deferred_deaths.take_due(now) {
            let is_unrefuted =
                self.members.get(&name).is_some_and(|entry| entry.member.order() < member.order());
            if is_unrefuted && member.state == MemberState::Dead {
                self.put_member(now, member);
            }
        }
    }
}
