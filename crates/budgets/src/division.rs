//! The division of the fleet's budgets among its nodes, as a state machine that the voters replicate.

use grebeusher_dispatch::ids::fixed_hash;
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A process of a node: the number of the node, and the generation of the process, which differs for each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    pub number: u32,
    pub generation: u64,
}

/// Identifies a budget together with the terms on which nodes spend it: its window, its floor and its lease duration. A node with
/// other terms requests another budget, so no node spends by a window that differs from that of the division.
pub type BudgetKey = u64;

/// The limit on what the whole fleet may spend of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetBudget {
    /// The units that all nodes together may spend in any window.
    pub units: u32,
    pub window_ms: u64,
    /// The units that each node may spend in a window without a grant. They are reserved whether or not the node is running.
    pub floor: u32,
    /// The number of nodes that have a floor: those with the numbers below this.
    pub nodes: u32,
}

impl FleetBudget {
    /// The key of a budget with this name and this lease duration. Under the same key, only the number of units may change.
    pub fn key(&self, name: &str, lease: Duration) -> BudgetKey {
        let FleetBudget { units: _, window_ms, floor, nodes } = self;
        fixed_hash(&format!("{name} {window_ms} {floor} {nodes} {}", lease.nanos()))
    }

    /// How long a unit counts as spent, in milliseconds: the window, and one percent more for clock error, which is within the
    /// margin of [`DRIFT`]. Guards against a node with a fast clock, for which a window ends too early.
    ///
    /// [`DRIFT`]: crate::DRIFT
    pub fn padded_window_ms(&self) -> u64 {
        self.window_ms + self.window_ms.div_ceil(100)
    }

    /// The units that are divided by grants: all units except the floors.
    pub fn pool(&self) -> u32 {
        self.units.saturating_sub(self.floor.saturating_mul(self.nodes))
    }

    /// The floor of the node with this number, in units per window.
    pub fn floor_of(&self, number: u32) -> u32 {
        if number < self.nodes && self.floor.saturating_mul(self.nodes) <= self.units {
            self.floor
        } else {
            0
        }
    }
}

/// A node's request for units of a budget beyond its floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantRequest {
    pub holder: Holder,
    pub budget: BudgetKey,
    pub wanted_units: u32,
    /// The number of the newest grant that the node has adopted; it no longer spends by an earlier one.
    pub adopted_grant: u64,
    /// The units of the adopted grant that the node keeps from now on. It gives back the rest.
    pub kept_units: u32,
    /// The units that the node has spent within the last window, and the milliseconds until all of them have left the window.
    pub spent: u32,
    pub spent_expiry_ms: u64,
    /// The milliseconds for which a caller at the node still waits for a unit. A unit that is granted later would be idle there.
    pub remaining_wait_ms: u16,
    /// The number of this request among those of the same node.
    pub request: u32,
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    pub holder: Holder,
    pub budget: BudgetKey,
    /// The number of the request that this answers. A request that was not granted in full may be answered again when units
    /// become free.
    pub request: u32,
    /// Increases with each grant.
    pub number: u64,
    pub units: u32,
    /// The edition of the budgets that the voters apply.
    pub edition: u64,
}

