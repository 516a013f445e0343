//! One node's side: what it may not send to, and what to ask the keepers for.

use crate::LONG;
use crate::works::{Ask, Permit, Stage};
use grebeusher_budgets::{DRIFT, Holder};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use std::collections::BTreeMap;

/// So often in a permission: several may get lost, and the next still comes in time.
const ASKS: f64 = 5.0;
/// While something is to be told, or staff look, and as long as no word has ever come.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Asks whose answer may still come.
const OPEN_ASKS: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Permission {
    holder: Holder,
    zone: String,
    socket: u64,
    /// What its own machine is called, as a hash.
    own: u64,
    lease: Duration,
    asked: BTreeMap<u32, Instant>,
    next_ask: u32,
    asked_at: Option<Instant>,
    /// The ask whose answer is gone by, and when that was asked.
    by: Option<(u32, Instant)>,
    number: u64,
    machines: Vec<(u64, Stage)>,
    longest_unit: Duration,
    hurries: bool,
    nudged_at: Option<Instant>,
}

impl Permission {
    /// `socket`: where this node listens for the others, and `own`: what its own machine is called, as hashes.
    pub fn new(holder: Holder, (socket, own): (u64, u64), lease: Duration) -> Permission {
        Permission {
            holder,
            zone: String::new(),
            socket,
            own,
            lease,
            asked: BTreeMap::new(),
            next_ask: 0,
            asked_at: None,
            by: None,
            number: 0,
            machines: Vec::new(),
            longest_unit: Duration::from_nanos(0),
            hurries: false,
            nudged_at: None,
        }
    }

    /// The zone in which this node stands.
    pub fn standing_in(mut self, zone: &str) -> Permission {
        self.zone = zone.to_owned();
        self
    }

    /// Whether this node has ever had a word, without which it sends nowhere.
    pub fn has_word(&self) -> bool {
        self.by.is_some()
    }

    /// The number of the decision that it goes by.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// When its permission ends, and when it has been without one for long.
    fn ends(&self) -> Option<(Instant, Instant)> {
        let (_, asked) = self.by?;
        let lasts = self.lease.scaled(1.0 - DRIFT);
        Some((asked + lasts, asked + lasts.scaled((1 + LONG) as f64)))
    }

    /// What may have been closed as of now, by the hashes of names: at these nothing may be sent.
    pub fn closed(&self, now: Instant) -> impl Iterator<Item = u64> {
        let from = match self.ends() {
            Some((ends, _)) if now < ends => Stage::Closed,
            Some((_, long)) if now < long => Stage::Next,
            _ => Stage::Waiting,
        };
        self.machines.iter().filter(move |(_, stage)| *stage >= from).map(|(machine, _)| *machine)
    }

    /// Whether this node is itself to go, by the last word that it has.
    pub fn goes(&self) -> bool {
        self.machines.contains(&(self.own, Stage::Closed))
    }

    /// The machines of the plan that are not done, in their order.
    pub fn machines(&self) -> &[(u64, Stage)] {
        &self.machines
    }

    /// As long after this node stopped waiting for a unit it may still run, and counts as in hand.
    pub fn longest_unit(&self) -> Duration {
        self.longest_unit
    }

    /// How long ago the last word that this node goes by was asked for.
    pub fn for_long(&self, now: Instant) -> Duration {
        self.by.map_or(Duration::from_nanos(0), |(_, asked)| now.since(asked))
    }

    /// When what is closed may be more than before, if nothing is heard.
    pub fn changes_at(&self, now: Instant) -> Option<Instant> {
        let (ends, long) = self.ends()?;
        [ends, long].into_iter().find(|at| *at > now)
    }

    pub fn next_due(&self) -> Instant {
        let Some(asked) = self.asked_at else { return Instant(0) };
        let hurries = self.hurries || self.by.is_none();
        let due = asked + if hurries { MIN_INTERVAL } else { self.lease.scaled(1.0 / ASKS) };
        self.nudged_at.map_or(due, |at| due.min(at.max(asked + MIN_INTERVAL.scaled(0.25))))
    }

    /// Something was decided that this node should hear of: it asks within a moment that is its own. Guards against all nodes
    /// asking at once, of whom whoever leads could hear no more than its socket holds.
    pub fn nudged(&mut self, now: Instant) {
        let own = self.socket.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let wait = Duration::from_nanos(own % MIN_INTERVAL.nanos());
        let at = now + wait;
        self.nudged_at = Some(self.nudged_at.map_or(at, |before| before.min(at)));
    }

    /// Something is to be told or known soon: work in hand at a closed machine has ended, or staff look.
    pub fn hurry(&mut self) {
        self.hurries = true;
    }

    /// What to ask the keepers now, if anything. `in_hand`: at each of `machines`, how much work this node has out there.
    pub fn ask(
        &mut self,
        now: Instant,
        in_hand: impl Fn(u64) -> u16,
        (units, turned_back): (u64, u64),
        (through, shows): (bool, bool),
    ) -> Option<Ask> {
        if now < self.next_due() {
            return None;
        }
        self.next_ask = self.next_ask.wrapping_add(1);
        self.asked.insert(self.next_ask, now);
        while self.asked.len() > OPEN_ASKS {
            self.asked.pop_first();
        }
        (self.asked_at, self.nudged_at) = (Some(now), None);
        let held = self.machines.iter().map(|(machine, stage)| (*machine, *stage, in_hand(*machine)));
        let held: Vec<(u64, Stage, u16)> = held.filter(|(.., units)| *units > 0).collect();
        // Whoever waits for this node to be through has to hear of it at once.
        self.hurries = held.iter().any(|(_, stage, _)| *stage == Stage::Closed);
        let in_hand = held.into_iter().map(|(machine, _, units)| (machine, units)).collect();
        let closed = |(machine, stage): &&(u64, Stage)| *stage == Stage::Closed && *machine != self.own;
        let closed = self.machines.iter().filter(closed);
        Some(Ask {
            holder: self.holder,
            zone: self.zone.clone(),
            socket: self.socket,
            ask: self.next_ask,
            knows: self.number,
            in_hand,
            closed: closed.map(|(machine, _)| *machine).collect(),
            through,
            units,
            turned_back,
            shows,
        })
    }

    /// A permission came; whether what is closed may be different by it. One that is older than what is gone by says nothing.
    pub fn granted(&mut self, permit: &Permit) -> bool {
        let asked = self.asked.remove(&permit.ask).filter(|_| permit.holder == self.holder);
        let Some(asked) = asked.filter(|asked| self.by.is_none_or(|(_, by)| by < *asked)) else {
            return false;
        };
        let Some(machines) = &permit.machines else {
            // Nothing has changed since what this node knew when it asked, unless it has heard something else meanwhile.
            if permit.number == self.number {
                self.by = Some((permit.ask, asked));
            }
            return true;
        };
        self.by = Some((permit.ask, asked));
        self.longest_unit = Duration::from_millis(permit.longest_unit_s.saturating_mul(1000));
        // What is new to this node has to be told as known.
        self.hurries |= self.number != permit.number;
        self.number = permit.number;
        self.machines = machines.clone();
        true
    }
}
