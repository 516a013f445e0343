//! The calls of executors: heartbeats and deregistrations.
//!
//! A call with a number that is not above the latest one is late. It changes nothing, but that a drain never goes
//! back.

use crate::codec::MAX_TEXT;
use crate::event::{Answer, HeartbeatEffect};
use crate::executor::{Executor, ExecutorState};
use crate::placement;
use crate::register::Key;
use crate::registry::Registry;
use crate::report::HeartbeatReport;
use grebeusher_time::Instant;

/// The longest id that a register holds, in bytes.
const MAX_ID: usize = MAX_TEXT;

impl Registry {
    /// Takes a heartbeat of an executor.
    pub fn heartbeat(&mut self, now: Instant, report: HeartbeatReport) -> HeartbeatEffect {
        self.begin_step(now);
        let members = self.members.values().map(|entry| &entry.member);
        let isolated = self.is_isolated(now);
        let target = placement::heartbeat_target(&report.id, &report.zone, members).filter(|_| !isolated);
        let (id, drains) = (report.id.clone(), report.state == ExecutorState::Draining);
        self.apply_heartbeat(now, report);
        let unconfirmed = self.executors.entries.get(&id).is_some_and(|entry| {
            entry.visible.report.state == ExecutorState::Draining
                && entry.confirmed_state < ExecutorState::Draining
        });
        let answer = if drains && unconfirmed {
            self.broadcast_state(now, &id, ExecutorState::Draining)
        } else {
            Answer::Now
        };
        HeartbeatEffect { answer, heartbeat_target: target }
    }

    /// Takes the last call of an executor.
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
        let confirmed =
            self.executors.entries.get(id).is_some_and(|entry| entry.confirmed_state == ExecutorState::Gone);
        if confirmed { Answer::Now } else { self.broadcast_state(now, id, ExecutorState::Gone) }
    }

    fn apply_heartbeat(&mut self, now: Instant, report: HeartbeatReport) {
        let drains = report.state == ExecutorState::Draining;
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
            // Late. Only that it drains still counts, as it never goes back.
            if drains && published.report.state == ExecutorState::Up {
                self.put_executor(now, published.with_state(ExecutorState::Draining));
            }
            return;
        }
        let mut incoming = Executor::reported(report, &self.own_name);
        incoming.report.state = incoming.report.state.max(published.report.state);
        let id = incoming.report.id.clone();
        if incoming.differs_from(&published) {
            let announced_by_broadcast = drains && published.report.state == ExecutorState::Up;
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
        let (id, address, drains) =
            (incoming.report.id.clone(), incoming.report.address, incoming.report.state != ExecutorState::Up);
        if !self.put_executor(now, incoming) {
            return;
        }
        if !drains {
            self.announce(now, Key::Executor(id.clone()));
        }
        // Whoever had the address before has ended, even if it did not say so.
        let former =
            self.executors.iter().filter(|other| other.report.address == address && other.report.id != id);
        let former: Vec<String> = former
            .filter(|other| other.exists() && !other.unresponsive)
            .map(|other| other.report.id.clone())
            .collect();
        former.iter().for_each(|former| self.announce_unresponsive(now, former));
    }
}
