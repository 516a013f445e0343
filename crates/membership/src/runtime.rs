//! The runtime that `foca` calls: it keeps the table of live members and the timers, and passes datagrams and events to
//! the host.

use crate::{Host, LiveMember, Member};
use foca::{Notification, Runtime, Timer};
use grebeusher_dispatch::time::{Duration, Instant};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The state that is kept between the calls of `foca`.
#[derive(Default)]
pub(crate) struct RuntimeState {
    /// The timers of `foca`, by the time at which each is due and its id.
    timers: BTreeMap<(Instant, u64), Timer<Member>>,
    /// The id of the next timer. Timers that are due at the same time run in the order of their ids.
    next_timer_id: u64,
    members: BTreeMap<SocketAddr, LiveMember>,
    /// Whether any other node knows this one.
    pub(crate) is_active: bool,
    /// How many times this node was declared down and came back under a renewed identity.
    pub(crate) refutations: u64,
}

impl RuntimeState {
    pub(crate) fn members(&self) -> impl Iterator<Item = LiveMember> {
        self.members.values().copied()
    }

    pub(crate) fn next_timer(&self) -> Option<Instant> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the first timer that is due at `now`, if there is one.
    pub(crate) fn take_due_timer(&mut self, now: Instant) -> Option<Timer<Member>> {
        self.next_timer().filter(|at| *at <= now)?;
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}

/// The runtime for one call of `foca` at the time `now`.
pub(crate) struct HostRuntime<'a, H> {
    pub(crate) host: &'a mut H,
    pub(crate) state: &'a mut RuntimeState,
    pub(crate) now: Instant,
}

impl<H: Host> HostRuntime<'_, H> {
    fn member_up(&mut self, member: Member) {
        self.state.members.insert(member.address, LiveMember { member, since: self.now });
        self.host.member_up(member);
    }

    /// Removes a member, unless it is known under a newer generation by now.
    fn member_down(&mut self, member: Member) {
        let known = self.state.members.get(&member.address);
        if known.is_some_and(|known| known.member.generation <= member.generation) {
            self.state.members.remove(&member.address);
            self.host.member_down(member);
        }
    }

    fn member_renamed(&mut self, before: Member, after: Member) {
        if let Some(known) = self.state.members.get_mut(&before.address) {
            *known = LiveMember { member: after, since: self.now };
            self.host.member_down(before);
            self.host.member_up(after);
        }
    }
}

impl<H: Host> Runtime<Member> for HostRuntime<'_, H> {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => self.member_up(*member),
            Notification::MemberDown(member) => self.member_down(*member),
            Notification::Rename(before, after) => self.member_renamed(*before, *after),
            Notification::Active => self.state.is_active = true,
            Notification::Idle | Notification::Defunct => self.state.is_active = false,
            Notification::Rejoin(_) => self.state.refutations += 1,
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.host.send(to.address, data);
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        let at = self.now + Duration::from_nanos(after.as_nanos() as u64);
        self.state.timers.insert((at, self.state.next_timer_id), event);
        self.state.next_timer_id += 1;
    }
}
