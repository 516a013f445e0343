//! A simulated fleet of nodes that send their contributions to each other. The network can duplicate and reorder
//! messages and can be partitioned. Random numbers come from a fixed seed.

use grebeusher_prefix_popularity::{
    Contribution, Contributor, EstimatorSettings, MergeOutcome, PopularityEstimator, PrefixKey,
};
use grebeusher_time::{Duration, Instant};

/// The faults of the simulated network.
#[derive(Clone, Copy, Default)]
pub struct Network {
    /// Each message is delivered a second time, 7 s later.
    pub duplicates: bool,
    /// Each message is delayed by a random time of up to a second.
    pub reorders: bool,
}

/// A simulated fleet of nodes.
pub struct Fleet {
    pub nodes: Vec<PopularityEstimator>,
    pub now: Instant,
    /// The number of bytes of contributions sent so far, without duplicates.
    pub sent_bytes: u64,
    network: Network,
    /// Whether each node is running.
    is_running: Vec<bool>,
    /// The side of the network partition on which each node is.
    sides: Vec<u8>,
    /// The incarnation of each node.
    incarnations: Vec<u64>,
    settings: EstimatorSettings,
    /// The messages that have not been delivered: their time of delivery, the receiving node and their bytes.
    in_flight: Vec<(Instant, usize, Vec<u8>)>,
    /// The state of the random number generator.
    random_state: u64,
}

/// The time between two runs of the nodes.
pub const STEP: Duration = Duration::from_millis(100);

/// The key of a numbered prefix.
pub fn key(number: u64) -> PrefixKey {
    PrefixKey::from_hashes(1, number.wrapping_mul(0x1234_5678_9abc_def1))
}

impl Fleet {
    pub fn new(count: usize, settings: EstimatorSettings, network: Network) -> Fleet {
        let now = Instant(0);
        let mut nodes: Vec<PopularityEstimator> =
            (0..count).map(|index| PopularityEstimator::new(settings, identity(index, 1), now)).collect();
        nodes.iter_mut().for_each(|node| node.set_node_count(count));
        Fleet {
            nodes,
            now,
            sent_bytes: 0,
            network,
            is_running: vec![true; count],
            sides: vec![0; count],
            incarnations: vec![1; count],
            settings,
            in_flight: Vec::new(),
            random_state: 1,
        }
    }

    /// Runs the fleet for a duration. In each step, every running node gets the requests that `requests` returns for
    /// it, as the keys of their prefixes and their numbers of tokens after the prefix.
    pub fn run(&mut self, duration: Duration, mut requests: impl FnMut(usize) -> Vec<(PrefixKey, u32)>) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.is_running[index] {
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

    /// Sends a contribution to all other nodes on the same side of the network partition.
    fn send(&mut self, origin: usize, contribution: &Contribution) {
        let bytes = contribution.encode();
        for receiver in (0..self.nodes.len()).filter(|receiver| *receiver != origin) {
            if self.sides[receiver] != self.sides[origin] {
                continue;
            }
            self.sent_bytes += bytes.len() as u64;
            let delay = if self.network.reorders {
                Duration::from_nanos(self.random() % 1_000_000_000)
            } else {
                Duration::from_nanos(0)
            };
            self.in_flight.push((self.now + delay, receiver, bytes.clone()));
            if self.network.duplicates {
                self.in_flight.push((
                    self.now + delay + Duration::from_millis(7_000),
                    receiver,
                    bytes.clone(),
                ));
            }
        }
    }

    /// Delivers the messages that are due. Messages to nodes that are not running are lost.
    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, receiver, bytes) in due {
            if self.is_running[receiver] {
                let contribution = Contribution::decode(&bytes).expect("a sent contribution is valid");
                let _: MergeOutcome = self.nodes[receiver].merge(now, contribution);
            }
        }
    }

    /// The next number of a linear congruential generator.
    fn random(&mut self) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random_state >> 16
    }

    /// Stops a node.
    pub fn stop(&mut self, index: usize) {
        self.is_running[index] = false;
    }

    /// Starts a new incarnation of a node, with or without a snapshot.
    pub fn restart(&mut self, index: usize, snapshot: Option<&[u8]>) {
        self.is_running[index] = true;
        self.incarnations[index] += 1;
        let mut node =
            PopularityEstimator::new(self.settings, identity(index, self.incarnations[index]), self.now);
        node.set_node_count(self.nodes.len());
        if let Some(snapshot) = snapshot {
            node.restore(self.now, snapshot).expect("the snapshot is valid");
        }
        self.nodes[index] = node;
    }

    /// Partitions the network, so that the first `count` nodes and the others no longer exchange messages.
    pub fn partition(&mut self, count: usize) {
        (0..count).for_each(|index| self.sides[index] = 1);
    }

    /// Ends the partition of the network.
    pub fn end_partition(&mut self) {
        self.sides.fill(0);
    }

    /// The rate of a prefix at each node, in tokens per second.
    pub fn rates(&self, key: PrefixKey) -> Vec<f64> {
        self.nodes.iter().map(|node| node.tokens_per_s(key)).collect()
    }

    /// The number of homes of a prefix at each node.
    pub fn home_counts(&self, key: PrefixKey) -> Vec<usize> {
        self.nodes.iter().map(|node| node.home_count(key)).collect()
    }
}

/// The identity under which a node writes its contributions.
pub fn identity(index: usize, incarnation: u64) -> Contributor {
    Contributor { origin: 1_000 + index as u64, incarnation }
}

/// Asserts that all values differ from the expected one by at most `tolerance`, as a fraction of it.
pub fn assert_near(values: &[f64], expected: f64, tolerance: f64) {
    let is_outside = |value: &&f64| (**value - expected).abs() > expected * tolerance;
    assert_eq!(values.iter().find(is_outside), None, "a value is not near {expected}");
}
