//! A node's side of one budget.

use crate::division::{BudgetKey, FleetBudget, Grant, GrantRequest, Holder};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use std::collections::{BTreeMap, VecDeque};

/// The fraction of a lease by which its holder ends it early. Two clocks that are each wrong by up to one percent differ by less;
/// the clock of a machine drifts by a few parts in a hundred thousand.
pub const DRIFT: f64 = 0.03;
/// Requests in one lease, so that a renewal arrives in time even if one request is lost.
const REQUESTS_PER_LEASE: f64 = 5.0;
/// The least time between two requests, also of a node that is short of units.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// How long a refused caller waits for a grant: a few round trips to the leader, which queues the request for as long.
pub const GRANT_WAIT: Duration = Duration::from_millis(60);
/// The interval at which a request is repeated while a caller waits, as it may have been lost.
const RETRY_WHILE_WAITING: Duration = Duration::from_millis(30);
/// The interval at which a request without an answer is repeated, also if it only gave units back or its caller has left. Guards
/// against units that stay idle for a lease and a window because the datagram that granted them was lost: the next answer
/// replaces it.
const RETRY_UNANSWERED: Duration = Duration::from_millis(100);
/// Attempts in a window below which no units are held in reserve: the allowance for random variation would be more than a third
/// of the total.
const LOW_DEMAND: f64 = 8.0;
/// The most requests whose answer may still arrive.
const MAX_OPEN_REQUESTS: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalQuota {
    holder: Holder,
    budget: BudgetKey,
    window: Duration,
    lease: Duration,
    floor: u32,
    /// The floor may be spent from this time on, because the previous process of this node may have spent it just before it ended.
    floor_from: Instant,
    number: u64,
    units: u32,
    /// The number of the newest grant whose adoption was reported to the division.
    reported_grant: u64,
    expires_at: Instant,
    spent: VecDeque<Instant>,
    /// The times of refused attempts in the last window.
    refused: VecDeque<Instant>,
    /// The times of all attempts in the demand period.
    attempts: VecDeque<Instant>,
    /// The numbers and times of the requests that may still be answered.
    requested_at: BTreeMap<u32, Instant>,
    last_request: u32,
    last_request_at: Option<Instant>,
    /// Whether a caller waits, or units to give back should be reported at once.
    is_urgent: bool,
    /// The number of the last request that wanted units or gave some back, until it or a later one is answered.
    unanswered: Option<u32>,
}

impl LocalQuota {
    /// The quota of a node that starts now.
    pub fn new(
        now: Instant,
        holder: Holder,
        budget: BudgetKey,
        fleet_budget: &FleetBudget,
        lease: Duration,
    ) -> LocalQuota {
        let window = Duration::from_millis(fleet_budget.padded_window_ms());
        LocalQuota {
            holder,
            budget,
            window,
            lease,
            floor: fleet_budget.floor_of(holder.number),
            floor_from: now + window,
            number: 0,
            units: 0,
            reported_grant: 0,
            expires_at: Instant(0),
            spent: VecDeque::new(),
            refused: VecDeque::new(),
            attempts: VecDeque::new(),
            requested_at: BTreeMap::new(),
            last_request: 0,
            last_request_at: None,
            is_urgent: false,
            unanswered: None,
        }
    }

    fn expire(&mut self, now: Instant) {
        let (window, demand_period) = (self.window, self.demand_period());
        let histories =
            [(&mut self.spent, window), (&mut self.refused, window), (&mut self.attempts, demand_period)];
        for (times, period) in histories {
            while times.front().is_some_and(|at| now.since(*at) >= period) {
                times.pop_front();
            }
        }
    }

    /// The units that may be spent in any window at this time: the floor and the grant.
    pub fn allowance(&self, now: Instant) -> u32 {
        self.floor(now) + self.granted_units(now)
    }

    /// The units of the grant in force, without the floor.
    pub fn granted_units(&self, now: Instant) -> u32 {
        if now < self.expires_at { self.units } else { 0 }
    }

    fn floor(&self, now: Instant) -> u32 {
        if now >= self.floor_from { self.floor } else { 0 }
    }

    /// Whether a unit can be spent now.
    pub fn has_unit(&mut self, now: Instant) -> bool {
        self.expire(now);
        (self.spent.len() as u32) < self.allowance(now)
    }

