//! Nodes in memory that tell each other, with doubling, disorder and cuts; chance from a fixed row of numbers.

use grebeusher_prefix_popularity::{Contribution, Identity, Merge, Popularity, PrefixKey, Settings};
use grebeusher_time::{Duration, Instant};

/// What a fleet does to its messages.
#[derive(Clone, Copy, Default)]
pub struct Network {
    /// Each message comes twice, the second time much later.
    pub doubles: bool,
    /// Messages wait for up to a second, each for another time.
    pub disorder: bool,
}

pub struct Fleet {
    pub nodes: Vec<Popularity>,
    pub now: Instant,
    pub sent_bytes: u64,
    network: Network,
    alive: Vec<bool>,
    /// The side of each node while the fleet is cut.
    sides: Vec<u8>,
    incarnations: Vec<u64>,
    settings: Settings,
    waiting: Vec<(Instant, usize, Vec<u8>)>,
    chance: u64,
}

pub const STEP: Duration = Duration::from_millis(100);

pub fn key(number: u64) -> PrefixKey {
    PrefixKey::of(1, number.wrapping_mul(0x1234_5678_9abc_def1))
}

impl Fleet {
    pub fn new(count: usize, settings: Settings, network: Network) -> Fleet {
        let now = Instant(0);
        let mut nodes: Vec<Popularity> =
            (0..count).map(|index| Popularity::new(settings, identity(index, 1), now)).collect();
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
            waiting: Vec::new(),
            chance: 1,
        }
    }

    /// Runs for a time; in each step every node that runs sees what `asks` gives for it, as keys and tokens.
    pub fn run(&mut self, span: Duration, mut asks: impl FnMut(usize) -> Vec<(PrefixKey, u32)>) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.alive[index] {
                    let now = self.now;
                    asks(index).into_iter().for_each(|(key, tokens)| self.nodes[index].saw(now, key, tokens));
                    if let Some(told) = self.nodes[index].tick(now) {
                        self.tell(index, &told);
                    }
                }
            }
        }
    }

    fn tell(&mut self, origin: usize, told: &Contribution) {
        let bytes = told.encode();
        for to in (0..self.nodes.len()).filter(|to| *to != origin) {
            if self.sides[to] != self.sides[origin] {
                continue;
            }
            self.sent_bytes += bytes.len() as u64;
            let wait = if self.network.disorder {
                Duration::from_nanos(self.random() % 1_000_000_000)
            } else {
                Duration::from_nanos(0)
            };
            self.waiting.push((self.now + wait, to, bytes.clone()));
            if self.network.doubles {
                self.waiting.push((self.now + wait + Duration::from_millis(7_000), to, bytes.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.waiting.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, bytes) in due {
            if self.alive[to] {
                let told = Contribution::decode(&bytes).expect("what a node tells can be read");
                let _: Merge = self.nodes[to].merge(now, told);
            }
        }
    }

    fn random(&mut self) -> u64 {
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.chance >> 16
    }

    pub fn kill(&mut self, index: usize) {
        self.alive[index] = false;
    }

    /// A new life, with what `memory` kept.
    pub fn restart(&mut self, index: usize, memory: Option<&[u8]>) {
        self.alive[index] = true;
        self.incarnations[index] += 1;
        let mut node = Popularity::new(self.settings, identity(index, self.incarnations[index]), self.now);
        node.set_nodes(self.nodes.len());
        if let Some(memory) = memory {
            node.recall(self.now, memory).expect("what was remembered can be read");
        }
        self.nodes[index] = node;
    }

    /// The first `count` nodes hear nothing of the others any more, nor these of them.
    pub fn cut(&mut self, count: usize) {
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

pub fn identity(index: usize, incarnation: u64) -> Identity {
    Identity { origin: 1_000 + index as u64, incarnation }
}

pub fn assert_near(values: &[f64], expected: f64, part: f64) {
    let off = |value: &&f64| (**value - expected).abs() > expected * part;
    assert_eq!(values.iter().find(off), None, "expected about {expected}");
}
