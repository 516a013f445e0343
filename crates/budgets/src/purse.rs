//! One node's side of one budget.

use crate::division::{Ask, Grant, Holder, Key, Whole};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use std::collections::{BTreeMap, VecDeque};

/// A lease is held to be over this part earlier than it was granted for. Two clocks that each go wrong by up to one part in a
/// hundred differ by less; a machine's drift by some parts in a hundred thousand.
pub const DRIFT: f64 = 0.03;
/// An ask is made so often in a lease: one may get lost, and the next still comes in time.
const ASKS_A_LEASE: f64 = 5.0;
/// Who is short asks at once, but not more often than this.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// How long whoever was refused waits for a grant: a few round trips to the node that divides, who keeps the ask so long.
pub const WAITS: Duration = Duration::from_millis(60);
/// While somebody waits the ask is made once more: it may have got lost.
const AGAIN: Duration = Duration::from_millis(30);
/// What has no answer is said again so often: what was given back, and what was asked for by somebody who has left since. Guards
/// against units that lie idle for a lease and a window since the datagram that granted them got lost: the next answer takes
/// its place.
const SAID_AGAIN: Duration = Duration::from_millis(100);
/// In a window: below it what chance adds would be more than a third of the whole, held for nothing.
const FEW: f64 = 8.0;
/// Asks whose answer may still come.
const OPEN_ASKS: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Purse {
    holder: Holder,
    budget: Key,
    window: Duration,
    lease: Duration,
    floor: u32,
    /// A life before this one may have spent the floor just before it ended.
    floor_from: Instant,
    number: u64,
    units: u32,
    /// The newest grant that it has told the division it goes by.
    told: u64,
    ends: Instant,
    spent: VecDeque<Instant>,
    /// What was tried and did not go through, in the last window.
    refused: VecDeque<Instant>,
    /// All that was tried lately.
    tried: VecDeque<Instant>,
    asked: BTreeMap<u32, Instant>,
    next_ask: u32,
    asked_at: Option<Instant>,
    /// Somebody waits, or what comes back should be told at once.
    hurries: bool,
    /// The last ask that wanted units or gave some back, until it or a later one is answered.
    unanswered: Option<u32>,
}

impl Purse {
    /// From a node's start on.
    pub fn new(now: Instant, holder: Holder, budget: Key, whole: &Whole, lease: Duration) -> Purse {
        let window = Duration::from_millis(whole.counts_ms());
        Purse {
            holder,
            budget,
            window,
            lease,
            floor: whole.floor_of(holder.number),
            floor_from: now + window,
            number: 0,
            units: 0,
            told: 0,
            ends: Instant(0),
            spent: VecDeque::new(),
            refused: VecDeque::new(),
            tried: VecDeque::new(),
            asked: BTreeMap::new(),
            next_ask: 0,
            asked_at: None,
            hurries: false,
            unanswered: None,
        }
    }

    fn passes(&mut self, now: Instant) {
        let (window, looks_back) = (self.window, self.looks_back());
        let kept = [(&mut self.spent, window), (&mut self.refused, window), (&mut self.tried, looks_back)];
        for (times, within) in kept {
            while times.front().is_some_and(|at| now.since(*at) >= within) {
                times.pop_front();
            }
        }
    }

    /// What may be spent in any window as of now.
    pub fn part(&self, now: Instant) -> u32 {
        self.floor(now) + self.holds(now)
    }

    /// What of that was granted.
    pub fn holds(&self, now: Instant) -> u32 {
        if now < self.ends { self.units } else { 0 }
    }

    fn floor(&self, now: Instant) -> u32 {
        if now >= self.floor_from { self.floor } else { 0 }
    }

    /// Whether there is a unit to spend now.
    pub fn has_one(&mut self, now: Instant) -> bool {
        self.passes(now);
        (self.spent.len() as u32) < self.part(now)
    }

