//! Simulates voters on a network that loses, duplicates and delays datagrams and has network partitions. The tests
//! compare the command histories of all voters, and check that the nodes never spend more than the budget that the
//! voters divide.

use grebeusher_budgets::{
    Division, Entry, FleetBudget, FleetBudgets, Grant, GrantRequest, Holder, LocalQuota,
};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_volatile_raft::{GroupOrigin, Host, StateMachine, Voter};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

const LEASE: Duration = Duration::from_millis(2000);
const BUDGET: FleetBudget = FleetBudget { units: 60, window_ms: 1000, floor: 0, nodes: 0 };

/// The replicated state: the division of the budget, and the ids of the applied commands, by which histories are
/// compared.
#[derive(Clone, Serialize, Deserialize)]
struct DividedBudget {
    division: Division,
    /// The elapsed time in microseconds, below one millisecond, that the division has not been given yet.
    unapplied_us: u64,
    /// The ids of the applied commands, in order.
    command_ids: Vec<u32>,
}

impl DividedBudget {
    fn empty() -> DividedBudget {
        let mut division = Division::new(LEASE, true);
        let budgets = FleetBudgets { edition: 1, of: vec![(0, BUDGET)] };
        division.apply(&Entry { budgets: Some(budgets), ..Entry::default() });
        DividedBudget { division, unapplied_us: 0, command_ids: Vec::new() }
    }
}

impl StateMachine for DividedBudget {
    type Command = GrantRequest;
    type Outcome = Grant;

    fn apply(&mut self, elapsed: Duration, requests: Vec<GrantRequest>) -> Vec<Grant> {
        self.unapplied_us += elapsed.nanos() / 1000;
        let elapsed_ms = self.unapplied_us / 1000;
        self.unapplied_us %= 1000;
        self.command_ids.extend(requests.iter().map(|request| request.request));
        self.division.apply(&Entry { elapsed_ms, budgets: None, requests })
    }

    fn depends_on_time(&self) -> bool {
        false
    }

    fn bootstrapped(&mut self, at: Instant) {
        self.division.raise_grant_number(at.0 / 1000);
    }
}

#[derive(Default)]
struct Network {
    /// The datagrams sent in this millisecond, each with the indexes of its sender and receiver.
    sent: Vec<(usize, usize, Vec<u8>)>,
    /// The grants that leaders sent and no node has received yet.
    grants: Vec<Grant>,
    /// The number of groups that were bootstrapped.
    bootstrapped_groups: u32,
}

struct TestHost {
    index: usize,
    network: Rc<RefCell<Network>>,
}

impl Host<DividedBudget> for TestHost {
    fn send(&mut self, voter: usize, datagram: &[u8]) {
        assert!(datagram.len() < 1200, "a datagram of {} bytes is too long", datagram.len());
        self.network.borrow_mut().sent.push((self.index, voter, datagram.to_vec()));
    }
    fn applied(&mut self, grant: Grant) {
        self.network.borrow_mut().grants.push(grant);
    }
    fn joined_group(&mut self, _: u64, origin: GroupOrigin) {
        self.network.borrow_mut().bootstrapped_groups += u32::from(origin == GroupOrigin::Bootstrapped);
    }
    fn leader_changed(&mut self, _: usize, _: u64) {}
}

struct Simulation {
    /// The simulated time in milliseconds.
    now_ms: u64,
    network: Rc<RefCell<Network>>,
    /// The voters by index; none for a voter that is stopped.
    voters: Vec<Option<Voter<DividedBudget, TestHost>>>,
    /// Whether each voter is suspended.
    suspended: Vec<bool>,
    /// The seed of the most recently started voter; each start takes the next one.
    last_seed: u64,
    /// The datagrams under way, each with its arrival time in milliseconds and the index of its receiver.
    in_flight: Vec<(u64, usize, Vec<u8>)>,
    /// The fraction of datagrams that is lost; as many are duplicated.
    loss: f64,
    /// The links that are cut and drop all datagrams, each as the indexes of sender and receiver.
    cut: Vec<(usize, usize)>,
    rng: Pcg32,
    /// The share of the budget that each node holds.
    quotas: Vec<LocalQuota>,
    /// The times in milliseconds at which units were spent, within the last budget window.
    spent_at_ms: VecDeque<u64>,
    /// The number of units spent since the start.
    total_spent: u64,
    /// The longest known history of each group, by group id.
    histories: BTreeMap<u64, Vec<u32>>,
    /// The time in milliseconds at which a history last grew.
    last_commit_at_ms: u64,
    /// The longest time in milliseconds between two commits.
    longest_pause_ms: u64,
}

