//! The clients: open arrivals, whose times are drawn beforehand and do not wait for answers. All times count from when a
//! unit was meant to come, so that a slow node does not hide its own delay.

use crate::fleet::{Fleet, Owner, Task};
use crate::http::{answer, said};
use crate::wire::CLEAR;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_emulator::laws::{exponential, noise};
use grebeusher_emulator::rules::Answer;
use grebeusher_emulator::scenario::Scenario;
use grebeusher_emulator::stage::{Errand, START, ms};
use grebeusher_emulator::world::deals;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;

/// What was sent this much after its time says that this machine was too busy.
const LATE: Duration = Duration::from_millis(10);
/// How soon a client whose node is gone goes to another.
const KNOCK_AGAIN: Duration = Duration::from_millis(50);
/// A process that has just died is known to be gone after this.
const JUDGEMENT_DELAY: Duration = Duration::from_millis(300);

/// A unit that is under way.
pub struct Open {
    errand: usize,
    pub node: usize,
    handed_in: Instant,
    conn: Option<usize>,
    /// On a connection that had served before: the node may have closed it just then.
    used_before: bool,
    started: bool,
    /// Its node stood still meanwhile.
    pub froze: bool,
    /// When what reached an executor last was sent.
    sent: Option<Instant>,
}

impl Open {
    /// Whether it has reached an executor.
    pub fn was_sent(&self) -> bool {
        self.sent.is_some()
    }
}

/// All that comes in a run, in the order of its time.
pub fn schedule(scenario: &Scenario) -> Vec<Errand> {
    let mut chance = Pcg32::seed_from_u64(scenario.seed);
    let mut errands = Vec::new();
    for (tariff, t) in scenario.tariffs.iter().enumerate() {
        let mut at_s = exponential(&mut chance) / t.per_s;
        while at_s < scenario.length_s {
            let came = Instant(START) + Duration::from_seconds(at_s);
            let size_s = t.size.draw(&mut chance);
            let patience = ms(t.patience_ms);
            let leaves = (chance.random::<f64>() < scenario.clients.leave_share)
                .then(|| came + patience.scaled(chance.random::<f64>()));
            errands.push(Errand {
                tariff,
                size_s,
                hint_s: t.hint_cv.map(|cv| size_s * noise(&mut chance, cv)),
                came,
                deadline: came + patience,
                leaves,
                tries: 0,
                counted: at_s >= scenario.settles_s,
            });
            at_s += exponential(&mut chance) / t.per_s;
        }
    }
    errands.sort_by_key(|errand| errand.came);
    errands
}

impl Fleet {
    pub fn comes(&mut self, errand: usize) {
        let now = self.now();
        let e = &self.errands[errand];
        if now < self.silent_until {
            self.open_errands -= 1;
            return;
        }
        if now.since(e.came) > LATE {
            self.sent_late += 1;
        }
        if e.counted {
            self.figures.came(e.tariff, e.came);
        }
        self.spread.offered(now, e.size_s);
        self.tries(errand);
    }

    /// The front picks a node, which it may not know to be gone yet.
    pub fn tries(&mut self, errand: usize) {
        let now = self.now();
        let e = &self.errands[errand];
        if now + KNOCK_AGAIN >= e.deadline {
            return self.lost(errand);
        }
        let notice = ms(self.scenario.clients.front_notice_ms);
        let dealt = |at: usize| {
            if self.sent_away[at] {
                return false;
            }
            let unnoticed = self.died[at].is_some_and(|died| now < died + notice);
            (self.ready[at] && !self.nodes[at].stopping) || unnoticed
        };
        const LOOKS: usize = 100;
        let count = self.nodes.len();
        let looks: Vec<usize> =
            (0..LOOKS).map(|_| deals(&mut self.chance, self.shares.as_ref(), count)).collect();
        let node = looks.into_iter().find(|&at| dealt(at)).filter(|&at| self.nodes[at].is_up());
        let Some(node) = node else { return self.after(KNOCK_AGAIN, Task::Tries(errand)) };
        let unit = self.next_unit;
        self.next_unit += 1;
        let binding = self.scenario.tariffs[self.errands[errand].tariff].is_binding();
        self.book.taken(unit, binding, self.errands[errand].deadline);
        let froze = self.nodes[node].frozen;
        let open = Open {
            errand,
            node,
            handed_in: now,
            conn: None,
            used_before: false,
            started: false,
            froze,
            sent: None,
        };
        self.units.insert(unit, open);
        let e = &self.errands[errand];
        let until = e.leaves.unwrap_or(e.deadline + ms(self.scenario.rules.slack_ms));
        self.at(until.max(now), Task::Due(unit));
        let kept = self.idle[node].pop();
        self.asks(unit, kept);
    }

    /// Hands a unit in on a connection that is kept, or on a new one.
    fn asks(&mut self, unit: u64, kept: Option<usize>) {
        let now = self.now();
        let Some(open) = self.units.get(&unit) else { return };
        let (node, e) = (open.node, &self.errands[open.errand]);
        let tariff = &self.scenario.tariffs[e.tariff].name;
        let hint = e.hint_s.map(|s| format!("X-Call-Cost: {}\r\n", (s * 1e6) as u64)).unwrap_or_default();
        let again = if e.tries > 0 { "X-Again: 1\r\n" } else { "" };
        let body = json!({"size_s": e.size_s, "node": node}).to_string();
        let head = format!(
            "POST /{tariff} HTTP/1.1\r\nX-Call-Id: u-{unit}\r\nX-Call-Class: {tariff}\r\n{hint}{again}\
             X-Budget-Ms: {}\r\n",
            e.deadline.since(now).nanos() / 1_000_000
        );
        let owner = Owner::Client(node, Some(unit));
        let conn = match kept {
            Some(conn) => {
                self.wire.owned_by(conn, owner);
                Some(conn)
            }
            None => self.wire.dials(self.nodes[node].address, owner, CLEAR, now).ok(),
        };
        if let Some(open) = self.units.get_mut(&unit) {
            (open.conn, open.used_before) = (conn, kept.is_some());
        }
        match conn {
            Some(conn) => self.wire.says(conn, said(&head, body.as_bytes()), now),
            // This machine is out of descriptors or ports: the unit never came in.
            None => self.after(JUDGEMENT_DELAY, Task::Judges(unit)),
        }
    }

