//! Scenarios of a division with nodes on a simulated network that loses, duplicates and delays datagrams, and an exhaustive check
//! of all orders of events in a small model.

use grebeusher_budgets::{
    Division, Entry, FleetBudget, FleetBudgets, GRANT_WAIT, Grant, GrantRequest, Holder, LocalQuota,
};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use stateright::{Checker, Model, Property};
use std::collections::VecDeque;

const LEASE: Duration = Duration::from_millis(2000);

fn ms(ms: u64) -> Instant {
    Instant(1_000_000_000_000) + Duration::from_millis(ms)
}

fn edition(edition: u64, of: &[FleetBudget]) -> Entry {
    let of = of.iter().enumerate().map(|(at, budget)| (at as u64, *budget)).collect();
    Entry { budgets: Some(FleetBudgets { edition, of }), ..Entry::default() }
}

/// Nodes that share one division over a network with loss, duplication and delay. The units that all of them spend are counted
/// independently of the division. Times are in milliseconds of simulated time.
struct Fleet {
    division: Division,
    budget: FleetBudget,
    quotas: Vec<Option<LocalQuota>>,
    attempts_per_s: Vec<f64>,
    /// How fast the clock of each node runs, and that of the voters: 1.0 is exact.
    clock_rates: Vec<f64>,
    voter_clock_rate: f64,
    /// Callers that wait for a unit: until when, and the index of their node.
    waiting: VecDeque<(u64, usize)>,
    requests: Vec<(u64, GrantRequest)>,
    grants: Vec<(u64, Grant)>,
    now: u64,
    commit_interval_ms: u64,
    committed_at: u64,
    loss: f64,
    rng: Pcg32,
    spent: VecDeque<u64>,
    most_spent: usize,
    total: u64,
}

impl Fleet {
    fn new(budget: FleetBudget, attempts_per_s: Vec<f64>, seed: u64) -> Fleet {
        let mut division = Division::new(LEASE, false);
        division.apply(&edition(1, &[budget]));
        let mut fleet = Fleet {
            division,
            budget,
            quotas: attempts_per_s.iter().map(|_| None).collect(),
            clock_rates: vec![1.0; attempts_per_s.len()],
            voter_clock_rate: 1.0,
            attempts_per_s,
            waiting: VecDeque::new(),
            requests: Vec::new(),
            grants: Vec::new(),
            now: 0,
            commit_interval_ms: 50,
            committed_at: 0,
            loss: 0.0,
            rng: Pcg32::seed_from_u64(seed),
            spent: VecDeque::new(),
            most_spent: 0,
            total: 0,
        };
        (0..fleet.quotas.len()).for_each(|at| fleet.start_node(at));
        fleet
    }

    fn start_node(&mut self, at: usize) {
        let holder = Holder { number: at as u32, generation: self.now };
        self.quotas[at] = Some(LocalQuota::new(self.clock(at), holder, 0, &self.budget, LEASE));
    }

    /// The time by the clock of a node.
    fn clock(&self, at: usize) -> Instant {
        Instant(1_000_000_000_000) + Duration::from_millis(self.now).scaled(self.clock_rates[at])
    }