    /// Spends one unit, or says that there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        let may = self.has_one(now);
        self.tried.push_back(now);
        if may { &mut self.spent } else { &mut self.refused }.push_back(now);
        self.hurries |= !may;
        may
    }

    /// The same for one that was refused and has waited for a grant.
    pub fn take_after_all(&mut self, now: Instant) -> bool {
        let may = self.has_one(now);
        if may {
            self.refused.pop_front();
            self.spent.push_back(now);
        }
        may
    }

    /// Spent in the window until now.
    pub fn spent(&mut self, now: Instant) -> usize {
        self.passes(now);
        self.spent.len()
    }

    /// How far back tries say what is wanted.
    fn looks_back(&self) -> Duration {
        const LEASES: f64 = 3.0;
        self.lease.scaled(LEASES).max(self.window)
    }

    fn wants(&self, now: Instant) -> u32 {
        // The mean of the windows lately, and what chance adds to it. A node that sees few holds nothing for what may
        // come: it asks when something does, which waits for the answer.
        let windows = self.looks_back().seconds() / self.window.seconds();
        let within = |times: &VecDeque<Instant>, span: Duration| {
            times.iter().filter(|at| now.since(**at) < span).count() as f64
        };
        let mean = within(&self.tried, self.looks_back()) / windows;
        // A rise or a fall shows in the last window first. Where few come, who was refused wants a unit as long as it waits for
        // one and no longer. Guards against units that are held for the rest of a window for somebody who was turned back.
        let refused = within(&self.refused, if mean < FEW { WAITS } else { self.window });
        let last = within(&self.spent, self.window) + refused;
        let ahead = if mean < FEW { 0.0 } else { (mean + mean.sqrt()).ceil() };
        let wanted = ahead.min(2.0 * last + 2.0).max(last);
        (wanted as u32).saturating_sub(self.floor)
    }

    /// For how long somebody will still wait for a unit.
    fn waits(&self, now: Instant) -> Duration {
        self.refused.back().map_or(Duration::from_nanos(0), |at| (*at + WAITS).since(now))
    }

    /// When this purse wants to ask next.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let (wants, holds) = (self.wants(now), self.units > 0 && now < self.ends);
        let Some(asked) = self.asked_at else { return (wants > 0).then_some(now) };
        // Also that it goes by less has to be told: until then what is less counts as held.
        let owes = self.told < self.number;
        if wants == 0 && !holds && !self.hurries && !owes && self.unanswered.is_none() {
            return None;
        }
        // What is not wanted any more others can have at once.
        let waits = self.waits(now) > Duration::from_nanos(0);
        let spent = self.spent.iter().filter(|at| now.since(**at) < self.window).count() as u32;
        let can_tell = owes && spent <= self.units + self.floor(now);
        let due = asked
            + if self.hurries || can_tell || (holds && wants < self.units) {
                MIN_INTERVAL
            } else if waits {
                AGAIN
            } else if self.unanswered.is_some() {
                SAID_AGAIN
            } else {
                self.lease.scaled(1.0 / ASKS_A_LEASE)
            };
        let falls = self.spent.front().map(|at| *at + self.window).filter(|at| *at > now);
        Some(falls.map_or(due, |at| due.min(at.max(asked + MIN_INTERVAL))))
    }

    /// What to ask the keepers now, if anything.
    pub fn ask(&mut self, now: Instant) -> Option<Ask> {
        self.passes(now);
        self.next_due(now).filter(|due| *due <= now)?;
        self.next_ask = self.next_ask.wrapping_add(1);
        self.asked.insert(self.next_ask, now);
        while self.asked.len() > OPEN_ASKS {
            self.asked.pop_first();
        }
        (self.asked_at, self.hurries) = (Some(now), false);
        let (holder, budget) = (self.holder, self.budget);
        let (wants, waits_ms) = (self.wants(now), (self.waits(now).nanos() / 1_000_000) as u16);
        let spent = (self.spent.len() as u32).saturating_sub(self.floor(now));
        if spent > self.units && self.told < self.number && now < self.ends {
            // It was granted less than it has just spent: that it goes by that is told when what was spent has left the window.
            // Guards against units that go to and fro: by then it may have been granted them again.
            let (adopted, ask) = (self.told, self.next_ask);
            return Some(Ask {
                holder,
                budget,
                wants,
                adopted,
                keeps: u32::MAX,
                spent: 0,
                leaves_ms: 0,
                waits_ms,
                ask,
            });
        }
        self.told = self.number;
        let leaves = self.spent.back().map_or(Duration::from_nanos(0), |at| (*at + self.window).since(now));
        if wants > 0 || wants < self.units {
            self.unanswered = Some(self.next_ask);
        }
        // From here on, whether the word arrives or not: others may have it as soon as it does.
        self.units = self.units.min(wants);
        let (adopted, keeps, ask) = (self.number, self.units, self.next_ask);
        let leaves_ms = leaves.nanos().div_ceil(1_000_000);
        Some(Ask { holder, budget, wants, adopted, keeps, spent, leaves_ms, waits_ms, ask })
    }

    /// A grant came. It counts from when it was asked for; one that is older than what is gone by says nothing.
    pub fn granted(&mut self, grant: &Grant) {
        let own = grant.holder == self.holder && grant.budget == self.budget;
        let asked = self.asked.get(&grant.ask).filter(|_| own && grant.number > self.number);
        let Some(&asked) = asked else { return };
        // Asks are numbered one after the other: a later one is less than half of all numbers ahead.
        self.unanswered = self.unanswered.filter(|ask| grant.ask.wrapping_sub(*ask) > u32::MAX / 2);
        // What is less from now on others can have as soon as they are told.
        self.hurries = grant.units < self.units;
        (self.number, self.units) = (grant.number, grant.units);
        self.ends = asked + self.lease.scaled(1.0 - DRIFT);
    }
}