impl Simulation {
    fn new(voter_count: usize, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            now_ms: 0,
            network: Rc::default(),
            voters: (0..voter_count).map(|_| None).collect(),
            suspended: vec![false; voter_count],
            last_seed: seed * 1000,
            in_flight: Vec::new(),
            loss: 0.0,
            cut: Vec::new(),
            rng: Pcg32::seed_from_u64(seed),
            quotas: Vec::new(),
            spent_at_ms: VecDeque::new(),
            total_spent: 0,
            histories: BTreeMap::new(),
            last_commit_at_ms: 0,
            longest_pause_ms: 0,
        };
        (0..voter_count).for_each(|index| simulation.restart(index));
        let holder = |number| Holder { number, generation: 1 };
        simulation.quotas =
            (0..5).map(|n| LocalQuota::new(simulation.instant(), holder(n), 0, &BUDGET, LEASE)).collect();
        simulation
    }

    fn instant(&self) -> Instant {
        Instant(1_000_000_000_000) + Duration::from_millis(self.now_ms)
    }

    /// Starts the voter with this index without state; a running one is killed first.
    fn restart(&mut self, voter_index: usize) {
        self.last_seed += 1;
        let host = TestHost { index: voter_index, network: self.network.clone() };
        let voter = Voter::new(
            self.instant(),
            voter_index,
            self.voters.len(),
            self.last_seed,
            DividedBudget::empty(),
            host,
        );
        self.voters[voter_index] = Some(voter);
        self.suspended[voter_index] = false;
    }

    fn leader(&self) -> Option<usize> {
        (0..self.voters.len())
            .find(|index| self.is_up(*index) && self.voters[*index].as_ref().is_some_and(Voter::is_leader))
    }

    fn is_up(&self, index: usize) -> bool {
        self.voters[index].is_some() && !self.suspended[index]
    }

    fn run_for(&mut self, for_ms: u64) {
        for _ in 0..for_ms {
            self.now_ms += 1;
            let at = self.instant();
            self.spend_and_request(at);
            let sent = std::mem::take(&mut self.network.borrow_mut().sent);
            for (from, to, datagram) in sent {
                let copies = match self.rng.random::<f64>() {
                    draw if draw < self.loss || self.cut.contains(&(from, to)) => 0,
                    draw if draw > 1.0 - self.loss => 2,
                    _ => 1,
                };
                for _ in 0..copies {
                    let arrives_at_ms = self.now_ms + self.rng.random_range(1..8);
                    self.in_flight.push((arrives_at_ms, to, datagram.clone()));
                }
            }
            let (due, not_due) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(arrives_at_ms, to, _)| *arrives_at_ms <= self.now_ms && !self.suspended[*to]);
            self.in_flight = not_due;
            for (_, to, datagram) in due {
                if let Some(voter) = &mut self.voters[to] {
                    voter.receive(at, &datagram).expect("the datagram is valid");
                }
            }
            for (voter, is_suspended) in self.voters.iter_mut().zip(&self.suspended) {
                if let Some(voter) = voter.as_mut().filter(|voter| !is_suspended && voter.next_wake() <= at) {
                    voter.tick(at);
                }
            }
            self.check_histories();
        }
    }

    /// Checks that the histories of all voters of a group agree as far as each of them goes.
    fn check_histories(&mut self) {
        for voter in self.voters.iter().flatten() {
            let Some((group, _)) = voter.applied() else { continue };
            let command_ids = voter
                .with_state(|state| state.command_ids.clone())
                .expect("a voter with an applied index has a state");
            let longest_history = self.histories.entry(group).or_default();
            let common_length = longest_history.len().min(command_ids.len());
            assert_eq!(
                longest_history[..common_length],
                command_ids[..common_length],
                "histories of group {group:x} diverge"
            );
            if command_ids.len() > longest_history.len() {
                *longest_history = command_ids;
                self.longest_pause_ms = self.longest_pause_ms.max(self.now_ms - self.last_commit_at_ms);
                self.last_commit_at_ms = self.now_ms;
            }
        }
    }

    /// Lets five nodes spend and request units; together they would spend more than the budget. Checks that they don't.
    fn spend_and_request(&mut self, at: Instant) {
        for node in 0..self.quotas.len() {
            if self.rng.random::<f64>() < 0.03 && self.quotas[node].try_spend(at) {
                self.spent_at_ms.push_back(self.now_ms);
                self.total_spent += 1;
            }
            // A real node may send the request to any voter, which redirects it to the leader.
            if let Some(request) = self.quotas[node].next_request(at)
                && let Some(leader) = self.leader()
                && let Some(voter) = &mut self.voters[leader]
            {
                // A rejected request counts as lost: the node repeats it.
                let _ = voter.propose(at, request);
            }
        }
        let grants = std::mem::take(&mut self.network.borrow_mut().grants);
        for grant in grants.into_iter().filter(|_| self.rng.random::<f64>() >= self.loss) {
            self.quotas[grant.holder.number as usize].apply_grant(&grant);
        }
        while self.spent_at_ms.front().is_some_and(|at| self.now_ms - at >= BUDGET.window_ms) {
            self.spent_at_ms.pop_front();
        }
        assert!(
            self.spent_at_ms.len() <= BUDGET.units as usize,
            "{} units spent within the window that ends at {} ms",
            self.spent_at_ms.len(),
            self.now_ms
        );
    }

    /// Runs the simulation and returns the fraction of the budget that the nodes spent in that time.
    fn budget_usage(&mut self, for_ms: u64) -> f64 {
        let before = self.total_spent;
        self.run_for(for_ms);
        (self.total_spent - before) as f64 / (for_ms as f64 / 1000.0) / f64::from(BUDGET.units)
    }
}

