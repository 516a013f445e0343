//! The division that the keepers agree on.

use grebeusher_dispatch::ids::fixed_hash;
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// One life of a node: its number, and which start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    pub number: u32,
    pub generation: u64,
}

/// Names a budget with the terms by which nodes spend it: its window, its floor, its leases. Who goes by other terms asks for
/// another budget, so that nobody spends by a window that is not that of the division.
pub type Key = u64;

/// What the fleet may spend of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Whole {
    /// In any window, by all nodes together.
    pub units: u32,
    pub window_ms: u64,
    /// What each node may spend in a window without asking; it has it off the whole whether it is there or not.
    pub floor: u32,
    /// The most nodes that have a floor: those with the lowest numbers.
    pub nodes: u32,
}

impl Whole {
    /// The key of a budget of this name, with leases of so long. Only how many units it has may change under the same key.
    pub fn key(&self, name: &str, lease: Duration) -> Key {
        let Whole { units: _, window_ms, floor, nodes } = self;
        fixed_hash(&format!("{name} {window_ms} {floor} {nodes} {}", lease.nanos()))
    }

    /// How long a unit counts as spent: a window, and what a clock that goes wrong by one part in a hundred, as [`DRIFT`]
    /// allows each, may take it for too long. Guards against a node whose clock is fast, by which a window is over early.
    ///
    /// [`DRIFT`]: crate::DRIFT
    pub fn counts_ms(&self) -> u64 {
        self.window_ms + self.window_ms.div_ceil(100)
    }

    /// What there is to be divided.
    pub fn pool(&self) -> u32 {
        self.units.saturating_sub(self.floor.saturating_mul(self.nodes))
    }

    /// A node's floor, by its number.
    pub fn floor_of(&self, number: u32) -> u32 {
        if number < self.nodes && self.floor.saturating_mul(self.nodes) <= self.units {
            self.floor
        } else {
            0
        }
    }
}

/// A node wants so many units of a budget beyond its floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ask {
    pub holder: Holder,
    pub budget: Key,
    pub wants: u32,
    /// The newest grant that it goes by: it spends by no earlier one any more.
    pub adopted: u64,
    /// Of that grant it spends no more than this from now on.
    pub keeps: u32,
    /// Units that it has spent within the last window, and how long it takes until all of them have left it.
    pub spent: u32,
    pub leaves_ms: u64,
    /// How long somebody will still wait for a unit: afterwards one that comes back would lie idle there.
    pub waits_ms: u16,
    /// Tells this ask from its others.
    pub ask: u32,
}

/// What an ask was answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    pub holder: Holder,
    pub budget: Key,
    /// The ask that it answers. One that could not be answered in full may be again, as units come back.
    pub ask: u32,
    /// Grows with each grant.
    pub number: u64,
    pub units: u32,
    /// Of the budgets that the keepers go by.
    pub edition: u64,
}

/// The budgets that there are from now on, by an operators' file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Wholes {
    /// Grows with each change of the file: an older one changes nothing.
    pub edition: u64,
    pub of: Vec<(Key, Whole)>,
}

