//! The stand-in discovery: the whole list, and a watch that says what has changed. Each node has a door of its own to it,
//! by which it is known who was told what.

use crate::fleet::{Fleet, Owner, Task};
use crate::http::{request, said};
use grebeusher_dispatch::ExecutorStatus;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_emulator::stage::ms;
use rand::Rng;
use serde_json::{Value, json};

/// While nothing changes an empty line comes so often.
pub const EMPTY_INTERVAL: Duration = Duration::from_millis(2000);

/// What discovery holds.
#[derive(Default)]
pub struct Registry {
    pub generation: u64,
    /// How many faults have it down.
    pub down: u32,
    /// When it has worked through the calls that came.
    free: Instant,
    /// Watches that stand, by their connection.
    watches: Vec<(usize, usize)>,
}

impl Registry {
    pub fn new() -> Registry {
        Registry { generation: 1, ..Registry::default() }
    }
}

fn lifecycle(standing: ExecutorStatus) -> &'static str {
    match standing {
        ExecutorStatus::Ready => "active",
        ExecutorStatus::Draining => "leaving",
        ExecutorStatus::Gone => "left",
    }
}

impl Fleet {
    /// What the list says of these executors to a node.
    fn version(&self, reset: bool, which: &[usize], node: usize) -> Value {
        let zone = self.zone_of(node);
        let entry = |&at: &usize| {
            let e = &self.executors[at];
            json!({"instanceId": e.name, "hostPort": e.doors[zone].1.to_string(),
                "zone": self.scenario.nodes.zones[e.machine.make.zone], "machineType": e.machine.make.of.kind,
                "cell": 0, "lifecycle": lifecycle(e.machine.standing), "weight": 1.0,
                "startedAtMs": e.started_unix_ms})
        };
        let instances: Vec<Value> = which.iter().map(entry).collect();
        json!({"generation": self.registry.generation, "reset": reset, "instances": instances})
    }

    fn listed(&self) -> Vec<usize> {
        let listed = |&at: &usize| self.executors[at].machine.standing != ExecutorStatus::Gone;
        (0..self.executors.len()).filter(listed).collect()
    }

    /// The whole list, as a node is told it at its start.
    pub fn whole_list(&self, node: usize) -> Value {
        self.version(true, &self.listed(), node)
    }

    /// The book hears that a node was told of these; where something is wrong on the way nobody knows when.
    pub fn was_told(&mut self, node: usize, which: &[usize]) {
        let is_clear = self.wire.links[self.discovery_links[node]].is_clear();
        let now = self.now();
        for &at in which {
            let machine = &self.executors[at].machine;
            let usable = machine.standing == ExecutorStatus::Ready;
            if is_clear {
                self.book.told(now, node, at, usable, machine.started);
            } else if usable {
                // It may hear that at any time: it is not held to what it was told before.
                self.book.may_hear_of(node, at);
            }
        }
    }

    /// The same of the whole list, in which what is absent is gone.
    pub fn was_told_all(&mut self, node: usize) {
        let all: Vec<usize> = (0..self.executors.len()).collect();
        self.was_told(node, &all);
    }

    pub fn discovery_hears(&mut self, node: usize, key: usize) {
        loop {
            let Some((bytes, _)) = self.wire.came(key) else { return };
            match request(bytes) {
                Ok(Some(message)) => {
                    let index = message.target.split_once("stream=1&index=").map(|(_, index)| index);
                    self.calls_in(node, key, index.map(|index| index.parse().unwrap_or(0)));
                }
                Ok(None) => return,
                Err(_) => return self.wire.closes(key),
            }
        }
    }

    /// One call: it is worked through in turn, or fails as it would wait too long.
    fn calls_in(&mut self, node: usize, key: usize, index: Option<u64>) {
        let d = self.scenario.discovery;
        let now = self.now();
        self.figures.list_calls += 1;
        let ends = self.registry.free.max(now) + Duration::from_seconds(1.0 / d.calls_per_s);
        if ends.since(now) > ms(d.call_within_ms) {
            self.figures.list_calls_failed += 1;
            return self.after(ms(d.call_within_ms), Task::ListAnswer(node, key, None));
        }
        self.registry.free = ends;
        self.at(ends, Task::ListAnswer(node, key, Some(index)));
    }

    pub fn list_answer(&mut self, node: usize, key: usize, asked: Option<Option<u64>>) {
        if !matches!(self.wire.owner(key), Some(Owner::Discovery(of)) if of == node) {
            return;
        }
        let now = self.now();
        match asked {
            None => self.wire.says(key, said("HTTP/1.1 503 x\r\n", b""), now),
            Some(None) => {
                let list = self.whole_list(node).to_string();
                self.was_told_all(node);
                self.wire.says(key, said("HTTP/1.1 200 x\r\n", list.as_bytes()), now);
            }
            Some(Some(index)) => {
                self.wire.says(key, b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), now);
                self.registry.watches.push((key, node));
                if index == self.registry.generation {
                    return self.line(key, "");
                }
                let list = self.whole_list(node).to_string();
                self.was_told_all(node);
                self.line(key, &list);
            }
        }
    }

    fn line(&mut self, key: usize, text: &str) {
        let now = self.now();
        self.wire.says(key, format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes(), now);
    }

    fn stands_watch(&self, key: usize, node: usize) -> bool {
        matches!(self.wire.owner(key), Some(Owner::Discovery(of)) if of == node)
    }

    /// Says that nothing has changed, to all who watch.
    pub fn empty_lines(&mut self) {
        let standing = |&(key, node): &(usize, usize)| self.stands_watch(key, node);
        let watches: Vec<(usize, usize)> = self.registry.watches.iter().copied().filter(standing).collect();
        watches.iter().for_each(|&(key, _)| self.line(key, ""));
        self.registry.watches = watches;
    }

    /// The list has changed of an executor: who watches hears of it some time later.
    pub fn list_changes(&mut self, executor: usize, standing: ExecutorStatus) {
        self.executors[executor].machine.standing = standing;
        self.registry.generation += 1;
        if self.registry.down > 0 {
            return;
        }
        let notice = ms(self.scenario.discovery.notice_ms);
        for (key, node) in self.registry.watches.clone() {
            if self.stands_watch(key, node) {
                let wait = notice.scaled(0.5 + self.chance.random::<f64>());
                self.after(wait, Task::ListLine(node, key, executor));
            }
        }
    }

    pub fn list_line(&mut self, node: usize, key: usize, executor: usize) {
        if self.stands_watch(key, node) {
            let text = self.version(false, &[executor], node).to_string();
            self.was_told(node, &[executor]);
            self.line(key, &text);
        }
    }

    pub fn discovery_goes(&mut self, down: bool) -> std::io::Result<()> {
        self.registry.down = if down { self.registry.down + 1 } else { self.registry.down - 1 };
        match (self.registry.down, down) {
            (1, true) => {
                for door in self.discovery_doors.clone() {
                    self.wire.refuses(door);
                }
                let keys = self.wire.find(|owner| matches!(owner, Owner::Discovery(_)));
                keys.into_iter().for_each(|key| self.wire.breaks(key));
                self.registry.watches.clear();
                Ok(())
            }
            (0, false) => {
                self.discovery_doors.clone().into_iter().try_for_each(|door| self.wire.listens(door))
            }
            _ => Ok(()),
        }
    }
}
