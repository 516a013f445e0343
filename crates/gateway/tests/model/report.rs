//! What a simulated day came to.

use std::cmp::Reverse;

/// What became of one class of requests.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
    pub first_ms: Vec<f64>,
    pub paused: u32,
    /// Size and value of each: 1 in time, 0.3 late.
    pub earned: Vec<(u32, f64)>,
}

impl Tally {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    pub fn share_served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }

    /// The fraction of all value that was earned, by all and by the largest tenth.
    pub fn value(&self) -> (f64, f64) {
        let mut earned = self.earned.clone();
        earned.sort_by_key(|(size, _)| Reverse(*size));
        let mean =
            |part: &[(u32, f64)]| part.iter().map(|(_, value)| value).sum::<f64>() / part.len().max(1) as f64;
        (mean(&earned), mean(&earned[..earned.len() / 10]))
    }

    pub fn percentile(&self, part: f64) -> f64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(((sorted.len() as f64 - 1.0) * part) as usize).copied().unwrap_or(0.0)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub classes: Vec<Tally>,
    /// Shared tokens that were read, and of these the ones that some executor had read before.
    pub shared_read: u64,
    pub shared_repeated_prefill: u64,
    /// What each executor did, in tokens, and its lane at the first node.
    pub work: Vec<f64>,
    pub lanes: Vec<usize>,
    pub sent: Vec<u32>,
    /// Subjects of the second class that were asked for four times or more, and those of them never served.
    pub subjects: (usize, usize),
    pub batch_done: u32,
    /// Refusals while fewer than half of all places were taken and nothing waited.
    pub false_rejections: u32,
    pub decisions: grebeusher_gateway::DecisionCounters,
    pub sent_to_dark: u32,
    pub most_of_one_home: f64,
}

impl Report {
    /// Work of each lane per executor.
    pub fn lane_load(&self) -> Vec<f64> {
        let lanes = self.lanes.iter().max().map_or(0, |lane| lane + 1);
        (0..lanes)
            .map(|lane| {
                let of = || self.work.iter().zip(&self.lanes).filter(|(_, at)| **at == lane);
                of().map(|(work, _)| work).sum::<f64>() / of().count().max(1) as f64
            })
            .collect()
    }
}