#[test]
fn voters_that_start_together_bootstrap_one_group_and_divide() {
    let mut simulation = Simulation::new(3, 1);
    simulation.run_for(6000);
    assert_eq!(simulation.network.borrow().bootstrapped_groups, 1);
    assert!(simulation.budget_usage(2000) > 0.6);
}

#[test]
fn loss_of_the_leader_costs_seconds_and_no_committed_entry() {
    let mut simulation = Simulation::new(3, 2);
    simulation.run_for(6000);

    for _ in 0..6 {
        let leader = simulation.leader().expect("a voter is the leader");
        // The leader restarts at once without state: it must not vote under its former id.
        simulation.restart(leader);
        simulation.run_for(4000);
    }
    assert_eq!(
        simulation.network.borrow().bootstrapped_groups,
        1,
        "the restarted voters joined the first group"
    );
    assert_eq!(simulation.histories.len(), 1);
    assert!(simulation.budget_usage(2000) > 0.6);
    assert!(simulation.longest_pause_ms < 6000, "no commit for {} ms", simulation.longest_pause_ms);
}

#[test]
fn leader_suspended_past_the_leases_grants_nothing_that_counts() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run_for(6000);
    for _ in 0..4 {
        let leader = simulation.leader().expect("a voter is the leader");
        simulation.suspended[leader] = true;
        simulation.run_for(5000);
        simulation.suspended[leader] = false;
        simulation.run_for(2000);
    }
    assert_eq!(simulation.network.borrow().bootstrapped_groups, 1);
    assert!(simulation.budget_usage(2000) > 0.6);
}