    /// Advances the simulation by this many milliseconds, one at a time.
    #[expect(clippy::too_many_lines, reason = "one loop simulates the nodes, the network and the voters")]
    fn advance(&mut self, for_ms: u64) {
        for _ in 0..for_ms {
            self.now += 1;
            let now = self.now;
            let delivery_times = |lost: f64, rng: &mut Pcg32| -> Vec<u64> {
                let times =
                    if rng.random::<f64>() < lost { 0 } else { 1 + usize::from(rng.random::<f64>() < lost) };
                (0..times).map(|_| now + rng.random_range(1..30)).collect()
            };
            for at in 0..self.quotas.len() {
                let clock = self.clock(at);
                let Some(quota) = &mut self.quotas[at] else { continue };
                if self.rng.random::<f64>() < self.attempts_per_s[at] / 1000.0 {
                    if quota.try_spend(clock) {
                        self.spent.push_back(now);
                        self.total += 1;
                    } else {
                        self.waiting.push_back((now + GRANT_WAIT.nanos() / 1_000_000, at));
                    }
                }
                if let Some(request) = quota.next_request(clock) {
                    self.requests.extend(
                        delivery_times(self.loss, &mut self.rng).into_iter().map(|when| (when, request)),
                    );
                }
            }
            // The voters commit the requests that have arrived at each commit interval.
            if now.is_multiple_of(self.commit_interval_ms) {
                let (due, later): (Vec<_>, Vec<_>) =
                    self.requests.drain(..).partition(|(when, _)| *when <= now);
                self.requests = later;
                let requests = due.into_iter().map(|(_, request)| request).collect();
                let elapsed_ms = ((now - self.committed_at) as f64 * self.voter_clock_rate) as u64;
                let grants = self.division.apply(&Entry { elapsed_ms, budgets: None, requests });
                self.committed_at = now;
                for grant in grants {
                    self.grants.extend(
                        delivery_times(self.loss, &mut self.rng).into_iter().map(|when| (when, grant)),
                    );
                }
            }
            let (due, later): (Vec<_>, Vec<_>) = self.grants.drain(..).partition(|(when, _)| *when <= now);
            self.grants = later;
            for (_, grant) in due {
                if let Some(quota) = &mut self.quotas[grant.holder.number as usize] {
                    quota.apply_grant(&grant);
                }
            }
            // As in a node, waiting callers are tried in the order of arrival, and rejected when their wait is over.
            for _ in 0..self.waiting.len() {
                let Some((until, at)) = self.waiting.pop_front() else { break };
                let clock = self.clock(at);
                let Some(quota) = self.quotas[at].as_mut().filter(|_| until > now) else { continue };
                if quota.try_spend_after_wait(clock) {
                    self.spent.push_back(now);
                    self.total += 1;
                } else {
                    self.waiting.push_back((until, at));
                }
            }
            while self.spent.front().is_some_and(|at| now - at >= self.budget.window_ms) {
                self.spent.pop_front();
            }
            self.most_spent = self.most_spent.max(self.spent.len());
            assert!(self.spent.len() <= self.budget.units as usize, "{} spent at {now}", self.spent.len());
            assert!(self.division.committed_units(0) <= self.budget.pool());
        }
    }

    /// Advances the simulation by this many milliseconds, and returns the fraction of the budget that was spent meanwhile.
    fn utilization(&mut self, for_ms: u64) -> f64 {
        let before = self.total;
        self.advance(for_ms);
        let windows = for_ms as f64 / self.budget.window_ms as f64;
        (self.total - before) as f64 / windows / f64::from(self.budget.units)
    }
}

const BUDGET: FleetBudget = FleetBudget { units: 800, window_ms: 1000, floor: 1, nodes: 40 };

#[test]
fn shares_follow_the_traffic_within_seconds_and_a_budget_in_demand_is_used() {
    // A third of the nodes get nine tenths of the traffic; later on, other nodes get it.
    let attempts_per_s = |busy: std::ops::Range<usize>| -> Vec<f64> {
        (0..40).map(|at| if busy.contains(&at) { 83.0 } else { 4.4 }).collect()
    };
    let mut fleet = Fleet::new(BUDGET, attempts_per_s(0..13), 3);
    fleet.advance(4000);
    let utilization = fleet.utilization(4000);
    // The rest are units that nodes with little traffic hold for a window and spend once.
    assert!(utilization > 0.8, "{utilization}");
    fleet.attempts_per_s = attempts_per_s(20..33);
    fleet.advance(2500);
    let utilization = fleet.utilization(4000);
    assert!(utilization > 0.8, "{utilization}");
}

#[test]
fn the_shares_of_killed_nodes_are_available_again_after_a_lease_and_a_window() {
    let mut fleet = Fleet::new(BUDGET, vec![30.0; 40], 5);
    fleet.advance(5000);
    (0..20).for_each(|at| fleet.quotas[at] = None);
    fleet.attempts_per_s = vec![80.0; 40];
    // This is the time for a lease, a window in which freed units may not be spent, and a round of requests. The floors of the killed
    // nodes stay reserved.
    fleet.advance(3600);
    let utilization = fleet.utilization(3000);
    assert!(utilization > 0.95 * f64::from(BUDGET.pool() + 20) / 800.0, "{utilization}");
}

