//! The permission of one node: which machines it may not send to, and what it requests of the voters.

use crate::LONG_ABSENCE_LEASES;
use crate::state::{Permit, PermitRequest, Stage};
use grebeusher_budgets::{DRIFT, Holder};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use std::collections::BTreeMap;

/// The number of requests per lease time: if several are lost, the next one still renews the permission in
/// time.
const REQUESTS_PER_LEASE: f64 = 5.0;
/// The time between requests while the node has something to report, while operators read the status, and
/// before the first permission.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// The most requests whose answers are still accepted.
const MAX_OPEN_REQUESTS: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Permission {
    holder: Holder,
    zone: String,
    socket_hash: u64,
    /// The hash of the name of this node's own machine.
    own_machine: u64,
    lease: Duration,
    open_requests: BTreeMap<u32, Instant>,
    next_sequence: u32,
    requested_at: Option<Instant>,
    /// The sequence number of the request whose answer is in force, and the time of that request.
    in_force: Option<(u32, Instant)>,
    number: u64,
    machines: Vec<(u64, Stage)>,
    max_unit_time: Duration,
    is_urgent: bool,
    request_soon_at: Option<Instant>,
}

impl Permission {
    /// Creates the permission of a node that sends nothing before its first permit. `socket_hash` is the hash of
    /// the address at which this node listens for the others, and `own_machine` the hash of the name of its own
    /// machine.
    pub fn new(holder: Holder, (socket_hash, own_machine): (u64, u64), lease: Duration) -> Permission {
        Permission {
            holder,
            zone: String::new(),
            socket_hash,
            own_machine,
            lease,
            open_requests: BTreeMap::new(),
            next_sequence: 0,
            requested_at: None,
            in_force: None,
            number: 0,
            machines: Vec::new(),
            max_unit_time: Duration::from_nanos(0),
            is_urgent: false,
            request_soon_at: None,
        }
    }

    /// Sets the zone of this node.
    pub fn with_zone(mut self, zone: &str) -> Permission {
        self.zone = zone.to_owned();
        self
    }

    /// Whether this node has ever received a permit; it sends nothing before.
    pub fn has_permit(&self) -> bool {
        self.in_force.is_some()
    }

    /// The number of the latest decision that this node follows.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// When the permission expires, and when this node has been without one for a long time ([`LONG_ABSENCE_LEASES`]).
    fn expiry(&self) -> Option<(Instant, Instant)> {
        let (_, requested) = self.in_force?;
        let lasts = self.lease.scaled(1.0 - DRIFT);
        Some((requested + lasts, requested + lasts.scaled((1 + LONG_ABSENCE_LEASES) as f64)))
    }

    /// The hashes of the names of the machines that may have been closed by `now`; nothing may be sent to
    /// them.
    pub fn closed(&self, now: Instant) -> impl Iterator<Item = u64> {
        let from = match self.expiry() {
            Some((ends, _)) if now < ends => Stage::Closed,
            Some((_, long)) if now < long => Stage::Next,
            _ => Stage::Waiting,
        };
        self.machines.iter().filter(move |(_, stage)| *stage >= from).map(|(machine, _)| *machine)
    }

    /// Whether this node itself is to be drained, by the latest permit that it received.
    pub fn is_own_machine_closed(&self) -> bool {
        self.machines.contains(&(self.own_machine, Stage::Closed))
    }

    /// The machines of the plan that are not done, in the order of the plan.
    pub fn machines(&self) -> &[(u64, Stage)] {
        &self.machines
    }

    /// The time for which a unit may still run after this node stopped waiting for it, and counts as in
    /// flight.
    pub fn max_unit_time(&self) -> Duration {
        self.max_unit_time
    }

    /// The time since the request for the permit in force.
    pub fn permit_age(&self, now: Instant) -> Duration {
        self.in_force.map_or(Duration::from_nanos(0), |(_, requested)| now.since(requested))
    }

    /// The next time at which more machines may have to be treated as closed if no permit arrives.
    pub fn next_closing_at(&self, now: Instant) -> Option<Instant> {
        let (ends, long) = self.expiry()?;
        [ends, long].into_iter().find(|at| *at > now)
    }

