//! Heartbeats, drains and the end of an executor.

use super::{
    Executors, HEARTBEAT, HEARTBEAT_LATE, HEARTBEAT_TIMEOUT, LEAVE, LEFT, LINGERS, State, drop_call,
    ends_without_draining, wake,
};
use crate::call::{HttpCall, Progress, request};
use crate::hub::Owner;
use crate::stage::{Class, Stage};
use grebeusher_time::{Duration, DurationExt};
use rand::Rng;
use std::net::SocketAddrV4;

/// Of those that don't leave, one of so many calls the lure first.
const LURE_INTERVAL: usize = 3;

impl Executors {
    pub(super) fn heartbeat(&mut self, number: usize, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        if live.call.is_some() || live.deregistering {
            return;
        }
        live.call_seq += 1;
        let state = if live.state == State::Up { "up" } else { "draining" };
        let made = &live.made;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"config_version\":\"{}\",\"slot_count\":{},\"state\":\"{state}\",\"cold_left_ms\":0,\"call_seq\":{}}}",
            made.service, made.address, made.zone, made.version, made.slots, live.call_seq
        );
        let path = format!("/api/Instances.Heartbeat/{}", made.instance);
        self.call(number, &path, &body, false, stage);
    }

    pub(super) fn deregister(&mut self, number: usize, stage: &mut Stage<'_>) {
        self.all[number].deregistering = true;
        drop_call(&mut self.all[number], stage);
        let path = format!("/api/Instances.Deregister/{}", self.all[number].made.instance);
        self.call(number, &path, "{}", true, stage);
        if !ends_without_draining(number) {
            wake(stage, number, stage.now() + Duration::from_millis(2500), LEFT, 0);
        }
    }

    /// The node that a call goes to first while there is a lure.
    fn lure_for(&mut self, number: usize) -> Option<SocketAddrV4> {
        let lure = self.lure?;
        let live = &mut self.all[number];
        let concerned = live.state == State::Draining || number.is_multiple_of(LURE_INTERVAL);
        (concerned && std::mem::replace(&mut live.lured, false)).then_some(lure)
    }

    pub(super) fn call(&mut self, number: usize, path: &str, body: &str, last: bool, stage: &mut Stage<'_>) {
        let lure = self.lure_for(number);
        let live = &mut self.all[number];
        let to = match lure.or(live.target) {
            Some(target) => target,
            None => {
                let near = stage.hub.random.random_bool(0.7);
                let edges = stage.machines.iter().filter(|m| m.class == Class::Edge && m.listed);
                let edges: Vec<SocketAddrV4> = edges
                    .filter(|m| !near || m.zone == live.made.zone_number)
                    .map(super::super::stage::Machine::control)
                    .collect();
                let Some(pick) = edges.get(stage.hub.random.random_range(0..edges.len().max(1))) else {
                    return wake(stage, number, stage.now() + Duration::from_millis(300), HEARTBEAT, 0);
                };
                *pick
            }
        };
        let end = stage.hub.dial(Owner::Executor(number), live.made.host, to, 0);
        let host = to.to_string();
        let headers =
            [("Host", host.as_str()), ("Content-Type", "application/json"), ("Connection", "close")];
        let bytes = request("POST", path, &headers, body.as_bytes());
        live.calls += 1;
        live.call = Some((HttpCall::new(end, "POST", bytes), to, last));
        let calls = live.calls;
        wake(stage, number, stage.now() + HEARTBEAT_TIMEOUT, HEARTBEAT_LATE, calls);
    }

    pub(super) fn call_advances(&mut self, number: usize, stage: &mut Stage<'_>) {
        let Some((call, to, last)) = &mut self.all[number].call else { return };
        let (to, last) = (*to, *last);
        match call.advance(stage.hub) {
            Progress::Pending => {}
            Progress::Done if call.status.is_some_and(|status| (200..300).contains(&status)) => {
                let target = heartbeat_target(&call.body);
                let live = &mut self.all[number];
                drop_call(live, stage);
                live.lured = true;
                live.target = target.or(Some(to));
                self.acknowledged(number, last, stage);
            }
            _ => self.call_failed(number, stage),
        }
    }

    pub(super) fn acknowledged(&mut self, number: usize, last: bool, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        if live.state == State::Draining && !live.acknowledged {
            live.acknowledged = true;
            if let Some(leaving) = live.leaving {
                let now = stage.now();
                stage.judge.drain_acknowledged(&live.made.instance, leaving, now);
                self.told.push(live.made.service.clone());
            }
            let serves = stage.judge.bounds.drain + LINGERS;
            let next = if last { LEFT } else { LEAVE };
            return wake(stage, number, stage.now() + serves, next, 0);
        }
        if last {
            return self.leave(number, stage);
        }
        if live.state == State::Up {
            let jitter = stage.hub.random.random_range(0.9..1.1);
            wake(stage, number, stage.now() + Duration::from_millis(1200).scaled(jitter), HEARTBEAT, 0);
        }
    }

    pub(super) fn call_failed(&mut self, number: usize, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        drop_call(live, stage);
        live.target = None;
        let pause = Duration::from_millis(stage.hub.random.random_range(20..200));
        let kind = if live.deregistering { LEAVE } else { HEARTBEAT };
        wake(stage, number, stage.now() + pause, kind, 0);
    }

    pub(super) fn leave(&mut self, number: usize, stage: &mut Stage<'_>) {
        let live = &self.all[number];
        // Without an acknowledgement it ends all the same; with one, only after it has said that it is gone.
        if live.acknowledged && !live.deregistering {
            return;
        }
        self.crash(number, false, stage);
    }
}

fn heartbeat_target(body: &[u8]) -> Option<SocketAddrV4> {
    let text = std::str::from_utf8(body).ok()?;
    let value: tinyjson::JsonValue = text.parse().ok()?;
    let fields: &std::collections::HashMap<String, tinyjson::JsonValue> = value.get()?;
    let target: &String = fields.get("heartbeat_target")?.get()?;
    target.parse().ok()
}
