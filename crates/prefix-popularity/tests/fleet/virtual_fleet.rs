//! Nodes in snapshot that report to each other, with duplicated and reordered messages and network partitions; random numbers from a fixed seed.

use grebeusher_prefix_popularity::{
    Contribution, Contributor, MergeOutcome, PopularityEstimator, PrefixKey, Settings,
};
use grebeusher_time::{Duration, Instant};

/// What a fleet does to its messages.
#[derive(Clone, Copy, Default)]
pub struct Network {
    /// Each message comes twice, the second time much later.
    pub duplicates: bool,
    /// Messages wait for up to a second, each for another time.
    pub reorders: bool,
}

pub struct Fleet {
    pub nodes: Vec<PopularityEstimator>,
    pub now: Instant,
    pub sent_bytes: u64,
    network: Network,
    alive: Vec<bool>,
    /// The side of each node of a network partition.
    sides: Vec<u8>,
    incarnations: Vec<u64>,
    settings: Settings,
    in_flight: Vec<(Instant, usize, Vec<u8>)>,
    random_state: u64,
}

pub const STEP: Duration = Duration::from_millis(100);

pub fn key(number: u64) -> PrefixKey {
    PrefixKey::of(1, number.wrapping_mul(0x1234_5678_9abc_def1))
}

impl Fleet {
    pub fn new(count: usize, settings: Settings, network: Network) -> Fleet {
        let now = Instant(0);
        let mut nodes: Vec<PopularityEstimator> =
            (0..count).map(|index| PopularityEstimator::new(settings, identity(index, 1), now)).collect();
        nodes.iter_mut().for_each(|node| node.set_nodes(count));
        Fleet {
            nodes,
            now,
            sent_bytes: 0,
            network,
            alive: vec![true; count],
            sides: vec![0; count],
            incarnations: vec![1; count],
            settings,
            in_flight: Vec::new(),
            random_state: 1,
        }
    }

    /// Runs for a time; in each step every node that runs sees what `requests` gives for it, as keys and tokens.
    pub fn run(&mut self, duration: Duration, mut requests: impl FnMut(usize) -> Vec<(PrefixKey, u32)>) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.alive[index] {
                    let now = self.now;
                    requests(index)
                        .into_iter()
                        .for_each(|(key, tokens)| self.nodes[index].record(now, key, tokens));
                    if let Some(contribution) = self.nodes[index].tick(now) {
                        self.send(index, &contribution);
                    }
                }
            }
        }
    }

    fn send(&mut self, origin: usize, contribution: &Contribution) {
        let bytes = contribution.encode();
        for to in (0..self.nodes.len()).filter(|to| *to != origin) {
            if self.sides[to] != self.sides[origin] {
                continue;
            }
            self.sent_bytes += bytes.len() as u64;
            let wait = if self.network.reorders {
                Duration::from_nanos(self.random() % 1_000_000_000)
            } else {
                Duration::from_nanos(0)
            };
            self.in_flight.push((self.now + wait, to, bytes.clone()));
            if self.network.duplicates {
                self.in_flight.push((self.now + wait + Duration::from_millis(7_000), to, bytes.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, bytes) in due {
            if self.alive[to] {
                let contribution = Contribution::decode(&bytes).expect("a sent contribution is valid");
                let _: MergeOutcome = self.nodes[to].merge(now, contribution);
            }
        }
    }

    fn random(&mut self) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random_state >> 16
    }

    pub fn kill(&mut self, index: usize) {
        self.alive[index] = false;
    }

    /// A new incarnation, with the snapshot of the one before.
    pub fn restart(&mut self, index: usize, snapshot: Option<&[u8]>) {
        self.alive[index] = true;
        self.incarnations[index] += 1;
        let mut node =
            PopularityEstimator::new(self.settings, identity(index, self.incarnations[index]), self.now);
        node.set_nodes(self.nodes.len());
        if let Some(snapshot) = snapshot {
            node.restore(self.now, snapshot).expect("the snapshot is valid");
        }
        self.nodes[index] = node;
    }

    /// The first `count` nodes and the others exchange no more messages.
    pub fn partition(&mut self, count: usize) {
        (0..count).for_each(|index| self.sides[index] = 1);
    }

    pub fn heal(&mut self) {
        self.sides.fill(0);
    }

    pub fn rates(&self, key: PrefixKey) -> Vec<f64> {
        self.nodes.iter().map(|node| node.tokens_per_s(key)).collect()
    }

    pub fn homes(&self, key: PrefixKey) -> Vec<usize> {
        self.nodes.iter().map(|node| node.homes(key)).collect()
    }
}

pub fn identity(index: usize, incarnation: u64) -> Contributor {
    Contributor { origin: 1_000 + index as u64, incarnation }
}

pub fn assert_near(values: &[f64], expected: f64, tolerance: f64) {
    let off = |value: &&f64| (**value - expected).abs() > expected * tolerance;
    assert_eq!(values.iter().find(off), None, "expected about {expected}");
}