    pub fn next_request_at(&self) -> Instant {
        let Some(requested) = self.requested_at else { return Instant(0) };
        let is_urgent = self.is_urgent || self.in_force.is_none();
        let due = requested
            + if is_urgent { MIN_REQUEST_INTERVAL } else { self.lease.scaled(1.0 / REQUESTS_PER_LEASE) };
        self.request_soon_at.map_or(due, |at| due.min(at.max(requested + MIN_REQUEST_INTERVAL.scaled(0.25))))
    }

    /// Schedules a request soon after a decision, after a delay that depends on this node. Guards against all
    /// nodes sending requests at once, of which the leader could receive no more than its socket buffers.
    pub fn request_soon(&mut self, now: Instant) {
        let delay_hash = self.socket_hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let wait = Duration::from_nanos(delay_hash % MIN_REQUEST_INTERVAL.nanos());
        let at = now + wait;
        self.request_soon_at = Some(self.request_soon_at.map_or(at, |before| before.min(at)));
    }

    /// Shortens the time to the next request: work in flight at a closed machine has ended, or operators read
    /// the status.
    pub fn request_urgently(&mut self) {
        self.is_urgent = true;
    }

    /// Returns the next request to the voters if one is due. `in_flight` returns the number of units that this
    /// node has in flight at a machine; the pairs are the units accepted and rejected since the start, and
    /// whether this node is drained and whether operators read its status.
    pub fn next_request(
        &mut self,
        now: Instant,
        in_flight: impl Fn(u64) -> u16,
        (units, rejected): (u64, u64),
        (is_drained, wants_status): (bool, bool),
    ) -> Option<PermitRequest> {
        if now < self.next_request_at() {
            return None;
        }
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.open_requests.insert(self.next_sequence, now);
        while self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_first();
        }
        (self.requested_at, self.request_soon_at) = (Some(now), None);
        let busy = self.machines.iter().map(|(machine, stage)| (*machine, *stage, in_flight(*machine)));
        let busy: Vec<(u64, Stage, u16)> = busy.filter(|(.., units)| *units > 0).collect();
        // The voters wait for this node to have nothing in flight there, and have to learn of it at once.
        self.is_urgent = busy.iter().any(|(_, stage, _)| *stage == Stage::Closed);
        let in_flight = busy.into_iter().map(|(machine, _, units)| (machine, units)).collect();
        let closed =
            |(machine, stage): &&(u64, Stage)| *stage == Stage::Closed && *machine != self.own_machine;
        let closed = self.machines.iter().filter(closed);
        Some(PermitRequest {
            holder: self.holder,
            zone: self.zone.clone(),
            socket_hash: self.socket_hash,
            sequence: self.next_sequence,
            known_decision: self.number,
            in_flight,
            closed: closed.map(|(machine, _)| *machine).collect(),
            is_drained,
            units,
            rejected,
            wants_status,
        })
    }

    /// Handles a permit and returns whether the closed machines may have changed. A permit for an older
    /// request than the one in force is ignored.
    pub fn receive_permit(&mut self, permit: &Permit) -> bool {
        let requested = self.open_requests.remove(&permit.sequence).filter(|_| permit.holder == self.holder);
        let Some(requested) =
            requested.filter(|requested| self.in_force.is_none_or(|(_, in_force)| in_force < *requested))
        else {
            return false;
        };
        let Some(machines) = &permit.machines else {
            // The voters confirm the decision that this node knew when it sent the request; that holds unless
            // the node has received another one meanwhile.
            if permit.number == self.number {
                self.in_force = Some((permit.sequence, requested));
            }
            return true;
        };
        self.in_force = Some((permit.sequence, requested));
        self.max_unit_time = Duration::from_millis(permit.longest_unit_s.saturating_mul(1000));
        // A decision that is new to this node has to be acknowledged soon.
        self.is_urgent |= self.number != permit.number;
        self.number = permit.number;
        self.machines = machines.clone();
        true
    }
}