#[test]
fn loss_duplicates_restarts_and_excess_demand_never_exceed_the_limit() {
    for seed in 1..=20 {
        let mut fleet = Fleet::new(BUDGET, vec![40.0; 40], seed);
        fleet.loss = 0.3;
        fleet.attempts_per_s[7] = 2000.0;
        for _ in 0..20 {
            fleet.advance(400);
            let at = fleet.rng.random_range(0..40);
            // One node is killed and restarted at once under its own number, another one after a while.
            fleet.start_node(at);
            let away = fleet.rng.random_range(0..40);
            fleet.quotas[away] = None;
            fleet.advance(100);
            fleet.start_node(away);
        }
        assert!(fleet.most_spent > 400, "the scenario must spend most of the budget: {}", fleet.most_spent);
    }
}

/// Guards against windows and leases that end too early by a fast clock, or too late by a slow one.
#[test]
fn clocks_that_are_wrong_by_one_percent_never_exceed_the_limit() {
    for voter_clock_rate in [1.01, 0.99] {
        let budget = FleetBudget { units: 100, window_ms: 1000, floor: 1, nodes: 10 };
        let mut fleet = Fleet::new(budget, vec![15.0; 20], 13);
        (fleet.voter_clock_rate, fleet.commit_interval_ms) = (voter_clock_rate, 100);
        fleet.clock_rates = (0..20).map(|at| [1.01, 0.99, 1.0][at % 3]).collect();
        fleet.advance(4000);
        let utilization = fleet.utilization(20_000);
        assert!(utilization > 0.8, "{utilization}");
    }
}

#[test]
fn fewer_units_than_nodes_rotate_among_them() {
    let budget = FleetBudget { units: 10, window_ms: 1000, floor: 0, nodes: 30 };
    let mut fleet = Fleet::new(budget, vec![30.0; 30], 9);
    fleet.commit_interval_ms = 5;
    fleet.advance(4000);
    let utilization = fleet.utilization(30_000);
    // With an earlier fault, freed units were idle until a node happened to request them, and the utilization was 0.85.
    assert!(utilization > 0.95, "{utilization}");
    let mut had = std::collections::BTreeSet::new();
    for _ in 0..240 {
        fleet.advance(1000);
        had.extend(
            fleet.division.holders(0).filter(|(_, units)| *units > 0).map(|(holder, _)| holder.number),
        );
    }
    assert_eq!(had.len(), 30, "each node must have had a unit: {had:?}");
}

#[test]
fn a_budget_that_is_reduced_while_it_is_leased_is_granted_by_its_new_size_only() {
    let mut fleet = Fleet::new(BUDGET, vec![40.0; 40], 11);
    fleet.advance(4000);
    let smaller = FleetBudget { units: 400, ..BUDGET };
    fleet.division.apply(&edition(2, &[smaller]));
    // An older edition, from a node that has not read the new file, changes nothing.
    fleet.division.apply(&edition(1, &[BUDGET]));
    fleet.advance(4000);
    assert!(fleet.division.committed_units(0) <= smaller.pool());
    assert!(fleet.spent.len() <= 400, "{}", fleet.spent.len());
    // A budget that is removed from the file remains for the nodes that have not yet read the new file.
    fleet.division.apply(&edition(3, &[]));
    fleet.advance(4000);
    assert!(fleet.division.committed_units(0) > 300 && fleet.spent.len() <= 400, "{}", fleet.spent.len());
}

#[test]
fn after_a_loss_of_state_nothing_is_granted_while_earlier_leases_may_be_in_force() {
    let mut division = Division::new(LEASE, true);
    division.apply(&edition(1, &[BUDGET]));
    let holder = Holder { number: 1, generation: 1 };
    let request = GrantRequest {
        holder,
        budget: 0,
        wanted_units: 5,
        adopted_grant: 0,
        kept_units: 0,
        spent: 0,
        spent_expiry_ms: 0,
        remaining_wait_ms: 0,
        request: 1,
    };
    let mut granted_after =
        |elapsed_ms| division.apply(&Entry { elapsed_ms, budgets: None, requests: vec![request] })[0].units;
    assert_eq!((granted_after(100), granted_after(2800), granted_after(200)), (0, 0, 5));
}

