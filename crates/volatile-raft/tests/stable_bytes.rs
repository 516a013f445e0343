//! Checks that this version sends and receives the datagrams of earlier versions unchanged: voters of two versions form
//! one group during an upgrade.
//!
//! A datagram is encoded as its kind, followed by its fields in order. Kind 0 is a hello, with an incarnation and an
//! optional group; kind 1 is a fragment, with an incarnation, a group, a message id, the fragment's index, the number
//! of fragments, and the fragment's bytes. The fragments make up a message of raft-rs, in which this crate defines the
//! encoding of snapshots and of batches of commands.
//!
//! The exchange between voters with fixed seeds is deterministic. Another version of raft-rs or of the random number
//! generator may make the voters send other datagrams: they must still receive the datagrams recorded here.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_volatile_raft::{GroupOrigin, Host, StateMachine, Voter};
use serde::{Deserialize, Serialize};

/// A state that records the applied commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct CommandRecord {
    /// The time of the bootstrap in nanoseconds.
    bootstrapped_at_ns: u64,
    /// The elapsed time of each batch in nanoseconds.
    elapsed_ns: Vec<u64>,
    /// The applied commands, in order.
    commands: Vec<Vec<u8>>,
}

impl StateMachine for CommandRecord {
    type Command = Vec<u8>;
    type Outcome = usize;

    fn apply(&mut self, elapsed: Duration, commands: Vec<Vec<u8>>) -> Vec<usize> {
        self.elapsed_ns.push(elapsed.nanos());
        self.commands.extend(commands);
        vec![self.commands.len()]
    }

    fn depends_on_time(&self) -> bool {
        false
    }

    fn bootstrapped(&mut self, at: Instant) {
        self.bootstrapped_at_ns = at.0;
    }
}

#[derive(Default)]
struct SentDatagrams(Vec<(usize, Vec<u8>)>);

impl Host<CommandRecord> for SentDatagrams {
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

/// Starts one of three voters; the seed determines its incarnation and the id of the group that it bootstraps.
fn voter(ms: u64, voter: usize, seed: u64) -> Voter<CommandRecord, SentDatagrams> {
    Voter::new(at(ms), voter, 3, seed, CommandRecord::default(), SentDatagrams::default())
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().map(|c| c.to_digit(16).expect("a hex digit")).collect();
    digits.chunks(2).map(|pair| (pair[0] << 4 | pair[1]) as u8).collect()
}

/// Returns the commands that the exchange commits; the last one takes more than one datagram.
fn commands() -> Vec<Vec<u8>> {
    vec![b"one".to_vec(), Vec::new(), vec![0xfe; 1000]]
}

/// The seeds of the first voter, and of the second voter's earlier and later incarnations.
const SEEDS: [u64; 3] = [7, 8, 9];

/// The id of the group that the first voter bootstraps.
const GROUP: u64 = 0xd219_3ac4_a388_049d;

struct Exchange {
    voters: [Voter<CommandRecord, SentDatagrams>; 3],
    /// The datagrams between the first two voters, each as the sender's index ("0" or "1") and the bytes in
    /// hexadecimal.
    first_two_datagrams: Vec<String>,
}

impl Exchange {
    /// Delivers datagrams, also those sent in response, until there are none.
    fn deliver(&mut self, ms: u64) {
        loop {
            let all = [0, 1, 2].map(|from| std::mem::take(&mut self.voters[from].host().0));
            if all.iter().all(Vec::is_empty) {
                return;
            }
            for (from, datagrams) in all.into_iter().enumerate() {
                for (to, datagram) in datagrams {
                    if from + to == 1 {
                        self.first_two_datagrams.push(format!("{from} {}", encode_hex(&datagram)));
                    }
                    self.voters[to].receive(at(ms), &datagram).expect("the datagram is valid");
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

/// Three voters bootstrap a group and commit commands; then the second voter restarts without state.
fn exchange() -> Exchange {
    let voters = [voter(0, 0, SEEDS[0]), voter(0, 1, SEEDS[1]), voter(0, 2, 10)];
    let mut exchange = Exchange { voters, first_two_datagrams: Vec::new() };
    [0, 600, 1200].into_iter().for_each(|ms| exchange.tick(ms));
    assert!(exchange.voters[0].is_leader());
    for (ms, command) in (1210..).step_by(10).zip(commands()) {
        exchange.voters[0].propose(at(ms), command).expect("the first voter is the leader");
        exchange.deliver(ms);
    }
    exchange.voters[1] = voter(1300, 1, SEEDS[2]);
    [1400, 1500, 1600].into_iter().for_each(|ms| exchange.tick(ms));
    exchange
}

/// Returns the datagrams that the first two voters of an earlier version sent to each other in the same exchange.
fn recorded_exchange() -> Vec<String> {
    include_str!("data/talk.txt").lines().map(str::to_owned).collect()
}

#[test]
fn voters_send_what_earlier_versions_sent() {
    assert_eq!(exchange().first_two_datagrams, recorded_exchange());
}

/// Checks that a voter of this version has all committed commands once it has received the recorded datagrams of a
/// leader of an earlier version.
fn assert_catches_up(seed: u64, applied_index: u64) {
    let mut receiver = voter(0, 1, seed);
    for datagram in recorded_exchange().iter().filter_map(|line| line.strip_prefix("0 ")) {
        receiver
            .receive(at(1200), &decode_hex(datagram))
            .unwrap_or_else(|error| panic!("{datagram}: {error}"));
    }
    let state = receiver.with_state(CommandRecord::clone).expect("the receiver belongs to a group");
    assert_eq!(state.commands, commands());
    assert_eq!(state.elapsed_ns, [Duration::from_millis(10).nanos(); 3]);
    assert_eq!(state.bootstrapped_at_ns, at(1200).0);
    assert_eq!(receiver.applied(), Some((GROUP, applied_index)));
    assert_eq!(receiver.leader(), Some(0));
}

#[test]
fn bootstrapping_member_follows_a_leader_of_an_earlier_version() {
    // The member also receives the two entries of the joint membership change that replaces it.
    assert_catches_up(SEEDS[1], 7);
}

#[test]
fn later_incarnation_follows_a_leader_of_an_earlier_version() {
    // The later incarnation receives one entry more than the earlier one.
    assert_catches_up(SEEDS[2], 8);
}
