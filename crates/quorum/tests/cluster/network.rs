//! Simulated links that lose, duplicate, delay and reorder messages.

use std::collections::{BTreeMap, BTreeSet};

use grebeusher_time::{Duration, DurationExt};
use rand::Rng;
use rand::rngs::SmallRng;

use super::MachineId;

/// The messages sent to a machine, including lost ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    pub messages: u64,
    pub bytes: u64,
    /// The size of the largest message, in bytes.
    pub largest: usize,
}

#[derive(Clone, Debug)]
pub struct Network {
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message arrives twice.
    pub duplication: f64,
    /// The longest usual delay of a message. Delays are random, so messages overtake each other.
    pub delay: Duration,
    /// The probability that a message takes up to 700 ms.
    pub long_delay_probability: f64,
    /// The additional delay of each direction of a link that is slower than others.
    pub extra_delay: BTreeMap<(MachineId, MachineId), Duration>,
    /// The directions of links that lose all messages.
    cuts: BTreeSet<(MachineId, MachineId)>,
    /// The messages sent to each machine, including lost ones.
    pub sent_to: BTreeMap<MachineId, Sent>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            loss: 0.0,
            duplication: 0.0,
            delay: Duration::from_millis(2),
            long_delay_probability: 0.0,
            extra_delay: BTreeMap::new(),
            cuts: BTreeSet::new(),
            sent_to: BTreeMap::new(),
        }
    }
}

impl Network {
    /// Cuts one direction of a link.
    pub fn cut(&mut self, from: MachineId, to: MachineId) {
        self.cuts.insert((from, to));
    }

    /// Reconnects one direction of a link.
    pub fn reconnect(&mut self, from: MachineId, to: MachineId) {
        self.cuts.remove(&(from, to));
    }

    pub fn reconnect_all(&mut self) {
        self.cuts.clear();
    }

    pub fn is_cut(&self, from: MachineId, to: MachineId) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Returns the delay of each copy of a message that arrives.
    pub fn delivery_delays(
        &mut self,
        from: MachineId,
        to: MachineId,
        bytes: usize,
        rng: &mut SmallRng,
    ) -> Vec<Duration> {
        let sent = self.sent_to.entry(to).or_default();
        sent.messages += 1;
        sent.bytes += bytes as u64;
        sent.largest = sent.largest.max(bytes);
        if self.is_cut(from, to) || rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if rng.random_bool(self.duplication) { 2 } else { 1 };
        let long_delay_probability = self.long_delay_probability;
        let max_delay_ns = self.delay.nanos();
        let extra_delay = self.extra_delay.get(&(from, to)).copied().unwrap_or_default();
        (0..copies)
            .map(|_| {
                let is_long = rng.random_bool(long_delay_probability);
                extra_delay
                    + Duration::from_nanos(rng.random_range(
                        0..=if is_long { Duration::from_millis(700).nanos() } else { max_delay_ns },
                    ))
            })
            .collect()
    }
}