#[test]
fn without_a_majority_nothing_is_committed_and_nothing_is_lost() {
    let mut simulation = Simulation::new(3, 4);
    simulation.run_for(6000);
    simulation.cut = vec![(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)];
    simulation.run_for(3000);
    let before: usize = simulation.histories.values().map(Vec::len).sum();
    simulation.run_for(3000);
    assert_eq!(before, simulation.histories.values().map(Vec::len).sum::<usize>());
    simulation.cut.clear();
    simulation.run_for(4000);
    assert_eq!(simulation.network.borrow().bootstrapped_groups, 1);
    assert!(simulation.budget_usage(2000) > 0.6);
}

#[test]
fn voter_that_only_sends_does_not_stop_the_others() {
    let mut simulation = Simulation::new(3, 5);
    simulation.run_for(6000);
    let leader = simulation.leader().expect("a voter is the leader");
    simulation.cut = (0..3).map(|from| (from, leader)).collect();
    simulation.run_for(4000);
    assert!(simulation.budget_usage(3000) > 0.6, "the two other voters still commit");
}

#[test]
fn new_group_after_loss_of_a_majority_waits_for_grants_that_are_out() {
    let mut simulation = Simulation::new(3, 6);
    // Guards against a fault in which nodes compared new grants with the numbers of the lost group, and ignored as
    // many new grants as that group had numbered.
    simulation.run_for(25_000);
    // Two of three voters restart at once: only the third knows the grants, and it can't commit anything any more.
    simulation.restart(0);
    simulation.restart(1);
    simulation.run_for(10_000);
    assert_eq!(simulation.network.borrow().bootstrapped_groups, 2);
    assert!(simulation.budget_usage(2000) > 0.6, "the budget is divided again");
}

/// Guards against a fault in which an incarnation that had just been added and the third voter were each in a group
/// without a quorum: neither could commit, neither restarted, and the voter without a group could not bootstrap one
/// alone.
#[test]
fn loss_of_two_voters_in_quick_succession_is_survived() {
    // An incarnation is added shortly after its first hello; the second loss comes before, during and after the
    // addition.
    for after_ms in (0..80).step_by(8) {
        let mut simulation = Simulation::new(3, 40 + after_ms);
        simulation.run_for(6000);
        let leader = simulation.leader().expect("a voter is the leader");
        simulation.restart((leader + 1) % 3);
        simulation.run_for(after_ms);
        simulation.restart(leader);
        simulation.run_for(12_000);
        assert!(simulation.budget_usage(2000) > 0.6, "second loss {after_ms} ms after the first");
    }
}

#[test]
fn faults_never_spend_more_than_the_budget() {
    for seed in 1..=8 {
        let mut simulation = Simulation::new(if seed % 3 == 0 { 5 } else { 3 }, 100 + seed);
        let count = simulation.voters.len();
        simulation.loss = 0.1;
        simulation.run_for(4000);
        for _ in 0..16 {
            let index = simulation.rng.random_range(0..count);
            match simulation.rng.random_range(0..5) {
                0 => simulation.restart(index),
                1 => simulation.voters[index] = None,
                2 => simulation.suspended[index] = !simulation.suspended[index],
                3 => simulation.cut = (0..count).map(|from| (from, index)).collect(),
                _ => simulation.cut = (0..count).flat_map(|peer| [(index, peer), (peer, index)]).collect(),
            }
            let duration_ms = simulation.rng.random_range(100..2500);
            simulation.run_for(duration_ms);
            if simulation.rng.random::<f64>() < 0.4 {
                simulation.cut.clear();
                (0..count)
                    .filter(|index| simulation.voters[*index].is_none())
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|index| simulation.restart(index));
                simulation.suspended.fill(false);
            }
        }
        (simulation.loss, simulation.cut) = (0.0, Vec::new());
        simulation.suspended.fill(false);
        (0..count)
            .filter(|index| simulation.voters[*index].is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|index| simulation.restart(index));
        simulation.run_for(12_000);
        assert!(simulation.budget_usage(2000) > 0.6, "seed {seed}: the voters don't recover");
    }
}