    /// Spends a unit if there is one, and records the attempt. Returns whether it was spent.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        let has_unit = self.has_unit(now);
        self.attempts.push_back(now);
        if has_unit { &mut self.spent } else { &mut self.refused }.push_back(now);
        self.is_urgent |= !has_unit;
        has_unit
    }

    /// Like [`Self::try_spend`], for a caller that was refused and has waited for a grant.
    pub fn try_spend_after_wait(&mut self, now: Instant) -> bool {
        let has_unit = self.has_unit(now);
        if has_unit {
            self.refused.pop_front();
            self.spent.push_back(now);
        }
        has_unit
    }

    /// The number of units that were spent in the window that ends now.
    pub fn spent(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.spent.len()
    }

    /// The period whose attempts determine the demand.
    fn demand_period(&self) -> Duration {
        const LEASES: f64 = 3.0;
        self.lease.scaled(LEASES).max(self.window)
    }

    fn wanted_units(&self, now: Instant) -> u32 {
        // The mean of the windows in the demand period, and an allowance for random variation. A node with low demand holds no units
        // in reserve: it requests them on an attempt, which waits for the answer.
        let windows = self.demand_period().seconds() / self.window.seconds();
        let count_within = |times: &VecDeque<Instant>, span: Duration| {
            times.iter().filter(|at| now.since(**at) < span).count() as f64
        };
        let mean = count_within(&self.attempts, self.demand_period()) / windows;
        // The last window shows a rise or a fall first. With low demand, a refused caller counts only while it waits. Guards against
        // units that are held for the rest of a window for a caller that has been rejected.
        let refused = count_within(&self.refused, if mean < LOW_DEMAND { GRANT_WAIT } else { self.window });
        let latest = count_within(&self.spent, self.window) + refused;
        let forecast = if mean < LOW_DEMAND { 0.0 } else { (mean + mean.sqrt()).ceil() };
        let wanted = forecast.min(2.0 * latest + 2.0).max(latest);
        (wanted as u32).saturating_sub(self.floor)
    }

    /// How long a caller will still wait for a unit.
    fn remaining_wait(&self, now: Instant) -> Duration {
        self.refused.back().map_or(Duration::from_nanos(0), |at| (*at + GRANT_WAIT).since(now))
    }

    /// When the next request is due; `None` if none is needed.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let (wanted_units, has_grant) = (self.wanted_units(now), self.units > 0 && now < self.expires_at);
        let Some(requested) = self.last_request_at else { return (wanted_units > 0).then_some(now) };
        // The adoption of a smaller grant has to be reported as well: until then the difference counts as held.
        let has_unreported = self.reported_grant < self.number;
        if wanted_units == 0 && !has_grant && !self.is_urgent && !has_unreported && self.unanswered.is_none()
        {
            return None;
        }
        // Units that are no longer wanted are given back at once for other nodes.
        let is_waiting = self.remaining_wait(now) > Duration::from_nanos(0);
        let spent = self.spent.iter().filter(|at| now.since(**at) < self.window).count() as u32;
        let can_report = has_unreported && spent <= self.units + self.floor(now);
        let due = requested
            + if self.is_urgent || can_report || (has_grant && wanted_units < self.units) {
                MIN_INTERVAL
            } else if is_waiting {
                RETRY_WHILE_WAITING
            } else if self.unanswered.is_some() {
                RETRY_UNANSWERED
            } else {
                self.lease.scaled(1.0 / REQUESTS_PER_LEASE)
            };
        let first_expiry = self.spent.front().map(|at| *at + self.window).filter(|at| *at > now);
        Some(first_expiry.map_or(due, |at| due.min(at.max(requested + MIN_INTERVAL))))
    }

    /// The request to send to the voters now, if one is due.
    pub fn next_request(&mut self, now: Instant) -> Option<GrantRequest> {
        self.expire(now);
        self.next_due(now).filter(|due| *due <= now)?;
        self.last_request = self.last_request.wrapping_add(1);
        self.requested_at.insert(self.last_request, now);
        while self.requested_at.len() > MAX_OPEN_REQUESTS {
            self.requested_at.pop_first();
        }
        (self.last_request_at, self.is_urgent) = (Some(now), false);
        let (holder, budget) = (self.holder, self.budget);
        let (wanted_units, remaining_wait_ms) =
            (self.wanted_units(now), (self.remaining_wait(now).nanos() / 1_000_000) as u16);
        let spent = (self.spent.len() as u32).saturating_sub(self.floor(now));
        if spent > self.units && self.reported_grant < self.number && now < self.expires_at {
            // The node was granted less than it has just spent, and reports the adoption only when the spent units have left the
            // window. Guards against units that move back and forth: by then they may have been granted to the node again.
            let (adopted_grant, request) = (self.reported_grant, self.last_request);
            return Some(GrantRequest {
                holder,
                budget,
                wanted_units,
                adopted_grant,
                kept_units: u32::MAX,
                spent: 0,
                spent_expiry_ms: 0,
                remaining_wait_ms,
                request,
            });
        }
        self.reported_grant = self.number;
        let spent_expiry =
            self.spent.back().map_or(Duration::from_nanos(0), |at| (*at + self.window).since(now));
        if wanted_units > 0 || wanted_units < self.units {
            self.unanswered = Some(self.last_request);
        }
        // The node stops using these units now, whether or not the request arrives, because others may get them as soon as it does.
        self.units = self.units.min(wanted_units);
        let (adopted_grant, kept_units, request) = (self.number, self.units, self.last_request);
        let spent_expiry_ms = spent_expiry.nanos().div_ceil(1_000_000);
        Some(GrantRequest {
            holder,
            budget,
            wanted_units,
            adopted_grant,
            kept_units,
            spent,
            spent_expiry_ms,
            remaining_wait_ms,
            request,
        })
    }

    /// Applies a grant. Its lease starts when it was requested; a grant that is not newer than the adopted one is ignored.
    pub fn apply_grant(&mut self, grant: &Grant) {
        let is_own = grant.holder == self.holder && grant.budget == self.budget;
        let requested_at =
            self.requested_at.get(&grant.request).filter(|_| is_own && grant.number > self.number);
        let Some(&requested_at) = requested_at else { return };
        // Requests are numbered consecutively and wrap around: a later one is less than half of the number range ahead.
        self.unanswered =
            self.unanswered.filter(|request| grant.request.wrapping_sub(*request) > u32::MAX / 2);
        // Units that were withdrawn become available to others as soon as this node reports the adoption.
        self.is_urgent = grant.units < self.units;
        (self.number, self.units) = (grant.number, grant.units);
        self.expires_at = requested_at + self.lease.scaled(1.0 - DRIFT);
    }
}