/// Two or three nodes and two units, checked in all orders of requests, losses, duplicates, spending, expiry and restarts.
#[derive(Clone)]
struct ExhaustiveModel {
    nodes: usize,
    /// Whether a holder ends its lease early, counted from its request, as the protocol requires.
    ends_early: bool,
    until: u64,
    /// The most requests that are made.
    requests: u32,
    /// Whether a holder no longer spends the units that it gives back, as the protocol requires.
    reports_honestly: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    committed_at: u64,
    division: Division,
    quotas: Vec<LocalQuota>,
    starts: Vec<u64>,
    requests_made: u32,
    requests: Vec<GrantRequest>,
    grants: Vec<Grant>,
    spent: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    AdvanceTime,
    Request(usize),
    Commit(usize),
    Deliver(usize, bool),
    Lose(usize),
    Spend(usize),
    Restart(usize),
}

/// With the padding of the window for clock error, a unit counts as spent for one tick.
const MODEL_BUDGET: FleetBudget = FleetBudget { units: 2, window_ms: 990, floor: 0, nodes: 3 };
const TICK_MS: u64 = 1000;

impl ExhaustiveModel {
    fn quota(&self, now: u64, at: usize, start: u64) -> LocalQuota {
        let holder = Holder { number: at as u32, generation: start };
        // The deliberate fault is a lease that lasts a little longer, as if it were counted from the arrival of the grant.
        let lease = if self.ends_early { LEASE } else { LEASE + Duration::from_millis(TICK_MS + 100) };
        LocalQuota::new(ms(now), holder, 0, &MODEL_BUDGET, lease)
    }
}

impl Model for ExhaustiveModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut division = Division::new(LEASE, false);
        division.apply(&edition(1, &[MODEL_BUDGET]));
        vec![State {
            now: 0,
            committed_at: 0,
            division,
            quotas: (0..self.nodes).map(|at| self.quota(0, at, 0)).collect(),
            starts: vec![0; self.nodes],
            requests_made: 0,
            requests: Vec::new(),
            grants: Vec::new(),
            spent: Vec::new(),
        }]
    }

    fn actions(&self, state: &State, possible: &mut Vec<Action>) {
        if state.now < self.until {
            possible.push(Action::AdvanceTime);
        }
        for at in 0..self.nodes {
            if state.requests.len() + state.grants.len() < 2 && state.requests_made < self.requests {
                possible.push(Action::Request(at));
            }
            possible.push(Action::Spend(at));
            if state.starts[at] == 0 && at == 0 {
                possible.push(Action::Restart(at));
            }
        }
        possible.extend((0..state.requests.len()).map(Action::Commit));
        for at in 0..state.grants.len() {
            possible.extend([Action::Deliver(at, false), Action::Deliver(at, true), Action::Lose(at)]);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        let now = ms(s.now);
        match action {
            Action::AdvanceTime => {
                s.now += TICK_MS;
                let now = s.now;
                s.spent.retain(|at| now - at < MODEL_BUDGET.window_ms);
            }
            Action::Request(at) => {
                if s.quotas[at].allowance(now) == 0 {
                    s.quotas[at].try_spend(now);
                }
                s.requests.push(s.quotas[at].next_request(now)?);
                s.requests_made += 1;
            }
            Action::Commit(at) => {
                let request = s.requests.remove(at);
                let request = GrantRequest { wanted_units: 2, ..request };
                // The deliberate fault is a request that claims to give back all units unspent, while the node goes on spending them.
                let misreports = !self.reports_honestly && request.adopted_grant > 0;
                let request = if misreports {
                    GrantRequest { wanted_units: 0, kept_units: 0, spent: 0, ..request }
                } else {
                    request
                };
                let entry =
                    Entry { elapsed_ms: s.now - s.committed_at, budgets: None, requests: vec![request] };
                s.grants.extend(s.division.apply(&entry));
                s.committed_at = s.now;
            }
            Action::Deliver(at, is_duplicate) => {
                let grant = s.grants[at];
                if !is_duplicate {
                    s.grants.remove(at);
                }
                let quota = &mut s.quotas[grant.holder.number as usize];
                quota.apply_grant(&grant);
            }
            Action::Lose(at) => drop(s.grants.remove(at)),
            Action::Spend(at) => {
                if !s.quotas[at].try_spend(now) {
                    return None;
                }
                s.spent.push(s.now);
            }
            Action::Restart(at) => {
                s.starts[at] += 1;
                s.quotas[at] = self.quota(s.now, at, s.starts[at]);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the limit is never exceeded", |_, s: &State| {
                s.spent.len() <= MODEL_BUDGET.units as usize
            }),
            Property::sometimes("the whole budget is spent", |_, s: &State| {
                s.spent.len() == MODEL_BUDGET.units as usize
            }),
        ]
    }
}