/// What the keepers agree on at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// How long it is since the entry before was settled where this one was proposed: at most as long as it really is.
    pub passed_ms: u64,
    pub wholes: Option<Wholes>,
    pub asks: Vec<Ask>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Lease {
    number: u64,
    units: u32,
    ends_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Book {
    pool: u32,
    window_ms: u64,
    leases: BTreeMap<Holder, Vec<Lease>>,
    /// What each wanted last, and when that is forgotten.
    wants: BTreeMap<Holder, (u32, u64)>,
    /// Units that came back, and until when they rest.
    resting: Vec<(u32, u64)>,
    /// Who asked and has not got all that it wants, in the order in which they came.
    queue: VecDeque<Waiter>,
    /// Who has one unit more than an even part, and since when; who had, and until when.
    extra: BTreeMap<Holder, u64>,
    had_extra: BTreeMap<Holder, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Waiter {
    holder: Holder,
    ask: u32,
    until_ms: u64,
    answered: bool,
}

/// Who holds what. The clock is that of the entries, and runs no faster than any keeper's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Division {
    clock_ms: u64,
    lease_ms: u64,
    number: u64,
    /// Nothing is granted before: what a division that was lost has granted may be out until then.
    quiet_until_ms: u64,
    edition: u64,
    books: BTreeMap<Key, Book>,
}

/// One unit more than the even part, where a budget has fewer units than there are nodes: so long before it goes on to another.
/// Each move costs a window's rest, a thirtieth of this where windows are a second.
const TURN_MS: u64 = 30_000;

impl Division {
    /// Empty, with leases of so long. `after_loss`: whether an earlier division may be out that nobody remembers.
    pub fn new(lease: Duration, after_loss: bool) -> Division {
        let lease_ms = lease.nanos() / 1_000_000;
        // A window's rest is waited for as well when budgets are set.
        let quiet_until_ms = if after_loss { lease_ms } else { 0 };
        Division { clock_ms: 0, lease_ms, number: 0, quiet_until_ms, edition: 0, books: BTreeMap::new() }
    }

    /// Grants are numbered beyond this. Guards against holders that go by a grant of a division that was lost, and pass over all of this
    /// one until its numbers have caught up: by microseconds since a common time they never have to. Where clocks of machines differ by
    /// more than the lost one lasted it takes as long as they do, and never costs more than that.
    pub fn numbers_beyond(&mut self, number: u64) {
        self.number = self.number.max(number);
    }

    /// How many units of a budget count as held or rest.
    pub fn bound(&self, budget: Key) -> u32 {
        self.books.get(&budget).map_or(0, |book| book.held() + book.resting())
    }

    /// What each holds of a budget by the largest grant that may be in force.
    pub fn holders(&self, budget: Key) -> impl Iterator<Item = (Holder, u32)> {
        let leases = self.books.get(&budget).into_iter().flat_map(|book| &book.leases);
        leases.map(|(holder, leases)| (*holder, held(leases)))
    }

    /// Whether time alone brings somebody what it waits for.
    pub fn waits(&self) -> bool {
        self.books.values().any(|book| !book.queue.is_empty() && !book.resting.is_empty())
    }

    /// An entry was agreed on; what is granted by it.
    pub fn apply(&mut self, entry: &Entry) -> Vec<Grant> {
        self.clock_ms += entry.passed_ms;
        if let Some(wholes) = entry.wholes.as_ref().filter(|wholes| wholes.edition > self.edition) {
            self.goes_by(wholes);
        }
        let clock_ms = self.clock_ms;
        self.books.values_mut().for_each(|book| book.passes(clock_ms));
        for ask in &entry.asks {
            if let Some(book) = self.books.get_mut(&ask.budget) {
                book.hears(clock_ms, self.lease_ms, ask);
            }
        }
        let (is_quiet, ends_ms) = (clock_ms < self.quiet_until_ms, clock_ms + self.lease_ms);
        let mut grants = Vec::new();
        for (&budget, book) in &mut self.books {
            for (Waiter { holder, ask, .. }, units) in book.serves(clock_ms, is_quiet) {
                self.number += 1;
                let (number, edition) = (self.number, self.edition);
                book.leases.entry(holder).or_default().push(Lease { number, units, ends_ms });
                grants.push(Grant { holder, budget, ask, number, units, edition });
            }
        }
        grants
    }

    /// One that is taken out of the file stays as it was for those nodes that have not read the file anew.
    fn goes_by(&mut self, wholes: &Wholes) {
        self.edition = wholes.edition;
        for (key, whole) in &wholes.of {
            let book = self.books.entry(*key).or_default();
            (book.pool, book.window_ms) = (whole.pool(), whole.counts_ms());
        }
        if self.quiet_until_ms > 0 {
            let longest = wholes.of.iter().map(|(_, whole)| whole.counts_ms()).max().unwrap_or(0);
            self.quiet_until_ms = self.quiet_until_ms.max(self.lease_ms + longest);
        }
    }
}

fn held(leases: &[Lease]) -> u32 {
    // It goes by one grant at a time, and nobody knows by which.
    leases.iter().map(|lease| lease.units).max().unwrap_or(0)
}

impl Book {
    fn held(&self) -> u32 {
        self.leases.values().map(|leases| held(leases)).sum()
    }

    fn resting(&self) -> u32 {
        self.resting.iter().map(|(units, _)| units).sum()
    }

    /// Changes the leases of a holder; `spent` of what that frees rests until then.
    fn frees(&mut self, holder: Holder, spent: u32, until_ms: u64, change: impl FnOnce(&mut Vec<Lease>)) {
        let Some(leases) = self.leases.get_mut(&holder) else { return };
        let before = held(leases);
        change(leases);
        let after = held(leases);
        // What it still holds covers as much of what was spent: it spends that only when some has left the window.
        let rests = spent.saturating_sub(after).min(before - after);
        if leases.is_empty() {
            self.leases.remove(&holder);
        }
        if rests > 0 {
            self.resting.push((rests, until_ms));
        }
    }

    fn passes(&mut self, clock_ms: u64) {
        let over = |lease: &Lease| lease.ends_ms <= clock_ms;
        let ends = self.leases.iter().filter_map(|(holder, leases)| {
            let ends = leases.iter().filter(|lease| over(lease)).map(|lease| lease.ends_ms);
            Some((*holder, ends.max()?))
        });
        for (holder, ended_ms) in ends.collect::<Vec<_>>() {
            // All of it may have been spent just before.
            let until_ms = ended_ms + self.window_ms;
            self.frees(holder, u32::MAX, until_ms, |leases| leases.retain(|lease| !over(lease)));
        }
        self.resting.retain(|(_, until)| *until > clock_ms);
        self.queue.retain(|waiter| waiter.until_ms > clock_ms);
        self.wants.retain(|_, (_, until)| *until > clock_ms);
        let wants = &self.wants;
        self.extra.retain(|holder, _| wants.contains_key(holder));
        self.had_extra.retain(|holder, _| wants.contains_key(holder));
    }

    /// What an ask gives back and wants. It is answered now, and again as units come back while whoever asked still waits.
    fn hears(&mut self, clock_ms: u64, lease_ms: u64, ask: &Ask) {
        let Ask { holder, wants, adopted, keeps, spent, leaves_ms, waits_ms, ask, .. } = *ask;
        let until_ms = clock_ms + leaves_ms.min(self.window_ms);
        self.frees(holder, spent, until_ms, |leases| {
            leases.retain(|lease| lease.number >= adopted);
            let kept = leases.iter_mut().filter(|lease| lease.number == adopted);
            kept.for_each(|lease| lease.units = lease.units.min(keeps));
        });
        self.wants.insert(holder, (wants, clock_ms + lease_ms));
        let waiter = Waiter { holder, ask, until_ms: clock_ms + u64::from(waits_ms), answered: false };
        match self.queue.iter_mut().find(|waiting| waiting.holder == holder) {
            // Who asks again keeps its place.
            Some(waiting) => *waiting = waiter,
            None => self.queue.push_back(waiter),
        }
    }

    /// Whom to grant how much now: what is free goes to those who wait, in the order in which they came.
    fn serves(&mut self, clock_ms: u64, is_quiet: bool) -> Vec<(Waiter, u32)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut served: Vec<(Waiter, u32)> = Vec::new();
        // Worked out once for all who wait. Guards against a fleet whose asks cost the keepers the square of its size.
        let (level, over) = self.level();
        let turns = self.turns(clock_ms, level, over);
        let mut taken = self.held() + self.resting();
        for mut waiter in std::mem::take(&mut self.queue) {
            let Waiter { holder, until_ms, .. } = waiter;
            let own = self.leases.get(&holder).map_or(0, |leases| held(leases));
            let wants = self.wants.get(&holder).map_or(0, |(wants, _)| *wants);
            let part = self.part(clock_ms, holder, wants, level, &turns);
            // Where there is less than one for each, whoever comes first to a free one has it: others' wants are of a while ago.
            let part = if own == 0 { part.max(wants.min(1)) } else { part };
            // What others do not have; with budgets made smaller that may be less than is held here.
            let free = self.pool.saturating_sub(taken);
            let units = if is_quiet { 0 } else { part.min(own + free) };
            if !waiter.answered || units > own {
                taken += units.saturating_sub(own);
                served.push((waiter, units));
            }
            waiter.answered = true;
            if units.max(own) < wants && until_ms > clock_ms {
                self.queue.push_back(waiter);
            }
        }
        served
    }

    /// What nobody gets more than who wants more: nobody gets more than it wants, and who wants more than the even part gets that.
    /// And how many of these get one unit more, as it can't be divided evenly.
    fn level(&self) -> (u32, usize) {
        let mut wants: Vec<u32> = self.wants.values().map(|(wants, _)| *wants).filter(|w| *w > 0).collect();
        wants.sort_unstable();
        let mut left = self.pool;
        for (at, &want) in wants.iter().enumerate() {
            let sharers = (wants.len() - at) as u32;
            let even = left / sharers;
            if want > even {
                return (even, (left % sharers) as usize);
            }
            left -= want;
        }
        (u32::MAX, 0)
    }

    /// The part that all wants leave a holder; units that can't be divided evenly go round.
    fn part(&mut self, clock_ms: u64, holder: Holder, wants: u32, level: u32, turns: &[Holder]) -> u32 {
        if wants <= level || turns.binary_search(&holder).is_err() {
            self.extra.remove(&holder);
            return wants.min(level);
        }
        let since = self.extra.entry(holder).or_insert(clock_ms);
        if clock_ms >= *since + TURN_MS {
            *since = clock_ms;
        }
        self.had_extra.insert(holder, clock_ms);
        level + 1
    }

    /// Those, by their order, who get one unit more than the level: who has one keeps it for its turn, then those come who went
    /// longest without.
    fn turns(&self, clock_ms: u64, level: u32, over: usize) -> Vec<Holder> {
        if over == 0 {
            return Vec::new();
        }
        let sharers = self.wants.iter().filter(|(_, (wants, _))| *wants > level).map(|(holder, _)| *holder);
        let mut order: Vec<(bool, u64, Holder)> = sharers
            .map(|one| {
                let in_turn = self.extra.get(&one).is_some_and(|since| clock_ms < since + TURN_MS);
                (!in_turn, self.had_extra.get(&one).copied().unwrap_or(0), one)
            })
            .collect();
        order.sort_unstable();
        let mut turns: Vec<Holder> = order.into_iter().take(over).map(|(.., one)| one).collect();
        turns.sort_unstable();
        turns
    }
}
