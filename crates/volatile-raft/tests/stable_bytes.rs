//! Bytes said by earlier versions that this one must hear and say unchanged: keepers of two versions agree with each other
//! while a tier goes from one to the other.
//!
//! A word is a kind, then its fields in turn: a hello is kind 0 with a life and perhaps a group; a piece is kind 1 with a
//! life, a group, a number, its place, how many there are, and its bytes. What the pieces bear is a message of `raft`, in
//! which a state and a batch of steps are in the form of this crate.
//!
//! A talk between keepers whose seeds are given is the same each time. Another version of `raft` or of the generator of
//! random numbers may make them say other words or at other times: then what is said here must still be heard.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_volatile_raft::{Host, Keeper, Machine};
use serde::{Deserialize, Serialize};

/// What was settled, as one list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Steps {
    founded: u64,
    passed: Vec<u64>,
    steps: Vec<Vec<u8>>,
}

impl Machine for Steps {
    type Step = Vec<u8>;
    type Outcome = usize;

    fn settles(&mut self, passed: Duration, steps: Vec<Vec<u8>>) -> Vec<usize> {
        self.passed.push(passed.nanos());
        self.steps.extend(steps);
        vec![self.steps.len()]
    }

    fn waits(&self) -> bool {
        false
    }

    fn founded(&mut self, at: Instant) {
        self.founded = at.0;
    }
}

#[derive(Default)]
struct Said(Vec<(usize, Vec<u8>)>);

impl Host<Steps> for Said {
    fn send(&mut self, place: usize, datagram: &[u8]) {
        self.0.push((place, datagram.to_vec()));
    }
    fn settled(&mut self, _: usize) {}
    fn belongs(&mut self, _: u64, _: bool) {}
    fn leads(&mut self, _: usize, _: u64) {}
}

fn at(ms: u64) -> Instant {
    Instant(1_000_000_000_000) + Duration::from_millis(ms)
}

/// A keeper of three that starts; its life and what it founds come from the seed.
fn keeper(ms: u64, place: usize, seed: u64) -> Keeper<Steps, Said> {
    Keeper::new(at(ms), place, 3, seed, Steps::default(), Said::default())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().map(|c| c.to_digit(16).expect("a hex digit")).collect();
    digits.chunks(2).map(|pair| (pair[0] << 4 | pair[1]) as u8).collect()
}

/// The steps that are settled; the last takes more than one datagram.
fn steps() -> Vec<Vec<u8>> {
    vec![b"one".to_vec(), Vec::new(), vec![0xfe; 1000]]
}

/// The first and the second keeper's earlier life, and its later one.
const SEEDS: [u64; 3] = [7, 8, 9];

/// The group that the first one founds.
const GROUP: u64 = 0xd219_3ac4_a388_049d;

struct Talk {
    keepers: [Keeper<Steps, Said>; 3],
    /// What the first two said to each other: "0" or "1" for who said it, then the datagram.
    between_two: Vec<String>,
}

impl Talk {
    /// Each datagram arrives at once.
    fn passes(&mut self, ms: u64) {
        loop {
            let all = [0, 1, 2].map(|from| std::mem::take(&mut self.keepers[from].host().0));
            if all.iter().all(Vec::is_empty) {
                return;
            }
            for (from, words) in all.into_iter().enumerate() {
                for (to, datagram) in words {
                    if from + to == 1 {
                        self.between_two.push(format!("{from} {}", hex(&datagram)));
                    }
                    assert!(self.keepers[to].heard(at(ms), &datagram));
                }
            }
        }
    }

    fn due(&mut self, ms: u64) {
        for place in 0..self.keepers.len() {
            self.keepers[place].due(at(ms));
            self.passes(ms);
        }
    }
}

/// Three keepers found a group and settle steps; then the second is lost, and comes back with nothing.
fn talk() -> Talk {
    let keepers = [keeper(0, 0, SEEDS[0]), keeper(0, 1, SEEDS[1]), keeper(0, 2, 10)];
    let mut talk = Talk { keepers, between_two: Vec::new() };
    [0, 600, 1200].into_iter().for_each(|ms| talk.due(ms));
    assert!(talk.keepers[0].leads());
    for (ms, step) in (1210..).step_by(10).zip(steps()) {
        assert!(talk.keepers[0].propose(at(ms), step));
        talk.passes(ms);
    }
    talk.keepers[1] = keeper(1300, 1, SEEDS[2]);
    [1400, 1500, 1600].into_iter().for_each(|ms| talk.due(ms));
    talk
}

/// What the first two keepers of an earlier version said in that talk.
fn of_an_earlier_version() -> Vec<String> {
    include_str!("data/talk.txt").lines().map(str::to_owned).collect()
}

#[test]
fn keepers_say_what_earlier_versions_said() {
    assert_eq!(talk().between_two, of_an_earlier_version());
}

/// Given what a leader of an earlier version said, when a keeper of this one hears it, then it has what was settled.
fn assert_understands(seed: u64, settled: u64) {
    let mut hears = keeper(0, 1, seed);
    for word in of_an_earlier_version().iter().filter_map(|line| line.strip_prefix("0 ")) {
        assert!(hears.heard(at(1200), &bytes_of(word)), "{word}");
    }
    let state = hears.with_state(Steps::clone).expect("it belongs to a group");
    assert_eq!(state.steps, steps());
    assert_eq!(state.passed, [Duration::from_millis(10).nanos(); 3]);
    assert_eq!(state.founded, at(1200).0);
    assert_eq!(hears.settled(), Some((GROUP, settled)));
    assert_eq!(hears.leader(), Some(0));
}

#[test]
fn a_founding_member_understands_a_leader_of_an_earlier_version() {
    // It hears of the change that puts another in its stead, and of the end of that.
    assert_understands(SEEDS[1], 7);
}

#[test]
fn a_later_life_understands_a_leader_of_an_earlier_version() {
    // It is told one more entry than the one before it in this place.
    assert_understands(SEEDS[2], 8);
}