    pub fn client_hears(&mut self, node: usize, unit: Option<u64>, key: usize, ended: bool) {
        let Some((bytes, _)) = self.wire.came(key) else { return };
        let message = answer(bytes);
        let Some(unit) = unit else {
            // Nobody asked: the node closes a connection that idles.
            self.idle[node].retain(|idle| *idle != key);
            return self.wire.closes(key);
        };
        match message {
            Ok(Some(message)) => {
                if message.closes() || ended {
                    self.wire.closes(key);
                } else {
                    self.wire.owned_by(key, Owner::Client(node, None));
                    self.idle[node].push(key);
                }
                self.answered(unit, message.status, &message.body);
            }
            Ok(None) if !ended => {}
            wrong => {
                let untouched = matches!(wrong, Ok(None));
                self.wire.closes(key);
                let Some(open) = self.units.get_mut(&unit) else { return };
                open.conn = None;
                if open.used_before && untouched && self.ready[node] {
                    // The node may close a connection between requests: then the request goes once more on a new one.
                    return self.asks(unit, None);
                }
                self.after(JUDGEMENT_DELAY, Task::Judges(unit));
            }
        }
    }

    fn answered(&mut self, unit: u64, status: u16, body: &[u8]) {
        let now = self.now();
        let Some(open) = self.units.remove(&unit) else { return };
        let answer = match status {
            200 => Answer::Fulfilled,
            429 | 503 => Answer::TurnedBack,
            _ => Answer::Forfeited,
        };
        self.book.answered(now, unit, answer);
        if answer == Answer::Fulfilled && body != format!("done {unit}").as_bytes() {
            self.book.foreign(now, unit);
        }
        let clients = self.scenario.clients;
        let e = &mut self.errands[open.errand];
        let backoff = clients.backoff(e.tries);
        if answer == Answer::TurnedBack && e.tries < clients.repeats && now + backoff < e.deadline {
            e.tries += 1;
            return self.after(backoff, Task::Tries(open.errand));
        }
        self.open_errands -= 1;
        let e = &self.errands[open.errand];
        if e.counted {
            let quoted = self.scenario.tariffs[e.tariff].quoted(e.size_s);
            self.figures.ended(e.tariff, answer, e.came, now, quoted);
        }
    }

    /// A unit has reached an executor, sent at this time: with that its node has spent it.
    pub fn unit_sent(&mut self, unit: u64, stamp: Instant) {
        let Some(open) = self.units.get_mut(&unit) else { return };
        let tariff = self.errands[open.errand].tariff;
        match open.sent.replace(stamp) {
            Some(before) => self.further.push((tariff, before, stamp)),
            None => self.spent.push((tariff, open.handed_in, stamp)),
        }
    }

    /// A client leaves, or its patience is over and nothing has come.
    pub fn due(&mut self, unit: u64) {
        let now = self.now();
        let Some(open) = self.units.remove(&unit) else { return };
        open.conn.into_iter().for_each(|conn| self.wire.closes(conn));
        let left = self.errands[open.errand].leaves.is_some_and(|at| at <= now);
        if self.nodes[open.node].frozen {
            // A node that stands still is told as it goes on.
            self.left_frozen.push((open.node, unit));
        } else if left || open.froze {
            // One that was made to stand still could keep no time; from here on nothing may be sent all the same.
            self.book.gone(now, unit);
        } else {
            self.book.unanswered(now, unit, "patience is over");
        }
        if left {
            self.open_errands -= 1;
            return self.figures.left(&self.errands[open.errand]);
        }
        self.lost(open.errand);
    }

    /// The connection of a unit broke: its node is gone, or it has ended it with no answer.
    pub fn judges(&mut self, unit: u64) {
        let now = self.now();
        if !self.units.contains_key(&unit) {
            return;
        }
        let Some(open) = self.units.remove(&unit) else { return };
        self.book.unanswered(now, unit, "the connection ended");
        self.lost(open.errand);
    }

    /// The node of a unit is gone with it: what is not binding is brought to another.
    pub fn node_took(&mut self, unit: u64) {
        let now = self.now();
        let Some(open) = self.units.remove(&unit) else { return };
        open.conn.into_iter().for_each(|conn| self.wire.closes(conn));
        self.book.gone(now, unit);
        if self.scenario.tariffs[self.errands[open.errand].tariff].is_binding() {
            return self.lost(open.errand);
        }
        self.after(KNOCK_AGAIN, Task::Tries(open.errand));
    }

    fn lost(&mut self, errand: usize) {
        self.open_errands -= 1;
        self.figures.lost(&self.errands[errand]);
    }

    /// A unit starts to run at an executor.
    pub fn unit_runs(&mut self, unit: u64) {
        let now = self.now();
        if let Some(open) = self.units.get_mut(&unit) {
            let e = &self.errands[open.errand];
            if !std::mem::replace(&mut open.started, true) && e.counted {
                self.figures.waited(now.since(e.came));
            }
        }
        self.book.ran(now, unit);
    }
}
