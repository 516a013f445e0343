//! Datagrams of earlier versions that this one must send and receive unchanged: voters of two versions form one group
//! during an upgrade.
//!
//! A datagram is a kind, then its fields in order: a hello is kind 0 with an incarnation and an optional group; a fragment is
//! kind 1 with an incarnation, a group, a message id, its index, their count, and its bytes. The fragments make up a
//! message of `raft`, in which snapshots and batches of commands are in the form of this crate.
//!
//! The exchange between voters with fixed seeds is the same each time. Another version of `raft` or of the random number
//! generator may make them send other datagrams: then those recorded here must still be received.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_volatile_raft::{GroupOrigin, Host, StateMachine, Voter};
use serde::{Deserialize, Serialize};

/// A state that records what was applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Steps {
    founded: u64,
    passed: Vec<u64>,
    steps: Vec<Vec<u8>>,
}

impl StateMachine for Steps {
    type Command = Vec<u8>;
    type Outcome = usize;

    fn apply(&mut self, elapsed: Duration, steps: Vec<Vec<u8>>) -> Vec<usize> {
        self.passed.push(elapsed.nanos());
        self.steps.extend(steps);
        vec![self.steps.len()]
    }

    fn depends_on_time(&self) -> bool {
        false
    }

    fn bootstrapped(&mut self, at: Instant) {
        self.founded = at.0;
    }
}

#[derive(Default)]
struct SentDatagrams(Vec<(usize, Vec<u8>)>);

impl Host<Steps> for SentDatagrams {
    fn send(&mut self, voter: usize, datagram: &[u8]) {
        self.0.push((voter, datagram.to_vec()));
    }
    fn applied(&mut self, _: usize) {}
    fn joined_group(&mut self, _: u64, _: GroupOrigin) {}
    fn leader_changed(&mut self, _: usize, _: u64) {}
}

fn at(ms: u64) -> Instant {
    Instant(1_000_000_000_000) + Duration::from_millis(ms)
}

/// A voter of three that starts; its incarnation and the group that it bootstraps come from the seed.
fn voter(ms: u64, voter: usize, seed: u64) -> Voter<Steps, SentDatagrams> {
    Voter::new(at(ms), voter, 3, seed, Steps::default(), SentDatagrams::default())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().map(|c| c.to_digit(16).expect("a hex digit")).collect();
    digits.chunks(2).map(|pair| (pair[0] << 4 | pair[1]) as u8).collect()
}

/// The commands that are committed; the last takes more than one datagram.
fn steps() -> Vec<Vec<u8>> {
    vec![b"one".to_vec(), Vec::new(), vec![0xfe; 1000]]
}

/// The seeds of the first voter, and of the second voter's earlier and later incarnations.
const SEEDS: [u64; 3] = [7, 8, 9];

/// The group that the first one bootstraps.
const GROUP: u64 = 0xd219_3ac4_a388_049d;

struct Exchange {
    voters: [Voter<Steps, SentDatagrams>; 3],
    /// What the first two sent to each other: "0" or "1" for the sender, then the datagram.
    between_two: Vec<String>,
}

impl Exchange {
    /// Delivers datagrams until there are none.
    fn deliver(&mut self, ms: u64) {
        loop {
            let all = [0, 1, 2].map(|from| std::mem::take(&mut self.voters[from].host().0));
            if all.iter().all(Vec::is_empty) {
                return;
            }
            for (from, datagrams) in all.into_iter().enumerate() {
                for (to, datagram) in datagrams {
                    if from + to == 1 {
                        self.between_two.push(format!("{from} {}", hex(&datagram)));
                    }
                    self.voters[to].receive(at(ms), &datagram).expect("a datagram of a peer");
                }
            }
        }
    }

    fn tick(&mut self, ms: u64) {
        for voter in 0..self.voters.len() {
            self.voters[voter].tick(at(ms));
            self.deliver(ms);
        }
    }
}

/// Three voters bootstrap a group and commit commands; then the second restarts with no state.
fn exchange() -> Exchange {
    let voters = [voter(0, 0, SEEDS[0]), voter(0, 1, SEEDS[1]), voter(0, 2, 10)];
    let mut exchange = Exchange { voters, between_two: Vec::new() };
    [0, 600, 1200].into_iter().for_each(|ms| exchange.tick(ms));
    assert!(exchange.voters[0].is_leader());
    for (ms, step) in (1210..).step_by(10).zip(steps()) {
        exchange.voters[0].propose(at(ms), step).expect("it leads");
        exchange.deliver(ms);
    }
    exchange.voters[1] = voter(1300, 1, SEEDS[2]);
    [1400, 1500, 1600].into_iter().for_each(|ms| exchange.tick(ms));
    exchange
}

/// What the first two voters of an earlier version sent in that exchange.
fn recorded_exchange() -> Vec<String> {
    include_str!("data/talk.txt").lines().map(str::to_owned).collect()
}

#[test]
fn voters_send_what_earlier_versions_sent() {
    assert_eq!(exchange().between_two, recorded_exchange());
}

/// Given what a leader of an earlier version sent, when a voter of this one receives it, then it has what was committed.
fn assert_catches_up(seed: u64, settled: u64) {
    let mut receiver = voter(0, 1, seed);
    for datagram in recorded_exchange().iter().filter_map(|line| line.strip_prefix("0 ")) {
        receiver.receive(at(1200), &bytes_of(datagram)).unwrap_or_else(|error| panic!("{datagram}: {error}"));
    }
    let state = receiver.with_state(Steps::clone).expect("it belongs to a group");
    assert_eq!(state.steps, steps());
    assert_eq!(state.passed, [Duration::from_millis(10).nanos(); 3]);
    assert_eq!(state.founded, at(1200).0);
    assert_eq!(receiver.applied(), Some((GROUP, settled)));
    assert_eq!(receiver.leader(), Some(0));
}

#[test]
fn founding_member_follows_a_leader_of_an_earlier_version() {
    // It receives the change that replaces it, and the end of that.
    assert_catches_up(SEEDS[1], 7);
}

#[test]
fn later_incarnation_follows_a_leader_of_an_earlier_version() {
    // It receives one more entry than the incarnation before it.
    assert_catches_up(SEEDS[2], 8);
}
