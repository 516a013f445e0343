//! The results of a simulation.

use std::cmp::Reverse;

/// The results of one class of requests.
#[derive(Clone, Debug, Default)]
pub struct ClassReport {
    /// The number of requests.
    pub requests: u32,
    /// The number of requests with their first event in time and no stall between events.
    pub in_time: u32,
    /// The number of requests that were served, but not in time.
    pub late: u32,
    /// The number of requests that were rejected until the client gave up.
    pub rejected: u32,
    /// The number of requests that ended with a failure, or that were not finished at the end of the simulation.
    pub failed: u32,
    /// The times from the arrival of each served request to its first event, in ms.
    pub first_event_ms: Vec<f64>,
    /// The number of served requests with a gap of more than 250 ms between two events.
    pub stalled: u32,
    /// The size of each request in prompt tokens, and its value: 1 in time, 0.3 late, 0 if it was not served.
    pub sizes_and_values: Vec<(u32, f64)>,
}

impl ClassReport {
    pub fn fraction_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }

    pub fn fraction_served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.requests.max(1))
    }

    /// The mean value of all requests, and that of the largest tenth of them.
    pub fn mean_values(&self) -> (f64, f64) {
        let mut by_size = self.sizes_and_values.clone();
        by_size.sort_by_key(|(size, _)| Reverse(*size));
        let mean = |requests: &[(u32, f64)]| {
            requests.iter().map(|(_, value)| value).sum::<f64>() / requests.len().max(1) as f64
        };
        (mean(&by_size), mean(&by_size[..by_size.len() / 10]))
    }

    /// A percentile of the times to the first event, in ms. `fraction` is 0.5 for the median.
    pub fn first_event_percentile_ms(&self, fraction: f64) -> f64 {
        let mut sorted = self.first_event_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(((sorted.len() as f64 - 1.0) * fraction) as usize).copied().unwrap_or(0.0)
    }
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub classes: Vec<ClassReport>,
    /// The number of tokens of shared segments that were prefilled.
    pub shared_prefill_tokens: u64,
    /// The part of `shared_prefill_tokens` that an executor had prefilled before.
    pub repeated_prefill_tokens: u64,
    /// The work of each executor in prompt tokens.
    pub executor_work: Vec<f64>,
    /// The lane of each executor at the first node.
    pub executor_lanes: Vec<usize>,
    /// The number of attempts that were sent to each executor.
    pub attempts_sent: Vec<u32>,
    /// The number of subjects of the second class with four requests or more, and the number of those of which no
    /// request was served.
    pub frequent_subjects: (usize, usize),
    /// The number of batch items that were finished.
    pub batch_items_done: u32,
    /// The number of rejections while fewer than half of all slots were occupied and no request waited.
    pub false_rejections: u32,
    pub decisions: grebeusher_gateway::DecisionCounters,
    /// The number of attempts that were sent to executors during their outages.
    pub sent_to_unavailable: u32,
    /// The fraction of the attempts of the second class that the executor with the most of them got.
    pub max_executor_share: f64,
}

impl Report {
    /// The mean work per executor of each lane, in prompt tokens.
    pub fn lane_work(&self) -> Vec<f64> {
        let lanes = self.executor_lanes.iter().max().map_or(0, |lane| lane + 1);
        (0..lanes)
            .map(|lane| {
                let members =
                    || self.executor_work.iter().zip(&self.executor_lanes).filter(|(_, of)| **of == lane);
                members().map(|(work, _)| work).sum::<f64>() / members().count().max(1) as f64
            })
            .collect()
    }
}