/// The budgets that apply from now on, from an operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetBudgets {
    /// Increases with each change of the file; an edition that is not newer is ignored.
    pub edition: u64,
    pub of: Vec<(BudgetKey, FleetBudget)>,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The milliseconds since the previous entry was committed, as measured by the proposer: at most the time that has really
    /// passed.
    pub elapsed_ms: u64,
    pub budgets: Option<FleetBudgets>,
    pub requests: Vec<GrantRequest>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Lease {
    number: u64,
    units: u32,
    /// The end of the lease by the clock of the division.
    expires_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct BudgetState {
    pool: u32,
    window_ms: u64,
    leases: BTreeMap<Holder, Vec<Lease>>,
    /// For each node, the units that it wanted last, and the time in milliseconds when that is forgotten.
    wanted_units: BTreeMap<Holder, (u32, u64)>,
    /// Units that were given back but may have been spent recently, and the time in milliseconds until which they cannot be granted.
    cooling_units: Vec<(u32, u64)>,
    /// The requests that are not granted in full, in the order of arrival.
    queue: VecDeque<PendingRequest>,
    /// The holders with one unit more than an even share, and since when; and when each holder last had such a unit. Times are in
    /// milliseconds.
    extra_since: BTreeMap<Holder, u64>,
    had_extra: BTreeMap<Holder, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct PendingRequest {
    holder: Holder,
    request: u32,
    until_ms: u64,
    answered: bool,
}

/// The leases of all budgets. Its clock is the sum of the entries' elapsed times, so it runs no faster than that of any voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Division {
    clock_ms: u64,
    lease_ms: u64,
    number: u64,
    /// No units are granted before this time, because grants of a division whose state was lost may still be in use.
    no_grants_before_ms: u64,
    edition: u64,
    states: BTreeMap<BudgetKey, BudgetState>,
}

/// Where units cannot be divided evenly, a holder keeps an extra unit this long before another holder gets it. Each move costs one
/// window in which the unit cannot be spent: a thirtieth of this time for windows of one second.
const EXTRA_UNIT_TURN_MS: u64 = 30_000;

impl Division {
    /// An empty division. `after_loss` says whether grants of an earlier division whose state was lost may still be in use.
    pub fn new(lease: Duration, after_loss: bool) -> Division {
        let lease_ms = lease.nanos() / 1_000_000;
        // When budgets are set, this grows by the longest window, in which units of the lost division still count as spent.
        let no_grants_before_ms = if after_loss { lease_ms } else { 0 };
        Division {
            clock_ms: 0,
            lease_ms,
            number: 0,
            no_grants_before_ms,
            edition: 0,
            states: BTreeMap::new(),
        }
    }

    /// Makes the numbers of all further grants greater than this. Guards against holders that keep a grant of a division whose state
    /// was lost, and ignore all grants of this one until its numbers have caught up. With microseconds since a common epoch, the numbers
    /// are always greater. If the clocks of machines differ by more than the time for which the lost division existed, holders ignore
    /// grants for as long as the clocks differ, and never for longer.
    pub fn raise_grant_number(&mut self, number: u64) {
        self.number = self.number.max(number);
    }

    /// The units of a budget that are leased, or given back and not yet available.
    pub fn committed_units(&self, budget: BudgetKey) -> u32 {
        self.states.get(&budget).map_or(0, |state| state.held_units() + state.cooling_units())
    }

    /// The units that each node holds of a budget, by the largest grant that may be in force.
    pub fn holders(&self, budget: BudgetKey) -> impl Iterator<Item = (Holder, u32)> {
        let leases = self.states.get(&budget).into_iter().flat_map(|state| &state.leases);
        leases.map(|(holder, leases)| (*holder, held_units(leases)))
    }

    /// Whether the passing of time alone can make units available to a queued request.
    pub fn depends_on_time(&self) -> bool {
        self.states.values().any(|state| !state.queue.is_empty() && !state.cooling_units.is_empty())
    }

    /// Applies a committed entry and returns the grants that it causes.
    pub fn apply(&mut self, entry: &Entry) -> Vec<Grant> {
        self.clock_ms += entry.elapsed_ms;
        if let Some(budgets) = entry.budgets.as_ref().filter(|budgets| budgets.edition > self.edition) {
            self.update_budgets(budgets);
        }
        let clock_ms = self.clock_ms;
        self.states.values_mut().for_each(|state| state.expire(clock_ms));
        for request in &entry.requests {
            if let Some(state) = self.states.get_mut(&request.budget) {
                state.accept_request(clock_ms, self.lease_ms, request);
            }
        }
        let (grants_paused, expires_ms) = (clock_ms < self.no_grants_before_ms, clock_ms + self.lease_ms);
        let mut grants = Vec::new();
        for (&budget, state) in &mut self.states {
            for (PendingRequest { holder, request, .. }, units) in state.serve_queue(clock_ms, grants_paused)
            {
                self.number += 1;
                let (number, edition) = (self.number, self.edition);
                state.leases.entry(holder).or_default().push(Lease { number, units, expires_ms });
                grants.push(Grant { holder, budget, request, number, units, edition });
            }
        }
        grants
    }

    /// Applies a newer edition. A budget that is missing from it remains unchanged for the nodes that have not yet read the new file.
    fn update_budgets(&mut self, budgets: &FleetBudgets) {
        self.edition = budgets.edition;
        for (key, budget) in &budgets.of {
            let state = self.states.entry(*key).or_default();
            (state.pool, state.window_ms) = (budget.pool(), budget.padded_window_ms());
        }
        if self.no_grants_before_ms > 0 {
            let longest = budgets.of.iter().map(|(_, budget)| budget.padded_window_ms()).max().unwrap_or(0);
            self.no_grants_before_ms = self.no_grants_before_ms.max(self.lease_ms + longest);
        }
    }
}

fn held_units(leases: &[Lease]) -> u32 {
    // The holder uses one grant at a time, and the division does not know which.
    leases.iter().map(|lease| lease.units).max().unwrap_or(0)
}

impl BudgetState {
    fn held_units(&self) -> u32 {
        self.leases.values().map(|leases| held_units(leases)).sum()
    }

    fn cooling_units(&self) -> u32 {
        self.cooling_units.iter().map(|(units, _)| units).sum()
    }

    /// Changes the leases of a holder. Of the units that this frees, `spent` become available only at `until_ms`.
    fn release(&mut self, holder: Holder, spent: u32, until_ms: u64, change: impl FnOnce(&mut Vec<Lease>)) {
        let Some(leases) = self.leases.get_mut(&holder) else { return };
        let before = held_units(leases);
        change(leases);
        let after = held_units(leases);
        // The units that the node still holds cover the same number of spent units: it can spend them again only after those have left
        // the window.
        let cooling = spent.saturating_sub(after).min(before - after);
        if leases.is_empty() {
            self.leases.remove(&holder);
        }
        if cooling > 0 {
            self.cooling_units.push((cooling, until_ms));
        }
    }

    fn expire(&mut self, clock_ms: u64) {
        let is_expired = |lease: &Lease| lease.expires_ms <= clock_ms;
        let expiries = self.leases.iter().filter_map(|(holder, leases)| {
            let expiries = leases.iter().filter(|lease| is_expired(lease)).map(|lease| lease.expires_ms);
            Some((*holder, expiries.max()?))
        });
        for (holder, expired_ms) in expiries.collect::<Vec<_>>() {
            // All units of the lease may have been spent just before it expired.
            let until_ms = expired_ms + self.window_ms;
            self.release(holder, u32::MAX, until_ms, |leases| leases.retain(|lease| !is_expired(lease)));
        }
        self.cooling_units.retain(|(_, until)| *until > clock_ms);
        self.queue.retain(|pending| pending.until_ms > clock_ms);
        self.wanted_units.retain(|_, (_, until)| *until > clock_ms);
        let wanted_units = &self.wanted_units;
        self.extra_since.retain(|holder, _| wanted_units.contains_key(holder));
        self.had_extra.retain(|holder, _| wanted_units.contains_key(holder));
    }

    /// Records what a request gives back and wants. The request is answered now, and again as units become free while its caller
    /// still waits.
    fn accept_request(&mut self, clock_ms: u64, lease_ms: u64, request: &GrantRequest) {
        let GrantRequest {
            holder,
            wanted_units,
            adopted_grant,
            kept_units,
            spent,
            spent_expiry_ms,
            remaining_wait_ms,
            request,
            ..
        } = *request;
        let until_ms = clock_ms + spent_expiry_ms.min(self.window_ms);
        self.release(holder, spent, until_ms, |leases| {
            leases.retain(|lease| lease.number >= adopted_grant);
            let kept = leases.iter_mut().filter(|lease| lease.number == adopted_grant);
            kept.for_each(|lease| lease.units = lease.units.min(kept_units));
        });
        self.wanted_units.insert(holder, (wanted_units, clock_ms + lease_ms));
        let pending = PendingRequest {
            holder,
            request,
            until_ms: clock_ms + u64::from(remaining_wait_ms),
            answered: false,
        };
        match self.queue.iter_mut().find(|queued| queued.holder == holder) {
            // A node that sends another request keeps its place in the queue.
            Some(queued) => *queued = pending,
            None => self.queue.push_back(pending),
        }
    }

    /// The queued requests to answer now, with the units to grant to each. Free units go to requests in the order of arrival.
    fn serve_queue(&mut self, clock_ms: u64, grants_paused: bool) -> Vec<(PendingRequest, u32)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut served: Vec<(PendingRequest, u32)> = Vec::new();
        // Computed once for all queued requests. Guards against a cost that is quadratic in the size of the fleet.
        let (fair_level, remainder) = self.fair_level();
        let extra_unit_holders = self.extra_unit_holders(clock_ms, fair_level, remainder);
        let mut committed = self.held_units() + self.cooling_units();
        for mut pending in std::mem::take(&mut self.queue) {
            let PendingRequest { holder, until_ms, .. } = pending;
            let own_units = self.leases.get(&holder).map_or(0, |leases| held_units(leases));
            let wanted_units = self.wanted_units.get(&holder).map_or(0, |(wanted_units, _)| *wanted_units);
            let fair_share = self.fair_share(clock_ms, holder, wanted_units, fair_level, &extra_unit_holders);
            // If there are fewer units than nodes, the first request gets a free unit, because the recorded demand of others is out of date.
            let fair_share = if own_units == 0 { fair_share.max(wanted_units.min(1)) } else { fair_share };
            // The units that are not committed. After a budget was reduced, its pool may be smaller than what is committed.
            let free = self.pool.saturating_sub(committed);
            let units = if grants_paused { 0 } else { fair_share.min(own_units + free) };
            if !pending.answered || units > own_units {
                committed += units.saturating_sub(own_units);
                served.push((pending, units));
            }
            pending.answered = true;
            if units.max(own_units) < wanted_units && until_ms > clock_ms {
                self.queue.push_back(pending);
            }
        }
        served
    }

    /// The max-min fair level: no node gets more than it wants, and those that want more than the level get the level. Also returns
    /// how many of those get one unit more, for the remainder of the division.
    fn fair_level(&self) -> (u32, usize) {
        let mut wanted_units: Vec<u32> =
            self.wanted_units.values().map(|(wanted_units, _)| *wanted_units).filter(|w| *w > 0).collect();
        wanted_units.sort_unstable();
        let mut left = self.pool;
        for (at, &wanted) in wanted_units.iter().enumerate() {
            let sharers = (wanted_units.len() - at) as u32;
            let even_share = left / sharers;
            if wanted > even_share {
                return (even_share, (left % sharers) as usize);
            }
            left -= wanted;
        }
        (u32::MAX, 0)
    }

    /// The fair share of a holder, given the demand of all; the extra units rotate among the holders.
    fn fair_share(
        &mut self,
        clock_ms: u64,
        holder: Holder,
        wanted_units: u32,
        fair_level: u32,
        extra_unit_holders: &[Holder],
    ) -> u32 {
        if wanted_units <= fair_level || extra_unit_holders.binary_search(&holder).is_err() {
            self.extra_since.remove(&holder);
            return wanted_units.min(fair_level);
        }
        let since = self.extra_since.entry(holder).or_insert(clock_ms);
        if clock_ms >= *since + EXTRA_UNIT_TURN_MS {
            *since = clock_ms;
        }
        self.had_extra.insert(holder, clock_ms);
        fair_level + 1
    }

    /// The holders, sorted, that get one unit more than the level: first those whose turn is not over, then those that have been
    /// without an extra unit the longest.
    fn extra_unit_holders(&self, clock_ms: u64, fair_level: u32, remainder: usize) -> Vec<Holder> {
        if remainder == 0 {
            return Vec::new();
        }
        let sharers = self
            .wanted_units
            .iter()
            .filter(|(_, (wanted_units, _))| *wanted_units > fair_level)
            .map(|(holder, _)| *holder);
        let mut order: Vec<(bool, u64, Holder)> = sharers
            .map(|holder| {
                let in_turn =
                    self.extra_since.get(&holder).is_some_and(|since| clock_ms < since + EXTRA_UNIT_TURN_MS);
                (!in_turn, self.had_extra.get(&holder).copied().unwrap_or(0), holder)
            })
            .collect();
        order.sort_unstable();
        let mut extra_unit_holders: Vec<Holder> =
            order.into_iter().take(remainder).map(|(.., holder)| holder).collect();
        extra_unit_holders.sort_unstable();
        extra_unit_holders
    }
}
