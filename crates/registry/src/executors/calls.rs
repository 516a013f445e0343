//! The calls of executors: heartbeats and deregistrations.
//!
//! A call whose `call_seq` is not above that of the latest call is late. It changes nothing, except that a late call
//! may still announce a drain, because an executor that drains never accepts requests again.

use crate::codec::MAX_TEXT;
use crate::event::{Answer, HeartbeatEffect};
use crate::executor::{Executor, ExecutorState};
use crate::placement;
use crate::register::Key;
use crate::registry::Registry;
use crate::report::HeartbeatReport;
use grebeusher_time::Instant;

/// The largest length of an executor's id, in bytes.
const MAX_ID: usize = MAX_TEXT;

impl Registry {
    /// Handles a heartbeat of an executor.
    pub fn heartbeat(&mut self, now: Instant, report: HeartbeatReport) -> HeartbeatEffect {
        self.begin_step(now);
        let members = self.members.values().map(|entry| &entry.member);
        let is_isolated = self.is_isolated(now);
        let target = placement::heartbeat_target(&report.id, &report.zone, members).filter(|_| !is_isolated);
        let (id, is_draining) = (report.id.clone(), report.state == ExecutorState::Draining);
        self.apply_heartbeat(now, report);
        let is_unconfirmed = self.executors.entries.get(&id).is_some_and(|entry| {
            entry.visible.report.state == ExecutorState::Draining
                && entry.confirmed_state < ExecutorState::Draining
        });
        let answer = if is_draining && is_unconfirmed {
            self.broadcast_state(now, &id, ExecutorState::Draining)
        } else {
            Answer::Now
        };
        HeartbeatEffect { answer, heartbeat_target: target }
    }

    /// Handles the deregistration of an executor, which is its last call.
    pub fn deregister(&mut self, now: Instant, id: &str) -> Answer {
        self.begin_step(now);
        if id.is_empty() || id.len() > MAX_ID {
            return Answer::Never;
        }
        if self.executors.tombstones.get(id).is_some_and(|executor| !executor.exists()) {
            return Answer::Now;
        }
        let known = self.executors.published(id).unwrap_or_else(|| Executor::unknown(id, &self.own_name));
        let gone = known.with_state(ExecutorState::Gone);
        if !self.put_executor(now, gone) {
            return Answer::Never;
        }
        let is_confirmed =
            self.executors.entries.get(id).is_some_and(|entry| entry.confirmed_state == ExecutorState::Gone);
        if is_confirmed { Answer::Now } else { self.broadcast_state(now, id, ExecutorState::Gone) }
    }

    fn apply_heartbeat(&mut self, now: Instant, report: HeartbeatReport) {
        let is_draining = report.state == ExecutorState::Draining;
        let Some(published) = self.executors.published(&report.id) else {
            let incoming = Executor::reported(report, &self.own_name);
            return self.admit_executor(now, incoming);
        };
        if !published.exists() {
            return;
        }
        let latest = self
            .executors
            .entries
            .get(&report.id)
            .map_or(published.report.call_seq, |entry| entry.latest_call_seq);
        if report.call_seq <= latest {
            // The call is late. Only a drain that it announces still counts, because a drain is never undone.
            if is_draining && published.report.state == ExecutorState::Up {
                self.put_executor(now, published.with_state(ExecutorState::Draining));
            }
            return;
        }
        let mut incoming = Executor::reported(report, &self.own_name);
        incoming.report.state = incoming.report.state.max(published.report.state);
        let id = incoming.report.id.clone();
        if incoming.differs_from(&published) {
            let announced_by_broadcast = is_draining && published.report.state == ExecutorState::Up;
            if self.put_executor(now, incoming.clone()) && !announced_by_broadcast {
                self.announce(now, Key::Executor(id.clone()));
            }
        }
        if let Some(entry) = self.executors.entries.get_mut(&id) {
            entry.latest_call_seq = entry.latest_call_seq.max(incoming.report.call_seq);
            entry.last_heartbeat = now;
            entry.restored = false;
        }
    }

    fn admit_executor(&mut self, now: Instant, incoming: Executor) {
        let (id, address, is_draining) =
            (incoming.report.id.clone(), incoming.report.address, incoming.report.state != ExecutorState::Up);
        if !self.put_executor(now, incoming) {
            return;
        }
        if !is_draining {
            self.announce(now, Key::Executor(id.clone()));
        }
        // An executor that had the address before has ended, even if it did not deregister.
        let former =
            self.executors.iter().filter(|other| other.report.address == address && other.report.id != id);
        let former: Vec<String> = former
            .filter(|other| other.exists() && !other.unresponsive)
            .map(|other| other.report.id.clone())
            .collect();
        former.iter().for_each(|former| self.announce_unresponsive(now, former));
    }
}