#[test]
fn the_limit_holds_in_all_orders_of_events_and_a_broken_protocol_is_detected() {
    let check = |nodes, until, requests, ends_early, reports_honestly| {
        ExhaustiveModel { nodes, ends_early, until, requests, reports_honestly }
            .checker()
            .threads(8)
            .spawn_dfs()
            .join()
    };
    check(2, 3 * TICK_MS, 3, true, true).assert_properties();
    check(3, 4 * TICK_MS, 2, true, true).assert_properties();
    for (ends_early, reports_honestly) in [(false, true), (true, false)] {
        let broken = check(2, 4 * TICK_MS, 3, ends_early, reports_honestly);
        assert!(broken.discovery("the limit is never exceeded").is_some(), "the check must find the fault");
    }
}

/// Guards against a unit that stays idle for a lease and a window because the datagram that granted it was lost.
#[test]
fn units_whose_grant_was_lost_soon_become_available_to_others() {
    let budget = FleetBudget { units: 1, window_ms: 1000, floor: 0, nodes: 0 };
    let mut division = Division::new(LEASE, false);
    division.apply(&edition(1, &[budget]));
    let quota = |number| LocalQuota::new(ms(0), Holder { number, generation: 1 }, 0, &budget, LEASE);
    let (mut loser, mut other) = (quota(0), quota(1));
    assert!(!loser.try_spend(ms(0)));
    let mut answers = 0;
    for at in 0..400 {
        let Some(request) = loser.next_request(ms(at)) else { continue };
        let grants = division.apply(&Entry { elapsed_ms: 0, budgets: None, requests: vec![request] });
        // Grants that arrive while a caller waits at the node are lost.
        for grant in grants.iter().filter(|_| at >= 60) {
            loser.apply_grant(grant);
            answers += 1;
        }
    }
    assert!(
        answers > 0 && division.committed_units(0) == 0,
        "{} units are held",
        division.committed_units(0)
    );
    assert!(!other.try_spend(ms(400)));
    let requests = vec![other.next_request(ms(400)).expect("a caller waits, so a request is due")];
    assert_eq!(division.apply(&Entry { elapsed_ms: 400, budgets: None, requests })[0].units, 1);
}

/// Guards against a unit that is held for the rest of a window for a caller that has been rejected.
#[test]
fn a_node_with_low_demand_wants_no_unit_for_a_rejected_caller() {
    let budget = FleetBudget { units: 1, window_ms: 1000, floor: 0, nodes: 0 };
    let holder = Holder { number: 0, generation: 1 };
    let mut quota = LocalQuota::new(ms(0), holder, 0, &budget, LEASE);
    assert!(!quota.try_spend(ms(0)));
    assert_eq!(
        quota.next_request(ms(0)).map(|request| request.wanted_units),
        Some(1),
        "a unit is wanted while the caller waits"
    );
    let after = ms(500);
    assert!(
        quota.next_request(after).is_none_or(|request| request.wanted_units == 0),
        "no unit is wanted after the wait"
    );
}

/// Guards against a node that was granted less than it had just spent, and did not report when the spent units had left the
/// window: the unit stayed idle until the lease expired.
#[test]
fn a_smaller_grant_is_reported_as_soon_as_the_spent_units_have_left_the_window() {
    let budget = FleetBudget { units: 1, window_ms: 1000, floor: 0, nodes: 0 };
    let holder = Holder { number: 0, generation: 1 };
    let mut quota = LocalQuota::new(ms(0), holder, 0, &budget, LEASE);
    let grant = |quota: &mut LocalQuota, at, number, units| {
        let request = quota.next_request(ms(at)).expect("a request is due").request;
        quota.apply_grant(&Grant { holder, budget: 0, request, number, units, edition: 1 });
    };
    assert!(!quota.try_spend(ms(0)));
    grant(&mut quota, 0, 1, 1);
    assert!(quota.try_spend_after_wait(ms(0)));
    grant(&mut quota, 400, 2, 0);
    let requests = (401..1500).filter_map(|at| Some((at, quota.next_request(ms(at))?)));
    let reported = requests
        .map(|(at, request)| (at, request.adopted_grant))
        .find(|(_, adopted_grant)| *adopted_grant == 2);
    assert!(reported.is_some_and(|(at, _)| (1010..1035).contains(&at)), "{reported:?}");
}
